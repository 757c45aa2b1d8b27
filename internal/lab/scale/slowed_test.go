package scale

import (
	"math"
	"sync"
	"testing"
	"time"

	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

// On a slowed clock everything that hollow nodes do takes as much longer: they say as much to each other in a second of that clock,
// and find one that was killed after as long. A wait left in real time would show as twice as much.
func TestSlowedClocks(t *testing.T) {
	const nodes = 12
	type play struct{ datagrams, found float64 }
	var plays [2]play
	var both sync.WaitGroup
	for i, slow := range []int{1, 2} {
		both.Go(func() {
			c, err := NewInProcessCluster(nodes, 5, 0, slow, 1)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			if err := startAll(c, span(0, nodes)); err != nil {
				t.Error(err)
				return
			}
			agree := func(places []int) float64 {
				took, err := c.WaitForAgreement(t.Context(), places, mostAgree)
				if err != nil {
					t.Error(err)
				}
				return took.Seconds()
			}
			agree(span(0, nodes))
			sent := func() (sum float64) {
				for place := range nodes {
					sum += float64(c.NetworkRelay().Traffic(place).SentDatagrams)
				}
				return sum / nodes
			}
			rest(t.Context(), c, 2*time.Second) // what joining has to tell is told
			before := sent()
			rest(t.Context(), c, 4*time.Second)
			plays[i].datagrams = (sent() - before) / 4
			if err := c.Kill(nodes - 1); err != nil {
				t.Error(err)
			}
			plays[i].found = agree(span(0, nodes-1))
		})
	}
	both.Wait()
	t.Logf("%+v", plays)
	if a, b := plays[0].datagrams, plays[1].datagrams; a == 0 || math.Abs(b/a-1) > 0.2 {
		t.Errorf("%.2f datagrams a second and node in real time, %.2f on clocks slowed by 2", a, b)
	}
	if a, b := plays[0].found, plays[1].found; b > 2*a+2 || a > 2*b+2 {
		t.Errorf("one that was killed is found after %.1f s, and %.1f s on clocks slowed by 2", a, b)
	}
	clock := node.NewSlowedClock(100)
	begun := clock.Now()
	if left := clock.Until(begun + policy.Second); left < 95*time.Second || left > 100*time.Second {
		t.Errorf("a second is %v away", left)
	}
	time.Sleep(50 * time.Millisecond)
	if passed := clock.Now() - begun; passed < 500 || passed > 50*policy.Millisecond {
		t.Errorf("%d us have passed in 50 ms", passed)
	}
}
