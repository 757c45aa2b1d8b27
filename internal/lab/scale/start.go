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
	cmd   *exec.Cmd
	addr  string
	file  string
	log   bytes.Buffer
	ended chan struct{}
	begun time.Time
}

func (p *process) start(program string) error {
	p.cmd = exec.Command(program)
	p.cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.file)
	p.log.Reset()
	p.cmd.Stderr, p.cmd.WaitDelay = &p.log, time.Second
	p.begun, p.ended = time.Now(), make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) { cmd.Wait(); close(ended) }(p.cmd, p.ended)
	return nil
}

// listens waits until the node answers that it is ready.
func (p *process) listens(ctx context.Context, client *http.Client, most time.Duration) (ready time.Duration, err error) {
	for {
		if response, err := client.Get("http://" + p.addr + "/-/ready"); err == nil {
			response.Body.Close()
			return time.Since(p.begun), nil
		}
		if wait(ctx, 5*time.Millisecond); ctx.Err() != nil || time.Since(p.begun) > most {
			return 0, fmt.Errorf("node at %s is not ready after %v: %s", p.addr, most, p.log.String())
		}
	}
}

// ready waits until the node answers that it is ready, and then until an op is answered.
func (p *process) ready(ctx context.Context, client *http.Client, most time.Duration) (ready, serves time.Duration, err error) {
	if ready, err = p.listens(ctx, client, most); err != nil {
		return 0, 0, err
	}
	for n := 0; ; n++ {
		q, err := http.NewRequest(http.MethodGet, "http://"+p.addr+"/call", nil)
		if err != nil {
			return 0, 0, err
		}
		q.Header.Set("X-Txn", fmt.Sprintf("%s-%d", p.addr, n))
		q.Header.Set("X-Remaining-Ms", "900")
		if response, err := client.Do(q); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return ready, time.Since(p.begun), nil
			}
		}
		if wait(ctx, 5*time.Millisecond); ctx.Err() != nil || time.Since(p.begun) > most {
			return 0, 0, fmt.Errorf("node at %s serves nothing after %v", p.addr, most)
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
func setting(addrs []string) (*scenario.Scenario, []byte) {
	s := &scenario.Scenario{Name: "scale", Zones: []string{"a", "b", "c", "d", "e"},
		Categories: []scenario.Category{{Name: "call", Benefit: 1, TargetLatency: 500_000, TTL: 1_000_000, Delivery: "redeliverable"}},
		Tiers:      []scenario.Tier{{Name: "front", NodeCount: 1, MachineTypes: []scenario.MachineType{{Name: "m", Count: len(addrs), IdleTimeout: 60_000_000}}}},
		Limits: scenario.Limits{MaxPushes: 3, DialTimeout: 100_000, Sockets: 1024, MemoryMB: 128, AnswerSlack: 20_000, ColdInitialShare: 0.3,
			ColdWarmUpTime: 4_000_000, ColdOverloadFactor: 3, ColdOverloadWindow: 1_000_000, DrainGrace: scenario.Duration(drainGrace.Microseconds())}}
	var entries []standin.Entry
	for i := range addrs {
		entries = append(entries, standin.Entry{Server: i, Zone: i % zones, Weight: 1})
	}
	words := standin.Options{Zones: s.Zones, MachineTypes: []string{"m"}, Addr: func(i int) string { return addrs[i] }}
	return s, words.EncodeList(1, entries, true)
}

// startWait is the longest that a node may take to be ready.
const startWait = 30 * time.Second

// Starts plays one size: so many processes are told to end, and start anew as they have, all at once; with the registry up, answering
// two seconds late, and down. Each is timed from its new process to its word that it is ready, and to its first op served.
func MeasureStarts(ctx context.Context, program string, nodes int, seed uint64, tell ProgressFunc) (p Point, err error) {
	if program == "" {
		return p, errors.New("starts are measured with processes: --node names the program")
	}
	p = Point{Nodes: nodes, Values: map[string]float64{}}
	addrs, stop, err := StartFixedDelayServers(4, 0)
	if err != nil {
		return p, err
	}
	defer stop()
	dir, err := os.MkdirTemp("", "canvaslab-")
	if err != nil {
		return p, err
	}
	defer os.RemoveAll(dir)
	s, known := setting(addrs)
	var entries []standin.Entry
	for i := range addrs {
		entries = append(entries, standin.Entry{Server: i, Zone: i % zones, Weight: 1, State: policy.Ready})
	}
	service := standin.NewService(standin.NewCatalog(entries, false), 0, standin.Options{Zones: s.Zones, MachineTypes: []string{"m"},
		OnSent: func(int, []standin.Entry, bool) {}, Addr: func(i int) string { return addrs[i] }})
	defer service.Close()
	all := make([]*process, nodes)
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	host, err := ClaimLoopbackHost()
	if err != nil {
		return p, err
	}
	defer host.Close()
	for i := range all {
		discovery, err := service.Listen(i)
		if err != nil {
			return p, err
		}
		all[i] = &process{addr: host.NextAddr(), file: filepath.Join(dir, fmt.Sprintf("%d.json", i))}
		config := s.NodeConfig(scenario.Node{Index: i, NodeCount: nodes, Zone: i % zones, Server: -1}, fmt.Sprintf("n%d", i), all[i].addr, discovery,
			seed+uint64(i), known, nil)
		if err := os.WriteFile(all[i].file, config, 0o600); err != nil {
			return p, err
		}
	}
	defer func() {
		for _, one := range all {
			one.kill()
		}
	}()
	lag := together.NewTimerLag()
	for _, phase := range []string{"first", "up", "slow", "down"} {
		service.SetDown(phase == "down")
		service.SetDelay(map[bool]time.Duration{true: 2 * time.Second}[phase == "slow"])
		var mu sync.Mutex
		var readys, serves []float64
		var over sync.WaitGroup
		errs := make([]error, nodes)
		for i, one := range all {
			over.Go(func() {
				if phase != "first" {
					one.cmd.Process.Signal(syscall.SIGTERM)
					select {
					case <-one.ended:
					case <-time.After(startWait):
						errs[i] = fmt.Errorf("node %d did not end: %s", i, one.log.String())
						return
					}
				}
				if errs[i] = one.start(program); errs[i] != nil {
					return
				}
				var r, w time.Duration
				if r, w, errs[i] = one.ready(ctx, client, startWait); errs[i] == nil {
					mu.Lock()
					defer mu.Unlock()
					readys, serves = append(readys, r.Seconds()), append(serves, w.Seconds())
				}
			})
		}
		over.Wait()
		if err := errors.Join(errs...); err != nil {
			return p, err
		}
		slices.Sort(readys)
		slices.Sort(serves)
		p.Values[phase+"_ready_p50_s"], p.Values[phase+"_ready_p90_s"] = round(readys[nodes/2]), round(readys[nodes*9/10])
		p.Values[phase+"_ready_most_s"], p.Values[phase+"_serves_most_s"] = round(readys[nodes-1]), round(serves[nodes-1])
		tell("%d processes, registry %s: ready after %.3f s at half, %.3f at nine in ten, %.3f at the last; serving at %.3f", nodes, phase, readys[nodes/2],
			readys[nodes*9/10], readys[nodes-1], serves[nodes-1])
	}
	if late, mean := lag.Stop(); mean > mostLate {
		p.VoidReason = fmt.Sprintf("the rig's own timers were %v late, %v in the mean", late.Round(time.Millisecond), mean.Round(time.Millisecond))
	}
	return p, nil
}
