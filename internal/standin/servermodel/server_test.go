package servermodel

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/policy"
)

const ms = policy.Millisecond

func testSpec() Spec {
	return Spec{Cores: 1, Speed: 1, QueueLimit: 4, JamQueuePerCore: 1, JamDelay: 100 * ms, JamSlowdown: 3, JamRecoveryTime: 50 * ms,
		ColdStart: ColdStart{InitialShare: 0.25, WarmUpTime: 1000 * ms, OverloadFactor: 2, OverloadWindow: 100 * ms, MeanWork: 10 * ms}}
}

// simulate submits jobs of 10 ms at the given times, releases each when its work is done, and returns a log of the
// completion times and rejections.
func simulate(s *Server, until policy.Micros, arrivals map[policy.Micros]int) string {
	var log strings.Builder
	for now := policy.Micros(0); now <= until; now += ms {
		for _, j := range s.Advance(now) {
			fmt.Fprintf(&log, "%d ", now/ms)
			s.Release(now, j)
		}
		for range arrivals[now] {
			if s.Arrive(now, &Job{Work: 10 * ms, StartKnown: true}) != Accepted {
				fmt.Fprintf(&log, "full@%d ", now/ms)
			}
		}
	}
	return strings.TrimSpace(log.String())
}

func TestQueueLimit(t *testing.T) {
	got := simulate(New(testSpec()), 100*ms, map[policy.Micros]int{0: 6})
	if diff := cmp.Diff("full@0 10 20 30 40 50", got); diff != "" {
		t.Error(diff)
	}
}

// A server whose queue was long for JamDelay runs slower until it was mostly idle for JamRecoveryTime.
func TestJam(t *testing.T) {
	s := New(testSpec())
	arrivals := map[policy.Micros]int{0: 4}
	for at := 10 * ms; at <= 140*ms; at += 10 * ms {
		arrivals[at] = 1
	}
	simulate(s, 140*ms, arrivals)
	if !s.Jammed() {
		t.Fatal("the queue was long for 140 ms, but the server is not jammed")
	}
	for now := 140 * ms; s.Running()+s.Waiting() > 0; now += ms {
		for _, j := range s.Advance(now) {
			s.Release(now, j)
		}
		if now > 2*policy.Second {
			t.Fatal("the server never became idle")
		}
	}
	if !s.Jammed() {
		t.Error("the jam ended before the server was idle")
	}
	s.Advance(3 * policy.Second)
	s.Advance(3*policy.Second + 60*ms)
	if s.Jammed() {
		t.Error("still jammed after 60 ms without work")
	}
}

// A cold server collapses above its budget. The collapse is a breach of the rule only if most of the work came from
// nodes that knew of the start.
func TestColdCollapse(t *testing.T) {
	for startKnown, want := range map[bool]ArrivalResult{true: CollapsedByInformed, false: CollapsedByUninformed} {
		s := New(testSpec())
		s.RestartCold(0)
		got := Accepted
		for i := policy.Micros(0); i < 20 && got != CollapsedByInformed && got != CollapsedByUninformed; i++ {
			got = s.Arrive(i, &Job{Work: 10 * ms, StartKnown: startKnown})
		}
		if got != want || !s.Collapsed() {
			t.Errorf("start known %v: got %v, collapsed %v", startKnown, got, s.Collapsed())
		}
		if s.Arrive(50*ms, &Job{Work: ms}) != Rejected {
			t.Error("a collapsed server accepts work")
		}
	}
	s := New(testSpec())
	s.RestartCold(0)
	for now := policy.Micros(0); now < 2*policy.Second; now += 40 * ms { // a quarter of one core's capacity
		for _, j := range s.Advance(now) {
			s.Release(now, j)
		}
		if got := s.Arrive(now, &Job{Work: 10 * ms, StartKnown: true}); got == CollapsedByInformed {
			t.Fatalf("collapsed at %d ms under a load within its capacity", now/ms)
		}
	}
}

// The budget as the operators define it: N ops of mean work, plus 2*sqrt(N) + 2 for random variation. Ops count by their
// work.
func TestColdBudget(t *testing.T) {
	for _, c := range []struct {
		work policy.Micros
		want int // ops accepted right after the start, where N is 5 and the allowance is 6.47
	}{{10 * ms, 11}, {20 * ms, 5}, {5 * ms, 22}} {
		s := New(testSpec())
		s.RestartCold(0)
		accepted := 0
		for s.Arrive(0, &Job{Work: c.work, StartKnown: true}) != CollapsedByInformed {
			accepted++
		}
		if accepted != c.want || s.PeakLoad() <= 1 {
			t.Errorf("ops of %d ms: accepts %d, want %d; peak load %.2f", c.work/ms, accepted, c.want, s.PeakLoad())
		}
	}
}

func TestStallCrashAndCancel(t *testing.T) {
	s := New(testSpec())
	a, b, c := &Job{Work: 10 * ms}, &Job{Work: 10 * ms}, &Job{Work: 10 * ms}
	s.Arrive(0, a)
	s.Arrive(0, b)
	s.Arrive(0, c)
	s.Stall(5*ms, 50*ms)
	if got := s.NextCompletion(); got != 55*ms {
		t.Errorf("a half-done job completes at %d µs", got)
	}
	if !s.Cancel(6*ms, b) || s.Cancel(6*ms, a) {
		t.Error("a waiting job can be cancelled, a running one can't")
	}
	if lost := s.Crash(); len(lost) != 2 || !a.Started() || c.Started() || s.NextCompletion() != Never {
		t.Errorf("the crash lost %d jobs", len(lost))
	}
	s.RestartCold(60 * ms)
	s.Release(70*ms, a) // from before the crash: frees no core
	if s.Running() != 0 {
		t.Errorf("%d jobs run after the restart", s.Running())
	}
}

// A duplicate is dropped up to the last tick of the window; one tick later it would run.
func TestDedupWindow(t *testing.T) {
	for age, want := range map[policy.Micros]bool{2*policy.Second - 1: true, 2 * policy.Second: true, 2*policy.Second + 1: false} {
		m := NewDedupMemory(2 * policy.Second)
		if m.CheckAndRemember(100, "k") {
			t.Fatal("the first arrival counts as a duplicate")
		}
		if got := m.CheckAndRemember(100+age, "k"); got != want {
			t.Errorf("after %d µs: dropped %v", age, got)
		}
	}
	m := NewDedupMemory(policy.Second)
	m.CheckAndRemember(0, "k")
	m.Forget("k") // it never ran
	if m.CheckAndRemember(1, "k") {
		t.Error("a repeat of an op that never ran counts as a duplicate")
	}
}
