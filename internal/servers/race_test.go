package servers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

// pushOnceModule pushes every op once, to server 1, and never cancels, as in a deployment that does not allow cancelling.
type pushOnceModule struct{}

// Step implements policy.Decider.
func (pushOnceModule) Step(_ policy.Micros, in *policy.Input) []policy.Effect {
	if in.Kind != policy.OpArrived {
		return nil
	}
	return []policy.Effect{{Kind: policy.Push, Op: in.Op, Server: 1, Duration: 0}}
}

// idleRegistry ignores watches.
type idleRegistry struct{}

func (idleRegistry) Watch() {}

// nodeHarness runs a node's actor with a pool of servers.
type nodeHarness struct {
	*node.Node
	budget *sockets.Budget
	clock  *node.Clock
	addrs  []string
}

// newNodeHarness starts a node that pushes every op once to one server.
func newNodeHarness(t *testing.T, addr string, dialTimeout time.Duration) *nodeHarness {
	t.Helper()
	return newNodeHarnessOf(t, pushOnceModule{}, dialTimeout, 2, addr)
}

// newNodeHarnessOf starts a node with a module, a dial timeout, a number of sockets and servers.
func newNodeHarnessOf(t *testing.T, module policy.Decider, dialTimeout time.Duration, budgetSize int, addrs ...string) *nodeHarness {
	t.Helper()
	h := &nodeHarness{budget: sockets.NewBudget(budgetSize), clock: node.NewClock(), addrs: addrs}
	h.Node = node.New(node.Options{MaxPendingOps: 9, AnswerSlack: 20 * policy.Millisecond}, module, h.clock, zerolog.Nop())
	pool := New(Options{DialTimeout: dialTimeout, ServerIdleTimeout: 5 * time.Second, MaxInFlight: 32},
		h.budget, zerolog.Nop(), h.PushEnded)
	h.Start(pool, idleRegistry{}, h.list(policy.Ready))
	ctx, stop := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- h.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-runResult
		pool.UpdateList(&node.List{Form: policy.ListFull})
	})
	return h
}

// list returns a full list with all servers in a state.
func (h *nodeHarness) list(state policy.ServerState) *node.List {
	l := &node.List{Form: policy.ListFull, Addrs: h.addrs}
	for i := range h.addrs {
		l.Entries = append(l.Entries, policy.ListEntry{Server: policy.ServerID(i + 1), State: state, Weight: 1})
	}
	return l
}

// submit submits an op with an id.
func (h *nodeHarness) submit(id string) *node.Op { return h.submitOp(id, "body", policy.Second) }

// submitOp submits an op with an id, a body and a timeout.
func (h *nodeHarness) submitOp(id, body string, timeout policy.Micros) *node.Op {
	op := node.NewOp()
	p := newPush(context.Background(), "POST", "/booking", "", "X-Txn: "+id)
	p.Body.Close()
	op.Request = *p.Request
	op.Body, _ = node.ReadPayload(strings.NewReader(body), -1)
	op.Deadline = h.clock.Now() + timeout
	h.Submit(op)
	return op
}

// awaitVerdict waits for the op's answer.
func awaitVerdict(t *testing.T, op *node.Op) node.Verdict {
	t.Helper()
	select {
	case answer := <-op.Answered():
		answer.Body.Release()
		return answer.Verdict
	case <-time.After(testTimeout):
		t.Fatal("an op got no answer")
	}
	panic("unreachable")
}

