package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// soakServer is a server that is in trouble with some of its requests.
type soakServer struct {
	record *soakRecord
	plan   soakPlan
	cell   int
	mu     sync.Mutex // guards random
	random *rand.Rand
}

// startSoakServer starts a server of a cell.
func startSoakServer(t *testing.T, record *soakRecord, plan soakPlan, cell int, random *rand.Rand) (addr string) {
	t.Helper()
	server := &soakServer{record: record, plan: plan, cell: cell, random: random}
	return startServer(t, server.serve)
}

// draw returns a random number below 1 and a time that an answer takes.
func (s *soakServer) draw() (float64, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64(), time.Duration(2+s.random.IntN(30)) * time.Millisecond
}

// serve answers the requests of a connection.
func (s *soakServer) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		luck, took := s.draw()
		if luck < s.plan.turnedAway {
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := request.Header.Get("X-Txn")
		s.record.change(id, func(r *soakRequest) { r.attempts = append(r.attempts, soakAttempt{at, s.cell}) })
		switch luck -= s.plan.turnedAway; {
		case luck < s.plan.hangs:
			in.ReadByte() // until the node gives up
			return
		case luck < s.plan.hangs+s.plan.resets:
			time.Sleep(took)
			conn.(*net.TCPConn).SetLinger(0)
			return
		case luck < s.plan.hangs+s.plan.resets+s.plan.slow:
			time.Sleep(s.plan.ttl / 3)
		default:
			time.Sleep(took)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	}
}

// soakClient is a client that sends one request after the other, on a connection that it keeps.
type soakClient struct {
	addr   string
	record *soakRecord
	plan   soakPlan
	random *rand.Rand
	name   string
	conn   net.Conn // nil: none
	in     *bufio.Reader
}

// newSoakClient returns a client without a connection.
func newSoakClient(addr string, record *soakRecord, plan soakPlan, random *rand.Rand, name string) *soakClient {
	return &soakClient{addr: addr, record: record, plan: plan, random: random, name: name}
}

// run sends requests until stop is closed.
func (c *soakClient) run(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			c.close()
			return
		case <-time.After(time.Duration(c.random.IntN(40)) * time.Millisecond):
			c.request(fmt.Sprintf("%s-%d", c.name, i))
		}
	}
}

// close closes the connection.
func (c *soakClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// text returns a request.
func (c *soakClient) text(id string, keyed bool, waits time.Duration) string {
	if !keyed {
		return fmt.Sprintf("GET /checkout/%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining-Ms: %d\r\n\r\n", id, id, waits.Milliseconds())
	}
	body := strings.Repeat("b", c.random.IntN(3000))
	return fmt.Sprintf("POST /booking/%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining-Ms: %d\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, id, waits.Milliseconds(), id, len(body), body)
}

// request sends a request. One that crosses the end of a kept connection is sent once more on a new one.
func (c *soakClient) request(id string) {
	keyed := c.random.IntN(3) > 0
	waits := c.plan.ttl/2 + time.Duration(c.random.Int64N(int64(c.plan.ttl/2)))
	leavesAfter := time.Duration(0)
	if c.random.Float64() < c.plan.leaves {
		leavesAfter = 1 + time.Duration(c.random.Int64N(int64(waits)))
	}
	text := c.text(id, keyed, waits)
	c.record.change(id, func(r *soakRequest) { r.keyed, r.sentAt, r.waits = keyed, time.Now(), waits })
	kept := c.conn != nil
	if c.send(id, text, waits, leavesAfter) || !kept {
		return
	}
	c.record.change(id, func(r *soakRequest) { r.sentAt, r.excused = time.Now(), "" })
	c.send(id, text, waits, leavesAfter)
}

// send sends a request and reads its answer. It returns false if the connection has ended without one.
func (c *soakClient) send(id, text string, waits, leavesAfter time.Duration) (done bool) {
	excuse := func(reason string) { c.record.change(id, func(r *soakRequest) { r.excused = reason }) }
	kept := c.conn != nil
	mayBeShut := c.record.mayBeShut()
	if !kept {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			excuse(excuseNoConn)
			return true
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	limit := waits + lateAnswer + time.Second
	if leavesAfter > 0 {
		limit = leavesAfter
	}
	c.conn.SetDeadline(time.Now().Add(limit))
	_, err := io.WriteString(c.conn, text)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.in, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	switch {
	case err == nil:
		c.record.change(id, func(r *soakRequest) { r.answerAt, r.status = time.Now(), response.StatusCode })
		if response.Close {
			c.close()
		}
		return true
	case leavesAfter > 0 && errors.Is(err, os.ErrDeadlineExceeded):
		c.record.change(id, func(r *soakRequest) { r.closedAt, r.excused = time.Now(), excuseLeft })
		c.close()
		return true
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.close()
		return true
	}
	c.close()
	switch {
	case kept:
		excuse(excuseKept)
	case mayBeShut:
		excuse(excuseRestart)
	case c.plan.crowd:
		excuse(excuseCrowd)
	}
	return false
}
