// Package limits bounds the ops that the pools and tenants of one node may have pending, so that none starves another,
// and the number of further pushes over all pools. It does no I/O and has no clock. A Limiter is not safe for concurrent
// use.
package limits

import "fmt"

// PoolIndex and TenantIndex are the indexes of a pool and of a tenant in the configuration.
type (
	PoolIndex   uint16
	TenantIndex uint16
)

// NoTenant is the tenant index of an op without a tenant.
const NoTenant TenantIndex = 1<<16 - 1

// PoolLimit is the share of one pool in the capacity of the node, in pending ops.
type PoolLimit struct {
	Guaranteed int // reserved for this pool, whatever the others use
	Max        int // 0 for no limit but what the pool can borrow
}

// Config holds the limits of a node. The unit is pending ops, each of which occupies a socket to its client and one to a
// server.
type Config struct {
	Capacity    int // of the node, for all pools together
	Pools       []PoolLimit
	Tenants     []int // maximum of each tenant, over all pools; 0 for no limit
	RetryBudget RetryBudget
}

// RetryBudget bounds the further pushes of ops over all pools together, as a token bucket. The module of each pool has a
// bound of its own, but their sum could still become a retry storm when everything behind them fails at once.
type RetryBudget struct {
	Ratio float64 // further pushes allowed for each first push; 0 for no limit
	Burst float64 // maximum number of further pushes saved up
}

// Validate returns an error if the limits are negative or contradict each other.
func (c *Config) Validate() error {
	sum := 0
	for i, pool := range c.Pools {
		switch {
		case pool.Guaranteed < 0 || pool.Max < 0:
			return fmt.Errorf("pool %d: guaranteed and maximum must not be negative", i)
		case pool.Max > 0 && pool.Max < pool.Guaranteed:
			return fmt.Errorf("pool %d: the maximum of %d is below the guaranteed %d", i, pool.Max, pool.Guaranteed)
		}
		sum += pool.Guaranteed
		if sum > c.Capacity {
			return fmt.Errorf("pool %d: the guaranteed shares add up to more than the capacity of %d", i, c.Capacity)
		}
	}
	for i, limit := range c.Tenants {
		if limit < 0 {
			return fmt.Errorf("tenant %d: the limit must not be negative", i)
		}
	}
	if c.RetryBudget.Ratio < 0 || c.RetryBudget.Burst < 0 {
		return fmt.Errorf("retry budget: ratio and burst must not be negative")
	}
	return nil
}

// Result is the result of Acquire: the op is accepted, or the limit because of which it is refused. A refused op is
// nacked, because no part of it has run.
type Result uint8

const (
	Acquired   Result = iota
	PoolFull          // the pool is at its maximum or can't borrow more
	TenantFull        // the tenant is at its maximum
	NodeFull          // the node has no free capacity
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"taken", "pool full", "tenant full", "node full"}[r]
}

// Limiter counts the pending ops of one node and enforces its limits.
type Limiter struct {
	config        Config
	poolPending   []int // pending ops by pool
	tenantPending []int // pending ops by tenant
	pending       int   // pending ops of all pools
	// freeCapacity is the capacity that is neither used nor guaranteed to a pool. It is negative while new limits are
	// exceeded by the ops that were pending before.
	freeCapacity int
	pushTokens   float64 // further pushes that the retry budget allows now
}

// New returns a Limiter without pending ops. The configuration must be valid.
func New(config Config) *Limiter {
	l := &Limiter{
		config:        config,
		poolPending:   make([]int, len(config.Pools)),
		tenantPending: make([]int, len(config.Tenants)),
		pushTokens:    config.RetryBudget.Burst,
	}
	l.recount()
	return l
}

