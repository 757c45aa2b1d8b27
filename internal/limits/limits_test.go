package limits

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Whatever comes and goes, and however the rule changes: a pool gets its guaranteed room at once, nothing is held beyond
// the room once a tighter rule has taken effect, and all that was taken can be given back.
func TestLimiterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawConfig := func() Config {
			config := Config{Capacity: rapid.IntRange(1, 60).Draw(t, "room"), Tenants: []int{rapid.IntRange(0, 10).Draw(t, "tenant"), 0}}
			unreserved := config.Capacity
			for range 3 {
				guaranteed := rapid.IntRange(0, unreserved).Draw(t, "guaranteed")
				unreserved -= guaranteed
				pool := PoolLimit{Guaranteed: guaranteed}
				if rapid.Bool().Draw(t, "bounded") {
					pool.Max = max(1, guaranteed+rapid.IntRange(0, 10).Draw(t, "more"))
				}
				config.Pools = append(config.Pools, pool)
			}
			if err := config.Validate(); err != nil {
				t.Fatal(err)
			}
			return config
		}
		config := drawConfig()
		limiter := New(config)
		type op struct {
			pool   PoolIndex
			tenant TenantIndex
		}
		var pending []op
		overCommitted := false // a rule came that is tighter than what was in hand
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				next := op{PoolIndex(rapid.IntRange(0, 2).Draw(t, "pool")), []TenantIndex{0, 1, NoTenant}[rapid.IntRange(0, 2).Draw(t, "tenant")]}
				pendingBefore := limiter.Pending(next.pool)
				result := limiter.Acquire(next.pool, next.tenant)
				if result == Acquired {
					pending = append(pending, next)
				} else if next.tenant != 0 && pendingBefore < config.Pools[next.pool].Guaranteed && !overCommitted {
					t.Fatalf("%s with %d of %d guaranteed in hand", result, pendingBefore, config.Pools[next.pool].Guaranteed)
				}
			},
			"give": func(t *rapid.T) {
				if len(pending) == 0 {
					return
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
				limiter.Release(pending[i].pool, pending[i].tenant)
				pending = append(pending[:i], pending[i+1:]...)
			},
			"change": func(t *rapid.T) {
				config = drawConfig()
				limiter.Reconfigure(config, []int{0, 1, 2}, []int{0, 1})
			},
			"": func(t *rapid.T) {
				count, free, tenant := [3]int{}, config.Capacity, 0
				for _, next := range pending {
					count[next.pool]++
					if next.tenant == 0 {
						tenant++
					}
				}
				for i, n := range count {
					if limiter.Pending(PoolIndex(i)) != n {
						t.Fatalf("pool %d: %d in hand, %d counted", i, n, limiter.Pending(PoolIndex(i)))
					}
					free -= max(n, config.Pools[i].Guaranteed)
				}
				if limiter.FreeCapacity() != free {
					t.Fatalf("free %d, counted %d", free, limiter.FreeCapacity())
				}
				overCommitted = free < 0
			},
		})
		for _, next := range pending {
			limiter.Release(next.pool, next.tenant)
		}
		for i := range config.Pools {
			if limiter.Pending(PoolIndex(i)) != 0 {
				t.Fatalf("pool %d keeps %d", i, limiter.Pending(PoolIndex(i)))
			}
		}
	})
}

// One pool that fills up takes half of the free room, and a second still finds some.
func TestBorrowing(t *testing.T) {
	limiter := New(Config{Capacity: 100, Pools: []PoolLimit{{Guaranteed: 20}, {Guaranteed: 20}}})
	fill := func(pool PoolIndex) (n int) {
		for limiter.Acquire(pool, NoTenant) == Acquired {
			n++
		}
		return n
	}
	if first, second := fill(0), fill(1); first != 50 || second != 35 {
		t.Errorf("took %d and %d", first, second)
	}
	limiter.Release(0, NoTenant)
	if got := limiter.Acquire(0, NoTenant); got == Acquired { // what it gave back is for whoever holds less
		if limiter.Pending(0) > 50 {
			t.Errorf("took it back: %d", limiter.Pending(0))
		}
	}
}

// A limit lowered under what is in hand takes nothing new until enough has gone, and never cuts.
func TestLoweredLimit(t *testing.T) {
	limiter := New(Config{Capacity: 10, Pools: []PoolLimit{{}}, Tenants: []int{5}})
	for range 4 {
		limiter.Acquire(0, 0)
	}
	limiter.Reconfigure(Config{Capacity: 10, Pools: []PoolLimit{{}}, Tenants: []int{2}}, []int{0}, []int{0})
	for n := 4; n >= 2; n-- {
		if got := limiter.Acquire(0, 0); got != TenantFull {
			t.Errorf("%d in hand of 2: %s", n, got)
		}
		limiter.Release(0, 0)
	}
	if got := limiter.Acquire(0, 0); got != Acquired {
		t.Errorf("one in hand of 2: %s", got)
	}
}

// Further pushes stay under their share of the first ones, and what is saved up is bounded.
func TestRetryBudget(t *testing.T) {
	limiter := New(Config{Capacity: 1, RetryBudget: RetryBudget{Ratio: 0.125, Burst: 10}})
	further := 0
	for range 1000 {
		limiter.RecordFirstPush()
		for range 3 { // everything fails
			if limiter.AllowFurtherPush() {
				further++
			}
		}
	}
	if further < 125 || further > 135 {
		t.Errorf("%d further pushes for 1000 first ones", further)
	}
	for range 1000 {
		limiter.RecordFirstPush()
	}
	saved := 0
	for limiter.AllowFurtherPush() {
		saved++
	}
	if saved != 10 || !New(Config{Capacity: 1}).AllowFurtherPush() {
		t.Errorf("%d saved up", saved)
	}
}

func TestConfigValidate(t *testing.T) {
	for want, config := range map[string]Config{
		"add up to more":      {Capacity: 10, Pools: []PoolLimit{{Guaranteed: 6}, {Guaranteed: 5}}},
		"under the":           {Capacity: 10, Pools: []PoolLimit{{Guaranteed: 6, Max: 5}}},
		"pool 0: guaranteed ": {Capacity: 10, Pools: []PoolLimit{{Guaranteed: -1}}},
		"tenant 0":            {Capacity: 10, Tenants: []int{-1}},
		"again":               {RetryBudget: RetryBudget{Ratio: -1}},
	} {
		if err := config.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v", config, err)
		}
	}
}
