package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// cluster is three replicas in the test process. Connections between replicas can be cut.
type cluster struct {
	t        *testing.T
	addrs    []string
	dirs     []string
	replicas []*Replica
	servers  []*httptest.Server
	stops    []context.CancelFunc

	mu    sync.Mutex
	isCut func(a, b int) bool // by replica index
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t:        t,
		isCut:    func(int, int) bool { return false },
		replicas: make([]*Replica, 3),
		servers:  make([]*httptest.Server, 3),
		stops:    make([]context.CancelFunc, 3),
	}
	var listeners []net.Listener
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		c.addrs = append(c.addrs, listener.Addr().String())
		c.dirs = append(c.dirs, t.TempDir())
	}
	for i, listener := range listeners {
		c.start(i, listener)
	}
	t.Cleanup(func() {
		for i := range 3 {
			c.stop(i)
		}
	})
	return c
}

// dial returns a dial function for replica from that fails to connect to replicas it is cut off from.
func (c *cluster) dial(from int) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		for to, replicaAddr := range c.addrs {
			c.mu.Lock()
			blocked := c.isCut(from, to)
			c.mu.Unlock()
			if replicaAddr == addr && blocked {
				return nil, errors.New("cut")
			}
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &partitionConn{conn, c, from, addr}, nil
	}
}

// partitionConn is a connection that breaks on the first write while its two replicas are cut off from each other.
type partitionConn struct {
	net.Conn
	cluster *cluster
	from    int
	addr    string
}

func (c *partitionConn) Write(b []byte) (int, error) {
	for to, replicaAddr := range c.cluster.addrs {
		c.cluster.mu.Lock()
		blocked := c.cluster.isCut(c.from, to)
		c.cluster.mu.Unlock()
		if replicaAddr == c.addr && blocked {
			c.Conn.Close()
			return 0, errors.New("cut")
		}
	}
	return c.Conn.Write(b)
}

// start starts replica i on a listener, with whatever its directory holds.
func (c *cluster) start(i int, listener net.Listener) {
	var err error
	c.replicas[i], err = NewReplica(ReplicaOptions{Index: i, Replicas: c.addrs, Dir: c.dirs[i], Dial: c.dial(i)}, zerolog.Nop())
	if err != nil {
		c.t.Fatal(err)
	}
	c.servers[i] = &httptest.Server{Listener: listener, Config: &http.Server{Handler: c.replicas[i]}}
	c.servers[i].Start()
	var ctx context.Context
	ctx, c.stops[i] = context.WithCancel(context.Background())
	go c.replicas[i].Run(ctx)
}

// stop ends replica i and breaks its connections.
func (c *cluster) stop(i int) {
	c.stops[i]()
	c.servers[i].CloseClientConnections()
	c.servers[i].Close()
}

// restart starts replica i again under its address.
func (c *cluster) restart(i int) {
	listener, err := net.Listen("tcp", c.addrs[i])
	if err != nil {
		c.t.Fatal(err)
	}
	c.start(i, listener)
}

// partition sets which replicas are cut off from each other.
func (c *cluster) partition(isCut func(a, b int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = isCut
}

// propose proposes a change, of key "all" unless it names another, at a replica.
func (c *cluster) propose(replica int, change Change) (Verdict, Version, error) {
	c.t.Helper()
	if change.Key == "" {
		change.Key = "all"
	}
	return c.replicas[replica].Propose(c.t.Context(), &change)
}

// await waits until all three replicas know the given version of a key, with the given change ID.
func (c *cluster) await(key Key, version Version, id string) {
	c.t.Helper()
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		same := 0
		var found []string
		for _, replica := range c.replicas {
			replica.mu.Lock()
			v := replica.chosen[key]
			replica.mu.Unlock()
			if v != nil {
				found = append(found, fmt.Sprintf("%d %s", v.Version, v.ID))
				if v.Version == version && v.ID == id {
					same++
				}
			}
		}
		if same == 3 {
			return
		}
		if time.Since(start) > 10*time.Second {
			c.t.Fatalf("the replicas do not all know version %d %s: %v", version, id, found)
		}
	}
}

