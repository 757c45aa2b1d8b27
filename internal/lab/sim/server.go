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
	run     *run
	place   int
	machine scenario.Machine
	model   *fleet.Server
	node    *balancer // its own, before the next tier
	up      bool
	silent  bool // down without a word
	mode    scenario.ServerMode
	started policy.Micros
	wakes   policy.Micros
	idle    map[*balancer][]policy.Micros // connections kept, by when each fell idle
	open    int
}

func newServer(r *run, place int, m scenario.Machine, up bool) *server {
	return &server{run: r, place: place, machine: m, up: up, wakes: fleet.Never, model: fleet.New(m.ModelSpec(r.Scenario)),
		idle: make(map[*balancer][]policy.Micros)}
}

func (s *server) start() {
	s.up, s.silent, s.started, s.open = true, false, s.run.now, 0
	clear(s.idle)
	s.model.Start(s.run.now)
	if s.node != nil && !s.node.up {
		s.node.start() // a server's own node starts with it
	}
}

// crash ends the server. Its node goes with it.
func (s *server) crash() {
	if !s.up {
		return
	}
	s.up, s.open = false, 0
	clear(s.idle)
	for _, j := range s.model.Crash() {
		f := j.Note.(*flight)
		s.book(j, f)
		if !s.silent {
			f.answer(policy.Reset)
		}
	}
	if s.node != nil {
		s.node.crash()
	}
}

// die is what an op does to the server of a life that begins it. The registry notices late, as with other deaths.
func (s *server) die(life, down policy.Micros) {
	r := s.run
	if !s.up || s.started != life {
		return
	}
	s.crash()
	r.at(r.now+policy.Second, func() {
		if !s.up {
			r.listed(s.place, policy.Gone)
		}
	})
	r.at(r.now+down, func() {
		if !s.up {
			s.start()
			r.listed(s.place, policy.Ready)
		}
	})
}

// connect takes a connection for a push, and says what it costs the server.
func (s *server) connect(n *balancer) (price policy.Micros, room bool) {
	kept := s.idle[n]
	for len(kept) > 0 && s.run.now-kept[0] >= s.machine.Type.IdleTimeout.Micros()*9/10 {
		kept = kept[1:]
		s.open--
	}
	if len(kept) > 0 {
		s.idle[n] = kept[:len(kept)-1]
		return 0, true
	}
	s.idle[n] = kept
	if most := s.machine.Type.MaxConnections; most > 0 && s.open >= most {
		return 0, false
	}
	s.open++
	return s.machine.Type.ConnectionCost.Micros(), true
}

// disconnect gives a connection back; one of a push that was given up is closed.
func (s *server) disconnect(f *flight) {
	if !f.connected || f.life != s.started {
		return
	}
	f.connected = false
	if f.given {
		s.open--
		return
	}
	s.idle[f.node] = append(s.idle[f.node], s.run.now)
}

