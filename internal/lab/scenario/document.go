package scenario

import (
	"encoding/json"
	"fmt"

	"canvasrouter/internal/standin/registry"
	"canvasrouter/internal/standin/servermodel"
	"canvasrouter/policy"
)

// Machine is one server of the fleet.
type Machine struct {
	Tier, Zone, Cell int
	Type             *MachineType
	TypeIndex        int // of Type in the MachineTypes of its tier
}

// Machines returns the servers of all tiers. Zones are assigned round-robin; the order is the same in every run.
func (s *Scenario) Machines() (machines []Machine) {
	for tier := range s.Tiers {
		indexInTier := 0
		for typeIndex := range s.Tiers[tier].MachineTypes {
			machineType := &s.Tiers[tier].MachineTypes[typeIndex]
			for range machineType.Count {
				m := Machine{Tier: tier, Zone: indexInTier % len(s.Zones), Type: machineType, TypeIndex: typeIndex}
				if machineType.CellSize > 0 {
					m.Cell = indexInTier / machineType.CellSize
				}
				machines = append(machines, m)
				indexInTier++
			}
		}
	}
	return machines
}

// Node is one node of the experiment.
type Node struct {
	Tier, Zone int
	Index      int // among the nodes of its tier
	NodeCount  int // nodes in its tier
	Server     int // index in Machines of the server that the node belongs to, in a later tier; -1 in the first tier
}

// Nodes returns the nodes of all tiers.
func (s *Scenario) Nodes() (nodes []Node) {
	nodeCounts := make([]int, len(s.Tiers))
	for n := range s.Tiers[0].NodeCount {
		nodes = append(nodes, Node{Zone: n % len(s.Zones), Index: n, Server: -1})
	}
	nodeCounts[0] = s.Tiers[0].NodeCount
	for server, m := range s.Machines() {
		if next := m.Tier + 1; next < len(s.Tiers) {
			nodes = append(nodes, Node{Tier: next, Zone: m.Zone, Server: server, Index: nodeCounts[next]})
			nodeCounts[next]++
		}
	}
	for i := range nodes {
		nodes[i].NodeCount = nodeCounts[nodes[i].Tier]
	}
	return nodes
}

// effectByDelivery maps the delivery semantics of a category to the value of the key effect in a node's configuration.
var effectByDelivery = map[string]string{"redeliverable": "idempotent", "deduplicated": "deduplicated",
	"at_most_once": "at_most_once"}

// DeliveryByName maps the names of the delivery semantics to the values of the policy module.
var DeliveryByName = map[string]policy.DeliverySemantics{"redeliverable": policy.Redeliverable, "deduplicated": policy.Deduplicated,
	"at_most_once": policy.AtMostOnce}

// NodeConfig returns a node's configuration in the JSON format of the platform. cachedList is the list of servers that
// the node starts with, in the registry's format; fleet is the value of the key fleet, left out if nil.
func (s *Scenario) NodeConfig(node Node, name, listen, registryAddr string, seed uint64, cachedList json.RawMessage, fleet any) []byte {
	type object = map[string]any
	var tiers, machineTypes []string
	for _, t := range s.Tiers {
		tiers = append(tiers, t.Name)
	}
	minIdleTimeoutMs := 0.0
	for _, machineType := range s.Tiers[node.Tier].MachineTypes {
		machineTypes = append(machineTypes, machineType.Name)
		if minIdleTimeoutMs == 0 || machineType.IdleTimeout.Milliseconds() < minIdleTimeoutMs {
			minIdleTimeoutMs = machineType.IdleTimeout.Milliseconds()
		}
	}
	categories, tenants := []object{}, []object{}
	for _, c := range s.Categories {
		category := object{"name": c.Name, "benefit": c.Benefit, "tardy_benefit": c.LateBenefit, "effect": effectByDelivery[c.Delivery],
			"target_latency": c.TargetLatency.Milliseconds(), "ttl": c.TTL.Milliseconds()}
		if c.Delivery == "deduplicated" {
			category["key_scope"] = c.DedupScope
			category["repeat_window"] = c.DedupWindow.Milliseconds()
		}
		categories = append(categories, category)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, object{"name": t.Name, "share": t.Share, "quota_rps": t.Quota})
	}
	limits := s.Limits
	settings := object{"tier": node.Tier, "tiers": tiers, "fleet_size": node.NodeCount, "slot_no": node.Index, "az": node.Zone,
		"failure_domains": s.Zones, "kinds": machineTypes, "tick": 5.0, "registry_mode": "ask", "categories": categories,
		"tenants": tenants, "beyond_share_benefit": limits.BeyondShareBenefit,
		"limits": object{"max_pushes": limits.MaxPushes, "may_duplicate": limits.MayDuplicate, "may_cancel": limits.MayCancel,
			"dial_timeout": limits.DialTimeout.Milliseconds(), "idle_close": minIdleTimeoutMs, "retry_after": limits.MaxRetryAfter > 0,
			"max_retry_after": limits.MaxRetryAfter.Milliseconds()},
		"safety": object{"answer_slack": limits.AnswerSlack.Milliseconds(), "cold_from": limits.ColdInitialShare, "cold": limits.ColdWarmUpTime.Milliseconds(),
			"overload_factor": limits.ColdOverloadFactor, "tip_after": limits.ColdOverloadWindow.Milliseconds(), "must_ask_in": 10000.0,
			"drain_grace": limits.DrainGrace.Milliseconds()},
		"prices": object{"cross_zone": limits.CrossZoneCost}}
	document := object{"name": name, "listen": listen, "discovery": registryAddr,
		"seed": fmt.Sprintf("%016x", seed), "log_level": "warn", "known": cachedList, "settings": settings,
		"limits": object{"cores": 1.0, "memory_mb": limits.MemoryMB, "sockets": limits.Sockets}}
	if fleet != nil {
		document["fleet"] = fleet
		if s.Fleet.PeerMessaging {
			settings["limits"].(object)["peers"] = true
		}
	}
	raw, err := json.Marshal(document)
	if err != nil {
		panic(err) // all values above can be encoded
	}
	return raw
}

