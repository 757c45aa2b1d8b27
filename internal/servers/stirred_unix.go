//go:build unix

package servers

import (
	"io"

	"golang.org/x/sys/unix"
)

// stirred says that bytes or an end have come on a connection that nobody has read yet. It takes nothing out and does
// not wait, also while somebody else waits to read.
func (c *conn) stirred() (yes bool) {
	if c.raw == nil {
		return false
	}
	err := c.raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		yes = err != unix.EAGAIN && err != unix.EINTR
	})
	return yes || err != nil
}

// brought says that bytes have come that nobody has read yet, also where the connection broke behind them. It takes nothing out
// and does not wait.
func (c *conn) brought() (yes bool) {
	if c.raw == nil {
		return false
	}
	c.raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		yes = n > 0 && err == nil
	})
	return yes
}

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
