package clients

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// received is what the kernel knows of a connection before this process reads.
func received(conn *net.TCPConn) (h heard) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return heard{}
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			h.since, h.nothing = time.Duration(info.Last_data_recv)*time.Millisecond, info.Bytes_received == 0
			switch info.State {
			case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING:
				h.ended = true
			}
		}
	})
	return h
}
