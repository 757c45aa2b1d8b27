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
	Relay       *relay.Relay
	nodes       int
	dir         string
	impairments []func(from, to int) relay.Impairment // of each fault of the experiment
	mu          sync.Mutex
	active      map[int]int // numbers of the faults that act, by their place in the experiment
	extraSlots  map[int]int // places beyond its own that a node's processes have had
	slotCount   int
}

// New opens the rig of a run: a relay with a place for each node and for each process that the plan starts at another
// address. Sockets that a node's own user may open go into dir.
func NewNetwork(s *scenario.Scenario, plan *scenario.Plan, dir string, seed uint64, rng *rand.Rand) (*Network, error) {
	nodes := s.Tiers[0].Nodes
	if s.Fleet == nil {
		return &Network{nodes: nodes, dir: dir}, nil // nobody says anything
	}
	// A place beyond the nodes' own stands beside a node for the faults: nodes are counted on from 0 again.
	extraSlots, maxExtra := make(map[int]int), 0
	for _, step := range plan.Steps {
		switch step.Verb {
		case scenario.TwinStart, scenario.NodeMove, scenario.LieDown, scenario.LieWell:
			extraSlots[step.Node]++
			maxExtra = max(maxExtra, extraSlots[step.Node])
		}
	}
	slots := nodes * (1 + maxExtra)
	fleetRelay, err := relay.New(slots, seed)
	if err != nil {
		return nil, err
	}
	network := &Network{Relay: fleetRelay, nodes: nodes, dir: dir, active: make(map[int]int), extraSlots: make(map[int]int), slotCount: slots}
	for i := range s.Between {
		network.impairments = append(network.impairments, PairImpairments(&s.Between[i], nodes, rng))
	}
	return network, nil
}

// Close ends the rig.
func (network *Network) Close() {
	if network != nil && network.Relay != nil {
		network.Relay.Close()
	}
}

// Further is the next place for a process of a node that stands at another one already. None is given twice.
func (g *Network) NextSlot(slot int) (next int, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	node := slot % g.nodes
	g.extraSlots[node]++
	if next = node + g.nodes*g.extraSlots[node]; next >= g.slotCount {
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
	number, isActive := g.active[step.Fault]
	switch {
	case step.Verb == scenario.BetweenOn && !isActive:
		g.active[step.Fault] = g.Relay.AddFault(g.impairments[step.Fault])
	case step.Verb == scenario.BetweenOff && isActive:
		g.Relay.RemoveFault(number)
		delete(g.active, step.Fault)
	}
}

// Place is a node's address, the one that others know, and where its own user asks it.
type NodeAddresses struct {
	Listen, Advertise netip.AddrPort
	ControlSocket     string
}

// Place gives the addresses of a place.
func (g *Network) Addresses(slot int) NodeAddresses {
	return NodeAddresses{Listen: relay.BindAddr(slot, g.Relay.Port()), Advertise: relay.AdvertisedAddr(slot, g.Relay.Port()),
		ControlSocket: filepath.Join(g.dir, fmt.Sprintf("fleet-%d.sock", slot))}
}