// readID reads one whole request and returns its id.
func readID(in *bufio.Reader) (string, error) {
	head, _, err := readRequest(in)
	_, rest, _ := strings.Cut(head, "X-Txn: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id, err
}

// idServer starts a server that reports the id of each request.
func idServer(t *testing.T) (addr string, got chan string) {
	got = make(chan string, 8)
	return startServer(t, func(c net.Conn, in *bufio.Reader) {
		for {
			id, err := readID(in)
			if err != nil {
				return
			}
			got <- id
			io.WriteString(c, response("200 OK", "fine"))
		}
	}), got
}

// TestWithdrawnWhileWaitingForSocket checks that nothing of a push is sent if its client leaves, its server drains or the
// process ends while the push waits for a socket. The connection that is opened afterwards carries the next op first.
func TestWithdrawnWhileWaitingForSocket(t *testing.T) {
	for name, meanwhile := range map[string]func(*nodeHarness, *node.Op) node.Verdict{
		"client leaves": func(harness *nodeHarness, op *node.Op) node.Verdict {
			harness.Abandon(op)
			return node.ClientLeft
		},
		"server drains": func(harness *nodeHarness, op *node.Op) node.Verdict {
			harness.ListReceived(harness.list(policy.Draining))
			return node.DeadLettered // at its deadline: this module does not push again
		},
		"process ends": func(harness *nodeHarness, op *node.Op) node.Verdict {
			harness.SetShutdownDeadline(harness.clock.Now())
			return node.Nacked
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, got := idServer(t)
			harness := newNodeHarness(t, addr, testTimeout)
			for range harness.budget.Size() { // without a free socket the push has to wait
				harness.budget.Acquire(t.Context())
			}
			timeout := testTimeout // also enough on a machine that stalls for a while
			if name == "server drains" {
				timeout = time.Second
			}
			first := harness.submitOp("first", "body", policy.Micros(timeout/time.Microsecond))
			for harness.budget.Waiters() == 0 { // until its push waits for a socket
				time.Sleep(time.Millisecond)
			}
			want := meanwhile(harness, first)
			checkFirst := func() {
				if v := awaitVerdict(t, first); v != want {
					t.Errorf("first op: got verdict %v", v)
				}
			}
			if want == node.DeadLettered { // the op stays pending; after this call the actor has handled the drain
				if _, err := harness.Switch(&node.Generation{Options: node.Options{MaxPendingOps: 9}, Module: pushOnceModule{}}); err != nil {
					t.Fatal(err)
				}
				defer checkFirst()
			} else {
				checkFirst()
			}
			for range harness.budget.Size() {
				harness.budget.Release()
			}
			harness.SetShutdownDeadline(harness.clock.Now() + policy.Micros(testTimeout/time.Microsecond)) // lets the second op finish
			harness.ListReceived(harness.list(policy.Ready))
			if v := awaitVerdict(t, harness.submit("second")); v != node.Acked {
				t.Errorf("second op: got verdict %v", v)
			}
			if id := <-got; id != "second" {
				t.Errorf("server got op %q", id)
			}
		})
	}
}

// TestClientLeavesBeforeFirstByte checks that nothing of a push is written if its client leaves after the push got its
// connection and before its first byte.
func TestClientLeavesBeforeFirstByte(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go io.Copy(io.Discard, far)
	openConns := &connSet{conns: make(map[*conn]bool)}
	begun := newPush(t.Context(), "GET", "/a", "")
	beginConn := openConns.add(&conn{Conn: (&sockets.Budget{}).Wrap(near), owner: &serverActor{}, openConns: openConns, stallTimeout: time.Second})
	beginConn.assign(begun)
	if !begun.TryBegin() || !beginConn.beginWrite() {
		t.Fatal("a push that was not withdrawn could not begin")
	}
	addr, got := idServer(t)
	harness := newNodeHarness(t, addr, testTimeout)
	pushes := make(chan *node.Push, 1)
	harness.Start(capturingServers{pushes}, idleRegistry{}, harness.list(policy.Ready))
	op := harness.submit("first")
	push := <-pushes
	assigned := openConns.add(&conn{Conn: (&sockets.Budget{}).Wrap(near), owner: &serverActor{}, openConns: openConns, stallTimeout: time.Second})
	assigned.assign(push)
	harness.Abandon(op)
	if n, err := assigned.Write([]byte("GET / HTTP/1.1\r\n")); n != 0 || err == nil {
		t.Errorf("%d bytes of a withdrawn push were written, %v", n, err)
	}
	if assigned.written.Load() != writtenNothing || !push.Withdrawn() {
		t.Error("push counts as begun")
	}
	push.Body.Close()
	harness.PushEnded(push, node.Result{Outcome: policy.Moot})
	awaitVerdict(t, op)
	if len(got) > 0 {
		t.Error("server got a request")
	}
}

