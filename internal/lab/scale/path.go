package scale

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"canvasrouter/internal/lab/harness"
	"canvasrouter/internal/lab/scenario"
)

// LoopbackHost is a loopback address that one run has claimed for itself, with its ports.
type LoopbackHost struct {
	claim net.Listener
	ip    string
	next  int
}

var hostCounter atomic.Uint32 // of the addresses tried by this process

// ClaimLoopbackHost claims a loopback address. No client connects from it, so that a restarted process finds its port
// free.
func ClaimLoopbackHost() (*LoopbackHost, error) {
	for range 64 {
		id := uint32(os.Getpid())*11 + hostCounter.Add(1)
		ip := fmt.Sprintf("127.%d.%d.%d", 100+id>>16%100, id>>8&255, 1+id%254)
		if l, err := net.Listen("tcp", ip+":20000"); err == nil {
			return &LoopbackHost{claim: l, ip: ip, next: 20000}, nil
		}
	}
	return nil, errors.New("no loopback address is free for this run")
}

// NextAddr returns an address with the next unused port.
func (h *LoopbackHost) NextAddr() string {
	h.next++
	return fmt.Sprintf("%s:%d", h.ip, h.next)
}

// Close releases the address.
func (h *LoopbackHost) Close() { h.claim.Close() }

// StartFixedDelayServers starts servers in this process that answer after a fixed delay.
func StartFixedDelayServers(n int, delay time.Duration) (addrs []string, stop func(), err error) {
	return startServers(n, func(int, *http.Request) bool {
		if delay > 0 {
			time.Sleep(delay)
		}
		return true
	})
}

// startServers starts servers in this process that answer with status 200 if handle returns true, and 500 otherwise.
func startServers(n int, handle func(index int, r *http.Request) bool) (addrs []string, stop func(), err error) {
	var servers []*http.Server
	stop = func() {
		for _, server := range servers {
			server.Close()
		}
	}
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, err
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !handle(i, r) {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Length", "11")
			io.WriteString(w, `{"ok":true}`)
		})}
		servers = append(servers, server)
		addrs = append(addrs, listener.Addr().String())
		go server.Serve(listener)
	}
	return addrs, stop, nil
}

// pathClient makes calls to one address and keeps idle connections.
type pathClient struct {
	addr string
	mu   sync.Mutex
	idle []*idleConn
	ids  *atomic.Int64
}

// idleConn is a connection with its buffered reader.
type idleConn struct {
	net.Conn
	reader *bufio.Reader
}

// call makes one call. If an idle connection turns out to be closed by the other side before it read the call, the call is
// sent again on a new connection, as HTTP allows.
func (p *pathClient) call() error {
	p.mu.Lock()
	var idle *idleConn
	if n := len(p.idle); n > 0 {
		idle = p.idle[n-1]
		p.idle = p.idle[:n-1]
	}
	p.mu.Unlock()
	id := p.ids.Add(1)
	if idle != nil {
		if err := p.exchange(idle, id); !errors.Is(err, errClosedEarly) {
			return err
		}
	}
	conn, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return err
	}
	return p.exchange(&idleConn{conn, bufio.NewReader(conn)}, id)
}

var errClosedEarly = errors.New("connection closed before the first byte of the answer")

// exchange sends a call on a connection, reads the answer, and keeps the connection if it can be used again.
func (p *pathClient) exchange(conn *idleConn, id int64) error {
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, err := fmt.Fprintf(conn, "GET /call HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %x\r\nX-Remaining-Ms: 900\r\n\r\n", id)
	if err == nil {
		_, err = conn.reader.Peek(1)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		conn.Close()
		return errClosedEarly
	}
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(conn.reader, nil)
	}
	if err == nil {
		if _, err = io.Copy(io.Discard, response.Body); err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", response.StatusCode)
		}
	}
	if err != nil || response.Close {
		conn.Close()
		return err
	}
	p.mu.Lock()
	p.idle = append(p.idle, conn)
	p.mu.Unlock()
	return nil
}

// offerLoad makes calls in an open loop for a duration, with Poisson arrivals. Latencies in microseconds count from the
// time at which a call was due. It also returns the number of failed calls.
func (p *pathClient) offerLoad(ctx context.Context, rate float64, duration time.Duration, rng *rand.Rand) (latencies *hdrhistogram.Histogram, failed int64) {
	latencies = hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var calls sync.WaitGroup
	var failures atomic.Int64
	started := time.Now()
	for at := time.Duration(0); at < duration && ctx.Err() == nil; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		if ahead := at - time.Since(started); ahead > 0 {
			time.Sleep(ahead)
		}
		intended := started.Add(at)
		calls.Go(func() {
			if err := p.call(); err != nil {
				failures.Add(1)
				return
			}
			latency := time.Since(intended).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			latencies.RecordValue(max(1, latency))
		})
	}
	calls.Wait()
	return latencies, failures.Load()
}

// serverWork is how long a server of the last hop works on a call.
const serverWork = 5 * time.Millisecond

