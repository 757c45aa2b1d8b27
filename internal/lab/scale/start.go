package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"canvasrouter/internal/lab/harness"
	"canvasrouter/internal/lab/scenario"
	standin "canvasrouter/internal/standin/registry"
	"canvasrouter/policy"
)

// process is one node of the program, whose servers and registry are stand-ins in this process.
type process struct {
	cmd       *exec.Cmd
	addr      string
	file      string
	log       bytes.Buffer
	ended     chan struct{}
	startedAt time.Time
}

// start starts the process.
func (p *process) start(program string) error {
	p.cmd = exec.Command(program)
	p.cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.file)
	p.log.Reset()
	p.cmd.Stderr = &p.log
	p.cmd.WaitDelay = time.Second
	p.startedAt = time.Now()
	p.ended = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		close(ended)
	}(p.cmd, p.ended)
	return nil
}

// waitReady waits until the node answers its readiness check, and returns the time since the start.
func (p *process) waitReady(ctx context.Context, client *http.Client, timeout time.Duration) (ready time.Duration, err error) {
	for {
		if response, err := client.Get("http://" + p.addr + "/-/ready"); err == nil {
			response.Body.Close()
			return time.Since(p.startedAt), nil
		}
		sleep(ctx, 5*time.Millisecond)
		if ctx.Err() != nil || time.Since(p.startedAt) > timeout {
			return 0, fmt.Errorf("node at %s is not ready after %v: %s", p.addr, timeout, p.log.String())
		}
	}
}

// waitServing waits until the node is ready and then until it serves an op. It returns the time of both since the start.
func (p *process) waitServing(ctx context.Context, client *http.Client, timeout time.Duration) (ready, serving time.Duration, err error) {
	if ready, err = p.waitReady(ctx, client, timeout); err != nil {
		return 0, 0, err
	}
	for attempt := 0; ; attempt++ {
		request, err := http.NewRequest(http.MethodGet, "http://"+p.addr+"/call", nil)
		if err != nil {
			return 0, 0, err
		}
		request.Header.Set("X-Txn", fmt.Sprintf("%s-%d", p.addr, attempt))
		request.Header.Set("X-Remaining-Ms", "900")
		if response, err := client.Do(request); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return ready, time.Since(p.startedAt), nil
			}
		}
		sleep(ctx, 5*time.Millisecond)
		if ctx.Err() != nil || time.Since(p.startedAt) > timeout {
			return 0, 0, fmt.Errorf("node at %s serves nothing after %v", p.addr, timeout)
		}
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Kill()
		<-p.ended
	}
}

// processDeployment returns the deployment of the measured processes, with servers at the given addresses, and the cached
// list of these servers.
func processDeployment(addrs []string) (*scenario.Scenario, []byte) {
	deployment := &scenario.Scenario{Name: "scale", Zones: []string{"a", "b", "c", "d", "e"},
		Categories: []scenario.Category{{Name: "call", Benefit: 1, TargetLatency: 500_000, TTL: 1_000_000, Delivery: "redeliverable"}},
		Tiers:      []scenario.Tier{{Name: "front", NodeCount: 1, MachineTypes: []scenario.MachineType{{Name: "m", Count: len(addrs), IdleTimeout: 60_000_000}}}},
		Limits: scenario.Limits{MaxPushes: 3, DialTimeout: 100_000, Sockets: 1024, MemoryMB: 128, AnswerSlack: 20_000, ColdInitialShare: 0.3,
			ColdWarmUpTime: 4_000_000, ColdOverloadFactor: 3, ColdOverloadWindow: 1_000_000, DrainGrace: scenario.Duration(drainGrace.Microseconds())}}
	var entries []standin.Entry
	for i := range addrs {
		entries = append(entries, standin.Entry{Server: i, Zone: i % zones, Weight: 1})
	}
	options := standin.Options{Zones: deployment.Zones, MachineTypes: []string{"m"}, Addr: func(i int) string { return addrs[i] }}
	return deployment, options.EncodeList(1, entries, true)
}

// startTimeout limits the time until a node is ready, until it serves, and until it exits.
const startTimeout = 30 * time.Second

