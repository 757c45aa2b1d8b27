package sim

import (
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/policy"
)

// client is one op of a client's, over all its tries.
type client struct {
	run     *run
	arrival *load.Arrival
	op      ledger.OpID
	at      policy.Micros
	number  int // of tries
	refused int // in a row
}

func (r *run) offer(a *load.Arrival) {
	tier := 0
	if a.Unscored() {
		tier = ledger.TierUnscored
	}
	c := &client{run: r, arrival: a, at: r.now, op: r.account.RecordOp(r.now, a.Category, a.Tenant, tier)}
	c.send()
}

// front deals requests out among the nodes of the first tier, and notices after a while that one has died.
func (r *run) front() *balancer {
	first := r.Scenario.Tiers[0].NodeCount
	for range first {
		n := r.nodes[r.Scenario.AssignNode(r.turn)]
		r.turn++
		if n.up || r.now-n.found < unseen {
			return n
		}
	}
	return r.nodes[r.Scenario.AssignNode(r.turn)]
}

func (c *client) send() {
	r := c.run
	n := r.front()
	if n.up {
		n.found = r.now
	}
	ttl := r.Scenario.Categories[c.arrival.Category].TTL.Micros()
	h := &hand{op: c.op, arrival: c.arrival, category: c.arrival.Category, repeated: c.number > 0 && r.Scenario.Load.MarksRetries,
		notAfter: max(r.now, c.at+ttl+r.step)}
	h.then = func(v ledger.Verdict) { c.ended(h, v) }
	n.take(h)
	if leaves := c.arrival.LeavesAfter; leaves > 0 && c.number == 0 {
		r.at(r.now+leaves, func() {
			if !h.over {
				h.end(r, ledger.ClientLeft)
				n.abandon(h)
			}
		})
	}
}

// ended decides whether the client tries again by itself.
func (c *client) ended(h *hand, v ledger.Verdict) {
	r := c.run
	switch v {
	case ledger.Served, ledger.ClientLeft:
		return
	case ledger.Refused:
		// The front takes the next node at once; that is no try of the client's.
		if c.refused++; c.refused <= r.Scenario.Tiers[0].NodeCount && r.now-c.at < r.Scenario.Categories[h.category].TTL.Micros() {
			c.send()
		}
		return
	}
	c.refused = 0
	wait, again := load.ShouldRetry(r.Scenario, h.category, load.Try{Index: c.number, Nacked: v == ledger.Nacked,
		RetryAfter: h.advice, Elapsed: r.now - c.at})
	if again {
		c.number++
		r.at(r.now+wait, c.send)
	}
}
