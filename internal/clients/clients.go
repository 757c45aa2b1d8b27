// Package clients takes ops from clients over net/http and gives each its one final answer.
package clients

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
	readyPath       = "/-/ready"
	idHeader        = "X-Txn"
	keyHeader       = "Idempotency-Key"
	remainingHeader = "X-Remaining-Ms"
	repeatedHeader  = "X-Resent"
	tenantHeader    = "X-Org"
	labelsHeader    = "X-Labels"
	tenantLabel     = "org"

	headerWait     = 2 * time.Second         // for a request's header, once it has begun; for the first from connecting
	wholeWait      = 2500 * time.Millisecond // for a whole request, counted likewise
	leastWait      = 500 * time.Millisecond  // of it, for the body; and for what still comes after a refusal
	idleWait       = 4 * time.Second         // between two requests
	writeWait      = 2 * time.Second         // for an answer, past the client's own wait
	mostHeader     = 16 << 10
	complainEvery  = time.Second // between two log lines on bad requests
	longestWait    = time.Hour
	killAfter      = 700 * time.Millisecond // a planned restart may be cut short this long after the longest TTL,
	killTTL        = 3 * time.Second        // which counts for no more than this
	exitTime       = 200 * time.Millisecond // of it, to close what is open and to exit
	coarse         = 10 * time.Millisecond  // the kernel tells times in steps of some milliseconds
	lookEvery      = 50 * time.Millisecond  // for a client that has left unread
	statusLeft     = -1                     // nobody to answer
	statusNack     = http.StatusServiceUnavailable
	statusDead     = http.StatusBadGateway
	statusInternal = http.StatusInternalServerError
)

// Actor is the module's actor, as a client's side sees it.
type Actor interface {
	Submit(*node.Op)
	Abandon(*node.Op)
	SetShutdownDeadline(policy.Micros)
}

// Options are what the settings say of clients.
type Options struct {
	Categories, Tenants []string
	DeliverySemantics   []policy.DeliverySemantics // of each category
	MaxTTL              time.Duration              // TTL of any category: no op is in hand for longer
	GenerationNumber    int                        // of the settings that say so
}

// drainTimes are how long after SIGTERM connections that clients have kept are served, and when the last answer must be
// out; a third of the longest TTL lies between. Danger: the kill does not wait for longer TTLs.
func (o *Options) drainTimes() (stay, last time.Duration) {
	longest := min(o.MaxTTL, killTTL)
	last = longest + killAfter - exitTime
	return last - longest/3, last
}

// Server takes ops.
type Server struct {
	options  atomic.Pointer[Options]
	actor    Actor
	clock    *node.Clock
	log      zerolog.Logger
	sampled  zerolog.Logger // for what bad clients cause
	http     *http.Server
	listener *listener
	idle     idlers
	ids      ids
	conns    conns
	drain    atomic.Pointer[drain] // nil until a planned restart
}

// drain is a planned restart: when it began, and when the last answer must be out.
type drain struct {
	begun time.Time
	end   policy.Micros
}

// Listen opens the listener; Serve answers on it.
func Listen(addr string, options Options, part *sockets.Budget, actor Actor, clock *node.Clock,
	log zerolog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	// Danger: bad clients come at full speed, and a line for each would cost more than they do.
	sampled := log.Sample(&zerolog.BurstSampler{Burst: 1, Period: complainEvery})
	s := &Server{actor: actor, clock: clock, log: log, sampled: sampled,
		listener: newListener(l.(*net.TCPListener), part)}
	s.SetOptions(options)
	part.OnExhausted(s.idle.shed)
	s.http = &http.Server{
		Handler:                      s,
		ReadHeaderTimeout:            headerWait,
		IdleTimeout:                  idleWait,
		MaxHeaderBytes:               mostHeader,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     stdlog.New(sampled.With().Str("from", "net/http").Logger(), "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			s.idle.set(c, state)
			s.conns.set(c, state)
			if state == http.StateIdle {
				part.NotifyIdle()
			}
		},
	}
	return s, nil
}

// connKey finds a request's connection in its context.
type connKey struct{}

// connOf is the connection that a request came on.
func connOf(r *http.Request) (*conn, bool) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return c, ok
}

// Serve answers until Drain has closed the listener.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Use reads requests that begin from now on by other settings.
func (s *Server) SetOptions(options Options) { s.options.Store(&options) }

