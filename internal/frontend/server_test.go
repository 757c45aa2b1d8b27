package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"canvasrouter/internal/memory"
	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

// testBodyBytes is the memory for the bodies of requests: three of the largest.
var testBodyBytes = 3 * node.PayloadBytes(node.MaxBodyBytes)

// testTimeout limits every wait of these tests.
const testTimeout = 5 * time.Second

// fakeActor implements Actor. It passes submitted ops to handle.
type fakeActor struct {
	handle        func(*node.Op)
	abandoned     chan *node.Op
	deadlines     chan policy.Micros
	sawDisconnect bool // whether the last abandoned op's client was disconnected; set before the send to abandoned
}

func (a *fakeActor) Submit(op *node.Op)                         { a.handle(op) }
func (a *fakeActor) SetShutdownDeadline(deadline policy.Micros) { a.deadlines <- deadline }

func (a *fakeActor) Abandon(op *node.Op) {
	a.sawDisconnect = op.Client != nil && op.Client.Disconnected()
	a.abandoned <- op
	op.Answer(node.Answer{Verdict: node.ClientLeft})
}

// testServer is a server with a fake actor.
type testServer struct {
	*Server
	*fakeActor
	addr        string
	serveResult chan error
	budget      *sockets.Budget
}

// startServer runs a server with a budget of sockets for clients.
func startServer(t *testing.T, budgetSize int, handle func(*node.Op)) *testServer {
	t.Helper()
	r := newServer(t, budgetSize, handle)
	go func() { r.serveResult <- r.Serve() }()
	return r
}

