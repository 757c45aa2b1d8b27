// Package servermodel models a stand-in server: its cores, its bounded queue, jams under long queues, the cold start and the
// collapse of an overloaded cold server. It also models the memory by which a group of servers drops duplicate ops.
//
// The package does no I/O and has no clock: callers pass the time in. The same model serves the servers on sockets and
// those in simulated time.
package servermodel

import (
	"math"

	"canvasrouter/policy"
)

// Never is later than every time that occurs.
const Never = policy.Micros(math.MaxInt64)

// Spec holds the fixed properties of a server.
type Spec struct {
	Cores            int
	Speed            float64       // of a core; work of 1 ms takes 1 ms at speed 1
	QueueLimit       int           // ops that may wait; further ones are rejected
	JamQueuePerCore  float64       // more waiting ops per core than this jam the server; 0: it never jams
	JamDelay         policy.Micros // how long the queue must be that long before the server is jammed
	JamSlowdown      float64       // factor by which jobs take longer in a jammed server
	JamRecoveryTime  policy.Micros // how long the server must be mostly idle before the jam ends
	CrowdingPerCore  float64       // jobs running and waiting per core above which each job takes longer; 0: no such effect
	CrowdingSlowdown float64       // extra time, as a share, for each further CrowdingPerCore jobs per core
	ColdStart        ColdStart
}

// ColdStart describes how the capacity of a restarted server rises, and which load makes it collapse meanwhile.
type ColdStart struct {
	InitialShare   float64       // share of the full capacity at the start; it rises linearly to 1
	WarmUpTime     policy.Micros // time until the full capacity is reached
	OverloadFactor float64       // multiple of the present capacity above which the server collapses; 0: it never does
	OverloadWindow policy.Micros // time over which the arriving work is summed up
	MeanWork       policy.Micros // work of an average op: the unit of the budget
}

// ChanceAllowance returns how many ops beyond the budget are attributed to random variation. The operators of the
// servers define the formula.
func ChanceAllowance(budget float64) float64 { return 2*math.Sqrt(budget) + 2 }

// Job is one push as a server processes it.
type Job struct {
	Work       policy.Micros // on a core of speed 1
	StartKnown bool          // the sending node had been notified of the server's last start
	Context    any           // belongs to the caller; the model does not use it

	started, running, finished bool
	endsAt                     policy.Micros
}

// Started reports whether a core has begun the job, so that the job may have had an effect.
func (j *Job) Started() bool { return j.started }

// Server is the state of one server. The zero value is not usable: call New.
type Server struct {
	Spec
	running, waiting         []*Job
	awaitingRelease          int // jobs whose own work is done and that occupy a core until Release
	startedAt                policy.Micros
	coldStarted              bool // false: the server has been up since before the run
	slowdown                 float64
	stalledUntil             policy.Micros // until then no job makes progress
	crowdedSince, idleSince  policy.Micros // Never: the server is not in that state
	jammed                   bool
	collapsed                bool
	coldPushes               []coldPush
	windowWork, informedWork policy.Micros // work of all coldPushes, and of those whose node knew of the start
	peakLoad                 float64       // the fullest window so far, as a share of the load at which the server collapses
	coreTime                 policy.Micros // used so far
}

// coldPush is one push in the overload window of a cold server.
type coldPush struct {
	at, work   policy.Micros
	startKnown bool
}

// New returns a server that has long been warm.
func New(spec Spec) *Server {
	return &Server{Spec: spec, slowdown: 1, crowdedSince: Never, idleSince: Never}
}

// RestartCold restarts the server: cold and without jobs. A slowdown remains.
func (s *Server) RestartCold(now policy.Micros) {
	*s = Server{Spec: s.Spec, slowdown: s.slowdown, crowdedSince: Never, idleSince: Never, startedAt: now, coldStarted: true, coreTime: s.coreTime}
}

// Crash drops all jobs, which never complete, and returns them.
func (s *Server) Crash() []*Job {
	lost := append(append([]*Job(nil), s.running...), s.waiting...)
	for _, j := range lost {
		j.finished = true
		j.running = false
	}
	s.running = nil
	s.waiting = nil
	s.awaitingRelease = 0
	return lost
}

// SetSlowdown sets the factor by which jobs that start from now on take longer.
func (s *Server) SetSlowdown(factor float64) { s.slowdown = factor }

