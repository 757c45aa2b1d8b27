package servers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/memory"
	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

// Headers of requests and answers.
const (
	remainingHeader  = "X-Remaining-Ms" // request: how long the node still waits, in milliseconds
	turnedAwayHeader = "X-Turned-Away"  // answer: "1" if the server has rejected the op without running it
	loadHeader       = "X-Pressure"     // answer: the server's load report, not forwarded
)

// hopByHopHeaders are the headers that concern a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// removeHopByHopHeaders removes the headers that are not forwarded.
func removeHopByHopHeaders(header http.Header) {
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// serverActor sends the pushes to one server. It owns the transport and so the connections to that server.
type serverActor struct {
	log       zerolog.Logger
	addr      string
	mailbox   chan *node.Push
	transport *http.Transport
	budget    *sockets.Budget
	answers   *memory.Pool // nil: answers are not counted
	openConns *connSet
	onPushEnd func(*node.Push, node.Result)
}

// newServerActor returns an actor whose run method has not been started.
func newServerActor(addr string, options Options, budget *sockets.Budget, openConns *connSet,
	log zerolog.Logger, onPushEnd func(*node.Push, node.Result)) *serverActor {
	dialer := &sockets.Dialer{Dialer: net.Dialer{Timeout: options.DialTimeout, Control: options.Buffers.Control}, Budget: budget}
	a := &serverActor{
		log:       log,
		addr:      addr,
		mailbox:   make(chan *node.Push, options.MaxInFlight),
		budget:    budget,
		answers:   options.Answers,
		openConns: openConns,
		onPushEnd: onPushEnd,
	}
	a.transport = &http.Transport{
		Proxy: nil, // not from the environment either
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			start := time.Now()
			opened, err := dialer.Dial(ctx, network, addr)
			a.log.Debug().Err(err).Dur("took_ms", time.Since(start)).Msg("dial")
			if err != nil {
				return nil, err
			}
			return openConns.add(&conn{
				Conn:         opened,
				owner:        a,
				answers:      options.Answers,
				openConns:    openConns,
				stallTimeout: stallTimeoutFactor * options.DialTimeout,
			}), nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: budget.Size(),
		// Closes idle connections before the server does: a push written at that moment would end as a reset.
		IdleConnTimeout:        options.ServerIdleTimeout * 9 / 10,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return a
}

// run sends each push in a goroutine of its own, until the mailbox is closed and the last push has ended.
func (a *serverActor) run() {
	var inFlight sync.WaitGroup
	for push := range a.mailbox {
		inFlight.Go(func() {
			a.onPushEnd(push, a.sendSafely(push))
		})
	}
	a.openConns.closeIdleOf(a) // before the last push ends, since no new push comes
	inFlight.Wait()
	a.transport.CloseIdleConnections()
}

// sendSafely does the work of sendUntilDone. A panic would end the process; the push may have run then.
func (a *serverActor) sendSafely(push *node.Push) (result node.Result) {
	defer func() {
		if r := recover(); r != nil {
			a.log.Error().Interface("panic", r).Bytes("stack", debug.Stack()).Msg("push")
			result = node.Result{Outcome: policy.Reset}
		}
	}()
	return a.sendUntilDone(push)
}

// sendUntilDone sends a push and reads its whole answer.
//
// A reused connection may have ended, or have received unsolicited bytes, since its last use. Nothing of the push was
// written on it then, so the push takes another connection. This ends: each such connection is closed, and a new connection
// is final.
func (a *serverActor) sendUntilDone(push *node.Push) node.Result {
	defer push.Body.Close()
	for {
		if result, retry := a.sendOnce(push); !retry {
			return result
		}
	}
}

// sendOnce sends a push on one connection, and reports whether it has to be sent on another connection instead.
//
// The state of the connection counts only if there is no answer. After an answer the connection may already be assigned to
// another push, which has written nothing yet; judging by that state would send a push again that had run.
func (a *serverActor) sendOnce(push *node.Push) (result node.Result, retry bool) {
	attempt := &pushAttempt{push: push, body: push.Body.NewReader()}
	response, err := a.transport.RoundTrip(a.newRequest(push, attempt))
	switch {
	case err != nil && push.Withdrawn():
		return node.Result{Outcome: policy.Moot}, false
	case err != nil:
		return node.Result{Outcome: attempt.failureOutcome(push.Context)}, attempt.canUseAnotherConn() && push.Context.Err() == nil
	}
	return a.readAnswer(push, attempt, response), false
}

// readAnswer reads the answer to a push and returns the push's result.
func (a *serverActor) readAnswer(push *node.Push, attempt *pushAttempt, response *http.Response) node.Result {
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusOK:
		return attempt.readAcked(push.Context, response, a.answers)
	case (response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusGatewayTimeout) &&
		response.Header.Get(turnedAwayHeader) == "1":
		discardBody(response)
		return node.Result{Outcome: policy.Full}
	}
	discardBody(response)
	return node.Result{Outcome: policy.Errored}
}

// newRequest returns the request to send: the client's request, with the time that the node still waits.
//
// http.Transport resends a request on its own when a reused connection breaks, if the request has no body or has a GetBody
// function. The module would not know of such a push. So the request always has a body, also for GET, and no GetBody.
func (a *serverActor) newRequest(push *node.Push, attempt *pushAttempt) *http.Request {
	header := push.Header.Clone()
	for _, names := range header.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	removeHopByHopHeaders(header)
	setRemaining := func() {
		header.Set(remainingHeader, strconv.FormatInt(int64(push.TimeLeft()/policy.Millisecond), 10))
	}
	setRemaining()
	if _, present := header["User-Agent"]; !present {
		header["User-Agent"] = []string{""} // suppresses the library's default
	}
	request := &http.Request{
		Method:        push.Method,
		URL:           &url.URL{Scheme: "http", Host: a.addr, Opaque: push.Target},
		Host:          push.Host,
		Header:        header,
		Body:          attempt.body,
		ContentLength: int64(attempt.body.Remaining()),
	}
	if request.ContentLength == 0 && (push.Method == http.MethodGet || push.Method == http.MethodHead) {
		// Sends neither a length nor chunks. Without this, the library waits to see whether the body is empty.
		request.TransferEncoding = []string{"identity"}
	}
	return request.WithContext(httptrace.WithClientTrace(push.Context, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			// The connection may have been established late. A server that is told more time than the client has left would
			// continue with an op that no client waits for. The library reads the header after this call.
			setRemaining()
			attempt.assigned(info)
		},
		PutIdleConn: func(error) { a.budget.NotifyIdle() },
	}))
}

