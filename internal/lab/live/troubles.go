package live

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"canvasrouter/internal/fleet/judged"
	"canvasrouter/internal/lab/labnode"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/registry"
	"canvasrouter/internal/standin/server"
	"canvasrouter/policy"
)

// troubles carries out the plan in time. What takes a while goes on beside it.
func (r *run) troubles(ctx context.Context, beside *sync.WaitGroup) {
	for i := range r.plan.Steps {
		step := &r.plan.Steps[i]
		if step.At >= r.LoadDuration {
			return
		}
		select {
		case <-time.After(duration(r.begin + step.At - r.now())):
		case <-ctx.Done():
			return
		}
		if step.Event != "" {
			r.account.RecordEvent(fmt.Sprintf("%.1f s: %s", float64(r.now()-r.begin)/1e6, step.Event))
		}
		r.carryOut(ctx, step, beside)
	}
}

func (r *run) carryOut(ctx context.Context, step *scenario.Step, beside *sync.WaitGroup) {
	s := r.servers[step.Server]
	check := func(err error) {
		if err != nil && ctx.Err() == nil {
			r.fail(err)
		}
	}
	switch step.Action {
	case scenario.ServerSlow:
		s.SetSlowdown(step.Factor)
	case scenario.ServerStall:
		s.Stall(r.begin + step.Time)
	case scenario.ServerCrash, scenario.ServerSilence:
		s.Stop(step.Action == scenario.ServerSilence)
		if n := r.behind(step.Server); n != nil {
			check(n.kill())
		}
	case scenario.ServerStart:
		check(s.Start(true))
		if n := r.behind(step.Server); n != nil {
			beside.Go(func() { check(n.start(ctx)) })
		}
	case scenario.ServerSetMode:
		s.SetMode(step.Mode)
	case scenario.ServerSetListed:
		m := r.plan.Machines[step.Server]
		r.registry[m.Tier].Update(func(c *registry.Catalog) {
			e, known := c.Lookup(step.Server)
			if !known {
				e = m.RegistryEntry(step.Server)
			}
			e.State, e.StartedAt = step.State, s.StartedAt()
			c.SetEntry(e)
		})
	case scenario.RegistryDown, scenario.RegistryUp, scenario.RegistryDelay, scenario.RegistrySaveSnapshot, scenario.RegistryServeSnapshot,
		scenario.RegistryServeCurrent:
		for _, service := range r.registry {
			r.disturb(service, step)
		}
	case scenario.NodeCrash:
		check(r.nodes[step.Node].kill())
	case scenario.NodeStart:
		beside.Go(func() { check(r.nodes[step.Node].start(ctx)) })
	case scenario.NodeTerminate:
		beside.Go(func() { check(r.nodes[step.Node].restart(ctx)) })
	case scenario.NodePause, scenario.NodeResume:
		r.nodes[step.Node].stop(step.Action == scenario.NodePause)
	case scenario.NodeStartEmpty:
		n := r.nodes[step.Node]
		n.known = nil
		beside.Go(func() { check(n.start(ctx)) })
	case scenario.NodeStartMoved:
		n := r.nodes[step.Node]
		next, err := r.rig.NextSlot(n.beside)
		check(err)
		n.beside = next
		beside.Go(func() { check(n.start(ctx)) })
	case scenario.DuplicateNodeStart:
		twin, err := r.twin(step.Node)
		check(err)
		beside.Go(func() { check(twin.start(ctx)) })
	case scenario.DuplicateNodeEnd:
		if twin := r.twins[step.Node]; twin != nil {
			check(twin.kill())
		}
	case scenario.FalseReportsDown, scenario.FalseReportsHealthy:
		check(r.lie(step))
	case scenario.PeerFaultStart, scenario.PeerFaultEnd:
		r.rig.ApplyStep(step)
	case scenario.PartialLoss:
		s.SetIgnoredShare(step.Factor, r.odd)
	case scenario.ClockStep:
		r.step.Store(int64(step.Time))
	}
}

