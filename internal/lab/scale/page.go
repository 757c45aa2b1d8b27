package scale

import (
	"fmt"
	"slices"
	"strings"
)

// Numbers of nodes for which the page gives figures: those of the operators' fleet, and of one twice as large.
const (
	TargetNodes = 900
	DoubleNodes = 1800
)

// Budgets of a node for control traffic and other overhead.
const (
	maxControlBytes  = 4096.0 // per second, sent and received together
	maxCorePercent   = 2.4
	maxMemoryMB      = 128.0
	maxAddedMs       = 1.4 // p99 of the latency that a hop adds
	maxChangeSeconds = 8.0 // until a change of configuration is in force
)

// tableCell is one figure of a row. It names the record and the value that the figure comes from.
type tableCell struct {
	column             string // one of columns
	label              string
	record, kind, name string
	unit               string
	budget             float64 // 0: none is set
	control            string  // the sum of control overhead that the figure adds to: "bytes", "fault", "core" or none
	independentOfSize  bool    // the figure does not depend on the number of nodes
}

// tableRow is the row of one role.
type tableRow struct {
	title, state, mechanism, command string
	cells                            []tableCell
	missing                          string // what is not measured
	hasNoMechanism                   bool   // nothing implements the role
}

// columns are the columns of the table that hold figures.
var columns = []string{"messages", "bytes", "processor", "memory", "in force"}

