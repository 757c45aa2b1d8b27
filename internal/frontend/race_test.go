package frontend

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"canvasrouter/internal/lab/harness"
	"canvasrouter/internal/node"
)

// awaitCondition waits until a condition is true. If it does not become true in time, the test fails with a message.
func awaitCondition(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatal(failure)
		}
	}
}

// awaitOp waits for an op. If none is taken in time, the test fails with a message.
func awaitOp(t *testing.T, ops <-chan *node.Op, failure string) *node.Op {
	t.Helper()
	select {
	case op := <-ops:
		return op
	case <-time.After(testTimeout):
		t.Fatal(failure)
	}
	panic("unreachable")
}

// awaitOpenConn waits until the server has an open connection besides others, and returns it.
func (r *testServer) awaitOpenConn(t *testing.T, others ...*conn) *conn {
	t.Helper()
	var found *conn
	awaitCondition(t, "no connection was accepted", func() bool {
		r.openConns.mu.Lock()
		defer r.openConns.mu.Unlock()
	search:
		for c := range r.openConns.conns {
			for _, other := range others {
				if c == other {
					continue search
				}
			}
			found = c
		}
		return found != nil
	})
	return found
}

// TestDisconnectInBacklog checks that a request is not taken if its client leaves while both wait in the backlog, since no socket
// is free. The next request is taken.
func TestDisconnectInBacklog(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() },
		"resets": func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
		"half-closes": func(c *net.TCPConn) { c.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			ops := make(chan *node.Op, 8)
			r := startServer(t, 1, func(op *node.Op) { ops <- op })
			running := r.dial(t)
			io.WriteString(running.Conn, newRequest("POST", "/booking", "running"))
			op := <-ops
			gone := r.dial(t)
			raw := newRequest("POST", "/booking", "gone")
			io.WriteString(gone.Conn, raw)
			leave(gone.Conn.(*net.TCPConn))
			waiting := r.dial(t)
			io.WriteString(waiting.Conn, newRequest("POST", "/booking", "waits"))
			echo(op)
			if got := running.readAnswer(); !strings.Contains(got, "running") {
				t.Fatalf("first op: got %q", got)
			}
			running.Close()
			next := <-ops
			if body := string(next.Body.Bytes()); body != "waits" {
				t.Fatalf("op %q was taken after its client left", body)
			}
			echo(next)
			waiting.readAnswer()
			if len(r.abandoned) > 0 {
				t.Error("the request of the client that left was abandoned as an op")
			}
			// The id and the only socket have been released, so the request can be sent again.
			waiting.Close()
			retry := r.dial(t)
			io.WriteString(retry.Conn, raw)
			go func() {
				select {
				case op := <-ops:
					echo(op)
				case <-t.Context().Done():
				}
			}()
			if got := retry.readAnswer(); got != "200 POST /booking gone" {
				t.Errorf("second attempt: got %q", got)
			}
		})
	}
}

// TestDisconnectUnnoticed checks a client that leaves after sending more than one request. The library has stopped reading and
// does not notice it.
func TestDisconnectUnnoticed(t *testing.T) {
	for name, beyond := range map[string]string{"one byte": "G", "many bytes": strings.Repeat("G", 40000)} {
		for how, leave := range map[string]func(*net.TCPConn){
			"closes": func(c *net.TCPConn) { c.Close() },
			"resets": func(c *net.TCPConn) {
				c.SetLinger(0)
				c.Close()
			},
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				r, c, op := sendBeyondRequest(t, beyond)
				lag := harness.NewTimerLag()
				start := time.Now()
				leave(c.Conn.(*net.TCPConn))
				select {
				case left := <-r.abandoned:
					if left != op {
						t.Error("another op was abandoned")
					}
				case <-time.After(testTimeout):
					t.Fatal("disconnect was not noticed")
				}
				elapsed := time.Since(start)
				if late, _ := lag.Stop(); elapsed > 300*time.Millisecond+late { // late is the scheduling delay of this process
					t.Errorf("noticed after %v", elapsed)
				}
				if !r.sawDisconnect {
					t.Error("client does not count as disconnected")
				}
			})
		}
	}
}

// sendBeyondRequest starts a server and a client with a pending op that has sent more than its request, so that the library has
// stopped reading.
func sendBeyondRequest(t *testing.T, beyond string) (r *testServer, c *client, op *node.Op) {
	t.Helper()
	ops := make(chan *node.Op, 1)
	r = startServer(t, 9, func(op *node.Op) { ops <- op })
	c = r.dial(t)
	io.WriteString(c.Conn, newRequest("POST", "/booking", "body"))
	op = <-ops
	clientConn := r.awaitOpenConn(t)
	io.WriteString(c.Conn, beyond) // sent separately: bytes in the same segment as the request would not stop the library
	awaitCondition(t, "library did not read a byte beyond the request", func() bool { return !clientConn.reading.Load() })
	if op.Client.Disconnected() || clientConn.disconnectedUnnoticed() {
		t.Error("client counts as disconnected")
	}
	return r, c, op
}

