// Package ledger is the one account of an experiment. Clients and servers write to it; from what they saw, and from
// nothing that a node says of itself, it judges the four rules and counts what was served, lost and wasted.
package ledger

import (
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/policy"
)

type (
	OpID   int // an op of a client, or a call of a server to the next tier
	TryID  int // one request to a node; each has an id of its own on the wire
	PushID int // one push as a server got it
)

// Verdict is what a client saw of a try.
type Verdict uint8

const (
	Pending        Verdict = iota
	Served                 // a whole answer of a server's
	Nacked                 // trying again does no harm
	Failed                 // a whole answer that promises nothing
	ConnectionLost         // the connection ended without a whole answer
	Refused                // the node could not be reached, or left before it read the request
	ClientLeft             // the client went first, by its own wish
	Unanswered             // nothing came
)

// tolerance is what each time limit may be exceeded by, on sockets; in simulated time it is smaller.
const socketTolerance = 50 * policy.Millisecond

// Rules are the four rules' names, as expect.broken has them.
var RuleNames = []string{"answer", "effect", "drain", "cold"}

type op struct {
	category, tenant, tier int
	intendedAt             policy.Micros // meant to be sent
	offeredBenefit         float64       // benefit, less where the tenant is beyond its share
	effects                int
	verdict                Verdict // of the last try that ended; Served stays
	latency                policy.Micros
	tries                  int
}

type try struct {
	op              OpID
	node            int
	sent, deadline  policy.Micros
	verdict         Verdict
	ended           policy.Micros
	pushes, answers int
	hadEffect       bool
}

// death is the end of a node without warning.
type nodeCrash struct {
	node int
	at   policy.Micros
}

// pause is a time in which a node's process was stopped.
type nodePause struct {
	node     int
	from, to policy.Micros // to 0: it still is
	deferred []func(at policy.Micros)
}

type push struct {
	try              TryID
	server           int
	at               policy.Micros
	work             policy.Micros // core time it took
	served, answered bool
}

// listed is what a node was told last of a server.
type listedState struct {
	state           policy.ServerState
	stateRecordedAt policy.Micros // when it was told of state
	started         policy.Micros
	startRecordedAt policy.Micros // when it was told of started
}

// Account is the account of one run. Its methods may be called from any goroutine.
type Ledger struct {
	mu                sync.Mutex
	scenario          *scenario.Scenario
	loadStart         policy.Micros
	tolerance         policy.Micros
	ops               []op
	tries             []try
	pushes            []push
	listed            map[[2]int]listedState // by node and server
	crashes           []nodeCrash
	pauses            []nodePause
	opsThisSecond     []float64 // ops in the present second, by tenant
	secondStart       []policy.Micros
	series            []Bucket
	bucketDuration    policy.Micros // of a bucket
	latency           *hdrhistogram.Histogram
	latencyByCategory []*hdrhistogram.Histogram
	result            Result
	breachMessages    []string
}

// mostNotes is how many breaches are told in words.
const maxBreachMessages = 20

// New makes an account of a run whose load begins at a moment and is cut into buckets of span. In simulated time
// clocks are exact, and the tolerance is a tenth.
func New(s *scenario.Scenario, loadStart, bucketDuration policy.Micros, simulated bool) *Ledger {
	ledger := &Ledger{scenario: s, loadStart: loadStart, tolerance: socketTolerance, bucketDuration: bucketDuration, listed: make(map[[2]int]listedState),
		opsThisSecond: make([]float64, len(s.Tenants)), secondStart: make([]policy.Micros, len(s.Tenants)),
		latency: newHistogram()}
	if simulated {
		ledger.tolerance /= 10
	}
	for range s.Categories {
		ledger.latencyByCategory = append(ledger.latencyByCategory, newHistogram())
	}
	return ledger
}

// histogram counts microseconds up to five minutes to three digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 300_000_000, 3) }

// Tolerance is by how much time limits may be exceeded.
func (a *Ledger) Tolerance() policy.Micros { return a.tolerance }

