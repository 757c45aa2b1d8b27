package frontend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/sockets"
)

// drainAcceptTime is how long new connections are accepted after a planned restart was requested. The load balancer in front
// of the node keeps sending new connections for 0.2 to 0.4 s.
const drainAcceptTime = 500 * time.Millisecond

// backlogQuietTime is how long the backlog must have been empty before the listener closes.
const backlogQuietTime = 50 * time.Millisecond

// emptyBacklogTime is how long an accept must have waited to tell that no connection was in the backlog.
const emptyBacklogTime = 5 * time.Millisecond

// acceptsPerTurn is how many connections are accepted before all other goroutines have their turn. Clients that connect without a
// pause must not keep those that are connected from a full core, nor the other way round.
const acceptsPerTurn = 8

// listener accepts connections within the clients' socket budget. When the budget is used up, connections wait in the kernel's
// backlog, and Accept blocks.
type listener struct {
	*net.TCPListener
	limits          Limits
	openConns       *openConnSet
	ctx             context.Context // done when no more connections are to be accepted
	cancel          context.CancelFunc
	emptyingBacklog bool                       // drainAcceptTime has passed
	acceptsInTurn   int                        // accepts since all others had their turn
	onShortage      func(waited time.Duration) // called while a connection waits for a socket
	onAcceptError   func(error)                // called when accept has failed and is tried again

	waitingSince    atomic.Pointer[time.Time] // last byte of the connection that waits for a socket; nil: none waits
	shortSince      atomic.Pointer[time.Time] // when connections began to wait; nil: the backlog has been empty since
	ending          atomic.Bool               // the process ends; see conn.Close
	backlogDeadline atomic.Pointer[time.Time] // when emptying the backlog ends at the latest; set by drain
	drainEnd        atomic.Pointer[time.Time] // when refusing ends at the latest; set by drain
}

// listenTimeout is how long a listener that can't be opened is tried again: the process before may still hold the address, or the
// machine may lack something for a moment.
const listenTimeout = 5 * time.Second

// openListener does the work of listenTCP, and tries again for listenTimeout.
func openListener(addr string, backlog int, buffers sockets.Buffers, log zerolog.Logger) (*net.TCPListener, error) {
	for started := time.Now(); ; time.Sleep(10 * sockets.TransientPause) {
		tcp, err := listenTCP(addr, backlog, buffers)
		mayPass := sockets.IsShortage(err) || errors.Is(err, syscall.EADDRINUSE)
		if err == nil || !mayPass || time.Since(started) > listenTimeout {
			return tcp, err
		}
		log.Warn().Err(err).Str("addr", addr).Msg("can't listen yet")
	}
}

// listenTCP opens a listener with a backlog of a size; 0 is the system's. Connections take over the listener's buffers.
func listenTCP(addr string, backlog int, buffers sockets.Buffers) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: buffers.Control}
	opened, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := opened.(*net.TCPListener)
	if backlog > 0 {
		sockets.SetBacklog(tcp, backlog)
	}
	return tcp, nil
}

// newListener returns a listener that accepts connections within limits.
func newListener(tcp *net.TCPListener, limits Limits, openConns *openConnSet) *listener {
	ctx, cancel := context.WithCancel(context.Background())
	return &listener{TCPListener: tcp, limits: limits, openConns: openConns, ctx: ctx, cancel: cancel}
}

// Accept accepts a connection, and waits until a socket of the budget is free for it. During a drain it empties the backlog,
// then closes the listener. It accepts first, so that sockets are reclaimed only if a connection does wait; the one that waits
// uses a descriptor reserved for the process itself.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.takeTurn()
		startedAt := time.Now()
		tcp, err := l.AcceptTCP()
		if time.Since(startedAt) >= emptyBacklogTime {
			l.shortSince.Store(nil)
		}
		switch {
		case err == nil:
			if l.emptyingBacklog {
				l.SetDeadline(l.quietDeadline())
			}
			if !l.awaitSocket(tcp) {
				l.refuseBacklog(tcp)
				return nil, net.ErrClosed
			}
			return newConn(tcp, &l.limits, l.openConns, &l.ending), nil
		case errors.Is(err, os.ErrDeadlineExceeded) && !l.emptyingBacklog:
			// Closing the listener now would reset the connections in the backlog.
			l.emptyingBacklog = true
			l.SetDeadline(l.quietDeadline())
		case errors.Is(err, os.ErrDeadlineExceeded):
			l.refuseBacklog(nil)
			return nil, net.ErrClosed
		case sockets.AcceptMayPass(err):
			l.onAcceptError(err)
			time.Sleep(sockets.TransientPause)
		default:
			return nil, err
		}
	}
}

