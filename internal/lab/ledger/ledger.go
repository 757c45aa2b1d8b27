// Package ledger records what the clients and the stand-in servers of an experiment observe, checks the four rules
// (see [RuleNames]) against these records and computes the figures of the result. Nothing that a node reports about
// itself enters the ledger, so a faulty node cannot hide a breach.
//
// An op that a client sends may take several tries; a try is one request to a node; a push is one request of a node to
// a server.
package ledger

import (
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/policy"
)

type (
	// OpID identifies an op of a client, or a call that a server makes to the next tier.
	OpID int
	// TryID identifies one request to a node. It is sent on the wire.
	TryID int
	// PushID identifies one push that reached a server.
	PushID int
)

// Verdict is the end of a try as its client saw it.
type Verdict uint8

const (
	Pending        Verdict = iota // the try has not ended yet
	Served                        // complete answer of a server
	Nacked                        // complete answer; a retry is safe
	Failed                        // complete answer that does not say whether the op had its effect
	ConnectionLost                // the connection ended before the answer was complete
	Refused                       // the node could not be reached, or closed the connection before it read the request
	ClientLeft                    // the client gave up by its own choice
	Unanswered                    // no answer came in time
)

// socketTolerance is by how much each time limit may be exceeded when the experiment runs on sockets. In simulated
// time the tolerance is smaller, see New.
const socketTolerance = 50 * policy.Millisecond

// RuleNames are the names of the four rules, as the key expect.broken of an experiment has them:
// answer (each op is answered once and in time), effect (no op has its effect twice), drain (no push to a draining
// server after the grace period) and cold (no cold server is overloaded until it collapses).
var RuleNames = []string{"answer", "effect", "drain", "cold"}

// op is the record of an op of a client, or of a call between tiers.
type op struct {
	category, tenant, tier int
	intendedAt             policy.Micros // scheduled send time
	offeredBenefit         float64       // reduced where the tenant exceeds its quota
	effects                int           // how often the op had its effect
	verdict                Verdict       // of the last try that ended; Served is final
	latency                policy.Micros // from intendedAt to the answer; set once served
	tries                  int
}

// try is the record of one request to a node.
type try struct {
	op              OpID
	node            int
	sent, deadline  policy.Micros
	verdict         Verdict
	ended           policy.Micros // 0 while pending
	pushes, answers int
	hadEffect       bool
}

// nodeCrash is the end of a node's process without warning.
type nodeCrash struct {
	node int
	at   policy.Micros
}

// nodePause is a period in which a node's process was stopped.
type nodePause struct {
	node     int
	from, to policy.Micros            // to is 0 while the pause lasts
	deferred []func(at policy.Micros) // server states to record when the pause ends
}

// push is the record of one push that reached a server.
type push struct {
	try              TryID
	server           int
	at               policy.Micros
	work             policy.Micros // core time used
	served, answered bool
}

// listedState is the state of a server that a node was last notified of.
type listedState struct {
	state           policy.ServerState
	stateRecordedAt policy.Micros // when the node was notified of state
	started         policy.Micros
	startRecordedAt policy.Micros // when the node was notified of started
}

// Ledger records one run. Its methods are safe for concurrent use.
type Ledger struct {
	mu                sync.Mutex
	scenario          *scenario.Scenario
	loadStart         policy.Micros
	tolerance         policy.Micros
	ops               []op
	tries             []try
	pushes            []push
	listed            map[[2]int]listedState // by node and server index
	crashes           []nodeCrash
	pauses            []nodePause
	opsThisSecond     []float64       // ops in the current second, by tenant
	secondStart       []policy.Micros // of the current second, by tenant
	series            []Bucket
	bucketDuration    policy.Micros
	latency           *hdrhistogram.Histogram
	latencyByCategory []*hdrhistogram.Histogram
	result            Result
	breachMessages    []string
}

// maxBreachMessages is how many breaches are described in the result.
const maxBreachMessages = 20

// New returns the ledger of a run whose load begins at loadStart. The time series of the result has buckets of
// bucketDuration. In simulated time clocks are exact, so the tolerance is a tenth of that on sockets.
func New(s *scenario.Scenario, loadStart, bucketDuration policy.Micros, simulated bool) *Ledger {
	ledger := &Ledger{
		scenario:       s,
		loadStart:      loadStart,
		tolerance:      socketTolerance,
		bucketDuration: bucketDuration,
		listed:         make(map[[2]int]listedState),
		opsThisSecond:  make([]float64, len(s.Tenants)),
		secondStart:    make([]policy.Micros, len(s.Tenants)),
		latency:        newHistogram(),
	}
	if simulated {
		ledger.tolerance /= 10
	}
	for range s.Categories {
		ledger.latencyByCategory = append(ledger.latencyByCategory, newHistogram())
	}
	return ledger
}

