// Package limits holds what pools and tenants of one node may have in hand, so that none starves another. It does no I/O
// and has no clock; one goroutine owns it.
package limits

import "fmt"

// Pool and Tenant are places in the configuration. NoTenant is an op without one.
type (
	PoolIndex   uint16
	TenantIndex uint16
)

const NoTenant TenantIndex = 1<<16 - 1

// Part is one pool's part of the node's room.
type PoolLimit struct {
	Guaranteed int // always there for this pool, whatever the others hold
	Max        int // in hand at once; 0: as much as can be borrowed
}

// Rule is the configuration: room in all, in ops in hand (each holds a client's socket and one to a server).
type Config struct {
	Capacity    int
	Pools       []PoolLimit
	Tenants     []int // ops in hand of each, over all pools; 0: no bound
	RetryBudget RetryBudget
}

// Again bounds further pushes over all pools together. Each pool's module has a bound of its own; together they could
// still add up to a storm when everything behind them fails at once.
type RetryBudget struct {
	Ratio float64 // further pushes for each first one; 0: no bound
	Burst float64 // saved up at the most
}

// Check says what is wrong with a rule.
func (r *Config) Validate() error {
	sum := 0
	for i, pool := range r.Pools {
		switch {
		case pool.Guaranteed < 0 || pool.Max < 0:
			return fmt.Errorf("pool %d: guaranteed and most must not be negative", i)
		case pool.Max > 0 && pool.Max < pool.Guaranteed:
			return fmt.Errorf("pool %d: most is %d, under the guaranteed %d", i, pool.Max, pool.Guaranteed)
		}
		if sum += pool.Guaranteed; sum > r.Capacity {
			return fmt.Errorf("pool %d: the guaranteed parts add up to more than the room of %d", i, r.Capacity)
		}
	}
	for i, limit := range r.Tenants {
		if limit < 0 {
			return fmt.Errorf("tenant %d: its limit must not be negative", i)
		}
	}
	if r.RetryBudget.Ratio < 0 || r.RetryBudget.Burst < 0 {
		return fmt.Errorf("again: share and burst must not be negative")
	}
	return nil
}

// Reason says why an op was refused. Nothing of it has run: it is nacked.
type Result uint8

const (
	Acquired Result = iota
	PoolFull
	TenantFull
	NodeFull
)

func (r Result) String() string {
	return [...]string{"taken", "pool full", "tenant full", "node full"}[r]
}

// Limits is the state.
type Limiter struct {
	config        Config
	poolPending   []int // in hand
	tenantPending []int
	pending       int // in all
	freeCapacity  int // room that nobody holds and nobody is guaranteed; negative while a new rule is tighter than what is in hand
	pushTokens    float64
}

// New makes the state of a node with nothing in hand. The rule must pass Check.
func New(config Config) *Limiter {
	l := &Limiter{config: config, poolPending: make([]int, len(config.Pools)), tenantPending: make([]int, len(config.Tenants)), pushTokens: config.RetryBudget.Burst}
	l.recount()
	return l
}

// count computes the free room: what is left once each pool has what it holds, or what it is guaranteed if that is more.
func (l *Limiter) recount() {
	l.freeCapacity, l.pending = l.config.Capacity, 0
	for i, pending := range l.poolPending {
		l.freeCapacity -= max(pending, l.config.Pools[i].Guaranteed)
		l.pending += pending
	}
}

// Take takes room for an op, or says why there is none.
//
// A pool borrows from the free room only as much as it leaves there, so that one that fills up takes half of it, two a
// third each (Choudhury and Hahne, Dynamic Queue Length Thresholds, 1998). Guaranteed room is never lent: an op in
// hand can't be taken back, and its owner would wait for as long as it lasts.
func (l *Limiter) Acquire(pool PoolIndex, tenant TenantIndex) Result {
	limit, pending := l.config.Pools[pool], l.poolPending[pool]
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
		return NodeFull // only after a rule that is tighter than what was in hand
	}
	l.poolPending[pool]++
	l.pending++
	if tenant != NoTenant {
		l.tenantPending[tenant]++
	}
	return Acquired
}

// Give gives an op's room back, once.
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

// Held is what a pool has in hand; Free the room that could be lent.
func (l *Limiter) Pending(pool PoolIndex) int { return l.poolPending[pool] }
func (l *Limiter) FreeCapacity() int          { return l.freeCapacity }

// Change takes over another rule. What is in hand stays in hand; poolWas and tenantWas give each new place its old one, or
// -1. Where a limit is now under what is in hand, nothing new is taken until enough has been given back. Places that are
// gone must have nothing in hand any more, or be kept at the end of the new rule.
func (l *Limiter) Reconfigure(config Config, oldPools, oldTenants []int) {
	poolPending, tenantPending := make([]int, len(config.Pools)), make([]int, len(config.Tenants))
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
	l.config, l.poolPending, l.tenantPending = config, poolPending, tenantPending
	l.pushTokens = min(l.pushTokens, config.RetryBudget.Burst)
	l.recount()
}

// First books an op's first push: it earns a share of a further one.
func (l *Limiter) RecordFirstPush() {
	l.pushTokens = min(l.pushTokens+l.config.RetryBudget.Ratio, l.config.RetryBudget.Burst)
}

// Further says whether a further push may go, and books it.
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
