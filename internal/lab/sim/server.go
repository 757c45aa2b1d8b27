package sim

import (
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/servermodel"
	"canvasrouter/policy"
)

// server is one server of the fleet: the server model, and the connections of the nodes to it.
type server struct {
	run             *run
	index           int
	machine         scenario.Machine
	model           *servermodel.Server
	nextTierNode    *simNode // the server's own node for calls to the next tier, or nil
	up              bool
	silent          bool // went down without closing its connections
	mode            scenario.ServerMode
	started         policy.Micros
	wakeAt          policy.Micros                // time of the scheduled completion event
	idleConnections map[*simNode][]policy.Micros // since when each connection of a node is idle
	openConnections int
}

func newServer(r *run, index int, m scenario.Machine, up bool) *server {
	return &server{run: r, index: index, machine: m, up: up, wakeAt: servermodel.Never, model: servermodel.New(m.ModelSpec(r.Scenario)),
		idleConnections: make(map[*simNode][]policy.Micros)}
}

// start starts the server cold.
func (s *server) start() {
	s.up = true
	s.silent = false
	s.started = s.run.now
	s.openConnections = 0
	clear(s.idleConnections)
	s.model.RestartCold(s.run.now)
	if s.nextTierNode != nil && !s.nextTierNode.up {
		s.nextTierNode.start() // a server's own node starts with it
	}
}

// crash ends the server, and its own node with it.
func (s *server) crash() {
	if !s.up {
		return
	}
	s.up = false
	s.openConnections = 0
	clear(s.idleConnections)
	for _, job := range s.model.Crash() {
		push := job.Context.(*simPush)
		s.recordJob(job, push)
		if !s.silent {
			push.answer(policy.Reset)
		}
	}
	if s.nextTierNode != nil {
		s.nextTierNode.crash()
	}
}

// killedByOp ends the server through an op that crashes it, unless the server has restarted since the op arrived. As
// with other crashes, the registry detects it a second later.
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

// connect takes an idle connection for a push or opens a new one, and returns the core time that it costs the server.
// ok is false if the server has no connection left.
func (s *server) connect(from *simNode) (cost policy.Micros, ok bool) {
	idle := s.idleConnections[from]
	for len(idle) > 0 && s.run.now-idle[0] >= s.machine.Type.IdleTimeout.Micros()*9/10 {
		idle = idle[1:]
		s.openConnections--
	}
	if len(idle) > 0 {
		s.idleConnections[from] = idle[:len(idle)-1]
		return 0, true
	}
	s.idleConnections[from] = idle
	if maxConnections := s.machine.Type.MaxConnections; maxConnections > 0 && s.openConnections >= maxConnections {
		return 0, false
	}
	s.openConnections++
	return s.machine.Type.ConnectionCost.Micros(), true
}

// disconnect makes the connection of a push idle again, or closes it if the push was cancelled.
func (s *server) disconnect(push *simPush) {
	if !push.connected || push.serverStart != s.started {
		return
	}
	push.connected = false
	if push.cancelled {
		s.openConnections--
		return
	}
	s.idleConnections[push.from] = append(s.idleConnections[push.from], s.run.now)
}

// arrive handles a push that has arrived completely at the server.
func (s *server) arrive(push *simPush) {
	r := s.run
	switch {
	case push.cancelled:
		return // the connection was closed before the push arrived
	case !s.up && s.silent:
		return
	case !s.up:
		push.answer(policy.ConnectFailed)
		return
	}
	push.id = r.ledger.RecordPush(push.try, s.index, r.now)
	push.arrived = true
	push.serverStart = s.started
	cost, connected := s.connect(push.from)
	if !connected {
		push.answer(policy.Full)
		return
	}
	push.connected = true
	switch s.mode {
	case scenario.ModeErrors:
		push.answer(policy.Errored)
		return
	case scenario.ModeReject:
		push.answer(policy.Full)
		return
	}
	if push.arrival.AlwaysFails {
		push.answer(policy.Errored)
		return
	}
	key, category := r.ledger.OpOf(push.try)
	memory := r.dedupMemory(category, s.machine)
	if memory != nil && memory.CheckAndRemember(r.now, dedupKey(key)) {
		push.answer(policy.Acked)
		return
	}
	push.key = dedupKey(key)
	push.job = &servermodel.Job{Work: push.work + cost, StartKnown: r.ledger.KnowsServerStart(push.from.globalIndex, s.index, s.started), Context: push}
	result := s.model.Arrive(r.now, push.job)
	r.ledger.RecordPeakLoad(s.model.PeakLoad())
	switch result {
	case servermodel.Accepted:
		if downFor := push.arrival.KillsFor; downFor > 0 && push.arrival.KillTier == s.machine.Tier {
			r.schedule(r.now+policy.Millisecond, func() { s.killedByOp(push.serverStart, downFor) })
		}
	case servermodel.CollapsedByInformed, servermodel.CollapsedByUninformed:
		r.ledger.RecordCollapse(s.index, result == servermodel.CollapsedByInformed)
		fallthrough
	default:
		if memory != nil {
			memory.Forget(push.key)
		}
		push.job = nil
		push.answer(policy.Full)
	}
	s.scheduleWake()
}

