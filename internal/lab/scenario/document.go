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
	for t := range s.Tiers {
		n := 0
		for k := range s.Tiers[t].MachineTypes {
			kind := &s.Tiers[t].MachineTypes[k]
			for range kind.Count {
				m := Machine{Tier: t, Zone: n % len(s.Zones), Type: kind, TypeIndex: k}
				if kind.CellSize > 0 {
					m.Cell = n / kind.CellSize
				}
				all = append(all, m)
				n++
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
	of := make([]int, len(s.Tiers))
	for n := range s.Tiers[0].NodeCount {
		all = append(all, Node{Zone: n % len(s.Zones), Index: n, Server: -1})
	}
	of[0] = s.Tiers[0].NodeCount
	for place, m := range s.Machines() {
		if next := m.Tier + 1; next < len(s.Tiers) {
			all = append(all, Node{Tier: next, Zone: m.Zone, Server: place, Index: of[next]})
			of[next]++
		}
	}
	for i := range all {
		all[i].NodeCount = of[all[i].Tier]
	}
	return all
}

var effects = map[string]string{"redeliverable": "idempotent", "deduplicated": "deduplicated",
	"at_most_once": "at_most_once"}

// Repeats are the categories' kinds of repeat, as the module has them.
var DeliveryByName = map[string]policy.Repeat{"redeliverable": policy.Redeliverable, "deduplicated": policy.Deduplicated,
	"at_most_once": policy.AtMostOnce}

// Config is a node's configuration in the platform's form. Known is the list that it starts with, in the registry's; fleet
// is its key of that name, left out if nil.
func (s *Scenario) NodeConfig(b Node, name, listen, discovery string, seed uint64, known json.RawMessage, fleet any) []byte {
	type object = map[string]any
	var tiers, kinds []string
	for _, t := range s.Tiers {
		tiers = append(tiers, t.Name)
	}
	idle := 0.0
	for _, k := range s.Tiers[b.Tier].MachineTypes {
		kinds = append(kinds, k.Name)
		if idle == 0 || k.IdleTimeout.Milliseconds() < idle {
			idle = k.IdleTimeout.Milliseconds()
		}
	}
	categories, tenants := []object{}, []object{}
	for _, c := range s.Categories {
		o := object{"name": c.Name, "benefit": c.Benefit, "tardy_benefit": c.LateBenefit, "effect": effects[c.Delivery],
			"target_latency": c.TargetLatency.Milliseconds(), "ttl": c.TTL.Milliseconds()}
		if c.Delivery == "deduplicated" {
			o["key_scope"], o["repeat_window"] = c.DedupScope, c.DedupWindow.Milliseconds()
		}
		categories = append(categories, o)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, object{"name": t.Name, "share": t.Share, "quota_rps": t.Quota})
	}
	l := s.Limits
	settings := object{"tier": b.Tier, "tiers": tiers, "fleet_size": b.NodeCount, "slot_no": b.Index, "az": b.Zone,
		"failure_domains": s.Zones, "kinds": kinds, "tick": 5.0, "registry_mode": "ask", "categories": categories,
		"tenants": tenants, "beyond_share_benefit": l.BeyondShareBenefit,
		"limits": object{"max_pushes": l.MaxPushes, "may_duplicate": l.MayDuplicate, "may_cancel": l.MayCancel,
			"dial_timeout": l.DialTimeout.Milliseconds(), "idle_close": idle, "retry_after": l.MaxRetryAfter > 0,
			"max_retry_after": l.MaxRetryAfter.Milliseconds()},
		"safety": object{"answer_slack": l.AnswerSlack.Milliseconds(), "cold_from": l.ColdInitialShare, "cold": l.ColdWarmUpTime.Milliseconds(),
			"overload_factor": l.ColdOverloadFactor, "tip_after": l.ColdOverloadWindow.Milliseconds(), "must_ask_in": 10000.0,
			"drain_grace": l.DrainGrace.Milliseconds()},
		"prices": object{"cross_zone": l.CrossZoneCost}}
	document := object{"name": name, "listen": listen, "discovery": discovery,
		"seed": fmt.Sprintf("%016x", seed), "log_level": "warn", "known": known, "settings": settings,
		"limits": object{"cores": 1.0, "memory_mb": l.MemoryMB, "sockets": l.Sockets}}
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
	k := m.Type
	return fleet.Traits{Cores: k.Cores, Speed: k.Speed, Queue: k.QueueLimit, JamOver: k.JamQueuePerCore, JamAfter: k.JamDelay.Micros(),
		JamFactor: k.JamSlowdown, JamIdle: k.JamRecoveryTime.Micros(), CrowdOver: k.CrowdingPerCore, CrowdLoss: k.CrowdingSlowdown, Cold: fleet.Cold{From: s.Limits.ColdInitialShare,
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
func (m Machine) DedupGroup(s *Scenario, category int) (group int, window policy.Micros, kept bool) {
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
func (all DedupMemories) Get(s *Scenario, category int, m Machine, slack policy.Micros) *fleet.Memory {
	group, window, kept := m.DedupGroup(s, category)
	if !kept {
		return nil
	}
	key := [3]int{category, m.Tier, group}
	if all[key] == nil {
		all[key] = fleet.NewMemory(window + slack)
	}
	return all[key]
}

// Entry is how the registry lists a machine that has been up for long, by its place in the plan.
func (m Machine) RegistryEntry(place int) registry.Entry {
	return registry.Entry{Server: place, Zone: m.Zone, Kind: m.TypeIndex, Cell: m.Cell, Weight: float64(m.Type.Cores) * m.Type.Speed}
}
