package clients

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"canvasrouter/internal/lab/together"
	"canvasrouter/internal/node"
)

// await looks until it is so, within the bound.
func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for begun := time.Now(); !is(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > bound {
			t.Fatal(what)
		}
	}
}

// only is the connection that stands open at the server besides others.
func (r *rig) only(t *testing.T, others ...*conn) *conn {
	t.Helper()
	var found *conn
	await(t, "no connection came", func() bool {
		r.conns.mu.Lock()
		defer r.conns.mu.Unlock()
	search:
		for c := range r.conns.open {
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

// A request and its client's end both wait in the backlog, since no socket has room. It is not taken; the next one is.
func TestLeftInBacklog(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes":        func(c *net.TCPConn) { c.Close() },
		"resets":        func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"ends its side": func(c *net.TCPConn) { c.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			ops := make(chan *node.Op, 8)
			r := start(t, 1, func(op *node.Op) { ops <- op })
			running := r.dial(t)
			io.WriteString(running.Conn, request("POST", "/booking", "running"))
			op := <-ops
			gone := r.dial(t)
			raw := request("POST", "/booking", "gone")
			io.WriteString(gone.Conn, raw)
			leave(gone.Conn.(*net.TCPConn))
			waits := r.dial(t)
			io.WriteString(waits.Conn, request("POST", "/booking", "waits"))
			served(op)
			if got := running.answer(); !strings.Contains(got, "running") {
				t.Fatalf("the first op: %s", got)
			}
			running.Close()
			next := <-ops
			if body := string(next.Body.Bytes()); body != "waits" {
				t.Fatalf("the op %q was taken for nobody", body)
			}
			served(next)
			waits.answer()
			if len(r.left) > 0 {
				t.Error("the actor heard of the one that left")
			}
			// Its id and its socket, the only one, have been given back: it may come again.
			waits.Close()
			again := r.dial(t)
			io.WriteString(again.Conn, raw)
			go func() {
				select {
				case op := <-ops:
					served(op)
				case <-t.Context().Done():
				}
			}()
			if got := again.answer(); got != "200 POST /booking gone" {
				t.Errorf("when it comes again: %s", got)
			}
		})
	}
}

// A client that sends more than a request leaves: the library reads no further and does not notice.
func TestLeftUnread(t *testing.T) {
	for name, beyond := range map[string]string{"one byte": "G", "much": strings.Repeat("G", 40000)} {
		for how, leave := range map[string]func(*net.TCPConn){
			"closes": func(c *net.TCPConn) { c.Close() },
			"resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				r, c, op := sendsMore(t, beyond)
				lag := together.NewTimerLag()
				begun := time.Now()
				leave(c.Conn.(*net.TCPConn))
				select {
				case left := <-r.left:
					if left != op {
						t.Error("another op was abandoned")
					}
				case <-time.After(bound):
					t.Fatal("nobody noticed")
				}
				took := time.Since(begun)
				if late, _ := lag.Stop(); took > 300*time.Millisecond+late { // what this process was late by is not the node's
					t.Errorf("noticed after %v", took)
				}
				if !r.knew {
					t.Error("it does not count as left")
				}
			})
		}
	}
}

// sendsMore is a client that has sent more than the request that is in hand, so that the library reads no further.
func sendsMore(t *testing.T, beyond string) (r *rig, c *client, op *node.Op) {
	t.Helper()
	ops := make(chan *node.Op, 1)
	r = start(t, 9, func(op *node.Op) { ops <- op })
	c = r.dial(t)
	io.WriteString(c.Conn, request("POST", "/booking", "body"))
	op = <-ops
	own := r.only(t)
	io.WriteString(c.Conn, beyond) // what came in one piece with the request would not stop the library
	await(t, "the library read no byte beyond", func() bool { return !own.reading.Load() })
	if op.Client.Disconnected() || own.leftUnread() {
		t.Error("it counts as left")
	}
	return r, c, op
}

// A client that stays is not taken for one that left, however much it sends.
func TestStaysUnread(t *testing.T) {
	r, c, op := sendsMore(t, "more")
	select {
	case <-r.left:
		t.Error("it was abandoned")
	case <-time.After(2 * lookEvery):
	}
	served(op)
	if got := c.answer(); got != "200 POST /booking body" {
		t.Errorf("got %s", got)
	}
}

// What a restart closes in the end holds no whole request. Danger: one whose last byte comes while others are closed is taken,
// and would be lost.
func TestCloseHalf(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := start(t, 9, func(op *node.Op) { ops <- op })
	running := r.dial(t)
	io.WriteString(running.Conn, request("POST", "/booking", "body"))
	op := <-ops
	inHand := r.only(t)
	half := r.dial(t)
	raw := request("POST", "/booking", "half")
	io.WriteString(half.Conn, raw[:len(raw)-2])
	own := r.only(t, inHand)
	await(t, "half a request was not read", func() bool { return own.read.Load() > 0 })
	r.conns.closeHalf(time.Hour) // something has come on both within the hour
	io.WriteString(half.Conn, raw[len(raw)-2:])
	var second *node.Op
	select {
	case second = <-ops:
	case <-time.After(bound):
		t.Fatal("half a request was closed while something came")
	}
	r.conns.closeHalf(0) // both are whole now, and no byte is new enough
	served(op)
	served(second)
	for c, want := range map[*client]string{running: "200 POST /booking body", half: "200 POST /booking half"} {
		if got := c.answer(); got != want {
			t.Errorf("got %s, not %s", got, want)
		}
	}
	await(t, "the answers are not out", func() bool { return !inHand.holds() && !own.holds() })
	third := r.dial(t)
	io.WriteString(third.Conn, raw[:len(raw)-2])
	other := r.only(t, inHand, own)
	await(t, "half a request was not read", func() bool { return other.read.Load() > 0 && !unread(other.tcp) })
	await(t, "half a request was not closed", func() bool {
		r.conns.closeHalf(0)
		r.conns.mu.Lock()
		defer r.conns.mu.Unlock()
		return !r.conns.open[other]
	})
}

