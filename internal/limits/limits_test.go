package limits

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Whatever comes and goes, and however the rule changes: a pool gets its guaranteed room at once, nothing is held beyond
// the room once a tighter rule has taken effect, and all that was taken can be given back.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() Config {
			r := Config{Capacity: rapid.IntRange(1, 60).Draw(t, "room"), Tenants: []int{rapid.IntRange(0, 10).Draw(t, "tenant"), 0}}
			left := r.Capacity
			for range 3 {
				g := rapid.IntRange(0, left).Draw(t, "guaranteed")
				left -= g
				p := PoolLimit{Guaranteed: g}
				if rapid.Bool().Draw(t, "bounded") {
					p.Max = max(1, g+rapid.IntRange(0, 10).Draw(t, "more"))
				}
				r.Pools = append(r.Pools, p)
			}
			if err := r.Validate(); err != nil {
				t.Fatal(err)
			}
			return r
		}
		rule := draw()
		l := New(rule)
		type op struct {
			pool   PoolIndex
			tenant TenantIndex
		}
		var held []op
		tight := false // a rule came that is tighter than what was in hand
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				o := op{PoolIndex(rapid.IntRange(0, 2).Draw(t, "pool")), []TenantIndex{0, 1, NoTenant}[rapid.IntRange(0, 2).Draw(t, "tenant")]}
				before := l.Pending(o.pool)
				got := l.Acquire(o.pool, o.tenant)
				if got == Acquired {
					held = append(held, o)
				} else if o.tenant != 0 && before < rule.Pools[o.pool].Guaranteed && !tight {
					t.Fatalf("%s with %d of %d guaranteed in hand", got, before, rule.Pools[o.pool].Guaranteed)
				}
			},
			"give": func(t *rapid.T) {
				if len(held) == 0 {
					return
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				l.Release(held[i].pool, held[i].tenant)
				held = append(held[:i], held[i+1:]...)
			},
			"change": func(t *rapid.T) {
				rule = draw()
				l.Reconfigure(rule, []int{0, 1, 2}, []int{0, 1})
			},
			"": func(t *rapid.T) {
				count, free, tenant := [3]int{}, rule.Capacity, 0
				for _, o := range held {
					count[o.pool]++
					if o.tenant == 0 {
						tenant++
					}
				}
				for i, n := range count {
					if l.Pending(PoolIndex(i)) != n {
						t.Fatalf("pool %d: %d in hand, %d counted", i, n, l.Pending(PoolIndex(i)))
					}
					free -= max(n, rule.Pools[i].Guaranteed)
				}
				if l.FreeCapacity() != free {
					t.Fatalf("free %d, counted %d", free, l.FreeCapacity())
				}
				tight = free < 0
			},
		})
		for _, o := range held {
			l.Release(o.pool, o.tenant)
		}
		for i := range rule.Pools {
			if l.Pending(PoolIndex(i)) != 0 {
				t.Fatalf("pool %d keeps %d", i, l.Pending(PoolIndex(i)))
			}
		}
	})
}

// One pool that fills up takes half of the free room, and a second still finds some.
func TestBorrowing(t *testing.T) {
	l := New(Config{Capacity: 100, Pools: []PoolLimit{{Guaranteed: 20}, {Guaranteed: 20}}})
	fill := func(pool PoolIndex) (n int) {
		for l.Acquire(pool, NoTenant) == Acquired {
			n++
		}
		return n
	}
	if a, b := fill(0), fill(1); a != 50 || b != 35 {
		t.Errorf("took %d and %d", a, b)
	}
	l.Release(0, NoTenant)
	if got := l.Acquire(0, NoTenant); got == Acquired { // what it gave back is for whoever holds less
		if l.Pending(0) > 50 {
			t.Errorf("took it back: %d", l.Pending(0))
		}
	}
}

// A limit lowered under what is in hand takes nothing new until enough has gone, and never cuts.
func TestLowered(t *testing.T) {
	l := New(Config{Capacity: 10, Pools: []PoolLimit{{}}, Tenants: []int{5}})
	for range 4 {
		l.Acquire(0, 0)
	}
	l.Reconfigure(Config{Capacity: 10, Pools: []PoolLimit{{}}, Tenants: []int{2}}, []int{0}, []int{0})
	for n := 4; n >= 2; n-- {
		if got := l.Acquire(0, 0); got != TenantFull {
			t.Errorf("%d in hand of 2: %s", n, got)
		}
		l.Release(0, 0)
	}
	if got := l.Acquire(0, 0); got != Acquired {
		t.Errorf("one in hand of 2: %s", got)
	}
}

// Further pushes stay under their share of the first ones, and what is saved up is bounded.
func TestAgain(t *testing.T) {
	l := New(Config{Capacity: 1, RetryBudget: RetryBudget{Ratio: 0.125, Burst: 10}})
	further := 0
	for range 1000 {
		l.RecordFirstPush()
		for range 3 { // everything fails
			if l.AllowFurtherPush() {
				further++
			}
		}
	}
	if further < 125 || further > 135 {
		t.Errorf("%d further pushes for 1000 first ones", further)
	}
	for range 1000 {
		l.RecordFirstPush()
	}
	n := 0
	for l.AllowFurtherPush() {
		n++
	}
	if n != 10 || !New(Config{Capacity: 1}).AllowFurtherPush() {
		t.Errorf("%d saved up", n)
	}
}

func TestCheck(t *testing.T) {
	for want, r := range map[string]Config{
		"add up to more":      {Capacity: 10, Pools: []PoolLimit{{Guaranteed: 6}, {Guaranteed: 5}}},
		"under the":           {Capacity: 10, Pools: []PoolLimit{{Guaranteed: 6, Max: 5}}},
		"pool 0: guaranteed ": {Capacity: 10, Pools: []PoolLimit{{Guaranteed: -1}}},
		"tenant 0":            {Capacity: 10, Tenants: []int{-1}},
		"again":               {RetryBudget: RetryBudget{Ratio: -1}},
	} {
		if err := r.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v", r, err)
		}
	}
}