// arrive is a push's last byte at the server.
func (s *server) arrive(f *flight) {
	r := s.run
	switch {
	case f.given:
		return // closed before it got here
	case !s.up && s.silent:
		return
	case !s.up:
		f.answer(policy.ConnectFailed)
		return
	}
	f.push = r.account.RecordPush(f.try, s.place, r.now)
	f.arrived, f.life = true, s.started
	price, room := s.connect(f.node)
	if !room {
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
	key, category := r.account.OpOf(f.try)
	memory := r.memory(category, s.machine)
	if memory != nil && memory.Repeat(r.now, keyText(key)) {
		f.answer(policy.Acked)
		return
	}
	f.key = keyText(key)
	f.job = &fleet.Job{Work: f.work + price, Told: r.account.KnowsServerStart(f.node.place, s.place, s.started), Note: f}
	got := s.model.Arrive(r.now, f.job)
	r.account.RecordPeakLoad(s.model.Pressed())
	switch got {
	case fleet.Taken:
		if down := f.arrival.KillsFor; down > 0 && f.arrival.KillTier == s.machine.Tier {
			r.at(r.now+policy.Millisecond, func() { s.die(f.life, down) })
		}
	case fleet.Tips, fleet.TipsUnseen:
		r.account.RecordCollapse(s.place, got == fleet.Tips)
		fallthrough
	default:
		if memory != nil {
			memory.Forget(f.key)
		}
		f.job = nil
		f.answer(policy.Full)
	}
	s.wake()
}

// wake sets the event at which the next job's own work is over.
func (s *server) wake() {
	next := s.model.Next()
	if next == fleet.Never || s.wakes <= next && s.wakes > s.run.now {
		return
	}
	s.wakes = next
	s.run.at(next, func() {
		if s.wakes != next {
			return
		}
		s.wakes = fleet.Never
		for _, j := range s.model.Advance(s.run.now) {
			s.done(j)
		}
		s.wake()
	})
}

// book writes down what a job was. One that never ran is no repeat's first.
func (s *server) book(j *fleet.Job, f *flight) {
	if j.Begun() {
		s.run.account.RecordEffect(f.push)
		s.run.account.RecordWork(f.push, j.Work)
		return
	}
	_, category := s.run.account.OpOf(f.try)
	if memory := s.run.memory(category, s.machine); memory != nil {
		memory.Forget(f.key)
	}
}

// done is the end of a job's own work. What it needs of the next tier comes now, one call after another.
func (s *server) done(j *fleet.Job) {
	f := j.Note.(*flight)
	s.book(j, f)
	calls := 0
	if s.machine.Tier+1 < len(s.run.Scenario.Tiers) {
		calls = f.arrival.CallsByTier[s.machine.Tier]
	}
	s.call(j, f, calls)
}

func (s *server) call(j *fleet.Job, f *flight, left int) {
	life := s.started
	if left == 0 {
		s.finish(j, f, policy.Acked)
		return
	}
	now := s.run.now
	_, category := s.run.account.OpOf(f.try)
	until := now + s.run.Scenario.Categories[category].TTL.Micros()
	if s.run.Scenario.Limits.PassesDeadline {
		until = min(until, f.until)
	}
	op := s.run.account.RecordOp(now, category, f.arrival.Tenant, s.machine.Tier+1)
	s.node.take(&hand{op: op, arrival: f.arrival, category: category, notAfter: until, then: func(v ledger.Verdict) {
		if s.started != life || !s.up {
			return // it has died since
		}
		if v != ledger.Served {
			s.finish(j, f, policy.Errored)
			return
		}
		s.call(j, f, left-1)
	}})
}

func (s *server) finish(j *fleet.Job, f *flight, how policy.Outcome) {
	switch s.mode {
	case scenario.ModeReset:
		how = policy.Reset
	case scenario.ModeCorrupt:
		how = policy.Errored
	}
	f.answer(how)
	s.model.Release(s.run.now, j)
	s.wake()
}

// leave is a push's connection closing before its answer.
func (s *server) leave(f *flight) {
	if f.job == nil || f.life != s.started || !s.up {
		return
	}
	if s.model.Leave(s.run.now, f.job) {
		s.book(f.job, f)
	}
	s.disconnect(f)
	s.wake()
}

// memory is that of a category's group, or nil.
func (r *run) memory(category int, m scenario.Machine) *fleet.Memory {
	return r.memories.Get(r.Scenario, category, m, r.account.Tolerance())
}

// flight is one push on its way, at a server, or on its way back.
type flight struct {
	node      *balancer
	to        *server
	hand      *hand
	arrival   *load.Arrival
	try       ledger.TryID
	push      ledger.PushID
	job       *fleet.Job
	key       string
	work      policy.Micros
	until     policy.Micros // the end that the node told the server
	life      policy.Micros // of the server, when it arrived
	arrived   bool
	connected bool
	given     bool // up by the node
	answered  bool
	handle    handle
}

// answer sends a push's outcome back.
func (f *flight) answer(how policy.Outcome) {
	if f.answered {
		return
	}
	f.answered = true
	if how == policy.Reset {
		f.given = true // the connection is no more
	}
	f.to.disconnect(f)
	r := f.node.run
	if way, lost := r.way(f.node, f.to); !lost {
		r.at(r.now+r.hop()+way, func() { f.node.ended(f, how) })
	}
}
