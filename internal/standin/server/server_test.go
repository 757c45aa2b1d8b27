package server

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/servermodel"
	"canvasrouter/policy"
)

// startServer starts a server with one core, a queue of one op and a limit of three connections. Its ops take 20 ms.
func startServer(t *testing.T, memory *servermodel.DedupMemory) *Server {
	t.Helper()
	started := time.Now()
	machineType := &scenario.MachineType{MaxConnections: 3, IdleTimeout: 5_000_000, ReportsLoad: true}
	var lock sync.Mutex
	// No client connects from this address, so its port stays free while the server is down. A port on the common
	// loopback address could be taken by any connection meanwhile.
	addr := fmt.Sprintf("127.77.%d.%d:20001", os.Getpid()>>8&255, os.Getpid()&255)
	s := New(0, machineType, servermodel.Spec{Cores: 1, Speed: 1, QueueLimit: 1}, addr, Environment{
		Now: func() policy.Micros { return policy.Micros(time.Since(started).Microseconds()) },
		FindOp: func(id string, _ *http.Request) (ledger.TryID, *Op, bool) {
			return 0, &Op{Key: id, Work: 20 * policy.Millisecond, Dedup: memory, DedupLock: &lock}, id != ""
		}})
	if err := s.Start(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Stop(false) })
	return s
}

// rawRequest sends one request on a new connection and returns all bytes that come back within 100 ms.
func rawRequest(t *testing.T, s *Server, id string) string {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(100 * time.Millisecond))
	fmt.Fprintf(conn, "GET /slots HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nConnection: close\r\n\r\n", id)
	var answer bytes.Buffer
	io.Copy(&answer, conn)
	return answer.String()
}

func TestConnectionFaults(t *testing.T) {
	s := startServer(t, nil)
	response := rawRequest(t, s, "1")
	if !bytes.HasPrefix([]byte(response), []byte("HTTP/1.1 200 OK")) || !bytes.Contains([]byte(response), []byte("X-Pressure: TEXT inflight=")) {
		t.Fatalf("got %q", response)
	}
	if got := rawRequest(t, s, ""); !bytes.HasPrefix([]byte(got), []byte("HTTP/1.1 400")) {
		t.Errorf("no id: %q", got)
	}
	s.SetMode(scenario.ModeReset)
	for n := range 5 { // each answer is cut one byte later
		if got := rawRequest(t, s, "1"); got != "HTTP/1.1 200 OK"[:n] {
			t.Errorf("reset %d: %q", n, got)
		}
	}
	s.SetMode(scenario.ModeCorrupt)
	if got := rawRequest(t, s, "1"); bytes.HasPrefix([]byte(got), []byte("HTTP")) || got == "" {
		t.Errorf("corrupt answer: %q", got)
	}
	for mode, want := range map[scenario.ServerMode]string{scenario.ModeErrors: "HTTP/1.1 500", scenario.ModeReject: "HTTP/1.1 503"} {
		s.SetMode(mode)
		if got := rawRequest(t, s, "1"); !bytes.HasPrefix([]byte(got), []byte(want)) {
			t.Errorf("mode %d: %q", mode, got)
		}
	}
	s.SetMode(scenario.ModeNormal)
	s.Stop(true)
	if got := rawRequest(t, s, "1"); got != "" {
		t.Errorf("silent: %q", got)
	}
	if err := s.Start(true); err != nil || s.StartedAt() == 0 {
		t.Errorf("%v, started %d", err, s.StartedAt())
	}
	s.Stop(false)
	if _, err := net.Dial("tcp", s.Addr()); err == nil {
		t.Error("a stopped server accepts connections")
	}
}

// Above the limits of its queue and of its connections a server rejects pushes. A duplicate is answered without running.
func TestLimits(t *testing.T) {
	s := startServer(t, servermodel.NewDedupMemory(policy.Second))
	var requests sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	for i := range 4 {
		requests.Go(func() {
			answer := rawRequest(t, s, fmt.Sprint("key", i))
			mu.Lock()
			defer mu.Unlock()
			statuses[answer[:min(len(answer), 12)]]++
		})
	}
	requests.Wait()
	if statuses["HTTP/1.1 200"] != 2 || statuses["HTTP/1.1 503"] != 2 {
		t.Errorf("statuses of four concurrent pushes: %v", statuses)
	}
	started := time.Now()
	rawRequest(t, s, "again")
	rawRequest(t, s, "again")
	if elapsed := time.Since(started); elapsed < 20*time.Millisecond || s.model.CoreTime() != 3*20*policy.Millisecond {
		t.Errorf("the duplicate ran: %v, core time %d", elapsed, s.model.CoreTime())
	}
}

// Stopping a server while it accepts a connection must not block. If Stop closed the HTTP server under the lock, it would wait
// for the accept loop, which waits for that lock, and the whole run would hang.
func TestStopWhileAccepting(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	s := New(0, &scenario.MachineType{IdleTimeout: scenario.Duration(policy.Second)}, servermodel.Spec{Cores: 1, Speed: 1}, addr,
		Environment{Now: func() policy.Micros { return 0 }})
	if err := s.Start(false); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock() // Stop waits for the lock first, then the accept loop
	stopped := make(chan struct{})
	go func() { s.Stop(false); close(stopped) }()
	time.Sleep(20 * time.Millisecond)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(20 * time.Millisecond)
	s.mu.Unlock()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Error("the stopped server is still closing")
	}
}
