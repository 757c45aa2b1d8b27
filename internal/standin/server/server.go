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
	Ledger *ledger.Account // nil: nothing is booked
	Now    func() policy.Micros
	// Find says what an id on the wire stands for.
	FindOp func(id string, r *http.Request) (ledger.TryID, *Op, bool)
	// Call calls the next tier, and says whether it was served.
	CallNextTier func(try ledger.TryID, op *Op, until policy.Micros) bool
}

// Server is one server. Its address stays the same over its life.
type Server struct {
	index           int
	kind            *scenario.Kind
	environment     Environment
	mu              sync.Mutex
	model           *fleet.Server
	addr            string
	http            *http.Server
	listener        net.Listener
	timer           *time.Timer
	mode            scenario.Mode
	stopped         chan struct{} // closed when it dies
	silenceEnded    chan struct{} // closed when it speaks again; nil: it speaks
	started         policy.Micros
	connections     map[net.Conn]bool // open ones, and whether each is one too many
	resetAfterBytes int               // bytes of the next answer that is reset
	ignoredShare    float64           // share of the pushes of whom ignores that get no answer
	ignoredTry      func(ledger.TryID) bool
	rng             *rand.Rand
}

// New makes a server that is not up yet.
func New(index int, kind *scenario.Kind, traits fleet.Spec, addr string, environment Environment) *Server {
	return &Server{index: index, kind: kind, environment: environment, model: fleet.New(traits), addr: addr}
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
	listener, err := listen(s.addr)
	if err != nil {
		return fmt.Errorf("server %d: %w", s.index, err)
	}
	if cold {
		s.started = s.environment.Now() / policy.Millisecond * policy.Millisecond
		s.model.RestartCold(s.started)
	}
	s.stopped, s.silenceEnded, s.connections, s.listener = make(chan struct{}), nil, make(map[net.Conn]bool), listener
	s.timer = time.AfterFunc(time.Hour, s.advance)
	idle := time.Duration(s.kind.IdleClose) * time.Microsecond
	s.http = &http.Server{Handler: s, IdleTimeout: idle, ReadHeaderTimeout: idle, ConnState: s.trackConnection,
		ConnContext: withConn, ErrorLog: discardLog}
	go s.http.Serve(listener)
	return nil
}

// listen opens an address that this process has closed before. Danger: a process that is being forked just then holds
// a copy of the old listener until it has started.
func listen(addr string) (listener net.Listener, err error) {
	for range 100 {
		if listener, err = net.Listen("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return listener, err
}

// Down ends the server: its connections are reset, and new ones refused. Silently, it keeps them open and says nothing
// more until it is up again.
//
// Danger: net/http's Close waits for the loop that accepts, and that may be waiting for the lock to count a connection.
func (s *Server) Stop(keepConnections bool) {
	if ended := s.shutDown(keepConnections); ended != nil {
		ended.Close()
	}
}

// die is Down up to what must be closed without the lock.
func (s *Server) shutDown(keepConnections bool) (server *http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return nil
	}
	if s.silenceEnded == nil {
		for _, job := range s.model.Crash() {
			s.recordWork(job, job.Context.(*pushState))
		}
	}
	if keepConnections {
		if s.silenceEnded == nil {
			s.silenceEnded = make(chan struct{})
		}
		return nil
	}
	for conn := range s.connections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) // a process that dies resets its connections
		}
	}
	close(s.stopped)
	s.timer.Stop()
	if s.silenceEnded != nil {
		close(s.silenceEnded)
	}
	s.listener.Close() // Danger: closed by http alone once Serve has begun, which may be after this
	server, s.http = s.http, nil
	return server
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
	s.model.Stall(s.environment.Now(), until)
	s.scheduleAdvance()
}

func (s *Server) SetMode(mode scenario.Mode) { s.mu.Lock(); defer s.mu.Unlock(); s.mode = mode }

// Ignore lets a share of the pushes that come by some nodes go without an answer; they don't run. 0 ends it.
func (s *Server) SetIgnoredShare(share float64, applies func(ledger.TryID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoredShare, s.ignoredTry = share, applies
	if s.rng == nil {
		s.rng = rand.New(rand.NewPCG(uint64(s.index), 1))
	}
}

// ignoring says whether a push gets no answer.
func (s *Server) isIgnored(try ledger.TryID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ignoredShare > 0 && s.ignoredTry(try) && s.rng.Float64() < s.ignoredShare
}

// visit is one push at the server.
type pushState struct {
	workDone chan struct{} // its own work is over
	push     ledger.PushID
	op       *Op
}

func (s *Server) trackConnection(conn net.Conn, connState http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch connState {
	case http.StateNew:
		s.connections[conn] = s.kind.Conns > 0 && len(s.connections) >= s.kind.Conns
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, conn)
	}
}

// wake sets the timer to the end of the next job's own work. The lock is held.
func (s *Server) scheduleAdvance() {
	if next := s.model.NextCompletion(); next != fleet.Never && s.http != nil {
		s.timer.Reset(time.Duration(max(0, next-s.environment.Now())) * time.Microsecond)
	}
}

func (s *Server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, job := range s.model.Advance(s.environment.Now()) {
		state := job.Context.(*pushState)
		s.recordWork(job, state)
		close(state.workDone)
	}
	s.scheduleAdvance()
}

// book writes down what a job was. One that never ran is no repeat's first.
func (s *Server) recordWork(job *fleet.Job, state *pushState) {
	switch {
	case job.Started() && s.environment.Ledger != nil:
		s.environment.Ledger.Effect(state.push)
		s.environment.Ledger.Worked(state.push, job.Work)
	case !job.Started() && state.op.Dedup != nil:
		state.op.DedupLock.Lock()
		state.op.Dedup.Forget(state.op.Key)
		state.op.DedupLock.Unlock()
	}
}

