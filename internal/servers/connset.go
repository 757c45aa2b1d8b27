package servers

import (
	"container/list"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"canvasrouter/internal/counters"
	"canvasrouter/internal/sockets"
)

// connSet holds the connections to all servers, so that idle ones can be closed when sockets run short.
//
// The transport counts a connection as idle before it has handed on an answer without a body, and its own
// CloseIdleConnections would lose that answer. So connections are closed here, and only after minIdleTime.
type connSet struct {
	closed counters.Set // connections that can't be used again, by the reason
	budget *sockets.Budget
	mu     sync.Mutex // guards the fields below; may be locked while holding the mu of a connection, not the reverse
	conns  map[*conn]bool
	idle   list.List // of *conn: the idle ones, the longest idle first
}

// add registers a new connection.
func (s *connSet) add(c *conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idleSince = time.Now()
	if socket, ok := c.Conn.Conn.(syscall.Conn); ok {
		c.rawConn, _ = socket.SyscallConn()
	}
	s.conns[c] = true
	c.idlePlace = s.idle.PushBack(c)
	return c
}

// recordClosed counts a connection that is closed by this process. It does nothing on a nil set.
func (s *connSet) recordClosed(reason string) {
	if s != nil {
		s.closed.Add(reason)
	}
}

// setIdle records whether a connection is idle. One that has become idle goes to the end of the list. It does nothing on a nil
// set and for a connection that is being closed.
func (s *connSet) setIdle(c *conn, idle bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeIdle(c)
	if idle && s.conns[c] {
		c.idlePlace = s.idle.PushBack(c)
	}
}

// removeIdle takes a connection out of the list of idle ones. The caller holds mu.
func (s *connSet) removeIdle(c *conn) {
	if c.idlePlace != nil {
		s.idle.Remove(c.idlePlace)
		c.idlePlace = nil
	}
}

// count returns the number of connections, and of the idle ones.
func (s *connSet) count() (open, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), s.idle.Len()
}

// remove removes a connection that is being closed. It does nothing on a nil set.
func (s *connSet) remove(c *conn) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.removeIdle(c)
}

// closeLongestIdle closes the connection that has been idle longest. If none has been idle for minIdleTime, the budget checks
// again after that time whether a socket is still needed.
func (s *connSet) closeLongestIdle() {
	longestIdle := s.longestIdle()
	switch {
	case longestIdle == nil:
	case longestIdle.idleTime() >= minIdleTime:
		longestIdle.closeIfIdle()
	default:
		time.AfterFunc(minIdleTime, s.budget.NotifyIdle)
	}
}

// longestIdle returns the connection that has been idle longest, or nil if none is idle.
func (s *connSet) longestIdle() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if front := s.idle.Front(); front != nil {
		return front.Value.(*conn)
	}
	return nil
}

// closeIdleOf closes the idle connections of one server actor.
func (s *connSet) closeIdleOf(owner *serverActor) {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		if c.owner == owner {
			c.closeIfIdle()
		}
	}
}
