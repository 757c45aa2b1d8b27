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
	emptyingBacklog bool                       // drainAcceptTime has passed
	onShortage      func(waited time.Duration) // called while no socket is free for the next connection

	backlogDeadline atomic.Pointer[time.Time] // when emptying the backlog ends at the latest; set by drain
}

// newListener returns a listener that accepts connections within a budget.
func newListener(tcp *net.TCPListener, budget *sockets.Budget, onShortage func(waited time.Duration)) *listener {
	ctx, cancel := context.WithCancel(context.Background())
	return &listener{TCPListener: tcp, budget: budget, ctx: ctx, cancel: cancel, onShortage: onShortage}
}

// Accept waits for a free socket and accepts a connection. During a drain it empties the backlog, then closes the listener.
func (l *listener) Accept() (net.Conn, error) {
	for startedAt := time.Now(); !l.acquireSocket(); l.onShortage(time.Since(startedAt)) {
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
