package sockets

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// kernelOverhead is how much more than the value of a buffer option the kernel takes, for what it keeps beside the bytes.
const kernelOverhead = 2

// Control sets the limits of a socket. It has the form of net.Dialer.Control and net.ListenConfig.Control.
func (b Buffers) Control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		if b.Receive > 0 {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, b.Receive/kernelOverhead)
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, b.Receive/kernelOverhead)
		}
		if b.Send > 0 {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, b.Send/kernelOverhead)
		}
	})
}

// SetBacklog changes how many connections may wait to be accepted on a listener. The system may allow fewer.
func SetBacklog(listener *net.TCPListener, size int) {
	if raw, err := listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { unix.Listen(int(fd), size) })
	}
}
