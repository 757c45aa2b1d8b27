package frontend

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// openConnSet holds the open connections.
type openConnSet struct {
	mu    sync.Mutex // guards conns
	conns map[*conn]bool
}

// stateChanged updates the set when the HTTP library changes the state of a connection.
func (s *openConnSet) stateChanged(netConn net.Conn, state http.ConnState) {
	clientConn, ok := netConn.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.conns == nil {
			s.conns = make(map[*conn]bool)
		}
		s.conns[clientConn] = true
	case http.StateActive:
		clientConn.betweenRequests.Store(false)
	case http.StateIdle:
		clientConn.betweenRequests.Store(true)
		clientConn.received.Store(false)
		clientConn.state.CompareAndSwap(connHasRequest, connNoRequest) // the answer has been written
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, clientConn)
	}
}

// empty reports whether no connection is open.
func (s *openConnSet) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

// countUses counts the open connections by what they hold their sockets for.
func (s *openConnSet) countUses() (counts useCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for clientConn := range s.conns {
		counts[clientConn.use()]++
	}
	return counts
}

// closeIncomplete closes the connections that have no complete request and have received nothing for a duration.
//
// A request may be completed while connections are being closed. It would count as taken and be lost, so each connection's
// state is changed atomically before the close.
func (s *openConnSet) closeIncomplete(quiet time.Duration) {
	s.mu.Lock()
	var incomplete []*conn
	for clientConn := range s.conns {
		if clientConn.isIncomplete(quiet) {
			incomplete = append(incomplete, clientConn)
		}
	}
	s.mu.Unlock()
	for _, clientConn := range incomplete {
		if clientConn.state.CompareAndSwap(connNoRequest, connClosed) { // fails if its request was completed since
			clientConn.Close()
		}
	}
}

// newConnGrace is how long a new connection on which nothing was received is kept when sockets run short. Such connections may
// arrive by the hundred, and other clients wait behind them for this long.
const newConnGrace = 100 * time.Millisecond

// idleConnList holds the client connections that are between two requests or before their first one, in the order in which
// they became idle.
type idleConnList struct {
	mu      sync.Mutex // guards entries
	entries []idleConn
}

// idleConn is an entry of an idleConnList.
type idleConn struct {
	conn       net.Conn
	acceptedAt time.Time // zero once a request was served on the connection
}

// stateChanged updates the list when the HTTP library changes the state of a connection. Only idle connections are listed.
func (l *idleConnList) stateChanged(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.DeleteFunc(l.entries, func(e idleConn) bool { return e.conn == conn })
	switch state {
	case http.StateNew:
		l.entries = append(l.entries, idleConn{conn, time.Now()})
	case http.StateIdle:
		l.entries = append(l.entries, idleConn{conn: conn})
	}
}

// closeLongestIdle closes the connection that has been idle longest. It closes it while holding the lock, so that the
// connection can't get a new op in between. Connections on which nothing is ever sent could fill the budget, so new ones are
// closed too; but only if no byte was received, since a request may be unread and its op would be lost.
func (l *idleConnList) closeLongestIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, e := range l.entries {
		if e.acceptedAt.IsZero() || time.Since(e.acceptedAt) > newConnGrace && neverSent(e.conn) {
			e.conn.Close()
			l.entries = slices.Delete(l.entries, k, k+1)
			return
		}
	}
}

// neverSent reports whether the kernel knows that no byte was ever received on a connection.
func neverSent(c net.Conn) bool {
	clientConn, ok := c.(*conn)
	if !ok {
		return false
	}
	return readTCPState(clientConn.tcp).noBytes
}
