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

func keyText(op ledger.OpID) string { return strconv.Itoa(int(op)) }

// balancer is one node: the real actor, on a clock of its own that this driver moves.
type balancer struct {
	scenario.Node
	run        *run
	place      int
	node       *node.Node
	module     *policy.Node
	clock      *node.Clock
	up         bool
	leaving    bool          // SIGTERM came
	found      policy.Micros // when the front takes it for up or down, after a change
	lives      int
	slack      policy.Micros
	hands      []*hand
	flights    []*flight
	byRequest  map[*node.Request]*hand
	wakes      policy.Micros
	subscribed bool
	generation uint64
}

// handle is a push as the node knows it.
type handle = *node.Push

// hand is one request at a node.
type hand struct {
	op       ledger.OpID
	arrival  *load.Arrival
	category int
	notAfter policy.Micros // the client's end, as it told
	repeated bool
	then     func(ledger.Verdict) // told once, at the client
	advice   policy.Micros

	try      ledger.TryID
	node     *node.Op
	acked    *flight // whose answer it got
	over     bool    // for its client
	answered bool    // by the node
}

// start makes a new node with the list of the beginning.
func (b *balancer) start() {
	r := b.run
	c, most, err := r.options(b.Node)
	if err != nil {
		r.err = err
		return
	}
	b.lives++
	b.up, b.leaving, b.subscribed, b.generation = true, false, false, 1
	b.clock = node.NewSimulatedClock(r.now)
	b.byRequest = make(map[*node.Request]*hand)
	b.wakes = 0
	var decider policy.Decider
	decider, b.module = r.decider(c, stream.New(r.Seed, "node "+strconv.Itoa(b.place)+" "+strconv.Itoa(b.lives)).Uint64())
	if r.err != nil {
		return
	}
	b.slack = trial.AnswerSlack(r.Fault, c.AnswerSlack)
	b.node = node.New(node.Options{MostOpen: min(most, c.MostOpen), Slack: b.slack}, decider, b.clock, quiet)
	known := &node.List{Form: policy.ListCached}
	r.account.RecordNodeStart(b.place)
	for i, m := range r.plan.Machines[:r.plan.InitialCount] {
		if m.Tier == b.Tier {
			entries, _ := r.list(m.RegistryEntry(i))
			known.Entries = append(known.Entries, entries...)
			known.Addrs = append(known.Addrs, "")
			r.account.RecordServerState(b.place, i, policy.Ready, 0, r.now)
		}
	}
	b.node.Start(b, b, known)
	b.work()
}

// work lets the node do what has come and is due, then sees what it did.
func (b *balancer) work() {
	b.clock.Set(b.run.now)
	next, set := b.node.Turn()
	b.look()
	if set && (b.wakes <= b.run.now || next < b.wakes) {
		b.wakes = next
		life := b.lives
		b.run.at(next, func() {
			if b.up && b.lives == life && b.wakes == next {
				b.wakes = 0
				b.work()
			}
		})
	}
}

// look finds the ops that were answered and the pushes that were given up.
func (b *balancer) look() {
	kept := b.hands[:0]
	for _, h := range b.hands {
		select {
		case a := <-h.node.Answered():
			b.answer(h, a)
		default:
			kept = append(kept, h)
		}
	}
	for i := len(kept); i < len(b.hands); i++ {
		b.hands[i] = nil
	}
	b.hands = kept
	flying := b.flights[:0]
	for _, f := range b.flights {
		if f.handle.Context.Err() == nil {
			flying = append(flying, f)
			continue
		}
		b.giveUp(f)
	}
	for i := len(flying); i < len(b.flights); i++ {
		b.flights[i] = nil
	}
	b.flights = flying
	if b.leaving && len(b.hands) == 0 && len(b.flights) == 0 {
		b.leaving = false
		b.up = false
		b.run.at(b.run.now+100*policy.Millisecond, b.start)
	}
}

