// Package policy makes every decision of a node: which server an op is pushed to, and whether the op is
// pushed, pushed again, nacked or dead-lettered.
//
// New returns a Node. A caller passes each Input to Node.Step in order, with a clock that never goes back and
// from one goroutine, and carries out the returned Effects before the next call. Callers depend on the
// interface Decider.
//
// The overload control follows ITU-T H.248.11; numbers of clauses in comments refer to it.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"math/rand"
	"slices"
)

// Terms of ITU-T H.248.11 keep their names: TerminationPendingPeriod, SplashAmount, MaximumFill, LeakInterval.
const (
	// targetMarkRate is the rate of overload marks, per second, that control aims at: the default of clause 9.5.
	targetMarkRate = 0.5
	// terminationPendingPeriod is how long control stays active after the last overload mark or rejection.
	terminationPendingPeriod = 10 * Second
	// rateMemory is the time constant of decaying rates. It is 1/targetMarkRate, so that a single overload mark
	// does not start control.
	rateMemory = 2 * Second
	// controlInterval is the time between two adjustments of the throttles.
	controlInterval = rateMemory / 8
	// splashAmount is what an admitted op adds to the leaky bucket, which counts ops.
	splashAmount = 1.0
	// maximumFill is the capacity of the leaky bucket, in ops.
	maximumFill = 4 * splashAmount
	// leakIntervalTicks is the LeakInterval, in ticks of the clock.
	leakIntervalTicks = 4
	// maxRateFactor bounds the admitted rate from above, as a multiple of the accepted rate when control starts.
	maxRateFactor = 2.0
	// minRateFactor bounds the admitted rate from below, likewise.
	minRateFactor = 1.0 / 4
	// rateStep is the fraction of the rate that one adjustment removes for each multiple of the target by which
	// the mark rate exceeds it, and the largest fraction that one adjustment adds.
	rateStep = 1.0 / 4
	// drainedShare tells when the queue behind overload marks is gone: no more than this share of the most pushes
	// that were in flight at a mark is still in flight.
	drainedShare = 1.0 / 4
	// allServersMarkShare is the number of overload marks per accepted push that the control of all servers aims at.
	allServersMarkShare = 1.0 / 8
	// maxSlowShare is the share of recent answers above which slow answers count as overload marks.
	maxSlowShare = 1.0 / 3
	// maxErrorShare is the share of errors in all recent answers above which errors count as overload marks.
	maxErrorShare = 1.0 / 8
	// shareSamples is the number of recent answers over which the shares of a server are averaged.
	shareSamples = 16
	// latencySamples is the number of recent answers over which the relative latency of a server is averaged.
	latencySamples = 4
	// subsetSize is the number of servers in a node's rotation, unless more pushes than that are allowed for an op.
	subsetSize = 10
	// retryBudgetRatio is the number of further pushes that may add work, for each first push.
	retryBudgetRatio = 1.0 / 8
	// congestionThreshold is the ratio of recent latency to baseline latency above which a server is congested.
	congestionThreshold = 5.0 / 3
	// nodesPerServer is the number of nodes that share a server where nodes send each other peer messages.
	nodesPerServer = 20
	// peerMessagesPerOp is the number of peer messages granted for a client's first try of an op. Repeats by the
	// client grant none, so that a retry storm does not become a storm of peer messages.
	peerMessagesPerOp = 34
)

// addMark counts an overload mark and starts control when the rate of marks exceeds the target (8.2.1).
// It returns the text of a log line, or an empty string.
func (t *throttle) addMark(now Micros, cutoffLevel int) (log string) {
	t.markRate.add(now)
	t.lastActivityAt = now
	t.lastMarkAt = now
	if t.active || t.markRate.current(now) <= t.targetMarkRate {
		return ""
	}
	t.active = true
	t.cutoffLevel = cutoffLevel
	t.bucketFill = maximumFill
	t.lastLeakAt = now
	t.activeSince = now
	t.offered = 0
	t.rejected = 0
	t.leakAmount = max(t.acceptedRate.biasCorrected(now), 2*targetMarkRate) * float64(t.leakInterval) / float64(Second)
	t.maxLeakAmount = t.leakAmount * maxRateFactor
	t.minLeakAmount = t.leakAmount * minRateFactor
	return fmt.Sprintf("control of %s starts, %.1f/s", t.name, t.acceptedRate.perSecond)
}