// capturingServers passes pushes to the test.
type capturingServers struct{ pushes chan *node.Push }

func (c capturingServers) UpdateList(*node.List)     {}
func (c capturingServers) Push(p *node.Push)         { c.pushes <- p }
func (c capturingServers) CloseIdle(policy.ServerID) {}

// TestAnswerBeforeWholeRequest checks the outcome when a server answers before it has read the whole request, and then breaks
// the connection. The op may have run: reported as never run, an at-most-once op would be pushed again.
func TestAnswerBeforeWholeRequest(t *testing.T) {
	long := strings.Repeat("x", 60<<10)
	for name, early := range map[string]string{
		"200 cut short": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfi",
		"partial head":  "HTTP/1.1 200 O",
		"no bytes":      "",
	} {
		t.Run(name, func(t *testing.T) {
			// The last byte of the body is never read, so the request is never complete.
			near, far := net.Pipe()
			defer far.Close()
			openConns := &connSet{conns: make(map[*conn]bool)}
			c := openConns.add(&conn{Conn: (&sockets.Budget{}).Wrap(near), owner: &serverActor{}, openConns: openConns, stallTimeout: testTimeout})
			push := newPush(t.Context(), "POST", "/a", long)
			attempt := &pushAttempt{push: push, body: push.Body.NewReader()}
			io.CopyN(io.Discard, attempt.body, int64(len(long)-1))
			c.assign(push)
			attempt.withConn(c)
			go func() {
				io.CopyN(io.Discard, far, 7)
				if early != "" {
					io.WriteString(far, early)
				}
				far.Close()
			}()
			if _, err := c.Write([]byte("request")); err != nil {
				t.Fatal(err)
			}
			for {
				if _, err := c.Read(make([]byte, 64)); err != nil {
					break
				}
			}
			want := policy.Reset
			if early == "" {
				want = policy.ConnectFailed
			}
			if got := attempt.failureOutcome(t.Context()); got != want {
				t.Errorf("got outcome %v, want %v", got, want)
			}
		})
	}
}

// TestAnswerWithoutEnd checks answers that never end but keep sending bytes, so that the stall timeout does not apply. Only
// cancelling the push ends them; the connection is closed then, and its socket is released once.
func TestAnswerWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ first, repeated string }{
		"head byte by byte":               {"HTTP/1.1 200 OK\r\nX-A: ", "a"},
		"body byte by byte":               {"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", "a"},
		"chunk after chunk":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"chunk size byte by byte":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"interim answers":                 {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"error status, head byte by byte": {"HTTP/1.1 500 Oops\r\nX-A: ", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			sendMore := make(chan bool)
			closed := make(chan bool)
			r := newPoolHarness(t, startServer(t, func(clientConn net.Conn, in *bufio.Reader) {
				defer close(closed)
				readRequest(in)
				io.WriteString(clientConn, c.first)
				for range sendMore {
					if _, err := io.WriteString(clientConn, c.repeated); err != nil {
						return
					}
				}
				in.ReadByte() // until the client closes the connection
			}))
			ctx, cancel := context.WithCancel(t.Context())
			r.Push(newPush(ctx, "GET", "/a", ""))
			for range 4 {
				sendMore <- true
			}
			select {
			case result := <-r.results:
				t.Fatalf("push ended before it was cancelled: %v", result.Outcome)
			default:
			}
			cancel()
			if result := r.awaitResult(t); result.Outcome != policy.Cancelled {
				t.Errorf("got outcome %v", result.Outcome)
			}
			close(sendMore)
			<-closed
			r.checkAllReleased(t)
		})
	}
}

// fullBacklog starts a listener whose backlog is full, so that a connection to it stays between its SYN and being established.
// The returned function empties the backlog and starts to serve.
func fullBacklog(t *testing.T, serve func(net.Conn, *bufio.Reader)) (addr string, drain func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	syscall.CloseOnExec(fd)
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, _ := syscall.Getsockname(fd)
	addr = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	var fillers []net.Conn
	t.Cleanup(func() {
		for _, c := range fillers {
			c.Close()
		}
	})
	for full := false; !full; {
		c, err := net.DialTimeout("tcp", addr, 500*time.Millisecond)
		if full = err != nil; !full {
			fillers = append(fillers, c)
		}
	}
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	startServing := serverOn(t, l, serve)
	return addr, func() {
		for _, c := range fillers {
			c.Close()
		}
		startServing()
	}
}

