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

// rig is three replicas in this process, with ways between them that can be cut, and nodes on either side.
type rig struct {
	t        *testing.T
	addrs    []string
	dirs     []string
	replicas []*Replica
	servers  []*httptest.Server
	stops    []context.CancelFunc

	mu  sync.Mutex
	cut func(a, b int) bool // replicas by number; nodes from 10 on
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, cut: func(int, int) bool { return false }, replicas: make([]*Replica, 3), servers: make([]*httptest.Server, 3), stops: make([]context.CancelFunc, 3)}
	var listeners []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		r.addrs, r.dirs = append(r.addrs, l.Addr().String()), append(r.dirs, t.TempDir())
	}
	for i, l := range listeners {
		r.start(i, l)
	}
	t.Cleanup(func() {
		for i := range 3 {
			r.stop(i)
		}
	})
	return r
}

// dial refuses what is cut.
func (r *rig) dial(from int) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		for to, at := range r.addrs {
			r.mu.Lock()
			is := r.cut(from, to)
			r.mu.Unlock()
			if at == addr && is {
				return nil, errors.New("cut")
			}
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &cutConn{c, r, from, addr}, nil
	}
}

// cutConn brings and takes nothing while its way is cut.
type cutConn struct {
	net.Conn
	rig  *rig
	from int
	addr string
}

func (c *cutConn) Write(b []byte) (int, error) {
	for to, at := range c.rig.addrs {
		c.rig.mu.Lock()
		is := c.rig.cut(c.from, to)
		c.rig.mu.Unlock()
		if at == c.addr && is {
			c.Conn.Close()
			return 0, errors.New("cut")
		}
	}
	return c.Conn.Write(b)
}

func (r *rig) start(i int, l net.Listener) {
	var err error
	r.replicas[i], err = NewReplica(ReplicaOptions{Index: i, Replicas: r.addrs, Dir: r.dirs[i], Dial: r.dial(i)}, zerolog.Nop())
	if err != nil {
		r.t.Fatal(err)
	}
	r.servers[i] = &httptest.Server{Listener: l, Config: &http.Server{Handler: r.replicas[i]}}
	r.servers[i].Start()
	var ctx context.Context
	ctx, r.stops[i] = context.WithCancel(context.Background())
	go r.replicas[i].Run(ctx)
}

func (r *rig) stop(i int) {
	r.stops[i]()
	r.servers[i].CloseClientConnections()
	r.servers[i].Close()
}

func (r *rig) again(i int) {
	l, err := net.Listen("tcp", r.addrs[i])
	if err != nil {
		r.t.Fatal(err)
	}
	r.start(i, l)
}

func (r *rig) apart(cut func(a, b int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *rig) propose(at int, c Change) (Verdict, Version, error) {
	r.t.Helper()
	if c.Key == "" {
		c.Key = "all"
	}
	return r.replicas[at].Propose(r.t.Context(), &c)
}

// await waits until all three hold one version of a key, with one content.
func (r *rig) await(key Key, version Version, id string) {
	r.t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		same := 0
		var has []string
		for _, one := range r.replicas {
			one.mu.Lock()
			v := one.chosen[key]
			one.mu.Unlock()
			if v != nil {
				has = append(has, fmt.Sprintf("%d %s", v.Version, v.ID))
				if v.Version == version && v.ID == id {
					same++
				}
			}
		}
		if same == 3 {
			return
		}
		if time.Since(begun) > 10*time.Second {
			r.t.Fatalf("not everywhere version %d %s: %v", version, id, has)
		}
	}
}

