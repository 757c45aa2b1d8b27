package policy

import "math"

// selectServer returns the slot of a server that admits the op, or -1. The throttle of all servers decides
// first, then the throttles of the servers in the rotation.
//
// A push to another zone costs benefit, and more where the path is slow or lossy; but one zone alone is
// congested sooner than all zones together. So the servers of the own zone come first as long as they have
// few pushes in flight and neither their own control nor the control of all servers is active.
func (n *Node) selectServer(op *pendingOp) int32 {
	category := &n.categories[op.category]
	subset := n.subset
	maxFullness := n.maxFullness()
	// A further push that must stay in its deduplication group may go to servers beyond this node's subset.
	if op.mayHaveRunSince > 0 && category.Delivery == Deduplicated && category.DedupScope != DedupScopeAll {
		subset = n.ring
	}
	if !n.allServers.admit(n.now, op.benefitLevel) {
		return -1
	}
	if serverSlot := n.nextInRotation(op, n.zoneSubset, maxFullness, true); serverSlot >= 0 {
		return serverSlot
	}
	return n.nextInRotation(op, subset, maxFullness, false)
}

// nextInRotation returns the slot of the next server by smooth weighted round robin over the eligible servers
// of the subset whose throttle admits the op, or -1. With zoneFirst it passes over servers that are under
// control or have maximumFill pushes in flight.
func (n *Node) nextInRotation(op *pendingOp, subset []int32, maxFullness float64, zoneFirst bool) int32 {
	totalWeight := 0.0
	n.selectionRound++
	for _, slot := range subset {
		server := &n.servers[slot]
		if zoneFirst && (n.allServers.active || server.active || server.inFlight >= maximumFill) ||
			!n.eligible(op, server, maxFullness) {
			server.skippedInRound = n.selectionRound
			continue
		}
		// By its listed weight alone, a server that is slower than the list says would get too many pushes.
		weight := server.Weight * server.capacityShare(n.now, &n.coldStart) /
			max(1, server.relativeLatency*server.relativeLatency)
		server.currentWeight += weight
		totalWeight += weight
	}
	for {
		bestSlot := int32(-1)
		for _, slot := range subset {
			if n.servers[slot].skippedInRound != n.selectionRound &&
				(bestSlot < 0 || n.servers[slot].currentWeight > n.servers[bestSlot].currentWeight) {
				bestSlot = slot
			}
		}
		if bestSlot < 0 {
			return -1
		}
		server := &n.servers[bestSlot]
		if server.admit(n.now, op.benefitLevel) {
			server.currentWeight -= totalWeight
			return bestSlot
		}
		server.skippedInRound = n.selectionRound
		// Bound the weight that a server accumulates while its throttle rejects ops.
		server.currentWeight = min(server.currentWeight, totalWeight)
	}
}

// fullness returns the pushes of this node in flight at a server. Where peers report their own pushes, it
// returns a measure of how long one more op would wait there: the load including that op, times the relative
// latency.
func (n *Node) fullness(server *knownServer) float64 {
	if !n.topology.PeerMessaging {
		return float64(server.inFlight)
	}
	return (n.serverLoad(server) + 1) * server.relativeLatency
}

// maxFullness returns the fullness up to which a server may get an op, from the mean over the servers of the
// subset that are not down. If all of them are down there is no bound, as one of them may have recovered.
func (n *Node) maxFullness() float64 {
	sum := 0.0
	up := 0.0
	for _, slot := range n.subset {
		if server := &n.servers[slot]; server.downUntil <= n.now {
			sum += n.fullness(server)
			up++
		}
	}
	mean := sum / max(1, up)
	if up == 0 {
		return math.Inf(1)
	} else if n.topology.PeerMessaging {
		return mean * (1 + 1e-9) // the factor absorbs rounding where all servers are equally full
	}
	return min(2*mean, mean+2)
}

// serverLoad returns the pushes in flight at a server: those of this node and, by their peer messages, of
// others.
func (n *Node) serverLoad(server *knownServer) float64 {
	return float64(server.inFlight) + server.peerPushRate.current(n.now)*float64(rateMemory)/float64(Second)
}

// eligible reports whether the op may be pushed to the server, its throttle aside.
func (n *Node) eligible(op *pendingOp, server *knownServer, maxFullness float64) bool {
	category := &n.categories[op.category]
	if n.fullness(server) > maxFullness || op.mayHaveRunSince > 0 && category.Delivery == Deduplicated &&
		(category.DedupScope == DedupScopeZone && server.Zone != op.mayHaveRunZone ||
			category.DedupScope == DedupScopeCell && server.Cell != op.mayHaveRunCell) {
		return false
	}
	if n.serverLoad(server) >= server.concurrencyLimit {
		server.lastAtLimitAt = n.now
		return false
	}
	// A server that was down gets one push as a trial. An op that must not be pushed twice is not used for that,
	// at first: where all ops are such, no other would ever try the server.
	if n.upServers > 0 && (server.downUntil > n.now || server.consecutiveFailures > 0 &&
		(server.inFlight > 0 || category.Delivery == AtMostOnce &&
			n.now-server.downUntil < terminationPendingPeriod)) {
		return false
	}
	// While other servers are full, or all are cold, the pushes of all nodes together could overload a cold
	// server. Even single ops of many nodes add up: a node whose share is less than one op waits until its token
	// bucket, which starts at a random level, holds a whole token.
	capacityShare := server.capacityShare(n.now, &n.coldStart)
	return capacityShare == 1 || n.serverLoad(server) < max(1, maxFullness*capacityShare) &&
		server.coldTokens.refill(n.now, capacityShare*n.sustainableRate, 1) >= 1
}