func (a *Ledger) addBreach(text string) {
	if len(a.breachMessages) < maxBreachMessages {
		a.breachMessages = append(a.breachMessages, text)
	}
}

// Free stands for the tier of an op that a client sends on top of the load, and that counts for nothing but the rules.
const TierUnscored = -1

// Offer books an op that a client means to send, or, in a later tier, a call.
func (a *Ledger) RecordOp(at policy.Micros, category, tenant, tier int) OpID {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := op{category: category, tenant: tenant, tier: tier, intendedAt: at}
	if tier == 0 {
		o.offeredBenefit = a.scenario.Categories[category].Benefit
		if tenant >= 0 && a.scenario.Tenants[tenant].Quota > 0 {
			if at-a.secondStart[tenant] >= policy.Second {
				a.secondStart[tenant], a.opsThisSecond[tenant] = at, 0
			}
			if a.opsThisSecond[tenant]++; a.opsThisSecond[tenant] > a.scenario.Tenants[tenant].Quota {
				o.offeredBenefit *= a.scenario.Limits.BeyondShareBenefit
			}
		}
		a.bucketAt(at, category).Offered++
	}
	a.ops = append(a.ops, o)
	return OpID(len(a.ops) - 1)
}

// Try books a request to a node, and when its client gives up.
func (a *Ledger) RecordTry(id OpID, node int, sent, deadline policy.Micros) TryID {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ops[id].tries++
	a.tries = append(a.tries, try{op: id, node: node, sent: sent, deadline: deadline})
	return TryID(len(a.tries) - 1)
}

// End books how a try ended for its client. A second answer is counted as such.
func (a *Ledger) RecordTryEnd(id TryID, at policy.Micros, verdict Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &a.tries[id]
	if verdict == Served || verdict == Nacked || verdict == Failed {
		if t.answers++; t.answers > 1 {
			a.result.DoubleAnswers++
			a.addBreach(sprintf("try %d got a second answer", id))
			return
		}
		if slack := a.scenario.Limits.AnswerSlack.Micros(); at > t.deadline+slack+a.tolerance && !a.wasPaused(t, at) {
			a.result.LateAnswers++
			a.addBreach(sprintf("try %d was answered %v ms past its client's end", id, milliseconds(at-t.deadline)))
		}
	}
	if t.verdict != Pending {
		return
	}
	t.verdict, t.ended = verdict, at
	if verdict == Nacked && t.hadEffect {
		a.checkFalseNack(id, t)
	}
	o := &a.ops[t.op]
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
		a.latency.RecordValue(max(1, int64(o.latency)))
		a.latencyByCategory[o.category].RecordValue(max(1, int64(o.latency)))
		bucket := a.bucketAt(at, o.category)
		bucket.Served++
		bucket.Benefit += a.earnedBenefit(o)
	case Nacked:
		a.bucketAt(at, o.category).Nacked++
	}
}

// gain is what an op that was served is worth.
func (a *Ledger) earnedBenefit(o *op) float64 {
	c := &a.scenario.Categories[o.category]
	if o.latency <= c.TargetLatency.Micros() {
		return o.offeredBenefit
	}
	return o.offeredBenefit * c.LateBenefit
}

// Extra books an answer that belongs to no request that is out.
func (a *Ledger) RecordExtraAnswer(id TryID) { a.RecordTryEnd(id, 0, Served) }

// Crashed says that a node dies now: what it had taken and not answered is its clients' to try again, and not lost.
func (a *Ledger) RecordNodeCrash(node int, at policy.Micros) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashes = append(a.crashes, nodeCrash{node, at})
}

// died says whether a try was in its node's hands, or on its way there, when the node died.
func (a *Ledger) lostToCrash(t *try) bool {
	for _, crash := range a.crashes {
		if crash.node == t.node && t.sent <= crash.at+a.tolerance && (t.ended == 0 || t.ended >= crash.at) {
			return true
		}
	}
	return false
}

