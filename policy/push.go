package policy

import "math/bits"

// evidence is a set of flags that tell what the end of a push is evidence of.
type evidence uint8

const (
	overloadEvidence    evidence = 1 << iota // more is sent than can be served: an overload mark
	serverFaultEvidence                      // this server fails: it leaves the rotation for a while
)

// provesNotRun marks the outcomes which prove that the server did not run the op.
var provesNotRun = [...]bool{Full: true, ConnectFailed: true, Moot: true}

// tryPush pushes the op to a server, for the first time or again, if its category, its benefit, the retry
// budget and the time left allow that and a server admits it.
func (n *Node) tryPush(op *pendingOp) bool {
	category := &n.categories[op.category]
	latency := &n.latencies[op.category]
	// The bound of half the target latency matters after a time in which all answers were lost: latencies
	// learned from timeouts alone would say that each op comes too late, and no push could ever correct them.
	minLatency := min(Micros(latency.mean-latency.deviation), category.TargetLatency/2)
	if op.pushCount >= op.allowedPushes || n.now+max(0, minLatency) > op.usefulUntil {
		return false
	}
	// A further push of an op that may have run adds work. Without a budget such pushes would feed the overload
	// that caused them.
	repeatBefore := n.repeatBefore(op)
	if op.mayHaveRunSince > 0 && (n.retryBudget < 1 || category.Delivery == AtMostOnce) ||
		repeatBefore > 0 && n.now >= repeatBefore {
		return false
	}
	serverSlot := n.selectServer(op)
	if serverSlot < 0 {
		return false
	}
	server := &n.servers[serverSlot]
	timeout := op.answerDeadline - n.now
	if op.pushCount+1 < op.allowedPushes && category.Delivery != AtMostOnce {
		timeout = min(timeout, max(Micros(latency.mean+6*latency.deviation), n.limits.DialTimeout))
	}
	switch {
	case op.mayHaveRunSince > 0:
		n.retryBudget--
	case op.pushCount == 0:
		n.retryBudget = min(1/retryBudgetRatio, n.retryBudget+retryBudgetRatio)
		n.emit(Effect{Kind: SetTimer, TimerAt: op.answerDeadline + n.topology.ClockTick, Token: TimerToken(op.id)})
	}
	// An idle connection may be dropped on its way without notice, and what is then sent on it is lost without
	// an error. Idle connections are closed before the push if more than a third of the pushes that follow such
	// an idle time are lost, and more than three times the share lost without idle time. Step 0 ends at an
	// idle time of controlInterval, each further step at twice the end of the one before; the last has no end.
	op.idleStep = min(len(n.timeoutShareByIdleStep)-1,
		bits.Len64(uint64((n.now-server.lastPushEndAt)/controlInterval)))
	if server.inFlight == 0 &&
		n.timeoutShareByIdleStep[op.idleStep] > max(1.0/3, 3*n.timeoutShareByIdleStep[0]) {
		n.emit(Effect{Kind: CloseIdle, Server: server.Server})
		// Let the share decay: otherwise a fault that is over would cost connections forever.
		updateMean(&n.timeoutShareByIdleStep[op.idleStep], 0, 4*shareSamples)
		op.idleStep = 0
	}
	server.inFlight++
	n.inFlight++
	server.coldTokens.available--
	op.pushServers[op.pushCount] = serverSlot
	op.pushSentAt[op.pushCount] = n.now
	op.pushCount++
	op.inFlight++
	n.emit(Effect{Kind: Push, Op: op.id, Server: server.Server, Duration: max(1, timeout), BeginBefore: repeatBefore})
	n.notifyPeers(server, peerMessage{event: peerPushSent})
	return true
}

// repeatBefore returns until when servers drop a repeat of the op, or 0 if that does not matter: nothing of it can have run, or
// it may be repeated at any time. A push may wait for its connection after it was decided, so it is told this time.
func (n *Node) repeatBefore(op *pendingOp) Micros {
	category := &n.categories[op.category]
	if op.mayHaveRunSince == 0 || category.Delivery != Deduplicated {
		return 0
	}
	return op.mayHaveRunSince + category.DedupWindow - n.topology.ClockTick
}