// scheduleWake schedules the event at which the next job completes its own work.
func (s *server) scheduleWake() {
	next := s.model.NextCompletion()
	if next == servermodel.Never || s.wakeAt <= next && s.wakeAt > s.run.now {
		return
	}
	s.wakeAt = next
	s.run.schedule(next, func() {
		if s.wakeAt != next {
			return
		}
		s.wakeAt = servermodel.Never
		for _, job := range s.model.Advance(s.run.now) {
			s.jobDone(job)
		}
		s.scheduleWake()
	})
}

// recordJob records the effect and the work of a job. A job that never ran is removed from the deduplication memory,
// because a later duplicate of it must run.
func (s *server) recordJob(job *servermodel.Job, push *simPush) {
	if job.Started() {
		s.run.ledger.RecordEffect(push.id)
		s.run.ledger.RecordWork(push.id, job.Work)
		return
	}
	_, category := s.run.ledger.OpOf(push.try)
	if memory := s.run.dedupMemory(category, s.machine); memory != nil {
		memory.Forget(push.key)
	}
}

// jobDone handles the end of a job's own work. Its calls to the next tier follow, one after another.
func (s *server) jobDone(job *servermodel.Job) {
	push := job.Context.(*simPush)
	s.recordJob(job, push)
	calls := 0
	if s.machine.Tier+1 < len(s.run.Scenario.Tiers) {
		calls = push.arrival.CallsByTier[s.machine.Tier]
	}
	s.callNextTier(job, push, calls)
}

// callNextTier makes the next of a job's calls to the next tier, and finishes the job after the last call.
func (s *server) callNextTier(job *servermodel.Job, push *simPush, callsLeft int) {
	serverStart := s.started
	if callsLeft == 0 {
		s.finish(job, push, policy.Acked)
		return
	}
	now := s.run.now
	_, category := s.run.ledger.OpOf(push.try)
	deadline := now + s.run.Scenario.Categories[category].TTL.Micros()
	if s.run.Scenario.Limits.PassesDeadline {
		deadline = min(deadline, push.deadline)
	}
	op := s.run.ledger.RecordOp(now, category, push.arrival.Tenant, s.machine.Tier+1)
	s.nextTierNode.submit(&request{op: op, arrival: push.arrival, category: category, deadline: deadline, onEnd: func(verdict ledger.Verdict) {
		if s.started != serverStart || !s.up {
			return // the server has crashed since
		}
		if verdict != ledger.Served {
			s.finish(job, push, policy.Errored)
			return
		}
		s.callNextTier(job, push, callsLeft-1)
	}})
}

// finish answers a push and frees the core of its job.
func (s *server) finish(job *servermodel.Job, push *simPush, outcome policy.Outcome) {
	switch s.mode {
	case scenario.ModeReset:
		outcome = policy.Reset
	case scenario.ModeCorrupt:
		outcome = policy.Errored
	}
	push.answer(outcome)
	s.model.Release(s.run.now, job)
	s.scheduleWake()
}

// connectionClosed handles the close of a push's connection before the answer.
func (s *server) connectionClosed(push *simPush) {
	if push.job == nil || push.serverStart != s.started || !s.up {
		return
	}
	if s.model.Cancel(s.run.now, push.job) {
		s.recordJob(push.job, push)
	}
	s.disconnect(push)
	s.scheduleWake()
}

// dedupMemory returns the deduplication memory of a category's group at a machine, or nil.
func (r *run) dedupMemory(category int, m scenario.Machine) *servermodel.DedupMemory {
	return r.dedupMemories.Get(r.Scenario, category, m, r.ledger.Tolerance())
}

// simPush is one push on the way to a server, at the server, or on the way back.
type simPush struct {
	from        *simNode
	to          *server
	request     *request
	arrival     *load.Arrival
	try         ledger.TryID
	id          ledger.PushID
	job         *servermodel.Job
	key         string
	work        policy.Micros
	deadline    policy.Micros // as sent by the node to the server
	serverStart policy.Micros // start time of the server when the push arrived
	arrived     bool
	connected   bool
	cancelled   bool // by the node, or its connection has ended
	answered    bool
	nodePush    nodePush
}

// answer sends a push's outcome back to its node.
func (p *simPush) answer(outcome policy.Outcome) {
	if p.answered {
		return
	}
	p.answered = true
	if outcome == policy.Reset {
		p.cancelled = true // the connection no longer exists
	}
	p.to.disconnect(p)
	r := p.from.run
	if extraDelay, lost := r.pathImpairment(p.from, p.to); !lost {
		r.schedule(r.now+r.networkDelay()+extraDelay, func() { p.from.receiveOutcome(p, outcome) })
	}
}
