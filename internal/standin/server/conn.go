package server

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/policy"
)

// nothing is for net/http's complaints of the breaks that are made on purpose.
var nothing = log.New(io.Discard, "", 0)

type connKey struct{}

// connection is what the first request on one pays for.
type connection struct {
	net.Conn
	used atomic.Bool
}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connection{Conn: c})
}

// price is what a request costs for being the first on its connection.
func price(r *http.Request, kind *scenario.MachineType) policy.Micros {
	c, ok := r.Context().Value(connKey{}).(*connection)
	if !ok || c.used.Swap(true) {
		return 0
	}
	return kind.ConnectionCost.Micros()
}

// raw writes bytes that net/http would not, and resets the connection.
func raw(w http.ResponseWriter, bytes string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(c, bytes)
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// abort resets the connection without an answer.
func abort(w http.ResponseWriter) {
	raw(w, "")
	panic(http.ErrAbortHandler)
}
