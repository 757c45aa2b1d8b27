//go:build unix

package sockets

import (
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReadLocked reads from a connection, and tracks what was read while still holding mu, so that both are one step for others
// that lock mu. mu is not held while the read waits for bytes. Nothing is read once mayRead returns an error. track gets the
// bytes and the error of the read, and returns the result of ReadLocked. With a nil raw, reading and tracking are two steps.
func ReadLocked(conn net.Conn, raw syscall.RawConn, mu sync.Locker, b []byte, mayRead func() error,
	track func(b []byte, err error) (int, error)) (n int, err error) {
	if raw == nil {
		return readThenTrack(conn, mu, b, track)
	}
	readErr := raw.Read(func(fd uintptr) bool {
		mu.Lock()
		defer mu.Unlock()
		if err = mayRead(); err != nil {
			return true
		}
		n, err = unix.Read(int(fd), b)
		for err == unix.EINTR {
			n, err = unix.Read(int(fd), b)
		}
		switch {
		case err == unix.EAGAIN:
			return false
		case n == 0 && err == nil:
			err = io.EOF
		}
		n, err = track(b[:max(0, n)], err)
		return true
	})
	if readErr != nil { // closed, or the deadline has passed
		mu.Lock()
		defer mu.Unlock()
		return track(nil, readErr)
	}
	return n, err
}