func logLevelPatch(level string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"log_level":%q}`, level))
}

// TestPartition cuts off one replica and proposes changes on both sides: the side with two replicas chooses its change,
// the other reports that it has no majority. Once the partition heals, all three agree, and the failed change can be
// proposed again under its ID and gets a single version.
func TestPartition(t *testing.T) {
	cluster := newCluster(t)
	if verdict, version, err := cluster.propose(0, Change{ID: "before", Patch: logLevelPatch("info")}); verdict != Chosen || version != 1 || err != nil {
		t.Fatal(verdict, version, err)
	}
	cluster.await("all", 1, "before")
	cluster.partition(func(a, b int) bool { return (a == 2) != (b == 2) })
	if _, _, err := cluster.propose(2, Change{ID: "lonely", Patch: logLevelPatch("warn")}); !errors.Is(err, errNoMajority) {
		t.Errorf("in the minority: %v", err)
	}
	verdict, version, err := cluster.propose(1, Change{ID: "majority", Patch: logLevelPatch("error")})
	if verdict != Chosen || version != 2 || err != nil {
		t.Errorf("in the majority: %v %d %v", verdict, version, err)
	}
	cluster.partition(func(int, int) bool { return false })
	cluster.await("all", 2, "majority")
	verdict, version, err = cluster.propose(2, Change{ID: "lonely", Patch: logLevelPatch("warn")})
	if verdict != Chosen || version != 3 || err != nil {
		t.Errorf("proposed again: %v %d %v", verdict, version, err)
	}
	cluster.await("all", 3, "lonely")
	// With every replica cut off, no change is chosen and the current value stays.
	cluster.partition(func(a, b int) bool { return a != b })
	for replica := range 3 {
		if _, _, err := cluster.propose(replica, Change{ID: "alone", Patch: logLevelPatch("debug")}); !errors.Is(err, errNoMajority) {
			t.Errorf("replica %d, cut off: %v", replica, err)
		}
	}
	cluster.partition(func(int, int) bool { return false })
	cluster.await("all", 3, "lonely")
}

// TestConcurrentChanges proposes many changes at once. If all expect the same version, one is chosen and the others
// conflict; without an expected version all are chosen, one after another.
func TestConcurrentChanges(t *testing.T) {
	cluster := newCluster(t)
	const changes = 9
	race := func(expected *Version, name string) (chosen int, last Version) {
		var proposers sync.WaitGroup
		var mu sync.Mutex
		seen := map[Version]string{}
		for i := range changes {
			proposers.Go(func() {
				id := fmt.Sprint(name, i)
				for { // contention can use up all attempts of a proposal
					verdict, version, err := cluster.propose(i%3, Change{ID: id, ExpectedVersion: expected, Patch: logLevelPatch("info")})
					if err != nil {
						continue
					}
					mu.Lock()
					defer mu.Unlock()
					if verdict == Chosen || verdict == AlreadyChosen {
						if other, taken := seen[version]; taken {
							t.Errorf("version %d is %s and %s", version, other, id)
						}
						seen[version] = id
						chosen++
						last = max(last, version)
					}
					return
				}
			})
		}
		proposers.Wait()
		return chosen, last
	}
	none := Version(0)
	if chosen, last := race(&none, "first"); chosen != 1 || last != 1 {
		t.Errorf("%d of %d changes that expect one version were chosen, the last version is %d", chosen, changes, last)
	}
	if chosen, last := race(nil, "more"); chosen != changes || last != 1+changes {
		t.Errorf("%d of %d changes were chosen, the last version is %d", chosen, changes, last)
	}
}

// TestRestart checks that a restarted replica has what it promised, accepted and learned before, and that a replica with
// an unreadable register does not start.
func TestRestart(t *testing.T) {
	cluster := newCluster(t)
	for i, id := range []string{"one", "two"} {
		if _, version, err := cluster.propose(0, Change{ID: id, Patch: logLevelPatch("info")}); version != Version(i+1) || err != nil {
			t.Fatal(version, err)
		}
	}
	cluster.await("all", 2, "two")
	// A promise to a ballot that goes no further has to outlive the process too.
	if _, err := cluster.replicas[1].updateRegister("all", func(register *Register) Reply { return register.Prepare(Ballot{Round: 99, Replica: 2}) }); err != nil {
		t.Fatal(err)
	}
	before := *cluster.replicas[1].registers["all"]
	cluster.stop(1)
	cluster.restart(1)
	if after := *cluster.replicas[1].registers["all"]; after.Promised != before.Promised || after.Accepted != before.Accepted || !Equal(after.Value, before.Value) {
		t.Errorf("before %+v, after %+v", before, after)
	}
	for i := range 3 { // stop all of them
		cluster.stop(i)
	}
	for i := range 3 {
		cluster.restart(i)
	}
	if verdict, version, err := cluster.propose(2, Change{ID: "one"}); verdict != AlreadyChosen || version != 1 || err != nil {
		t.Errorf("repeated change from before the restart: %v %d %v", verdict, version, err)
	}
	paths, _ := filepath.Glob(filepath.Join(cluster.dirs[0], "*.json"))
	if len(paths) != 1 {
		t.Fatalf("%v", paths)
	}
	if err := os.WriteFile(paths[0], []byte(`{"key": "al`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewReplica(ReplicaOptions{Replicas: cluster.addrs, Dir: cluster.dirs[0]}, zerolog.Nop()); err == nil || !strings.Contains(err.Error(), paths[0]) {
		t.Errorf("unreadable register: %v", err)
	}
}

