// Package policy makes every decision of a node: which server an op is pushed to, whether it is
// pushed at all, again, or answered at once.
//
// New starts a Node; call Step with each Input in order, at a clock that never goes back, and carry out the
// Effects before the next call, from one goroutine. The interface (Decider) is defined in types.go.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"math/rand"
	"slices"
)

const (
	targetMarkRate           = 0.5              // marks a second that control steers to (clause 9.5's default)
	terminationPendingPeriod = 10 * Second      // TerminationPendingPeriod
	rateMemory               = 2 * Second       // 1/target: the memory of rates, so that one mark alone starts nothing
	controlInterval          = rateMemory / 8   // between steps of the steering
	splashAmount             = 1.0              // SplashAmount: the bucket counts ops
	maximumFill              = 4 * splashAmount // MaximumFill
	leakIntervalTicks        = 4                // LeakInterval, in ticks of the clock
	maxRateFactor            = 2.0              // highest rate, as a multiple of the recent accepted rate
	minRateFactor            = 1.0 / 4          // lowest rate, likewise
	rateStep                 = 1.0 / 4          // of the rate: down for each multiple of the target too much, up at the most
	drainedShare             = 1.0 / 4          // of the most that a server held at its marks: their queue is gone
	allServersMarkShare      = 1.0 / 8          // marks an accepted push that the control of all servers steers to
	maxSlowShare             = 1.0 / 3          // slow answers are marks while more than this share is slow
	maxErrorShare            = 1.0 / 8          // errors are marks while more than this share of all answers is one
	shareSamples             = 16               // recent answers, for a server's shares
	latencySamples           = 4                // likewise, for its pace
	subsetSize               = 10               // servers in a node's rotation, and no fewer than the pushes allowed
	retryBudgetRatio         = 1.0 / 8          // further pushes that may add work, a first push
	congestionThreshold      = 5.0 / 3          // answers' time over the usual
	nodesPerServer           = 20               // nodes that use a server, where they tell each other
	peerMessagesPerOp        = 34               // words a client's first try, so that no storm of repeats is one of words
)

// mark counts an overload mark, and starts control where their rate passes the target (8.2.1).
func (t *throttle) addMark(now Micros, cutoffLevel int) (log string) {
	t.markRate.add(now)
	t.lastActivityAt, t.lastMarkAt = now, now
	if t.active || t.markRate.current(now) <= t.targetMarkRate {
		return ""
	}
	t.active, t.cutoffLevel, t.bucketFill, t.lastLeakAt, t.activeSince, t.offered, t.rejected = true, cutoffLevel, maximumFill, now, now, 0, 0
	t.leakAmount = max(t.acceptedRate.biasCorrected(now), 2*targetMarkRate) * float64(t.leakInterval) / float64(Second)
	t.maxLeakAmount, t.minLeakAmount = t.leakAmount*maxRateFactor, t.leakAmount*minRateFactor
	return fmt.Sprintf("control of %s starts, %.1f/s", t.name, t.acceptedRate.perSecond)
}

// admit passes an op by its benefit's level and, at the cut, by the type 3 bucket (8.2.2, 8.2.5).
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