// dialPending reports whether a connection from this machine to addr is in state SYN_SENT.
func dialPending(t *testing.T, addr string) bool {
	t.Helper()
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(addr)
	number, _ := strconv.Atoi(port)
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) > 3 && fields[2] == fmt.Sprintf("0100007F:%04X", number) && fields[3] == "02" {
			return true
		}
	}
	return false
}

// TestWithdrawnWhileDialing checks that nothing of a push is sent if its client leaves while the push waits for a connection
// that is established late. The connection carries the next op first.
func TestWithdrawnWhileDialing(t *testing.T) {
	firstIDs := make(chan string, 8) // the first request id of each connection
	releaseHeld := make(chan bool)
	release := sync.OnceFunc(func() { close(releaseHeld) })
	addr, emptyBacklog := fullBacklog(t, func(c net.Conn, in *bufio.Reader) {
		for first := true; ; first = false {
			id, err := readID(in)
			if err != nil {
				return
			}
			if first {
				firstIDs <- id
			}
			if id == "held" {
				<-releaseHeld
			}
			io.WriteString(c, response("200 OK", "fine"))
		}
	})
	t.Cleanup(release) // before the test server waits for its connections
	harness := newNodeHarness(t, addr, testTimeout)
	// The op does not time out in this test, which would withdraw the push as well.
	first := harness.submitOp("first", "body", policy.Micros(testTimeout/time.Microsecond))
	for start := time.Now(); !dialPending(t, addr); time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatal("no dial is pending")
		}
	}
	harness.Abandon(first)
	if v := awaitVerdict(t, first); v != node.ClientLeft {
		t.Errorf("first op: got verdict %v", v)
	}
	emptyBacklog()
	// Another op gets a connection at once and keeps it, which uses up the budget. The late connection is established when
	// the kernel repeats the SYN, after about a second, and goes to the next op that waits.
	held := harness.submitOp("held", "body", policy.Micros(testTimeout/time.Microsecond))
	if id := <-firstIDs; id != "held" {
		t.Fatalf("server got op %q", id)
	}
	next := harness.submitOp("next", "body", policy.Micros(testTimeout/time.Microsecond))
	if id := <-firstIDs; id != "next" {
		t.Fatalf("server got op %q", id)
	}
	if v := awaitVerdict(t, next); v != node.Acked {
		t.Errorf("next op: got verdict %v", v)
	}
	release()
	if v := awaitVerdict(t, held); v != node.Acked {
		t.Errorf("held op: got verdict %v", v)
	}
}

// TestRemainingTimeOnLateConnection checks that the remaining time in the header counts from when the request is written, not
// from when the push was created, if the connection is established late.
func TestRemainingTimeOnLateConnection(t *testing.T) {
	type headerValue struct {
		remaining time.Duration
		at        time.Time
	}
	received := make(chan headerValue, 1)
	addr, emptyBacklog := fullBacklog(t, func(c net.Conn, in *bufio.Reader) {
		head, _, err := readRequest(in)
		if err != nil {
			return
		}
		_, rest, _ := strings.Cut(head, "X-Remaining-Ms: ")
		ms, err := strconv.Atoi(strings.TrimSpace(strings.SplitN(rest, "\r\n", 2)[0]))
		if err != nil {
			t.Error(err)
		}
		received <- headerValue{time.Duration(ms) * time.Millisecond, time.Now()}
		io.WriteString(c, response("200 OK", "fine"))
	})
	harness := newNodeHarness(t, addr, testTimeout)
	const timeout = 4 * time.Second
	submittedAt := time.Now()
	op := harness.submitOp("late", "body", policy.Micros(timeout/time.Microsecond))
	for start := time.Now(); !dialPending(t, addr); time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatal("no dial is pending")
		}
	}
	time.Sleep(300 * time.Millisecond)
	emptyBacklog()
	got := <-received
	if remaining := timeout - got.at.Sub(submittedAt); got.remaining > remaining+20*time.Millisecond || got.remaining <= 0 {
		t.Errorf("header says %v, %v remain", got.remaining, remaining)
	}
	if got.at.Sub(submittedAt) < 300*time.Millisecond {
		t.Error("connection was not late")
	}
	if v := awaitVerdict(t, op); v != node.Acked {
		t.Errorf("got verdict %v", v)
	}
}

