package live

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/standin/server"
	"canvasrouter/policy"
)

// clientConn is a client's HTTP connection to a node. It carries one request at a time.
type clientConn struct {
	net.Conn
	*bufio.Reader
	answered bool // has carried at least one answer
	lastTry  ledger.TryID
}

// endpoint is the address of a node with the idle connections that clients keep to it.
type endpoint struct {
	addr         string
	killCount    atomic.Int32 // how many times the node was killed
	mu           sync.Mutex
	idleConns    []*clientConn
	skippedUntil time.Time // pickNode skips the node until then
}

// dialTimeout limits how long a client waits for a connection.
const dialTimeout = time.Second

// acquire returns an idle connection, or dials a new one.
func (e *endpoint) acquire(ctx context.Context) (*clientConn, error) {
	e.mu.Lock()
	if n := len(e.idleConns); n > 0 {
		c := e.idleConns[n-1]
		e.idleConns = e.idleConns[:n-1]
		e.mu.Unlock()
		return c, nil
	}
	e.mu.Unlock()
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", e.addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, Reader: bufio.NewReader(c)}, nil
}

// release keeps c as an idle connection.
func (e *endpoint) release(c *clientConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idleConns = append(e.idleConns, c)
}

// closeIdle closes all idle connections. Bytes that are readable on one of them are recorded as an extra answer to its
// last try, since no request is outstanding.
func (e *endpoint) closeIdle(runLedger *ledger.Ledger) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.idleConns {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.Peek(1); err == nil {
			runLedger.RecordExtraAnswer(c.lastTry)
		}
		c.Close()
	}
	e.idleConns = nil
}

// sendTry sends one try of an op to a node, records it in the ledger, and returns the verdict that the client saw and
// the Retry-After time of a nack.
func (r *run) sendTry(ctx context.Context, target *endpoint, node int, req opRequest) (ledger.Verdict, policy.Micros) {
	try := r.ledger.RecordTry(req.op, node, r.now(), req.deadline)
	r.registerTry(try, req)
	for {
		verdict, retryAfter, resend := r.exchange(ctx, target, try, req)
		if !resend {
			r.ledger.RecordTryEnd(try, r.now(), verdict)
			return verdict, retryAfter
		}
	}
}

// opRequest describes one try of an op, sent by a client or by a server that calls the next tier.
type opRequest struct {
	op          ledger.OpID
	tier        int
	arrival     *load.Arrival
	category    int
	deadline    policy.Micros
	clientRetry bool
	leavesAfter policy.Micros // when the client disconnects; 0: it waits for the answer
}

// httpRequest builds the HTTP request of a try with the headers that nodes expect.
func (r *run) httpRequest(try ledger.TryID, req opRequest) *http.Request {
	category := &r.Scenario.Categories[req.category]
	method := http.MethodPost
	body := io.Reader(strings.NewReader(fmt.Sprintf(`{"op":%d}`, req.op)))
	if category.Delivery == "redeliverable" {
		method = http.MethodGet
		body = nil
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://backend.local/%s/%d", category.Name, req.op), body)
	if err != nil {
		panic(err) // category names are validated when the experiment is read
	}
	request.Header.Set("X-Txn", transactionID(try))
	request.Header.Set("X-Remaining-Ms", strconv.FormatInt(max(0, int64((req.deadline-r.now())/policy.Millisecond)), 10))
	if category.Delivery != "redeliverable" {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("k-%d", req.op))
	}
	if req.clientRetry {
		request.Header.Set("X-Resent", "1")
	}
	if req.arrival != nil && req.arrival.Tenant >= 0 {
		request.Header.Set("X-Org", r.Scenario.Tenants[req.arrival.Tenant].Name)
	}
	return request
}

// transactionID is the X-Txn header by which stand-in servers recognise a try.
func transactionID(try ledger.TryID) string { return fmt.Sprintf("%016x", int64(try)+1) }

