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
func PairImpairments(fault *scenario.Between, nodes int, rng *rand.Rand) func(from, to int) relay.Impairment {
	numbers := make([]int, nodes)
	for i := range numbers {
		numbers[i] = i
	}
	if fault.Kind == "groups" || fault.Kind == "chain" {
		group, maxDistance := assignGroups(numbers, fault.Parts, rng), 0
		if fault.Kind == "chain" {
			maxDistance = 1
		}
		return func(from, to int) relay.Impairment {
			distance := group[from%nodes] - group[to%nodes]
			return relay.Impairment{Cut: max(distance, -distance) > maxDistance}
		}
	}
	affected := make([]bool, nodes)
	for _, i := range scenario.Draw(numbers, fault.Count, fault.Share, rng) {
		affected[i] = true
	}
	impairment := impairmentOf(fault)
	return func(from, to int) relay.Impairment {
		from, to = from%nodes, to%nodes
		applies := affected[from] || affected[to]
		switch fault.Kind {
		case "deaf", "silent":
			applies = affected[to]
		case "dumb":
			applies = affected[from]
		}
		if !applies || from == to {
			return relay.Impairment{}
		}
		return impairment
	}
}

// parts gives each node its group, the groups' sizes by weight.
func assignGroups(nodes, weights []int, rng *rand.Rand) (group []int) {
	rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	total := 0
	for _, weight := range weights {
		total += weight
	}
	group = make([]int, len(nodes))
	upperWeight, current := weights[0], 0
	for i, node := range nodes {
		for i*total >= upperWeight*len(nodes) && current+1 < len(weights) {
			current++
			upperWeight += weights[current]
		}
		group[node] = current
	}
	return group
}

// shape is what a fault does to a way that it acts on.
func impairmentOf(fault *scenario.Between) relay.Impairment {
	switch fault.Kind {
	case "loss":
		return relay.Impairment{Loss: fault.Factor}
	case "slow":
		delay := time.Duration(fault.Factor * float64(time.Second))
		return relay.Impairment{Delay: delay, Jitter: delay}
	case "double":
		return relay.Impairment{Duplicate: fault.Factor}
	case "reorder":
		return relay.Impairment{Reorder: fault.Factor}
	case "spoil":
		return relay.Impairment{Corrupt: fault.Factor}
	case "short":
		return relay.Impairment{Truncate: fault.Factor}
	case "silent":
		return relay.Impairment{UnansweredStreams: true}
	}
	return relay.Impairment{Cut: true}
}
