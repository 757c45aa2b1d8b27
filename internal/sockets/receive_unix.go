//go:build unix

package sockets

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
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
		received, errno := readOnce(int(fd), b)
		if errno == syscall.EAGAIN {
			return false
		}
		n, err = track(b[:received], readError(received, errno))
		return true
	})
	if readErr != nil { // closed, or the deadline has passed
		mu.Lock()
		defer mu.Unlock()
		return track(nil, readErr)
	}
	return n, err
}

// readOnce reads what has arrived. It uses package syscall like package net does, since the race detector follows reads and
// writes through one package only.
func readOnce(fd int, b []byte) (int, error) {
	n, errno := syscall.Read(fd, b)
	for errno == syscall.EINTR {
		n, errno = syscall.Read(fd, b)
	}
	return max(0, n), errno
}

// readError returns the error that net.Conn has for the result of a read.
func readError(n int, errno error) error {
	switch {
	case errno != nil:
		return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
	case n == 0:
		return io.EOF
	}
	return nil
}
