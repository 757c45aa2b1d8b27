package clients

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

	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

// bound ends every wait of these tests.
const bound = 5 * time.Second

// module stands for the actor: it answers ops through do.
type module struct {
	do   func(*node.Op)
	left chan *node.Op
	ends chan policy.Micros
	knew bool // the last one that left had done so by its connection's word; read after left
}

func (m *module) Submit(op *node.Op)                   { m.do(op) }
func (m *module) SetShutdownDeadline(at policy.Micros) { m.ends <- at }
func (m *module) Abandon(op *node.Op) {
	m.knew = op.Client != nil && op.Client.Disconnected()
	m.left <- op
	op.Answer(node.Answer{Verdict: node.ClientLeft})
}

type rig struct {
	*Server
	*module
	addr   string
	served chan error
	part   *sockets.Budget
}

// start runs a server with so many sockets for clients.
func start(t *testing.T, room int, do func(*node.Op)) *rig {
	t.Helper()
	r := &rig{module: &module{do: do, left: make(chan *node.Op, 8), ends: make(chan policy.Micros, 1)}, served: make(chan error, 1),
		part: sockets.NewBudget(room)}
	var err error
	r.Server, err = Listen("127.0.0.1:0", Options{Categories: []string{"checkout", "browse", "booking"},
		DeliverySemantics: []policy.DeliverySemantics{policy.Redeliverable, policy.Redeliverable, policy.Deduplicated},
		Tenants:           []string{"one", "two"}, MaxTTL: time.Second}, r.part, r.module, node.NewClock(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	r.addr = r.listener.Addr().String()
	go func() { r.served <- r.Serve() }()
	t.Cleanup(func() { r.http.Close() })
	return r
}

// served answers with the bytes that came.
func served(op *node.Op) {
	body, _ := node.ReadPayload(strings.NewReader(op.Method+" "+op.Target+" "+string(op.Body.Bytes())), -1)
	op.Answer(node.Answer{Verdict: node.Acked, Header: http.Header{"Content-Type": {"x/y"}}, Body: body})
}

// holding answers at once, but for ops of the category browse: those it hands to the test.
func holding(ops chan<- *node.Op) func(*node.Op) {
	return func(op *node.Op) {
		if op.Category == 1 {
			ops <- op
			return
		}
		served(op)
	}
}

var lastID atomic.Int32

// request has an id of its own, and a key with POST.
func request(method, target, body string, headers ...string) string {
	if method == "POST" {
		headers = append(headers, "Idempotency-Key: k")
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %x\r\nX-Remaining-Ms: 480\r\n"+
		"Content-Length: %d\r\n%s\r\n%s", method, target, lastID.Add(1), len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

type client struct {
	net.Conn
	*bufio.Reader
}

func (r *rig) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(bound))
	t.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c)}
}

// ask sends bytes and tells what came back: status, the headers that matter, the body.
func (c *client) ask(raw string) string {
	io.WriteString(c.Conn, raw)
	return c.answer()
}

