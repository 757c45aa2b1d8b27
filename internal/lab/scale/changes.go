package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/config"
	"canvasrouter/internal/lab/harness"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/relay"
	"canvasrouter/internal/store"
	"canvasrouter/internal/store/apply"
)

const (
	replicaCount  = 3
	changeTimeout = 30 * time.Second       // until a change is in force at all nodes
	burstChanges  = 20                     // at burstInterval: 100 a minute, for 12 s
	burstInterval = 600 * time.Millisecond // between two changes of a release
	cutDuration   = 10 * time.Second       // of the cut between the regions, after its change is in force
)

// storeCluster is a fleet of nodes that follow a store of three replicas, all connected by a relay. The replicas have the
// slots after those of the nodes.
type storeCluster struct {
	relay        *relay.Relay
	nodes        int
	program      string // "": nodes and replicas run in this process
	dir          string
	seed         uint64
	stopNodes    []func()
	stopReplicas [replicaCount]func()
	processes    []*process // nil for nodes in this process
	client       *http.Client
}

// newStoreCluster starts the replicas and the nodes. On an error after the start of the first replica it also returns the
// cluster, which the caller must close.
func newStoreCluster(nodes int, program string, seed uint64) (cluster *storeCluster, err error) {
	cluster = &storeCluster{nodes: nodes, program: program, seed: seed, client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	if cluster.relay, err = relay.New(nodes+replicaCount, seed); err != nil {
		return nil, err
	}
	if cluster.dir, err = os.MkdirTemp("", "canvaslab-"); err != nil {
		cluster.relay.Close()
		return nil, err
	}
	for replica := range replicaCount {
		if err := cluster.startReplica(replica); err != nil {
			return cluster, err
		}
	}
	errs := make([]error, nodes)
	cluster.processes = make([]*process, nodes)
	var starts sync.WaitGroup
	semaphore := make(chan struct{}, 16)
	var mu sync.Mutex
	for i := range nodes {
		starts.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			stop, err := cluster.startNode(i)
			mu.Lock()
			defer mu.Unlock()
			errs[i] = err
			if stop != nil {
				cluster.stopNodes = append(cluster.stopNodes, stop)
			}
		})
	}
	starts.Wait()
	return cluster, errors.Join(errs...)
}

// close stops all nodes and replicas.
func (c *storeCluster) close() {
	var stopping sync.WaitGroup
	for _, stop := range c.stopNodes {
		stopping.Go(stop)
	}
	stopping.Wait()
	for _, stop := range c.stopReplicas {
		if stop != nil {
			stop()
		}
	}
	c.relay.Close()
	os.RemoveAll(c.dir)
}

// replicaAddrs returns the addresses at which the nodes reach the replicas.
func (c *storeCluster) replicaAddrs() (addrs []string) {
	for replica := range replicaCount {
		addrs = append(addrs, relay.AdvertisedAddr(c.nodes+replica, c.relay.Port()).String())
	}
	return addrs
}

// bindIP returns the local IP of a node or replica.
func (c *storeCluster) bindIP(slot int) net.IP {
	return relay.BindAddr(slot, c.relay.Port()).Addr().AsSlice()
}

// startReplica starts a replica, as a process or in this one.
func (c *storeCluster) startReplica(number int) error {
	listen := relay.BindAddr(c.nodes+number, c.relay.Port()).String()
	dir := filepath.Join(c.dir, fmt.Sprint("replica-", number))
	if c.program != "" {
		raw, err := json.Marshal(map[string]any{"number": number, "listen": listen, "replicas": c.replicaAddrs(), "dir": dir, "bind": c.bindIP(c.nodes + number).String()})
		if err != nil {
			return err
		}
		file := dir + ".json"
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			return err
		}
		cmd := exec.Command(c.program, "replica", file)
		if err := cmd.Start(); err != nil {
			return err
		}
		c.stopReplicas[number] = sync.OnceFunc(func() {
			cmd.Process.Kill()
			cmd.Wait()
		})
		return c.waitReplica(number)
	}
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: c.bindIP(c.nodes + number)}}
	replica, err := store.NewReplica(store.ReplicaOptions{Index: number, Replicas: c.replicaAddrs(), Dir: dir, Validate: apply.ValidateChange, Dial: dialer.DialContext}, zerolog.Nop())
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	server := &http.Server{Handler: replica, ReadHeaderTimeout: 2 * time.Second}
	go server.Serve(listener)
	go replica.Run(ctx)
	c.stopReplicas[number] = sync.OnceFunc(func() {
		stop()
		server.Close()
	})
	return nil
}

// waitReplica waits until a replica answers.
func (c *storeCluster) waitReplica(number int) error {
	for started := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if _, err := c.replicaState(number); err == nil {
			return nil
		} else if time.Since(started) > startTimeout {
			return err
		}
	}
}

// serviceName returns the name of the service that a node belongs to.
func (c *storeCluster) serviceName(node int) string { return fmt.Sprint("s", node/perService) }

