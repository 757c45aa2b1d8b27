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
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/together"
	"canvasrouter/internal/standin/relay"
	"canvasrouter/internal/store"
	"canvasrouter/internal/store/apply"
)

const (
	replicas     = 3
	changeWait   = 30 * time.Second
	burstChanges = 20 // 100 a minute, for 12 s
	burstEvery   = 600 * time.Millisecond
	cutHold      = 10 * time.Second
)

// storeCluster is nodes that follow a store of three replicas, by a relay.
type storeCluster struct {
	relay    *relay.Relay
	nodes    int
	program  string // "": nodes and replicas are of this process
	dir      string
	seed     uint64
	stops    []func()
	replicas [replicas]func() // ends one
	nodesOf  []*process
	client   *http.Client
}

func newStore(nodes int, program string, seed uint64) (c *storeCluster, err error) {
	c = &storeCluster{nodes: nodes, program: program, seed: seed, client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	if c.relay, err = relay.New(nodes+replicas, seed); err != nil {
		return nil, err
	}
	if c.dir, err = os.MkdirTemp("", "canvaslab-"); err != nil {
		c.relay.Close()
		return nil, err
	}
	for k := range replicas {
		if err := c.startReplica(k); err != nil {
			return c, err
		}
	}
	errs := make([]error, nodes)
	c.nodesOf = make([]*process, nodes)
	var all sync.WaitGroup
	room := make(chan struct{}, 16)
	var mu sync.Mutex
	for i := range nodes {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			stop, err := c.startNode(i)
			mu.Lock()
			defer mu.Unlock()
			if errs[i] = err; stop != nil {
				c.stops = append(c.stops, stop)
			}
		})
	}
	all.Wait()
	return c, errors.Join(errs...)
}

func (c *storeCluster) close() {
	var all sync.WaitGroup
	for _, stop := range c.stops {
		all.Go(stop)
	}
	all.Wait()
	for _, stop := range c.replicas {
		if stop != nil {
			stop()
		}
	}
	c.relay.Close()
	os.RemoveAll(c.dir)
}

func (c *storeCluster) advertised() (all []string) {
	for k := range replicas {
		all = append(all, relay.AdvertisedAddr(c.nodes+k, c.relay.Port()).String())
	}
	return all
}

func (c *storeCluster) bound(place int) net.IP {
	return relay.BindAddr(place, c.relay.Port()).Addr().AsSlice()
}

func (c *storeCluster) startReplica(k int) error {
	listen, dir := relay.BindAddr(c.nodes+k, c.relay.Port()).String(), filepath.Join(c.dir, fmt.Sprint("replica-", k))
	if c.program != "" {
		raw, err := json.Marshal(map[string]any{"number": k, "listen": listen, "replicas": c.advertised(), "dir": dir, "bind": c.bound(c.nodes + k).String()})
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
		c.replicas[k] = sync.OnceFunc(func() { cmd.Process.Kill(); cmd.Wait() })
		return c.awaitReplica(k)
	}
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: c.bound(c.nodes + k)}}
	r, err := store.NewReplica(store.ReplicaOptions{Index: k, Replicas: c.advertised(), Dir: dir, Validate: apply.ValidateChange, Dial: dialer.DialContext}, zerolog.Nop())
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	server := &http.Server{Handler: r, ReadHeaderTimeout: 2 * time.Second}
	go server.Serve(l)
	go r.Run(ctx)
	c.replicas[k] = sync.OnceFunc(func() { stop(); server.Close() })
	return nil
}

func (c *storeCluster) awaitReplica(k int) error {
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if _, err := c.state(k); err == nil {
			return nil
		} else if time.Since(begun) > startWait {
			return err
		}
	}
}

func (c *storeCluster) service(place int) string { return fmt.Sprint("s", place/perService) }