// rows are the rows of the table, in order.
var rows = []tableRow{
	{title: "Call's path", state: "ops in hand, 0.4 MB at most of bodies and tables for each 100; no term in N", command: "canvaslab scale path --nodes 1,10 --node bin/canvasrouter",
		mechanism: "`frontend`, `node`, `servers`: one actor decides, a goroutine carries each push",
		cells: []tableCell{
			{column: "in force", label: "p99 added, one hop", record: "path", kind: KindReal, name: "p99_added_ms@1", unit: "ms", budget: maxAddedMs},
			{column: "in force", label: "p50 added, one hop", record: "path", kind: KindReal, name: "p50_added_ms@1", unit: "ms"},
			{column: "in force", label: "p999 added, one hop", record: "path", kind: KindReal, name: "p999_added_ms@1", unit: "ms"},
			{column: "in force", label: "p99 added a hop, ten in a row", record: "path", kind: KindReal, name: "p99_added_a_hop_ms@10", unit: "ms", budget: maxAddedMs},
			{column: "processor", label: "a call and hop", record: "path", kind: KindReal, name: "core_ms_a_call@1", unit: "ms of a core"},
		}},
	{title: "List from discovery", state: "8 x C servers, some 130 bytes each in the node", command: "canvaslab scale list --nodes 25,50,100,200,400,900",
		mechanism: "`registry`: one watch a node, changes as lines, a line each 2 s",
		cells: []tableCell{
			{column: "bytes", label: "calm", record: "list", kind: KindInProcess, name: "calm_bytes", unit: "bytes/s", control: "bytes"},
			{column: "bytes", label: "a restart of a server listed", record: "list", kind: KindInProcess, name: "restart_bytes", unit: "bytes"},
			{column: "in force", label: "a change, the last node", record: "list", kind: KindInProcess, name: "change_most_ms", unit: "ms"},
			{column: "in force", label: "all watches anew after 2 s down", record: "list", kind: KindInProcess, name: "reopened_s", unit: "s", budget: 6},
		}},
	{title: "Discovery itself", state: "N watches; S servers", command: "canvaslab scale list --nodes 25,50,100,200,400,900",
		mechanism: "the operators' service; a stand-in here (`standin/registry`)",
		cells: []tableCell{
			{column: "messages", label: "calls a node while it is down", record: "list", kind: KindInProcess, name: "down_calls_s", unit: "calls/s"},
			{column: "bytes", label: "first list, 40 servers", record: "list", kind: KindInProcess, name: "first_bytes", unit: "bytes"},
		}, missing: "its own processor time and memory: it is not ours"},
	{title: "Members", state: "N x some 1.2 KB in each node (the library's state, table, senders)", command: "canvaslab scale members --nodes 25,50,100,200,400,900 (hollow); --nodes 25,50,100,200 --node bin/canvasrouter (real)",
		mechanism: "`fleet/members`: SWIM with Lifeguard (memberlist) on `fleet/transport`",
		cells: []tableCell{
			{column: "messages", label: "datagrams sent, calm", record: "members", kind: KindInProcess, name: "calm_datagrams", unit: "/s"},
			{column: "bytes", label: "calm", record: "members", kind: KindInProcess, name: "calm_bytes", unit: "bytes/s", budget: maxControlBytes, control: "bytes"},
			{column: "bytes", label: "worst 10 s, a tenth killed", record: "members", kind: KindInProcess, name: "killed_bytes10", unit: "bytes/s", budget: maxControlBytes},
			{column: "processor", label: "calm, with judgements idle", record: "members", kind: KindReal, name: "calm_core_percent", unit: "% of a core", budget: maxCorePercent, control: "core"},
			{column: "memory", label: "whole process, idle", record: "members", kind: KindReal, name: "calm_mb", unit: "MB", budget: maxMemoryMB},
			{column: "in force", label: "a tenth killed", record: "members", kind: KindInProcess, name: "killed_s", unit: "s"},
		}},
	{title: "Judgements on servers", state: "min(8 x C, 512) servers x 8 reports x some 100 bytes", command: "canvaslab scale judgements --nodes 25,50,100,200,400,900",
		mechanism: "`fleet/outlier`: reports by source, gossiped by `fleet/transport`",
		cells: []tableCell{
			{column: "bytes", label: "calm", record: "judgements", kind: KindInProcess, name: "calm_bytes", unit: "bytes/s", control: "bytes"},
			{column: "bytes", label: "a tenth of the servers silent", record: "judgements", kind: KindInProcess, name: "fault_bytes", unit: "bytes/s", budget: maxControlBytes, control: "fault"},
			{column: "in force", label: "nine in ten nodes know", record: "judgements", kind: KindInProcess, name: "seen_s", unit: "s"},
		}},
	{title: "Messages between modules", state: "64 words a number, 192 bytes", mechanism: "`fleet/peermsg`, off by default", missing: "not measured at this size: words go to the nodes of a service's fleet_size alone"},
	{title: "Configuration", state: "at a node: three patches of at most 64 KiB; at each of the 3 replicas: V + N keys at the most, 4,096 reports of some 300 bytes",
		command:   "canvaslab scale changes --nodes 25,50,100,200,400,900 (hollow); --nodes 25,50,100 --node bin/canvasrouter (real)",
		mechanism: "`store`: a register a key on three replicas, each node watches one of them; **none before**: a file and SIGHUP at each node",
		cells: []tableCell{
			{column: "bytes", label: "calm", record: "changes", kind: KindInProcess, name: "calm_bytes", unit: "bytes/s", budget: maxControlBytes, control: "bytes"},
			{column: "bytes", label: "a release, 100 changes a minute", record: "changes", kind: KindInProcess, name: "burst_bytes", unit: "bytes/s", budget: maxControlBytes, control: "fault"},
			{column: "bytes", label: "a change for all", record: "changes", kind: KindInProcess, name: "change_bytes", unit: "bytes"},
			{column: "processor", label: "whole process, idle, calm", record: "changes", kind: KindReal, name: "calm_core_percent", unit: "% of a core", budget: maxCorePercent},
			{column: "in force", label: "a change for all, at the last node", record: "changes", kind: KindInProcess, name: "all_s", unit: "s", budget: maxChangeSeconds},
			{column: "in force", label: "the slowest of a release", record: "changes", kind: KindInProcess, name: "burst_most_s", unit: "s", budget: maxChangeSeconds},
			{column: "in force", label: "one replica lost just before", record: "changes", kind: KindInProcess, name: "replica_lost_s", unit: "s", budget: maxChangeSeconds},
			{column: "in force", label: "region without a replica, once it is back", record: "changes", kind: KindInProcess, name: "healed_s", unit: "s", budget: maxChangeSeconds},
		}},
	{title: "Limits over the fleet", state: "", mechanism: "**none**", hasNoMechanism: true, missing: "budgets and counts over all nodes are not built"},
	{title: "Start", state: "a list of known servers", command: "canvaslab scale start --nodes 25,50,100,200 --node bin/canvasrouter",
		mechanism: "`serve`: ready once it listens, whatever the registry does",
		cells: []tableCell{
			{column: "in force", label: "nine in ten restarted ready, registry up", record: "start", kind: KindReal, name: "up_ready_p90_s", unit: "s", budget: 10},
			{column: "in force", label: "registry 2 s late", record: "start", kind: KindReal, name: "slow_ready_p90_s", unit: "s", budget: 10},
			{column: "in force", label: "registry down", record: "start", kind: KindReal, name: "down_ready_p90_s", unit: "s", budget: 10},
			{column: "in force", label: "the last one serves, registry down", record: "start", kind: KindReal, name: "down_serves_most_s", unit: "s"},
		}, missing: "900 at once: each has a machine of its own there, and 8 cores here"},
	{title: "A zone lost", state: "as Members", command: "as Members", mechanism: "`fleet/members`, `registry`",
		cells: []tableCell{
			{column: "bytes", label: "worst 10 s", record: "members", kind: KindInProcess, name: "zone_bytes10", unit: "bytes/s", budget: maxControlBytes},
			{column: "in force", label: "the others agree", record: "members", kind: KindInProcess, name: "zone_s", unit: "s"},
		}},
	{title: "A region cut for an hour, and back", state: "as Members; those gone are kept ten minutes", command: "as Members (30 s against 5 s kept: an hour by a factor of 120)",
		mechanism: "`fleet/members`: addresses in `join` are asked for ever, so some of them must lie in the other region",
		cells: []tableCell{
			{column: "bytes", label: "worst 10 s at the cut", record: "members", kind: KindInProcess, name: "cut_bytes10", unit: "bytes/s", budget: maxControlBytes},
			{column: "bytes", label: "worst 10 s when it is back", record: "members", kind: KindInProcess, name: "healed_bytes10", unit: "bytes/s", budget: maxControlBytes, control: "fault"},
			{column: "in force", label: "the smaller side agrees", record: "members", kind: KindInProcess, name: "cut_small_s", unit: "s"},
			{column: "in force", label: "all agree when it is back", record: "members", kind: KindInProcess, name: "healed_s", unit: "s"},
		}},
	{title: "Operators' view", state: "N members, reports on 8 x C servers", mechanism: "`canvasrouter fleet`, a node at a time, on its own socket: nothing of it goes between nodes",
		command: "canvaslab scale view --nodes 25,50,100,200,400,900 (hollow); --nodes 25,50,100 --node bin/canvasrouter (real)",
		cells: []tableCell{
			{column: "bytes", label: "a look at one node", record: "view", kind: KindInProcess, name: "view_bytes", unit: "bytes"},
			{column: "in force", label: "a look at one process", record: "view", kind: KindReal, name: "view_ms", unit: "ms"},
		}, missing: "all nodes in one look: there is none"},
}

