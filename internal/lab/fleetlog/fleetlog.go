// Package fleetlog counts over the logs of a whole fleet what no node sees of itself: what all of them together do to
// the registry, to each server and to what is cold, draining or lost. It reads log lines and does no other I/O.
package fleetlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"canvasrouter/policy"
)

// Line is what the count takes of a node's log line, whichever part wrote it. A level of debug has ops, pushes, dials
// and calls; at info there are lists and control alone.
type LogLine struct {
	Node     string   `json:"node"`
	Time     int64    `json:"time"` // Unix milliseconds
	Message  string   `json:"message"`
	Server   string   `json:"server"`
	Op       uint32   `json:"op"`
	Push     *uint8   `json:"push"`
	Category uint8    `json:"category"`
	Outcome  string   `json:"outcome"`
	Verdict  string   `json:"verdict"`
	Pushes   int      `json:"pushes"`
	State    *uint8   `json:"state"`
	AgeMs    *int64   `json:"age_ms"`
	Error    string   `json:"error"`
	TookMs   *float64 `json:"took_ms"`
}

// Window is what the fleet did in a span of time.
type Window struct {
	Start          time.Duration // since the first line of all
	Counts         map[string]int
	PushesByServer map[string]int // pushes
	DialsByServer  map[string]int // connections opened, by server
}

// Fleet is the count. The zero value is not one; use New.
type Counter struct {
	WarmUpTime      time.Duration // a server started less than this ago is cold
	WindowDuration  time.Duration // of a window
	LinesByNode     map[string]int
	UnreadableLines int // lines that could not be read, as the last one of a node that was killed
	lines           []LogLine
	windows         []*Window
}

// New makes a count in windows of span, where servers are cold for warm.
func New(span, warm time.Duration) *Counter {
	return &Counter{WindowDuration: span, WarmUpTime: warm, LinesByNode: make(map[string]int)}
}

// Read takes in the log of one node. A line that is no JSON, or half of one, is counted and passed over; what stands
// before a line's first brace (a bench's own time) is left out.
func (f *Counter) ReadLog(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 64<<10), 8<<20)
	for lines.Scan() {
		raw := lines.Bytes()
		if len(bytes.TrimSpace(raw)) == 0 {
			continue
		}
		var l LogLine
		at := bytes.IndexByte(raw, '{')
		if at < 0 || json.Unmarshal(raw[at:], &l) != nil || l.Time == 0 {
			f.UnreadableLines++
			continue
		}
		f.LinesByNode[l.Node]++
		f.lines = append(f.lines, l)
	}
	return lines.Err()
}

// told is what a node was told of a server.
type told struct {
	state   policy.ServerState
	started int64 // Unix milliseconds
}

// Count puts all lines in order of time and counts them.
func (f *Counter) Count() []*Window {
	sort.SliceStable(f.lines, func(i, j int) bool { return f.lines[i].Time < f.lines[j].Time })
	f.windows = nil
	lists := make(map[[2]string]told)
	for i := range f.lines {
		l := &f.lines[i]
		w := f.window(time.Duration(l.Time-f.lines[0].Time) * time.Millisecond)
		key := [2]string{l.Node, l.Server}
		switch {
		case l.Message == "entry" && l.State != nil && l.AgeMs != nil:
			lists[key] = told{policy.ServerState(*l.State), l.Time - *l.AgeMs}
		case l.Message == "push" && l.Push != nil:
			w.Counts["pushes"]++
			w.PushesByServer[l.Server]++
			if *l.Push > 0 {
				w.Counts["second pushes"]++
			}
			t, known := lists[key]
			switch {
			case !known:
			case t.state == policy.Draining:
				w.Counts["pushes to draining"]++
			case t.state == policy.Gone:
				w.Counts["pushes to gone"]++
			case l.Time-t.started < f.WarmUpTime.Milliseconds():
				w.Counts["pushes to cold"]++
			}
		case l.Message == "push ended":
			w.Counts["ended "+l.Outcome]++
		case l.Message == "dial":
			w.Counts["dials"]++
			if l.Error != "" {
				w.Counts["dials failed"]++
			} else {
				w.DialsByServer[l.Server]++
			}
		case l.Message == "call":
			w.Counts["list calls"]++
		case l.Message == "watch of the list ended":
			w.Counts["watches ended"]++
		case l.Message == "broken line of the list; asking for the whole list":
			w.Counts["broken lists"]++
		case l.Message == "op":
			w.Counts["ops"]++
		case l.Message == "answer":
			w.Counts["answers "+l.Verdict]++
			if l.Pushes == 0 {
				w.Counts[fmt.Sprintf("unsent of category %d", l.Category)]++
			}
		case strings.HasPrefix(l.Message, "control of all servers starts"):
			w.Counts["shared control starts"]++
		case strings.HasPrefix(l.Message, "control of ") && strings.Contains(l.Message, " starts"):
			w.Counts["control starts"]++
		case strings.HasPrefix(l.Message, "control of ") && strings.Contains(l.Message, " ends"):
			w.Counts["control ends"]++
		case l.Message == "node starts":
			w.Counts["node starts"]++
		}
	}
	return f.windows
}

func (f *Counter) window(at time.Duration) *Window {
	for n := int(at / f.WindowDuration); len(f.windows) <= n; {
		f.windows = append(f.windows, &Window{Start: time.Duration(len(f.windows)) * f.WindowDuration, Counts: make(map[string]int),
			PushesByServer: make(map[string]int), DialsByServer: make(map[string]int)})
	}
	return f.windows[int(at/f.WindowDuration)]
}

// Table writes the count in Markdown: a row for each kind, a column for each window; the last rows are the server with
// most pushes and with most connections opened, and the mean over servers.
func (f *Counter) WriteTable(w io.Writer) error {
	kinds := make(map[string]bool)
	for _, win := range f.windows {
		for kind := range win.Counts {
			kinds[kind] = true
		}
	}
	names := make([]string, 0, len(kinds))
	for kind := range kinds {
		names = append(names, kind)
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%d nodes, %d lines, %d that could not be read; windows of %v\n\n| |", len(f.LinesByNode), len(f.lines), f.UnreadableLines, f.WindowDuration)
	for _, win := range f.windows {
		fmt.Fprintf(&b, " %g s |", win.Start.Seconds())
	}
	b.WriteString("\n| --- |" + strings.Repeat(" --- |", len(f.windows)) + "\n")
	row := func(name string, of func(*Window) string) {
		b.WriteString("| " + name + " |")
		for _, win := range f.windows {
			b.WriteString(" " + of(win) + " |")
		}
		b.WriteString("\n")
	}
	for _, name := range names {
		row(name, func(win *Window) string { return fmt.Sprint(win.Counts[name]) })
	}
	row("pushes a server, most", func(win *Window) string { return most(win.PushesByServer) })
	row("pushes a server, mean", func(win *Window) string { return mean(win.PushesByServer) })
	row("connections opened a server, most", func(win *Window) string { return most(win.DialsByServer) })
	_, err := io.WriteString(w, b.String())
	return err
}

func most(of map[string]int) string {
	top := 0
	for _, n := range of {
		top = max(top, n)
	}
	return fmt.Sprint(top)
}

func mean(of map[string]int) string {
	sum := 0
	for _, n := range of {
		sum += n
	}
	return fmt.Sprintf("%.1f", float64(sum)/float64(max(1, len(of))))
}
