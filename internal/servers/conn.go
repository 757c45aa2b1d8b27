package servers

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"canvasrouter/internal/memory"
	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
)

const (
	// maxHeadBytes is the maximum length of an answer's status line and headers.
	maxHeadBytes = 16 << 10
	// maxHeadFields limits the fields of a head. A short field takes some hundred bytes once it is parsed.
	maxHeadFields = 100
	// stallTimeoutFactor times the dial timeout, the setting for what the network needs, is how long an answer that has
	// begun may bring nothing.
	stallTimeoutFactor = 2
	// minIdleTime is how long a connection is idle after an answer before it is used again or closed. By then, excess bytes
	// that the server sent after its answer have arrived, and the transport has handed the answer on.
	minIdleTime = 2 * time.Millisecond
	// unknownLength is the body length of an answer whose head does not tell where the body ends.
	unknownLength = -1
)

var (
	errUnsolicitedBytes = errors.New("received bytes that belong to no push")
	errMalformedAnswer  = errors.New("malformed answer")
	protocolPrefix      = []byte("HTTP/1.")
)

// How much of the last write on a connection was accepted, since its push was assigned.
const (
	writtenNothing int32 = iota
	writtenPartly        // the write failed before its end
	writtenFully         // the write was accepted completely, or is in progress
)

// connState tells which part of an answer a connection expects next.
type connState uint8

// The states of a connection.
const (
	stateIdle     connState = iota // no push is in flight on the connection
	stateHead                      // the head of an answer; part of it may have been received
	stateBody                      // the body of an answer
	stateUnusable                  // the connection must not be used for another push
)

// conn is a connection to a server. It records how much of each push was written, determines where each answer ends, and
// does not pass on any byte beyond that end.
//
// http.Transport detects bytes after an answer only once the connection is idle. A push that gets the connection before
// that would read them as its own answer, and its client would be sent the answer to another request.
type conn struct {
	*sockets.Conn
	owner        *serverActor
	openConns    *connSet
	rawConn      syscall.RawConn // nil if the connection is not a socket
	stallTimeout time.Duration   // how long an answer that has begun may bring nothing
	answers      *memory.Pool    // for large heads; nil: they are not counted
	written      atomic.Int32    // writtenNothing, writtenPartly or writtenFully

	mu              sync.Mutex // guards the fields below
	push            *node.Push // the push that the connection is assigned to, until its first write
	assignment      int        // number of the push that the connection is assigned to
	unwritten       bool       // the assigned push has written nothing yet
	state           connState  // what is expected next
	idleSince       time.Time  // start of the current idle time
	hasServed       bool       // at least one answer was received
	headBuffer      []byte     // the part of the head received so far
	headMemory      int64      // reserved in answers
	bodyLeft        int        // unread bytes of the body, or unknownLength
	answerStarted   bool       // part of the answer to the current push was received
	brokenByServer  bool       // ended or reset by the server
	closedWhileIdle bool       // closed by closeIfIdle

	idlePlace *list.Element // in the set's list of idle connections; guarded by the mu of the set
}

// Close closes the connection and removes it from the open connections. If part of a push has not reached the server, the connection
// is reset: the kernel would go on sending a push that is given up.
func (c *conn) Close() error {
	c.mu.Lock()
	if tcp, ok := c.tcp(); ok && c.state != stateIdle && sockets.Unsent(c.rawConn) > 0 {
		tcp.SetLinger(0)
	}
	c.state = stateUnusable
	c.releaseHead()
	c.mu.Unlock()
	c.openConns.remove(c)
	return c.Conn.Close()
}

// tcp returns the TCP connection, if it is one.
func (c *conn) tcp() (*net.TCPConn, bool) {
	tcp, ok := c.Conn.Conn.(*net.TCPConn)
	return tcp, ok
}

// idleTimeNeeded returns how much longer the connection has to be idle before a push may be written. A new connection has
// received nothing and needs no idle time.
func (c *conn) idleTimeNeeded() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasServed {
		return 0
	}
	return minIdleTime - time.Since(c.idleSince)
}

