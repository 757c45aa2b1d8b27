package config

import (
	"fmt"
	"strings"
	"time"

	"canvasrouter/policy"
)

// Explain says in words what a configuration means: a few lines of text.
func (c *Config) Explain() string {
	var text strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	rules := c.Rules
	writeLine("Node %q listens on %s and follows the list of servers at %s.", c.Name, c.Listen, c.RegistryAddr)
	writeLine("It may use %g cores, %d MB and %d sockets, and logs at level %s.", c.Cores, c.MemoryMB, c.Sockets, c.LogLevel)
	writeLine("It is node %d of %d before tier %d of %d, in zone %s.", rules.Topology.Number+1, rules.Topology.Nodes, rules.Topology.Tier+1,
		rules.Topology.Tiers, nameOf(c.Names.Zones, int(rules.Topology.Zone)))
	writeLine("")
	for i, category := range rules.Categories {
		writeLine("Category %s: benefit %g within %s, %g of that up to its TTL of %s.", nameOf(c.Names.Categories, i), category.Benefit,
			Duration(category.Target), category.Late, Duration(category.TTL))
		writeLine("  %s", describeRepeat(&category))
	}
	for _, key := range c.IgnoredSettings {
		writeLine("Setting %s is given, and no longer heeded.", key)
	}
	writeLine("")
	writeLine("An op gets at most %d pushes, %s. A connection not open within %s has failed.", rules.PushLimits.Max,
		choose(rules.PushLimits.Duplicate, "also two at once", "never two at once"), Duration(rules.PushLimits.Dial))
	if rules.PushLimits.RetryAfter > 0 {
		writeLine("A nack says when to come back, %s at most.", Duration(rules.PushLimits.RetryAfter))
	} else {
		writeLine("A nack gives no advice.")
	}
	writeLine("A server that has just started can do %g%% of its work and is warm after %s; all nodes together must not send it",
		100*rules.ColdStart.From, Duration(rules.ColdStart.Warm))
	writeLine("more than %g times what it can do for %s.", rules.ColdStart.Factor, Duration(rules.ColdStart.Window))
	c.explainFleet(writeLine)
	c.explainStore(writeLine)
	writeLine("Changes of the list come %s.", choose(rules.Registry.Ask, "only on asking, and the node asks", "unasked"))
	return text.String()
}

func (c *Config) explainFleet(writeLine func(format string, args ...any)) {
	fleet := c.Fleet
	if fleet == nil {
		if c.Rules.Topology.Peers {
			writeLine("Nodes may tell each other what they push, but key fleet is left out: there is no way for it, and each decides alone.")
		}
		return
	}
	writeLine("The node hears others of fleet %q: it listens on %s (UDP and TCP), they reach it at %s, and it joins by %v.", fleet.Name,
		fleet.Listen, fleet.Advertise, fleet.Join)
	writeLine("It sends them at most %d bytes a second in datagrams; what is more is dropped.", fleet.MaxBytesPerSecond)
	switch {
	case fleet.PeerMessages && c.Rules.Topology.Peers:
		writeLine("Modules tell each other what they push and how it ends.")
	case fleet.PeerMessages:
		writeLine("Modules tell each other nothing: setting limits.peers is not true.")
	default:
		writeLine("Modules tell each other nothing: fleet.words is off.")
	}
	writeLine("What others find of servers %s.", choose(fleet.OutlierReports, "weighs, where this node has no better evidence of its own", "is neither told nor heeded"))
	if fleet.ControlSocket != "" {
		writeLine("Its own user sees what it knows by the socket %s (canvasrouter fleet).", fleet.ControlSocket)
	}
}

func describeRepeat(category *policy.Category) string {
	switch category.Repeat {
	case policy.Deduplicated:
		scope := [...]string{"all servers", "the servers of a zone", "the servers of a cell"}[category.Scope]
		return fmt.Sprintf("Deduplicated: %s drop a repeat for %s after the first push that may have run.", scope, Duration(category.Window))
	case policy.AtMostOnce:
		return "At-most-once: pushed again only when no earlier push can have run."
	}
	return "Redeliverable: may run again."
}

func nameOf(names []string, number int) string {
	if number < len(names) {
		return names[number]
	}
	return fmt.Sprintf("number %d", number)
}

func choose(condition bool, ifTrue, ifFalse string) string {
	if condition {
		return ifTrue
	}
	return ifFalse
}

// Duration is a time of the module's as the libraries take it.
func Duration(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
