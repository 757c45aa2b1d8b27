//go:build unix

package sockets

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek says whether bytes have come on a connection that nobody has read yet, and whether anything has: bytes, an end or a break.
// It takes nothing out and does not wait, also while somebody else waits to read. Without raw nothing is told.
func Peek(raw syscall.RawConn) (bytes, stirred bool) {
	if raw == nil {
		return false, false
	}
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		bytes, stirred = n > 0 && err == nil, err != unix.EAGAIN && err != unix.EINTR
	})
	return bytes, stirred || err != nil
}
