package harness

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

// Network is the network between the nodes of one run: the relay and the faults of the experiment.
//
// The relay has numbered slots, each with addresses of its own. Slot n belongs to node n modulo the number of nodes: the
// first slots to the nodes themselves, the others to further processes of the same nodes.
type Network struct {
	Relay       *relay.Relay
	nodes       int
	dir         string
	impairments []func(from, to int) relay.Impairment // for each fault of the experiment
	mu          sync.Mutex
	active      map[int]int // the relay's number of each active fault, by its index in the experiment
	extraSlots  map[int]int // how many extra slots each node has used
	slotCount   int
}

// NewNetwork opens the network of a run: a relay with a slot for each node and for each process that the plan starts at
// another address. The control sockets of the nodes are in dir.
func NewNetwork(s *scenario.Scenario, plan *scenario.Plan, dir string, seed uint64, rng *rand.Rand) (*Network, error) {
	nodes := s.Tiers[0].NodeCount
	if s.Fleet == nil {
		return &Network{nodes: nodes, dir: dir}, nil // the nodes exchange nothing
	}
	extraSlots := make(map[int]int)
	maxExtra := 0
	for _, step := range plan.Steps {
		switch step.Action {
		case scenario.DuplicateNodeStart, scenario.NodeStartMoved, scenario.FalseReportsDown, scenario.FalseReportsHealthy:
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
	for i := range s.PeerFaults {
		network.impairments = append(network.impairments, PairImpairments(&s.PeerFaults[i], nodes, rng))
	}
	return network, nil
}

// Close closes the relay.
func (n *Network) Close() {
	if n != nil && n.Relay != nil {
		n.Relay.Close()
	}
}

// NextSlot returns an unused slot of the node that the given slot belongs to.
func (n *Network) NextSlot(slot int) (next int, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := slot % n.nodes
	n.extraSlots[node]++
	next = node + n.nodes*n.extraSlots[node]
	if next >= n.slotCount {
		return 0, fmt.Errorf("node %d has no further address", node)
	}
	return next, nil
}

// MaxLateness returns the longest time by which the relay forwarded a datagram later than intended.
func (n *Network) MaxLateness() time.Duration {
	if n.Relay == nil {
		return 0
	}
	return n.Relay.MaxLateness()
}

// ApplyStep starts or ends a fault of the experiment. Starting an active fault does nothing.
func (n *Network) ApplyStep(step *scenario.Step) {
	n.mu.Lock()
	defer n.mu.Unlock()
	number, isActive := n.active[step.PeerFault]
	switch {
	case step.Action == scenario.PeerFaultStart && !isActive:
		n.active[step.PeerFault] = n.Relay.AddFault(n.impairments[step.PeerFault])
	case step.Action == scenario.PeerFaultEnd && isActive:
		n.Relay.RemoveFault(number)
		delete(n.active, step.PeerFault)
	}
}

// NodeAddresses are the address that a node binds to, the one that its peers know, and the path of its control socket.
type NodeAddresses struct {
	Listen, Advertise netip.AddrPort
	ControlSocket     string
}

// Addresses returns the addresses of a slot.
func (n *Network) Addresses(slot int) NodeAddresses {
	return NodeAddresses{Listen: relay.BindAddr(slot, n.Relay.Port()), Advertise: relay.AdvertisedAddr(slot, n.Relay.Port()),
		ControlSocket: filepath.Join(n.dir, fmt.Sprintf("fleet-%d.sock", slot))}
}
