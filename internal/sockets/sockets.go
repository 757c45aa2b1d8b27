// Package sockets limits the sockets that a process opens for clients, servers and the registry, and their buffers.
package sockets

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Budget limits the number of open sockets for one purpose. Separate budgets keep one side from starving another: many clients
// can't take the sockets to the servers that answer them.
type Budget struct {
	slots     *semaphore.Weighted
	closeIdle func() // closes a connection that can be done without; called when no slot is free
	size      int
	waiters   atomic.Int32 // callers of Acquire that are waiting
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

// Dial opens a connection. The dialer's Timeout includes the wait for a slot. While this machine lacks something for a socket, which
// says nothing about the peer, Dial tries again.
func (d *Dialer) Dial(ctx context.Context, network, addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	if err := d.Budget.Acquire(ctx); err != nil {
		return nil, err
	}
	conn, err := d.DialContext(ctx, network, addr)
	for IsShortage(err) && ctx.Err() == nil {
		time.Sleep(TransientPause)
		conn, err = d.DialContext(ctx, network, addr)
	}
	if err != nil {
		d.Budget.Release()
		return nil, err
	}
	return d.Budget.Wrap(conn), nil
}
