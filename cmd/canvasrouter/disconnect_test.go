package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"canvasrouter/internal/lab/harness"
)

// disconnectDeadline is half of the 0.1 s after which a push for a client that has disconnected breaks the rules.
const disconnectDeadline = 50 * time.Millisecond

// pushLog holds the times at which fake servers received a whole push, by the id of the op.
type pushLog struct {
	mu   sync.Mutex // guards byID
	byID map[string][]time.Time
}

// record adds a push that has arrived now.
func (l *pushLog) record(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id] = append(l.byID[id], time.Now())
}

// startServer starts a fake server that records each request. decide may block, and tells whether the server then answers
// the request or resets its connection.
func (l *pushLog) startServer(t *testing.T, decide func(id string) (answer bool)) (addr string) {
	t.Helper()
	return startServer(t, func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		id := request.Header.Get("X-Txn")
		l.record(id)
		if decide(id) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfine")
			return
		}
		conn.(*net.TCPConn).SetLinger(0)
	})
}

// setCachedServers replaces the servers in the cached list of the configuration.
func (p *process) setCachedServers(t *testing.T, addrs ...string) {
	t.Helper()
	raw, err := os.ReadFile(p.configPath)
	if err != nil {
		t.Fatal(err)
	}
	var document map[string]any
	if err := json.Unmarshal(raw, &document); err != nil {
		t.Fatal(err)
	}
	instances := []any{}
	for i, addr := range addrs {
		instances = append(instances, map[string]any{
			"instanceId": fmt.Sprint("s-", i), "hostPort": addr, "zone": "a", "machineType": "m1",
			"cell": 0, "lifecycle": "active", "weight": 1, "startedAtMs": 0,
		})
	}
	document["known"].(map[string]any)["instances"] = instances
	if raw, err = json.Marshal(document); err == nil {
		err = os.WriteFile(p.configPath, raw, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// checkoutRequest is the text of a request.
func checkoutRequest(id string) string {
	return fmt.Sprintf("GET /checkout/%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining-Ms: 2500\r\n\r\n", id, id)
}

// disconnect closes a client connection, with a reset or without, and returns the time just before.
func disconnect(conn net.Conn, reset bool) time.Time {
	if reset {
		conn.(*net.TCPConn).SetLinger(0)
	}
	closedAt := time.Now()
	conn.Close()
	return closedAt
}

// TestNoPushAfterDisconnect lets some hundred clients disconnect at random moments, with and without unread bytes behind
// their request, while servers reset connections and the node retries. No push may arrive later after the disconnect than
// disconnectDeadline.
func TestNoPushAfterDisconnect(t *testing.T) {
	log := &pushLog{byID: make(map[string][]time.Time)}
	var disconnects sync.Map // channels by op, closed when the client disconnects
	decide := func(id string) bool {
		if rand.IntN(2) == 0 {
			return true // otherwise the node would take all servers for down
		}
		if disconnected, known := disconnects.Load(id); known && rand.IntN(4) > 0 {
			<-disconnected.(chan struct{})
			time.Sleep(disconnectDeadline + time.Duration(rand.IntN(45))*time.Millisecond) // the node may not have noticed yet
			return false
		}
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		return false
	}
	var addrs []string
	for range 6 {
		addrs = append(addrs, log.startServer(t, decide))
	}
	addr := freeAddr(t)
	startNode(t, func(p *process) { p.setCachedServers(t, addrs...) }, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t))
	awaitReady(t, addr)
	const clients, ops = 16, 25
	var running sync.WaitGroup
	var mu sync.Mutex
	closedAt := map[string]time.Time{}
	lag := harness.NewTimerLag()
	for k := range clients {
		running.Go(func() {
			for i := range ops {
				id := fmt.Sprintf("%d-%d", k, i)
				disconnected := make(chan struct{})
				disconnects.Store(id, disconnected)
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Error(err)
					return
				}
				io.WriteString(conn, checkoutRequest(id))
				if i%4 > 0 {
					time.Sleep(time.Millisecond)
					io.WriteString(conn, "G") // net/http reads this byte and no further
				}
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				at := disconnect(conn, i%3 == 0)
				close(disconnected)
				mu.Lock()
				closedAt[id] = at
				mu.Unlock()
			}
		})
	}
	running.Wait()
	time.Sleep(500 * time.Millisecond)
	late, _ := lag.Stop()
	log.mu.Lock()
	defer log.mu.Unlock()
	worstDelay, pushes, latePushes := time.Duration(0), 0, 0
	for id, at := range closedAt {
		pushes += len(log.byID[id])
		for _, push := range log.byID[id] {
			if delay := push.Sub(at); delay > 0 {
				latePushes++
				worstDelay = max(worstDelay, delay)
			}
		}
	}
	t.Logf("%d ops, %d pushes, %d of them after the disconnect, by at most %v; this process was late by %v", clients*ops, pushes, latePushes, worstDelay, late)
	if pushes < clients*ops/2 {
		t.Errorf("only %d pushes", pushes)
	}
	if worstDelay > disconnectDeadline+late {
		t.Errorf("a push arrived %v after its client disconnected", worstDelay)
	}
}

// TestNoPushAfterDisconnectWhilePaused pauses the node with pushes in flight. Their servers reset them, their clients
// disconnect, and the node continues 70 ms later. It then finds all of this at once, before it has noticed any disconnect,
// and must not start another push. In every third round clients also leave full requests that the node has not read.
func TestNoPushAfterDisconnectWhilePaused(t *testing.T) {
	log := &pushLog{byID: make(map[string][]time.Time)}
	var mu sync.Mutex
	resets := make(chan struct{})
	decide := func(id string) bool {
		if strings.HasPrefix(id, "answered") {
			return true
		}
		mu.Lock()
		reset := resets
		mu.Unlock()
		<-reset
		return false
	}
	var addrs []string
	for range 6 {
		addrs = append(addrs, log.startServer(t, decide))
	}
	defer func() { close(resets) }()
	addr := freeAddr(t)
	p := startNode(t, func(p *process) { p.setCachedServers(t, addrs...) }, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t))
	awaitReady(t, addr)
	const rounds, each = 20, 6
	pushCount := func() (count int) {
		log.mu.Lock()
		defer log.mu.Unlock()
		for _, at := range log.byID {
			count += len(at)
		}
		return count
	}
	inFlight := 0
	for round := range rounds {
		for i := range 3 * len(addrs) { // otherwise the node would take all servers for down
			answered := dialRaw(t, addr)
			answered.send(checkoutRequest(fmt.Sprintf("answered-%d-%d", round, i)))
			answered.readAnswer()
			answered.Close()
		}
		before := pushCount()
		conns := make([]net.Conn, each)
		for i := range conns {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			conns[i] = conn
			io.WriteString(conn, checkoutRequest(fmt.Sprintf("%d-%d", round, i)))
		}
		for started := time.Now(); pushCount() < before+each && time.Since(started) < time.Second/2; {
			time.Sleep(time.Millisecond)
		}
		for _, conn := range conns {
			io.WriteString(conn, "G")
		}
		time.Sleep(20 * time.Millisecond) // net/http reads no further
		p.pause(t)
		pushedBefore := pushCount()
		mu.Lock()
		close(resets)
		resets = make(chan struct{})
		mu.Unlock()
		for i, conn := range conns {
			disconnect(conn, i%2 == 0)
		}
		if round%3 == 0 { // requests that the node has not read
			for i := range each {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				io.WriteString(conn, checkoutRequest(fmt.Sprintf("%d-unread-%d", round, i)))
				disconnect(conn, i%2 == 0)
			}
		}
		time.Sleep(70 * time.Millisecond)
		p.Process.Signal(syscall.SIGCONT)
		time.Sleep(150 * time.Millisecond)
		if more := pushCount() - pushedBefore; more > 0 {
			t.Errorf("round %d: %d pushes for clients that disconnected 70 ms before", round, more)
		}
		inFlight += pushedBefore - before
	}
	if inFlight < rounds*each/2 {
		t.Errorf("only %d pushes were in flight when their clients disconnected", inFlight)
	}
}

