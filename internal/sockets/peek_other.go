//go:build !unix

package sockets

import "syscall"

// Peek always reports false: unread data can't be detected on this platform.
func Peek(syscall.RawConn) (unreadBytes, unreadAny bool) { return false, false }
