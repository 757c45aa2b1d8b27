package frontend

import (
	"net"
	"sync/atomic"
	"time"

	"canvasrouter/internal/sockets"
)

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

	betweenRequests atomic.Bool // the library has served a request and has not read the head of the next one
	received        atomic.Bool // bytes of the next request were read

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

// use returns what the connection holds its socket for.
func (c *conn) use() connUse {
	switch {
	case c.hasRequest():
		return usePending
	case c.received.Load():
		return usePartial
	case c.betweenRequests.Load():
		return useIdle
	}
	return useSilent
}

// hasRequest reports whether a complete request has not been answered yet.
func (c *conn) hasRequest() bool { return c.state.Load() == connHasRequest }

// Read reads from the connection and records the activity of the library.
func (c *conn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
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

// tcpState is the kernel's state of a client's connection.
type tcpState struct {
	sinceLastByte time.Duration // time since the last byte was received
	noBytes       bool          // no byte was ever received
	clientClosed  bool          // the client has closed or reset the connection; there may still be unread bytes
}
