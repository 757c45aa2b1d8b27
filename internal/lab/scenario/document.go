package scenario

import (
	"encoding/json"
	"fmt"

	"canvasrouter/internal/standin/fleet"
	"canvasrouter/internal/standin/registry"
	"canvasrouter/policy"
)

// Machine is one server of the fleet as it stands at the start.
type Machine struct {
	Tier, Zone, Cell int
	Type             *MachineType
	TypeIndex        int // among all kinds of its tier
}

// Machines are the servers of all tiers, zones dealt in turn. The order is the same in every run.
func (s *Scenario) Machines() (all []Machine) {
	for tier := range s.Tiers {
		indexInTier := 0
		for typeIndex := range s.Tiers[tier].MachineTypes {
			machineType := &s.Tiers[tier].MachineTypes[typeIndex]
			for range machineType.Count {
				m := Machine{Tier: tier, Zone: indexInTier % len(s.Zones), Type: machineType, TypeIndex: typeIndex}
				if machineType.CellSize > 0 {
					m.Cell = indexInTier / machineType.CellSize
				}
				all = append(all, m)
				indexInTier++
			}
		}
	}
	return all
}

// Balancer is one node.
type Node struct {
	Tier, Zone int
	Index      int // among those of its tier
	NodeCount  int // how many they are
	Server     int // whose node it is, in a later tier: a place in Machines; -1 in the first
}

// Balancers are the nodes of all tiers.
func (s *Scenario) Nodes() (all []Node) {
	nodeCounts := make([]int, len(s.Tiers))
	for n := range s.Tiers[0].NodeCount {
		all = append(all, Node{Zone: n % len(s.Zones), Index: n, Server: -1})
	}
	nodeCounts[0] = s.Tiers[0].NodeCount
	for server, m := range s.Machines() {
		if next := m.Tier + 1; next < len(s.Tiers) {
			all = append(all, Node{Tier: next, Zone: m.Zone, Server: server, Index: nodeCounts[next]})
			nodeCounts[next]++
		}
	}
	for i := range all {
		all[i].NodeCount = nodeCounts[all[i].Tier]
	}
	return all
}

var effectByDelivery = map[string]string{"redeliverable": "idempotent", "deduplicated": "deduplicated",
	"at_most_once": "at_most_once"}

// Repeats are the categories' kinds of repeat, as the module has them.
var DeliveryByName = map[string]policy.Repeat{"redeliverable": policy.Redeliverable, "deduplicated": policy.Deduplicated,
	"at_most_once": policy.AtMostOnce}

// Config is a node's configuration in the platform's form. Known is the list that it starts with, in the registry's; fleet
// is its key of that name, left out if nil.
func (s *Scenario) NodeConfig(node Node, name, listen, registryAddr string, seed uint64, cachedList json.RawMessage, fleet any) []byte {
	type object = map[string]any
	var tiers, machineTypes []string
	for _, t := range s.Tiers {
		tiers = append(tiers, t.Name)
	}
	minIdleTimeoutMs := 0.0
	for _, k := range s.Tiers[node.Tier].MachineTypes {
		machineTypes = append(machineTypes, k.Name)
		if minIdleTimeoutMs == 0 || k.IdleTimeout.Milliseconds() < minIdleTimeoutMs {
			minIdleTimeoutMs = k.IdleTimeout.Milliseconds()
		}
	}
	categories, tenants := []object{}, []object{}
	for _, c := range s.Categories {
		category := object{"name": c.Name, "benefit": c.Benefit, "tardy_benefit": c.LateBenefit, "effect": effectByDelivery[c.Delivery],
			"target_latency": c.TargetLatency.Milliseconds(), "ttl": c.TTL.Milliseconds()}
		if c.Delivery == "deduplicated" {
			category["key_scope"], category["repeat_window"] = c.DedupScope, c.DedupWindow.Milliseconds()
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
		panic(err) // nothing of the above can fail to be written
	}
	return raw
}

// Traits are a machine's, as the model takes them.
func (m Machine) ModelSpec(s *Scenario) fleet.Traits {
	machineType := m.Type
	return fleet.Traits{Cores: machineType.Cores, Speed: machineType.Speed, Queue: machineType.QueueLimit, JamOver: machineType.JamQueuePerCore, JamAfter: machineType.JamDelay.Micros(),
		JamFactor: machineType.JamSlowdown, JamIdle: machineType.JamRecoveryTime.Micros(), CrowdOver: machineType.CrowdingPerCore, CrowdLoss: machineType.CrowdingSlowdown, Cold: fleet.Cold{From: s.Limits.ColdInitialShare,
			Warm: s.Limits.ColdWarmUpTime.Micros(), Factor: s.Limits.ColdOverloadFactor, Window: s.Limits.ColdOverloadWindow.Micros(), Mean: s.MeanWork()}}
}

// MeanWork is that of an op of the load.
func (s *Scenario) MeanWork() policy.Micros {
	work, shares := 0.0, 0.0
	for _, c := range s.Categories {
		work += c.Share * float64(c.MeanWork)
		shares += c.Share
	}
	return policy.Micros(work / shares)
}

// Group is the group that drops a category's repeats at this machine, and for how long, if repeats are dropped.
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

// Memories are the groups' memories of a run, by category, tier and group.
type DedupMemories map[[3]int]*fleet.Memory

// Of gives the memory of a category's group at a machine, or nil where repeats are not dropped. It remembers for slack
// longer than the category's window.
func (memories DedupMemories) Get(s *Scenario, category int, m Machine, extraRetention policy.Micros) *fleet.Memory {
	group, window, deduplicated := m.DedupGroup(s, category)
	if !deduplicated {
		return nil
	}
	key := [3]int{category, m.Tier, group}
	if memories[key] == nil {
		memories[key] = fleet.NewMemory(window + extraRetention)
	}
	return memories[key]
}

// Entry is how the registry lists a machine that has been up for long, by its place in the plan.
func (m Machine) RegistryEntry(server int) registry.Entry {
	return registry.Entry{Server: server, Zone: m.Zone, Kind: m.TypeIndex, Cell: m.Cell, Weight: float64(m.Type.Cores) * m.Type.Speed}
}