// admit reports whether an op of the given benefit level may pass. Levels above the cutoff level pass, levels
// below it do not, and at the cutoff level the type 3 leaky bucket decides (8.2.2, 8.2.5).
func (t *throttle) admit(now Micros, benefitLevel int) bool {
	if !t.active {
		return true
	}
	t.offered++
	if intervals := (now - t.lastLeakAt) / t.leakInterval; intervals > 0 {
		t.bucketFill = max(0, t.bucketFill-float64(intervals)*t.leakAmount)
		t.lastLeakAt += intervals * t.leakInterval
	}
	switch {
	case benefitLevel > t.cutoffLevel:
		return true
	case benefitLevel == t.cutoffLevel && t.bucketFill <= max(maximumFill, t.leakAmount)-splashAmount:
		t.bucketFill += splashAmount
		return true
	}
	t.rejected++
	t.lastActivityAt = now
	return false
}

// adjustRate changes LeakAmount, the faster the further the mark rate is from its target, and moves the cutoff
// level once LeakAmount has reached its bound (8.2.3, 8.2.5). It ends control after terminationPendingPeriod
// without an overload mark or a rejection (8.2.4). drained tells that the queue behind the marks is gone.
// It returns the text of a log line, or an empty string.
func (t *throttle) adjustRate(now Micros, levelCount int, drained bool) (log string) {
	if !t.active {
		return ""
	}
	t.active = now-t.lastActivityAt < terminationPendingPeriod
	if !t.active {
		return fmt.Sprintf("control of %s ends after %d ms, %d offered, %d rejected",
			t.name, (now-t.activeSince)/Millisecond, t.offered, t.rejected)
	}
	// After a burst of marks the decaying rate stays high although no mark has come for long, or although the
	// queue behind them is gone. Without this bound an idle server would get no pushes for seconds.
	markRatio := t.markRate.current(now) / t.targetMarkRate
	if sinceLastMark := now - t.lastMarkAt; sinceLastMark > controlInterval {
		markRatio = min(markRatio, float64(Second)/float64(sinceLastMark)/t.targetMarkRate*indicator(!drained))
	}
	switch {
	case markRatio > 1 && t.leakAmount > t.minLeakAmount:
		t.leakAmount = max(t.minLeakAmount, t.leakAmount*max(0.5, 1-rateStep*(markRatio-1)))
	case markRatio > 1 && t.cutoffLevel+1 < levelCount:
		t.cutoffLevel++
		t.bucketFill = maximumFill
		t.leakAmount = t.maxLeakAmount
	// Few ops have a benefit above the cutoff level. If the level fell only after the rate at it has risen to
	// its bound, a drained server (markRatio is 0) would stay idle for seconds.
	case markRatio < 1 && t.cutoffLevel > 0 && (markRatio == 0 || t.leakAmount == t.maxLeakAmount):
		t.cutoffLevel--
		t.bucketFill = maximumFill
		t.leakAmount = t.minLeakAmount
	case markRatio < 1:
		t.leakAmount = min(t.maxLeakAmount, t.leakAmount*(1+rateStep*(1-markRatio)))
	}
	return ""
}

// classifyEnd returns what the end of a push is evidence of. No other code decides that.
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

// adjustConcurrencyLimit adapts the number of pushes that the server may hold after one of them has ended. The
// limit rises while answers are quick and pushes have reached it: it doubles per latency until the first
// congestion and grows slowly after that. It falls while the server is congested. Without a limit, a server
// that does less work the more pushes it holds would be lost for a long time.
func (s *knownServer) adjustConcurrencyLimit(pushSentAt Micros, latencyRatio float64) {
	updateMean(&s.congestion, latencyRatio, latencySamples)
	switch {
	case s.congestion > congestionThreshold:
		s.concurrencyLimit = max(maximumFill, s.concurrencyLimit-1.0/2)
		s.wasCongested = true
	case s.lastAtLimitAt < pushSentAt: // the limit was not reached while the push was in flight
	case s.wasCongested:
		s.concurrencyLimit += max(1/s.concurrencyLimit, 1.0/shareSamples)
	default:
		s.concurrencyLimit++
	}
}

// capacityShare returns the share of its full capacity that the server has for certain. It is 1 for a warm
// server and grows linearly during warm-up.
func (s *knownServer) capacityShare(now Micros, rule *ColdStartRule) float64 {
	if age := max(0, now-s.StartedAt); s.StartedAt > 0 && age < rule.WarmUpTime {
		return rule.InitialShare + (1-rule.InitialShare)*float64(age)/float64(rule.WarmUpTime)
	}
	return 1
}

