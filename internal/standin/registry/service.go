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
const beat = 2 * time.Second

// Words are what the service needs to write an entry, and whom it tells of what it wrote.
type Options struct {
	Zones        []string
	MachineTypes []string
	Addr         func(server int) string
	OnSent       func(node int, entries []Entry, whole bool)
}

// Service is a registry on loopback sockets, with a listener for each node, so that it knows whom it tells what.
type Service struct {
	words   Options
	mu      sync.Mutex
	catalog *Catalog
	changed chan struct{} // closed and made anew at each change
	broken  chan struct{} // closed when the registry goes down
	down    bool
	delay   time.Duration // of each change and call
	servers []*http.Server
	calls   atomic.Int64
	bytes   atomic.Int64
}

// Counts are the calls that have come so far, and the bytes of lists and empty lines written.
func (s *Service) Counts() (calls, bytes int64) { return s.calls.Load(), s.bytes.Load() }

// NewService makes a service that tells a catalog, each change later by delay.
func NewService(catalog *Catalog, delay time.Duration, words Options) *Service {
	return &Service{words: words, catalog: catalog, delay: delay, changed: make(chan struct{}), broken: make(chan struct{})}
}

// Listen opens a node's own address.
func (s *Service) Listen(node int) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: beat}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go server.Serve(l)
	return l.Addr().String(), nil
}

// Change changes the catalog and wakes those who watch.
func (s *Service) Update(do func(*Catalog)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.catalog)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Down breaks watches and refuses calls, or ends that.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.down {
		close(s.broken)
		s.broken = make(chan struct{})
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

type document struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

type instance struct {
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
func (w *Options) EncodeList(generation uint64, entries []Entry, whole bool) []byte {
	d := document{Generation: generation, Reset: whole, Instances: []instance{}}
	for _, e := range entries {
		d.Instances = append(d.Instances, instance{ID: InstanceID(e.Server), Addr: w.Addr(e.Server), Zone: w.Zones[e.Zone],
			Kind: w.MachineTypes[e.MachineType], Cell: e.Cell, Lifecycle: lifecycles[e.State], Weight: e.Weight,
			Started: float64(e.StartedAt) / 1000})
	}
	raw, err := json.Marshal(d)
	if err != nil {
		panic(err) // numbers and words can all be written
	}
	return raw
}

func (s *Service) serve(node int, w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	s.mu.Lock()
	down, broken, delay := s.down, s.broken, s.delay
	s.mu.Unlock()
	if down {
		http.Error(w, "registry is down", http.StatusServiceUnavailable)
		return
	}
	watch := r.URL.Query().Get("watch") == "1"
	control := http.NewResponseController(w)
	idle := time.NewTicker(beat)
	defer idle.Stop()
	for first := true; ; first = false {
		if !wait(r.Context(), broken, delay) {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		entries, whole := s.catalog.ChangesSince(from)
		if !watch {
			entries, whole = s.catalog.ChangesSince(0)
		}
		news := first || s.catalog.Generation() != from
		from = s.catalog.Generation()
		changed := s.changed
		delay = s.delay
		s.mu.Unlock()
		if news {
			n, err := w.Write(append(s.words.EncodeList(from, entries, whole), '\n'))
			s.bytes.Add(int64(n))
			if err != nil || control.Flush() != nil {
				return
			}
			s.words.OnSent(node, entries, whole)
		}
		for waiting := watch; waiting; {
			select {
			case <-r.Context().Done():
				return
			case <-broken:
				panic(http.ErrAbortHandler) // a watch ends without a word
			case <-changed:
				waiting = false
			case <-idle.C:
				s.bytes.Add(1)
				if _, err := w.Write([]byte("\n")); err != nil || control.Flush() != nil {
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
func wait(ctx context.Context, broken <-chan struct{}, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-broken:
	case <-ctx.Done():
	}
	return false
}
