// Package node is the module's actor: it alone calls Step and alone settles an op. It decides nothing.
//
// Clients' and servers' sides write to its mailbox and may wait there; the actor never waits for them. An op's
// answer has a place of its own, and pushes and watches are handed over without waiting.
package node

import (
	"context"
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/policy"
)

// mailbox is how many messages may stand before the actor. A writer that finds it full waits; it is a goroutine
// of one op or one push, and holds up nothing else.
const mailbox = 256

const (
	late = 5 * policy.Millisecond // a timer due for longer says that the process had to wait
	rest = time.Millisecond       // in which the other goroutines read what has come meanwhile
)

// Options are the actor's few settings.
type Options struct {
	MaxPendingOps int           // ops in hand and not settled
	AnswerSlack   policy.Micros // past the client's wait, in which a final answer still counts
}

// Node is the actor.
type Node struct {
	clock    *Clock
	servers  Servers
	registry Registry
	log      zerolog.Logger
	mail     chan any
	stopped  chan struct{}

	generations []*Generation // the newest is last
	list        []policy.ListEntry
	peers       Peers                       // nil: the node hears nobody
	parts       map[policy.ServerID]float64 // of servers' weights, by others' judgement; absent: whole

	ops     map[policy.OpID]*Op
	open    int           // of them not settled
	excess  int           // nacked for want of sockets since that was
	told    policy.Micros // in the log
	until   policy.Micros // every op is answered by then; 0: the process goes on
	last    policy.OpID
	now     policy.Micros // of the last step
	timers  timers
	pending []policy.Input // that effects made; the module is not called inside its own effects
}

type (
	arrived struct{ op *Op }
	left    struct{ op *Op }
	endBy   struct{ at policy.Micros }
	ended   struct {
		push   *Push
		result Result
		at     policy.Micros
	}
)

// New makes the actor. Start must follow before Run.
func New(options Options, module policy.Decider, clock *Clock, log zerolog.Logger) *Node {
	return &Node{generations: []*Generation{{Options: options, Module: module}}, clock: clock, log: log, mail: make(chan any, mailbox),
		stopped: make(chan struct{}), ops: make(map[policy.OpID]*Op)}
}

// Start names those that the actor hands over to, and gives the module its first list.
func (n *Node) Start(servers Servers, registry Registry, known *List) {
	n.servers, n.registry = servers, registry
	n.listed(known)
}

// Arrive hands over an op. Its answer comes in any case.
func (n *Node) Submit(op *Op) { n.send(arrived{op}) }

// Abandon says that the op's client has left. The answer still comes, to be thrown away.
//
// Danger: the mailbox may be long, and what stands in it before this would be pushed for nobody.
func (n *Node) Abandon(op *Op) {
	op.gone.Store(true)
	n.send(left{op})
}

// EndBy says that the process ends soon: what is in hand, and what comes yet, is answered by then.
func (n *Node) SetShutdownDeadline(at policy.Micros) { n.send(endBy{at}) }

// Ended ends a push.
func (n *Node) PushEnded(push *Push, result Result) { n.send(ended{push, result, n.clock.Now()}) }

// Listed hands over what the registry told.
func (n *Node) ListReceived(list *List) { n.send(list) }

func (n *Node) send(message any) {
	select {
	case n.mail <- message:
		select {
		case <-n.stopped:
			n.refuseAll() // it came behind the actor's back
		default:
		}
	case <-n.stopped:
		refuse(message)
	}
}

// Run works until ctx is done. A panic of the module ends it: what is in hand is dead-lettered, since nobody
// knows any more what may be promised.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("module: panic: %v\n%s", r, debug.Stack())
		}
		n.stop()
	}()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		if len(n.timers.heap) > 0 {
			alarm.Reset(max(0, n.clock.Until(n.timers.heap[0].at)))
		}
		select {
		case <-ctx.Done():
			return nil
		case m := <-n.mail:
			n.receive(m)
		case <-alarm.C:
		}
		n.drain()
		if len(n.timers.heap) > 0 && n.clock.Now()-n.timers.heap[0].at > late {
			// Danger: after a wait for the core, answers may have come that nobody has read yet; time-outs that
			// go first would throw them away.
			time.Sleep(rest)
			n.drain()
		}
		for t := n.timers.due(n.clock.Now()); t != nil; t = n.timers.due(n.clock.Now()) {
			t.fire()
		}
	}
}

