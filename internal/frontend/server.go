// Package frontend is the HTTP server for clients: it reads ops from requests, submits them to the node's actor and writes
// each op's one final answer.
package frontend

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

const (
	readyPath = "/-/ready" // readiness check

	idHeader        = "X-Txn"           // id of the op
	keyHeader       = "Idempotency-Key" // lets servers drop duplicates of an op
	remainingHeader = "X-Remaining-Ms"  // how long the client still waits, in milliseconds
	retryHeader     = "X-Resent"        // "1" if the client has sent the op before
	tenantHeader    = "X-Org"
	labelsHeader    = "X-Labels" // comma-separated key=value pairs
	tenantLabel     = "org"

	headerTimeout  = 2 * time.Second         // for reading a header; for the first one since the connection was accepted
	requestTimeout = 2500 * time.Millisecond // for reading a whole request, counted likewise
	minBodyTimeout = 500 * time.Millisecond  // minimum of requestTimeout for the body; also for reading on after a refusal
	idleTimeout    = 4 * time.Second         // between two requests of a connection
	writeTimeout   = 2 * time.Second         // for writing an answer, beyond the longest TTL
	maxHeaderBytes = 16 << 10                // of a request's header
	maxRemaining   = time.Hour               // largest value of remainingHeader

	badRequestLogInterval   = time.Second           // minimum between two log lines about bad requests
	shortageLogInterval     = time.Second           // minimum between two log lines about a shortage of sockets
	tcpInfoGranularity      = 10 * time.Millisecond // the kernel reports times in steps of some milliseconds
	disconnectCheckInterval = 50 * time.Millisecond // between checks for a disconnect that the library can't notice

	killDelay   = 700 * time.Millisecond // the kill at a planned restart comes at the earliest this long after the longest TTL
	maxKillTTL  = 3 * time.Second        // longer TTLs count as this one, because the kill does not wait for them
	exitReserve = 200 * time.Millisecond // part of killDelay that is left to close connections and to exit

	statusClientLeft    = -1 // no response: the client has left
	statusNacked        = http.StatusServiceUnavailable
	statusDeadLettered  = http.StatusBadGateway
	statusInternalError = http.StatusInternalServerError
)

// Actor is the part of the node's actor that the client side uses.
type Actor interface {
	// Submit hands over an op, which is answered in any case.
	Submit(*node.Op)
	// Abandon reports that the op's client has disconnected.
	Abandon(*node.Op)
	// SetShutdownDeadline sets the time by which every op is answered before the process ends.
	SetShutdownDeadline(policy.Micros)
}

// Options are the settings of the client side.
type Options struct {
	Categories, Tenants []string                   // names, indexed by the numbers that the module uses
	DeliverySemantics   []policy.DeliverySemantics // of each category, by its number
	MaxTTL              time.Duration              // longest TTL of all categories; no op is pending for longer
	MinTTL              time.Duration              // shortest TTL of all categories; zero if it is not known
	GenerationNumber    int                        // the generation of these settings
}

// drainTimes returns, as durations after SIGTERM, how long kept connections are served and when the last answer must be
// written. A third of the longest TTL lies between the two. TTLs count for at most maxKillTTL, because the kill does not
// wait for longer ones.
func (o *Options) drainTimes() (serveKept, lastAnswer time.Duration) {
	longest := min(o.MaxTTL, maxKillTTL)
	lastAnswer = longest + killDelay - exitReserve
	return lastAnswer - longest/3, lastAnswer
}

// Server accepts client connections and serves ops.
type Server struct {
	options    atomic.Pointer[Options]
	actor      Actor
	clock      *node.Clock
	log        zerolog.Logger
	sampledLog zerolog.Logger // rate-limited log for errors that bad clients cause
	shortage   zerolog.Logger // rate-limited log for shortages of sockets
	http       *http.Server
	listener   *listener
	opIDs      opIDSet // of the pending ops
	openConns  openConnSet
	drain      atomic.Pointer[drainState] // nil until a planned restart begins
}

// drainState is the state of a planned restart.
type drainState struct {
	startedAt time.Time
	deadline  policy.Micros // the last answer must be written by then
}

