package policy

import (
	"cmp"
	"math"
	"slices"
)

// opState is the state of a pending op.
type opState uint8

const (
	opArriving  opState = iota // no push yet
	opPushed                   // a push is in flight
	opStreaming                // the answer has begun and belongs to the client
	opAnswered                 // answered, or abandoned by the client; pushes may still be in flight
)

// opEvent is an event in the state machine of an op.
type opEvent uint8

const (
	eventArrived     opEvent = iota // the op has come
	eventAnswered                   // a push ended with the op's answer, or after the op had it
	eventPushFailed                 // a push ended without an answer for the client
	eventStreamBegan                // the answer has begun
	eventDeadline                   // the op must be answered now
	eventAbandoned                  // the client has left
)

// maxPushesPerOp is the number of pushes that a pendingOp has space for.
const maxPushesPerOp = 8

// pendingOp is an op from its arrival until it is answered, or abandoned by the client, and its last push has
// ended. It keeps its slot for that time.
type pendingOp struct {
	id              OpID
	category        CategoryID
	benefitLevel    int // index of the category's benefit in Node.benefitLevels
	state           opState
	pushCount       uint8                  // pushes made
	allowedPushes   uint8                  // pushes that the category's benefit allows
	inFlight        uint8                  // pushes not yet ended
	slot            int32                  // index in Node.ops
	usefulUntil     Micros                 // an answer after this time has no benefit
	answerDeadline  Micros                 // an op without an answer is nacked or dead-lettered after this
	idleStep        int                    // index of timeoutShareByIdleStep for the last push
	mayHaveRunSince Micros                 // send time of the first push that may have run; 0: none
	mayHaveRunZone  ZoneID                 // zone of the server of that push
	mayHaveRunCell  CellID                 // cell of the server of that push
	overduePushes   uint8                  // a bit for each push that counted as slow while it was in flight
	pushServers     [maxPushesPerOp]int32  // slot of the server of each push; -1 once the push has ended
	pushSentAt      [maxPushesPerOp]Micros // send time of each push
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

// handleOpEvent applies the first transition whose action succeeds. It frees the op's slot once the op is
// answered and its last push has ended.
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

// addOp gives an arriving op a slot, works out its limits and deadlines, and counts it as offered. The
// returned pointer is valid until the next op arrives.
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
	n.peerMessageBudget = min(8*peerMessagesPerOp,
		n.peerMessageBudget+peerMessagesPerOp*indicator(!input.ClientRetry))
	// Where no category has any benefit, the divisor is 1: a share of the highest benefit would be 0/0.
	op.allowedPushes = uint8(1 + math.Ceil(
		float64(n.limits.MaxPushes-1)*category.Benefit/cmp.Or(n.benefitLevels[len(n.benefitLevels)-1], 1)))
	// The timer for answerDeadline fires one tick after it, at least one tick before the client gives up.
	op.answerDeadline = input.Deadline - 2*n.topology.ClockTick
	op.usefulUntil = min(n.now+category.TargetLatency-2*n.topology.ClockTick, op.answerDeadline)
	if category.LateBenefit > 0 {
		op.usefulUntil = op.answerDeadline // an answer past target latency still has some benefit
	} else if category.safeToRetry() || n.topology.Tier > 0 {
		op.answerDeadline = op.usefulUntil // an early failure leaves the client time to try elsewhere
	}
	return op
}

// tryNack answers the op with a nack, which promises that a retry by the client does no harm. It fails where
// that promise cannot be given.
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

// deadLetter answers that the op failed, without the promise of a nack. It always succeeds.
func (n *Node) deadLetter(op *pendingOp) bool {
	n.emit(Effect{Kind: DeadLetter, Op: op.id})
	return n.cancelPushes(op)
}

// cancelPushes cancels the op's pushes in flight, as nobody waits for their answers, if cancelling is
// allowed. It always succeeds.
func (n *Node) cancelPushes(op *pendingOp) bool {
	for push := uint8(0); push < op.pushCount && n.limits.MayCancel && op.inFlight > 0; push++ {
		if op.pushServers[push] >= 0 {
			n.emit(Effect{Kind: Cancel, Op: op.id, Push: PushNumber(push)})
		}
	}
	return true
}

// safeToRetry reports whether a retry by the client does no harm even if the op has run.
func (c *Category) safeToRetry() bool {
	return c.Delivery == Redeliverable || c.Delivery == Deduplicated && c.DedupScope == DedupScopeAll
}