// ServeHTTP takes one push.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20))
	s.mu.Lock()
	stopped, silenceEnded := s.stopped, s.silenceEnded
	s.mu.Unlock()
	if silenceEnded != nil {
		select {
		case <-silenceEnded:
		case <-stopped:
		}
		abort(w)
	}
	if r.URL.Path == "/-/healthy" || r.URL.Path == "/-/load" {
		s.serveLoadReport(w)
		return
	}
	try, op, known := s.environment.FindOp(r.Header.Get("X-Txn"), r)
	if !known {
		http.Error(w, "no such op", http.StatusBadRequest)
		return
	}
	s.servePush(w, r, try, op, stopped)
}

func (s *Server) servePush(w http.ResponseWriter, r *http.Request, try ledger.TryID, op *Op, stopped chan struct{}) {
	now := s.environment.Now()
	state := &pushState{workDone: make(chan struct{}), push: -1, op: op}
	startKnown := true
	if account := s.environment.Ledger; account != nil {
		state.push = account.Push(try, s.index, now)
		node, _ := account.NodeOf(try)
		startKnown = account.KnowsStart(node, s.index, s.StartedAt())
	}
	if s.isIgnored(try) {
		select {
		case <-r.Context().Done():
		case <-stopped:
		}
		abort(w)
	}
	s.mu.Lock()
	mode := s.mode
	overLimit := false
	if c, ok := r.Context().Value(connKey{}).(*connection); ok {
		overLimit = s.connections[c.Conn]
	}
	s.mu.Unlock()
	switch {
	case overLimit:
		w.Header().Set("Connection", "close")
		writeRejection(w)
		return
	case mode == scenario.Errors:
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	case mode == scenario.TurnsAway:
		writeRejection(w)
		return
	}
	if op.Dedup != nil {
		op.DedupLock.Lock()
		duplicate := op.Dedup.CheckAndRemember(now, op.Key)
		op.DedupLock.Unlock()
		if duplicate {
			s.writeAnswer(w, state)
			return
		}
	}
	job := &fleet.Job{Work: op.Work + connectionCost(r, s.kind), StartKnown: startKnown, Context: state}
	s.mu.Lock()
	result, peakLoad := s.model.Arrive(now, job), s.model.PeakLoad()
	if result != fleet.Accepted {
		s.recordWork(job, state)
	}
	s.scheduleAdvance()
	s.mu.Unlock()
	if account := s.environment.Ledger; account != nil {
		account.Pressed(peakLoad)
		if result == fleet.CollapsedByInformed || result == fleet.CollapsedByUninformed {
			account.Tipped(s.index, result == fleet.CollapsedByInformed)
		}
	}
	if result != fleet.Accepted {
		writeRejection(w)
		return
	}
	select {
	case <-state.workDone:
	case <-stopped:
		abort(w)
	case <-r.Context().Done(): // the node has given up; what runs goes on, what waits is dropped
		s.mu.Lock()
		dropped := s.model.Cancel(s.environment.Now(), job)
		if dropped {
			s.recordWork(job, state)
		}
		s.mu.Unlock()
		if dropped {
			return
		}
		select {
		case <-state.workDone:
		case <-stopped:
			abort(w)
		}
	}
	served := true
	for i := 0; i < op.DownstreamCalls && served; i++ {
		served = s.environment.CallNextTier(try, op, now+timeRemaining(r))
	}
	s.mu.Lock()
	alive := s.stopped == stopped && s.silenceEnded == nil
	if alive {
		s.model.Release(s.environment.Now(), job)
		s.scheduleAdvance()
	}
	s.mu.Unlock()
	switch {
	case !alive:
		<-stopped
		abort(w)
	case !served:
		http.Error(w, "a tier behind failed", http.StatusInternalServerError)
	default:
		s.writeAnswer(w, state)
	}
}

// remaining is how long the node says that it will wait.
func timeRemaining(r *http.Request) policy.Micros {
	ms, _ := strconv.ParseInt(r.Header.Get("X-Remaining-Ms"), 10, 64)
	return policy.Micros(ms) * policy.Millisecond
}

// Body is what a server answers.
type AnswerBody struct {
	Server int           `json:"server"`
	Push   ledger.PushID `json:"push"`
}

// answer writes the answer, or what the fault makes of it.
func (s *Server) writeAnswer(w http.ResponseWriter, state *pushState) {
	body, _ := json.Marshal(AnswerBody{s.index, state.push})
	s.mu.Lock()
	mode, resetAfter := s.mode, s.resetAfterBytes
	if mode == scenario.Resets {
		s.resetAfterBytes++
	}
	load := s.loadReport()
	s.mu.Unlock()
	switch mode {
	case scenario.Resets:
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		writeRawAndReset(w, response[:resetAfter%len(response)])
	case scenario.Spoils:
		writeRawAndReset(w, "\x16\x03\x01 this is no HTTP\r\n\r\n")
	default:
		if s.kind.LoadReport {
			w.Header().Set("X-Pressure", "TEXT "+load)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	}
}

// load is the load report. The lock is held.
func (s *Server) loadReport() string {
	return fmt.Sprintf("inflight=%d, queue=%d, util=%.2f", s.model.Running()+s.model.Waiting(), s.model.Waiting(),
		min(1, float64(s.model.Running())/float64(s.model.Cores)))
}

func (s *Server) serveLoadReport(w http.ResponseWriter) {
	s.mu.Lock()
	load, healthy := s.loadReport(), s.mode == scenario.Honest && !s.model.Collapsed()
	s.mu.Unlock()
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	io.WriteString(w, load)
}

func writeRejection(w http.ResponseWriter) {
	w.Header().Set("X-Turned-Away", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
