package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// buildNode builds the program as it is deployed. The test binary is larger, and its memory would be, too.
func buildNode(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "canvasrouter")
	if out, err := exec.Command("go", "build", "-tags", "platform", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// peakPattern matches the largest memory that a process has used so far.
var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemory returns the largest resident memory that the process has used so far, in bytes.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	match := peakPattern.FindSubmatch(raw)
	if err != nil || match == nil {
		t.Fatalf("the process has ended: %v: %s", err, p.log.String())
	}
	kilobytes, _ := strconv.Atoi(string(match[1]))
	return kilobytes << 10
}

// holdConnections keeps size connections open until the test ends. On each it sends first and then, after each pause, one more
// byte; when the node closes one it opens the next. It counts those.
func holdConnections(t *testing.T, addr string, size int, pause time.Duration, first func(number int64) string) (closed *atomic.Int64) {
	closed = &atomic.Int64{}
	var clients sync.WaitGroup
	var number atomic.Int64
	stop := make(chan struct{})
	hold := func() {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return
		}
		defer conn.Close()
		ended := make(chan struct{})
		go func() {
			io.Copy(io.Discard, conn)
			close(ended)
		}()
		io.WriteString(conn, first(number.Add(1)))
		for {
			select {
			case <-ended:
				closed.Add(1)
				return
			case <-stop:
				return
			case <-time.After(pause):
				io.WriteString(conn, "x")
			}
		}
	}
	for range size {
		clients.Go(func() {
			for {
				hold()
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		clients.Wait()
	})
	return closed
}

// nodeLimits are limits of a node.
type nodeLimits struct{ memoryMB, sockets int }

// peakAmongBadClients runs a node with limits beside clients that hold connections, and returns the largest memory that it has
// used. Meanwhile it sends ops, some of which must be served.
func peakAmongBadClients(t *testing.T, program string, limits nodeLimits, pause time.Duration, first func(number int64) string) int {
	t.Helper()
	const (
		clients  = 700
		duration = 1200 * time.Millisecond
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "fine") }))
	defer server.Close()
	addr := freeAddr(t)
	p := startNode(t, func(p *process) {
		p.Path = program
		p.setCachedServers(t, server.Listener.Addr().String(), server.Listener.Addr().String())
	}, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t), `"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, limits.memoryMB),
		`"sockets": 256`, fmt.Sprintf(`"sockets": %d`, limits.sockets))
	awaitReady(t, addr)
	holdConnections(t, addr, clients, pause, first)
	served := 0
	for started := time.Now(); time.Since(started) < duration; {
		if strings.HasPrefix(sendBooking(addr, fmt.Sprintf("/booking/%d", time.Now().UnixNano())), "200") {
			served++
		}
	}
	if served == 0 {
		t.Error("no op was served")
	}
	return p.peakMemory(t)
}

// TestMemoryAmongBadClients guards against a node that exceeds its memory limit, and would be killed, because hundreds of clients
// write slowly, stop half way through a large request or send heads of very many short fields.
func TestMemoryAmongBadClients(t *testing.T) {
	const (
		stopped = time.Hour
		slow    = 30 * time.Millisecond
	)
	program := buildNode(t)
	var shortFields strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&shortFields, "%03x:\n", i)
	}
	longField := "X-Odd: " + strings.Repeat("x", 15000)
	body := strings.Repeat("b", 64<<10)
	head := func(number int64, length int) string {
		return fmt.Sprintf("POST /booking/1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: bad%d\r\nX-Remaining-Ms: 2500\r\n"+
			"Idempotency-Key: k\r\nContent-Length: %d\r\n", number, length)
	}
	for name, first := range map[string]func(number int64) string{
		"heads of short fields":   func(number int64) string { return head(number, 0) + shortFields.String()[:9000] },
		"short fields, no body":   func(number int64) string { return head(number, 9) + shortFields.String()[:5*90] + "\r\n" },
		"heads with a long field": func(number int64) string { return head(number, 0) + longField },
		"long field, no body":     func(number int64) string { return head(number, 9) + longField + "\r\n\r\n" },
		"large bodies":            func(number int64) string { return head(number, len(body)) + longField + "\r\n\r\n" + body[:60<<10] },
	} {
		for _, c := range []struct {
			limits nodeLimits
			pause  time.Duration
		}{
			{nodeLimits{32, 256}, stopped},
			{nodeLimits{32, 1024}, stopped},
			{nodeLimits{32, 1024}, slow},
			{nodeLimits{192, 1024}, stopped},
		} {
			t.Run(fmt.Sprintf("%s, %d MB, %d sockets, pauses of %v", name, c.limits.memoryMB, c.limits.sockets, c.pause), func(t *testing.T) {
				peak := peakAmongBadClients(t, program, c.limits, c.pause, first)
				t.Logf("peak %.1f MB of %d", float64(peak)/(1<<20), c.limits.memoryMB)
				if peak > c.limits.memoryMB<<20 {
					t.Errorf("peak %.1f MB with a limit of %d", float64(peak)/(1<<20), c.limits.memoryMB)
				}
			})
		}
	}
}
