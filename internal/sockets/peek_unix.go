//go:build unix

package sockets

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek reports whether a connection has unread bytes, and whether anything unread was received at all: bytes, an end or an
// error. It consumes nothing and does not block, also while another goroutine is reading. With a nil raw both are false.
func Peek(raw syscall.RawConn) (unreadBytes, unreadAny bool) {
	if raw == nil {
		return false, false
	}
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unreadBytes = n > 0 && err == nil
		unreadAny = err != unix.EAGAIN && err != unix.EINTR
	})
	return unreadBytes, unreadAny || err != nil
}
