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

// discardLog swallows the errors that net/http logs about connections broken on purpose.
var discardLog = log.New(io.Discard, "", 0)

// connKey is the context key of a request's connection.
type connKey struct{}

// connection records whether a connection has carried a request: the first one pays for its setup.
type connection struct {
	net.Conn
	used atomic.Bool
}

// withConn adds a new connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connection{Conn: c})
}

// connectionCost returns the extra work of the first request on a connection, and 0 for further ones.
func connectionCost(r *http.Request, machineType *scenario.MachineType) policy.Micros {
	c, ok := r.Context().Value(connKey{}).(*connection)
	if !ok || c.used.Swap(true) {
		return 0
	}
	return machineType.ConnectionCost.Micros()
}

// writeRawAndReset writes bytes past net/http, so that they need not be valid HTTP, and resets the connection.
func writeRawAndReset(w http.ResponseWriter, response string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(c, response)
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// abort resets the connection without an answer.
func abort(w http.ResponseWriter) {
	writeRawAndReset(w, "")
	panic(http.ErrAbortHandler)
}
