// Package deciders provides the deciders of an experiment other than the plain policy module: simple baseline policies to
// compare the module with, and wrappers that break one rule on purpose. None of them is for production use.
package deciders

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"canvasrouter/internal/config"
	"canvasrouter/policy"
)

// Module is the name of the policy module itself in Policies.
const Module = "module"

// Policies are the names that New accepts.
var Policies = []string{Module, "random", "round-robin", "least-request"}

// New returns the decider with the given name, wrapped in a fault if one is named. module is the policy module inside
// the decider, or nil for a baseline.
func New(name, fault string, rules *config.Rules, seed uint64) (decider policy.Decider, module *policy.Node, err error) {
	switch name {
	case Module, "":
		module = rules.NewNode(seed)
		decider = module
	case "random", "round-robin", "least-request":
		decider = newBaseline(name, rules, seed)
	default:
		return nil, nil, fmt.Errorf("policy %q is not one of %s", name, strings.Join(Policies, ", "))
	}
	decider, err = InjectFault(fault, decider, rules)
	return decider, module, err
}

// baseline is a simple policy that keeps the rules: it picks a server by a single criterion, skips draining servers, and
// retries at once where the delivery semantics of the op allow it. It has no overload control and no outlier detection.
type baseline struct {
	criterion  string
	rules      *config.Rules
	rng        *rand.Rand
	servers    []baselineServer
	indexByID  map[policy.ServerID]int
	ops        map[policy.OpID]*baselineOp
	nextTurn   int
	effects    []policy.Effect
	timerToken policy.TimerToken
}

// baselineServer is a listed server and the number of pushes in flight to it.
type baselineServer struct {
	policy.ListEntry
	inFlight int
}

// baselineOp is an op that is not settled, or that has pushes in flight.
type baselineOp struct {
	category    policy.CategoryID
	deadline    policy.Micros
	pushes      int
	inFlight    int
	mayHaveRun  bool // a push may have run
	settled     bool
	lastServer  policy.ListEntry // of the last push, as listed at that time; it may have left the list since
	firstServer policy.ListEntry // of the first push that may have run
	firstSentAt policy.Micros    // when the push to firstServer was sent
}

// listRetryDelay is the delay after a failed watch of the list before the next one.
const listRetryDelay = policy.Second

func newBaseline(criterion string, rules *config.Rules, seed uint64) *baseline {
	rng := rand.New(rand.NewPCG(seed, 1))
	return &baseline{
		criterion: criterion,
		rules:     rules,
		rng:       rng,
		// Nodes that all started their rotation at the same server would send all load to one server at a time.
		nextTurn:  rng.IntN(1 << 20),
		indexByID: make(map[policy.ServerID]int),
		ops:       make(map[policy.OpID]*baselineOp),
	}
}

// Step implements policy.Decider.
func (b *baseline) Step(now policy.Micros, in *policy.Input) []policy.Effect {
	b.effects = b.effects[:0]
	switch in.Kind {
	case policy.OpArrived:
		op := &baselineOp{category: in.Category, deadline: in.Deadline}
		b.ops[in.Op] = op
		b.push(now, in.Op, op)
	case policy.PushEnded:
		if index, known := b.indexByID[in.Server]; known {
			b.servers[index].inFlight = max(0, b.servers[index].inFlight-1)
		}
		if op := b.ops[in.Op]; op != nil {
			op.inFlight--
			b.pushEnded(now, in, op)
		}
	case policy.OpAbandoned:
		if op := b.ops[in.Op]; op != nil {
			op.settled = true
			b.forget(in.Op, op)
		}
	case policy.TimerFired:
		if in.Token == b.timerToken {
			b.emit(policy.Effect{Kind: policy.WatchRegistry})
		}
	case policy.ListReceived:
		b.updateList(now, in)
	}
	return b.effects
}

func (b *baseline) emit(effect policy.Effect) { b.effects = append(b.effects, effect) }

