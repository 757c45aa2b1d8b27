package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"canvasrouter/internal/sockets"
)

// drainAcceptTime is how long new connections are accepted after a planned restart was requested. The load balancer in front
// of the node keeps sending new connections for 0.2 to 0.4 s.
const drainAcceptTime = 500 * time.Millisecond

// backlogQuietTime is how long the backlog must have been empty before the listener closes.
const backlogQuietTime = 50 * time.Millisecond

// listener accepts connections within the clients' socket budget. When the budget is used up, connections wait in the kernel's
// backlog, and Accept blocks.
type listener struct {
	*net.TCPListener
	budget          *sockets.Budget
	ctx             context.Context // done when no more connections are to be accepted
	cancel          context.CancelFunc
	emptyingBacklog bool // drainAcceptTime has passed

	backlogDeadline atomic.Pointer[time.Time] // when emptying the backlog ends at the latest; set by drain
}

// newListener returns a listener that accepts connections within a budget.
func newListener(tcp *net.TCPListener, budget *sockets.Budget) *listener {
	ctx, cancel := context.WithCancel(context.Background())
	return &listener{TCPListener: tcp, budget: budget, ctx: ctx, cancel: cancel}
}

// Accept waits for a free socket and accepts a connection. During a drain it empties the backlog, then closes the listener.
func (l *listener) Accept() (net.Conn, error) {
	for !l.acquireSocket() {
		if l.ctx.Err() != nil {
			l.refuseBacklog()
			return nil, net.ErrClosed
		}
	}
	for {
		tcp, err := l.AcceptTCP()
		switch {
		case err == nil:
			if l.emptyingBacklog {
				l.SetDeadline(l.quietDeadline())
			}
			return &conn{Conn: l.budget.Wrap(tcp), tcp: tcp, acceptedAt: time.Now()}, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && !l.emptyingBacklog:
			// Closing the listener now would reset the connections in the backlog.
			l.emptyingBacklog = true
			l.SetDeadline(l.quietDeadline())
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			err = net.ErrClosed
			l.refuseBacklog()
		}
		l.budget.Release()
		return nil, err
	}
}

// acquireSocket acquires a socket of the budget. It gives up after a while, so that the next call again asks for an idle
// connection to be closed: one that was too new before may be old enough by then.
func (l *listener) acquireSocket() bool {
	ctx, cancel := context.WithTimeout(l.ctx, newConnGrace/4)
	defer cancel()
	return l.budget.Acquire(ctx) == nil
}

// quietDeadline returns when the backlog counts as empty unless a connection arrives before. It is limited by
// backlogDeadline, because the backlog would never be empty while bad clients connect without a pause.
func (l *listener) quietDeadline() time.Time {
	if deadline := time.Now().Add(backlogQuietTime); deadline.Before(*l.backlogDeadline.Load()) {
		return deadline
	}
	return *l.backlogDeadline.Load()
}

// drain lets the listener accept connections for drainAcceptTime, then empty the backlog and close.
func (l *listener) drain() {
	deadline := time.Now().Add(drainAcceptTime + 4*backlogQuietTime)
	l.backlogDeadline.Store(&deadline)
	l.SetDeadline(time.Now().Add(drainAcceptTime))
	time.AfterFunc(drainAcceptTime+4*backlogQuietTime, l.cancel) // ends an Accept that waits for a socket
}

const (
	// refusalPeriod is how long requests in the backlog are refused before the listener closes.
	refusalPeriod = 300 * time.Millisecond
	// maxConcurrentRefusals limits the connections that are refused at a time. They are not counted in the budget but use
	// descriptors reserved for the process itself.
	maxConcurrentRefusals = 4
	// refusalTimeout is how long a refused request may take to arrive and its client to close the connection.
	refusalTimeout = 20 * time.Millisecond
)

// refuseBacklog answers the requests in the backlog with a nack, and closes the listener. A request whose connection the
// kernel has accepted counts as taken. If the budget is still used up, or clients connect without a pause, closing the
// listener at once would reset such a request unanswered.
func (l *listener) refuseBacklog() {
	end := time.Now().Add(refusalPeriod)
	var refusals sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRefusals)
	for acceptDeadline := time.Now().Add(refusalTimeout); acceptDeadline.Before(end); acceptDeadline = time.Now().Add(refusalTimeout) {
		l.SetDeadline(acceptDeadline)
		tcp, err := l.AcceptTCP()
		if err != nil {
			break
		}
		slots <- struct{}{}
		refusals.Go(func() {
			refuse(tcp)
			<-slots
		})
	}
	l.TCPListener.Close()
	refusals.Wait()
}