// Listen opens the listener and returns a server that answers on it once Serve is called.
func Listen(addr string, options Options, budget *sockets.Budget, actor Actor, clock *node.Clock,
	log zerolog.Logger) (*Server, error) {
	tcpListener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	// Bad clients may send requests at full speed, and a log line for each would cost more than the requests themselves.
	sampledLog := log.Sample(&zerolog.BurstSampler{Burst: 1, Period: badRequestLogInterval})
	s := &Server{
		actor:      actor,
		clock:      clock,
		log:        log,
		sampledLog: sampledLog,
		shortage:   log.Sample(&zerolog.BurstSampler{Burst: 1, Period: shortageLogInterval}),
	}
	s.listener = newListener(tcpListener.(*net.TCPListener), budget, s.logShortage)
	s.SetOptions(options)
	budget.OnExhausted(s.reclaimSocket)
	s.http = &http.Server{
		Handler:                      s,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     stdlog.New(sampledLog.With().Str("from", "net/http").Logger(), "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: s.openConns.stateChanged,
	}
	return s, nil
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// connOf returns the connection of a request.
func connOf(r *http.Request) (*conn, bool) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return c, ok
}

// Serve accepts and serves connections until Drain has closed the listener.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// reclaimSocket closes a connection that can be done without, because another one waits for a socket.
func (s *Server) reclaimSocket() {
	s.openConns.reclaimSocket(s.listener.shortage(), s.options.Load().usualGrace())
}

// logShortage logs what the clients' sockets are held for while a new connection waits for one.
func (s *Server) logShortage(waited time.Duration) {
	if event := s.shortage.Warn(); event.Enabled() {
		event.Int64("waited_ms", waited.Milliseconds()).EmbedObject(s.openConns.countUses()).Msg("no socket is free for clients")
	}
}

// SetOptions applies other settings to requests that begin from now on.
func (s *Server) SetOptions(options Options) { s.options.Store(&options) }

// Drain ends the server for a planned restart without losing an op. For a while, new connections are still accepted and
// served, with answers that close them; then the listener closes and the pending ops are finished. The channel delivers the
// result of Serve, which ends by the drain if it has not ended before. With keepServing, connections that clients have kept
// open are served for as long as the time until the kill allows.
func (s *Server) Drain(served <-chan error, keepServing bool) {
	startedAt := time.Now()
	serveKept, lastAnswer := s.options.Load().drainTimes()
	// The last answers are written at the deadline that ops are given, and closing connections at the same moment would cut
	// them off.
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(lastAnswer+exitReserve/2))
	defer cancel()
	deadline := s.clock.Now() + policy.Micros(lastAnswer/time.Microsecond)
	s.drain.Store(&drainState{startedAt: startedAt, deadline: deadline})
	s.actor.SetShutdownDeadline(deadline)
	s.listener.drain()
	<-served
	if keepServing {
		s.serveKeptConns(startedAt.Add(serveKept))
	}
	// Requests that bad clients have begun and never finish would delay the restart by seconds, and the next node may go
	// down in the meantime. So connections without a complete request, on which nothing arrives any more, are closed.
	s.listener.ending.Store(true)
	shutdown := make(chan error, 1)
	go func() { shutdown <- s.http.Shutdown(ctx) }()
	ticker := time.NewTicker(minBodyTimeout / 10)
	defer ticker.Stop()
	for {
		select {
		case err := <-shutdown:
			if err != nil {
				s.http.Close()
			}
			return
		case <-ticker.C:
			s.openConns.closeIncomplete(minBodyTimeout)
		}
	}
}

// serveKeptConns waits until the deadline, or until all connections are closed, while kept connections are served. The next
// node may be in a planned restart itself, and clients that are sent away from this one at once would find no node.
func (s *Server) serveKeptConns(deadline time.Time) {
	ticker := time.NewTicker(backlogQuietTime)
	defer ticker.Stop()
	for now := range ticker.C {
		if s.openConns.empty() || now.After(deadline) {
			return
		}
	}
}

// arrivedDuringDrain reports whether a request's connection was accepted after a planned restart had begun, so that its
// client has to be sent to another node.
func (s *Server) arrivedDuringDrain(r *http.Request) bool {
	drain := s.drain.Load()
	c, ok := connOf(r)
	return drain != nil && ok && c.acceptedAt.After(drain.startedAt)
}

// ServeHTTP serves one op. There is no http.ServeMux, because it would clean paths and redirect.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.arrivedDuringDrain(r) {
		w.Header().Set("Connection", "close")
	}
	// The library clears neither deadline between requests, and after an answer it reads to the end of a body that may
	// never come.
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(writeTimeout))
	control.SetWriteDeadline(time.Now().Add(2 * writeTimeout))
	var op *node.Op
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			panic(v)
		default:
			// The library would close the connection without an answer, and the op would be lost.
			s.log.Error().Interface("panic", v).Msg("client's side")
			if op != nil {
				s.actor.Abandon(op)
			}
			w.WriteHeader(statusInternalError)
		}
	}()
	if r.URL.Path == readyPath {
		answerReady(w, r)
		return
	}
	op, status, reason := s.readOp(w, r)
	if status == statusClientLeft {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	if op == nil {
		if c, ok := connOf(r); ok && !c.markRefused() {
			panic(http.ErrAbortHandler) // this process has closed the connection
		}
		// A bad request may be followed by more of the same, or by a request hidden in its body, so the connection is
		// closed. Bytes that still arrive are read for a while, because a reset would discard the answer.
		s.sampledLog.Warn().Int("status", status).Str("reason", reason).Msg("bad request")
		control.SetReadDeadline(time.Now().Add(minBodyTimeout))
		w.Header().Set("Connection", "close")
		http.Error(w, reason, status)
		return
	}
	defer s.opIDs.release(op.Header.Get(idHeader))
	s.actor.Submit(op)
	answer := s.awaitAnswer(r, op)
	control.SetWriteDeadline(time.Now().Add(s.options.Load().MaxTTL + writeTimeout)) // the client may read nothing
	s.writeAnswer(w, answer)
}