// newHistogram returns a histogram of microseconds, from 1 to five minutes, with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 300_000_000, 3) }

// Tolerance returns by how much time limits may be exceeded.
func (l *Ledger) Tolerance() policy.Micros { return l.tolerance }

// addBreach keeps the description of a breach, up to maxBreachMessages.
func (l *Ledger) addBreach(text string) {
	if len(l.breachMessages) < maxBreachMessages {
		l.breachMessages = append(l.breachMessages, text)
	}
}

// TierUnscored stands in place of the tier of an op that a client sends on top of the load. The rules are checked for
// such an op, but it counts in no figure of the result.
const TierUnscored = -1

// RecordOp records an op that a client is about to send at its scheduled time, or, in a later tier, a call of a server.
func (l *Ledger) RecordOp(at policy.Micros, category, tenant, tier int) OpID {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := op{category: category, tenant: tenant, tier: tier, intendedAt: at}
	if tier == 0 {
		o.offeredBenefit = l.scenario.Categories[category].Benefit
		if tenant >= 0 && l.scenario.Tenants[tenant].Quota > 0 {
			if at-l.secondStart[tenant] >= policy.Second {
				l.secondStart[tenant] = at
				l.opsThisSecond[tenant] = 0
			}
			if l.opsThisSecond[tenant]++; l.opsThisSecond[tenant] > l.scenario.Tenants[tenant].Quota {
				o.offeredBenefit *= l.scenario.Limits.BeyondShareBenefit
			}
		}
		l.bucketAt(at, category).Offered++
	}
	l.ops = append(l.ops, o)
	return OpID(len(l.ops) - 1)
}

// RecordTry records a request to a node. Its client gives up at deadline.
func (l *Ledger) RecordTry(id OpID, node int, sent, deadline policy.Micros) TryID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops[id].tries++
	l.tries = append(l.tries, try{op: id, node: node, sent: sent, deadline: deadline})
	return TryID(len(l.tries) - 1)
}

// RecordTryEnd records how a try ended for its client. A second answer to the same try breaks the rule "answer".
func (l *Ledger) RecordTryEnd(id TryID, at policy.Micros, verdict Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &l.tries[id]
	if verdict == Served || verdict == Nacked || verdict == Failed {
		if t.answers++; t.answers > 1 {
			l.result.DoubleAnswers++
			l.addBreach(sprintf("try %d got a second answer", id))
			return
		}
		if slack := l.scenario.Limits.AnswerSlack.Micros(); at > t.deadline+slack+l.tolerance && !l.wasPaused(t, at) {
			l.result.LateAnswers++
			l.addBreach(sprintf("try %d was answered %v ms past its client's deadline", id, milliseconds(at-t.deadline)))
		}
	}
	if t.verdict != Pending {
		return
	}
	t.verdict = verdict
	t.ended = at
	if verdict == Nacked && t.hadEffect {
		l.checkFalseNack(id, t)
	}
	o := &l.ops[t.op]
	if o.verdict == Served {
		return
	}
	o.verdict = verdict
	if o.tier != 0 {
		return
	}
	switch verdict {
	case Served:
		o.latency = at - o.intendedAt
		l.latency.RecordValue(max(1, int64(o.latency)))
		l.latencyByCategory[o.category].RecordValue(max(1, int64(o.latency)))
		bucket := l.bucketAt(at, o.category)
		bucket.Served++
		bucket.Benefit += l.earnedBenefit(o)
	case Nacked:
		l.bucketAt(at, o.category).Nacked++
	}
}

// earnedBenefit returns the benefit of a served op, which is lower past the target latency.
func (l *Ledger) earnedBenefit(o *op) float64 {
	c := &l.scenario.Categories[o.category]
	if o.latency <= c.TargetLatency.Micros() {
		return o.offeredBenefit
	}
	return o.offeredBenefit * c.LateBenefit
}

// RecordExtraAnswer records an answer that arrived when no request was in flight.
func (l *Ledger) RecordExtraAnswer(id TryID) { l.RecordTryEnd(id, 0, Served) }

// RecordNodeCrash records that a node's process ends at once. Tries that the node accepted and did not answer count as
// lost to the crash, not as unanswered: their clients may retry.
func (l *Ledger) RecordNodeCrash(node int, at policy.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, nodeCrash{node, at})
}

