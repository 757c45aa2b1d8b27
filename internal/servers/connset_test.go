package servers

import (
	"net"
	"testing"
	"time"

	"canvasrouter/internal/sockets"
)

// TestLongestIdle guards against a search through all connections, and against one that is in use being closed, when a socket is
// needed: the set knows the connection that has been idle longest, whatever happens on others.
func TestLongestIdle(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	budget := sockets.NewBudget(9)
	set := &connSet{budget: budget, conns: make(map[*conn]bool)}
	var conns [3]*conn
	for i := range conns {
		budget.TryAcquire()
		ours, theirs := net.Pipe()
		defer theirs.Close()
		conns[i] = set.add(&conn{Conn: budget.Wrap(ours), openConns: set, stallTimeout: time.Second})
	}
	track := func(answer string) func(*conn) {
		return func(c *conn) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.track([]byte(answer), nil)
		}
	}
	for i, step := range []struct {
		change func(*conn)
		conn   int
		want   int // the longest idle afterwards; -1: none
	}{
		{func(c *conn) { c.assign(nil) }, 0, 1},
		{func(c *conn) { c.beginWrite() }, 0, 1},
		{track(whole), 0, 1},
		{func(c *conn) { c.assign(nil) }, 1, 2},
		{func(c *conn) { c.Close() }, 2, 0},
		{func(c *conn) { c.beginWrite() }, 1, 0},
		{track(whole + "more"), 1, 0},
		{track("unsolicited"), 0, -1},
	} {
		step.change(conns[step.conn])
		got := set.longestIdle()
		if step.want < 0 && got != nil || step.want >= 0 && got != conns[step.want] {
			t.Errorf("step %d: the longest idle connection is another one", i)
		}
	}
}