func (c *client) answer() string {
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

// Bad input gets a 4xx that is no nack, and a close: what stands behind it is not served. No other op is harmed.
func TestBadInput(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := start(t, 100, holding(ops))
	good, running := r.dial(t), r.dial(t)
	open := request("GET", "/browse", "")
	io.WriteString(running.Conn, open)
	op := <-ops
	id := "X-Txn: " + op.Header.Get(idHeader)
	inChunks := func(body string, headers ...string) string {
		return strings.Replace(request("POST", "/booking", "", headers...), "Content-Length: 0",
			"Transfer-Encoding: chunked", 1) + body
	}
	hidden := request("GET", "/checkout", "")
	for name, c := range map[string]struct{ raw, want string }{
		"no such category":    {request("GET", "/elsewhere?k=1", ""), "404 close"},
		"no category":         {request("GET", "/", ""), "404 close"},
		"another form":        {request("GET", "http://backend.local/checkout", ""), "404 close"},
		"any server":          {request("OPTIONS", "*", ""), "404 close"},
		"no id":               {strings.Replace(request("GET", "/checkout", ""), "X-Txn", "X-Other", 1), "400 close"},
		"an empty id":         {strings.Replace(open, id, "X-Txn: ", 1), "400 close"},
		"two ids":             {request("GET", "/checkout", "", "X-Txn: 1"), "400 close"},
		"an id in hand":       {open, "409 close"},
		"no time":             {strings.Replace(request("GET", "/checkout", ""), "X-Remaining", "X-Other", 1), "400 close"},
		"two times":           {request("GET", "/checkout", "", "X-Remaining-Ms: 500"), "400 close"},
		"no number":           {strings.Replace(request("GET", "/checkout", ""), "480", "soon", 1), "400 close"},
		"less than no time":   {strings.Replace(request("GET", "/checkout", ""), "480", "-1", 1), "400 close"},
		"a time out of range": {strings.Replace(request("GET", "/checkout", ""), "480", "99999999999", 1), "400 close"},
		"no such tenant":      {request("GET", "/checkout", "", "X-Labels: size=3,org=nobody"), "400 close"},
		"no key":              {strings.Replace(request("POST", "/booking", ""), "Idempotency", "Odd", 1), "400 close"},
		"two keys":            {request("POST", "/booking", "", "Idempotency-Key: other"), "400 close"},
		"not by GET":          {request("GET", "/booking", "", "Idempotency-Key: k"), "405 close"},
		"not by POST":         {request("POST", "/checkout", ""), "405 close"},
		"a GET with a body":   {request("GET", "/checkout", "body"), "400 close"},
		"a body too long":     {request("POST", "/booking", strings.Repeat("x", node.MaxBodyBytes+1)), "413 close"},
		"60 MB announced":     {strings.Replace(request("POST", "/booking", ""), "Length: 0", "Length: 60000000", 1), "413 close"},
		"chunks":              {inChunks("0\r\n\r\n"), "411 close"},
		"broken chunks":       {inChunks("zz\r\n"), "411 close"},
		"chunks and a length": {inChunks("0\r\n\r\n"+hidden, fmt.Sprintf("Content-Length: %d", 5+len(hidden))), "411 close"},
		"an old version":      {strings.Replace(request("GET", "/checkout", ""), "HTTP/1.1", "HTTP/1.0", 1), "411 close"},
		"no HTTP":             {"hello\r\n\r\n", "400 close"},
		"a header too long":   {request("GET", "/checkout", "", "X-Odd: "+strings.Repeat("x", 2*mostHeader)), "431 close"},
		"odd header":          {request("GET", "/checkout", "", "X Odd: 1"), "400 close"},
		"two lengths":         {request("GET", "/checkout", "", "Content-Length: 7"), "400 close"},
		"less than no length": {strings.Replace(request("POST", "/booking", ""), "Length: 0", "Length: -1", 1), "400 close"},
		"an unknown encoding": {request("GET", "/checkout", "", "Transfer-Encoding: odd"), "501 close"},
	} {
		bad := r.dial(t)
		if diff := cmp.Diff(c.want, bad.ask(c.raw+hidden)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if more := bad.answer(); more != "closed" {
			t.Errorf("behind %s: %s", name, more)
		}
		if diff := cmp.Diff("200 POST /booking?k=%2f body", good.ask(request("POST", "/booking?k=%2f", "body"))); diff != "" {
			t.Errorf("after %s: %s", name, diff)
		}
	}
	served(op)
	if got := running.answer(); got != "200 GET /browse " {
		t.Errorf("the op whose id was used again: %s", got)
	}
	io.WriteString(running.Conn, open)
	served(<-ops)
	if got := running.answer(); got != "200 GET /browse " {
		t.Errorf("its id, once it is answered: %s", got)
	}
	r.ids.mu.Lock()
	defer r.ids.mu.Unlock()
	if len(r.ids.held) > 0 {
		t.Errorf("%d ids are held", len(r.ids.held))
	}
}

// Danger: clients that send nothing, or never an end, hold sockets. Within 3 s of connecting they have an error or a
// close, also if a byte comes now and then; a kept connection on which nothing is open closes too.
func TestBounds(t *testing.T) {
	r := start(t, 100, served)
	whole := request("POST", "/booking", "body")
	var waits sync.WaitGroup
	for name, c := range map[string]struct {
		raw, trickle, want string
		least, most        time.Duration
	}{
		"nothing":         {want: "closed", most: 3 * time.Second},
		"half a head":     {raw: whole[:30], want: "closed", most: 3 * time.Second},
		"half a body":     {raw: whole[:len(whole)-2], want: "400 close", most: 3 * time.Second},
		"a head for ever": {raw: whole[:30], trickle: "x", want: "closed", most: 3 * time.Second},
		"a body for ever": {raw: strings.Replace(whole, "Length: 4", "Length: 999", 1), trickle: "x",
			want: "400 close", most: 3 * time.Second},
		"a kept connection": {raw: request("GET", "/checkout", ""), want: "200 GET /checkout closed",
			least: 2 * time.Second, most: idleWait + time.Second},
	} {
		waits.Go(func() {
			begun, bad := time.Now(), r.dial(t)
			io.WriteString(bad.Conn, c.raw)
			if c.trickle != "" {
				end := time.AfterFunc(bound, func() { bad.Close() })
				defer end.Stop()
				go func() {
					for _, err := io.WriteString(bad.Conn, c.trickle); err == nil; time.Sleep(100 * time.Millisecond) {
						_, err = io.WriteString(bad.Conn, c.trickle)
					}
				}()
			}
			got := bad.answer()
			if got != "closed" && !strings.HasSuffix(got, "close") {
				got += bad.answer()
			}
			if took := time.Since(begun); got != c.want || took < c.least || took > c.most {
				t.Errorf("%s: %s after %v", name, got, took)
			}
		})
	}
	waits.Wait()
}

// An op is what came, with the few fields that decisions need.
func TestOp(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := start(t, 100, func(op *node.Op) { ops <- op; served(op) })
	before := r.clock.Now()
	r.dial(t).ask(request("POST", "/booking/x//y?k=%zz", "body", "X-Resent: 1", "X-Labels: size=3,org=two"))
	op := <-ops
	got := fmt.Sprint(op.Method, " ", op.Target, " ", op.Host, " ", op.Category, op.Tenant, op.ClientRetry)
	if diff := cmp.Diff("POST /booking/x//y?k=%zz backend.local 2 1 true", got); diff != "" {
		t.Error(diff)
	}
	if left := op.Deadline - before; left < 480*policy.Millisecond || left > policy.Micros(bound.Microseconds()) {
		t.Errorf("the client waits for %d us", left)
	}
}

// Danger: an op that waited unread, as the node had to wait for its core, has less time left than it says.
func TestReadLate(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := start(t, 100, func(op *node.Op) { ops <- op; served(op) })
	held := make(chan bool)
	r.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		<-held
		r.ServeHTTP(w, q)
	})
	c := r.dial(t)
	io.WriteString(c.Conn, request("GET", "/checkout", ""))
	const late = 200 * time.Millisecond
	time.Sleep(late)
	read := r.clock.Now()
	close(held)
	c.answer()
	if left := (<-ops).Deadline - read; left > policy.Micros((480*time.Millisecond-late).Microseconds()*5/4) {
		t.Errorf("%d us left", left)
	}
}

