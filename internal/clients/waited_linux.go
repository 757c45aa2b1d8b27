package clients

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// waited is how long ago the last byte of a connection came: the kernel has it before this process reads it.
func waited(conn *net.TCPConn) time.Duration {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	var since time.Duration
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}
