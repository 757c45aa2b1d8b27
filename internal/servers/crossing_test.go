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

// eager pushes every op once, to the one server, and never cancels: a deployment that does not permit it.
type eager struct{}

func (eager) Step(_ policy.Micros, in *policy.Input) []policy.Effect {
	if in.Kind != policy.OpArrived {
		return nil
	}
	return []policy.Effect{{Kind: policy.Push, Op: in.Op, Server: 1, Duration: 0}}
}

type quietRegistry struct{}

func (quietRegistry) Watch() {}

// actor runs a node's actor over a pool with one server.
type actor struct {
	*node.Node
	part  *sockets.Budget
	clock *node.Clock
	addrs []string
}

func newActor(t *testing.T, addr string, dial time.Duration) *actor {
	t.Helper()
	return newActorOf(t, eager{}, dial, 2, addr)
}

func newActorOf(t *testing.T, module policy.Decider, dial time.Duration, room int, addrs ...string) *actor {
	t.Helper()
	a := &actor{part: sockets.NewBudget(room), clock: node.NewClock(), addrs: addrs}
	a.Node = node.New(node.Options{MaxPendingOps: 9, AnswerSlack: 20 * policy.Millisecond}, module, a.clock, zerolog.Nop())
	pool := New(Options{DialTimeout: dial, ServerIdleTimeout: 5 * time.Second, MaxInFlight: 32}, a.part, zerolog.Nop(), a.PushEnded)
	a.Start(pool, quietRegistry{}, a.list(policy.Ready))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended; pool.UpdateList(&node.List{Form: policy.ListFull}) })
	return a
}

func (a *actor) list(state policy.ServerState) *node.List {
	l := &node.List{Form: policy.ListFull, Addrs: a.addrs}
	for i := range a.addrs {
		l.Entries = append(l.Entries, policy.ListEntry{Server: policy.ServerID(i + 1), State: state, Weight: 1})
	}
	return l
}

// op hands over an op of an id.
func (a *actor) op(id string) *node.Op { return a.opOf(id, "body", policy.Second) }

func (a *actor) opOf(id, body string, wait policy.Micros) *node.Op {
	op := node.NewOp()
	p := push(context.Background(), "POST", "/booking", "", "X-Txn: "+id)
	p.Body.Close()
	op.Request = *p.Request
	op.Body, _ = node.ReadPayload(strings.NewReader(body), -1)
	op.Deadline = a.clock.Now() + wait
	a.Submit(op)
	return op
}

func verdict(t *testing.T, op *node.Op) node.Verdict {
	t.Helper()
	select {
	case answer := <-op.Answered():
		answer.Body.Release()
		return answer.Verdict
	case <-time.After(bound):
		t.Fatal("an op has no answer")
	}
	panic("unreachable")
}