// lostToCrash reports whether a try was pending at its node, or on the way to it, when the node crashed.
func (l *Ledger) lostToCrash(t *try) bool {
	for _, crash := range l.crashes {
		if crash.node == t.node && t.sent <= crash.at+l.tolerance && (t.ended == 0 || t.ended >= crash.at) {
			return true
		}
	}
	return false
}

// RecordNodePause records that a node's process is stopped, or resumed. Late answers of a paused node are no breach,
// and server states that were sent to it during the pause count as received when it resumes.
func (l *Ledger) RecordNodePause(node int, paused bool, at policy.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if paused {
		l.pauses = append(l.pauses, nodePause{node: node, from: at})
		return
	}
	if pause := l.currentPause(node); pause != nil {
		pause.to = at
		for _, record := range pause.deferred {
			record(at)
		}
		pause.deferred = nil
	}
}

// currentPause returns the pause that a node is in, or nil.
func (l *Ledger) currentPause(node int) *nodePause {
	for i := range l.pauses {
		if pause := &l.pauses[i]; pause.node == node && pause.to == 0 {
			return pause
		}
	}
	return nil
}

// wasPaused reports whether a try's node was paused at some time between the send of the try and until.
func (l *Ledger) wasPaused(t *try, until policy.Micros) bool {
	for i := range l.pauses {
		if pause := &l.pauses[i]; pause.node == t.node && pause.from <= until && (pause.to == 0 || pause.to+l.tolerance >= t.sent) {
			return true
		}
	}
	return false
}

// RecordPush records that a push reached a server, whatever the server does with it, and checks whether the node was
// allowed to send it.
func (l *Ledger) RecordPush(id TryID, server int, at policy.Micros) PushID {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &l.tries[id]
	t.pushes++
	l.pushes = append(l.pushes, push{try: id, server: server, at: at})
	if t.verdict != Pending && t.verdict != ClientLeft && at > t.ended+l.tolerance {
		l.result.LatePushes++
		l.addBreach(sprintf("try %d was sent to server %d after it had ended", id, server))
	}
	if entry, known := l.listed[[2]int{t.node, server}]; known && entry.state != policy.Ready {
		if grace := l.scenario.Limits.DrainGrace.Micros(); at > entry.stateRecordedAt+grace+l.tolerance {
			l.result.DrainBreaches++
			l.addBreach(sprintf("server %d got try %d %v ms after node %d was notified that it drains", server, id, milliseconds(at-entry.stateRecordedAt), t.node))
		}
	}
	return PushID(len(l.pushes) - 1)
}

// RecordEffect records that a server ran a push. A push that a deduplicating group of servers dropped as a repeat has
// no effect.
func (l *Ledger) RecordEffect(id PushID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &l.tries[l.pushes[id].try]
	t.hadEffect = true
	o := &l.ops[t.op]
	o.effects++
	if t.verdict == Nacked {
		l.checkFalseNack(l.pushes[id].try, t)
	}
	if o.effects > 1 && l.scenario.Categories[o.category].Delivery != "redeliverable" {
		l.result.DoubleEffects++
		l.addBreach(sprintf("op %d (%s) had its effect %d times: %s", t.op, l.scenario.Categories[o.category].Name, o.effects, l.describePushes(t.op)))
	}
}

// describePushes lists the pushes of an op for a breach message.
func (l *Ledger) describePushes(id OpID) (text string) {
	for i := range l.pushes {
		if p := &l.pushes[i]; l.tries[p.try].op == id {
			text += sprintf("; try %d at server %d after %v ms", p.try, p.server, milliseconds(p.at-l.ops[id].intendedAt))
		}
	}
	return strings.TrimPrefix(text, "; ")
}

// checkFalseNack checks a try that was nacked although it had run. That is a breach unless the op may run again on any
// server: a nack tells the client that a retry is safe.
func (l *Ledger) checkFalseNack(id TryID, t *try) {
	c := &l.scenario.Categories[l.ops[t.op].category]
	if c.Delivery == "at_most_once" || c.Delivery == "deduplicated" && c.DedupScope != "all" {
		l.result.FalseNacks++
		l.addBreach(sprintf("try %d (%s) was nacked and has run", id, c.Name))
	}
}

// RecordWork adds the core time that a push used.
func (l *Ledger) RecordWork(id PushID, work policy.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pushes[id].work += work
}

