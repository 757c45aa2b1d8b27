// Package sockets is the one budget of a process's sockets: clients, servers and the registry draw on it.
package sockets

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

const (
	// reserve is kept for the runtime's own files: standard streams, the poller, the listener, files being read.
	reserve = 24
	// registryShare is kept for the registry: a watch, a whole list, and one of each being given up.
	registryShare = 4
)

// Part is a share of the budget. What a part holds never exceeds it, so that no side can starve another: clients
// in number can't take the sockets that answer them.
type Budget struct {
	room    *semaphore.Weighted
	shed    func() // gives idle connections back; called when the part runs short
	size    int
	waiting atomic.Int32
}

// Split divides the limit of a process among clients, servers and the registry, and says how many ops may be in
// hand at once: each holds a client's socket and one to a server.
//
// Danger: an op whose connection waits in the backlog has been taken, and is lost at its deadline. So clients
// have room beyond the ops in hand, in which one more is read and answered at once. Danger: a node's own
// shortage would look like servers that can't be reached. So servers have room for second pushes and for
// connections that are just being closed.
func Split(limit int) (clients, servers, registry *Budget, ops int) {
	rest := limit - reserve - registryShare
	forServers := rest * 15 / 32
	return NewBudget(rest - forServers), NewBudget(forServers), NewBudget(registryShare), rest * 13 / 32
}

// NewPart makes a part of so many sockets.
func NewBudget(size int) *Budget {
	return &Budget{room: semaphore.NewWeighted(int64(size)), shed: func() {}, size: size}
}

// Size is how many sockets the part may hold.
func (p *Budget) Size() int { return p.size }

// OnShort names what gives idle connections back. It must be called before the part is used.
func (p *Budget) OnExhausted(shed func()) { p.shed = shed }

// Take takes room for one socket; when there is none, idle connections go first and Take waits until ctx is
// done.
func (p *Budget) Acquire(ctx context.Context) error {
	if p.room.TryAcquire(1) {
		return nil
	}
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	p.shed()
	return p.room.Acquire(ctx, 1)
}

// Waiting is how many wait for room.
func (p *Budget) Waiters() int { return int(p.waiting.Load()) }

// Idle says that a connection has fallen idle. Danger: one that does so while somebody waits for room would keep
// it, and the one that waits would wait as long as it stays idle.
func (p *Budget) NotifyIdle() {
	if p.Waiters() > 0 {
		p.shed()
	}
}

// Give gives the room of one socket back that never opened.
func (p *Budget) Release() { p.room.Release(1) }

// Own makes conn the owner of the room taken for it, until it is closed.
func (p *Budget) Wrap(conn net.Conn) *Conn { return &Conn{Conn: conn, part: p} }

// Conn gives its room back when it is closed, once.
type Conn struct {
	net.Conn
	part *Budget
	once sync.Once
}

func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.part.Release)
	return err
}

// Dialer opens connections within a part.
type Dialer struct {
	net.Dialer
	Budget *Budget
}

// Dial opens a connection within the dialer's Timeout, the wait for room included.
func (d *Dialer) Dial(ctx context.Context, network, addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	if err := d.Budget.Acquire(ctx); err != nil {
		return nil, err
	}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		d.Budget.Release()
		return nil, err
	}
	return d.Budget.Wrap(conn), nil
}
