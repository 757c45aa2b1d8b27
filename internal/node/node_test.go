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

// module is a stand-in for the decisions: it writes down what it is told and answers from a script.
type module struct {
	note   func(string)
	script func(in *policy.Input) []policy.Effect
	last   policy.Micros
}

var kinds = [...]string{"arrived", "ended", "abandoned", "began", "woken", "probed", "list", "said"}

func (m *module) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	if now < m.last {
		m.note("the clock went back")
	}
	m.last = now
	line := "module: " + kinds[in.Kind]
	if in.Kind == policy.PushEnded {
		line += fmt.Sprintf(" push %d %s after %d ms settled %v", in.Push, in.Outcome, in.Latency/1000, in.OpSettled)
	}
	m.note(line)
	if m.script == nil {
		return nil
	}
	return m.script(in)
}

// servers is a stand-in: pushes wait in it until a test ends them.
type servers struct {
	pushes []*Push
	closed []policy.ServerID
	late   bool // connections don't come up
}

func (s *servers) UpdateList(*List) {}
func (s *servers) Push(p *Push) {
	s.pushes = append(s.pushes, p)
	if !s.late {
		p.TryBegin()
	}
}
func (s *servers) Watch()                       {}
func (s *servers) CloseIdle(id policy.ServerID) { s.closed = append(s.closed, id) }

func pushFor(ms int) policy.Effect {
	return policy.Effect{Kind: policy.Push, Op: 1, Server: 7, Duration: policy.Micros(ms) * policy.Millisecond}
}

type rig struct {
	*Node
	servers
	mu    sync.Mutex
	trace []string
	stop  context.CancelFunc
	ended chan error
}

// play runs the actor inside a bubble of time with script, and do against it.
func play(t *testing.T, most int, script func(*policy.Input) []policy.Effect, do func(*rig)) []string {
	t.Helper()
	var trace []string
	synctest.Test(t, func(t *testing.T) {
		r := &rig{ended: make(chan error, 1)}
		r.Node = New(Options{MaxPendingOps: most, AnswerSlack: 20 * policy.Millisecond}, &module{note: r.note, script: script},
			NewClock(), zerolog.Nop())
		r.Start(&r.servers, &r.servers, &List{Form: policy.ListCached})
		var ctx context.Context
		ctx, r.stop = context.WithCancel(t.Context())
		go func() { r.ended <- r.Run(ctx) }()
		do(r)
		r.stop()
		<-r.ended
		for _, p := range r.pushes {
			p.Body.Close()
		}
		trace = r.trace
	})
	return trace[1:] // the first list
}

func (r *rig) note(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace = append(r.trace, line)
}

// take hands over an op that its client waits 1 s for, and writes down its answer.
func (r *rig) take() *Op {
	op := NewOp()
	op.Body, _ = ReadPayload(strings.NewReader("body"), -1)
	op.Deadline = r.clock.Now() + policy.Second
	r.Submit(op)
	synctest.Wait()
	return op
}

func (r *rig) answer(op *Op) {
	select {
	case a := <-op.Answered():
		line := "client: " + a.Verdict.String()
		if a.Body != nil {
			line += " " + string(a.Body.Bytes())
			a.Body.Release()
		}
		r.note(line)
	default:
		r.note("client: nothing")
	}
}

func (r *rig) end(push int, outcome policy.Outcome) {
	result := Result{Outcome: outcome}
	if outcome == policy.Acked {
		result.Body, _ = ReadPayload(strings.NewReader("fine"), -1)
	}
	r.PushEnded(r.pushes[push], result)
	synctest.Wait()
}

func after(ms int) {
	time.Sleep(time.Duration(ms) * time.Millisecond)
	synctest.Wait()
}

// once answers the first input of a kind with effects.
func once(kind policy.InputKind, effects ...policy.Effect) func(*policy.Input) []policy.Effect {
	done := false
	return func(in *policy.Input) []policy.Effect {
		if in.Kind != kind || done {
			return nil
		}
		done = true
		return effects
	}
}

func chain(scripts ...func(*policy.Input) []policy.Effect) func(*policy.Input) []policy.Effect {
	return func(in *policy.Input) (out []policy.Effect) {
		for _, s := range scripts {
			out = append(out, s(in)...)
		}
		return out
	}
}

