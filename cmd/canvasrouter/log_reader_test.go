package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestLogReaderLeaves guards against a node that is ended by SIGPIPE because the reader of its log has gone.
func TestLogReaderLeaves(t *testing.T) {
	addr := freeAddr(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := startNode(t, func(p *process) { p.Stderr = writer }, "127.0.0.1:8081", addr, "127.0.0.1:8181", freeAddr(t),
		"127.0.0.1:8500", freeAddr(t), `"seed"`, `"log_level": "debug", "seed"`)
	writer.Close()
	awaitReady(t, addr)
	reader.Close()
	for range 20 {
		if got := sendBooking(addr, "/booking"); !strings.HasPrefix(got, "503 ") {
			t.Fatalf("an op with no server in reach: %s", got)
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
