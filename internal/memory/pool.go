package memory

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"
)

// shortageInterval is the time between two calls of the function that makes room while somebody waits for it.
const shortageInterval = 25 * time.Millisecond

// Pool bounds the memory of one kind of content, such as all bodies of requests. It is safe for concurrent use.
type Pool struct {
	free       *semaphore.Weighted // bytes
	limit      int64
	onShortage func()
	used       atomic.Int64
	peak       atomic.Int64
	refused    atomic.Int64
	waiting    atomic.Int64
}

// NewPool returns a pool of a size in bytes, but of no less than its largest reservation.
func NewPool(size, largest int64) *Pool {
	size = max(size, largest)
	return &Pool{free: semaphore.NewWeighted(size), limit: size, onShortage: func() {}}
}

// OnShortage sets a function that makes room, such as by closing a connection. It is called while a reservation waits. It must be
// set before the pool is used.
func (p *Pool) OnShortage(makeRoom func()) { p.onShortage = makeRoom }

// TryReserve reserves memory if there is room.
func (p *Pool) TryReserve(bytes int64) bool {
	if !p.free.TryAcquire(bytes) {
		p.refused.Add(1)
		return false
	}
	p.record(bytes)
	return true
}

// Reserve reserves memory, and waits for room until ctx is done.
func (p *Pool) Reserve(ctx context.Context, bytes int64) error {
	if p.free.TryAcquire(bytes) {
		p.record(bytes)
		return nil
	}
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	for {
		p.onShortage()
		waitCtx, cancel := context.WithTimeout(ctx, shortageInterval)
		err := p.free.Acquire(waitCtx, bytes)
		cancel()
		if err == nil {
			p.record(bytes)
			return nil
		}
		if ctx.Err() != nil {
			p.refused.Add(1)
			return ctx.Err()
		}
	}
}

// Release gives back memory that was reserved.
func (p *Pool) Release(bytes int64) {
	p.used.Add(-bytes)
	p.free.Release(bytes)
}

// record counts a reservation.
func (p *Pool) record(bytes int64) {
	used := p.used.Add(bytes)
	for peak := p.peak.Load(); used > peak && !p.peak.CompareAndSwap(peak, used); peak = p.peak.Load() {
	}
}

// Used returns the memory that is reserved, in bytes.
func (p *Pool) Used() int64 { return p.used.Load() }

// MarshalZerologObject writes the state of the pool: bytes, and how often memory was refused so far.
func (p *Pool) MarshalZerologObject(line *zerolog.Event) {
	line.Int64("limit", p.limit).Int64("used", p.used.Load()).Int64("peak", p.peak.Load()).
		Int64("waiting", p.waiting.Load()).Int64("refused", p.refused.Load())
}
