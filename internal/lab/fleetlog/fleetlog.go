// Package fleetlog counts events over the logs of all nodes of a fleet. The totals show what no single node sees: the
// load of all nodes together on the registry, on each server, and on servers that are cold, draining or gone.
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

// LogLine holds the fields of a node's log line that are counted, whichever message it has. Ops, pushes, dials and calls
// are logged at level debug; at level info only lists and control are.
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

// Window holds the counts of all nodes in one span of time.
type Window struct {
	Start          time.Duration  // since the first log line of the fleet
	Counts         map[string]int // events by their name in the table
	PushesByServer map[string]int
	DialsByServer  map[string]int // connections opened
}

// Counter counts the events of a fleet in windows of time. Use New to make one.
type Counter struct {
	WarmUpTime      time.Duration // a server started less than this ago is cold
	WindowDuration  time.Duration
	LinesByNode     map[string]int
	UnreadableLines int // lines that are no complete JSON, such as the last one of a killed node
	lines           []LogLine
	windows         []*Window
}

// New makes a counter with windows of the given length. A server is cold for the time warmUp after its start.
func New(window, warmUp time.Duration) *Counter {
	return &Counter{WindowDuration: window, WarmUpTime: warmUp, LinesByNode: make(map[string]int)}
}

// ReadLog reads the log of one node. A line that is no complete JSON is counted as unreadable and skipped. Text before
// the first brace of a line, such as a time stamp, is ignored.
func (c *Counter) ReadLog(r io.Reader) error {
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
			c.UnreadableLines++
			continue
		}
		c.LinesByNode[line.Node]++
		c.lines = append(c.lines, line)
	}
	return lines.Err()
}

// listEntry is the state of a server in the list of a node.
type listEntry struct {
	state     policy.ServerState
	startedMs int64 // Unix milliseconds
}

// Count sorts all lines by time, counts them and returns the windows. The counts rely on that order: whether a push
// goes to a cold or draining server depends on the list entries that its node logged before.
func (c *Counter) Count() []*Window {
	sort.SliceStable(c.lines, func(i, j int) bool { return c.lines[i].Time < c.lines[j].Time })
	c.windows = nil
	lists := make(map[[2]string]listEntry)
	for i := range c.lines {
		line := &c.lines[i]
		window := c.windowAt(time.Duration(line.Time-c.lines[0].Time) * time.Millisecond)
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
			case line.Time-entry.startedMs < c.WarmUpTime.Milliseconds():
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
	return c.windows
}

// windowAt returns the window of an offset from the first line, and makes the windows up to it.
func (c *Counter) windowAt(offset time.Duration) *Window {
	for index := int(offset / c.WindowDuration); len(c.windows) <= index; {
		c.windows = append(c.windows, &Window{
			Start:          time.Duration(len(c.windows)) * c.WindowDuration,
			Counts:         make(map[string]int),
			PushesByServer: make(map[string]int),
			DialsByServer:  make(map[string]int),
		})
	}
	return c.windows[int(offset/c.WindowDuration)]
}

// WriteTable writes the counts as a Markdown table with a row for each event and a column for each window. The last rows
// are the most pushes to one server, the mean over the servers that got pushes, and the most connections opened to one
// server.
func (c *Counter) WriteTable(w io.Writer) error {
	kinds := make(map[string]bool)
	for _, window := range c.windows {
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
	fmt.Fprintf(&text, "%d nodes, %d lines, %d that could not be read; windows of %v\n\n| |", len(c.LinesByNode), len(c.lines),
		c.UnreadableLines, c.WindowDuration)
	for _, window := range c.windows {
		fmt.Fprintf(&text, " %g s |", window.Start.Seconds())
	}
	text.WriteString("\n| --- |" + strings.Repeat(" --- |", len(c.windows)) + "\n")
	writeRow := func(name string, value func(*Window) string) {
		text.WriteString("| " + name + " |")
		for _, window := range c.windows {
			text.WriteString(" " + value(window) + " |")
		}
		text.WriteString("\n")
	}
	for _, name := range names {
		writeRow(name, func(window *Window) string { return fmt.Sprint(window.Counts[name]) })
	}
	writeRow("pushes a server, most", func(window *Window) string { return maximum(window.PushesByServer) })
	writeRow("pushes a server, mean", func(window *Window) string { return mean(window.PushesByServer) })
	writeRow("connections opened a server, most", func(window *Window) string { return maximum(window.DialsByServer) })
	_, err := io.WriteString(w, text.String())
	return err
}

// maximum formats the highest count; 0 if there is none.
func maximum(counts map[string]int) string {
	highest := 0
	for _, n := range counts {
		highest = max(highest, n)
	}
	return fmt.Sprint(highest)
}

// mean formats the mean of the counts; 0.0 if there is none.
func mean(counts map[string]int) string {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return fmt.Sprintf("%.1f", float64(sum)/float64(max(1, len(counts))))
}
