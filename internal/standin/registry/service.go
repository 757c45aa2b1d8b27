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

// beat is how often an empty line comes on a watch while nothing changes.
const keepaliveInterval = 2 * time.Second

// Words are what the service needs to write an entry, and whom it tells of what it wrote.
type Options struct {
	Zones        []string
	MachineTypes []string
	Addr         func(server int) string
	OnSent       func(node int, entries []Entry, whole bool)
}

// Service is a registry on loopback sockets, with a listener for each node, so that it knows whom it tells what.
type Service struct {
	options  Options
	mu       sync.Mutex
	catalog  *Catalog
	changed  chan struct{} // closed and made anew at each change
	wentDown chan struct{} // closed when the registry goes down
	down     bool
	delay    time.Duration // of each change and call
	servers  []*http.Server
	calls    atomic.Int64
	bytes    atomic.Int64
}

// Counts are the calls that have come so far, and the bytes of lists and empty lines written.
func (s *Service) Counts() (calls, bytes int64) { return s.calls.Load(), s.bytes.Load() }

// NewService makes a service that tells a catalog, each change later by delay.
func NewService(catalog *Catalog, delay time.Duration, options Options) *Service {
	return &Service{options: options, catalog: catalog, delay: delay, changed: make(chan struct{}), wentDown: make(chan struct{})}
}

// Listen opens a node's own address.
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

// Change changes the catalog and wakes those who watch.
func (s *Service) Update(change func(*Catalog)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.catalog)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Down breaks watches and refuses calls, or ends that.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.down {
		close(s.wentDown)
		s.wentDown = make(chan struct{})
	}
	s.down = down
}

// Slow sets by how much calls and changes come later.
func (s *Service) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Close ends the service.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.Close()
	}
}

type listDocument struct {
	Generation uint64         `json:"generation"`
	Reset      bool           `json:"reset"`
	Instances  []listInstance `json:"instances"`
}

type listInstance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   float64 `json:"startedAtMs"`
}

var lifecycles = map[policy.ServerState]string{policy.Ready: "active", policy.Draining: "leaving", policy.Gone: "left"}

// ID is a server's text id.
func InstanceID(server int) string { return "s-" + strconv.Itoa(server) }

// Line writes a list in the platform's form.
func (o *Options) EncodeList(generation uint64, entries []Entry, full bool) []byte {
	document := listDocument{Generation: generation, Reset: full, Instances: []listInstance{}}
	for _, e := range entries {
		document.Instances = append(document.Instances, listInstance{ID: InstanceID(e.Server), Addr: o.Addr(e.Server), Zone: o.Zones[e.Zone],
			Kind: o.MachineTypes[e.MachineType], Cell: e.Cell, Lifecycle: lifecycles[e.State], Weight: e.Weight,
			Started: float64(e.StartedAt) / 1000})
	}
	raw, err := json.Marshal(document)
	if err != nil {
		panic(err) // numbers and words can all be written
	}
	return raw
}

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
				panic(http.ErrAbortHandler) // a watch ends without a word
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

// wait says whether a span passed with nothing coming between.
func waitUninterrupted(ctx context.Context, wentDown <-chan struct{}, delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-wentDown:
	case <-ctx.Done():
	}
	return false
}
