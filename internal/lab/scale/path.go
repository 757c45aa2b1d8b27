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

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/together"
)

// HostPorts are addresses of one run's own.
type LoopbackHost struct {
	claim net.Listener
	ip    string
	next  int
}

var hosts atomic.Uint32

// Host claims a loopback address, from which nobody connects, so that a process that starts anew finds its port free.
func ClaimLoopbackHost() (*LoopbackHost, error) {
	for range 64 {
		id := uint32(os.Getpid())*11 + hosts.Add(1)
		ip := fmt.Sprintf("127.%d.%d.%d", 100+id>>16%100, id>>8&255, 1+id%254)
		if l, err := net.Listen("tcp", ip+":20000"); err == nil {
			return &LoopbackHost{claim: l, ip: ip, next: 20000}, nil
		}
	}
	return nil, errors.New("no loopback address is free for this run")
}

// Addr gives the next address.
func (h *LoopbackHost) NextAddr() string {
	h.next++
	return fmt.Sprintf("%s:%d", h.ip, h.next)
}

// Close gives the address back.
func (h *LoopbackHost) Close() { h.claim.Close() }

// Instant starts servers of this process that answer after a fixed time.
func StartFixedDelayServers(n int, takes time.Duration) (addrs []string, stop func(), err error) {
	return handlers(n, func(int, *http.Request) bool {
		if takes > 0 {
			time.Sleep(takes)
		}
		return true
	})
}

// handlers starts servers that answer 200 where do says so, else 500.
func handlers(n int, do func(server int, r *http.Request) bool) (addrs []string, stop func(), err error) {
	var all []*http.Server
	stop = func() {
		for _, s := range all {
			s.Close()
		}
	}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, err
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !do(i, r) {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Length", "11")
			io.WriteString(w, `{"ok":true}`)
		})}
		all, addrs = append(all, s), append(addrs, l.Addr().String())
		go s.Serve(l)
	}
	return addrs, stop, nil
}

// asker asks on kept connections.
type asker struct {
	addr string
	mu   sync.Mutex
	idle []*kept
	ids  *atomic.Int64
}

type kept struct {
	net.Conn
	in *bufio.Reader
}

// ask sends one call. A kept connection that the other side has closed just then, before it read the call, is no answer: the call
// goes once more, on a new one, as the protocol has it.
func (a *asker) ask() error {
	a.mu.Lock()
	var c *kept
	if n := len(a.idle); n > 0 {
		c, a.idle = a.idle[n-1], a.idle[:n-1]
	}
	a.mu.Unlock()
	id := a.ids.Add(1)
	if c != nil {
		if err := a.exchange(c, id); !errors.Is(err, errNothing) {
			return err
		}
	}
	conn, err := net.DialTimeout("tcp", a.addr, time.Second)
	if err != nil {
		return err
	}
	return a.exchange(&kept{conn, bufio.NewReader(conn)}, id)
}

var errNothing = errors.New("closed before a byte of the answer")

func (a *asker) exchange(c *kept, id int64) error {
	c.SetDeadline(time.Now().Add(2 * time.Second))
	_, err := fmt.Fprintf(c, "GET /call HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %x\r\nX-Remaining-Ms: 900\r\n\r\n", id)
	if err == nil {
		_, err = c.in.Peek(1)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.Close()
		return errNothing
	}
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.in, nil)
	}
	if err == nil {
		if _, err = io.Copy(io.Discard, response.Body); err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", response.StatusCode)
		}
	}
	if err != nil || response.Close {
		c.Close()
		return err
	}
	a.mu.Lock()
	a.idle = append(a.idle, c)
	a.mu.Unlock()
	return nil
}

// offer asks in an open loop, Poisson, for a span.
func (a *asker) offer(ctx context.Context, rate float64, span time.Duration, rng *rand.Rand) (h *hdrhistogram.Histogram, failed int64) {
	h = hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	var bad atomic.Int64
	begun := time.Now()
	for at := time.Duration(0); at < span && ctx.Err() == nil; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		if ahead := at - time.Since(begun); ahead > 0 {
			time.Sleep(ahead)
		}
		meant := begun.Add(at)
		all.Go(func() {
			if err := a.ask(); err != nil {
				bad.Add(1)
				return
			}
			took := time.Since(meant).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			h.RecordValue(max(1, took))
		})
	}
	all.Wait()
	return h, bad.Load()
}

const work = 5 * time.Millisecond // of the server at the end