// exchange sends a request on one connection and reads the answer. If the node closed a reused connection before it
// read the request, resend is true and the caller sends the request again on another connection. A request is not
// resent when the node was killed meanwhile: the node may have read it, and a second copy could cause a double effect
// that is no node's fault.
func (r *run) exchange(ctx context.Context, target *endpoint, try ledger.TryID, req opRequest) (verdict ledger.Verdict, retryAfter policy.Micros, resend bool) {
	killsBefore := target.killCount.Load()
	c, err := target.acquire(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return ledger.ClientLeft, 0, false
		}
		return ledger.Refused, 0, false
	}
	readUntil := req.deadline + r.Scenario.Limits.AnswerSlack.Micros() + r.ledger.Tolerance() + lateAnswerWindow
	if req.leavesAfter > 0 {
		readUntil = r.now() + req.leavesAfter
	}
	c.SetDeadline(time.Now().Add(time.Duration(readUntil-r.now()) * time.Microsecond))
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if c.Buffered() > 0 {
		r.ledger.RecordExtraAnswer(c.lastTry)
	}
	err = r.httpRequest(try, req).Write(c)
	if err == nil {
		_, err = c.Peek(1)
	}
	if err != nil {
		defer c.Close()
		switch {
		case c.answered && ctx.Err() == nil && killsBefore == target.killCount.Load() &&
			(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)):
			return 0, 0, true
		case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded) && req.leavesAfter > 0:
			return ledger.ClientLeft, 0, false
		case errors.Is(err, os.ErrDeadlineExceeded):
			return ledger.Unanswered, 0, false
		}
		return ledger.ConnectionLost, 0, false
	}
	c.answered = true
	c.lastTry = try
	response, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		c.Close()
		return truncatedVerdict(ctx), 0, false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.Close()
		return truncatedVerdict(ctx), 0, false
	}
	if response.Close {
		c.Close()
	} else {
		target.release(c)
	}
	switch response.StatusCode {
	case http.StatusOK:
		var answer server.AnswerBody
		if json.Unmarshal(body, &answer) == nil {
			r.ledger.RecordServedBy(answer.Push)
		}
		return ledger.Served, 0, false
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return ledger.Nacked, policy.Micros(seconds * float64(policy.Second)), false
	}
	return ledger.Failed, 0, false
}

// truncatedVerdict is the verdict on an incomplete answer: the connection broke, unless the run itself was cancelled.
func truncatedVerdict(ctx context.Context) ledger.Verdict {
	if ctx.Err() != nil {
		return ledger.ClientLeft
	}
	return ledger.ConnectionLost
}

// pickNode deals requests out among the nodes of the first tier. It skips nodes that refused a connection within the
// last second, unless all of them did.
func (r *run) pickNode() int {
	nodeCount := r.Scenario.Tiers[0].NodeCount
	for range nodeCount {
		node := r.Scenario.AssignNode(int(r.picks.Add(1)))
		target := r.nodes[node].endpoint
		target.mu.Lock()
		available := time.Now().After(target.skippedUntil)
		target.mu.Unlock()
		if available {
			return node
		}
	}
	return r.Scenario.AssignNode(int(r.picks.Add(1)))
}

// runOp plays one client's op from the first try to the last retry.
func (r *run) runOp(ctx context.Context, arrival *load.Arrival, intendedAt policy.Micros) {
	category := &r.Scenario.Categories[arrival.Category]
	op := r.ledger.RecordOp(intendedAt, arrival.Category, arrival.Tenant, 0)
	refusals := 0
	for attempt := 0; ctx.Err() == nil; {
		req := opRequest{
			op:          op,
			arrival:     arrival,
			category:    arrival.Category,
			clientRetry: attempt > 0 && r.Scenario.Load.MarksRetries,
			deadline:    max(r.now(), intendedAt+category.TTL.Micros()+policy.Micros(r.clockStep.Load())),
		}
		if attempt == 0 {
			req.leavesAfter = arrival.LeavesAfter
		}
		node := r.pickNode()
		verdict, retryAfter := r.sendTry(ctx, r.nodes[node].endpoint, node, req)
		switch verdict {
		case ledger.Served, ledger.ClientLeft:
			return
		case ledger.Refused:
			target := r.nodes[node].endpoint
			target.mu.Lock()
			target.skippedUntil = time.Now().Add(time.Second)
			target.mu.Unlock()
			if refusals++; refusals <= r.Scenario.Tiers[0].NodeCount && r.now()-intendedAt < category.TTL.Micros() {
				continue // another node is picked at once; this doesn't count as a retry of the client
			}
			return
		}
		refusals = 0
		delay, retry := load.ShouldRetry(r.Scenario, arrival.Category, load.Try{
			Index:      attempt,
			Nacked:     verdict == ledger.Nacked,
			RetryAfter: retryAfter,
			Elapsed:    r.now() - intendedAt,
		})
		if !retry {
			return
		}
		attempt++
		select {
		case <-time.After(time.Duration(delay) * time.Microsecond):
		case <-ctx.Done():
		}
	}
}
