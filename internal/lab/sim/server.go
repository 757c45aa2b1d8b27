package sim

import (
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/fleet"
	"canvasrouter/policy"
)

// server is one server of the fleet: the model, and the connections that nodes keep to it.
type server struct {
	run             *run
	index           int
	machine         scenario.Machine
	model           *fleet.Server
	nextTierNode    *simNode // its own, before the next tier
	up              bool
	silent          bool // down without a word
	mode            scenario.ServerMode
	started         policy.Micros
	wakeAt          policy.Micros
	idleConnections map[*simNode][]policy.Micros // connections kept, by when each fell idle
	openConnections int
}

func newServer(r *run, index int, m scenario.Machine, up bool) *server {
	return &server{run: r, index: index, machine: m, up: up, wakeAt: fleet.Never, model: fleet.New(m.ModelSpec(r.Scenario)),
		idleConnections: make(map[*simNode][]policy.Micros)}
}

func (s *server) start() {
	s.up, s.silent, s.started, s.openConnections = true, false, s.run.now, 0
	clear(s.idleConnections)
	s.model.Start(s.run.now)
	if s.nextTierNode != nil && !s.nextTierNode.up {
		s.nextTierNode.start() // a server's own node starts with it
	}
}

// crash ends the server. Its node goes with it.
func (s *server) crash() {
	if !s.up {
		return
	}
	s.up, s.openConnections = false, 0
	clear(s.idleConnections)
	for _, j := range s.model.Crash() {
		f := j.Note.(*simPush)
		s.recordJob(j, f)
		if !s.silent {
			f.answer(policy.Reset)
		}
	}
	if s.nextTierNode != nil {
		s.nextTierNode.crash()
	}
}

// die is what an op does to the server of a life that begins it. The registry notices late, as with other deaths.
func (s *server) killedByOp(serverStart, downFor policy.Micros) {
	r := s.run
	if !s.up || s.started != serverStart {
		return
	}
	s.crash()
	r.schedule(r.now+policy.Second, func() {
		if !s.up {
			r.setListed(s.index, policy.Gone)
		}
	})
	r.schedule(r.now+downFor, func() {
		if !s.up {
			s.start()
			r.setListed(s.index, policy.Ready)
		}
	})
}

// connect takes a connection for a push, and says what it costs the server.
func (s *server) connect(n *simNode) (cost policy.Micros, ok bool) {
	idle := s.idleConnections[n]
	for len(idle) > 0 && s.run.now-idle[0] >= s.machine.Type.IdleTimeout.Micros()*9/10 {
		idle = idle[1:]
		s.openConnections--
	}
	if len(idle) > 0 {
		s.idleConnections[n] = idle[:len(idle)-1]
		return 0, true
	}
	s.idleConnections[n] = idle
	if maxConnections := s.machine.Type.MaxConnections; maxConnections > 0 && s.openConnections >= maxConnections {
		return 0, false
	}
	s.openConnections++
	return s.machine.Type.ConnectionCost.Micros(), true
}

// disconnect gives a connection back; one of a push that was given up is closed.
func (s *server) disconnect(f *simPush) {
	if !f.connected || f.serverStart != s.started {
		return
	}
	f.connected = false
	if f.cancelled {
		s.openConnections--
		return
	}
	s.idleConnections[f.from] = append(s.idleConnections[f.from], s.run.now)
}

// arrive is a push's last byte at the server.
func (s *server) arrive(f *simPush) {
	r := s.run
	switch {
	case f.cancelled:
		return // closed before it got here
	case !s.up && s.silent:
		return
	case !s.up:
		f.answer(policy.ConnectFailed)
		return
	}
	f.id = r.ledger.RecordPush(f.try, s.index, r.now)
	f.arrived, f.serverStart = true, s.started
	cost, connected := s.connect(f.from)
	if !connected {
		f.answer(policy.Full)
		return
	}
	f.connected = true
	switch s.mode {
	case scenario.ModeErrors:
		f.answer(policy.Errored)
		return
	case scenario.ModeReject:
		f.answer(policy.Full)
		return
	}
	if f.arrival.AlwaysFails {
		f.answer(policy.Errored)
		return
	}
	key, category := r.ledger.OpOf(f.try)
	memory := r.dedupMemory(category, s.machine)
	if memory != nil && memory.Repeat(r.now, dedupKey(key)) {
		f.answer(policy.Acked)
		return
	}
	f.key = dedupKey(key)
	f.job = &fleet.Job{Work: f.work + cost, Told: r.ledger.KnowsServerStart(f.from.globalIndex, s.index, s.started), Note: f}
	result := s.model.Arrive(r.now, f.job)
	r.ledger.RecordPeakLoad(s.model.Pressed())
	switch result {
	case fleet.Taken:
		if downFor := f.arrival.KillsFor; downFor > 0 && f.arrival.KillTier == s.machine.Tier {
			r.schedule(r.now+policy.Millisecond, func() { s.killedByOp(f.serverStart, downFor) })
		}
	case fleet.Tips, fleet.TipsUnseen:
		r.ledger.RecordCollapse(s.index, result == fleet.Tips)
		fallthrough
	default:
		if memory != nil {
			memory.Forget(f.key)
		}
		f.job = nil
		f.answer(policy.Full)
	}
	s.scheduleWake()
}