// Drain loses nothing taken: new connections are taken and served for a while, with answers that close them,
// then the listener closes and ops in hand are finished. Serve must be over, or end by it. With stay, connections that
// clients have kept are served for as long as the time to the kill allows.
func (s *Server) Drain(served <-chan error, stay bool) {
	begun := time.Now()
	until, last := s.options.Load().drainTimes()
	// Danger: the last answers are made at the end that ops are given, and a close in the same moment would cut them off.
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(last+exitTime/2))
	defer cancel()
	end := s.clock.Now() + policy.Micros(last/time.Microsecond)
	s.drain.Store(&drain{begun: begun, end: end})
	s.actor.SetShutdownDeadline(end)
	s.listener.drain()
	<-served
	if stay {
		s.stay(begun.Add(until))
	}
	// Danger: what bad clients have begun and never end would hold the restart up for seconds, and the next node may
	// go down meanwhile. What holds no whole request, and on which nothing comes any more, is closed.
	over := make(chan error, 1)
	go func() { over <- s.http.Shutdown(ctx) }()
	look := time.NewTicker(leastWait / 10)
	defer look.Stop()
	for {
		select {
		case err := <-over:
			if err != nil {
				s.http.Close()
			}
			return
		case <-look.C:
			s.conns.closeHalf(leastWait)
		}
	}
}

// stay serves the connections that clients have kept. Danger: the next node may be in a planned restart itself, and clients
// that are sent away from here at once find none.
func (s *Server) stay(until time.Time) {
	look := time.NewTicker(quietWindow)
	defer look.Stop()
	for now := range look.C {
		if s.conns.none() || now.After(until) {
			return
		}
	}
}

// closes says that a connection came after a planned restart began: its client is to go elsewhere.
func (s *Server) closes(r *http.Request) bool {
	d := s.drain.Load()
	c, ok := connOf(r)
	return d != nil && ok && c.came.After(d.begun)
}

// ServeHTTP takes one op. There is no mux: it would clean paths and redirect.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closes(r) {
		w.Header().Set("Connection", "close")
	}
	// Danger: the library clears neither deadline between requests, and reads on after an answer to the end of a
	// body that may never come.
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(writeWait))
	control.SetWriteDeadline(time.Now().Add(2 * writeWait))
	var op *node.Op
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			panic(v)
		default:
			// Danger: the library would end the connection, and the op would be lost.
			s.log.Error().Interface("panic", v).Msg("client's side")
			if op != nil {
				s.actor.Abandon(op)
			}
			w.WriteHeader(statusInternal)
		}
	}()
	if r.URL.Path == readyPath {
		w.WriteHeader(http.StatusOK)
		return
	}
	op, status, reason := s.read(w, r)
	if status == statusLeft {
		panic(http.ErrAbortHandler) // nobody to answer
	}
	if op == nil {
		// Danger: behind what can't be used stands more of the same, or a request hidden in it. The connection
		// closes; what still comes is read for a while, or a reset would wipe out the answer.
		s.sampled.Warn().Int("status", status).Str("reason", reason).Msg("bad request")
		control.SetReadDeadline(time.Now().Add(leastWait))
		w.Header().Set("Connection", "close")
		http.Error(w, reason, status)
		return
	}
	defer s.ids.give(op.Header.Get(idHeader))
	s.actor.Submit(op)
	s.write(w, s.answer(r, op))
}

// answer waits for the op's answer, or for its client to leave.
func (s *Server) answer(r *http.Request, op *node.Op) node.Answer {
	var look <-chan time.Time
	c, ok := connOf(r)
	if ok {
		if c.look == nil {
			c.look = time.NewTimer(lookEvery)
		}
		c.look.Reset(lookEvery)
		defer c.look.Stop()
		look = c.look.C
	}
	for {
		select {
		case answer := <-op.Answered():
			return answer
		case <-r.Context().Done():
		case <-look:
			if !c.leftUnread() {
				c.look.Reset(lookEvery)
				continue
			}
			s.log.Debug().Msg("client left unread")
		}
		s.actor.Abandon(op)
		return <-op.Answered()
	}
}

