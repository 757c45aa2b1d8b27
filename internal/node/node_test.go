package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"canvasrouter/policy"
)

// fakeModule records its inputs and responds with a script.
type fakeModule struct {
	record   func(string)
	script   func(in *policy.Input) []policy.Effect
	lastTime policy.Micros
}

// inputKindNames are indexed by policy.InputKind.
var inputKindNames = [...]string{"arrived", "ended", "abandoned", "began", "timer", "probed", "list", "message"}

// Step implements policy.Decider.
func (m *fakeModule) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	if now < m.lastTime {
		m.record("time went back")
	}
	m.lastTime = now
	line := "module: " + inputKindNames[in.Kind]
	if in.Kind == policy.PushEnded {
		line += fmt.Sprintf(" push %d %s after %d ms settled %v", in.Push, in.Outcome, in.Latency/1000, in.OpSettled)
	}
	m.record(line)
	if m.script == nil {
		return nil
	}
	return m.script(in)
}

// fakeServers implements Servers and Registry. Pushes stay in it until a test ends them.
type fakeServers struct {
	pushes             []*Push
	closedIdle         []policy.ServerID
	connectionsPending bool // pushes do not begin by themselves
}

func (s *fakeServers) UpdateList(*List) {}

func (s *fakeServers) Push(p *Push) {
	s.pushes = append(s.pushes, p)
	if !s.connectionsPending {
		p.TryBegin()
	}
}

func (s *fakeServers) Watch()                       {}
func (s *fakeServers) CloseIdle(id policy.ServerID) { s.closedIdle = append(s.closedIdle, id) }

// pushFor is the effect of pushing the first op with a timeout in milliseconds.
func pushFor(ms int) policy.Effect {
	return policy.Effect{Kind: policy.Push, Op: 1, Server: 7, Duration: policy.Micros(ms) * policy.Millisecond}
}

// harness runs an actor with fake collaborators and records the events.
type harness struct {
	*Node
	fakeServers
	mu        sync.Mutex
	events    []string
	stop      context.CancelFunc
	runResult chan error
}

// runScenario runs an actor whose module follows script in a synctest bubble, calls do, and returns the recorded events.
func runScenario(t *testing.T, maxPending int, script func(*policy.Input) []policy.Effect, do func(*harness)) []string {
	t.Helper()
	var events []string
	synctest.Test(t, func(t *testing.T) {
		r := &harness{runResult: make(chan error, 1)}
		r.Node = New(Options{MaxPendingOps: maxPending, AnswerSlack: 20 * policy.Millisecond}, &fakeModule{record: r.record, script: script},
			NewClock(), zerolog.Nop())
		r.Start(&r.fakeServers, &r.fakeServers, &List{Form: policy.ListCached})
		var ctx context.Context
		ctx, r.stop = context.WithCancel(t.Context())
		go func() { r.runResult <- r.Run(ctx) }()
		do(r)
		r.stop()
		<-r.runResult
		for _, p := range r.pushes {
			p.Body.Close()
		}
		events = r.events
	})
	return events[1:] // without the initial list
}

// record adds a line to the events.
func (r *harness) record(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, line)
}

// submitOp submits an op with a deadline in 1 s.
func (r *harness) submitOp() *Op {
	op := NewOp()
	op.Body, _ = ReadPayload(strings.NewReader("body"), -1)
	op.Deadline = r.clock.Now() + policy.Second
	r.Submit(op)
	synctest.Wait()
	return op
}

// recordAnswer records the op's answer, or that there is none yet.
func (r *harness) recordAnswer(op *Op) {
	select {
	case a := <-op.Answered():
		line := "client: " + a.Verdict.String()
		if a.Body != nil {
			line += " " + string(a.Body.Bytes())
			a.Body.Release()
		}
		r.record(line)
	default:
		r.record("client: no answer")
	}
}

// finishPush reports the end of a push.
func (r *harness) finishPush(push int, outcome policy.Outcome) {
	result := Result{Outcome: outcome}
	if outcome == policy.Acked {
		result.Body, _ = ReadPayload(strings.NewReader("fine"), -1)
	}
	r.PushEnded(r.pushes[push], result)
	synctest.Wait()
}

// advance lets the fake time advance by some milliseconds.
func advance(ms int) {
	time.Sleep(time.Duration(ms) * time.Millisecond)
	synctest.Wait()
}

// respondOnce returns a script that responds to the first input of a kind with effects.
func respondOnce(kind policy.InputKind, effects ...policy.Effect) func(*policy.Input) []policy.Effect {
	responded := false
	return func(in *policy.Input) []policy.Effect {
		if in.Kind != kind || responded {
			return nil
		}
		responded = true
		return effects
	}
}

// combine returns a script with the effects of all scripts.
func combine(scripts ...func(*policy.Input) []policy.Effect) func(*policy.Input) []policy.Effect {
	return func(in *policy.Input) (out []policy.Effect) {
		for _, s := range scripts {
			out = append(out, s(in)...)
		}
		return out
	}
}

