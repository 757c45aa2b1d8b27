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

var updateTraces = flag.Bool("update", false, "write the traces anew")

// script drives one node and prints what it does. Its clock fires the timers that the node set.
type scenario struct {
	*testing.T
	node       *Node
	now        Micros
	lastOp     OpID // of those that ops numbers
	timers     []Effect
	lastServer map[string]ServerID // last push of each op
	trace      strings.Builder
}

var (
	redeliverable      = Category{Benefit: 10, TargetLatency: Second, TTL: 3 * Second}
	lowBenefit         = Category{Benefit: 1, TargetLatency: Second, TTL: 3 * Second}
	atMostOnce         = Category{Benefit: 10, TargetLatency: Second, TTL: 3 * Second, Delivery: AtMostOnce}
	deduplicatedInCell = Category{Benefit: 10, TargetLatency: Second, TTL: 3 * Second, Delivery: Deduplicated, DedupScope: DedupScopeCell,
		DedupWindow: 600 * Millisecond}
	testColdStart = ColdStartRule{InitialShare: 0.25, WarmUpTime: 8 * Second, OverloadFactor: 2, OverloadWindow: Second}
)

func newScenario(t *testing.T, registry RegistryRule, categories ...Category) *scenario {
	topology := Topology{TierCount: 1, NodeCount: 2, NodeNumber: 1, ClockTick: 5 * Millisecond}
	limits := PushLimits{MaxPushes: 4, MayCancel: true, MayDuplicate: true, DialTimeout: 100 * Millisecond, MaxRetryAfter: Second}
	return &scenario{T: t, node: New(1, topology, categories, limits, testColdStart, registry), now: Second, lastOp: 1000,
		lastServer: map[string]ServerID{}}
}

// many makes the node one of so many that runs overlap; call it before the first list.
func (s *scenario) shareServers() { s.node.topology.NodeCount, s.node.topology.NodeNumber = 10, 5 }

// roomy lets each server hold any number of pushes, as after long use at that.
func (s *scenario) liftConcurrencyLimits() {
	for i := range s.node.servers {
		s.node.servers[i].concurrencyLimit = 1000
	}
}

// servers is a list of ready servers a, b, ..., spread over three cells.
func readyServers(n int) (list []ListEntry) {
	for i := range n {
		list = append(list, ListEntry{Server: ServerID(i + 1), Weight: 1, Cell: CellID(i % 3)})
	}
	return list
}

func serverName(id ServerID) string { return string(rune('a' + int(id) - 1)) }

func (s *scenario) record(format string, args ...any) {
	fmt.Fprintf(&s.trace, "%8.1f  %s\n", float64(s.now)/1000, fmt.Sprintf(format, args...))
}

func (s *scenario) step(input Input) {
	messages := 0
	for _, effect := range s.node.Step(s.now, &input) {
		switch effect.Kind {
		case Push:
			s.lastServer[fmt.Sprint(effect.Op)] = effect.Server
			s.record("  push op %d to %s for %.1f", effect.Op, serverName(effect.Server), float64(effect.Duration)/1000)
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

func (s *scenario) receiveList(form ListForm, entries []ListEntry) {
	var names []string
	for _, entry := range entries {
		names = append(names, serverName(entry.Server)+[]string{"", " draining", " gone"}[entry.State])
	}
	s.record("list %s: %s", []string{"changes", "whole", "cached", "failed", "weighed"}[form], strings.Join(names, ", "))
	s.step(Input{Kind: ListReceived, Form: form, List: entries})
}

func (s *scenario) arrive(id OpID, category CategoryID) {
	s.record("op %d of category %d", id, category)
	s.step(Input{Kind: OpArrived, Op: id, Category: category, Deadline: s.now + 2*Second})
}

func (s *scenario) endPush(id OpID, push PushNumber, outcome Outcome) {
	s.record("op %d push %d %s", id, push, []string{"acked", "errored", "full", "timed out", "failed to connect",
		"reset", "cancelled", "moot"}[outcome])
	s.step(Input{Kind: PushEnded, Op: id, Push: push, Server: s.lastServer[fmt.Sprint(id)], Outcome: outcome,
		Latency: 50 * Millisecond, OpSettled: outcome == Acked})
}

// ack ends an op's first push after so long.
func (s *scenario) ackFirstPush(id OpID, took Micros) {
	s.step(Input{Kind: PushEnded, Op: id, Server: s.lastServer[fmt.Sprint(id)], Outcome: Acked, Latency: took, OpSettled: true})
}

// wait lets time pass and fires the timers that fall due.
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

// quiet runs f without its trace, but for log lines, and notes how pushes spread over servers.
func (s *scenario) summarize(title string, run func()) {
	earlier := s.trace.String()
	s.trace.Reset()
	run()
	counts := map[string]int{}
	var logs []string
	for _, line := range strings.Split(s.trace.String(), "\n") {
		fields := strings.Fields(line)
		switch {
		case len(fields) > 5 && fields[1] == "push":
			counts["to "+fields[5]]++
		case len(fields) > 1 && (fields[1] == "nack" || fields[1] == "dead" || fields[1] == "close"):
			counts[fields[1]]++
		case len(fields) > 1 && fields[1] == "log:":
			logs = append(logs, line+"\n")
		}
	}
	s.trace.Reset()
	s.trace.WriteString(earlier)
	s.record("%s: %v", title, counts)
	s.trace.WriteString(strings.Join(logs, ""))
}

// compare holds the trace against the one kept, named after the test.
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
		s.Errorf("trace (-kept +now):\n%s", diff)
	}
}
