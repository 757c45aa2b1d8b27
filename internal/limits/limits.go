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
	for i, p := range r.Pools {
		switch {
		case p.Guaranteed < 0 || p.Max < 0:
			return fmt.Errorf("pool %d: guaranteed and most must not be negative", i)
		case p.Max > 0 && p.Max < p.Guaranteed:
			return fmt.Errorf("pool %d: most is %d, under the guaranteed %d", i, p.Max, p.Guaranteed)
		}
		if sum += p.Guaranteed; sum > r.Capacity {
			return fmt.Errorf("pool %d: the guaranteed parts add up to more than the room of %d", i, r.Capacity)
		}
	}
	for i, most := range r.Tenants {
		if most < 0 {
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
	rule    Config
	pools   []int // in hand
	tenants []int
	held    int // in all
	free    int // room that nobody holds and nobody is guaranteed; negative while a new rule is tighter than what is in hand
	again   float64
}

// New makes the state of a node with nothing in hand. The rule must pass Check.
func New(rule Config) *Limiter {
	l := &Limiter{rule: rule, pools: make([]int, len(rule.Pools)), tenants: make([]int, len(rule.Tenants)), again: rule.RetryBudget.Burst}
	l.count()
	return l
}

// count computes the free room: what is left once each pool has what it holds, or what it is guaranteed if that is more.
func (l *Limiter) count() {
	l.free, l.held = l.rule.Capacity, 0
	for i, held := range l.pools {
		l.free -= max(held, l.rule.Pools[i].Guaranteed)
		l.held += held
	}
}

// Take takes room for an op, or says why there is none.
//
// A pool borrows from the free room only as much as it leaves there, so that one that fills up takes half of it, two a
// third each (Choudhury and Hahne, Dynamic Queue Length Thresholds, 1998). Guaranteed room is never lent: an op in
// hand can't be taken back, and its owner would wait for as long as it lasts.
func (l *Limiter) Acquire(pool PoolIndex, tenant TenantIndex) Result {
	part, held := l.rule.Pools[pool], l.pools[pool]
	if tenant != NoTenant {
		if most := l.rule.Tenants[tenant]; most > 0 && l.tenants[tenant] >= most {
			return TenantFull
		}
	}
	if part.Max > 0 && held >= part.Max {
		return PoolFull
	}
	if held >= part.Guaranteed {
		switch borrowed := held - part.Guaranteed; {
		case l.free <= 0:
			return NodeFull
		case borrowed >= l.free:
			return PoolFull
		}
		l.free--
	} else if l.held >= l.rule.Capacity {
		return NodeFull // only after a rule that is tighter than what was in hand
	}
	l.pools[pool]++
	l.held++
	if tenant != NoTenant {
		l.tenants[tenant]++
	}
	return Acquired
}

// Give gives an op's room back, once.
func (l *Limiter) Release(pool PoolIndex, tenant TenantIndex) {
	l.pools[pool]--
	l.held--
	if l.pools[pool] >= l.rule.Pools[pool].Guaranteed {
		l.free++
	}
	if tenant != NoTenant {
		l.tenants[tenant]--
	}
}

// Held is what a pool has in hand; Free the room that could be lent.
func (l *Limiter) Pending(pool PoolIndex) int { return l.pools[pool] }
func (l *Limiter) FreeCapacity() int          { return l.free }

// Change takes over another rule. What is in hand stays in hand; poolWas and tenantWas give each new place its old one, or
// -1. Where a limit is now under what is in hand, nothing new is taken until enough has been given back. Places that are
// gone must have nothing in hand any more, or be kept at the end of the new rule.
func (l *Limiter) Reconfigure(rule Config, poolWas, tenantWas []int) {
	pools, tenants := make([]int, len(rule.Pools)), make([]int, len(rule.Tenants))
	for i, was := range poolWas {
		if was >= 0 {
			pools[i] = l.pools[was]
		}
	}
	for i, was := range tenantWas {
		if was >= 0 {
			tenants[i] = l.tenants[was]
		}
	}
	l.rule, l.pools, l.tenants = rule, pools, tenants
	l.again = min(l.again, rule.RetryBudget.Burst)
	l.count()
}

// First books an op's first push: it earns a share of a further one.
func (l *Limiter) RecordFirstPush() {
	l.again = min(l.again+l.rule.RetryBudget.Ratio, l.rule.RetryBudget.Burst)
}

// Further says whether a further push may go, and books it.
func (l *Limiter) AllowFurtherPush() bool {
	if l.rule.RetryBudget.Ratio == 0 {
		return true
	}
	if l.again < 1 {
		return false
	}
	l.again--
	return true
}
