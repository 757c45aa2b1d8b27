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

// Way is one of the ways to the servers that Versus compares.
type Target struct {
	Name    string
	Program Program // started with NODE_CONFIG, and VERSUS_LISTEN and VERSUS_SERVERS for a plain proxy; none: direct
}

// Lap is what one way did at one number of connections.
type Measurement struct {
	Target               string
	Connections          int
	OpsPerSecond         float64
	P50Ms, P99Ms, P999Ms float64
	Errors               int
}

// Environment of a plain proxy.
const (
	ProxyListenEnv  = "VERSUS_LISTEN"
	ProxyServersEnv = "VERSUS_SERVERS"
)

// Versus drives each way in turn, closed loop, with each number of connections for a span, rounds times, against
// servers that answer at once. One way is idle while another runs. Figures are of all rounds together.
func CompareTargets(ctx context.Context, ways []Target, connections []int, servers, rounds int, span time.Duration) ([]Measurement, error) {
	addrs, stopServers, err := instant(servers)
	if err != nil {
		return nil, err
	}
	defer stopServers()
	dir, err := os.MkdirTemp("", "canvaslab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	at := make([]string, len(ways))
	for i, w := range ways {
		if w.Program.Path == "" {
			at[i] = addrs[0]
			continue
		}
		addr, stop, err := startWay(w, dir, addrs)
		if err != nil {
			return nil, err
		}
		defer stop()
		at[i] = addr
	}
	var laps []Measurement
	for _, n := range connections {
		all := make([]*hdrhistogram.Histogram, len(ways))
		lap := make([]Measurement, len(ways))
		for i := range ways {
			all[i] = hdrhistogram.New(1, 60_000_000, 3)
			lap[i] = Measurement{Target: ways[i].Name, Connections: n}
		}
		for round := range rounds {
			for k := range ways {
				i := (k + round) % len(ways)
				if ctx.Err() != nil {
					return laps, ctx.Err()
				}
				h, failed := closedLoop(at[i], n, span)
				all[i].Merge(h)
				lap[i].Errors += failed
			}
		}
		for i := range ways {
			lap[i].OpsPerSecond = float64(all[i].TotalCount()) / (span.Seconds() * float64(rounds))
			lap[i].P50Ms, lap[i].P99Ms = float64(all[i].ValueAtQuantile(50))/1000, float64(all[i].ValueAtQuantile(99))/1000
			lap[i].P999Ms = float64(all[i].ValueAtQuantile(99.9)) / 1000
		}
		laps = append(laps, lap...)
	}
	return laps, nil
}

// instant starts servers that answer at once.
func instant(n int) (addrs []string, stop func(), err error) {
	var all []*http.Server
	stop = func() {
		for _, s := range all {
			s.Close()
		}
	}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, err
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "11")
			io.WriteString(w, `{"ok":true}`)
		})}
		all, addrs = append(all, s), append(addrs, l.Addr().String())
		go s.Serve(l)
	}
	return addrs, stop, nil
}

// startWay starts a way's process before the servers, on one core.
func startWay(w Target, dir string, servers []string) (addr string, stop func(), err error) {
	own, err := newPorts()
	if err != nil {
		return "", nil, err
	}
	defer own.close()
	addr = own.addr()
	s := &scenario.Scenario{Name: "versus", Zones: []string{"a"},
		Categories: []scenario.Category{{Name: "slots", Benefit: 1, TargetLatency: 500_000, TTL: 1_000_000, Delivery: "redeliverable"}},
		Tiers:      []scenario.Tier{{Name: "front", NodeCount: 1, MachineTypes: []scenario.MachineType{{Name: "std", Count: len(servers), IdleTimeout: 60_000_000}}}},
		Limits: scenario.Limits{MaxPushes: 3, DialTimeout: 100_000, Sockets: 2048, MemoryMB: 192, AnswerSlack: 20_000, ColdInitialShare: 0.3,
			ColdWarmUpTime: 4_000_000, ColdOverloadFactor: 3, ColdOverloadWindow: 1_000_000, DrainGrace: 1_500_000}}
	var entries []registry.Entry
	list := ""
	for i, server := range servers {
		entries = append(entries, registry.Entry{Server: i, Weight: 1})
		list += server + " "
	}
	words := registry.Options{Zones: s.Zones, MachineTypes: []string{"std"}, Addr: func(i int) string { return servers[i] }}
	file := filepath.Join(dir, strconv.Quote(w.Name)+".json")
	config := s.NodeConfig(scenario.Node{NodeCount: 1, Server: -1}, w.Name, addr, "127.0.0.1:1", 1, words.EncodeList(1, entries, true), nil)
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return "", nil, err
	}
	cmd := exec.Command(w.Program.Path, w.Program.Args...)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+file, ProxyListenEnv+"="+addr, ProxyServersEnv+"="+list, "GOMAXPROCS=1")
	log := &tail{}
	cmd.Stderr, cmd.WaitDelay = log, outputWait
	input, err := cmd.StdinPipe()
	if err != nil {
		return "", nil, err
	}
	if err := cmd.Start(); err != nil {
		return "", nil, err
	}
	var once sync.Once
	stop = func() { once.Do(func() { input.Close(); cmd.Process.Kill(); cmd.Wait() }) }
	for begun := time.Now(); time.Since(begun) < readyWait; time.Sleep(10 * time.Millisecond) {
		if response, err := readyClient.Get("http://" + addr + "/-/ready"); err == nil {
			response.Body.Close()
			return addr, stop, nil
		}
	}
	stop()
	return "", nil, fmt.Errorf("%s does not answer: %s", w.Name, log.line())
}

// closedLoop keeps n connections busy for a span.
func closedLoop(addr string, n int, span time.Duration) (all *hdrhistogram.Histogram, failed int) {
	all = hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var out sync.WaitGroup
	end := time.Now().Add(span)
	for i := range n {
		out.Go(func() {
			h := hdrhistogram.New(1, 60_000_000, 3)
			bad := 0
			for k := 0; time.Now().Before(end); k++ {
				if err := loop(addr, fmt.Sprintf("%08x", i), &k, end, h); err != nil {
					if bad++; bad > 100 {
						break
					}
					time.Sleep(time.Millisecond)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(h)
			failed += bad
		})
	}
	out.Wait()
	return all, failed
}

var errStatus = errors.New("an answer other than 200")

// loop asks on one connection until the end, or until something goes wrong.
func loop(addr, id string, k *int, end time.Time, h *hdrhistogram.Histogram) error {
	c, err := net.DialTimeout("tcp", addr, dialWait)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(end.Add(dialWait))
	r := bufio.NewReader(c)
	for ; time.Now().Before(end); *k++ {
		begun := time.Now()
		if _, err := fmt.Fprintf(c, "GET /slots/1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s%08x\r\nX-Remaining-Ms: 900\r\n\r\n", id, *k); err != nil {
			return err
		}
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
		if response.StatusCode != http.StatusOK {
			return errStatus
		}
		h.RecordValue(max(1, time.Since(begun).Microseconds()))
	}
	return nil
}