// steer moves LeakAmount, faster the further marks are off target, then the cut (8.2.3, 8.2.5).
// It ends control after endAfter with no mark and no rejection (8.2.4).
func (t *throttle) adjustRate(now Micros, levelCount int, drained bool) (log string) {
	if !t.active {
		return ""
	}
	if t.active = now-t.lastActivityAt < terminationPendingPeriod; !t.active {
		return fmt.Sprintf("control of %s ends after %d ms, %d offered, %d rejected",
			t.name, (now-t.activeSince)/Millisecond, t.offered, t.rejected)
	}
	// Danger: after a burst of marks their rate stays high when none has come for long, or when the queue
	// that made them is gone; the server would be shut for seconds, holding nothing.
	markRatio := t.markRate.current(now) / t.targetMarkRate
	if sinceLastMark := now - t.lastMarkAt; sinceLastMark > controlInterval {
		markRatio = min(markRatio, float64(Second)/float64(sinceLastMark)/t.targetMarkRate*indicator(!drained))
	}
	switch {
	case markRatio > 1 && t.leakAmount > t.minLeakAmount:
		t.leakAmount = max(t.minLeakAmount, t.leakAmount*max(0.5, 1-rateStep*(markRatio-1)))
	case markRatio > 1 && t.cutoffLevel+1 < levelCount:
		t.cutoffLevel, t.bucketFill, t.leakAmount = t.cutoffLevel+1, maximumFill, t.maxLeakAmount
	// Danger: few ops have more benefit than most; a cut that falls only after its own rate has risen keeps a
	// drained server (off is 0) idle for seconds.
	case markRatio < 1 && t.cutoffLevel > 0 && (markRatio == 0 || t.leakAmount == t.maxLeakAmount):
		t.cutoffLevel, t.bucketFill, t.leakAmount = t.cutoffLevel-1, maximumFill, t.minLeakAmount
	case markRatio < 1:
		t.leakAmount = min(t.maxLeakAmount, t.leakAmount*(1+rateStep*(1-markRatio)))
	}
	return ""
}

// blame says what the end of a push is evidence of; nothing else decides that.
func (n *Node) classifyEnd(server *knownServer, op *pendingOp, input *Input) evidence {
	switch input.Outcome {
	case Full, TimedOut:
		// Danger: a server that fell silent still looks free, and eats an op each turn.
		if input.Outcome == TimedOut && server.lastAnswerAt < op.pushSentAt[input.Push] {
			return overloadEvidence | serverFaultEvidence
		}
		return overloadEvidence
	case ConnectFailed, Reset:
		return serverFaultEvidence
	case Errored:
		// Danger: a server that fails fast, over half the time, holds little and is fed by the rotation.
		if server.errorShare > 1.0/2 && server.errorShare > 2*n.errorShare {
			return serverFaultEvidence
		}
		// Danger: errors everywhere come from a tier below that is full, or dies of what it is sent again. Some
		// come whatever this node sends, and would shut it: with hardly a push out they must be half of all.
		if n.errorShare > maxErrorShare*(1+3*indicator(n.inFlight < n.upServers)) {
			return overloadEvidence
		}
	}
	return 0
}

// crowded moves the room for pushes at a server: up while answers are quick and more is asked for, twofold
// until it was crowded once, else down. Danger: where holding more makes it do less, it is lost for long.
func (s *knownServer) adjustConcurrencyLimit(pushSentAt Micros, latencyRatio float64) {
	updateMean(&s.congestion, latencyRatio, latencySamples)
	switch {
	case s.congestion > congestionThreshold:
		s.concurrencyLimit, s.wasCongested = max(maximumFill, s.concurrencyLimit-1.0/2), true
	case s.lastAtLimitAt < pushSentAt: // nothing more was asked of it meanwhile
	case s.wasCongested:
		s.concurrencyLimit += max(1/s.concurrencyLimit, 1.0/shareSamples)
	default:
		s.concurrencyLimit++
	}
}

// warmth is the share of its capacity that the server surely has by now.
func (s *knownServer) capacityShare(now Micros, rule *ColdStartRule) float64 {
	if age := max(0, now-s.StartedAt); s.StartedAt > 0 && age < rule.WarmUpTime {
		return rule.InitialShare + (1-rule.InitialShare)*float64(age)/float64(rule.WarmUpTime)
	}
	return 1
}

// heard plans the next call. Danger: the whole fleet may start, or lose the registry, together, and it is
// one small service: calls are spread at random and back off.
func (r *subscription) scheduleNextCall(now Micros, form ListForm, rng *rand.Rand) {
	switch {
	case !r.MustSubscribe || form == ListReweighted:
	case form == ListCached:
		r.nextCallAt, r.retryDelay = now+1+Micros(rng.Float64()*float64(r.SubscribeWithin/8)), r.SubscribeWithin/16
	case form == ListFailed:
		r.nextCallAt = now + 1 + Micros((1.0/2+rng.Float64())*float64(r.retryDelay))
		r.retryDelay = min(2*r.retryDelay, r.SubscribeWithin/2)
	default:
		r.nextCallAt, r.retryDelay = 0, r.SubscribeWithin/16
	}
}

