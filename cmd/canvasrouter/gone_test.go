package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"canvasrouter/internal/lab/together"
)

// goneBy is half of the 0.1 s after which an attempt for a client that has gone is a break of the rules.
const goneBy = 50 * time.Millisecond

// arrivals are the pushes that stand-in servers have had the last byte of, by id.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) note(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[id] = append(a.at[id], time.Now())
}

// resetting is a server that notes each request, and answers it or resets its connection, as hold says.
func (a *arrivals) resetting(t *testing.T, hold func(id string) (answer bool)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				id := q.Header.Get("X-Txn")
				a.note(id)
				if hold(id) {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfine")
					return
				}
				c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return l.Addr().String()
}

// known puts servers into a configuration, in place of the one that the example knows.
func (p *process) known(t *testing.T, addrs ...string) {
	t.Helper()
	raw, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	var all map[string]any
	if err := json.Unmarshal(raw, &all); err != nil {
		t.Fatal(err)
	}
	instances := []any{}
	for i, addr := range addrs {
		instances = append(instances, map[string]any{"instanceId": fmt.Sprint("s-", i), "hostPort": addr, "zone": "a", "machineType": "m1",
			"cell": 0, "lifecycle": "active", "weight": 1, "startedAtMs": 0})
	}
	all["known"].(map[string]any)["instances"] = instances
	if raw, err = json.Marshal(all); err == nil {
		err = os.WriteFile(p.config, raw, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func lookup(id string) string {
	return fmt.Sprintf("GET /checkout/%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining-Ms: 2500\r\n\r\n", id, id)
}

// leave closes a client's connection: with an end, or with a reset.
func leave(c net.Conn, reset bool) time.Time {
	if reset {
		c.(*net.TCPConn).SetLinger(0)
	}
	at := time.Now()
	c.Close()
	return at
}

// Some hundred clients leave at any moment, with and without bytes behind their request that nobody reads, while servers reset
// what they get and the node pushes again and again. No push begins later after the close than half of what is allowed.
func TestGoneOnSockets(t *testing.T) {
	got := &arrivals{at: make(map[string][]time.Time)}
	var gone sync.Map // closed when an id's client leaves
	wait := func(id string) bool {
		if rand.IntN(2) == 0 {
			return true // or the node would think that all servers are down
		}
		if at, known := gone.Load(id); known && rand.IntN(4) > 0 {
			<-at.(chan struct{})
			time.Sleep(goneBy + time.Duration(rand.IntN(45))*time.Millisecond) // nobody may have noticed yet
			return false
		}
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		return false
	}
	var addrs []string
	for range 6 {
		addrs = append(addrs, got.resetting(t, wait))
	}
	addr := free(t)
	start(t, func(p *process) { p.known(t, addrs...) }, "127.0.0.1:8081", addr, "127.0.0.1:8500", free(t))
	awaitReady(t, addr)
	const clients, ops = 16, 25
	var all sync.WaitGroup
	var mu sync.Mutex
	closed := map[string]time.Time{}
	lag := together.NewTimerLag()
	for k := range clients {
		all.Go(func() {
			for i := range ops {
				id := fmt.Sprintf("%d-%d", k, i)
				left := make(chan struct{})
				gone.Store(id, left)
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Error(err)
					return
				}
				io.WriteString(c, lookup(id))
				if i%4 > 0 {
					time.Sleep(time.Millisecond)
					io.WriteString(c, "G") // the library reads it, and no further
				}
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				at := leave(c, i%3 == 0)
				close(left)
				mu.Lock()
				closed[id] = at
				mu.Unlock()
			}
		})
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	late, _ := lag.Stop()
	got.mu.Lock()
	defer got.mu.Unlock()
	worst, pushes, after := time.Duration(0), 0, 0
	for id, at := range closed {
		pushes += len(got.at[id])
		for _, push := range got.at[id] {
			if over := push.Sub(at); over > 0 {
				after++
				worst = max(worst, over)
			}
		}
	}
	t.Logf("%d ops, %d pushes; %d came after their client's close, %v at the most; rig late %v", clients*ops, pushes, after, worst, late)
	if pushes < clients*ops/2 {
		t.Errorf("only %d pushes", pushes)
	}
	if worst > goneBy+late {
		t.Errorf("a push came %v after its client's close", worst)
	}
}

// The node is stopped with pushes out; their servers reset them, their clients leave, and it goes on 70 ms later. All that it
// finds then it finds together, and nobody has noticed yet who left: no further push may begin. Each third round clients leave whole
// requests behind that the node has not read.
func TestGoneWhileStopped(t *testing.T) {
	got := &arrivals{at: make(map[string][]time.Time)}
	var mu sync.Mutex
	resets := make(chan struct{})
	hold := func(id string) bool {
		if strings.HasPrefix(id, "well") {
			return true
		}
		mu.Lock()
		wait := resets
		mu.Unlock()
		<-wait
		return false
	}
	var addrs []string
	for range 6 {
		addrs = append(addrs, got.resetting(t, hold))
	}
	defer func() { close(resets) }()
	addr := free(t)
	p := start(t, func(p *process) { p.known(t, addrs...) }, "127.0.0.1:8081", addr, "127.0.0.1:8500", free(t))
	awaitReady(t, addr)
	const rounds, each = 20, 6
	pushed := func() (n int) {
		got.mu.Lock()
		defer got.mu.Unlock()
		for _, at := range got.at {
			n += len(at)
		}
		return n
	}
	left := 0
	for round := range rounds {
		for i := range 3 * len(addrs) { // or the node would think that all servers are down
			well := dialRaw(t, addr)
			well.send(lookup(fmt.Sprintf("well-%d-%d", round, i)))
			well.answer()
			well.Close()
		}
		before := pushed()
		conns := make([]net.Conn, each)
		for i := range conns {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			conns[i] = c
			io.WriteString(c, lookup(fmt.Sprintf("%d-%d", round, i)))
		}
		for begun := time.Now(); pushed() < before+each && time.Since(begun) < time.Second/2; {
			time.Sleep(time.Millisecond)
		}
		for _, c := range conns {
			io.WriteString(c, "G")
		}
		time.Sleep(20 * time.Millisecond) // the library reads no further
		p.hold(t)
		out := pushed()
		mu.Lock()
		close(resets)
		resets = make(chan struct{})
		mu.Unlock()
		for i, c := range conns {
			leave(c, i%2 == 0)
		}
		if round%3 == 0 { // nobody has read these
			for i := range each {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				io.WriteString(c, lookup(fmt.Sprintf("%d-unread-%d", round, i)))
				leave(c, i%2 == 0)
			}
		}
		time.Sleep(70 * time.Millisecond)
		p.Process.Signal(syscall.SIGCONT)
		time.Sleep(150 * time.Millisecond)
		if more := pushed() - out; more > 0 {
			t.Errorf("round %d: %d pushes for clients that left 70 ms before", round, more)
		}
		left += out - before
	}
	if left < rounds*each/2 {
		t.Errorf("only %d pushes were out when their clients left", left)
	}
}
