package scale

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/lab/harness"
	"canvasrouter/internal/node"
	"canvasrouter/internal/registry"
	"canvasrouter/internal/sockets"
	standin "canvasrouter/internal/standin/registry"
	"canvasrouter/policy"
)

// ResourceEstimate describes the most processes and memory that a measurement will need.
func ResourceEstimate(kind string, sizes []int) string {
	largest := slices.Max(sizes)
	if kind == KindReal {
		return fmt.Sprintf("at most %d processes and some %d MB at a time", largest, 30*largest)
	}
	return fmt.Sprintf("one process, at most some %d MB", 200+2*largest+largest*largest/200)
}

// drainGrace is the drain grace of the deployment; the retries of a failed watch depend on it.
const drainGrace = 1500 * time.Millisecond

// restartShare is the share of the servers that a release restarts: 180 of 900.
const restartShare = 1.0 / zones

// MeasureList measures the server list at one size. The real registry client of each node runs in this process, and all
// watch one stand-in registry. A release restarts a fifth of the listed servers. Then the registry goes down for two
// seconds, and all clients reopen their watches.
func MeasureList(ctx context.Context, nodes, calledServices int, calmTime time.Duration, seed uint64, progress ProgressFunc) (point Point, err error) {
	point = Point{Nodes: nodes, Values: map[string]float64{}}
	servers := calledServices * perService
	var entries []standin.Entry
	for i := range servers {
		entries = append(entries, standin.Entry{Server: i, Zone: i % zones, Weight: 1})
	}
	options := standin.Options{Zones: []string{"a", "b", "c", "d", "e"}, MachineTypes: []string{"m"}, OnSent: func(int, []standin.Entry, bool) {},
		Addr: func(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1+i) }}
	service := standin.NewService(standin.NewCatalog(entries, false), 0, options)
	defer service.Close()
	timerLag := harness.NewTimerLag()
	var mu sync.Mutex
	listedAt := map[int]time.Time{} // when each restart was listed, by its start time in µs
	var latencies []float64
	watching := make([]bool, nodes)
	followCtx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer func() {
		stop()
		clients.Wait()
	}()
	for i := range nodes {
		addr, err := service.Listen(i)
		if err != nil {
			return point, err
		}
		client := registry.New(registry.Options{Addr: addr, Zones: options.Zones, MachineTypes: options.MachineTypes, AutoWatch: true, BaseRetryDelay: time.Second, DrainGrace: drainGrace, Seed: seed + uint64(i)},
			sockets.NewBudget(4), zerolog.Nop())
		clients.Go(func() {
			client.Run(followCtx, func(update *node.List) {
				now := time.Now()
				mu.Lock()
				defer mu.Unlock()
				watching[i] = update.Form != policy.ListFailed
				if update.Form != policy.ListChanges {
					return
				}
				for _, e := range update.Entries {
					if changedAt, known := listedAt[int(e.StartedAt)]; known {
						latencies = append(latencies, now.Sub(changedAt).Seconds()*1000)
					}
				}
			})
		})
	}
	followers := func() (count int) {
		mu.Lock()
		defer mu.Unlock()
		for _, isWatching := range watching {
			if isWatching {
				count++
			}
		}
		return count
	}
	waitUntil := func(stage string, timeout time.Duration, isDone func() bool) time.Duration {
		started := time.Now()
		for !isDone() && err == nil {
			sleep(ctx, 10*time.Millisecond)
			if time.Since(started) > timeout || ctx.Err() != nil {
				err = fmt.Errorf("%s: not within %v: %d of %d nodes follow", stage, timeout, followers(), nodes)
			}
		}
		return time.Since(started)
	}
	opened := waitUntil("first watches", 30*time.Second, func() bool { return followers() == nodes })
	calls, bytesBefore := service.Counts()
	point.Values["opened_s"] = roundFigure(opened.Seconds())
	point.Values["first_bytes"] = roundFigure(float64(bytesBefore) / float64(nodes))
	sleep(ctx, time.Second) // to start between two keepalive lines, so that all of those in the calm time count
	sleep(ctx, calmTime)
	_, bytesAfter := service.Counts()
	point.Values["calm_bytes"] = roundFigure(float64(bytesAfter-bytesBefore) / float64(nodes) / calmTime.Seconds())
	// The release: restarts at even intervals over the calm time. Each server is listed as draining and then as restarted.
	bytesBefore = bytesAfter
	restarts := max(1, int(restartShare*float64(servers)))
	step := calmTime / time.Duration(restarts)
	for i := range restarts {
		service.Update(func(c *standin.Catalog) {
			c.SetEntry(standin.Entry{Server: i, Zone: i % zones, Weight: 1, State: policy.Draining})
		})
		sleep(ctx, step/2)
		service.Update(func(c *standin.Catalog) {
			started := policy.Micros(1000 * (i + 1))
			mu.Lock()
			listedAt[int(started)] = time.Now()
			mu.Unlock()
			c.SetEntry(standin.Entry{Server: i, Zone: i % zones, Weight: 1, StartedAt: started})
		})
		sleep(ctx, step/2)
	}
	waitUntil("changes", 30*time.Second, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(latencies) >= nodes*restarts
	})
	_, bytesAfter = service.Counts()
	point.Values["restart_bytes"] = roundFigure(float64(bytesAfter-bytesBefore) / float64(nodes) / float64(restarts))
	mu.Lock()
	slices.Sort(latencies)
	if len(latencies) > 0 {
		point.Values["change_p50_ms"] = roundFigure(latencies[len(latencies)/2])
		point.Values["change_most_ms"] = roundFigure(latencies[len(latencies)-1])
	}
	mu.Unlock()
	calls, _ = service.Counts()
	service.SetDown(true)
	sleep(ctx, 2*time.Second)
	callsAfter, _ := service.Counts()
	point.Values["down_calls_s"] = roundFigure(float64(callsAfter-calls) / 2 / float64(nodes))
	service.SetDown(false)
	reopened := waitUntil("watches after the registry's return", 30*time.Second, func() bool { return followers() == nodes })
	point.Values["reopened_s"] = roundFigure(reopened.Seconds())
	worstLag, meanLag := timerLag.Stop()
	if meanLag > maxMeanLag {
		point.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", meanLag.Round(time.Millisecond))
	}
	progress("%d nodes, %d servers listed: opened in %v, a change in force everywhere after at most %.0f ms, reopened in %v; harness late by up to %v", nodes, servers,
		opened.Round(time.Millisecond), point.Values["change_most_ms"], reopened.Round(time.Millisecond), worstLag.Round(time.Millisecond))
	for name, v := range point.Values {
		if math.IsNaN(v) {
			point.Values[name] = 0
		}
	}
	return point, err
}
