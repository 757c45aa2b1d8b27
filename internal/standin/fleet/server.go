// Package fleet is the model of a stand-in server: cores, a bounded queue, the jam, a cold start and tipping over,
// and the memory by which a group drops repeats. It does no I/O and has no clock: time is passed in. The same model
// stands behind servers on sockets and in simulated time.
package fleet

import (
	"math"

	"canvasrouter/policy"
)

// Never is a time that does not come.
const Never = policy.Micros(math.MaxInt64)

// Traits are what a server is.
type Spec struct {
	Cores            int
	Speed            float64 // of a core; work of 1 ms takes 1 ms at speed 1
	QueueLimit       int     // ops that may wait; further ones are turned away
	JamQueuePerCore  float64 // ops waiting per core that jam it; 0: never
	JamDelay         policy.Micros
	JamSlowdown      float64
	JamRecoveryTime  policy.Micros // mostly idle for so long ends the jam
	CrowdingPerCore  float64       // jobs in hand per core over which each takes longer; 0: never
	CrowdingSlowdown float64       // times longer, for each such number more
	ColdStart        ColdStart
}

// Cold is how a server starts, and what pushes it over while it is cold.
type ColdStart struct {
	InitialShare   float64 // share of the capacity at the start; it rises evenly to all of it
	WarmUpTime     policy.Micros
	OverloadFactor float64 // sent more than this multiple of the present capacity
	OverloadWindow policy.Micros
	MeanWork       policy.Micros // work of a mean op: its budget is counted in such ops
}

// Chance is how many ops beyond a budget of n are put down to chance (the operators' figure).
func ChanceAllowance(n float64) float64 { return 2*math.Sqrt(n) + 2 }

// Job is one push at a server.
type Job struct {
	Work       policy.Micros // at a core of speed 1
	StartKnown bool          // its node had been told of the server's last start
	Context    any           // whoever hands it in

	begun, running, over bool
	ends                 policy.Micros
}

// Begun says that a core has taken the job: it may have had an effect.
func (j *Job) Started() bool { return j.begun }

// Server is the state of one server. The zero value is not one; use New.
type Server struct {
	Spec
	running, waiting []*Job
	held             int // jobs whose own work is over, and that hold their core until Release
	started          policy.Micros
	cold             bool // started during the run
	slow             float64
	stalled          policy.Micros // until then nothing moves
	crowded, idle    policy.Micros // since when; Never: not
	jammed           bool
	tipped           bool
	sent             []pressure
	window, told     policy.Micros // work in sent
	pressed          float64       // the fullest window so far, as a share of what the server bears
	busy             policy.Micros // core time used
}

// pressure is one push as it bears on a cold server.
type pressure struct {
	at, work policy.Micros
	told     bool
}

// New makes a server that has been up for long.
func New(traits Spec) *Server {
	return &Server{Spec: traits, slow: 1, crowded: Never, idle: Never}
}

// Start starts the server anew, cold and empty.
func (s *Server) RestartCold(now policy.Micros) {
	*s = Server{Spec: s.Spec, slow: s.slow, crowded: Never, idle: Never, started: now, cold: true, busy: s.busy}
}

// Crash gives the jobs that were in hand; none of them ends.
func (s *Server) Crash() []*Job {
	lost := append(append([]*Job(nil), s.running...), s.waiting...)
	for _, j := range lost {
		j.over, j.running = true, false
	}
	s.running, s.waiting, s.held = nil, nil, 0
	return lost
}

// Slow sets how many times slower jobs run that begin from now on.
func (s *Server) SetSlowdown(factor float64) { s.slow = factor }

// Stall keeps everything still until a moment.
func (s *Server) Stall(now, until policy.Micros) {
	until = max(until, s.stalled)
	for _, j := range s.running {
		j.ends += until - max(now, s.stalled)
	}
	s.stalled = until
}

// Capacity is the share of its speed that the server has now.
func (s *Server) Capacity(now policy.Micros) float64 {
	if !s.cold || now >= s.started+s.ColdStart.WarmUpTime {
		return 1
	}
	return s.ColdStart.InitialShare + (1-s.ColdStart.InitialShare)*float64(now-s.started)/float64(s.ColdStart.WarmUpTime)
}

// Busy is the core time used so far. Waiting and Running are jobs in hand.
func (s *Server) CoreTime() policy.Micros { return s.busy }
func (s *Server) Waiting() int            { return len(s.waiting) }
func (s *Server) Running() int            { return len(s.running) + s.held }
func (s *Server) Jammed() bool            { return s.jammed }
func (s *Server) Collapsed() bool         { return s.tipped }

// Pressed is the fullest window since the server last started cold, as a share of its budget and what is put down to chance:
// above 1 it fell over.
func (s *Server) PeakLoad() float64 { return s.pressed }

// Arrival says what became of a push.
type ArrivalResult uint8

const (
	Accepted              ArrivalResult = iota
	Rejected                            // never runs
	CollapsedByInformed                 // this one pushes the server over, most of it by nodes that knew: the rule is broken
	CollapsedByUninformed               // it falls over, and most of it came from nodes that could not know
)

