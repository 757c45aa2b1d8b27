package sim

import (
	"strconv"
	"strings"

	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/load/stream"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/trial"
	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

func dedupKey(op ledger.OpID) string { return strconv.Itoa(int(op)) }

// balancer is one node: the real actor, on a clock of its own that this driver moves.
type simNode struct {
	scenario.Node
	run         *run
	globalIndex int
	actor       *node.Node
	module      *policy.Node
	clock       *node.Clock
	up          bool
	draining    bool          // SIGTERM came
	lastSeenUp  policy.Micros // when the front takes it for up or down, after a change
	incarnation int
	answerSlack policy.Micros
	requests    []*request
	pushes      []*simPush
	byRequest   map[*node.Request]*request
	wakeAt      policy.Micros
	subscribed  bool
	generation  uint64
}

// handle is a push as the node knows it.
type nodePush = *node.Push

// hand is one request at a node.
type request struct {
	op         ledger.OpID
	arrival    *load.Arrival
	category   int
	deadline   policy.Micros // the client's end, as it told
	isRetry    bool
	onEnd      func(ledger.Verdict) // told once, at the client
	retryAfter policy.Micros

	try       ledger.TryID
	nodeOp    *node.Op
	ackedPush *simPush // whose answer it got
	ended     bool     // for its client
	answered  bool     // by the node
}

// start makes a new node with the list of the beginning.
func (n *simNode) start() {
	r := n.run
	c, maxPendingOps, err := r.nodeOptions(n.Node)
	if err != nil {
		r.err = err
		return
	}
	n.incarnation++
	n.up, n.draining, n.subscribed, n.generation = true, false, false, 1
	n.clock = node.NewSimulatedClock(r.now)
	n.byRequest = make(map[*node.Request]*request)
	n.wakeAt = 0
	var decider policy.Decider
	decider, n.module = r.newDecider(c, stream.New(r.Seed, "node "+strconv.Itoa(n.globalIndex)+" "+strconv.Itoa(n.incarnation)).Uint64())
	if r.err != nil {
		return
	}
	n.answerSlack = trial.AnswerSlack(r.Fault, c.AnswerSlack)
	n.actor = node.New(node.Options{MostOpen: min(maxPendingOps, c.MostOpen), Slack: n.answerSlack}, decider, n.clock, discardLogger)
	cachedList := &node.List{Form: policy.ListCached}
	r.ledger.RecordNodeStart(n.globalIndex)
	for i, m := range r.plan.Machines[:r.plan.InitialCount] {
		if m.Tier == n.Tier {
			entries, _ := r.policyEntries(m.RegistryEntry(i))
			cachedList.Entries = append(cachedList.Entries, entries...)
			cachedList.Addrs = append(cachedList.Addrs, "")
			r.ledger.RecordServerState(n.globalIndex, i, policy.Ready, 0, r.now)
		}
	}
	n.actor.Start(n, n, cachedList)
	n.runPending()
}

// work lets the node do what has come and is due, then sees what it did.
func (b *simNode) runPending() {
	b.clock.Set(b.run.now)
	next, set := b.actor.Turn()
	b.collectResults()
	if set && (b.wakeAt <= b.run.now || next < b.wakeAt) {
		b.wakeAt = next
		incarnation := b.incarnation
		b.run.schedule(next, func() {
			if b.up && b.incarnation == incarnation && b.wakeAt == next {
				b.wakeAt = 0
				b.runPending()
			}
		})
	}
}

// look finds the ops that were answered and the pushes that were given up.
func (b *simNode) collectResults() {
	kept := b.requests[:0]
	for _, h := range b.requests {
		select {
		case answer := <-h.nodeOp.Answered():
			b.sendAnswer(h, answer)
		default:
			kept = append(kept, h)
		}
	}
	for i := len(kept); i < len(b.requests); i++ {
		b.requests[i] = nil
	}
	b.requests = kept
	pending := b.pushes[:0]
	for _, f := range b.pushes {
		if f.nodePush.Context.Err() == nil {
			pending = append(pending, f)
			continue
		}
		b.cancelPush(f)
	}
	for i := len(pending); i < len(b.pushes); i++ {
		b.pushes[i] = nil
	}
	b.pushes = pending
	if b.draining && len(b.requests) == 0 && len(b.pushes) == 0 {
		b.draining = false
		b.up = false
		b.run.schedule(b.run.now+100*policy.Millisecond, b.start)
	}
}

// giveUp closes a push's connection, and tells the node that it ended so.
func (b *simNode) cancelPush(f *simPush) {
	if !f.cancelled {
		f.cancelled = true
		b.run.schedule(b.run.now+b.run.networkDelay(), func() { f.to.connectionClosed(f) })
		if !f.answered {
			f.answered = true
			b.run.schedule(b.run.now, func() { b.endPush(f, policy.Cancelled) })
		}
	}
}

// answer carries the node's answer to the client.
func (b *simNode) sendAnswer(h *request, answer node.Answer) {
	h.answered = true
	delete(b.byRequest, &h.nodeOp.Request)
	answer.Body.Release()
	verdict := map[node.Verdict]ledger.Verdict{node.Acked: ledger.Served, node.Nacked: ledger.Nacked,
		node.DeadLettered: ledger.Failed, node.Left: ledger.ClientLeft}[answer.Verdict]
	if verdict == ledger.ClientLeft {
		return
	}
	h.retryAfter = answer.RetryAfter
	if verdict == ledger.Served && h.ackedPush != nil {
		b.run.ledger.RecordServedBy(h.ackedPush.id)
	}
	b.run.schedule(b.run.now+b.run.networkDelay(), func() { h.finish(b.run, verdict) })
}

// end is what the client saw of its request.
func (h *request) finish(r *run, verdict ledger.Verdict) {
	r.ledger.RecordTryEnd(h.try, r.now, verdict)
	if !h.ended {
		h.ended = true
		h.onEnd(verdict)
	}
}

// take is a client's request on its way to the node.
func (b *simNode) submit(h *request) {
	r := b.run
	h.try = r.ledger.RecordTry(h.op, b.globalIndex, r.now, h.deadline)
	timeLeft := h.deadline - r.now
	r.schedule(r.now+r.networkDelay(), func() { b.arrive(h, timeLeft) })
	// A client that hears nothing stays a little past the last moment for an answer, so that a late one is seen.
	waitEnd := h.deadline + r.Scenario.Limits.AnswerSlack.Micros() + r.ledger.Tolerance() + lateAnswerWindow
	r.schedule(waitEnd, func() {
		if !h.ended {
			h.finish(r, ledger.Unanswered)
			b.abandon(h)
		}
	})
}

func (b *simNode) arrive(h *request, timeLeft policy.Micros) {
	r := b.run
	if !b.up || b.draining {
		r.schedule(r.now+r.networkDelay(), func() { h.finish(r, ledger.Refused) })
		return
	}
	op := node.NewOp()
	op.Body, _ = node.ReadPayload(strings.NewReader(""), 0)
	op.Category = policy.CategoryID(h.category)
	op.Tenant = policy.TenantID(max(0, h.arrival.Tenant))
	op.NotAfter = r.now + max(0, timeLeft)/policy.Millisecond*policy.Millisecond
	op.Repeated = h.isRetry
	h.nodeOp = op
	b.byRequest[&op.Request] = h
	b.requests = append(b.requests, h)
	b.clock.Set(r.now)
	b.actor.Arrive(op)
	b.runPending()
}

// abandon tells the node that the client has left.
func (b *simNode) abandon(h *request) {
	if b.up && h.nodeOp != nil && !h.answered {
		b.clock.Set(b.run.now)
		b.actor.Abandon(h.nodeOp)
		b.runPending()
	}
}

// Push implements node.Servers.
func (b *simNode) Push(p *node.Push) {
	r := b.run
	h := b.byRequest[p.Request]
	p.Begin() // simulated connections are up at once
	serverIndex, known := r.serverIndexByID[p.Server]
	f := &simPush{from: b, nodePush: p, request: h, id: -1}
	b.pushes = append(b.pushes, f)
	if h == nil || !known {
		f.to = r.servers[0]
		f.answered = true
		r.schedule(r.now, func() { b.endPush(f, policy.ConnectFailed) })
		return
	}
	f.to, f.arrival, f.try = r.servers[serverIndex], h.arrival, h.try
	f.work, f.deadline = h.arrival.WorkByTier[b.Tier], r.now+p.For
	if extraDelay, lost := r.pathImpairment(b, f.to); !lost {
		r.schedule(r.now+r.networkDelay()+extraDelay, func() { f.to.arrive(f) })
	}
}

// Follow implements node.Servers: nothing is kept that a list would change.
func (b *simNode) Follow(*node.List) {}

// CloseIdle does nothing: simulated connections don't die unseen.
func (b *simNode) CloseIdle(policy.ServerID) {}

// ended is an outcome that came back over the network.
func (b *simNode) receiveOutcome(f *simPush, outcome policy.Outcome) {
	if !f.cancelled || outcome == policy.Reset {
		f.cancelled = true
		b.endPush(f, outcome)
	}
}

// tell ends a push at its node, if that still lives.
func (b *simNode) endPush(f *simPush, outcome policy.Outcome) {
	f.nodePush.Body.Close()
	if !b.up || b.byRequest == nil {
		return
	}
	for i, other := range b.pushes {
		if other == f {
			b.pushes = append(b.pushes[:i], b.pushes[i+1:]...)
			break
		}
	}
	if outcome == policy.Acked && f.request.ackedPush == nil && !f.request.answered {
		f.request.ackedPush = f
	}
	b.clock.Set(b.run.now)
	b.actor.Ended(f.nodePush, node.Result{Outcome: outcome})
	b.runPending()
}

// crash ends the node without a word.
func (b *simNode) crash() {
	r := b.run
	if !b.up {
		return
	}
	b.up, b.subscribed, b.draining = false, false, false
	r.ledger.RecordNodeCrash(b.globalIndex, r.now)
	for _, f := range b.pushes {
		if !f.cancelled {
			f.cancelled, f.answered = true, true
			f.nodePush.Body.Close()
			r.schedule(r.now+r.networkDelay(), func() { f.to.connectionClosed(f) })
		}
	}
	for _, h := range b.requests {
		r.schedule(r.now+r.networkDelay(), func() { h.finish(r, ledger.ConnectionLost) })
	}
	b.pushes, b.requests, b.byRequest = nil, nil, nil
}

// terminate begins a planned restart: nothing new is taken, what is in hand is finished.
func (b *simNode) terminate() {
	if b.up {
		b.draining = true
		b.collectResults()
	}
}

// Watch implements node.Registry. It is called from inside the node, so what it comes to is told later.
func (b *simNode) Watch() {
	r, incarnation := b.run, b.incarnation
	if r.registryDown {
		r.schedule(r.now+2*r.networkDelay(), func() { b.deliverList(incarnation, &node.List{Form: policy.ListFailed}) })
		return
	}
	r.schedule(r.now+r.networkDelay()+r.registryDelay, func() {
		if b.up && b.incarnation == incarnation && !r.registryDown {
			b.subscribed = true
			b.sendList(true)
		} else if b.up && b.incarnation == incarnation {
			b.deliverList(incarnation, &node.List{Form: policy.ListFailed})
		}
	})
}

// unsubscribe is the registry going down: the watch breaks.
func (b *simNode) breakWatch() {
	if b.subscribed {
		b.subscribed = false
		b.deliverList(b.incarnation, &node.List{Form: policy.ListFailed})
	}
}

func (b *simNode) deliverList(incarnation int, list *node.List) {
	if b.up && b.incarnation == incarnation {
		b.clock.Set(b.run.now)
		b.actor.Listed(list)
		b.runPending()
	}
}

// hear tells what has changed, to one that watches.
func (b *simNode) notifyChanged() {
	if b.up && b.subscribed {
		b.sendList(false)
	}
}

func (b *simNode) sendList(first bool) {
	r := b.run
	catalog := r.catalogs[b.Tier]
	if catalog.Generation() == b.generation && !first {
		return
	}
	entries, full := catalog.Since(b.generation)
	b.generation = catalog.Generation()
	list := &node.List{Form: policy.ListChanges}
	if full {
		list.Form = policy.ListWhole
	}
	list.Entries, list.Addrs = r.policyEntries(entries...)
	listed := make(map[int]bool)
	for _, e := range entries {
		listed[e.Server] = true
		r.ledger.RecordServerState(b.globalIndex, e.Server, e.State, e.Started, r.now)
	}
	if full {
		for i := range r.servers {
			if r.servers[i].machine.Tier == b.Tier && !listed[i] {
				r.ledger.RecordServerState(b.globalIndex, i, policy.Gone, r.servers[i].started, r.now)
			}
		}
	}
	b.deliverList(b.incarnation, list)
}
