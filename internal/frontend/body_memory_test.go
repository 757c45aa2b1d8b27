package frontend

import (
	"io"
	"strings"
	"testing"

	"canvasrouter/internal/node"
)

// TestBodyMemory guards against memory that grows with the number of clients that stop half way through a large request. What
// finds no memory is nacked at once, small bodies are served, and the memory comes back.
func TestBodyMemory(t *testing.T) {
	const largeBytes = node.MaxBodyBytes - 1024 // the answer holds more than the body
	r := startServer(t, 40, func(op *node.Op) {
		echo(op)
		op.Body.Release()
	})
	large := func() string { return newRequest("POST", "/booking", strings.Repeat("x", largeBytes)) }
	const nacked = "503 close"
	served := func(got string) bool { return strings.HasPrefix(got, "200 POST /booking x") }
	for range 3 { // the memory is free again after each
		if got := r.dial(t).roundTrip(large()); !served(got) {
			t.Fatalf("got %.40q", got)
		}
	}
	var stopped []*client
	for range testBodyBytes / node.MaxBodyBytes {
		c := r.dial(t)
		raw := large()
		io.WriteString(c.Conn, raw[:len(raw)/2])
		stopped = append(stopped, c)
	}
	awaitCondition(t, "memory is not used up", func() bool {
		free := r.bodyMemory.tryReserve(largeBytes)
		if free {
			r.bodyMemory.release(largeBytes)
		}
		return !free
	})
	if got := r.dial(t).roundTrip(large()); got != nacked {
		t.Errorf("large body: got %.40q", got)
	}
	if got := r.dial(t).roundTrip(newRequest("POST", "/booking", "x")); got != "200 POST /booking x" {
		t.Errorf("small body: got %q", got)
	}
	stopped[0].Close()
	awaitCondition(t, "memory was not freed", func() bool { return served(r.dial(t).roundTrip(large())) })
	raw := large()
	stopped[1].roundTrip(raw[len(raw)/2:])
	awaitCondition(t, "memory was not freed", func() bool { return served(r.dial(t).roundTrip(large())) })
}
