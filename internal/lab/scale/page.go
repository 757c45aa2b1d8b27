package scale

import (
	"fmt"
	"slices"
	"strings"
)

// The operators' size and what a node may spend on control.
const (
	TargetNodes = 900
	DoubleNodes = 1800
	mostBytes   = 4096.0 // a second and node, sent and received together
	mostCore    = 2.4    // percent
	mostMB      = 128.0
	mostAdded   = 1.4 // ms, for 99 in 100
	mostForce   = 8.0 // s, for a change of configuration
)

// cell is one figure of a row.
type cell struct {
	column             string // of the page
	what               string
	record, kind, name string
	unit               string
	budget             float64 // 0: none was told
	control            string  // what it adds to the sum of control: "bytes", "fault", "core"
	mean               bool    // every size counts alike: the figure does not depend on nodes
}

// row is one role of the page.
type row struct {
	role, state, mechanism, command string
	cells                           []cell
	missing                         string // what of it was not measured, or that nothing carries it
	none                            bool   // no mechanism
}

var columns = []string{"messages", "bytes", "processor", "memory", "in force"}

var rows = []row{
	{role: "Call's path", state: "ops in hand, 0.4 MB at most of bodies and tables for each 100; no term in N", command: "canvaslab scale path --nodes 1,10 --node bin/canvasrouter",
		mechanism: "`clients`, `node`, `servers`: one actor decides, a goroutine carries each push",
		cells: []cell{
			{column: "in force", what: "p99 added, one hop", record: "path", kind: KindReal, name: "p99_added_ms@1", unit: "ms", budget: mostAdded},
			{column: "in force", what: "p50 added, one hop", record: "path", kind: KindReal, name: "p50_added_ms@1", unit: "ms"},
			{column: "in force", what: "p999 added, one hop", record: "path", kind: KindReal, name: "p999_added_ms@1", unit: "ms"},
			{column: "in force", what: "p99 added a hop, ten in a row", record: "path", kind: KindReal, name: "p99_added_a_hop_ms@10", unit: "ms", budget: mostAdded},
			{column: "processor", what: "a call and hop", record: "path", kind: KindReal, name: "core_ms_a_call@1", unit: "ms of a core"},
		}},
	{role: "List from discovery", state: "8 x C servers, some 130 bytes each in the node", command: "canvaslab scale list --nodes 25,50,100,200,400,900",
		mechanism: "`registry`: one watch a node, changes as lines, a line each 2 s",
		cells: []cell{
			{column: "bytes", what: "calm", record: "list", kind: KindInProcess, name: "calm_bytes", unit: "bytes/s", control: "bytes"},
			{column: "bytes", what: "a restart of a server listed", record: "list", kind: KindInProcess, name: "restart_bytes", unit: "bytes"},
			{column: "in force", what: "a change, the last node", record: "list", kind: KindInProcess, name: "change_most_ms", unit: "ms"},
			{column: "in force", what: "all watches anew after 2 s down", record: "list", kind: KindInProcess, name: "reopened_s", unit: "s", budget: 6},
		}},
	{role: "Discovery itself", state: "N watches; S servers", command: "canvaslab scale list --nodes 25,50,100,200,400,900",
		mechanism: "the operators' service; a stand-in here (`standin/registry`)",
		cells: []cell{
			{column: "messages", what: "calls a node while it is down", record: "list", kind: KindInProcess, name: "down_calls_s", unit: "calls/s"},
			{column: "bytes", what: "first list, 40 servers", record: "list", kind: KindInProcess, name: "first_bytes", unit: "bytes"},
		}, missing: "its own processor time and memory: it is not ours"},
	{role: "Members", state: "N x some 1.2 KB in each node (the library's state, table, senders)", command: "canvaslab scale members --nodes 25,50,100,200,400,900 (hollow); --nodes 25,50,100,200 --node bin/canvasrouter (real)",
		mechanism: "`fleet/members`: SWIM with Lifeguard (memberlist) on `fleet/transport`",
		cells: []cell{
			{column: "messages", what: "datagrams sent, calm", record: "members", kind: KindInProcess, name: "calm_datagrams", unit: "/s"},
			{column: "bytes", what: "calm", record: "members", kind: KindInProcess, name: "calm_bytes", unit: "bytes/s", budget: mostBytes, control: "bytes"},
			{column: "bytes", what: "worst 10 s, a tenth killed", record: "members", kind: KindInProcess, name: "killed_bytes10", unit: "bytes/s", budget: mostBytes},
			{column: "processor", what: "calm, with judgements idle", record: "members", kind: KindReal, name: "calm_core_percent", unit: "% of a core", budget: mostCore, control: "core"},
			{column: "memory", what: "whole process, idle", record: "members", kind: KindReal, name: "calm_mb", unit: "MB", budget: mostMB},
			{column: "in force", what: "a tenth killed", record: "members", kind: KindInProcess, name: "killed_s", unit: "s"},
		}},
	{role: "Judgements on servers", state: "min(8 x C, 512) servers x 8 reports x some 100 bytes", command: "canvaslab scale judgements --nodes 25,50,100,200,400,900",
		mechanism: "`fleet/judged`: reports by source, gossiped by `fleet/transport`",
		cells: []cell{
			{column: "bytes", what: "calm", record: "judgements", kind: KindInProcess, name: "calm_bytes", unit: "bytes/s", control: "bytes"},
			{column: "bytes", what: "a tenth of the servers silent", record: "judgements", kind: KindInProcess, name: "fault_bytes", unit: "bytes/s", budget: mostBytes, control: "fault"},
			{column: "in force", what: "nine in ten nodes know", record: "judgements", kind: KindInProcess, name: "seen_s", unit: "s"},
		}},
	{role: "Messages between modules", state: "64 words a number, 192 bytes", mechanism: "`fleet/words`, off by default", missing: "not measured at this size: words go to the nodes of a service's fleet_size alone"},
	{role: "Configuration", state: "at a node: three patches of at most 64 KiB; at each of the 3 replicas: V + N keys at the most, 4,096 reports of some 300 bytes",
		command:   "canvaslab scale changes --nodes 25,50,100,200,400,900 (hollow); --nodes 25,50,100 --node bin/canvasrouter (real)",
		mechanism: "`store`: a register a key on three replicas, each node watches one of them; **none before**: a file and SIGHUP at each node",
		cells: []cell{
			{column: "bytes", what: "calm", record: "changes", kind: KindInProcess, name: "calm_bytes", unit: "bytes/s", budget: mostBytes, control: "bytes"},
			{column: "bytes", what: "a release, 100 changes a minute", record: "changes", kind: KindInProcess, name: "burst_bytes", unit: "bytes/s", budget: mostBytes, control: "fault"},
			{column: "bytes", what: "a change for all", record: "changes", kind: KindInProcess, name: "change_bytes", unit: "bytes"},
			{column: "processor", what: "whole process, idle, calm", record: "changes", kind: KindReal, name: "calm_core_percent", unit: "% of a core", budget: mostCore},
			{column: "in force", what: "a change for all, at the last node", record: "changes", kind: KindInProcess, name: "all_s", unit: "s", budget: mostForce},
			{column: "in force", what: "the slowest of a release", record: "changes", kind: KindInProcess, name: "burst_most_s", unit: "s", budget: mostForce},
			{column: "in force", what: "one replica lost just before", record: "changes", kind: KindInProcess, name: "replica_lost_s", unit: "s", budget: mostForce},
			{column: "in force", what: "region without a replica, once it is back", record: "changes", kind: KindInProcess, name: "healed_s", unit: "s", budget: mostForce},
		}},
	{role: "Limits over the fleet", state: "", mechanism: "**none**", none: true, missing: "budgets and counts over all nodes are not built"},
	{role: "Start", state: "a list of known servers", command: "canvaslab scale start --nodes 25,50,100,200 --node bin/canvasrouter",
		mechanism: "`serve`: ready once it listens, whatever the registry does",
		cells: []cell{
			{column: "in force", what: "nine in ten restarted ready, registry up", record: "start", kind: KindReal, name: "up_ready_p90_s", unit: "s", budget: 10},
			{column: "in force", what: "registry 2 s late", record: "start", kind: KindReal, name: "slow_ready_p90_s", unit: "s", budget: 10},
			{column: "in force", what: "registry down", record: "start", kind: KindReal, name: "down_ready_p90_s", unit: "s", budget: 10},
			{column: "in force", what: "the last one serves, registry down", record: "start", kind: KindReal, name: "down_serves_most_s", unit: "s"},
		}, missing: "900 at once: each has a machine of its own there, and 8 cores here"},
	{role: "A zone lost", state: "as Members", command: "as Members", mechanism: "`fleet/members`, `registry`",
		cells: []cell{
			{column: "bytes", what: "worst 10 s", record: "members", kind: KindInProcess, name: "zone_bytes10", unit: "bytes/s", budget: mostBytes},
			{column: "in force", what: "the others agree", record: "members", kind: KindInProcess, name: "zone_s", unit: "s"},
		}},
	{role: "A region cut for an hour, and back", state: "as Members; those gone are kept ten minutes", command: "as Members (30 s against 5 s kept: an hour by a factor of 120)",
		mechanism: "`fleet/members`: addresses in `join` are asked for ever, so some of them must lie in the other region",
		cells: []cell{
			{column: "bytes", what: "worst 10 s at the cut", record: "members", kind: KindInProcess, name: "cut_bytes10", unit: "bytes/s", budget: mostBytes},
			{column: "bytes", what: "worst 10 s when it is back", record: "members", kind: KindInProcess, name: "healed_bytes10", unit: "bytes/s", budget: mostBytes, control: "fault"},
			{column: "in force", what: "the smaller side agrees", record: "members", kind: KindInProcess, name: "cut_small_s", unit: "s"},
			{column: "in force", what: "all agree when it is back", record: "members", kind: KindInProcess, name: "healed_s", unit: "s"},
		}},
	{role: "Operators' view", state: "N members, reports on 8 x C servers", mechanism: "`canvasrouter fleet`, a node at a time, on its own socket: nothing of it goes between nodes",
		command: "canvaslab scale view --nodes 25,50,100,200,400,900 (hollow); --nodes 25,50,100 --node bin/canvasrouter (real)",
		cells: []cell{
			{column: "bytes", what: "a look at one node", record: "view", kind: KindInProcess, name: "view_bytes", unit: "bytes"},
			{column: "in force", what: "a look at one process", record: "view", kind: KindReal, name: "view_ms", unit: "ms"},
		}, missing: "all nodes in one look: there is none"},
}