// scheduleNextCall sets the time of the next call to the registry after a list, or a failure, has come. All nodes
// may start, or lose the registry, at the same moment, and the registry is one small service: calls are
// therefore spread at random and back off after failures.
func (r *subscription) scheduleNextCall(now Micros, form ListForm, rng *rand.Rand) {
	switch {
	case !r.MustSubscribe || form == ListReweighted:
	case form == ListCached:
		r.nextCallAt = now + 1 + Micros(rng.Float64()*float64(r.SubscribeWithin/8))
		r.retryDelay = r.SubscribeWithin / 16
	case form == ListFailed:
		r.nextCallAt = now + 1 + Micros((1.0/2+rng.Float64())*float64(r.retryDelay))
		r.retryDelay = min(2*r.retryDelay, r.SubscribeWithin/2)
	default:
		r.nextCallAt = 0
		r.retryDelay = r.SubscribeWithin / 16
	}
}

// transitions is the state machine of an op. For a state and an event, the first row applies whose action
// succeeds; a row without an action always applies.
var transitions = []struct {
	from   opState
	event  opEvent
	action func(*Node, *pendingOp) bool
	to     opState
}{
	{opArriving, eventArrived, (*Node).tryPush, opPushed},
	{opArriving, eventArrived, (*Node).tryNack, opAnswered},
	{opPushed, eventAnswered, (*Node).cancelPushes, opAnswered},
	{opPushed, eventPushFailed, (*Node).tryPush, opPushed},
	{opPushed, eventPushFailed, (*Node).tryNack, opAnswered},
	{opPushed, eventPushFailed, (*Node).deadLetter, opAnswered},
	{opPushed, eventDeadline, (*Node).tryNack, opAnswered},
	{opPushed, eventDeadline, (*Node).deadLetter, opAnswered},
	{opPushed, eventStreamBegan, nil, opStreaming},
	{opPushed, eventAbandoned, (*Node).cancelPushes, opAnswered},
	{opStreaming, eventAnswered, (*Node).cancelPushes, opAnswered},
	{opStreaming, eventAbandoned, (*Node).cancelPushes, opAnswered},
}

// provesNotRun marks the outcomes which prove that the server did not run the op.
var provesNotRun = [...]bool{Full: true, ConnectFailed: true, Moot: true}

// New returns a node that does not know any server yet. seed starts its random numbers: nodes with the same seed
// and the same inputs decide alike.
func New(
	seed int64,
	topology Topology,
	categories []Category,
	limits PushLimits,
	coldStart ColdStartRule,
	registry RegistryRule,
) *Node {
	limits.MaxPushes = min(limits.MaxPushes, maxPushesPerOp)
	topology.NodeCount = max(1, topology.NodeCount)
	n := &Node{
		rng:          rand.New(rand.NewSource(seed)),
		topology:     topology,
		limits:       limits,
		coldStart:    coldStart,
		categories:   categories,
		subscription: subscription{RegistryRule: registry},
		latencies:    make([]latencyStats, len(categories)),
		serverSlots:  map[ServerID]int32{},
		opSlots:      map[OpID]int32{},
		allServers: throttle{
			name:           "all servers",
			targetMarkRate: targetMarkRate,
			leakInterval:   leakIntervalTicks * topology.ClockTick,
		},
		retryBudget: 1 / retryBudgetRatio,
	}
	for i, category := range categories {
		// The first answers to arrive are the quick ones: timeouts learned from them alone would cut off the
		// rest. So each category starts with an assumed latency.
		start := float64(n.slowThreshold(CategoryID(i))) * 3 / 8
		n.latencies[i] = latencyStats{mean: start, deviation: start, baseline: start}
		n.benefitLevels = append(n.benefitLevels, category.Benefit)
	}
	slices.Sort(n.benefitLevels)
	n.benefitLevels = slices.Compact(n.benefitLevels)
	return n
}

// Step processes one input and returns the effects to carry out. The slice is valid until the next call.
func (n *Node) Step(now Micros, input *Input) []Effect {
	n.now = now
	n.effects = n.effects[:0]
	switch input.Kind {
	case OpArrived:
		n.handleOpEvent(n.addOp(input), eventArrived)
	case PushEnded:
		n.handlePushEnd(input)
	case OpAbandoned, StreamBegan:
		if slot, found := n.opSlots[input.Op]; found {
			event := [...]opEvent{OpAbandoned: eventAbandoned, StreamBegan: eventStreamBegan}[input.Kind]
			n.handleOpEvent(&n.ops[slot], event)
		}
	case ListReceived:
		n.applyList(input)
	case PeerMessageReceived:
		n.receivePeerMessage(input)
	case TimerFired:
		if n.now >= n.nextTickAt {
			n.controlTick()
		}
		if slot, found := n.opSlots[OpID(input.Token)]; found && n.now > n.ops[slot].answerDeadline {
			n.handleOpEvent(&n.ops[slot], eventDeadline)
		}
	}
	return n.effects
}

// emit appends an effect to the result of the current step.
func (n *Node) emit(effect Effect) { n.effects = append(n.effects, effect) }

