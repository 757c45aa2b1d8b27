package rig2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Do sends a request on a connection of its own and returns the status and the body of the answer.
func Do(addr, request string, timeout time.Duration) (status int, body []byte, err error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	return Exchange(conn, bufio.NewReader(conn), request, timeout)
}

// Exchange sends a request on a connection and reads the answer to its end.
func Exchange(conn net.Conn, in *bufio.Reader, request string, timeout time.Duration) (status int, body []byte, err error) {
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err = io.WriteString(conn, request); err != nil {
		return 0, nil, err
	}
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	body, err = io.ReadAll(answer.Body)
	return answer.StatusCode, body, err
}

// Instance is a server on the list.
type Instance struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// Document is a list in the registry's form.
type Document struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Registry is a stand-in for discovery. It sends the whole list first and each change as it is made.
type Registry struct {
	Addr    string
	mu      sync.Mutex // guards the fields below
	list    Document
	changed chan struct{} // closed at the next change
	history []Document
}

// StartRegistry starts a registry with a list.
func (c *Case) StartRegistry(instances []Instance) *Registry {
	l := c.Listen()
	r := &Registry{Addr: l.Addr().String(), changed: make(chan struct{})}
	r.list = Document{Generation: 41, Reset: true, Instances: instances}
	go http.Serve(l, r)
	return r
}

// List returns the whole list.
func (r *Registry) List() Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

// Change makes a change of one server.
func (r *Registry) Change(changed Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Generation++
	var instances []Instance
	for _, i := range r.list.Instances {
		if i.ID != changed.ID {
			instances = append(instances, i)
		}
	}
	if changed.Lifecycle != "left" {
		instances = append(instances, changed)
	}
	r.list.Instances = instances
	r.history = append(r.history, Document{Generation: r.list.Generation, Instances: []Instance{changed}})
	close(r.changed)
	r.changed = make(chan struct{})
}

// ServeHTTP answers a call for the list, or a watch.
func (r *Registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	out := json.NewEncoder(w)
	if request.URL.Query().Get("watch") == "" {
		out.Encode(r.List())
		return
	}
	flush := w.(http.Flusher)
	list := r.List()
	sent := list.Generation
	if request.URL.Query().Get("from") == fmt.Sprint(sent) {
		io.WriteString(w, "\n")
	} else {
		out.Encode(list)
	}
	flush.Flush()
	for {
		r.mu.Lock()
		changed := r.changed
		var news []Document
		for _, d := range r.history {
			if d.Generation > sent {
				news = append(news, d)
			}
		}
		r.mu.Unlock()
		for _, d := range news {
			out.Encode(d)
			sent = d.Generation
		}
		flush.Flush()
		if len(news) > 0 {
			continue
		}
		select {
		case <-request.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
			flush.Flush()
		}
	}
}

// Arrival is a request that came whole to a server.
type Arrival struct {
	At        time.Duration
	Server    string
	ID, Key   string
	Method    string
	Target    string
	Remaining string
	Body      []byte
	Conn      net.Conn // the connection that it came on
}

// Server is a stand-in for a server. It reads requests and leaves what is answered to Answer, which returns false to close the
// connection.
type Server struct {
	Instance
	Answer func(a *Arrival) bool
	c      *Case
	l      *net.TCPListener
}

// StartServer starts a server.
func (c *Case) StartServer(id string, cell int, answer func(a *Arrival) bool) *Server {
	s := &Server{Answer: answer, c: c, l: c.Listen()}
	s.Instance = Instance{ID: id, Addr: s.l.Addr().String(), Zone: "sitio-a", MachineType: "front-std", Cell: cell, Lifecycle: "active", Weight: 1}
	go func() {
		for {
			conn, err := s.l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve reads the requests of a connection.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		a, err := s.c.ReadArrival(s.ID, conn, in)
		if err != nil || !s.Answer(a) {
			return
		}
	}
}

// ReadArrival reads one whole request that comes to a server.
func (c *Case) ReadArrival(server string, conn net.Conn, in *bufio.Reader) (*Arrival, error) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	return &Arrival{At: c.Now(), Server: server, ID: request.Header.Get("X-Txn"), Key: request.Header.Get("Idempotency-Key"),
		Method: request.Method, Target: request.RequestURI, Remaining: request.Header.Get("X-Remaining-Ms"),
		Body: body, Conn: conn}, nil
}

// Ok is a whole 200 answer.
func Ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Request is a whole request in the form of the protocol page.
func Request(class, id, key string, remaining time.Duration, body string) string {
	var b strings.Builder
	method := "GET"
	if key != "" || body != "" {
		method = "POST"
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Remaining-Ms: %d\r\n", method, class, id, remaining.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", key)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	return b.String()
}