// readID reads one request whole and gives its id.
func readID(in *bufio.Reader) (string, error) {
	head, _, err := read(in)
	_, rest, _ := strings.Cut(head, "X-Txn: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id, err
}

// ids tells of each request that a server got, by its id.
func ids(t *testing.T) (addr string, got chan string) {
	got = make(chan string, 8)
	return server(t, func(c net.Conn, in *bufio.Reader) {
		for {
			id, err := readID(in)
			if err != nil {
				return
			}
			got <- id
			io.WriteString(c, answer("200 OK", "fine"))
		}
	}), got
}

// A push waits for a socket, and its client leaves, its server drains, or its process is told to end, in this wait. Once there
// is room the connection comes up, and brings nothing of it: what comes first is the next op.
func TestWaitsForASocket(t *testing.T) {
	for name, meanwhile := range map[string]func(*actor, *node.Op) node.Verdict{
		"the client leaves": func(a *actor, op *node.Op) node.Verdict { a.Abandon(op); return node.ClientLeft },
		"the server drains": func(a *actor, op *node.Op) node.Verdict {
			a.ListReceived(a.list(policy.Draining))
			return node.DeadLettered // in the end: the module here does not push again
		},
		"the process ends": func(a *actor, op *node.Op) node.Verdict { a.SetShutdownDeadline(a.clock.Now()); return node.Nacked },
	} {
		t.Run(name, func(t *testing.T) {
			addr, got := ids(t)
			a := newActor(t, addr, bound)
			for range a.part.Size() { // spent: the wait is certain
				a.part.Acquire(t.Context())
			}
			wait := bound // of a machine that stands still for a while
			if name == "the server drains" {
				wait = time.Second
			}
			first := a.opOf("first", "body", policy.Micros(wait/time.Microsecond))
			for a.part.Waiters() == 0 { // its push stands at the budget
				time.Sleep(time.Millisecond)
			}
			want := meanwhile(a, first)
			answered := func() {
				if v := verdict(t, first); v != want {
					t.Errorf("the first op: %v", v)
				}
			}
			if want == node.DeadLettered { // it stays in hand: the actor has read of the drain when it has read of this
				if _, err := a.Switch(&node.Generation{Options: node.Options{MaxPendingOps: 9}, Module: eager{}}); err != nil {
					t.Fatal(err)
				}
				defer answered()
			} else {
				answered()
			}
			for range a.part.Size() {
				a.part.Release()
			}
			a.SetShutdownDeadline(a.clock.Now() + policy.Micros(bound/time.Microsecond)) // the process goes on, for the second op
			a.ListReceived(a.list(policy.Ready))
			if v := verdict(t, a.op("second")); v != node.Acked {
				t.Errorf("the second op: %v", v)
			}
			if id := <-got; id != "second" {
				t.Errorf("the server got the %s op", id)
			}
		})
	}
}

// The connection is there, and the client leaves between the moment when the push gets it and the moment when its first byte
// would be written.
func TestLeavesBeforeTheFirstByte(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go io.Copy(io.Discard, far)
	k := &keep{conns: make(map[*conn]bool)}
	p := push(t.Context(), "GET", "/a", "")
	c := k.add(&conn{Conn: (&sockets.Budget{}).Wrap(near), of: &peer{}, in: k, stall: time.Second})
	c.begin(p)
	if !p.TryBegin() || !c.fit() {
		t.Fatal("a push that nobody called back may not begin")
	}
	addr, got := ids(t)
	a := newActor(t, addr, bound)
	gate := make(chan *node.Push, 1)
	a.Start(catch{gate}, quietRegistry{}, a.list(policy.Ready))
	op := a.op("first")
	caught := <-gate
	held := k.add(&conn{Conn: (&sockets.Budget{}).Wrap(near), of: &peer{}, in: k, stall: time.Second})
	held.begin(caught)
	a.Abandon(op)
	if n, err := held.Write([]byte("GET / HTTP/1.1\r\n")); n != 0 || err == nil {
		t.Errorf("%d bytes written for nobody, %v", n, err)
	}
	if held.wrote.Load() != nothing || !caught.Withdrawn() {
		t.Error("the push counts as begun")
	}
	caught.Body.Close()
	a.PushEnded(caught, node.Result{Outcome: policy.Moot})
	verdict(t, op)
	if len(got) > 0 {
		t.Error("the server got something")
	}
}

// catch hands pushes to the test.
type catch struct{ gate chan *node.Push }

func (c catch) UpdateList(*node.List)     {}
func (c catch) Push(p *node.Push)         { c.gate <- p }
func (c catch) CloseIdle(policy.ServerID) {}

// Danger: a server that answers before it has read the whole, and breaks then, has had the op; told as never run, an op that
// must not run twice would be pushed again.
func TestAnsweredBeforeTheWhole(t *testing.T) {
	long := strings.Repeat("x", 60<<10)
	for name, early := range map[string]string{
		"200 cut short":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfi",
		"half a head":    "HTTP/1.1 200 O",
		"nothing at all": "",
	} {
		t.Run(name, func(t *testing.T) {
			// The body's reader stops one byte before its end, so the request is never whole.
			near, far := net.Pipe()
			defer far.Close()
			k := &keep{conns: make(map[*conn]bool)}
			c := k.add(&conn{Conn: (&sockets.Budget{}).Wrap(near), of: &peer{}, in: k, stall: bound})
			p := push(t.Context(), "POST", "/a", long)
			w := &passage{push: p, body: p.Body.NewReader()}
			io.CopyN(io.Discard, w.body, int64(len(long)-1))
			c.begin(p)
			w.with(c)
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
			if got := w.failure(t.Context()); got != want {
				t.Errorf("outcome %v, not %v", got, want)
			}
		})
	}
}

// Answers that never end: a byte now and then keeps each of them from stalling, so the end of the push alone ends it. The
// connection closes then, and its socket comes back, once.
func TestAnswerWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ first, on string }{
		"a head byte by byte":          {"HTTP/1.1 200 OK\r\nX-A: ", "a"},
		"a body byte by byte":          {"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", "a"},
		"chunk after chunk":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"a chunk's size byte by byte":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"interim answers":              {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"another status, byte by byte": {"HTTP/1.1 500 Oops\r\nX-A: ", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			step, closed := make(chan bool), make(chan bool)
			r := newRig(t, server(t, func(c2 net.Conn, in *bufio.Reader) {
				defer close(closed)
				read(in)
				io.WriteString(c2, c.first)
				for range step {
					if _, err := io.WriteString(c2, c.on); err != nil {
						return
					}
				}
				in.ReadByte() // until the other side ends it
			}))
			ctx, giveUp := context.WithCancel(t.Context())
			r.Push(push(ctx, "GET", "/a", ""))
			for range 4 {
				step <- true
			}
			select {
			case result := <-r.ended:
				t.Fatalf("it ended by itself: %v", result.Outcome)
			default:
			}
			giveUp()
			if result := r.result(t); result.Outcome != policy.Cancelled {
				t.Errorf("outcome %v", result.Outcome)
			}
			close(step)
			<-closed
			r.allFree(t)
		})
	}
}

