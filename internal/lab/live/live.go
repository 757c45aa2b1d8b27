// Package live plays an experiment on loopback sockets in real time: nodes as processes of their own, stand-in servers
// and registry in this one, and the load.
package live

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"canvasrouter/internal/fleet"
	"canvasrouter/internal/lab/labnode"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/load/stream"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/together"
	"canvasrouter/internal/node"
	standin "canvasrouter/internal/standin/fleet"
	"canvasrouter/internal/standin/registry"
	"canvasrouter/internal/standin/relay"
	"canvasrouter/internal/standin/server"
	"canvasrouter/policy"
)

// Options say what is played.
type Options struct {
	Scenario     *scenario.Scenario
	Program      Program
	Seed         uint64
	LoadDuration policy.Micros // of the load
	Arrivals     []load.Arrival
	ListenAddr   string // of the first node; left out: any free address
	LogDir       string // a directory for the nodes' logs, at level info; left out: only last lines are kept
	OnSecond     func(now policy.Micros, a *ledger.Ledger)
}

const (
	watch          = 250 * policy.Millisecond // past the last moment for an answer, in which one would be seen
	sendLate       = 10 * policy.Millisecond  // a send later than this has missed its schedule
	mostLate       = 0.01                     // share of missed sends that makes a run void
	lastServe      = 500 * time.Millisecond   // in which what runs on at servers may still be an effect too many
	BucketDuration = 500 * policy.Millisecond // of the report's buckets
)

type run struct {
	Options
	clock    *node.Clock
	account  *ledger.Ledger
	plan     *scenario.Plan
	dir      string
	ports    *ports
	servers  []*server.Server
	nodes    []*balancer
	twins    map[int]*balancer // second processes, by the node whose name they have
	rig      *together.Network
	liars    []*together.FalseReporter
	closed   atomic.Int64 // the largest part of a node's servers that hearsay closed, as nodes say, in thousandths
	lag      *together.TimerLag
	registry []*registry.Service
	begin    policy.Micros
	turn     atomic.Int64
	step     atomic.Int64    // of clients' clocks
	before   []relay.Traffic // what nodes had said when the load began
	failed   chan error      // holds one
	mu       sync.Mutex
	asked    map[ledger.TryID]question
	memories scenario.DedupMemories
	memory   sync.Mutex // guards what is in memories
	open     bool       // any id is taken for an op: no load of our own
}

func (r *run) now() policy.Micros { return r.clock.Now() }

// fail ends the run; the first fault is the one that is told.
func (r *run) fail(err error) {
	select {
	case r.failed <- err:
	default:
	}
}

// Run plays an experiment to its end, or until ctx is done; then the result is partial. Nothing is left running.
func Run(ctx context.Context, o Options) (*ledger.Result, *ledger.Ledger, error) {
	r, err := start(ctx, o)
	if err != nil {
		return nil, nil, err
	}
	defer r.stop()
	partial, err := r.play(ctx)
	if err != nil {
		return nil, nil, err
	}
	r.readSamples()
	for _, n := range r.nodes {
		n.door.drop(r.account)
	}
	result := r.account.Finish(r.begin + min(o.LoadDuration, r.now()-r.begin))
	result.Partial = partial
	result.PeerTraffic = r.traffic()
	late, _ := r.lag.Stop()
	late = max(late, r.rig.MaxLateness())
	result.HarnessLateMs = float64(late.Microseconds()) / 1000
	// Danger: a machine that is too busy looks like a node at fault. What the rig itself was late with is no node's.
	if most := duration(r.account.Tolerance()); late > most {
		result.VoidReason = fmt.Sprintf("the rig itself was %v late, over %v", late.Round(time.Millisecond), most)
	}
	if missed := float64(result.ScheduleMissed); missed > mostLate*float64(len(o.Arrivals)) {
		result.VoidReason = fmt.Sprintf("the generator sent %d of %d ops more than %d ms late", result.ScheduleMissed,
			len(o.Arrivals), sendLate/policy.Millisecond)
	}
	return result, r.account, nil
}

// said is what each place of the rig has sent so far.
func (r *run) said() (all []relay.Traffic) {
	for i := 0; r.rig.Relay != nil && i < r.Scenario.Tiers[0].NodeCount; i++ {
		all = append(all, r.rig.Relay.Traffic(i))
	}
	return all
}

