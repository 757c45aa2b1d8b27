package config

import (
	"fmt"
	"strings"
	"time"

	"canvasrouter/policy"
)

// Explain describes the configuration in a few lines of text.
func (c *Config) Explain() string {
	var text strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	rules := c.Rules
	writeLine("Node %q listens on %s and follows the list of servers at %s.", c.Name, c.Listen, c.RegistryAddr)
	writeLine("It may use %g cores, %d MB and %d sockets, and logs at level %s.", c.Cores, c.MemoryMB, c.Sockets, c.LogLevel)
	writeLine("It is node %d of %d before tier %d of %d, in zone %s.", rules.Topology.NodeNumber+1, rules.Topology.NodeCount, rules.Topology.Tier+1,
		rules.Topology.TierCount, nameOf(c.Names.Zones, int(rules.Topology.Zone)))
	writeLine("")
	for i, category := range rules.Categories {
		writeLine("Category %s: benefit %g within %s, %g of that up to its TTL of %s.", nameOf(c.Names.Categories, i), category.Benefit,
			Duration(category.TargetLatency), category.LateBenefit, Duration(category.TTL))
		writeLine("  %s", describeRepeat(&category))
	}
	for _, key := range c.IgnoredSettings {
		writeLine("Setting %s is given but no longer used.", key)
	}
	writeLine("")
	writeLine("An op gets at most %d pushes, %s. A connection not open within %s has failed.", rules.PushLimits.MaxPushes,
		choose(rules.PushLimits.MayDuplicate, "also two at once", "never two at once"), Duration(rules.PushLimits.DialTimeout))
	if rules.PushLimits.MaxRetryAfter > 0 {
		writeLine("A nack carries a Retry-After of at most %s.", Duration(rules.PushLimits.MaxRetryAfter))
	} else {
		writeLine("A nack carries no Retry-After.")
	}
	writeLine("A server that has just started has %g%% of its capacity and is warm after %s; all nodes together must not send it",
		100*rules.ColdStart.InitialShare, Duration(rules.ColdStart.WarmUpTime))
	writeLine("more than %g times its capacity for %s.", rules.ColdStart.OverloadFactor, Duration(rules.ColdStart.OverloadWindow))
	c.explainFleet(writeLine)
	c.explainStore(writeLine)
	writeLine("The registry sends changes of the list %s.", choose(rules.Registry.MustSubscribe, "only on request, and the node requests them", "unasked"))
	return text.String()
}

// explainFleet describes the key fleet.
func (c *Config) explainFleet(writeLine func(format string, args ...any)) {
	fleet := c.Fleet
	if fleet == nil {
		if c.Rules.Topology.PeerMessaging {
			writeLine("Setting limits.peers allows peer messages, but key fleet is left out: nodes send none, and each decides alone.")
		}
		return
	}
	writeLine("The node is a member of fleet %q: it listens on %s (UDP and TCP), advertises %s and joins through %v.", fleet.Name,
		fleet.Listen, fleet.Advertise, fleet.Join)
	writeLine("It sends at most %d bytes a second in datagrams to other nodes and drops the rest.", fleet.MaxBytesPerSecond)
	switch {
	case fleet.PeerMessages && c.Rules.Topology.PeerMessaging:
		writeLine("Nodes exchange peer messages about what they push and how it ends.")
	case fleet.PeerMessages:
		writeLine("Nodes exchange no peer messages: setting limits.peers is not true.")
	default:
		writeLine("Nodes exchange no peer messages: fleet.words is off.")
	}
	writeLine("Outlier reports of other nodes %s.", choose(fleet.OutlierReports, "count where this node has no better evidence of its own", "are neither sent nor used"))
	if fleet.ControlSocket != "" {
		writeLine("Its own user can query its state through the socket %s (canvasrouter fleet).", fleet.ControlSocket)
	}
}

// describeRepeat says when an op of a category may be pushed again.
func describeRepeat(category *policy.Category) string {
	switch category.Delivery {
	case policy.Deduplicated:
		scope := [...]string{"all servers", "the servers of a zone", "the servers of a cell"}[category.DedupScope]
		return fmt.Sprintf("Deduplicated: %s drop a repeat for %s after the first push that may have run.", scope, Duration(category.DedupWindow))
	case policy.AtMostOnce:
		return "At-most-once: pushed again only when no earlier push can have run."
	}
	return "Redeliverable: may run again."
}

// nameOf returns the name with the given number, or the number as text if it has none.
func nameOf(names []string, number int) string {
	if number < len(names) {
		return names[number]
	}
	return fmt.Sprintf("number %d", number)
}

// choose returns ifTrue or ifFalse.
func choose(condition bool, ifTrue, ifFalse string) string {
	if condition {
		return ifTrue
	}
	return ifFalse
}

// Duration converts the policy's microseconds to a time.Duration.
func Duration(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