// Page works the table out from records.
type Page struct {
	records    []*Record
	OverBudget []string // budgets that are passed
	Missing    []string // rows not measured whole, or without a mechanism
	sums       map[string][2]float64
}

// NewPage takes the records.
func NewPage(records []*Record) *Page {
	return &Page{records: records, sums: make(map[string][2]float64)}
}

func (p *Page) record(role, kind string) *Record {
	for _, r := range p.records {
		if r.Role == role && r.Kind == kind {
			return r
		}
	}
	return nil
}

// figure gives a cell's value at a size, whether it was played there, its slope, and whether it was measured at all.
func (p *Page) figure(c cell, nodes int) (value float64, played bool, slope string, ok bool) {
	r := p.record(c.record, c.kind)
	if r == nil {
		return 0, false, "", false
	}
	if name, at, fixed := strings.Cut(c.name, "@"); fixed {
		size := 0
		fmt.Sscan(at, &size)
		mean, least, most, plays := r.Stats(name, size)
		return mean, true, fmt.Sprintf("%d plays, %s to %s", plays, text(least), text(most)), plays > 0
	}
	any := func(int) bool { return true }
	fit, ok := r.FitGrowth(c.name, any)
	if !ok {
		return 0, false, "", false
	}
	sizes := r.Sizes(any)
	spread := 0.0
	for _, n := range sizes {
		if mean, least, most, plays := r.Stats(c.name, n); plays > 1 && mean > 0 {
			spread = max(spread, (most-least)/mean)
		}
	}
	slope = fmt.Sprintf("%s, off by %.0f%% at most; spread of plays %.0f%%; sizes %s", fit.Form, 100*fit.MaxRelativeError, 100*spread, list(sizes)) + r.slowed()
	if mean, _, _, plays := r.Stats(c.name, nodes); plays > 0 {
		return mean, true, slope, true
	}
	return max(0, fit.Value(float64(nodes))), false, slope, true
}