// table holds the decisions on an op: of its state and signal the first row whose effect can be had.
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

var provesNotRun = [...]bool{Full: true, ConnectFailed: true, Moot: true} // the outcomes that prove it

// New starts a node that knows no server yet.
func New(seed int64, topology Topology, categories []Category, limits PushLimits, coldStart ColdStartRule, registry RegistryRule) *Node {
	limits.MaxPushes, topology.NodeCount = min(limits.MaxPushes, maxPushesPerOp), max(1, topology.NodeCount)
	n := &Node{rng: rand.New(rand.NewSource(seed)), topology: topology, limits: limits, coldStart: coldStart, categories: categories,
		subscription: subscription{RegistryRule: registry},
		latencies:    make([]latencyStats, len(categories)), serverIndex: map[ServerID]int32{}, opSlots: map[OpID]int32{},
		allServers: throttle{name: "all servers", targetMarkRate: targetMarkRate, leakInterval: leakIntervalTicks * topology.ClockTick}, retryBudget: 1 / retryBudgetRatio}
	for i, category := range categories {
		// Danger: the first answers to come are the quick ones; time-outs from them alone cut off the rest.
		start := float64(n.slowThreshold(CategoryID(i))) * 3 / 8
		n.latencies[i] = latencyStats{mean: start, deviation: start, baseline: start}
		n.benefitLevels = append(n.benefitLevels, category.Benefit)
	}
	slices.Sort(n.benefitLevels)
	n.benefitLevels = slices.Compact(n.benefitLevels)
	return n
}

