package live

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"canvasrouter/internal/fleet/outlier"
	"canvasrouter/internal/lab/labnode"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/registry"
	"canvasrouter/internal/standin/server"
	"canvasrouter/policy"
)

// runDisturbances applies the steps of the plan, each at its time. Steps that take a while run in the background group.
func (r *run) runDisturbances(ctx context.Context, background *sync.WaitGroup) {
	for i := range r.plan.Steps {
		step := &r.plan.Steps[i]
		if step.At >= r.LoadDuration {
			return
		}
		select {
		case <-time.After(toDuration(r.loadStart + step.At - r.now())):
		case <-ctx.Done():
			return
		}
		if step.Event != "" {
			r.ledger.RecordEvent(fmt.Sprintf("%.1f s: %s", float64(r.now()-r.loadStart)/1e6, step.Event))
		}
		r.applyStep(ctx, step, background)
	}
}

// applyStep applies one step of the plan to servers, registry, nodes or network.
func (r *run) applyStep(ctx context.Context, step *scenario.Step, background *sync.WaitGroup) {
	standinServer := r.servers[step.Server]
	check := func(err error) {
		if err != nil && ctx.Err() == nil {
			r.fail(err)
		}
	}
	switch step.Action {
	case scenario.ServerSlow:
		standinServer.SetSlowdown(step.Factor)
	case scenario.ServerStall:
		standinServer.Stall(r.loadStart + step.Time)
	case scenario.ServerCrash, scenario.ServerSilence:
		standinServer.Stop(step.Action == scenario.ServerSilence)
		if node := r.nextTierNode(step.Server); node != nil {
			check(node.kill())
		}
	case scenario.ServerStart:
		check(standinServer.Start(true))
		if node := r.nextTierNode(step.Server); node != nil {
			background.Go(func() { check(node.start(ctx)) })
		}
	case scenario.ServerSetMode:
		standinServer.SetMode(step.Mode)
	case scenario.ServerSetListed:
		machine := r.plan.Machines[step.Server]
		r.registries[machine.Tier].Update(func(catalog *registry.Catalog) {
			entry, known := catalog.Lookup(step.Server)
			if !known {
				entry = machine.RegistryEntry(step.Server)
			}
			entry.State = step.State
			entry.StartedAt = standinServer.StartedAt()
			catalog.SetEntry(entry)
		})
	case scenario.RegistryDown, scenario.RegistryUp, scenario.RegistryDelay, scenario.RegistrySaveSnapshot, scenario.RegistryServeSnapshot,
		scenario.RegistryServeCurrent:
		for _, service := range r.registries {
			r.applyRegistryStep(service, step)
		}
	case scenario.NodeCrash:
		check(r.nodes[step.Node].kill())
	case scenario.NodeStart:
		background.Go(func() { check(r.nodes[step.Node].start(ctx)) })
	case scenario.NodeTerminate:
		background.Go(func() { check(r.nodes[step.Node].restart(ctx)) })
	case scenario.NodePause, scenario.NodeResume:
		r.nodes[step.Node].setPaused(step.Action == scenario.NodePause)
	case scenario.NodeStartEmpty:
		node := r.nodes[step.Node]
		node.cachedList = nil
		background.Go(func() { check(node.start(ctx)) })
	case scenario.NodeStartMoved:
		node := r.nodes[step.Node]
		slot, err := r.network.NextSlot(node.networkSlot)
		check(err)
		node.networkSlot = slot
		background.Go(func() { check(node.start(ctx)) })
	case scenario.DuplicateNodeStart:
		duplicate, err := r.newDuplicate(step.Node)
		check(err)
		background.Go(func() { check(duplicate.start(ctx)) })
	case scenario.DuplicateNodeEnd:
		if duplicate := r.duplicates[step.Node]; duplicate != nil {
			check(duplicate.kill())
		}
	case scenario.FalseReportsDown, scenario.FalseReportsHealthy:
		check(r.startFalseReporter(step))
	case scenario.PeerFaultStart, scenario.PeerFaultEnd:
		r.network.ApplyStep(step)
	case scenario.PartialLoss:
		standinServer.SetIgnoredShare(step.Factor, r.hitByPartialLoss)
	case scenario.ClockStep:
		r.clockStep.Store(int64(step.Time))
	}
}

