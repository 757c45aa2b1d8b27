// Package live runs an experiment on loopback sockets in real time. Each node is a process of its own; the stand-in
// servers, the stand-in registry and the load generator run in this process.
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
	"canvasrouter/internal/lab/harness"
	"canvasrouter/internal/lab/labnode"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/load/rngstream"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/node"
	"canvasrouter/internal/standin/registry"
	"canvasrouter/internal/standin/relay"
	"canvasrouter/internal/standin/server"
	"canvasrouter/internal/standin/servermodel"
	"canvasrouter/policy"
)

// Options describe one run of an experiment.
type Options struct {
	Scenario     *scenario.Scenario
	Program      Program
	Seed         uint64
	LoadDuration policy.Micros
	Arrivals     []load.Arrival
	ListenAddr   string // listen address of the first node; "": any free address
	LogDir       string // directory for the nodes' logs at level info; "": only the last lines are kept, in memory
	// OnSecond, if set, is called about once a second with the time since the load began.
	OnSecond func(now policy.Micros, runLedger *ledger.Ledger)
}

const (
	// lateAnswerWindow is how long clients keep reading after the last permitted moment, so that a late answer is seen.
	lateAnswerWindow = 250 * policy.Millisecond
	// maxSendDelay is the delay beyond which a send has missed its schedule.
	maxSendDelay = 10 * policy.Millisecond
	// maxMissedShare is the share of missed sends above which a run is void.
	maxMissedShare = 0.01
	// settleTime is how long a run waits after the last answer, so that pushes still running at servers can show a
	// double effect.
	settleTime = 500 * time.Millisecond
	// BucketDuration is the length of a bucket in the time series of a result.
	BucketDuration = 500 * policy.Millisecond
)

// run is the state of one experiment on sockets.
type run struct {
	Options
	clock          *node.Clock
	ledger         *ledger.Ledger
	plan           *scenario.Plan
	dir            string // temporary directory, removed by stop
	addresses      *addressPool
	servers        []*server.Server
	nodes          []*nodeProcess
	duplicates     map[int]*nodeProcess // second processes with the name of a node, by the index of that node
	network        *harness.Network
	falseReporters []*harness.FalseReporter
	// maxClosedPermille is the largest share of a node's servers, in thousandths, that reports of peers reduced to less
	// than a third of their weight.
	maxClosedPermille atomic.Int64
	timerLag          *harness.TimerLag
	registries        []*registry.Service
	loadStart         policy.Micros
	picks             atomic.Int64    // picks of a node by clients so far
	clockStep         atomic.Int64    // current offset of the clients' clocks, in microseconds
	trafficBefore     []relay.Traffic // peer traffic of each node when the load began
	failed            chan error      // holds the first fatal error
	mu                sync.Mutex      // guards requests, dedupMemories and acceptUnknown
	requests          map[ledger.TryID]opRequest
	dedupMemories     scenario.DedupMemories
	dedupLock         sync.Mutex // guards the content of each memory in dedupMemories
	acceptUnknown     bool       // accept requests of unknown ids as ops; set when there is no generated load
}

// now is the time on the run's clock.
func (r *run) now() policy.Micros { return r.clock.Now() }

// fail ends the run with err. Only the first error is kept.
func (r *run) fail(err error) {
	select {
	case r.failed <- err:
	default:
	}
}

// Run runs an experiment to its end and returns its result and ledger. When ctx is done before the end, the result is
// partial. No process or goroutine is left running.
func Run(ctx context.Context, options Options) (*ledger.Result, *ledger.Ledger, error) {
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
	for _, node := range r.nodes {
		node.endpoint.closeIdle(r.ledger)
	}
	result := r.ledger.Finish(r.loadStart + min(options.LoadDuration, r.now()-r.loadStart))
	result.Partial = partial
	result.PeerTraffic = r.peerTraffic()
	late, _ := r.timerLag.Stop()
	late = max(late, r.network.MaxLateness())
	result.HarnessLateMs = float64(late.Microseconds()) / 1000
	// A machine that is too busy makes nodes look faulty, so a run whose harness itself was late is void.
	if tolerance := toDuration(r.ledger.Tolerance()); late > tolerance {
		result.VoidReason = fmt.Sprintf("the rig itself was %v late, over %v", late.Round(time.Millisecond), tolerance)
	}
	if missed := float64(result.ScheduleMissed); missed > maxMissedShare*float64(len(options.Arrivals)) {
		result.VoidReason = fmt.Sprintf("the generator sent %d of %d ops more than %d ms late", result.ScheduleMissed,
			len(options.Arrivals), maxSendDelay/policy.Millisecond)
	}
	return result, r.ledger, nil
}

