package clients

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// received is how long ago the last byte of a connection came, or that none has: the kernel knows before this
// process reads.
func received(conn *net.TCPConn) (since time.Duration, nothing bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since, nothing = time.Duration(info.Last_data_recv)*time.Millisecond, info.Bytes_received == 0
		}
	})
	return since, nothing
}
