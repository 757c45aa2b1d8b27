// Command case2 plays clients that stop in the middle of a request and stay, and looks whether the usual clients of the node
// still get their final answers.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"canvasrouter/review/rig"
)

const (
	length     = 20 * time.Second
	troubleAt  = 8 * time.Second
	perSecond  = 40
	sockets    = 256 // "256 to 1,024 descriptors"
	stopping   = 250 // clients that stop in the middle of a request and stay: "by hundreds"
	answerTime = 40 * time.Millisecond
)

func main() {
	r := rig.NewRun(os.Args[1])
	serve := func(c *rig.ServerConn, request *http.Request) bool {
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(answerTime)))
		body := "answer to " + request.Header.Get("X-Txn")
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
	zones := []string{"sitio-a"}
	var list []rig.Instance
	for i := range 4 {
		list = append(list, rig.Instance{ID: fmt.Sprintf("s-%04x", 0x5be2+i*77), Addr: r.StartServer(serve), Zone: zones[0],
			Kind: "front-std", Lifecycle: "active", Weight: 1})
	}
	registry := r.StartRegistry(list)
	settings := rig.Settings([]rig.Object{rig.Availability(), rig.CalendarView(), rig.Booking("deduplicated")}, zones)
	node := r.StartNode("n0", registry.Known(), registry.Addr, sockets, settings)
	clients := rig.NewClients(node.Addr)
	r.Say("one node with %d descriptors, 4 servers, %d requests a second for %v; %d clients that stop in a request and stay: %v",
		sockets, perSecond, length, stopping, r.Trouble)

	var mu sync.Mutex
	var staying []net.Conn
	var slowest time.Duration
	stopped := 0
	if r.Trouble {
		time.AfterFunc(troubleAt, func() {
			for i := range stopping {
				c, err := net.DialTimeout("tcp", node.Addr, time.Second)
				if err != nil {
					r.Logf("stopping client %d: %v", i, err)
					continue
				}
				connected := time.Now()
				fmt.Fprintf(c, "GET /calendar-view HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Rem", rig.NewID())
				mu.Lock()
				staying = append(staying, c)
				stopped++
				mu.Unlock()
				go func() { // it reads what it is sent, and stays until the node ends the connection
					c.Read(make([]byte, 512))
					took := time.Since(connected)
					mu.Lock()
					slowest = max(slowest, took)
					mu.Unlock()
					c.Close()
				}()
			}
			r.Logf("%d clients have stopped in the middle of a request", stopping)
		})
	}
	ends := map[string]int{}
	var sent int
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Second / perSecond)
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		sent++
		wait.Go(func() {
			q := newRequest()
			e := clients.Do(q)
			mu.Lock()
			defer mu.Unlock()
			ends[e.Kind]++
			if e.Kind != rig.Answered || e.Took > q.Remaining {
				r.Logf("client: %s %s with %v: %s %d after %v (first on its connection: %v, sent once more: %v)", q.Class, q.ID,
					q.Remaining, e.Kind, e.Status, e.Took, e.NewConn, e.Resent)
			}
		})
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.Say("%d requests sent: %d answered, %d with no answer until half a second past their time on a connection that stayed open, "+
		"%d shut with no answer, %d without a connection", sent, ends[rig.Answered], ends[rig.Silent], ends[rig.Shut], ends[rig.NoConn])
	r.Say("clients that stopped: %d; the longest wait for an error or a close was %v", stopped, slowest)
	switch {
	case ends[rig.Answered] < sent/4:
		r.Finish(rig.CouldNot, "too little was answered")
	case r.Trouble && stopped < stopping*9/10:
		r.Finish(rig.CouldNot, "too few clients could connect")
	case ends[rig.Silent] > 0:
		r.Finish(rig.Broken, "rule broken: requests that the node's machine had taken got no answer")
	}
	r.Finish(rig.Held, "the rule held")
}

func newRequest() *rig.Request {
	share := 0.42 + 0.38*rand.Float64() // a try is given up after 42 to 80% of the TTL
	switch x := rand.Float64(); {
	case x < 0.16:
		return &rig.Request{ID: rig.NewID(), Class: "availability", Method: "GET", Remaining: time.Duration(share * float64(3*time.Second))}
	case x < 0.68:
		return &rig.Request{ID: rig.NewID(), Class: "calendar-view", Method: "GET", Remaining: time.Duration(share * float64(2500*time.Millisecond))}
	}
	return &rig.Request{ID: rig.NewID(), Class: "booking", Method: "POST", Key: rig.NewID() + rig.NewID(), Body: strings.Repeat("b", 200),
		Remaining: time.Duration(share * float64(1200*time.Millisecond))}
}
