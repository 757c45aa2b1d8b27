//go:build !unix

package servers

// receive reads and tracks bytes. A connection can't be read while holding mu on this platform.
func (c *conn) receive(b []byte) (int, error) { return c.readThenTrack(b) }