func list(sizes []int) string {
	var all []string
	for _, n := range sizes {
		all = append(all, fmt.Sprint(n))
	}
	return strings.Join(all, ", ")
}

// slowed tells the sizes that were played on slowed clocks, and by what factor.
func (r *Record) slowed() (told string) {
	for _, n := range r.Sizes(func(int) bool { return true }) {
		for _, p := range r.Points {
			if p.Nodes == n && p.ClockSlowdown > 1 && p.VoidReason == "" {
				told += fmt.Sprintf("; %d on clocks slowed by %d", n, p.ClockSlowdown)
				break
			}
		}
	}
	return told
}

// Table is the page's table, in Markdown.
func (p *Page) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "| role | state | messages a second | bytes a second | processor time | memory | time until in force | slopes | mechanism | command |\n")
	fmt.Fprintf(&b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows { // in the page's order
		cells := map[string][]string{}
		var slopes []string
		missing := r.missing
		for _, c := range r.cells {
			value, played, slope, ok := p.figure(c, TargetNodes)
			if !ok {
				missing = strings.TrimPrefix(missing+"; "+c.what+": not measured", "; ")
				continue
			}
			twice, _, _, _ := p.figure(c, DoubleNodes)
			line := fmt.Sprintf("%s: **%s** %s", c.what, text(value), c.unit)
			switch {
			case strings.Contains(c.name, "@"):
			case played:
				line += fmt.Sprintf(" (played; %s at 1,800)", text(twice))
			default:
				line += fmt.Sprintf(" (worked out; %s at 1,800)", text(twice))
			}
			if c.budget > 0 && value > c.budget {
				line += fmt.Sprintf(" **over %s**", text(c.budget))
				p.OverBudget = append(p.OverBudget, fmt.Sprintf("%s, %s: %s %s, over %s (%.1f times)", r.role, c.what, text(value), c.unit, text(c.budget), value/c.budget))
			} else if c.budget > 0 {
				line += fmt.Sprintf(", under %s", text(c.budget))
			}
			if c.control != "" {
				sum := p.sums[c.control]
				p.sums[c.control] = [2]float64{sum[0] + value, sum[1] + twice}
			}
			cells[c.column] = append(cells[c.column], line)
			slopes = append(slopes, c.what+": "+slope)
		}
		if missing != "" {
			slopes = append(slopes, "**not measured:** "+missing)
			if r.none || !slices.ContainsFunc(r.cells, func(c cell) bool { _, _, _, ok := p.figure(c, TargetNodes); return ok }) {
				p.Missing = append(p.Missing, r.role+": "+missing)
			}
		}
		fmt.Fprintf(&b, "| %s | %s |", r.role, r.state)
		for _, column := range columns {
			fmt.Fprintf(&b, " %s |", strings.Join(cells[column], "<br>"))
		}
		fmt.Fprintf(&b, " %s | %s | %s |\n", strings.Join(slopes, "<br>"), r.mechanism, code(r.command))
	}
	b.WriteString("\n" + p.sum())
	return b.String()
}

