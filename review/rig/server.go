package rig

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// ServerConn is a connection to a stand-in server.
type ServerConn struct {
	net.Conn
	In *bufio.Reader
}

// Waiting waits for at most a duration and reports whether anything has come on the connection: a byte, or its end.
func (c *ServerConn) Waiting(d time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(d))
	_, err := c.In.Peek(1)
	c.SetReadDeadline(time.Time{})
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return false
	}
	return true
}

// AtEnd reports whether the node has ended the connection in the ordinary way, with nothing unread.
func (c *ServerConn) AtEnd() bool {
	_, err := c.In.Peek(1)
	return err == io.EOF
}

// CloseWrite ends the sending side.
func (c *ServerConn) CloseWrite() { c.Conn.(*net.TCPConn).CloseWrite() }

// serverIdle is after how long without a request a server closes a connection, the settings' idle_close.
const serverIdle = 5 * time.Second

// StartServer starts a server that calls serve for each request, once its last byte has come. The connection is closed
// where serve returns false.
func (r *Run) StartServer(serve func(c *ServerConn, request *http.Request) bool) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	go func() {
		for {
			accepted, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				c := &ServerConn{Conn: accepted, In: bufio.NewReader(accepted)}
				defer c.Close()
				for {
					c.SetReadDeadline(time.Now().Add(serverIdle))
					request, err := http.ReadRequest(c.In)
					if err != nil {
						return
					}
					c.SetReadDeadline(time.Now().Add(serverIdle))
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					c.SetReadDeadline(time.Time{})
					if !serve(c, request) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// StartLink starts a link to a server that delays what it carries by a one-way time in each direction, and calls seen for
// what comes from the node, as it comes.
func (r *Run) StartLink(server string, oneWay time.Duration, seen func(data []byte)) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", server)
			if err != nil {
				near.Close()
				continue
			}
			go carry(near, far, oneWay, seen)
			go carry(far, near, oneWay, nil)
		}
	}()
	return l.Addr().String()
}

type chunk struct {
	data []byte
	due  time.Time
}

// carry copies from one connection to the other, each chunk a one-way time after it has come. The end is carried too.
func carry(from, to net.Conn, oneWay time.Duration, seen func(data []byte)) {
	chunks := make(chan chunk, 256)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, 16<<10)
			n, err := from.Read(data)
			if n > 0 {
				if seen != nil {
					seen(data[:n])
				}
				chunks <- chunk{data[:n], time.Now().Add(oneWay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		to.Write(c.data)
	}
	time.Sleep(oneWay)
	to.Close()
}