// logText emits a log line, unless the text is empty.
func (n *Node) logText(text string) {
	if text != "" {
		n.emit(Effect{Kind: Log, Text: text})
	}
}

// handleOpEvent applies the first transition whose action succeeds. It frees the op's slot once the op is answered
// and its last push has ended.
func (n *Node) handleOpEvent(op *pendingOp, event opEvent) {
	for i := range transitions {
		transition := &transitions[i]
		if transition.from == op.state && transition.event == event &&
			(transition.action == nil || transition.action(n, op)) {
			op.state = transition.to
			break
		}
	}
	if op.state == opAnswered && op.inFlight == 0 {
		delete(n.opSlots, op.id)
		n.freeOpSlots = append(n.freeOpSlots, op.slot)
	}
}

// addOp gives an arriving op a slot, works out its limits and deadlines, and counts it as offered. The returned
// pointer is valid until the next op arrives.
func (n *Node) addOp(input *Input) *pendingOp {
	if len(n.freeOpSlots) == 0 {
		n.freeOpSlots = append(n.freeOpSlots, int32(len(n.ops)))
		n.ops = append(n.ops, pendingOp{})
	}
	slot := n.freeOpSlots[len(n.freeOpSlots)-1]
	n.freeOpSlots = n.freeOpSlots[:len(n.freeOpSlots)-1]
	op := &n.ops[slot]
	category := &n.categories[input.Category]
	*op = pendingOp{id: input.Op, category: input.Category, slot: slot}
	n.opSlots[input.Op] = slot
	op.benefitLevel, _ = slices.BinarySearch(n.benefitLevels, category.Benefit)
	n.offeredRate.add(n.now)
	n.peerMessageBudget = min(8*peerMessagesPerOp, n.peerMessageBudget+peerMessagesPerOp*indicator(!input.ClientRetry))
	// Where no category has any benefit, the divisor is 1: a share of the highest benefit would be no number.
	op.allowedPushes = uint8(1 + math.Ceil(
		float64(n.limits.MaxPushes-1)*category.Benefit/cmp.Or(n.benefitLevels[len(n.benefitLevels)-1], 1)))
	op.answerDeadline = input.Deadline - 2*n.topology.ClockTick
	op.usefulUntil = min(n.now+category.TargetLatency-2*n.topology.ClockTick, op.answerDeadline)
	if category.LateBenefit > 0 {
		op.usefulUntil = op.answerDeadline // an answer past target latency still has some benefit
	} else if category.safeToRetry() || n.topology.Tier > 0 {
		op.answerDeadline = op.usefulUntil // an early failure leaves the client time to try elsewhere
	}
	return op
}

// tryPush pushes the op to a server, for the first time or again, if its category, its benefit, the retry budget
// and the time left allow that and a server admits it.
func (n *Node) tryPush(op *pendingOp) bool {
	category := &n.categories[op.category]
	latency := &n.latencies[op.category]
	// The bound of half the target latency matters after a time in which all answers were lost: latencies learned
	// from timeouts alone would say that each op comes too late, and no push could ever correct them.
	minLatency := min(Micros(latency.mean-latency.deviation), category.TargetLatency/2)
	if op.pushCount >= op.allowedPushes || n.now+max(0, minLatency) > op.usefulUntil {
		return false
	}
	// Further pushes that add work would feed the overload that caused them.
	if op.mayHaveRunSince > 0 && (n.retryBudget < 1 || category.Delivery == AtMostOnce ||
		category.Delivery == Deduplicated && n.now >= op.mayHaveRunSince+category.DedupWindow-n.topology.ClockTick) {
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
	// An idle connection may be dropped on its way without notice, and what is then sent on it is lost without an
	// error. Idle connections are closed before the push if more than a third of the pushes that follow such an
	// idle time are lost, and more than three times the share lost without idle time.
	op.idleStep = min(len(n.timeoutShareByIdleStep)-1, bits.Len64(uint64((n.now-server.lastPushEndAt)/controlInterval)))
	if server.inFlight == 0 && n.timeoutShareByIdleStep[op.idleStep] > max(1.0/3, 3*n.timeoutShareByIdleStep[0]) {
		n.emit(Effect{Kind: CloseIdle, Server: server.Server})
		// Let the share decay: otherwise a fault that is over would cost connections for ever.
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
	n.emit(Effect{Kind: Push, Op: op.id, Server: server.Server, Duration: max(1, timeout)})
	n.notifyPeers(server, peerMessage{event: peerPushSent})
	return true
}

// selectServer returns the slot of the server that admits the op, or -1. The throttle of all servers decides
// first, then the throttles of the servers in the rotation.
//
// A push to another zone costs benefit, and more where the path is slow or lossy; but one zone alone is congested
// sooner than all zones together. So the servers of the own zone come first as long as they have few pushes in
// flight and neither their own control nor the control of all servers is active.
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

// nextInRotation returns the slot of the next server by smooth weighted round robin over the eligible servers of
// the subset whose throttle admits the op, or -1. With zoneFirst it passes over servers that are under control or
// have maximumFill pushes in flight.
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
		server.currentWeight = min(server.currentWeight, totalWeight)
	}
}

