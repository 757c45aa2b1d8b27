//go:build unix

package servers

import (
	"io"

	"golang.org/x/sys/unix"
)

// receive reads and follows in one step, as fit sees it. Danger: bytes taken out of the kernel while no push was out, by
// a reader that then had to wait for its core, would be followed as the answer to a push that began meanwhile.
func (c *conn) receive(b []byte) (n int, err error) {
	if c.raw == nil {
		return c.receiveAnyhow(b)
	}
	over := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = unix.Read(int(fd), b)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			return false
		case n == 0 && err == nil:
			err = io.EOF
		}
		n, err = c.follow(b[:max(0, n)], err)
		return true
	})
	if over != nil { // closed, or past its deadline
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.follow(nil, over)
	}
	return n, err
}
