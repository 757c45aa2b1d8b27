// Package server is a stand-in server on a loopback socket: the server model behind net/http. It adds the faults that
// need a connection, such as resets after each byte of the answer and answers that are not HTTP.
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
	"canvasrouter/internal/standin/servermodel"
	"canvasrouter/policy"
)

// Op holds what a server needs to know of an op to run it.
type Op struct {
	Key             string
	Category        int
	Work            policy.Micros
	DownstreamCalls int                      // calls to the next tier, one after another
	Dedup           *servermodel.DedupMemory // shared by a group of servers, or nil; guarded by DedupLock
	DedupLock       sync.Locker
}

// Environment connects a server to its run.
type Environment struct {
	Ledger *ledger.Ledger // nil: pushes are not recorded
	Now    func() policy.Micros
	// FindOp returns the try and the op for an ID that a request carries.
	FindOp func(id string, r *http.Request) (ledger.TryID, *Op, bool)
	// CallNextTier calls the next tier and reports whether the call was served.
	CallNextTier func(try ledger.TryID, op *Op, until policy.Micros) bool
}

// Server is one stand-in server. Its address stays the same over restarts.
type Server struct {
	index           int
	machineType     *scenario.MachineType
	environment     Environment
	mu              sync.Mutex
	model           *servermodel.Server
	addr            string
	http            *http.Server
	listener        net.Listener
	timer           *time.Timer
	mode            scenario.ServerMode
	stopped         chan struct{} // closed when the server stops
	silenceEnded    chan struct{} // closed when the silence ends; nil: the server is not silent
	startedAt       policy.Micros
	connections     map[net.Conn]bool // open connections, and whether each exceeds the limit
	resetAfterBytes int               // length at which the next answer is cut off in ModeReset
	ignoredShare    float64           // share of the tries selected by ignoredTry that get no answer
	ignoredTry      func(ledger.TryID) bool
	rng             *rand.Rand
}

// New returns a server that is not started yet.
func New(index int, machineType *scenario.MachineType, spec servermodel.Spec, addr string, environment Environment) *Server {
	return &Server{index: index, machineType: machineType, environment: environment, model: servermodel.New(spec), addr: addr}
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.addr }

// StartedAt returns the time of the last cold start in whole milliseconds; 0 means before the run.
func (s *Server) StartedAt() policy.Micros {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt
}

// Start opens the server's address. A cold start also restarts the model, as a new process would.
func (s *Server) Start(cold bool) error {
	s.Stop(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := listen(s.addr)
	if err != nil {
		return fmt.Errorf("server %d: %w", s.index, err)
	}
	if cold {
		s.startedAt = s.environment.Now() / policy.Millisecond * policy.Millisecond
		s.model.RestartCold(s.startedAt)
	}
	s.stopped = make(chan struct{})
	s.silenceEnded = nil
	s.connections = make(map[net.Conn]bool)
	s.listener = listener
	s.timer = time.AfterFunc(time.Hour, s.advance)
	idle := time.Duration(s.machineType.IdleTimeout) * time.Microsecond
	s.http = &http.Server{Handler: s, IdleTimeout: idle, ReadHeaderTimeout: idle, ConnState: s.trackConnection,
		ConnContext: withConn, ErrorLog: discardLog}
	go s.http.Serve(listener)
	return nil
}

// listen opens an address that this process has closed before. It retries while the address is in use: a child process
// that is being forked holds a copy of the old listener until its exec.
func listen(addr string) (listener net.Listener, err error) {
	for range 100 {
		if listener, err = net.Listen("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return listener, err
}

// Stop stops the server: connections are reset, and new ones are refused. With keepConnections they stay open, but get
// no answer until the server starts again.
//
// The HTTP server is closed without the lock: its Close waits for the accept loop, which may in turn wait for the lock in
// trackConnection.
func (s *Server) Stop(keepConnections bool) {
	if ended := s.shutDown(keepConnections); ended != nil {
		ended.Close()
	}
}

// shutDown does the part of Stop that needs the lock. It returns the HTTP server to close without it, or nil.
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
			tcp.SetLinger(0) // reset, as when a process dies
		}
	}
	close(s.stopped)
	s.timer.Stop()
	if s.silenceEnded != nil {
		close(s.silenceEnded)
	}
	s.listener.Close() // http.Server closes the listener only if Serve has begun, which may not be the case yet
	server = s.http
	s.http = nil
	return server
}

// SetSlowdown sets the factor by which jobs that start from now on take longer.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SetSlowdown(factor)
}

// Stall stops all progress until the given time.
func (s *Server) Stall(until policy.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Stall(s.environment.Now(), until)
	s.scheduleAdvance()
}