// giveUp closes a push's connection, and tells the node that it ended so.
func (b *balancer) giveUp(f *flight) {
	if !f.given {
		f.given = true
		b.run.at(b.run.now+b.run.hop(), func() { f.to.leave(f) })
		if !f.answered {
			f.answered = true
			b.run.at(b.run.now, func() { b.tell(f, policy.Cancelled) })
		}
	}
}

// answer carries the node's answer to the client.
func (b *balancer) answer(h *hand, a node.Answer) {
	h.answered = true
	delete(b.byRequest, &h.node.Request)
	a.Body.Release()
	verdict := map[node.Verdict]ledger.Verdict{node.Acked: ledger.Served, node.Nacked: ledger.Nacked,
		node.DeadLettered: ledger.Failed, node.Left: ledger.ClientLeft}[a.Verdict]
	if verdict == ledger.ClientLeft {
		return
	}
	h.advice = a.RetryAfter
	if verdict == ledger.Served && h.acked != nil {
		b.run.account.RecordServedBy(h.acked.push)
	}
	b.run.at(b.run.now+b.run.hop(), func() { h.end(b.run, verdict) })
}

// end is what the client saw of its request.
func (h *hand) end(r *run, verdict ledger.Verdict) {
	r.account.RecordTryEnd(h.try, r.now, verdict)
	if !h.over {
		h.over = true
		h.then(verdict)
	}
}

// take is a client's request on its way to the node.
func (b *balancer) take(h *hand) {
	r := b.run
	h.try = r.account.RecordTry(h.op, b.place, r.now, h.notAfter)
	left := h.notAfter - r.now
	r.at(r.now+r.hop(), func() { b.arrive(h, left) })
	// A client that hears nothing stays a little past the last moment for an answer, so that a late one is seen.
	last := h.notAfter + r.Scenario.Limits.AnswerSlack.Micros() + r.account.Tolerance() + watch
	r.at(last, func() {
		if !h.over {
			h.end(r, ledger.Unanswered)
			b.abandon(h)
		}
	})
}

func (b *balancer) arrive(h *hand, left policy.Micros) {
	r := b.run
	if !b.up || b.leaving {
		r.at(r.now+r.hop(), func() { h.end(r, ledger.Refused) })
		return
	}
	op := node.NewOp()
	op.Body, _ = node.ReadPayload(strings.NewReader(""), 0)
	op.Category = policy.CategoryID(h.category)
	op.Tenant = policy.TenantID(max(0, h.arrival.Tenant))
	op.NotAfter = r.now + max(0, left)/policy.Millisecond*policy.Millisecond
	op.Repeated = h.repeated
	h.node = op
	b.byRequest[&op.Request] = h
	b.hands = append(b.hands, h)
	b.clock.Set(r.now)
	b.node.Arrive(op)
	b.work()
}

// abandon tells the node that the client has left.
func (b *balancer) abandon(h *hand) {
	if b.up && h.node != nil && !h.answered {
		b.clock.Set(b.run.now)
		b.node.Abandon(h.node)
		b.work()
	}
}

// Push implements node.Servers.
func (b *balancer) Push(p *node.Push) {
	r := b.run
	h := b.byRequest[p.Request]
	p.Begin() // simulated connections are up at once
	to, known := r.byID[p.Server]
	f := &flight{node: b, handle: p, hand: h, push: -1}
	b.flights = append(b.flights, f)
	if h == nil || !known {
		f.to = r.servers[0]
		f.answered = true
		r.at(r.now, func() { b.tell(f, policy.ConnectFailed) })
		return
	}
	f.to, f.arrival, f.try = r.servers[to], h.arrival, h.try
	f.work, f.until = h.arrival.WorkByTier[b.Tier], r.now+p.For
	if way, lost := r.way(b, f.to); !lost {
		r.at(r.now+r.hop()+way, func() { f.to.arrive(f) })
	}
}

