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
	Kind             *Kind
	KindNo           int // among all kinds of its tier
}

// Machines are the servers of all tiers, zones dealt in turn. The order is the same in every run.
func (s *Scenario) Machines() (all []Machine) {
	for t := range s.Tiers {
		n := 0
		for k := range s.Tiers[t].Kinds {
			kind := &s.Tiers[t].Kinds[k]
			for range kind.Count {
				m := Machine{Tier: t, Zone: n % len(s.Zones), Kind: kind, KindNo: k}
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
type Balancer struct {
	Tier, Zone int
	Number     int // among those of its tier
	Of         int // how many they are
	Server     int // whose node it is, in a later tier: a place in Machines; -1 in the first
}

// Balancers are the nodes of all tiers.
func (s *Scenario) Balancers() (all []Balancer) {
	of := make([]int, len(s.Tiers))
	for n := range s.Tiers[0].Nodes {
		all = append(all, Balancer{Zone: n % len(s.Zones), Number: n, Server: -1})
	}
	of[0] = s.Tiers[0].Nodes
	for place, m := range s.Machines() {
		if next := m.Tier + 1; next < len(s.Tiers) {
			all = append(all, Balancer{Tier: next, Zone: m.Zone, Server: place, Number: of[next]})
			of[next]++
		}
	}
	for i := range all {
		all[i].Of = of[all[i].Tier]
	}
	return all
}

var effects = map[string]string{"redeliverable": "idempotent", "deduplicated": "deduplicated",
	"at_most_once": "at_most_once"}

// Repeats are the categories' kinds of repeat, as the module has them.
var Repeats = map[string]policy.DeliverySemantics{"redeliverable": policy.Redeliverable, "deduplicated": policy.Deduplicated,
	"at_most_once": policy.AtMostOnce}

// Config is a node's configuration in the platform's form. Known is the list that it starts with, in the registry's; fleet
// is its key of that name, left out if nil.
func (s *Scenario) Config(b Balancer, name, listen, discovery string, seed uint64, known json.RawMessage, fleet any) []byte {
	type object = map[string]any
	var tiers, kinds []string
	for _, t := range s.Tiers {
		tiers = append(tiers, t.Name)
	}
	idle := 0.0
	for _, k := range s.Tiers[b.Tier].Kinds {
		kinds = append(kinds, k.Name)
		if idle == 0 || k.IdleClose.Ms() < idle {
			idle = k.IdleClose.Ms()
		}
	}
	categories, tenants := []object{}, []object{}
	for _, c := range s.Categories {
		o := object{"name": c.Name, "benefit": c.Benefit, "tardy_benefit": c.Late, "effect": effects[c.Repeat],
			"target_latency": c.Target.Ms(), "ttl": c.TTL.Ms()}
		if c.Repeat == "deduplicated" {
			o["key_scope"], o["repeat_window"] = c.Scope, c.Window.Ms()
		}
		categories = append(categories, o)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, object{"name": t.Name, "share": t.Share, "quota_rps": t.Quota})
	}
	l := s.Limits
	settings := object{"tier": b.Tier, "tiers": tiers, "fleet_size": b.Of, "slot_no": b.Number, "az": b.Zone,
		"failure_domains": s.Zones, "kinds": kinds, "tick": 5.0, "registry_mode": "ask", "categories": categories,
		"tenants": tenants, "beyond_share_benefit": l.Beyond,
		"limits": object{"max_pushes": l.MaxPushes, "may_duplicate": l.Duplicate, "may_cancel": l.Cancel,
			"dial_timeout": l.Dial.Ms(), "idle_close": idle, "retry_after": l.RetryAfter > 0,
			"max_retry_after": l.RetryAfter.Ms()},
		"safety": object{"answer_slack": l.AnswerSlack.Ms(), "cold_from": l.ColdFrom, "cold": l.ColdWarm.Ms(),
			"overload_factor": l.ColdFactor, "tip_after": l.ColdWindow.Ms(), "must_ask_in": 10000.0,
			"drain_grace": l.DrainGrace.Ms()},
		"prices": object{"cross_zone": l.CrossZone}}
	document := object{"name": name, "listen": listen, "discovery": discovery,
		"seed": fmt.Sprintf("%016x", seed), "log_level": "warn", "known": known, "settings": settings,
		"limits": object{"cores": 1.0, "memory_mb": l.MemoryMB, "sockets": l.Sockets}}
	if fleet != nil {
		document["fleet"] = fleet
		if s.Fleet.Peers {
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
func (m Machine) Traits(s *Scenario) fleet.Spec {
	k := m.Kind
	return fleet.Spec{Cores: k.Cores, Speed: k.Speed, QueueLimit: k.Queue, JamQueuePerCore: k.JamOver, JamDelay: k.JamAfter.Micros(),
		JamSlowdown: k.JamFactor, JamRecoveryTime: k.JamIdle.Micros(), CrowdingPerCore: k.CrowdOver, CrowdingSlowdown: k.CrowdLoss, ColdStart: fleet.ColdStart{InitialShare: s.Limits.ColdFrom,
			WarmUpTime: s.Limits.ColdWarm.Micros(), OverloadFactor: s.Limits.ColdFactor, OverloadWindow: s.Limits.ColdWindow.Micros(), MeanWork: s.MeanWork()}}
}

// MeanWork is that of an op of the load.
func (s *Scenario) MeanWork() policy.Micros {
	work, shares := 0.0, 0.0
	for _, c := range s.Categories {
		work += c.Share * float64(c.Work)
		shares += c.Share
	}
	return policy.Micros(work / shares)
}

// Group is the group that drops a category's repeats at this machine, and for how long, if repeats are dropped.
func (m Machine) Group(s *Scenario, category int) (group int, window policy.Micros, kept bool) {
	c := &s.Categories[category]
	switch c.Scope {
	case "zone":
		group = m.Zone
	case "cell":
		group = m.Cell
	}
	return group, c.Window.Micros(), c.Repeat == "deduplicated"
}

// Memories are the groups' memories of a run, by category, tier and group.
type Memories map[[3]int]*fleet.DedupMemory

// Of gives the memory of a category's group at a machine, or nil where repeats are not dropped. It remembers for slack
// longer than the category's window.
func (all Memories) Of(s *Scenario, category int, m Machine, slack policy.Micros) *fleet.DedupMemory {
	group, window, kept := m.Group(s, category)
	if !kept {
		return nil
	}
	key := [3]int{category, m.Tier, group}
	if all[key] == nil {
		all[key] = fleet.NewDedupMemory(window + slack)
	}
	return all[key]
}

// Entry is how the registry lists a machine that has been up for long, by its place in the plan.
func (m Machine) Entry(place int) registry.Entry {
	return registry.Entry{Server: place, Zone: m.Zone, MachineType: m.KindNo, Cell: m.Cell, Weight: float64(m.Kind.Cores) * m.Kind.Speed}
}
