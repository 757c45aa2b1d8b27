package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"canvasrouter/internal/lab/harness"
)

var (
	soakSeeds = flag.Int("soak-seeds", 6, "number of seeds that TestSoak plays")
	soakFirst = flag.Uint64("soak-first", 1, "first seed that TestSoak plays")
)

// Spans that the rules of the operators allow.
const (
	lateAnswer        = 550 * time.Millisecond // an answer may come as much later than its client waits, with the time of the sockets
	lateBegin         = 100 * time.Millisecond // an attempt may begin as much later than its client's close
	windowSlack       = 200 * time.Millisecond // for a node that is held up, with the time of the sockets
	newConnsAfterTerm = 400 * time.Millisecond // new connections go on coming for as long after SIGTERM
	killAfterTTL      = 700 * time.Millisecond // from the longest TTL after SIGTERM to the kill
	crowdSize         = 500
	soundClients      = 10
	soakServers       = 6
	soakCells         = 2
	maxCrowdLag       = 300 * time.Millisecond // beyond it the machine is too busy to tell who was late
	beforeTerminus    = 3 * time.Second
	afterRestart      = 1500 * time.Millisecond
)

// soakPlan is what a seed draws.
type soakPlan struct {
	limits      nodeLimits
	ttl         time.Duration // of the keyed category, the longest one
	window      time.Duration
	crowd       bool
	reloads     int
	hangs       float64 // part of the requests that a server does not answer
	resets      float64 // part that it resets after it has run
	turnedAway  float64
	slow        float64 // part that it answers late
	leaves      float64 // part of the clients' requests that they give up early
	terminateAt time.Duration
}

// drawSoakPlan draws the plan of a seed.
func drawSoakPlan(random *rand.Rand) soakPlan {
	limits := []nodeLimits{{32, 256}, {32, 1024}, {64, 512}, {192, 256}, {192, 1024}}
	return soakPlan{
		limits:      limits[random.IntN(len(limits))],
		ttl:         time.Duration(400+random.IntN(1200)) * time.Millisecond,
		window:      time.Duration(150+random.IntN(900)) * time.Millisecond,
		crowd:       random.IntN(2) == 0,
		reloads:     random.IntN(4),
		hangs:       0.1 * random.Float64(),
		resets:      0.1 * random.Float64(),
		turnedAway:  0.1 * random.Float64(),
		slow:        0.2 * random.Float64(),
		leaves:      0.2 * random.Float64(),
		terminateAt: beforeTerminus + time.Duration(random.IntN(1000))*time.Millisecond,
	}
}

// writeSoakConfig changes the configuration of a process to a plan, with servers in soakCells cells.
func writeSoakConfig(t *testing.T, p *process, plan soakPlan, addrs []string) {
	t.Helper()
	raw, err := os.ReadFile(p.configPath)
	if err != nil {
		t.Fatal(err)
	}
	var document map[string]any
	if err := json.Unmarshal(raw, &document); err != nil {
		t.Fatal(err)
	}
	document["limits"] = map[string]any{"cores": 1.0, "memory_mb": plan.limits.memoryMB, "sockets": plan.limits.sockets}
	var instances []any
	for i, addr := range addrs {
		instances = append(instances, map[string]any{"instanceId": fmt.Sprint("s-", i), "hostPort": addr, "zone": "a",
			"machineType": "m1", "cell": i % soakCells, "lifecycle": "active", "weight": 1, "startedAtMs": 0})
	}
	document["known"].(map[string]any)["instances"] = instances
	milliseconds := func(d time.Duration) float64 { return float64(d.Milliseconds()) }
	for _, category := range document["settings"].(map[string]any)["categories"].([]any) {
		category := category.(map[string]any)
		category["ttl"] = milliseconds(plan.ttl)
		category["target_latency"] = milliseconds(plan.ttl / 2)
		category["repeat_window"] = milliseconds(plan.window)
	}
	if raw, err = json.Marshal(document); err == nil {
		err = os.WriteFile(p.configPath, raw, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestSoak plays seeds, each with a node of its own among servers in trouble, clients that leave, reloads, a planned restart in which
// clients use their connections until the kill, and in some a crowd of bad clients. More seeds: -soak-seeds, -soak-first.
func TestSoak(t *testing.T) {
	program := buildNode(t)
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, program, seed) })
	}
}

// soak plays one seed.
func soak(t *testing.T, program string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	plan := drawSoakPlan(random)
	record := newSoakRecord(plan)
	var addrs []string
	for i := range soakServers {
		addrs = append(addrs, startSoakServer(t, record, plan, i%soakCells, rand.New(rand.NewPCG(seed, uint64(i+1)))))
	}
	addr := freeAddr(t)
	start := func() *process {
		p := startNodeWithTimeout(t, 30*time.Second, func(p *process) {
			p.Path = program
			writeSoakConfig(t, p, plan, addrs)
		}, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t))
		awaitReady(t, addr)
		return p
	}
	p := start()
	lag := harness.NewTimerLag()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range soundClients {
		client := newSoakClient(addr, record, plan, rand.New(rand.NewPCG(seed, uint64(100+i))), fmt.Sprintf("%d-%d", seed, i))
		clients.Go(func() { client.run(stop) })
	}
	if plan.crowd {
		kinds := badClients()
		random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		holdBadClients(t, addr, kinds[:4], crowdSize)
	}
	for range plan.reloads {
		time.Sleep(plan.terminateAt / time.Duration(plan.reloads+1))
		p.Process.Signal(syscall.SIGHUP)
	}
	time.Sleep(plan.terminateAt / time.Duration(plan.reloads+1))
	peak := p.peakMemory(t)
	terminate(t, p, plan, record)
	p = start()
	record.setRestarting(false)
	time.Sleep(afterRestart)
	close(stop)
	clients.Wait()
	peak = max(peak, p.peakMemory(t))
	late, _ := lag.Stop()
	if peak > plan.limits.memoryMB<<20 {
		t.Errorf("peak %.1f MB of %d", float64(peak)/(1<<20), plan.limits.memoryMB)
	}
	t.Logf("%+v", plan)
	t.Logf("peak %.1f MB; %s; this process was late by %v", float64(peak)/(1<<20), record.summary(), late)
	record.check(t, late)
	if t.Failed() {
		t.Logf("log: %s", tail(p.log.String()))
	}
}

// tail returns the end of a log.
func tail(log string) string {
	const size = 3000
	return log[max(0, len(log)-size):]
}

// terminate ends a node as a planned restart does: signals in series, and a kill at the earliest time.
func terminate(t *testing.T, p *process, plan soakPlan, record *soakRecord) {
	t.Helper()
	record.setRestarting(true)
	p.Process.Signal(syscall.SIGHUP)
	p.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	time.Sleep(50 * time.Millisecond)
	p.Process.Signal(syscall.SIGHUP)
	p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			t.Errorf("exit: %v, log %s", err, p.log.String())
		}
	case <-time.After(plan.ttl + killAfterTTL):
		p.Process.Kill()
		<-ended
		t.Errorf("the node had not ended when it was killed: %s", tail(p.log.String()))
	}
}
