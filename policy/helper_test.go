package policy

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var updateTraces = flag.Bool("update", false, "overwrite the traces under testdata")

// scenario drives one node and records what the node does. Its simulated clock fires the timers that the node sets.
type scenario struct {
	*testing.T
	node       *Node
	now        Micros
	lastOp     OpID                // last op of those that the scenario numbers itself
	timers     []Effect            // not yet fired
	lastServer map[string]ServerID // server of the last push of each op
	trace      strings.Builder
}

var (
	redeliverable      = Category{Benefit: 10, TargetLatency: Second, TTL: 3 * Second}
	lowBenefit         = Category{Benefit: 1, TargetLatency: Second, TTL: 3 * Second}
	atMostOnce         = Category{Benefit: 10, TargetLatency: Second, TTL: 3 * Second, Delivery: AtMostOnce}
	deduplicatedInCell = Category{Benefit: 10, TargetLatency: Second, TTL: 3 * Second, Delivery: Deduplicated,
		DedupScope: DedupScopeCell, DedupWindow: 600 * Millisecond}
	testColdStart = ColdStartRule{InitialShare: 0.25, WarmUpTime: 8 * Second, OverloadFactor: 2, OverloadWindow: Second}
)

// newScenario starts the second of two nodes, at second 1, with op ids from 1001.
func newScenario(t *testing.T, registry RegistryRule, categories ...Category) *scenario {
	topology := Topology{TierCount: 1, NodeCount: 2, NodeNumber: 1, ClockTick: 5 * Millisecond}
	limits := PushLimits{MaxPushes: 4, MayCancel: true, MayDuplicate: true, DialTimeout: 100 * Millisecond,
		MaxRetryAfter: Second}
	return &scenario{T: t, node: New(1, topology, categories, limits, testColdStart, registry), now: Second, lastOp: 1000,
		lastServer: map[string]ServerID{}}
}

// shareServers makes the node one of ten, so that the subsets of nodes overlap. It must be called before the first list.
func (s *scenario) shareServers() {
	s.node.topology.NodeCount = 10
	s.node.topology.NodeNumber = 5
}

// liftConcurrencyLimits sets limits that are never reached, as if the servers had served that many pushes for long.
func (s *scenario) liftConcurrencyLimits() {
	for i := range s.node.servers {
		s.node.servers[i].concurrencyLimit = 1000
	}
}

// readyServers returns a list of ready servers a, b, ..., spread over three cells.
func readyServers(count int) (list []ListEntry) {
	for i := range count {
		list = append(list, ListEntry{Server: ServerID(i + 1), Weight: 1, Cell: CellID(i % 3)})
	}
	return list
}

// serverName returns the one-letter name that traces have for a server.
func serverName(id ServerID) string { return string(rune('a' + int(id) - 1)) }

// record adds a line with the current time to the trace.
func (s *scenario) record(format string, args ...any) {
	fmt.Fprintf(&s.trace, "%8.1f  %s\n", float64(s.now)/1000, fmt.Sprintf(format, args...))
}

// step passes an input to the node, records the effects and keeps the timers.
func (s *scenario) step(input Input) {
	messages := 0
	for _, effect := range s.node.Step(s.now, &input) {
		switch effect.Kind {
		case Push:
			s.lastServer[fmt.Sprint(effect.Op)] = effect.Server
			before := ""
			if effect.BeginBefore > 0 {
				before = fmt.Sprintf(", begins before %.1f", float64(effect.BeginBefore)/1000)
			}
			s.record("  push op %d to %s for %.1f%s", effect.Op, serverName(effect.Server), float64(effect.Duration)/1000, before)
		case Nack:
			s.record("  nack op %d, back in %.0f", effect.Op, float64(effect.Duration)/1000)
		case DeadLetter:
			s.record("  dead letter op %d", effect.Op)
		case Cancel:
			s.record("  cancel op %d push %d", effect.Op, effect.Push)
		case SetTimer:
			s.timers = append(s.timers, effect)
		case WatchRegistry:
			s.record("  watch the registry")
		case CloseIdle:
			s.record("  close idle connections to %s", serverName(effect.Server))
		case SendToPeer:
			messages++
		case Log:
			s.record("  log: %s", effect.Text)
		}
	}
	if messages > 0 {
		s.record("  tell %d nodes", messages)
	}
}

