package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// silentServer starts a server that answers nothing, and reports when each connection with a whole request is closed by the node.
func silentServer(t *testing.T) (addr string, pushed chan string, given chan time.Time) {
	t.Helper()
	pushed = make(chan string, 64)
	given = make(chan time.Time, 64)
	addr = startServer(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		pushed <- request.Header.Get("X-Txn")
		in.ReadByte()
		given <- time.Now()
	})
	return addr, pushed, given
}

// TestLeaveBehindUnreadBytes guards against pushes for a client that has closed its connection with bytes unread behind its request,
// whatever their number and the size of their pieces: the close must be noticed in time.
func TestLeaveBehindUnreadBytes(t *testing.T) {
	const noticeTime = 100 * time.Millisecond // a push must not begin later after a close
	for _, limits := range []nodeLimits{{32, 1024}, {192, 256}} {
		for _, piece := range []int{40, 100, 1000, 5000, 1 << 20} {
			t.Run(fmt.Sprintf("%d MB, pieces of %d", limits.memoryMB, piece), func(t *testing.T) {
				serverAddr, pushed, given := silentServer(t)
				addr := freeAddr(t)
				startNodeWithTimeout(t, time.Minute, func(p *process) { p.setCachedServers(t, serverAddr) }, "127.0.0.1:8081", addr,
					"127.0.0.1:8500", freeAddr(t), `"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, limits.memoryMB),
					`"sockets": 256`, fmt.Sprintf(`"sockets": %d`, limits.sockets), `"max_pushes": 3`, `"max_pushes": 1`)
				awaitReady(t, addr)
				for i, unread := range []int{0, 1, 300, 700, 1000, 1500, 2000, 3000, 4000, 5000, 6000, 8000, 12_000, 20_000, 40_000, 70_000, 130_000, 400_000} {
					conn, err := net.Dial("tcp", addr)
					if err != nil {
						t.Fatal(err)
					}
					io.WriteString(conn, checkoutRequest(fmt.Sprintf("leaving-%d", i)))
					select {
					case <-pushed:
					case <-time.After(time.Second):
						t.Fatalf("%d bytes: no push", unread)
					}
					conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
					for rest := unread; rest > 0; rest -= piece {
						if _, err := io.WriteString(conn, strings.Repeat("G", min(rest, piece))); err != nil {
							break
						}
					}
					closedAt := time.Now()
					conn.Close()
					select {
					case at := <-given:
						if delay := at.Sub(closedAt); delay > noticeTime {
							t.Errorf("%d bytes: given up %v after the close", unread, delay)
						}
					case <-time.After(time.Second):
						t.Errorf("%d bytes: not given up a second after the close", unread)
						<-given
					}
				}
			})
		}
	}
}
