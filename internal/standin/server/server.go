// Package server is a stand-in server on a loopback socket: the fleet's model behind net/http, with the faults that
// need a connection, resets at each byte and answers that are no HTTP among them.
package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/fleet"
	"canvasrouter/policy"
)

// Op is what a server must know of an op to run it.
type Op struct {
	Key             string
	Category        int
	Work            policy.Micros
	DownstreamCalls int
	Dedup           *fleet.DedupMemory // of its group, or nil; guarded by Lock
	DedupLock       sync.Locker
}

// World is what the server has around it.
type Environment struct {
	Ledger *ledger.Ledger // nil: nothing is booked
	Now    func() policy.Micros
	// Find says what an id on the wire stands for.
	FindOp func(id string, r *http.Request) (ledger.TryID, *Op, bool)
	// Call calls the next tier, and says whether it was served.
	CallNextTier func(try ledger.TryID, op *Op, until policy.Micros) bool
}

// Server is one server. Its address stays the same over its life.
type Server struct {
	place    int
	kind     *scenario.MachineType
	world    Environment
	mu       sync.Mutex
	model    *fleet.Server
	addr     string
	http     *http.Server
	listener net.Listener
	timer    *time.Timer
	mode     scenario.ServerMode
	life     chan struct{} // closed when it dies
	silent   chan struct{} // closed when it speaks again; nil: it speaks
	started  policy.Micros
	conns    map[net.Conn]bool // open ones, and whether each is one too many
	cut      int               // bytes of the next answer that is reset
	ignored  float64           // share of the pushes of whom ignores that get no answer
	ignores  func(ledger.TryID) bool
	rng      *rand.Rand
}

// New makes a server that is not up yet.
func New(place int, kind *scenario.MachineType, traits fleet.Spec, addr string, world Environment) *Server {
	return &Server{place: place, kind: kind, world: world, model: fleet.New(traits), addr: addr}
}

// Addr is where the server listens.
func (s *Server) Addr() string { return s.addr }

// Started is when it last started cold, in whole milliseconds; 0: long ago.
func (s *Server) StartedAt() policy.Micros {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// Up opens the server. Cold, it has just started.
func (s *Server) Start(cold bool) error {
	s.Stop(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := listen(s.addr)
	if err != nil {
		return fmt.Errorf("server %d: %w", s.place, err)
	}
	if cold {
		s.started = s.world.Now() / policy.Millisecond * policy.Millisecond
		s.model.RestartCold(s.started)
	}
	s.life, s.silent, s.conns, s.listener = make(chan struct{}), nil, make(map[net.Conn]bool), l
	s.timer = time.AfterFunc(time.Hour, s.advance)
	idle := time.Duration(s.kind.IdleTimeout) * time.Microsecond
	s.http = &http.Server{Handler: s, IdleTimeout: idle, ReadHeaderTimeout: idle, ConnState: s.count,
		ConnContext: withConn, ErrorLog: nothing}
	go s.http.Serve(l)
	return nil
}

// listen opens an address that this process has closed before. Danger: a process that is being forked just then holds
// a copy of the old listener until it has started.
func listen(addr string) (l net.Listener, err error) {
	for range 100 {
		if l, err = net.Listen("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return l, err
}

// Down ends the server: its connections are reset, and new ones refused. Silently, it keeps them open and says nothing
// more until it is up again.
//
// Danger: net/http's Close waits for the loop that accepts, and that may be waiting for the lock to count a connection.
func (s *Server) Stop(silently bool) {
	if server := s.die(silently); server != nil {
		server.Close()
	}
}

// die is Down up to what must be closed without the lock.
func (s *Server) die(silently bool) (ended *http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return nil
	}
	if s.silent == nil {
		for _, j := range s.model.Crash() {
			s.book(j, j.Context.(*visit))
		}
	}
	if silently {
		if s.silent == nil {
			s.silent = make(chan struct{})
		}
		return nil
	}
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0) // a process that dies resets its connections
		}
	}
	close(s.life)
	s.timer.Stop()
	if s.silent != nil {
		close(s.silent)
	}
	s.listener.Close() // Danger: closed by http alone once Serve has begun, which may be after this
	ended, s.http = s.http, nil
	return ended
}

// Slow, Stall and Behave set a fault.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SetSlowdown(factor)
}

func (s *Server) Stall(until policy.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Stall(s.world.Now(), until)
	s.wake()
}

func (s *Server) SetMode(mode scenario.ServerMode) { s.mu.Lock(); defer s.mu.Unlock(); s.mode = mode }

// Ignore lets a share of the pushes that come by some nodes go without an answer; they don't run. 0 ends it.
func (s *Server) SetIgnoredShare(share float64, of func(ledger.TryID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignored, s.ignores = share, of
	if s.rng == nil {
		s.rng = rand.New(rand.NewPCG(uint64(s.place), 1))
	}
}

// ignoring says whether a push gets no answer.
func (s *Server) ignoring(try ledger.TryID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ignored > 0 && s.ignores(try) && s.rng.Float64() < s.ignored
}

// visit is one push at the server.
type visit struct {
	done chan struct{} // its own work is over
	push ledger.PushID
	op   *Op
}

func (s *Server) count(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = s.kind.MaxConnections > 0 && len(s.conns) >= s.kind.MaxConnections
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// wake sets the timer to the end of the next job's own work. The lock is held.
func (s *Server) wake() {
	if next := s.model.NextCompletion(); next != fleet.Never && s.http != nil {
		s.timer.Reset(time.Duration(max(0, next-s.world.Now())) * time.Microsecond)
	}
}

func (s *Server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.model.Advance(s.world.Now()) {
		v := j.Context.(*visit)
		s.book(j, v)
		close(v.done)
	}
	s.wake()
}

// book writes down what a job was. One that never ran is no repeat's first.
func (s *Server) book(j *fleet.Job, v *visit) {
	switch {
	case j.Started() && s.world.Ledger != nil:
		s.world.Ledger.RecordEffect(v.push)
		s.world.Ledger.RecordWork(v.push, j.Work)
	case !j.Started() && v.op.Dedup != nil:
		v.op.DedupLock.Lock()
		v.op.Dedup.Forget(v.op.Key)
		v.op.DedupLock.Unlock()
	}
}

// ServeHTTP takes one push.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20))
	s.mu.Lock()
	life, silent := s.life, s.silent
	s.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-life:
		}
		abort(w)
	}
	if r.URL.Path == "/-/healthy" || r.URL.Path == "/-/load" {
		s.report(w)
		return
	}
	try, op, known := s.world.FindOp(r.Header.Get("X-Txn"), r)
	if !known {
		http.Error(w, "no such op", http.StatusBadRequest)
		return
	}
	s.push(w, r, try, op, life)
}