// read takes an op out of a request, or says what is wrong with it.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (op *node.Op, status int, reason string) {
	options := s.options.Load() // the settings may change while the request is being read
	if !r.ProtoAtLeast(1, 1) || len(r.TransferEncoding) > 0 {
		// Danger: of a length and chunks together the library takes the chunks and drops the length; a server that
		// does the opposite would find another request in the body. Clients always say the length.
		return nil, http.StatusLengthRequired, "HTTP/1.1 and a Content-Length are needed"
	}
	category, found := options.category(r.RequestURI)
	if !found {
		return nil, http.StatusNotFound, "no such category"
	}
	id, err := single(r.Header, idHeader)
	if err != nil {
		return nil, http.StatusBadRequest, err.Error()
	}
	wait, err := single(r.Header, remainingHeader)
	if err != nil {
		return nil, http.StatusBadRequest, err.Error()
	}
	remaining, err := strconv.ParseInt(wait, 10, 64)
	if err != nil || remaining < 0 || remaining > longestWait.Milliseconds() {
		return nil, http.StatusBadRequest, remainingHeader + " is not a time in whole milliseconds"
	}
	if status, reason := fits(r, options.DeliverySemantics[category]); status != 0 {
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
	control.SetReadDeadline(bodyDeadline(r)) // a body that never comes
	body, err := node.ReadPayload(r.Body, r.ContentLength)
	if err != nil {
		return nil, http.StatusBadRequest, "body is cut short"
	}
	if !s.ids.take(id) {
		// Danger: two pushes of one id are two runs of one op to a server.
		body.Release()
		return nil, http.StatusConflict, idHeader + " is that of an op in hand"
	}
	// The op's time begins at its last byte. Danger: a node that had to wait for its core reads it later, and would
	// answer after the client has gone.
	now := s.clock.Now()
	if c, ok := connOf(r); ok {
		h := received(c.tcp)
		if h.ended || !c.take() {
			// Danger: the op waited in the backlog, for a socket or for this process's core, and its client has left
			// meanwhile, or the connection was closed here; the library would notice after it has been pushed.
			s.ids.give(id)
			body.Release()
			return nil, statusLeft, ""
		}
		if h.since > coarse {
			now -= min(policy.Micros(h.since/time.Microsecond), policy.Micros(remaining)*policy.Millisecond)
		}
	}
	control.SetReadDeadline(time.Time{}) // or it would look as if the client had left
	control.SetWriteDeadline(time.Now().Add(time.Duration(remaining)*time.Millisecond + writeWait))
	op = node.NewOp()
	op.Request = node.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body}
	op.Category, op.Tenant, op.GenerationNumber = category, tenant, options.GenerationNumber
	op.Deadline = now + policy.Micros(remaining)*policy.Millisecond
	if d := s.drain.Load(); d != nil {
		op.Deadline = min(op.Deadline, d.end) // Danger: what the kill finds unanswered is lost
	}
	op.ClientRetry = r.Header.Get(repeatedHeader) == "1"
	if c, ok := connOf(r); ok {
		op.Client = c
	}
	return op, 0, ""
}

// bodyDeadline ends the wait for a body. On a new connection it counts from connecting.
func bodyDeadline(r *http.Request) time.Time {
	begun := time.Now()
	if c, ok := connOf(r); ok && !c.asked {
		c.asked = true
		return later(c.came.Add(wholeWait), begun.Add(leastWait))
	}
	return begun.Add(wholeWait)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// single is a header that must be there once.
func single(header http.Header, name string) (string, error) {
	values := header.Values(name)
	if len(values) != 1 || values[0] == "" {
		return "", fmt.Errorf("%s is not there once", name)
	}
	return values[0], nil
}

// fits refuses a request whose form does not belong to what a second run of its op does. Danger: a server can't drop
// the repeats of an op without a key, and one that passes over a GET's body reads it as a request of its own.
func fits(r *http.Request, repeat policy.DeliverySemantics) (status int, reason string) {
	method := http.MethodPost
	if repeat == policy.Redeliverable {
		method = http.MethodGet
	}
	switch {
	case r.Method != method:
		return http.StatusMethodNotAllowed, "this category goes by " + method
	case method == http.MethodGet && r.ContentLength != 0:
		return http.StatusBadRequest, "a GET has no body"
	case repeat == policy.Deduplicated:
		if _, err := single(r.Header, keyHeader); err != nil {
			return http.StatusBadRequest, err.Error()
		}
	}
	return 0, ""
}

// category is named by the first part of the path.
func (o *Options) category(target string) (policy.CategoryID, bool) {
	rest, found := strings.CutPrefix(target, "/")
	if end := strings.IndexAny(rest, "/?"); end >= 0 {
		rest = rest[:end]
	}
	i := slices.Index(o.Categories, rest)
	return policy.CategoryID(max(i, 0)), found && i >= 0
}

// tenant is named, or numbered as in the settings, by a header of its own or among the labels.
func (o *Options) tenant(header http.Header) (policy.TenantID, error) {
	word := header.Get(tenantHeader)
	for label := range strings.SplitSeq(header.Get(labelsHeader), ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(label), "="); word == "" && name == tenantLabel {
			word = value
		}
	}
	if word == "" || len(o.Tenants) == 0 {
		return 0, nil
	}
	i := slices.Index(o.Tenants, word)
	if number, err := strconv.Atoi(word); i < 0 && err == nil {
		i = number
	}
	if i < 0 || i >= len(o.Tenants) {
		return 0, fmt.Errorf("no such tenant: %q", word)
	}
	return policy.TenantID(i), nil
}

func (s *Server) write(w http.ResponseWriter, answer node.Answer) {
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
		w.WriteHeader(statusNack)
	case node.DeadLettered:
		w.WriteHeader(statusDead)
	case node.ClientLeft:
		panic(http.ErrAbortHandler) // nobody to answer
	}
}
