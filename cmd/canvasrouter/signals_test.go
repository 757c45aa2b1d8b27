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

// pause stops the process and returns when all its threads have stopped. The process finds all events that happen
// meanwhile at once when it continues.
func (p *process) pause(t *testing.T) {
	t.Helper()
	p.Process.Signal(syscall.SIGSTOP)
	for started := time.Now(); ; time.Sleep(time.Millisecond) {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		if _, after, _ := strings.Cut(string(raw), ") "); err == nil && strings.HasPrefix(after, "T") {
			return
		}
		if time.Since(started) > 10*time.Second {
			t.Fatal("the process does not stop")
		}
	}
}

// rawConn is a client connection to which the test writes parts of requests.
type rawConn struct {
	net.Conn
	reader *bufio.Reader
}

// dialRaw opens a connection with a deadline of 10 s.
func dialRaw(t *testing.T, addr string) *rawConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &rawConn{conn, bufio.NewReader(conn)}
}

// send writes bytes.
func (r *rawConn) send(bytes string) { io.WriteString(r.Conn, bytes) }

// readAnswer returns the status and the body of the next answer.
func (r *rawConn) readAnswer() string {
	response, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(response.Body)
	return fmt.Sprint(response.StatusCode, " ", string(body), err)
}

// bookingRequest is the text of a request.
func bookingRequest(id string) string {
	return fmt.Sprintf("POST /booking/%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining-Ms: 1100\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody", id, id)
}

// TestRestartWithConcurrentRequests pauses the node while a full request arrives, the second half of another one, a request
// on a new connection, an answer, SIGTERM and SIGHUP. Then the node continues and gets SIGTERM again. Every request must
// be answered, and the node must exit with 0.
func TestRestartWithConcurrentRequests(t *testing.T) {
	pushed, finish := make(chan string, 8), make(chan bool)
	var once sync.Once
	finishAnswers := func() { once.Do(func() { close(finish) }) }
	defer finishAnswers()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Txn"); id == "answered" {
			pushed <- id
			<-finish
		}
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s", r.Header.Get("X-Txn"), body)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	defer server.Close()
	addr := freeAddr(t)
	p := startNode(t, func(*process) {}, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t), "127.0.0.1:8181", listener.Addr().String())
	awaitReady(t, addr)
	conns := map[string]*rawConn{}
	// At most four ops are in flight at once: a new node sends its only server no more, and nacks the fifth.
	for _, id := range []string{"kept", "half", "answered"} {
		conn := dialRaw(t, addr)
		conn.send(bookingRequest("first-" + id)) // so that the node has accepted the connection
		if got := conn.readAnswer(); got != "200 first-"+id+" body<nil>" {
			t.Fatalf("%s: %s", id, got)
		}
		conns[id] = conn
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
	finishAnswers()
	p.Process.Signal(syscall.SIGTERM)
	p.Process.Signal(syscall.SIGHUP)
	p.Process.Signal(syscall.SIGCONT)
	for id, conn := range conns {
		if got := conn.readAnswer(); got != "200 "+id+" body<nil>" {
			t.Errorf("%s: %s", id, got)
		}
	}
	p.Process.Signal(syscall.SIGTERM)
	for _, conn := range conns {
		conn.Close()
	}
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if !strings.Contains(p.log.String(), "configuration taken over") {
		t.Errorf("SIGHUP was lost: %s", p.log.String())
	}
}

// TestReloadWithConcurrentRequests reloads the configuration with SIGHUP. The reload removes a category that has a pending
// op and changes the number of another category while half of a request for it has been read. Both ops must end under the
// old settings, with one push each, and requests that arrive later must follow the new ones.
func TestReloadWithConcurrentRequests(t *testing.T) {
	pushed, finish := make(chan bool, 1), make(chan bool)
	var mu sync.Mutex
	pushes := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		pushes[r.Header.Get("X-Txn")]++
		mu.Unlock()
		switch r.Header.Get("X-Txn") {
		case "held":
			pushed <- true
			<-finish
		case "half": // may have run: its own category forbids a second push, the one that now has its number allows it
			io.Copy(io.Discard, r.Body)
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}
			return
		}
		fmt.Fprint(w, r.Header.Get("X-Txn"))
	}))
	defer server.Close()
	finishAnswers := sync.OnceFunc(func() { close(finish) })
	defer finishAnswers()
	addr := freeAddr(t)
	with := func(more []string) []string {
		return append([]string{"127.0.0.1:8500", freeAddr(t), "127.0.0.1:8081", addr, "127.0.0.1:8181", strings.TrimPrefix(server.URL, "http://")}, more...)
	}
	p := startNode(t, func(*process) {}, with(changedSettings)...)
	awaitReady(t, addr)
	request := func(line, id, more string) string {
		return fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining-Ms: 9000\r\n%s\r\n", line, id, more)
	}
	pending, half := dialRaw(t, addr), dialRaw(t, addr)
	half.send(request("POST /pay/1", "half", "Expect: 100-continue\r\nContent-Length: 4\r\n"))
	// The node asks for the body when it has read the header, under the current settings.
	if line, err := half.reader.ReadString('\n'); !strings.Contains(line, "100") {
		t.Fatalf("%q, %v", line, err)
	}
	half.reader.ReadString('\n')
	half.send("bo")
	pending.send(request("GET /lookup", "held", ""))
	<-pushed
	p.configure(t, with(baseSettings)...)
	p.Process.Signal(syscall.SIGHUP)
	for started := time.Now(); ; {
		later := dialRaw(t, addr)
		later.send(request("GET /lookup", fmt.Sprint("later-", time.Since(started)), ""))
		if strings.HasPrefix(later.readAnswer(), "404 ") { // the category was removed
			break
		}
		if time.Since(started) > 10*time.Second {
			t.Fatal("the category was not removed")
		}
	}
	half.send("dy")
	if answer := half.readAnswer(); answer != "502 <nil>" {
		t.Errorf("the half request: %s", answer)
	}
	finishAnswers()
	if answer := pending.readAnswer(); answer != "200 held<nil>" {
		t.Errorf("the pending op: %s", answer)
	}
	mu.Lock()
	defer mu.Unlock()
	if pushes["held"] != 1 || pushes["half"] != 1 {
		t.Errorf("pushes: %v", pushes)
	}
}
