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
	OnSecond     func(now policy.Micros, a *ledger.Account)
}

const (
	lateAnswerWindow = 250 * policy.Millisecond // past the last moment for an answer, in which one would be seen
	maxSendDelay     = 10 * policy.Millisecond  // a send later than this has missed its schedule
	maxMissedShare   = 0.01                     // share of missed sends that makes a run void
	settleTime       = 500 * time.Millisecond   // in which what runs on at servers may still be an effect too many
	BucketDuration   = 500 * policy.Millisecond // of the report's buckets
)

type run struct {
	Options
	clock             *node.Clock
	ledger            *ledger.Account
	plan              *scenario.Plan
	dir               string
	addresses         *addressPool
	servers           []*server.Server
	nodes             []*nodeProcess
	duplicates        map[int]*nodeProcess // second processes, by the node whose name they have
	network           *together.Rig
	falseReporters    []*together.Liar
	maxClosedPermille atomic.Int64 // the largest part of a node's servers that hearsay closed, as nodes say, in thousandths
	timerLag          *together.Lag
	registries        []*registry.Service
	loadStart         policy.Micros
	picks             atomic.Int64
	clockStep         atomic.Int64  // of clients' clocks
	trafficBefore     []relay.Count // what nodes had said when the load began
	failed            chan error    // holds one
	mu                sync.Mutex
	requests          map[ledger.TryID]opRequest
	dedupMemories     scenario.Memories
	dedupLock         sync.Mutex // guards what is in memories
	acceptUnknown     bool       // any id is taken for an op: no load of our own
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
func Run(ctx context.Context, options Options) (*ledger.Result, *ledger.Account, error) {
	r, err := startRun(ctx, options)
	if err != nil {
		return nil, nil, err
	}
	defer r.stop()
	partial, err := r.runLoad(ctx)
	if err != nil {
		return nil, nil, err
	}
	r.readThrottleSamples()
	for _, n := range r.nodes {
		n.endpoint.closeIdle(r.ledger)
	}
	result := r.ledger.Finish(r.loadStart + min(options.LoadDuration, r.now()-r.loadStart))
	result.Partial = partial
	result.Between = r.peerTraffic()
	late, _ := r.timerLag.End()
	late = max(late, r.network.Late())
	result.RigLateMs = float64(late.Microseconds()) / 1000
	// Danger: a machine that is too busy looks like a node at fault. What the rig itself was late with is no node's.
	if tolerance := toDuration(r.ledger.Tolerance()); late > tolerance {
		result.Void = fmt.Sprintf("the rig itself was %v late, over %v", late.Round(time.Millisecond), tolerance)
	}
	if missed := float64(result.ScheduleMissed); missed > maxMissedShare*float64(len(options.Arrivals)) {
		result.Void = fmt.Sprintf("the generator sent %d of %d ops more than %d ms late", result.ScheduleMissed,
			len(options.Arrivals), maxSendDelay/policy.Millisecond)
	}
	return result, r.ledger, nil
}

// said is what each place of the rig has sent so far.
func (r *run) trafficCounts() (counts []relay.Count) {
	for i := 0; r.network.Relay != nil && i < r.Scenario.Tiers[0].Nodes; i++ {
		counts = append(counts, r.network.Relay.Count(i))
	}
	return counts
}

// traffic is what nodes have said to each other since the load began; nil where they don't.
func (r *run) peerTraffic() *ledger.Traffic {
	if r.Scenario.Fleet == nil {
		return nil
	}
	traffic, seconds, nodes := &ledger.Traffic{}, float64(r.now()-r.loadStart)/float64(policy.Second), float64(len(r.trafficBefore))
	for i, now := range r.trafficCounts() {
		before := r.trafficBefore[i]
		bytes := float64(now.SentBytes - before.SentBytes + now.StreamBytes - before.StreamBytes)
		traffic.Bytes += bytes / nodes / seconds
		traffic.MostBytes = max(traffic.MostBytes, bytes/seconds)
		traffic.Datagrams += float64(now.SentDatagrams-before.SentDatagrams) / nodes / seconds
		traffic.Streams += float64(now.SentStreams-before.SentStreams) / nodes / seconds
		traffic.StreamedBytes += float64(now.StreamBytes-before.StreamBytes) / nodes / seconds
	}
	traffic.Closed = float64(r.maxClosedPermille.Load()) / 1000
	return traffic
}

// look asks a few nodes each second what part of their servers hearsay has closed. It explains a run and judges nothing.
func (r *run) pollViews(ctx context.Context) {
	if r.Scenario.Fleet == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range 5 {
			node := r.nodes[(round*5+i)%r.Scenario.Tiers[0].Nodes]
			if !node.hasPeers {
				continue
			}
			view, err := fleet.Ask(ctx, r.network.Place(node.networkSlot).Control)
			if err != nil {
				continue // it is down, or stopped
			}
			closed := 0
			for _, server := range view.Servers {
				if server.Part < 1.0/3 {
					closed++
				}
			}
			if permille := int64(1000 * closed / max(1, view.Listed)); permille > r.maxClosedPermille.Load() {
				r.maxClosedPermille.Store(permille)
			}
		}
	}
}