// Turn is one round of Run, without waiting: what has come and what is due by now. It gives the time of the next
// timer, if one is set. It is for drivers in simulated time, which call it, and everything else of the node, from
// one goroutine, after each message and at each timer.
func (n *Node) RunPending() (next policy.Micros, set bool) {
	n.drain()
	for t := n.timers.due(n.clock.Now()); t != nil; t = n.timers.due(n.clock.Now()) {
		t.fire()
	}
	if len(n.timers.heap) == 0 {
		return 0, false
	}
	return n.timers.heap[0].at, true
}

// drain reads what has already come, a mailbox full at most: an answer in the mailbox goes before a time-out that
// is due.
func (n *Node) drain() {
	for range mailbox {
		select {
		case m := <-n.mail:
			n.receive(m)
		default:
			return
		}
	}
}

// stop answers everything in hand and in the mailbox; nobody waits for ever.
func (n *Node) stop() {
	close(n.stopped)
	for _, op := range n.ops {
		for _, push := range op.pushes {
			push.cancel()
		}
		n.settle(op, Answer{Verdict: DeadLettered})
	}
	n.refuseAll()
}

// refuseAll refuses what the mailbox still holds once nobody reads it any more.
func (n *Node) refuseAll() {
	for {
		select {
		case m := <-n.mail:
			refuse(m)
		default:
			return
		}
	}
}

// refuse is all that a message comes to after the actor's end.
func refuse(m any) {
	switch m := m.(type) {
	case arrived:
		m.op.Answer(Answer{Verdict: DeadLettered})
	case ended:
		m.result.Body.Release()
	case switched:
		m.done <- switchedTo{0, errStopped}
	}
}

func (n *Node) receive(m any) {
	switch m := m.(type) {
	case arrived:
		n.arrive(m.op)
	case left:
		n.abandon(m.op, ClientLeft)
	case endBy:
		n.endAll(m.at)
	case ended:
		n.end(m.push, m.result, m.at-m.push.sent)
	case *List:
		n.listed(m)
	case switched:
		n.switchTo(m)
	case peering:
		n.peer(m.peers)
	case words:
		n.hear(m)
	case weighed:
		n.weigh(m.parts)
	}
}

// arrive gives an op its id and hands it to the module. What is in excess of the ops that can be open is
// rejected before it reaches the module, as the wire's limits.max_open has it: nothing of it has run.
func (n *Node) arrive(op *Op) {
	n.open++
	if n.open > n.newest().Options.MaxPendingOps {
		n.settle(op, Answer{Verdict: Nacked, OverLimit: true})
		if n.excess++; n.now-n.told >= policy.Second {
			n.log.Warn().Int("nacked", n.excess).Int("in hand", n.open).Msg("more ops than sockets allow")
			n.excess, n.told = 0, n.now
		}
		return
	}
	if op.of = n.generation(op.GenerationNumber); op.of == nil {
		n.settle(op, Answer{Verdict: Nacked}) // nothing of it has run, and its category's number may be another's by now
		return
	}
	if !op.stays() {
		n.settle(op, Answer{Verdict: ClientLeft}) // nobody waits for it, and the module never hears of it
		return
	}
	op.of.ops++
	for n.last++; n.last == 0 || n.ops[n.last] != nil; n.last++ {
		// 0 is the token of the module's own beat, and an id in hand is not given twice.
	}
	op.id = n.last
	n.ops[op.id] = op
	n.bound(op)
	if line := n.log.Debug(); line.Enabled() {
		line.Uint32("op", uint32(op.id)).Uint8("category", uint8(op.Category)).
			Int64("left_ms", int64(op.Deadline-n.now)/int64(policy.Millisecond)).Msg("op")
	}
	n.step(op.of, &policy.Input{Kind: policy.OpArrived, Op: op.id, Category: op.Category, Tenant: op.Tenant,
		Deadline: op.Deadline, ClientRetry: op.ClientRetry})
}

// endAll gives every op in hand its end by a moment.
//
// Danger: the kill at a planned restart does not wait for long TTLs; what it finds unanswered is lost. And ops read
// before the restart was asked for may arrive after it.
func (n *Node) endAll(at policy.Micros) {
	n.until = at
	for _, id := range slices.Sorted(maps.Keys(n.ops)) {
		if op := n.ops[id]; !op.settled {
			n.bound(op)
		}
	}
}

// bound sets the end of an op's wait. The module answers well before, or when a push times out at the very end; this is for
// the case that it ever does not, and for the process's end.
func (n *Node) bound(op *Op) {
	n.timers.stop(op.end)
	if at := op.Deadline + op.of.Options.AnswerSlack; n.until == 0 || at <= n.until {
		op.end = n.timers.set(at, func() {
			n.log.Error().Uint32("op", uint32(op.id)).Msg("op overdue, dead-lettered")
			n.abandon(op, DeadLettered)
		})
		return
	}
	op.end = n.timers.set(n.until, func() { n.cutShort(op) })
}

