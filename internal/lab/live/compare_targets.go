package live

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/registry"
)

// Target is an endpoint that CompareTargets drives: a node or proxy in front of the servers, or a server itself.
type Target struct {
	Name string
	// Program is started with NODE_CONFIG for a node, and with VERSUS_LISTEN and VERSUS_SERVERS for a plain proxy. With
	// an empty Path clients connect directly to a server.
	Program Program
}

// Measurement is the throughput and latency of one target at one number of connections.
type Measurement struct {
	Target               string
	Connections          int
	OpsPerSecond         float64
	P50Ms, P99Ms, P999Ms float64
	Errors               int
}

// Environment variables of a plain proxy: its listen address, and the addresses of the servers separated by spaces.
const (
	ProxyListenEnv  = "VERSUS_LISTEN"
	ProxyServersEnv = "VERSUS_SERVERS"
)

// CompareTargets measures each target with a closed-loop load on each number of connections, against servers that
// answer immediately. Each target has rounds turns of the given duration, and the others are idle meanwhile. A
// measurement covers all rounds together.
func CompareTargets(ctx context.Context, targets []Target, connections []int, servers, rounds int,
	duration time.Duration) ([]Measurement, error) {
	addrs, stopServers, err := startInstantServers(servers)
	if err != nil {
		return nil, err
	}
	defer stopServers()
	dir, err := os.MkdirTemp("", "canvaslab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	targetAddrs := make([]string, len(targets))
	for i, target := range targets {
		if target.Program.Path == "" {
			targetAddrs[i] = addrs[0]
			continue
		}
		addr, stop, err := startTarget(target, dir, addrs)
		if err != nil {
			return nil, err
		}
		defer stop()
		targetAddrs[i] = addr
	}
	var measurements []Measurement
	for _, count := range connections {
		latencies := make([]*hdrhistogram.Histogram, len(targets))
		current := make([]Measurement, len(targets))
		for i := range targets {
			latencies[i] = hdrhistogram.New(1, 60_000_000, 3)
			current[i] = Measurement{Target: targets[i].Name, Connections: count}
		}
		for round := range rounds {
			for turn := range targets {
				i := (turn + round) % len(targets)
				if ctx.Err() != nil {
					return measurements, ctx.Err()
				}
				histogram, failed := closedLoop(targetAddrs[i], count, duration)
				latencies[i].Merge(histogram)
				current[i].Errors += failed
			}
		}
		for i := range targets {
			current[i].OpsPerSecond = float64(latencies[i].TotalCount()) / (duration.Seconds() * float64(rounds))
			current[i].P50Ms = float64(latencies[i].ValueAtQuantile(50)) / 1000
			current[i].P99Ms = float64(latencies[i].ValueAtQuantile(99)) / 1000
			current[i].P999Ms = float64(latencies[i].ValueAtQuantile(99.9)) / 1000
		}
		measurements = append(measurements, current...)
	}
	return measurements, nil
}

// startInstantServers starts servers that answer every request immediately.
func startInstantServers(count int) (addrs []string, stop func(), err error) {
	var servers []*http.Server
	stop = func() {
		for _, server := range servers {
			server.Close()
		}
	}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, err
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "11")
			io.WriteString(w, `{"ok":true}`)
		})}
		servers = append(servers, server)
		addrs = append(addrs, listener.Addr().String())
		go server.Serve(listener)
	}
	return addrs, stop, nil
}

