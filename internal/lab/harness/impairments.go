// Package harness is the test harness for fleets of nodes that talk to each other. It has the network between the
// processes of a run with its faults, a set of node processes, a member that reports falsely, and a measurement of how
// late the harness itself is.
package harness

import (
	"math/rand/v2"
	"time"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/relay"
)

// PairImpairments turns a fault of the scenario into the impairment of each pair of slots. The affected nodes are drawn
// once, here. A slot beyond the first ones belongs to the node with its number modulo nodes, so that a second process of
// a name, or a node at another address, is affected like its node.
func PairImpairments(fault *scenario.PeerFault, nodes int, rng *rand.Rand) func(from, to int) relay.Impairment {
	numbers := make([]int, nodes)
	for i := range numbers {
		numbers[i] = i
	}
	if fault.Kind == "groups" || fault.Kind == "chain" {
		group := assignGroups(numbers, fault.PartSizes, rng)
		maxDistance := 0
		if fault.Kind == "chain" {
			maxDistance = 1
		}
		return func(from, to int) relay.Impairment {
			distance := group[from%nodes] - group[to%nodes]
			return relay.Impairment{Cut: max(distance, -distance) > maxDistance}
		}
	}
	affected := make([]bool, nodes)
	for _, i := range scenario.DrawSubset(numbers, fault.Count, fault.Share, rng) {
		affected[i] = true
	}
	impairment := impairmentOf(fault)
	return func(from, to int) relay.Impairment {
		from = from % nodes
		to = to % nodes
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

// assignGroups assigns each node to a random group. The sizes of the groups are in proportion to the weights.
func assignGroups(nodes, weights []int, rng *rand.Rand) (group []int) {
	rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	total := 0
	for _, weight := range weights {
		total += weight
	}
	group = make([]int, len(nodes))
	upperWeight := weights[0]
	current := 0
	for i, node := range nodes {
		for i*total >= upperWeight*len(nodes) && current+1 < len(weights) {
			current++
			upperWeight += weights[current]
		}
		group[node] = current
	}
	return group
}

// impairmentOf returns the impairment of a pair that a fault affects.
func impairmentOf(fault *scenario.PeerFault) relay.Impairment {
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
