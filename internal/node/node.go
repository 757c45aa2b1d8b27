// Package node runs a node's actor, the one goroutine that calls the module (a policy.Decider) and settles ops. It keeps
// the state that the module's decisions apply to and carries the decisions out; it makes no decision itself.
//
// An op is one client request, which gets exactly one final answer. A push is one attempt to run an op on a server.
//
// The client side, the server side and the registry post messages to the actor's mailbox and block while it is full. The
// actor never blocks on them: each op has a buffered channel for its answer, and pushes and registry watches are handed
// over without waiting.
package node

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/policy"
)

// mailboxSize is the capacity of the actor's mailbox, in messages. A sender that finds the mailbox full blocks; it is the
// goroutine of a single op or push, so nothing else is delayed.
const mailboxSize = 256

const (
	lateTimerThreshold = 5 * policy.Millisecond // a timer overdue by more means that the process was not scheduled
	catchUpDelay       = time.Millisecond       // lets other goroutines read what arrived in the meantime
)

// Options are the settings of the actor.
type Options struct {
	MaxPendingOps int           // maximum number of ops that are not settled; more are nacked
	AnswerSlack   policy.Micros // time after an op's deadline in which a final answer still counts
}

// Node is the actor of one node. Its state belongs to the goroutine that calls Run, or to the caller of RunPending; methods
// that post a message to it are safe for concurrent use.
type Node struct {
	clock    *Clock
	servers  Servers
	registry Registry
	log      zerolog.Logger
	mailbox  chan any
	stopped  chan struct{} // closed when the actor has stopped

	generations   []*Generation               // oldest first
	list          []policy.ListEntry          // current full server list, without weight factors
	addrs         map[policy.ServerID]string  // addresses of the servers on the list
	peers         Peers                       // nil: no peer messaging
	weightFactors map[policy.ServerID]float64 // remaining fraction of a server's weight after the peers' reports; absent: 1

	statistics Statistics

	ops               map[policy.OpID]*Op
	pendingOps        int           // ops not yet settled
	rejectedOps       int           // nacked over the limit since the last log line about it
	rejectionLoggedAt policy.Micros // step time of that log line
	shutdownDeadline  policy.Micros // every op is answered by then; 0: no shutdown is planned
	lastOpID          policy.OpID   // latest id given to an op
	stepTime          policy.Micros // time of the latest step; never decreases
	timers            timerQueue
	pendingInputs     []policy.Input // produced by effects; delivered after them, so that the module is not reentered
}

// Messages to the actor. A *List is one too.
type (
	opSubmitted         struct{ op *Op }
	opAbandoned         struct{ op *Op }
	shutdownDeadlineSet struct{ deadline policy.Micros }
	pushEnded           struct {
		push   *Push
		result Result
		at     policy.Micros // when the end was reported
	}
)

// New returns an actor with one generation of settings. Call Start before Run or RunPending.
func New(options Options, module policy.Decider, clock *Clock, log zerolog.Logger) *Node {
	return &Node{
		generations: []*Generation{{Options: options, Module: module}},
		clock:       clock,
		log:         log,
		mailbox:     make(chan any, mailboxSize),
		stopped:     make(chan struct{}),
		ops:         make(map[policy.OpID]*Op),
	}
}

// Start sets the collaborators that the actor hands pushes and watches to, and passes the initial server list to the module.
func (n *Node) Start(servers Servers, registry Registry, initial *List) {
	n.servers = servers
	n.registry = registry
	n.applyList(initial)
}

// Submit hands an op to the actor. The op is always answered, also after the actor has stopped.
func (n *Node) Submit(op *Op) { n.post(opSubmitted{op}) }

// Abandon reports that the op's client has disconnected. The op is still answered; the caller discards that answer.
//
// The flag is set before the message is posted: otherwise messages that are ahead of it in a long mailbox would still
// cause pushes for a client that is gone.
func (n *Node) Abandon(op *Op) {
	op.clientLeft.Store(true)
	n.post(opAbandoned{op})
}

// SetShutdownDeadline announces that the process ends soon. Every op, including those submitted later, is answered by the
// deadline.
func (n *Node) SetShutdownDeadline(deadline policy.Micros) { n.post(shutdownDeadlineSet{deadline}) }

