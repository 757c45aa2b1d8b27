package sockets

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestDialDuringShortage guards against servers that count as down because this machine had no socket for a moment.
func TestDialDuringShortage(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		failures := 3
		dialer := &Dialer{Budget: NewBudget(1)}
		dialer.Timeout = 5 * time.Second
		dialer.Control = func(string, string, syscall.RawConn) error {
			if failures--; failures >= 0 {
				return errno
			}
			return nil
		}
		conn, err := dialer.Dial(context.Background(), "tcp", listener.Addr().String())
		if err != nil {
			t.Errorf("%v: %v", errno, err)
			continue
		}
		conn.Close()
	}
}