// Stall stops all progress until the given time.
func (s *Server) Stall(now, until policy.Micros) {
	until = max(until, s.stalledUntil)
	for _, j := range s.running {
		j.endsAt += until - max(now, s.stalledUntil)
	}
	s.stalledUntil = until
}

// Capacity returns the share of its full speed that the server has at the given time.
func (s *Server) Capacity(now policy.Micros) float64 {
	if !s.coldStarted || now >= s.startedAt+s.ColdStart.WarmUpTime {
		return 1
	}
	return s.ColdStart.InitialShare + (1-s.ColdStart.InitialShare)*float64(now-s.startedAt)/float64(s.ColdStart.WarmUpTime)
}

// CoreTime returns the core time used so far.
func (s *Server) CoreTime() policy.Micros { return s.coreTime }

// Waiting returns the number of jobs in the queue.
func (s *Server) Waiting() int { return len(s.waiting) }

// Running returns the number of jobs that occupy a core.
func (s *Server) Running() int { return len(s.running) + s.awaitingRelease }

// Jammed reports whether the server is slowed down by a jam.
func (s *Server) Jammed() bool { return s.jammed }

// Collapsed reports whether the server collapsed under load while it was cold. A collapsed server rejects every push
// until RestartCold.
func (s *Server) Collapsed() bool { return s.collapsed }

// PeakLoad returns the work of the fullest overload window since the last cold start, as a share of the budget plus
// ChanceAllowance. Above 1 the server has collapsed.
func (s *Server) PeakLoad() float64 { return s.peakLoad }

// ArrivalResult is the outcome of a push's arrival.
type ArrivalResult uint8

const (
	Accepted ArrivalResult = iota // the push runs or waits
	Rejected                      // the push never runs
	// CollapsedByInformed means that this push made the server collapse and that at least two thirds of the work in
	// the window came from nodes that knew of the cold start: a breach of the cold-start rule.
	CollapsedByInformed
	// CollapsedByUninformed means that this push made the server collapse, but too much of the work came from nodes
	// that could not know of the start.
	CollapsedByUninformed
)

// Arrive accepts or rejects a push. Even a rejected push counts as load on a cold server.
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

// addColdLoad adds a push to the overload window of a cold server. It returns Accepted unless the server collapses.
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

// startWaiting starts waiting jobs on free cores.
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
		job.started = true
		job.running = true
		job.endsAt = max(now, s.stalledUntil) + duration
		s.coreTime += duration
		s.running = append(s.running, job)
	}
	s.updateJam(now)
}

// updateJam starts a jam when too many jobs have waited for JamDelay, and ends it when the server has been mostly idle
// for JamRecoveryTime.
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

// NextCompletion returns when the work of the next running job is done; Never if none runs.
func (s *Server) NextCompletion() policy.Micros {
	next := Never
	for _, j := range s.running {
		next = min(next, j.endsAt)
	}
	return next
}

// Advance returns the jobs whose own work is done by now, in the order of completion. Each occupies its core until
// Release, because a server's core is blocked while its op waits for the next tier.
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

// Release frees the core of a job. Further calls for the same job do nothing.
func (s *Server) Release(now policy.Micros, job *Job) {
	if job.finished {
		return
	}
	job.finished = true
	s.awaitingRelease--
	s.startWaiting(now)
}

// Cancel removes a job from the queue and reports whether it did, so that the job never runs. A running job is not
// stopped.
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

// DedupMemory records which deduplicated ops a group of servers has seen.
type DedupMemory struct {
	window    policy.Micros
	firstSeen map[string]policy.Micros
}

// NewDedupMemory returns a memory that keeps each op for the given window after its first arrival.
func NewDedupMemory(window policy.Micros) *DedupMemory {
	return &DedupMemory{window: window, firstSeen: make(map[string]policy.Micros)}
}

// CheckAndRemember reports whether an op is a duplicate, to be answered without running it again. A first arrival is
// remembered. One tick after its window the op counts as new.
func (m *DedupMemory) CheckAndRemember(now policy.Micros, key string) bool {
	if seenAt, seen := m.firstSeen[key]; seen && now-seenAt <= m.window {
		return true
	}
	m.firstSeen[key] = now
	return false
}

// Forget removes an op that never ran, so that a repeat of it is not dropped.
func (m *DedupMemory) Forget(key string) { delete(m.firstSeen, key) }