// PushEnded reports how a push ended.
func (n *Node) PushEnded(push *Push, result Result) { n.post(pushEnded{push, result, n.clock.Now()}) }

// ListReceived hands over a server list, or changes to it, from the registry.
func (n *Node) ListReceived(list *List) { n.post(list) }

// post sends a message to the actor. It blocks while the mailbox is full, until the actor has stopped.
func (n *Node) post(message any) {
	select {
	case n.mailbox <- message:
		select {
		case <-n.stopped:
			n.rejectRemaining() // the actor stopped while the message was being posted
		default:
		}
	case <-n.stopped:
		rejectMessage(message)
	}
}

// Run processes messages and timers until ctx is done. A panic of the module ends it with an error, and all pending ops are
// dead-lettered, since it is no longer known whether they may be retried safely.
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
		case m := <-n.mailbox:
			n.handle(m)
		case <-alarm.C:
		}
		n.drainMailbox()
		if len(n.timers.heap) > 0 && n.clock.Now()-n.timers.heap[0].at > lateTimerThreshold {
			// The process was not scheduled for a while, so answers may have arrived that no goroutine has read yet.
			// Without this pause the overdue timeouts would fire first and discard them.
			time.Sleep(catchUpDelay)
			n.drainMailbox()
		}
		for t := n.timers.popDue(n.clock.Now()); t != nil; t = n.timers.popDue(n.clock.Now()) {
			t.fire()
		}
	}
}

// RunPending handles the queued messages and the timers that are due, without waiting, and returns the time of the next
// timer if one is set. It replaces Run in simulated time: a simulation calls it, and every other method of the node, from
// one goroutine, after each message and at each timer.
func (n *Node) RunPending() (next policy.Micros, set bool) {
	n.drainMailbox()
	for t := n.timers.popDue(n.clock.Now()); t != nil; t = n.timers.popDue(n.clock.Now()) {
		t.fire()
	}
	if len(n.timers.heap) == 0 {
		return 0, false
	}
	return n.timers.heap[0].at, true
}

// drainMailbox handles the messages that are already queued, at most mailboxSize of them, so that an answer in the mailbox
// takes effect before a timeout that is due.
func (n *Node) drainMailbox() {
	for range mailboxSize {
		select {
		case m := <-n.mailbox:
			n.handle(m)
		default:
			return
		}
	}
}

// stop cancels all pushes and answers every pending op, including those in the mailbox, so that no caller waits forever.
func (n *Node) stop() {
	close(n.stopped)
	for _, op := range n.ops {
		for _, push := range op.pushes {
			push.cancel()
		}
		n.settle(op, Answer{Verdict: DeadLettered}, "the process ends")
	}
	n.rejectRemaining()
}

// rejectRemaining rejects the messages that are left in the mailbox after the actor has stopped.
func (n *Node) rejectRemaining() {
	for {
		select {
		case m := <-n.mailbox:
			rejectMessage(m)
		default:
			return
		}
	}
}

// rejectMessage releases the sender of a message that arrives after the actor has stopped.
func rejectMessage(message any) {
	switch message := message.(type) {
	case opSubmitted:
		message.op.Answer(Answer{Verdict: DeadLettered})
	case pushEnded:
		message.result.Body.Release()
	case switchRequest:
		message.result <- switchResult{0, errStopped}
	}
}

// handle processes one message.
func (n *Node) handle(message any) {
	switch message := message.(type) {
	case opSubmitted:
		n.admit(message.op)
	case opAbandoned:
		n.abandon(message.op, ClientLeft, "client left")
	case shutdownDeadlineSet:
		n.applyShutdownDeadline(message.deadline)
	case pushEnded:
		n.endPush(message.push, message.result, message.at-message.push.sentAt)
	case *List:
		n.applyList(message)
	case switchRequest:
		n.switchGeneration(message)
	case peersSet:
		n.setPeers(message.peers)
	case peerMessages:
		n.deliverPeerMessages(message)
	case weightFactorsSet:
		n.applyWeightFactors(message.factors)
	}
}