// startNode starts a node, as a process or, without a program, only its part that applies changes. Each node calls from
// an address of its own.
func (c *storeCluster) startNode(node int) (stop func(), err error) {
	storeKey := map[string]any{"replicas": c.replicaAddrs(), "service": c.serviceName(node), "bind": c.bindIP(node).String()}
	deployment, knownServers := processDeployment([]string{"127.0.0.1:1"})
	listen := fmt.Sprintf("%s:%d", c.bindIP(node), c.relay.Port()-11000)
	name := fmt.Sprintf("n%d", node)
	raw := deployment.NodeConfig(scenario.Node{Index: 0, NodeCount: 1, Zone: node % zones, Server: -1}, name, listen, listen[:strings.LastIndex(listen, ":")]+":1", c.seed+uint64(node), knownServers, nil)
	var settings map[string]any
	if err := json.Unmarshal(raw, &settings); err != nil {
		return nil, err
	}
	settings["store"] = storeKey
	if raw, err = json.Marshal(settings); err != nil {
		return nil, err
	}
	if c.program != "" {
		proc := &process{addr: listen, file: filepath.Join(c.dir, name+".json")}
		if err := os.WriteFile(proc.file, raw, 0o600); err != nil {
			return nil, err
		}
		c.processes[node] = proc
		return proc.kill, proc.start(c.program)
	}
	noEnv := func(string) string { return "" }
	parsed, err := config.Parse(raw, noEnv)
	if err != nil {
		return nil, err
	}
	applier := apply.New(apply.Options{Config: parsed, Getenv: noEnv, InstallLock: &sync.Mutex{}, Incarnation: fmt.Sprint(node), Seed: c.seed + uint64(node), Log: zerolog.Nop(),
		Install: func(*config.Config) error { return nil }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		applier.Run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}, nil
}

// replicaState fetches the state of a replica.
func (c *storeCluster) replicaState(number int) (*store.ReplicaState, error) {
	response, err := c.client.Get("http://" + relay.BindAddr(c.nodes+number, c.relay.Port()).String() + "/state")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	state := &store.ReplicaState{}
	return state, json.NewDecoder(response.Body).Decode(state)
}

// latestReports returns the most recent report of each node that any replica holds.
func (c *storeCluster) latestReports() map[string]store.NodeReport {
	latest := map[string]store.NodeReport{}
	for replica := range replicaCount {
		state, err := c.replicaState(replica)
		if err != nil {
			continue
		}
		for _, report := range state.Nodes {
			if previous, known := latest[report.Node]; !known || report.AgeMs < previous.AgeMs {
				latest[report.Node] = report
			}
		}
	}
	return latest
}

// change requests a change from a replica and returns its version.
func (c *storeCluster) change(replica int, key store.Key, id, patch string) (store.Version, error) {
	raw, err := json.Marshal(store.Change{Key: key, ID: id, Patch: json.RawMessage(patch)})
	if err != nil {
		return 0, err
	}
	response, err := c.client.Post("http://"+relay.BindAddr(c.nodes+replica, c.relay.Port()).String()+"/change", "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var answer store.ChangeResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s: %s %s", response.Status, answer.Verdict, answer.Reason)
	}
	return answer.Version, nil
}

