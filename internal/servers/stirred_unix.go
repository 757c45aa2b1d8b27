//go:build unix

package servers

import (
	"net"

	"golang.org/x/sys/unix"
)

// stirred says that bytes or an end have come on a connection that nobody has read yet. It takes nothing out and does
// not wait, also while somebody else waits to read.
func stirred(conn net.Conn) (yes bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		yes = err != unix.EAGAIN && err != unix.EINTR
	})
	return yes || err != nil
}