// MeasureCallPath measures calls over the given number of hops. Each hop is a node and the eight servers of a service
// behind it, which call the next node. In the same run and at the same rate, the same calls are made without the nodes.
func MeasureCallPath(ctx context.Context, program string, hops int, calmTime time.Duration, seed uint64, progress ProgressFunc) (point Point, err error) {
	if program == "" {
		return point, errors.New("the call's path is measured with processes: --node names the program")
	}
	point = Point{Nodes: hops, Values: map[string]float64{}}
	dir, err := os.MkdirTemp("", "canvaslab-")
	if err != nil {
		return point, err
	}
	defer os.RemoveAll(dir)
	host, err := ClaimLoopbackHost()
	if err != nil {
		return point, err
	}
	defer host.Close()
	ids := &atomic.Int64{}
	ids.Store(int64(seed) << 40)
	// Each of the two chains has servers of its own. They call the next node in one chain, the next server in the other.
	startChain := func(throughNodes bool) (firstAddr string, nodes []*process, stop func(), err error) {
		nextHop := make([]*pathClient, hops)
		handle := func(server int, _ *http.Request) bool {
			i := server / perService
			if i == hops-1 {
				time.Sleep(serverWork)
				return true
			}
			return nextHop[i].call() == nil
		}
		addrs, stopServers, err := startServers(hops*perService, handle)
		if err != nil {
			return "", nil, nil, err
		}
		stop = func() {
			for _, node := range nodes {
				node.kill()
			}
			stopServers()
		}
		hopAddrs := make([]string, hops)
		for i := range hops {
			hopAddrs[i] = addrs[i*perService]
			if !throughNodes {
				continue
			}
			deployment, knownServers := processDeployment(addrs[i*perService : (i+1)*perService])
			node := &process{addr: host.NextAddr(), file: filepath.Join(dir, fmt.Sprintf("%d.json", i))}
			if err := os.WriteFile(node.file, deployment.NodeConfig(scenario.Node{NodeCount: 1, Server: -1}, fmt.Sprintf("n%d", i), node.addr, "127.0.0.1:1", seed, knownServers, nil), 0o600); err != nil {
				return "", nil, stop, err
			}
			if err := node.start(program); err != nil {
				return "", nil, stop, err
			}
			nodes = append(nodes, node)
			hopAddrs[i] = node.addr
		}
		for i := range hops - 1 {
			nextHop[i] = &pathClient{addr: hopAddrs[i+1], ids: ids}
		}
		return hopAddrs[0], nodes, stop, nil
	}
	directAddr, _, stopDirect, err := startChain(false)
	if err != nil {
		return point, err
	}
	defer stopDirect()
	routedAddr, nodes, stopRouted, err := startChain(true)
	if stopRouted != nil {
		defer func() { stopRouted() }()
	}
	if err != nil {
		return point, err
	}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := len(nodes) - 1; i >= 0; i-- { // from the last hop on, as the earlier ones need it
		if _, _, err := nodes[i].waitServing(ctx, client, startTimeout); err != nil {
			return point, err
		}
	}
	directClient := &pathClient{addr: directAddr, ids: ids}
	routedClient := &pathClient{addr: routedAddr, ids: ids}
	warmUp := 3 * time.Second
	run := func(duration time.Duration) (directLatencies, routedLatencies *hdrhistogram.Histogram, failed int64) {
		var clients sync.WaitGroup
		var directFailed, routedFailed int64
		clients.Go(func() {
			directLatencies, directFailed = directClient.offerLoad(ctx, callRate, duration, rand.New(rand.NewPCG(seed, 1)))
		})
		clients.Go(func() {
			routedLatencies, routedFailed = routedClient.offerLoad(ctx, callRate, duration, rand.New(rand.NewPCG(seed, 2)))
		})
		clients.Wait()
		return directLatencies, routedLatencies, directFailed + routedFailed
	}
	run(warmUp)
	cpuSeconds := func() (sum float64) {
		for _, node := range nodes {
			sum += processorTime(node.cmd.Process.Pid)
		}
		return sum
	}
	cpuBefore, timerLag := cpuSeconds(), harness.NewTimerLag()
	directLatencies, routedLatencies, failed := run(2 * calmTime)
	used := cpuSeconds() - cpuBefore
	worstLag, meanLag := timerLag.Stop()
	calls := float64(routedLatencies.TotalCount() * int64(hops))
	for name, quantile := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9} {
		without := float64(directLatencies.ValueAtQuantile(quantile)) / 1000
		with := float64(routedLatencies.ValueAtQuantile(quantile)) / 1000
		point.Values[name+"_direct_ms"] = roundFigure(without)
		point.Values[name+"_ms"] = roundFigure(with)
		point.Values[name+"_added_ms"] = roundFigure(with - without)
	}
	point.Values["p99_added_a_hop_ms"] = roundFigure(point.Values["p99_added_ms"] / float64(hops))
	point.Values["core_ms_a_call"] = roundFigure(1000 * used / max(1, calls))
	point.Values["failed"] = float64(failed)
	if meanLag > maxMeanLag {
		point.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", meanLag.Round(time.Millisecond))
	}
	progress("%d hops at %d calls a second: p50 %.2f ms and %.2f direct, p99 %.2f and %.2f, p999 %.2f and %.2f; %.3f ms of a core a call and hop, %d failed; harness late by up to %v",
		hops, callRate, point.Values["p50_ms"], point.Values["p50_direct_ms"], point.Values["p99_ms"], point.Values["p99_direct_ms"], point.Values["p999_ms"],
		point.Values["p999_direct_ms"], point.Values["core_ms_a_call"], failed, worstLag.Round(time.Millisecond))
	return point, ctx.Err()
}

// processorTime returns the processor time that a process has used so far, in seconds; 0 if it is unknown.
func processorTime(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	var user, system float64
	fields := fieldsAfterName(raw)
	if len(fields) > 12 {
		fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	}
	return (user + system) / 100
}

// fieldsAfterName returns the fields of /proc/PID/stat that follow the name of the program. The name itself may contain
// spaces and parentheses.
func fieldsAfterName(raw []byte) []string {
	return strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
}