// Paused says that a node's process is stopped from now on, or goes on. What it was to answer meanwhile comes late by no
// fault of its own, and it counts as told of what came meanwhile once it goes on.
func (a *Ledger) RecordNodePause(node int, paused bool, at policy.Micros) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if paused {
		a.pauses = append(a.pauses, nodePause{node: node, from: at})
		return
	}
	if pause := a.currentPause(node); pause != nil {
		pause.to = at
		for _, record := range pause.deferred {
			record(at)
		}
		pause.deferred = nil
	}
}

// pausedNow is the pause that a node is in, or nil.
func (a *Ledger) currentPause(node int) *nodePause {
	for i := range a.pauses {
		if pause := &a.pauses[i]; pause.node == node && pause.to == 0 {
			return pause
		}
	}
	return nil
}

// stopped says whether a try's node was stopped while it had the try, before its client's end.
func (a *Ledger) wasPaused(t *try, until policy.Micros) bool {
	for i := range a.pauses {
		if pause := &a.pauses[i]; pause.node == t.node && pause.from <= until && (pause.to == 0 || pause.to+a.tolerance >= t.sent) {
			return true
		}
	}
	return false
}

// Push books a push as a server got it, whatever became of it there, and judges whether the node might send it.
func (a *Ledger) RecordPush(id TryID, server int, at policy.Micros) PushID {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &a.tries[id]
	t.pushes++
	a.pushes = append(a.pushes, push{try: id, server: server, at: at})
	if t.verdict != Pending && t.verdict != ClientLeft && at > t.ended+a.tolerance {
		a.result.LatePushes++
		a.addBreach(sprintf("try %d was sent to server %d after its end", id, server))
	}
	if entry, known := a.listed[[2]int{t.node, server}]; known && entry.state != policy.Ready {
		if grace := a.scenario.Limits.DrainGrace.Micros(); at > entry.stateRecordedAt+grace+a.tolerance {
			a.result.DrainBreaches++
			a.addBreach(sprintf("server %d got try %d %v ms after node %d was told that it drains", server, id, milliseconds(at-entry.stateRecordedAt), t.node))
		}
	}
	return PushID(len(a.pushes) - 1)
}

// Effect books that a push ran and had its effect. What a group dropped as a repeat has none.
func (a *Ledger) RecordEffect(id PushID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &a.tries[a.pushes[id].try]
	t.hadEffect = true
	o := &a.ops[t.op]
	o.effects++
	if t.verdict == Nacked {
		a.checkFalseNack(a.pushes[id].try, t)
	}
	if o.effects > 1 && a.scenario.Categories[o.category].Delivery != "redeliverable" {
		a.result.DoubleEffects++
		a.addBreach(sprintf("op %d (%s) had its effect %d times: %s", t.op, a.scenario.Categories[o.category].Name, o.effects, a.describePushes(t.op)))
	}
}

// ran lists the pushes of an op.
func (a *Ledger) describePushes(id OpID) (text string) {
	for i := range a.pushes {
		if p := &a.pushes[i]; a.tries[p.try].op == id {
			text += sprintf("; try %d at server %d after %v ms", p.try, p.server, milliseconds(p.at-a.ops[id].intendedAt))
		}
	}
	return strings.TrimPrefix(text, "; ")
}

// falseNack judges a nack of a try that has run: only what may run again anywhere may be nacked then.
func (a *Ledger) checkFalseNack(id TryID, t *try) {
	c := &a.scenario.Categories[a.ops[t.op].category]
	if c.Delivery == "at_most_once" || c.Delivery == "deduplicated" && c.DedupScope != "all" {
		a.result.FalseNacks++
		a.addBreach(sprintf("try %d (%s) was nacked and has run", id, c.Name))
	}
}

// Worked books the core time that a push took, and whether its answer was the one that its client got.
func (a *Ledger) RecordWork(id PushID, work policy.Micros) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pushes[id].work += work
}