// newServer returns a server that accepts no connection yet: they wait in the backlog.
func newServer(t *testing.T, budgetSize int, handle func(*node.Op)) *testServer {
	t.Helper()
	r := &testServer{
		fakeActor: &fakeActor{
			handle:    handle,
			abandoned: make(chan *node.Op, 8),
			deadlines: make(chan policy.Micros, 1),
		},
		serveResult: make(chan error, 1),
		budget:      sockets.NewBudget(budgetSize),
	}
	var err error
	r.Server, err = Listen("127.0.0.1:0", Options{
		Categories:        []string{"checkout", "browse", "booking"},
		DeliverySemantics: []policy.DeliverySemantics{policy.Redeliverable, policy.Redeliverable, policy.Deduplicated},
		Tenants:           []string{"one", "two"},
		MaxTTL:            time.Second,
	}, Limits{Sockets: r.budget, Bodies: memory.NewPool(testBodyBytes, 0)}, r.fakeActor, node.NewClock(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	r.addr = r.listener.Addr().String()
	t.Cleanup(func() { r.http.Close() })
	return r
}

// echo answers an op with its method, target and body.
func echo(op *node.Op) {
	body, _ := node.ReadPayload(strings.NewReader(op.Method+" "+op.Target+" "+string(op.Body.Bytes())), -1)
	op.Answer(node.Answer{Verdict: node.Acked, Header: http.Header{"Content-Type": {"x/y"}}, Body: body})
}

// holdBrowse returns a handler that passes ops of the category browse to the test, and echoes all others.
func holdBrowse(ops chan<- *node.Op) func(*node.Op) {
	return func(op *node.Op) {
		if op.Category == 1 {
			ops <- op
			return
		}
		echo(op)
	}
}

// lastID is the id of the last request.
var lastID atomic.Int32

// newRequest returns the bytes of a request with a new id. A POST has an idempotency key.
func newRequest(method, target, body string, headers ...string) string {
	if method == "POST" {
		headers = append(headers, "Idempotency-Key: k")
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %x\r\nX-Remaining-Ms: 480\r\n"+
		"Content-Length: %d\r\n%s\r\n%s", method, target, lastID.Add(1), len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

// client is a client's connection.
type client struct {
	net.Conn
	*bufio.Reader
}

// dial connects to the server.
func (r *testServer) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return newClient(c)
}

// newClient returns a client on a connection, all of whose waits end after testTimeout.
func newClient(c net.Conn) *client {
	c.SetDeadline(time.Now().Add(testTimeout))
	return &client{c, bufio.NewReader(c)}
}

// roundTrip sends bytes and describes the answer like readAnswer.
func (c *client) roundTrip(raw string) string {
	io.WriteString(c.Conn, raw)
	return c.readAnswer()
}

// readAnswer reads an answer and describes it: status, relevant headers and the body of a 200, or "closed".
func (c *client) readAnswer() string {
	response, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return "closed"
	}
	body, _ := io.ReadAll(response.Body)
	out := fmt.Sprint(response.StatusCode)
	if after := response.Header.Get("Retry-After"); after != "" {
		out += " after " + after
	}
	if response.Close {
		out += " close"
	}
	if response.StatusCode == http.StatusOK {
		out += " " + string(body)
	}
	return out
}

// TestBadInput checks that bad requests get an error that is no nack, and that their connection is closed, so that bytes after
// them are not served. Other ops are not affected.
func TestBadInput(t *testing.T) {
	served := 0
	ops := make(chan *node.Op, 1)
	r := startServer(t, 100, holdBrowse(ops))
	good := r.dial(t)
	running := r.dial(t)
	open := newRequest("GET", "/browse", "")
	io.WriteString(running.Conn, open)
	op := <-ops
	id := "X-Txn: " + op.Header.Get(idHeader)
	chunkedRequest := func(body string, headers ...string) string {
		return strings.Replace(newRequest("POST", "/booking", "", headers...), "Content-Length: 0",
			"Transfer-Encoding: chunked", 1) + body
	}
	hidden := newRequest("GET", "/checkout", "")
	for name, testCase := range map[string]struct{ raw, want string }{
		"unknown category":    {newRequest("GET", "/elsewhere?k=1", ""), "404 close"},
		"no category":         {newRequest("GET", "/", ""), "404 close"},
		"absolute target":     {newRequest("GET", "http://backend.local/checkout", ""), "404 close"},
		"asterisk target":     {newRequest("OPTIONS", "*", ""), "404 close"},
		"no id":               {strings.Replace(newRequest("GET", "/checkout", ""), "X-Txn", "X-Other", 1), "400 close"},
		"empty id":            {strings.Replace(open, id, "X-Txn: ", 1), "400 close"},
		"two ids":             {newRequest("GET", "/checkout", "", "X-Txn: 1"), "400 close"},
		"id of a pending op":  {open, "409 close"},
		"no remaining time":   {strings.Replace(newRequest("GET", "/checkout", ""), "X-Remaining", "X-Other", 1), "400 close"},
		"two remaining times": {newRequest("GET", "/checkout", "", "X-Remaining-Ms: 500"), "400 close"},
		"time not a number":   {strings.Replace(newRequest("GET", "/checkout", ""), "480", "soon", 1), "400 close"},
		"negative time":       {strings.Replace(newRequest("GET", "/checkout", ""), "480", "-1", 1), "400 close"},
		"time out of range":   {strings.Replace(newRequest("GET", "/checkout", ""), "480", "99999999999", 1), "400 close"},
		"unknown tenant":      {newRequest("GET", "/checkout", "", "X-Labels: size=3,org=nobody"), "400 close"},
		"no key":              {strings.Replace(newRequest("POST", "/booking", ""), "Idempotency", "Odd", 1), "400 close"},
		"two keys":            {newRequest("POST", "/booking", "", "Idempotency-Key: other"), "400 close"},
		"GET instead of POST": {newRequest("GET", "/booking", "", "Idempotency-Key: k"), "405 close"},
		"POST instead of GET": {newRequest("POST", "/checkout", ""), "405 close"},
		"GET with a body":     {newRequest("GET", "/checkout", "body"), "400 close"},
		"body too long":       {newRequest("POST", "/booking", strings.Repeat("x", node.MaxBodyBytes+1)), "413 close"},
		"length of 60 MB":     {strings.Replace(newRequest("POST", "/booking", ""), "Length: 0", "Length: 60000000", 1), "413 close"},
		"chunks":              {chunkedRequest("0\r\n\r\n"), "411 close"},
		"broken chunks":       {chunkedRequest("zz\r\n"), "411 close"},
		"chunks and length":   {chunkedRequest("0\r\n\r\n"+hidden, fmt.Sprintf("Content-Length: %d", 5+len(hidden))), "411 close"},
		"HTTP/1.0":            {strings.Replace(newRequest("GET", "/checkout", ""), "HTTP/1.1", "HTTP/1.0", 1), "411 close"},
		"no HTTP":             {"hello\r\n\r\n", "400 close"},
		"header too long":     {newRequest("GET", "/checkout", "", "X-Odd: "+strings.Repeat("x", 2*maxHeaderBytes)), "431 close"},
		"bad header name":     {newRequest("GET", "/checkout", "", "X Odd: 1"), "400 close"},
		"two lengths":         {newRequest("GET", "/checkout", "", "Content-Length: 7"), "400 close"},
		"negative length":     {strings.Replace(newRequest("POST", "/booking", ""), "Length: 0", "Length: -1", 1), "400 close"},
		"unknown encoding":    {newRequest("GET", "/checkout", "", "Transfer-Encoding: odd"), "501 close"},
	} {
		bad := r.dial(t)
		if diff := cmp.Diff(testCase.want, bad.roundTrip(testCase.raw+hidden)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if more := bad.readAnswer(); more != "closed" {
			t.Errorf("after %s on its connection: got %q", name, more)
		}
		if diff := cmp.Diff("200 POST /booking?k=%2f body", good.roundTrip(newRequest("POST", "/booking?k=%2f", "body"))); diff != "" {
			t.Errorf("after %s on another connection: %s", name, diff)
		}
		served++
	}
	echo(op)
	if got := running.readAnswer(); got != "200 GET /browse " {
		t.Errorf("op whose id was reused: got %q", got)
	}
	io.WriteString(running.Conn, open)
	echo(<-ops)
	if got := running.readAnswer(); got != "200 GET /browse " {
		t.Errorf("same id after the answer: got %q", got)
	}
	r.opIDs.mu.Lock()
	defer r.opIDs.mu.Unlock()
	if len(r.opIDs.reserved) != served || len(r.opIDs.answered) != served {
		t.Errorf("%d ids are still reserved, %d of them of answered ops, where %d were served", len(r.opIDs.reserved), len(r.opIDs.answered), served)
	}
}

// TestReadTimeouts checks clients that send nothing or an incomplete request, which would hold sockets forever. They get an
// error or a close within 3 s of connecting, also if they keep sending bytes; idle kept connections are closed as well.
func TestReadTimeouts(t *testing.T) {
	r := startServer(t, 100, echo)
	whole := newRequest("POST", "/booking", "body")
	var clients sync.WaitGroup
	for name, c := range map[string]struct {
		raw, trickle, want       string
		minDuration, maxDuration time.Duration
	}{
		"nothing":      {want: "closed", maxDuration: 3 * time.Second},
		"partial head": {raw: whole[:30], want: "closed", maxDuration: 3 * time.Second},
		"partial body": {raw: whole[:len(whole)-2], want: "400 close", maxDuration: 3 * time.Second},
		"endless head": {raw: whole[:30], trickle: "x", want: "closed", maxDuration: 3 * time.Second},
		"endless body": {raw: strings.Replace(whole, "Length: 4", "Length: 999", 1), trickle: "x",
			want: "400 close", maxDuration: 3 * time.Second},
		"kept connection": {raw: newRequest("GET", "/checkout", ""), want: "200 GET /checkout closed",
			minDuration: 2 * time.Second, maxDuration: idleTimeout + time.Second},
	} {
		clients.Go(func() {
			start := time.Now()
			bad := r.dial(t)
			io.WriteString(bad.Conn, c.raw)
			if c.trickle != "" {
				end := time.AfterFunc(testTimeout, func() { bad.Close() })
				defer end.Stop()
				go func() {
					for _, err := io.WriteString(bad.Conn, c.trickle); err == nil; time.Sleep(100 * time.Millisecond) {
						_, err = io.WriteString(bad.Conn, c.trickle)
					}
				}()
			}
			got := bad.readAnswer()
			if got != "closed" && !strings.HasSuffix(got, "close") {
				got += bad.readAnswer()
			}
			if elapsed := time.Since(start); got != c.want || elapsed < c.minDuration || elapsed > c.maxDuration {
				t.Errorf("%s: got %q after %v", name, got, elapsed)
			}
		})
	}
	clients.Wait()
}

// TestOp checks the op that is read from a request.
func TestOp(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := startServer(t, 100, func(op *node.Op) {
		ops <- op
		echo(op)
	})
	before := r.clock.Now()
	r.dial(t).roundTrip(newRequest("POST", "/booking/x//y?k=%zz", "body", "X-Resent: 1", "X-Labels: size=3,org=two"))
	op := <-ops
	got := fmt.Sprint(op.Method, " ", op.Target, " ", op.Host, " ", op.Category, op.Tenant, op.ClientRetry)
	if diff := cmp.Diff("POST /booking/x//y?k=%zz backend.local 2 1 true", got); diff != "" {
		t.Error(diff)
	}
	if left := op.Deadline - before; left < 480*policy.Millisecond || left > policy.Micros(testTimeout.Microseconds()) {
		t.Errorf("%d us until the deadline", left)
	}
}

// TestRemainingBeyondTTL guards against ops that hold a socket and a place among the pending ones for as long as their client
// names, which may be an hour.
func TestRemainingBeyondTTL(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := startServer(t, 100, func(op *node.Op) {
		ops <- op
		echo(op)
	})
	r.dial(t).roundTrip(strings.Replace(newRequest("POST", "/booking", "body"), "Ms: 480", "Ms: 3600000", 1))
	if left := r.clock.Until((<-ops).Deadline); left > r.options.Load().MaxTTL {
		t.Errorf("%v until the deadline, the longest TTL is %v", left, r.options.Load().MaxTTL)
	}
}

// TestReadLate checks that an op that was unread while the process was not scheduled has less time left than its header says.
func TestReadLate(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := startServer(t, 100, func(op *node.Op) {
		ops <- op
		echo(op)
	})
	resume := make(chan bool)
	r.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		<-resume
		r.ServeHTTP(w, req)
	})
	c := r.dial(t)
	io.WriteString(c.Conn, newRequest("GET", "/checkout", ""))
	const delay = 200 * time.Millisecond
	time.Sleep(delay)
	readAt := r.clock.Now()
	close(resume)
	c.readAnswer()
	if left := (<-ops).Deadline - readAt; left > policy.Micros((480*time.Millisecond-delay).Microseconds()*5/4) {
		t.Errorf("%d us until the deadline", left)
	}
}

// TestVerdicts checks the answer to a client for each verdict. Only a nack may tell the client that a retry is safe.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(*node.Op)
		want   string
	}{
		"acked":  {echo, "200 GET /checkout "},
		"nacked": {func(op *node.Op) { op.Answer(node.Answer{Verdict: node.Nacked}) }, "503"},
		"nacked with retry": {func(op *node.Op) {
			op.Answer(node.Answer{Verdict: node.Nacked, RetryAfter: 1250 * policy.Millisecond})
		}, "503 after 1.250"},
		"over the limit": {func(op *node.Op) { op.Answer(node.Answer{Verdict: node.Nacked, OverLimit: true}) }, "503 close"},
		"dead-lettered":  {func(op *node.Op) { op.Answer(node.Answer{Verdict: node.DeadLettered}) }, "502"},
		"panic":          {func(*node.Op) { panic("broken") }, "500"},
	} {
		r := startServer(t, 100, c.handle)
		if diff := cmp.Diff(c.want, r.dial(t).roundTrip(newRequest("GET", "/checkout", ""))); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// TestDeadlines checks that a body that never comes does not hold its connection forever, also if the body is not needed; and
// that an answer can still be written on a connection whose last op was long ago.
func TestDeadlines(t *testing.T) {
	r := startServer(t, 100, echo)
	stalled := r.dial(t)
	kept := r.dial(t)
	if got := kept.roundTrip(newRequest("GET", "/checkout", "")); got != "200 GET /checkout " {
		t.Errorf("got %q", got)
	}
	raw := newRequest("POST", "/elsewhere", "body")
	if got := stalled.roundTrip(raw[:len(raw)-2]); got != "404 close" {
		t.Errorf("request without its whole body: got %q", got)
	}
	if _, err := stalled.ReadByte(); err != io.EOF {
		t.Errorf("connection without the whole body: got error %v", err)
	}
	time.Sleep(writeTimeout)
	if got := kept.roundTrip(newRequest("GET", "/elsewhere", "")); got != "404 close" {
		t.Errorf("got %q", got)
	}
}

// TestDisconnect checks that the op of a client that disconnects is abandoned, and that a partial request or a readiness check
// becomes no op.
func TestDisconnect(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := startServer(t, 100, func(op *node.Op) { ops <- op })
	c := r.dial(t)
	io.WriteString(c.Conn, newRequest("POST", "/booking", "body"))
	op := <-ops
	c.Close()
	select {
	case left := <-r.abandoned:
		if left != op {
			t.Error("another op was abandoned")
		}
	case <-time.After(testTimeout):
		t.Error("op was not abandoned")
	}
	partial := r.dial(t)
	raw := newRequest("POST", "/booking", "body")
	io.WriteString(partial.Conn, raw[:len(raw)-2])
	partial.Close() // there is no op yet
	if got := r.dial(t).roundTrip("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"); got != "200 " {
		t.Errorf("readiness check: got %q", got)
	}
	if len(ops)+len(r.abandoned) != 0 {
		t.Error("a partial request became an op")
	}
}

// TestSocketsRunShort checks that idle connections are closed when no socket is free, and that the connection of a running op
// is not. Otherwise new connections would wait in the backlog, and their ops would be taken but not answered.
func TestSocketsRunShort(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := startServer(t, 2, holdBrowse(ops))
	running := r.dial(t)
	io.WriteString(running.Conn, newRequest("GET", "/browse", ""))
	op := <-ops
	for range 5 {
		if got := r.dial(t).roundTrip(newRequest("GET", "/checkout", "")); got != "200 GET /checkout " {
			t.Errorf("got %q", got)
		}
	}
	echo(op)
	if got := running.readAnswer(); got != "200 GET /browse " {
		t.Errorf("running op: got %q", got)
	}
}

// TestSilentConnections checks that connections on which nothing is sent are closed when sockets run short, and that one with a
// partial request is not. Otherwise silent connections could use up the budget.
func TestSilentConnections(t *testing.T) {
	r := startServer(t, 3, echo)
	partial := r.dial(t)
	raw := newRequest("GET", "/checkout", "")
	io.WriteString(partial.Conn, raw[:len(raw)-2])
	for range 2 {
		r.dial(t)
	}
	for range 2 {
		if got := r.dial(t).roundTrip(newRequest("GET", "/checkout", "")); got != "200 GET /checkout " {
			t.Errorf("got %q", got)
		}
	}
	if got := partial.roundTrip(raw[len(raw)-2:]); got != "200 GET /checkout " {
		t.Errorf("partial request: got %q", got)
	}
}

// TestDrain checks that a planned restart loses no op: connections that arrive during it are served and closed, pending ops are
// finished, and in the end the listener is closed and every socket is released.
func TestDrain(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := startServer(t, 8, holdBrowse(ops))
	running := r.dial(t)
	kept := r.dial(t)
	kept.roundTrip(newRequest("GET", "/checkout", ""))
	io.WriteString(running.Conn, newRequest("GET", "/browse", ""))
	op := <-ops
	var drained sync.WaitGroup
	drained.Go(func() { r.Drain(r.serveResult, true) })
	for r.drain.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	for start := time.Now(); time.Since(start) < drainAcceptTime/2; time.Sleep(drainAcceptTime / 10) {
		if got := r.dial(t).roundTrip(newRequest("GET", "/checkout", "")); got != "200 close GET /checkout " {
			t.Errorf("connection during the drain: got %q", got)
		}
	}
	for start := time.Now(); ; time.Sleep(drainAcceptTime / 10) {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			break
		}
		c.Close()
		if time.Since(start) > testTimeout {
			t.Fatal("listener still accepts connections")
		}
	}
	// Kept connections are still served, since the next node may be in a planned restart too. An op that is taken now must be
	// answered before the kill.
	io.WriteString(kept.Conn, strings.Replace(newRequest("GET", "/browse", ""), "Ms: 480", "Ms: 60000", 1))
	last := <-ops
	if deadline := r.drain.Load().deadline; last.Deadline != deadline || r.clock.Until(deadline) > r.options.Load().MaxTTL {
		t.Errorf("last op has the deadline %d, the shutdown deadline is %d", last.Deadline, deadline)
	}
	echo(last)
	if got := kept.readAnswer(); got != "200 GET /browse " {
		t.Errorf("kept connection: got %q", got)
	}
	_, lastAnswer := r.options.Load().drainTimes()
	time.Sleep(time.Until(r.drain.Load().startedAt.Add(lastAnswer - r.options.Load().MaxTTL/4)))
	echo(op)
	if got := running.readAnswer(); got != "200 close GET /browse " {
		t.Errorf("pending op: got %q", got)
	}
	drained.Wait()
	if elapsed := time.Since(r.drain.Load().startedAt); elapsed > r.options.Load().MaxTTL+killDelay {
		t.Errorf("ended after %v", elapsed)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for i := range 8 {
		if r.budget.Acquire(ctx) != nil {
			t.Fatalf("%d of 8 sockets were released", i)
		}
	}
}

// TestDrainTimes checks that TTLs over three seconds do not extend the drain: the kill does not wait for them, so an op that did
// would be lost.
func TestDrainTimes(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{time.Second: 1500 * time.Millisecond,
		6 * time.Second: 3500 * time.Millisecond} {
		if _, got := (&Options{MaxTTL: longest}).drainTimes(); got != want {
			t.Errorf("TTL %v: last answer after %v", longest, got)
		}
	}
}

// TestDrainAmongBadClients checks that a planned restart ends in time although bad clients keep connecting and send nothing or
// incomplete requests. Otherwise the process would be killed with pending ops and restart late.
func TestDrainAmongBadClients(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := startServer(t, 500, holdBrowse(ops))
	running := r.dial(t)
	io.WriteString(running.Conn, newRequest("GET", "/browse", ""))
	op := <-ops
	partial := newRequest("POST", "/booking", "body")
	stop := make(chan bool)
	var flood sync.WaitGroup
	flood.Go(func() {
		var open []net.Conn
		for i := 0; ; i++ {
			select {
			case <-stop:
				for _, c := range open {
					c.Close()
				}
				return
			case <-time.After(10 * time.Millisecond):
			}
			if c, err := net.Dial("tcp", r.addr); err == nil {
				io.WriteString(c, partial[:len(partial)*(i%3)/2-i%3]) // nothing, part of the head, or all but the end of the body
				open = append(open, c)
			}
		}
	})
	start := time.Now()
	time.AfterFunc(drainAcceptTime, func() { echo(op) })
	r.Drain(r.serveResult, true)
	if elapsed := time.Since(start); elapsed > r.options.Load().MaxTTL+killDelay {
		t.Errorf("ended after %v", elapsed)
	}
	if got := running.readAnswer(); got != "200 GET /browse " {
		t.Errorf("pending op: got %q", got)
	}
	close(stop)
	flood.Wait()
}
