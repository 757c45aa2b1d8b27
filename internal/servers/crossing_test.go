package servers

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
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
	return []policy.Effect{{Kind: policy.Push, Op: in.Op, Server: 1, For: policy.Second}}
}

type quietRegistry struct{}

func (quietRegistry) Watch() {}

// actor runs a node's actor over a pool with one server.
type actor struct {
	*node.Node
	part  *sockets.Part
	clock *node.Clock
	addr  string
}

func newActor(t *testing.T, addr string, dial time.Duration) *actor {
	t.Helper()
	a := &actor{part: sockets.NewPart(2), clock: node.NewClock(), addr: addr}
	a.Node = node.New(node.Options{MostOpen: 9, Slack: 20 * policy.Millisecond}, eager{}, a.clock, zerolog.Nop())
	pool := New(Options{Dial: dial, IdleClose: 5 * time.Second, MostOut: 32}, a.part, zerolog.Nop(), a.Ended)
	a.Start(pool, quietRegistry{}, a.list(policy.Ready))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended; pool.Follow(&node.List{Form: policy.ListWhole}) })
	return a
}

func (a *actor) list(state policy.ServerState) *node.List {
	return &node.List{Form: policy.ListChanges, Addrs: []string{a.addr}, Entries: []policy.Entry{{Server: 1, State: state, Weight: 1}}}
}

// op hands over an op of an id.
func (a *actor) op(id string) *node.Op {
	op := node.NewOp()
	p := push(context.Background(), "POST", "/booking", "body", "X-Txn: "+id)
	op.Request = *p.Request
	op.Body, _ = node.ReadPayload(strings.NewReader("body"), -1)
	op.NotAfter = a.clock.Now() + policy.Second
	a.Arrive(op)
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

// ids tells of each request that a server got, by its id.
func ids(t *testing.T) (addr string, got chan string) {
	got = make(chan string, 8)
	return server(t, func(c net.Conn, in *bufio.Reader) {
		for {
			head, _, err := read(in)
			if err != nil {
				return
			}
			_, rest, _ := strings.Cut(head, "X-Txn: ")
			id, _, _ := strings.Cut(rest, "\r\n")
			got <- id
			io.WriteString(c, answer("200 OK", "fine"))
		}
	}), got
}

// A push waits for a socket, and its client leaves, its server drains, or its process is told to end, in this wait. Once there
// is room the connection comes up, and brings nothing of it: what comes first is the next op.
func TestWaitsForASocket(t *testing.T) {
	for name, meanwhile := range map[string]func(*actor, *node.Op) node.Verdict{
		"the client leaves": func(a *actor, op *node.Op) node.Verdict { a.Abandon(op); return node.Left },
		"the server drains": func(a *actor, op *node.Op) node.Verdict {
			a.Listed(a.list(policy.Draining))
			return node.DeadLettered // in the end: the module here does not push again
		},
		"the process ends": func(a *actor, op *node.Op) node.Verdict { a.EndBy(a.clock.Now()); return node.Nacked },
	} {
		t.Run(name, func(t *testing.T) {
			addr, got := ids(t)
			a := newActor(t, addr, bound)
			for range a.part.Size() { // spent: the wait is certain
				a.part.Take(t.Context())
			}
			first := a.op("first")
			for a.part.Waiting() == 0 { // its push stands at the budget
				time.Sleep(time.Millisecond)
			}
			want := meanwhile(a, first)
			// The actor has read of it when it has read of this.
			if _, err := a.Switch(&node.Generation{Options: node.Options{MostOpen: 9}, Module: eager{}}); err != nil {
				t.Fatal(err)
			}
			for range a.part.Size() {
				a.part.Give()
			}
			if v := verdict(t, first); v != want {
				t.Errorf("the first op: %v", v)
			}
			a.EndBy(a.clock.Now() + policy.Second)
			a.Listed(a.list(policy.Ready))
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
	c := k.add(&conn{Conn: (&sockets.Part{}).Own(near), of: &peer{}, in: k, stall: time.Second})
	c.begin(p)
	if !p.Begin() || !c.fit() {
		t.Fatal("a push that nobody called back may not begin")
	}
	addr, got := ids(t)
	a := newActor(t, addr, bound)
	gate := make(chan *node.Push, 1)
	a.Start(catch{gate}, quietRegistry{}, a.list(policy.Ready))
	op := a.op("first")
	caught := <-gate
	held := k.add(&conn{Conn: (&sockets.Part{}).Own(near), of: &peer{}, in: k, stall: time.Second})
	held.begin(caught)
	a.Abandon(op)
	if n, err := held.Write([]byte("GET / HTTP/1.1\r\n")); n != 0 || err == nil {
		t.Errorf("%d bytes written for nobody, %v", n, err)
	}
	if held.wrote.Load() != nothing || !caught.KeptBack() {
		t.Error("the push counts as begun")
	}
	caught.Body.Close()
	a.Ended(caught, node.Result{Outcome: policy.Moot})
	verdict(t, op)
	if len(got) > 0 {
		t.Error("the server got something")
	}
}

// catch hands pushes to the test.
type catch struct{ gate chan *node.Push }

func (c catch) Follow(*node.List)         {}
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
			c := k.add(&conn{Conn: (&sockets.Part{}).Own(near), of: &peer{}, in: k, stall: bound})
			p := push(t.Context(), "POST", "/a", long)
			w := &passage{push: p, body: p.Body.Again()}
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
