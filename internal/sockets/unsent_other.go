//go:build !linux

package sockets

import "syscall"

// Unsent always returns 0: the number is not known on this platform.
func Unsent(syscall.RawConn) int { return 0 }