func code(command string) string {
	if command == "" || strings.HasPrefix(command, "as ") {
		return command
	}
	return "`" + command + "`"
}

// sum stands under the table: all roles of control together.
func (p *Page) sum() string {
	bytes, fault, core := p.sums["bytes"], p.sums["fault"], p.sums["core"]
	over := func(x, budget float64) string {
		if x > budget {
			return "over"
		}
		return "under"
	}
	return fmt.Sprintf("Control at one node, all roles that were measured, sent and received together: **%s bytes a second in calm** (%s 4,096; %s at 1,800), "+
		"%s more in the worst faults measured; **%s%% of a core** in calm (%s 2.4%%).\n", text(bytes[0]), over(bytes[0], mostBytes), text(bytes[1]),
		text(fault[0]), text(core[0]), over(core[0], mostCore))
}

// Predictions are what smaller sizes gave before the larger was played, beside what came.
func (p *Page) Predictions() string {
	var b strings.Builder
	b.WriteString("| record | nodes | from | value | predicted | played | off by |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range p.records {
		for _, want := range r.Predictions {
			for _, name := range r.ValueNames() {
				is, _, _, plays := r.Stats(name, want.Nodes)
				predicted, has := want.Values[name]
				if plays == 0 || !has {
					continue
				}
				off := "0%"
				if is != 0 {
					off = fmt.Sprintf("%.0f%%", 100*(predicted-is)/is)
				}
				fmt.Fprintf(&b, "| %s, %s | %d | %s | %s | %s | %s | %s |\n", r.Role, r.Kind, want.Nodes, list(want.FromSizes), name, text(predicted), text(is), off)
			}
		}
	}
	return b.String()
}

// Calibration is how hollow nodes agree with real ones at the sizes that both were played with.
func (p *Page) Calibration() string {
	var b strings.Builder
	b.WriteString("| role | nodes | value | real | hollow | off by |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, real := range p.records {
		hollow := p.record(real.Role, KindInProcess)
		if real.Kind != KindReal || hollow == nil {
			continue
		}
		for _, n := range real.Sizes(func(int) bool { return true }) {
			for _, name := range []string{"calm_bytes", "calm_datagrams", "killed_bytes10", "killed_s", "burst_bytes", "all_s", "view_bytes", "first_bytes", "restart_bytes", "down_calls_s"} {
				a, _, _, plays := real.Stats(name, n)
				z, _, _, others := hollow.Stats(name, n)
				if plays > 0 && others > 0 && a > 0 {
					fmt.Fprintf(&b, "| %s | %d | %s | %s | %s | %.0f%% |\n", real.Role, n, name, text(a), text(z), 100*(z-a)/a)
				}
			}
		}
	}
	return b.String()
}

// Generated is all of the page that records give, between the two marks.
func (p *Page) Render() string {
	return p.Table() + "\n### Predicted and played\n\n" + p.Predictions() + "\n### Hollow against real nodes\n\n" + p.Calibration()
}

// Marks stand round what is generated.
const (
	BeginMark = "<!-- made by canvaslab capacity: begin -->\n"
	EndMark   = "<!-- made by canvaslab capacity: end -->\n"
)

// Replace puts what is generated between a page's marks.
func ReplaceGenerated(page, generated string) (string, error) {
	before, rest, found := strings.Cut(page, BeginMark)
	_, after, ended := strings.Cut(rest, EndMark)
	if !found || !ended {
		return "", fmt.Errorf("the page has no line %q and %q", strings.TrimSpace(BeginMark), strings.TrimSpace(EndMark))
	}
	return before + BeginMark + generated + EndMark + after, nil
}
