package sim

import (
	"strconv"
	"strings"

	"canvasrouter/internal/lab/deciders"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/load/rngstream"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

// dedupKey returns the key by which servers recognize duplicates of an op.
func dedupKey(op ledger.OpID) string { return strconv.Itoa(int(op)) }

// simNode is one node: the actor of the real program, on a simulated clock that this driver moves.
type simNode struct {
	scenario.Node
	run         *run
	globalIndex int // index in run.nodes and in Scenario.Nodes
	actor       *node.Node
	module      *policy.Node
	clock       *node.Clock
	up          bool
	draining    bool          // SIGTERM received
	lastSeenUp  policy.Micros // when the front end last sent a request to it while it was up
	incarnation int           // number of starts; events of earlier incarnations are ignored
	answerSlack policy.Micros
	requests    []*request
	pushes      []*simPush
	byRequest   map[*node.Request]*request
	wakeAt      policy.Micros // time of the scheduled timer event; 0: none
	subscribed  bool          // watches the list
	generation  uint64        // of the list last sent to it
}

// nodePush is a push as the node's actor sees it.
type nodePush = *node.Push

// request is one request of a client, or of a server of the previous tier, at a node.
type request struct {
	op         ledger.OpID
	arrival    *load.Arrival
	category   int
	deadline   policy.Micros // as sent by the client
	isRetry    bool
	onEnd      func(ledger.Verdict) // called once, when the request ends for its client
	retryAfter policy.Micros        // from the node's answer

	try       ledger.TryID
	nodeOp    *node.Op
	ackedPush *simPush // the push whose answer is used
	ended     bool     // the client has an answer or gave up
	answered  bool     // the node has answered
}

// start starts a new incarnation of the node with the list of the initial servers.
func (n *simNode) start() {
	r := n.run
	config, maxPendingOps, err := r.nodeOptions(n.Node)
	if err != nil {
		r.err = err
		return
	}
	n.incarnation++
	n.up = true
	n.draining = false
	n.subscribed = false
	n.generation = 1
	n.clock = node.NewSimulatedClock(r.now)
	n.byRequest = make(map[*node.Request]*request)
	n.wakeAt = 0
	var decider policy.Decider
	decider, n.module = r.newDecider(config, rngstream.New(r.Seed, "node "+strconv.Itoa(n.globalIndex)+" "+strconv.Itoa(n.incarnation)).Uint64())
	if r.err != nil {
		return
	}
	n.answerSlack = deciders.AnswerSlack(r.InjectedFault, config.AnswerSlack)
	n.actor = node.New(node.Options{MaxPendingOps: min(maxPendingOps, config.MaxPendingOps), AnswerSlack: n.answerSlack}, decider, n.clock, discardLogger)
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

// runPending runs the actor's due work, processes what it produced and schedules its next timer.
func (n *simNode) runPending() {
	n.clock.Set(n.run.now)
	next, set := n.actor.RunPending()
	n.collectResults()
	if set && (n.wakeAt <= n.run.now || next < n.wakeAt) {
		n.wakeAt = next
		incarnation := n.incarnation
		n.run.schedule(next, func() {
			if n.up && n.incarnation == incarnation && n.wakeAt == next {
				n.wakeAt = 0
				n.runPending()
			}
		})
	}
}

// collectResults processes the ops that the actor answered and the pushes that it cancelled. A draining node restarts
// once nothing is left.
func (n *simNode) collectResults() {
	kept := n.requests[:0]
	for _, req := range n.requests {
		select {
		case answer := <-req.nodeOp.Answered():
			n.sendAnswer(req, answer)
		default:
			kept = append(kept, req)
		}
	}
	for i := len(kept); i < len(n.requests); i++ {
		n.requests[i] = nil
	}
	n.requests = kept
	pending := n.pushes[:0]
	for _, push := range n.pushes {
		if push.nodePush.Context.Err() == nil {
			pending = append(pending, push)
			continue
		}
		n.cancelPush(push)
	}
	for i := len(pending); i < len(n.pushes); i++ {
		n.pushes[i] = nil
	}
	n.pushes = pending
	if n.draining && len(n.requests) == 0 && len(n.pushes) == 0 {
		n.draining = false
		n.up = false
		n.run.schedule(n.run.now+100*policy.Millisecond, n.start)
	}
}

// cancelPush closes a push's connection and reports the push to the actor as cancelled.
func (n *simNode) cancelPush(push *simPush) {
	if !push.cancelled {
		push.cancelled = true
		n.run.schedule(n.run.now+n.run.networkDelay(), func() { push.to.connectionClosed(push) })
		if !push.answered {
			push.answered = true
			n.run.schedule(n.run.now, func() { n.endPush(push, policy.Cancelled) })
		}
	}
}

// sendAnswer sends the node's answer to the client.
func (n *simNode) sendAnswer(req *request, answer node.Answer) {
	req.answered = true
	delete(n.byRequest, &req.nodeOp.Request)
	answer.Body.Release()
	verdict := map[node.Verdict]ledger.Verdict{node.Acked: ledger.Served, node.Nacked: ledger.Nacked,
		node.DeadLettered: ledger.Failed, node.ClientLeft: ledger.ClientLeft}[answer.Verdict]
	if verdict == ledger.ClientLeft {
		return
	}
	req.retryAfter = answer.RetryAfter
	if verdict == ledger.Served && req.ackedPush != nil {
		n.run.ledger.RecordServedBy(req.ackedPush.id)
	}
	n.run.schedule(n.run.now+n.run.networkDelay(), func() { req.finish(n.run, verdict) })
}

// finish records the end of a request as its client sees it.
func (req *request) finish(r *run, verdict ledger.Verdict) {
	r.ledger.RecordTryEnd(req.try, r.now, verdict)
	if !req.ended {
		req.ended = true
		req.onEnd(verdict)
	}
}

// submit sends a request to the node.
func (n *simNode) submit(req *request) {
	r := n.run
	req.try = r.ledger.RecordTry(req.op, n.globalIndex, r.now, req.deadline)
	timeLeft := req.deadline - r.now
	r.schedule(r.now+r.networkDelay(), func() { n.arrive(req, timeLeft) })
	// A client without an answer waits a little longer than an answer may take, so that late answers are detected.
	waitEnd := req.deadline + r.Scenario.Limits.AnswerSlack.Micros() + r.ledger.Tolerance() + lateAnswerWindow
	r.schedule(waitEnd, func() {
		if !req.ended {
			req.finish(r, ledger.Unanswered)
			n.abandon(req)
		}
	})
}

// arrive passes a request to the actor, with a time left of whole milliseconds as on the wire. A node that is down or
// draining refuses the request.
func (n *simNode) arrive(req *request, timeLeft policy.Micros) {
	r := n.run
	if !n.up || n.draining {
		r.schedule(r.now+r.networkDelay(), func() { req.finish(r, ledger.Refused) })
		return
	}
	op := node.NewOp()
	op.Body, _ = node.ReadPayload(strings.NewReader(""), 0)
	op.Category = policy.CategoryID(req.category)
	op.Tenant = policy.TenantID(max(0, req.arrival.Tenant))
	op.Deadline = r.now + max(0, timeLeft)/policy.Millisecond*policy.Millisecond
	op.ClientRetry = req.isRetry
	req.nodeOp = op
	n.byRequest[&op.Request] = req
	n.requests = append(n.requests, req)
	n.clock.Set(r.now)
	n.actor.Submit(op)
	n.runPending()
}

// abandon notifies the actor that the client has left.
func (n *simNode) abandon(req *request) {
	if n.up && req.nodeOp != nil && !req.answered {
		n.clock.Set(n.run.now)
		n.actor.Abandon(req.nodeOp)
		n.runPending()
	}
}

// Push implements node.Servers.
func (n *simNode) Push(nodePush *node.Push) {
	r := n.run
	req := n.byRequest[nodePush.Request]
	nodePush.TryBegin() // simulated connections are established at once
	serverIndex, known := r.serverIndexByID[nodePush.Server]
	push := &simPush{from: n, nodePush: nodePush, request: req, id: -1}
	n.pushes = append(n.pushes, push)
	if req == nil || !known {
		push.to = r.servers[0]
		push.answered = true
		r.schedule(r.now, func() { n.endPush(push, policy.ConnectFailed) })
		return
	}
	push.to = r.servers[serverIndex]
	push.arrival = req.arrival
	push.try = req.try
	push.work = req.arrival.WorkByTier[n.Tier]
	push.deadline = r.now + nodePush.Timeout
	if extraDelay, lost := r.pathImpairment(n, push.to); !lost {
		r.schedule(r.now+r.networkDelay()+extraDelay, func() { push.to.arrive(push) })
	}
}

// UpdateList implements node.Servers. It does nothing: the simulation keeps no state per listed server here.
func (n *simNode) UpdateList(*node.List) {}

// CloseIdle does nothing: the ends of simulated connections are always noticed.
func (n *simNode) CloseIdle(policy.ServerID) {}

// receiveOutcome handles the outcome of a push when it arrives over the network.
func (n *simNode) receiveOutcome(push *simPush, outcome policy.Outcome) {
	if !push.cancelled || outcome == policy.Reset {
		push.cancelled = true
		n.endPush(push, outcome)
	}
}

// endPush reports the end of a push to the actor, if the node is up.
func (n *simNode) endPush(push *simPush, outcome policy.Outcome) {
	push.nodePush.Body.Close()
	if !n.up || n.byRequest == nil {
		return
	}
	for i, other := range n.pushes {
		if other == push {
			n.pushes = append(n.pushes[:i], n.pushes[i+1:]...)
			break
		}
	}
	if outcome == policy.Acked && push.request.ackedPush == nil && !push.request.answered {
		push.request.ackedPush = push
	}
	n.clock.Set(n.run.now)
	n.actor.PushEnded(push.nodePush, node.Result{Outcome: outcome})
	n.runPending()
}

// crash ends the node at once. Its connections to clients and servers are closed.
func (n *simNode) crash() {
	r := n.run
	if !n.up {
		return
	}
	n.up = false
	n.subscribed = false
	n.draining = false
	r.ledger.RecordNodeCrash(n.globalIndex, r.now)
	for _, push := range n.pushes {
		if !push.cancelled {
			push.cancelled = true
			push.answered = true
			push.nodePush.Body.Close()
			r.schedule(r.now+r.networkDelay(), func() { push.to.connectionClosed(push) })
		}
	}
	for _, req := range n.requests {
		r.schedule(r.now+r.networkDelay(), func() { req.finish(r, ledger.ConnectionLost) })
	}
	n.pushes = nil
	n.requests = nil
	n.byRequest = nil
}

// terminate begins a planned restart: the node refuses new requests and finishes the pending ones.
func (n *simNode) terminate() {
	if n.up {
		n.draining = true
		n.collectResults()
	}
}

// Watch implements node.Registry. The actor calls it while it runs, so the list is delivered by a later event.
func (n *simNode) Watch() {
	r := n.run
	incarnation := n.incarnation
	if r.registryDown {
		r.schedule(r.now+2*r.networkDelay(), func() { n.deliverList(incarnation, &node.List{Form: policy.ListFailed}) })
		return
	}
	r.schedule(r.now+r.networkDelay()+r.registryDelay, func() {
		if n.up && n.incarnation == incarnation && !r.registryDown {
			n.subscribed = true
			n.sendList(true)
		} else if n.up && n.incarnation == incarnation {
			n.deliverList(incarnation, &node.List{Form: policy.ListFailed})
		}
	})
}

// breakWatch ends the node's watch when the registry goes down.
func (n *simNode) breakWatch() {
	if n.subscribed {
		n.subscribed = false
		n.deliverList(n.incarnation, &node.List{Form: policy.ListFailed})
	}
}

// deliverList passes a list to the actor, unless the incarnation that watched for the list has ended.
func (n *simNode) deliverList(incarnation int, list *node.List) {
	if n.up && n.incarnation == incarnation {
		n.clock.Set(n.run.now)
		n.actor.ListReceived(list)
		n.runPending()
	}
}

// notifyChanged sends the changes of the list to the node if it watches the list.
func (n *simNode) notifyChanged() {
	if n.up && n.subscribed {
		n.sendList(false)
	}
}

// sendList sends the changes since the node's generation, or the full list where the catalog has no such changes, and
// records in the ledger what the node was notified of. The first list of a watch is sent even without changes.
func (n *simNode) sendList(first bool) {
	r := n.run
	catalog := r.catalogs[n.Tier]
	if catalog.Generation() == n.generation && !first {
		return
	}
	entries, full := catalog.ChangesSince(n.generation)
	n.generation = catalog.Generation()
	list := &node.List{Form: policy.ListChanges}
	if full {
		list.Form = policy.ListFull
	}
	list.Entries, list.Addrs = r.policyEntries(entries...)
	listed := make(map[int]bool)
	for _, e := range entries {
		listed[e.Server] = true
		r.ledger.RecordServerState(n.globalIndex, e.Server, e.State, e.StartedAt, r.now)
	}
	if full {
		for i := range r.servers {
			if r.servers[i].machine.Tier == n.Tier && !listed[i] {
				r.ledger.RecordServerState(n.globalIndex, i, policy.Gone, r.servers[i].started, r.now)
			}
		}
	}
	n.deliverList(n.incarnation, list)
}
