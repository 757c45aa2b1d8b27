package node

import (
	"maps"
	"slices"

	"canvasrouter/policy"
)

// applyShutdownDeadline limits the answer time of every pending op to the deadline.
//
// The kill at a planned restart does not wait for long TTLs, and an op that is unanswered by then is lost. The deadline is
// kept for ops that are submitted later: they may have been read before the restart was requested.
func (n *Node) applyShutdownDeadline(deadline policy.Micros) {
	n.shutdownDeadline = deadline
	for _, id := range slices.Sorted(maps.Keys(n.ops)) {
		if op := n.ops[id]; !op.settled {
			n.setAnswerTimer(op)
		}
	}
}

// setAnswerTimer sets the time by which an op is answered without the module. The module normally answers earlier, or when a
// push times out at the op's deadline; the timer covers a module that does not, and the shutdown of the process.
func (n *Node) setAnswerTimer(op *Op) {
	n.timers.stop(op.answerTimer)
	if deadline := op.Deadline + op.generation.Options.AnswerSlack; n.shutdownDeadline == 0 || deadline <= n.shutdownDeadline {
		op.answerTimer = n.timers.set(deadline, func() {
			n.log.Error().Uint32("op", uint32(op.id)).Msg("op overdue, dead-lettered")
			n.abandon(op, DeadLettered, "overdue")
		})
		return
	}
	op.answerTimer = n.timers.set(n.shutdownDeadline, func() { n.settleAtShutdown(op) })
}

// settleAtShutdown nacks an op if nothing of it can have run, so that a retry is safe, and dead-letters it otherwise.
func (n *Node) settleAtShutdown(op *Op) {
	verdict := Nacked
	for _, push := range op.pushes {
		if !push.ended && !push.withdraw() {
			op.mayHaveRun = true
		}
	}
	if op.mayHaveRun {
		verdict = DeadLettered
	}
	n.abandon(op, verdict, "the process ends")
}

// abandon settles an op without a decision of the module, and then notifies the module.
func (n *Node) abandon(op *Op, verdict Verdict, reason string) {
	if op.settled {
		return
	}
	n.settle(op, Answer{Verdict: verdict}, reason)
	n.step(op.generation, &policy.Input{Kind: policy.OpAbandoned, Op: op.id})
	n.removeIfFinished(op)
}

// settle gives an op its final answer and withdraws its unsent pushes. It releases the answer if the op is already settled. The reason
// is for the log.
func (n *Node) settle(op *Op, answer Answer, reason string) {
	if op.settled {
		answer.Body.Release()
		return
	}
	op.settled = true
	n.pendingOps--
	if line := n.log.Debug(); line.Enabled() {
		line.Uint32("op", uint32(op.id)).Uint8("category", uint8(op.Category)).Stringer("verdict", answer.Verdict).
			Int("pushes", len(op.pushes)).Int64("left_ms", n.clock.Until(op.Deadline).Milliseconds()).Msg("answer")
	}
	n.statistics.recordAnswer(n.log, op, answer.Verdict, reason)
	n.timers.stop(op.answerTimer)
	answer.MayRunYet = op.mayHaveRun && answer.Verdict != Acked
	for _, push := range op.pushes {
		if !push.ended && !push.withdraw() {
			answer.MayRunYet = true
		}
	}
	op.Answer(answer)
	op.Body.Release() // pushes in flight hold references of their own
}

// removeIfFinished removes an op that is settled and has no push in flight.
func (n *Node) removeIfFinished(op *Op) {
	if _, held := n.ops[op.id]; held && op.settled && op.inFlight == 0 {
		delete(n.ops, op.id)
		if op.generation.opCount--; op.generation.opCount == 0 && op.generation != n.newestGeneration() {
			n.retireGenerations()
		}
	}
}

// answerOp settles an op with the answer that the module decided on.
func (n *Node) answerOp(id policy.OpID, answer Answer) {
	if op := n.ops[id]; op != nil {
		n.settle(op, answer, "by decision")
		n.removeIfFinished(op)
	}
}
