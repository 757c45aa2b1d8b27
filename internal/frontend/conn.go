package frontend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"canvasrouter/internal/memory"
	"canvasrouter/internal/sockets"
)

// States of a connection. connClosed is final, so that closing the connection and claiming a request on it cannot both succeed.
const (
	connNoRequest  uint32 = iota // no complete request
	connHasRequest               // a complete request that is not answered yet
	connRefused                  // a bad request was answered, and the connection is about to be closed
	connClosed                   // closed by this process: a request that is read from now on is not accepted
)

// conn is a connection from a client.
type conn struct {
	*sockets.Conn
	tcp        *net.TCPConn
	raw        syscall.RawConn // nil if the kernel can't be asked
	acceptedAt time.Time
	hadRequest bool // bodyDeadline was called for the first request; used by the handler only
	budget     *sockets.Budget
	set        *openConnSet // holds the connection while it is open; nil in tests of a connection alone
	ending     *atomic.Bool // the process ends, and the library closes connections with requests that it has read

	reading      atomic.Bool   // the library is in Read, and so will notice a disconnect
	inBackground atomic.Bool   // the latest Read is for the next request, while one is being handled
	state        atomic.Uint32 // connNoRequest, connHasRequest, connRefused or connClosed; changed to connClosed while holding mu
	lastRead     atomic.Int64  // nanoseconds after acceptedAt: end of the library's latest Read
	writingSince atomic.Int64  // nanoseconds after acceptedAt: start of the Write in progress; 0: none

	mu             sync.Mutex // guards the fields below, and makes reading and recording one step
	phase          connPhase
	served         bool      // at least one request was answered
	requestStarted time.Time // when the first byte of the incomplete request was received; zero if there is none
	resumed        bool      // the client has paused in the incomplete request and sent more
	lastByteAt     time.Time // when the client was last heard of: its last byte or, before the first, its connecting
	refusedAt      time.Time // when the connection became connRefused

	scanner    headScanner
	heads      *memory.Pool // for large heads; nil: they are not counted
	headMemory int64        // reserved in heads
	refusal    *headRefusal // why the head that is being read is refused; nil: it is not

	places [reclaimRankCount]reclaimPlace // guarded by the mu of the set

	// disconnectTimer is for disconnects that the library does not notice. Only the handler uses it; its first op creates it.
	disconnectTimer *time.Timer
}

// connPhase tells what part of a request the library reads from a connection.
type connPhase uint8

const (
	phaseHead    connPhase = iota // a head, or waiting for one
	phaseHandler                  // none: the handler runs
	phaseBody                     // a body
)

// newConn returns a connection that was accepted within limits.
func newConn(tcp *net.TCPConn, limits *Limits, set *openConnSet, ending *atomic.Bool) *conn {
	now := time.Now()
	c := &conn{Conn: limits.Sockets.Wrap(tcp), tcp: tcp, acceptedAt: now, budget: limits.Sockets, heads: limits.Heads, set: set, ending: ending}
	limits.Buffers.Apply(tcp)
	c.raw, _ = tcp.SyscallConn()
	c.lastByteAt = now.Add(-readTCPState(tcp).sinceLastByte) // the connection may have waited in the backlog
	return c
}

// Close closes the connection. It sets the state first: the library may already have read bytes that arrived at the same
// moment, and a request that is accepted after the close could not be answered.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.state.Swap(connClosed) == connNoRequest && c.ending.Load() {
		c.nackUnfinished()
	}
	c.refile()
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the client's side of the connection. The library calls it after its answer to a bad request, and then keeps
// the connection for a while, so that unread bytes do not reset it and discard the answer.
func (c *conn) CloseWrite() error {
	c.markRefused()
	return c.tcp.CloseWrite()
}

// claimRequest records that a complete request was read. It returns false if the connection was closed before.
func (c *conn) claimRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.CompareAndSwap(connNoRequest, connHasRequest) {
		return false
	}
	c.requestStarted = time.Time{}
	c.refile()
	return true
}

// markRefused records that a bad request gets its answer now. It returns false if the connection was closed before.
func (c *conn) markRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.CompareAndSwap(connNoRequest, connRefused) {
		return false
	}
	c.refusedAt = time.Now()
	c.refile()
	return true
}

// markLibraryRefusal is called before a write. What is written while no request is taken and none is being read is the
// library's own answer to a bad request.
func (c *conn) markLibraryRefusal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseHandler && c.state.CompareAndSwap(connNoRequest, connRefused) {
		c.refusedAt = time.Now()
		c.refile()
	}
}

// sentNext reports whether bytes of the next request have arrived although the current one is not answered.
func (c *conn) sentNext() bool {
	c.mu.Lock()
	next := c.scanner.part != partHead || c.scanner.headBytes > 0
	c.mu.Unlock()
	return next || hasUnread(c.tcp)
}

// hasRequest reports whether a complete request has not been answered yet.
func (c *conn) hasRequest() bool { return c.state.Load() == connHasRequest }

// setPhase records what part of a request the library reads from now on.
func (c *conn) setPhase(phase connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phase
	c.refile()
}

// refile tells the set of open connections what the connection is held for now. The caller holds mu.
func (c *conn) refile() {
	if c.set != nil {
		c.set.refile(c)
	}
}

// stateChanged records a new state that the library reports.
func (c *conn) stateChanged(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase = phaseHandler
	case http.StateIdle:
		c.phase = phaseHead
		c.served = true
		c.releaseHead()
		c.lastByteAt = time.Now()
		c.state.CompareAndSwap(connHasRequest, connNoRequest) // the answer has been written
	}
	c.refile()
}