// fullness returns the pushes of this node in flight at a server. Where peers report their own pushes, it returns a
// measure of how long one more op would wait there: the load including that op, times the relative latency.
func (n *Node) fullness(server *knownServer) float64 {
	if !n.topology.PeerMessaging {
		return float64(server.inFlight)
	}
	return (n.serverLoad(server) + 1) * server.relativeLatency
}

// maxFullness returns the fullness up to which a server may get an op, from the mean over the servers of the subset
// that are not down. If all of them look down there is no bound, as one of them may have recovered.
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

// serverLoad returns the pushes in flight at a server: those of this node and, by their peer messages, of others.
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
		(server.inFlight > 0 || category.Delivery == AtMostOnce && n.now-server.downUntil < terminationPendingPeriod)) {
		return false
	}
	// While other servers are full, or all are cold, the pushes of all nodes together could overload a cold server.
	// Even single ops of many nodes add up: a node whose share is less than one op waits until its token bucket,
	// which starts at a random level, holds a whole token.
	capacityShare := server.capacityShare(n.now, &n.coldStart)
	return capacityShare == 1 || n.serverLoad(server) < max(1, maxFullness*capacityShare) &&
		server.coldTokens.refill(n.now, capacityShare*n.sustainableRate, 1) >= 1
}

// notifyPeers sends a message about a server to the other nodes that have the server in their subset. The subset of
// node k begins at ring index k*ringSize/nodeCount, so these nodes have consecutive numbers, modulo nodeCount. The
// first position is shifted by one whole ring to stay positive.
func (n *Node) notifyPeers(server *knownServer, message peerMessage) {
	// Only ready servers are in the ring: it is empty once the last one drains, and must not be divided by.
	if !n.topology.PeerMessaging || server.State != Ready {
		return
	}
	message.foldedServerID = foldServerID(server.Server)
	ringSize := len(n.ring)
	nodeCount := n.topology.NodeCount
	encoded := message.encode()
	first := ((server.ringIndex+ringSize-n.peerSubsetSize()+1)*nodeCount + ringSize - 1) / ringSize
	end := ((server.ringIndex+ringSize+1)*nodeCount + ringSize - 1) / ringSize
	for position := first; position < end; position++ {
		nodeNumber := position % nodeCount
		if nodeNumber != n.topology.NodeNumber && n.peerMessageBudget >= 1 {
			n.peerMessageBudget--
			n.emit(Effect{Kind: SendToPeer, PeerNumber: nodeNumber, Message: encoded})
		}
	}
}

// receivePeerMessage takes in a message of another node. The message is advice on a server that the list has named.
// It changes the server's peer push rate, relative latency and last answer, and is forgotten as fast as this node's
// own observations of these.
func (n *Node) receivePeerMessage(input *Input) {
	message, understood := decodePeerMessage(input.Message)
	subsetIndex := slices.IndexFunc(n.subset, func(slot int32) bool {
		return foldServerID(n.servers[slot].Server) == message.foldedServerID
	})
	if !understood || subsetIndex < 0 {
		return
	}
	server := &n.servers[n.subset[subsetIndex]]
	if message.relativeLatency > 0 {
		updateMean(&server.relativeLatency, message.relativeLatency, latencySamples)
	}
	if message.event == peerPushSent {
		server.peerPushRate.add(n.now)
		return
	}
	server.peerPushRate.perSecond = max(0, server.peerPushRate.current(n.now)-float64(Second)/float64(rateMemory))
	if message.event == peerPushAcked {
		server.lastAnswerAt = n.now
		server.consecutiveFailures = 0
	}
}

// peerSubsetSize returns the size of the subset where nodes send each other peer messages. It is kept small because
// connections cost work and each further node that shares a server costs a message per event.
func (n *Node) peerSubsetSize() int {
	return min(len(n.ring), max(2, min(subsetSize, nodesPerServer*len(n.ring)/n.topology.NodeCount)))
}

// tryNack answers the op with a nack, which promises that a retry by the client does no harm. It fails where that
// promise cannot be given.
func (n *Node) tryNack(op *pendingOp) bool {
	if (op.mayHaveRunSince > 0 || op.inFlight > 0) && !n.categories[op.category].safeToRetry() {
		return false
	}
	effect := Effect{Kind: Nack, Op: op.id}
	if n.now+n.topology.ClockTick >= op.usefulUntil {
		effect.Duration = n.limits.MaxRetryAfter
	}
	n.emit(effect)
	return n.cancelPushes(op)
}