// cutShort nacks an op at the process's end where a new try surely does no harm, and dead-letters it otherwise.
func (n *Node) cutShort(op *Op) {
	verdict := Nacked
	for _, push := range op.pushes {
		if !push.ended && !push.keepBack() {
			op.ran = true
		}
	}
	if op.ran {
		verdict = DeadLettered
	}
	n.abandon(op, verdict)
}

// abandon settles an op without the module and tells it.
func (n *Node) abandon(op *Op, verdict Verdict) {
	if op.settled {
		return
	}
	n.settle(op, Answer{Verdict: verdict})
	n.step(op.of, &policy.Input{Kind: policy.OpAbandoned, Op: op.id})
	n.forget(op)
}

// end tells the module how a push ended, once. The first acked one is the op's answer; what comes later is
// reported as settled and answers nobody.
func (n *Node) end(push *Push, result Result, took policy.Micros) {
	if push.ended {
		result.Body.Release()
		return
	}
	op := push.op
	switch result.Outcome {
	case policy.TimedOut, policy.Cancelled:
		// Danger: a push that never got its connection is no doubt about what ran; told as a time-out, it would keep an
		// op that must not run twice from going on, or from being nacked.
		switch called := push.Withdrawn(); {
		case called || op.settled && push.keepBack():
			result.Outcome = policy.Moot
		case push.keepBack():
			result.Outcome = policy.ConnectFailed
		}
	}
	push.ended = true
	if !policy.NeverRan(result.Outcome) {
		op.ran = true
	}
	if !op.stays() {
		n.settle(op, Answer{Verdict: ClientLeft}) // or the module would push it again
	}
	op.out--
	n.timers.stop(push.timeout)
	push.cancel()
	if result.Outcome == policy.Acked && !op.settled {
		n.settle(op, Answer{Verdict: Acked, Header: result.Header, Body: result.Body})
	} else {
		result.Body.Release()
	}
	if line := n.log.Debug(); line.Enabled() {
		line.Uint32("op", uint32(op.id)).Uint8("push", uint8(push.no)).Str("server", fmt.Sprintf("%012x", push.Server)).
			Stringer("outcome", result.Outcome).Int64("took_ms", int64(took/policy.Millisecond)).Msg("push ended")
	}
	if n.peers != nil {
		n.peers.PushEnded(push.Server, op.Category, result.Outcome, max(0, took))
	}
	n.step(op.of, &policy.Input{Kind: policy.PushEnded, Op: op.id, Push: push.no, Server: push.Server,
		Outcome: result.Outcome, Latency: max(0, took), OpSettled: op.settled})
	n.forget(op)
}

func (n *Node) listed(list *List) {
	if n.log.Debug().Enabled() {
		for i, e := range list.Entries {
			n.log.Debug().Str("server", fmt.Sprintf("%012x", e.Server)).Str("addr", list.Addrs[i]).Uint8("state", uint8(e.State)).
				Uint8("zone", uint8(e.Zone)).Float64("weight", e.Weight).
				Int64("age_ms", int64(n.clock.Now()-e.StartedAt)/int64(policy.Millisecond)).Msg("entry")
		}
	}
	before := slices.Clone(n.list)
	n.keep(list)
	n.servers.UpdateList(list)
	if n.peers != nil {
		n.peers.ListChanged(n.list)
	}
	n.callBack(before)
	for _, g := range n.generations { // a drain binds all that still have ops in hand
		n.step(g, &policy.Input{Kind: policy.ListReceived, Form: list.Form, List: n.partly(list.Entries)})
	}
}

// callBack keeps back what was pushed to servers that are no longer ready, or have started anew since the list before, and
// has not been sent yet.
//
// Danger: a push may wait for its connection for as long as a dial takes, and would be sent to a draining server past the
// grace. The module pushes to ready servers alone, so none of these is there on purpose.
func (n *Node) callBack(before []policy.ListEntry) {
	for _, id := range slices.Sorted(maps.Keys(n.ops)) {
		for _, push := range n.ops[id].pushes {
			if !push.ended && !n.ready(push.Server, before) {
				push.keepBack()
			}
		}
	}
}

// ready says whether the list in hand has a server that takes ops, and that has not started anew since the one before.
func (n *Node) ready(id policy.ServerID, before []policy.ListEntry) bool {
	is := func(e policy.ListEntry) bool { return e.Server == id }
	at, was := slices.IndexFunc(n.list, is), slices.IndexFunc(before, is)
	return at >= 0 && n.list[at].State == policy.Ready && (was < 0 || before[was].StartedAt == n.list[at].StartedAt)
}