// Follow implements node.Servers: nothing is kept that a list would change.
func (b *balancer) Follow(*node.List) {}

// CloseIdle does nothing: simulated connections don't die unseen.
func (b *balancer) CloseIdle(policy.ServerID) {}

// ended is an outcome that came back over the network.
func (b *balancer) ended(f *flight, how policy.Outcome) {
	if !f.given || how == policy.Reset {
		f.given = true
		b.tell(f, how)
	}
}

// tell ends a push at its node, if that still lives.
func (b *balancer) tell(f *flight, how policy.Outcome) {
	f.handle.Body.Close()
	if !b.up || b.byRequest == nil {
		return
	}
	for i, other := range b.flights {
		if other == f {
			b.flights = append(b.flights[:i], b.flights[i+1:]...)
			break
		}
	}
	if how == policy.Acked && f.hand.acked == nil && !f.hand.answered {
		f.hand.acked = f
	}
	b.clock.Set(b.run.now)
	b.node.Ended(f.handle, node.Result{Outcome: how})
	b.work()
}

// crash ends the node without a word.
func (b *balancer) crash() {
	r := b.run
	if !b.up {
		return
	}
	b.up, b.subscribed, b.leaving = false, false, false
	r.account.RecordNodeCrash(b.place, r.now)
	for _, f := range b.flights {
		if !f.given {
			f.given, f.answered = true, true
			f.handle.Body.Close()
			r.at(r.now+r.hop(), func() { f.to.leave(f) })
		}
	}
	for _, h := range b.hands {
		r.at(r.now+r.hop(), func() { h.end(r, ledger.ConnectionLost) })
	}
	b.flights, b.hands, b.byRequest = nil, nil, nil
}

// terminate begins a planned restart: nothing new is taken, what is in hand is finished.
func (b *balancer) terminate() {
	if b.up {
		b.leaving = true
		b.look()
	}
}

// Watch implements node.Registry. It is called from inside the node, so what it comes to is told later.
func (b *balancer) Watch() {
	r, life := b.run, b.lives
	if r.down {
		r.at(r.now+2*r.hop(), func() { b.listed(life, &node.List{Form: policy.ListFailed}) })
		return
	}
	r.at(r.now+r.hop()+r.slow, func() {
		if b.up && b.lives == life && !r.down {
			b.subscribed = true
			b.send(true)
		} else if b.up && b.lives == life {
			b.listed(life, &node.List{Form: policy.ListFailed})
		}
	})
}

// unsubscribe is the registry going down: the watch breaks.
func (b *balancer) unsubscribe() {
	if b.subscribed {
		b.subscribed = false
		b.listed(b.lives, &node.List{Form: policy.ListFailed})
	}
}

func (b *balancer) listed(life int, list *node.List) {
	if b.up && b.lives == life {
		b.clock.Set(b.run.now)
		b.node.Listed(list)
		b.work()
	}
}

// hear tells what has changed, to one that watches.
func (b *balancer) hear() {
	if b.up && b.subscribed {
		b.send(false)
	}
}

func (b *balancer) send(first bool) {
	r := b.run
	catalog := r.catalogs[b.Tier]
	if catalog.Generation() == b.generation && !first {
		return
	}
	entries, whole := catalog.Since(b.generation)
	b.generation = catalog.Generation()
	list := &node.List{Form: policy.ListChanges}
	if whole {
		list.Form = policy.ListWhole
	}
	list.Entries, list.Addrs = r.list(entries...)
	listed := make(map[int]bool)
	for _, e := range entries {
		listed[e.Server] = true
		r.account.RecordServerState(b.place, e.Server, e.State, e.Started, r.now)
	}
	if whole {
		for i := range r.servers {
			if r.servers[i].machine.Tier == b.Tier && !listed[i] {
				r.account.RecordServerState(b.place, i, policy.Gone, r.servers[i].started, r.now)
			}
		}
	}
	b.listed(b.lives, list)
}
