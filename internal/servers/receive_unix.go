//go:build unix

package servers

import (
	"io"

	"golang.org/x/sys/unix"
)

// receive reads and tracks bytes while holding mu, so that both are one step for beginWrite. Otherwise bytes that were read
// while no push was in flight, by a goroutine that was then delayed, would be taken for the answer to a push that began in
// the meantime.
func (c *conn) receive(b []byte) (n int, err error) {
	if c.rawConn == nil {
		return c.readThenTrack(b)
	}
	readErr := c.rawConn.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = unix.Read(int(fd), b)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			return false
		case n == 0 && err == nil:
			err = io.EOF
		}
		n, err = c.track(b[:max(0, n)], err)
		return true
	})
	if readErr != nil { // closed, or the deadline has passed
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.track(nil, readErr)
	}
	return n, err
}
