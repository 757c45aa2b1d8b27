package sim

import (
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/policy"
)

// client is one op of a client's, over all its tries.
type clientOp struct {
	run                 *run
	arrival             *load.Arrival
	op                  ledger.OpID
	startedAt           policy.Micros
	tryIndex            int // of tries
	consecutiveRefusals int // in a row
}

func (r *run) startClientOp(arrival *load.Arrival) {
	tier := 0
	if arrival.Unscored() {
		tier = ledger.TierUnscored
	}
	c := &clientOp{run: r, arrival: arrival, startedAt: r.now, op: r.ledger.RecordOp(r.now, arrival.Category, arrival.Tenant, tier)}
	c.send()
}

// front deals requests out among the nodes of the first tier, and notices after a while that one has died.
func (r *run) pickNode() *simNode {
	nodeCount := r.Scenario.Tiers[0].NodeCount
	for range nodeCount {
		n := r.nodes[r.Scenario.AssignNode(r.frontTurn)]
		r.frontTurn++
		if n.up || r.now-n.lastSeenUp < nodeDownDetection {
			return n
		}
	}
	return r.nodes[r.Scenario.AssignNode(r.frontTurn)]
}

func (c *clientOp) send() {
	r := c.run
	n := r.pickNode()
	if n.up {
		n.lastSeenUp = r.now
	}
	ttl := r.Scenario.Categories[c.arrival.Category].TTL.Micros()
	request := &request{op: c.op, arrival: c.arrival, category: c.arrival.Category, isRetry: c.tryIndex > 0 && r.Scenario.Load.MarksRetries,
		deadline: max(r.now, c.startedAt+ttl+r.clockStep)}
	request.onEnd = func(verdict ledger.Verdict) { c.tryEnded(request, verdict) }
	n.submit(request)
	if leavesAfter := c.arrival.LeavesAfter; leavesAfter > 0 && c.tryIndex == 0 {
		r.schedule(r.now+leavesAfter, func() {
			if !request.ended {
				request.finish(r, ledger.ClientLeft)
				n.abandon(request)
			}
		})
	}
}

// ended decides whether the client tries again by itself.
func (c *clientOp) tryEnded(request *request, verdict ledger.Verdict) {
	r := c.run
	switch verdict {
	case ledger.Served, ledger.ClientLeft:
		return
	case ledger.Refused:
		// The front takes the next node at once; that is no try of the client's.
		if c.consecutiveRefusals++; c.consecutiveRefusals <= r.Scenario.Tiers[0].NodeCount && r.now-c.startedAt < r.Scenario.Categories[request.category].TTL.Micros() {
			c.send()
		}
		return
	}
	c.consecutiveRefusals = 0
	delay, retry := load.ShouldRetry(r.Scenario, request.category, load.Try{Index: c.tryIndex, Nacked: verdict == ledger.Nacked,
		RetryAfter: request.retryAfter, Elapsed: r.now - c.startedAt})
	if retry {
		c.tryIndex++
		r.schedule(r.now+delay, c.send)
	}
}