// trafficCounts returns the peer traffic that each node of the first tier has sent and received so far.
func (r *run) trafficCounts() (counts []relay.Traffic) {
	for i := 0; r.network.Relay != nil && i < r.Scenario.Tiers[0].NodeCount; i++ {
		counts = append(counts, r.network.Relay.Traffic(i))
	}
	return counts
}

// peerTraffic sums up the peer traffic since the load began. It is nil for an experiment without peer messages.
func (r *run) peerTraffic() *ledger.PeerTraffic {
	if r.Scenario.Fleet == nil {
		return nil
	}
	traffic := &ledger.PeerTraffic{}
	seconds := float64(r.now()-r.loadStart) / float64(policy.Second)
	nodes := float64(len(r.trafficBefore))
	for i, now := range r.trafficCounts() {
		before := r.trafficBefore[i]
		bytes := float64(now.SentBytes - before.SentBytes + now.SentStreamBytes - before.SentStreamBytes)
		traffic.BytesPerSecond += bytes / nodes / seconds
		traffic.MaxBytesPerSecond = max(traffic.MaxBytesPerSecond, bytes/seconds)
		traffic.DatagramsPerSecond += float64(now.SentDatagrams-before.SentDatagrams) / nodes / seconds
		traffic.StreamsPerSecond += float64(now.SentStreams-before.SentStreams) / nodes / seconds
		traffic.StreamBytesPerSecond += float64(now.SentStreamBytes-before.SentStreamBytes) / nodes / seconds
	}
	traffic.MaxClosedByPeers = float64(r.maxClosedPermille.Load()) / 1000
	return traffic
}

// pollViews asks five nodes each second what share of their servers reports of peers have closed, that is, reduced to less
// than a third of their weight. The largest share is shown with the result and is not part of any rule.
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
			node := r.nodes[(round*5+i)%r.Scenario.Tiers[0].NodeCount]
			if !node.hasPeers {
				continue
			}
			view, err := fleet.FetchView(ctx, r.network.Addresses(node.networkSlot).ControlSocket)
			if err != nil {
				continue // the node is down or paused
			}
			closed := 0
			for _, server := range view.Servers {
				if server.RemainingFraction < 1.0/3 {
					closed++
				}
			}
			if permille := int64(1000 * closed / max(1, view.ReadyServers)); permille > r.maxClosedPermille.Load() {
				r.maxClosedPermille.Store(permille)
			}
		}
	}
}

