// Package sim runs an experiment in simulated time, as a discrete-event simulation. Servers are simulated by a model;
// each node is the actor of the real program with the policy module, on a simulated clock. All events run on one
// goroutine, so the same seed gives a result that is identical to the last byte.
package sim

import (
	"container/heap"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"github.com/rs/zerolog"

	"canvasrouter/internal/config"
	"canvasrouter/internal/lab/deciders"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/load/rngstream"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/memory"
	"canvasrouter/internal/standin/registry"
	"canvasrouter/policy"
)

// Options selects the run of an experiment.
type Options struct {
	Scenario      *scenario.Scenario
	Policy        string // one of deciders.Policies
	InjectedFault string // one of deciders.Faults; "": none
	Seed          uint64
	LoadDuration  policy.Micros
	Arrivals      []load.Arrival
	OnSecond      func(now policy.Micros, runLedger *ledger.Ledger) // called each simulated second, if set
}

const (
	loadStart              = 1000 * policy.Second     // start of the load on the simulated clock
	lateAnswerWindow       = 250 * policy.Millisecond // how long a client still waits past the latest allowed answer
	throttleSampleInterval = 250 * policy.Millisecond
	nodeDownDetection      = policy.Second // until the front end skips a crashed node

	// BucketDuration is the length of the buckets in the time series of the result.
	BucketDuration = 500 * policy.Millisecond
)

// event is a function to call at a simulated time. Events of the same time run in the order of their scheduling.
type event struct {
	at    policy.Micros
	order uint64
	do    func()
}

// eventQueue is a priority queue of events; it implements heap.Interface.
type eventQueue struct {
	heap []event
	next uint64 // order of the last scheduled event
}

