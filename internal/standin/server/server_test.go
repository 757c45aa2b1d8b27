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
	"canvasrouter/internal/standin/fleet"
	"canvasrouter/policy"
)

// up starts a server with one core, room for one op to wait and two connections, whose ops take 20 ms.
func up(t *testing.T, memory *fleet.DedupMemory) *Server {
	t.Helper()
	begun := time.Now()
	kind := &scenario.MachineType{MaxConnections: 3, IdleTimeout: 5_000_000, ReportsLoad: true}
	var lock sync.Mutex
	// An address from which nobody connects: a port given back could be taken by anybody while the server is down.
	addr := fmt.Sprintf("127.77.%d.%d:20001", os.Getpid()>>8&255, os.Getpid()&255)
	s := New(0, kind, fleet.Spec{Cores: 1, Speed: 1, QueueLimit: 1}, addr, Environment{
		Now: func() policy.Micros { return policy.Micros(time.Since(begun).Microseconds()) },
		FindOp: func(id string, _ *http.Request) (ledger.TryID, *Op, bool) {
			return 0, &Op{Key: id, Work: 20 * policy.Millisecond, Dedup: memory, DedupLock: &lock}, id != ""
		}})
	if err := s.Start(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Stop(false) })
	return s
}

// ask sends one request on a connection of its own and gives all bytes that come back, for 100 ms.
func ask(t *testing.T, s *Server, id string) string {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(100 * time.Millisecond))
	fmt.Fprintf(c, "GET /slots HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nConnection: close\r\n\r\n", id)
	var all bytes.Buffer
	io.Copy(&all, c)
	return all.String()
}

func TestFaultsOnTheWire(t *testing.T) {
	s := up(t, nil)
	whole := ask(t, s, "1")
	if !bytes.HasPrefix([]byte(whole), []byte("HTTP/1.1 200 OK")) || !bytes.Contains([]byte(whole), []byte("X-Pressure: TEXT inflight=")) {
		t.Fatalf("got %q", whole)
	}
	if got := ask(t, s, ""); !bytes.HasPrefix([]byte(got), []byte("HTTP/1.1 400")) {
		t.Errorf("no id: %q", got)
	}
	s.SetMode(scenario.ModeReset)
	for n := range 5 { // each time one byte further
		if got := ask(t, s, "1"); got != "HTTP/1.1 200 OK"[:n] {
			t.Errorf("reset %d: %q", n, got)
		}
	}
	s.SetMode(scenario.ModeCorrupt)
	if got := ask(t, s, "1"); bytes.HasPrefix([]byte(got), []byte("HTTP")) || got == "" {
		t.Errorf("spoilt: %q", got)
	}
	for mode, want := range map[scenario.ServerMode]string{scenario.ModeErrors: "HTTP/1.1 500", scenario.ModeReject: "HTTP/1.1 503"} {
		s.SetMode(mode)
		if got := ask(t, s, "1"); !bytes.HasPrefix([]byte(got), []byte(want)) {
			t.Errorf("mode %d: %q", mode, got)
		}
	}
	s.SetMode(scenario.ModeNormal)
	s.Stop(true)
	if got := ask(t, s, "1"); got != "" {
		t.Errorf("silent: %q", got)
	}
	if err := s.Start(true); err != nil || s.StartedAt() == 0 {
		t.Errorf("%v, started %d", err, s.StartedAt())
	}
	s.Stop(false)
	if _, err := net.Dial("tcp", s.Addr()); err == nil {
		t.Error("a dead server accepts")
	}
}

// Past the bound of its queue, and of its connections, a server turns away; a repeat is answered and not run.
func TestBounds(t *testing.T) {
	s := up(t, fleet.NewDedupMemory(policy.Second))
	var out sync.WaitGroup
	var mu sync.Mutex
	got := map[string]int{}
	for i := range 4 {
		out.Go(func() {
			answer := ask(t, s, fmt.Sprint("key", i))
			mu.Lock()
			defer mu.Unlock()
			got[answer[:min(len(answer), 12)]]++
		})
	}
	out.Wait()
	if got["HTTP/1.1 200"] != 2 || got["HTTP/1.1 503"] != 2 {
		t.Errorf("of four at once: %v", got)
	}
	begun := time.Now()
	ask(t, s, "again")
	ask(t, s, "again")
	if took := time.Since(begun); took < 20*time.Millisecond || s.model.CoreTime() != 3*20*policy.Millisecond {
		t.Errorf("a repeat ran: %v, core time %d", took, s.model.CoreTime())
	}
}

// Danger: a server that was taken down just as it accepted a connection waited for its own accepting for ever, and the run
// with it.
func TestDownWhileAccepting(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	s := New(0, &scenario.MachineType{IdleTimeout: scenario.Duration(policy.Second)}, fleet.Spec{Cores: 1, Speed: 1}, addr,
		Environment{Now: func() policy.Micros { return 0 }})
	if err := s.Start(false); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock() // first Down waits for it, then what accepts
	ended := make(chan struct{})
	go func() { s.Stop(false); close(ended) }()
	time.Sleep(20 * time.Millisecond)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	time.Sleep(20 * time.Millisecond)
	s.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("a server that was taken down is still closing")
	}
}
