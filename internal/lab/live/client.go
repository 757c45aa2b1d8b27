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
type conn struct {
	net.Conn
	*bufio.Reader
	used bool
	last ledger.TryID
}

// door is a node as clients reach it: its address and the connections that they keep.
type door struct {
	addr  string
	kills atomic.Int32 // times that its node was killed
	mu    sync.Mutex
	idle  []*conn
	shut  time.Time // the front leaves it out until then
}

// dialWait ends a client's connecting.
const dialWait = time.Second

func (d *door) take(ctx context.Context) (*conn, error) {
	d.mu.Lock()
	if n := len(d.idle); n > 0 {
		c := d.idle[n-1]
		d.idle = d.idle[:n-1]
		d.mu.Unlock()
		return c, nil
	}
	d.mu.Unlock()
	c, err := (&net.Dialer{Timeout: dialWait}).DialContext(ctx, "tcp", d.addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, Reader: bufio.NewReader(c)}, nil
}

func (d *door) give(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idle = append(d.idle, c)
}

// drop closes the kept connections. Bytes that wait on one are an answer to nothing.
func (d *door) drop(a *ledger.Ledger) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.idle {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.Peek(1); err == nil {
			a.RecordExtraAnswer(c.last)
		}
		c.Close()
	}
	d.idle = nil
}

// ask sends one request and gives what its client saw of it.
func (r *run) ask(ctx context.Context, d *door, node int, q question) (ledger.Verdict, policy.Micros) {
	try := r.account.RecordTry(q.op, node, r.now(), q.notAfter)
	r.remember(try, q)
	for {
		verdict, advice, again := r.exchange(ctx, d, try, q)
		if !again {
			r.account.RecordTryEnd(try, r.now(), verdict)
			return verdict, advice
		}
	}
}

// question is one request of a client's, or of a server's to the next tier.
type question struct {
	op       ledger.OpID
	tier     int
	arrival  *load.Arrival
	category int
	notAfter policy.Micros
	repeated bool
	leaves   policy.Micros // 0: stays
}

// request is a question in the platform's form.
func (r *run) request(try ledger.TryID, q question) *http.Request {
	c := &r.Scenario.Categories[q.category]
	method, body := http.MethodPost, io.Reader(strings.NewReader(fmt.Sprintf(`{"op":%d}`, q.op)))
	if c.Delivery == "redeliverable" {
		method, body = http.MethodGet, nil
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://backend.local/%s/%d", c.Name, q.op), body)
	if err != nil {
		panic(err) // names are checked when the experiment is read
	}
	request.Header.Set("X-Txn", wireID(try))
	request.Header.Set("X-Remaining-Ms", strconv.FormatInt(max(0, int64((q.notAfter-r.now())/policy.Millisecond)), 10))
	if c.Delivery != "redeliverable" {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("k-%d", q.op))
	}
	if q.repeated {
		request.Header.Set("X-Resent", "1")
	}
	if q.arrival != nil && q.arrival.Tenant >= 0 {
		request.Header.Set("X-Org", r.Scenario.Tenants[q.arrival.Tenant].Name)
	}
	return request
}

func wireID(try ledger.TryID) string { return fmt.Sprintf("%016x", int64(try)+1) }

// exchange sends a request on one connection. A kept connection that the node closed just then, before it read the
// request, is no answer: the request is sent once more, on another. Danger: a node that was killed may have read it, and
// sending it again would be an effect too many that no node is to blame for.
func (r *run) exchange(ctx context.Context, d *door, try ledger.TryID, q question) (v ledger.Verdict, advice policy.Micros, again bool) {
	kills := d.kills.Load()
	c, err := d.take(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return ledger.ClientLeft, 0, false
		}
		return ledger.Refused, 0, false
	}
	last := q.notAfter + r.Scenario.Limits.AnswerSlack.Micros() + r.account.Tolerance() + watch
	if q.leaves > 0 {
		last = r.now() + q.leaves
	}
	c.SetDeadline(time.Now().Add(time.Duration(last-r.now()) * time.Microsecond))
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if c.Buffered() > 0 {
		r.account.RecordExtraAnswer(c.last)
	}
	err = r.request(try, q).Write(c)
	if err == nil {
		_, err = c.Peek(1)
	}
	if err != nil {
		defer c.Close()
		switch {
		case c.used && ctx.Err() == nil && kills == d.kills.Load() && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)):
			return 0, 0, true
		case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded) && q.leaves > 0:
			return ledger.ClientLeft, 0, false
		case errors.Is(err, os.ErrDeadlineExceeded):
			return ledger.Unanswered, 0, false
		}
		return ledger.ConnectionLost, 0, false
	}
	c.used, c.last = true, try
	response, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		c.Close()
		return cut(ctx), 0, false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.Close()
		return cut(ctx), 0, false
	}
	if response.Close {
		c.Close()
	} else {
		d.give(c)
	}
	switch response.StatusCode {
	case http.StatusOK:
		var from server.AnswerBody
		if json.Unmarshal(body, &from) == nil {
			r.account.RecordServedBy(from.Push)
		}
		return ledger.Served, 0, false
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return ledger.Nacked, policy.Micros(seconds * float64(policy.Second)), false
	}
	return ledger.Failed, 0, false
}

// cut is what an answer that is not whole means, unless it was the run that ended.
func cut(ctx context.Context) ledger.Verdict {
	if ctx.Err() != nil {
		return ledger.ClientLeft
	}
	return ledger.ConnectionLost
}

// front deals requests out among the nodes of the first tier, and leaves one out for a while that could not be reached.
func (r *run) front() int {
	first := r.Scenario.Tiers[0].NodeCount
	for range first {
		n := r.Scenario.AssignNode(int(r.turn.Add(1)))
		d := r.nodes[n].door
		d.mu.Lock()
		open := time.Now().After(d.shut)
		d.mu.Unlock()
		if open {
			return n
		}
	}
	return r.Scenario.AssignNode(int(r.turn.Add(1)))
}

// client plays one op over all its tries.
func (r *run) client(ctx context.Context, a *load.Arrival, meant policy.Micros) {
	category := &r.Scenario.Categories[a.Category]
	op := r.account.RecordOp(meant, a.Category, a.Tenant, 0)
	refused := 0
	for number := 0; ctx.Err() == nil; {
		q := question{op: op, arrival: a, category: a.Category, repeated: number > 0 && r.Scenario.Load.MarksRetries,
			notAfter: max(r.now(), meant+category.TTL.Micros()+policy.Micros(r.step.Load()))}
		if number == 0 {
			q.leaves = a.LeavesAfter
		}
		n := r.front()
		verdict, advice := r.ask(ctx, r.nodes[n].door, n, q)
		switch verdict {
		case ledger.Served, ledger.ClientLeft:
			return
		case ledger.Refused:
			d := r.nodes[n].door
			d.mu.Lock()
			d.shut = time.Now().Add(time.Second)
			d.mu.Unlock()
			if refused++; refused <= r.Scenario.Tiers[0].NodeCount && r.now()-meant < category.TTL.Micros() {
				continue // the front takes the next node at once; that is no try of the client's
			}
			return
		}
		refused = 0
		wait, again := load.ShouldRetry(r.Scenario, a.Category, load.Try{Index: number, Nacked: verdict == ledger.Nacked,
			RetryAfter: advice, Elapsed: r.now() - meant})
		if !again {
			return
		}
		number++
		select {
		case <-time.After(time.Duration(wait) * time.Microsecond):
		case <-ctx.Done():
		}
	}
}
