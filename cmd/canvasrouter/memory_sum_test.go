package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Answers of answerSpoilt, named by the last segment of the request's path.
const (
	answerFine        = "fine"         // a short answer
	answerLarge       = "large"        // the largest body that is allowed
	answerStalled     = "stalled"      // all but the end of a large body
	answerEndless     = "endless"      // a body of 3 GB
	answerShortFields = "short-fields" // a head of very many short fields
	answerHeadStalled = "head-stalled" // a head that does not end
	answerUnsized     = "unsized"      // a large body in chunks
	answerNone        = "none"         // nothing
	answerReset       = "reset"        // a reset
)

// largestBody is the longest body that the protocol allows, in bytes.
const largestBody = 64 << 10

// shortFields returns the text of fields that are as short as distinct ones can be, in total at most size bytes long.
func shortFields(size int) string {
	var text strings.Builder
	for i := 0; text.Len()+5 <= size; i++ {
		fmt.Fprintf(&text, "%03x:\n", i)
	}
	return text.String()
}

// answerSpoilt answers the requests of a connection as the path of each says.
func answerSpoilt(conn net.Conn) {
	in := bufio.NewReader(conn)
	body := strings.Repeat("a", largestBody)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		path := request.URL.Path
		switch path[strings.LastIndexByte(path, '/')+1:] {
		case answerLarge:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		case answerStalled:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)-1])
		case answerEndless:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(conn, body)
			}
			return
		case answerShortFields:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n%s\r\nfine", shortFields(15<<10))
		case answerHeadStalled:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n%s", shortFields(15<<10))
		case answerUnsized:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		case answerNone:
		case answerReset:
			conn.(*net.TCPConn).SetLinger(0)
			return
		default:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
		}
	}
}

// badClient is a kind of client that takes memory of a node.
type badClient struct {
	name  string
	send  func(number int64) string // what is sent first on each connection
	rest  string                    // sent again and again after that, as fast as it is taken; empty: nothing
	reads bool                      // the client reads what it is sent
}

// bookingHead returns the head of a request up to its last field, without the empty line.
func bookingHead(path string, id string, length int) string {
	return fmt.Sprintf("POST /booking/%s HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Remaining-Ms: 1200\r\n"+
		"Idempotency-Key: k\r\nContent-Length: %d\r\n", path, id, length)
}

// badClients returns the kinds of clients, in the order of their names in the postmortem.
func badClients() []badClient {
	longField := "X-Odd: " + strings.Repeat("x", 14000) + "\r\n"
	body := strings.Repeat("b", largestBody)
	whole := func(path string, field, body string) func(int64) string {
		return func(number int64) string {
			return bookingHead(path, fmt.Sprint("bad", number), len(body)) + field + "\r\n" + body
		}
	}
	many := func(path string) func(int64) string {
		return func(number int64) string {
			var text strings.Builder
			for i := range 20 {
				fmt.Fprintf(&text, "%s\r\n", bookingHead(path, fmt.Sprintf("bad%d-%d", number, i), 0))
			}
			return text.String()
		}
	}
	return []badClient{
		{"head of short fields stopped", func(n int64) string { return bookingHead("x", fmt.Sprint(n), 0) + shortFields(450) }, "", true},
		{"long head stopped", func(n int64) string { return bookingHead("x", fmt.Sprint(n), 0) + longField[:14000] }, "", true},
		{"large body stopped", func(n int64) string {
			return bookingHead("x", fmt.Sprint("bad", n), len(body)) + longField + "\r\n" + body[:60<<10]
		}, "", true},
		{"large body, server silent", whole(answerNone, longField, body), "", true},
		{"answer unread", whole(answerLarge, "", "b"), "", false},
		{"answers unread, many requests", many(answerLarge), "", false},
		{"answer stalled", whole(answerStalled, "", "b"), "", true},
		{"answer endless", whole(answerEndless, "", "b"), "", true},
		{"answer head of short fields", whole(answerShortFields, "", "b"), "", true},
		{"answer head stalled", whole(answerHeadStalled, "", "b"), "", true},
		{"answer unsized", whole(answerUnsized, longField, body), "", false},
		{"body too long", func(n int64) string { return bookingHead("x", fmt.Sprint("bad", n), 60<<20) + "\r\n" }, body, true},
		{"head without end", func(n int64) string { return bookingHead("x", fmt.Sprint("bad", n), 0) }, shortFields(4000), true},
		{"long ids, server resets", func(n int64) string {
			id := fmt.Sprint("bad", n, strings.Repeat("i", 14000))
			return bookingHead(answerReset, id, 0) + "\r\n"
		}, "", true},
	}
}

// hold keeps one connection open until the node closes it or stop is closed.
func (b *badClient) hold(addr string, number int64, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	ended := make(chan struct{})
	if b.reads {
		go func() {
			io.Copy(io.Discard, conn)
			close(ended)
		}()
	}
	go func() {
		_, err := io.WriteString(conn, b.send(number))
		for err == nil && b.rest != "" {
			_, err = io.WriteString(conn, b.rest)
		}
	}()
	select {
	case <-ended:
	case <-stop:
	case <-time.After(4 * time.Second):
	}
}