// updateList takes over a list, or the changes to it, and keeps the servers in order of their IDs.
func (b *baseline) updateList(now policy.Micros, in *policy.Input) {
	switch in.Form {
	case policy.ListFailed:
		b.timerToken++
		b.emit(policy.Effect{Kind: policy.SetTimer, TimerAt: now + listRetryDelay, Token: b.timerToken})
		return
	case policy.ListCached:
		b.emit(policy.Effect{Kind: policy.WatchRegistry})
	}
	listed := make(map[policy.ServerID]bool, len(in.List))
	for _, entry := range in.List {
		listed[entry.Server] = entry.State != policy.Gone
		if index, known := b.indexByID[entry.Server]; known {
			b.servers[index].ListEntry = entry
		} else if entry.State != policy.Gone {
			b.servers = append(b.servers, baselineServer{ListEntry: entry})
			b.indexByID[entry.Server] = len(b.servers) - 1
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
	clear(b.indexByID)
	for i := range kept {
		b.indexByID[kept[i].Server] = i
	}
}

// mayPushTo reports whether an op may be pushed to a server, given its delivery semantics and its earlier pushes.
func (b *baseline) mayPushTo(now policy.Micros, op *baselineOp, entry *policy.ListEntry) bool {
	category := &b.rules.Categories[op.category]
	if entry.State != policy.Ready {
		return false
	}
	if !op.mayHaveRun || category.Delivery == policy.Redeliverable {
		return true
	}
	return category.Delivery == policy.Deduplicated && now < op.firstSentAt+category.DedupWindow &&
		(category.DedupScope == policy.DedupScopeAll ||
			category.DedupScope == policy.DedupScopeZone && entry.Zone == op.firstServer.Zone ||
			category.DedupScope == policy.DedupScopeCell && entry.Cell == op.firstServer.Cell)
}

// push sends an op to a server picked by the criterion, or nacks or dead-letters the op if no server is allowed.
func (b *baseline) push(now policy.Micros, id policy.OpID, op *baselineOp) {
	var candidates []int
	if op.pushes < b.rules.PushLimits.MaxPushes && now < op.deadline {
		for i := range b.servers {
			if b.mayPushTo(now, op, &b.servers[i].ListEntry) && (b.servers[i].Server != op.lastServer.Server || op.pushes == 0) {
				candidates = append(candidates, i)
			}
		}
	}
	if len(candidates) == 0 {
		op.settled = true
		kind := policy.Nack
		if op.mayHaveRun && b.rules.Categories[op.category].Delivery != policy.Redeliverable {
			kind = policy.DeadLetter
		}
		b.emit(policy.Effect{Kind: kind, Op: id})
		b.forget(id, op)
		return
	}
	pick := candidates[b.rng.IntN(len(candidates))]
	switch b.criterion {
	case "round-robin":
		b.nextTurn++
		pick = candidates[b.nextTurn%len(candidates)]
	case "least-request":
		for _, i := range candidates {
			if b.servers[i].inFlight < b.servers[pick].inFlight {
				pick = i
			}
		}
	}
	server := &b.servers[pick]
	server.inFlight++
	op.pushes++
	op.inFlight++
	op.lastServer = server.ListEntry
	b.emit(policy.Effect{Kind: policy.Push, Op: id, Server: server.Server,
		Duration: min(op.deadline-now, b.rules.Categories[op.category].TargetLatency)})
}

// pushEnded retries an op after a push unless the op is settled.
func (b *baseline) pushEnded(now policy.Micros, in *policy.Input, op *baselineOp) {
	if in.OpSettled {
		op.settled = true
	}
	switch in.Outcome {
	case policy.Acked, policy.Errored, policy.TimedOut, policy.Reset, policy.Cancelled:
		if !op.mayHaveRun {
			op.firstServer = op.lastServer
			op.firstSentAt = now - in.Latency
		}
		op.mayHaveRun = true
	}
	if !op.settled {
		b.push(now, in.Op, op)
		return
	}
	b.forget(in.Op, op)
}

// forget drops an op that is settled and has no push in flight.
func (b *baseline) forget(id policy.OpID, op *baselineOp) {
	if op.settled && op.inFlight == 0 {
		delete(b.ops, id)
	}
}