func patch(text string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"log_level":%q}`, text))
}

// One replica is cut off, and changes are asked for on both sides: the side with two takes its own, the other says that it has no
// majority. When the way is back all three have the same, and the change that was in doubt gets one version under its id.
func TestCut(t *testing.T) {
	r := newRig(t)
	if verdict, version, err := r.propose(0, Change{ID: "before", Patch: patch("info")}); verdict != Chosen || version != 1 || err != nil {
		t.Fatal(verdict, version, err)
	}
	r.await("all", 1, "before")
	r.apart(func(a, b int) bool { return (a == 2) != (b == 2) })
	if _, _, err := r.propose(2, Change{ID: "lonely", Patch: patch("warn")}); !errors.Is(err, errMajority) {
		t.Errorf("on the side with one: %v", err)
	}
	verdict, version, err := r.propose(1, Change{ID: "majority", Patch: patch("error")})
	if verdict != Chosen || version != 2 || err != nil {
		t.Errorf("on the side with two: %v %d %v", verdict, version, err)
	}
	r.apart(func(int, int) bool { return false })
	r.await("all", 2, "majority")
	verdict, version, err = r.propose(2, Change{ID: "lonely", Patch: patch("warn")})
	if verdict != Chosen || version != 3 || err != nil {
		t.Errorf("asked for again: %v %d %v", verdict, version, err)
	}
	r.await("all", 3, "lonely")
	// Nobody hears anybody: nothing is taken, everything stands.
	r.apart(func(a, b int) bool { return a != b })
	for at := range 3 {
		if _, _, err := r.propose(at, Change{ID: "alone", Patch: patch("debug")}); !errors.Is(err, errMajority) {
			t.Errorf("replica %d, alone: %v", at, err)
		}
	}
	r.apart(func(int, int) bool { return false })
	r.await("all", 3, "lonely")
}

// Many at once from the same version: one of them is taken, the others are told the version that stands. Without a version all are
// taken, one after another.
func TestAtOnce(t *testing.T) {
	r := newRig(t)
	const many = 9
	race := func(from *Version, name string) (chosen int, last Version) {
		var all sync.WaitGroup
		var mu sync.Mutex
		seen := map[Version]string{}
		for i := range many {
			all.Go(func() {
				id := fmt.Sprint(name, i)
				for { // contention may ask for patience
					verdict, version, err := r.propose(i%3, Change{ID: id, ExpectedVersion: from, Patch: patch("info")})
					if err != nil {
						continue
					}
					mu.Lock()
					defer mu.Unlock()
					if verdict == Chosen || verdict == AlreadyChosen {
						if was, taken := seen[version]; taken {
							t.Errorf("version %d is %s and %s", version, was, id)
						}
						seen[version] = id
						chosen++
						last = max(last, version)
					}
					return
				}
			})
		}
		all.Wait()
		return chosen, last
	}
	none := Version(0)
	if chosen, last := race(&none, "first"); chosen != 1 || last != 1 {
		t.Errorf("%d of %d from one version were taken, the last is %d", chosen, many, last)
	}
	if chosen, last := race(nil, "more"); chosen != many || last != 1+many {
		t.Errorf("%d of %d were taken, the last is %d", chosen, many, last)
	}
}

// A replica that starts anew has what it promised, accepted and chose; one whose disk can't be read does not start.
func TestStartsAnew(t *testing.T) {
	r := newRig(t)
	for i, id := range []string{"one", "two"} {
		if _, version, err := r.propose(0, Change{ID: id, Patch: patch("info")}); version != Version(i+1) || err != nil {
			t.Fatal(version, err)
		}
	}
	r.await("all", 2, "two")
	// A promise alone, to a ballot of which nothing more is heard, has to outlive the process too.
	if _, err := r.replicas[1].change("all", func(of *Register) Reply { return of.Prepare(Ballot{Round: 99, Replica: 2}) }); err != nil {
		t.Fatal(err)
	}
	before := *r.replicas[1].registers["all"]
	r.stop(1)
	r.again(1)
	if after := *r.replicas[1].registers["all"]; after.Promised != before.Promised || after.Accepted != before.Accepted || !Equal(after.Value, before.Value) {
		t.Errorf("before %+v, after %+v", before, after)
	}
	for i := range 3 { // all lose their power
		r.stop(i)
	}
	for i := range 3 {
		r.again(i)
	}
	if verdict, version, err := r.propose(2, Change{ID: "one"}); verdict != AlreadyChosen || version != 1 || err != nil {
		t.Errorf("a change from before: %v %d %v", verdict, version, err)
	}
	paths, _ := filepath.Glob(filepath.Join(r.dirs[0], "*.json"))
	if len(paths) != 1 {
		t.Fatalf("%v", paths)
	}
	if err := os.WriteFile(paths[0], []byte(`{"key": "al`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewReplica(ReplicaOptions{Replicas: r.addrs, Dir: r.dirs[0]}, zerolog.Nop()); err == nil || !strings.Contains(err.Error(), paths[0]) {
		t.Errorf("a register that can't be read: %v", err)
	}
}