// Serve starts the fleet and the nodes without a load of its own, and keeps them until ctx is done. Servers take any
// op. Ready is told the nodes' addresses.
func Serve(ctx context.Context, options Options, ready func(nodes []string)) error {
	r, err := startRun(ctx, options)
	if err != nil {
		return err
	}
	defer r.stop()
	r.mu.Lock()
	r.acceptUnknown = true
	r.mu.Unlock()
	var addrs []string
	for _, node := range r.nodes[:options.Scenario.Tiers[0].Nodes] {
		addrs = append(addrs, node.endpoint.addr)
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
func startRun(ctx context.Context, options Options) (*run, error) {
	r := &run{Options: options, clock: node.NewClock(), plan: options.Scenario.Plan(stream.New(options.Seed, "troubles")),
		failed: make(chan error, 1), requests: make(map[ledger.TryID]opRequest), dedupMemories: make(scenario.Memories),
		duplicates: make(map[int]*nodeProcess)}
	r.ledger = ledger.New(options.Scenario, r.now(), BucketDuration, false)
	var err error
	if r.addresses, err = newAddressPool(); err != nil {
		return nil, err
	}
	if r.dir, err = os.MkdirTemp("", "canvaslab-"); err != nil {
		return nil, err
	}
	r.network, err = together.New(options.Scenario, r.plan, r.dir, options.Seed, stream.New(options.Seed, "between"))
	if err != nil {
		r.stop()
		return nil, err
	}
	r.timerLag = together.NewLag()
	for _, step := range []func(context.Context) error{r.startServers, r.startRegistry, r.startNodes} {
		if err := step(ctx); err != nil {
			r.stop()
			return nil, err
		}
	}
	return r, nil
}

func (r *run) startServers(context.Context) error {
	for i, machine := range r.plan.Machines {
		standinServer := server.New(i, machine.Kind, machine.Traits(r.Scenario), r.addresses.nextAddr(), server.World{Account: r.ledger, Now: r.now,
			Find: func(id string, q *http.Request) (ledger.TryID, *server.Op, bool) { return r.findOp(id, q, machine) },
			Call: func(try ledger.TryID, op *server.Op, until policy.Micros) bool {
				return r.callNextTier(i, try, op, until)
			}})
		r.servers = append(r.servers, standinServer)
		if i < r.plan.Standing {
			if err := standinServer.Up(false); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *run) startRegistry(context.Context) error {
	for tierIndex, tier := range r.Scenario.Tiers {
		var standing []registry.Entry
		for i, machine := range r.plan.Machines[:r.plan.Standing] {
			if machine.Tier == tierIndex {
				standing = append(standing, machine.Entry(i))
			}
		}
		serviceOptions := registry.Words{Zones: r.Scenario.Zones, Told: r.listRecorder(tierIndex),
			Addr: func(i int) string { return r.servers[i].Addr() }}
		for _, machineType := range tier.Kinds {
			serviceOptions.Kinds = append(serviceOptions.Kinds, machineType.Name)
		}
		catalog := registry.NewCatalog(standing, r.Scenario.Registry.Mode == "whole")
		service := registry.NewService(catalog, toDuration(r.Scenario.Registry.Delay.Micros()), serviceOptions)
		r.registries = append(r.registries, service)
		for i, node := range r.Scenario.Balancers() {
			if node.Tier != tierIndex {
				continue
			}
			addr, err := service.Listen(i)
			if err != nil {
				return err
			}
			listen := r.ListenAddr
			if listen == "" || i > 0 {
				listen = r.addresses.nextAddr()
			}
			r.nodes = append(r.nodes, &nodeProcess{Balancer: node, run: r, nodeIndex: i, endpoint: &endpoint{addr: listen}, networkSlot: i,
				hasPeers: r.nodeHasPeers(node), registryAddr: addr, cachedList: serviceOptions.Line(1, standing, true)})
		}
	}
	return nil
}

// hears says whether a node hears the others: the first ones by number, where not all do.
func (r *run) nodeHasPeers(node scenario.Balancer) bool {
	settings := r.Scenario.Fleet
	return settings != nil && node.Tier == 0 && float64(node.Number) < settings.Share*float64(node.Of)
}

func toDuration(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// told books what the registry has written to a node.
func (r *run) listRecorder(tier int) func(int, []registry.Entry, bool) {
	return func(node int, entries []registry.Entry, full bool) {
		listed := make(map[int]bool)
		for _, entry := range entries {
			listed[entry.Server] = true
			r.ledger.Told(node, entry.Server, entry.State, entry.Started, r.now())
		}
		if !full {
			return
		}
		for i, machine := range r.plan.Machines {
			if machine.Tier == tier && !listed[i] {
				r.ledger.Told(node, i, policy.Gone, r.servers[i].Started(), r.now())
			}
		}
	}
}

func (r *run) startNodes(ctx context.Context) error {
	errs := make([]error, len(r.nodes))
	var starts sync.WaitGroup
	slots := make(chan struct{}, 8) // processes that start at once
	for i, node := range r.nodes {
		starts.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = node.start(ctx)
		})
	}
	starts.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// begins books what a process is told at its start: the list that it is given.
func (r *run) recordNodeStart(node *nodeProcess) {
	if node.duplicate {
		return
	}
	r.ledger.Anew(node.nodeIndex)
	for server, machine := range r.plan.Machines[:r.plan.Standing] {
		if machine.Tier == node.Tier && node.cachedList != nil {
			r.ledger.Told(node.nodeIndex, server, policy.Ready, 0, r.now())
		}
	}
}

// stop ends every process and listener.
func (r *run) stop() {
	var ends sync.WaitGroup
	for _, node := range slices.Concat(r.nodes, slices.Collect(maps.Values(r.duplicates))) {
		ends.Go(func() {
			if err := node.kill(); err != nil {
				r.ledger.Note(err.Error())
			}
		})
	}
	ends.Wait() // each has its own end
	for _, s := range r.servers {
		s.Down(false)
	}
	for _, s := range r.registries {
		s.Close()
	}
	for _, l := range r.falseReporters {
		l.Close()
	}
	r.network.Close()
	if r.timerLag != nil {
		r.timerLag.End()
	}
	r.addresses.close()
	os.RemoveAll(r.dir)
}

// play lets the load and the troubles run.
func (r *run) runLoad(ctx context.Context) (partial bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.loadStart = r.now() + r.Scenario.Load.Lead.Micros()
	r.timerLag.Begin()
	r.trafficBefore = r.trafficCounts()
	r.ledger.Begin(r.loadStart)
	var clients, background sync.WaitGroup
	background.Go(func() { r.runDisturbances(ctx, &background) })
	periodic, stopPeriodic := context.WithCancel(ctx)
	background.Go(func() { r.pollViews(periodic) })
	if r.OnSecond != nil {
		go r.reportProgress(periodic)
	}
	generated := make(chan struct{})
	go func() {
		defer close(generated)
		r.generateLoad(ctx, &clients)
	}()
	select {
	case <-generated:
	case err = <-r.failed:
	case <-ctx.Done():
	}
	stopPeriodic()
	if err == nil && ctx.Err() == nil {
		err = r.waitForAnswers(ctx, &clients)
	}
	partial = ctx.Err() != nil
	cancel()
	<-generated
	return partial, errors.Join(err, waitFor(&clients, "clients", r.maxClientTime()), waitFor(&background, "troubles", r.maxClientTime()))
}

// longest is how long a client, or a step of a trouble, may take that began now.
func (r *run) maxClientTime() time.Duration {
	var ttl policy.Micros
	for _, c := range r.Scenario.Categories {
		ttl = max(ttl, c.TTL.Micros())
	}
	return toDuration(ttl)*time.Duration(1+r.Scenario.Load.Retries) + readyTimeout + exitTimeout + killTimeout
}

// await waits for all of a group, but no longer than that.
func waitFor(group *sync.WaitGroup, what string, timeout time.Duration) error {
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s of the run have not ended within %v", what, timeout)
	}
}

// finish waits for the clients' last answers: each has its end.
func (r *run) waitForAnswers(ctx context.Context, clients *sync.WaitGroup) error {
	done := make(chan error, 1)
	go func() { done <- waitFor(clients, "clients", r.maxClientTime()) }()
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
	case <-time.After(settleTime):
	case <-ctx.Done():
	}
	return nil
}

// generate sends each op at its time, whatever became of those before.
func (r *run) generateLoad(ctx context.Context, clients *sync.WaitGroup) {
	for i := range r.Arrivals {
		arrival := &r.Arrivals[i]
		intendedAt := r.loadStart + arrival.At
		if wait := intendedAt - r.now(); wait > 0 {
			select {
			case <-time.After(toDuration(wait)):
			case <-ctx.Done():
				return
			}
		}
		if r.now()-intendedAt > maxSendDelay {
			r.ledger.Missed(1)
		}
		clients.Go(func() { r.runOp(ctx, arrival, intendedAt) })
	}
}

func (r *run) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.OnSecond(r.now()-r.loadStart, r.ledger)
		case <-ctx.Done():
			return
		}
	}
}

