package config

import (
	"os"
	"strings"
	"testing"
)

// Each fault of the key fleet is one line that names it, and explain says what holds.
func TestFleet(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	parse := func(fleet string) (*Config, error) {
		return Parse([]byte(strings.Replace(string(raw), `"settings":`, `"fleet": `+fleet+`, "settings":`, 1)), func(string) string { return "" })
	}
	for fleet, want := range map[string]string{
		`{}`:                         "key fleet.listen",
		`{"listen": "127.0.0.1"}`:    "key fleet.listen",
		`{"listen": "0.0.0.0:7946"}`: "key fleet.advertise: nobody can reach",
		`{"listen": "127.0.0.1:7946", "advertise": "[::1]:7946"}`: "key fleet.advertise: not of the same kind",
		`{"listen": "127.0.0.1:7946", "join": ["seed"]}`:          "key fleet.join",
		`{"listen": "127.0.0.1:7946", "wrods": false}`:            `unknown field "wrods"`,
		`{"listen": "127.0.0.1:7946", "words": "no"}`:             "key fleet.words: a string can't be used here",
		`{"listen": "127.0.0.1:7946", "control": "n0.sock"}`:      "key fleet.control",
		`{"listen": "127.0.0.1:7946", "bytes_per_second": 100}`:   "key fleet.bytes_per_second",
		`{"listen": "127.0.0.1:7946", "control": "/run/n0.sock"}`: "",
		`null`: "",
	} {
		_, err := parse(fleet)
		if (err == nil) != (want == "") || err != nil && (!strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: %v, not %s", fleet, err, want)
		}
	}
	one, _ := parse(`{"listen": "127.0.0.1:7946"}`)
	other, _ := parse(`{"listen": "127.0.0.1:7946", "judged": false}`)
	none, _ := parse(`null`)
	if one.SameFleet(other) || one.SameFleet(none) || !one.SameFleet(one) || !none.SameFleet(none) {
		t.Error("what differs is not seen")
	}
	if text := other.Explain(); !strings.Contains(text, "is neither told nor heeded") || !strings.Contains(text, "limits.peers is not true") {
		t.Error(text)
	}
	if one.Fleet.Advertise != one.Fleet.Listen || one.Fleet.MaxBytesPerSecond != defaultPace || !one.Fleet.PeerMessages || one.Fleet.Name != defaultFleet {
		t.Errorf("defaults: %+v", one.Fleet)
	}
}