// assign records the push that gets the connection.
func (c *conn) assign(push *node.Push) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written.Store(writtenNothing)
	c.push = push
	c.assignment++
	c.unwritten = true
	c.answerStarted = false
	c.refile()
}

// refile tells the set of connections whether the connection is idle now. The caller holds mu.
func (c *conn) refile() {
	c.openConns.setIdle(c, c.state == stateIdle && !c.unwritten)
}

// answerMalformed reports whether an answer was received that can't be parsed, on a connection that the server has not broken.
func (c *conn) answerMalformed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answerStarted && !c.brokenByServer
}

// hasAnswerStarted reports whether part of the answer to the current push was received.
func (c *conn) hasAnswerStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answerStarted
}

// wasClosedWhileIdle reports whether this process closed the connection while it was idle. A push that it was assigned to at
// the same moment has written nothing.
func (c *conn) wasClosedWhileIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedWhileIdle
}

// hasUnread reports whether bytes, an end or a reset were received that have not been read yet.
func (c *conn) hasUnread() bool {
	_, unread := sockets.Peek(c.rawConn)
	return unread
}

// Write writes part of a request. Before the first byte of a push it waits until the connection has been idle long enough,
// and it fails if the connection or the push can no longer be used.
func (c *conn) Write(b []byte) (int, error) {
	time.Sleep(c.idleTimeNeeded())
	if !c.beginWrite() {
		return 0, errUnsolicitedBytes
	}
	c.written.Store(writtenFully)
	n, err := c.Conn.Write(b)
	if n < len(b) {
		// The server may have answered before it had read the whole request, and then broken the connection. The failed
		// write closes the connection before the answer is read, so the unread answer has to be noticed here.
		if unread, _ := sockets.Peek(c.rawConn); unread {
			c.mu.Lock()
			c.answerStarted = true
			c.brokenByServer = true
			c.mu.Unlock()
		}
		c.written.Store(writtenPartly)
	}
	return n, err
}

// endLateWrite sets limits for the current push to be written whole: the last byte, too, has to reach the server by then. What the
// kernel has taken may be sent long after. The caller holds mu.
func (c *conn) endLateWrite(push *node.Push) {
	before := push.WriteBefore()
	c.SetWriteDeadline(before)
	if before.IsZero() {
		return
	}
	assignment := c.assignment
	time.AfterFunc(time.Until(before), func() {
		c.mu.Lock()
		late := c.assignment == assignment && c.state == stateHead && sockets.Unsent(c.rawConn) > 0
		c.mu.Unlock()
		if late {
			c.openConns.recordClosed("push not written whole in time")
			c.Close()
		}
	})
}

// beginWrite reports whether the current push may be written. Before the first byte of a push, nothing may have been received
// on the connection since the last answer.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unwritten {
		return true
	}
	if c.state != stateIdle || c.hasUnread() {
		c.state = stateUnusable
		c.openConns.recordClosed("ended or received bytes before a push")
		return false
	}
	// The push may have waited long for a connection, or for the connection's idle time.
	if c.push != nil && !c.push.TryBegin() {
		c.state = stateUnusable
		c.openConns.recordClosed("push withdrawn")
		return false
	}
	if c.push != nil {
		c.endLateWrite(c.push)
	}
	c.push = nil
	c.unwritten = false
	c.state = stateHead
	c.headBuffer = c.headBuffer[:0]
	return true
}

// Read passes the bytes of the expected answer to the transport, and no others. It fails if an answer that has begun brings
// nothing for stallTimeout: otherwise the push would wait for its whole timeout.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.receive(b)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.hasUnread() {
			c.SetReadDeadline(time.Now().Add(c.stallTimeout)) // bytes have arrived: this process was late, not the server
			continue
		}
		return n, err
	}
}

// receive reads and tracks bytes in one step for beginWrite. Otherwise bytes that were read while no push was in flight, by a
// goroutine that was then delayed, would be taken for the answer to a push that began in the meantime.
func (c *conn) receive(b []byte) (int, error) {
	return sockets.ReadLocked(c.Conn, c.rawConn, &c.mu, b, func() error { return nil }, c.track)
}

