package frontend

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// readTCPState returns the kernel's state of a connection, including bytes that this process has not read. It is zero if the
// kernel can't be asked.
func readTCPState(conn *net.TCPConn) (state tcpState) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return tcpState{}
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state.sinceLastByte = time.Duration(info.Last_data_recv) * time.Millisecond
			state.noBytes = info.Bytes_received == 0
			switch info.State {
			case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING:
				state.clientClosed = true
			}
		}
	})
	return state
}

// readBuffered returns how many bytes of a connection have not been read, and how many the kernel may hold. Both are zero if the
// kernel can't be asked.
func readBuffered(conn *net.TCPConn) (unread, capacity int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, 0
	}
	raw.Control(func(fd uintptr) {
		if unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			capacity, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
		}
	})
	if err != nil {
		return 0, 0
	}
	return unread, capacity
}
