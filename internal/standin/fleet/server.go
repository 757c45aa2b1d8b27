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
func ChanceAllowance(budget float64) float64 { return 2*math.Sqrt(budget) + 2 }

// Job is one push at a server.
type Job struct {
	Work       policy.Micros // at a core of speed 1
	StartKnown bool          // its node had been told of the server's last start
	Context    any           // whoever hands it in

	started, running, finished bool
	endsAt                     policy.Micros
}

// Begun says that a core has taken the job: it may have had an effect.
func (j *Job) Started() bool { return j.started }

// Server is the state of one server. The zero value is not one; use New.
type Server struct {
	Spec
	running, waiting         []*Job
	awaitingRelease          int // jobs whose own work is over, and that hold their core until Release
	startedAt                policy.Micros
	coldStarted              bool // started during the run
	slowdown                 float64
	stalledUntil             policy.Micros // until then nothing moves
	crowdedSince, idleSince  policy.Micros // since when; Never: not
	jammed                   bool
	collapsed                bool
	coldPushes               []coldPush
	windowWork, informedWork policy.Micros // work in sent
	peakLoad                 float64       // the fullest window so far, as a share of what the server bears
	coreTime                 policy.Micros // core time used
}

// pressure is one push as it bears on a cold server.
type coldPush struct {
	at, work   policy.Micros
	startKnown bool
}

// New makes a server that has been up for long.
func New(spec Spec) *Server {
	return &Server{Spec: spec, slowdown: 1, crowdedSince: Never, idleSince: Never}
}

// Start starts the server anew, cold and empty.
func (s *Server) RestartCold(now policy.Micros) {
	*s = Server{Spec: s.Spec, slowdown: s.slowdown, crowdedSince: Never, idleSince: Never, startedAt: now, coldStarted: true, coreTime: s.coreTime}
}

// Crash gives the jobs that were in hand; none of them ends.
func (s *Server) Crash() []*Job {
	lost := append(append([]*Job(nil), s.running...), s.waiting...)
	for _, j := range lost {
		j.finished, j.running = true, false
	}
	s.running, s.waiting, s.awaitingRelease = nil, nil, 0
	return lost
}

// Slow sets how many times slower jobs run that begin from now on.
func (s *Server) SetSlowdown(factor float64) { s.slowdown = factor }

// Stall keeps everything still until a moment.
func (s *Server) Stall(now, until policy.Micros) {
	until = max(until, s.stalledUntil)
	for _, j := range s.running {
		j.endsAt += until - max(now, s.stalledUntil)
	}
	s.stalledUntil = until
}

// Capacity is the share of its speed that the server has now.
func (s *Server) Capacity(now policy.Micros) float64 {
	if !s.coldStarted || now >= s.startedAt+s.ColdStart.WarmUpTime {
		return 1
	}
	return s.ColdStart.InitialShare + (1-s.ColdStart.InitialShare)*float64(now-s.startedAt)/float64(s.ColdStart.WarmUpTime)
}

// Busy is the core time used so far. Waiting and Running are jobs in hand.
func (s *Server) CoreTime() policy.Micros { return s.coreTime }
func (s *Server) Waiting() int            { return len(s.waiting) }
func (s *Server) Running() int            { return len(s.running) + s.awaitingRelease }
func (s *Server) Jammed() bool            { return s.jammed }
func (s *Server) Collapsed() bool         { return s.collapsed }

// Pressed is the fullest window since the server last started cold, as a share of its budget and what is put down to chance:
// above 1 it fell over.
func (s *Server) PeakLoad() float64 { return s.peakLoad }

// Arrival says what became of a push.
type ArrivalResult uint8

const (
	Accepted              ArrivalResult = iota
	Rejected                            // never runs
	CollapsedByInformed                 // this one pushes the server over, most of it by nodes that knew: the rule is broken
	CollapsedByUninformed               // it falls over, and most of it came from nodes that could not know
)

// Arrive takes a push, or turns it away. One that is turned away bears on a cold server all the same.
func (s *Server) Arrive(now policy.Micros, job *Job) ArrivalResult {
	if s.collapsed {
		return Rejected
	}
	if result := s.addColdLoad(now, job); result != Accepted {
		s.collapsed = true
		return result
	}
	if len(s.running)+s.awaitingRelease >= s.Cores && len(s.waiting) >= s.QueueLimit {
		s.updateJam(now)
		return Rejected
	}
	s.waiting = append(s.waiting, job)
	s.startWaiting(now)
	return Accepted
}

