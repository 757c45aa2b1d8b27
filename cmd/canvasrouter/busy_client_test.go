package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"canvasrouter/internal/lab/harness"
)

// sendAtFullSpeed plays a client that sends requests without waiting for their answers, on one connection at a time, until stop
// is closed. request returns the bytes of one.
func sendAtFullSpeed(addr string, stop <-chan struct{}, request func(number int64) string) (sent int64) {
	for {
		select {
		case <-stop:
			return sent
		default:
		}
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		go func() {
			io.Copy(io.Discard, conn)
			conn.Close()
		}()
		for err == nil {
			select {
			case <-stop:
				err = io.EOF
			default:
				sent++
				conn.SetWriteDeadline(time.Now().Add(time.Second))
				_, err = io.WriteString(conn, request(sent))
			}
		}
		conn.Close()
	}
}

// TestOthersBesideBusyClient guards against late answers to others, and against memory without end, while one client sends small
// or unsound requests on one connection at full speed, also under ever new names.
func TestOthersBesideBusyClient(t *testing.T) {
	const (
		memoryMB   = 32
		duration   = 2 * time.Second
		allowance  = 550 * time.Millisecond // beyond a request's time, within which an answer only earns nothing
		otherCount = 8
		remaining  = 1100 * time.Millisecond // see bookingRequest
	)
	program := buildNode(t)
	names := func(number int64) string {
		var fields strings.Builder
		for i := range 20 {
			fmt.Fprintf(&fields, "X-New-%d-%d: %d\r\n", number, i, number)
		}
		return fields.String()
	}
	for name, request := range map[string]func(number int64) string{
		"readiness checks": func(int64) string { return "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" },
		"ops": func(number int64) string {
			return fmt.Sprintf("GET /checkout/%d HTTP/1.1\r\nHost: x\r\nX-Txn: busy%d\r\nX-Remaining-Ms: 1100\r\nX-Labels: a%d=b\r\n%s\r\n",
				number, number, number, names(number))
		},
		"no such category": func(number int64) string {
			return fmt.Sprintf("GET /name%d HTTP/1.1\r\nHost: x\r\nX-Txn: busy%d\r\nX-Remaining-Ms: 1100\r\n%s\r\n", number, number, names(number))
		},
		"what can't be read": func(number int64) string { return fmt.Sprintf("%d\r\n\r\n", number) },
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "fine") }))
			defer server.Close()
			addr := freeAddr(t)
			p := startNode(t, func(p *process) {
				p.Path = program
				p.setCachedServers(t, server.Listener.Addr().String())
			}, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t), `"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, memoryMB))
			awaitReady(t, addr)
			stop := make(chan struct{})
			var busy, others sync.WaitGroup
			var sent int64
			busy.Go(func() { sent = sendAtFullSpeed(addr, stop, request) })
			lag := harness.NewTimerLag()
			var answered atomic.Int64
			var mu sync.Mutex
			var longest time.Duration
			for other := range otherCount {
				others.Go(func() {
					client := dialRaw(t, addr)
					for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						if other%2 == 0 { // the others keep their connections
							client.Close()
							client = dialRaw(t, addr)
						}
						start := time.Now()
						client.send(bookingRequest(fmt.Sprint("other", other, "-", answered.Add(1))))
						if got := client.readAnswer(); !strings.HasPrefix(got, "200 ") && !strings.HasPrefix(got, "503 ") {
							t.Errorf("got %q", got)
							return
						}
						mu.Lock()
						longest = max(longest, time.Since(start))
						mu.Unlock()
					}
				})
			}
			others.Wait()
			close(stop)
			busy.Wait()
			late, _ := lag.Stop()
			peak := p.peakMemory(t)
			t.Logf("%d requests of the busy client, %d of others, answered within %v; peak %.1f MB", sent, answered.Load(), longest, float64(peak)/(1<<20))
			if longest > remaining+allowance+late {
				t.Errorf("answered after %v", longest)
			}
			if peak > memoryMB<<20 {
				t.Errorf("peak %.1f MB with a limit of %d", float64(peak)/(1<<20), memoryMB)
			}
		})
	}
}