// remember keeps what a try asks for, so that the servers know it by its id.
func (r *run) registerTry(try ledger.TryID, req opRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[try] = req
}

// find is what a server knows of an op.
func (r *run) findOp(id string, request *http.Request, machine scenario.Machine) (ledger.TryID, *server.Op, bool) {
	number, err := strconv.ParseInt(id, 16, 64)
	try := ledger.TryID(number - 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	req, known := r.requests[try]
	if err != nil || !known {
		if r.acceptUnknown {
			return r.unknownOp(request, machine)
		}
		return 0, nil, false
	}
	op := &server.Op{Key: strconv.Itoa(int(req.op)), Category: req.category, Work: req.arrival.Work[machine.Tier],
		Lock: &r.dedupLock}
	if machine.Tier+1 < len(r.Scenario.Tiers) {
		op.Calls = req.arrival.Calls[machine.Tier]
	}
	op.Memory = r.dedupMemory(req.category, machine)
	return try, op, true
}

// memoryOf is that of a category's group, or nil. The lock is held.
func (r *run) dedupMemory(category int, machine scenario.Machine) *standin.Memory {
	return r.dedupMemories.Of(r.Scenario, category, machine, r.ledger.Tolerance())
}

// call is a server's to the next tier, through its own node.
func (r *run) callNextTier(server int, try ledger.TryID, op *server.Op, until policy.Micros) bool {
	r.mu.Lock()
	req := r.requests[try]
	r.mu.Unlock()
	for _, node := range r.nodes {
		if node.Server != server {
			continue
		}
		deadline := r.now() + r.Scenario.Categories[req.category].TTL.Micros()
		if r.Scenario.Limits.PassTTL {
			deadline = min(deadline, until)
		}
		req.op, req.tier, req.deadline, req.leavesAfter, req.clientRetry = r.ledger.Offer(r.now(), req.category, req.arrival.Tenant, node.Tier), node.Tier, deadline, 0, false
		verdict, _ := r.sendTry(context.Background(), node.endpoint, node.nodeIndex, req)
		return verdict == ledger.Served
	}
	return false
}

// readSamples books the throttles that the first node wrote down.
func (r *run) readThrottleSamples() {
	file, err := os.Open(filepath.Join(r.dir, "throttles.jsonl"))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		r.ledger.Note("throttles: " + err.Error())
		return
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var sample labnode.ThrottleSample
		if json.Unmarshal(lines.Bytes(), &sample) == nil { // the last line of a node that was killed may be half
			r.ledger.Sample(sample.At, ledger.Throttle{Server: sample.Server, Rate: sample.Rate, Cut: sample.CutoffLevel})
		}
	}
}
