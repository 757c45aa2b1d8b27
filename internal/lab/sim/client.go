package sim

import (
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/policy"
)

// clientOp is one op of a client, over all its tries.
type clientOp struct {
	run                 *run
	arrival             *load.Arrival
	op                  ledger.OpID
	startedAt           policy.Micros
	tryIndex            int // from 0
	consecutiveRefusals int
}

// startClientOp records an op and sends its first try.
func (r *run) startClientOp(arrival *load.Arrival) {
	tier := 0
	if arrival.Unscored() {
		tier = ledger.TierUnscored
	}
	c := &clientOp{run: r, arrival: arrival, startedAt: r.now, op: r.ledger.RecordOp(r.now, arrival.Category, arrival.Tenant, tier)}
	c.send()
}

// pickNode is the front end, which distributes requests over the nodes of the first tier. It skips a node that is down
// only after nodeDownDetection.
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

// send sends one try to a node, and schedules the departure of a client that leaves early.
func (c *clientOp) send() {
	r := c.run
	target := r.pickNode()
	if target.up {
		target.lastSeenUp = r.now
	}
	ttl := r.Scenario.Categories[c.arrival.Category].TTL.Micros()
	req := &request{op: c.op, arrival: c.arrival, category: c.arrival.Category, isRetry: c.tryIndex > 0 && r.Scenario.Load.MarksRetries,
		deadline: max(r.now, c.startedAt+ttl+r.clockStep)}
	req.onEnd = func(verdict ledger.Verdict) { c.tryEnded(req, verdict) }
	target.submit(req)
	if leavesAfter := c.arrival.LeavesAfter; leavesAfter > 0 && c.tryIndex == 0 {
		r.schedule(r.now+leavesAfter, func() {
			if !req.ended {
				req.finish(r, ledger.ClientLeft)
				target.abandon(req)
			}
		})
	}
}

// tryEnded decides whether the client retries.
func (c *clientOp) tryEnded(req *request, verdict ledger.Verdict) {
	r := c.run
	switch verdict {
	case ledger.Served, ledger.ClientLeft:
		return
	case ledger.Refused:
		// The front end sends the request to the next node at once. This does not count as a retry of the client.
		if c.consecutiveRefusals++; c.consecutiveRefusals <= r.Scenario.Tiers[0].NodeCount &&
			r.now-c.startedAt < r.Scenario.Categories[req.category].TTL.Micros() {
			c.send()
		}
		return
	}
	c.consecutiveRefusals = 0
	delay, retry := load.ShouldRetry(r.Scenario, req.category, load.Try{Index: c.tryIndex, Nacked: verdict == ledger.Nacked,
		RetryAfter: req.retryAfter, Elapsed: r.now - c.startedAt})
	if retry {
		c.tryIndex++
		r.schedule(r.now+delay, c.send)
	}
}
