package scale

import (
	"fmt"
	"slices"
	"strings"
)

// The operators' size and what a node may spend on control.
const (
	TargetNodes      = 900
	DoubleNodes      = 1800
	maxControlBytes  = 4096.0 // a second and node, sent and received together
	maxCorePercent   = 2.4    // percent
	maxMemoryMB      = 128.0
	maxAddedMs       = 1.4 // ms, for 99 in 100
	maxChangeSeconds = 8.0 // s, for a change of configuration
)

// cell is one figure of a row.
type cell struct {
	column             string // of the page
	label              string
	record, kind, name string
	unit               string
	budget             float64 // 0: none was told
	control            string  // what it adds to the sum of control: "bytes", "fault", "core"
	mean               bool    // every size counts alike: the figure does not depend on nodes
}

// row is one role of the page.
type row struct {
	title, state, mechanism, command string
	cells                            []cell
	missing                          string // what of it was not measured, or that nothing carries it
	hasNoMechanism                   bool   // no mechanism
}

var columns = []string{"messages", "bytes", "processor", "memory", "in force"}

var rows = []row{
	{title: "Call's path", state: "ops in hand, 0.4 MB at most of bodies and tables for each 100; no term in N", command: "canvaslab scale path --nodes 1,10 --node bin/canvasrouter",
		mechanism: "`clients`, `node`, `servers`: one actor decides, a goroutine carries each push",
		cells: []cell{
			{column: "in force", label: "p99 added, one hop", record: "path", kind: KindReal, name: "p99_added_ms@1", unit: "ms", budget: maxAddedMs},
			{column: "in force", label: "p50 added, one hop", record: "path", kind: KindReal, name: "p50_added_ms@1", unit: "ms"},
			{column: "in force", label: "p999 added, one hop", record: "path", kind: KindReal, name: "p999_added_ms@1", unit: "ms"},
			{column: "in force", label: "p99 added a hop, ten in a row", record: "path", kind: KindReal, name: "p99_added_a_hop_ms@10", unit: "ms", budget: maxAddedMs},
			{column: "processor", label: "a call and hop", record: "path", kind: KindReal, name: "core_ms_a_call@1", unit: "ms of a core"},
		}},
	{title: "List from discovery", state: "8 x C servers, some 130 bytes each in the node", command: "canvaslab scale list --nodes 25,50,100,200,400,900",
		mechanism: "`registry`: one watch a node, changes as lines, a line each 2 s",
		cells: []cell{
			{column: "bytes", label: "calm", record: "list", kind: KindInProcess, name: "calm_bytes", unit: "bytes/s", control: "bytes"},
			{column: "bytes", label: "a restart of a server listed", record: "list", kind: KindInProcess, name: "restart_bytes", unit: "bytes"},
			{column: "in force", label: "a change, the last node", record: "list", kind: KindInProcess, name: "change_most_ms", unit: "ms"},
			{column: "in force", label: "all watches anew after 2 s down", record: "list", kind: KindInProcess, name: "reopened_s", unit: "s", budget: 6},
		}},
	{title: "Discovery itself", state: "N watches; S servers", command: "canvaslab scale list --nodes 25,50,100,200,400,900",
		mechanism: "the operators' service; a stand-in here (`standin/registry`)",
		cells: []cell{
			{column: "messages", label: "calls a node while it is down", record: "list", kind: KindInProcess, name: "down_calls_s", unit: "calls/s"},
			{column: "bytes", label: "first list, 40 servers", record: "list", kind: KindInProcess, name: "first_bytes", unit: "bytes"},
		}, missing: "its own processor time and memory: it is not ours"},
	{title: "Members", state: "N x some 1.2 KB in each node (the library's state, table, senders)", command: "canvaslab scale members --nodes 25,50,100,200,400,900 (hollow); --nodes 25,50,100,200 --node bin/canvasrouter (real)",
		mechanism: "`fleet/members`: SWIM with Lifeguard (memberlist) on `fleet/transport`",
		cells: []cell{
			{column: "messages", label: "datagrams sent, calm", record: "members", kind: KindInProcess, name: "calm_datagrams", unit: "/s"},
			{column: "bytes", label: "calm", record: "members", kind: KindInProcess, name: "calm_bytes", unit: "bytes/s", budget: maxControlBytes, control: "bytes"},
			{column: "bytes", label: "worst 10 s, a tenth killed", record: "members", kind: KindInProcess, name: "killed_bytes10", unit: "bytes/s", budget: maxControlBytes},
			{column: "processor", label: "calm, with judgements idle", record: "members", kind: KindReal, name: "calm_core_percent", unit: "% of a core", budget: maxCorePercent, control: "core"},
			{column: "memory", label: "whole process, idle", record: "members", kind: KindReal, name: "calm_mb", unit: "MB", budget: maxMemoryMB},
			{column: "in force", label: "a tenth killed", record: "members", kind: KindInProcess, name: "killed_s", unit: "s"},
		}},
	{title: "Judgements on servers", state: "min(8 x C, 512) servers x 8 reports x some 100 bytes", command: "canvaslab scale judgements --nodes 25,50,100,200,400,900",
		mechanism: "`fleet/judged`: reports by source, gossiped by `fleet/transport`",
		cells: []cell{
			{column: "bytes", label: "calm", record: "judgements", kind: KindInProcess, name: "calm_bytes", unit: "bytes/s", control: "bytes"},
			{column: "bytes", label: "a tenth of the servers silent", record: "judgements", kind: KindInProcess, name: "fault_bytes", unit: "bytes/s", budget: maxControlBytes, control: "fault"},
			{column: "in force", label: "nine in ten nodes know", record: "judgements", kind: KindInProcess, name: "seen_s", unit: "s"},
		}},
	{title: "Messages between modules", state: "64 words a number, 192 bytes", mechanism: "`fleet/words`, off by default", missing: "not measured at this size: words go to the nodes of a service's fleet_size alone"},
	{title: "Configuration", state: "at a node: three patches of at most 64 KiB; at each of the 3 replicas: V + N keys at the most, 4,096 reports of some 300 bytes",
		command:   "canvaslab scale changes --nodes 25,50,100,200,400,900 (hollow); --nodes 25,50,100 --node bin/canvasrouter (real)",
		mechanism: "`store`: a register a key on three replicas, each node watches one of them; **none before**: a file and SIGHUP at each node",
		cells: []cell{
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
		cells: []cell{
			{column: "in force", label: "nine in ten restarted ready, registry up", record: "start", kind: KindReal, name: "up_ready_p90_s", unit: "s", budget: 10},
			{column: "in force", label: "registry 2 s late", record: "start", kind: KindReal, name: "slow_ready_p90_s", unit: "s", budget: 10},
			{column: "in force", label: "registry down", record: "start", kind: KindReal, name: "down_ready_p90_s", unit: "s", budget: 10},
			{column: "in force", label: "the last one serves, registry down", record: "start", kind: KindReal, name: "down_serves_most_s", unit: "s"},
		}, missing: "900 at once: each has a machine of its own there, and 8 cores here"},
	{title: "A zone lost", state: "as Members", command: "as Members", mechanism: "`fleet/members`, `registry`",
		cells: []cell{
			{column: "bytes", label: "worst 10 s", record: "members", kind: KindInProcess, name: "zone_bytes10", unit: "bytes/s", budget: maxControlBytes},
			{column: "in force", label: "the others agree", record: "members", kind: KindInProcess, name: "zone_s", unit: "s"},
		}},
	{title: "A region cut for an hour, and back", state: "as Members; those gone are kept ten minutes", command: "as Members (30 s against 5 s kept: an hour by a factor of 120)",
		mechanism: "`fleet/members`: addresses in `join` are asked for ever, so some of them must lie in the other region",
		cells: []cell{
			{column: "bytes", label: "worst 10 s at the cut", record: "members", kind: KindInProcess, name: "cut_bytes10", unit: "bytes/s", budget: maxControlBytes},
			{column: "bytes", label: "worst 10 s when it is back", record: "members", kind: KindInProcess, name: "healed_bytes10", unit: "bytes/s", budget: maxControlBytes, control: "fault"},
			{column: "in force", label: "the smaller side agrees", record: "members", kind: KindInProcess, name: "cut_small_s", unit: "s"},
			{column: "in force", label: "all agree when it is back", record: "members", kind: KindInProcess, name: "healed_s", unit: "s"},
		}},
	{title: "Operators' view", state: "N members, reports on 8 x C servers", mechanism: "`canvasrouter fleet`, a node at a time, on its own socket: nothing of it goes between nodes",
		command: "canvaslab scale view --nodes 25,50,100,200,400,900 (hollow); --nodes 25,50,100 --node bin/canvasrouter (real)",
		cells: []cell{
			{column: "bytes", label: "a look at one node", record: "view", kind: KindInProcess, name: "view_bytes", unit: "bytes"},
			{column: "in force", label: "a look at one process", record: "view", kind: KindReal, name: "view_ms", unit: "ms"},
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
func (p *Page) figure(figure cell, nodes int) (value float64, measured bool, slope string, ok bool) {
	r := p.record(figure.record, figure.kind)
	if r == nil {
		return 0, false, "", false
	}
	if name, at, fixed := strings.Cut(figure.name, "@"); fixed {
		size := 0
		fmt.Sscan(at, &size)
		mean, lowest, highest, runs := r.Stats(name, size)
		return mean, true, fmt.Sprintf("%d plays, %s to %s", runs, formatFigure(lowest), formatFigure(highest)), runs > 0
	}
	anySize := func(int) bool { return true }
	fit, ok := r.FitGrowth(figure.name, anySize)
	if !ok {
		return 0, false, "", false
	}
	sizes := r.Sizes(anySize)
	spread := 0.0
	for _, n := range sizes {
		if mean, lowest, highest, runs := r.Stats(figure.name, n); runs > 1 && mean > 0 {
			spread = max(spread, (highest-lowest)/mean)
		}
	}
	slope = fmt.Sprintf("%s, off by %.0f%% at most; spread of plays %.0f%%; sizes %s", fit.Form, 100*fit.MaxRelativeError, 100*spread, joinSizes(sizes)) + r.slowdownNote()
	if mean, _, _, runs := r.Stats(figure.name, nodes); runs > 0 {
		return mean, true, slope, true
	}
	return max(0, fit.Value(float64(nodes))), false, slope, true
}

func joinSizes(sizes []int) string {
	var texts []string
	for _, n := range sizes {
		texts = append(texts, fmt.Sprint(n))
	}
	return strings.Join(texts, ", ")
}

// slowed tells the sizes that were played on slowed clocks, and by what factor.
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

// Table is the page's table, in Markdown.
func (p *Page) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "| role | state | messages a second | bytes a second | processor time | memory | time until in force | slopes | mechanism | command |\n")
	fmt.Fprintf(&b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, role := range rows { // in the page's order
		cells := map[string][]string{}
		var slopes []string
		missing := role.missing
		for _, figure := range role.cells {
			value, measured, slope, ok := p.figure(figure, TargetNodes)
			if !ok {
				missing = strings.TrimPrefix(missing+"; "+figure.label+": not measured", "; ")
				continue
			}
			doubled, _, _, _ := p.figure(figure, DoubleNodes)
			line := fmt.Sprintf("%s: **%s** %s", figure.label, formatFigure(value), figure.unit)
			switch {
			case strings.Contains(figure.name, "@"):
			case measured:
				line += fmt.Sprintf(" (played; %s at 1,800)", formatFigure(doubled))
			default:
				line += fmt.Sprintf(" (worked out; %s at 1,800)", formatFigure(doubled))
			}
			if figure.budget > 0 && value > figure.budget {
				line += fmt.Sprintf(" **over %s**", formatFigure(figure.budget))
				p.OverBudget = append(p.OverBudget, fmt.Sprintf("%s, %s: %s %s, over %s (%.1f times)", role.title, figure.label, formatFigure(value), figure.unit, formatFigure(figure.budget), value/figure.budget))
			} else if figure.budget > 0 {
				line += fmt.Sprintf(", under %s", formatFigure(figure.budget))
			}
			if figure.control != "" {
				sum := p.sums[figure.control]
				p.sums[figure.control] = [2]float64{sum[0] + value, sum[1] + doubled}
			}
			cells[figure.column] = append(cells[figure.column], line)
			slopes = append(slopes, figure.label+": "+slope)
		}
		if missing != "" {
			slopes = append(slopes, "**not measured:** "+missing)
			if role.hasNoMechanism || !slices.ContainsFunc(role.cells, func(figure cell) bool { _, _, _, ok := p.figure(figure, TargetNodes); return ok }) {
				p.Missing = append(p.Missing, role.title+": "+missing)
			}
		}
		fmt.Fprintf(&b, "| %s | %s |", role.title, role.state)
		for _, column := range columns {
			fmt.Fprintf(&b, " %s |", strings.Join(cells[column], "<br>"))
		}
		fmt.Fprintf(&b, " %s | %s | %s |\n", strings.Join(slopes, "<br>"), role.mechanism, codeSpan(role.command))
	}
	b.WriteString("\n" + p.summary())
	return b.String()
}

func codeSpan(command string) string {
	if command == "" || strings.HasPrefix(command, "as ") {
		return command
	}
	return "`" + command + "`"
}

// sum stands under the table: all roles of control together.
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

// Predictions are what smaller sizes gave before the larger was played, beside what came.
func (p *Page) Predictions() string {
	var b strings.Builder
	b.WriteString("| record | nodes | from | value | predicted | played | off by |\n| --- | --- | --- | --- | --- | --- | --- |\n")
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
				fmt.Fprintf(&b, "| %s, %s | %d | %s | %s | %s | %s | %s |\n", r.Role, r.Kind, prediction.Nodes, joinSizes(prediction.FromSizes), name, formatFigure(predicted), formatFigure(measured), off)
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
		for _, nodes := range real.Sizes(func(int) bool { return true }) {
			for _, name := range []string{"calm_bytes", "calm_datagrams", "killed_bytes10", "killed_s", "burst_bytes", "all_s", "view_bytes", "first_bytes", "restart_bytes", "down_calls_s"} {
				realMean, _, _, runs := real.Stats(name, nodes)
				hollowMean, _, _, hollowRuns := hollow.Stats(name, nodes)
				if runs > 0 && hollowRuns > 0 && realMean > 0 {
					fmt.Fprintf(&b, "| %s | %d | %s | %s | %s | %.0f%% |\n", real.Role, nodes, name, formatFigure(realMean), formatFigure(hollowMean), 100*(hollowMean-realMean)/realMean)
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