// MeasureStarts measures restarts at one size: all processes are terminated, and each starts again once it has exited.
// This is done with the registry up, delayed by two seconds, and down. For each process it measures the time from the
// start until it is ready, and until its first op is served.
func MeasureStarts(ctx context.Context, program string, nodes int, seed uint64, progress ProgressFunc) (point Point, err error) {
	if program == "" {
		return point, errors.New("starts are measured with processes: --node names the program")
	}
	point = Point{Nodes: nodes, Values: map[string]float64{}}
	addrs, stop, err := StartFixedDelayServers(4, 0)
	if err != nil {
		return point, err
	}
	defer stop()
	dir, err := os.MkdirTemp("", "canvaslab-")
	if err != nil {
		return point, err
	}
	defer os.RemoveAll(dir)
	deployment, knownServers := processDeployment(addrs)
	var entries []standin.Entry
	for i := range addrs {
		entries = append(entries, standin.Entry{Server: i, Zone: i % zones, Weight: 1, State: policy.Ready})
	}
	service := standin.NewService(standin.NewCatalog(entries, false), 0, standin.Options{Zones: deployment.Zones, MachineTypes: []string{"m"},
		OnSent: func(int, []standin.Entry, bool) {}, Addr: func(i int) string { return addrs[i] }})
	defer service.Close()
	processes := make([]*process, nodes)
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	host, err := ClaimLoopbackHost()
	if err != nil {
		return point, err
	}
	defer host.Close()
	for i := range processes {
		registryAddr, err := service.Listen(i)
		if err != nil {
			return point, err
		}
		processes[i] = &process{addr: host.NextAddr(), file: filepath.Join(dir, fmt.Sprintf("%d.json", i))}
		config := deployment.NodeConfig(scenario.Node{Index: i, NodeCount: nodes, Zone: i % zones, Server: -1}, fmt.Sprintf("n%d", i), processes[i].addr, registryAddr,
			seed+uint64(i), knownServers, nil)
		if err := os.WriteFile(processes[i].file, config, 0o600); err != nil {
			return point, err
		}
	}
	defer func() {
		for _, proc := range processes {
			proc.kill()
		}
	}()
	timerLag := harness.NewTimerLag()
	for _, phase := range []string{"first", "up", "slow", "down"} {
		service.SetDown(phase == "down")
		service.SetDelay(map[bool]time.Duration{true: 2 * time.Second}[phase == "slow"])
		var mu sync.Mutex
		var readyTimes, servingTimes []float64
		var restarts sync.WaitGroup
		errs := make([]error, nodes)
		for i, proc := range processes {
			restarts.Go(func() {
				if phase != "first" {
					proc.cmd.Process.Signal(syscall.SIGTERM)
					select {
					case <-proc.ended:
					case <-time.After(startTimeout):
						errs[i] = fmt.Errorf("node %d did not end: %s", i, proc.log.String())
						return
					}
				}
				if errs[i] = proc.start(program); errs[i] != nil {
					return
				}
				var ready, serving time.Duration
				if ready, serving, errs[i] = proc.waitServing(ctx, client, startTimeout); errs[i] == nil {
					mu.Lock()
					defer mu.Unlock()
					readyTimes = append(readyTimes, ready.Seconds())
					servingTimes = append(servingTimes, serving.Seconds())
				}
			})
		}
		restarts.Wait()
		if err := errors.Join(errs...); err != nil {
			return point, err
		}
		slices.Sort(readyTimes)
		slices.Sort(servingTimes)
		point.Values[phase+"_ready_p50_s"] = roundFigure(readyTimes[nodes/2])
		point.Values[phase+"_ready_p90_s"] = roundFigure(readyTimes[nodes*9/10])
		point.Values[phase+"_ready_most_s"] = roundFigure(readyTimes[nodes-1])
		point.Values[phase+"_serves_most_s"] = roundFigure(servingTimes[nodes-1])
		progress("%d processes, registry %s: ready after %.3f s at p50, %.3f s at p90, %.3f s at most; serving after at most %.3f s", nodes, phase, readyTimes[nodes/2],
			readyTimes[nodes*9/10], readyTimes[nodes-1], servingTimes[nodes-1])
	}
	if worstLag, meanLag := timerLag.Stop(); meanLag > maxMeanLag {
		point.VoidReason = fmt.Sprintf("the rig's own timers were %v late, %v in the mean", worstLag.Round(time.Millisecond), meanLag.Round(time.Millisecond))
	}
	return point, nil
}
