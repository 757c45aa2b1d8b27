package registry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"canvasrouter/policy"
)

// keepaliveInterval is the time between the empty lines on a watch while nothing changes.
const keepaliveInterval = 2 * time.Second

// Options tell a Service how to encode entries, and whom to notify of each list that it sends.
type Options struct {
	Zones        []string
	MachineTypes []string
	Addr         func(server int) string
	OnSent       func(node int, entries []Entry, full bool) // called after each list sent to a node
}

// Service is a registry on loopback sockets. Each node has a listener of its own, so that the service knows which node
// it sends a list to.
type Service struct {
	options  Options
	mu       sync.Mutex
	catalog  *Catalog
	changed  chan struct{} // closed and replaced at each change
	wentDown chan struct{} // closed and replaced when the registry goes down
	down     bool
	delay    time.Duration // before each answer to a call and each change on a watch
	servers  []*http.Server
	calls    atomic.Int64
	bytes    atomic.Int64
}

// Counts returns the number of calls so far and the bytes of lists and empty lines written.
func (s *Service) Counts() (calls, bytes int64) { return s.calls.Load(), s.bytes.Load() }

// NewService returns a service that offers a catalog. Calls and changes are answered after the given delay.
func NewService(catalog *Catalog, delay time.Duration, options Options) *Service {
	return &Service{options: options, catalog: catalog, delay: delay, changed: make(chan struct{}), wentDown: make(chan struct{})}
}

// Listen opens a listener for one node and returns its address.
func (s *Service) Listen(node int) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(w http.ResponseWriter, r *http.Request) { s.serveTargets(node, w, r) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: keepaliveInterval}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

// Update changes the catalog and wakes the watches.
func (s *Service) Update(change func(*Catalog)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.catalog)
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown takes the registry down, which breaks watches and refuses calls, or brings it back.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.down {
		close(s.wentDown)
		s.wentDown = make(chan struct{})
	}
	s.down = down
}

// SetDelay sets the delay of answers and changes.
func (s *Service) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Close closes all listeners and connections.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.Close()
	}
}

// listDocument is the JSON form of a list or of a set of changes.
type listDocument struct {
	Generation uint64         `json:"generation"`
	Reset      bool           `json:"reset"`
	Instances  []listInstance `json:"instances"`
}

// listInstance is the JSON form of one server.
type listInstance struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

// lifecycles are the names of server states in the registry's format.
var lifecycles = map[policy.ServerState]string{policy.Ready: "active", policy.Draining: "leaving", policy.Gone: "left"}

// InstanceID returns the ID under which a server is listed.
func InstanceID(server int) string { return "s-" + strconv.Itoa(server) }

// EncodeList encodes a list in the JSON format of the platform's registry.
func (o *Options) EncodeList(generation uint64, entries []Entry, full bool) []byte {
	document := listDocument{Generation: generation, Reset: full, Instances: []listInstance{}}
	for _, e := range entries {
		document.Instances = append(document.Instances, listInstance{ID: InstanceID(e.Server), Addr: o.Addr(e.Server), Zone: o.Zones[e.Zone],
			MachineType: o.MachineTypes[e.MachineType], Cell: e.Cell, Lifecycle: lifecycles[e.State], Weight: e.Weight,
			StartedAtMs: float64(e.StartedAt) / 1000})
	}
	raw, err := json.Marshal(document)
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	return raw
}

// serveTargets answers a call for the list, or a watch, of one node.
func (s *Service) serveTargets(node int, w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	s.mu.Lock()
	down, wentDown, delay := s.down, s.wentDown, s.delay
	s.mu.Unlock()
	if down {
		http.Error(w, "registry is down", http.StatusServiceUnavailable)
		return
	}
	watch := r.URL.Query().Get("watch") == "1"
	controller := http.NewResponseController(w)
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for first := true; ; first = false {
		if !waitUninterrupted(r.Context(), wentDown, delay) {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		entries, full := s.catalog.ChangesSince(from)
		if !watch {
			entries, full = s.catalog.ChangesSince(0)
		}
		hasUpdate := first || s.catalog.Generation() != from
		from = s.catalog.Generation()
		changed := s.changed
		delay = s.delay
		s.mu.Unlock()
		if hasUpdate {
			n, err := w.Write(append(s.options.EncodeList(from, entries, full), '\n'))
			s.bytes.Add(int64(n))
			if err != nil || controller.Flush() != nil {
				return
			}
			s.options.OnSent(node, entries, full)
		}
		for waiting := watch; waiting; {
			select {
			case <-r.Context().Done():
				return
			case <-wentDown:
				panic(http.ErrAbortHandler) // a watch breaks off without an orderly end
			case <-changed:
				waiting = false
			case <-keepalive.C:
				s.bytes.Add(1)
				if _, err := w.Write([]byte("\n")); err != nil || controller.Flush() != nil {
					return
				}
			}
		}
		if !watch {
			return
		}
	}
}

// waitUninterrupted waits and reports whether the whole delay passed before the registry went down or ctx ended.
func waitUninterrupted(ctx context.Context, wentDown <-chan struct{}, delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-wentDown:
	case <-ctx.Done():
	}
	return false
}
