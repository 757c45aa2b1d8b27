package outlier

import (
	"slices"

	"canvasrouter/policy"
)

// ServerEvidence is what this node has observed of one server through its own pushes.
type ServerEvidence struct {
	sequence        uint32        // of the last report made on this server
	lastGood        policy.Micros // when the last push was acked
	lastBad         policy.Micros // when the last push ended in a way that counts against the server
	failingSince    policy.Micros // start of the first of the pushes counted in failures
	badSince        policy.Micros // start of the first bad push of a series with gaps of maxEvidenceAge at most
	lastEnd         policy.Micros // when the last push that counts as evidence ended
	failures        int           // consecutive pushes without an answer
	errored, full   outcomeShare
	lost            outcomeShare
	relativeLatency float64                         // moving average of answer times, as a multiple of their category's typical one
	inFlight        int                             // pushes that have not ended
	sentAt          [maxTrackedPushes]policy.Micros // when pushes in flight were sent, for as many as are tracked
	overdueAt       [maxTrackedPushes]policy.Micros // when each of them becomes overdue
	reported        Condition                       // by the last report
	reportedAt      policy.Micros
}

// outcomeShare is a moving average of how many of the recent pushes to a server ended with a given outcome.
type outcomeShare struct {
	value   float64
	samples int
}

const (
	// averagingWindow is the number of push ends that the moving averages of a server span.
	averagingWindow = 6
	// minSamples is the number of push ends below which an outcomeShare is not used.
	minSamples = 3
	// slowLatencyRatio is the relative latency above which a server is slow.
	slowLatencyRatio = 4.0
	// maxTrackedPushes is the number of pushes in flight to one server whose times are tracked.
	maxTrackedPushes = 8
	// overdueLatencyFactor is the multiple of its category's typical answer time after which a push counts against its server.
	// One overdue push on one node proves little, but several nodes with an overdue push to the same server at the same time
	// show a failure sooner than any timeout.
	overdueLatencyFactor = 4
	// minOverdueDelay is the least time after which a push is overdue, however short the typical answer time is.
	minOverdueDelay = 50 * policy.Millisecond
)

func (s *outcomeShare) add(matches bool) {
	sample := 0.0
	if matches {
		sample = 1
	}
	s.samples++
	s.value += (sample - s.value) / float64(min(s.samples, averagingWindow))
}

func (s *outcomeShare) exceeds(bound float64) bool {
	return s.samples >= minSamples && s.value > bound
}

// LocalDetector derives the condition of servers from the node's own pushes. It is not safe for concurrent use. Recording a
// push allocates no memory.
type LocalDetector struct {
	servers        map[policy.ServerID]*ServerEvidence
	typicalLatency []float64 // of each category: moving average over about 64 answer times, in microseconds
}

// NewLocalDetector returns a detector that knows no servers yet.
func NewLocalDetector() *LocalDetector {
	return &LocalDetector{servers: make(map[policy.ServerID]*ServerEvidence)}
}

// SetServers drops the evidence on servers that are not in the list and adds new ones. A server whose start time in the list
// differs from the one that startedBefore returns has restarted: the evidence on it is reset.
func (d *LocalDetector) SetServers(list []policy.ListEntry, startedBefore func(policy.ServerID) policy.Micros) {
	listed := make(map[policy.ServerID]bool, len(list))
	for _, entry := range list {
		listed[entry.Server] = true
		if known := d.servers[entry.Server]; known == nil || startedBefore(entry.Server) != entry.StartedAt {
			d.servers[entry.Server] = &ServerEvidence{relativeLatency: 1}
		}
	}
	for server := range d.servers {
		if !listed[server] {
			delete(d.servers, server)
		}
	}
}

// PushSent records that a push was sent.
func (d *LocalDetector) PushSent(now policy.Micros, server policy.ServerID, category policy.CategoryID) {
	e := d.servers[server]
	if e == nil {
		return
	}
	if e.inFlight < maxTrackedPushes {
		e.sentAt[e.inFlight] = now
		e.overdueAt[e.inFlight] = policy.Micros(1 << 62) // never, as long as no answer of the category has been timed
		if int(category) < len(d.typicalLatency) && d.typicalLatency[category] > 0 {
			e.overdueAt[e.inFlight] = now + max(minOverdueDelay, policy.Micros(overdueLatencyFactor*d.typicalLatency[category]))
		}
	}
	e.inFlight++
}

// removeInFlight removes one push from those in flight: of the tracked ones, the one sent closest to the given time.
func (e *ServerEvidence) removeInFlight(sentAt policy.Micros) {
	if e.inFlight == 0 {
		return
	}
	tracked := min(e.inFlight, maxTrackedPushes)
	nearest := 0
	for i := 1; i < tracked; i++ {
		if abs(e.sentAt[i]-sentAt) < abs(e.sentAt[nearest]-sentAt) {
			nearest = i
		}
	}
	e.sentAt[nearest] = e.sentAt[tracked-1]
	e.overdueAt[nearest] = e.overdueAt[tracked-1]
	e.inFlight--
}

func abs(t policy.Micros) policy.Micros { return max(t, -t) }