// Effects on the first op.
var (
	nack       = policy.Effect{Kind: policy.Nack, Op: 1}
	deadLetter = policy.Effect{Kind: policy.DeadLetter, Op: 1}
	cancel     = policy.Effect{Kind: policy.Cancel, Op: 1}
)

// TestOneAnswer checks that answers, timeouts, disconnects and cancellations in any order give the client one answer, and the
// module one end of each push.
func TestOneAnswer(t *testing.T) {
	pushOnSubmit := func(in *policy.Input) []policy.Effect { // without state, so that cases can share it
		if in.Kind != policy.OpArrived {
			return nil
		}
		return []policy.Effect{pushFor(300)}
	}
	for name, c := range map[string]struct {
		script func(*policy.Input) []policy.Effect
		do     func(*harness, *Op)
		want   []string
	}{
		"acked": {pushOnSubmit, func(r *harness, op *Op) {
			advance(20)
			r.finishPush(0, policy.Acked)
			r.recordAnswer(op)
		},
			[]string{"module: ended push 0 acked after 20 ms settled true", "client: acked fine"}},
		"nacked": {respondOnce(policy.OpArrived, nack), func(r *harness, op *Op) { r.recordAnswer(op) }, []string{"client: nacked"}},
		"timed out, then answered": {combine(pushOnSubmit, respondOnce(policy.PushEnded, deadLetter)),
			func(r *harness, op *Op) {
				advance(301)
				r.recordAnswer(op)
				r.finishPush(0, policy.Acked)
				r.recordAnswer(op)
			},
			[]string{"module: ended push 0 timed out after 300 ms settled false", "client: dead-lettered", "client: no answer"}},
		"second push answers, then the first": {combine(pushOnSubmit, respondOnce(policy.PushEnded, pushFor(300))),
			func(r *harness, op *Op) {
				advance(301)
				r.finishPush(1, policy.Acked)
				r.recordAnswer(op)
				r.finishPush(0, policy.Acked)
				r.recordAnswer(op)
			},
			[]string{"module: ended push 0 timed out after 300 ms settled false",
				"module: ended push 1 acked after 1 ms settled true", "client: acked fine", "client: no answer"}},
		"client leaves, then answered": {pushOnSubmit,
			func(r *harness, op *Op) {
				r.Abandon(op)
				synctest.Wait()
				r.finishPush(0, policy.Acked)
				r.recordAnswer(op)
			},
			[]string{"module: abandoned", "module: ended push 0 acked after 0 ms settled true", "client: left"}},
		"answered, then client leaves": {pushOnSubmit,
			func(r *harness, op *Op) {
				r.finishPush(0, policy.Acked)
				r.Abandon(op)
				synctest.Wait()
				r.recordAnswer(op)
			},
			[]string{"module: ended push 0 acked after 0 ms settled true", "client: acked fine"}},
		"client leaves, push is cancelled": {combine(pushOnSubmit, respondOnce(policy.OpAbandoned, cancel)),
			func(r *harness, op *Op) {
				r.Abandon(op)
				<-r.pushes[0].Context.Done()
				r.finishPush(0, policy.Cancelled)
				r.recordAnswer(op)
			},
			[]string{"module: abandoned", "module: ended push 0 cancelled after 0 ms settled true", "client: left"}},
		"push time-out limited to the op's deadline": {respondOnce(policy.OpArrived, pushFor(5000)),
			func(r *harness, op *Op) {
				advance(1001)
				r.recordAnswer(op)
				advance(20)
				r.recordAnswer(op)
			},
			[]string{"module: ended push 0 timed out after 1000 ms settled false", "client: no answer", "module: abandoned",
				"client: dead-lettered"}},
		"module never answers": {nil, func(r *harness, op *Op) {
			advance(1019)
			r.recordAnswer(op)
			advance(2)
			r.recordAnswer(op)
		},
			[]string{"client: no answer", "module: abandoned", "client: dead-lettered"}},
		"pushed after the op is settled": {respondOnce(policy.OpArrived, nack, pushFor(300)), func(r *harness, op *Op) { r.recordAnswer(op) },
			[]string{"client: nacked"}},
		"pushed with no time left": {respondOnce(policy.OpArrived, pushFor(-1)),
			func(r *harness, op *Op) { r.recordAnswer(op) }, []string{"client: no answer"}},
	} {
		t.Run(name, func(t *testing.T) {
			got := runScenario(t, 9, c.script, func(r *harness) {
				op := r.submitOp()
				c.do(r, op)
			})
			if diff := cmp.Diff(append([]string{"module: arrived"}, c.want...), got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestMoot checks that a push of a settled op is not sent and ends as moot, after the effects that it was created with.
func TestMoot(t *testing.T) {
	got := runScenario(t, 9, combine(respondOnce(policy.OpArrived, pushFor(300)), respondOnce(policy.OpAbandoned, pushFor(300))), func(r *harness) {
		op := r.submitOp()
		r.Abandon(op)
		synctest.Wait()
		if len(r.pushes) != 1 {
			r.record("push was sent")
		}
	})
	if diff := cmp.Diff([]string{"module: arrived", "module: abandoned", "module: ended push 1 moot after 0 ms settled true"},
		got); diff != "" {
		t.Error(diff)
	}
}

// TestPendingLimit checks that an op over the limit on pending ops is nacked before the module sees it, and that settled ops
// make room. Without sockets, such an op would wait unnoticed.
func TestPendingLimit(t *testing.T) {
	got := runScenario(t, 1, respondOnce(policy.OpArrived, pushFor(300)), func(r *harness) {
		first := r.submitOp()
		second := r.submitOp()
		r.recordAnswer(second)
		r.finishPush(0, policy.Acked)
		r.recordAnswer(first)
		r.submitOp()
	})
	if diff := cmp.Diff([]string{"module: arrived", "client: nacked", "module: ended push 0 acked after 0 ms settled true",
		"client: acked fine", "module: arrived"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestStall checks that answers take effect before timeouts that are due when a process that was not scheduled continues.
func TestStall(t *testing.T) {
	got := runScenario(t, 9, func(in *policy.Input) []policy.Effect {
		switch {
		case in.Kind == policy.OpArrived && in.Op == 1:
			return []policy.Effect{pushFor(300)}
		case in.Kind == policy.OpArrived:
			time.Sleep(400 * time.Millisecond)
		}
		return nil
	}, func(r *harness) {
		op := r.submitOp()
		go r.submitOp()
		advance(400) // the answer is read within half a millisecond after the stall
		time.Sleep(catchUpDelay / 2)
		r.finishPush(0, policy.Acked)
		advance(1)
		r.recordAnswer(op)
	})
	if diff := cmp.Diff([]string{"module: arrived", "module: arrived", "module: ended push 0 acked after 400 ms settled true",
		"client: acked fine"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestPanic checks that a panic of the module dead-letters all pending ops and all later ones.
func TestPanic(t *testing.T) {
	got := runScenario(t, 9, func(in *policy.Input) []policy.Effect {
		if in.Op == 2 {
			panic("broken")
		}
		return nil
	}, func(r *harness) {
		first := r.submitOp()
		second := r.submitOp()
		if err := <-r.runResult; err == nil || !strings.Contains(err.Error(), "broken") {
			r.record(fmt.Sprint(err))
		}
		r.runResult <- nil
		third := r.submitOp()
		r.recordAnswer(first)
		r.recordAnswer(second)
		r.recordAnswer(third)
	})
	if diff := cmp.Diff([]string{"module: arrived", "module: arrived", "client: dead-lettered", "client: dead-lettered",
		"client: dead-lettered"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestTimers checks that timers fire in the order of their times, and those of equal times in the order in which they were
// set; stopped timers do not fire.
func TestTimers(t *testing.T) {
	var queue timerQueue
	var got []int
	setTimer := func(at policy.Micros, name int) *timer { return queue.set(at, func() { got = append(got, name) }) }
	setTimer(30, 1)
	stopped := setTimer(20, 2)
	setTimer(20, 3)
	setTimer(20, 4)
	late := setTimer(99, 5)
	queue.stop(stopped)
	queue.stop(stopped)
	for due := queue.popDue(40); due != nil; due = queue.popDue(40) {
		due.fire()
	}
	if diff := cmp.Diff([]int{3, 4, 1}, got); diff != "" {
		t.Error(diff)
	}
	if len(queue.heap) != 1 || queue.heap[0] != late {
		t.Errorf("%d timers remain", len(queue.heap))
	}
}

// TestPayload checks that a buffer is not returned to the pool while a reader is open, which would make a push send the bytes
// of another op.
func TestPayload(t *testing.T) {
	p, err := ReadPayload(strings.NewReader("body"), -1)
	if err != nil {
		t.Fatal(err)
	}
	reader := p.NewReader()
	p.Release()
	if got, _ := io.ReadAll(reader); string(got) != "body" {
		t.Errorf("read %q", got)
	}
	reader.Close()
	reader.Close()
	if p.buffer != nil || p.references.Load() != 0 {
		t.Errorf("%d references remain", p.references.Load())
	}
	if _, err := ReadPayload(strings.NewReader(strings.Repeat("x", MaxBodyBytes+1)), -1); !errors.Is(err, ErrBodyTooLong) {
		t.Errorf("got error %v", err)
	}
	if _, err := ReadPayload(strings.NewReader(strings.Repeat("x", MaxBodyBytes)), -1); err != nil {
		t.Error(err)
	}
}
