package deciders

import (
	"fmt"
	"sort"
	"strings"

	"canvasrouter/internal/config"
	"canvasrouter/policy"
)

// Faults maps the names of the faults that InjectFault accepts to the rule that each breaks.
var Faults = map[string]string{
	"double-push":  "effect",
	"lost-answer":  "answer",
	"late-answer":  "answer",
	"drained-send": "drain",
	"cold-flood":   "cold",
}

// dropInterval is the interval, in ops, at which the faults lost-answer and late-answer drop an op.
const dropInterval = 20

// floodDuration is how long the fault cold-flood sends every push to a server that has just started.
const floodDuration = 3 * policy.Second

// maxReportedLatency is the maximum latency that the fault cold-flood reports to the decider for a redirected push.
const maxReportedLatency = 50 * policy.Millisecond

// AnswerSlack returns how long after an op's deadline a node with this fault still answers the op, given the configured
// slack.
func AnswerSlack(fault string, configured policy.Micros) policy.Micros {
	switch fault {
	case "lost-answer":
		return configured + policy.Second*3600
	case "late-answer":
		return configured + 150*policy.Millisecond
	}
	return configured
}

// InjectFault wraps a decider in the named fault. An empty name means no fault.
func InjectFault(fault string, decider policy.Decider, rules *config.Rules) (policy.Decider, error) {
	switch fault {
	case "":
		return decider, nil
	case "double-push":
		return &doublePush{inner: decider, rules: rules, category: make(map[policy.OpID]policy.CategoryID),
			duplicated: make(map[policy.OpID]bool)}, nil
	case "lost-answer", "late-answer":
		return &dropOps{inner: decider, dropped: make(map[policy.OpID]bool)}, nil
	case "drained-send":
		return ignoreDrains{decider}, nil
	case "cold-flood":
		return &coldFlood{inner: decider, intended: make(map[pushKey]policy.ServerID), pushCounts: make(map[policy.OpID]policy.PushNumber)}, nil
	}
	names := make([]string, 0, len(Faults))
	for name := range Faults {
		names = append(names, name)
	}
	sort.Strings(names)
	return nil, fmt.Errorf("fault %q is not one of %s", fault, strings.Join(names, ", "))
}

// doublePush implements the fault double-push: an op that must not run twice is pushed to a second server at once.
type doublePush struct {
	inner      policy.Decider
	rules      *config.Rules
	servers    []policy.ServerID
	category   map[policy.OpID]policy.CategoryID
	duplicated map[policy.OpID]bool // ops whose push 1 was added here; later pushes of inner are numbered one higher
	effects    []policy.Effect
}

// Step implements policy.Decider.
func (d *doublePush) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	modified := *in
	switch in.Kind {
	case policy.OpArrived:
		delete(d.duplicated, in.Op)
		d.category[in.Op] = in.Category
	case policy.PushEnded:
		if d.duplicated[in.Op] && in.Push == 1 {
			return nil
		}
		if d.duplicated[in.Op] && in.Push > 1 {
			modified.Push--
		}
	case policy.ListReceived:
		for _, e := range in.List {
			if e.State == policy.Ready {
				d.servers = append(d.servers, e.Server)
			}
		}
	}
	d.effects = d.effects[:0]
	for _, e := range d.inner.Step(now, &modified) {
		if e.Kind == policy.Cancel && d.duplicated[e.Op] && e.Push > 0 {
			e.Push++
		}
		d.effects = append(d.effects, e)
		if e.Kind != policy.Push || d.duplicated[e.Op] || d.rules.Categories[d.category[e.Op]].Delivery == policy.Redeliverable {
			continue
		}
		for _, other := range d.servers {
			if other != e.Server {
				duplicate := e
				duplicate.Server = other
				d.effects = append(d.effects, duplicate)
				d.duplicated[e.Op] = true
				break
			}
		}
	}
	return d.effects
}

// dropOps implements the faults lost-answer and late-answer: it hides one op in dropInterval from the decider.
type dropOps struct {
	inner   policy.Decider
	arrived int
	dropped map[policy.OpID]bool
}

// Step implements policy.Decider.
func (d *dropOps) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	switch in.Kind {
	case policy.OpArrived:
		delete(d.dropped, in.Op)
		if d.arrived++; d.arrived%dropInterval == 0 {
			d.dropped[in.Op] = true
			return nil
		}
	case policy.OpAbandoned:
		if d.dropped[in.Op] {
			return nil
		}
	}
	return d.inner.Step(now, in)
}

// ignoreDrains implements the fault drained-send: it reports every listed server as ready to the decider.
type ignoreDrains struct{ inner policy.Decider }

// Step implements policy.Decider.
func (d ignoreDrains) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	if in.Kind != policy.ListReceived {
		return d.inner.Step(now, in)
	}
	modified := *in
	modified.List = append([]policy.ListEntry(nil), in.List...)
	for i := range modified.List {
		modified.List[i].State = policy.Ready
	}
	return d.inner.Step(now, &modified)
}

// pushKey identifies a push of a decider.
type pushKey struct {
	op   policy.OpID
	push policy.PushNumber
}

// coldFlood implements the fault cold-flood: for floodDuration after a server's start, every push goes to that server.
type coldFlood struct {
	inner      policy.Decider
	coldServer policy.ServerID
	floodUntil policy.Micros
	intended   map[pushKey]policy.ServerID // server that the decider chose for a redirected push
	pushCounts map[policy.OpID]policy.PushNumber
	effects    []policy.Effect
}

// Step implements policy.Decider.
func (c *coldFlood) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	modified := *in
	switch in.Kind {
	case policy.OpArrived:
		c.pushCounts[in.Op] = 0
	case policy.PushEnded:
		if intended, redirected := c.intended[pushKey{in.Op, in.Push}]; redirected {
			modified.Server = intended
			// Without this bound, the module would send less as soon as its pushes took long, although it does not know
			// that they went to the cold server.
			modified.Latency = min(modified.Latency, maxReportedLatency)
			delete(c.intended, pushKey{in.Op, in.Push})
		}
	case policy.ListReceived:
		for _, e := range in.List {
			if e.State == policy.Ready && in.Form != policy.ListCached && now-e.StartedAt < policy.Second {
				c.coldServer = e.Server
				c.floodUntil = now + floodDuration
			}
		}
	}
	c.effects = c.effects[:0]
	for _, e := range c.inner.Step(now, &modified) {
		if e.Kind == policy.Push {
			number := c.pushCounts[e.Op]
			c.pushCounts[e.Op]++
			if now < c.floodUntil && e.Server != c.coldServer {
				c.intended[pushKey{e.Op, number}] = e.Server
				e.Server = c.coldServer
			}
		}
		c.effects = append(c.effects, e)
	}
	return c.effects
}
