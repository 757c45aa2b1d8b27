package frontend

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"canvasrouter/internal/node"
)

// TestRequestsAheadOfClose guards against requests that are sent on although their client has closed its connection: they, and the
// close behind them, were still unread.
func TestRequestsAheadOfClose(t *testing.T) {
	const (
		serviceTime = 10 * time.Millisecond
		noticeTime  = 100 * time.Millisecond
	)
	small := strings.Repeat("x", 20)
	large := strings.Repeat("x", 50_000)
	for name, c := range map[string]struct {
		body  string
		count int
		pause time.Duration // after each request
		leave func(*net.TCPConn)
	}{
		"few":                 {small, 40, 0, func(c *net.TCPConn) { c.Close() }},
		"many":                {small, 4000, 0, func(c *net.TCPConn) { c.Close() }},
		"many, one by one":    {small, 2000, 10 * time.Microsecond, func(c *net.TCPConn) { c.Close() }},
		"large":               {large, 40, 0, func(c *net.TCPConn) { c.Close() }},
		"large, one by one":   {large, 40, time.Millisecond, func(c *net.TCPConn) { c.Close() }},
		"many, ends its side": {small, 4000, 0, func(c *net.TCPConn) { c.CloseWrite() }},
		"many, reset":         {small, 4000, 0, func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			times := &takenTimes{}
			r := startServer(t, 9, func(op *node.Op) {
				times.add()
				time.AfterFunc(serviceTime, func() {
					echo(op)
					op.Body.Release()
				})
			})
			go func() {
				for range r.abandoned {
				}
			}()
			client := r.dial(t).Conn.(*net.TCPConn)
			sendRequests(client, c.body, c.count, c.pause)
			closedAt := time.Now()
			c.leave(client)
			time.Sleep(5 * noticeTime)
			if late := times.countAfter(closedAt.Add(noticeTime)); late > 0 {
				t.Errorf("%d requests were taken after their client had left", late)
			}
		})
	}
}

// takenTimes records when requests were taken.
type takenTimes struct {
	mu    sync.Mutex // guards times
	times []time.Time
}

// add records a request that is taken now.
func (t *takenTimes) add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times = append(t.times, time.Now())
}

// countAfter returns how many requests were taken after a time.
func (t *takenTimes) countAfter(limit time.Time) (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.times {
		if at.After(limit) {
			count++
		}
	}
	return count
}

// sendRequests sends requests without waiting for answers, all in one write or each with a pause behind it, until the kernel
// takes no more.
func sendRequests(client net.Conn, body string, count int, pause time.Duration) {
	client.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	var all strings.Builder
	for range count {
		raw := withNewID(newRequest("POST", "/booking", body))
		if pause == 0 {
			all.WriteString(raw)
			continue
		}
		if _, err := io.WriteString(client, raw); err != nil {
			return
		}
		time.Sleep(pause)
	}
	io.WriteString(client, all.String())
}

// TestPendingAheadOfClose guards against further pushes for an op whose client has left, with so much unread behind its request
// that the close can't be seen.
func TestPendingAheadOfClose(t *testing.T) {
	ops := make(chan *node.Op, 1)
	r := startServer(t, 9, func(op *node.Op) { ops <- op })
	client := r.dial(t).Conn.(*net.TCPConn)
	client.SetWriteDeadline(time.Now().Add(testTimeout))
	io.WriteString(client, newRequest("POST", "/booking", "body"))
	op := <-ops
	if op.Client.Disconnected() {
		t.Error("client counts as disconnected")
	}
	client.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	io.WriteString(client, strings.Repeat("G", 1<<20))
	client.Close()
	select {
	case <-r.abandoned:
	case <-time.After(testTimeout):
		t.Fatal("disconnect was not noticed")
	}
	if !r.sawDisconnect {
		t.Error("client does not count as disconnected")
	}
}
