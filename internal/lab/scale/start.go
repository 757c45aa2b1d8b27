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

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/together"
	standin "canvasrouter/internal/standin/registry"
	"canvasrouter/policy"
)

// process is one node of the program, beside stand-ins of this process.
type process struct {
	cmd       *exec.Cmd
	addr      string
	file      string
	log       bytes.Buffer
	ended     chan struct{}
	startedAt time.Time
}

func (p *process) start(program string) error {
	p.cmd = exec.Command(program)
	p.cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.file)
	p.log.Reset()
	p.cmd.Stderr, p.cmd.WaitDelay = &p.log, time.Second
	p.startedAt, p.ended = time.Now(), make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) { cmd.Wait(); close(ended) }(p.cmd, p.ended)
	return nil
}

// listens waits until the node answers that it is ready.
func (p *process) waitReady(ctx context.Context, client *http.Client, timeout time.Duration) (ready time.Duration, err error) {
	for {
		if response, err := client.Get("http://" + p.addr + "/-/ready"); err == nil {
			response.Body.Close()
			return time.Since(p.startedAt), nil
		}
		if sleep(ctx, 5*time.Millisecond); ctx.Err() != nil || time.Since(p.startedAt) > timeout {
			return 0, fmt.Errorf("node at %s is not ready after %v: %s", p.addr, timeout, p.log.String())
		}
	}
}

// ready waits until the node answers that it is ready, and then until an op is answered.
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
		if sleep(ctx, 5*time.Millisecond); ctx.Err() != nil || time.Since(p.startedAt) > timeout {
			return 0, 0, fmt.Errorf("node at %s serves nothing after %v", p.addr, timeout)
		}
	}
}

func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Kill()
		<-p.ended
	}
}

// setting is the deployment that processes of a scale run have.
func processDeployment(addrs []string) (*scenario.Scenario, []byte) {
	deployment := &scenario.Scenario{Name: "scale", Zones: []string{"a", "b", "c", "d", "e"},
		Categories: []scenario.Category{{Name: "call", Benefit: 1, Target: 500_000, TTL: 1_000_000, Repeat: "redeliverable"}},
		Tiers:      []scenario.Tier{{Name: "front", Nodes: 1, Kinds: []scenario.Kind{{Name: "m", Count: len(addrs), IdleClose: 60_000_000}}}},
		Limits: scenario.Limits{MaxPushes: 3, Dial: 100_000, Sockets: 1024, MemoryMB: 128, AnswerSlack: 20_000, ColdFrom: 0.3,
			ColdWarm: 4_000_000, ColdFactor: 3, ColdWindow: 1_000_000, DrainGrace: scenario.Span(drainGrace.Microseconds())}}
	var entries []standin.Entry
	for i := range addrs {
		entries = append(entries, standin.Entry{Server: i, Zone: i % zones, Weight: 1})
	}
	options := standin.Options{Zones: deployment.Zones, MachineTypes: []string{"m"}, Addr: func(i int) string { return addrs[i] }}
	return deployment, options.EncodeList(1, entries, true)
}

// startWait is the longest that a node may take to be ready.
const startTimeout = 30 * time.Second

// Starts plays one size: so many processes are told to end, and start anew as they have, all at once; with the registry up, answering
// two seconds late, and down. Each is timed from its new process to its word that it is ready, and to its first op served.
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
		config := deployment.Config(scenario.Balancer{Number: i, Of: nodes, Zone: i % zones, Server: -1}, fmt.Sprintf("n%d", i), processes[i].addr, registryAddr,
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
	timerLag := together.NewTimerLag()
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
					readyTimes, servingTimes = append(readyTimes, ready.Seconds()), append(servingTimes, serving.Seconds())
				}
			})
		}
		restarts.Wait()
		if err := errors.Join(errs...); err != nil {
			return point, err
		}
		slices.Sort(readyTimes)
		slices.Sort(servingTimes)
		point.Values[phase+"_ready_p50_s"], point.Values[phase+"_ready_p90_s"] = roundFigure(readyTimes[nodes/2]), roundFigure(readyTimes[nodes*9/10])
		point.Values[phase+"_ready_most_s"], point.Values[phase+"_serves_most_s"] = roundFigure(readyTimes[nodes-1]), roundFigure(servingTimes[nodes-1])
		progress("%d processes, registry %s: ready after %.3f s at half, %.3f at nine in ten, %.3f at the last; serving at %.3f", nodes, phase, readyTimes[nodes/2],
			readyTimes[nodes*9/10], readyTimes[nodes-1], servingTimes[nodes-1])
	}
	if worstLag, meanLag := timerLag.Stop(); meanLag > maxMeanLag {
		point.VoidReason = fmt.Sprintf("the rig's own timers were %v late, %v in the mean", worstLag.Round(time.Millisecond), meanLag.Round(time.Millisecond))
	}
	return point, nil
}
