package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"canvasrouter/internal/lab/harness"
)

// openIdleConnections keeps size connections open that send nothing, and opens a new one for each that the node closes. It
// counts those.
func openIdleConnections(t *testing.T, addr string, size int) (closed *atomic.Int64) {
	return holdConnections(t, addr, size, time.Hour, func(int64) string { return "" })
}

// TestIdleCrowdWhileRegistryIsDown opens idle connections until the node has no file descriptor left, while the registry is
// down. When the registry is back the node must follow the list again and learn of a drain in time. All the while it must
// answer ops and react to SIGHUP.
func TestIdleCrowdWhileRegistryIsDown(t *testing.T) {
	const sockets = 64
	var keptPushes, drainedPushes atomic.Int64
	startServer := func(count *atomic.Int64) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			count.Add(1)
			io.WriteString(w, "fine")
		})}
		go server.Serve(listener)
		t.Cleanup(func() { server.Close() })
		return listener.Addr().String()
	}
	keptAddr, drainedAddr := startServer(&keptPushes), startServer(&drainedPushes)
	registryAddr, addr := freeAddr(t), freeAddr(t)
	p := startNode(t, func(p *process) {
		p.setCachedServers(t, keptAddr, drainedAddr)
		p.Path, p.Args = "/bin/sh", []string{"sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, os.Args[0])}
	}, "127.0.0.1:8081", addr, "127.0.0.1:8500", registryAddr, `"sockets": 256`, fmt.Sprintf(`"sockets": %d`, sockets))
	awaitReady(t, addr)
	closed := openIdleConnections(t, addr, 4*sockets)
	var answered, unanswered atomic.Int64
	sendOp := func() {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return // refused: the node has not accepted the op
		}
		client := dialRaw(t, addr)
		conn.Close()
		client.send(checkoutRequest(fmt.Sprint("op-", time.Now().UnixNano())))
		if got := client.readAnswer(); strings.HasPrefix(got, "200") {
			answered.Add(1)
		} else {
			unanswered.Add(1)
		}
		client.Close()
	}
	for started := time.Now(); time.Since(started) < 1500*time.Millisecond; {
		sendOp()
	}
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	t.Logf("registry down: %d of %d descriptors open, %d idle connections closed, %d ops answered, %d not", len(descriptors), sockets, closed.Load(), answered.Load(), unanswered.Load())
	if len(descriptors) < sockets/2-4 || answered.Load() == 0 {
		t.Errorf("%d descriptors open, %d ops answered: too few idle connections, or no service", len(descriptors), answered.Load())
	}
	p.configure(t, "127.0.0.1:8081", addr, "127.0.0.1:8500", registryAddr, `"sockets": 256`, fmt.Sprintf(`"sockets": %d`, sockets))
	p.setCachedServers(t, keptAddr, drainedAddr)
	p.Process.Signal(syscall.SIGHUP) // the node needs a descriptor to read the file
	listener, err := net.Listen("tcp", registryAddr)
	if err != nil {
		t.Fatal(err)
	}
	backSince := time.Now()
	watchDelay := make(chan time.Duration, 1)
	registry := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"generation":9,"reset":false,"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"a","machineType":"m1","cell":0,"lifecycle":"leaving","weight":1,"startedAtMs":0}]}`+"\n", drainedAddr)
		w.(http.Flusher).Flush()
		select {
		case watchDelay <- time.Since(backSince):
		default:
		}
		<-r.Context().Done()
	})}
	go registry.Serve(listener)
	defer registry.Close()
	lag := harness.NewTimerLag()
	var took time.Duration
	select {
	case took = <-watchDelay:
	case <-time.After(10 * time.Second):
		t.Fatal("the node does not reconnect to the registry")
	}
	late, _ := lag.Stop()
	t.Logf("the list is followed again %v after the registry's return", took)
	if took > 4500*time.Millisecond+late {
		t.Errorf("the list is followed again after %v", took)
	}
	time.Sleep(200 * time.Millisecond)
	before := drainedPushes.Load()
	for started := time.Now(); time.Since(started) < time.Second; {
		sendOp()
	}
	if more := drainedPushes.Load() - before; more > 0 || keptPushes.Load() == 0 {
		t.Errorf("%d pushes to the draining server", more)
	}
	if total := answered.Load() + unanswered.Load(); unanswered.Load()*4 > total {
		t.Errorf("%d of %d ops not served", unanswered.Load(), total)
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if !strings.Contains(p.log.String(), "configuration taken over") {
		t.Errorf("SIGHUP had no effect: %s", p.log.String())
	}
}