// stuffed is a listener whose backlog is full, so that a connection to it stands between its SYN and its coming up, until
// empty has taken what waits; from then on it serves.
func stuffed(t *testing.T, serve func(net.Conn, *bufio.Reader)) (addr string, empty func()) {
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
	var stuffing []net.Conn
	t.Cleanup(func() {
		for _, c := range stuffing {
			c.Close()
		}
	})
	for full := false; !full; {
		c, err := net.DialTimeout("tcp", addr, 500*time.Millisecond)
		if full = err != nil; !full {
			stuffing = append(stuffing, c)
		}
	}
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	begin := serveOn(t, l, serve)
	return addr, func() {
		for _, c := range stuffing {
			c.Close()
		}
		begin()
	}
}

// dialing says that a connection of this machine to addr stands after its SYN.
func dialing(t *testing.T, addr string) bool {
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

// A push waits for a connection that comes up late, and its client leaves meanwhile. The connection comes up after all; what
// comes on it first is the next op.
func TestWaitsForAConnection(t *testing.T) {
	firsts, release := make(chan string, 8), make(chan bool) // the first id on each connection
	done := sync.OnceFunc(func() { close(release) })
	addr, empty := stuffed(t, func(c net.Conn, in *bufio.Reader) {
		for fresh := true; ; fresh = false {
			id, err := readID(in)
			if err != nil {
				return
			}
			if fresh {
				firsts <- id
			}
			if id == "held" {
				<-release
			}
			io.WriteString(c, answer("200 OK", "fine"))
		}
	})
	t.Cleanup(done) // before the stand-in waits for its connections
	a := newActor(t, addr, bound)
	first := a.opOf("first", "body", policy.Micros(bound/time.Microsecond)) // its time-out would call it back as well
	for begun := time.Now(); !dialing(t, addr); time.Sleep(time.Millisecond) {
		if time.Since(begun) > bound {
			t.Fatal("no dial is under way")
		}
	}
	a.Abandon(first)
	if v := verdict(t, first); v != node.ClientLeft {
		t.Errorf("the first op: %v", v)
	}
	empty()
	// Another op has a connection at once, and keeps it; the budget has no more room than that. The late one comes up when the
	// kernel asks again, after a second or so, and goes to who waits for it.
	held := a.opOf("held", "body", policy.Micros(bound/time.Microsecond))
	if id := <-firsts; id != "held" {
		t.Fatalf("the server got the %s op", id)
	}
	next := a.opOf("next", "body", policy.Micros(bound/time.Microsecond))
	if id := <-firsts; id != "next" {
		t.Fatalf("the server got the %s op", id)
	}
	if v := verdict(t, next); v != node.Acked {
		t.Errorf("the next op: %v", v)
	}
	done()
	if v := verdict(t, held); v != node.Acked {
		t.Errorf("the held op: %v", v)
	}
}

// A push's connection comes up late. What its server is told of the time that is left is counted from when it is written, not from when the
// push was made.
func TestTimeToldOnALateConnection(t *testing.T) {
	type heard struct {
		left time.Duration
		at   time.Time
	}
	told := make(chan heard, 1)
	addr, empty := stuffed(t, func(c net.Conn, in *bufio.Reader) {
		head, _, err := read(in)
		if err != nil {
			return
		}
		_, rest, _ := strings.Cut(head, "X-Remaining-Ms: ")
		ms, err := strconv.Atoi(strings.TrimSpace(strings.SplitN(rest, "\r\n", 2)[0]))
		if err != nil {
			t.Error(err)
		}
		told <- heard{time.Duration(ms) * time.Millisecond, time.Now()}
		io.WriteString(c, answer("200 OK", "fine"))
	})
	a := newActor(t, addr, bound)
	const wait = 4 * time.Second
	made := time.Now()
	op := a.opOf("late", "body", policy.Micros(wait/time.Microsecond))
	for begun := time.Now(); !dialing(t, addr); time.Sleep(time.Millisecond) {
		if time.Since(begun) > bound {
			t.Fatal("no dial is under way")
		}
	}
	time.Sleep(300 * time.Millisecond)
	empty()
	got := <-told
	if left := wait - got.at.Sub(made); got.left > left+20*time.Millisecond || got.left <= 0 {
		t.Errorf("told %v, %v are left", got.left, left)
	}
	if got.at.Sub(made) < 300*time.Millisecond {
		t.Error("the connection was not late")
	}
	if v := verdict(t, op); v != node.Acked {
		t.Errorf("the op: %v", v)
	}
}

// The server ends an idle connection after a push has chosen it: the test holds the push between its choice and its first byte.
// Nothing of it is written there, and it goes on another connection, once.
func TestIdleEndsOnceChosen(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"closed":     func(c *net.TCPConn) { c.Close() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"its side":   func(c *net.TCPConn) { c.CloseWrite() },
		"bytes come": func(c *net.TCPConn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong") },
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			conns := make(chan *net.TCPConn, 4)
			r := newRig(t, server(t, func(c net.Conn, in *bufio.Reader) {
				conns <- c.(*net.TCPConn)
				for {
					if _, _, err := read(in); err != nil {
						return
					}
					requests.Add(1)
					io.WriteString(c, answer("200 OK", "right"))
				}
			}))
			if got := r.carry(t, push(t.Context(), "POST", "/a", "body")); got != policy.Acked {
				t.Fatal(got)
			}
			var idle *conn
			for idle == nil || idle.stood() < rest {
				r.kept.mu.Lock()
				for c := range r.kept.conns {
					idle = c
				}
				r.kept.mu.Unlock()
			}
			idle.mu.Lock() // the push stands at begin, the library's reader at what comes
			r.Push(push(t.Context(), "POST", "/a", "body"))
			end(<-conns)
			for !idle.stirred() {
				time.Sleep(time.Millisecond)
			}
			idle.mu.Unlock()
			result := r.result(t)
			if result.Outcome != policy.Acked || string(result.Body.Bytes()) != "right" {
				t.Errorf("outcome %v", result.Outcome)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("the server got %d requests", n)
			}
		})
	}
}

