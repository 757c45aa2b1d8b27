package clients

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

// linger is how long new connections are taken after a planned restart was asked for: the front goes on
// dealing them out for 0.2 to 0.4 s.
const linger = 500 * time.Millisecond

// quietWindow is how long the backlog must have been empty before the listener closes.
const quietWindow = 50 * time.Millisecond

// listener takes connections within the clients' part of the sockets. With none left, connections wait in the
// backlog and nothing spins.
type listener struct {
	*net.TCPListener
	part *sockets.Budget
	ctx  context.Context // done when nothing more is to be taken
	end  context.CancelFunc
	last bool // past linger: the backlog is being emptied

	until atomic.Pointer[time.Time] // when that ends at the latest
}

func newListener(tcp *net.TCPListener, part *sockets.Budget) *listener {
	ctx, end := context.WithCancel(context.Background())
	return &listener{TCPListener: tcp, part: part, ctx: ctx, end: end}
}

func (l *listener) Accept() (net.Conn, error) {
	for !l.room() {
		if l.ctx.Err() != nil {
			l.close()
			return nil, net.ErrClosed
		}
	}
	for {
		tcp, err := l.AcceptTCP()
		switch {
		case err == nil:
			if l.last {
				l.SetDeadline(l.quietBy())
			}
			return &conn{Conn: l.part.Wrap(tcp), tcp: tcp, came: time.Now()}, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && !l.last:
			// Danger: closing now would reset connections that wait in the backlog.
			l.last = true
			l.SetDeadline(l.quietBy())
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			err = net.ErrClosed
			l.close()
		}
		l.part.Release()
		return nil, err
	}
}

// room takes a socket's room, or gives up after a while: what could not give way before may do so by then.
func (l *listener) room() bool {
	ctx, cancel := context.WithTimeout(l.ctx, unused/4)
	defer cancel()
	return l.part.Acquire(ctx) == nil
}

// quietBy is when the backlog counts as empty, unless something comes before. Danger: bad clients connect without a
// break, and it would never be.
func (l *listener) quietBy() time.Time {
	if by := time.Now().Add(quietWindow); by.Before(*l.until.Load()) {
		return by
	}
	return *l.until.Load()
}

// drain takes connections for a while yet, then closes.
func (l *listener) drain() {
	until := time.Now().Add(linger + 4*quietWindow)
	l.until.Store(&until)
	l.SetDeadline(time.Now().Add(linger))
	time.AfterFunc(linger+4*quietWindow, l.end) // should it be waiting for a socket
}

const (
	// refuseFor is how long what waits in the backlog is refused before the listener closes.
	refuseFor = 300 * time.Millisecond
	// refusals go on side by side, with sockets of the reserve for the process's own files.
	refusals = 4
	// refuseWait is how long a request that is refused may take to come, and its client to go.
	refuseWait = 20 * time.Millisecond
)

// close refuses what waits in the backlog, and closes. Danger: a request whose connection the machine has accepted counts as taken.
// Where the budget is spent to the end, or clients connect without a break, closing would reset it unanswered.
func (l *listener) close() {
	end := time.Now().Add(refuseFor)
	var all sync.WaitGroup
	room := make(chan struct{}, refusals)
	for by := time.Now().Add(refuseWait); by.Before(end); by = time.Now().Add(refuseWait) {
		l.SetDeadline(by)
		tcp, err := l.AcceptTCP()
		if err != nil {
			break
		}
		room <- struct{}{}
		all.Go(func() {
			refuse(tcp)
			<-room
		})
	}
	l.TCPListener.Close()
	all.Wait()
}