// Path plays a call of so many hops: each hop is a node and the eight servers of a service behind it, which call the next node. The same call without
// the nodes goes beside it, at the same rate, in the same run.
func MeasureCallPath(ctx context.Context, program string, hops int, calm time.Duration, seed uint64, tell ProgressFunc) (p Point, err error) {
	if program == "" {
		return p, errors.New("the call's path is measured with processes: --node names the program")
	}
	p = Point{Nodes: hops, Values: map[string]float64{}}
	dir, err := os.MkdirTemp("", "canvaslab-")
	if err != nil {
		return p, err
	}
	defer os.RemoveAll(dir)
	host, err := ClaimLoopbackHost()
	if err != nil {
		return p, err
	}
	defer host.Close()
	ids := &atomic.Int64{}
	ids.Store(int64(seed) << 40)
	// Each of the two chains has servers of its own: one calls the next node, the other the next server.
	chain := func(through bool) (first string, nodes []*process, stop func(), err error) {
		next := make([]*asker, hops)
		do := func(server int, _ *http.Request) bool {
			i := server / perService
			if i == hops-1 {
				time.Sleep(work)
				return true
			}
			return next[i].ask() == nil
		}
		addrs, stopServers, err := handlers(hops*perService, do)
		if err != nil {
			return "", nil, nil, err
		}
		stop = func() {
			for _, n := range nodes {
				n.kill()
			}
			stopServers()
		}
		at := make([]string, hops)
		for i := range hops {
			if at[i] = addrs[i*perService]; !through {
				continue
			}
			s, known := setting(addrs[i*perService : (i+1)*perService])
			n := &process{addr: host.NextAddr(), file: filepath.Join(dir, fmt.Sprintf("%d.json", i))}
			if err := os.WriteFile(n.file, s.NodeConfig(scenario.Node{NodeCount: 1, Server: -1}, fmt.Sprintf("n%d", i), n.addr, "127.0.0.1:1", seed, known, nil), 0o600); err != nil {
				return "", nil, stop, err
			}
			if err := n.start(program); err != nil {
				return "", nil, stop, err
			}
			nodes, at[i] = append(nodes, n), n.addr
		}
		for i := range hops - 1 {
			next[i] = &asker{addr: at[i+1], ids: ids}
		}
		return at[0], nodes, stop, nil
	}
	direct, _, stopDirect, err := chain(false)
	if err != nil {
		return p, err
	}
	defer stopDirect()
	through, nodes, stopThrough, err := chain(true)
	if stopThrough != nil {
		defer func() { stopThrough() }()
	}
	if err != nil {
		return p, err
	}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := len(nodes) - 1; i >= 0; i-- { // the last first: those before call it
		if _, _, err := nodes[i].ready(ctx, client, startWait); err != nil {
			return p, err
		}
	}
	one, other := &asker{addr: direct, ids: ids}, &asker{addr: through, ids: ids}
	warm := 3 * time.Second
	run := func(span time.Duration) (a, b *hdrhistogram.Histogram, failed int64) {
		var both sync.WaitGroup
		var x, y int64
		both.Go(func() { a, x = one.offer(ctx, callRate, span, rand.New(rand.NewPCG(seed, 1))) })
		both.Go(func() { b, y = other.offer(ctx, callRate, span, rand.New(rand.NewPCG(seed, 2))) })
		both.Wait()
		return a, b, x + y
	}
	run(warm)
	cpu := func() (sum float64) {
		for _, n := range nodes {
			sum += processorTime(n.cmd.Process.Pid)
		}
		return sum
	}
	before, lag := cpu(), together.NewTimerLag()
	a, b, failed := run(2 * calm)
	used := cpu() - before
	late, mean := lag.Stop()
	calls := float64(b.TotalCount() * int64(hops))
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "p999": 99.9} {
		without, with := float64(a.ValueAtQuantile(q))/1000, float64(b.ValueAtQuantile(q))/1000
		p.Values[name+"_direct_ms"], p.Values[name+"_ms"], p.Values[name+"_added_ms"] = round(without), round(with), round(with-without)
	}
	p.Values["p99_added_a_hop_ms"] = round(p.Values["p99_added_ms"] / float64(hops))
	p.Values["core_ms_a_call"] = round(1000 * used / max(1, calls))
	p.Values["failed"] = float64(failed)
	if mean > mostLate {
		p.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", mean.Round(time.Millisecond))
	}
	tell("%d hops at %d calls a second: p50 %.2f ms and %.2f direct, p99 %.2f and %.2f, p999 %.2f and %.2f; %.3f ms of a core a call and hop, %d failed; rig late %v",
		hops, callRate, p.Values["p50_ms"], p.Values["p50_direct_ms"], p.Values["p99_ms"], p.Values["p99_direct_ms"], p.Values["p999_ms"],
		p.Values["p999_direct_ms"], p.Values["core_ms_a_call"], failed, late.Round(time.Millisecond))
	return p, ctx.Err()
}

// processorTime is what a process has used so far, in seconds.
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

// fieldsAfterName are the fields of /proc's stat behind the name, which may hold anything.
func fieldsAfterName(raw []byte) []string {
	return strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
}