// An at-most-once op under each way in which a push can end: never two pushes out, and none after one that may have run.
func TestAtMostOnceOnSockets(t *testing.T) {
	long := strings.Repeat("x", 60<<10)
	reset := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) }
	for name, c := range map[string]struct {
		first func(net.Conn, *bufio.Reader) // what the server of the first push does with it, to its end
		again bool                          // it surely never ran
		last  string                        // what it says at its end
	}{
		"reset after the whole":   {first: func(c net.Conn, in *bufio.Reader) { read(in); reset(c) }},
		"closed after the whole":  {first: func(c net.Conn, in *bufio.Reader) { read(in) }},
		"an error":                {first: func(c net.Conn, in *bufio.Reader) { read(in); io.WriteString(c, answer("500 Oops", "")) }},
		"full, but not marked so": {first: func(c net.Conn, in *bufio.Reader) { read(in); io.WriteString(c, answer("503 Full", "")) }},
		"half a head":             {first: func(c net.Conn, in *bufio.Reader) { read(in); io.WriteString(c, "HTTP/1.1 2") }},
		"a short body": {first: func(c net.Conn, in *bufio.Reader) {
			read(in)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nf")
		}},
		"no answer": {first: func(c net.Conn, in *bufio.Reader) { read(in); in.ReadByte() }},
		"what is no answer": {first: func(c net.Conn, in *bufio.Reader) {
			read(in)
			io.WriteString(c, "nonsense\r\n\r\n")
			in.ReadByte()
		}},
		"an answer byte by byte": {first: func(c net.Conn, in *bufio.Reader) {
			read(in)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-A: ")
			for _, err := c.Write([]byte("a")); err == nil; _, err = c.Write([]byte("a")) {
				time.Sleep(20 * time.Millisecond) // the stand-in's pace, no wait for a crossing
			}
		}},
		"an answer before the whole": {first: func(c net.Conn, in *bufio.Reader) {
			in.ReadString('\n')
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nf")
			reset(c)
		}},
		"turned away": {again: true, first: func(c net.Conn, in *bufio.Reader) {
			read(in)
			// Its end comes before its answer is out, as the stand-in counts what is out at a time.
		}, last: answer("503 Full", "", "X-Turned-Away: 1")},
	} {
		t.Run(name, func(t *testing.T) {
			var requests, out, most atomic.Int32
			serve := func(conn net.Conn, in *bufio.Reader) {
				for {
					// Danger: nodes of other tests look for registries at ports that were free a moment ago.
					if word, err := in.Peek(4); err != nil || string(word) != "POST" {
						return
					}
					now := out.Add(1)
					for was := most.Load(); now > was && !most.CompareAndSwap(was, now); was = most.Load() {
					}
					if requests.Add(1) == 1 {
						c.first(conn, in)
						out.Add(-1)
						io.WriteString(conn, c.last)
						return
					}
					read(in)
					out.Add(-1)
					io.WriteString(conn, answer("200 OK", "fine"))
				}
			}
			module := policy.New(1, policy.Topology{TierCount: 1, NodeCount: 1, ClockTick: policy.Millisecond},
				[]policy.Category{{Benefit: 1, TargetLatency: 400 * policy.Millisecond, TTL: 500 * policy.Millisecond, Delivery: policy.AtMostOnce}},
				policy.PushLimits{MaxPushes: 3, DialTimeout: 100 * policy.Millisecond, MayCancel: true},
				policy.ColdStartRule{InitialShare: 1, OverloadFactor: 3, OverloadWindow: policy.Second}, policy.RegistryRule{})
			a := newActorOf(t, module, 100*time.Millisecond, 9, server(t, serve), server(t, serve))
			op := a.opOf("only", long, 500*policy.Millisecond)
			want, pushes := node.DeadLettered, int32(1)
			if c.again {
				want, pushes = node.Acked, 2
			}
			if v := verdict(t, op); v != want {
				t.Errorf("the op: %v", v)
			}
			if n := requests.Load(); n != pushes || most.Load() > 1 {
				t.Errorf("servers got %d pushes, %d at a time", n, most.Load())
			}
		})
	}
}

// The server answers, breaks, and the write learns of it first: nobody has read the answer yet. The test reads nothing, and
// writes until the write fails.
func TestAnsweredAndWriteFailsFirst(t *testing.T) {
	for name, early := range map[string]string{"some of an answer": "HTTP/1.1 2", "nothing": ""} {
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
			k := &keep{conns: make(map[*conn]bool)}
			c := k.add(&conn{Conn: (&sockets.Budget{}).Wrap(near), of: &peer{}, in: k, stall: bound})
			p := push(t.Context(), "POST", "/a", "body")
			w := &passage{push: p, body: p.Body.NewReader()}
			c.begin(p)
			w.with(c)
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
			if got := w.failure(t.Context()); got != want {
				t.Errorf("outcome %v, not %v", got, want)
			}
		})
	}
}
