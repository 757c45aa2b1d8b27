package scale

import (
	"math"
	"sync"
	"testing"
	"time"

	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

// On slowed clocks in-process nodes do everything in the same time by these clocks: they send as many datagrams per second
// and find a killed node as soon. An interval that wrongly stays in real time would make a difference of a factor of two.
func TestSlowedClocks(t *testing.T) {
	const nodes = 12
	type figures struct{ datagrams, found float64 }
	var results [2]figures
	var clusters sync.WaitGroup
	for i, slowdown := range []int{1, 2} {
		clusters.Go(func() {
			cluster, err := NewInProcessCluster(nodes, 5, 0, slowdown, 1)
			if err != nil {
				t.Error(err)
				return
			}
			defer cluster.Close()
			if err := startAll(cluster, sequence(0, nodes)); err != nil {
				t.Error(err)
				return
			}
			requireAgreement := func(slots []int) float64 {
				elapsed, err := cluster.WaitForAgreement(t.Context(), slots, agreeTimeout)
				if err != nil {
					t.Error(err)
				}
				return elapsed.Seconds()
			}
			requireAgreement(sequence(0, nodes))
			meanDatagrams := func() (sum float64) {
				for slot := range nodes {
					sum += float64(cluster.NetworkRelay().Traffic(slot).SentDatagrams)
				}
				return sum / nodes
			}
			sleepScaled(t.Context(), cluster, 2*time.Second) // until the updates about joining have spread
			before := meanDatagrams()
			sleepScaled(t.Context(), cluster, 4*time.Second)
			results[i].datagrams = (meanDatagrams() - before) / 4
			if err := cluster.Kill(nodes - 1); err != nil {
				t.Error(err)
			}
			results[i].found = requireAgreement(sequence(0, nodes-1))
		})
	}
	clusters.Wait()
	t.Logf("%+v", results)
	if realTime, slowed := results[0].datagrams, results[1].datagrams; realTime == 0 || math.Abs(slowed/realTime-1) > 0.2 {
		t.Errorf("%.2f datagrams a second and node in real time, %.2f on clocks slowed by 2", realTime, slowed)
	}
	if realTime, slowed := results[0].found, results[1].found; slowed > 2*realTime+2 || realTime > 2*slowed+2 {
		t.Errorf("a killed node is found after %.1f s in real time, and %.1f s on clocks slowed by 2", realTime, slowed)
	}
	clock := node.NewSlowedClock(100)
	started := clock.Now()
	if remaining := clock.Until(started + policy.Second); remaining < 95*time.Second || remaining > 100*time.Second {
		t.Errorf("one second on the slowed clock takes %v", remaining)
	}
	time.Sleep(50 * time.Millisecond)
	if elapsed := clock.Now() - started; elapsed < 500 || elapsed > 50*policy.Millisecond {
		t.Errorf("%d us have passed on the slowed clock in 50 ms", elapsed)
	}
}