func (q *eventQueue) Len() int { return len(q.heap) }
func (q *eventQueue) Less(i, j int) bool {
	return q.heap[i].at < q.heap[j].at || q.heap[i].at == q.heap[j].at && q.heap[i].order < q.heap[j].order
}
func (q *eventQueue) Swap(i, j int) { q.heap[i], q.heap[j] = q.heap[j], q.heap[i] }
func (q *eventQueue) Push(x any)    { q.heap = append(q.heap, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.heap[len(q.heap)-1]
	q.heap[len(q.heap)-1] = event{}
	q.heap = q.heap[:len(q.heap)-1]
	return last
}

// run is the state of one run of an experiment.
type run struct {
	Options
	ledger          *ledger.Ledger
	events          eventQueue
	now             policy.Micros
	rng             *rand.Rand // for network delays and losses
	plan            *scenario.Plan
	servers         []*server
	nodes           []*simNode
	catalogs        []*registry.Catalog // by tier
	registryDelay   policy.Micros       // additional delay of the registry
	registryDown    bool
	dedupMemories   scenario.DedupMemories
	serverIndexByID map[policy.ServerID]int
	frontTurn       int             // number of requests that the front end has assigned
	clockStep       policy.Micros   // offset of the clients' clocks
	zoneDelays      []scenario.Step // by zone: the active ZoneDelay step of its traffic with other zones
	lostPushShare   []float64       // by server: share of the pushes from half of the nodes that is lost
	err             error
}

// Run runs an experiment to its end, or until ctx is done; then the result is partial.
func Run(ctx context.Context, options Options) (*ledger.Result, *ledger.Ledger, error) {
	s := options.Scenario
	r := &run{
		Options:         options,
		now:             loadStart - s.Load.LeadTime.Micros(),
		rng:             rngstream.New(options.Seed, "network"),
		ledger:          ledger.New(s, loadStart, BucketDuration, true),
		plan:            s.Plan(rngstream.New(options.Seed, "troubles")),
		dedupMemories:   make(scenario.DedupMemories),
		serverIndexByID: make(map[policy.ServerID]int),
	}
	r.build()
	if r.err != nil {
		return nil, nil, r.err
	}
	for i := range r.plan.Steps {
		step := &r.plan.Steps[i]
		if step.At < options.LoadDuration {
			r.schedule(loadStart+step.At, func() { r.applyStep(step) })
		}
	}
	for i := range options.Arrivals {
		arrival := &options.Arrivals[i]
		r.schedule(loadStart+arrival.At, func() { r.startClientOp(arrival) })
	}
	maxTTL := policy.Micros(0)
	for _, c := range s.Categories {
		maxTTL = max(maxTTL, c.TTL.Micros())
	}
	end := loadStart + options.LoadDuration + maxTTL + s.Limits.AnswerSlack.Micros() + 2*lateAnswerWindow + policy.Second
	r.schedulePeriodic(loadStart, throttleSampleInterval, r.sampleThrottles)
	if options.OnSecond != nil {
		r.schedulePeriodic(loadStart, policy.Second, func() { options.OnSecond(r.now-loadStart, r.ledger) })
	}
	partial := r.processEvents(ctx, end)
	if partial {
		r.ledger.Abort(r.now)
	}
	result := r.ledger.Finish(loadStart + min(options.LoadDuration, r.now-loadStart))
	result.Partial = partial
	return result, r.ledger, r.err
}

// processEvents runs the events up to a time. It reports whether ctx ended it early.
func (r *run) processEvents(ctx context.Context, end policy.Micros) (partial bool) {
	for n := 0; len(r.events.heap) > 0 && r.events.heap[0].at <= end && r.err == nil; n++ {
		if n%1024 == 0 && ctx.Err() != nil {
			return true
		}
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return false
}

// schedule adds an event. A time in the past is taken as now.
func (r *run) schedule(when policy.Micros, do func()) {
	r.events.next++
	heap.Push(&r.events, event{max(when, r.now), r.events.next, do})
}

// schedulePeriodic calls a function at first and at each interval after it until the load ends.
func (r *run) schedulePeriodic(first, interval policy.Micros, do func()) {
	r.schedule(first, func() {
		do()
		if r.now < loadStart+r.LoadDuration {
			r.schedulePeriodic(r.now+interval, interval, do)
		}
	})
}

// networkDelay returns the delay of one message through the network, in one direction.
func (r *run) networkDelay() policy.Micros {
	return r.Scenario.Network.Delay.Micros() + policy.Micros(r.rng.Float64()*float64(r.Scenario.Network.Jitter))
}

// pathImpairment returns the delay between a node and a server beyond the network's own, and whether a message between
// them is lost now.
func (r *run) pathImpairment(from *simNode, to *server) (extraDelay policy.Micros, lost bool) {
	loss := 0.0
	if from.Zone != to.machine.Zone {
		for _, zone := range []int{from.Zone, to.machine.Zone} {
			extraDelay = max(extraDelay, r.zoneDelays[zone].Time)
			loss = max(loss, r.zoneDelays[zone].Factor)
		}
	}
	if from.Tier == 0 && from.globalIndex%2 == 0 {
		loss = max(loss, r.lostPushShare[to.index])
	}
	return extraDelay, loss > 0 && r.rng.Float64() < loss
}

// serverID returns the ID of a server: a hash as on real nodes, so that the module's order of servers differs from the
// order of the simulation.
func serverID(index int) policy.ServerID {
	h := fnv.New64a()
	fmt.Fprintf(h, "s-%d", index)
	return policy.ServerID(h.Sum64() >> 16)
}

// build creates the servers, the registry's catalogs and the nodes, and starts the nodes.
func (r *run) build() {
	s := r.Scenario
	r.zoneDelays = make([]scenario.Step, len(s.Zones))
	r.lostPushShare = make([]float64, len(r.plan.Machines))
	initialEntries := make([][]registry.Entry, len(s.Tiers))
	for i, m := range r.plan.Machines {
		r.servers = append(r.servers, newServer(r, i, m, i < r.plan.InitialCount))
		r.serverIndexByID[serverID(i)] = i
		if i < r.plan.InitialCount {
			initialEntries[m.Tier] = append(initialEntries[m.Tier], m.RegistryEntry(i))
		}
	}
	for _, entries := range initialEntries {
		r.catalogs = append(r.catalogs, registry.NewCatalog(entries, s.Registry.Mode == "whole"))
	}
	for i, n := range s.Nodes() {
		simulated := &simNode{run: r, globalIndex: i, Node: n}
		if n.Server >= 0 {
			r.servers[n.Server].nextTierNode = simulated
		}
		r.nodes = append(r.nodes, simulated)
		simulated.start()
	}
}

// policyEntries converts entries of a catalog to those of the policy module. Addresses are empty in the simulation.
func (r *run) policyEntries(entries ...registry.Entry) ([]policy.ListEntry, []string) {
	var out []policy.ListEntry
	for _, e := range entries {
		out = append(out, policy.ListEntry{Server: serverID(e.Server), StartedAt: e.StartedAt, Weight: e.Weight,
			Cell: policy.CellID(e.Cell), MachineType: policy.MachineTypeID(e.MachineType), Zone: policy.ZoneID(e.Zone), State: e.State})
	}
	return out, make([]string, len(out))
}

// applyStep applies one step of the plan.
func (r *run) applyStep(step *scenario.Step) {
	if step.Event != "" {
		r.ledger.RecordEvent(fmt.Sprintf("%.1f s: %s", float64(r.now-loadStart)/1e6, step.Event))
	}
	target := r.servers[step.Server]
	switch step.Action {
	case scenario.ServerSlow:
		target.model.SetSlowdown(step.Factor)
	case scenario.ServerStall:
		target.model.Stall(r.now, loadStart+step.Time)
	case scenario.ServerCrash:
		target.crash()
	case scenario.ServerSilence:
		target.silent = true
		target.crash()
	case scenario.ServerStart:
		target.start()
	case scenario.ServerSetMode:
		target.mode = step.Mode
	case scenario.ServerSetListed:
		r.setListed(step.Server, step.State)
	case scenario.RegistryDown:
		r.registryDown = true
		for _, n := range r.nodes {
			n.breakWatch()
		}
	case scenario.RegistryUp:
		r.registryDown = false
	case scenario.RegistryDelay:
		r.registryDelay = step.Time
	case scenario.RegistrySaveSnapshot, scenario.RegistryServeSnapshot, scenario.RegistryServeCurrent:
		for _, catalog := range r.catalogs {
			map[scenario.Action]func(){scenario.RegistrySaveSnapshot: catalog.SaveSnapshot, scenario.RegistryServeSnapshot: catalog.ServeSnapshot,
				scenario.RegistryServeCurrent: catalog.ServeCurrent}[step.Action]()
		}
		r.publish()
	case scenario.NodeCrash:
		r.nodes[step.Node].crash()
	case scenario.NodeStart:
		r.nodes[step.Node].start()
	case scenario.NodeTerminate:
		r.nodes[step.Node].terminate()
	case scenario.ClockStep:
		r.clockStep = step.Time
	case scenario.ZoneDelay:
		r.zoneDelays[step.Zone] = *step
	case scenario.PartialLoss:
		r.lostPushShare[step.Server] = step.Factor
	}
}

// setListed changes a server's state in the catalog of its tier and publishes the change.
func (r *run) setListed(server int, state policy.ServerState) {
	m := r.plan.Machines[server]
	entry, known := r.catalogs[m.Tier].Lookup(server)
	if !known {
		entry = m.RegistryEntry(server)
	}
	entry.State = state
	entry.StartedAt = r.servers[server].started
	r.catalogs[m.Tier].SetEntry(entry)
	r.publish()
}

// publish sends changes of the catalogs to the nodes that watch them, after the registry's delay.
func (r *run) publish() {
	r.schedule(r.now+r.Scenario.Registry.Delay.Micros()+r.registryDelay, func() {
		for _, n := range r.nodes {
			n.notifyChanged()
		}
	})
}

// sampleThrottles records the active throttles of the first node.
func (r *run) sampleThrottles() {
	n := r.nodes[0]
	if n.module == nil || !n.up {
		return
	}
	n.module.VisitThrottles(func(server policy.ServerID, rate float64, cutoffLevel int) {
		name := "all"
		if server != 0 {
			name = fmt.Sprintf("s-%d", r.serverIndexByID[server])
		}
		r.ledger.RecordThrottle(r.now, ledger.Throttle{Server: name, Rate: rate, CutoffLevel: cutoffLevel})
	})
}

// nodeOptions returns a node's configuration, parsed from the document that a real node would read, and the maximum
// number of pending ops that its sockets allow.
func (r *run) nodeOptions(n scenario.Node) (*config.Config, int, error) {
	c, err := config.Parse(r.Scenario.NodeConfig(n, "n", "127.0.0.1:1", "127.0.0.1:1", r.Seed, nil, nil), func(string) string { return "" })
	if err != nil {
		return nil, 0, err
	}
	return c, memory.NewPlan(c.MemoryBytes(), c.Sockets).PendingOps, nil
}

var discardLogger = zerolog.Nop()

// newDecider returns the decider that the options select, and the policy module inside it, which is nil for a baseline.
func (r *run) newDecider(c *config.Config, seed uint64) (policy.Decider, *policy.Node) {
	decider, module, err := deciders.New(r.Policy, r.InjectedFault, c.Rules, seed)
	if err != nil {
		r.err = err
	}
	return decider, module
}