// handlePushEnd updates the statistics of the server and the category after a push has ended, then decides
// what becomes of the op.
func (n *Node) handlePushEnd(input *Input) {
	slot, found := n.opSlots[input.Op]
	if !found || input.Push >= PushNumber(n.ops[slot].pushCount) || n.ops[slot].pushServers[input.Push] < 0 {
		return
	}
	op := &n.ops[slot]
	server := &n.servers[op.pushServers[input.Push]]
	latency := &n.latencies[op.category]
	op.pushServers[input.Push] = -1
	op.inFlight--
	server.inFlight--
	server.lastPushEndAt = n.now
	n.inFlight--
	message := peerMessage{event: peerPushEnded}
	if input.Outcome == Acked || input.Outcome == TimedOut {
		updateMean(&n.timeoutShareByIdleStep[op.idleStep], indicator(input.Outcome == TimedOut), latencySamples)
		message.relativeLatency = float64(input.Latency) / latency.mean
		updateMean(&server.relativeLatency, message.relativeLatency, latencySamples)
		server.adjustConcurrencyLimit(op.pushSentAt[input.Push], float64(input.Latency)/latency.baseline)
		if !server.active {
			updateMean(&latency.baseline, min(float64(input.Latency), 4*latency.baseline), 16*shareSamples)
		}
		latency.observe(input.Latency, input.Outcome)
	}
	if !provesNotRun[input.Outcome] {
		server.acceptedRate.add(n.now)
		n.allServers.acceptedRate.add(n.now)
		if op.mayHaveRunSince == 0 {
			op.mayHaveRunSince = op.pushSentAt[input.Push]
			op.mayHaveRunZone = server.Zone
			op.mayHaveRunCell = server.Cell
		}
	}
	wasOverdue := op.overduePushes&(1<<input.Push) > 0 // counted as slow while it was in flight
	if input.Outcome == Acked {
		message.event = peerPushAcked
		server.consecutiveFailures = 0
		n.ackRate.add(n.now)
		if !wasOverdue {
			n.recordSlowness(server, input.Latency > n.slowThreshold(op.category))
		}
	}
	n.notifyPeers(server, message)
	if input.Outcome == Acked || input.Outcome == Errored {
		server.lastAnswerAt = n.now
		updateMean(&server.errorShare, indicator(input.Outcome == Errored), shareSamples)
		updateMean(&n.errorShare, indicator(input.Outcome == Errored), 4*shareSamples)
	}
	endEvidence := n.classifyEnd(server, op, input)
	if endEvidence&serverFaultEvidence > 0 {
		// The server leaves the rotation, for twice as long after each failure in a row, at most 32 dial
		// timeouts; then one push tries it.
		server.consecutiveFailures = min(server.consecutiveFailures+1, 5)
		server.downUntil = n.now + n.limits.DialTimeout<<server.consecutiveFailures
		n.chooseSubset()
	}
	if endEvidence&overloadEvidence > 0 && !wasOverdue {
		n.recordOverloadMark(server)
	}
	event := eventAnswered
	if input.Outcome != Acked && !input.OpSettled {
		event = eventPushFailed
	}
	n.handleOpEvent(op, event)
}

// classifyEnd returns what the end of a push is evidence of. An ack is evidence of nothing here:
// recordSlowness judges its latency.
func (n *Node) classifyEnd(server *knownServer, op *pendingOp, input *Input) evidence {
	switch input.Outcome {
	case Full, TimedOut:
		// A server that fell silent has few pushes in flight, so it looks free and would lose an op each turn.
		if input.Outcome == TimedOut && server.lastAnswerAt < op.pushSentAt[input.Push] {
			return overloadEvidence | serverFaultEvidence
		}
		return overloadEvidence
	case ConnectFailed, Reset:
		return serverFaultEvidence
	case Errored:
		// A server that fails fast has few pushes in flight, so the rotation would keep choosing it. It counts
		// as faulty when more than half of its own answers are errors, and twice the share of all servers.
		if server.errorShare > 1.0/2 && server.errorShare > 2*n.errorShare {
			return serverFaultEvidence
		}
		// Errors from all servers come from a lower tier that is full, or that fails under the retries it gets.
		// Some errors occur whatever this node sends and would stop its traffic for good: with less than one
		// push in flight per server, half of all answers must be errors.
		if n.errorShare > maxErrorShare*(1+3*indicator(n.inFlight < n.upServers)) {
			return overloadEvidence
		}
	}
	return 0
}