// TestFollower checks that a node receives the changes of its own keys only, that its reports reach all replicas, and
// that after a switch to a replica that is behind it keeps its newer values and receives still newer ones.
func TestFollower(t *testing.T) {
	cluster := newCluster(t)
	notified := make(chan []*Value, 64)
	follower := NewFollower(FollowerOptions{Replicas: cluster.addrs, Keys: NodeKeys("alpha", "n1"), Node: "n1", Incarnation: "1", Seed: 7}, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		follower.Run(ctx, func(values []*Value) { notified <- values })
		close(ended)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	expect := func(what string, want ...string) {
		t.Helper()
		for deadline := time.After(10 * time.Second); ; {
			select {
			case values := <-notified:
				var got []string
				for _, v := range values {
					got = append(got, fmt.Sprintf("%s %d", v.Key, v.Version))
				}
				if strings.Join(got, ", ") == strings.Join(want, ", ") {
					return
				}
			case <-deadline:
				t.Fatalf("%s: not notified of %v", what, want)
			}
		}
	}
	propose := func(key Key, id string) {
		t.Helper()
		if _, _, err := cluster.propose(0, Change{Key: key, ID: id, Patch: logLevelPatch("info")}); err != nil {
			t.Fatal(err)
		}
	}
	propose("service/alpha", "a")
	expect("change of its service", "service/alpha 1")
	propose("service/beta", "b")
	propose("node/n1", "c")
	expect("change of the node", "service/alpha 1", "node/n1 1")
	propose("all", "d")
	expect("change for all nodes", "all 1", "service/alpha 1", "node/n1 1")
	follower.ReportApplied(map[Key]Version{"all": 1}, map[Key]Refusal{"node/n1": {1, "key tick"}})
	reported := func() (report NodeReport, watched int, known bool) {
		for i, replica := range cluster.replicas {
			for _, node := range replica.State().Nodes {
				if node.Node == "n1" && node.Applied["all"] == 1 && node.Refused["node/n1"].Reason == "key tick" && replica.State().Watchers > 0 {
					return node, i, true
				}
			}
		}
		return report, 0, false
	}
	var watched int
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		var known bool
		if _, watched, known = reported(); known {
			break
		}
		if time.Since(start) > 10*time.Second {
			t.Fatal("no report")
		}
	}
	// The other replicas must know the report too: if the watched one is lost, the node must not seem lost with it.
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		informed := 0
		for _, replica := range cluster.replicas {
			if nodes := replica.State().Nodes; len(nodes) == 1 && nodes[0].Applied["all"] == 1 {
				informed++
			}
		}
		if informed == 3 {
			break
		}
		if time.Since(start) > 10*time.Second {
			t.Fatalf("%d replicas know the report", informed)
		}
	}
	// The watched replica ends. The two others forget all values, as if they were behind.
	cluster.stop(watched)
	for i, replica := range cluster.replicas {
		if i != watched {
			replica.mu.Lock()
			clear(replica.chosen)
			replica.mu.Unlock()
		}
	}
	for start := time.Now(); follower.View().Replica == "" || follower.View().Replica == cluster.addrs[watched]; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("the follower watches no other replica")
		}
	}
	if view := follower.View(); view.Received["all"] != 1 || view.Received["node/n1"] != 1 || len(notified) > 0 {
		t.Errorf("the follower lost values: %v", view.Received)
	}
	other := (watched + 1) % 3
	if _, version, err := cluster.replicas[other].Propose(t.Context(), &Change{Key: "all", ID: "e", Patch: logLevelPatch("warn")}); version != 2 || err != nil {
		t.Fatal(version, err)
	}
	expect("newer change", "all 2", "service/alpha 1", "node/n1 1")
}

// TestInvalidChanges checks that malformed changes get status 400 and those that can't be carried out 409.
func TestInvalidChanges(t *testing.T) {
	cluster := newCluster(t)
	for body, want := range map[string]int{
		`{"key":"all","id":"x","patch":{"log_level":"warn"}}`:             200,
		`{"key":"everyone","id":"x","patch":{"log_level":"warn"}}`:        400,
		`{"key":"service/","id":"x","patch":{"log_level":"warn"}}`:        400,
		`{"key":"node/a,b:1","id":"x","patch":{"log_level":"warn"}}`:      400,
		`{"key":"all","patch":{"log_level":"warn"}}`:                      400,
		`{"key":"all","id":"y"}`:                                          400,
		`{"key":"all","id":"y","back":true,"patch":{}}`:                   400,
		`{"key":"all","id":"y","ptach":{}}`:                               400,
		`{"key":"all","id":"z","from":7,"patch":{"log_level":"warn"}}`:    409,
		`{"key":"node/new","id":"z","back":true}`:                         409,
		`{"key":"all","id":"` + strings.Repeat("z", 65) + `","patch":{}}`: 400,
		strings.Repeat("x", maxBodyBytes+1):                               400,
	} {
		response, err := http.Post("http://"+cluster.addrs[0]+"/change", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("%.60s: status %d, want %d", body, response.StatusCode, want)
		}
	}
	response, err := http.Get("http://" + cluster.addrs[0] + "/changes?held=all")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusBadRequest {
		t.Errorf("watch without versions: status %d", response.StatusCode)
	}
}
