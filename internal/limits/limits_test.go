package limits

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestLimiterProperties checks, for random operations and reconfigurations, that a pool gets its guaranteed capacity at
// once, that the counts are exact, and that everything acquired can be released. While the pending ops exceed new
// limits, the guarantee does not hold.
func TestLimiterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawConfig := func() Config {
			config := Config{Capacity: rapid.IntRange(1, 60).Draw(t, "capacity"), Tenants: []int{rapid.IntRange(0, 10).Draw(t, "tenant"), 0}}
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
		overCommitted := false // pending ops exceed limits that were lowered
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				next := op{PoolIndex(rapid.IntRange(0, 2).Draw(t, "pool")), []TenantIndex{0, 1, NoTenant}[rapid.IntRange(0, 2).Draw(t, "tenant")]}
				pendingBefore := limiter.Pending(next.pool)
				result := limiter.Acquire(next.pool, next.tenant)
				if result == Acquired {
					pending = append(pending, next)
				} else if next.tenant != 0 && pendingBefore < config.Pools[next.pool].Guaranteed && !overCommitted {
					t.Fatalf("%s with %d pending of %d guaranteed", result, pendingBefore, config.Pools[next.pool].Guaranteed)
				}
			},
			"release": func(t *rapid.T) {
				if len(pending) == 0 {
					return
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
				limiter.Release(pending[i].pool, pending[i].tenant)
				pending = append(pending[:i], pending[i+1:]...)
			},
			"reconfigure": func(t *rapid.T) {
				config = drawConfig()
				limiter.Reconfigure(config, []int{0, 1, 2}, []int{0, 1})
			},
			"": func(t *rapid.T) {
				count := [3]int{}
				free := config.Capacity
				tenant := 0
				for _, next := range pending {
					count[next.pool]++
					if next.tenant == 0 {
						tenant++
					}
				}
				for i, n := range count {
					if limiter.Pending(PoolIndex(i)) != n {
						t.Fatalf("pool %d: %d pending, counted as %d", i, n, limiter.Pending(PoolIndex(i)))
					}
					free -= max(n, config.Pools[i].Guaranteed)
				}
				if limiter.FreeCapacity() != free {
					t.Fatalf("free capacity %d, counted as %d", free, limiter.FreeCapacity())
				}
				overCommitted = free < 0
			},
		})
		for _, next := range pending {
			limiter.Release(next.pool, next.tenant)
		}
		for i := range config.Pools {
			if limiter.Pending(PoolIndex(i)) != 0 {
				t.Fatalf("pool %d has %d pending ops after all were released", i, limiter.Pending(PoolIndex(i)))
			}
		}
	})
}

// TestBorrowing checks that one busy pool takes half of the free capacity and that a second one can still borrow.
func TestBorrowing(t *testing.T) {
	limiter := New(Config{Capacity: 100, Pools: []PoolLimit{{Guaranteed: 20}, {Guaranteed: 20}}})
	fill := func(pool PoolIndex) (n int) {
		for limiter.Acquire(pool, NoTenant) == Acquired {
			n++
		}
		return n
	}
	if first, second := fill(0), fill(1); first != 50 || second != 35 {
		t.Errorf("acquired %d and %d", first, second)
	}
	limiter.Release(0, NoTenant)
	if got := limiter.Acquire(0, NoTenant); got == Acquired { // the released capacity is for the pool that uses less
		if limiter.Pending(0) > 50 {
			t.Errorf("the pool borrowed the released capacity: %d pending", limiter.Pending(0))
		}
	}
}

// TestLoweredLimit checks that a limit lowered below the pending ops refuses new ops until enough have been released, and
// revokes none.
func TestLoweredLimit(t *testing.T) {
	limiter := New(Config{Capacity: 10, Pools: []PoolLimit{{}}, Tenants: []int{5}})
	for range 4 {
		limiter.Acquire(0, 0)
	}
	limiter.Reconfigure(Config{Capacity: 10, Pools: []PoolLimit{{}}, Tenants: []int{2}}, []int{0}, []int{0})
	for n := 4; n >= 2; n-- {
		if got := limiter.Acquire(0, 0); got != TenantFull {
			t.Errorf("%d pending of 2: %s", n, got)
		}
		limiter.Release(0, 0)
	}
	if got := limiter.Acquire(0, 0); got != Acquired {
		t.Errorf("one pending of 2: %s", got)
	}
}

// TestRetryBudget checks that further pushes stay within their ratio to first pushes, and that the saved budget is bounded.
func TestRetryBudget(t *testing.T) {
	limiter := New(Config{Capacity: 1, RetryBudget: RetryBudget{Ratio: 0.125, Burst: 10}})
	further := 0
	for range 1000 {
		limiter.RecordFirstPush()
		for range 3 { // every push fails
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
		t.Errorf("%d further pushes saved up", saved)
	}
}

// TestConfigValidate checks that each kind of invalid configuration is rejected with an error that names the problem.
func TestConfigValidate(t *testing.T) {
	for want, config := range map[string]Config{
		"add up to more":       {Capacity: 10, Pools: []PoolLimit{{Guaranteed: 6}, {Guaranteed: 5}}},
		"below the guaranteed": {Capacity: 10, Pools: []PoolLimit{{Guaranteed: 6, Max: 5}}},
		"pool 0: guaranteed ":  {Capacity: 10, Pools: []PoolLimit{{Guaranteed: -1}}},
		"tenant 0":             {Capacity: 10, Tenants: []int{-1}},
		"retry budget":         {RetryBudget: RetryBudget{Ratio: -1}},
	} {
		if err := config.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v", config, err)
		}
	}
}