// waitInForce waits until all of the given nodes have reported, and those that follow the key report that they apply at
// least the given version. It returns how long that took.
func (c *storeCluster) waitInForce(ctx context.Context, key store.Key, version store.Version, nodes []int) (time.Duration, error) {
	started := time.Now()
	for {
		reports := c.latestReports()
		behind := 0
		for _, node := range nodes {
			report, known := reports[fmt.Sprintf("n%d", node)]
			if !known || slices.Contains(report.Keys, key) && report.Applied[key] < version {
				behind++
			}
		}
		elapsed := time.Since(started)
		if behind == 0 {
			return elapsed, nil
		}
		if elapsed > changeTimeout || ctx.Err() != nil {
			return elapsed, fmt.Errorf("%s version %d: not in force at %d of %d nodes after %v", key, version, behind, len(nodes), elapsed.Round(time.Millisecond))
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// MeasureChanges measures changes of configuration at one size: a change for all nodes, the changes of a release for
// single services, a change after the loss of a replica, and one while a region without a replica is cut off.
func MeasureChanges(ctx context.Context, program string, nodes int, calmTime time.Duration, seed uint64, progress ProgressFunc) (point Point, err error) {
	point = Point{Nodes: nodes, Values: map[string]float64{}}
	cluster, err := newStoreCluster(nodes, program, seed)
	if cluster != nil {
		defer cluster.close()
	}
	if err != nil {
		return point, err
	}
	timerLag := harness.NewTimerLag()
	all := sequence(0, nodes)
	meanBytes := func() (sum float64) {
		for i := range nodes {
			sum += float64(totalBytes(cluster.relay, i))
		}
		return sum / float64(nodes)
	}
	recordStep := func(name string, took time.Duration, err error) error {
		if err == nil {
			point.Values[name+"_s"] = roundFigure(took.Seconds())
			progress("%d nodes, %s: %.2f s", nodes, name, took.Seconds())
		}
		return err
	}
	took, err := cluster.waitInForce(ctx, "all", 0, all)
	if err := recordStep("opened", took, err); err != nil {
		return point, err
	}
	meanCPU := func() (sum float64) {
		for _, n := range cluster.processes {
			if n != nil {
				sum += processorTime(n.cmd.Process.Pid)
			}
		}
		return sum / float64(nodes)
	}
	bytesBefore, cpuBefore := meanBytes(), meanCPU()
	sleep(ctx, calmTime)
	point.Values["calm_bytes"] = roundFigure((meanBytes() - bytesBefore) / calmTime.Seconds())
	if program != "" {
		point.Values["calm_core_percent"] = roundFigure(100 * (meanCPU() - cpuBefore) / calmTime.Seconds())
	}
	patch := func(n int) string { return fmt.Sprintf(`{"settings":{"limits":{"max_retry_after":%d}}}`, 500+n) }
	changeAll := func(name string, replica int, expected []int) error {
		started := time.Now()
		version, err := cluster.change(replica, "all", name, patch(len(point.Values)))
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		_, err = cluster.waitInForce(ctx, "all", version, expected)
		return recordStep(name, time.Since(started), err)
	}
	bytesBefore = meanBytes()
	if err := changeAll("all", 0, all); err != nil {
		return point, err
	}
	point.Values["change_bytes"] = roundFigure(meanBytes() - bytesBefore)
	// A release: changes for one service after another, 100 a minute.
	bytesBefore = meanBytes()
	started, cpuBeforeBurst := time.Now(), meanCPU()
	var mu sync.Mutex
	var slowest time.Duration
	var burst sync.WaitGroup
	errs := make([]error, burstChanges)
	for i := range burstChanges {
		burst.Go(func() {
			node := (i * 37) % nodes
			key := store.Key("service/" + cluster.serviceName(node))
			firstNode := node / perService * perService
			requested := time.Now()
			version, err := cluster.change(i%replicaCount, key, fmt.Sprint("burst-", i), patch(1000+i))
			if err == nil {
				_, err = cluster.waitInForce(ctx, key, version, sequence(firstNode, min(nodes, firstNode+perService)))
			}
			mu.Lock()
			defer mu.Unlock()
			errs[i] = err
			slowest = max(slowest, time.Since(requested))
		})
		sleep(ctx, burstInterval)
	}
	burst.Wait()
	if err := recordStep("burst_most", slowest, errors.Join(errs...)); err != nil {
		return point, err
	}
	point.Values["burst_bytes"] = roundFigure((meanBytes() - bytesBefore) / time.Since(started).Seconds())
	if program != "" {
		point.Values["burst_core_percent"] = roundFigure(100 * (meanCPU() - cpuBeforeBurst) / time.Since(started).Seconds())
	}
	// One replica stops without notice; its nodes switch to the others.
	cluster.stopReplicas[0]()
	if err := changeAll("replica_lost", 1, all); err != nil {
		return point, err
	}
	if err := cluster.startReplica(0); err != nil {
		return point, err
	}
	// The smaller region, which has no replica, is cut off.
	smallRegion := max(1, int(smallRegionShare*float64(nodes)))
	cut := cluster.relay.AddFault(func(from, to int) relay.Impairment {
		return relay.Impairment{Cut: (from < smallRegion) != (to < smallRegion)}
	})
	if err := changeAll("cut_large", 2, all[smallRegion:]); err != nil {
		return point, err
	}
	sleep(ctx, cutDuration)
	bytesBefore, started = meanBytes(), time.Now()
	cluster.relay.RemoveFault(cut)
	took, err = cluster.waitInForce(ctx, "all", cluster.chosenVersion("all"), all)
	if err := recordStep("healed", took, err); err != nil {
		return point, err
	}
	point.Values["healed_bytes10"] = roundFigure((meanBytes() - bytesBefore) / max(worstWindow.Seconds(), time.Since(started).Seconds()))
	if worstLag, meanLag := timerLag.Stop(); meanLag > maxMeanLag {
		point.VoidReason = fmt.Sprintf("the rig's own timers were %v late, %v in the mean", worstLag.Round(time.Millisecond), meanLag.Round(time.Millisecond))
	}
	return point, ctx.Err()
}

// chosenVersion returns the highest version of a key that any replica reports.
func (c *storeCluster) chosenVersion(key store.Key) (version store.Version) {
	for replica := range replicaCount {
		if state, err := c.replicaState(replica); err == nil {
			for _, value := range state.Values {
				if value.Key == key {
					version = max(version, value.Version)
				}
			}
		}
	}
	return version
}

// totalBytes returns the bytes that a slot has sent and received.
func totalBytes(fleetRelay *relay.Relay, slot int) int64 {
	traffic := fleetRelay.Traffic(slot)
	return traffic.TotalBytes()
}