// holdBadClients keeps connections of each of the kinds open until the test ends, count together.
func holdBadClients(t *testing.T, addr string, kinds []badClient, count int) {
	var clients sync.WaitGroup
	var number atomic.Int64
	stop := make(chan struct{})
	for i := range count {
		clients.Go(func() {
			for {
				kinds[i%len(kinds)].hold(addr, number.Add(1), stop)
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
}

// memorySum is what was seen of a node among bad clients.
type memorySum struct {
	peakBytes    int     // resident memory
	kernelBytes  int     // largest sum of the buffers of its sockets
	collectShare float64 // of its CPU time
	served       int
	refused      int
	other        map[string]int
}

// collectShare returns the part of a node's CPU time that it has spent on collecting garbage, by the last line on its state.
func collectShare(t *testing.T, log []byte) float64 {
	t.Helper()
	lines := bytes.Split(bytes.TrimSpace(log), []byte("\n"))
	var status struct {
		Memory struct {
			Collect float64 `json:"collect_cpu_s"`
			CPU     float64 `json:"cpu_s"`
		}
		Clients struct{ Closed, Refused map[string]int }
	}
	if err := json.Unmarshal(lines[len(lines)-1], &status); err != nil {
		t.Fatalf("the log ends with %q: %v", lines[len(lines)-1], err)
	}
	if status.Memory.CPU == 0 {
		return 0
	}
	t.Logf("closed %v, refused %v", status.Clients.Closed, status.Clients.Refused)
	return status.Memory.Collect / status.Memory.CPU
}

// sumAmongBadClients runs a node with limits beside bad clients, with a list of servers, and returns what was seen.
func sumAmongBadClients(t *testing.T, program string, limits nodeLimits, kinds []badClient, clients, listed int, duration time.Duration) (sum memorySum) {
	t.Helper()
	var addrs []string
	for range 8 {
		addrs = append(addrs, startServer(t, answerSpoilt))
	}
	addr := freeAddr(t)
	p := startNodeWithTimeout(t, duration+20*time.Second, func(p *process) {
		p.Path = program
		var all []string
		for i := range listed {
			all = append(all, addrs[i%len(addrs)])
		}
		p.setCachedServers(t, all...)
	}, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t), `"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, limits.memoryMB),
		`"sockets": 256`, fmt.Sprintf(`"sockets": %d`, limits.sockets))
	awaitReady(t, addr)
	t.Logf("ready: %.1f MB", float64(p.peakMemory(t))/(1<<20))
	if len(kinds) > 0 {
		holdBadClients(t, addr, kinds, clients)
	}
	sum.other = map[string]int{}
	for started := time.Now(); time.Since(started) < duration; time.Sleep(10 * time.Millisecond) {
		sum.kernelBytes = max(sum.kernelBytes, socketBuffers(t, addr))
		switch answer := sendBooking(addr, fmt.Sprintf("/booking/%d/fine", time.Now().UnixNano())); {
		case strings.HasPrefix(answer, "200"):
			sum.served++
		case strings.HasPrefix(answer, "503"):
			sum.refused++
		default:
			sum.other[answer[max(0, len(answer)-60):]]++
		}
	}
	sum.peakBytes = p.peakMemory(t)
	if len(kinds) > 1 { // the restart takes seconds
		p.Process.Signal(syscall.SIGTERM)
		if err := p.Wait(); err != nil {
			t.Errorf("exit: %v", err)
		}
		sum.collectShare = collectShare(t, p.log.Bytes())
	}
	t.Logf("peak %.1f MB, kernel %.1f MB of %d, %.2f of the CPU for collecting, served %d, refused %d, other %v", float64(sum.peakBytes)/(1<<20),
		float64(sum.kernelBytes)/(1<<20), limits.memoryMB, sum.collectShare, sum.served, sum.refused, sum.other)
	return sum
}

// TestMemorySum guards against a node that exceeds its memory limit although each of its parts keeps to its own.
func TestMemorySum(t *testing.T) {
	const (
		clients      = 800
		duration     = 2500 * time.Millisecond
		usualServers = 9
		mostServers  = 3200
		// maxCollectShare is the part of the CPU for collecting garbage beyond which a node does little else.
		maxCollectShare = 0.25
	)
	program := buildNode(t)
	smallest := nodeLimits{32, 1024}
	type row struct {
		name   string
		limits nodeLimits
		kinds  []badClient
		listed int
	}
	all := badClients()
	rows := []row{
		{"nobody", smallest, nil, mostServers},
		{"all at once", smallest, all, mostServers},
		{"all at once", smallest, all, usualServers},
		{"all at once", nodeLimits{32, 256}, all, mostServers},
		{"all at once", nodeLimits{192, 256}, all, usualServers},
		{"all at once", nodeLimits{192, 1024}, all, mostServers},
	}
	for _, kind := range all {
		rows = append(rows, row{kind.name, smallest, []badClient{kind}, usualServers})
	}
	for _, c := range rows {
		t.Run(fmt.Sprintf("%s, %d MB, %d sockets, %d servers", c.name, c.limits.memoryMB, c.limits.sockets, c.listed), func(t *testing.T) {
			sum := sumAmongBadClients(t, program, c.limits, c.kinds, clients, c.listed, duration)
			if sum.collectShare > maxCollectShare {
				t.Errorf("%.2f of the CPU for collecting garbage", sum.collectShare)
			}
			if sum.served+sum.refused == 0 {
				t.Error("no op was answered")
			}
			if total := sum.peakBytes + sum.kernelBytes; total > c.limits.memoryMB<<20 {
				t.Errorf("%.1f MB in all", float64(total)/(1<<20))
			}
		})
	}
}