// TestConnectionEndsAfterAssignment checks a server that ends an idle connection after it was assigned to a push; the test holds
// the push before its first byte. Nothing is written on that connection, and the push is sent once on another one.
func TestConnectionEndsAfterAssignment(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
		"half-closed":       func(c *net.TCPConn) { c.CloseWrite() },
		"unsolicited bytes": func(c *net.TCPConn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong") },
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			conns := make(chan *net.TCPConn, 4)
			r := newPoolHarness(t, startServer(t, func(c net.Conn, in *bufio.Reader) {
				conns <- c.(*net.TCPConn)
				for {
					if _, _, err := readRequest(in); err != nil {
						return
					}
					requests.Add(1)
					io.WriteString(c, response("200 OK", "right"))
				}
			}))
			if got := r.pushAndWait(t, newPush(t.Context(), "POST", "/a", "body")); got != policy.Acked {
				t.Fatal(got)
			}
			var idle *conn
			for idle == nil || idle.idleTime() < minIdleTime {
				r.openConns.mu.Lock()
				for c := range r.openConns.conns {
					idle = c
				}
				r.openConns.mu.Unlock()
			}
			idle.mu.Lock() // blocks the push in assign and the library's reader in receive
			r.Push(newPush(t.Context(), "POST", "/a", "body"))
			end(<-conns)
			for !idle.hasUnread() {
				time.Sleep(time.Millisecond)
			}
			idle.mu.Unlock()
			result := r.awaitResult(t)
			if result.Outcome != policy.Acked || string(result.Body.Bytes()) != "right" {
				t.Errorf("got outcome %v", result.Outcome)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("server got %d requests", n)
			}
		})
	}
}

