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

var update = flag.Bool("update", false, "write the traces anew")

// script drives one node and prints what it does. Its clock fires the timers that the node set.
type script struct {
	*testing.T
	node  *Node
	now   Micros
	last  OpID // of those that ops numbers
	wakes []Effect
	to    map[string]ServerID // last push of each op
	out   strings.Builder
}

var (
	safe   = Category{Benefit: 10, TargetLatency: Second, TTL: 3 * Second}
	plain  = Category{Benefit: 1, TargetLatency: Second, TTL: 3 * Second}
	once   = Category{Benefit: 10, TargetLatency: Second, TTL: 3 * Second, Delivery: AtMostOnce}
	inCell = Category{Benefit: 10, TargetLatency: Second, TTL: 3 * Second, Delivery: Deduplicated, DedupScope: DedupScopeCell,
		DedupWindow: 600 * Millisecond}
	warming = ColdStartRule{InitialShare: 0.25, WarmUpTime: 8 * Second, OverloadFactor: 2, OverloadWindow: Second}
)

func start(t *testing.T, reg RegistryRule, kinds ...Category) *script {
	place := Topology{TierCount: 1, NodeCount: 2, NodeNumber: 1, ClockTick: 5 * Millisecond}
	push := PushLimits{MaxPushes: 4, MayCancel: true, MayDuplicate: true, DialTimeout: 100 * Millisecond, MaxRetryAfter: Second}
	return &script{T: t, node: New(1, place, kinds, push, warming, reg), now: Second, last: 1000,
		to: map[string]ServerID{}}
}

// many makes the node one of so many that runs overlap; call it before the first list.
func (s *script) many() { s.node.place.NodeCount, s.node.place.NodeNumber = 10, 5 }

// roomy lets each server hold any number of pushes, as after long use at that.
func (s *script) roomy() {
	for i := range s.node.servers {
		s.node.servers[i].room = 1000
	}
}

// servers is a list of ready servers a, b, ..., spread over three cells.
func servers(n int) (list []ListEntry) {
	for i := range n {
		list = append(list, ListEntry{Server: ServerID(i + 1), Weight: 1, Cell: CellID(i % 3)})
	}
	return list
}

func name(s ServerID) string { return string(rune('a' + int(s) - 1)) }

func (s *script) note(format string, args ...any) {
	fmt.Fprintf(&s.out, "%8.1f  %s\n", float64(s.now)/1000, fmt.Sprintf(format, args...))
}

func (s *script) step(in Input) {
	told := 0
	for _, e := range s.node.Step(s.now, &in) {
		switch e.Kind {
		case Push:
			s.to[fmt.Sprint(e.Op)] = e.Server
			s.note("  push op %d to %s for %.1f", e.Op, name(e.Server), float64(e.Duration)/1000)
		case Nack:
			s.note("  nack op %d, back in %.0f", e.Op, float64(e.Duration)/1000)
		case DeadLetter:
			s.note("  dead letter op %d", e.Op)
		case Cancel:
			s.note("  cancel op %d push %d", e.Op, e.Push)
		case SetTimer:
			s.wakes = append(s.wakes, e)
		case WatchRegistry:
			s.note("  watch the registry")
		case CloseIdle:
			s.note("  close idle connections to %s", name(e.Server))
		case SendToPeer:
			told++
		case Log:
			s.note("  log: %s", e.Text)
		}
	}
	if told > 0 {
		s.note("  tell %d nodes", told)
	}
}

func (s *script) list(form ListForm, entries []ListEntry) {
	var text []string
	for _, e := range entries {
		text = append(text, name(e.Server)+[]string{"", " draining", " gone"}[e.State])
	}
	s.note("list %s: %s", []string{"changes", "whole", "cached", "failed", "weighed"}[form], strings.Join(text, ", "))
	s.step(Input{Kind: ListReceived, Form: form, List: entries})
}

func (s *script) op(id OpID, category CategoryID) {
	s.note("op %d of category %d", id, category)
	s.step(Input{Kind: OpArrived, Op: id, Category: category, Deadline: s.now + 2*Second})
}

func (s *script) end(id OpID, push PushNumber, how Outcome) {
	s.note("op %d push %d %s", id, push, []string{"acked", "errored", "full", "timed out", "failed to connect",
		"reset", "cancelled", "moot"}[how])
	s.step(Input{Kind: PushEnded, Op: id, Push: push, Server: s.to[fmt.Sprint(id)], Outcome: how,
		Latency: 50 * Millisecond, OpSettled: how == Acked})
}

// ack ends an op's first push after so long.
func (s *script) ack(id OpID, took Micros) {
	s.step(Input{Kind: PushEnded, Op: id, Server: s.to[fmt.Sprint(id)], Outcome: Acked, Latency: took, OpSettled: true})
}

// wait lets time pass and fires the timers that fall due.
func (s *script) wait(span Micros) {
	until := s.now + span
	for {
		slices.SortStableFunc(s.wakes, func(a, b Effect) int { return int(a.TimerAt - b.TimerAt) })
		if len(s.wakes) == 0 || s.wakes[0].TimerAt > until {
			s.now = until
			return
		}
		w := s.wakes[0]
		s.wakes = s.wakes[1:]
		s.now = w.TimerAt
		s.step(Input{Kind: TimerFired, Token: w.Token})
	}
}

// quiet runs f without its trace, but for log lines, and notes how pushes spread over servers.
func (s *script) quiet(what string, f func()) {
	before := s.out.String()
	s.out.Reset()
	f()
	counts := map[string]int{}
	var logs []string
	for _, line := range strings.Split(s.out.String(), "\n") {
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
	s.out.Reset()
	s.out.WriteString(before)
	s.note("%s: %v", what, counts)
	s.out.WriteString(strings.Join(logs, ""))
}

// compare holds the trace against the one kept, named after the test.
func (s *script) compare() {
	s.Helper()
	path := filepath.Join("testdata", strings.ReplaceAll(strings.TrimPrefix(s.Name(), "Test"), "/", "-")+".txt")
	if *update {
		if err := os.WriteFile(path, []byte(s.out.String()), 0o644); err != nil {
			s.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		s.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(s.out.String(), "\n")); diff != "" {
		s.Errorf("trace (-kept +now):\n%s", diff)
	}
}