// ModelSpec returns the parameters of the machine for the server model.
func (m Machine) ModelSpec(s *Scenario) servermodel.Spec {
	t := m.Type
	return servermodel.Spec{
		Cores:            t.Cores,
		Speed:            t.Speed,
		QueueLimit:       t.QueueLimit,
		JamQueuePerCore:  t.JamQueuePerCore,
		JamDelay:         t.JamDelay.Micros(),
		JamSlowdown:      t.JamSlowdown,
		JamRecoveryTime:  t.JamRecoveryTime.Micros(),
		CrowdingPerCore:  t.CrowdingPerCore,
		CrowdingSlowdown: t.CrowdingSlowdown,
		ColdStart: servermodel.ColdStart{
			InitialShare:   s.Limits.ColdInitialShare,
			WarmUpTime:     s.Limits.ColdWarmUpTime.Micros(),
			OverloadFactor: s.Limits.ColdOverloadFactor,
			OverloadWindow: s.Limits.ColdOverloadWindow.Micros(),
			MeanWork:       s.MeanWork(),
		},
	}
}

// MeanWork returns the mean work of an op over all categories, weighted by their share of the load.
func (s *Scenario) MeanWork() policy.Micros {
	work, shares := 0.0, 0.0
	for _, c := range s.Categories {
		work += c.Share * float64(c.MeanWork)
		shares += c.Share
	}
	return policy.Micros(work / shares)
}

// DedupGroup returns the group of servers that drops duplicates of a category's ops at this machine, and for how long
// the group remembers an op. deduplicated is false if duplicates are not dropped.
func (m Machine) DedupGroup(s *Scenario, category int) (group int, window policy.Micros, deduplicated bool) {
	c := &s.Categories[category]
	switch c.DedupScope {
	case "zone":
		group = m.Zone
	case "cell":
		group = m.Cell
	}
	return group, c.DedupWindow.Micros(), c.Delivery == "deduplicated"
}

// DedupMemories holds the deduplication memories of a run, by category, tier and group.
type DedupMemories map[[3]int]*servermodel.DedupMemory

// Get returns the deduplication memory of a category's group at a machine, or nil where duplicates are not dropped. The
// memory retains an op for extraRetention longer than the category's window.
func (memories DedupMemories) Get(s *Scenario, category int, m Machine, extraRetention policy.Micros) *servermodel.DedupMemory {
	group, window, deduplicated := m.DedupGroup(s, category)
	if !deduplicated {
		return nil
	}
	key := [3]int{category, m.Tier, group}
	if memories[key] == nil {
		memories[key] = servermodel.NewDedupMemory(window + extraRetention)
	}
	return memories[key]
}

// RegistryEntry returns the registry's entry of a machine that started long ago. server is its index in the plan.
func (m Machine) RegistryEntry(server int) registry.Entry {
	return registry.Entry{Server: server, Zone: m.Zone, MachineType: m.TypeIndex, Cell: m.Cell, Weight: float64(m.Type.Cores) * m.Type.Speed}
}