// TestAtMostOnceOnSockets checks an at-most-once op for each way in which a push can end: there are never two pushes in
// flight, and none after a push that may have run.
func TestAtMostOnceOnSockets(t *testing.T) {
	long := strings.Repeat("x", 60<<10)
	reset := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) }
	for name, c := range map[string]struct {
		handleFirst  func(net.Conn, *bufio.Reader) // handles the first push
		mayPushAgain bool                          // the first push has certainly not run
		lateAnswer   string                        // answer of the first push, written after it counts as ended
	}{
		"reset after the request": {handleFirst: func(c net.Conn, in *bufio.Reader) {
			readRequest(in)
			reset(c)
		}},
		"closed after the request": {handleFirst: func(c net.Conn, in *bufio.Reader) { readRequest(in) }},
		"error status": {handleFirst: func(c net.Conn, in *bufio.Reader) {
			readRequest(in)
			io.WriteString(c, response("500 Oops", ""))
		}},
		"503 without the marker": {handleFirst: func(c net.Conn, in *bufio.Reader) {
			readRequest(in)
			io.WriteString(c, response("503 Full", ""))
		}},
		"partial head": {handleFirst: func(c net.Conn, in *bufio.Reader) {
			readRequest(in)
			io.WriteString(c, "HTTP/1.1 2")
		}},
		"short body": {handleFirst: func(c net.Conn, in *bufio.Reader) {
			readRequest(in)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nf")
		}},
		"no answer": {handleFirst: func(c net.Conn, in *bufio.Reader) {
			readRequest(in)
			in.ReadByte()
		}},
		"no HTTP answer": {handleFirst: func(c net.Conn, in *bufio.Reader) {
			readRequest(in)
			io.WriteString(c, "nonsense\r\n\r\n")
			in.ReadByte()
		}},
		"answer byte by byte": {handleFirst: func(c net.Conn, in *bufio.Reader) {
			readRequest(in)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-A: ")
			for _, err := c.Write([]byte("a")); err == nil; _, err = c.Write([]byte("a")) {
				time.Sleep(20 * time.Millisecond) // the rate of the answer; not a wait for another goroutine
			}
		}},
		"answer before the whole request": {handleFirst: func(c net.Conn, in *bufio.Reader) {
			in.ReadString('\n')
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nf")
			reset(c)
		}},
		"503 with the marker": {mayPushAgain: true, handleFirst: func(c net.Conn, in *bufio.Reader) {
			readRequest(in)
			// The push counts as ended before its answer is written, since the node may push again right after the answer.
		}, lateAnswer: response("503 Full", "", "X-Turned-Away: 1")},
	} {
		t.Run(name, func(t *testing.T) {
			var requests, inFlight, maxInFlight atomic.Int32
			serve := func(conn net.Conn, in *bufio.Reader) {
				for {
					// Ignores connections of other tests' nodes, which look for registries at ports that were free before.
					if method, err := in.Peek(4); err != nil || string(method) != "POST" {
						return
					}
					now := inFlight.Add(1)
					for previous := maxInFlight.Load(); now > previous && !maxInFlight.CompareAndSwap(previous, now); previous = maxInFlight.Load() {
					}
					if requests.Add(1) == 1 {
						c.handleFirst(conn, in)
						inFlight.Add(-1)
						io.WriteString(conn, c.lateAnswer)
						return
					}
					readRequest(in)
					inFlight.Add(-1)
					io.WriteString(conn, response("200 OK", "fine"))
				}
			}
			module := policy.New(1, policy.Topology{TierCount: 1, NodeCount: 1, ClockTick: policy.Millisecond},
				[]policy.Category{{Benefit: 1, TargetLatency: 400 * policy.Millisecond, TTL: 500 * policy.Millisecond, Delivery: policy.AtMostOnce}},
				policy.PushLimits{MaxPushes: 3, DialTimeout: 100 * policy.Millisecond, MayCancel: true},
				policy.ColdStartRule{InitialShare: 1, OverloadFactor: 3, OverloadWindow: policy.Second}, policy.RegistryRule{})
			harness := newNodeHarnessOf(t, module, 100*time.Millisecond, 9, startServer(t, serve), startServer(t, serve))
			op := harness.submitOp("only", long, 500*policy.Millisecond)
			want := node.DeadLettered
			pushes := int32(1)
			if c.mayPushAgain {
				want = node.Acked
				pushes = 2
			}
			if v := awaitVerdict(t, op); v != want {
				t.Errorf("got verdict %v", v)
			}
			if n := requests.Load(); n != pushes || maxInFlight.Load() > 1 {
				t.Errorf("servers got %d pushes, at most %d at a time", n, maxInFlight.Load())
			}
		})
	}
}

// TestWriteFailsBeforeAnswerIsRead checks a server that answers and breaks the connection, where a failing write notices the
// break before the answer is read. The test reads nothing, and writes until a write fails.
func TestWriteFailsBeforeAnswerIsRead(t *testing.T) {
	for name, early := range map[string]string{"partial answer": "HTTP/1.1 2", "no answer": ""} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			near, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer near.Close()
			far, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			openConns := &connSet{conns: make(map[*conn]bool)}
			c := openConns.add(&conn{Conn: (&sockets.Budget{}).Wrap(near), owner: &serverActor{}, openConns: openConns, stallTimeout: testTimeout})
			push := newPush(t.Context(), "POST", "/a", "body")
			attempt := &pushAttempt{push: push, body: push.Body.NewReader()}
			c.assign(push)
			attempt.withConn(c)
			if _, err := c.Write([]byte("part")); err != nil {
				t.Fatal(err)
			}
			io.ReadFull(far, make([]byte, 4))
			io.WriteString(far, early)
			far.(*net.TCPConn).SetLinger(0)
			far.Close()
			for err = error(nil); err == nil; {
				_, err = c.Write([]byte("p"))
			}
			want := policy.Reset
			if early == "" {
				want = policy.ConnectFailed
			}
			if got := attempt.failureOutcome(t.Context()); got != want {
				t.Errorf("got outcome %v, want %v", got, want)
			}
		})
	}
}
