package node

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/counters"
	"canvasrouter/policy"
)

// idHeader is the id that the client has given an op.
const idHeader = "X-Txn"

// maxLoggedBytes limits what a log line tells of an id.
const maxLoggedBytes = 64

// Statistics counts what became of ops and pushes, and why. It is safe for concurrent use.
type Statistics struct {
	answers  counters.Set // final answers, by verdict and reason
	pushes   counters.Set // ends of pushes, by outcome
	repeated counters.Set // pushes of an op that was pushed before, by the outcome of the push before
}

// MarshalZerologObject writes all counters.
func (s *Statistics) MarshalZerologObject(line *zerolog.Event) {
	line.Object("answers", &s.answers).Object("pushes", &s.pushes).Object("pushed_again", &s.repeated)
}

// Statistics returns the counters of the node.
func (n *Node) Statistics() *Statistics { return &n.statistics }

// ClientID returns the id that the client has given the op, shortened for the log.
func (o *Op) ClientID() string {
	id := o.Header.Get(idHeader)
	return id[:min(len(id), maxLoggedBytes)]
}

// recordAnswer records the final answer of an op. Answers of servers are counted and not logged.
func (s *Statistics) recordAnswer(log zerolog.Logger, op *Op, verdict Verdict, reason string) {
	key := verdict.String() + ", " + reason
	if verdict == Acked {
		s.answers.Add(key)
		return
	}
	s.answers.Log(log.Info(), key, "op not served", func(line *zerolog.Event) {
		line.Str("id", op.ClientID()).Uint32("op", uint32(op.id)).Uint8("category", uint8(op.Category)).Int("pushes", len(op.pushes)).
			Int64("age_ms", time.Since(op.createdAt).Milliseconds())
	})
}

// recordPush records the start of a push. That of an op that was pushed before is logged, with the time since its first push.
func (s *Statistics) recordPush(log zerolog.Logger, push *Push) {
	if push.number == 0 {
		return
	}
	first, previous := push.op.pushes[0], push.op.pushes[push.number-1]
	s.repeated.Log(log.Info(), previous.outcome.String(), "op pushed again", func(line *zerolog.Event) {
		line.Str("id", push.op.ClientID()).Uint32("op", uint32(push.op.id)).Uint8("push", uint8(push.number)).
			Str("server", fmt.Sprintf("%012x", push.Server)).
			Int64("since_first_ms", int64((push.sentAt-first.sentAt)/policy.Millisecond)).
			Int64("may_begin_for_ms", int64((push.beginBefore-push.sentAt)/policy.Millisecond))
	})
}

// recordPushEnd records the end of a push. One that was not acked is logged, with the state in which it ended.
func (s *Statistics) recordPushEnd(log zerolog.Logger, push *Push, outcome policy.Outcome, took policy.Micros) {
	push.outcome = outcome
	if outcome == policy.Acked {
		s.pushes.Add(outcome.String())
		return
	}
	s.pushes.Log(log.Info(), outcome.String(), "push failed", func(line *zerolog.Event) {
		line.Str("id", push.op.ClientID()).Uint32("op", uint32(push.op.id)).Uint8("push", uint8(push.number)).
			Str("server", fmt.Sprintf("%012x", push.Server)).Str("state", pushStateNames[push.state.Load()]).
			Int64("took_ms", int64(took/policy.Millisecond))
	})
}

// pushStateNames are the states of a push in the log.
var pushStateNames = [...]string{pushUnsent: "unsent", pushBegun: "begun", pushWithdrawn: "withdrawn"}
