// Package together is the rig for nodes that hear each other: the relay that stands between a run's processes, the faults
// on their ways, and a meter for what the rig itself was late with.
package together

import (
	"math/rand/v2"
	"time"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/relay"
)

// Ways turns a fault between nodes into the way of each pair. Whom it hits is drawn here, once: nodes from 0. Whoever
// comes later, as a second process of a name or at another address, goes by the place beside which it stands.
func PairImpairments(b *scenario.PeerFault, nodes int, rng *rand.Rand) func(from, to int) relay.Impairment {
	all := make([]int, nodes)
	for i := range all {
		all[i] = i
	}
	if b.Kind == "groups" || b.Kind == "chain" {
		group, last := parts(all, b.PartSizes, rng), 0
		if b.Kind == "chain" {
			last = 1
		}
		return func(from, to int) relay.Impairment {
			apart := group[from%nodes] - group[to%nodes]
			return relay.Impairment{Cut: max(apart, -apart) > last}
		}
	}
	hit := make([]bool, nodes)
	for _, i := range scenario.DrawSubset(all, b.Count, b.Share, rng) {
		hit[i] = true
	}
	way := shape(b)
	return func(from, to int) relay.Impairment {
		from, to = from%nodes, to%nodes
		acts := hit[from] || hit[to]
		switch b.Kind {
		case "deaf", "silent":
			acts = hit[to]
		case "dumb":
			acts = hit[from]
		}
		if !acts || from == to {
			return relay.Impairment{}
		}
		return way
	}
}

// parts gives each node its group, the groups' sizes by weight.
func parts(all, weights []int, rng *rand.Rand) (group []int) {
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	total := 0
	for _, w := range weights {
		total += w
	}
	group = make([]int, len(all))
	sum, g := weights[0], 0
	for i, node := range all {
		for i*total >= sum*len(all) && g+1 < len(weights) {
			g++
			sum += weights[g]
		}
		group[node] = g
	}
	return group
}

// shape is what a fault does to a way that it acts on.
func shape(b *scenario.PeerFault) relay.Impairment {
	switch b.Kind {
	case "loss":
		return relay.Impairment{Loss: b.Factor}
	case "slow":
		later := time.Duration(b.Factor * float64(time.Second))
		return relay.Impairment{Delay: later, Jitter: later}
	case "double":
		return relay.Impairment{Duplicate: b.Factor}
	case "reorder":
		return relay.Impairment{Reorder: b.Factor}
	case "spoil":
		return relay.Impairment{Corrupt: b.Factor}
	case "short":
		return relay.Impairment{Truncate: b.Factor}
	case "silent":
		return relay.Impairment{UnansweredStreams: true}
	}
	return relay.Impairment{Cut: true}
}
