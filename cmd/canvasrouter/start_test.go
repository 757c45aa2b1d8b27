package main

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// TestAddressInUseAtStart guards against a node that does not start because another process holds its address for a moment.
func TestAddressInUseAtStart(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := other.Addr().String()
	p := startNode(t, func(*process) {}, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t))
	time.Sleep(500 * time.Millisecond)
	other.Close()
	awaitReady(t, addr)
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v, log %s", err, p.log.String())
	}
}