// Page generates the capacity page from records.
type Page struct {
	records    []*Record
	OverBudget []string              // figures above their budget; filled by Table
	Missing    []string              // rows without any figure, or without a mechanism; filled by Table
	sums       map[string][2]float64 // sums of control overhead, at TargetNodes and at DoubleNodes
}

// NewPage returns the page for some records.
func NewPage(records []*Record) *Page {
	return &Page{records: records, sums: make(map[string][2]float64)}
}

// record returns the record of a role and a kind of node, or nil.
func (p *Page) record(role, kind string) *Record {
	for _, r := range p.records {
		if r.Role == role && r.Kind == kind {
			return r
		}
	}
	return nil
}

// cell returns the value of a table cell at a number of nodes, whether it was measured at that size or computed from the
// growth, a description of the growth, and whether there is any measurement.
func (p *Page) cell(cell tableCell, nodes int) (value float64, measured bool, slope string, ok bool) {
	r := p.record(cell.record, cell.kind)
	if r == nil {
		return 0, false, "", false
	}
	if name, at, fixed := strings.Cut(cell.name, "@"); fixed {
		size := 0
		fmt.Sscan(at, &size)
		mean, lowest, highest, runs := r.Stats(name, size)
		return mean, true, fmt.Sprintf("%d plays, %s to %s", runs, formatFigure(lowest), formatFigure(highest)), runs > 0
	}
	anySize := func(int) bool { return true }
	fit, ok := r.FitGrowth(cell.name, anySize)
	if !ok {
		return 0, false, "", false
	}
	sizes := r.Sizes(anySize)
	spread := 0.0
	for _, n := range sizes {
		if mean, lowest, highest, runs := r.Stats(cell.name, n); runs > 1 && mean > 0 {
			spread = max(spread, (highest-lowest)/mean)
		}
	}
	slope = fmt.Sprintf("%s, off by %.0f%% at most; spread of plays %.0f%%; sizes %s", fit.Form, 100*fit.MaxRelativeError, 100*spread, joinSizes(sizes)) + r.slowdownNote()
	if mean, _, _, runs := r.Stats(cell.name, nodes); runs > 0 {
		return mean, true, slope, true
	}
	return max(0, fit.Value(float64(nodes))), false, slope, true
}

