package node

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/policy"
)

// respondThreeTimes returns a script that responds to the first three inputs of a kind with effects, while the op is not
// settled.
func respondThreeTimes(kind policy.InputKind, effects ...policy.Effect) func(*policy.Input) []policy.Effect {
	times := 0
	return func(in *policy.Input) []policy.Effect {
		if in.Kind != kind || in.OpSettled || times == 3 {
			return nil
		}
		times++
		return effects
	}
}

// tryBegin does what the server side does right before it writes bytes of a push, and reports the end of one that is withdrawn.
func (r *harness) tryBegin(push int) {
	if push >= len(r.pushes) {
		r.record("sender: no such push")
	} else if !r.recordBegin(push) {
		r.finishPush(push, policy.Moot)
	}
}

// recordBegin records whether a push may begin.
func (r *harness) recordBegin(push int) bool {
	begins := r.pushes[push].TryBegin()
	r.record(map[bool]string{true: "sender: push begins", false: "sender: push withdrawn"}[begins])
	return begins
}

// TestWithdraw checks that a push that still waits for its connection is withdrawn once no client waits for its op, its
// server stops taking pushes or the process ends, even if the module cancels nothing. A push that has begun is not withdrawn.
// The test acts as the server side, so the order of events is fixed.
func TestWithdraw(t *testing.T) {
	for name, c := range map[string]struct {
		script func(*policy.Input) []policy.Effect
		do     func(*harness, *Op)
		want   []string
	}{
		"client leaves before the push begins": {respondOnce(policy.OpArrived, pushFor(300)),
			func(r *harness, op *Op) {
				r.Abandon(op)
				synctest.Wait()
				r.tryBegin(0)
				r.recordAnswer(op)
			},
			[]string{"module: abandoned", "sender: push withdrawn", "module: ended push 0 moot after 0 ms settled true",
				"client: left"}},
		"client leaves after the push has begun": {respondOnce(policy.OpArrived, pushFor(300)),
			func(r *harness, op *Op) {
				r.tryBegin(0)
				r.Abandon(op)
				synctest.Wait()
				r.tryBegin(0) // for the rest of its bytes
				r.finishPush(0, policy.Acked)
				r.recordAnswer(op)
			},
			[]string{"sender: push begins", "module: abandoned", "sender: push begins",
				"module: ended push 0 acked after 0 ms settled true", "client: left"}},
		"another push is acked first": {respondOnce(policy.OpArrived, pushFor(300), pushFor(300)),
			func(r *harness, op *Op) {
				r.pushes[0].TryBegin()
				r.finishPush(0, policy.Acked)
				r.tryBegin(1)
				r.recordAnswer(op)
			},
			[]string{"module: ended push 0 acked after 0 ms settled true", "sender: push withdrawn",
				"module: ended push 1 moot after 0 ms settled true", "client: acked fine"}},
		"op is nacked": {combine(respondOnce(policy.OpArrived, pushFor(300), pushFor(300)), respondOnce(policy.PushEnded, nack)),
			func(r *harness, op *Op) {
				r.finishPush(0, policy.ConnectFailed)
				r.tryBegin(1)
				r.recordAnswer(op)
			},
			[]string{"module: ended push 0 connect failed after 0 ms settled false", "sender: push withdrawn",
				"module: ended push 1 moot after 0 ms settled true", "client: nacked"}},
		// Reported as a timeout, the end would prevent an at-most-once op from being pushed again.
		"connection is never established": {respondOnce(policy.OpArrived, pushFor(300)),
			func(r *harness, op *Op) {
				advance(301)
				r.recordAnswer(op)
				r.tryBegin(0)
			},
			[]string{"module: ended push 0 connect failed after 300 ms settled false", "client: no answer",
				"sender: push withdrawn"}},
		"connection is established, no answer": {respondOnce(policy.OpArrived, pushFor(300)),
			func(r *harness, op *Op) {
				r.tryBegin(0)
				advance(301)
				r.recordAnswer(op)
			},
			[]string{"sender: push begins", "module: ended push 0 timed out after 300 ms settled false", "client: no answer"}},
		"client has left, actor handles a failed push first": {
			combine(respondOnce(policy.OpArrived, pushFor(300)), respondThreeTimes(policy.PushEnded, pushFor(300))),
			func(r *harness, op *Op) {
				r.pushes[0].TryBegin()
				op.clientLeft.Store(true) // Abandon, between its two steps
				r.finishPush(0, policy.Reset)
				r.Abandon(op)
				synctest.Wait()
				r.recordAnswer(op)
				if len(r.pushes) > 1 {
					r.record("pushed again after the client left")
				}
			},
			[]string{"module: ended push 0 reset after 0 ms settled true", "client: left"}},
		"server drains": {combine(respondOnce(policy.OpArrived, pushFor(300)), respondThreeTimes(policy.PushEnded, pushFor(200))),
			func(r *harness, op *Op) {
				r.listServer(policy.Draining)
				r.tryBegin(0)
				r.recordAnswer(op)
			},
			[]string{"module: list", "sender: push withdrawn", "module: ended push 0 moot after 0 ms settled false",
				"client: no answer"}},
		"client has left, not noticed yet": {
			combine(respondOnce(policy.OpArrived, pushFor(300)), respondThreeTimes(policy.PushEnded, pushFor(300))),
			func(r *harness, op *Op) {
				op.Client = disconnectedClient{}
				advance(11)
				r.tryBegin(0)
				r.recordAnswer(op)
			},
			[]string{"sender: push withdrawn", "module: ended push 0 moot after 11 ms settled true", "client: left"}},
		// A check of the client must not be skipped because the push is new: its op has waited long.
		"client has left, not noticed yet, a push ends": {
			combine(respondOnce(policy.OpArrived, pushFor(300)), respondThreeTimes(policy.PushEnded, pushFor(300))),
			func(r *harness, op *Op) {
				r.tryBegin(0)
				op.Client = disconnectedClient{}
				advance(11)
				r.finishPush(0, policy.Reset)
				r.recordAnswer(op)
				if len(r.pushes) > 1 {
					r.record("pushed again after the client left")
				}
			},
			[]string{"sender: push begins", "module: ended push 0 reset after 11 ms settled true", "client: left"}},
		"client leaves right after a second push was created": {
			combine(respondOnce(policy.OpArrived, pushFor(300)), respondThreeTimes(policy.PushEnded, pushFor(300))),
			func(r *harness, op *Op) {
				r.tryBegin(0)
				advance(100)
				r.finishPush(0, policy.Reset)
				op.Client = disconnectedClient{}
				advance(10)
				r.tryBegin(1)
				r.recordAnswer(op)
			},
			[]string{"sender: push begins", "module: ended push 0 reset after 100 ms settled false", "sender: push withdrawn",
				"module: ended push 1 moot after 10 ms settled true", "client: left"}},
		"server restarts": {combine(respondOnce(policy.OpArrived, pushFor(300)), respondThreeTimes(policy.PushEnded, pushFor(200))),
			func(r *harness, op *Op) {
				r.ListReceived(&List{Form: policy.ListChanges, Addrs: []string{"127.0.0.1:1"},
					Entries: []policy.ListEntry{{Server: 7, State: policy.Ready, Weight: 1, StartedAt: 9}}})
				synctest.Wait()
				r.tryBegin(0)
				r.tryBegin(1)
			},
			[]string{"module: list", "sender: push withdrawn", "module: ended push 0 moot after 0 ms settled false",
				"sender: push begins"}},
		"server moves to another address": {combine(respondOnce(policy.OpArrived, pushFor(300)), respondThreeTimes(policy.PushEnded, pushFor(200))),
			func(r *harness, op *Op) {
				r.listEntry("127.0.0.1:2", policy.ListEntry{Server: 7, Weight: 1})
				r.tryBegin(0)
				r.tryBegin(1)
			},
			[]string{"module: list", "sender: push withdrawn", "module: ended push 0 moot after 0 ms settled false",
				"sender: push begins"}},
		"server moves to another cell": {respondOnce(policy.OpArrived, pushFor(300)),
			func(r *harness, op *Op) {
				r.listEntry("127.0.0.1:1", policy.ListEntry{Server: 7, Weight: 1, Cell: 3})
				r.tryBegin(0)
			},
			[]string{"module: list", "sender: push withdrawn", "module: ended push 0 moot after 0 ms settled false"}},
		"server moves to another zone": {respondOnce(policy.OpArrived, pushFor(300)),
			func(r *harness, op *Op) {
				r.listEntry("127.0.0.1:1", policy.ListEntry{Server: 7, Weight: 1, Zone: 1})
				r.tryBegin(0)
			},
			[]string{"module: list", "sender: push withdrawn", "module: ended push 0 moot after 0 ms settled false"}},
		"another weight is no other server": {respondOnce(policy.OpArrived, pushFor(300)),
			func(r *harness, op *Op) {
				r.listEntry("127.0.0.1:1", policy.ListEntry{Server: 7, Weight: 2})
				r.tryBegin(0)
			},
			[]string{"module: list", "sender: push begins"}},
		"repeats are no longer dropped": {pushBefore(200),
			func(r *harness, op *Op) {
				advance(201)
				r.tryBegin(0)
			},
			[]string{"module: ended push 0 moot after 200 ms settled false", "sender: push withdrawn"}},
		"repeats are no longer dropped, the push has begun": {pushBefore(200),
			func(r *harness, op *Op) {
				r.tryBegin(0)
				advance(201)
				r.tryBegin(0) // for the rest of its bytes
				r.finishPush(0, policy.Acked)
			},
			[]string{"sender: push begins", "sender: push begins", "module: ended push 0 acked after 201 ms settled true"}},
		"repeats are no longer dropped, the actor is late": {combine(pushBefore(200), delayThirdList(100*time.Millisecond)),
			func(r *harness, op *Op) {
				advance(150)
				go r.listServer(policy.Ready) // holds the actor up from 150 to 250 ms
				advance(51)
				r.recordBegin(0)
				advance(50)
			},
			[]string{"module: list", "sender: push withdrawn", "module: ended push 0 moot after 251 ms settled false"}},
		"out of time, the actor is late": {combine(respondOnce(policy.OpArrived, pushFor(200)), delayThirdList(100*time.Millisecond)),
			func(r *harness, op *Op) {
				advance(150)
				go r.listServer(policy.Ready)
				advance(51)
				r.recordBegin(0)
				advance(50)
			},
			[]string{"module: list", "sender: push withdrawn", "module: ended push 0 moot after 251 ms settled false"}},
		"server is listed again unchanged": {respondOnce(policy.OpArrived, pushFor(300)),
			func(r *harness, op *Op) {
				r.listServer(policy.Ready)
				r.tryBegin(0)
			}, []string{"module: list", "sender: push begins"}},
		"server is removed": {respondOnce(policy.OpArrived, pushFor(300)),
			func(r *harness, op *Op) {
				r.listServer(policy.Gone)
				r.tryBegin(0)
			},
			[]string{"module: list", "sender: push withdrawn", "module: ended push 0 moot after 0 ms settled false"}},
		"server drains after the push has begun": {respondOnce(policy.OpArrived, pushFor(300)),
			func(r *harness, op *Op) {
				r.tryBegin(0)
				r.listServer(policy.Draining)
				r.finishPush(0, policy.Acked)
				r.recordAnswer(op)
			},
			[]string{"sender: push begins", "module: list", "module: ended push 0 acked after 0 ms settled true",
				"client: acked fine"}},
		"shutdown, op was not pushed": {nil,
			func(r *harness, op *Op) {
				r.SetShutdownDeadline(r.clock.Now() + 200*policy.Millisecond)
				advance(201)
				r.recordAnswer(op)
			},
			[]string{"module: abandoned", "client: nacked"}},
		"shutdown, push has not begun": {respondOnce(policy.OpArrived, pushFor(900)),
			func(r *harness, op *Op) {
				r.SetShutdownDeadline(r.clock.Now() + 200*policy.Millisecond)
				advance(201)
				r.recordAnswer(op)
				r.tryBegin(0)
			},
			[]string{"module: abandoned", "client: nacked", "sender: push withdrawn",
				"module: ended push 0 moot after 201 ms settled true"}},
		"shutdown, push has begun": {respondOnce(policy.OpArrived, pushFor(900)),
			func(r *harness, op *Op) {
				r.tryBegin(0)
				r.SetShutdownDeadline(r.clock.Now() + 200*policy.Millisecond)
				advance(201)
				r.recordAnswer(op)
			},
			[]string{"sender: push begins", "module: abandoned", "client: dead-lettered"}},
		"shutdown, an earlier push may have run": {respondOnce(policy.OpArrived, pushFor(100)),
			func(r *harness, op *Op) {
				r.tryBegin(0)
				advance(101)
				r.SetShutdownDeadline(r.clock.Now() + 200*policy.Millisecond)
				advance(201)
				r.recordAnswer(op)
			},
			[]string{"sender: push begins", "module: ended push 0 timed out after 100 ms settled false", "module: abandoned",
				"client: dead-lettered"}},
	} {
		t.Run(name, func(t *testing.T) {
			got := runScenario(t, 9, c.script, func(r *harness) {
				r.connectionsPending = true
				r.listServer(policy.Ready)
				op := r.submitOp()
				c.do(r, op)
			})
			if diff := cmp.Diff(append([]string{"module: list", "module: arrived"}, c.want...), got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// disconnectedClient is a client that has left.
type disconnectedClient struct{}

func (disconnectedClient) Disconnected() bool { return true }

// listServer lists the one server that these tests push to, with a state.
func (r *harness) listServer(state policy.ServerState) {
	r.listEntry("127.0.0.1:1", policy.ListEntry{Server: 7, State: state, Weight: 1})
}

// listEntry lists a server at an address.
func (r *harness) listEntry(addr string, entry policy.ListEntry) {
	r.ListReceived(&List{Form: policy.ListChanges, Addrs: []string{addr}, Entries: []policy.ListEntry{entry}})
	synctest.Wait()
}

// pushBefore returns a script that pushes an op once. The push must begin within some milliseconds of the op's arrival.
func pushBefore(ms int) func(*policy.Input) []policy.Effect {
	return func(in *policy.Input) []policy.Effect {
		if in.Kind != policy.OpArrived {
			return nil
		}
		push := pushFor(900)
		push.BeginBefore = in.Deadline - policy.Second + policy.Micros(ms)*policy.Millisecond // see submitOp
		return []policy.Effect{push}
	}
}

// delayThirdList returns a script that holds the actor up at the third list: the first two begin each scenario.
func delayThirdList(duration time.Duration) func(*policy.Input) []policy.Effect {
	lists := 0
	return func(in *policy.Input) []policy.Effect {
		if in.Kind != policy.ListReceived {
			return nil
		}
		if lists++; lists == 3 {
			time.Sleep(duration)
		}
		return nil
	}
}

// TestClientLeavesWhileActorIsBusy checks clients that leave while the messages about it are still in the mailbox: an op that
// is in the mailbox too is not pushed, and a push that is about to be written is withdrawn. Without the checks both would run
// although no client waits for them.
func TestClientLeavesWhileActorIsBusy(t *testing.T) {
	resume, actorBlocked := make(chan bool), make(chan bool)
	submitted := 0
	script := func(in *policy.Input) []policy.Effect {
		if in.Kind != policy.OpArrived {
			return nil
		}
		if submitted++; submitted == 2 {
			actorBlocked <- true
			<-resume
		}
		return []policy.Effect{{Kind: policy.Push, Op: in.Op, Server: 7, Duration: policy.Second}}
	}
	got := runScenario(t, 9, script, func(r *harness) {
		resume, actorBlocked = make(chan bool), make(chan bool)
		r.connectionsPending = true
		first := r.submitOp()
		submitWithoutWait := func() *Op {
			op := NewOp()
			op.Body, _ = ReadPayload(strings.NewReader("body"), -1)
			op.Deadline = r.clock.Now() + policy.Second
			r.Submit(op)
			return op
		}
		second := submitWithoutWait()
		<-actorBlocked // the actor is inside a step and handles no messages
		third := submitWithoutWait()
		r.Abandon(first)
		r.Abandon(third)
		if r.pushes[0].TryBegin() {
			r.record("push of the first op begins")
		}
		close(resume)
		synctest.Wait()
		r.recordAnswer(first)
		r.recordAnswer(third)
		r.Abandon(second)
		synctest.Wait()
		if len(r.pushes) != 2 {
			r.record("third op was pushed")
		}
	})
	want := []string{"module: arrived", "module: arrived", "module: abandoned", "client: left", "client: left", "module: abandoned"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestSubmitAfterShutdownDeadline checks that the shutdown deadline also applies to ops that are submitted after it was set:
// a request that was read before the planned restart may be submitted late.
func TestSubmitAfterShutdownDeadline(t *testing.T) {
	got := runScenario(t, 9, nil, func(r *harness) {
		r.SetShutdownDeadline(r.clock.Now() + 200*policy.Millisecond)
		op := r.submitOp()
		advance(199)
		r.recordAnswer(op)
		advance(2)
		r.recordAnswer(op)
	})
	if diff := cmp.Diff([]string{"module: arrived", "client: no answer", "module: abandoned", "client: nacked"}, got); diff != "" {
		t.Error(diff)
	}
}
