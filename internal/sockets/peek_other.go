//go:build !unix

package sockets

import "syscall"

// Peek can't tell here.
func Peek(syscall.RawConn) (bytes, stirred bool) { return false, false }