// joinSizes formats sizes as a list.
func joinSizes(sizes []int) string {
	var texts []string
	for _, n := range sizes {
		texts = append(texts, fmt.Sprint(n))
	}
	return strings.Join(texts, ", ")
}

// slowdownNote returns a note on the sizes that were measured on slowed clocks, with the factor.
func (r *Record) slowdownNote() (note string) {
	for _, n := range r.Sizes(func(int) bool { return true }) {
		for _, p := range r.Points {
			if p.Nodes == n && p.ClockSlowdown > 1 && p.VoidReason == "" {
				note += fmt.Sprintf("; %d on clocks slowed by %d", n, p.ClockSlowdown)
				break
			}
		}
	}
	return note
}

// Table returns the table in Markdown, followed by the summary. It also fills OverBudget and Missing.
func (p *Page) Table() string {
	var text strings.Builder
	fmt.Fprintf(&text, "| role | state | messages a second | bytes a second | processor time | memory | time until in force | slopes | mechanism | command |\n")
	fmt.Fprintf(&text, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, row := range rows {
		cells := map[string][]string{}
		var slopes []string
		missing := row.missing
		for _, cell := range row.cells {
			value, measured, slope, ok := p.cell(cell, TargetNodes)
			if !ok {
				missing = strings.TrimPrefix(missing+"; "+cell.label+": not measured", "; ")
				continue
			}
			doubled, _, _, _ := p.cell(cell, DoubleNodes)
			line := fmt.Sprintf("%s: **%s** %s", cell.label, formatFigure(value), cell.unit)
			switch {
			case strings.Contains(cell.name, "@"):
			case measured:
				line += fmt.Sprintf(" (played; %s at 1,800)", formatFigure(doubled))
			default:
				line += fmt.Sprintf(" (worked out; %s at 1,800)", formatFigure(doubled))
			}
			if cell.budget > 0 && value > cell.budget {
				line += fmt.Sprintf(" **over %s**", formatFigure(cell.budget))
				p.OverBudget = append(p.OverBudget, fmt.Sprintf("%s, %s: %s %s, over %s (%.1f times)", row.title, cell.label, formatFigure(value), cell.unit, formatFigure(cell.budget), value/cell.budget))
			} else if cell.budget > 0 {
				line += fmt.Sprintf(", under %s", formatFigure(cell.budget))
			}
			if cell.control != "" {
				sum := p.sums[cell.control]
				p.sums[cell.control] = [2]float64{sum[0] + value, sum[1] + doubled}
			}
			cells[cell.column] = append(cells[cell.column], line)
			slopes = append(slopes, cell.label+": "+slope)
		}
		if missing != "" {
			slopes = append(slopes, "**not measured:** "+missing)
			if row.hasNoMechanism || !slices.ContainsFunc(row.cells, func(cell tableCell) bool { _, _, _, ok := p.cell(cell, TargetNodes); return ok }) {
				p.Missing = append(p.Missing, row.title+": "+missing)
			}
		}
		fmt.Fprintf(&text, "| %s | %s |", row.title, row.state)
		for _, column := range columns {
			fmt.Fprintf(&text, " %s |", strings.Join(cells[column], "<br>"))
		}
		fmt.Fprintf(&text, " %s | %s | %s |\n", strings.Join(slopes, "<br>"), row.mechanism, codeSpan(row.command))
	}
	text.WriteString("\n" + p.summary())
	return text.String()
}

// codeSpan formats a command as code, but not a reference to another row.
func codeSpan(command string) string {
	if command == "" || strings.HasPrefix(command, "as ") {
		return command
	}
	return "`" + command + "`"
}

// summary returns the paragraph under the table: the sums over all roles of control.
func (p *Page) summary() string {
	bytes, fault, core := p.sums["bytes"], p.sums["fault"], p.sums["core"]
	compare := func(x, budget float64) string {
		if x > budget {
			return "over"
		}
		return "under"
	}
	return fmt.Sprintf("Control at one node, all roles that were measured, sent and received together: **%s bytes a second in calm** (%s 4,096; %s at 1,800), "+
		"%s more in the worst faults measured; **%s%% of a core** in calm (%s 2.4%%).\n", formatFigure(bytes[0]), compare(bytes[0], maxControlBytes), formatFigure(bytes[1]),
		formatFigure(fault[0]), formatFigure(core[0]), compare(core[0], maxCorePercent))
}

// Predictions returns a table that compares the predictions from smaller sizes with what was measured later.
func (p *Page) Predictions() string {
	var text strings.Builder
	text.WriteString("| record | nodes | from | value | predicted | played | off by |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range p.records {
		for _, prediction := range r.Predictions {
			for _, name := range r.ValueNames() {
				measured, _, _, runs := r.Stats(name, prediction.Nodes)
				predicted, has := prediction.Values[name]
				if runs == 0 || !has {
					continue
				}
				off := "0%"
				if measured != 0 {
					off = fmt.Sprintf("%.0f%%", 100*(predicted-measured)/measured)
				}
				fmt.Fprintf(&text, "| %s, %s | %d | %s | %s | %s | %s | %s |\n", r.Role, r.Kind, prediction.Nodes, joinSizes(prediction.FromSizes), name, formatFigure(predicted), formatFigure(measured), off)
			}
		}
	}
	return text.String()
}

// Calibration returns a table that compares in-process nodes with real ones at the sizes measured with both.
func (p *Page) Calibration() string {
	var text strings.Builder
	text.WriteString("| role | nodes | value | real | hollow | off by |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, real := range p.records {
		hollow := p.record(real.Role, KindInProcess)
		if real.Kind != KindReal || hollow == nil {
			continue
		}
		for _, nodes := range real.Sizes(func(int) bool { return true }) {
			for _, name := range []string{"calm_bytes", "calm_datagrams", "killed_bytes10", "killed_s", "burst_bytes", "all_s", "view_bytes", "first_bytes", "restart_bytes", "down_calls_s"} {
				realMean, _, _, runs := real.Stats(name, nodes)
				hollowMean, _, _, hollowRuns := hollow.Stats(name, nodes)
				if runs > 0 && hollowRuns > 0 && realMean > 0 {
					fmt.Fprintf(&text, "| %s | %d | %s | %s | %s | %.0f%% |\n", real.Role, nodes, name, formatFigure(realMean), formatFigure(hollowMean), 100*(hollowMean-realMean)/realMean)
				}
			}
		}
	}
	return text.String()
}

// Render returns all text of the page that is generated from records.
func (p *Page) Render() string {
	return p.Table() + "\n### Predicted and played\n\n" + p.Predictions() + "\n### Hollow against real nodes\n\n" + p.Calibration()
}

// Lines of the page that enclose the generated text.
const (
	BeginMark = "<!-- made by canvaslab capacity: begin -->\n"
	EndMark   = "<!-- made by canvaslab capacity: end -->\n"
)

// ReplaceGenerated replaces the text between the marks of a page.
func ReplaceGenerated(page, generated string) (string, error) {
	before, rest, found := strings.Cut(page, BeginMark)
	_, after, ended := strings.Cut(rest, EndMark)
	if !found || !ended {
		return "", fmt.Errorf("the page has no line %q and %q", strings.TrimSpace(BeginMark), strings.TrimSpace(EndMark))
	}
	return before + BeginMark + generated + EndMark + after, nil
}
