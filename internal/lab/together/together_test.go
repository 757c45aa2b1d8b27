package together

import (
	"math/rand/v2"
	"testing"
	"time"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/relay"
)

// Whom a fault hits, and in which direction, is as its kind says; a place beyond the nodes' own goes with its node.
func TestWays(t *testing.T) {
	const nodes = 30
	count := func(b scenario.PeerFault) (cut int) {
		ways := PairImpairments(&b, nodes, rand.New(rand.NewPCG(1, 2)))
		for from := range nodes {
			for to := range nodes {
				w := ways(from, to)
				if w != (relay.Impairment{}) {
					cut++
				}
				if w != ways(from+nodes, to) || w != ways(from, to+nodes) {
					t.Fatalf("%s: a further place of %d or %d has another way", b.Kind, from, to)
				}
			}
		}
		return cut
	}
	for _, c := range []struct {
		fault scenario.PeerFault
		want  int // directed pairs
	}{
		{scenario.PeerFault{Kind: "groups", PartSizes: []int{1, 2}}, 2 * 10 * 20},
		{scenario.PeerFault{Kind: "groups", PartSizes: []int{5, 15, 20}}, 30*30 - 4*4 - 11*11 - 15*15},
		{scenario.PeerFault{Kind: "chain", PartSizes: []int{1, 1, 1}}, 2 * 10 * 10},
		{scenario.PeerFault{Kind: "cut", Count: 1}, 2 * 29},
		{scenario.PeerFault{Kind: "deaf", Count: 10}, 10 * 29},
		{scenario.PeerFault{Kind: "dumb", Share: 1.0 / 3}, 10 * 29},
		{scenario.PeerFault{Kind: "loss", Factor: 0.2}, 30 * 29},
		{scenario.PeerFault{Kind: "slow", Factor: 0.2, Count: 1}, 2 * 29},
	} {
		if got := count(c.fault); got != c.want {
			t.Errorf("%+v: acts on %d pairs, not %d", c.fault, got, c.want)
		}
	}
	slow := PairImpairments(&scenario.PeerFault{Kind: "slow", Factor: 0.2}, 2, rand.New(rand.NewPCG(1, 2)))(0, 1)
	if slow.Delay != 200*time.Millisecond || slow.Jitter != slow.Delay {
		t.Errorf("slow: %+v", slow)
	}
}

// What the rig is late with is seen.
func TestLag(t *testing.T) {
	l := NewTimerLag()
	l.book(40 * time.Millisecond)
	l.Reset()
	l.book(70 * time.Millisecond)
	if most, _ := l.Stop(); most != 70*time.Millisecond {
		t.Errorf("most %v", most)
	}
}