// wake sets the event at which the next job's own work is over.
func (s *server) scheduleWake() {
	next := s.model.Next()
	if next == fleet.Never || s.wakeAt <= next && s.wakeAt > s.run.now {
		return
	}
	s.wakeAt = next
	s.run.schedule(next, func() {
		if s.wakeAt != next {
			return
		}
		s.wakeAt = fleet.Never
		for _, j := range s.model.Advance(s.run.now) {
			s.jobDone(j)
		}
		s.scheduleWake()
	})
}

// book writes down what a job was. One that never ran is no repeat's first.
func (s *server) recordJob(j *fleet.Job, f *simPush) {
	if j.Begun() {
		s.run.ledger.RecordEffect(f.id)
		s.run.ledger.RecordWork(f.id, j.Work)
		return
	}
	_, category := s.run.ledger.OpOf(f.try)
	if memory := s.run.dedupMemory(category, s.machine); memory != nil {
		memory.Forget(f.key)
	}
}

// done is the end of a job's own work. What it needs of the next tier comes now, one call after another.
func (s *server) jobDone(j *fleet.Job) {
	f := j.Note.(*simPush)
	s.recordJob(j, f)
	calls := 0
	if s.machine.Tier+1 < len(s.run.Scenario.Tiers) {
		calls = f.arrival.CallsByTier[s.machine.Tier]
	}
	s.callNextTier(j, f, calls)
}

func (s *server) callNextTier(j *fleet.Job, f *simPush, callsLeft int) {
	serverStart := s.started
	if callsLeft == 0 {
		s.finish(j, f, policy.Acked)
		return
	}
	now := s.run.now
	_, category := s.run.ledger.OpOf(f.try)
	deadline := now + s.run.Scenario.Categories[category].TTL.Micros()
	if s.run.Scenario.Limits.PassesDeadline {
		deadline = min(deadline, f.deadline)
	}
	op := s.run.ledger.RecordOp(now, category, f.arrival.Tenant, s.machine.Tier+1)
	s.nextTierNode.submit(&request{op: op, arrival: f.arrival, category: category, deadline: deadline, onEnd: func(v ledger.Verdict) {
		if s.started != serverStart || !s.up {
			return // it has died since
		}
		if v != ledger.Served {
			s.finish(j, f, policy.Errored)
			return
		}
		s.callNextTier(j, f, callsLeft-1)
	}})
}

func (s *server) finish(j *fleet.Job, f *simPush, outcome policy.Outcome) {
	switch s.mode {
	case scenario.ModeReset:
		outcome = policy.Reset
	case scenario.ModeCorrupt:
		outcome = policy.Errored
	}
	f.answer(outcome)
	s.model.Release(s.run.now, j)
	s.scheduleWake()
}

// leave is a push's connection closing before its answer.
func (s *server) connectionClosed(f *simPush) {
	if f.job == nil || f.serverStart != s.started || !s.up {
		return
	}
	if s.model.Leave(s.run.now, f.job) {
		s.recordJob(f.job, f)
	}
	s.disconnect(f)
	s.scheduleWake()
}

// memory is that of a category's group, or nil.
func (r *run) dedupMemory(category int, m scenario.Machine) *fleet.Memory {
	return r.memories.Get(r.Scenario, category, m, r.ledger.Tolerance())
}

// flight is one push on its way, at a server, or on its way back.
type simPush struct {
	from        *simNode
	to          *server
	request     *request
	arrival     *load.Arrival
	try         ledger.TryID
	id          ledger.PushID
	job         *fleet.Job
	key         string
	work        policy.Micros
	deadline    policy.Micros // the end that the node told the server
	serverStart policy.Micros // of the server, when it arrived
	arrived     bool
	connected   bool
	cancelled   bool // up by the node
	answered    bool
	nodePush    nodePush
}

// answer sends a push's outcome back.
func (f *simPush) answer(outcome policy.Outcome) {
	if f.answered {
		return
	}
	f.answered = true
	if outcome == policy.Reset {
		f.cancelled = true // the connection is no more
	}
	f.to.disconnect(f)
	r := f.from.run
	if extraDelay, lost := r.pathImpairment(f.from, f.to); !lost {
		r.schedule(r.now+r.networkDelay()+extraDelay, func() { f.from.receiveOutcome(f, outcome) })
	}
}
