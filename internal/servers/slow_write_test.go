package servers

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

// slowReadingServer starts a server whose connections take few bytes until release is called, and then reads one request of each.
// It reports the ids of those that came whole.
func slowReadingServer(t *testing.T) (addr string, whole <-chan string, release func()) {
	t.Helper()
	const receiveBuffer = 4 << 10 // bytes
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ids := make(chan string, 8)
	released := make(chan struct{})
	start := serverOn(t, listener, func(conn net.Conn, in *bufio.Reader) {
		<-released
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if id, err := readID(in); err == nil {
			ids <- id
			io.WriteString(conn, response("200 OK", "fine"))
		}
	})
	start()
	return listener.Addr().String(), ids, func() { close(released) }
}

// TestRepeatWrittenSlowly guards against a second effect of a deduplicated op: its repeat begins while servers still drop repeats,
// and its last byte comes after they have forgotten the op.
func TestRepeatWrittenSlowly(t *testing.T) {
	const window = 500 * policy.Millisecond
	firstAddr, arrived, breakConn := breakingServer(t)
	slowAddr, whole, release := slowReadingServer(t)
	harness := newPolicyHarness(t, window, firstAddr)
	op := harness.submitOp("repeated", strings.Repeat("b", node.MaxBodyBytes), 6*policy.Second)
	<-arrived
	harness.listAddrs(firstAddr, slowAddr)
	close(breakConn)
	time.Sleep(time.Duration(window+200*policy.Millisecond) * time.Microsecond)
	release()
	select {
	case id := <-whole:
		t.Errorf("op %q came whole after the window", id)
	case <-time.After(time.Second):
	}
	if v := awaitVerdict(t, op); v != node.DeadLettered {
		t.Errorf("got verdict %v", v)
	}
}