// track processes what was read and returns how many of the bytes belong to the expected answer. The caller holds mu.
func (c *conn) track(b []byte, err error) (int, error) {
	switch {
	case err != nil:
		c.brokenByServer = !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
		return len(b), err
	case c.state == stateIdle || c.state == stateUnusable:
		c.state = stateUnusable
		c.refile()
		c.openConns.recordClosed("bytes that belong to no push")
		return 0, errUnsolicitedBytes
	}
	c.answerStarted = true
	used := 0
	for used < len(b) && (c.state == stateHead || c.state == stateBody) {
		n := len(b) - used
		ok := true
		switch {
		case c.state == stateHead:
			n, ok = c.parseHead(b[used:])
		case c.bodyLeft != unknownLength:
			n = min(n, c.bodyLeft)
			c.bodyLeft -= n
		}
		if !ok {
			c.state = stateUnusable
			c.openConns.recordClosed("malformed answer, or no memory for its head")
			return 0, errMalformedAnswer
		}
		used += n
		if c.state == stateBody && c.bodyLeft == 0 {
			c.state = stateIdle
			c.idleSince = time.Now()
			c.hasServed = true
			c.releaseHead()
			c.refile()
		}
	}
	if used < len(b) {
		// Excess bytes: report an end right after the answer, so that the transport does not reuse the connection.
		c.openConns.recordClosed("bytes after an answer")
		c.state = stateUnusable
		c.refile()
		return used, io.EOF
	}
	// There is no deadline after a complete answer, nor after an interim one, which the final one may follow late.
	var deadline time.Time
	if c.state == stateBody || c.state == stateHead && len(c.headBuffer) > 0 {
		deadline = time.Now().Add(c.stallTimeout)
	}
	c.SetReadDeadline(deadline)
	return used, nil
}

// parseHead consumes the bytes of b that belong to the head, and at the end of the head determines the length of the body.
// It is not ok for bytes that are no head of an answer, and for a head with both a length and chunked encoding: the library
// would use the chunks, and one of the two must be wrong.
func (c *conn) parseHead(b []byte) (used int, ok bool) {
	buffered := len(c.headBuffer)
	head := b
	if buffered > 0 {
		c.headBuffer = append(c.headBuffer, b...)
		head = c.headBuffer
	}
	if n := min(len(head), len(protocolPrefix)); !bytes.Equal(head[:n], protocolPrefix[:n]) {
		return 0, false
	}
	length := headLength(head)
	known := length
	if known < 0 {
		known = len(head)
	}
	if bytes.Count(head[:known], []byte("\n")) > maxHeadFields+2 || !c.growHead(known) { // with the status line and the empty one
		return 0, false
	}
	if length < 0 {
		if buffered == 0 {
			c.headBuffer = append(c.headBuffer, b...)
		}
		return len(b), len(head) <= maxHeadBytes
	}
	head = head[:length]
	answer, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), length), nil)
	if err != nil || len(answer.TransferEncoding) > 0 && bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length:")) {
		return 0, false
	}
	c.headBuffer = c.headBuffer[:0]
	switch code := answer.StatusCode; {
	case code == http.StatusSwitchingProtocols:
		c.state = stateBody
		c.bodyLeft = unknownLength
	case code >= 200:
		c.state = stateBody
		c.bodyLeft = int(answer.ContentLength)
	}
	return length - buffered, true
}

// headLength returns the length of the head, up to the end of the first empty line, or -1.
func headLength(b []byte) int {
	length := -1
	for _, empty := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(b, []byte(empty)); i >= 0 && (length < 0 || i+len(empty) < length) {
			length = i + len(empty)
		}
	}
	return length
}

// closeIfIdle closes the connection if it has been idle for minIdleTime and is not assigned to a push.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	free := c.state == stateIdle && !c.unwritten && time.Since(c.idleSince) >= minIdleTime
	if free {
		c.state = stateUnusable
		c.closedWhileIdle = true
		c.refile()
	}
	c.mu.Unlock()
	if free {
		c.openConns.recordClosed("idle")
		c.Close()
	}
}

// idleTime returns how long no push has been in flight on the connection; it is negative while one is.
func (c *conn) idleTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateIdle || c.unwritten {
		return -1
	}
	return time.Since(c.idleSince)
}
