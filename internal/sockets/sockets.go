// Package sockets divides the sockets that a process may open among clients, servers and the registry.
package sockets

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

const (
	// reservedFiles are the file descriptors kept for the process itself: standard streams, the poller, the listener and
	// files being read.
	reservedFiles = 24
	// registrySockets are the sockets for the registry: a watch, a request for the full list, and one of each that is being
	// closed.
	registrySockets = 4
	// clientSocketBytes is the memory that a client's connection may take with the head of a request that is being read.
	clientSocketBytes = 32 << 10
)

// Budget limits the number of open sockets for one purpose. Separate budgets keep one side from starving another: many clients
// can't take the sockets to the servers that answer them.
type Budget struct {
	slots     *semaphore.Weighted
	closeIdle func() // closes a connection that can be done without; called when no slot is free
	size      int
	waiters   atomic.Int32 // callers of Acquire that are waiting
}

// Split divides the file descriptor limit of a process among clients, servers and the registry, and returns how many ops may
// be pending at a time. Each op needs a client's socket and one to a server. Clients get no more sockets than a quarter of the
// memory is enough for.
//
// An op whose connection waits in the listener's backlog counts as taken, and would be lost at its deadline. So clients get
// more sockets than there may be pending ops, and excess ops are read and nacked at once. A shortage in this process would
// look like servers that can't be reached. So servers get more sockets than there may be pending ops, for second pushes and
// for connections that are being closed.
func Split(limit, memoryMB int) (clients, servers, registry *Budget, ops int) {
	available := limit - reservedFiles - registrySockets
	serverSockets := available * 15 / 32
	clientSockets := min(available-serverSockets, memoryMB<<20/4/clientSocketBytes)
	ops = min(available*13/32, clientSockets*13/17)
	return NewBudget(clientSockets), NewBudget(serverSockets), NewBudget(registrySockets), ops
}

// NewBudget returns a budget of size sockets.
func NewBudget(size int) *Budget {
	return &Budget{slots: semaphore.NewWeighted(int64(size)), closeIdle: func() {}, size: size}
}

// Size returns the number of sockets in the budget.
func (b *Budget) Size() int { return b.size }

// OnExhausted sets the function that closes an idle connection. It must be called before the budget is used.
func (b *Budget) OnExhausted(closeIdle func()) { b.closeIdle = closeIdle }

// TryAcquire acquires a slot for one socket if one is free.
func (b *Budget) TryAcquire() bool { return b.slots.TryAcquire(1) }

// Acquire acquires a slot for one socket. If no slot is free, it asks for an idle connection to be closed and waits for a slot
// until ctx is done.
func (b *Budget) Acquire(ctx context.Context) error {
	if b.TryAcquire() {
		return nil
	}
	b.waiters.Add(1)
	defer b.waiters.Add(-1)
	b.closeIdle()
	return b.slots.Acquire(ctx, 1)
}

// Waiters returns how many callers of Acquire are waiting.
func (b *Budget) Waiters() int { return int(b.waiters.Load()) }

// NotifyIdle reports that a connection has become idle, or can be closed for another reason. If a caller of Acquire is waiting, a
// connection is closed; otherwise that caller would wait for as long as the connections stay idle.
func (b *Budget) NotifyIdle() {
	if b.Waiters() > 0 {
		b.closeIdle()
	}
}

// Release releases the slot of a socket that was not opened.
func (b *Budget) Release() { b.slots.Release(1) }

// Wrap returns a connection that releases the slot acquired for conn when it is closed.
func (b *Budget) Wrap(conn net.Conn) *Conn { return &Conn{Conn: conn, budget: b} }

// Conn is a connection that releases its slot when it is closed.
type Conn struct {
	net.Conn
	budget      *Budget
	releaseOnce sync.Once
}

// Close closes the connection. The first call releases the slot.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(c.budget.Release)
	return err
}

// Dialer opens connections within a budget.
type Dialer struct {
	net.Dialer
	Budget *Budget
}

// Dial opens a connection. The dialer's Timeout includes the wait for a slot.
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
