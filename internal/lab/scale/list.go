package scale

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/lab/together"
	"canvasrouter/internal/node"
	"canvasrouter/internal/registry"
	"canvasrouter/internal/sockets"
	standin "canvasrouter/internal/standin/registry"
	"canvasrouter/policy"
)

// Bounds says beforehand what a run takes at the most.
func ResourceEstimate(kind string, sizes []int) string {
	largest := slices.Max(sizes)
	if kind == KindReal {
		return fmt.Sprintf("at most %d processes and some %d MB at a time", largest, 30*largest)
	}
	return fmt.Sprintf("one process, at most some %d MB", 200+2*largest+largest*largest/200)
}

// drainGrace is the deployment's, as processes of a scale run have it: watches that fail go by it.
const drainGrace = 1500 * time.Millisecond

// restarts is the share of the servers that a release restarts: 180 of 900.
const restarts = 1.0 / zones

// List plays one size: so many nodes follow the list, the real actor each, from one stand-in registry. A release restarts a
// fifth of the servers listed, then the registry goes down for two seconds and all open their watches anew.
func MeasureList(ctx context.Context, nodes, called int, calm time.Duration, seed uint64, tell ProgressFunc) (p Point, err error) {
	p = Point{Nodes: nodes, Values: map[string]float64{}}
	servers := called * perService
	var entries []standin.Entry
	for i := range servers {
		entries = append(entries, standin.Entry{Server: i, Zone: i % zones, Weight: 1})
	}
	words := standin.Options{Zones: []string{"a", "b", "c", "d", "e"}, MachineTypes: []string{"m"}, OnSent: func(int, []standin.Entry, bool) {},
		Addr: func(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1+i) }}
	service := standin.NewService(standin.NewCatalog(entries, false), 0, words)
	defer service.Close()
	lag := together.NewTimerLag()
	var mu sync.Mutex
	changed := map[int]time.Time{} // when a server's present start was listed
	var took []float64
	watching := make([]bool, nodes)
	follow, stop := context.WithCancel(ctx)
	var over sync.WaitGroup
	defer func() { stop(); over.Wait() }()
	for i := range nodes {
		addr, err := service.Listen(i)
		if err != nil {
			return p, err
		}
		r := registry.New(registry.Options{Addr: addr, Zones: words.Zones, MachineTypes: words.MachineTypes, AutoWatch: true, BaseRetryDelay: time.Second, DrainGrace: drainGrace, Seed: seed + uint64(i)},
			sockets.NewBudget(4), zerolog.Nop())
		over.Go(func() {
			r.Run(follow, func(l *node.List) {
				now := time.Now()
				mu.Lock()
				defer mu.Unlock()
				if watching[i] = l.Form != policy.ListFailed; l.Form != policy.ListChanges {
					return
				}
				for _, e := range l.Entries {
					if at, known := changed[int(e.StartedAt)]; known {
						took = append(took, now.Sub(at).Seconds()*1000)
					}
				}
			})
		})
	}
	follows := func() (n int) {
		mu.Lock()
		defer mu.Unlock()
		for _, is := range watching {
			if is {
				n++
			}
		}
		return n
	}
	until := func(what string, most time.Duration, is func() bool) time.Duration {
		begun := time.Now()
		for !is() && err == nil {
			if wait(ctx, 10*time.Millisecond); time.Since(begun) > most || ctx.Err() != nil {
				err = fmt.Errorf("%s: not within %v: %d of %d nodes follow", what, most, follows(), nodes)
			}
		}
		return time.Since(begun)
	}
	opened := until("first watches", 30*time.Second, func() bool { return follows() == nodes })
	calls, bytes := service.Counts()
	p.Values["opened_s"], p.Values["first_bytes"] = round(opened.Seconds()), round(float64(bytes)/float64(nodes))
	wait(ctx, time.Second) // between two of the empty lines: all of those that come in the span are counted
	wait(ctx, calm)
	_, after := service.Counts()
	p.Values["calm_bytes"] = round(float64(after-bytes) / float64(nodes) / calm.Seconds())
	// The release: restarts in step over the span, each listed as leaving, left and started anew.
	bytes = after
	many := max(1, int(restarts*float64(servers)))
	step := calm / time.Duration(many)
	for i := range many {
		service.Update(func(c *standin.Catalog) {
			c.SetEntry(standin.Entry{Server: i, Zone: i % zones, Weight: 1, State: policy.Draining})
		})
		wait(ctx, step/2)
		service.Update(func(c *standin.Catalog) {
			started := policy.Micros(1000 * (i + 1))
			mu.Lock()
			changed[int(started)] = time.Now()
			mu.Unlock()
			c.SetEntry(standin.Entry{Server: i, Zone: i % zones, Weight: 1, StartedAt: started})
		})
		wait(ctx, step/2)
	}
	until("changes", 30*time.Second, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(took) >= nodes*many
	})
	_, after = service.Counts()
	p.Values["restart_bytes"] = round(float64(after-bytes) / float64(nodes) / float64(many))
	mu.Lock()
	slices.Sort(took)
	if len(took) > 0 {
		p.Values["change_p50_ms"], p.Values["change_most_ms"] = round(took[len(took)/2]), round(took[len(took)-1])
	}
	mu.Unlock()
	calls, _ = service.Counts()
	service.SetDown(true)
	wait(ctx, 2*time.Second)
	down, _ := service.Counts()
	p.Values["down_calls_s"] = round(float64(down-calls) / 2 / float64(nodes))
	service.SetDown(false)
	reopened := until("watches after the registry's return", 30*time.Second, func() bool { return follows() == nodes })
	p.Values["reopened_s"] = round(reopened.Seconds())
	late, mean := lag.Stop()
	if mean > mostLate {
		p.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", mean.Round(time.Millisecond))
	}
	tell("%d nodes, %d servers listed: opened in %v, a change in force everywhere after %.0f ms at the most, reopened in %v; rig late %v", nodes, servers,
		opened.Round(time.Millisecond), p.Values["change_most_ms"], reopened.Round(time.Millisecond), late.Round(time.Millisecond))
	for name, v := range p.Values {
		if math.IsNaN(v) {
			p.Values[name] = 0
		}
	}
	return p, err
}
