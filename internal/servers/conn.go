package servers

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
)

const (
	// mostHead is the most bytes of an answer's head.
	mostHead = 16 << 10
	// stallDials is how long an answer that has begun may bring nothing, in dial times: the settings' figure for what
	// the network needs.
	stallDials = 2
	// rest is how long a connection stands after an answer before it is used again or closed: what a server sends
	// behind its answer has come by then, and the transport has handed the answer on.
	rest = 2 * time.Millisecond
	// unknown is the length of an answer whose end the head does not tell.
	unknown = -1
)

var (
	errNotAsked = errors.New("the connection brought what belongs to no push")
	errSpoilt   = errors.New("the answer can't be read")
	proto       = []byte("HTTP/1.")
)

// What the last write on a connection came to, since its push began.
const (
	nothing int32 = iota
	short         // it failed before its end
	whole         // it was taken to the end, or is under way
)

// phase is what a connection waits for.
type phase uint8

const (
	idle phase = iota // no push is out on it
	head              // of an answer; some may have come
	body
	spent // it is of no further use: no push may begin on it
)

// conn guards one connection. It remembers how its writes went, follows where each answer ends, and lets the transport
// see no byte beyond.
//
// Danger: http.Transport looks for bytes behind an answer only once the connection is idle, and a push that takes it in
// between reads them as its own answer; a client would be served another's.
type conn struct {
	*sockets.Conn
	of    *peer
	in    *keep
	raw   syscall.RawConn // nil where the kernel can't be asked
	stall time.Duration
	wrote atomic.Int32 // since its push began

	mu     sync.Mutex
	push   *node.Push // that has the connection, until it begins
	fresh  bool       // it has written nothing yet
	at     phase      // what comes next
	since  time.Time  // idle
	served bool       // it has brought an answer
	head   []byte     // so far
	left   int        // of the body, or unknown
	came   bool       // some of the answer to the present push
	broken bool       // by the other side
	shed   bool       // closed here, as it stood idle
}

func (c *conn) Close() error {
	c.in.remove(c)
	return c.Conn.Close()
}

// unrested says how long the connection has to stand yet before a push. A new one has brought nothing.
func (c *conn) unrested() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.served {
		return 0
	}
	return rest - time.Since(c.since)
}

// begin is told of each push that gets the connection.
func (c *conn) begin(push *node.Push) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote.Store(nothing)
	c.push, c.fresh, c.came = push, true, false
}

// spoilt says that an answer came that can't be read, on a connection that holds.
func (c *conn) spoilt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.came && !c.broken
}

// replied says that some of an answer to the present push has come.
func (c *conn) replied() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.came
}

// dropped says that the connection was closed here before the push that got it had written anything.
func (c *conn) dropped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed
}

// stirred says that bytes or an end have come that nobody has read yet.
func (c *conn) stirred() bool {
	_, stirred := sockets.Peek(c.raw)
	return stirred
}

func (c *conn) Write(b []byte) (int, error) {
	time.Sleep(c.unrested())
	if !c.fit() {
		return 0, errNotAsked
	}
	c.wrote.Store(whole)
	n, err := c.Conn.Write(b)
	if n < len(b) {
		// Danger: the server may have answered before it had read the whole, and broken then. The write learns of the break
		// before anybody has read the answer, and the connection is closed on it.
		if unread, _ := sockets.Peek(c.raw); unread {
			c.mu.Lock()
			c.came, c.broken = true, true
			c.mu.Unlock()
		}
		c.wrote.Store(short)
	}
	return n, err
}

// fit says whether a push may be written: before its first byte the connection must be as the last answer left it.
func (c *conn) fit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fresh {
		return true
	}
	if c.at != idle || c.stirred() {
		c.at = spent
		return false
	}
	// Danger: the wait for a connection, or for it to have rested, may have been long.
	if c.push != nil && !c.push.TryBegin() {
		c.at = spent
		return false
	}
	c.push, c.fresh, c.at, c.head = nil, false, head, c.head[:0]
	return true
}

// Read gives the transport the bytes of the answer that is waited for, and no others. Danger: an answer that begins and
// never goes on would cost its push all the time it has.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.receive(b)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.stirred() {
			c.SetReadDeadline(time.Now().Add(c.stall)) // bytes are there: it was this process that had to wait
			continue
		}
		return n, err
	}
}

// receiveAnyhow is receive where the two steps can't be one.
func (c *conn) receiveAnyhow(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follow(b[:n], err)
}