// answerReady answers a readiness check.
func answerReady(w http.ResponseWriter, r *http.Request) {
	mayAnswer := (*conn).claimRequest
	if r.ContentLength != 0 { // its body may never come
		w.Header().Set("Connection", "close")
		mayAnswer = (*conn).markRefused
	}
	if c, ok := connOf(r); ok && !mayAnswer(c) {
		panic(http.ErrAbortHandler) // this process has closed the connection
	}
	w.WriteHeader(http.StatusOK)
}

// awaitAnswer waits for the op's answer. If the client disconnects first, it abandons the op.
func (s *Server) awaitAnswer(r *http.Request, op *node.Op) node.Answer {
	var check <-chan time.Time
	c, ok := connOf(r)
	if ok {
		if c.disconnectTimer == nil {
			c.disconnectTimer = time.NewTimer(disconnectCheckInterval)
		}
		c.disconnectTimer.Reset(disconnectCheckInterval)
		defer c.disconnectTimer.Stop()
		check = c.disconnectTimer.C
	}
	for {
		select {
		case answer := <-op.Answered():
			return answer
		case <-r.Context().Done():
		case <-check:
			if !c.disconnectedUnnoticed() {
				c.disconnectTimer.Reset(disconnectCheckInterval)
				continue
			}
			s.log.Debug().Msg("client left unread")
		}
		s.actor.Abandon(op)
		return <-op.Answered()
	}
}

// readOp reads an op from a request. If the request is unusable the op is nil, with the status and reason to answer.
func (s *Server) readOp(w http.ResponseWriter, r *http.Request) (op *node.Op, status int, reason string) {
	options := s.options.Load() // one set of settings for the whole request, which may change while it is read
	if !r.ProtoAtLeast(1, 1) || len(r.TransferEncoding) > 0 {
		// Given both a length and chunked encoding, the library uses the chunks and drops the length. A server that does the
		// opposite would find another request in the body. Clients always send the length.
		return nil, http.StatusLengthRequired, "HTTP/1.1 and a Content-Length are needed"
	}
	category, found := options.category(r.RequestURI)
	if !found {
		return nil, http.StatusNotFound, "no such category"
	}
	id, err := singleHeader(r.Header, idHeader)
	if err != nil {
		return nil, http.StatusBadRequest, err.Error()
	}
	remainingText, err := singleHeader(r.Header, remainingHeader)
	if err != nil {
		return nil, http.StatusBadRequest, err.Error()
	}
	milliseconds, err := strconv.ParseInt(remainingText, 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > maxRemaining.Milliseconds() {
		return nil, http.StatusBadRequest, remainingHeader + " is not a time in whole milliseconds"
	}
	remaining := policy.Micros(min(time.Duration(milliseconds)*time.Millisecond, options.MaxTTL) / time.Microsecond)
	if status, reason := checkForm(r, options.DeliverySemantics[category]); status != 0 {
		return nil, status, reason
	}
	tenant, err := options.tenant(r.Header)
	if err != nil {
		return nil, http.StatusBadRequest, err.Error()
	}
	if r.ContentLength > node.MaxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge, "body is too long"
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(bodyDeadline(r)) // the body may never come
	body, err := readBody(r)
	if err != nil {
		return nil, http.StatusBadRequest, "body is cut short"
	}
	if !s.opIDs.reserve(id) {
		// Two ops with one id would be two runs of the same op to a server.
		body.Release()
		return nil, http.StatusConflict, idHeader + " is that of an op in hand"
	}
	// The op's remaining time counts from the arrival of its last byte. A process that was not scheduled reads the request
	// later, and would answer after the client has given up.
	now := s.clock.Now()
	if c, ok := connOf(r); ok {
		state := readTCPState(c.tcp)
		if state.clientClosed || !c.claimRequest() {
			// While the op waited in the backlog, for a socket or for a CPU, its client has left or this process has closed
			// the connection. The library would notice only after the op has been pushed.
			s.opIDs.release(id)
			body.Release()
			return nil, statusClientLeft, ""
		}
		if state.sinceLastByte > tcpInfoGranularity {
			now -= min(policy.Micros(state.sinceLastByte/time.Microsecond), remaining)
		}
	}
	control.SetReadDeadline(time.Time{}) // otherwise a timed-out read would look like a client that has left
	op = node.NewOp()
	op.Request = node.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body}
	op.Category = category
	op.Tenant = tenant
	op.GenerationNumber = options.GenerationNumber
	op.Deadline = now + remaining
	if drain := s.drain.Load(); drain != nil {
		op.Deadline = min(op.Deadline, drain.deadline) // an op that is unanswered at the kill is lost
	}
	op.ClientRetry = r.Header.Get(retryHeader) == "1"
	if c, ok := connOf(r); ok {
		op.Client = c
	}
	return op, 0, ""
}