// TestConnectedUnnoticed checks that a connected client does not count as disconnected because it sends more than one request.
func TestConnectedUnnoticed(t *testing.T) {
	r, c, op := sendBeyondRequest(t, "more")
	select {
	case <-r.abandoned:
		t.Error("op was abandoned")
	case <-time.After(2 * disconnectCheckInterval):
	}
	echo(op)
	if got := c.readAnswer(); got != "200 POST /booking body" {
		t.Errorf("got %q", got)
	}
}

// TestCloseIncomplete checks that a planned restart closes only connections without a complete request. A request whose last
// byte arrives while others are being closed counts as taken, and would be lost.
func TestCloseIncomplete(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := startServer(t, 9, func(op *node.Op) { ops <- op })
	running := r.dial(t)
	io.WriteString(running.Conn, newRequest("POST", "/booking", "body"))
	op := <-ops
	runningConn := r.awaitOpenConn(t)
	partial := r.dial(t)
	raw := newRequest("POST", "/booking", "half")
	io.WriteString(partial.Conn, raw[:len(raw)-2])
	partialConn := r.awaitOpenConn(t, runningConn)
	awaitCondition(t, "partial request was not read", func() bool { return partialConn.lastRead.Load() > 0 })
	r.openConns.closeIncomplete(time.Hour) // both have received bytes within the hour
	io.WriteString(partial.Conn, raw[len(raw)-2:])
	var second *node.Op
	select {
	case second = <-ops:
	case <-time.After(testTimeout):
		t.Fatal("connection was closed although bytes had arrived")
	}
	r.openConns.closeIncomplete(0) // both requests are complete now; no byte is recent enough
	echo(op)
	echo(second)
	for c, want := range map[*client]string{running: "200 POST /booking body", partial: "200 POST /booking half"} {
		if got := c.readAnswer(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	awaitCondition(t, "answers were not written", func() bool { return !runningConn.hasRequest() && !partialConn.hasRequest() })
	third := r.dial(t)
	io.WriteString(third.Conn, raw[:len(raw)-2])
	thirdConn := r.awaitOpenConn(t, runningConn, partialConn)
	awaitCondition(t, "partial request was not read", func() bool { return thirdConn.lastRead.Load() > 0 && !hasUnread(thirdConn.tcp) })
	awaitCondition(t, "connection with a partial request was not closed", func() bool {
		r.openConns.closeIncomplete(0)
		r.openConns.mu.Lock()
		defer r.openConns.mu.Unlock()
		return !r.openConns.conns[thirdConn]
	})
}

// TestCompletedWhileClosing checks a request whose last byte arrives when its connection is being closed, by a restart or to free
// a socket. The request is not taken, its id is released, and the next op is served.
func TestCompletedWhileClosing(t *testing.T) {
	for name, closeConn := range map[string]func(r *testServer, clientConn *conn){
		"restart closes incomplete": func(r *testServer, clientConn *conn) { clientConn.state.CompareAndSwap(connNoRequest, connClosed) },
		"closed to free a socket":   func(r *testServer, clientConn *conn) { clientConn.state.Store(connClosed) }, // Close, between its two steps
	} {
		t.Run(name, func(t *testing.T) {
			ops := make(chan *node.Op, 2)
			r := startServer(t, 9, func(op *node.Op) { ops <- op })
			partial := r.dial(t)
			raw := newRequest("POST", "/booking", "half")
			io.WriteString(partial.Conn, raw[:len(raw)-2])
			clientConn := r.awaitOpenConn(t)
			awaitCondition(t, "partial request was not read", func() bool { return clientConn.lastRead.Load() > 0 })
			closeConn(r, clientConn)
			io.WriteString(partial.Conn, raw[len(raw)-2:])
			if got := partial.readAnswer(); got != "closed" {
				t.Errorf("got %q", got)
			}
			retry := r.dial(t)
			io.WriteString(retry.Conn, raw)
			echo(awaitOp(t, ops, "id was not released"))
			if got := retry.readAnswer(); got != "200 POST /booking half" || len(ops) > 0 {
				t.Errorf("second attempt: got %q; %d more ops were taken", got, len(ops))
			}
		})
	}
}

// TestBacklogRefused checks a planned restart in which a running op holds the only socket until no more connections are accepted.
// Complete requests in the backlog are refused instead of reset; connections without a complete request are closed.
func TestBacklogRefused(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := startServer(t, 1, func(op *node.Op) { ops <- op })
	running := r.dial(t)
	io.WriteString(running.Conn, newRequest("POST", "/booking", "running"))
	op := <-ops
	var waiting []*client
	for i := range 24 {
		c := r.dial(t)
		switch raw := newRequest("POST", "/booking", "waits"); {
		case i%8 == 6:
			io.WriteString(c.Conn, raw[:len(raw)-2])
		case i%8 < 6:
			io.WriteString(c.Conn, raw)
			waiting = append(waiting, c)
		}
	}
	var drained sync.WaitGroup
	start := time.Now()
	drained.Go(func() { r.Drain(r.serveResult, true) })
	for i, c := range waiting {
		if got := c.readAnswer(); got != "503 close" {
			t.Errorf("request %d in the backlog: got %q", i, got)
		}
	}
	elapsed := time.Since(start)
	if limit := drainAcceptTime + 4*backlogQuietTime + refusalPeriod + 500*time.Millisecond; elapsed > limit {
		t.Errorf("backlog was refused after %v", elapsed)
	}
	echo(op)
	if got := running.readAnswer(); got != "200 close POST /booking running" && got != "200 POST /booking running" {
		t.Errorf("running op: got %q", got)
	}
	drained.Wait()
}

// TestCompletedDuringShutdown guards against requests without any answer that have begun when the process ends: the HTTP library
// closes their connections without one, also if they become complete.
func TestCompletedDuringShutdown(t *testing.T) {
	ops := make(chan *node.Op, 8)
	r := startServer(t, 9, holdBrowse(ops))
	shutdown := make(chan struct{})
	r.http.RegisterOnShutdown(func() { close(shutdown) })
	running, kept, partial := r.dial(t), r.dial(t), r.dial(t)
	io.WriteString(running.Conn, newRequest("GET", "/browse", "")) // keeps the process from ending
	op := <-ops
	if got := kept.roundTrip(newRequest("GET", "/checkout", "")); got != "200 GET /checkout " {
		t.Fatalf("got %q", got)
	}
	raw := newRequest("GET", "/checkout", "")
	io.WriteString(kept.Conn, raw[:1])
	io.WriteString(partial.Conn, raw[:len(raw)-2])
	var drained sync.WaitGroup
	drained.Go(func() { r.Drain(r.serveResult, false) })
	<-shutdown
	io.WriteString(partial.Conn, raw[len(raw)-2:])
	for name, c := range map[string]*client{"kept connection": kept, "new connection": partial} {
		if got := c.readAnswer(); got != "503 close" {
			t.Errorf("%s: got %q", name, got)
		}
		if got := c.readAnswer(); got != "closed" {
			t.Errorf("%s: then got %q", name, got)
		}
	}
	if len(ops) > 0 {
		t.Error("an op was taken")
	}
	echo(op)
	if got := running.readAnswer(); got != "200 close GET /browse " && got != "200 GET /browse " {
		t.Errorf("running op: got %q", got)
	}
	drained.Wait()
}

// TestIncompleteWithUnreadBytes checks that a connection with unread bytes is not closed as incomplete, since this process may
// not have been scheduled.
func TestIncompleteWithUnreadBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	tcp, err := l.(*net.TCPListener).AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	clientConn := &conn{tcp: tcp, acceptedAt: time.Now()}
	if !clientConn.isIncomplete(0) {
		t.Error("connection without any bytes does not count as incomplete")
	}
	io.WriteString(c, "GET")
	awaitCondition(t, "bytes did not arrive", func() bool { return hasUnread(tcp) })
	if clientConn.isIncomplete(0) {
		t.Error("connection with unread bytes counts as incomplete")
	}
}

// TestAnswerAtShutdownDeadline checks that an answer at the shutdown deadline, or slightly later on a busy machine, is written
// before the open connections are closed.
func TestAnswerAtShutdownDeadline(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := startServer(t, 9, func(op *node.Op) { ops <- op })
	c := r.dial(t)
	io.WriteString(c.Conn, newRequest("POST", "/booking", "body"))
	op := <-ops
	var drained sync.WaitGroup
	drained.Go(func() { r.Drain(r.serveResult, true) })
	awaitCondition(t, "drain did not begin", func() bool { return r.drain.Load() != nil })
	if deadline := <-r.deadlines; deadline != r.drain.Load().deadline {
		t.Errorf("actor got the shutdown deadline %d", deadline)
	}
	_, lastAnswer := r.options.Load().drainTimes()
	time.AfterFunc(time.Until(r.drain.Load().startedAt.Add(lastAnswer+exitReserve/4)), func() { echo(op) })
	if got := c.readAnswer(); got != "200 close POST /booking body" {
		t.Errorf("last answer: got %q", got)
	}
	drained.Wait()
}
