// Package trial is what an experiment puts in the module's place: policies to compare it with, and the module with one
// rule broken on purpose. None of it is for service.
package trial

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"canvasrouter/internal/config"
	"canvasrouter/policy"
)

// Module is the name of the module itself among the policies.
const Module = "module"

// Policies are the names that New knows.
var Policies = []string{Module, "random", "round-robin", "least-request"}

// New makes a decider by its name, and with a fault if one is named. The module inside is nil for the other policies.
func New(name, fault string, rules *config.Rules, seed uint64) (d policy.Decider, module *policy.Node, err error) {
	switch name {
	case Module, "":
		module = rules.NewNode(seed)
		d = module
	case "random", "round-robin", "least-request":
		d = newBaseline(name, rules, seed)
	default:
		return nil, nil, fmt.Errorf("policy %q is not one of %s", name, strings.Join(Policies, ", "))
	}
	d, err = InjectFault(fault, d, rules)
	return d, module, err
}

// baseline is a plain policy that keeps the rules: it picks a server by its one criterion, skips those that drain,
// and pushes again at once where the op's kind of repeat allows it. It sheds nothing and trusts nobody less.
type baseline struct {
	by      string
	rules   *config.Rules
	rng     *rand.Rand
	servers []plain
	place   map[policy.ServerID]int
	ops     map[policy.OpID]*plainOp
	turn    int
	effects []policy.Effect
	token   policy.Token
}

type plain struct {
	policy.Entry
	out int
}

type plainOp struct {
	category policy.CategoryID
	notAfter policy.Micros
	pushes   int
	out      int
	risky    bool // a push may have run
	over     bool
	to       policy.Entry // of the last push, as it was listed then: it may have left the list since
	first    policy.Entry // of the first push that may have run
	risk     policy.Micros
}

// relist is how long a baseline waits to ask for the list again.
const relist = policy.Second

func newBaseline(by string, rules *config.Rules, seed uint64) *baseline {
	rng := rand.New(rand.NewPCG(seed, 1))
	// Danger: nodes that all begin their round at one server would send it everything together.
	return &baseline{by: by, rules: rules, rng: rng, turn: rng.IntN(1 << 20),
		place: make(map[policy.ServerID]int), ops: make(map[policy.OpID]*plainOp)}
}

// Step implements policy.Decider.
func (b *baseline) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	b.effects = b.effects[:0]
	switch in.Kind {
	case policy.OpArrived:
		o := &plainOp{category: in.Category, notAfter: in.NotAfter}
		b.ops[in.Op] = o
		b.push(now, in.Op, o)
	case policy.PushEnded:
		if at, known := b.place[in.Server]; known {
			b.servers[at].out = max(0, b.servers[at].out-1)
		}
		if o := b.ops[in.Op]; o != nil {
			o.out--
			b.ended(now, in, o)
		}
	case policy.OpAbandoned:
		if o := b.ops[in.Op]; o != nil {
			o.over = true
			b.forget(in.Op, o)
		}
	case policy.Woken:
		if in.Token == b.token {
			b.emit(policy.Effect{Kind: policy.Watch})
		}
	case policy.ListCame:
		b.list(now, in)
	}
	return b.effects
}

func (b *baseline) emit(e policy.Effect) { b.effects = append(b.effects, e) }

func (b *baseline) list(now policy.Micros, in *policy.Input) {
	switch in.Form {
	case policy.ListFailed:
		b.token++
		b.emit(policy.Effect{Kind: policy.Wake, At: now + relist, Token: b.token})
		return
	case policy.ListCached:
		b.emit(policy.Effect{Kind: policy.Watch})
	}
	listed := make(map[policy.ServerID]bool, len(in.List))
	for _, e := range in.List {
		listed[e.Server] = e.State != policy.Gone
		if at, known := b.place[e.Server]; known {
			b.servers[at].Entry = e
		} else if e.State != policy.Gone {
			b.servers = append(b.servers, plain{Entry: e})
			b.place[e.Server] = len(b.servers) - 1
		}
	}
	kept := b.servers[:0]
	for _, s := range b.servers {
		if s.State != policy.Gone && (listed[s.Server] || in.Form == policy.ListChanges) {
			kept = append(kept, s)
		}
	}
	b.servers = kept
	sort.Slice(kept, func(i, j int) bool { return kept[i].Server < kept[j].Server })
	clear(b.place)
	for i := range kept {
		b.place[kept[i].Server] = i
	}
}

// allowed says whether an op may go to a server by its kind of repeat.
func (b *baseline) allowed(now policy.Micros, o *plainOp, e *policy.Entry) bool {
	c := &b.rules.Categories[o.category]
	if e.State != policy.Ready {
		return false
	}
	if !o.risky || c.Repeat == policy.Redeliverable {
		return true
	}
	return c.Repeat == policy.Deduplicated && now < o.risk+c.Window && (c.Scope == policy.ScopeAll ||
		c.Scope == policy.ScopeZone && e.Zone == o.first.Zone || c.Scope == policy.ScopeCell && e.Cell == o.first.Cell)
}

func (b *baseline) push(now policy.Micros, id policy.OpID, o *plainOp) {
	var can []int
	if o.pushes < b.rules.Push.Max && now < o.notAfter {
		for i := range b.servers {
			if b.allowed(now, o, &b.servers[i].Entry) && (b.servers[i].Server != o.to.Server || o.pushes == 0) {
				can = append(can, i)
			}
		}
	}
	if len(can) == 0 {
		o.over = true
		kind := policy.Nack
		if o.risky && b.rules.Categories[o.category].Repeat != policy.Redeliverable {
			kind = policy.DeadLetter
		}
		b.emit(policy.Effect{Kind: kind, Op: id})
		b.forget(id, o)
		return
	}
	pick := can[b.rng.IntN(len(can))]
	switch b.by {
	case "round-robin":
		b.turn++
		pick = can[b.turn%len(can)]
	case "least-request":
		for _, i := range can {
			if b.servers[i].out < b.servers[pick].out {
				pick = i
			}
		}
	}
	s := &b.servers[pick]
	s.out++
	o.pushes++
	o.out++
	o.to = s.Entry
	b.emit(policy.Effect{Kind: policy.Push, Op: id, Server: s.Server,
		For: min(o.notAfter-now, b.rules.Categories[o.category].Target)})
}

func (b *baseline) ended(now policy.Micros, in *policy.Input, o *plainOp) {
	if in.Settled {
		o.over = true
	}
	switch in.Outcome {
	case policy.Acked, policy.Errored, policy.TimedOut, policy.Reset, policy.Cancelled:
		if !o.risky {
			o.first, o.risk = o.to, now-in.Took
		}
		o.risky = true
	}
	if !o.over {
		b.push(now, in.Op, o)
		return
	}
	b.forget(in.Op, o)
}

func (b *baseline) forget(id policy.OpID, o *plainOp) {
	if o.over && o.out == 0 {
		delete(b.ops, id)
	}
}