// Serve starts an experiment's servers and nodes without a load, and keeps them running until ctx is done. The servers
// accept ops of any client. Once all nodes are ready, Serve calls ready with the addresses of the first tier's nodes.
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
	for _, node := range r.nodes[:options.Scenario.Tiers[0].NodeCount] {
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

// startRun starts servers, registry and nodes. On an error everything that was started is stopped again.
func startRun(ctx context.Context, options Options) (*run, error) {
	r := &run{
		Options:       options,
		clock:         node.NewClock(),
		plan:          options.Scenario.Plan(rngstream.New(options.Seed, "troubles")),
		failed:        make(chan error, 1),
		requests:      make(map[ledger.TryID]opRequest),
		dedupMemories: make(scenario.DedupMemories),
		duplicates:    make(map[int]*nodeProcess),
	}
	r.ledger = ledger.New(options.Scenario, r.now(), BucketDuration, false)
	var err error
	if r.addresses, err = newAddressPool(); err != nil {
		return nil, err
	}
	if r.dir, err = os.MkdirTemp("", "canvaslab-"); err != nil {
		return nil, err
	}
	r.network, err = harness.NewNetwork(options.Scenario, r.plan, r.dir, options.Seed, rngstream.New(options.Seed, "between"))
	if err != nil {
		r.stop()
		return nil, err
	}
	r.timerLag = harness.NewTimerLag()
	for _, step := range []func(context.Context) error{r.startServers, r.startRegistry, r.startNodes} {
		if err := step(ctx); err != nil {
			r.stop()
			return nil, err
		}
	}
	return r, nil
}

// startServers creates a stand-in server for each machine of the plan, and starts those that are up from the beginning.
func (r *run) startServers(context.Context) error {
	for i, machine := range r.plan.Machines {
		environment := server.Environment{
			Ledger: r.ledger,
			Now:    r.now,
			FindOp: func(id string, request *http.Request) (ledger.TryID, *server.Op, bool) {
				return r.findOp(id, request, machine)
			},
			CallNextTier: func(try ledger.TryID, op *server.Op, until policy.Micros) bool {
				return r.callNextTier(i, try, op, until)
			},
		}
		standinServer := server.New(i, machine.Type, machine.ModelSpec(r.Scenario), r.addresses.nextAddr(), environment)
		r.servers = append(r.servers, standinServer)
		if i < r.plan.InitialCount {
			if err := standinServer.Start(false); err != nil {
				return err
			}
		}
	}
	return nil
}

// startRegistry starts a registry service for each tier, and prepares the node processes that subscribe to it.
func (r *run) startRegistry(context.Context) error {
	for tierIndex, tier := range r.Scenario.Tiers {
		var standing []registry.Entry
		for i, machine := range r.plan.Machines[:r.plan.InitialCount] {
			if machine.Tier == tierIndex {
				standing = append(standing, machine.RegistryEntry(i))
			}
		}
		serviceOptions := registry.Options{
			Zones:  r.Scenario.Zones,
			OnSent: r.listRecorder(tierIndex),
			Addr:   func(i int) string { return r.servers[i].Addr() },
		}
		for _, machineType := range tier.MachineTypes {
			serviceOptions.MachineTypes = append(serviceOptions.MachineTypes, machineType.Name)
		}
		catalog := registry.NewCatalog(standing, r.Scenario.Registry.Mode == "whole")
		service := registry.NewService(catalog, toDuration(r.Scenario.Registry.Delay.Micros()), serviceOptions)
		r.registries = append(r.registries, service)
		for i, node := range r.Scenario.Nodes() {
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
			r.nodes = append(r.nodes, &nodeProcess{
				Node:         node,
				run:          r,
				nodeIndex:    i,
				endpoint:     &endpoint{addr: listen},
				networkSlot:  i,
				hasPeers:     r.nodeHasPeers(node),
				registryAddr: addr,
				cachedList:   serviceOptions.EncodeList(1, standing, true),
			})
		}
	}
	return nil
}

// nodeHasPeers reports whether a node exchanges peer messages. Where only a share of the nodes does, it is those with
// the lowest numbers.
func (r *run) nodeHasPeers(node scenario.Node) bool {
	settings := r.Scenario.Fleet
	return settings != nil && node.Tier == 0 && float64(node.Index) < settings.Share*float64(node.NodeCount)
}

// toDuration converts policy time to a time.Duration.
func toDuration(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// listRecorder returns the callback that records in the ledger which server states the registry has sent to a node.
func (r *run) listRecorder(tier int) func(int, []registry.Entry, bool) {
	return func(node int, entries []registry.Entry, full bool) {
		listed := make(map[int]bool)
		for _, entry := range entries {
			listed[entry.Server] = true
			r.ledger.RecordServerState(node, entry.Server, entry.State, entry.StartedAt, r.now())
		}
		if !full {
			return
		}
		for i, machine := range r.plan.Machines {
			if machine.Tier == tier && !listed[i] {
				r.ledger.RecordServerState(node, i, policy.Gone, r.servers[i].StartedAt(), r.now())
			}
		}
	}
}

// startNodes starts all node processes, at most eight at once, and returns the first error by node index.
func (r *run) startNodes(ctx context.Context) error {
	errs := make([]error, len(r.nodes))
	var starts sync.WaitGroup
	slots := make(chan struct{}, 8) // limits concurrent starts
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

// recordNodeStart records the server states that a starting node knows from its cached list. A duplicate process isn't
// recorded.
func (r *run) recordNodeStart(node *nodeProcess) {
	if node.duplicate {
		return
	}
	r.ledger.RecordNodeStart(node.nodeIndex)
	for server, machine := range r.plan.Machines[:r.plan.InitialCount] {
		if machine.Tier == node.Tier && node.cachedList != nil {
			r.ledger.RecordServerState(node.nodeIndex, server, policy.Ready, 0, r.now())
		}
	}
}

// stop kills every process, closes every listener and removes the temporary directory.
func (r *run) stop() {
	var ends sync.WaitGroup
	for _, node := range slices.Concat(r.nodes, slices.Collect(maps.Values(r.duplicates))) {
		ends.Go(func() {
			if err := node.kill(); err != nil {
				r.ledger.RecordEvent(err.Error())
			}
		})
	}
	ends.Wait() // each kill has its own timeout
	for _, server := range r.servers {
		server.Stop(false)
	}
	for _, service := range r.registries {
		service.Close()
	}
	for _, reporter := range r.falseReporters {
		reporter.Close()
	}
	r.network.Close()
	if r.timerLag != nil {
		r.timerLag.Stop()
	}
	r.addresses.close()
	os.RemoveAll(r.dir)
}

// runLoad runs the load and the disturbances, and waits until all clients and background steps have ended. It reports
// whether ctx was done before the end.
func (r *run) runLoad(ctx context.Context) (partial bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.loadStart = r.now() + r.Scenario.Load.LeadTime.Micros()
	r.timerLag.Reset()
	r.trafficBefore = r.trafficCounts()
	r.ledger.SetLoadStart(r.loadStart)
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
	return partial, errors.Join(err, waitFor(&clients, "clients", r.maxClientTime()),
		waitFor(&background, "disturbances", r.maxClientTime()))
}

// maxClientTime is the longest that a client or a step of a disturbance that starts now may take.
func (r *run) maxClientTime() time.Duration {
	var ttl policy.Micros
	for _, category := range r.Scenario.Categories {
		ttl = max(ttl, category.TTL.Micros())
	}
	return toDuration(ttl)*time.Duration(1+r.Scenario.Load.Retries) + readyTimeout + exitTimeout + killTimeout
}

// waitFor waits until the group is done, and returns an error that names it after the timeout.
func waitFor(group *sync.WaitGroup, what string, timeout time.Duration) error {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s of the run have not ended within %v", what, timeout)
	}
}

// waitForAnswers waits for the clients' last answers, which all have a deadline, and then for settleTime.
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

// generateLoad sends each op at its scheduled time, independent of the outcome of earlier ones (an open-loop load).
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
			r.ledger.RecordScheduleMisses(1)
		}
		clients.Go(func() { r.runOp(ctx, arrival, intendedAt) })
	}
}