// The last byte of a half request comes in the moment between the look and the close, or on a connection that gives way to
// others, or once the library has read what a shutdown closes. It is not taken; its id is free again, and the next op is served.
func TestWholeAsItIsShut(t *testing.T) {
	for name, shuts := range map[string]func(r *rig, own *conn){
		"a restart closes half requests": func(r *rig, own *conn) { own.phase.CompareAndSwap(resting, shut) },
		"it gives way":                   func(r *rig, own *conn) { own.phase.Store(shut) }, // Close, between its two lines
	} {
		t.Run(name, func(t *testing.T) {
			ops := make(chan *node.Op, 2)
			r := start(t, 9, func(op *node.Op) { ops <- op })
			half := r.dial(t)
			raw := request("POST", "/booking", "half")
			io.WriteString(half.Conn, raw[:len(raw)-2])
			own := r.only(t)
			await(t, "half a request was not read", func() bool { return own.read.Load() > 0 })
			shuts(r, own)
			io.WriteString(half.Conn, raw[len(raw)-2:])
			if got := half.answer(); got != "closed" {
				t.Errorf("got %s", got)
			}
			again := r.dial(t)
			io.WriteString(again.Conn, raw)
			select {
			case op := <-ops:
				served(op)
			case <-time.After(bound):
				t.Fatal("its id was not given back")
			}
			if got := again.answer(); got != "200 POST /booking half" || len(ops) > 0 {
				t.Errorf("when it comes again: %s; %d ops more were taken", got, len(ops))
			}
		})
	}
}

// The budget is spent to the end of a restart's linger by a running op. Whole requests that wait in the backlog till then are refused, not
// reset; half ones and silent ones are let go.
func TestBacklogAtTheEnd(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := start(t, 1, func(op *node.Op) { ops <- op })
	running := r.dial(t)
	io.WriteString(running.Conn, request("POST", "/booking", "running"))
	op := <-ops
	var waiting []*client
	for i := range 24 {
		c := r.dial(t)
		switch raw := request("POST", "/booking", "waits"); {
		case i%8 == 6:
			io.WriteString(c.Conn, raw[:len(raw)-2])
		case i%8 < 6:
			io.WriteString(c.Conn, raw)
			waiting = append(waiting, c)
		}
	}
	var drained sync.WaitGroup
	begun := time.Now()
	drained.Go(func() { r.Drain(r.served, true) })
	for i, c := range waiting {
		if got := c.answer(); got != "503 close" {
			t.Errorf("request %d in the backlog: %s", i, got)
		}
	}
	took := time.Since(begun)
	if by := linger + 4*quietWindow + refuseFor + 500*time.Millisecond; took > by {
		t.Errorf("refused after %v", took)
	}
	served(op)
	if got := running.answer(); got != "200 close POST /booking running" && got != "200 POST /booking running" {
		t.Errorf("the running op: %s", got)
	}
	drained.Wait()
}

// Bytes that wait unread are not closed away: this process may have had to wait for its core.
func TestHalfUnread(t *testing.T) {
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
	own := &conn{tcp: tcp, came: time.Now()}
	if !own.half(0) {
		t.Error("a connection on which nothing came is kept")
	}
	io.WriteString(c, "GET")
	await(t, "nothing came", func() bool { return unread(tcp) })
	if own.half(0) {
		t.Error("bytes that nobody has read would be closed away")
	}
}

// The last answer is made in the moment that ops are given as their end, or a little later where the core is shared; it is out
// before what is open is closed.
func TestAnswerAtTheEnd(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := start(t, 9, func(op *node.Op) { ops <- op })
	c := r.dial(t)
	io.WriteString(c.Conn, request("POST", "/booking", "body"))
	op := <-ops
	var drained sync.WaitGroup
	drained.Go(func() { r.Drain(r.served, true) })
	await(t, "no restart", func() bool { return r.drain.Load() != nil })
	if end := <-r.ends; end != r.drain.Load().end {
		t.Errorf("the actor was told of the end %d", end)
	}
	_, last := r.options.Load().drainTimes()
	time.AfterFunc(time.Until(r.drain.Load().begun.Add(last+exitTime/4)), func() { served(op) })
	if got := c.answer(); got != "200 close POST /booking body" {
		t.Errorf("the last answer: %s", got)
	}
	drained.Wait()
}