// refuse answers one whole request with a nack, and closes. Danger: a close over unread bytes would reset the answer away.
func refuse(tcp *net.TCPConn) {
	defer tcp.Close()
	tcp.SetDeadline(time.Now().Add(refuseWait))
	in := bufio.NewReader(tcp)
	if r, err := http.ReadRequest(in); err == nil {
		if _, err = io.Copy(io.Discard, r.Body); err == nil {
			fmt.Fprintf(tcp, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", statusNack, http.StatusText(statusNack))
			tcp.CloseWrite()
			io.Copy(io.Discard, in)
		}
	}
}

// What a connection holds. From shut there is no way back, so that who closes and who takes a request agree.
const (
	resting uint32 = iota // no whole request
	taken                 // a whole request that is not answered yet
	shut                  // closed here: what is read on it from now on is not taken
)

// conn is a client's connection.
type conn struct {
	*sockets.Conn
	tcp   *net.TCPConn
	came  time.Time
	asked bool // a request with a body wait of its own has been read; the handler's

	reading atomic.Bool // the library waits for what comes next, and so for the client's end
	phase   atomic.Uint32
	read    atomic.Int64 // how long after came the library last got something
	look    *time.Timer  // for an end that the library does not notice; the handler's, made by its first op
}

// Close closes the connection. Danger: bytes may come in the very moment in which it is closed, and the library may have read them
// already; a request that is taken then has nobody to answer.
func (c *conn) Close() error {
	c.phase.Store(shut)
	return c.Conn.Close()
}

// take says that a whole request has been read, unless the connection was closed before.
func (c *conn) take() bool { return c.phase.CompareAndSwap(resting, taken) }

// holds says that a whole request is not answered yet.
func (c *conn) holds() bool { return c.phase.Load() == taken }

func (c *conn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	n, err := c.Conn.Read(b)
	c.read.Store(int64(time.Since(c.came)))
	return n, err
}

// half says that the connection holds no whole request, and that for a while nothing has come on it. Danger: what came
// may wait unread, or be read and not yet counted, while this process waits for its core.
func (c *conn) half(quiet time.Duration) bool {
	return !c.holds() && time.Since(c.came)-time.Duration(c.read.Load()) >= quiet &&
		received(c.tcp).since >= quiet && !unread(c.tcp)
}

// unread says that bytes have come that this process has not read.
func unread(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	bytes, _ := sockets.Peek(raw)
	return err == nil && bytes
}

// leftUnread says that the client has left and that nobody is reading who would notice. Danger: the library reads one
// byte beyond a request and then no further; a client that sends much at once and goes has left unseen.
func (c *conn) leftUnread() bool { return !c.reading.Load() && c.Disconnected() }

// Left says that the client has left, as the kernel knows it.
func (c *conn) Disconnected() bool { return received(c.tcp).ended }

// conns are those that stand open.
type conns struct {
	mu   sync.Mutex
	open map[*conn]bool
}

func (c *conns) set(of net.Conn, state http.ConnState) {
	own, ok := of.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if c.open == nil {
			c.open = make(map[*conn]bool)
		}
		c.open[own] = true
	case http.StateIdle:
		own.phase.CompareAndSwap(taken, resting) // its answer is out
	case http.StateClosed, http.StateHijacked:
		delete(c.open, own)
	}
}

// none says that none stands open.
func (c *conns) none() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0
}

// closeHalf closes the connections that hold no whole request and on which nothing has come for a while.
//
// Danger: a request whose last bytes come while a restart closes what stands open is taken, and would be lost.
func (c *conns) closeHalf(quiet time.Duration) {
	c.mu.Lock()
	var half []*conn
	for own := range c.open {
		if own.half(quiet) {
			half = append(half, own)
		}
	}
	c.mu.Unlock()
	for _, own := range half {
		if own.phase.CompareAndSwap(resting, shut) { // its last byte may have come since
			own.Close()
		}
	}
}

// ids are those of the ops in hand.
type ids struct {
	mu   sync.Mutex
	held map[string]bool
}

// take says whether the id is free, and takes it until it is given back.
func (i *ids) take(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.held[id] {
		return false
	}
	if i.held == nil {
		i.held = make(map[string]bool)
	}
	i.held[id] = true
	return true
}

func (i *ids) give(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.held, id)
}

// unused is how long a new connection that says nothing is left alone when sockets run short. Danger: such
// connections may come by hundreds, and usual clients wait behind them for as long.
const unused = 100 * time.Millisecond

// idlers are the clients' connections between two requests or before the first, in the order in which they fell
// idle.
type idlers struct {
	mu   sync.Mutex
	list []idler
}

type idler struct {
	conn net.Conn
	new  time.Time // when it came, if nothing was ever asked on it
}

// set is told of each change; a connection that is not idle is never in the list.
func (i *idlers) set(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.list = slices.DeleteFunc(i.list, func(e idler) bool { return e.conn == conn })
	switch state {
	case http.StateNew:
		i.list = append(i.list, idler{conn, time.Now()})
	case http.StateIdle:
		i.list = append(i.list, idler{conn: conn})
	}
}

// shed closes the connection that has been idle longest. It is closed inside the lock, so that it can't have
// become a running op's meanwhile. Danger: connections that only stand there could fill the table; but on a new
// one a request may wait unread, and closing it would lose the op.
func (i *idlers) shed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for k, e := range i.list {
		if e.new.IsZero() || time.Since(e.new) > unused && silent(e.conn) {
			e.conn.Close()
			i.list = slices.Delete(i.list, k, k+1)
			return
		}
	}
}

// silent says that not a byte has come on a connection, as far as can be told.
func silent(c net.Conn) bool {
	own, ok := c.(*conn)
	if !ok {
		return false
	}
	return received(own.tcp).nothing
}

// heard is what the kernel knows of a client's connection.
type heard struct {
	since   time.Duration // the last byte came
	nothing bool          // ever came
	ended   bool          // the client has left, though there may be bytes to read yet
}