// recount recomputes the pending ops of all pools and the free capacity: what is left if each pool takes what it uses or
// what it is guaranteed, whichever is more.
func (l *Limiter) recount() {
	l.freeCapacity = l.config.Capacity
	l.pending = 0
	for i, pending := range l.poolPending {
		l.freeCapacity -= max(pending, l.config.Pools[i].Guaranteed)
		l.pending += pending
	}
}

// Acquire reserves capacity for an op, or returns the limit that prevents it.
//
// A pool may borrow only as much of the free capacity as it leaves free. So one busy pool takes half of it and two take a
// third each (Choudhury and Hahne, Dynamic Queue Length Thresholds, 1998). Guaranteed capacity is never lent, because a
// pending op can't be revoked and the pool that owns the guarantee would have to wait until it ends.
func (l *Limiter) Acquire(pool PoolIndex, tenant TenantIndex) Result {
	limit := l.config.Pools[pool]
	pending := l.poolPending[pool]
	if tenant != NoTenant {
		if tenantMax := l.config.Tenants[tenant]; tenantMax > 0 && l.tenantPending[tenant] >= tenantMax {
			return TenantFull
		}
	}
	if limit.Max > 0 && pending >= limit.Max {
		return PoolFull
	}
	if pending >= limit.Guaranteed {
		switch borrowed := pending - limit.Guaranteed; {
		case l.freeCapacity <= 0:
			return NodeFull
		case borrowed >= l.freeCapacity:
			return PoolFull
		}
		l.freeCapacity--
	} else if l.pending >= l.config.Capacity {
		return NodeFull // only after Reconfigure with limits below the pending ops
	}
	l.poolPending[pool]++
	l.pending++
	if tenant != NoTenant {
		l.tenantPending[tenant]++
	}
	return Acquired
}

// Release returns the capacity of an op. It must be called exactly once for each op that was acquired.
func (l *Limiter) Release(pool PoolIndex, tenant TenantIndex) {
	l.poolPending[pool]--
	l.pending--
	if l.poolPending[pool] >= l.config.Pools[pool].Guaranteed {
		l.freeCapacity++
	}
	if tenant != NoTenant {
		l.tenantPending[tenant]--
	}
}

// Pending returns the number of pending ops of a pool.
func (l *Limiter) Pending(pool PoolIndex) int { return l.poolPending[pool] }

// FreeCapacity returns the capacity that is neither used nor guaranteed to a pool.
func (l *Limiter) FreeCapacity() int { return l.freeCapacity }

// Reconfigure replaces the limits. Pending ops are kept: oldPools and oldTenants hold, for each new index, the old index
// of the same pool or tenant, or -1 for a new one. Where a limit is now below the pending ops, no op is accepted until
// enough of them have been released. A pool or tenant that is removed must have no pending op, or else be kept at the
// end of the new configuration.
func (l *Limiter) Reconfigure(config Config, oldPools, oldTenants []int) {
	poolPending := make([]int, len(config.Pools))
	tenantPending := make([]int, len(config.Tenants))
	for i, old := range oldPools {
		if old >= 0 {
			poolPending[i] = l.poolPending[old]
		}
	}
	for i, old := range oldTenants {
		if old >= 0 {
			tenantPending[i] = l.tenantPending[old]
		}
	}
	l.config = config
	l.poolPending = poolPending
	l.tenantPending = tenantPending
	l.pushTokens = min(l.pushTokens, config.RetryBudget.Burst)
	l.recount()
}

// RecordFirstPush counts the first push of an op, which adds Ratio to the retry budget.
func (l *Limiter) RecordFirstPush() {
	l.pushTokens = min(l.pushTokens+l.config.RetryBudget.Ratio, l.config.RetryBudget.Burst)
}

// AllowFurtherPush reports whether the retry budget allows a push beyond the first one of an op, and takes it from the
// budget.
func (l *Limiter) AllowFurtherPush() bool {
	if l.config.RetryBudget.Ratio == 0 {
		return true
	}
	if l.pushTokens < 1 {
		return false
	}
	l.pushTokens--
	return true
}
