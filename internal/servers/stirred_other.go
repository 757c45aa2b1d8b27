//go:build !unix

package servers

// stirred can't be told here.
func (c *conn) stirred() bool { return false }

func (c *conn) receive(b []byte) (int, error) { return c.receiveAnyhow(b) }

func (c *conn) brought() bool { return false }
