package node

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"canvasrouter/policy"
)

// An op ends under the settings that took it, what comes later goes by the new ones, and a drain binds both; the older
// go once their last op has ended and no request that they read can still come.
func TestSwitch(t *testing.T) {
	pushAll := func(in *policy.Input) []policy.Effect {
		if in.Kind == policy.OpArrived {
			return []policy.Effect{{Kind: policy.Push, Op: in.Op, Server: 7}}
		}
		return nil
	}
	got := play(t, 10, pushAll, func(r *rig) {
		r.ListReceived(&List{Form: policy.ListFull, Entries: []policy.ListEntry{{Server: 7, StartedAt: 5}}, Addrs: []string{"a"}})
		first := r.take()
		next := &Generation{Options: Options{MaxPendingOps: 10, AnswerSlack: policy.Second}, Module: &module{
			note: func(line string) { r.note("new: " + line) }, script: pushAll}}
		number, err := r.Switch(next)
		if number != 1 || err != nil {
			t.Errorf("switch: number %d, %v", number, err)
		}
		second := NewOp()
		second.GenerationNumber, second.Deadline = 1, r.clock.Now()+policy.Second
		second.Body, _ = ReadPayload(strings.NewReader(""), -1)
		r.Submit(second)
		r.ListReceived(&List{Form: policy.ListChanges, Entries: []policy.ListEntry{{Server: 7, State: policy.Draining}}, Addrs: []string{"a"}})
		after(1)
		r.end(0, policy.Acked)
		r.end(1, policy.Acked)
		r.answer(first)
		r.answer(second)
		after(6000)
		third := r.take() // read by settings that nobody goes by any more
		r.answer(third)
	})
	ended := "module: ended push 0 acked after 1 ms settled true"
	want := []string{"module: list", "module: arrived", "new: module: list", "new: module: arrived", "module: list",
		"new: module: list", ended, "new: " + ended, "client: acked fine", "client: acked fine", "client: nacked"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Settings that come faster than ops end are refused; what stands goes on, and none is left over once the ops have ended.
func TestTooManySwitches(t *testing.T) {
	play(t, 10, func(*policy.Input) []policy.Effect { return nil }, func(r *rig) {
		refused := 0
		for range 3 * mostGenerations {
			next := &Generation{Options: Options{MaxPendingOps: 10}, Module: &module{note: func(string) {},
				script: func(*policy.Input) []policy.Effect { return nil }}}
			if _, err := r.Switch(next); err != nil {
				refused++
			}
		}
		if refused != 2*mostGenerations+1 {
			t.Errorf("%d of %d refused", refused, 3*mostGenerations)
		}
		after(6000)
		if len(r.generations) != 1 {
			t.Errorf("%d generations are left", len(r.generations))
		}
	})
}

// A switch that comes behind the actor's end is told so; nobody waits for ever.
func TestSwitchAtTheEnd(t *testing.T) {
	n := New(Options{}, &module{}, NewClock(), zerolog.Nop())
	n.stop()
	if _, err := n.Switch(&Generation{}); err != errStopped {
		t.Errorf("got %v", err)
	}
}

// Danger: the next generation gets the list in hand. An old list that comes again, whole, must not make a server that has started
// since seem warm to it, and what left stays out.
func TestKeep(t *testing.T) {
	n := New(Options{}, &module{}, NewClock(), zerolog.Nop())
	entry := func(server, started int, state policy.ServerState) policy.ListEntry {
		return policy.ListEntry{Server: policy.ServerID(server), StartedAt: policy.Micros(started), State: state}
	}
	for i, list := range []List{
		{Form: policy.ListCached, Entries: []policy.ListEntry{entry(1, 0, policy.Ready), entry(2, 0, policy.Ready)}},
		{Form: policy.ListChanges, Entries: []policy.ListEntry{entry(1, 7, policy.Ready), entry(2, 0, policy.Gone), entry(3, 0, policy.Ready)}},
		{Form: policy.ListFailed},
		{Form: policy.ListChanges, Entries: []policy.ListEntry{entry(3, 0, policy.Draining), entry(9, 0, policy.Gone)}},
		{Form: policy.ListFull, Entries: []policy.ListEntry{entry(1, 0, policy.Ready), entry(4, 0, policy.Ready)}},
	} {
		n.keep(&list)
		want := [][]policy.ListEntry{
			{entry(1, 0, policy.Ready), entry(2, 0, policy.Ready)},
			{entry(1, 7, policy.Ready), entry(3, 0, policy.Ready)},
			{entry(1, 7, policy.Ready), entry(3, 0, policy.Ready)},
			{entry(1, 7, policy.Ready), entry(3, 0, policy.Draining)},
			{entry(1, 7, policy.Ready), entry(4, 0, policy.Ready)},
		}[i]
		if diff := cmp.Diff(want, n.list); diff != "" {
			t.Errorf("after list %d: %s", i, diff)
		}
	}
}
