package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// hold stops the node, and returns once all its threads stand: what happens now it finds all together when it goes on.
func (p *process) pause(t *testing.T) {
	t.Helper()
	p.Process.Signal(syscall.SIGSTOP)
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		if _, after, _ := strings.Cut(string(raw), ") "); err == nil && strings.HasPrefix(after, "T") {
			return
		}
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the node does not stop")
		}
	}
}

// raw is a client's connection that the test writes by pieces.
type rawConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialRaw(t *testing.T, addr string) *rawConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &rawConn{c, bufio.NewReader(c)}
}

func (r *rawConn) send(bytes string) { io.WriteString(r.Conn, bytes) }

func (r *rawConn) readAnswer() string {
	response, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(response.Body)
	return fmt.Sprint(response.StatusCode, " ", string(body), err)
}

func bookingRequest(id string) string {
	return fmt.Sprintf("POST /booking/%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining-Ms: 1100\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody", id, id)
}

// The node is stopped; meanwhile a request comes whole, another one's second half, one on a new connection, an answer, SIGTERM
// and SIGHUP; then it goes on, and SIGTERM comes once more. Everything taken has its answer, and the node exits 0.
func TestRestartWithConcurrentRequests(t *testing.T) {
	pushed, finish := make(chan string, 8), make(chan bool)
	var once sync.Once
	done := func() { once.Do(func() { close(finish) }) }
	defer done()
	stand := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Txn"); id == "answered" {
			pushed <- id
			<-finish
		}
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s", r.Header.Get("X-Txn"), body)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go stand.Serve(l)
	defer stand.Close()
	addr := freeAddr(t)
	p := startNode(t, func(*process) {}, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t), "127.0.0.1:8181", l.Addr().String())
	awaitReady(t, addr)
	conns := map[string]*rawConn{}
	// Four ops at the most are out together: a fresh node gives its one server no more at once, and nacks the fifth.
	for _, id := range []string{"kept", "half", "answered"} {
		c := dialRaw(t, addr)
		c.send(bookingRequest("first-" + id)) // so that the node has the connection, and serves it
		if got := c.readAnswer(); got != "200 first-"+id+" body<nil>" {
			t.Fatalf("%s: %s", id, got)
		}
		conns[id] = c
	}
	half := bookingRequest("half")
	conns["half"].send(half[:len(half)-2])
	conns["answered"].send(bookingRequest("answered"))
	<-pushed
	p.pause(t)
	conns["kept"].send(bookingRequest("kept"))
	conns["half"].send(half[len(half)-2:])
	conns["backlog"] = dialRaw(t, addr)
	conns["backlog"].send(bookingRequest("backlog"))
	done() // the servers answer
	p.Process.Signal(syscall.SIGTERM)
	p.Process.Signal(syscall.SIGHUP)
	p.Process.Signal(syscall.SIGCONT)
	for id, c := range conns {
		if got := c.readAnswer(); got != "200 "+id+" body<nil>" {
			t.Errorf("%s: %s", id, got)
		}
	}
	p.Process.Signal(syscall.SIGTERM)
	for _, c := range conns {
		c.Close()
	}
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if !strings.Contains(p.log.String(), "configuration taken over") {
		t.Errorf("SIGHUP was lost: %s", p.log.String())
	}
}

// SIGHUP removes a category while an op of it is in hand, and moves another one's place while half a request of it is read: both
// end under the settings that read them, once, and what comes from then on is read by the new ones.
func TestReloadWithConcurrentRequests(t *testing.T) {
	held, finish := make(chan bool, 1), make(chan bool)
	var mu sync.Mutex
	seen := map[string]int{}
	stand := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.Header.Get("X-Txn")]++
		mu.Unlock()
		switch r.Header.Get("X-Txn") {
		case "held":
			held <- true
			<-finish
		case "half": // it may have run: by its own category it must not run again, by the one that has its place now it may
			io.Copy(io.Discard, r.Body)
			if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			return
		}
		fmt.Fprint(w, r.Header.Get("X-Txn"))
	}))
	defer stand.Close()
	done := sync.OnceFunc(func() { close(finish) })
	defer done()
	addr := freeAddr(t)
	with := func(more []string) []string {
		return append([]string{"127.0.0.1:8500", freeAddr(t), "127.0.0.1:8081", addr, "127.0.0.1:8181", strings.TrimPrefix(stand.URL, "http://")}, more...)
	}
	p := startNode(t, func(*process) {}, with(changedSettings)...)
	awaitReady(t, addr)
	request := func(line, id, more string) string {
		return fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining-Ms: 9000\r\n%s\r\n", line, id, more)
	}
	inHand, half := dialRaw(t, addr), dialRaw(t, addr)
	half.send(request("POST /pay/1", "half", "Expect: 100-continue\r\nContent-Length: 4\r\n"))
	// The node asks for the body once it has read the head, by the settings that stand.
	if line, err := half.reader.ReadString('\n'); !strings.Contains(line, "100") {
		t.Fatalf("%q, %v", line, err)
	}
	half.reader.ReadString('\n')
	half.send("bo")
	inHand.send(request("GET /lookup", "held", ""))
	<-held
	p.configure(t, with(baseSettings)...)
	p.Process.Signal(syscall.SIGHUP)
	for begun := time.Now(); ; {
		later := dialRaw(t, addr)
		later.send(request("GET /lookup", fmt.Sprint("later-", time.Since(begun)), ""))
		if strings.HasPrefix(later.readAnswer(), "404 ") { // the category is gone
			break
		}
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the category is still there")
		}
	}
	half.send("dy")
	if answer := half.readAnswer(); answer != "502 <nil>" {
		t.Errorf("the half request: %s", answer)
	}
	done()
	if answer := inHand.readAnswer(); answer != "200 held<nil>" {
		t.Errorf("the op in hand: %s", answer)
	}
	mu.Lock()
	defer mu.Unlock()
	if seen["held"] != 1 || seen["half"] != 1 {
		t.Errorf("pushes: %v", seen)
	}
}
