// Case 7: a deduplicated op is pushed again after its window, because the check of the window comes before the wait for a
// connection.
package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"

	"canvasrouter/review/rig2"
)

const (
	window  = 1500 * time.Millisecond // within which the servers of a cell drop a repeat
	ttl     = 6 * time.Second         // of an op
	holdUp  = 150 * time.Millisecond  // for which a node may be held up
	slack   = 50 * time.Millisecond   // of each time limit on sockets
	slowFor = 2500 * time.Millisecond // that a slow server takes
	lateAt  = 1100 * time.Millisecond // after a slow server has begun, the connections to another one come up late
	lateFor = 600 * time.Millisecond  // for which that one's queue is full
	trials  = 12
)

// cell is what the servers of one cell know together: the keys that they have run, and when first.
type cell struct {
	mu  sync.Mutex
	ran map[string]time.Duration
}

// server is a server whose connections can be made to come up late.
type server struct {
	rig2.Instance
	l     *rig2.LateListener
	mu    sync.Mutex
	conns map[net.Conn]bool // at rest
}

func main() {
	c := rig2.Start()
	c.CheckLate()
	cells := []*cell{{ran: map[string]time.Duration{}}, {ran: map[string]time.Duration{}}, {ran: map[string]time.Duration{}}}
	var servers []*server
	var list []rig2.Instance
	var mu sync.Mutex // guards what follows
	trouble := map[string]bool{}
	twice, connections, late := 0, 0, 0
	random := rand.New(rand.NewSource(time.Now().UnixNano()))

	// arrived plays what a server does with a request, and returns its answer.
	arrived := func(s *server, a *rig2.Arrival) string {
		at := cells[s.Cell]
		at.mu.Lock()
		first, known := at.ran[a.Key]
		repeat := known && a.At-first <= window
		if !known {
			at.ran[a.Key] = a.At
		}
		at.mu.Unlock()
		switch {
		case repeat:
			c.Log("%s: %s came again %.3f s after its first push and is dropped as a repeat", s.ID, a.ID, (a.At - first).Seconds())
		case known && a.At-first <= window+slack+holdUp:
			c.Log("%s: %s came again %.3f s after its first push, within the slack", s.ID, a.ID, (a.At - first).Seconds())
		case known:
			c.Say("%s: %s runs a second time, %.3f s after its first push", s.ID, a.ID, (a.At - first).Seconds())
			mu.Lock()
			twice++
			mu.Unlock()
		default:
			c.Log("%s: %s runs, told %s ms", s.ID, a.ID, a.Remaining)
		}
		mu.Lock()
		inTrouble := trouble[a.ID] && !known
		var behind *server
		if inTrouble {
			var others []*server
			for _, other := range servers {
				if other.Cell == s.Cell && other != s {
					others = append(others, other)
				}
			}
			behind = others[random.Intn(len(others))]
			late++
		}
		mu.Unlock()
		if !inTrouble {
			time.Sleep(300 * time.Millisecond)
			return rig2.Ok("made for " + a.ID)
		}
		c.Log("%s is slow", s.ID)
		time.Sleep(lateAt)
		behind.closeIdle()
		behind.l.Clog()
		c.Log("%s has closed its idle connections, new ones come up late", behind.ID)
		time.Sleep(lateFor)
		behind.l.Unclog()
		time.Sleep(slowFor - lateAt - lateFor)
		return rig2.Ok("made for " + a.ID)
	}
	for i := range 9 {
		s := &server{l: c.ListenLate(), conns: map[net.Conn]bool{}}
		s.Instance = rig2.Instance{ID: fmt.Sprintf("s-%04x", i), Addr: s.l.Addr().String(), Zone: "breg", MachineType: "okence-std",
			Cell: i / 3, Lifecycle: "active", Weight: 1}
		servers = append(servers, s)
		list = append(list, s.Instance)
		go s.serve(c, func(a *rig2.Arrival) string { return arrived(s, a) }, func() {
			mu.Lock()
			connections++
			mu.Unlock()
		})
	}
	registry := c.StartRegistry(list)
	settings := rig2.Settings(
		rig2.Class{Name: "vpogled", Benefit: 1, Effect: "idempotent", TargetMs: 6000, TTLMs: 15000, LateBenefit: 0.4},
		rig2.Class{Name: "nakazilo", Benefit: 8, Effect: "deduplicated", Scope: "cell", WindowMs: int(window.Milliseconds()),
			TargetMs: 2500, TTLMs: int(ttl.Milliseconds()), LateBenefit: 0.1})
	settings["tiers"] = []string{"okence", "obracun"}
	settings["failure_domains"] = []string{"breg", "dolina", "hrib"}
	settings["kinds"] = []string{"okence-std", "okence-slow"}
	limits := settings["limits"].(map[string]any)
	limits["max_pushes"] = 2
	limits["dial_timeout"] = 1200.0
	limits["idle_close"] = 20000.0
	node := c.StartNode("n1", rig2.Config(c.FreeAddr(), registry.Addr, registry.List(), 192, 256, settings))
	do := func(id string) {
		start := c.Now()
		request := rig2.Request("nakazilo", id, strings.Repeat("0", 16)+id, ttl, "a payment")
		status, body, err := rig2.Do(node.Addr, request, ttl+time.Second)
		c.Log("client: %s: %d %q after %.3f s, %v", id, status, body, (c.Now() - start).Seconds(), err)
	}
	ordinary := 0
	doOrdinary := func(count int) {
		var all sync.WaitGroup
		for range count {
			ordinary++
			id := fmt.Sprintf("%016x", ordinary)
			all.Go(func() { do(id) })
			time.Sleep(100 * time.Millisecond)
		}
		all.Wait()
	}
	doOrdinary(24)
	for i := range trials {
		id := fmt.Sprintf("%016x", 0x1000+i)
		mu.Lock()
		trouble[id] = c.Trouble
		mu.Unlock()
		do(id)
		time.Sleep(time.Second)
		doOrdinary(12)
	}
	mu.Lock()
	defer mu.Unlock()
	c.Say("%d ordinary ops; %d ops at a slow server, each with late connections to one other server; %d connections to servers; %d ops ran a second time after their window",
		ordinary, late, connections, twice)
	if twice > 0 {
		c.End(rig2.Broken)
	}
	c.End(rig2.Held)
}

// serve accepts connections and answers the requests that come on them.
func (s *server) serve(c *rig2.Case, arrived func(*rig2.Arrival) string, accepted func()) {
	for {
		conn, err := s.l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			s.atRest(conn, true)
			for first := true; ; first = false {
				a, err := c.ReadArrival(s.ID, conn, in)
				s.atRest(conn, false)
				if err != nil {
					return
				}
				if first {
					accepted()
				}
				answer := arrived(a)
				s.atRest(conn, true)
				fmt.Fprint(conn, answer)
			}
		}()
	}
}

// atRest records whether a connection rests between two requests.
func (s *server) atRest(conn net.Conn, rests bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rests {
		s.conns[conn] = true
	} else {
		delete(s.conns, conn)
	}
}

// closeIdle closes the connections at rest.
func (s *server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}
