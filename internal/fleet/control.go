package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/fleet/words"
	"canvasrouter/internal/store"
	"canvasrouter/policy"
)

// View is what one node knows, as canvasrouter fleet prints it.
type View struct {
	Fleet              string           `json:"fleet"`
	Self               MemberView       `json:"own"`
	Members            []MemberView     `json:"members"` // the others, by name; those gone are kept for a while
	Transport          transport.Counts `json:"ways"`
	Messages           *words.Counts    `json:"words,omitempty"`
	Servers            []ServerView     `json:"servers"` // of which anything is held
	ReadyServers       int              `json:"listed"`  // servers that are ready, by the list
	UndecodableReports int64            `json:"judgements_not_understood"`
	Store              *store.View      `json:"store,omitempty"` // of configuration
}

// MemberView is a member as a node sees it.
type MemberView struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"life"`
	Number      int     `json:"number"`
	Zone        int     `json:"zone"`
	Addr        string  `json:"addr"`
	State       string  `json:"state"`
	StateAgeMs  float64 `json:"for_ms"` // in this state
}

// ServerView is what a node holds on a server.
type ServerView struct {
	Server            string       `json:"server"`
	OwnCondition      string       `json:"own"`  // its own finding; "" if it has no fresh one
	Condition         string       `json:"ill"`  // what others' reports come to
	RemainingFraction float64      `json:"part"` // of its weight that is left
	Reports           []ReportView `json:"reports"`
}

// ReportView is one node's report.
type ReportView struct {
	Reporter   string  `json:"source"` // a life
	NodeNumber int     `json:"node"`   // its number
	Zone       int     `json:"zone"`
	Condition  string  `json:"ill"`
	AgeMs      float64 `json:"age_ms"`
	DurationMs float64 `json:"span_ms"`
}

func ms(t policy.Micros) float64 { return float64(t) / 1000 }

// View gives what the node knows now.
func (f *Fleet) View() *View {
	own, all := f.members.View()
	now := f.clock.Now()
	v := &View{Fleet: f.config.Name, Transport: f.transport.Counts(), Members: []MemberView{}, Servers: []ServerView{}}
	v.Self = MemberView{own.Name, fmt.Sprintf("%016x", uint64(own.Incarnation)), own.Number, int(own.Zone), own.Addr.String(), "alive", 0}
	for _, m := range all {
		v.Members = append(v.Members, MemberView{m.Name, fmt.Sprintf("%016x", uint64(m.Incarnation)), m.Number, int(m.Zone), m.Addr.String(),
			m.State.String(), ms(now - m.Since)})
	}
	if look := f.store.Load(); look != nil {
		v.Store = (*look)()
	}
	if f.words != nil {
		counts := f.words.Counts()
		v.Messages = &counts
	}
	f.books.Lock()
	defer f.books.Unlock()
	f.mu.Lock()
	ids := slices.Clone(f.ids)
	f.mu.Unlock()
	v.UndecodableReports, v.ReadyServers = f.foreign, len(ids)
	held := f.book.Snapshot(now)
	for _, server := range ids {
		s := ServerView{Server: name(server), RemainingFraction: 1, Condition: "well", Reports: []ReportView{}}
		if ill, answered := f.finding(now, server); answered > 0 || ill != 0 {
			s.OwnCondition = ill.String()
		}
		for _, w := range f.weights {
			if w.Server == server {
				s.RemainingFraction, s.Condition = w.RemainingFraction, w.Condition.String()
			}
		}
		for _, r := range held[server] {
			s.Reports = append(s.Reports, ReportView{fmt.Sprintf("%016x", uint64(r.Reporter)), int(r.NodeNumber), int(r.Zone), r.Condition.String(), ms(r.Age), ms(r.Duration)})
		}
		if len(s.Reports) > 0 {
			v.Servers = append(v.Servers, s)
		}
	}
	return v
}

// control answers the node's own user on a Unix socket.
type control struct {
	listener net.Listener
	server   *http.Server
	path     string
}

const controlWait = 2 * time.Second

// listen opens the socket, for its own user alone from the first moment. One that a process left behind is taken over; one
// that somebody answers on is not.
func listen(path string, f *Fleet) (*control, error) {
	if c, err := net.DialTimeout("unix", path, controlWait); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another process answers there", path)
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		os.Remove(path)
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		c.Control(func(fd uintptr) { err = syscall.Fchmod(int(fd), 0o600) }) // before it has a name
		return err
	}}
	l, err := config.Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /view", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(f.View())
	})
	return &control{listener: l, path: path, server: &http.Server{Handler: mux, ReadTimeout: controlWait, WriteTimeout: controlWait,
		IdleTimeout: controlWait}}, nil
}

func (c *control) serve() { go c.server.Serve(c.listener) }

func (c *control) close() {
	c.server.Close()
	c.listener.Close()
}

// Ask gets a node's view by its socket.
func FetchView(ctx context.Context, path string) (*View, error) {
	client := &http.Client{Timeout: 2 * controlWait, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://node/view", nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, 64<<20))
	if err != nil {
		return nil, err
	}
	v := &View{}
	return v, json.Unmarshal(raw, v)
}
