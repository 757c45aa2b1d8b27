//go:build !linux

package frontend

import "net"

// readTCPState returns the zero state, since there is no TCP_INFO on this platform. So an op's remaining time counts from when
// it is read, and new connections are not closed to free sockets.
func readTCPState(*net.TCPConn) tcpState { return tcpState{} }

// readBuffered always returns zero: unread bytes can't be counted on this platform.
func readBuffered(*net.TCPConn) (unread, capacity int) { return 0, 0 }
