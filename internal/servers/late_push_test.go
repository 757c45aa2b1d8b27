package servers

import (
	"bufio"
	"net"
	"testing"
	"time"

	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

// newPolicyHarness starts a node that decides by the real policy, with one category: an op that a server drops as a repeat in
// its cell within window. Its first server is at addr.
func newPolicyHarness(t *testing.T, window policy.Micros, addr string) *nodeHarness {
	t.Helper()
	const dialTimeout = 3 * policy.Second
	module := policy.New(1,
		policy.Topology{TierCount: 1, NodeCount: 1, ClockTick: 5 * policy.Millisecond},
		[]policy.Category{{Benefit: 1, TargetLatency: 8 * policy.Second, TTL: 8 * policy.Second, Delivery: policy.Deduplicated,
			DedupScope: policy.DedupScopeCell, DedupWindow: window}},
		policy.PushLimits{MaxPushes: 3, MayCancel: true, DialTimeout: dialTimeout, MaxRetryAfter: policy.Second},
		policy.ColdStartRule{InitialShare: 1, WarmUpTime: 1, OverloadFactor: 2, OverloadWindow: policy.Second},
		policy.RegistryRule{})
	return newNodeHarnessOf(t, module, time.Duration(dialTimeout)*time.Microsecond, 9, addr)
}

// listAddrs lists the servers at addresses, all ready and in one cell.
func (h *nodeHarness) listAddrs(addrs ...string) {
	h.addrs = addrs
	h.ListReceived(h.list(policy.Ready))
}

// awaitDial waits until a connection to addr is being established.
func awaitDial(t *testing.T, addr string) {
	t.Helper()
	for start := time.Now(); !dialPending(t, addr); time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatal("no dial is pending")
		}
	}
}

// expectNothingSent checks that no request comes on late connections: the kernel asks for one again after 1 s and, if that is
// lost, after 3 s.
func expectNothingSent(t *testing.T, ids <-chan string) {
	t.Helper()
	for deadline := time.After(2500 * time.Millisecond); ; {
		select {
		case id := <-ids:
			if id != "" {
				t.Fatalf("op %q was sent", id)
			}
		case <-deadline:
			return
		}
	}
}

// lateServer returns a server whose connections come up late, and the ids of the first request of each, or "" if it is closed
// without one. A connection on which nothing comes is given up after a while.
func lateServer(t *testing.T) (addr string, ids chan string, emptyBacklog func()) {
	ids = make(chan string, 64)
	addr, emptyBacklog = fullBacklog(t, func(c net.Conn, in *bufio.Reader) {
		c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		id, _ := readID(in)
		ids <- id
	})
	return addr, ids, emptyBacklog
}

// breakingServer returns a server that reports the id of a request, which runs, and ends its connection without an answer once
// breakConn is closed.
func breakingServer(t *testing.T) (addr string, arrived chan string, breakConn chan bool) {
	t.Helper()
	arrived, breakConn = make(chan string, 1), make(chan bool)
	addr = startServer(t, func(c net.Conn, in *bufio.Reader) {
		id, err := readID(in)
		if err != nil {
			return
		}
		arrived <- id
		<-breakConn
	})
	return addr, arrived, breakConn
}

// TestRepeatOnLateConnection guards against a second effect of a deduplicated op: its repeat is decided while servers still drop
// repeats, and its connection comes up after they have forgotten the op. The op is answered when the repeat is no longer allowed,
// without waiting for the connection.
func TestRepeatOnLateConnection(t *testing.T) {
	const window = 500 * policy.Millisecond
	firstAddr, arrived, breakConn := breakingServer(t)
	lateAddr, ids, emptyBacklog := lateServer(t)
	harness := newPolicyHarness(t, window, firstAddr)
	op := harness.submitOp("repeated", "body", 6*policy.Second)
	<-arrived
	harness.listAddrs(firstAddr, lateAddr)
	close(breakConn)
	awaitDial(t, lateAddr)
	emptyBacklog() // the connection comes up when the kernel asks again, 1 s after it was asked for
	if v := awaitVerdict(t, op); v != node.DeadLettered {
		t.Errorf("got verdict %v", v)
	}
	if !dialPending(t, lateAddr) {
		t.Error("the op was answered only when the connection was established, or the connection was not late")
	}
	expectNothingSent(t, ids)
}

// TestServerMovesWhileDialing guards against work that goes to another process, which came up at the address that the server of
// a push has left: by the list the server is at another address now.
func TestServerMovesWhileDialing(t *testing.T) {
	lateAddr, ids, emptyBacklog := lateServer(t)
	newAddr, served := idServer(t)
	harness := newPolicyHarness(t, policy.Second, lateAddr)
	op := harness.submitOp("moved", "body", 6*policy.Second)
	awaitDial(t, lateAddr)
	harness.listAddrs(newAddr)
	emptyBacklog()
	if v := awaitVerdict(t, op); v != node.Acked {
		t.Errorf("got verdict %v", v)
	}
	select {
	case id := <-served:
		if id != "moved" {
			t.Errorf("the server got op %q at its new address", id)
		}
	default:
		t.Error("the server got no op at its new address")
	}
	expectNothingSent(t, ids)
}

// TestOutdatedListKeepsAddress guards against work that goes to another process because an outdated list is received again: it has
// the server at its earlier address, where that process stands now.
func TestOutdatedListKeepsAddress(t *testing.T) {
	earlierAddr, other := idServer(t)
	addr, served := idServer(t)
	harness := newPolicyHarness(t, policy.Second, earlierAddr)
	list := func(addr string, startedAt policy.Micros) *node.List {
		return &node.List{Form: policy.ListFull, Addrs: []string{addr},
			Entries: []policy.ListEntry{{Server: 1, Weight: 1, StartedAt: startedAt}}}
	}
	harness.ListReceived(list(addr, 2*policy.Second))
	harness.ListReceived(list(earlierAddr, policy.Second))
	if v := awaitVerdict(t, harness.submit("op")); v != node.Acked {
		t.Errorf("got verdict %v", v)
	}
	if len(other) > 0 || len(served) != 1 {
		t.Errorf("%d ops went to the earlier address, %d to the server", len(other), len(served))
	}
}