// traffic is what nodes have said to each other since the load began; nil where they don't.
func (r *run) traffic() *ledger.PeerTraffic {
	if r.Scenario.Fleet == nil {
		return nil
	}
	t, seconds, nodes := &ledger.PeerTraffic{}, float64(r.now()-r.begin)/float64(policy.Second), float64(len(r.before))
	for i, now := range r.said() {
		was := r.before[i]
		bytes := float64(now.SentBytes - was.SentBytes + now.SentStreamBytes - was.SentStreamBytes)
		t.BytesPerSecond += bytes / nodes / seconds
		t.MaxBytesPerSecond = max(t.MaxBytesPerSecond, bytes/seconds)
		t.DatagramsPerSecond += float64(now.SentDatagrams-was.SentDatagrams) / nodes / seconds
		t.StreamsPerSecond += float64(now.SentStreams-was.SentStreams) / nodes / seconds
		t.StreamBytesPerSecond += float64(now.SentStreamBytes-was.SentStreamBytes) / nodes / seconds
	}
	t.MaxClosedByPeers = float64(r.closed.Load()) / 1000
	return t
}

// look asks a few nodes each second what part of their servers hearsay has closed. It explains a run and judges nothing.
func (r *run) look(ctx context.Context) {
	if r.Scenario.Fleet == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range 5 {
			n := r.nodes[(turn*5+i)%r.Scenario.Tiers[0].NodeCount]
			if !n.hears {
				continue
			}
			view, err := fleet.FetchView(ctx, r.rig.Addresses(n.beside).ControlSocket)
			if err != nil {
				continue // it is down, or stopped
			}
			closed := 0
			for _, s := range view.Servers {
				if s.RemainingFraction < 1.0/3 {
					closed++
				}
			}
			if part := int64(1000 * closed / max(1, view.ReadyServers)); part > r.closed.Load() {
				r.closed.Store(part)
			}
		}
	}
}

// Serve starts the fleet and the nodes without a load of its own, and keeps them until ctx is done. Servers take any
// op. Ready is told the nodes' addresses.
func Serve(ctx context.Context, o Options, ready func(nodes []string)) error {
	r, err := start(ctx, o)
	if err != nil {
		return err
	}
	defer r.stop()
	r.mu.Lock()
	r.open = true
	r.mu.Unlock()
	var addrs []string
	for _, n := range r.nodes[:o.Scenario.Tiers[0].NodeCount] {
		addrs = append(addrs, n.door.addr)
	}
	ready(addrs)
	select {
	case <-ctx.Done():
		return nil
	case err := <-r.failed:
		return err
	}
}

// start brings everything up, or nothing.
func start(ctx context.Context, o Options) (*run, error) {
	r := &run{Options: o, clock: node.NewClock(), plan: o.Scenario.Plan(stream.New(o.Seed, "troubles")),
		failed: make(chan error, 1), asked: make(map[ledger.TryID]question), memories: make(scenario.DedupMemories),
		twins: make(map[int]*balancer)}
	r.account = ledger.New(o.Scenario, r.now(), BucketDuration, false)
	var err error
	if r.ports, err = newPorts(); err != nil {
		return nil, err
	}
	if r.dir, err = os.MkdirTemp("", "canvaslab-"); err != nil {
		return nil, err
	}
	r.rig, err = together.NewNetwork(o.Scenario, r.plan, r.dir, o.Seed, stream.New(o.Seed, "between"))
	if err != nil {
		r.stop()
		return nil, err
	}
	r.lag = together.NewTimerLag()
	for _, step := range []func(context.Context) error{r.startServers, r.startRegistry, r.startNodes} {
		if err := step(ctx); err != nil {
			r.stop()
			return nil, err
		}
	}
	return r, nil
}

