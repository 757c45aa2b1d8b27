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

// conn is a client's connection to a node: one request at a time.
type clientConn struct {
	net.Conn
	*bufio.Reader
	answered bool
	lastTry  ledger.TryID
}

// door is a node as clients reach it: its address and the connections that they keep.
type endpoint struct {
	addr         string
	killCount    atomic.Int32 // times that its node was killed
	mu           sync.Mutex
	idleConns    []*clientConn
	skippedUntil time.Time // the front leaves it out until then
}

// dialWait ends a client's connecting.
const dialTimeout = time.Second

func (d *endpoint) acquire(ctx context.Context) (*clientConn, error) {
	d.mu.Lock()
	if n := len(d.idleConns); n > 0 {
		c := d.idleConns[n-1]
		d.idleConns = d.idleConns[:n-1]
		d.mu.Unlock()
		return c, nil
	}
	d.mu.Unlock()
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", d.addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, Reader: bufio.NewReader(c)}, nil
}

func (d *endpoint) release(c *clientConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idleConns = append(d.idleConns, c)
}

// drop closes the kept connections. Bytes that wait on one are an answer to nothing.
func (d *endpoint) closeIdle(book *ledger.Account) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.idleConns {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.Peek(1); err == nil {
			book.Extra(c.lastTry)
		}
		c.Close()
	}
	d.idleConns = nil
}

// ask sends one request and gives what its client saw of it.
func (r *run) sendTry(ctx context.Context, target *endpoint, node int, req opRequest) (ledger.Verdict, policy.Micros) {
	try := r.ledger.Try(req.op, node, r.now(), req.deadline)
	r.registerTry(try, req)
	for {
		verdict, retryAfter, resend := r.exchange(ctx, target, try, req)
		if !resend {
			r.ledger.End(try, r.now(), verdict)
			return verdict, retryAfter
		}
	}
}

// question is one request of a client's, or of a server's to the next tier.
type opRequest struct {
	op          ledger.OpID
	tier        int
	arrival     *load.Arrival
	category    int
	deadline    policy.Micros
	clientRetry bool
	leavesAfter policy.Micros // 0: stays
}

// request is a question in the platform's form.
func (r *run) httpRequest(try ledger.TryID, req opRequest) *http.Request {
	category := &r.Scenario.Categories[req.category]
	method, body := http.MethodPost, io.Reader(strings.NewReader(fmt.Sprintf(`{"op":%d}`, req.op)))
	if category.Repeat == "redeliverable" {
		method, body = http.MethodGet, nil
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://backend.local/%s/%d", category.Name, req.op), body)
	if err != nil {
		panic(err) // names are checked when the experiment is read
	}
	request.Header.Set("X-Txn", transactionID(try))
	request.Header.Set("X-Remaining-Ms", strconv.FormatInt(max(0, int64((req.deadline-r.now())/policy.Millisecond)), 10))
	if category.Repeat != "redeliverable" {
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

func transactionID(try ledger.TryID) string { return fmt.Sprintf("%016x", int64(try)+1) }

// exchange sends a request on one connection. A kept connection that the node closed just then, before it read the
// request, is no answer: the request is sent once more, on another. Danger: a node that was killed may have read it, and
// sending it again would be an effect too many that no node is to blame for.
func (r *run) exchange(ctx context.Context, target *endpoint, try ledger.TryID, req opRequest) (verdict ledger.Verdict, retryAfter policy.Micros, resend bool) {
	killsBefore := target.killCount.Load()
	c, err := target.acquire(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return ledger.Left, 0, false
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
		r.ledger.Extra(c.lastTry)
	}
	err = r.httpRequest(try, req).Write(c)
	if err == nil {
		_, err = c.Peek(1)
	}
	if err != nil {
		defer c.Close()
		switch {
		case c.answered && ctx.Err() == nil && killsBefore == target.killCount.Load() && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)):
			return 0, 0, true
		case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded) && req.leavesAfter > 0:
			return ledger.Left, 0, false
		case errors.Is(err, os.ErrDeadlineExceeded):
			return ledger.Unanswered, 0, false
		}
		return ledger.Broken, 0, false
	}
	c.answered, c.lastTry = true, try
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
		var from server.Body
		if json.Unmarshal(body, &from) == nil {
			r.ledger.ServedBy(from.Push)
		}
		return ledger.Served, 0, false
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return ledger.Nacked, policy.Micros(seconds * float64(policy.Second)), false
	}
	return ledger.Failed, 0, false
}

// cut is what an answer that is not whole means, unless it was the run that ended.
func truncatedVerdict(ctx context.Context) ledger.Verdict {
	if ctx.Err() != nil {
		return ledger.Left
	}
	return ledger.Broken
}

// front deals requests out among the nodes of the first tier, and leaves one out for a while that could not be reached.
func (r *run) pickNode() int {
	nodeCount := r.Scenario.Tiers[0].Nodes
	for range nodeCount {
		node := r.Scenario.Deal(int(r.picks.Add(1)))
		target := r.nodes[node].endpoint
		target.mu.Lock()
		available := time.Now().After(target.skippedUntil)
		target.mu.Unlock()
		if available {
			return node
		}
	}
	return r.Scenario.Deal(int(r.picks.Add(1)))
}

// client plays one op over all its tries.
func (r *run) runOp(ctx context.Context, arrival *load.Arrival, intendedAt policy.Micros) {
	category := &r.Scenario.Categories[arrival.Category]
	op := r.ledger.Offer(intendedAt, arrival.Category, arrival.Tenant, 0)
	refusals := 0
	for attempt := 0; ctx.Err() == nil; {
		req := opRequest{op: op, arrival: arrival, category: arrival.Category, clientRetry: attempt > 0 && r.Scenario.Load.MarksRetry,
			deadline: max(r.now(), intendedAt+category.TTL.Micros()+policy.Micros(r.clockStep.Load()))}
		if attempt == 0 {
			req.leavesAfter = arrival.Leaves
		}
		node := r.pickNode()
		verdict, retryAfter := r.sendTry(ctx, r.nodes[node].endpoint, node, req)
		switch verdict {
		case ledger.Served, ledger.Left:
			return
		case ledger.Refused:
			target := r.nodes[node].endpoint
			target.mu.Lock()
			target.skippedUntil = time.Now().Add(time.Second)
			target.mu.Unlock()
			if refusals++; refusals <= r.Scenario.Tiers[0].Nodes && r.now()-intendedAt < category.TTL.Micros() {
				continue // the front takes the next node at once; that is no try of the client's
			}
			return
		}
		refusals = 0
		delay, retry := load.Again(r.Scenario, arrival.Category, load.Try{Number: attempt, Nacked: verdict == ledger.Nacked,
			Advice: retryAfter, Elapsed: r.now() - intendedAt})
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