// admit gives an op its id and passes it to the module. An op over the limit on pending ops (limits.max_open) is nacked
// before it reaches the module: nothing of it has run.
func (n *Node) admit(op *Op) {
	n.pendingOps++
	if n.pendingOps > n.newestGeneration().Options.MaxPendingOps {
		n.settle(op, Answer{Verdict: Nacked, OverLimit: true}, "more ops than sockets and memory allow")
		if n.rejectedOps++; n.stepTime-n.rejectionLoggedAt >= policy.Second {
			n.log.Warn().Int("nacked", n.rejectedOps).Int("in hand", n.pendingOps).Msg("more ops than sockets allow")
			n.rejectedOps = 0
			n.rejectionLoggedAt = n.stepTime
		}
		return
	}
	if op.generation = n.generation(op.GenerationNumber); op.generation == nil {
		n.settle(op, Answer{Verdict: Nacked}, "other settings by now") // nothing has run, and its category number may mean another category by now
		return
	}
	if !op.clientConnected() {
		n.settle(op, Answer{Verdict: ClientLeft}, "client left before the first push") // the module is not told of it
		return
	}
	op.generation.opCount++
	for n.lastOpID++; n.lastOpID == 0 || n.ops[n.lastOpID] != nil; n.lastOpID++ {
		// 0 is the timer token of the module's control interval; an id that is still in use is skipped.
	}
	op.id = n.lastOpID
	n.ops[op.id] = op
	n.setAnswerTimer(op)
	if line := n.log.Debug(); line.Enabled() {
		line.Uint32("op", uint32(op.id)).Uint8("category", uint8(op.Category)).
			Int64("left_ms", int64(op.Deadline-n.stepTime)/int64(policy.Millisecond)).Msg("op")
	}
	n.step(op.generation, &policy.Input{Kind: policy.OpArrived, Op: op.id, Category: op.Category, Tenant: op.Tenant,
		Deadline: op.Deadline, ClientRetry: op.ClientRetry})
}

// endPush reports the end of a push to the module, once. The first acked push becomes the op's answer; pushes that end
// later are reported as belonging to a settled op, and their answers are discarded.
func (n *Node) endPush(push *Push, result Result, took policy.Micros) {
	if push.ended {
		result.Body.Release()
		return
	}
	op := push.op
	switch result.Outcome {
	case policy.TimedOut, policy.Cancelled:
		// A push that never got its connection cannot have run. Reported as a timeout, it would prevent an at-most-once
		// op from being pushed again or nacked.
		switch withdrawn := push.Withdrawn(); {
		case withdrawn || op.settled && push.withdraw():
			result.Outcome = policy.Moot
		case push.withdraw():
			result.Outcome = policy.ConnectFailed
		}
	}
	push.ended = true
	n.statistics.recordPushEnd(n.log, push, result.Outcome, took)
	if !policy.NeverRan(result.Outcome) {
		op.mayHaveRun = true
	}
	if !op.clientConnected() {
		n.settle(op, Answer{Verdict: ClientLeft}, "client left during a push") // otherwise the module might push it again
	}
	op.inFlight--
	n.timers.stop(push.timeoutTimer)
	n.timers.stop(push.beginTimer)
	push.cancel()
	if result.Outcome == policy.Acked && !op.settled {
		n.settle(op, Answer{Verdict: Acked, Header: result.Header, Body: result.Body}, "by a server")
	} else {
		result.Body.Release()
	}
	if line := n.log.Debug(); line.Enabled() {
		line.Uint32("op", uint32(op.id)).Uint8("push", uint8(push.number)).Str("server", fmt.Sprintf("%012x", push.Server)).
			Stringer("outcome", result.Outcome).Int64("took_ms", int64(took/policy.Millisecond)).Msg("push ended")
	}
	if n.peers != nil {
		n.peers.PushEnded(push.Server, op.Category, result.Outcome, max(0, took))
	}
	n.step(op.generation, &policy.Input{Kind: policy.PushEnded, Op: op.id, Push: push.number, Server: push.Server,
		Outcome: result.Outcome, Latency: max(0, took), OpSettled: op.settled})
	n.removeIfFinished(op)
}

