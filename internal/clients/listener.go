package clients

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
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
	part *sockets.Part
	ctx  context.Context // done when nothing more is to be taken
	end  context.CancelFunc
	last bool // past linger: the backlog is being emptied
}

func newListener(tcp *net.TCPListener, part *sockets.Part) *listener {
	ctx, end := context.WithCancel(context.Background())
	return &listener{TCPListener: tcp, part: part, ctx: ctx, end: end}
}

func (l *listener) Accept() (net.Conn, error) {
	if l.part.Take(l.ctx) != nil {
		l.TCPListener.Close()
		return nil, net.ErrClosed
	}
	for {
		conn, err := l.AcceptTCP()
		switch {
		case err == nil:
			if l.last {
				l.SetDeadline(time.Now().Add(quietWindow))
			}
			return l.part.Own(conn), nil
		case errors.Is(err, os.ErrDeadlineExceeded) && !l.last:
			// Danger: closing now would reset connections that wait in the backlog.
			l.last = true
			l.SetDeadline(time.Now().Add(quietWindow))
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			err = net.ErrClosed
			l.TCPListener.Close()
		}
		l.part.Give()
		return nil, err
	}
}

// drain takes connections for a while yet, then closes.
func (l *listener) drain() {
	l.SetDeadline(time.Now().Add(linger))
	time.AfterFunc(linger+4*quietWindow, l.end) // should it be waiting for a socket
}

// idlers are the clients' connections between two requests, in the order in which they fell idle.
type idlers struct {
	mu   sync.Mutex
	list []net.Conn
}

// set is told of each change; a connection that is not idle is never in the list.
func (i *idlers) set(conn net.Conn, idle bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for k, c := range i.list {
		if c == conn {
			i.list = append(i.list[:k], i.list[k+1:]...)
			break
		}
	}
	if idle {
		i.list = append(i.list, conn)
	}
}

// shed closes the connection that has been idle longest. It is closed inside the lock, so that it can't have
// become a running op's meanwhile.
func (i *idlers) shed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.list) > 0 {
		i.list[0].Close()
		i.list = i.list[1:]
	}
}
