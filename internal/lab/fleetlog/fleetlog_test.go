package fleetlog

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const first = `0.013 {"node":"n0","message":"node starts","time":1000}
{"node":"n0","server":"a","state":0,"age_ms":900,"time":1000,"message":"entry"}
{"node":"n0","server":"b","state":1,"age_ms":90000,"time":1000,"message":"entry"}
{"node":"n0","query":"?watch=1&from=0","time":1400,"message":"call"}
{"node":"n0","op":1,"category":1,"time":1500,"message":"op"}
{"node":"n0","op":1,"push":0,"server":"a","time":1500,"message":"push"}
{"node":"n0","server":"a","time":1500,"message":"dial"}
{"node":"n0","op":1,"push":0,"server":"a","outcome":"reset","time":1600,"message":"push ended"}
{"node":"n0","op":1,"push":1,"server":"b","time":1600,"message":"push"}
{"node":"n0","server":"b","error":"refused","time":1600,"message":"dial"}
{"node":"n0","op":2,"category":2,"verdict":"nacked","pushes":0,"time":3200,"message":"answer"}
{"node":"n0","op":1,"pu`

const second = `no JSON at all

{"node":"n1","time":3100,"message":"control of all servers starts, 3.7/s"}
{"node":"n1","time":3200,"message":"control of 93a1b50a456c starts, 3.7/s"}
{"node":"n1","time":3300,"message":"watch of the list ended"}
{"node":"n1","op":7,"push":0,"server":"a","time":3300,"message":"push"}
`

// What each node logs of itself adds up over the fleet; what is cut in the middle of a line is told, and harms nothing.
func TestCount(t *testing.T) {
	f := New(2*time.Second, time.Minute)
	for _, log := range []string{second, first} {
		if err := f.ReadLog(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	got := f.Count()
	want := []*Window{
		{Counts: map[string]int{"node starts": 1, "list calls": 1, "ops": 1, "pushes": 2, "second pushes": 1, "pushes to cold": 1,
			"pushes to draining": 1, "dials": 2, "dials failed": 1, "ended reset": 1},
			PushesByServer: map[string]int{"a": 1, "b": 1}, DialsByServer: map[string]int{"a": 1}},
		{Start: 2 * time.Second, Counts: map[string]int{"answers nacked": 1, "unsent of category 2": 1, "shared control starts": 1,
			"control starts": 1, "watches ended": 1, "pushes": 1}, PushesByServer: map[string]int{"a": 1}, DialsByServer: map[string]int{}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if f.UnreadableLines != 2 || len(f.LinesByNode) != 2 {
		t.Errorf("%d broken lines, %d nodes", f.UnreadableLines, len(f.LinesByNode))
	}
	var out strings.Builder
	if err := f.WriteTable(&out); err != nil || !strings.Contains(out.String(), "| pushes | 2 | 1 |\n") ||
		!strings.HasPrefix(out.String(), "2 nodes, 15 lines, 2 that could not be read; windows of 2s\n") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// No line at all is no window.
func TestEmpty(t *testing.T) {
	f := New(time.Second, time.Second)
	if f.ReadLog(strings.NewReader("")) != nil || len(f.Count()) != 0 {
		t.Error("windows of nothing")
	}
}