// pushAttempt records how far a push got on one connection.
type pushAttempt struct {
	push   *node.Push
	body   *node.Reader
	reused atomic.Bool // the connection was used by other pushes before
	conn   atomic.Pointer[conn]
}

// assigned records the connection that the transport chose.
func (a *pushAttempt) assigned(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok {
		c.assign(a.push)
		a.reused.Store(info.Reused)
		a.conn.Store(c)
	}
}

// canUseAnotherConn reports whether nothing of the push was written, on a connection that was reused or that was closed as idle
// at that moment.
func (a *pushAttempt) canUseAnotherConn() bool {
	c := a.conn.Load()
	return c != nil && c.written.Load() == writtenNothing && (a.reused.Load() || c.wasClosedWhileIdle())
}

// failureOutcome returns the outcome of a push without an answer that can be forwarded. The push cannot have run only if its
// last byte was not written: there was no connection, nothing or only part of the last write was accepted, or part of the
// body was not read. Even then it may have run if an answer has started, since a server may answer before it has read the
// whole request and then break the connection. A malformed answer on an unbroken connection is an error of a server that is
// up and has received the push, not a reset.
func (a *pushAttempt) failureOutcome(ctx context.Context) policy.Outcome {
	c := a.conn.Load()
	switch {
	case ctx.Err() != nil:
		return policy.Cancelled
	case c == nil || !c.hasAnswerStarted() && (c.written.Load() != writtenFully || a.body.Remaining() > 0):
		return policy.ConnectFailed
	case c.answerMalformed():
		return policy.Errored
	}
	return policy.Reset
}

// readAcked reads a 200 answer, once there is memory for it. An answer that ends early or has no defined end can't be told from one
// that was cut off by a broken connection.
func (a *pushAttempt) readAcked(ctx context.Context, response *http.Response, pool *memory.Pool) node.Result {
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength > node.MaxBodyBytes { // not read: it may announce 3 GB and send them
		return node.Result{Outcome: policy.Errored}
	}
	reservation := answerReservation{pool: pool}
	body, err := reservation.read(ctx, response)
	if err == nil && (response.ContentLength >= 0 || chunked) {
		removeHopByHopHeaders(response.Header)
		response.Header.Del(loadHeader)
		return node.Result{Outcome: policy.Acked, Header: response.Header, Body: body}
	}
	body.Release()
	if errors.Is(err, node.ErrBodyTooLong) {
		return node.Result{Outcome: policy.Errored}
	}
	return node.Result{Outcome: a.failureOutcome(ctx)}
}

// discardTimeout limits the time spent on reading an answer that is not forwarded, so that its connection can be reused.
const discardTimeout = 20 * time.Millisecond

// discardBody reads the rest of an answer that is not forwarded, so that its connection can be reused. Without the time limit
// a body that never comes would turn the outcome that the status has established into a timeout.
func discardBody(response *http.Response) {
	timer := time.AfterFunc(discardTimeout, func() { response.Body.Close() })
	defer timer.Stop()
	io.CopyN(io.Discard, response.Body, node.MaxBodyBytes)
}
