package harness

import (
	"math/rand/v2"
	"testing"
	"time"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/relay"
)

// The kind of a fault determines which pairs and directions it affects. An extra slot is affected like its node.
func TestPairImpairments(t *testing.T) {
	const nodes = 30
	affectedPairs := func(b scenario.PeerFault) (pairs int) {
		impairments := PairImpairments(&b, nodes, rand.New(rand.NewPCG(1, 2)))
		for from := range nodes {
			for to := range nodes {
				impairment := impairments(from, to)
				if impairment != (relay.Impairment{}) {
					pairs++
				}
				if impairment != impairments(from+nodes, to) || impairment != impairments(from, to+nodes) {
					t.Fatalf("%s: an extra slot of node %d or %d has another impairment", b.Kind, from, to)
				}
			}
		}
		return pairs
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
		if got := affectedPairs(c.fault); got != c.want {
			t.Errorf("%+v: affects %d pairs, want %d", c.fault, got, c.want)
		}
	}
	slow := PairImpairments(&scenario.PeerFault{Kind: "slow", Factor: 0.2}, 2, rand.New(rand.NewPCG(1, 2)))(0, 1)
	if slow.Delay != 200*time.Millisecond || slow.Jitter != slow.Delay {
		t.Errorf("slow: %+v", slow)
	}
}

// Stop returns the worst lateness since Reset.
func TestTimerLag(t *testing.T) {
	l := NewTimerLag()
	l.record(40 * time.Millisecond)
	l.Reset()
	l.record(70 * time.Millisecond)
	if worst, _ := l.Stop(); worst != 70*time.Millisecond {
		t.Errorf("worst %v", worst)
	}
}
