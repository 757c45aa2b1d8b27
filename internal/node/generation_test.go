package node

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"canvasrouter/policy"
)

// TestSwitch checks that an op ends under the generation that admitted it, that later ops use the new one, and that both get
// server lists. The older generation is removed once its last op has ended and no request can refer to it any more.
func TestSwitch(t *testing.T) {
	pushEveryOp := func(in *policy.Input) []policy.Effect {
		if in.Kind == policy.OpArrived {
			return []policy.Effect{{Kind: policy.Push, Op: in.Op, Server: 7}}
		}
		return nil
	}
	got := runScenario(t, 10, pushEveryOp, func(r *harness) {
		r.ListReceived(&List{Form: policy.ListFull, Entries: []policy.ListEntry{{Server: 7, StartedAt: 5}}, Addrs: []string{"a"}})
		first := r.submitOp()
		next := &Generation{
			Options: Options{MaxPendingOps: 10, AnswerSlack: policy.Second},
			Module:  &fakeModule{record: func(line string) { r.record("new: " + line) }, script: pushEveryOp},
		}
		number, err := r.Switch(next)
		if number != 1 || err != nil {
			t.Errorf("switch: number %d, %v", number, err)
		}
		second := NewOp()
		second.GenerationNumber = 1
		second.Deadline = r.clock.Now() + policy.Second
		second.Body, _ = ReadPayload(strings.NewReader(""), -1)
		r.Submit(second)
		r.ListReceived(&List{Form: policy.ListChanges, Entries: []policy.ListEntry{{Server: 7, State: policy.Draining}}, Addrs: []string{"a"}})
		advance(1)
		r.finishPush(0, policy.Acked)
		r.finishPush(1, policy.Acked)
		r.recordAnswer(first)
		r.recordAnswer(second)
		advance(6000)
		third := r.submitOp() // read with settings of a removed generation
		r.recordAnswer(third)
	})
	firstEnded := "module: ended push 0 acked after 1 ms settled true"
	want := []string{"module: list", "module: arrived", "new: module: list", "new: module: arrived", "module: list",
		"new: module: list", firstEnded, "new: " + firstEnded, "client: acked fine", "client: acked fine", "client: nacked"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestTooManyGenerations checks that settings that change faster than ops end are refused, and that only the newest generation
// remains once the ops have ended.
func TestTooManyGenerations(t *testing.T) {
	runScenario(t, 10, func(*policy.Input) []policy.Effect { return nil }, func(r *harness) {
		refused := 0
		for range 3 * maxGenerations {
			next := &Generation{
				Options: Options{MaxPendingOps: 10},
				Module: &fakeModule{
					record: func(string) {},
					script: func(*policy.Input) []policy.Effect { return nil },
				},
			}
			if _, err := r.Switch(next); err != nil {
				refused++
			}
		}
		if refused != 2*maxGenerations+1 {
			t.Errorf("%d of %d switches refused", refused, 3*maxGenerations)
		}
		advance(6000)
		if len(r.generations) != 1 {
			t.Errorf("%d generations remain", len(r.generations))
		}
	})
}

// TestSwitchAfterStop checks that a switch after the actor has stopped fails instead of blocking.
func TestSwitchAfterStop(t *testing.T) {
	n := New(Options{}, &fakeModule{}, NewClock(), zerolog.Nop())
	n.stop()
	if _, err := n.Switch(&Generation{}); err != errStopped {
		t.Errorf("got error %v", err)
	}
}

// TestMergeList checks the list that the next generation receives. An outdated full list must not undo a server's restart,
// which would make the cold server look warm, and removed servers stay removed.
func TestMergeList(t *testing.T) {
	n := New(Options{}, &fakeModule{}, NewClock(), zerolog.Nop())
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
		n.mergeList(&list)
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
