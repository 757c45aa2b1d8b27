// Package frontend is the HTTP server for clients: it reads ops from requests, submits them to the node's actor and writes
// each op's one final answer.
package frontend

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/counters"
	"canvasrouter/internal/memory"
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
	maxRemaining   = time.Hour               // largest value of remainingHeader

	badRequestLogInterval   = time.Second           // minimum between two log lines about bad requests
	shortageLogInterval     = time.Second           // minimum between two log lines about a shortage of sockets
	tcpInfoGranularity      = 10 * time.Millisecond // the kernel reports times in steps of some milliseconds
	disconnectCheckInterval = 50 * time.Millisecond // between checks for a disconnect that the library can't notice

	killDelay   = 700 * time.Millisecond // the kill at a planned restart comes at the earliest this long after the longest TTL
	maxKillTTL  = 3 * time.Second        // longer TTLs count as this one, because the kill does not wait for them
	exitReserve = 200 * time.Millisecond // part of killDelay that is left to close connections and to exit

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
	refused    counters.Set // requests that were not taken, by the reason
	left       counters.Set // clients that left before their answer, by how that was noticed
	opIDs      opIDSet      // of the pending ops
	openConns  openConnSet
	bodyMemory bodyMemory
	drain      atomic.Pointer[drainState] // nil until a planned restart begins
}

// drainState is the state of a planned restart.
type drainState struct {
	startedAt time.Time
	deadline  policy.Micros // the last answer must be written by then
}

// Limits are what the client side may use of the process's resources.
type Limits struct {
	Sockets        *sockets.Budget
	Heads          *memory.Pool    // for large heads of requests; nil: they are not counted
	Bodies         *memory.Pool    // for the bodies of requests that are being read or served
	Backlog        int             // connections that may wait to be accepted; 0: the system's number
	BacklogBuffers sockets.Buffers // of a connection that waits to be accepted
	Buffers        sockets.Buffers // of a connection
}

// Listen opens the listener and returns a server that answers on it once Serve is called.
func Listen(addr string, options Options, limits Limits, actor Actor, clock *node.Clock,
	log zerolog.Logger) (*Server, error) {
	tcpListener, err := openListener(addr, limits.Backlog, limits.BacklogBuffers, log)
	if err != nil {
		return nil, err
	}
	// Bad clients may send requests at full speed, and a log line for each would cost more than the requests themselves.
	sampledLog := log.Sample(&zerolog.BurstSampler{Burst: 1, Period: badRequestLogInterval})
	s := &Server{
		bodyMemory: bodyMemory{limits.Bodies},
		actor:      actor,
		clock:      clock,
		log:        log,
		sampledLog: sampledLog,
		shortage:   log.Sample(&zerolog.BurstSampler{Burst: 1, Period: shortageLogInterval}),
	}
	s.listener = newListener(tcpListener, limits, &s.openConns)
	s.openConns.log = log
	s.listener.onShortage = s.logShortage
	s.listener.onAcceptError = s.logAcceptError
	s.SetOptions(options)
	limits.Sockets.OnExhausted(s.reclaimSocket)
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

// MarshalZerologObject writes what the connections are held for, and what was closed or refused so far and why.
func (s *Server) MarshalZerologObject(line *zerolog.Event) {
	line.Object("connections", s.openConns.countUses()).
		Object("closed", &s.openConns.closed).
		Object("refused", &s.refused).
		Object("left", &s.left).
		Int("ids", s.opIDs.size())
}

// logShortage logs what the clients' sockets are held for while a new connection waits for one.
func (s *Server) logShortage(waited time.Duration) {
	if event := s.shortage.Warn(); event.Enabled() {
		event.Int64("waited_ms", waited.Milliseconds()).Int64("checks", s.openConns.checks.Load()).
			EmbedObject(s.openConns.countUses()).Msg("no socket is free for clients")
	}
}

// logAcceptError logs that accepting fails for a moment.
func (s *Server) logAcceptError(err error) {
	s.sampledLog.Warn().Err(err).Msg("accept failed, tried again")
}

// SetOptions applies other settings to requests that begin from now on.
func (s *Server) SetOptions(options Options) { s.options.Store(&options) }

// closeIfNeeded lets the answer to a request close the connection if another one has been waiting for a socket, and the client does
// not wait for its answers: its connection would never be idle or stop, so its socket could not be reclaimed. It is called when
// the request was read whole.
func (s *Server) closeIfNeeded(w http.ResponseWriter, r *http.Request) {
	if c, ok := connOf(r); ok && s.listener.shortage().waited > newConnGrace && c.sentNext() {
		w.Header().Set("Connection", "close")
	}
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
		s.answerReady(w, r)
		return
	}
	var err error
	op, err = s.readOp(w, r)
	var refused *requestError
	if errors.As(err, &refused) {
		s.refuseBadRequest(w, r, refused)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	answer := node.Answer{Verdict: node.DeadLettered, MayRunYet: true} // until there is one
	defer func() { s.releaseID(op, answer) }()
	s.actor.Submit(op)
	answer = s.awaitAnswer(r, op)
	s.closeIfNeeded(w, r)
	control.SetWriteDeadline(time.Now().Add(s.options.Load().MaxTTL + writeTimeout)) // the client may read nothing
	s.writeAnswer(w, answer)
}
