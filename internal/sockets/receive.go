package sockets

import (
	"net"
	"sync"
)

// readThenTrack does the work of ReadLocked in two separate steps, where they can't be combined.
func readThenTrack(conn net.Conn, mu sync.Locker, b []byte, track func(b []byte, err error) (int, error)) (int, error) {
	n, err := conn.Read(b)
	mu.Lock()
	defer mu.Unlock()
	return track(b[:n], err)
}