// A node that goes from one replica to another that is behind keeps what it runs; the one it comes to says what is newer once it has it.
// Its reports go to the replica that it watches.
func TestFollower(t *testing.T) {
	r := newRig(t)
	told := make(chan []*Value, 64)
	f := NewFollower(FollowerOptions{Replicas: r.addrs, Keys: NodeKeys("alpha", "n1"), Node: "n1", Incarnation: "1", Seed: 7}, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { f.Run(ctx, func(all []*Value) { told <- all }); close(ended) }()
	defer func() { cancel(); <-ended }()
	expect := func(what string, want ...string) {
		t.Helper()
		for deadline := time.After(10 * time.Second); ; {
			select {
			case all := <-told:
				var got []string
				for _, v := range all {
					got = append(got, fmt.Sprintf("%s %d", v.Key, v.Version))
				}
				if strings.Join(got, ", ") == strings.Join(want, ", ") {
					return
				}
			case <-deadline:
				t.Fatalf("%s: not told %v", what, want)
			}
		}
	}
	ask := func(key Key, id string) {
		t.Helper()
		if _, _, err := r.propose(0, Change{Key: key, ID: id, Patch: patch("info")}); err != nil {
			t.Fatal(err)
		}
	}
	ask("service/alpha", "a")
	expect("its service's", "service/alpha 1")
	ask("service/beta", "b")
	ask("node/n1", "c")
	expect("its own", "service/alpha 1", "node/n1 1")
	ask("all", "d")
	expect("all nodes'", "all 1", "service/alpha 1", "node/n1 1")
	f.ReportApplied(map[Key]Version{"all": 1}, map[Key]Refusal{"node/n1": {1, "key tick"}})
	reported := func() (n NodeReport, at int, known bool) {
		for i, one := range r.replicas {
			for _, of := range one.State().Nodes {
				if of.Node == "n1" && of.Applied["all"] == 1 && of.Refused["node/n1"].Reason == "key tick" && one.State().Watchers > 0 {
					return of, i, true
				}
			}
		}
		return n, 0, false
	}
	var at int
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		var known bool
		if _, at, known = reported(); known {
			break
		}
		if time.Since(begun) > 10*time.Second {
			t.Fatal("no report")
		}
	}
	// The others know it too: should this replica be lost, the node must not seem to have gone with it.
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		know := 0
		for _, one := range r.replicas {
			if nodes := one.State().Nodes; len(nodes) == 1 && nodes[0].Applied["all"] == 1 {
				know++
			}
		}
		if know == 3 {
			break
		}
		if time.Since(begun) > 10*time.Second {
			t.Fatalf("%d replicas know what it runs", know)
		}
	}
	// The replica that it watches ends; the two others are made to know nothing, as if they were behind.
	r.stop(at)
	for i, one := range r.replicas {
		if i != at {
			one.mu.Lock()
			clear(one.chosen)
			one.mu.Unlock()
		}
	}
	for begun := time.Now(); f.View().Replica == "" || f.View().Replica == r.addrs[at]; time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("it watches no other replica")
		}
	}
	if look := f.View(); look.Received["all"] != 1 || look.Received["node/n1"] != 1 || len(told) > 0 {
		t.Errorf("it went back: %v", look.Received)
	}
	other := (at + 1) % 3
	if _, version, err := r.replicas[other].Propose(t.Context(), &Change{Key: "all", ID: "e", Patch: patch("warn")}); version != 2 || err != nil {
		t.Fatal(version, err)
	}
	expect("what is newer", "all 2", "service/alpha 1", "node/n1 1")
}

// What no node could be meant by is refused, before anything is proposed.
func TestBadChanges(t *testing.T) {
	r := newRig(t)
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
		strings.Repeat("x", mostBody+1):                                   400,
	} {
		response, err := http.Post("http://"+r.addrs[0]+"/change", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("%.60s: %d, not %d", body, response.StatusCode, want)
		}
	}
	response, err := http.Get("http://" + r.addrs[0] + "/changes?held=all")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusBadRequest {
		t.Errorf("a watch without versions: %d", response.StatusCode)
	}
}
