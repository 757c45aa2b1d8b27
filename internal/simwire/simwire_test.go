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

// testSettings are the settings of one node, with a setting that no version knows.
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

// batch encodes records as a batch at the time 12 s.
func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.BigEndian.AppendUint32(nil, uint32(len(records)))
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, math.Float64bits(12000))
	return append(out, body...)
}

// createRecord encodes a CREATE event.
func createRecord(instance byte, text string) []byte {
	out := append([]byte{eventCreate, 0, 0, 0, instance}, make([]byte, 8)...)
	return append(binary.BigEndian.AppendUint32(out, uint32(len(text))), text...)
}

// snapshotRecord encodes list 0 with one ready server.
func snapshotRecord(port byte) []byte {
	entry := make([]byte, listEntryBytes)
	entry[13] = port
	entry[20] = 1 // ready
	return append([]byte{eventSnapshotRows, 0, 0, 0, 0, 0, 0, 0, 1}, entry...)
}

// endpointsRecord encodes an ENDPOINTS event with list 0.
func endpointsRecord(instance byte) []byte {
	return append([]byte{eventEndpoints, 0, 0, 0, instance, 2}, make([]byte, 12)...)
}

// requestRecord encodes a NEW_REQUEST event with a deadline at 14 s.
func requestRecord(instance byte) []byte {
	out := append([]byte{eventNewRequest, 0, 0, 0, instance, 0, 0, 0, 7, 0}, make([]byte, 8)...)
	out = binary.BigEndian.AppendUint64(out, math.Float64bits(14000))
	return append(out, make([]byte, 11)...)
}

// inboxRecord encodes a message from instance 1.
func inboxRecord(instance byte, message ...byte) []byte {
	out := []byte{eventInbox, 0, 0, 0, instance, 0, 0, 0, 1, 0, byte(len(message))}
	return append(out, message...)
}

// serve returns the replies to an input.
func serve(in []byte) ([]byte, error) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(in), &out)
	return out.Bytes(), err
}

// splitActions returns the actions in the reply to one batch.
func splitActions(reply []byte) (result [][]byte) {
	for remaining := reply[8:]; len(remaining) > 0; {
		size := map[byte]int{actionTransmit: 23, actionSetAlarm: 17}[remaining[0]]
		if remaining[0] == actionNotify {
			size = 11 + int(binary.BigEndian.Uint16(remaining[9:]))
		}
		result = append(result, remaining[:size])
		remaining = remaining[size:]
	}
	return result
}

// TestReusedListNumber checks that each instance keeps the list that its own event referred to, although the number of the
// list is used again later in the batch.
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

// TestPeerMessages checks that a push is reported to the other instance that uses the server with a message of three bytes
// if the settings allow peer messages, and that malformed messages of other instances are ignored.
func TestPeerMessages(t *testing.T) {
	twoNodes := strings.Replace(testSettings, "fleet_size=1", "fleet_size=2", 1)
	for peers, want := range map[string][]string{"true": {"to 1, 3 bytes"}, "false": nil} {
		got, err := serve(batch(snapshotRecord(1), createRecord(0, twoNodes+"\nlimits.peers="+peers), endpointsRecord(0),
			inboxRecord(0), inboxRecord(0, 255), inboxRecord(0, 1, 2, 3), requestRecord(0)))
		if err != nil {
			t.Fatal(err)
		}
		var messages []string
		for _, action := range splitActions(got) {
			if action[0] == actionNotify {
				messages = append(messages, fmt.Sprintf("to %d, %d bytes", action[8], len(action)-11))
			}
		}
		if diff := cmp.Diff(want, messages); diff != "" {
			t.Errorf("peers %s: %s", peers, diff)
		}
	}
}

// TestMalformedInput checks that malformed input is an error that says what is wrong, and that the end of the input is none.
func TestMalformedInput(t *testing.T) {
	valid := batch(snapshotRecord(1), createRecord(0, testSettings), endpointsRecord(0), requestRecord(0))
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"end of input":     {valid, ""},
		"header":           {append(bytes.Clone(valid), 1), "batch 2: header cut short"},
		"body":             {valid[:len(valid)-3], "received: unexpected EOF"},
		"record":           {batch(requestRecord(0)[:20]), "record 1 at byte 0: record cut short"},
		"unknown code":     {batch([]byte{99, 0, 0, 0, 0}), "unknown code 99"},
		"unknown instance": {batch(requestRecord(3)), "instance 3, which is not running"},
		"unknown list":     {batch(createRecord(0, testSettings), endpointsRecord(0)), "no list 0 received"},
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
