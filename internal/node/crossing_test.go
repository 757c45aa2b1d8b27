package node

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/policy"
)

// again answers the first three inputs of a kind with effects, while the op is not settled.
func again(kind policy.InputKind, effects ...policy.Effect) func(*policy.Input) []policy.Effect {
	times := 0
	return func(in *policy.Input) []policy.Effect {
		if in.Kind != kind || in.OpSettled || times == 3 {
			return nil
		}
		times++
		return effects
	}
}

// begin is the carrier at the moment before a push's first byte.
func (r *rig) begin(push int) {
	if push >= len(r.pushes) {
		r.note("carrier: was not given it")
	} else if r.pushes[push].TryBegin() {
		r.note("carrier: begins")
	} else {
		r.note("carrier: keeps it back")
		r.end(push, policy.Moot)
	}
}

// A push that still waits for its connection is kept back once nobody waits for its op, also where the module cancels
// nothing; one that has begun is not. What comes between two steps is forced: the test is the carrier, and holds the
// actor inside a step.
func TestKeptBack(t *testing.T) {
	for name, c := range map[string]struct {
		script func(*policy.Input) []policy.Effect
		do     func(*rig, *Op)
		want   []string
	}{
		"the client leaves while the push waits": {once(policy.OpArrived, pushFor(300)),
			func(r *rig, op *Op) { r.Abandon(op); synctest.Wait(); r.begin(0); r.answer(op) },
			[]string{"module: abandoned", "carrier: keeps it back", "module: ended push 0 moot after 0 ms settled true",
				"client: left"}},
		"the client leaves once it has begun": {once(policy.OpArrived, pushFor(300)),
			func(r *rig, op *Op) {
				r.begin(0)
				r.Abandon(op)
				synctest.Wait()
				r.begin(0) // its other bytes
				r.end(0, policy.Acked)
				r.answer(op)
			},
			[]string{"carrier: begins", "module: abandoned", "carrier: begins",
				"module: ended push 0 acked after 0 ms settled true", "client: left"}},
		"another push is answered first": {once(policy.OpArrived, pushFor(300), pushFor(300)),
			func(r *rig, op *Op) { r.pushes[0].TryBegin(); r.end(0, policy.Acked); r.begin(1); r.answer(op) },
			[]string{"module: ended push 0 acked after 0 ms settled true", "carrier: keeps it back",
				"module: ended push 1 moot after 0 ms settled true", "client: acked fine"}},
		"nacked": {chain(once(policy.OpArrived, pushFor(300), pushFor(300)), once(policy.PushEnded, nack)),
			func(r *rig, op *Op) { r.end(0, policy.ConnectFailed); r.begin(1); r.answer(op) },
			[]string{"module: ended push 0 connect failed after 0 ms settled false", "carrier: keeps it back",
				"module: ended push 1 moot after 0 ms settled true", "client: nacked"}},
		// Danger: told as a time-out, an op that must not run twice could not go on.
		"its connection never comes up": {once(policy.OpArrived, pushFor(300)),
			func(r *rig, op *Op) { after(301); r.answer(op); r.begin(0) },
			[]string{"module: ended push 0 connect failed after 300 ms settled false", "client: nothing",
				"carrier: keeps it back"}},
		"its connection comes up, and no answer": {once(policy.OpArrived, pushFor(300)),
			func(r *rig, op *Op) { r.begin(0); after(301); r.answer(op) },
			[]string{"carrier: begins", "module: ended push 0 timed out after 300 ms settled false", "client: nothing"}},
		"the client has left, a push fails, and the actor reads of that first": {
			chain(once(policy.OpArrived, pushFor(300)), again(policy.PushEnded, pushFor(300))),
			func(r *rig, op *Op) {
				r.pushes[0].TryBegin()
				op.gone.Store(true) // Abandon, between its two lines
				r.end(0, policy.Reset)
				r.Abandon(op)
				synctest.Wait()
				r.answer(op)
				if len(r.pushes) > 1 {
					r.note("pushed again for nobody")
				}
			},
			[]string{"module: ended push 0 reset after 0 ms settled true", "client: left"}},
		"its server drains": {chain(once(policy.OpArrived, pushFor(300)), again(policy.PushEnded, pushFor(200))),
			func(r *rig, op *Op) { r.tell(policy.Draining); r.begin(0); r.answer(op) },
			[]string{"module: list", "carrier: keeps it back", "module: ended push 0 moot after 0 ms settled false",
				"client: nothing"}},
		"the client has left, and nobody has noticed yet": {
			chain(once(policy.OpArrived, pushFor(300)), again(policy.PushEnded, pushFor(300))),
			func(r *rig, op *Op) {
				op.Client = hasLeft{}
				after(11)
				r.begin(0)
				r.answer(op)
			},
			[]string{"carrier: keeps it back", "module: ended push 0 moot after 11 ms settled true", "client: left"}},
		// Danger: its push is new, but the op has waited for long.
		"the client has left, nobody has noticed, and a push ends": {
			chain(once(policy.OpArrived, pushFor(300)), again(policy.PushEnded, pushFor(300))),
			func(r *rig, op *Op) {
				r.begin(0)
				op.Client = hasLeft{}
				after(11)
				r.end(0, policy.Reset)
				r.answer(op)
				if len(r.pushes) > 1 {
					r.note("pushed again for nobody")
				}
			},
			[]string{"carrier: begins", "module: ended push 0 reset after 11 ms settled true", "client: left"}},
		"the client leaves right after a push was made, and it waits": {
			chain(once(policy.OpArrived, pushFor(300)), again(policy.PushEnded, pushFor(300))),
			func(r *rig, op *Op) {
				r.begin(0)
				after(100)
				r.end(0, policy.Reset)
				op.Client = hasLeft{}
				after(10)
				r.begin(1)
				r.answer(op)
			},
			[]string{"carrier: begins", "module: ended push 0 reset after 100 ms settled false", "carrier: keeps it back",
				"module: ended push 1 moot after 10 ms settled true", "client: left"}},
		"its server starts anew": {chain(once(policy.OpArrived, pushFor(300)), again(policy.PushEnded, pushFor(200))),
			func(r *rig, op *Op) {
				r.ListReceived(&List{Form: policy.ListChanges, Addrs: []string{"127.0.0.1:1"},
					Entries: []policy.ListEntry{{Server: 7, State: policy.Ready, Weight: 1, StartedAt: 9}}})
				synctest.Wait()
				r.begin(0)
				r.begin(1)
			},
			[]string{"module: list", "carrier: keeps it back", "module: ended push 0 moot after 0 ms settled false",
				"carrier: begins"}},
		"its server is told again as it was": {once(policy.OpArrived, pushFor(300)),
			func(r *rig, op *Op) { r.tell(policy.Ready); r.begin(0) }, []string{"module: list", "carrier: begins"}},
		"its server is gone": {once(policy.OpArrived, pushFor(300)),
			func(r *rig, op *Op) { r.tell(policy.Gone); r.begin(0) },
			[]string{"module: list", "carrier: keeps it back", "module: ended push 0 moot after 0 ms settled false"}},
		"its server drains once it has begun": {once(policy.OpArrived, pushFor(300)),
			func(r *rig, op *Op) { r.begin(0); r.tell(policy.Draining); r.end(0, policy.Acked); r.answer(op) },
			[]string{"carrier: begins", "module: list", "module: ended push 0 acked after 0 ms settled true",
				"client: acked fine"}},
		"the process ends, and nothing of it has run": {nil,
			func(r *rig, op *Op) {
				r.SetShutdownDeadline(r.clock.Now() + 200*policy.Millisecond)
				after(201)
				r.answer(op)
			},
			[]string{"module: abandoned", "client: nacked"}},
		"the process ends, and its push has not begun": {once(policy.OpArrived, pushFor(900)),
			func(r *rig, op *Op) {
				r.SetShutdownDeadline(r.clock.Now() + 200*policy.Millisecond)
				after(201)
				r.answer(op)
				r.begin(0)
			},
			[]string{"module: abandoned", "client: nacked", "carrier: keeps it back",
				"module: ended push 0 moot after 201 ms settled true"}},
		"the process ends, and it may have run": {once(policy.OpArrived, pushFor(900)),
			func(r *rig, op *Op) {
				r.begin(0)
				r.SetShutdownDeadline(r.clock.Now() + 200*policy.Millisecond)
				after(201)
				r.answer(op)
			},
			[]string{"carrier: begins", "module: abandoned", "client: dead-lettered"}},
		"the process ends, and it may have run before": {once(policy.OpArrived, pushFor(100)),
			func(r *rig, op *Op) {
				r.begin(0)
				after(101)
				r.SetShutdownDeadline(r.clock.Now() + 200*policy.Millisecond)
				after(201)
				r.answer(op)
			},
			[]string{"carrier: begins", "module: ended push 0 timed out after 100 ms settled false", "module: abandoned",
				"client: dead-lettered"}},
	} {
		t.Run(name, func(t *testing.T) {
			got := play(t, 9, c.script, func(r *rig) {
				r.late = true
				r.tell(policy.Ready)
				op := r.take()
				c.do(r, op)
			})
			if diff := cmp.Diff(append([]string{"module: list", "module: arrived"}, c.want...), got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// hasLeft is a client that has left.
type hasLeft struct{}

func (hasLeft) Disconnected() bool { return true }

// tell gives the list with the one server that these tests push to.
func (r *rig) tell(state policy.ServerState) {
	r.ListReceived(&List{Form: policy.ListChanges, Addrs: []string{"127.0.0.1:1"},
		Entries: []policy.ListEntry{{Server: 7, State: state, Weight: 1}}})
	synctest.Wait()
}

// Danger: the actor may have a long mailbox. What stands in it for a client that has left meanwhile is pushed for nobody;
// and a push whose connection comes up just then is written before the actor reads of the leaving.
func TestLeftInMailbox(t *testing.T) {
	gate, inside := make(chan bool), make(chan bool)
	arrivals := 0
	script := func(in *policy.Input) []policy.Effect {
		if in.Kind != policy.OpArrived {
			return nil
		}
		if arrivals++; arrivals == 2 {
			inside <- true
			<-gate
		}
		return []policy.Effect{{Kind: policy.Push, Op: in.Op, Server: 7, Duration: policy.Second}}
	}
	got := play(t, 9, script, func(r *rig) {
		gate, inside = make(chan bool), make(chan bool)
		r.late = true
		first := r.take()
		held := func() *Op {
			op := NewOp()
			op.Body, _ = ReadPayload(strings.NewReader("body"), -1)
			op.Deadline = r.clock.Now() + policy.Second
			r.Submit(op)
			return op
		}
		second := held()
		<-inside // the actor is in the middle of a step, and reads nothing
		third := held()
		r.Abandon(first)
		r.Abandon(third)
		if r.pushes[0].TryBegin() {
			r.note("the first op's push begins")
		}
		close(gate)
		synctest.Wait()
		r.answer(first)
		r.answer(third)
		r.Abandon(second)
		synctest.Wait()
		if len(r.pushes) != 2 {
			r.note("the third op was pushed")
		}
	})
	want := []string{"module: arrived", "module: arrived", "module: abandoned", "client: left", "client: left", "module: abandoned"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Danger: a request read before the planned restart may arrive after the actor was told of its end.
func TestArrivesAfterTheEndWasSet(t *testing.T) {
	got := play(t, 9, nil, func(r *rig) {
		r.SetShutdownDeadline(r.clock.Now() + 200*policy.Millisecond)
		op := r.take()
		after(199)
		r.answer(op)
		after(2)
		r.answer(op)
	})
	if diff := cmp.Diff([]string{"module: arrived", "client: nothing", "module: abandoned", "client: nacked"}, got); diff != "" {
		t.Error(diff)
	}
}