// SetMode sets how the server answers from now on.
func (s *Server) SetMode(mode scenario.ServerMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// SetIgnoredShare makes the server ignore a share of the tries that applies selects: they neither run nor get an answer.
// A share of 0 ends the fault.
func (s *Server) SetIgnoredShare(share float64, applies func(ledger.TryID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoredShare = share
	s.ignoredTry = applies
	if s.rng == nil {
		s.rng = rand.New(rand.NewPCG(uint64(s.index), 1))
	}
}

// isIgnored decides by chance whether a push gets no answer.
func (s *Server) isIgnored(try ledger.TryID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ignoredShare > 0 && s.ignoredTry(try) && s.rng.Float64() < s.ignoredShare
}

// pushState is one push while the server works on it.
type pushState struct {
	workDone chan struct{} // closed when the server's own work is done
	push     ledger.PushID
	op       *Op
}

// trackConnection keeps the map of open connections up to date.
func (s *Server) trackConnection(conn net.Conn, connState http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch connState {
	case http.StateNew:
		s.connections[conn] = s.machineType.MaxConnections > 0 && len(s.connections) >= s.machineType.MaxConnections
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, conn)
	}
}

// scheduleAdvance sets the timer to the completion of the next job's work. The caller holds the lock.
func (s *Server) scheduleAdvance() {
	if next := s.model.NextCompletion(); next != servermodel.Never && s.http != nil {
		s.timer.Reset(time.Duration(max(0, next-s.environment.Now())) * time.Microsecond)
	}
}

// advance completes the jobs whose work is done.
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

// recordWork enters the effect and the work of a started job in the ledger. A job that never started is removed from the
// dedup memory, so that a repeat of its op runs.
func (s *Server) recordWork(job *servermodel.Job, state *pushState) {
	switch {
	case job.Started() && s.environment.Ledger != nil:
		s.environment.Ledger.RecordEffect(state.push)
		s.environment.Ledger.RecordWork(state.push, job.Work)
	case !job.Started() && state.op.Dedup != nil:
		state.op.DedupLock.Lock()
		state.op.Dedup.Forget(state.op.Key)
		state.op.DedupLock.Unlock()
	}
}

// ServeHTTP serves a push or a health or load report.
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

// servePush runs one push on the model, calls the next tier and writes the answer.
func (s *Server) servePush(w http.ResponseWriter, r *http.Request, try ledger.TryID, op *Op, stopped chan struct{}) {
	now := s.environment.Now()
	state := &pushState{workDone: make(chan struct{}), push: -1, op: op}
	startKnown := true
	if runLedger := s.environment.Ledger; runLedger != nil {
		state.push = runLedger.RecordPush(try, s.index, now)
		node, _ := runLedger.NodeOf(try)
		startKnown = runLedger.KnowsServerStart(node, s.index, s.StartedAt())
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
	case mode == scenario.ModeErrors:
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	case mode == scenario.ModeReject:
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
	job := &servermodel.Job{Work: op.Work + connectionCost(r, s.machineType), StartKnown: startKnown, Context: state}
	s.mu.Lock()
	result, peakLoad := s.model.Arrive(now, job), s.model.PeakLoad()
	if result != servermodel.Accepted {
		s.recordWork(job, state)
	}
	s.scheduleAdvance()
	s.mu.Unlock()
	if runLedger := s.environment.Ledger; runLedger != nil {
		runLedger.RecordPeakLoad(peakLoad)
		if result == servermodel.CollapsedByInformed || result == servermodel.CollapsedByUninformed {
			runLedger.RecordCollapse(s.index, result == servermodel.CollapsedByInformed)
		}
	}
	if result != servermodel.Accepted {
		writeRejection(w)
		return
	}
	select {
	case <-state.workDone:
	case <-stopped:
		abort(w)
	case <-r.Context().Done(): // the node has given up: a running job goes on, a waiting one is dropped
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

// timeRemaining returns how long the node waits for the answer, as its header says.
func timeRemaining(r *http.Request) policy.Micros {
	ms, _ := strconv.ParseInt(r.Header.Get("X-Remaining-Ms"), 10, 64)
	return policy.Micros(ms) * policy.Millisecond
}

// AnswerBody is the JSON body of an answer.
type AnswerBody struct {
	Server int           `json:"server"`
	Push   ledger.PushID `json:"push"`
}

// writeAnswer writes the answer in the form that the server's mode prescribes.
func (s *Server) writeAnswer(w http.ResponseWriter, state *pushState) {
	body, _ := json.Marshal(AnswerBody{s.index, state.push})
	s.mu.Lock()
	mode, resetAfter := s.mode, s.resetAfterBytes
	if mode == scenario.ModeReset {
		s.resetAfterBytes++
	}
	load := s.loadReport()
	s.mu.Unlock()
	switch mode {
	case scenario.ModeReset:
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		writeRawAndReset(w, response[:resetAfter%len(response)])
	case scenario.ModeCorrupt:
		writeRawAndReset(w, "\x16\x03\x01 this is no HTTP\r\n\r\n")
	default:
		if s.machineType.ReportsLoad {
			w.Header().Set("X-Pressure", "TEXT "+load)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	}
}

// loadReport returns the load report. The caller holds the lock.
func (s *Server) loadReport() string {
	return fmt.Sprintf("inflight=%d, queue=%d, util=%.2f", s.model.Running()+s.model.Waiting(), s.model.Waiting(),
		min(1, float64(s.model.Running())/float64(s.model.Cores)))
}

// serveLoadReport answers with the load report, and with status 503 if the server is not healthy.
func (s *Server) serveLoadReport(w http.ResponseWriter) {
	s.mu.Lock()
	load, healthy := s.loadReport(), s.mode == scenario.ModeNormal && !s.model.Collapsed()
	s.mu.Unlock()
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	io.WriteString(w, load)
}

// writeRejection answers that the server did not accept the push.
func writeRejection(w http.ResponseWriter) {
	w.Header().Set("X-Turned-Away", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
