package sockets

import "net"

// Buffers limits the memory that the kernel takes for the buffers of one socket, in bytes. A limit of zero is the kernel's own, which
// grows with the traffic.
type Buffers struct{ Receive, Send int }

// Apply sets the limits of a connection that was accepted on a listener with smaller ones. A connection without limits works, too,
// so a failure is not an error.
func (b Buffers) Apply(conn *net.TCPConn) {
	if raw, err := conn.SyscallConn(); err == nil {
		b.Control("", "", raw)
	}
}