// startTarget starts the process of a target in front of the servers, on one core, and waits until it answers.
func startTarget(target Target, dir string, servers []string) (addr string, stop func(), err error) {
	addresses, err := newAddressPool()
	if err != nil {
		return "", nil, err
	}
	defer addresses.close()
	addr = addresses.nextAddr()
	experiment := &scenario.Scenario{
		Name:  "versus",
		Zones: []string{"a"},
		Categories: []scenario.Category{
			{Name: "slots", Benefit: 1, TargetLatency: 500_000, TTL: 1_000_000, Delivery: "redeliverable"},
		},
		Tiers: []scenario.Tier{{
			Name:         "front",
			NodeCount:    1,
			MachineTypes: []scenario.MachineType{{Name: "std", Count: len(servers), IdleTimeout: 60_000_000}},
		}},
		Limits: scenario.Limits{
			MaxPushes:          3,
			DialTimeout:        100_000,
			Sockets:            2048,
			MemoryMB:           192,
			AnswerSlack:        20_000,
			ColdInitialShare:   0.3,
			ColdWarmUpTime:     4_000_000,
			ColdOverloadFactor: 3,
			ColdOverloadWindow: 1_000_000,
			DrainGrace:         1_500_000,
		},
	}
	var entries []registry.Entry
	list := ""
	for i, server := range servers {
		entries = append(entries, registry.Entry{Server: i, Weight: 1})
		list += server + " "
	}
	listOptions := registry.Options{
		Zones:        experiment.Zones,
		MachineTypes: []string{"std"},
		Addr:         func(i int) string { return servers[i] },
	}
	file := filepath.Join(dir, strconv.Quote(target.Name)+".json")
	config := experiment.NodeConfig(scenario.Node{NodeCount: 1, Server: -1}, target.Name, addr, "127.0.0.1:1", 1,
		listOptions.EncodeList(1, entries, true), nil)
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return "", nil, err
	}
	cmd := exec.Command(target.Program.Path, target.Program.Args...)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+file, ProxyListenEnv+"="+addr, ProxyServersEnv+"="+list, "GOMAXPROCS=1")
	output := &logTail{}
	cmd.Stderr = output
	cmd.WaitDelay = outputTimeout
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return "", nil, err
	}
	if err := cmd.Start(); err != nil {
		return "", nil, err
	}
	var once sync.Once
	stop = func() {
		once.Do(func() {
			stdin.Close()
			cmd.Process.Kill()
			cmd.Wait()
		})
	}
	for startedAt := time.Now(); time.Since(startedAt) < readyTimeout; time.Sleep(10 * time.Millisecond) {
		if response, err := readyClient.Get("http://" + addr + "/-/ready"); err == nil {
			response.Body.Close()
			return addr, stop, nil
		}
	}
	stop()
	return "", nil, fmt.Errorf("%s does not answer: %s", target.Name, output.lastLine())
}

// closedLoop keeps a number of connections busy for a duration, and returns the latencies in microseconds and the
// number of errors. A connection ends early after more than 100 errors.
func closedLoop(addr string, connections int, duration time.Duration) (latencies *hdrhistogram.Histogram, failed int) {
	latencies = hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var workers sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range connections {
		workers.Go(func() {
			histogram := hdrhistogram.New(1, 60_000_000, 3)
			errorCount := 0
			for sequence := 0; time.Now().Before(end); sequence++ {
				if err := requestLoop(addr, fmt.Sprintf("%08x", i), &sequence, end, histogram); err != nil {
					if errorCount++; errorCount > 100 {
						break
					}
					time.Sleep(time.Millisecond)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			latencies.Merge(histogram)
			failed += errorCount
		})
	}
	workers.Wait()
	return latencies, failed
}

// errStatus is an answer with a status that is not 200.
var errStatus = errors.New("an answer other than 200")

// requestLoop sends one request after the other on a new connection until the end, or until the first error.
func requestLoop(addr, id string, sequence *int, end time.Time, histogram *hdrhistogram.Histogram) error {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(end.Add(dialTimeout))
	reader := bufio.NewReader(c)
	for ; time.Now().Before(end); *sequence++ {
		sentAt := time.Now()
		_, err := fmt.Fprintf(c, "GET /slots/1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s%08x\r\nX-Remaining-Ms: 900\r\n\r\n", id, *sequence)
		if err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
		if response.StatusCode != http.StatusOK {
			return errStatus
		}
		histogram.RecordValue(max(1, time.Since(sentAt).Microseconds()))
	}
	return nil
}
