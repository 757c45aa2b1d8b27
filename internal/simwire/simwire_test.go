package simwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const testSettings = `tier=0
tiers=one
fleet_size=1
slot_no=0
az=0
tick=5.0
registry_mode=push
limits.max_pushes=3
limits.may_duplicate=true
limits.may_cancel=true
limits.dial_timeout=100.0
limits.retry_after=false
safety.cold_from=0.3
safety.cold=7800.0
safety.overload_factor=3.0
safety.tip_after=1000.0
categories.count=1
categories.0.benefit=1.0
categories.0.effect=idempotent
categories.0.target_latency=1000.0
categories.0.ttl=2500.0
unheard_of=yes`

// frame is a batch of records at 12 s.
func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.BigEndian.AppendUint32(nil, uint32(len(records)))
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, math.Float64bits(12000))
	return append(out, body...)
}

func createRecord(instance byte, text string) []byte {
	out := append([]byte{eventCreate, 0, 0, 0, instance}, make([]byte, 8)...)
	return append(binary.BigEndian.AppendUint32(out, uint32(len(text))), text...)
}

// rows is list 0 with one ready server.
func snapshotRecord(port byte) []byte {
	entry := make([]byte, listEntryBytes)
	entry[13], entry[20] = port, 1
	return append([]byte{eventSnapshotRows, 0, 0, 0, 0, 0, 0, 0, 1}, entry...)
}

func endpointsRecord(instance byte) []byte {
	return append([]byte{eventEndpoints, 0, 0, 0, instance, 2}, make([]byte, 12)...)
}

func requestRecord(instance byte) []byte {
	out := append([]byte{eventNewRequest, 0, 0, 0, instance, 0, 0, 0, 7, 0}, make([]byte, 8)...)
	out = binary.BigEndian.AppendUint64(out, math.Float64bits(14000))
	return append(out, make([]byte, 11)...)
}

// inbox is a message from instance 1.
func inboxRecord(instance byte, message ...byte) []byte {
	out := []byte{eventInbox, 0, 0, 0, instance, 0, 0, 0, 1, 0, byte(len(message))}
	return append(out, message...)
}

func serve(in []byte) ([]byte, error) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(in), &out)
	return out.Bytes(), err
}

// actions are those of a reply to one batch.
func splitActions(reply []byte) (result [][]byte) {
	for remaining := reply[8:]; len(remaining) > 0; {
		size := map[byte]int{actionTransmit: 23, actionSetAlarm: 17}[remaining[0]]
		if remaining[0] == actionNotify {
			size = 11 + int(binary.BigEndian.Uint16(remaining[9:]))
		}
		result, remaining = append(result, remaining[:size]), remaining[size:]
	}
	return result
}

// A list's number is reused within a batch; each instance keeps what its own event meant.
func TestReusedListNumber(t *testing.T) {
	got, err := serve(batch(snapshotRecord(1), createRecord(0, testSettings), endpointsRecord(0), snapshotRecord(2), createRecord(1, testSettings),
		endpointsRecord(1), requestRecord(0), requestRecord(1)))
	if err != nil {
		t.Fatal(err)
	}
	var ports []string
	for _, action := range splitActions(got) {
		if action[0] == actionTransmit {
			ports = append(ports, fmt.Sprintf("instance %d sends to port %d", action[4], action[14]))
		}
	}
	if diff := cmp.Diff([]string{"instance 0 sends to port 1", "instance 1 sends to port 2"}, ports); diff != "" {
		t.Error(diff)
	}
}

// Of a push the other instance that uses the server is told in three bytes, where settings allow it; what another says that
// makes no sense is passed over.
func TestPeerMessages(t *testing.T) {
	two := strings.Replace(testSettings, "fleet_size=1", "fleet_size=2", 1)
	for peers, want := range map[string][]string{"true": {"to 1, 3 bytes"}, "false": nil} {
		got, err := serve(batch(snapshotRecord(1), createRecord(0, two+"\nlimits.peers="+peers), endpointsRecord(0),
			inboxRecord(0), inboxRecord(0, 255), inboxRecord(0, 1, 2, 3), requestRecord(0)))
		if err != nil {
			t.Fatal(err)
		}
		var told []string
		for _, action := range splitActions(got) {
			if action[0] == actionNotify {
				told = append(told, fmt.Sprintf("to %d, %d bytes", action[8], len(action)-11))
			}
		}
		if diff := cmp.Diff(want, told); diff != "" {
			t.Errorf("peers %s: %s", peers, diff)
		}
	}
}

// Malformed input is named and never guessed at; the end of input is a clean exit.
func TestMalformedInput(t *testing.T) {
	valid := batch(snapshotRecord(1), createRecord(0, testSettings), endpointsRecord(0), requestRecord(0))
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"end of input":     {valid, ""},
		"header":           {append(bytes.Clone(valid), 1), "batch 2: header cut short"},
		"body":             {valid[:len(valid)-3], "came: unexpected EOF"},
		"record":           {batch(requestRecord(0)[:20]), "record 1 at byte 0: record cut short"},
		"unknown code":     {batch([]byte{99, 0, 0, 0, 0}), "unknown code 99"},
		"unknown instance": {batch(requestRecord(3)), "instance 3, which is not running"},
		"unknown list":     {batch(createRecord(0, testSettings), endpointsRecord(0)), "no list 0 has come"},
		"missing setting": {batch(createRecord(0, strings.Replace(testSettings, "tick", "tock", 1))),
			"setting tick is missing"},
		"bad setting": {batch(createRecord(0, strings.Replace(testSettings, "7800.0", "soon", 1))),
			`safety.cold is no number: "soon"`},
		"message cut short": {batch(createRecord(0, testSettings), inboxRecord(0, 1, 2, 3)[:12]), "record 2 at byte"},
		"bad peers": {batch(createRecord(0, testSettings+"\nlimits.peers=perhaps")),
			`limits.peers is neither true nor false: "perhaps"`},
		"killed": {batch(createRecord(0, testSettings), []byte{eventKill, 0, 0, 0, 0}, requestRecord(0)), "not running"},
	} {
		_, err := serve(c.in)
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: %v", name, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
			t.Errorf("%s: got %v, want %q", name, err, c.want)
		}
	}
}