// overdueSince returns when the oldest overdue push was sent, counting only pushes after which the server has not answered
// any other, or 0 if there is none.
func (e *ServerEvidence) overdueSince(now policy.Micros) (since policy.Micros) {
	for i := range min(e.inFlight, maxTrackedPushes) {
		if now > e.overdueAt[i] && e.lastGood < e.sentAt[i] && (since == 0 || e.sentAt[i] < since) {
			since = e.sentAt[i]
		}
	}
	return since
}

// PushEnded records the outcome of a push and the time it took.
func (d *LocalDetector) PushEnded(now policy.Micros, server policy.ServerID, category policy.CategoryID, outcome policy.Outcome, took policy.Micros) {
	e := d.servers[server]
	if e == nil {
		return
	}
	e.removeInFlight(now - took)
	if outcome == policy.Cancelled || outcome == policy.Moot {
		return
	}
	e.lastEnd = now
	if outcome != policy.Acked && (e.lastBad == 0 || now-e.lastBad > maxEvidenceAge) {
		e.badSince = now - took
	}
	switch outcome {
	case policy.Acked:
		e.lastGood = now
		e.failures = 0
		e.failingSince = 0
		d.recordLatency(e, category, float64(took))
	case policy.TimedOut, policy.ConnectFailed, policy.Reset:
		// A timeout of a push sent before the last answer arrived says nothing about the present state of the server. A
		// timeout of one sent later does, and so does a failed connection or a reset.
		if outcome != policy.TimedOut || e.lastGood < now-took {
			e.failures++
			if e.failures == 1 {
				e.failingSince = now - took
			}
		}
		e.lastBad = now
	case policy.Errored, policy.Full:
		e.lastBad = now
		e.failures = 0 // the server has answered
	}
	e.errored.add(outcome == policy.Errored)
	e.full.add(outcome == policy.Full)
	e.lost.add(outcome == policy.TimedOut || outcome == policy.Reset)
}

// recordLatency updates the typical answer time of a category and the relative latency of a server.
func (d *LocalDetector) recordLatency(e *ServerEvidence, category policy.CategoryID, took float64) {
	for len(d.typicalLatency) <= int(category) {
		d.typicalLatency = append(d.typicalLatency, 0)
	}
	typical := &d.typicalLatency[category]
	if *typical == 0 {
		*typical = max(1, took)
	}
	e.relativeLatency += (took / *typical - e.relativeLatency) / averagingWindow
	*typical = max(1, *typical+(took-*typical)/64)
}

// condition derives the condition of the server from the evidence.
func (e *ServerEvidence) condition(now policy.Micros) Condition {
	switch {
	case e.failures > 0:
		return Down
	case e.overdueSince(now) > 0:
		return Silent
	case e.errored.exceeds(1.0 / 2):
		return Failing
	case e.full.exceeds(1.0 / 2):
		return Full
	case e.lost.exceeds(1.0 / 4):
		return LosingAnswers
	case e.relativeLatency > slowLatencyRatio:
		return Slow
	}
	return Healthy
}

// Condition returns the condition of a server by the node's own evidence, and the time of the last answer from it. If no push
// to the server is overdue and none has ended in the last two seconds (ownEvidenceMaxAge), it returns Healthy and 0.
func (d *LocalDetector) Condition(now policy.Micros, server policy.ServerID) (condition Condition, answeredAt policy.Micros) {
	e := d.servers[server]
	if e == nil || e.overdueSince(now) == 0 && (e.lastEnd == 0 || now-e.lastEnd > ownEvidenceMaxAge) {
		return Healthy, 0
	}
	return e.condition(now), e.lastGood
}

// repeatInterval is the least time between two reports of the same condition of a server.
const repeatInterval = policy.Second

// DueReports returns the reports that the node has to make now: on servers in a bad condition as long as there is new
// evidence, and on healthy ones that the node had reported otherwise, or that peers report as unhealthy. Reports that would
// repeat what enough peers have reported are left out.
func (d *LocalDetector) DueReports(now policy.Micros, nodeNumber uint16, table *ReportTable) (reports []Report) {
	for server, e := range d.servers {
		overdueSince := e.overdueSince(now)
		if overdueSince == 0 && (e.lastEnd == 0 || now-e.lastEnd > maxEvidenceAge) {
			continue
		}
		condition := e.condition(now)
		evidenceAt := e.lastBad
		if overdueSince > 0 {
			evidenceAt = now
		}
		if condition == Healthy || condition == Slow {
			evidenceAt = e.lastGood
		}
		changed := condition != e.reported
		repeat := evidenceAt > e.reportedAt && now-e.reportedAt >= repeatInterval && (condition != Healthy || table.ReportedUnhealthy(now, server))
		if !changed && !repeat {
			continue
		}
		if condition != Healthy && e.reported == Healthy && table.Redundant(now, server, condition) {
			continue
		}
		if condition == e.reported && table.Redundant(now, server, condition) {
			continue
		}
		e.sequence++
		e.reported = condition
		e.reportedAt = now
		report := Report{Server: server, Sequence: e.sequence, Condition: condition, NodeNumber: nodeNumber, Age: max(0, now-evidenceAt)}
		switch condition {
		case Silent:
			report.Duration = evidenceAt - overdueSince
		case Down:
			report.Duration = max(0, evidenceAt-e.failingSince)
		case Failing, Full, LosingAnswers:
			report.Duration = max(0, evidenceAt-e.badSince)
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, compareReports)
	return reports
}