// deadLetter answers the op without any promise.
func (n *Node) deadLetter(op *pendingOp) bool {
	n.emit(Effect{Kind: DeadLetter, Op: op.id})
	return n.cancelPushes(op)
}

// cancelPushes cancels the op's pushes in flight, as nobody waits for their answers, if cancelling is allowed.
// It always succeeds.
func (n *Node) cancelPushes(op *pendingOp) bool {
	for push := uint8(0); push < op.pushCount && n.limits.MayCancel && op.inFlight > 0; push++ {
		if op.pushServers[push] >= 0 {
			n.emit(Effect{Kind: Cancel, Op: op.id, Push: PushNumber(push)})
		}
	}
	return true
}

// handlePushEnd updates the statistics of the server and the category after a push has ended, then decides on the op.
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
	evidence := n.classifyEnd(server, op, input)
	if evidence&serverFaultEvidence > 0 {
		// The server leaves the rotation, each time twice as long, at most 32 dial timeouts; then one push tries it.
		server.consecutiveFailures = min(server.consecutiveFailures+1, 5)
		server.downUntil = n.now + n.limits.DialTimeout<<server.consecutiveFailures
		n.chooseSubset()
	}
	if evidence&overloadEvidence > 0 && !wasOverdue {
		n.recordOverloadMark(server)
	}
	event := eventAnswered
	if input.Outcome != Acked && !input.OpSettled {
		event = eventPushFailed
	}
	n.handleOpEvent(op, event)
}

// recordSlowness counts an answer as slow or not. A slow answer is an overload mark while more than maxSlowShare of
// recent answers are slow.
func (n *Node) recordSlowness(server *knownServer, slow bool) {
	updateMean(&server.slowShare, indicator(slow), shareSamples)
	updateMean(&n.allServers.slowShare, indicator(slow), shareSamples)
	if slow && (server.slowShare > maxSlowShare || n.hasLowTraffic() && n.allServers.slowShare > maxSlowShare) {
		n.recordOverloadMark(server)
	}
}

// recordOverloadMark counts an overload mark for the server and, at low traffic, for all servers together.
func (n *Node) recordOverloadMark(server *knownServer) {
	// Where traffic starts in overload, servers are congested before the cutoff level has risen from the lowest
	// (8.2.5 c). So control that starts within rateMemory of the first op starts at the highest level.
	cutoffLevel := int(indicator(n.now-n.offeredRate.countingSince <= rateMemory)) * (len(n.benefitLevels) - 1)
	server.maxInFlightAtMark = max(server.maxInFlightAtMark*indicator(server.active), float64(server.inFlight))
	n.logText(server.throttle.addMark(n.now, cutoffLevel))
	if n.hasLowTraffic() {
		n.maxInFlightAtMark = max(n.maxInFlightAtMark*indicator(n.allServers.active), n.inFlight)
		n.logText(n.allServers.addMark(n.now, cutoffLevel))
	}
}

// hasLowTraffic reports whether each server gets too few pushes from this node for its overload marks alone to tell
// anything. Without the control of all servers, each of many such nodes would stay below the target mark rate and
// none would throttle. Below the first tier the bound is lower, as a nack there discards work already done.
func (n *Node) hasLowTraffic() bool {
	maxAcceptedPerServer := 3 * targetMarkRate
	if n.topology.Tier == 0 {
		maxAcceptedPerServer = 3 * targetMarkRate / allServersMarkShare
	}
	return n.allServers.acceptedRate.biasCorrected(n.now) < maxAcceptedPerServer*n.upServers
}

// slowThreshold returns the latency past which an answer is slow: two thirds of the tier's part of target latency.
// Lower tiers have a smaller part, and one part is kept back where another push may follow. The threshold is below
// the target because servers are congested before their answers are late.
func (n *Node) slowThreshold(id CategoryID) Micros {
	category := &n.categories[id]
	parts := n.topology.TierCount + int(indicator(category.Delivery != AtMostOnce))
	return category.TargetLatency * Micros(n.topology.TierCount-n.topology.Tier) / Micros(parts) * 2 / 3
}

