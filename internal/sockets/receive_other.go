//go:build !unix

package sockets

import (
	"net"
	"sync"
	"syscall"
)

// ReadLocked reads from a connection and tracks what was read. A connection can't be read while holding mu on this platform,
// so these are two steps, and mayRead is not asked.
func ReadLocked(conn net.Conn, _ syscall.RawConn, mu sync.Locker, b []byte, _ func() error,
	track func(b []byte, err error) (int, error)) (int, error) {
	return readThenTrack(conn, mu, b, track)
}
