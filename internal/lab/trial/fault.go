package trial

import (
	"fmt"
	"sort"
	"strings"

	"canvasrouter/internal/config"
	"canvasrouter/policy"
)

// Faults are the ways to break a rule on purpose, and the rule that each breaks.
var Faults = map[string]string{
	"double-push":  "effect",
	"lost-answer":  "answer",
	"late-answer":  "answer",
	"drained-send": "drain",
	"cold-flood":   "cold",
}

// every op of this number is dropped by lost-answer and late-answer.
const every = 20

// flood is how long cold-flood sends everything to a server that has just started.
const flood = 3 * policy.Second

// unseen is the longest that cold-flood lets a push there seem to take.
const unseen = 50 * policy.Millisecond

// Slack is by how much a node with this fault lets an op lie past its client's end, in place of the settings' slack.
func AnswerSlack(fault string, settings policy.Micros) policy.Micros {
	switch fault {
	case "lost-answer":
		return settings + policy.Second*3600
	case "late-answer":
		return settings + 150*policy.Millisecond
	}
	return settings
}

// Break puts a fault around a decider. No name is no fault.
func InjectFault(fault string, d policy.Decider, rules *config.Rules) (policy.Decider, error) {
	switch fault {
	case "":
		return d, nil
	case "double-push":
		return &doublePush{inner: d, rules: rules, category: make(map[policy.OpID]policy.CategoryID),
			extra: make(map[policy.OpID]bool)}, nil
	case "lost-answer", "late-answer":
		return &silent{inner: d, dropped: make(map[policy.OpID]bool)}, nil
	case "drained-send":
		return drainedSend{d}, nil
	case "cold-flood":
		return &coldFlood{inner: d, meant: make(map[pushOf]policy.ServerID), pushes: make(map[policy.OpID]policy.PushNo)}, nil
	}
	names := make([]string, 0, len(Faults))
	for name := range Faults {
		names = append(names, name)
	}
	sort.Strings(names)
	return nil, fmt.Errorf("fault %q is not one of %s", fault, strings.Join(names, ", "))
}

// doublePush sends an op that must not run twice to a second server at once.
type doublePush struct {
	inner    policy.Decider
	rules    *config.Rules
	servers  []policy.ServerID
	category map[policy.OpID]policy.CategoryID
	extra    map[policy.OpID]bool // push 1 is ours; the module's own count on from there
	out      []policy.Effect
}

func (d *doublePush) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	told := *in
	switch in.Kind {
	case policy.OpArrived:
		delete(d.extra, in.Op)
		d.category[in.Op] = in.Category
	case policy.PushEnded:
		if d.extra[in.Op] && in.Push == 1 {
			return nil
		}
		if d.extra[in.Op] && in.Push > 1 {
			told.Push--
		}
	case policy.ListCame:
		for _, e := range in.List {
			if e.State == policy.Ready {
				d.servers = append(d.servers, e.Server)
			}
		}
	}
	d.out = d.out[:0]
	for _, e := range d.inner.Step(now, &told) {
		if e.Kind == policy.Cancel && d.extra[e.Op] && e.Push > 0 {
			e.Push++
		}
		d.out = append(d.out, e)
		if e.Kind != policy.Push || d.extra[e.Op] || d.rules.Categories[d.category[e.Op]].Repeat == policy.Redeliverable {
			continue
		}
		for _, other := range d.servers {
			if other != e.Server {
				again := e
				again.Server = other
				d.out = append(d.out, again)
				d.extra[e.Op] = true
				break
			}
		}
	}
	return d.out
}

// silent forgets every so many ops.
type silent struct {
	inner   policy.Decider
	seen    int
	dropped map[policy.OpID]bool
}

func (s *silent) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	switch in.Kind {
	case policy.OpArrived:
		delete(s.dropped, in.Op)
		if s.seen++; s.seen%every == 0 {
			s.dropped[in.Op] = true
			return nil
		}
	case policy.OpAbandoned:
		if s.dropped[in.Op] {
			return nil
		}
	}
	return s.inner.Step(now, in)
}

// drainedSend does not hear of drains.
type drainedSend struct{ inner policy.Decider }

func (d drainedSend) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	if in.Kind != policy.ListCame {
		return d.inner.Step(now, in)
	}
	told := *in
	told.List = append([]policy.Entry(nil), in.List...)
	for i := range told.List {
		told.List[i].State = policy.Ready
	}
	return d.inner.Step(now, &told)
}

type pushOf struct {
	op   policy.OpID
	push policy.PushNo
}

// coldFlood sends every push to the server that started last.
type coldFlood struct {
	inner  policy.Decider
	cold   policy.ServerID
	until  policy.Micros
	meant  map[pushOf]policy.ServerID
	pushes map[policy.OpID]policy.PushNo
	out    []policy.Effect
}

func (c *coldFlood) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	told := *in
	switch in.Kind {
	case policy.OpArrived:
		c.pushes[in.Op] = 0
	case policy.PushEnded:
		if meant, other := c.meant[pushOf{in.Op, in.Push}]; other {
			told.Server = meant
			// The module would hold back as soon as its pushes take long, wherever it thinks they went.
			told.Took = min(told.Took, unseen)
			delete(c.meant, pushOf{in.Op, in.Push})
		}
	case policy.ListCame:
		for _, e := range in.List {
			if e.State == policy.Ready && in.Form != policy.ListCached && now-e.Started < policy.Second {
				c.cold, c.until = e.Server, now+flood
			}
		}
	}
	c.out = c.out[:0]
	for _, e := range c.inner.Step(now, &told) {
		if e.Kind == policy.Push {
			no := c.pushes[e.Op]
			c.pushes[e.Op]++
			if now < c.until && e.Server != c.cold {
				c.meant[pushOf{e.Op, no}] = e.Server
				e.Server = c.cold
			}
		}
		c.out = append(c.out, e)
	}
	return c.out
}
