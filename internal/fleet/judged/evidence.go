package judged

import (
	"slices"

	"canvasrouter/policy"
)

// Evidence is what a node has seen itself of one server.
type ServerEvidence struct {
	number       uint32        // of the reports that it has made
	good, bad    policy.Micros // last answer; last end that speaks against it
	since        policy.Micros // first bad one after the last good one
	badFrom      policy.Micros // first bad one of those that came less than fresh apart
	ended        policy.Micros
	failures     int // in a row, without an answer
	errors, full share
	lost         share
	pace         float64                // recent answer times, as a multiple of their category's
	out          int                    // pushes without an end
	sent         [mostOut]policy.Micros // when they went out, as many as are kept
	late         [mostOut]policy.Micros // from when on each is overdue
	said         Condition              // last
	saidAt       policy.Micros
}

// share is how many of the recent ends were of a kind.
type share struct {
	value float64
	n     int
}

const (
	memory   = 6 // recent ends
	leastFew = 3 // ends, before a share tells
	slowFrom = 4.0
	mostOut  = 8
	// overdue is how many times the usual answer time of its category a push is out before that speaks against its server;
	// one node's is little, several nodes' at one server in the same moment is news that no time-out brings so soon.
	overdue = 4
	// leastLate is the least that counts as overdue.
	leastLate = 50 * policy.Millisecond
)

func (s *share) add(is bool) {
	x := 0.0
	if is {
		x = 1
	}
	s.n++
	s.value += (x - s.value) / float64(min(s.n, memory))
}

func (s *share) over(bound float64) bool { return s.n >= leastFew && s.value > bound }

// Log is a node's own evidence. One goroutine uses it at a time; adding to what is known allocates nothing.
type LocalDetector struct {
	servers map[policy.ServerID]*ServerEvidence
	usual   []float64 // recent answer time of each category, in microseconds
}

// NewLog makes a log.
func NewLocalDetector() *LocalDetector {
	return &LocalDetector{servers: make(map[policy.ServerID]*ServerEvidence)}
}

// Follow keeps to the servers listed. One that starts anew has no past.
func (l *LocalDetector) SetServers(list []policy.ListEntry, started func(policy.ServerID) policy.Micros) {
	listed := make(map[policy.ServerID]bool, len(list))
	for _, e := range list {
		listed[e.Server] = true
		if o := l.servers[e.Server]; o == nil || started(e.Server) != e.StartedAt {
			l.servers[e.Server] = &ServerEvidence{pace: 1}
		}
	}
	for server := range l.servers {
		if !listed[server] {
			delete(l.servers, server)
		}
	}
}

// Sent takes in that a push goes out.
func (l *LocalDetector) PushSent(now policy.Micros, server policy.ServerID, category policy.CategoryID) {
	e := l.servers[server]
	if e == nil {
		return
	}
	if e.out < mostOut {
		e.sent[e.out], e.late[e.out] = now, policy.Micros(1<<62)
		if int(category) < len(l.usual) && l.usual[category] > 0 {
			e.late[e.out] = now + max(leastLate, policy.Micros(overdue*l.usual[category]))
		}
	}
	e.out++
}

// back takes a push off those that are out: the one that was sent nearest to so long ago.
func (e *ServerEvidence) back(sent policy.Micros) {
	if e.out == 0 {
		return
	}
	kept := min(e.out, mostOut)
	nearest := 0
	for i := 1; i < kept; i++ {
		if abs(e.sent[i]-sent) < abs(e.sent[nearest]-sent) {
			nearest = i
		}
	}
	e.sent[nearest], e.late[nearest] = e.sent[kept-1], e.late[kept-1]
	e.out--
}

func abs(t policy.Micros) policy.Micros { return max(t, -t) }

// silent is since when a push is out that is overdue, with no answer from the server since; 0: none is.
func (e *ServerEvidence) silent(now policy.Micros) (since policy.Micros) {
	for i := range min(e.out, mostOut) {
		if now > e.late[i] && e.good < e.sent[i] && (since == 0 || e.sent[i] < since) {
			since = e.sent[i]
		}
	}
	return since
}

