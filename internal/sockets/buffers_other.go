//go:build !linux

package sockets

import (
	"net"
	"syscall"
)

// Control does nothing: the limits can't be set on this platform.
func (b Buffers) Control(string, string, syscall.RawConn) error { return nil }

// SetBacklog does nothing: the system's number stays.
func SetBacklog(*net.TCPListener, int) {}