// controlTick runs once per controlInterval: it adjusts every throttle, finds overdue pushes, chooses the subset and
// renews the subscription to the registry.
func (n *Node) controlTick() {
	n.nextTickAt = n.now + controlInterval
	n.emit(Effect{Kind: SetTimer, TimerAt: n.nextTickAt})
	for i := range n.servers {
		server := &n.servers[i]
		drained := server.maxInFlightAtMark >= maximumFill &&
			float64(server.inFlight) <= server.maxInFlightAtMark*drainedShare
		n.logText(server.adjustRate(n.now, len(n.benefitLevels), drained))
		// A server that gets no pushes cannot show that it has recovered: its relative latency falls with time.
		if server.inFlight == 0 && n.now-server.lastPushEndAt > terminationPendingPeriod {
			updateMean(&server.relativeLatency, min(server.relativeLatency, 1), float64(rateMemory/controlInterval))
		}
	}
	// A late answer tells that it is late only when it comes, and the queue grows meanwhile: so a push that is
	// overdue counts as slow at once. One slow server among many would otherwise keep its weight for seconds, until
	// its answers come: its relative latency rises with the pushes that are overdue there.
	for slot := range n.ops {
		op := &n.ops[slot]
		for push := PushNumber(0); push < PushNumber(op.pushCount); push++ {
			if op.pushServers[push] >= 0 && op.overduePushes&(1<<push) == 0 &&
				n.now-op.pushSentAt[push] > n.slowThreshold(op.category) {
				op.overduePushes |= 1 << push
				server := &n.servers[op.pushServers[push]]
				server.relativeLatency = max(server.relativeLatency,
					float64(n.now-op.pushSentAt[push])/n.latencies[op.category].mean)
				n.recordSlowness(server, true)
			}
		}
	}
	n.allServers.targetMarkRate = max(targetMarkRate, allServersMarkShare*n.allServers.acceptedRate.biasCorrected(n.now))
	// All nodes meet the same congestion within one interval. If they did not notice that it has drained, each would
	// reject a whole benefit level for seconds.
	drained := n.maxInFlightAtMark >= maximumFill && n.inFlight <= n.maxInFlightAtMark*drainedShare
	n.logText(n.allServers.adjustRate(n.now, len(n.benefitLevels), drained))
	n.chooseSubset()
	n.ackRateSamples = min(n.ackRateSamples+1, float64(terminationPendingPeriod/controlInterval))
	updateMean(&n.warmServerAckRate, n.ackRate.current(n.now)/max(1, n.upCapacity), n.ackRateSamples)
	// Before the first ack, the rate is an even share of the offered ops.
	n.sustainableRate = cmp.Or(n.warmServerAckRate*n.coldStart.OverloadFactor/2,
		n.offeredRate.biasCorrected(n.now)/max(1, n.upServers))
	subscription := &n.subscription
	if subscription.nextCallAt > 0 && n.now >= subscription.nextCallAt {
		subscription.nextCallAt = n.now + subscription.SubscribeWithin
		n.emit(Effect{Kind: WatchRegistry})
	}
}

// applyList takes over a list of servers, or changes to it, and rebuilds the ring and the subset. Servers that a
// complete list leaves out are gone.
func (n *Node) applyList(input *Input) {
	n.subscription.scheduleNextCall(n.now, input.Form, n.rng)
	if input.Form == ListFull || input.Form == ListCached {
		for slot := range n.servers {
			if !slices.ContainsFunc(input.List, func(entry ListEntry) bool {
				return entry.Server == n.servers[slot].Server
			}) {
				n.servers[slot].State = Gone
			}
		}
	}
	for _, entry := range input.List {
		slot, found := n.serverSlots[entry.Server]
		if !found {
			slot = n.allocateServerSlot()
			n.serverSlots[entry.Server] = slot
		}
		server := &n.servers[slot]
		// An outdated list may come again. Without this, a cold server would count as warm.
		if found {
			entry.StartedAt = max(entry.StartedAt, server.StartedAt)
		}
		if !found || entry.StartedAt != server.StartedAt {
			*server = knownServer{
				inFlight:         server.inFlight,
				currentWeight:    -n.rng.Float64(),
				coldTokens:       tokenBucket{n.rng.Float64(), n.now},
				concurrencyLimit: maximumFill,
				relativeLatency:  1,
				throttle: throttle{
					name:           fmt.Sprintf("%012x", entry.Server),
					targetMarkRate: targetMarkRate,
					leakInterval:   leakIntervalTicks * n.topology.ClockTick,
				},
			}
		}
		server.ListEntry = entry
	}
	n.ring = n.ring[:0]
	for slot := range n.servers {
		if n.servers[slot].State == Ready {
			n.ring = append(n.ring, int32(slot))
		}
	}
	servers := n.servers
	slices.SortFunc(n.ring, func(a, b int32) int { return cmp.Compare(servers[a].Server, servers[b].Server) })
	n.chooseSubset()
	if input.Form == ListCached {
		n.controlTick()
	}
}

