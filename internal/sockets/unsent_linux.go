package sockets

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Unsent returns how many bytes that were written to a connection its peer has not acknowledged. With a nil raw there are none.
func Unsent(raw syscall.RawConn) (unsent int) {
	if raw == nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if bytes, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unsent = bytes
		}
	})
	return unsent
}