var (
	nack       = policy.Effect{Kind: policy.Nack, Op: 1}
	deadLetter = policy.Effect{Kind: policy.DeadLetter, Op: 1}
	cancel     = policy.Effect{Kind: policy.Cancel, Op: 1}
)

// Answers, time-outs, leaving and cancelling come in any order: the client gets one answer, and the module is
// told the end of each push once.
func TestOneAnswer(t *testing.T) {
	pushed := func(in *policy.Input) []policy.Effect { // each case's own, so that it can be shared
		if in.Kind != policy.OpArrived {
			return nil
		}
		return []policy.Effect{pushFor(300)}
	}
	for name, c := range map[string]struct {
		script func(*policy.Input) []policy.Effect
		do     func(*rig, *Op)
		want   []string
	}{
		"acked": {pushed, func(r *rig, op *Op) { after(20); r.end(0, policy.Acked); r.answer(op) },
			[]string{"module: ended push 0 acked after 20 ms settled true", "client: acked fine"}},
		"nacked": {once(policy.OpArrived, nack), func(r *rig, op *Op) { r.answer(op) }, []string{"client: nacked"}},
		"timed out, then answered": {chain(pushed, once(policy.PushEnded, deadLetter)),
			func(r *rig, op *Op) { after(301); r.answer(op); r.end(0, policy.Acked); r.answer(op) },
			[]string{"module: ended push 0 timed out after 300 ms settled false", "client: dead-lettered", "client: nothing"}},
		"answered by the second, then by the first": {chain(pushed, once(policy.PushEnded, pushFor(300))),
			func(r *rig, op *Op) {
				after(301)
				r.end(1, policy.Acked)
				r.answer(op)
				r.end(0, policy.Acked)
				r.answer(op)
			},
			[]string{"module: ended push 0 timed out after 300 ms settled false",
				"module: ended push 1 acked after 1 ms settled true", "client: acked fine", "client: nothing"}},
		"left, then answered": {pushed,
			func(r *rig, op *Op) { r.Abandon(op); synctest.Wait(); r.end(0, policy.Acked); r.answer(op) },
			[]string{"module: abandoned", "module: ended push 0 acked after 0 ms settled true", "client: left"}},
		"answered, then left": {pushed,
			func(r *rig, op *Op) { r.end(0, policy.Acked); r.Abandon(op); synctest.Wait(); r.answer(op) },
			[]string{"module: ended push 0 acked after 0 ms settled true", "client: acked fine"}},
		"left and cancelled": {chain(pushed, once(policy.OpAbandoned, cancel)),
			func(r *rig, op *Op) {
				r.Abandon(op)
				<-r.pushes[0].Context.Done()
				r.end(0, policy.Cancelled)
				r.answer(op)
			},
			[]string{"module: abandoned", "module: ended push 0 cancelled after 0 ms settled true", "client: left"}},
		"a time-out is cut to the client's wait": {once(policy.OpArrived, pushFor(5000)),
			func(r *rig, op *Op) { after(1001); r.answer(op); after(20); r.answer(op) },
			[]string{"module: ended push 0 timed out after 1000 ms settled false", "client: nothing", "module: abandoned",
				"client: dead-lettered"}},
		"no answer of the module": {nil, func(r *rig, op *Op) { after(1019); r.answer(op); after(2); r.answer(op) },
			[]string{"client: nothing", "module: abandoned", "client: dead-lettered"}},
		"pushed when it is over": {once(policy.OpArrived, nack, pushFor(300)), func(r *rig, op *Op) { r.answer(op) },
			[]string{"client: nacked"}},
		"pushed with no time left": {once(policy.OpArrived, pushFor(-1)),
			func(r *rig, op *Op) { r.answer(op) }, []string{"client: nothing"}},
	} {
		t.Run(name, func(t *testing.T) {
			got := play(t, 9, c.script, func(r *rig) {
				op := r.take()
				c.do(r, op)
			})
			if diff := cmp.Diff(append([]string{"module: arrived"}, c.want...), got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A push that could no longer be carried ends as moot, after the effects that made it, and is not sent.
func TestMoot(t *testing.T) {
	got := play(t, 9, chain(once(policy.OpArrived, pushFor(300)), once(policy.OpAbandoned, pushFor(300))), func(r *rig) {
		op := r.take()
		r.Abandon(op)
		synctest.Wait()
		if len(r.pushes) != 1 {
			r.note("sent")
		}
	})
	if diff := cmp.Diff([]string{"module: arrived", "module: abandoned", "module: ended push 1 moot after 0 ms settled true"},
		got); diff != "" {
		t.Error(diff)
	}
}

// Danger: beyond the sockets an op would wait unseen. What is in excess is nacked before the module sees it,
// and what was settled makes room.
func TestExcess(t *testing.T) {
	got := play(t, 1, once(policy.OpArrived, pushFor(300)), func(r *rig) {
		first, second := r.take(), r.take()
		r.answer(second)
		r.end(0, policy.Acked)
		r.answer(first)
		r.take()
	})
	if diff := cmp.Diff([]string{"module: arrived", "client: nacked", "module: ended push 0 acked after 0 ms settled true",
		"client: acked fine", "module: arrived"}, got); diff != "" {
		t.Error(diff)
	}
}

// Danger: a process that had to wait finds time-outs due and answers unread, both at once; answers go first.
func TestStall(t *testing.T) {
	got := play(t, 9, func(in *policy.Input) []policy.Effect {
		switch {
		case in.Kind == policy.OpArrived && in.Op == 1:
			return []policy.Effect{pushFor(300)}
		case in.Kind == policy.OpArrived:
			time.Sleep(400 * time.Millisecond)
		}
		return nil
	}, func(r *rig) {
		op := r.take()
		go r.take()
		after(400) // it is read within half a millisecond of the stall's end
		time.Sleep(rest / 2)
		r.end(0, policy.Acked)
		after(1)
		r.answer(op)
	})
	if diff := cmp.Diff([]string{"module: arrived", "module: arrived", "module: ended push 0 acked after 400 ms settled true",
		"client: acked fine"}, got); diff != "" {
		t.Error(diff)
	}
}

// A panic of the module promises nothing: everything in hand and all that comes is dead-lettered.
func TestPanic(t *testing.T) {
	got := play(t, 9, func(in *policy.Input) []policy.Effect {
		if in.Op == 2 {
			panic("broken")
		}
		return nil
	}, func(r *rig) {
		first, second := r.take(), r.take()
		if err := <-r.ended; err == nil || !strings.Contains(err.Error(), "broken") {
			r.note(fmt.Sprint(err))
		}
		r.ended <- nil
		third := r.take()
		r.answer(first)
		r.answer(second)
		r.answer(third)
	})
	if diff := cmp.Diff([]string{"module: arrived", "module: arrived", "client: dead-lettered", "client: dead-lettered",
		"client: dead-lettered"}, got); diff != "" {
		t.Error(diff)
	}
}

// Timers are due in order, those of one moment in the order they were set; a stopped one is not.
func TestTimers(t *testing.T) {
	var all timers
	var got []int
	entry := func(at policy.Micros, name int) *timer { return all.set(at, func() { got = append(got, name) }) }
	entry(30, 1)
	stopped := entry(20, 2)
	entry(20, 3)
	entry(20, 4)
	late := entry(99, 5)
	all.stop(stopped)
	all.stop(stopped)
	for due := all.due(40); due != nil; due = all.due(40) {
		due.fire()
	}
	if diff := cmp.Diff([]int{3, 4, 1}, got); diff != "" {
		t.Error(diff)
	}
	if len(all.heap) != 1 || all.heap[0] != late {
		t.Errorf("%d timers left", len(all.heap))
	}
}

// Danger: a buffer given back while a push still reads it would send another op's bytes.
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
	if p.buffer != nil || p.holders.Load() != 0 {
		t.Errorf("%d hold it", p.holders.Load())
	}
	if _, err := ReadPayload(strings.NewReader(strings.Repeat("x", MaxBodyBytes+1)), -1); !errors.Is(err, ErrBodyTooLong) {
		t.Errorf("got %v", err)
	}
	if _, err := ReadPayload(strings.NewReader(strings.Repeat("x", MaxBodyBytes)), -1); err != nil {
		t.Error(err)
	}
}