// RecordServedBy records that the answer of this push was the one that the client received.
func (l *Ledger) RecordServedBy(id PushID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id >= 0 && int(id) < len(l.pushes) {
		l.pushes[id].served = true
	}
}

// RecordNodeStart records that a new process of a node starts, which has not been notified of any server yet. What was
// sent to the previous process, such as a drain, is discarded: otherwise a push of the new process before its own list
// has arrived would be taken for a breach.
func (l *Ledger) RecordNodeStart(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.listed {
		if key[0] == node {
			delete(l.listed, key)
		}
	}
}

// RecordServerState records that a node was notified of a server's state and start time. Recording the same values
// again changes nothing.
func (l *Ledger) RecordServerState(node, server int, state policy.ServerState, started, at policy.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pause := l.currentPause(node); pause != nil {
		pause.deferred = append(pause.deferred, func(at policy.Micros) { l.setListedState(node, server, state, started, at) })
		return
	}
	l.setListedState(node, server, state, started, at)
}

// setListedState stores a notification. Times change only when the server enters or leaves the state Ready, or when
// it has started again. The mutex must be held.
func (l *Ledger) setListedState(node, server int, state policy.ServerState, started, at policy.Micros) {
	key := [2]int{node, server}
	entry, known := l.listed[key]
	if !known || entry.state == policy.Ready != (state == policy.Ready) {
		entry.stateRecordedAt = at
	}
	if !known || entry.started != started {
		entry.started = started
		entry.startRecordedAt = at
	}
	entry.state = state
	l.listed[key] = entry
}

// KnowsServerStart reports whether a node has been notified of this start of a server.
func (l *Ledger) KnowsServerStart(node, server int, started policy.Micros) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.listed[[2]int{node, server}]
	return known && entry.started == started
}

// RecordCollapse records that a cold server collapsed under load. It is a breach if most of the load came from nodes
// that knew of the server's start (startKnown).
func (l *Ledger) RecordCollapse(server int, startKnown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.CollapsedServers++
	if startKnown {
		l.result.ColdBreaches++
		l.addBreach(sprintf("server %d collapsed under load while cold", server))
	}
}

// RecordPeakLoad records the highest load of a cold server in one window, as a share of what it can take.
func (l *Ledger) RecordPeakLoad(load float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.ColdPeakLoad = max(l.result.ColdPeakLoad, load)
}

// NodeOf returns the node of a try; known is false if there is no such try.
func (l *Ledger) NodeOf(id TryID) (node int, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id < 0 || int(id) >= len(l.tries) {
		return 0, false
	}
	return l.tries[id].node, true
}

// OpOf returns the op of a try, which is the deduplication key, and the op's category.
func (l *Ledger) OpOf(id TryID) (op OpID, category int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.tries[id].op
	return o, l.ops[o].category
}

// RecordScheduleMisses adds n to the number of sends that the load generator made too late.
func (l *Ledger) RecordScheduleMisses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.ScheduleMissed += n
}

// RecordEvent adds a line to the events of the result, such as the end of a process or the start of a disturbance.
func (l *Ledger) RecordEvent(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Events = append(l.result.Events, text)
}

// RecordThrottle records a sample of one server's throttle at a node.
func (l *Ledger) RecordThrottle(at policy.Micros, sample Throttle) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sample.AtMs = milliseconds(at - l.loadStart)
	l.result.Throttles = append(l.result.Throttles, sample)
}

// Progress counts the ops of clients by their state so far.
type Progress struct{ Offered, Served, Nacked, Pending int }

// Progress returns the counts of the clients' ops so far.
func (l *Ledger) Progress() (p Progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.ops {
		o := &l.ops[i]
		if o.tier != 0 {
			continue
		}
		p.Offered++
		switch o.verdict {
		case Served:
			p.Served++
		case Nacked:
			p.Nacked++
		case Pending:
			p.Pending++
		}
	}
	return p
}

// SetLoadStart sets when the load begins. No op may be recorded before this call.
func (l *Ledger) SetLoadStart(at policy.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loadStart = at
}

// Abort records that the run ends early: pending tries count as left by their clients, not as unanswered.
func (l *Ledger) Abort(at policy.Micros) {
	l.mu.Lock()
	pending := make([]TryID, 0, len(l.tries))
	for i := range l.tries {
		if l.tries[i].verdict == Pending {
			pending = append(pending, TryID(i))
		}
	}
	l.mu.Unlock()
	for _, id := range pending {
		l.RecordTryEnd(id, at, ClientLeft)
	}
}
