package frontend

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"
)

// shortFields returns a number of fields of a head that are as short as they can be and still differ.
func shortFields(count int) string {
	var fields strings.Builder
	for i := range count {
		fmt.Fprintf(&fields, "%03x:\n", i)
	}
	return fields.String()
}

// TestHeadScanner guards against limits that are applied to a body, and against heads that escape them because they follow
// another request: the scanner must agree with the HTTP library on where each head begins and ends.
func TestHeadScanner(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	fields := strings.Repeat("a:\n", 1000)
	post := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\ncontent-length : 1\r\nContent-LENGTH:\t%d \r\n\r\n%s", len(fields), fields)
	for name, c := range map[string]struct {
		sent    string
		allowed int // bytes, or -1: all
		part    requestPart
	}{
		"requests":                 {get + get + "\r\n\n" + get, -1, partHead},
		"body of lines":            {post + get, -1, partHead},
		"in a body":                {post[:len(post)-1], -1, partBody},
		"same length twice":        {"POST / HTTP/1.1\nContent-Length: 5\nContent-Length: 5\n\nab\n\nc" + get, -1, partHead},
		"fields at the limit":      {"GET / HTTP/1.1\n" + shortFields(maxHeaderFields) + "\n" + get, -1, partHead},
		"too many fields":          {get + "GET / HTTP/1.1\n" + shortFields(maxHeaderFields+1), len(get) + 15 + 5*(maxHeaderFields+1), partHead},
		"bytes at the limit":       {"GET / HTTP/1.1\nX:" + strings.Repeat("x", maxHeaderBytes-19) + "\n\n", -1, partHead},
		"too many bytes":           {"GET / HTTP/1.1\nX:" + strings.Repeat("x", maxHeaderBytes-18) + "\n\n", maxHeaderBytes, partHead},
		"too many bytes in a line": {"GET /" + strings.Repeat("x", maxHeaderBytes), 0, partHead},
		"empty lines without end":  {strings.Repeat("\r\n", maxHeaderBytes), maxHeaderBytes, partHead},
		"returns without end":      {"GET / HTTP/1.1\n" + strings.Repeat("\r", 100) + "\n\n" + get, -1, partHead},
		"chunks":                   {"POST / HTTP/1.1\nTransfer-Encoding: chunked\n\n" + fields, -1, partUnknown},
		"length that continues":    {"POST / HTTP/1.1\nContent-Length:\n 3000\n\n" + fields, -1, partUnknown},
		"two lengths":              {"POST / HTTP/1.1\nContent-Length: 0\nContent-Length: 3000\n\n" + fields, -1, partUnknown},
		"length that is none":      {"POST / HTTP/1.1\nContent-Length: -1\n\n" + fields, -1, partUnknown},
		"length with zeros":        {"POST / HTTP/1.1\nContent-Length: " + strings.Repeat("0", 99) + "3000\n\n" + fields, -1, partUnknown},
		"limit in a chunked head":  {"POST / HTTP/1.1\nTransfer-Encoding: chunked\n" + shortFields(maxHeaderFields), 16 + 27 + 5*maxHeaderFields, partHead},
	} {
		for _, size := range []int{1, 7, 4096, len(c.sent)} {
			var s headScanner
			allowed := 0
			for rest := c.sent; rest != ""; rest = rest[min(size, len(rest)):] {
				allowed += s.scan([]byte(rest[:min(size, len(rest))]))
			}
			switch {
			case c.allowed < 0 && (allowed < len(c.sent) || s.limitExceeded || s.part != c.part):
				t.Errorf("%s, in pieces of %d: %d of %d bytes allowed, part %d", name, size, allowed, len(c.sent), s.part)
			case c.allowed >= 0 && (!s.limitExceeded || size == len(c.sent) && allowed != c.allowed):
				t.Errorf("%s, in pieces of %d: %d bytes allowed", name, size, allowed)
			}
		}
	}
}

// TestHeadLimits guards against large heads that are read in spite of the limits, and against an answer that its client can't
// read: also behind a request that is served, and where the client goes on sending.
func TestHeadLimits(t *testing.T) {
	r := startServer(t, 9, echo)
	good := newRequest("GET", "/checkout", "")
	large := "GET /checkout HTTP/1.1\r\nX-Odd: " + strings.Repeat("x", maxHeaderBytes)
	many := "GET /checkout HTTP/1.1\r\n" + shortFields(1000)
	for name, raw := range map[string]string{"bytes": large, "fields": many} {
		for kept, first := range map[string]string{"new": "", "kept": good} {
			t.Run(name+", "+kept, func(t *testing.T) {
				c := r.dial(t)
				if first != "" {
					if got := c.roundTrip(withNewID(first)); got != "200 GET /checkout " {
						t.Fatalf("got %q", got)
					}
				}
				go func() {
					for range 64 {
						if _, err := io.WriteString(c.Conn, raw); err != nil {
							return
						}
					}
				}()
				if got := c.readAnswer(); got != "431 close" {
					t.Errorf("got %q", got)
				}
			})
		}
	}
	t.Run("length in pieces", func(t *testing.T) { // can't be told for certain, so the connection is not kept
		c := r.dial(t)
		raw := strings.Replace(withNewID(newRequest("POST", "/booking", "body")), "Content-Length: 4", "Content-Length:\r\n 4", 1)
		if got := c.roundTrip(raw); got != "200 POST /booking body" {
			t.Errorf("got %q", got)
		}
		if got := c.roundTrip(many); got != "closed" {
			t.Errorf("then got %q", got)
		}
	})
}

// TestHeadMemory guards against memory that grows by half a megabyte for each connection whose client stops in a head of very
// many short fields.
func TestHeadMemory(t *testing.T) {
	const (
		clients         = 200
		maxBytesPerHead = 40 << 10
	)
	r := startServer(t, clients, echo)
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc + stats.StackInuse
	}
	before := heap()
	for range clients {
		io.WriteString(r.dial(t).Conn, "GET /checkout HTTP/1.1\r\n"+shortFields(2500))
	}
	time.Sleep(minBodyTimeout / 4) // the heads are read, and the connections are still open
	if perHead := (heap() - before) / clients; perHead > maxBytesPerHead {
		t.Errorf("each head takes %d bytes", perHead)
	}
}