// startNode starts one, with an address of its own to call from.
func (c *storeCluster) startNode(place int) (stop func(), err error) {
	key := map[string]any{"replicas": c.advertised(), "service": c.service(place), "bind": c.bound(place).String()}
	s, known := setting([]string{"127.0.0.1:1"})
	listen := fmt.Sprintf("%s:%d", c.bound(place), c.relay.Port()-11000)
	name := fmt.Sprintf("n%d", place)
	raw := s.NodeConfig(scenario.Node{Index: 0, NodeCount: 1, Zone: place % zones, Server: -1}, name, listen, listen[:strings.LastIndex(listen, ":")]+":1", c.seed+uint64(place), known, nil)
	var all map[string]any
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, err
	}
	all["store"] = key
	if raw, err = json.Marshal(all); err != nil {
		return nil, err
	}
	if c.program != "" {
		p := &process{addr: listen, file: filepath.Join(c.dir, name+".json")}
		if err := os.WriteFile(p.file, raw, 0o600); err != nil {
			return nil, err
		}
		c.nodesOf[place] = p
		return p.kill, p.start(c.program)
	}
	none := func(string) string { return "" }
	conf, err := config.Parse(raw, none)
	if err != nil {
		return nil, err
	}
	a := apply.New(apply.Options{Config: conf, Getenv: none, InstallLock: &sync.Mutex{}, Incarnation: fmt.Sprint(place), Seed: c.seed + uint64(place), Log: zerolog.Nop(),
		Install: func(*config.Config) error { return nil }})
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { a.Run(ctx); close(over) }()
	return func() { cancel(); <-over }, nil
}

func (c *storeCluster) state(k int) (*store.ReplicaState, error) {
	response, err := c.client.Get("http://" + relay.BindAddr(c.nodes+k, c.relay.Port()).String() + "/state")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	s := &store.ReplicaState{}
	return s, json.NewDecoder(response.Body).Decode(s)
}

// reports are the youngest of each node, by the replicas' word.
func (c *storeCluster) reports() map[string]store.NodeReport {
	all := map[string]store.NodeReport{}
	for k := range replicas {
		s, err := c.state(k)
		if err != nil {
			continue
		}
		for _, n := range s.Nodes {
			if was, known := all[n.Node]; !known || n.AgeMs < was.AgeMs {
				all[n.Node] = n
			}
		}
	}
	return all
}

// change asks a replica for one.
func (c *storeCluster) change(k int, key store.Key, id, patch string) (store.Version, error) {
	raw, err := json.Marshal(store.Change{Key: key, ID: id, Patch: json.RawMessage(patch)})
	if err != nil {
		return 0, err
	}
	response, err := c.client.Post("http://"+relay.BindAddr(c.nodes+k, c.relay.Port()).String()+"/change", "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var a store.ChangeResponse
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s: %s %s", response.Status, a.Verdict, a.Reason)
	}
	return a.Version, nil
}

// force waits until all nodes of some places that a key is for report that they run a version.
func (c *storeCluster) force(ctx context.Context, key store.Key, version store.Version, places []int) (time.Duration, error) {
	begun := time.Now()
	for {
		all, lag := c.reports(), 0
		for _, place := range places {
			n, known := all[fmt.Sprintf("n%d", place)]
			if !known || slices.Contains(n.Keys, key) && n.Applied[key] < version {
				lag++
			}
		}
		took := time.Since(begun)
		if lag == 0 {
			return took, nil
		}
		if took > changeWait || ctx.Err() != nil {
			return took, fmt.Errorf("%s version %d: not in force at %d of %d nodes after %v", key, version, lag, len(places), took.Round(time.Millisecond))
		}
		wait(ctx, 50*time.Millisecond)
	}
}

