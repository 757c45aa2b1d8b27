package together

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/relay"
)

// Rig is what stands between the nodes of one run.
type Network struct {
	Relay   *relay.Relay
	nodes   int
	dir     string
	ways    []func(from, to int) relay.Impairment // of each fault of the experiment
	mu      sync.Mutex
	acts    map[int]int // numbers of the faults that act, by their place in the experiment
	further map[int]int // places beyond its own that a node's processes have had
	last    int
}

// New opens the rig of a run: a relay with a place for each node and for each process that the plan starts at another
// address. Sockets that a node's own user may open go into dir.
func NewNetwork(s *scenario.Scenario, plan *scenario.Plan, dir string, seed uint64, rng *rand.Rand) (*Network, error) {
	nodes := s.Tiers[0].NodeCount
	if s.Fleet == nil {
		return &Network{nodes: nodes, dir: dir}, nil // nobody says anything
	}
	// A place beyond the nodes' own stands beside a node for the faults: nodes are counted on from 0 again.
	further, most := make(map[int]int), 0
	for _, step := range plan.Steps {
		switch step.Action {
		case scenario.DuplicateNodeStart, scenario.NodeStartMoved, scenario.FalseReportsDown, scenario.FalseReportsHealthy:
			further[step.Node]++
			most = max(most, further[step.Node])
		}
	}
	places := nodes * (1 + most)
	r, err := relay.New(places, seed)
	if err != nil {
		return nil, err
	}
	g := &Network{Relay: r, nodes: nodes, dir: dir, acts: make(map[int]int), further: make(map[int]int), last: places}
	for i := range s.PeerFaults {
		g.ways = append(g.ways, PairImpairments(&s.PeerFaults[i], nodes, rng))
	}
	return g, nil
}

// Close ends the rig.
func (g *Network) Close() {
	if g != nil && g.Relay != nil {
		g.Relay.Close()
	}
}

// Further is the next place for a process of a node that stands at another one already. None is given twice.
func (g *Network) NextSlot(place int) (next int, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	node := place % g.nodes
	g.further[node]++
	if next = node + g.nodes*g.further[node]; next >= g.last {
		return 0, fmt.Errorf("node %d has no further address", node)
	}
	return next, nil
}

// Late is the most that the rig was late with what it passed on.
func (g *Network) MaxLateness() time.Duration {
	if g.Relay == nil {
		return 0
	}
	return g.Relay.MaxLateness()
}

// Carry begins or ends a fault of the experiment. Beginning it twice is beginning it once.
func (g *Network) ApplyStep(step *scenario.Step) {
	g.mu.Lock()
	defer g.mu.Unlock()
	number, acts := g.acts[step.PeerFault]
	switch {
	case step.Action == scenario.PeerFaultStart && !acts:
		g.acts[step.PeerFault] = g.Relay.AddFault(g.ways[step.PeerFault])
	case step.Action == scenario.PeerFaultEnd && acts:
		g.Relay.RemoveFault(number)
		delete(g.acts, step.PeerFault)
	}
}

// Place is a node's address, the one that others know, and where its own user asks it.
type NodeAddresses struct {
	Listen, Advertise netip.AddrPort
	ControlSocket     string
}

// Place gives the addresses of a place.
func (g *Network) Addresses(n int) NodeAddresses {
	return NodeAddresses{Listen: relay.BindAddr(n, g.Relay.Port()), Advertise: relay.AdvertisedAddr(n, g.Relay.Port()),
		ControlSocket: filepath.Join(g.dir, fmt.Sprintf("fleet-%d.sock", n))}
}
