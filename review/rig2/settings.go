package rig2

// Class is a category in the settings.
type Class struct {
	Name            string
	Benefit         float64
	Effect          string // idempotent, deduplicated or at_most_once
	Scope           string // of a deduplicated one: all, zone or cell
	WindowMs        int
	TargetMs, TTLMs int
	LateBenefit     float64
}

// Settings are those of a small deployment with the figures of mty-principal, for the given categories.
func Settings(classes ...Class) map[string]any {
	var categories []map[string]any
	for _, c := range classes {
		category := map[string]any{"name": c.Name, "benefit": c.Benefit, "effect": c.Effect, "target_latency": c.TargetMs,
			"ttl": c.TTLMs, "tardy_benefit": c.LateBenefit}
		if c.Effect == "deduplicated" {
			category["key_scope"] = c.Scope
			category["repeat_window"] = c.WindowMs
		}
		categories = append(categories, category)
	}
	return map[string]any{
		"tier": 0, "tiers": []string{"front", "agenda"}, "fleet_size": 1, "slot_no": 0, "az": 0,
		"failure_domains": []string{"sitio-a", "sitio-b", "sitio-c"}, "kinds": []string{"front-fast", "front-std", "front-slow"},
		"tick": 5.0, "registry_mode": "ask", "categories": categories,
		"limits": map[string]any{"max_pushes": 3, "may_duplicate": true, "may_cancel": true, "dial_timeout": 100.0,
			"idle_close": 5000.0, "retry_after": true, "max_retry_after": 1500.0, "probes": true},
		"safety": map[string]any{"answer_slack": 20.0, "cold_from": 0.3, "cold": 7800.0, "overload_factor": 3.0,
			"tip_after": 1000.0, "must_ask_in": 10000.0, "drain_grace": 1500.0},
	}
}

// Mty are the categories of mty-principal.
func Mty() []Class {
	return []Class{
		{Name: "availability", Benefit: 12, Effect: "idempotent", TargetMs: 1200, TTLMs: 3000},
		{Name: "calendar-view", Benefit: 1, Effect: "idempotent", TargetMs: 1000, TTLMs: 2500},
		{Name: "booking", Benefit: 1, Effect: "deduplicated", Scope: "cell", WindowMs: 2000, TargetMs: 500, TTLMs: 1200},
	}
}

// Config is a node's configuration. The list that it knows is the registry's.
func Config(listen, discovery string, known Document, memoryMB, sockets int, settings map[string]any) map[string]any {
	return map[string]any{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":    known,
		"settings": settings,
	}
}