func (r *run) startServers(context.Context) error {
	for i, m := range r.plan.Machines {
		s := server.New(i, m.Type, m.ModelSpec(r.Scenario), r.ports.addr(), server.Environment{Ledger: r.account, Now: r.now,
			FindOp:       func(id string, q *http.Request) (ledger.TryID, *server.Op, bool) { return r.find(id, q, m) },
			CallNextTier: func(try ledger.TryID, op *server.Op, until policy.Micros) bool { return r.call(i, try, op, until) }})
		r.servers = append(r.servers, s)
		if i < r.plan.InitialCount {
			if err := s.Start(false); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *run) startRegistry(context.Context) error {
	for t, tier := range r.Scenario.Tiers {
		var standing []registry.Entry
		for i, m := range r.plan.Machines[:r.plan.InitialCount] {
			if m.Tier == t {
				standing = append(standing, m.RegistryEntry(i))
			}
		}
		words := registry.Options{Zones: r.Scenario.Zones, OnSent: r.told(t),
			Addr: func(i int) string { return r.servers[i].Addr() }}
		for _, k := range tier.MachineTypes {
			words.MachineTypes = append(words.MachineTypes, k.Name)
		}
		catalog := registry.NewCatalog(standing, r.Scenario.Registry.Mode == "whole")
		service := registry.NewService(catalog, duration(r.Scenario.Registry.Delay.Micros()), words)
		r.registry = append(r.registry, service)
		for i, b := range r.Scenario.Nodes() {
			if b.Tier != t {
				continue
			}
			addr, err := service.Listen(i)
			if err != nil {
				return err
			}
			listen := r.ListenAddr
			if listen == "" || i > 0 {
				listen = r.ports.addr()
			}
			r.nodes = append(r.nodes, &balancer{Node: b, run: r, place: i, door: &door{addr: listen}, beside: i,
				hears: r.hears(b), discovery: addr, known: words.EncodeList(1, standing, true)})
		}
	}
	return nil
}

// hears says whether a node hears the others: the first ones by number, where not all do.
func (r *run) hears(b scenario.Node) bool {
	f := r.Scenario.Fleet
	return f != nil && b.Tier == 0 && float64(b.Index) < f.Share*float64(b.NodeCount)
}

func duration(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// told books what the registry has written to a node.
func (r *run) told(tier int) func(int, []registry.Entry, bool) {
	return func(node int, entries []registry.Entry, whole bool) {
		listed := make(map[int]bool)
		for _, e := range entries {
			listed[e.Server] = true
			r.account.RecordServerState(node, e.Server, e.State, e.StartedAt, r.now())
		}
		if !whole {
			return
		}
		for i, m := range r.plan.Machines {
			if m.Tier == tier && !listed[i] {
				r.account.RecordServerState(node, i, policy.Gone, r.servers[i].StartedAt(), r.now())
			}
		}
	}
}

func (r *run) startNodes(ctx context.Context) error {
	errs := make([]error, len(r.nodes))
	var all sync.WaitGroup
	room := make(chan struct{}, 8) // processes that start at once
	for i, n := range r.nodes {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			errs[i] = n.start(ctx)
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// begins books what a process is told at its start: the list that it is given.
func (r *run) begins(b *balancer) {
	if b.second {
		return
	}
	r.account.RecordNodeStart(b.place)
	for j, m := range r.plan.Machines[:r.plan.InitialCount] {
		if m.Tier == b.Tier && b.known != nil {
			r.account.RecordServerState(b.place, j, policy.Ready, 0, r.now())
		}
	}
}

// stop ends every process and listener.
func (r *run) stop() {
	var all sync.WaitGroup
	for _, n := range slices.Concat(r.nodes, slices.Collect(maps.Values(r.twins))) {
		all.Go(func() {
			if err := n.kill(); err != nil {
				r.account.RecordEvent(err.Error())
			}
		})
	}
	all.Wait() // each has its own end
	for _, s := range r.servers {
		s.Stop(false)
	}
	for _, s := range r.registry {
		s.Close()
	}
	for _, l := range r.liars {
		l.Close()
	}
	r.rig.Close()
	if r.lag != nil {
		r.lag.Stop()
	}
	r.ports.close()
	os.RemoveAll(r.dir)
}

// play lets the load and the troubles run.
func (r *run) play(ctx context.Context) (partial bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.begin = r.now() + r.Scenario.Load.LeadTime.Micros()
	r.lag.Reset()
	r.before = r.said()
	r.account.SetLoadStart(r.begin)
	var work, steps sync.WaitGroup
	steps.Go(func() { r.troubles(ctx, &steps) })
	ticks, stopTicks := context.WithCancel(ctx)
	steps.Go(func() { r.look(ticks) })
	if r.OnSecond != nil {
		go r.tick(ticks)
	}
	generated := make(chan struct{})
	go func() {
		defer close(generated)
		r.generate(ctx, &work)
	}()
	select {
	case <-generated:
	case err = <-r.failed:
	case <-ctx.Done():
	}
	stopTicks()
	if err == nil && ctx.Err() == nil {
		err = r.finish(ctx, &work)
	}
	partial = ctx.Err() != nil
	cancel()
	<-generated
	return partial, errors.Join(err, await(&work, "clients", r.longest()), await(&steps, "troubles", r.longest()))
}

// longest is how long a client, or a step of a trouble, may take that began now.
func (r *run) longest() time.Duration {
	var ttl policy.Micros
	for _, c := range r.Scenario.Categories {
		ttl = max(ttl, c.TTL.Micros())
	}
	return duration(ttl)*time.Duration(1+r.Scenario.Load.Retries) + readyWait + exitWait + killWait
}

// await waits for all of a group, but no longer than that.
func await(group *sync.WaitGroup, what string, most time.Duration) error {
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-time.After(most):
		return fmt.Errorf("%s of the run have not ended within %v", what, most)
	}
}

// finish waits for the clients' last answers: each has its end.
func (r *run) finish(ctx context.Context, work *sync.WaitGroup) error {
	done := make(chan error, 1)
	go func() { done <- await(work, "clients", r.longest()) }()
	select {
	case err := <-done:
		if err != nil {
			return err
		}
	case err := <-r.failed:
		return err
	case <-ctx.Done():
		return nil
	}
	select {
	case <-time.After(lastServe):
	case <-ctx.Done():
	}
	return nil
}

// generate sends each op at its time, whatever became of those before.
func (r *run) generate(ctx context.Context, work *sync.WaitGroup) {
	for i := range r.Arrivals {
		a := &r.Arrivals[i]
		meant := r.begin + a.At
		if wait := meant - r.now(); wait > 0 {
			select {
			case <-time.After(duration(wait)):
			case <-ctx.Done():
				return
			}
		}
		if r.now()-meant > sendLate {
			r.account.RecordScheduleMisses(1)
		}
		work.Go(func() { r.client(ctx, a, meant) })
	}
}

func (r *run) tick(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.OnSecond(r.now()-r.begin, r.account)
		case <-ctx.Done():
			return
		}
	}
}

// remember keeps what a try asks for, so that the servers know it by its id.
func (r *run) remember(try ledger.TryID, q question) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[try] = q
}

// find is what a server knows of an op.
func (r *run) find(id string, request *http.Request, m scenario.Machine) (ledger.TryID, *server.Op, bool) {
	number, err := strconv.ParseInt(id, 16, 64)
	try := ledger.TryID(number - 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	q, known := r.asked[try]
	if err != nil || !known {
		if r.open {
			return r.stranger(request, m)
		}
		return 0, nil, false
	}
	op := &server.Op{Key: strconv.Itoa(int(q.op)), Category: q.category, Work: q.arrival.WorkByTier[m.Tier],
		DedupLock: &r.memory}
	if m.Tier+1 < len(r.Scenario.Tiers) {
		op.DownstreamCalls = q.arrival.CallsByTier[m.Tier]
	}
	op.Dedup = r.memoryOf(q.category, m)
	return try, op, true
}

// memoryOf is that of a category's group, or nil. The lock is held.
func (r *run) memoryOf(category int, m scenario.Machine) *standin.DedupMemory {
	return r.memories.Get(r.Scenario, category, m, r.account.Tolerance())
}

// call is a server's to the next tier, through its own node.
func (r *run) call(place int, try ledger.TryID, op *server.Op, until policy.Micros) bool {
	r.mu.Lock()
	q := r.asked[try]
	r.mu.Unlock()
	for _, n := range r.nodes {
		if n.Server != place {
			continue
		}
		notAfter := r.now() + r.Scenario.Categories[q.category].TTL.Micros()
		if r.Scenario.Limits.PassesDeadline {
			notAfter = min(notAfter, until)
		}
		q.op, q.tier, q.notAfter, q.leaves, q.repeated = r.account.RecordOp(r.now(), q.category, q.arrival.Tenant, n.Tier), n.Tier, notAfter, 0, false
		verdict, _ := r.ask(context.Background(), n.door, n.place, q)
		return verdict == ledger.Served
	}
	return false
}

// readSamples books the throttles that the first node wrote down.
func (r *run) readSamples() {
	file, err := os.Open(filepath.Join(r.dir, "throttles.jsonl"))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		r.account.RecordEvent("throttles: " + err.Error())
		return
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var s labnode.ThrottleSample
		if json.Unmarshal(lines.Bytes(), &s) == nil { // the last line of a node that was killed may be half
			r.account.RecordThrottle(s.At, ledger.Throttle{Server: s.Server, Rate: s.Rate, CutoffLevel: s.CutoffLevel})
		}
	}
}