// Step takes one input and returns what to do, valid until the next call.
func (n *Node) Step(now Micros, input *Input) []Effect {
	n.now, n.effects = now, n.effects[:0]
	switch input.Kind {
	case OpArrived:
		n.handleOpEvent(n.addOp(input), eventArrived)
	case PushEnded:
		n.handlePushEnd(input)
	case OpAbandoned, StreamBegan:
		if slot, found := n.opSlots[input.Op]; found {
			n.handleOpEvent(&n.ops[slot], [...]opEvent{OpAbandoned: eventAbandoned, StreamBegan: eventStreamBegan}[input.Kind])
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

func (n *Node) emit(effect Effect) { n.effects = append(n.effects, effect) }

func (n *Node) logText(text string) {
	if text != "" {
		n.emit(Effect{Kind: Log, Text: text})
	}
}

func (n *Node) handleOpEvent(op *pendingOp, event opEvent) {
	for i := range transitions {
		if transition := &transitions[i]; transition.from == op.state && transition.event == event && (transition.action == nil || transition.action(n, op)) {
			op.state = transition.to
			break
		}
	}
	if op.state == opAnswered && op.inFlight == 0 {
		delete(n.opSlots, op.id)
		n.freeOpSlots = append(n.freeOpSlots, op.slot)
	}
}

// take gives an arriving op a place in the slab.
func (n *Node) addOp(input *Input) *pendingOp {
	if len(n.freeOpSlots) == 0 {
		n.freeOpSlots = append(n.freeOpSlots, int32(len(n.ops)))
		n.ops = append(n.ops, pendingOp{})
	}
	slot := n.freeOpSlots[len(n.freeOpSlots)-1]
	n.freeOpSlots = n.freeOpSlots[:len(n.freeOpSlots)-1]
	op, category := &n.ops[slot], &n.categories[input.Category]
	*op = pendingOp{id: input.Op, category: input.Category, slot: slot}
	n.opSlots[input.Op] = slot
	op.benefitLevel, _ = slices.BinarySearch(n.benefitLevels, category.Benefit)
	n.offeredRate.add(n.now)
	n.peerMessageBudget = min(8*peerMessagesPerOp, n.peerMessageBudget+peerMessagesPerOp*indicator(!input.ClientRetry))
	op.allowedPushes = uint8(1 + math.Ceil(float64(n.limits.MaxPushes-1)*category.Benefit/cmp.Or(n.benefitLevels[len(n.benefitLevels)-1], 1)))
	op.answerDeadline = input.Deadline - 2*n.topology.ClockTick
	op.usefulUntil = min(n.now+category.TargetLatency-2*n.topology.ClockTick, op.answerDeadline)
	if category.LateBenefit > 0 {
		op.usefulUntil = op.answerDeadline // a late answer still has some benefit
	} else if category.safeToRetry() || n.topology.Tier > 0 {
		op.answerDeadline = op.usefulUntil // Danger: failing late; the client may still try elsewhere in time
	}
	return op
}

// push sends the op, or sends it again where its category, its benefit and the time allow.
func (n *Node) tryPush(op *pendingOp) bool {
	category, latency := &n.categories[op.category], &n.latencies[op.category]
	// Danger: time-outs learned while all is lost would say that every op comes too late, for ever.
	minLatency := min(Micros(latency.mean-latency.deviation), category.TargetLatency/2)
	if op.pushCount >= op.allowedPushes || n.now+max(0, minLatency) > op.usefulUntil {
		return false
	}
	// Danger: further pushes that add work feed the overload that made them.
	if op.mayHaveRunSince > 0 && (n.retryBudget < 1 || category.Delivery == AtMostOnce ||
		category.Delivery == Deduplicated && n.now >= op.mayHaveRunSince+category.DedupWindow-n.topology.ClockTick) {
		return false
	}
	serverSlot := n.selectServer(op)
	if serverSlot < 0 {
		return false
	}
	server, timeout := &n.servers[serverSlot], op.answerDeadline-n.now
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
	// Danger: a connection that has rested may be dropped unseen; what is sent on it is lost in silence.
	op.idleStep = min(len(n.timeoutShareByIdleStep)-1, bits.Len64(uint64((n.now-server.lastPushEndAt)/controlInterval)))
	if server.inFlight == 0 && n.timeoutShareByIdleStep[op.idleStep] > max(1.0/3, 3*n.timeoutShareByIdleStep[0]) {
		n.emit(Effect{Kind: CloseIdle, Server: server.Server})
		updateMean(&n.timeoutShareByIdleStep[op.idleStep], 0, 4*shareSamples) // Danger: a trouble that is over would cost connections for ever
		op.idleStep = 0
	}
	server.inFlight++
	n.inFlight++
	server.coldTokens.available--
	op.pushServers[op.pushCount], op.pushSentAt[op.pushCount] = serverSlot, n.now
	op.pushCount++
	op.inFlight++
	n.emit(Effect{Kind: Push, Op: op.id, Server: server.Server, Duration: max(1, timeout)})
	n.notifyPeers(server, peerMessage{event: peerPushSent})
	return true
}

// pick asks the throttle of all servers, then those of the rotation; -1 where none admits the op. Danger: a
// push to another zone costs benefit, and more where the way is slow or lossy; but a zone alone jams sooner.
// Its servers come first while they hold little and are not under control, neither each nor all together.
func (n *Node) selectServer(op *pendingOp) int32 {
	category, subset, maxFullness := &n.categories[op.category], n.subset, n.maxFullness()
	// A repeat that is bound to its group may find a server there beyond this node's own.
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

// rotate is smooth weighted round robin over the servers that may take the op, in order of turn, until a
// bucket admits it.
func (n *Node) nextInRotation(op *pendingOp, subset []int32, maxFullness float64, zoneFirst bool) int32 {
	totalWeight := 0.0
	n.selectionRound++
	for _, slot := range subset {
		server := &n.servers[slot]
		if zoneFirst && (n.allServers.active || server.active || server.inFlight >= maximumFill) || !n.eligible(op, server, maxFullness) {
			server.skippedInRound = n.selectionRound
			continue
		}
		// Danger: equal turns overfill those that are slower than the list says.
		weight := server.Weight * server.capacityShare(n.now, &n.coldStart) / max(1, server.relativeLatency*server.relativeLatency)
		server.currentWeight += weight
		totalWeight += weight
	}
	for {
		bestSlot := int32(-1)
		for _, slot := range subset {
			if n.servers[slot].skippedInRound != n.selectionRound && (bestSlot < 0 || n.servers[slot].currentWeight > n.servers[bestSlot].currentWeight) {
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
		server.skippedInRound, server.currentWeight = n.selectionRound, min(server.currentWeight, totalWeight)
	}
}

// full is what a server holds or, where others say what they push there, how long an op to come would wait;
// most is how full one may be to get it, by the mean of the run's. Danger: all look dead; one may be back.
func (n *Node) fullness(server *knownServer) float64 {
	if !n.topology.PeerMessaging {
		return float64(server.inFlight)
	}
	return (n.serverLoad(server) + 1) * server.relativeLatency
}

func (n *Node) maxFullness() float64 {
	sum, up := 0.0, 0.0
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
		return mean * (1 + 1e-9) // what all hold alike is not above its mean
	}
	return min(2*mean, mean+2)
}

// load is what a server holds: pushes of this node and, by hearsay, of others.
func (n *Node) serverLoad(server *knownServer) float64 {
	return float64(server.inFlight) + server.peerPushRate.current(n.now)*float64(rateMemory)/float64(Second)
}

// may says whether a server is in the rotation for the op.
func (n *Node) eligible(op *pendingOp, server *knownServer, maxFullness float64) bool {
	category := &n.categories[op.category]
	if n.fullness(server) > maxFullness || op.mayHaveRunSince > 0 && category.Delivery == Deduplicated &&
		(category.DedupScope == DedupScopeZone && server.Zone != op.mayHaveRunZone || category.DedupScope == DedupScopeCell && server.Cell != op.mayHaveRunCell) {
		return false
	}
	if n.serverLoad(server) >= server.concurrencyLimit {
		server.lastAtLimitAt = n.now
		return false
	}
	// An op that cannot go again is not for trying a server out. Danger: where all are such, no other ever will.
	if n.upServers > 0 && (server.downUntil > n.now || server.consecutiveFailures > 0 &&
		(server.inFlight > 0 || category.Delivery == AtMostOnce && n.now-server.downUntil < terminationPendingPeriod)) {
		return false
	}
	// Danger: a cold server is pushed over by all nodes together, as its like are full or all are cold.
	// Single ops of many nodes add up: a node whose part is under one op waits, from a random start.
	capacityShare := server.capacityShare(n.now, &n.coldStart)
	return capacityShare == 1 || n.serverLoad(server) < max(1, maxFullness*capacityShare) && server.coldTokens.refill(n.now, capacityShare*n.sustainableRate, 1) >= 1
}

// tell says what happened at a server to the nodes whose runs hold it.
func (n *Node) notifyPeers(server *knownServer, message peerMessage) {
	if !n.topology.PeerMessaging || server.State != Ready { // Danger: the last one drains, and there is no ring
		return
	}
	message.foldedServerID = foldServerID(server.Server)
	ringSize, nodeCount, encoded := len(n.ring), n.topology.NodeCount, message.encode()
	for position := ((server.ringIndex+ringSize-n.peerSubsetSize()+1)*nodeCount + ringSize - 1) / ringSize; position < ((server.ringIndex+ringSize+1)*nodeCount+ringSize-1)/ringSize; position++ {
		if nodeNumber := position % nodeCount; nodeNumber != n.topology.NodeNumber && n.peerMessageBudget >= 1 {
			n.peerMessageBudget--
			n.emit(Effect{Kind: SendToPeer, PeerNumber: nodeNumber, Message: encoded})
		}
	}
}

// hear takes in what another node says. It is advice on servers that the list has named, forgotten as soon as
// what this node saw: of a server's pushes, its pace, and that it answers.
func (n *Node) receivePeerMessage(input *Input) {
	message, understood := decodePeerMessage(input.Message)
	subsetIndex := slices.IndexFunc(n.subset, func(slot int32) bool { return foldServerID(n.servers[slot].Server) == message.foldedServerID })
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
		server.lastAnswerAt, server.consecutiveFailures = n.now, 0
	}
}

// narrow is a run's length where others are told. Danger: connections cost work, and each sharer a word.
func (n *Node) peerSubsetSize() int {
	return min(len(n.ring), max(2, min(subsetSize, nodesPerServer*len(n.ring)/n.topology.NodeCount)))
}

// nack answers that a new try does no harm, where that is true.
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

func (n *Node) deadLetter(op *pendingOp) bool {
	n.emit(Effect{Kind: DeadLetter, Op: op.id})
	return n.cancelPushes(op)
}

// drop calls back what is still out: nobody waits for it.
func (n *Node) cancelPushes(op *pendingOp) bool {
	for push := uint8(0); push < op.pushCount && n.limits.MayCancel && op.inFlight > 0; push++ {
		if op.pushServers[push] >= 0 {
			n.emit(Effect{Kind: Cancel, Op: op.id, Push: PushNumber(push)})
		}
	}
	return true
}

// ended learns from the end of a push and decides on its op.
func (n *Node) handlePushEnd(input *Input) {
	slot, found := n.opSlots[input.Op]
	if !found || input.Push >= PushNumber(n.ops[slot].pushCount) || n.ops[slot].pushServers[input.Push] < 0 {
		return
	}
	op := &n.ops[slot]
	server, latency := &n.servers[op.pushServers[input.Push]], &n.latencies[op.category]
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
			op.mayHaveRunSince, op.mayHaveRunZone, op.mayHaveRunCell = op.pushSentAt[input.Push], server.Zone, server.Cell
		}
	}
	wasOverdue := op.overduePushes&(1<<input.Push) > 0 // while it was out
	if input.Outcome == Acked {
		message.event, server.consecutiveFailures = peerPushAcked, 0
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
	if evidence&serverFaultEvidence > 0 { // out of the rotation, twice as long each time; then one push tries
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

// slow counts an answer as slow or not; a slow one is a mark while more than their share is.
func (n *Node) recordSlowness(server *knownServer, slow bool) {
	updateMean(&server.slowShare, indicator(slow), shareSamples)
	updateMean(&n.allServers.slowShare, indicator(slow), shareSamples)
	if slow && (server.slowShare > maxSlowShare || n.hasLowTraffic() && n.allServers.slowShare > maxSlowShare) {
		n.recordOverloadMark(server)
	}
}

func (n *Node) recordOverloadMark(server *knownServer) {
	// Danger: a fleet whose traffic starts in overload jams before the cut has risen from below (8.2.5 c).
	cutoffLevel := int(indicator(n.now-n.offeredRate.countingSince <= rateMemory)) * (len(n.benefitLevels) - 1)
	server.maxInFlightAtMark = max(server.maxInFlightAtMark*indicator(server.active), float64(server.inFlight))
	n.logText(server.throttle.addMark(n.now, cutoffLevel))
	if n.hasLowTraffic() {
		n.maxInFlightAtMark = max(n.maxInFlightAtMark*indicator(n.allServers.active), n.inFlight)
		n.logText(n.allServers.addMark(n.now, cutoffLevel))
	}
}

// quiet says that servers see too little of this node for marks of one alone to tell. Danger: the target lets
// its marks pass from each of many nodes. Below the first tier a nack throws away work done.
func (n *Node) hasLowTraffic() bool {
	maxAcceptedPerServer := 3 * targetMarkRate
	if n.topology.Tier == 0 {
		maxAcceptedPerServer = 3 * targetMarkRate / allServersMarkShare
	}
	return n.allServers.acceptedRate.biasCorrected(n.now) < maxAcceptedPerServer*n.upServers
}

// aim is the time past which an answer is slow: two thirds of a tier's part of target latency, less further
// down, with one part kept back where another push may follow. Danger: servers jam before answers are late.
func (n *Node) slowThreshold(id CategoryID) Micros {
	category := &n.categories[id]
	parts := n.topology.TierCount + int(indicator(category.Delivery != AtMostOnce))
	return category.TargetLatency * Micros(n.topology.TierCount-n.topology.Tier) / Micros(parts) * 2 / 3
}

// tick steers every throttle and keeps the registry's subscription.
func (n *Node) controlTick() {
	n.nextTickAt = n.now + controlInterval
	n.emit(Effect{Kind: SetTimer, TimerAt: n.nextTickAt})
	for i := range n.servers {
		server := &n.servers[i]
		n.logText(server.adjustRate(n.now, len(n.benefitLevels), server.maxInFlightAtMark >= maximumFill && float64(server.inFlight) <= server.maxInFlightAtMark*drainedShare))
		// Danger: a server that gets no turn can't show that it is well again.
		if server.inFlight == 0 && n.now-server.lastPushEndAt > terminationPendingPeriod {
			updateMean(&server.relativeLatency, min(server.relativeLatency, 1), float64(rateMemory/controlInterval))
		}
	}
	// Danger: an answer that is late says so late, and the queue grows meanwhile: overdue is slow. And one
	// server of many is slow for seconds before its answers tell; its turns shrink by what is overdue there.
	for slot := range n.ops {
		for push, op := PushNumber(0), &n.ops[slot]; push < PushNumber(op.pushCount); push++ {
			if op.pushServers[push] >= 0 && op.overduePushes&(1<<push) == 0 && n.now-op.pushSentAt[push] > n.slowThreshold(op.category) {
				op.overduePushes |= 1 << push
				server := &n.servers[op.pushServers[push]]
				server.relativeLatency = max(server.relativeLatency, float64(n.now-op.pushSentAt[push])/n.latencies[op.category].mean)
				n.recordSlowness(server, true)
			}
		}
	}
	n.allServers.targetMarkRate = max(targetMarkRate, allServersMarkShare*n.allServers.acceptedRate.biasCorrected(n.now))
	// Danger: all nodes meet a jam in one beat; each then shuts out a whole level of benefit for seconds.
	n.logText(n.allServers.adjustRate(n.now, len(n.benefitLevels), n.maxInFlightAtMark >= maximumFill && n.inFlight <= n.maxInFlightAtMark*drainedShare))
	n.chooseSubset()
	n.ackRateSamples = min(n.ackRateSamples+1, float64(terminationPendingPeriod/controlInterval))
	updateMean(&n.warmServerAckRate, n.ackRate.current(n.now)/max(1, n.upCapacity), n.ackRateSamples)
	n.sustainableRate = cmp.Or(n.warmServerAckRate*n.coldStart.OverloadFactor/2, n.offeredRate.biasCorrected(n.now)/max(1, n.upServers)) // first an even turn
	if subscription := &n.subscription; subscription.nextCallAt > 0 && n.now >= subscription.nextCallAt {
		subscription.nextCallAt = n.now + subscription.SubscribeWithin
		n.emit(Effect{Kind: WatchRegistry})
	}
}

// follow takes over a list of servers.
func (n *Node) applyList(input *Input) {
	n.subscription.scheduleNextCall(n.now, input.Form, n.rng)
	if input.Form == ListFull || input.Form == ListCached {
		for slot := range n.servers {
			if !slices.ContainsFunc(input.List, func(entry ListEntry) bool { return entry.Server == n.servers[slot].Server }) {
				n.servers[slot].State = Gone
			}
		}
	}
	for _, entry := range input.List {
		slot, found := n.serverIndex[entry.Server]
		if !found {
			slot = n.allocateServerSlot()
			n.serverIndex[entry.Server] = slot
		}
		server := &n.servers[slot]
		// Danger: an old list may come again, and would make a cold server seem warm.
		if found {
			entry.StartedAt = max(entry.StartedAt, server.StartedAt)
		}
		if !found || entry.StartedAt != server.StartedAt {
			*server = knownServer{inFlight: server.inFlight, currentWeight: -n.rng.Float64(), coldTokens: tokenBucket{n.rng.Float64(), n.now},
				concurrencyLimit: maximumFill, relativeLatency: 1, throttle: throttle{
					name: fmt.Sprintf("%012x", entry.Server), targetMarkRate: targetMarkRate, leakInterval: leakIntervalTicks * n.topology.ClockTick}}
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

// choose keeps the rotation to a run of the ids in order, evenly apart. Danger: a node learns nothing of a
// large fleet, and all nodes' connections fill a server's table. What is down is passed over; where nodes
// tell each other only if all of the run is: they aren't told what others push elsewhere, and the neighbours
// of what died jam. Else, where a push to another zone costs benefit, the own zone's servers have a run too.
func (n *Node) chooseSubset() {
	size, ringSize := max(subsetSize, n.limits.MaxPushes), len(n.ring)
	if n.topology.PeerMessaging {
		size = n.peerSubsetSize()
	}
	start, preferZone := n.topology.NodeNumber*ringSize/n.topology.NodeCount, n.topology.CrossZoneCost > 0 && !n.topology.PeerMessaging
	n.subset, n.zoneSubset, n.upServers, n.upCapacity = n.subset[:0], n.zoneSubset[:0], 0, 0
	for offset := range 2 * ringSize {
		slot := n.ring[(start+offset)%ringSize]
		server := &n.servers[slot]
		server.ringIndex = (start + offset) % ringSize
		down := server.downUntil > n.now
		inSubset := len(n.subset) < size && down == (offset >= ringSize)
		if n.topology.PeerMessaging {
			inSubset = offset < size || offset < ringSize && n.upServers == 0 && !down
		}
		if inSubset {
			n.subset = append(n.subset, slot)
		}
		inZoneSubset := preferZone && len(n.zoneSubset) < size && !down && offset < ringSize && server.Zone == n.topology.Zone
		if inZoneSubset {
			n.zoneSubset = append(n.zoneSubset, slot)
		}
		if !down && (inSubset || inZoneSubset) {
			n.upServers++
			n.upCapacity += server.capacityShare(n.now, &n.coldStart)
		}
	}
}

// harmless says that a client's new try never does harm, whatever ran.
func (c *Category) safeToRetry() bool {
	return c.Delivery == Redeliverable || c.Delivery == Deduplicated && c.DedupScope == DedupScopeAll
}

func (r *decayingRate) current(now Micros) float64 {
	if now > r.updatedAt {
		r.perSecond *= math.Exp(-float64(now-r.updatedAt) / float64(rateMemory))
		r.updatedAt = now
	}
	return r.perSecond
}

func (r *decayingRate) add(now Micros) {
	if r.countingSince == 0 {
		r.countingSince = now
	}
	r.perSecond = r.current(now) + float64(Second)/float64(rateMemory)
}

// whole is the rate less the shortfall of a memory that is not yet full.
func (r *decayingRate) biasCorrected(now Micros) float64 {
	return r.current(now) / (1 - math.Exp(-float64(max(controlInterval, now-r.countingSince))/float64(rateMemory)))
}

// learn takes in how long a push took. Danger: where a tenth of the answers never come, time-outs that teach
// their own length grow until no time is left for another push. Where all are late they still grow.
func (a *latencyStats) observe(latency Micros, outcome Outcome) {
	sample := float64(latency)
	if outcome == TimedOut {
		sample = min(sample, a.mean+5.0/4*a.deviation)
	}
	updateMean(&a.deviation, math.Abs(sample-a.mean), shareSamples)
	updateMean(&a.mean, sample, shareSamples)
}

func updateMean(mean *float64, sample, samples float64) { *mean += (sample - *mean) / samples }

func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// room is the place of a server that is gone and holds nothing, or a new one.
func (n *Node) allocateServerSlot() int32 {
	for slot := range n.servers {
		if server := &n.servers[slot]; server.State == Gone && server.inFlight == 0 {
			delete(n.serverIndex, server.Server)
			return int32(slot)
		}
	}
	n.servers = append(n.servers, knownServer{})
	return int32(len(n.servers) - 1)
}

// fill adds rate a second, up to most, and returns what is left.
func (a *tokenBucket) refill(now Micros, perSecond, capacity float64) float64 {
	a.available = min(capacity, a.available+perSecond*float64(now-a.updatedAt)/float64(Second))
	a.updatedAt = now
	return a.available
}