// applyList updates the server list and passes it to the server side, the peers and every module.
func (n *Node) applyList(list *List) {
	if n.log.Debug().Enabled() {
		for i, e := range list.Entries {
			n.log.Debug().Str("server", fmt.Sprintf("%012x", e.Server)).Str("addr", list.Addrs[i]).Uint8("state", uint8(e.State)).
				Uint8("zone", uint8(e.Zone)).Float64("weight", e.Weight).
				Int64("age_ms", int64(n.clock.Now()-e.StartedAt)/int64(policy.Millisecond)).Msg("entry")
		}
	}
	n.keepLatestProcesses(list)
	n.mergeList(list)
	n.updateAddrs(list)
	n.servers.UpdateList(list)
	if n.peers != nil {
		n.peers.ListChanged(n.list)
	}
	n.withdrawUnsent()
	for _, g := range n.generations { // a drain concerns every generation that has ops left
		n.step(g, &policy.Input{Kind: policy.ListReceived, Form: list.Form, List: n.reweighted(list.Entries)})
	}
}

// step passes an input to a generation's module, and then the inputs that its effects produced. The time it passes never
// goes back.
func (n *Node) step(g *Generation, in *policy.Input) {
	n.stepTime = max(n.stepTime, n.clock.Now())
	for {
		for _, e := range g.Module.Step(n.stepTime, in) {
			n.applyEffect(g, &e)
		}
		if len(n.pendingInputs) == 0 {
			return
		}
		next := n.pendingInputs[0]
		n.pendingInputs = n.pendingInputs[1:]
		in = &next
	}
}

// applyEffect carries out one decision of a generation's module.
func (n *Node) applyEffect(g *Generation, e *policy.Effect) {
	switch e.Kind {
	case policy.Push:
		n.startPush(e)
	case policy.Nack:
		n.answerOp(e.Op, Answer{Verdict: Nacked, RetryAfter: e.Duration})
	case policy.DeadLetter:
		n.answerOp(e.Op, Answer{Verdict: DeadLettered})
	case policy.Cancel:
		// The server side reports the end of the push: cancelled, unless it already has an answer.
		if op := n.ops[e.Op]; op != nil && int(e.Push) < len(op.pushes) {
			op.pushes[e.Push].cancel()
		}
	case policy.SetTimer:
		token := e.Token
		n.timers.set(e.TimerAt, func() {
			if !g.retired {
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

// startPush creates a push and hands it to the server side. A push that must not be sent ends as moot; the module is notified
// after the other effects of the same step.
func (n *Node) startPush(e *policy.Effect) {
	op := n.ops[e.Op]
	if op == nil {
		n.log.Error().Uint32("op", uint32(e.Op)).Msg("module pushed an unknown op")
		return
	}
	push := &Push{
		Request:   &op.Request,
		Server:    e.Server,
		op:        op,
		clock:     n.clock,
		target:    n.findTarget(e.Server),
		number:    policy.PushNumber(len(op.pushes)),
		sentAt:    n.stepTime,
		createdAt: time.Now(),
	}
	push.Context, push.cancel = context.WithCancel(context.Background())
	op.pushes = append(op.pushes, push)
	op.inFlight++
	push.Timeout = op.Deadline - n.stepTime
	if e.Duration > 0 {
		push.Timeout = min(push.Timeout, e.Duration)
	}
	push.beginBefore = n.stepTime + push.Timeout
	if e.BeginBefore > 0 {
		push.beginBefore = min(push.beginBefore, e.BeginBefore)
	}
	if op.settled || !op.clientConnected() || push.beginBefore <= n.stepTime {
		// The op is settled or out of time, or its client has left: it would run although no client waits for it.
		push.ended = true
		op.inFlight--
		push.cancel()
		n.pendingInputs = append(n.pendingInputs, policy.Input{Kind: policy.PushEnded, Op: op.id, Push: push.number,
			Server: push.Server, Outcome: policy.Moot, OpSettled: op.settled})
		return
	}
	n.setPushTimers(push)
	n.statistics.recordPush(n.log, push)
	if line := n.log.Debug(); line.Enabled() {
		line.Uint32("op", uint32(op.id)).Uint8("push", uint8(push.number)).Str("server", fmt.Sprintf("%012x", push.Server)).
			Int64("for_ms", int64(push.Timeout/policy.Millisecond)).Msg("push")
	}
	push.Body = op.Body.NewReader()
	if n.peers != nil {
		n.peers.PushSent(push.Server, op.Category)
	}
	n.servers.Push(push)
}