// receiveList passes a list of servers to the node.
func (s *scenario) receiveList(form ListForm, entries []ListEntry) {
	var names []string
	for _, entry := range entries {
		names = append(names, serverName(entry.Server)+[]string{"", " draining", " gone"}[entry.State])
	}
	s.record("list %s: %s", []string{"changes", "whole", "cached", "failed", "weighed"}[form], strings.Join(names, ", "))
	s.step(Input{Kind: ListReceived, Form: form, List: entries})
}

// arrive lets an op arrive whose client waits for 2 s.
func (s *scenario) arrive(id OpID, category CategoryID) {
	s.record("op %d of category %d", id, category)
	s.step(Input{Kind: OpArrived, Op: id, Category: category, Deadline: s.now + 2*Second})
}

// endPush ends a push 50 ms after its start.
func (s *scenario) endPush(id OpID, push PushNumber, outcome Outcome) {
	s.record("op %d push %d %s", id, push, []string{"acked", "errored", "full", "timed out", "failed to connect",
		"reset", "cancelled", "moot"}[outcome])
	s.step(Input{Kind: PushEnded, Op: id, Push: push, Server: s.lastServer[fmt.Sprint(id)], Outcome: outcome,
		Latency: 50 * Millisecond, OpSettled: outcome == Acked})
}

// ackFirstPush acks the first push of an op, with the given latency.
func (s *scenario) ackFirstPush(id OpID, latency Micros) {
	s.step(Input{Kind: PushEnded, Op: id, Server: s.lastServer[fmt.Sprint(id)], Outcome: Acked, Latency: latency,
		OpSettled: true})
}

// advance lets time pass and fires the timers that are due.
func (s *scenario) advance(duration Micros) {
	until := s.now + duration
	for {
		slices.SortStableFunc(s.timers, func(a, b Effect) int { return int(a.TimerAt - b.TimerAt) })
		if len(s.timers) == 0 || s.timers[0].TimerAt > until {
			s.now = until
			return
		}
		timer := s.timers[0]
		s.timers = s.timers[1:]
		s.now = timer.TimerAt
		s.step(Input{Kind: TimerFired, Token: timer.Token})
	}
}

// summarize replaces the trace of run by one line with the number of pushes per server, nacks and the like. Log lines
// are kept.
func (s *scenario) summarize(title string, run func()) {
	earlier := s.trace.String()
	s.trace.Reset()
	run()
	counts := map[string]int{}
	var logLines []string
	for _, line := range strings.Split(s.trace.String(), "\n") {
		fields := strings.Fields(line)
		switch {
		case len(fields) > 5 && fields[1] == "push":
			counts["to "+fields[5]]++
		case len(fields) > 1 && (fields[1] == "nack" || fields[1] == "dead" || fields[1] == "close"):
			counts[fields[1]]++
		case len(fields) > 1 && fields[1] == "log:":
			logLines = append(logLines, line+"\n")
		}
	}
	s.trace.Reset()
	s.trace.WriteString(earlier)
	s.record("%s: %v", title, counts)
	s.trace.WriteString(strings.Join(logLines, ""))
}

// compareTrace compares the trace with the file under testdata that has the name of the test.
func (s *scenario) compareTrace() {
	s.Helper()
	path := filepath.Join("testdata", strings.ReplaceAll(strings.TrimPrefix(s.Name(), "Test"), "/", "-")+".txt")
	if *updateTraces {
		if err := os.WriteFile(path, []byte(s.trace.String()), 0o644); err != nil {
			s.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		s.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(s.trace.String(), "\n")); diff != "" {
		s.Errorf("trace (-want +got):\n%s", diff)
	}
}