// ServedBy says which push's answer a client got.
func (a *Ledger) RecordServedBy(id PushID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id >= 0 && int(id) < len(a.pushes) {
		a.pushes[id].served = true
	}
}

// Anew says that a node's process starts: it has been told of nothing yet. Danger: what was written to the process before it, of
// a drain, say, this one was never told, and it would be blamed for a push before its own list has come.
func (a *Ledger) RecordNodeStart(node int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key := range a.listed {
		if key[0] == node {
			delete(a.listed, key)
		}
	}
}

// Told books what a node was told of a server. Telling the same again changes nothing.
func (a *Ledger) RecordServerState(node, server int, state policy.ServerState, started, at policy.Micros) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if pause := a.currentPause(node); pause != nil {
		pause.deferred = append(pause.deferred, func(at policy.Micros) { a.setListedState(node, server, state, started, at) })
		return
	}
	a.setListedState(node, server, state, started, at)
}

func (a *Ledger) setListedState(node, server int, state policy.ServerState, started, at policy.Micros) {
	key := [2]int{node, server}
	entry, known := a.listed[key]
	if !known || entry.state == policy.Ready != (state == policy.Ready) {
		entry.stateRecordedAt = at
	}
	if !known || entry.started != started {
		entry.started, entry.startRecordedAt = started, at
	}
	entry.state = state
	a.listed[key] = entry
}

// KnowsStart says whether a node had been told of a server's start.
func (a *Ledger) KnowsServerStart(node, server int, started policy.Micros) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, known := a.listed[[2]int{node, server}]
	return known && entry.started == started
}

// Tipped books that a cold server fell over, and whether nodes that knew sent most of it.
func (a *Ledger) RecordCollapse(server int, startKnown bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.result.CollapsedServers++
	if startKnown {
		a.result.ColdBreaches++
		a.addBreach(sprintf("server %d was pushed over while cold", server))
	}
}

// Pressed books the fullest window of a cold server, as a share of what it bears.
func (a *Ledger) RecordPeakLoad(load float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.result.ColdPeakLoad = max(a.result.ColdPeakLoad, load)
}

// NodeOf is the node of a try.
func (a *Ledger) NodeOf(id TryID) (node int, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id < 0 || int(id) >= len(a.tries) {
		return 0, false
	}
	return a.tries[id].node, true
}

// KeyOf is the key by which repeats of a try's op are known.
func (a *Ledger) OpOf(id TryID) (op OpID, category int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.tries[id].op
	return o, a.ops[o].category
}

// Missed books how many sends the generator made too late.
func (a *Ledger) RecordScheduleMisses(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.result.ScheduleMissed += n
}

// Note books a line in words: a process that ended, a trouble that began.
func (a *Ledger) RecordEvent(text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.result.Events = append(a.result.Events, text)
}

// Sample books one server's throttle at a node.
func (a *Ledger) RecordThrottle(at policy.Micros, sample Throttle) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sample.AtMs = milliseconds(at - a.loadStart)
	a.result.Throttles = append(a.result.Throttles, sample)
}

// Progress is how the run stands.
type Progress struct{ Offered, Served, Nacked, Pending int }

// Progress counts the clients' ops so far.
func (a *Ledger) Progress() (p Progress) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.ops {
		o := &a.ops[i]
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

// Begin sets when the load begins. Nothing may be offered before.
func (a *Ledger) SetLoadStart(at policy.Micros) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loadStart = at
}

// Cut says that the run ends before its time: whoever still waits goes without an answer, by no fault of a node.
func (a *Ledger) Abort(at policy.Micros) {
	a.mu.Lock()
	pending := make([]TryID, 0, len(a.tries))
	for i := range a.tries {
		if a.tries[i].verdict == Pending {
			pending = append(pending, TryID(i))
		}
	}
	a.mu.Unlock()
	for _, id := range pending {
		a.RecordTryEnd(id, at, ClientLeft)
	}
}
