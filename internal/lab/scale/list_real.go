package scale

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/together"
	standin "canvasrouter/internal/standin/registry"
	"canvasrouter/policy"
)

// ListReal plays one size of the list with processes of the program, which start without one: what the registry writes to them and how
// often they call, as hollow nodes are counted. No op comes, so nothing is pushed to the servers listed.
func MeasureListReal(ctx context.Context, program string, nodes, called int, calm time.Duration, seed uint64, tell ProgressFunc) (p Point, err error) {
	p = Point{Nodes: nodes, Values: map[string]float64{}}
	servers := called * perService
	addrs := make([]string, servers)
	var entries []standin.Entry
	for i := range servers {
		addrs[i] = fmt.Sprintf("127.0.0.1:%d", 1+i)
		entries = append(entries, standin.Entry{Server: i, Zone: i % zones, Weight: 1})
	}
	s, _ := setting(addrs)
	service := standin.NewService(standin.NewCatalog(entries, false), 0, standin.Options{Zones: s.Zones, MachineTypes: []string{"m"},
		OnSent: func(int, []standin.Entry, bool) {}, Addr: func(i int) string { return addrs[i] }})
	defer service.Close()
	dir, err := os.MkdirTemp("", "canvaslab-")
	if err != nil {
		return p, err
	}
	defer os.RemoveAll(dir)
	host, err := ClaimLoopbackHost()
	if err != nil {
		return p, err
	}
	defer host.Close()
	lag := together.NewTimerLag()
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	all := make([]*process, nodes)
	errs := make([]error, nodes)
	room := make(chan struct{}, 8)
	var over sync.WaitGroup
	defer func() {
		for _, one := range all {
			if one != nil {
				one.kill()
			}
		}
	}()
	for i := range all {
		discovery, err := service.Listen(i)
		if err != nil {
			return p, err
		}
		one := &process{addr: host.NextAddr(), file: filepath.Join(dir, fmt.Sprintf("%d.json", i))}
		config := s.NodeConfig(scenario.Node{Index: i, NodeCount: nodes, Zone: i % zones, Server: -1}, fmt.Sprintf("n%d", i), one.addr, discovery,
			seed+uint64(i), nil, nil)
		config = bytes.Replace(config, []byte(`"registry_mode":"ask"`), []byte(`"registry_mode":"push"`), 1) // as hollow nodes follow it
		if err := os.WriteFile(one.file, config, 0o600); err != nil {
			return p, err
		}
		all[i] = one
		over.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			if errs[i] = one.start(program); errs[i] == nil {
				_, errs[i] = one.listens(ctx, client, startWait)
			}
		})
	}
	over.Wait()
	for _, err := range errs {
		if err != nil {
			return p, err
		}
	}
	begun := time.Now()
	for calls, _ := service.Counts(); calls < int64(nodes); calls, _ = service.Counts() {
		if wait(ctx, 10*time.Millisecond); ctx.Err() != nil || time.Since(begun) > startWait {
			return p, fmt.Errorf("%d of %d nodes have called the registry after %v", calls, nodes, startWait)
		}
	}
	wait(ctx, time.Second) // the last ones are answered
	_, before := service.Counts()
	p.Values["first_bytes"] = round(float64(before) / float64(nodes))
	wait(ctx, calm)
	_, after := service.Counts()
	p.Values["calm_bytes"] = round(float64(after-before) / float64(nodes) / calm.Seconds())
	before = after
	many := max(1, int(restarts*float64(servers)))
	step := calm / time.Duration(many)
	for i := range many {
		for _, e := range []standin.Entry{{Server: i, Zone: i % zones, Weight: 1, State: policy.Draining},
			{Server: i, Zone: i % zones, Weight: 1, StartedAt: policy.Micros(1000 * (i + 1))}} {
			service.Update(func(c *standin.Catalog) { c.SetEntry(e) })
			wait(ctx, step/2)
		}
	}
	calls, after := service.Counts()
	p.Values["restart_bytes"] = round(float64(after-before) / float64(nodes) / float64(many))
	service.SetDown(true)
	wait(ctx, 2*time.Second)
	down, _ := service.Counts()
	p.Values["down_calls_s"] = round(float64(down-calls) / 2 / float64(nodes))
	late, mean := lag.Stop()
	if mean > mostLate {
		p.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", mean.Round(time.Millisecond))
	}
	tell("%d processes, %d servers listed: first %.0f bytes, calm %.2f bytes a second, %.0f a restart, %.2f calls a second while it is down; rig late %v", nodes, servers,
		p.Values["first_bytes"], p.Values["calm_bytes"], p.Values["restart_bytes"], p.Values["down_calls_s"], late.Round(time.Millisecond))
	return p, ctx.Err()
}