// follow takes what was read and says how much of it belongs to the answer that is waited for. The caller holds mu.
func (c *conn) follow(b []byte, err error) (int, error) {
	switch {
	case err != nil:
		c.broken = !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
		return len(b), err
	case c.at == idle || c.at == spent:
		c.at = spent
		return 0, errNotAsked
	}
	c.came = true
	used := 0
	for used < len(b) && (c.at == head || c.at == body) {
		n, ok := len(b)-used, true
		switch {
		case c.at == head:
			n, ok = c.readHead(b[used:])
		case c.left != unknown:
			n = min(n, c.left)
			c.left -= n
		}
		if !ok {
			c.at = spent
			return 0, errSpoilt
		}
		used += n
		if c.at == body && c.left == 0 {
			c.at, c.since, c.served = idle, time.Now(), true
		}
	}
	if used < len(b) {
		// An end right behind the answer: the transport never gives such a connection to another push.
		c.at = spent
		return used, io.EOF
	}
	var until time.Time // none: the answer is whole, or was an interim one, and the next may take its time
	if c.at == body || c.at == head && len(c.head) > 0 {
		until = time.Now().Add(c.stall)
	}
	c.SetReadDeadline(until)
	return used, nil
}

// readHead takes the head's part of b, and at the head's end learns from the library what follows. It is not ok if no
// answer can begin or end so. Danger: of a length and chunks together the library takes the chunks, and one of the two
// is not true.
func (c *conn) readHead(b []byte) (used int, ok bool) {
	before, all := len(c.head), b
	if before > 0 {
		c.head = append(c.head, b...)
		all = c.head
	}
	if n := min(len(all), len(proto)); !bytes.Equal(all[:n], proto[:n]) {
		return 0, false
	}
	end := headEnd(all)
	if end < 0 {
		if before == 0 {
			c.head = append(c.head, b...)
		}
		return len(b), len(all) <= mostHead
	}
	all = all[:end]
	answer, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(all), end), nil)
	if err != nil || len(answer.TransferEncoding) > 0 && bytes.Contains(bytes.ToLower(all), []byte("\ncontent-length:")) {
		return 0, false
	}
	c.head = c.head[:0]
	switch code := answer.StatusCode; {
	case code == http.StatusSwitchingProtocols:
		c.at, c.left = body, unknown
	case code >= 200:
		c.at, c.left = body, int(answer.ContentLength)
	}
	return end - before, true
}

// headEnd is where the first empty line ends, or -1.
func headEnd(b []byte) int {
	end := -1
	for _, empty := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(b, []byte(empty)); i >= 0 && (end < 0 || i+len(empty) < end) {
			end = i + len(empty)
		}
	}
	return end
}

// keep holds the connections of all peers, so that idle ones can be closed when sockets run short.
//
// Danger: the transport counts a connection as idle before it has handed on an answer without a body; its own
// CloseIdleConnections would cut that answer off. So a connection is only closed here once it has rested.
type keep struct {
	part  *sockets.Budget
	mu    sync.Mutex
	conns map[*conn]bool
}

func (k *keep) add(c *conn) *conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.since = time.Now()
	if socket, ok := c.Conn.Conn.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn()
	}
	k.conns[c] = true
	return c
}

func (k *keep) remove(c *conn) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
}

// stood is how long no push has been out on the connection; negative while one is.
func (c *conn) stood() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at != idle || c.fresh {
		return -1
	}
	return time.Since(c.since)
}

// closeRested closes the connection unless a push has just got it.
func (c *conn) closeRested() {
	c.mu.Lock()
	free := c.at == idle && !c.fresh && time.Since(c.since) >= rest
	if free {
		c.at, c.shed = spent, true
	}
	c.mu.Unlock()
	if free {
		c.Close()
	}
}

// shed closes the connection that has been idle longest. If none has rested, it looks again soon for who still waits.
func (k *keep) shed() {
	k.mu.Lock()
	var oldest *conn
	most := time.Duration(-1)
	for c := range k.conns {
		if stood := c.stood(); stood > most {
			oldest, most = c, stood
		}
	}
	k.mu.Unlock()
	switch {
	case most >= rest:
		oldest.closeRested()
	case oldest != nil:
		time.AfterFunc(rest, k.part.NotifyIdle)
	}
}

// closeIdle closes what is idle of a peer that gets no new push.
func (k *keep) closeIdle(of *peer) {
	k.mu.Lock()
	conns := slices.Collect(maps.Keys(k.conns))
	k.mu.Unlock()
	for _, c := range conns {
		if c.of == of {
			c.closeRested()
		}
	}
}
