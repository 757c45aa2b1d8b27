// Package policy makes every decision of a node: which server an op is pushed to, and whether the op is
// pushed, pushed again, nacked or dead-lettered.
//
// An op is a request of a client. A push is one attempt to have a server run an op. Where no server's answer
// goes to the client, the node answers itself: a nack promises that a retry by the client does no harm, a
// dead letter promises nothing. A category's benefit is what an answer in time is worth; under overload, ops
// of low benefit are rejected first.
//
// New returns a Node. A caller passes each Input to Node.Step in order, with a clock that never goes back and
// from one goroutine, and carries out the returned Effects before the next call. Callers depend on the
// interface Decider.
//
// The overload control follows ITU-T H.248.11; numbers of clauses in comments refer to it.
package policy

import (
	"cmp"
	"math/rand"
	"slices"
)

// Terms of ITU-T H.248.11 keep their names: TerminationPendingPeriod, SplashAmount, MaximumFill, LeakInterval
// and LeakAmount.
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
	// maximumFill is the capacity of the leaky bucket, in ops, unless LeakAmount is larger. It is also the
	// smallest concurrency limit, and the fewest pushes in flight that count as a queue: with fewer, a node
	// cannot tell congestion from chance.
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
	// drainedShare tells when the queue behind overload marks is gone: no more than this share of the most
	// pushes that were in flight at a mark is still in flight.
	drainedShare = 1.0 / 4
	// allServersMarkShare is the number of overload marks per accepted push that the control of all servers
	// aims at.
	allServersMarkShare = 1.0 / 8
	// maxSlowShare is the share of recent answers above which slow answers count as overload marks.
	maxSlowShare = 1.0 / 3
	// maxErrorShare is the share of errors in all recent answers above which errors count as overload marks.
	maxErrorShare = 1.0 / 8
	// shareSamples is the number of recent answers over which shares and the latencies of a category are
	// averaged.
	shareSamples = 16
	// latencySamples is the number of recent answers over which the relative latency and the congestion of a
	// server are averaged, and the timeouts after idle time.
	latencySamples = 4
	// subsetSize is the number of servers in a node's rotation. It is more only where an op may have more pushes
	// than that, and may be less where nodes send each other peer messages.
	subsetSize = 10
	// retryBudgetRatio is the number of further pushes that may add work, for each first push.
	retryBudgetRatio = 1.0 / 8
	// congestionThreshold is the ratio of recent latency to baseline latency above which a server is congested.
	congestionThreshold = 5.0 / 3
	// nodesPerServer is the number of nodes that share a server where nodes send each other peer messages.
	nodesPerServer = 20
	// peerMessagesPerOp is the number of peer messages granted for a client's first try of an op. Retries by the
	// client grant none, so that a retry storm does not become a storm of peer messages.
	peerMessagesPerOp = 34
)

// Node makes the decisions of one load balancer node.
type Node struct {
	now                    Micros
	rng                    *rand.Rand
	topology               Topology
	limits                 PushLimits
	coldStart              ColdStartRule
	subscription           subscription
	categories             []Category
	latencies              []latencyStats     // by category
	benefitLevels          []float64          // distinct benefits, ascending
	offeredRate            decayingRate       // ops that arrive
	ackRate                decayingRate       // pushes that are acked
	servers                []knownServer      // by slot
	serverSlots            map[ServerID]int32 // index in servers
	ops                    []pendingOp        // by slot
	freeOpSlots            []int32            // slots for the next ops
	opSlots                map[OpID]int32     // index in ops
	errorShare             float64            // share of recent answers of all servers that are errors
	retryBudget            float64            // further pushes that may add work
	warmServerAckRate      float64            // acks per second of a warm server, averaged over a longer time
	sustainableRate        float64            // pushes per second that a warm server surely takes from this node
	selectionRound         uint64             // counts calls of nextInRotation
	allServers             throttle           // of all servers together, used while traffic to each is low
	upServers              float64            // servers in the rotation that are not down
	inFlight               float64            // pushes of this node not yet ended
	upCapacity             float64            // sum of the capacity shares of upServers
	maxInFlightAtMark      float64            // most inFlight at an overload mark while allServers is active
	ring                   []int32            // slots of the ready servers, ordered by server id
	subset                 []int32            // slots of the servers in this node's rotation
	zoneSubset             []int32            // slots of servers of the own zone, which are tried first
	timeoutShareByIdleStep [8]float64         // recent share of timeouts, by the server's idle time, see tryPush
	peerMessageBudget      float64            // peer messages that may be sent
	nextTickAt             Micros             // time of the next control tick
	ackRateSamples         float64            // control ticks over which warmServerAckRate is averaged
	effects                []Effect           // result of the current step
}

// New returns a node that does not know any server yet. seed starts its random numbers: nodes with the same
// seed and the same inputs decide alike.
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

// controlTick runs once per controlInterval: it adjusts every throttle, finds overdue pushes, chooses the
// subset and subscribes to the registry if a call is due.
func (n *Node) controlTick() {
	n.nextTickAt = n.now + controlInterval
	n.emit(Effect{Kind: SetTimer, TimerAt: n.nextTickAt})
	for i := range n.servers {
		server := &n.servers[i]
		drained := server.maxInFlightAtMark >= maximumFill &&
			float64(server.inFlight) <= server.maxInFlightAtMark*drainedShare
		n.logText(server.adjustRate(n.now, len(n.benefitLevels), drained))
		// A server that gets no pushes cannot show that it has recovered, so its relative latency falls to 1
		// with time.
		if server.inFlight == 0 && n.now-server.lastPushEndAt > terminationPendingPeriod {
			updateMean(&server.relativeLatency, min(server.relativeLatency, 1), float64(rateMemory/controlInterval))
		}
	}
	// The latency of a late answer is known only when it comes, and the queue grows meanwhile: so a push that is
	// overdue counts as slow at once, and raises the relative latency of its server. Otherwise one slow server
	// among many would keep its weight for seconds, until its answers come.
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
	n.allServers.targetMarkRate = max(targetMarkRate,
		allServersMarkShare*n.allServers.acceptedRate.biasCorrected(n.now))
	// All nodes meet the same congestion within one interval. If they did not notice that the queue has drained,
	// each would reject a whole benefit level for seconds.
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