// takeTurn lets all other goroutines that can run have their turn after acceptsPerTurn accepts.
func (l *listener) takeTurn() {
	if l.acceptsInTurn++; l.acceptsInTurn > acceptsPerTurn {
		l.acceptsInTurn = 1
		runtime.Gosched()
	}
}

// awaitSocket acquires a socket of the budget for a connection. It returns false if there is none until a drain has emptied the
// backlog. It acquires for a while at a time, so that each time a connection to close is looked for anew: one that was within
// its grace before may be past it.
func (l *listener) awaitSocket(tcp *net.TCPConn) bool {
	if l.limits.Sockets.TryAcquire() {
		return true
	}
	now := time.Now()
	waitingSince := now.Add(-readTCPState(tcp).sinceLastByte)
	l.waitingSince.Store(&waitingSince)
	defer l.waitingSince.Store(nil)
	l.shortSince.CompareAndSwap(nil, &now)
	for {
		ctx, cancel := context.WithTimeout(l.ctx, reclaimInterval)
		err := l.limits.Sockets.Acquire(ctx)
		cancel()
		if err == nil {
			return true
		}
		if l.ctx.Err() != nil {
			return false
		}
		l.onShortage(l.shortage().waited)
	}
}

// shortage returns how long connections have been waiting for a socket. It is zero if none waits.
func (l *listener) shortage() shortage {
	waitingSince, shortSince := l.waitingSince.Load(), l.shortSince.Load()
	if waitingSince == nil || shortSince == nil {
		return shortage{}
	}
	return shortage{waited: time.Since(*waitingSince), lasted: time.Since(*shortSince)}
}

// quietDeadline returns when the backlog counts as empty unless a connection arrives before. It is limited by
// backlogDeadline, because the backlog would never be empty while bad clients connect without a pause.
func (l *listener) quietDeadline() time.Time {
	if deadline := time.Now().Add(backlogQuietTime); deadline.Before(*l.backlogDeadline.Load()) {
		return deadline
	}
	return *l.backlogDeadline.Load()
}

// listenerCloseTime is how long closing the listener may take: the kernel resets each connection that is left in its backlog.
const listenerCloseTime = 100 * time.Millisecond

// drain lets the listener accept connections for drainAcceptTime, then empty the backlog and close. Where lastAnswer, the time by which
// the last answer must be written, comes soon, all of it ends before.
func (l *listener) drain(lastAnswer time.Time) {
	now := time.Now()
	end := lastAnswer.Add(-listenerCloseTime)
	emptiedBy := earlier(now.Add(drainAcceptTime+4*backlogQuietTime), end.Add(-refusalPeriod/2))
	l.drainEnd.Store(&end)
	l.backlogDeadline.Store(&emptiedBy)
	l.SetDeadline(earlier(now.Add(drainAcceptTime), emptiedBy.Add(-2*backlogQuietTime)))
	time.AfterFunc(time.Until(emptiedBy), l.cancel) // ends an Accept that waits for a socket
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
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

// refuseBacklog answers the requests in the backlog with a nack, and closes the listener. The first is that of a connection
// that was accepted and got no socket, unless it is nil. A request whose connection the
// kernel has accepted counts as taken. If the budget is still used up, or clients connect without a pause, closing the
// listener at once would reset such a request unanswered.
func (l *listener) refuseBacklog(first *net.TCPConn) {
	end := earlier(time.Now().Add(refusalPeriod), *l.drainEnd.Load())
	var refusals sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRefusals)
	startRefusal := func(tcp *net.TCPConn) {
		slots <- struct{}{}
		refusals.Go(func() {
			refuse(tcp)
			<-slots
		})
	}
	if first != nil {
		startRefusal(first)
	}
	for acceptDeadline := time.Now().Add(refusalTimeout); acceptDeadline.Before(end); acceptDeadline = time.Now().Add(refusalTimeout) {
		l.SetDeadline(acceptDeadline)
		tcp, err := l.AcceptTCP()
		switch {
		case err == nil:
			startRefusal(tcp)
		case sockets.AcceptMayPass(err):
			l.onAcceptError(err)
			time.Sleep(sockets.TransientPause)
		default: // the backlog is empty
			end = acceptDeadline
		}
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
			io.WriteString(tcp, refusalAnswer)
			tcp.CloseWrite()
			io.Copy(io.Discard, in)
		}
	}
}