// Ended takes in the end of a push: how, after how long.
func (l *LocalDetector) PushEnded(now policy.Micros, server policy.ServerID, category policy.CategoryID, outcome policy.Outcome, took policy.Micros) {
	e := l.servers[server]
	if e == nil {
		return
	}
	e.back(now - took)
	if outcome == policy.Cancelled || outcome == policy.Moot {
		return
	}
	e.ended = now
	if outcome != policy.Acked && (e.bad == 0 || now-e.bad > fresh) {
		e.badFrom = now - took
	}
	switch outcome {
	case policy.Acked:
		e.good, e.failures, e.since = now, 0, 0
		l.paced(e, category, float64(took))
	case policy.TimedOut, policy.ConnectFailed, policy.Reset:
		// A push that went out before the last answer came says nothing of now; another that was lost meanwhile does.
		if outcome != policy.TimedOut || e.good < now-took {
			if e.failures++; e.failures == 1 {
				e.since = now - took
			}
		}
		e.bad = now
	case policy.Errored, policy.Full:
		e.bad, e.failures = now, 0 // it speaks
	}
	e.errors.add(outcome == policy.Errored)
	e.full.add(outcome == policy.Full)
	e.lost.add(outcome == policy.TimedOut || outcome == policy.Reset)
}

// paced learns how long answers of a category take, here and at this server.
func (l *LocalDetector) paced(e *ServerEvidence, category policy.CategoryID, took float64) {
	for len(l.usual) <= int(category) {
		l.usual = append(l.usual, 0)
	}
	usual := &l.usual[category]
	if *usual == 0 {
		*usual = max(1, took)
	}
	e.pace += (took / *usual - e.pace) / memory
	*usual = max(1, *usual+(took-*usual)/64)
}

// ill is what the evidence says.
func (e *ServerEvidence) ill(now policy.Micros) Condition {
	switch {
	case e.failures > 0:
		return Down
	case e.silent(now) > 0:
		return Silent
	case e.errors.over(1.0 / 2):
		return Failing
	case e.full.over(1.0 / 2):
		return Full
	case e.lost.over(1.0 / 4):
		return LosingAnswers
	case e.pace > slowFrom:
		return Slow
	}
	return Healthy
}

// Own is a node's own finding on a server, and when it had an answer there last; 0: never, or not for long.
func (l *LocalDetector) Condition(now policy.Micros, server policy.ServerID) (ill Condition, answered policy.Micros) {
	e := l.servers[server]
	if e == nil || e.silent(now) == 0 && (e.ended == 0 || now-e.ended > ownFresh) {
		return Healthy, 0
	}
	return e.ill(now), e.good
}

// sayAgain is how often a finding that holds is said anew, while evidence for it comes.
const sayAgain = policy.Second

// Say gives the reports that a node now has to make: what it finds bad while there is evidence, and what it finds well
// where it had said otherwise, or others do.
func (l *LocalDetector) DueReports(now policy.Micros, node uint16, book *ReportTable) (all []Report) {
	for server, e := range l.servers {
		silent := e.silent(now)
		if silent == 0 && (e.ended == 0 || now-e.ended > fresh) {
			continue
		}
		ill := e.ill(now)
		at := e.bad
		if silent > 0 {
			at = now
		}
		if ill == Healthy || ill == Slow {
			at = e.good
		}
		changed := ill != e.said
		again := at > e.saidAt && now-e.saidAt >= sayAgain && (ill != Healthy || book.ReportedUnhealthy(now, server))
		if !changed && !again {
			continue
		}
		if ill != Healthy && e.said == Healthy && book.Redundant(now, server, ill) {
			continue
		}
		if ill == e.said && book.Redundant(now, server, ill) {
			continue
		}
		e.number++
		e.said, e.saidAt = ill, now
		r := Report{Server: server, Sequence: e.number, Condition: ill, NodeNumber: node, Age: max(0, now-at)}
		switch ill {
		case Silent:
			r.Duration = at - silent
		case Down:
			r.Duration = max(0, at-e.since)
		case Failing, Full, LosingAnswers:
			r.Duration = max(0, at-e.badFrom)
		}
		all = append(all, r)
	}
	slices.SortFunc(all, compare)
	return all
}