// reportProgress calls OnSecond once a second until ctx is done.
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

// registerTry records the request of a try, so that servers can look it up by its id.
func (r *run) registerTry(try ledger.TryID, req opRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[try] = req
}

// findOp looks up the op of a request that arrived at a server, by its transaction id.
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
	op := &server.Op{
		Key:       strconv.Itoa(int(req.op)),
		Category:  req.category,
		Work:      req.arrival.WorkByTier[machine.Tier],
		DedupLock: &r.dedupLock,
	}
	if machine.Tier+1 < len(r.Scenario.Tiers) {
		op.DownstreamCalls = req.arrival.CallsByTier[machine.Tier]
	}
	op.Dedup = r.dedupMemory(req.category, machine)
	return try, op, true
}

// dedupMemory returns the deduplication memory of a category at a machine, or nil. The caller holds r.mu.
func (r *run) dedupMemory(category int, machine scenario.Machine) *servermodel.DedupMemory {
	return r.dedupMemories.Get(r.Scenario, category, machine, r.ledger.Tolerance())
}

// callNextTier sends the call of a server to the next tier through that server's own node, and reports whether it was
// served.
func (r *run) callNextTier(server int, try ledger.TryID, op *server.Op, until policy.Micros) bool {
	r.mu.Lock()
	req := r.requests[try]
	r.mu.Unlock()
	for _, node := range r.nodes {
		if node.Server != server {
			continue
		}
		deadline := r.now() + r.Scenario.Categories[req.category].TTL.Micros()
		if r.Scenario.Limits.PassesDeadline {
			deadline = min(deadline, until)
		}
		req.op = r.ledger.RecordOp(r.now(), req.category, req.arrival.Tenant, node.Tier)
		req.tier = node.Tier
		req.deadline = deadline
		req.leavesAfter = 0
		req.clientRetry = false
		verdict, _ := r.sendTry(context.Background(), node.endpoint, node.nodeIndex, req)
		return verdict == ledger.Served
	}
	return false
}

// readThrottleSamples adds the throttle samples that the first node has written to the ledger.
func (r *run) readThrottleSamples() {
	file, err := os.Open(filepath.Join(r.dir, "throttles.jsonl"))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		r.ledger.RecordEvent("throttles: " + err.Error())
		return
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var sample labnode.ThrottleSample
		if json.Unmarshal(lines.Bytes(), &sample) == nil { // the last line of a node that was killed may be incomplete
			r.ledger.RecordThrottle(sample.At, ledger.Throttle{Server: sample.Server, Rate: sample.Rate, CutoffLevel: sample.CutoffLevel})
		}
	}
}