// Changes plays one size: a change for all, a release's changes for services, one replica lost, and a region cut that has no replica.
func MeasureChanges(ctx context.Context, program string, nodes int, calm time.Duration, seed uint64, tell ProgressFunc) (p Point, err error) {
	p = Point{Nodes: nodes, Values: map[string]float64{}}
	c, err := newStore(nodes, program, seed)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return p, err
	}
	lag := together.NewTimerLag()
	all := span(0, nodes)
	bytesNow := func() (sum float64) {
		for i := range nodes {
			sum += float64(countOf(c.relay, i))
		}
		return sum / float64(nodes)
	}
	step := func(name string, took time.Duration, err error) error {
		if err == nil {
			p.Values[name+"_s"] = round(took.Seconds())
			tell("%d nodes, %s: %.2f s", nodes, name, took.Seconds())
		}
		return err
	}
	took, err := c.force(ctx, "all", 0, all)
	if err := step("opened", took, err); err != nil {
		return p, err
	}
	cpu := func() (sum float64) {
		for _, n := range c.nodesOf {
			if n != nil {
				sum += processorTime(n.cmd.Process.Pid)
			}
		}
		return sum / float64(nodes)
	}
	was, used := bytesNow(), cpu()
	wait(ctx, calm)
	p.Values["calm_bytes"] = round((bytesNow() - was) / calm.Seconds())
	if program != "" {
		p.Values["calm_core_percent"] = round(100 * (cpu() - used) / calm.Seconds())
	}
	patch := func(n int) string { return fmt.Sprintf(`{"settings":{"limits":{"max_retry_after":%d}}}`, 500+n) }
	one := func(name string, k int, places []int) error {
		begun := time.Now()
		version, err := c.change(k, "all", name, patch(len(p.Values)))
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		_, err = c.force(ctx, "all", version, places)
		return step(name, time.Since(begun), err)
	}
	was = bytesNow()
	if err := one("all", 0, all); err != nil {
		return p, err
	}
	p.Values["change_bytes"] = round(bytesNow() - was)
	// A release: changes for one service after another, at 100 a minute.
	was = bytesNow()
	begun, cpuWas := time.Now(), cpu()
	var mu sync.Mutex
	var most time.Duration
	var over sync.WaitGroup
	errs := make([]error, burstChanges)
	for i := range burstChanges {
		over.Go(func() {
			place := (i * 37) % nodes
			key := store.Key("service/" + c.service(place))
			from := place / perService * perService
			asked := time.Now()
			version, err := c.change(i%replicas, key, fmt.Sprint("burst-", i), patch(1000+i))
			if err == nil {
				_, err = c.force(ctx, key, version, span(from, min(nodes, from+perService)))
			}
			mu.Lock()
			defer mu.Unlock()
			errs[i], most = err, max(most, time.Since(asked))
		})
		wait(ctx, burstEvery)
	}
	over.Wait()
	if err := step("burst_most", most, errors.Join(errs...)); err != nil {
		return p, err
	}
	p.Values["burst_bytes"] = round((bytesNow() - was) / time.Since(begun).Seconds())
	if program != "" {
		p.Values["burst_core_percent"] = round(100 * (cpu() - cpuWas) / time.Since(begun).Seconds())
	}
	// One replica lost without a word; its nodes go to the others.
	c.replicas[0]()
	if err := one("replica_lost", 1, all); err != nil {
		return p, err
	}
	if err := c.startReplica(0); err != nil {
		return p, err
	}
	// The smaller region has no replica, and is cut off.
	small := max(1, int(cutShare*float64(nodes)))
	cut := c.relay.AddFault(func(from, to int) relay.Impairment { return relay.Impairment{Cut: (from < small) != (to < small)} })
	if err := one("cut_large", 2, all[small:]); err != nil {
		return p, err
	}
	wait(ctx, cutHold)
	was, begun = bytesNow(), time.Now()
	c.relay.RemoveFault(cut)
	took, err = c.force(ctx, "all", c.versionOf("all"), all)
	if err := step("healed", took, err); err != nil {
		return p, err
	}
	p.Values["healed_bytes10"] = round((bytesNow() - was) / max(window.Seconds(), time.Since(begun).Seconds()))
	if late, mean := lag.Stop(); mean > mostLate {
		p.VoidReason = fmt.Sprintf("the rig's own timers were %v late, %v in the mean", late.Round(time.Millisecond), mean.Round(time.Millisecond))
	}
	return p, ctx.Err()
}

// versionOf is the version that stands, by any replica's word.
func (c *storeCluster) versionOf(key store.Key) (version store.Version) {
	for k := range replicas {
		if s, err := c.state(k); err == nil {
			for _, v := range s.Values {
				if v.Key == key {
					version = max(version, v.Version)
				}
			}
		}
	}
	return version
}

func countOf(r *relay.Relay, place int) int64 {
	c := r.Traffic(place)
	return c.TotalBytes()
}