// TestIDAfterClientLeft guards against an op that runs twice because its id comes again after its client has left, while the push
// of the first may still run. The id is free again when the first client would have given up.
func TestIDAfterClientLeft(t *testing.T) {
	pushed := make(chan string, 8)
	finish := make(chan bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pushed <- r.Header.Get("X-Txn")
		<-finish
	}))
	defer server.Close()
	defer close(finish)
	addr := freeAddr(t)
	p := startNode(t, func(p *process) { p.setCachedServers(t, server.Listener.Addr().String()) },
		"127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t))
	awaitReady(t, addr)
	const id = "left"
	first := dialRaw(t, addr)
	first.send(bookingRequest(id))
	if got := <-pushed; got != id {
		t.Fatalf("server got %q", got)
	}
	first.Close()
	time.Sleep(200 * time.Millisecond) // the node has noticed
	again := dialRaw(t, addr)
	again.send(bookingRequest(id))
	if got := again.readAnswer(); !strings.HasPrefix(got, "409 ") {
		t.Errorf("the id came again: got %q", got)
	}
	select {
	case <-pushed:
		t.Error("the id ran twice")
	default:
	}
	time.Sleep(1200 * time.Millisecond) // more than bookingRequest says that the client waits
	later := dialRaw(t, addr)
	later.send(bookingRequest(id))
	select {
	case <-pushed:
	case <-time.After(5 * time.Second):
		t.Errorf("the id is not free again: %s", p.log.String())
	}
}

// TestIDAfterAnswer guards against an op that runs twice because its id comes again, from another client, right after its answer.
func TestIDAfterAnswer(t *testing.T) {
	pushed := make(chan string, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pushed <- r.Header.Get("X-Txn")
		io.WriteString(w, "fine")
	}))
	defer server.Close()
	addr := freeAddr(t)
	startNode(t, func(p *process) { p.setCachedServers(t, server.Listener.Addr().String()) },
		"127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t))
	awaitReady(t, addr)
	const id = "answered"
	for _, want := range []string{"200 ", "409 "} {
		client := dialRaw(t, addr)
		client.send(bookingRequest(id))
		if got := client.readAnswer(); !strings.HasPrefix(got, want) {
			t.Errorf("got %q, not %q", got, want)
		}
	}
	if len(pushed) != 1 {
		t.Errorf("the id ran %d times", len(pushed))
	}
}
