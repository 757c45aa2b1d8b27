package frontend

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"canvasrouter/internal/node"
)

// restlessClients are bad clients that connect again as soon as their connections are closed, more than there are sockets.
type restlessClients struct {
	addr   string
	events atomic.Int64 // connects, writes and closes so far
	stop   chan struct{}
}

// stopped reports whether the test has ended.
func (c *restlessClients) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// play plays one client. It sends the pieces one after the other, the last one again and again, and reads what it is sent.
// With leaves it closes the connection itself after the pieces.
func (c *restlessClients) play(pieces []string, pause time.Duration, leaves bool) {
	for !c.stopped() {
		netConn, err := net.Dial("tcp", c.addr)
		if err != nil {
			time.Sleep(pause)
			continue
		}
		c.events.Add(2) // the connect and the close
		ended := make(chan struct{})
		go func() {
			io.Copy(io.Discard, netConn)
			close(ended)
		}()
		for i := 0; err == nil && !c.stopped() && !(leaves && i == len(pieces)); i++ {
			if len(pieces) > 0 {
				_, err = io.WriteString(netConn, pieces[min(i, len(pieces)-1)])
				c.events.Add(1)
			}
			select {
			case <-ended:
				err = io.EOF
			case <-time.After(pause):
			}
		}
		netConn.Close()
		<-ended
	}
}

// TestReclaimWorkPerEvent guards against requests that get no answer because the node looks through all connections at each
// event of a bad client while a connection waits for a socket. It counts the connections looked at, not time.
func TestReclaimWorkPerEvent(t *testing.T) {
	const (
		duration       = 400 * time.Millisecond
		pause          = 10 * time.Millisecond
		checksPerEvent = 4
	)
	whole := newRequest("POST", "/booking", "body")
	for name, c := range map[string]struct {
		pieces   []string
		leaves   bool
		shortage bool // there are always more clients than sockets
	}{
		"connects":     {shortage: true},
		"bytes":        {pieces: []string{"GET /checkout HTTP/1.1\r\nX-Odd: ", "x"}, shortage: true},
		"fields":       {pieces: []string{"GET /checkout HTTP/1.1\r\n", "X-Odd: x\r\n"}, shortage: true},
		"large pieces": {pieces: []string{"GET /checkout HTTP/1.1\r\nX-Odd: ", strings.Repeat("x", 4096)}},
		"requests":     {pieces: []string{strings.Replace(whole, "/booking", "/elsewhere", 1)}},
		"closes":       {pieces: []string{whole[:len(whole)-2]}, leaves: true},
	} {
		for _, budgetSize := range []int{32, 512} {
			t.Run(fmt.Sprintf("%s, %d sockets", name, budgetSize), func(t *testing.T) {
				r := startServer(t, budgetSize, echo)
				bad := &restlessClients{addr: r.addr, stop: make(chan struct{})}
				var clients sync.WaitGroup
				for range budgetSize + budgetSize/2 {
					clients.Go(func() { bad.play(c.pieces, pause, c.leaves) })
				}
				awaitCondition(t, "no connection waits for a socket", func() bool { return r.budget.Waiters() > 0 || !c.shortage })
				start := time.Now()
				time.Sleep(duration)
				checks := r.openConns.checks.Load()
				attempts := bad.events.Load() + int64(time.Since(start)/reclaimInterval) + 1
				close(bad.stop)
				clients.Wait()
				t.Logf("%d connections looked at in %d events", checks, attempts)
				if checks > checksPerEvent*attempts {
					t.Errorf("%d connections were looked at in %d events", checks, attempts)
				}
			})
		}
	}
}

// TestAcceptTakesTurns guards against late answers because a full core goes to clients that connect without a pause: between two
// accepts, all other goroutines that can run have their turn.
func TestAcceptTakesTurns(t *testing.T) {
	const (
		waiting           = 300
		maxAcceptsPerTurn = 2*acceptsPerTurn + 1 // two turns of the listener may fall between two of the test
	)
	r := newServer(t, 2*waiting, echo)
	for range waiting {
		r.dial(t)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	go func() { r.serveResult <- r.Serve() }()
	accepted, most := 0, 0
	for start := time.Now(); accepted < waiting; {
		runtime.Gosched() // one turn
		r.openConns.mu.Lock()
		now := len(r.openConns.conns)
		r.openConns.mu.Unlock()
		most = max(most, now-accepted)
		accepted = now
		if time.Since(start) > testTimeout {
			t.Fatalf("%d of %d connections were accepted", accepted, waiting)
		}
	}
	if most > maxAcceptsPerTurn {
		t.Errorf("%d connections were accepted in one turn", most)
	}
}

// TestRequestsTakeTurns guards against the same by a client that sends requests on one connection without a pause: between two of
// them, all other goroutines that can run have their turn.
func TestRequestsTakeTurns(t *testing.T) {
	const (
		requests           = 300
		maxRequestsPerTurn = 3
	)
	var served atomic.Int64
	r := newServer(t, 9, func(op *node.Op) {
		served.Add(1)
		echo(op)
	})
	var all strings.Builder
	for range requests {
		all.WriteString(newRequest("GET", "/checkout", ""))
	}
	io.WriteString(r.dial(t).Conn, all.String())
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	go func() { r.serveResult <- r.Serve() }()
	last, most := int64(0), int64(0)
	for start := time.Now(); last < requests; {
		runtime.Gosched() // one turn
		now := served.Load()
		most = max(most, now-last)
		last = now
		if time.Since(start) > testTimeout {
			t.Fatalf("%d of %d requests were served", last, requests)
		}
	}
	if most > maxRequestsPerTurn {
		t.Errorf("%d requests were served in one turn", most)
	}
}
