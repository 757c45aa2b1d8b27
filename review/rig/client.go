package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func get(addr, path string) (int, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n", path)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// NewID returns an id that no other request has.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Request is a request of a usual client.
type Request struct {
	ID        string
	Class     string
	Method    string
	Key       string
	Body      string
	Remaining time.Duration
}

// Bytes returns the request as it goes over the connection.
func (q *Request) Bytes(remaining time.Duration) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Remaining-Ms: %d\r\n",
		q.Method, q.Class, q.ID, remaining.Milliseconds())
	if q.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.Key)
	}
	if q.Method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n" + q.Body)
	return []byte(b.String())
}

// How a request ended.
const (
	Answered = "answered"      // a whole answer came
	Shut     = "shut"          // the node closed or reset the connection with no answer
	Silent   = "silent"        // nothing came, on a connection that stayed open, until half a second past the request's time
	NoConn   = "no-connection" // no connection came up
)

// End is how a request ended.
type End struct {
	Kind    string
	Status  int
	Body    string
	Took    time.Duration // from the last byte of the request
	NewConn bool          // the request was the first one on its connection
	Resent  bool          // a connection ended before its answer, so the request was sent once more on a new one
}

// Clients are the usual clients of a node: they keep connections, send one request at a time on each, and open another one
// when all are busy.
type Clients struct {
	addr string
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// NewClients returns the clients of a node.
func NewClients(addr string) *Clients { return &Clients{addr: addr} }

// Do sends a request and waits for its end, until half a second past its time at most.
func (s *Clients) Do(q *Request) End {
	start := time.Now()
	end := s.try(q, start, true)
	if end.Kind == Shut && !end.NewConn && q.Remaining > time.Since(start) {
		end = s.try(q, start, false) // the close has crossed the request
		end.Resent = true
	}
	return end
}

func (s *Clients) try(q *Request, start time.Time, mayReuse bool) (end End) {
	var c *clientConn
	s.mu.Lock()
	if n := len(s.idle); n > 0 && mayReuse {
		c, s.idle = s.idle[n-1], s.idle[:n-1]
	}
	s.mu.Unlock()
	lostAt := start.Add(q.Remaining + 500*time.Millisecond)
	if c == nil {
		end.NewConn = true
		raw, err := net.DialTimeout("tcp", s.addr, time.Until(lostAt))
		if err != nil {
			end.Kind = NoConn
			return end
		}
		c = &clientConn{Conn: raw, in: bufio.NewReader(raw)}
	}
	c.SetDeadline(lostAt)
	if _, err := c.Write(q.Bytes(q.Remaining - time.Since(start))); err != nil {
		c.Close()
		end.Kind = Shut
		return end
	}
	written := time.Now()
	response, err := http.ReadResponse(c.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	end.Took = time.Since(written)
	if err != nil {
		c.Close()
		end.Kind = Shut
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			end.Kind = Silent
		}
		return end
	}
	end.Kind, end.Status, end.Body = Answered, response.StatusCode, string(body)
	if response.Close {
		c.Close()
	} else {
		c.SetDeadline(time.Time{})
		s.mu.Lock()
		s.idle = append(s.idle, c)
		s.mu.Unlock()
	}
	return end
}