// Only a nack may tell the client that trying again is harmless.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(*node.Op)
		want string
	}{
		"acked":  {served, "200 GET /checkout "},
		"nacked": {func(op *node.Op) { op.Answer(node.Answer{Verdict: node.Nacked}) }, "503"},
		"nacked, come back": {func(op *node.Op) {
			op.Answer(node.Answer{Verdict: node.Nacked, RetryAfter: 1250 * policy.Millisecond})
		}, "503 after 1.250"},
		"in excess":     {func(op *node.Op) { op.Answer(node.Answer{Verdict: node.Nacked, OverLimit: true}) }, "503 close"},
		"dead-lettered": {func(op *node.Op) { op.Answer(node.Answer{Verdict: node.DeadLettered}) }, "502"},
		"a panic":       {func(*node.Op) { panic("broken") }, "500"},
	} {
		r := start(t, 100, c.do)
		if diff := cmp.Diff(c.want, r.dial(t).ask(request("GET", "/checkout", ""))); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Danger: a body that never comes, also one that nobody wants, would hold its connection for ever; and a
// connection that served an op long ago must still take an answer.
func TestDeadlines(t *testing.T) {
	r := start(t, 100, served)
	stalled, kept := r.dial(t), r.dial(t)
	if got := kept.ask(request("GET", "/checkout", "")); got != "200 GET /checkout " {
		t.Errorf("got %s", got)
	}
	raw := request("POST", "/elsewhere", "body")
	if got := stalled.ask(raw[:len(raw)-2]); got != "404 close" {
		t.Errorf("stalled: %s", got)
	}
	if _, err := stalled.ReadByte(); err != io.EOF {
		t.Errorf("the stalled connection: %v", err)
	}
	time.Sleep(writeWait)
	if got := kept.ask(request("GET", "/elsewhere", "")); got != "404 close" {
		t.Errorf("got %s", got)
	}
}

// A client that leaves is told to the module, and one that is slow to send or asks for nothing is not.
func TestLeaves(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := start(t, 100, func(op *node.Op) { ops <- op })
	c := r.dial(t)
	io.WriteString(c.Conn, request("POST", "/booking", "body"))
	op := <-ops
	c.Close()
	select {
	case left := <-r.left:
		if left != op {
			t.Error("another op was abandoned")
		}
	case <-time.After(bound):
		t.Error("the module was not told")
	}
	half := r.dial(t)
	raw := request("POST", "/booking", "body")
	io.WriteString(half.Conn, raw[:len(raw)-2])
	half.Close() // nothing was taken
	if got := r.dial(t).ask("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"); got != "200 " {
		t.Errorf("ready: %s", got)
	}
	if len(ops)+len(r.left) != 0 {
		t.Error("half a request became an op")
	}
}

// Danger: with no socket left connections would wait in the backlog, their ops taken and unanswered. Idle
// connections go first; a running op is never cut.
func TestSocketsRunShort(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := start(t, 2, holding(ops))
	running := r.dial(t)
	io.WriteString(running.Conn, request("GET", "/browse", ""))
	op := <-ops
	for range 5 {
		if got := r.dial(t).ask(request("GET", "/checkout", "")); got != "200 GET /checkout " {
			t.Errorf("got %s", got)
		}
	}
	served(op)
	if got := running.answer(); got != "200 GET /browse " {
		t.Errorf("the running op: %s", got)
	}
}

// Danger: connections that only stand there could fill the table. They give way; half a request does not.
func TestSilentConnections(t *testing.T) {
	r := start(t, 3, served)
	half := r.dial(t)
	raw := request("GET", "/checkout", "")
	io.WriteString(half.Conn, raw[:len(raw)-2])
	for range 2 {
		r.dial(t)
	}
	for range 2 {
		if got := r.dial(t).ask(request("GET", "/checkout", "")); got != "200 GET /checkout " {
			t.Errorf("got %s", got)
		}
	}
	if got := half.ask(raw[len(raw)-2:]); got != "200 GET /checkout " {
		t.Errorf("the half request: %s", got)
	}
}

// A planned restart loses nothing: connections that come meanwhile are served and closed, ops in hand are
// finished, and then the listener is gone and every socket is back.
func TestDrain(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := start(t, 8, holding(ops))
	running, kept := r.dial(t), r.dial(t)
	kept.ask(request("GET", "/checkout", ""))
	io.WriteString(running.Conn, request("GET", "/browse", ""))
	op := <-ops
	var drained sync.WaitGroup
	drained.Go(func() { r.Drain(r.served, true) })
	for r.drain.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	for begun := time.Now(); time.Since(begun) < linger/2; time.Sleep(linger / 10) {
		if got := r.dial(t).ask(request("GET", "/checkout", "")); got != "200 close GET /checkout " {
			t.Errorf("a connection that came meanwhile: %s", got)
		}
	}
	for begun := time.Now(); ; time.Sleep(linger / 10) {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			break
		}
		c.Close()
		if time.Since(begun) > bound {
			t.Fatal("the listener still takes connections")
		}
	}
	// Danger: clients that are sent away while the next node is in a planned restart find none. What is taken now must
	// be answered before the kill.
	io.WriteString(kept.Conn, strings.Replace(request("GET", "/browse", ""), "Ms: 480", "Ms: 60000", 1))
	last := <-ops
	if most := r.drain.Load().end; last.Deadline != most || r.clock.Until(most) > r.options.Load().MaxTTL {
		t.Errorf("the last op may take until %d, the end is %d", last.Deadline, most)
	}
	served(last)
	if got := kept.answer(); got != "200 GET /browse " {
		t.Errorf("a kept connection: %s", got)
	}
	_, end := r.options.Load().drainTimes()
	time.Sleep(time.Until(r.drain.Load().begun.Add(end - r.options.Load().MaxTTL/4)))
	served(op)
	if got := running.answer(); got != "200 close GET /browse " {
		t.Errorf("the op in hand: %s", got)
	}
	drained.Wait()
	if took := time.Since(r.drain.Load().begun); took > r.options.Load().MaxTTL+killAfter {
		t.Errorf("took %v", took)
	}
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	for i := range 8 {
		if r.part.Acquire(ctx) != nil {
			t.Fatalf("%d of 8 sockets came back", i)
		}
	}
}