// press adds a push to what a cold server bears, and says whether it falls over.
func (s *Server) addColdLoad(now policy.Micros, job *Job) ArrivalResult {
	if !s.coldStarted || s.ColdStart.OverloadFactor <= 0 || now >= s.startedAt+s.ColdStart.WarmUpTime {
		return Accepted
	}
	s.coldPushes = append(s.coldPushes, coldPush{now, job.Work, job.StartKnown})
	s.windowWork += job.Work
	if job.StartKnown {
		s.informedWork += job.Work
	}
	expired := 0
	for _, push := range s.coldPushes {
		if push.at > now-s.ColdStart.OverloadWindow {
			break
		}
		s.windowWork -= push.work
		if push.startKnown {
			s.informedWork -= push.work
		}
		expired++
	}
	s.coldPushes = s.coldPushes[expired:]
	budget := s.ColdStart.OverloadFactor * s.Capacity(now) * float64(s.Cores) * s.Speed * float64(s.ColdStart.OverloadWindow) / float64(s.ColdStart.MeanWork)
	load := float64(s.windowWork) / float64(s.ColdStart.MeanWork) / (budget + ChanceAllowance(budget))
	s.peakLoad = max(s.peakLoad, load)
	if load <= 1 {
		return Accepted
	}
	if s.informedWork*3 >= s.windowWork*2 {
		return CollapsedByInformed
	}
	return CollapsedByUninformed
}

// begin gives free cores to those that wait.
func (s *Server) startWaiting(now policy.Micros) {
	for len(s.waiting) > 0 && len(s.running)+s.awaitingRelease < s.Cores {
		job := s.waiting[0]
		s.waiting = s.waiting[1:]
		speed := s.Speed * s.Capacity(now) / s.slowdown
		if s.jammed {
			speed /= s.JamSlowdown
		}
		if threshold := s.CrowdingPerCore * float64(s.Cores); threshold > 0 {
			speed /= 1 + s.CrowdingSlowdown*max(0, float64(len(s.running)+s.awaitingRelease+1+len(s.waiting))-threshold)/threshold
		}
		duration := max(1, policy.Micros(float64(job.Work)/speed))
		job.started, job.running, job.endsAt = true, true, max(now, s.stalledUntil)+duration
		s.coreTime += duration
		s.running = append(s.running, job)
	}
	s.updateJam(now)
}

// load follows the jam: it comes when too many wait for too long, and goes when the server is mostly idle.
func (s *Server) updateJam(now policy.Micros) {
	if s.JamQueuePerCore <= 0 {
		return
	}
	if float64(len(s.waiting)) <= s.JamQueuePerCore*float64(s.Cores) {
		s.crowdedSince = Never
	} else if s.crowdedSince == Never {
		s.crowdedSince = now
	}
	if s.crowdedSince != Never && now-s.crowdedSince >= s.JamDelay {
		s.jammed = true
	}
	if 2*(len(s.running)+s.awaitingRelease) > s.Cores || len(s.waiting) > 0 {
		s.idleSince = Never
	} else if s.idleSince == Never {
		s.idleSince = now
	}
	if s.jammed && s.idleSince != Never && now-s.idleSince >= s.JamRecoveryTime {
		s.jammed = false
	}
}

// Next is when the next job's own work is over.
func (s *Server) NextCompletion() policy.Micros {
	next := Never
	for _, j := range s.running {
		next = min(next, j.endsAt)
	}
	return next
}

// Advance gives the jobs whose own work is over by now, in the order of their ends. Each holds its core until
// Release: a server keeps the place of an op that waits for the next tier.
func (s *Server) Advance(now policy.Micros) (done []*Job) {
	for {
		earliest := -1
		for i, job := range s.running {
			if job.endsAt <= now && (earliest < 0 || job.endsAt < s.running[earliest].endsAt) {
				earliest = i
			}
		}
		if earliest < 0 {
			s.updateJam(now)
			return done
		}
		job := s.running[earliest]
		s.running = append(s.running[:earliest], s.running[earliest+1:]...)
		job.running = false
		s.awaitingRelease++
		done = append(done, job)
	}
}

// Release gives a job's core back, once.
func (s *Server) Release(now policy.Micros, job *Job) {
	if job.finished {
		return
	}
	job.finished = true
	s.awaitingRelease--
	s.startWaiting(now)
}

// Leave drops a job that still waits; one that runs is not stopped. It says whether the job will never run.
func (s *Server) Cancel(now policy.Micros, job *Job) bool {
	for i, waiting := range s.waiting {
		if waiting == job {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			job.finished = true
			s.updateJam(now)
			return true
		}
	}
	return false
}

// Memory is what a group of servers remembers of deduplicated ops.
type DedupMemory struct {
	window    policy.Micros
	firstSeen map[string]policy.Micros
}

// NewMemory makes a group's memory, in which an op stays for window from its first arrival.
func NewDedupMemory(window policy.Micros) *DedupMemory {
	return &DedupMemory{window: window, firstSeen: make(map[string]policy.Micros)}
}

// Repeat says that the op is a repeat, to be answered and not run again. The first is remembered; one tick past its
// window it would run again.
func (m *DedupMemory) CheckAndRemember(now policy.Micros, key string) bool {
	if seenAt, seen := m.firstSeen[key]; seen && now-seenAt <= m.window {
		return true
	}
	m.firstSeen[key] = now
	return false
}

// Forget takes back what was remembered of an op that never ran.
func (m *DedupMemory) Forget(key string) { delete(m.firstSeen, key) }
