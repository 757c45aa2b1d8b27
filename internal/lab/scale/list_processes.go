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

	"canvasrouter/internal/lab/harness"
	"canvasrouter/internal/lab/scenario"
	standin "canvasrouter/internal/standin/registry"
	"canvasrouter/policy"
)

// MeasureListReal measures the server list at one size with processes of the program, which start without a list. Like
// MeasureList it counts the bytes that the registry writes and the calls that it gets. There are no ops, so nothing is
// pushed to the listed servers.
func MeasureListReal(ctx context.Context, program string, nodes, calledServices int, calmTime time.Duration, seed uint64, progress ProgressFunc) (point Point, err error) {
	point = Point{Nodes: nodes, Values: map[string]float64{}}
	servers := calledServices * perService
	addrs := make([]string, servers)
	var entries []standin.Entry
	for i := range servers {
		addrs[i] = fmt.Sprintf("127.0.0.1:%d", 1+i)
		entries = append(entries, standin.Entry{Server: i, Zone: i % zones, Weight: 1})
	}
	deployment, _ := processDeployment(addrs)
	service := standin.NewService(standin.NewCatalog(entries, false), 0, standin.Options{Zones: deployment.Zones, MachineTypes: []string{"m"},
		OnSent: func(int, []standin.Entry, bool) {}, Addr: func(i int) string { return addrs[i] }})
	defer service.Close()
	dir, err := os.MkdirTemp("", "canvaslab-")
	if err != nil {
		return point, err
	}
	defer os.RemoveAll(dir)
	host, err := ClaimLoopbackHost()
	if err != nil {
		return point, err
	}
	defer host.Close()
	timerLag := harness.NewTimerLag()
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	processes := make([]*process, nodes)
	errs := make([]error, nodes)
	semaphore := make(chan struct{}, 8)
	var starts sync.WaitGroup
	defer func() {
		for _, proc := range processes {
			if proc != nil {
				proc.kill()
			}
		}
	}()
	for i := range processes {
		registryAddr, err := service.Listen(i)
		if err != nil {
			return point, err
		}
		proc := &process{addr: host.NextAddr(), file: filepath.Join(dir, fmt.Sprintf("%d.json", i))}
		config := deployment.NodeConfig(scenario.Node{Index: i, NodeCount: nodes, Zone: i % zones, Server: -1}, fmt.Sprintf("n%d", i), proc.addr, registryAddr,
			seed+uint64(i), nil, nil)
		config = bytes.Replace(config, []byte(`"registry_mode":"ask"`), []byte(`"registry_mode":"push"`), 1) // watch the list, as in MeasureList
		if err := os.WriteFile(proc.file, config, 0o600); err != nil {
			return point, err
		}
		processes[i] = proc
		starts.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			if errs[i] = proc.start(program); errs[i] == nil {
				_, errs[i] = proc.waitReady(ctx, client, startTimeout)
			}
		})
	}
	starts.Wait()
	for _, err := range errs {
		if err != nil {
			return point, err
		}
	}
	started := time.Now()
	for calls, _ := service.Counts(); calls < int64(nodes); calls, _ = service.Counts() {
		sleep(ctx, 10*time.Millisecond)
		if ctx.Err() != nil || time.Since(started) > startTimeout {
			return point, fmt.Errorf("%d of %d nodes have called the registry after %v", calls, nodes, startTimeout)
		}
	}
	sleep(ctx, time.Second) // until the last calls are answered
	_, bytesBefore := service.Counts()
	point.Values["first_bytes"] = roundFigure(float64(bytesBefore) / float64(nodes))
	sleep(ctx, calmTime)
	_, bytesAfter := service.Counts()
	point.Values["calm_bytes"] = roundFigure(float64(bytesAfter-bytesBefore) / float64(nodes) / calmTime.Seconds())
	bytesBefore = bytesAfter
	restarts := max(1, int(restartShare*float64(servers)))
	step := calmTime / time.Duration(restarts)
	for i := range restarts {
		for _, entry := range []standin.Entry{{Server: i, Zone: i % zones, Weight: 1, State: policy.Draining},
			{Server: i, Zone: i % zones, Weight: 1, StartedAt: policy.Micros(1000 * (i + 1))}} {
			service.Update(func(c *standin.Catalog) { c.SetEntry(entry) })
			sleep(ctx, step/2)
		}
	}
	calls, bytesAfter := service.Counts()
	point.Values["restart_bytes"] = roundFigure(float64(bytesAfter-bytesBefore) / float64(nodes) / float64(restarts))
	service.SetDown(true)
	sleep(ctx, 2*time.Second)
	callsAfter, _ := service.Counts()
	point.Values["down_calls_s"] = roundFigure(float64(callsAfter-calls) / 2 / float64(nodes))
	worstLag, meanLag := timerLag.Stop()
	if meanLag > maxMeanLag {
		point.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", meanLag.Round(time.Millisecond))
	}
	progress("%d processes, %d servers listed: first %.0f bytes, calm %.2f bytes a second, %.0f a restart, %.2f calls a second while the registry is down; harness late by up to %v", nodes, servers,
		point.Values["first_bytes"], point.Values["calm_bytes"], point.Values["restart_bytes"], point.Values["down_calls_s"], worstLag.Round(time.Millisecond))
	return point, ctx.Err()
}
