package frontend

import (
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/counters"
)

// openConnSet holds the open connections.
type openConnSet struct {
	log    zerolog.Logger
	closed counters.Set // connections that were closed or refused by this process before a request was served, by the reason
	checks atomic.Int64 // connections looked at so far because another one waited for a socket

	mu          sync.Mutex // guards the fields below; may be locked while holding the mu of a connection, not the reverse
	conns       map[*conn]bool
	queues      [reclaimRankCount]reclaimQueue // the same connections by what they can be closed for
	lastReclaim time.Time                      // when a connection was closed to free its socket, other than one whose client was seen to go on
}

// stateChanged updates the set when the HTTP library changes the state of a connection.
func (s *openConnSet) stateChanged(netConn net.Conn, state http.ConnState) {
	clientConn, ok := netConn.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		s.add(clientConn)
	case http.StateClosed, http.StateHijacked:
		s.remove(clientConn)
	case http.StateIdle:
		clientConn.stateChanged(state)
		runtime.Gosched() // a client that sends the next request without a pause must not keep others from a full core
	default:
		clientConn.stateChanged(state)
	}
}

// add adds a new connection.
func (s *openConnSet) add(clientConn *conn) {
	clientConn.mu.Lock()
	defer clientConn.mu.Unlock()
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*conn]bool)
	}
	s.conns[clientConn] = true
	s.mu.Unlock()
	s.refile(clientConn)
}

// remove removes a connection that has ended.
func (s *openConnSet) remove(clientConn *conn) {
	clientConn.mu.Lock()
	clientConn.releaseHead() // the library uses the connection no more
	clientConn.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, clientConn)
	for rank := range clientConn.places {
		clientConn.places[rank].remove()
	}
}

// refile puts a connection into the queues of the ranks that it has. It is called after each change of what these depend on,
// while holding the mu of the connection.
func (s *openConnSet) refile(clientConn *conn) {
	times := clientConn.reclaimTimes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conns[clientConn] {
		return
	}
	for rank, since := range times {
		place := &clientConn.places[rank]
		if since.IsZero() {
			place.remove()
			continue
		}
		s.queues[rank].put(place, reclaimEntry{clientConn, since}, clientConn.served)
	}
}

// recordClosed counts a connection that is closed by this process, and logs what it was held for.
func (s *openConnSet) recordClosed(clientConn *conn, reason string, use connUse) {
	s.closed.Log(s.log.Info(), reason, "connection closed", func(line *zerolog.Event) {
		line.Stringer("client", clientConn.tcp.RemoteAddr()).Stringer("use", use).
			Int64("age_ms", time.Since(clientConn.acceptedAt).Milliseconds())
	})
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
	counts[useRefused] = s.queues[reclaimRefused].length()
	counts[useSilent] = s.queues[reclaimSilent].length()
	counts[usePartial] = s.queues[reclaimStalled].length() + s.queues[reclaimPaused].length()
	counts[useIdle] = s.queues[reclaimIdle].length()
	counts[usePending] = len(s.conns) - counts[useRefused] - counts[useSilent] - counts[usePartial] - counts[useIdle]
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
		clientConn.closeUnfinished("incomplete at the end of the process", func() bool { return clientConn.isIncomplete(quiet) })
	}
}