// backgroundReadSize is how many bytes the library asks for in the background, while the handler runs, to notice a disconnect.
const backgroundReadSize = 1

// Read reads from the connection and records the activity of the library.
func (c *conn) Read(b []byte) (int, error) {
	c.inBackground.Store(len(b) <= backgroundReadSize)
	c.reading.Store(true)
	defer c.reading.Store(false)
	if c.awaitsClient() {
		c.budget.NotifyIdle()
	}
	n, err := sockets.ReadLocked(c.Conn, c.raw, &c.mu, b, c.mayRead, c.track)
	if errors.Is(err, errHeadRefused) {
		c.refuseHead()
	}
	return n, err
}

// awaitsClient does the work of waitsForBytes for callers that do not hold mu.
func (c *conn) awaitsClient() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitsForBytes()
}

// waitsForBytes reports whether the library waits for bytes of a request. The caller holds mu.
func (c *conn) waitsForBytes() bool {
	return c.reading.Load() && !c.inBackground.Load() && c.phase != phaseHandler && c.state.Load() == connNoRequest
}

// errHeadRefused is the error of a Read once the head of a request is refused. The library sends no answer to a connection
// with an error of this type, since the connection has sent one.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("head of a request is refused")}

// mayRead returns an error if nothing more is to be read: the connection was closed, and what is read then could not be answered,
// or it can't be told where the next request begins. The caller holds mu.
func (c *conn) mayRead() error {
	switch {
	case c.refusal != nil:
		return errHeadRefused
	case c.scanner.part == partUnknown && c.phase == phaseHead:
		return io.EOF
	}
	return c.closedError("read")
}

// closedError returns the error of an operation if the connection was closed. The library sends no answer to a connection
// with an error of this type.
func (c *conn) closedError(operation string) error {
	if c.state.Load() != connClosed {
		return nil
	}
	return &net.OpError{Op: operation, Net: "tcp", Err: net.ErrClosed}
}

// minPause is the shortest time without a byte, in the middle of a request, that counts as a pause of its client.
const minPause = 20 * time.Millisecond

// track records what a Read got. The caller holds mu.
func (c *conn) track(b []byte, err error) (int, error) {
	now := time.Now()
	c.reading.Store(false)
	c.lastRead.Store(int64(now.Sub(c.acceptedAt)))
	if len(b) == 0 {
		return 0, err
	}
	previousByteAt := c.lastByteAt
	c.lastByteAt = now
	if !c.served {
		c.lastByteAt = now.Add(-readTCPState(c.tcp).sinceLastByte) // the bytes may have waited in the backlog
	}
	if c.requestStarted.IsZero() {
		c.requestStarted = c.lastByteAt
		c.resumed = false
	} else if c.lastByteAt.Sub(previousByteAt) >= minPause {
		c.resumed = true
	}
	c.refile()
	allowed := c.scanner.scan(b)
	switch {
	case c.scanner.limitExceeded:
		c.refusal = &headTooLarge
	case !c.growHead():
		c.refusal = &noHeadMemory
		return 0, errHeadRefused
	}
	if allowed == 0 {
		return 0, errHeadRefused
	}
	return allowed, err
}

// Write writes to the connection, and records since when. It fails once the connection was closed, which may have been with an
// answer.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.closedError("write"); err != nil {
		return 0, err
	}
	c.markLibraryRefusal()
	c.setWritingSince(int64(time.Since(c.acceptedAt)))
	defer c.setWritingSince(0)
	return c.Conn.Write(b)
}

// setWritingSince records the start of a Write, or its end with 0.
func (c *conn) setWritingSince(start int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince.Store(start)
	c.refile()
}

// closeUnfinished closes the connection if it has no complete request, and check holds while no byte can be read. If part of
// a request was received, it is nacked: its last byte may have been read in the meantime, and then it must be answered.
func (c *conn) closeUnfinished(reason string, check func() bool) bool {
	c.mu.Lock()
	use := c.use()
	closing := check()
	switch {
	case !closing:
	case c.state.CompareAndSwap(connNoRequest, connClosed):
		c.nackUnfinished()
	default:
		closing = c.state.CompareAndSwap(connRefused, connClosed)
	}
	c.refile()
	c.mu.Unlock()
	if closing {
		c.recordClosed(reason, use)
		c.Close()
	}
	return closing
}

// recordClosed counts the connection as closed by this process.
func (c *conn) recordClosed(reason string, use connUse) {
	if c.set != nil {
		c.set.recordClosed(c, reason, use)
	}
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

// Disconnected reports whether the client has left, according to the kernel, or may have left unnoticed. It implements node.Client.
func (c *conn) Disconnected() bool { return readTCPState(c.tcp).clientClosed || c.sentFarAhead() }

// sentFarAhead reports whether so much has arrived behind the current request that the kernel's buffer is half full. The end of
// the connection may then wait at the client until more has been read, and nobody could tell that the client has left. A client
// that waits for its answer before it sends the next request is never that far ahead.
func (c *conn) sentFarAhead() bool {
	unread, capacity := readBuffered(c.tcp)
	return capacity > 0 && unread >= capacity/2
}

// tcpState is the kernel's state of a client's connection.
type tcpState struct {
	sinceLastByte time.Duration // time since the last byte was received
	noBytes       bool          // no byte was ever received
	clientClosed  bool          // the client has closed or reset the connection; there may still be unread bytes
}