// Arrive takes a push, or turns it away. One that is turned away bears on a cold server all the same.
func (s *Server) Arrive(now policy.Micros, j *Job) ArrivalResult {
	if s.tipped {
		return Rejected
	}
	if tips := s.press(now, j); tips != Accepted {
		s.tipped = true
		return tips
	}
	if len(s.running)+s.held >= s.Cores && len(s.waiting) >= s.QueueLimit {
		s.load(now)
		return Rejected
	}
	s.waiting = append(s.waiting, j)
	s.begin(now)
	return Accepted
}

// press adds a push to what a cold server bears, and says whether it falls over.
func (s *Server) press(now policy.Micros, j *Job) ArrivalResult {
	if !s.cold || s.ColdStart.OverloadFactor <= 0 || now >= s.started+s.ColdStart.WarmUpTime {
		return Accepted
	}
	s.sent = append(s.sent, pressure{now, j.Work, j.StartKnown})
	s.window += j.Work
	if j.StartKnown {
		s.told += j.Work
	}
	drop := 0
	for _, p := range s.sent {
		if p.at > now-s.ColdStart.OverloadWindow {
			break
		}
		s.window -= p.work
		if p.told {
			s.told -= p.work
		}
		drop++
	}
	s.sent = s.sent[drop:]
	budget := s.ColdStart.OverloadFactor * s.Capacity(now) * float64(s.Cores) * s.Speed * float64(s.ColdStart.OverloadWindow) / float64(s.ColdStart.MeanWork)
	share := float64(s.window) / float64(s.ColdStart.MeanWork) / (budget + ChanceAllowance(budget))
	s.pressed = max(s.pressed, share)
	if share <= 1 {
		return Accepted
	}
	if s.told*3 >= s.window*2 {
		return CollapsedByInformed
	}
	return CollapsedByUninformed
}

// begin gives free cores to those that wait.
func (s *Server) begin(now policy.Micros) {
	for len(s.waiting) > 0 && len(s.running)+s.held < s.Cores {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		speed := s.Speed * s.Capacity(now) / s.slow
		if s.jammed {
			speed /= s.JamSlowdown
		}
		if most := s.CrowdingPerCore * float64(s.Cores); most > 0 {
			speed /= 1 + s.CrowdingSlowdown*max(0, float64(len(s.running)+s.held+1+len(s.waiting))-most)/most
		}
		took := max(1, policy.Micros(float64(j.Work)/speed))
		j.begun, j.running, j.ends = true, true, max(now, s.stalled)+took
		s.busy += took
		s.running = append(s.running, j)
	}
	s.load(now)
}

// load follows the jam: it comes when too many wait for too long, and goes when the server is mostly idle.
func (s *Server) load(now policy.Micros) {
	if s.JamQueuePerCore <= 0 {
		return
	}
	if float64(len(s.waiting)) <= s.JamQueuePerCore*float64(s.Cores) {
		s.crowded = Never
	} else if s.crowded == Never {
		s.crowded = now
	}
	if s.crowded != Never && now-s.crowded >= s.JamDelay {
		s.jammed = true
	}
	if 2*(len(s.running)+s.held) > s.Cores || len(s.waiting) > 0 {
		s.idle = Never
	} else if s.idle == Never {
		s.idle = now
	}
	if s.jammed && s.idle != Never && now-s.idle >= s.JamRecoveryTime {
		s.jammed = false
	}
}

// Next is when the next job's own work is over.
func (s *Server) NextCompletion() policy.Micros {
	next := Never
	for _, j := range s.running {
		next = min(next, j.ends)
	}
	return next
}

// Advance gives the jobs whose own work is over by now, in the order of their ends. Each holds its core until
// Release: a server keeps the place of an op that waits for the next tier.
func (s *Server) Advance(now policy.Micros) (done []*Job) {
	for {
		at := -1
		for i, j := range s.running {
			if j.ends <= now && (at < 0 || j.ends < s.running[at].ends) {
				at = i
			}
		}
		if at < 0 {
			s.load(now)
			return done
		}
		j := s.running[at]
		s.running = append(s.running[:at], s.running[at+1:]...)
		j.running = false
		s.held++
		done = append(done, j)
	}
}

// Release gives a job's core back, once.
func (s *Server) Release(now policy.Micros, j *Job) {
	if j.over {
		return
	}
	j.over = true
	s.held--
	s.begin(now)
}

// Leave drops a job that still waits; one that runs is not stopped. It says whether the job will never run.
func (s *Server) Cancel(now policy.Micros, j *Job) bool {
	for i, w := range s.waiting {
		if w == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			j.over = true
			s.load(now)
			return true
		}
	}
	return false
}

// Memory is what a group of servers remembers of deduplicated ops.
type DedupMemory struct {
	window policy.Micros
	first  map[string]policy.Micros
}

// NewMemory makes a group's memory, in which an op stays for window from its first arrival.
func NewDedupMemory(window policy.Micros) *DedupMemory {
	return &DedupMemory{window: window, first: make(map[string]policy.Micros)}
}

// Repeat says that the op is a repeat, to be answered and not run again. The first is remembered; one tick past its
// window it would run again.
func (m *DedupMemory) CheckAndRemember(now policy.Micros, key string) bool {
	if first, known := m.first[key]; known && now-first <= m.window {
		return true
	}
	m.first[key] = now
	return false
}

// Forget takes back what was remembered of an op that never ran.
func (m *DedupMemory) Forget(key string) { delete(m.first, key) }