// chooseSubset selects the servers in this node's rotation by deterministic subsetting: consecutive servers of the
// ring, with the starts of all nodes' subsets spread evenly. If each node used all servers of a large fleet, a node
// would learn too little about each server, and the connections of all nodes would fill the servers' tables.
//
// Servers that are down are passed over for the next ones in the ring. Where nodes send each other peer messages
// this happens only if the whole subset is down: the node gets no messages about servers outside its subset, and
// the ring neighbours of failed servers would be congested. Otherwise, where a push to another zone costs benefit,
// the servers of the own zone form a second subset.
func (n *Node) chooseSubset() {
	size := max(subsetSize, n.limits.MaxPushes)
	ringSize := len(n.ring)
	if n.topology.PeerMessaging {
		size = n.peerSubsetSize()
	}
	start := n.topology.NodeNumber * ringSize / n.topology.NodeCount
	preferZone := n.topology.CrossZoneCost > 0 && !n.topology.PeerMessaging
	n.subset = n.subset[:0]
	n.zoneSubset = n.zoneSubset[:0]
	n.upServers = 0
	n.upCapacity = 0
	for offset := range 2 * ringSize {
		slot := n.ring[(start+offset)%ringSize]
		server := &n.servers[slot]
		server.ringIndex = (start + offset) % ringSize
		down := server.downUntil > n.now
		// The first round takes the servers that are up; the second adds those that are down if too few are up.
		inSubset := len(n.subset) < size && down == (offset >= ringSize)
		if n.topology.PeerMessaging {
			inSubset = offset < size || offset < ringSize && n.upServers == 0 && !down
		}
		if inSubset {
			n.subset = append(n.subset, slot)
		}
		inZoneSubset := preferZone && len(n.zoneSubset) < size && !down && offset < ringSize &&
			server.Zone == n.topology.Zone
		if inZoneSubset {
			n.zoneSubset = append(n.zoneSubset, slot)
		}
		if !down && (inSubset || inZoneSubset) {
			n.upServers++
			n.upCapacity += server.capacityShare(n.now, &n.coldStart)
		}
	}
}

// safeToRetry reports whether a retry by the client does no harm even if the op has run.
func (c *Category) safeToRetry() bool {
	return c.Delivery == Redeliverable || c.Delivery == Deduplicated && c.DedupScope == DedupScopeAll
}

// current returns the rate as it has decayed by now.
func (r *decayingRate) current(now Micros) float64 {
	if now > r.updatedAt {
		r.perSecond *= math.Exp(-float64(now-r.updatedAt) / float64(rateMemory))
		r.updatedAt = now
	}
	return r.perSecond
}

// add counts one event.
func (r *decayingRate) add(now Micros) {
	if r.countingSince == 0 {
		r.countingSince = now
	}
	r.perSecond = r.current(now) + float64(Second)/float64(rateMemory)
}

// biasCorrected returns the rate without the bias towards 0 that a decaying rate has soon after its first event.
func (r *decayingRate) biasCorrected(now Micros) float64 {
	return r.current(now) / (1 - math.Exp(-float64(max(controlInterval, now-r.countingSince))/float64(rateMemory)))
}

// observe adds the latency of a push. A timeout counts for little more than the mean: where a tenth of the answers
// never come, timeouts counted in full would lengthen the next timeouts until no time is left for another push.
// Where all answers are late, the timeouts still grow.
func (a *latencyStats) observe(latency Micros, outcome Outcome) {
	sample := float64(latency)
	if outcome == TimedOut {
		sample = min(sample, a.mean+5.0/4*a.deviation)
	}
	updateMean(&a.deviation, math.Abs(sample-a.mean), shareSamples)
	updateMean(&a.mean, sample, shareSamples)
}

// updateMean moves an exponentially weighted mean over about the given number of samples towards a new sample.
func updateMean(mean *float64, sample, samples float64) { *mean += (sample - *mean) / samples }

// indicator returns 1 if the condition holds, else 0.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// allocateServerSlot returns the slot of a server that is gone and has no push in flight, or else a new slot.
func (n *Node) allocateServerSlot() int32 {
	for slot := range n.servers {
		if server := &n.servers[slot]; server.State == Gone && server.inFlight == 0 {
			delete(n.serverSlots, server.Server)
			return int32(slot)
		}
	}
	n.servers = append(n.servers, knownServer{})
	return int32(len(n.servers) - 1)
}

// refill adds tokens for the time since the last call, up to the capacity, and returns the tokens available.
func (a *tokenBucket) refill(now Micros, perSecond, capacity float64) float64 {
	a.available = min(capacity, a.available+perSecond*float64(now-a.updatedAt)/float64(Second))
	a.updatedAt = now
	return a.available
}
