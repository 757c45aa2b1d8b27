package policy

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
)

// subscription schedules the calls that subscribe to changes of the list of servers.
type subscription struct {
	RegistryRule
	nextCallAt Micros // time of the next call to the registry; 0: none is scheduled
	retryDelay Micros // delay after the next failure, before jitter
}

// scheduleNextCall sets the time of the next call to the registry after a list, or a failure, has come. All
// nodes may start, or lose the registry, at the same moment, and the registry is one small service: calls are
// therefore spread at random and back off after failures.
func (s *subscription) scheduleNextCall(now Micros, form ListForm, rng *rand.Rand) {
	switch {
	case !s.MustSubscribe || form == ListReweighted:
	case form == ListCached:
		s.nextCallAt = now + 1 + Micros(rng.Float64()*float64(s.SubscribeWithin/8))
		s.retryDelay = s.SubscribeWithin / 16
	case form == ListFailed:
		s.nextCallAt = now + 1 + Micros((1.0/2+rng.Float64())*float64(s.retryDelay))
		s.retryDelay = min(2*s.retryDelay, s.SubscribeWithin/2)
	default:
		s.nextCallAt = 0
		s.retryDelay = s.SubscribeWithin / 16
	}
}

// applyList takes over a list of servers, or changes to it, and rebuilds the ring and the subset. Servers
// that a complete list leaves out are marked as gone.
func (n *Node) applyList(input *Input) {
	n.subscription.scheduleNextCall(n.now, input.Form, n.rng)
	if input.Form == ListFull || input.Form == ListCached {
		for slot := range n.servers {
			if !slices.ContainsFunc(input.List, func(entry ListEntry) bool {
				return entry.Server == n.servers[slot].Server
			}) {
				n.servers[slot].State = Gone
			}
		}
	}
	for _, entry := range input.List {
		slot, found := n.serverSlots[entry.Server]
		if !found {
			slot = n.allocateServerSlot()
			n.serverSlots[entry.Server] = slot
		}
		server := &n.servers[slot]
		// An outdated list may come again. If the later of both starts were not kept, a cold server would count
		// as warm.
		if found {
			entry.StartedAt = max(entry.StartedAt, server.StartedAt)
		}
		if !found || entry.StartedAt != server.StartedAt {
			*server = knownServer{
				inFlight:         server.inFlight,
				currentWeight:    -n.rng.Float64(),
				coldTokens:       tokenBucket{n.rng.Float64(), n.now},
				concurrencyLimit: maximumFill,
				relativeLatency:  1,
				throttle: throttle{
					name:           fmt.Sprintf("%012x", entry.Server),
					targetMarkRate: targetMarkRate,
					leakInterval:   leakIntervalTicks * n.topology.ClockTick,
				},
			}
		}
		server.ListEntry = entry
	}
	n.ring = n.ring[:0]
	for slot := range n.servers {
		if n.servers[slot].State == Ready {
			n.ring = append(n.ring, int32(slot))
		}
	}
	servers := n.servers
	slices.SortFunc(n.ring, func(a, b int32) int { return cmp.Compare(servers[a].Server, servers[b].Server) })
	n.chooseSubset()
	if input.Form == ListCached { // the first list, which starts the control ticks
		n.controlTick()
	}
}

// allocateServerSlot returns the slot of a server that is gone and has no push in flight, or else a new slot.
func (n *Node) allocateServerSlot() int32 {
	for slot := range n.servers {
		if server := &n.servers[slot]; server.State == Gone && server.inFlight == 0 {
			delete(n.serverSlots, server.Server)
			return int32(slot)
		}
	}
	n.servers = append(n.servers, knownServer{})
	return int32(len(n.servers) - 1)
}

// chooseSubset selects the servers in this node's rotation by deterministic subsetting: consecutive servers
// of the ring, with the starts of all nodes' subsets spread evenly. If each node used all servers of a large
// fleet, a node would learn too little about each server, and the connections of all nodes would fill the
// servers' connection tables.
//
// Servers that are down are passed over for the next ones in the ring. Where nodes send each other peer
// messages this happens only if the whole subset is down: a node gets no messages about servers outside its
// subset, so the next servers in the ring would be congested. Without peer messages, where a push to another
// zone costs benefit, servers of the own zone form a second subset.
func (n *Node) chooseSubset() {
	size := max(subsetSize, n.limits.MaxPushes)
	ringSize := len(n.ring)
	if n.topology.PeerMessaging {
		size = n.peerSubsetSize()
	}
	start := n.topology.NodeNumber * ringSize / n.topology.NodeCount
	preferZone := n.topology.CrossZoneCost > 0 && !n.topology.PeerMessaging
	n.subset = n.subset[:0]
	n.zoneSubset = n.zoneSubset[:0]
	n.upServers = 0
	n.upCapacity = 0
	for offset := range 2 * ringSize {
		slot := n.ring[(start+offset)%ringSize]
		server := &n.servers[slot]
		server.ringIndex = (start + offset) % ringSize
		down := server.downUntil > n.now
		// The first round takes the servers that are up; the second adds those that are down if too few are up.
		inSubset := len(n.subset) < size && down == (offset >= ringSize)
		if n.topology.PeerMessaging {
			inSubset = offset < size || offset < ringSize && n.upServers == 0 && !down
		}
		if inSubset {
			n.subset = append(n.subset, slot)
		}
		inZoneSubset := preferZone && len(n.zoneSubset) < size && !down && offset < ringSize &&
			server.Zone == n.topology.Zone
		if inZoneSubset {
			n.zoneSubset = append(n.zoneSubset, slot)
		}
		if !down && (inSubset || inZoneSubset) {
			n.upServers++
			n.upCapacity += server.capacityShare(n.now, &n.coldStart)
		}
	}
}
