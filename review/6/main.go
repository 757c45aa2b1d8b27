// Case 6: among some hundred clients that send heads without end, usual clients get no answer.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"canvasrouter/review/rig2"
)

const (
	users       = 60                     // usual clients, with one connection each
	think       = 100 * time.Millisecond // from an answer to a client's next request
	ttl         = 1200 * time.Millisecond
	patience    = 3 * time.Second        // how long a client waits until it calls the answer missing
	lateBy      = 500 * time.Millisecond // up to this after its time an answer only earns nothing
	slack       = 50 * time.Millisecond  // of each time limit on sockets
	badClients  = 900                    // clients that send heads without end
	quietBefore = 2 * time.Second
	duration    = 20 * time.Second
)

// crowd is the variable that holds the node's address in the process of the bad clients.
const crowd = "CROWD"

func main() {
	if addr := os.Getenv(crowd); addr != "" {
		sendEndlessHeads(addr)
		return
	}
	c := rig2.Start()
	var list []rig2.Instance
	for i := range 10 {
		server := c.StartServer(fmt.Sprintf("s-%04x", i), i/4, func(a *rig2.Arrival) bool {
			time.Sleep(30 * time.Millisecond)
			fmt.Fprint(a.Conn, rig2.Ok("made for "+a.ID))
			return true
		})
		list = append(list, server.Instance)
	}
	registry := c.StartRegistry(list)
	node := c.StartNode("n1", rig2.Config(c.FreeAddr(), registry.Addr, registry.List(), 192, 1024, rig2.Settings(rig2.Mty()...)))
	var sent, answered, late, missing, crossed atomic.Int64
	end := time.Now().Add(quietBefore + duration)
	var all sync.WaitGroup
	for user := range users {
		all.Go(func() {
			client := &client{addr: node.Addr}
			defer client.close()
			for number := 0; time.Now().Before(end); number++ {
				id := fmt.Sprintf("%08x%08x", user, number)
				request := rig2.Request("booking", id, strings.Repeat("0", 16)+id, ttl, "a booking")
				sent.Add(1)
				status, took, err := client.do(request)
				c.Log("client %d, request %s: %d after %.3f s, %v", user, id, status, took.Seconds(), err)
				switch {
				case errors.Is(err, os.ErrDeadlineExceeded):
					missing.Add(1)
				case err != nil:
					crossed.Add(1)
				case took > ttl+lateBy+slack+c.Lag():
					late.Add(1)
				default:
					answered.Add(1)
				}
				time.Sleep(think)
			}
		})
	}
	if c.Trouble {
		time.Sleep(quietBefore)
		c.Log("%d clients begin to send heads without end", badClients)
		c.StartSelf(crowd + "=" + node.Addr)
	}
	all.Wait()
	select {
	case <-node.Ended:
		c.Say("the node has ended")
		c.End(rig2.Broken)
	default:
	}
	c.Say("%d requests of usual clients: %d answered within %v and %v, %d later, %d not within %v, %d on connections closed twice",
		sent.Load(), answered.Load(), ttl, lateBy+slack, late.Load(), missing.Load(), patience, crossed.Load())
	if late.Load()+missing.Load() > 0 {
		c.Say("the rule was broken: requests had no answer half a second after their time")
		c.End(rig2.Broken)
	}
	c.Say("the rule held")
	c.End(rig2.Held)
}

// client is a usual client. It keeps its connection.
type client struct {
	addr string
	conn net.Conn
	in   *bufio.Reader
}

// do sends a request and returns the status of its answer, and how long that took from the request's last byte on. A request
// whose connection has been closed without an answer is sent once more, on a new connection.
func (c *client) do(request string) (status int, took time.Duration, err error) {
	for range 2 {
		if c.conn == nil {
			if c.conn, err = net.DialTimeout("tcp", c.addr, patience); err != nil {
				return 0, 0, err
			}
			c.in = bufio.NewReader(c.conn)
		}
		start := time.Now()
		status, _, err = rig2.Exchange(c.conn, c.in, request, patience)
		took = time.Since(start)
		if err == nil {
			return status, took, nil
		}
		c.close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, took, err
		}
	}
	return 0, took, err
}

// close closes the connection.
func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// sendEndlessHeads plays the bad clients: each sends a head without end, at full speed, until it is sent something or the
// connection is closed, and does the same again.
func sendEndlessHeads(addr string) {
	end := time.Now().Add(duration)
	lines := []byte(strings.Repeat("X-Note: "+strings.Repeat("n", 1000)+"\r\n", 4))
	var all sync.WaitGroup
	for range badClients {
		all.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", addr, patience)
				if err != nil {
					time.Sleep(think)
					continue
				}
				conn.SetDeadline(time.Now().Add(2 * patience))
				go func() {
					conn.Read(make([]byte, 512))
					conn.Close()
				}()
				_, err = conn.Write([]byte("GET /availability HTTP/1.1\r\nHost: backend.local\r\n"))
				for err == nil {
					_, err = conn.Write(lines)
				}
				conn.Close()
			}
		})
	}
	all.Wait()
}
