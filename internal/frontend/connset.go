package frontend

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// openConnSet holds the open connections.
type openConnSet struct {
	mu          sync.Mutex // guards the fields below
	conns       map[*conn]bool
	lastReclaim time.Time // when a connection was closed to free its socket, other than one whose client was seen to go on
}

// stateChanged updates the set when the HTTP library changes the state of a connection.
func (s *openConnSet) stateChanged(netConn net.Conn, state http.ConnState) {
	clientConn, ok := netConn.(*conn)
	if !ok {
		return
	}
	clientConn.stateChanged(state)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.conns == nil {
			s.conns = make(map[*conn]bool)
		}
		s.conns[clientConn] = true
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
		clientConn.mu.Lock()
		counts[clientConn.use()]++
		clientConn.mu.Unlock()
	}
	return counts
}

// closeIncomplete closes the connections that have no complete request and have received nothing for a duration.
//
// A request may be completed while connections are being closed. It would count as taken and be lost, so each connection's
// state is changed before the close, and a request that has begun is nacked.
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
		clientConn.closeUnfinished(func() bool { return clientConn.isIncomplete(quiet) })
	}
}
