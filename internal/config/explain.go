package config

import (
	"fmt"
	"strings"
	"time"

	"canvasrouter/policy"
)

// Explain says in words what a configuration means: a few lines of text.
func (c *Config) Explain() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	r := c.Rules
	line("Node %q listens on %s and follows the list of servers at %s.", c.Name, c.Listen, c.RegistryAddr)
	line("It may use %g cores, %d MB and %d sockets, and logs at level %s.", c.Cores, c.MemoryMB, c.Sockets, c.LogLevel)
	line("It is node %d of %d before tier %d of %d, in zone %s.", r.Topology.NodeNumber+1, r.Topology.NodeCount, r.Topology.Tier+1,
		r.Topology.TierCount, name(c.Names.Zones, int(r.Topology.Zone)))
	line("")
	for i, k := range r.Categories {
		line("Category %s: benefit %g within %s, %g of that up to its TTL of %s.", name(c.Names.Categories, i), k.Benefit,
			Duration(k.TargetLatency), k.LateBenefit, Duration(k.TTL))
		line("  %s", repeats(&k))
	}
	for _, key := range c.IgnoredSettings {
		line("Setting %s is given, and no longer heeded.", key)
	}
	line("")
	line("An op gets at most %d pushes, %s. A connection not open within %s has failed.", r.PushLimits.MaxPushes,
		either(r.PushLimits.MayDuplicate, "also two at once", "never two at once"), Duration(r.PushLimits.DialTimeout))
	if r.PushLimits.MaxRetryAfter > 0 {
		line("A nack says when to come back, %s at most.", Duration(r.PushLimits.MaxRetryAfter))
	} else {
		line("A nack gives no advice.")
	}
	line("A server that has just started can do %g%% of its work and is warm after %s; all nodes together must not send it",
		100*r.ColdStart.InitialShare, Duration(r.ColdStart.WarmUpTime))
	line("more than %g times what it can do for %s.", r.ColdStart.OverloadFactor, Duration(r.ColdStart.OverloadWindow))
	c.explainFleet(line)
	c.explainStore(line)
	line("Changes of the list come %s.", either(r.Registry.MustSubscribe, "only on asking, and the node asks", "unasked"))
	return b.String()
}

func (c *Config) explainFleet(line func(format string, args ...any)) {
	f := c.Fleet
	if f == nil {
		if c.Rules.Topology.PeerMessaging {
			line("Nodes may tell each other what they push, but key fleet is left out: there is no way for it, and each decides alone.")
		}
		return
	}
	line("The node hears others of fleet %q: it listens on %s (UDP and TCP), they reach it at %s, and it joins by %v.", f.Name,
		f.Listen, f.Advertise, f.Join)
	line("It sends them at most %d bytes a second in datagrams; what is more is dropped.", f.MaxBytesPerSecond)
	switch {
	case f.PeerMessages && c.Rules.Topology.PeerMessaging:
		line("Modules tell each other what they push and how it ends.")
	case f.PeerMessages:
		line("Modules tell each other nothing: setting limits.peers is not true.")
	default:
		line("Modules tell each other nothing: fleet.words is off.")
	}
	line("What others find of servers %s.", either(f.OutlierReports, "weighs, where this node has no better evidence of its own", "is neither told nor heeded"))
	if f.ControlSocket != "" {
		line("Its own user sees what it knows by the socket %s (canvasrouter fleet).", f.ControlSocket)
	}
}

func repeats(k *policy.Category) string {
	switch k.Delivery {
	case policy.Deduplicated:
		group := [...]string{"all servers", "the servers of a zone", "the servers of a cell"}[k.DedupScope]
		return fmt.Sprintf("Deduplicated: %s drop a repeat for %s after the first push that may have run.", group, Duration(k.DedupWindow))
	case policy.AtMostOnce:
		return "At-most-once: pushed again only when no earlier push can have run."
	}
	return "Redeliverable: may run again."
}

func name(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("number %d", i)
}

func either(yes bool, one, other string) string {
	if yes {
		return one
	}
	return other
}

// Duration is a time of the module's as the libraries take it.
func Duration(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