// refuse reads one complete request, answers it with a nack and closes the connection. It reads to the end first, because
// closing a connection that has unread bytes resets it, and the answer would be lost.
func refuse(tcp *net.TCPConn) {
	defer tcp.Close()
	tcp.SetDeadline(time.Now().Add(refusalTimeout))
	in := bufio.NewReader(tcp)
	if r, err := http.ReadRequest(in); err == nil {
		if _, err = io.Copy(io.Discard, r.Body); err == nil {
			fmt.Fprintf(tcp, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", statusNacked, http.StatusText(statusNacked))
			tcp.CloseWrite()
			io.Copy(io.Discard, in)
		}
	}
}

// States of a connection. connClosed is final, so that closing the connection and claiming a request on it cannot both succeed.
const (
	connNoRequest  uint32 = iota // no complete request
	connHasRequest               // a complete request that is not answered yet
	connClosed                   // closed by this process: a request that is read from now on is not accepted
)

// conn is a connection from a client.
type conn struct {
	*sockets.Conn
	tcp        *net.TCPConn
	acceptedAt time.Time
	hadRequest bool // bodyDeadline was called for the first request; used by the handler only

	reading  atomic.Bool   // the library is in Read, and so will notice a disconnect
	state    atomic.Uint32 // connNoRequest, connHasRequest or connClosed
	lastRead atomic.Int64  // nanoseconds after acceptedAt: end of the library's latest Read

	// disconnectTimer is for disconnects that the library does not notice. Only the handler uses it; its first op creates it.
	disconnectTimer *time.Timer
}

// Close closes the connection. It sets the state first: the library may already have read bytes that arrived at the same
// moment, and a request that is accepted after the close could not be answered.
func (c *conn) Close() error {
	c.state.Store(connClosed)
	return c.Conn.Close()
}

// claimRequest records that a complete request was read. It returns false if the connection was closed before.
func (c *conn) claimRequest() bool { return c.state.CompareAndSwap(connNoRequest, connHasRequest) }

// hasRequest reports whether a complete request has not been answered yet.
func (c *conn) hasRequest() bool { return c.state.Load() == connHasRequest }

// Read reads from the connection and records the activity of the library.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	n, err := c.Conn.Read(b)
	c.lastRead.Store(int64(time.Since(c.acceptedAt)))
	return n, err
}

// isIncomplete reports whether the connection has no complete request and has received nothing for a duration. The kernel is
// asked as well: while this process is not scheduled, bytes may be unread, or read and not yet recorded.
func (c *conn) isIncomplete(quiet time.Duration) bool {
	return !c.hasRequest() && time.Since(c.acceptedAt)-time.Duration(c.lastRead.Load()) >= quiet &&
		readTCPState(c.tcp).sinceLastByte >= quiet && !hasUnread(c.tcp)
}

// hasUnread reports whether bytes were received that this process has not read.
func hasUnread(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	unread, _ := sockets.Peek(raw)
	return err == nil && unread
}

// disconnectedUnnoticed reports whether the client has left while the library is not reading and so can't notice. The library
// reads one byte beyond a request and then stops, so it misses the disconnect of a client that sends more than that.
func (c *conn) disconnectedUnnoticed() bool { return !c.reading.Load() && c.Disconnected() }

// Disconnected reports whether the client has left, according to the kernel. It implements node.Client.
func (c *conn) Disconnected() bool { return readTCPState(c.tcp).clientClosed }

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
	case http.StateIdle:
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

// opIDSet holds the ids of the pending ops.
type opIDSet struct {
	mu       sync.Mutex // guards reserved
	reserved map[string]bool
}

// reserve reserves an id until it is released. It returns false if the id is already reserved.
func (s *opIDSet) reserve(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved[id] {
		return false
	}
	if s.reserved == nil {
		s.reserved = make(map[string]bool)
	}
	s.reserved[id] = true
	return true
}

// release releases a reserved id.
func (s *opIDSet) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, id)
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

// tcpState is the kernel's state of a client's connection.
type tcpState struct {
	sinceLastByte time.Duration // time since the last byte was received
	noBytes       bool          // no byte was ever received
	clientClosed  bool          // the client has closed or reset the connection; there may still be unread bytes
}
