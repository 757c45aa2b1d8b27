package policy

import "fmt"

// throttle is the overload control of one server, or of all servers together where the node has little
// traffic (clause 8.2).
type throttle struct {
	name           string       // of the server, in log lines
	markRate       decayingRate // overload marks
	acceptedRate   decayingRate // pushes that the server may have run
	targetMarkRate float64      // overload marks per second that control aims at
	slowShare      float64      // share of recent answers that were slow
	active         bool         // control is in force
	cutoffLevel    int          // lowest benefit level that may pass
	leakInterval   Micros       // LeakInterval
	bucketFill     float64      // ops in the leaky bucket
	leakAmount     float64      // LeakAmount: ops that leak from the bucket per LeakInterval
	maxLeakAmount  float64
	minLeakAmount  float64
	lastLeakAt     Micros
	lastActivityAt Micros // last overload mark or rejection
	activeSince    Micros
	lastMarkAt     Micros
	offered        int // ops since control started
	rejected       int // of these, rejected
}

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
	t.leakAmount = max(t.acceptedRate.biasCorrected(now), 2*targetMarkRate) *
		float64(t.leakInterval) / float64(Second)
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

// adjustRate changes LeakAmount, the faster the further the mark rate is from its target, and moves the
// cutoff level once LeakAmount has reached its bound (8.2.3, 8.2.5). It ends control after
// terminationPendingPeriod without an overload mark or a rejection (8.2.4). drained means that the queue
// behind the marks is gone. It returns the text of a log line, or an empty string.
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

// recordSlowness counts an answer as slow or not; a push that becomes overdue counts as a slow answer. A slow
// answer is an overload mark while more than maxSlowShare of recent answers are slow, those of the server or,
// at low traffic, of all servers.
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

// hasLowTraffic reports whether the servers get too few pushes from this node for the overload marks of one
// server alone to be significant. Without the control of all servers, the marks of each of many such nodes
// would stay below the target rate, and none would throttle. Below the first tier the bound is lower, as a
// nack there discards work already done.
func (n *Node) hasLowTraffic() bool {
	maxAcceptedPerServer := 3 * targetMarkRate
	if n.topology.Tier == 0 {
		maxAcceptedPerServer = 3 * targetMarkRate / allServersMarkShare
	}
	return n.allServers.acceptedRate.biasCorrected(n.now) < maxAcceptedPerServer*n.upServers
}

// slowThreshold returns the latency past which an answer is slow: two thirds of the tier's part of target
// latency. Lower tiers have a smaller part, and one part is kept back where another push may follow. The
// threshold is below the target because servers are congested before their answers are late.
func (n *Node) slowThreshold(id CategoryID) Micros {
	category := &n.categories[id]
	parts := n.topology.TierCount + int(indicator(category.Delivery != AtMostOnce))
	return category.TargetLatency * Micros(n.topology.TierCount-n.topology.Tier) / Micros(parts) * 2 / 3
}