// newDuplicate makes a second process with a node's name, number and configuration, at other addresses. Clients don't
// send to it.
func (r *run) newDuplicate(node int) (*nodeProcess, error) {
	original := r.nodes[node]
	slot, err := r.network.NextSlot(original.networkSlot)
	if err != nil {
		return nil, err
	}
	duplicate := &nodeProcess{
		Node:         original.Node,
		run:          r,
		nodeIndex:    original.nodeIndex,
		endpoint:     &endpoint{addr: r.addresses.nextAddr()},
		registryAddr: original.registryAddr,
		cachedList:   original.cachedList,
		networkSlot:  slot,
		hasPeers:     original.hasPeers,
		duplicate:    true,
	}
	r.duplicates[node] = duplicate
	return duplicate, nil
}

// startFalseReporter adds a member to the fleet that reports the same condition for every server until the run ends.
func (r *run) startFalseReporter(step *scenario.Step) error {
	if !r.nodes[step.Node].hasPeers {
		return nil // without peer messages no node would receive the reports
	}
	condition := map[scenario.Action]outlier.Condition{scenario.FalseReportsDown: outlier.Down, scenario.FalseReportsHealthy: outlier.Healthy}[step.Action]
	slot, err := r.network.NextSlot(step.Node)
	if err != nil {
		return err
	}
	var servers []policy.ServerID
	for i, machine := range r.plan.Machines {
		if machine.Tier == 0 {
			servers = append(servers, labnode.ServerID(i))
		}
	}
	reporter, err := r.network.NewFalseReporter(slot, r.Scenario.Tiers[0].NodeCount, condition, servers)
	if err == nil {
		r.falseReporters = append(r.falseReporters, reporter)
	}
	return err
}

// hitByPartialLoss reports whether a try goes through a node that a partial loss affects: every second node of the
// first tier.
func (r *run) hitByPartialLoss(try ledger.TryID) bool {
	node, known := r.ledger.NodeOf(try)
	return known && r.nodes[node].Tier == 0 && r.nodes[node].Index%2 == 1
}

// applyRegistryStep applies a step of the plan to the registry service of one tier.
func (r *run) applyRegistryStep(service *registry.Service, step *scenario.Step) {
	switch step.Action {
	case scenario.RegistryDown, scenario.RegistryUp:
		service.SetDown(step.Action == scenario.RegistryDown)
	case scenario.RegistryDelay:
		service.SetDelay(toDuration(r.Scenario.Registry.Delay.Micros() + step.Time))
	case scenario.RegistrySaveSnapshot:
		service.Update((*registry.Catalog).SaveSnapshot)
	case scenario.RegistryServeSnapshot:
		service.Update((*registry.Catalog).ServeSnapshot)
	case scenario.RegistryServeCurrent:
		service.Update((*registry.Catalog).ServeCurrent)
	}
}

// nextTierNode returns the node through which a server calls the next tier, or nil.
func (r *run) nextTierNode(server int) *nodeProcess {
	for _, node := range r.nodes {
		if node.Server == server {
			return node
		}
	}
	return nil
}

// unknownOp makes an op of a request from a client outside the run, for runs without a generated load. The caller
// holds r.mu.
func (r *run) unknownOp(request *http.Request, machine scenario.Machine) (ledger.TryID, *server.Op, bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	for i, category := range r.Scenario.Categories {
		if category.Name != name {
			continue
		}
		now := r.now()
		arrival := &load.Arrival{Category: i, Tenant: -1}
		for _, tier := range r.Scenario.Tiers {
			arrival.WorkByTier = append(arrival.WorkByTier, category.MeanWork.Micros())
			arrival.CallsByTier = append(arrival.CallsByTier, int(tier.CallsPerOp))
		}
		req := opRequest{
			op:       r.ledger.RecordOp(now, i, -1, machine.Tier),
			tier:     machine.Tier,
			arrival:  arrival,
			category: i,
			deadline: now + category.TTL.Micros(),
		}
		try := r.ledger.RecordTry(req.op, 0, now, req.deadline)
		r.requests[try] = req
		calls := 0
		if machine.Tier+1 < len(r.Scenario.Tiers) {
			calls = arrival.CallsByTier[machine.Tier]
		}
		op := &server.Op{
			Key:             request.Header.Get("Idempotency-Key"),
			Category:        i,
			Work:            arrival.WorkByTier[machine.Tier],
			DownstreamCalls: calls,
			Dedup:           r.dedupMemory(i, machine),
			DedupLock:       &r.dedupLock,
		}
		return try, op, true
	}
	return 0, nil, false
}
