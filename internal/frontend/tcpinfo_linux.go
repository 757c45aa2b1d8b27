package frontend

import (
	"net"
	"time"
	"unsafe"

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

// Layout of the value of unix.SO_MEMINFO (linux/sock_diag.h).
const (
	memoryReceived  = 0 // index of the memory that received bytes take
	memoryCapacity  = 1 // index of its limit
	memoryInfoCount = 9
)

// readBuffered returns how much memory the received and unread bytes of a connection take, and how much the kernel allows. It is more
// than the bytes, since each piece that has arrived has an overhead. Both are zero if the kernel can't be asked.
func readBuffered(conn *net.TCPConn) (unread, capacity int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, 0
	}
	raw.Control(func(fd uintptr) {
		var info [memoryInfoCount]uint32
		size := uint32(unsafe.Sizeof(info))
		_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.SOL_SOCKET, unix.SO_MEMINFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		if errno == 0 {
			unread, capacity = int(info[memoryReceived]), int(info[memoryCapacity])
			return
		}
		if unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil { // the bytes alone, where the kernel does not tell more
			capacity, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
		}
	})
	return unread, capacity
}