func (s *Server) push(w http.ResponseWriter, r *http.Request, try ledger.TryID, op *Op, life chan struct{}) {
	now := s.world.Now()
	v := &visit{done: make(chan struct{}), push: -1, op: op}
	told := true
	if a := s.world.Ledger; a != nil {
		v.push = a.RecordPush(try, s.place, now)
		node, _ := a.NodeOf(try)
		told = a.KnowsServerStart(node, s.place, s.StartedAt())
	}
	if s.ignoring(try) {
		select {
		case <-r.Context().Done():
		case <-life:
		}
		abort(w)
	}
	s.mu.Lock()
	mode := s.mode
	full := false
	if c, ok := r.Context().Value(connKey{}).(*connection); ok {
		full = s.conns[c.Conn]
	}
	s.mu.Unlock()
	switch {
	case full:
		w.Header().Set("Connection", "close")
		turnAway(w)
		return
	case mode == scenario.ModeErrors:
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	case mode == scenario.ModeReject:
		turnAway(w)
		return
	}
	if op.Dedup != nil {
		op.DedupLock.Lock()
		repeat := op.Dedup.CheckAndRemember(now, op.Key)
		op.DedupLock.Unlock()
		if repeat {
			s.answer(w, v)
			return
		}
	}
	j := &fleet.Job{Work: op.Work + price(r, s.kind), StartKnown: told, Context: v}
	s.mu.Lock()
	got, pressed := s.model.Arrive(now, j), s.model.PeakLoad()
	if got != fleet.Accepted {
		s.book(j, v)
	}
	s.wake()
	s.mu.Unlock()
	if a := s.world.Ledger; a != nil {
		a.RecordPeakLoad(pressed)
		if got == fleet.CollapsedByInformed || got == fleet.CollapsedByUninformed {
			a.RecordCollapse(s.place, got == fleet.CollapsedByInformed)
		}
	}
	if got != fleet.Accepted {
		turnAway(w)
		return
	}
	select {
	case <-v.done:
	case <-life:
		abort(w)
	case <-r.Context().Done(): // the node has given up; what runs goes on, what waits is dropped
		s.mu.Lock()
		dropped := s.model.Cancel(s.world.Now(), j)
		if dropped {
			s.book(j, v)
		}
		s.mu.Unlock()
		if dropped {
			return
		}
		select {
		case <-v.done:
		case <-life:
			abort(w)
		}
	}
	served := true
	for i := 0; i < op.DownstreamCalls && served; i++ {
		served = s.world.CallNextTier(try, op, now+remaining(r))
	}
	s.mu.Lock()
	alive := s.life == life && s.silent == nil
	if alive {
		s.model.Release(s.world.Now(), j)
		s.wake()
	}
	s.mu.Unlock()
	switch {
	case !alive:
		<-life
		abort(w)
	case !served:
		http.Error(w, "a tier behind failed", http.StatusInternalServerError)
	default:
		s.answer(w, v)
	}
}

// remaining is how long the node says that it will wait.
func remaining(r *http.Request) policy.Micros {
	ms, _ := strconv.ParseInt(r.Header.Get("X-Remaining-Ms"), 10, 64)
	return policy.Micros(ms) * policy.Millisecond
}

// Body is what a server answers.
type AnswerBody struct {
	Server int           `json:"server"`
	Push   ledger.PushID `json:"push"`
}

// answer writes the answer, or what the fault makes of it.
func (s *Server) answer(w http.ResponseWriter, v *visit) {
	body, _ := json.Marshal(AnswerBody{s.place, v.push})
	s.mu.Lock()
	mode, cut := s.mode, s.cut
	if mode == scenario.ModeReset {
		s.cut++
	}
	load := s.load()
	s.mu.Unlock()
	switch mode {
	case scenario.ModeReset:
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		raw(w, whole[:cut%len(whole)])
	case scenario.ModeCorrupt:
		raw(w, "\x16\x03\x01 this is no HTTP\r\n\r\n")
	default:
		if s.kind.ReportsLoad {
			w.Header().Set("X-Pressure", "TEXT "+load)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	}
}

// load is the load report. The lock is held.
func (s *Server) load() string {
	return fmt.Sprintf("inflight=%d, queue=%d, util=%.2f", s.model.Running()+s.model.Waiting(), s.model.Waiting(),
		min(1, float64(s.model.Running())/float64(s.model.Cores)))
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	load, well := s.load(), s.mode == scenario.ModeNormal && !s.model.Collapsed()
	s.mu.Unlock()
	if !well {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	io.WriteString(w, load)
}

func turnAway(w http.ResponseWriter) {
	w.Header().Set("X-Turned-Away", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
