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
func New(window, warmUp time.Duration) *Counter {
	return &Counter{WindowDuration: window, WarmUpTime: warmUp, LinesByNode: make(map[string]int)}
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
		var line LogLine
		jsonStart := bytes.IndexByte(raw, '{')
		if jsonStart < 0 || json.Unmarshal(raw[jsonStart:], &line) != nil || line.Time == 0 {
			f.UnreadableLines++
			continue
		}
		f.LinesByNode[line.Node]++
		f.lines = append(f.lines, line)
	}
	return lines.Err()
}

// told is what a node was told of a server.
type listEntry struct {
	state     policy.ServerState
	startedMs int64 // Unix milliseconds
}

// Count puts all lines in order of time and counts them.
func (f *Counter) Count() []*Window {
	sort.SliceStable(f.lines, func(i, j int) bool { return f.lines[i].Time < f.lines[j].Time })
	f.windows = nil
	lists := make(map[[2]string]listEntry)
	for i := range f.lines {
		line := &f.lines[i]
		window := f.windowAt(time.Duration(line.Time-f.lines[0].Time) * time.Millisecond)
		key := [2]string{line.Node, line.Server}
		switch {
		case line.Message == "entry" && line.State != nil && line.AgeMs != nil:
			lists[key] = listEntry{policy.ServerState(*line.State), line.Time - *line.AgeMs}
		case line.Message == "push" && line.Push != nil:
			window.Counts["pushes"]++
			window.PushesByServer[line.Server]++
			if *line.Push > 0 {
				window.Counts["second pushes"]++
			}
			entry, known := lists[key]
			switch {
			case !known:
			case entry.state == policy.Draining:
				window.Counts["pushes to draining"]++
			case entry.state == policy.Gone:
				window.Counts["pushes to gone"]++
			case line.Time-entry.startedMs < f.WarmUpTime.Milliseconds():
				window.Counts["pushes to cold"]++
			}
		case line.Message == "push ended":
			window.Counts["ended "+line.Outcome]++
		case line.Message == "dial":
			window.Counts["dials"]++
			if line.Error != "" {
				window.Counts["dials failed"]++
			} else {
				window.DialsByServer[line.Server]++
			}
		case line.Message == "call":
			window.Counts["list calls"]++
		case line.Message == "watch of the list ended":
			window.Counts["watches ended"]++
		case line.Message == "broken line of the list; asking for the whole list":
			window.Counts["broken lists"]++
		case line.Message == "op":
			window.Counts["ops"]++
		case line.Message == "answer":
			window.Counts["answers "+line.Verdict]++
			if line.Pushes == 0 {
				window.Counts[fmt.Sprintf("unsent of category %d", line.Category)]++
			}
		case strings.HasPrefix(line.Message, "control of all servers starts"):
			window.Counts["shared control starts"]++
		case strings.HasPrefix(line.Message, "control of ") && strings.Contains(line.Message, " starts"):
			window.Counts["control starts"]++
		case strings.HasPrefix(line.Message, "control of ") && strings.Contains(line.Message, " ends"):
			window.Counts["control ends"]++
		case line.Message == "node starts":
			window.Counts["node starts"]++
		}
	}
	return f.windows
}

func (f *Counter) windowAt(offset time.Duration) *Window {
	for index := int(offset / f.WindowDuration); len(f.windows) <= index; {
		f.windows = append(f.windows, &Window{Start: time.Duration(len(f.windows)) * f.WindowDuration, Counts: make(map[string]int),
			PushesByServer: make(map[string]int), DialsByServer: make(map[string]int)})
	}
	return f.windows[int(offset/f.WindowDuration)]
}

// Table writes the count in Markdown: a row for each kind, a column for each window; the last rows are the server with
// most pushes and with most connections opened, and the mean over servers.
func (f *Counter) WriteTable(w io.Writer) error {
	kinds := make(map[string]bool)
	for _, window := range f.windows {
		for kind := range window.Counts {
			kinds[kind] = true
		}
	}
	names := make([]string, 0, len(kinds))
	for kind := range kinds {
		names = append(names, kind)
	}
	sort.Strings(names)
	var text strings.Builder
	fmt.Fprintf(&text, "%d nodes, %d lines, %d that could not be read; windows of %v\n\n| |", len(f.LinesByNode), len(f.lines), f.UnreadableLines, f.WindowDuration)
	for _, window := range f.windows {
		fmt.Fprintf(&text, " %g s |", window.Start.Seconds())
	}
	text.WriteString("\n| --- |" + strings.Repeat(" --- |", len(f.windows)) + "\n")
	row := func(name string, value func(*Window) string) {
		text.WriteString("| " + name + " |")
		for _, window := range f.windows {
			text.WriteString(" " + value(window) + " |")
		}
		text.WriteString("\n")
	}
	for _, name := range names {
		row(name, func(window *Window) string { return fmt.Sprint(window.Counts[name]) })
	}
	row("pushes a server, most", func(window *Window) string { return maximum(window.PushesByServer) })
	row("pushes a server, mean", func(window *Window) string { return mean(window.PushesByServer) })
	row("connections opened a server, most", func(window *Window) string { return maximum(window.DialsByServer) })
	_, err := io.WriteString(w, text.String())
	return err
}

func maximum(counts map[string]int) string {
	highest := 0
	for _, n := range counts {
		highest = max(highest, n)
	}
	return fmt.Sprint(highest)
}

func mean(counts map[string]int) string {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return fmt.Sprintf("%.1f", float64(sum)/float64(max(1, len(counts))))
}