// Danger: the kill comes no later for TTLs over three seconds; an op that waited for them would be lost.
func TestDrainTime(t *testing.T) {
	for longest, want := range map[time.Duration]time.Duration{time.Second: 1500 * time.Millisecond,
		6 * time.Second: 3500 * time.Millisecond} {
		if _, got := (&Options{MaxTTL: longest}).drainTimes(); got != want {
			t.Errorf("with a TTL of %v: %v", longest, got)
		}
	}
}

// Danger: bad clients that connect without a break, say nothing, or begin and never end, would keep a planned restart
// from ending; the node would be killed with what it holds, and be back late.
func TestDrainAmongBadClients(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := start(t, 500, holding(ops))
	running := r.dial(t)
	io.WriteString(running.Conn, request("GET", "/browse", ""))
	op := <-ops
	half := request("POST", "/booking", "body")
	end := make(chan bool)
	var flood sync.WaitGroup
	flood.Go(func() {
		var open []net.Conn
		for i := 0; ; i++ {
			select {
			case <-end:
				for _, c := range open {
					c.Close()
				}
				return
			case <-time.After(10 * time.Millisecond):
			}
			if c, err := net.Dial("tcp", r.addr); err == nil {
				io.WriteString(c, half[:len(half)*(i%3)/2-i%3]) // nothing, half a head, all but the body's end
				open = append(open, c)
			}
		}
	})
	begun := time.Now()
	time.AfterFunc(linger, func() { served(op) })
	r.Drain(r.served, true)
	if took := time.Since(begun); took > r.options.Load().MaxTTL+killAfter {
		t.Errorf("took %v", took)
	}
	if got := running.answer(); got != "200 GET /browse " {
		t.Errorf("the op in hand: %s", got)
	}
	close(end)
	flood.Wait()
}