// settle gives the op its one final answer.
func (n *Node) settle(op *Op, answer Answer) {
	if op.settled {
		answer.Body.Release()
		return
	}
	op.settled = true
	n.open--
	if line := n.log.Debug(); line.Enabled() {
		line.Uint32("op", uint32(op.id)).Uint8("category", uint8(op.Category)).Stringer("verdict", answer.Verdict).
			Int("pushes", len(op.pushes)).Int64("left_ms", n.clock.Until(op.Deadline).Milliseconds()).Msg("answer")
	}
	n.timers.stop(op.end)
	for _, push := range op.pushes {
		if !push.ended {
			push.keepBack()
		}
	}
	op.Answer(answer)
	op.Body.Release() // pushes still out hold it for themselves
}

// forget lets an op go once it is settled and no push of it is out.
func (n *Node) forget(op *Op) {
	if _, held := n.ops[op.id]; held && op.settled && op.out == 0 {
		delete(n.ops, op.id)
		if op.of.ops--; op.of.ops == 0 && op.of != n.newest() {
			n.retire()
		}
	}
}

// step calls a module, and again for what its effects made, at a clock that never goes back.
func (n *Node) step(g *Generation, in *policy.Input) {
	n.now = max(n.now, n.clock.Now())
	for {
		for _, e := range g.Module.Step(n.now, in) {
			n.effect(g, &e)
		}
		if len(n.pending) == 0 {
			return
		}
		next := n.pending[0]
		n.pending = n.pending[1:]
		in = &next
	}
}

func (n *Node) effect(g *Generation, e *policy.Effect) {
	switch e.Kind {
	case policy.Push:
		n.push(e)
	case policy.Nack:
		n.answer(e.Op, Answer{Verdict: Nacked, RetryAfter: e.Duration})
	case policy.DeadLetter:
		n.answer(e.Op, Answer{Verdict: DeadLettered})
	case policy.Cancel:
		// Its end comes from the server's side, as cancelled unless an answer was already there.
		if op := n.ops[e.Op]; op != nil && int(e.Push) < len(op.pushes) {
			op.pushes[e.Push].cancel()
		}
	case policy.SetTimer:
		token := e.Token
		n.timers.set(e.TimerAt, func() {
			if !g.over {
				n.step(g, &policy.Input{Kind: policy.TimerFired, Token: token})
			}
		})
	case policy.WatchRegistry:
		n.registry.Watch()
	case policy.SendToPeer:
		if n.peers != nil {
			n.peers.Send(e.PeerNumber, e.Message)
		}
	case policy.CloseIdle:
		n.servers.CloseIdle(e.Server)
	case policy.Log:
		n.log.Info().Msg(e.Text)
	}
}

// answer carries out the module's answer to an op.
func (n *Node) answer(id policy.OpID, answer Answer) {
	if op := n.ops[id]; op != nil {
		n.settle(op, answer)
		n.forget(op)
	}
}

func (n *Node) push(e *policy.Effect) {
	op := n.ops[e.Op]
	if op == nil {
		n.log.Error().Uint32("op", uint32(e.Op)).Msg("push of an op that is not in hand")
		return
	}
	push := &Push{Request: &op.Request, Server: e.Server, op: op, no: policy.PushNumber(len(op.pushes)), sent: n.now,
		made: time.Now()}
	push.Context, push.cancel = context.WithCancel(context.Background())
	op.pushes = append(op.pushes, push)
	op.out++
	push.Timeout = op.Deadline - n.now
	if e.Duration > 0 {
		push.Timeout = min(push.Timeout, e.Duration)
	}
	if op.settled || !op.stays() || push.Timeout <= 0 {
		// Danger: an op that is over, or out of time, would run for nobody.
		push.ended = true
		op.out--
		push.cancel()
		n.pending = append(n.pending, policy.Input{Kind: policy.PushEnded, Op: op.id, Push: push.no,
			Server: push.Server, Outcome: policy.Moot, OpSettled: op.settled})
		return
	}
	push.timeout = n.timers.set(n.now+push.Timeout, func() {
		n.end(push, Result{Outcome: policy.TimedOut}, n.clock.Now()-push.sent)
	})
	if line := n.log.Debug(); line.Enabled() {
		line.Uint32("op", uint32(op.id)).Uint8("push", uint8(push.no)).Str("server", fmt.Sprintf("%012x", push.Server)).
			Int64("for_ms", int64(push.Timeout/policy.Millisecond)).Msg("push")
	}
	push.Body = op.Body.NewReader()
	if n.peers != nil {
		n.peers.PushSent(push.Server, op.Category)
	}
	n.servers.Push(push)
}