// readBody reads the body of a request.
func readBody(r *http.Request) (*node.Payload, error) {
	if c, ok := connOf(r); ok && r.ContentLength > 0 {
		c.setPhase(phaseBody)
		defer c.setPhase(phaseHandler)
	}
	return node.ReadPayload(r.Body, r.ContentLength)
}

// bodyDeadline returns when the body of a request must have been read. For the first request of a connection it counts from
// the time at which the connection was accepted.
func bodyDeadline(r *http.Request) time.Time {
	now := time.Now()
	if c, ok := connOf(r); ok && !c.hadRequest {
		c.hadRequest = true
		return later(c.acceptedAt.Add(requestTimeout), now.Add(minBodyTimeout))
	}
	return now.Add(requestTimeout)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// singleHeader returns the value of a header that must occur exactly once and must not be empty.
func singleHeader(header http.Header, name string) (string, error) {
	values := header.Values(name)
	if len(values) != 1 || values[0] == "" {
		return "", fmt.Errorf("%s is not there once", name)
	}
	return values[0], nil
}

// checkForm refuses a request whose method, body or key does not match its category's delivery semantics. A server can't
// drop duplicates of an op without a key, and a server that ignores the body of a GET would read the body as a request of
// its own.
func checkForm(r *http.Request, semantics policy.DeliverySemantics) (status int, reason string) {
	method := http.MethodPost
	if semantics == policy.Redeliverable {
		method = http.MethodGet
	}
	switch {
	case r.Method != method:
		return http.StatusMethodNotAllowed, "this category goes by " + method
	case method == http.MethodGet && r.ContentLength != 0:
		return http.StatusBadRequest, "a GET has no body"
	case semantics == policy.Deduplicated:
		if _, err := singleHeader(r.Header, keyHeader); err != nil {
			return http.StatusBadRequest, err.Error()
		}
	}
	return 0, ""
}

// category returns the category that the first path segment names.
func (o *Options) category(target string) (policy.CategoryID, bool) {
	name, found := strings.CutPrefix(target, "/")
	if end := strings.IndexAny(name, "/?"); end >= 0 {
		name = name[:end]
	}
	i := slices.Index(o.Categories, name)
	return policy.CategoryID(max(i, 0)), found && i >= 0
}

// tenant returns the tenant of a request, which the tenant header or a label gives by name or by its number in the settings.
func (o *Options) tenant(header http.Header) (policy.TenantID, error) {
	name := header.Get(tenantHeader)
	for label := range strings.SplitSeq(header.Get(labelsHeader), ",") {
		if key, value, _ := strings.Cut(strings.TrimSpace(label), "="); name == "" && key == tenantLabel {
			name = value
		}
	}
	if name == "" || len(o.Tenants) == 0 {
		return 0, nil
	}
	i := slices.Index(o.Tenants, name)
	if number, err := strconv.Atoi(name); i < 0 && err == nil {
		i = number
	}
	if i < 0 || i >= len(o.Tenants) {
		return 0, fmt.Errorf("no such tenant: %q", name)
	}
	return policy.TenantID(i), nil
}

// writeAnswer writes the final answer of an op and releases its body.
func (s *Server) writeAnswer(w http.ResponseWriter, answer node.Answer) {
	defer answer.Body.Release()
	if answer.OverLimit {
		w.Header().Set("Connection", "close")
	}
	switch answer.Verdict {
	case node.Acked:
		header := w.Header()
		for name, values := range answer.Header {
			header[name] = values
		}
		header.Set("Content-Length", strconv.Itoa(len(answer.Body.Bytes())))
		w.WriteHeader(http.StatusOK)
		w.Write(answer.Body.Bytes())
	case node.Nacked:
		if answer.RetryAfter > 0 {
			seconds := float64(answer.RetryAfter) / float64(policy.Second)
			w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
		}
		w.WriteHeader(statusNacked)
	case node.DeadLettered:
		w.WriteHeader(statusDeadLettered)
	case node.ClientLeft:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
}
