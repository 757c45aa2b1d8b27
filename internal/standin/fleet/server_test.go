package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/policy"
)

const ms = policy.Millisecond

func traits() Spec {
	return Spec{Cores: 1, Speed: 1, QueueLimit: 4, JamQueuePerCore: 1, JamDelay: 100 * ms, JamSlowdown: 3, JamRecoveryTime: 50 * ms,
		ColdStart: ColdStart{InitialShare: 0.25, WarmUpTime: 1000 * ms, OverloadFactor: 2, OverloadWindow: 100 * ms, MeanWork: 10 * ms}}
}

// play arrives jobs of 10 ms at the given times, releases each as it ends, and writes down the ends.
func play(s *Server, until policy.Micros, arrivals map[policy.Micros]int) string {
	var b strings.Builder
	for now := policy.Micros(0); now <= until; now += ms {
		for _, j := range s.Advance(now) {
			fmt.Fprintf(&b, "%d ", now/ms)
			s.Release(now, j)
		}
		for range arrivals[now] {
			if s.Arrive(now, &Job{Work: 10 * ms, StartKnown: true}) != Accepted {
				fmt.Fprintf(&b, "full@%d ", now/ms)
			}
		}
	}
	return strings.TrimSpace(b.String())
}

func TestQueueAndBound(t *testing.T) {
	got := play(New(traits()), 100*ms, map[policy.Micros]int{0: 6})
	if diff := cmp.Diff("full@0 10 20 30 40 50", got); diff != "" {
		t.Error(diff)
	}
}

// A server that was crowded for JamAfter runs slower until it was mostly idle for JamIdle.
func TestJam(t *testing.T) {
	s := New(traits())
	arrivals := map[policy.Micros]int{0: 4}
	for at := 10 * ms; at <= 140*ms; at += 10 * ms {
		arrivals[at] = 1
	}
	play(s, 140*ms, arrivals)
	if !s.Jammed() {
		t.Fatal("crowded for 140 ms and not jammed")
	}
	for now := 140 * ms; s.Running()+s.Waiting() > 0; now += ms {
		for _, j := range s.Advance(now) {
			s.Release(now, j)
		}
		if now > 2*policy.Second {
			t.Fatal("never idle")
		}
	}
	if !s.Jammed() {
		t.Error("the jam ended before the server was idle")
	}
	s.Advance(3 * policy.Second)
	s.Advance(3*policy.Second + 60*ms)
	if s.Jammed() {
		t.Error("jammed after 60 ms of idling")
	}
}

// A cold server falls over past its budget, and it is a breach only if most came from nodes that knew.
func TestTips(t *testing.T) {
	for told, want := range map[bool]ArrivalResult{true: CollapsedByInformed, false: CollapsedByUninformed} {
		s := New(traits())
		s.RestartCold(0)
		got := Accepted
		for i := policy.Micros(0); i < 20 && got != CollapsedByInformed && got != CollapsedByUninformed; i++ {
			got = s.Arrive(i, &Job{Work: 10 * ms, StartKnown: told})
		}
		if got != want || !s.Collapsed() {
			t.Errorf("told %v: got %v, tipped %v", told, got, s.Collapsed())
		}
		if s.Arrive(50*ms, &Job{Work: ms}) != Rejected {
			t.Error("a server that fell over takes work")
		}
	}
	s := New(traits())
	s.RestartCold(0)
	for now := policy.Micros(0); now < 2*policy.Second; now += 40 * ms { // a quarter of a core's work
		for _, j := range s.Advance(now) {
			s.Release(now, j)
		}
		if got := s.Arrive(now, &Job{Work: 10 * ms, StartKnown: true}); got == CollapsedByInformed {
			t.Fatalf("tipped at %d ms by what it can do", now/ms)
		}
	}
}

// The budget is the operators': N ops of mean work, and 2 x root of N + 2 more by chance. The heavier an op, the more it counts.
func TestBudget(t *testing.T) {
	for _, c := range []struct {
		work policy.Micros
		most int // that it bears at its start: N is 5, and chance 6.47
	}{{10 * ms, 11}, {20 * ms, 5}, {5 * ms, 22}} {
		s := New(traits())
		s.RestartCold(0)
		n := 0
		for s.Arrive(0, &Job{Work: c.work, StartKnown: true}) != CollapsedByInformed {
			n++
		}
		if n != c.most || s.PeakLoad() <= 1 {
			t.Errorf("ops of %d ms: bears %d, not %d; pressed %.2f", c.work/ms, n, c.most, s.PeakLoad())
		}
	}
}

func TestStallCrashAndLeave(t *testing.T) {
	s := New(traits())
	a, b, c := &Job{Work: 10 * ms}, &Job{Work: 10 * ms}, &Job{Work: 10 * ms}
	s.Arrive(0, a)
	s.Arrive(0, b)
	s.Arrive(0, c)
	s.Stall(5*ms, 50*ms)
	if got := s.NextCompletion(); got != 55*ms {
		t.Errorf("a job that was half done ends at %d µs", got)
	}
	if !s.Cancel(6*ms, b) || s.Cancel(6*ms, a) {
		t.Error("what waits can leave, what runs can't")
	}
	if lost := s.Crash(); len(lost) != 2 || !a.Started() || c.Started() || s.NextCompletion() != Never {
		t.Errorf("lost %d", len(lost))
	}
	s.RestartCold(60 * ms)
	s.Release(70*ms, a) // of the life before: gives nothing back
	if s.Running() != 0 {
		t.Errorf("running %d", s.Running())
	}
}

// A repeat is dropped up to the last tick of the window, and would run one tick later.
func TestWindow(t *testing.T) {
	for age, dropped := range map[policy.Micros]bool{2*policy.Second - 1: true, 2 * policy.Second: true, 2*policy.Second + 1: false} {
		m := NewDedupMemory(2 * policy.Second)
		if m.CheckAndRemember(100, "k") {
			t.Fatal("the first is no repeat")
		}
		if got := m.CheckAndRemember(100+age, "k"); got != dropped {
			t.Errorf("after %d µs: dropped %v", age, got)
		}
	}
	m := NewDedupMemory(policy.Second)
	m.CheckAndRemember(0, "k")
	m.Forget("k") // it never ran
	if m.CheckAndRemember(1, "k") {
		t.Error("a repeat of what never ran")
	}
}