// twin is a second process of a node's name, number and configuration, at other addresses. No client comes to it.
func (r *run) twin(node int) (*balancer, error) {
	of := r.nodes[node]
	next, err := r.rig.NextSlot(of.beside)
	if err != nil {
		return nil, err
	}
	twin := &balancer{Node: of.Node, run: r, place: of.place, door: &door{addr: r.ports.addr()}, discovery: of.discovery,
		known: of.known, beside: next, hears: of.hears, second: true}
	r.twins[node] = twin
	return twin, nil
}

// lie lets one more member say the same of every server, to the end of the run.
func (r *run) lie(step *scenario.Step) error {
	if !r.nodes[step.Node].hears {
		return nil // nobody would hear it
	}
	ill := map[scenario.Action]judged.Condition{scenario.FalseReportsDown: judged.Down, scenario.FalseReportsHealthy: judged.Healthy}[step.Action]
	place, err := r.rig.NextSlot(step.Node)
	if err != nil {
		return err
	}
	var servers []policy.ServerID
	for i, m := range r.plan.Machines {
		if m.Tier == 0 {
			servers = append(servers, labnode.ServerID(i))
		}
	}
	liar, err := r.rig.NewFalseReporter(place, r.Scenario.Tiers[0].NodeCount, ill, servers)
	if err == nil {
		r.liars = append(r.liars, liar)
	}
	return err
}

// odd is the half of the first tier's nodes that a one-sided trouble hits.
func (r *run) odd(try ledger.TryID) bool {
	node, known := r.account.NodeOf(try)
	return known && r.nodes[node].Tier == 0 && r.nodes[node].Index%2 == 1
}

func (r *run) disturb(service *registry.Service, step *scenario.Step) {
	switch step.Action {
	case scenario.RegistryDown, scenario.RegistryUp:
		service.SetDown(step.Action == scenario.RegistryDown)
	case scenario.RegistryDelay:
		service.SetDelay(duration(r.Scenario.Registry.Delay.Micros() + step.Time))
	case scenario.RegistrySaveSnapshot:
		service.Update((*registry.Catalog).SaveSnapshot)
	case scenario.RegistryServeSnapshot:
		service.Update((*registry.Catalog).ServeSnapshot)
	case scenario.RegistryServeCurrent:
		service.Update((*registry.Catalog).ServeCurrent)
	}
}

// behind is the node that a server calls the next tier through, or nil.
func (r *run) behind(place int) *balancer {
	for _, n := range r.nodes {
		if n.Server == place {
			return n
		}
	}
	return nil
}

// stranger is an op of a client that is not ours, on an open fleet. The lock is held.
func (r *run) stranger(request *http.Request, m scenario.Machine) (ledger.TryID, *server.Op, bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	for i, c := range r.Scenario.Categories {
		if c.Name != name {
			continue
		}
		now := r.now()
		a := &load.Arrival{Category: i, Tenant: -1}
		for _, t := range r.Scenario.Tiers {
			a.WorkByTier, a.CallsByTier = append(a.WorkByTier, c.MeanWork.Micros()), append(a.CallsByTier, int(t.CallsPerOp))
		}
		q := question{op: r.account.RecordOp(now, i, -1, m.Tier), tier: m.Tier, arrival: a, category: i, notAfter: now + c.TTL.Micros()}
		try := r.account.RecordTry(q.op, 0, now, q.notAfter)
		r.asked[try] = q
		calls := 0
		if m.Tier+1 < len(r.Scenario.Tiers) {
			calls = a.CallsByTier[m.Tier]
		}
		return try, &server.Op{Key: request.Header.Get("Idempotency-Key"), Category: i, Work: a.WorkByTier[m.Tier],
			DownstreamCalls: calls, Dedup: r.memoryOf(i, m), DedupLock: &r.memory}, true
	}
	return 0, nil, false
}
