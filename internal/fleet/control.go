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

	"canvasrouter/internal/fleet/peermsg"
	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/store"
	"canvasrouter/policy"
)

// View is what one node knows of the fleet, as the command "canvasrouter fleet" prints it.
type View struct {
	Fleet              string           `json:"fleet"`
	Self               MemberView       `json:"own"`
	Members            []MemberView     `json:"members"` // the other members, by name, with departed ones that are still kept
	Transport          transport.Counts `json:"ways"`
	Messages           *peermsg.Counts  `json:"words,omitempty"`
	Servers            []ServerView     `json:"servers"` // ready servers on which there are reports
	ReadyServers       int              `json:"listed"`  // number of servers that the registry lists as ready
	UndecodableReports int64            `json:"judgements_not_understood"`
	Store              *store.View      `json:"store,omitempty"` // the configuration store
}

// MemberView is a member as a node sees it.
type MemberView struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"life"`
	Number      int     `json:"number"`
	Zone        int     `json:"zone"`
	Addr        string  `json:"addr"`
	State       string  `json:"state"`
	StateAgeMs  float64 `json:"for_ms"` // time in this state
}

// ServerView is what a node knows of the condition of a server.
type ServerView struct {
	Server            string       `json:"server"`
	OwnCondition      string       `json:"own"`  // by the node's own evidence; "" if it has no recent evidence
	Condition         string       `json:"ill"`  // by the reports of peers
	RemainingFraction float64      `json:"part"` // of the server's weight
	Reports           []ReportView `json:"reports"`
}

// ReportView is the report of one node on a server.
type ReportView struct {
	Reporter   string  `json:"source"` // incarnation
	NodeNumber int     `json:"node"`   // of the reporter
	Zone       int     `json:"zone"`   // of the reporter
	Condition  string  `json:"ill"`
	AgeMs      float64 `json:"age_ms"`  // of the evidence
	DurationMs float64 `json:"span_ms"` // of the condition, up to the evidence
}

func milliseconds(t policy.Micros) float64 { return float64(t) / 1000 }

// View returns what the node knows now.
func (f *Fleet) View() *View {
	self, all := f.members.View()
	now := f.clock.Now()
	v := &View{Fleet: f.config.Name, Transport: f.transport.Counts(), Members: []MemberView{}, Servers: []ServerView{}}
	v.Self = MemberView{
		Name:        self.Name,
		Incarnation: fmt.Sprintf("%016x", uint64(self.Incarnation)),
		Number:      self.Number,
		Zone:        int(self.Zone),
		Addr:        self.Addr.String(),
		State:       "alive",
		StateAgeMs:  0,
	}
	for _, m := range all {
		v.Members = append(v.Members, MemberView{
			Name:        m.Name,
			Incarnation: fmt.Sprintf("%016x", uint64(m.Incarnation)),
			Number:      m.Number,
			Zone:        int(m.Zone),
			Addr:        m.Addr.String(),
			State:       m.State.String(),
			StateAgeMs:  milliseconds(now - m.Since),
		})
	}
	if storeView := f.storeView.Load(); storeView != nil {
		v.Store = (*storeView)()
	}
	if f.messenger != nil {
		counts := f.messenger.Counts()
		v.Messages = &counts
	}
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	f.mu.Lock()
	readyServers := slices.Clone(f.readyServers)
	f.mu.Unlock()
	v.UndecodableReports = f.undecodableReports
	v.ReadyServers = len(readyServers)
	reports := f.table.Snapshot(now)
	for _, server := range readyServers {
		s := ServerView{Server: serverName(server), RemainingFraction: 1, Condition: "well", Reports: []ReportView{}}
		if condition, answeredAt := f.ownCondition(now, server); answeredAt > 0 || condition != 0 {
			s.OwnCondition = condition.String()
		}
		for _, reduction := range f.reductions {
			if reduction.Server == server {
				s.RemainingFraction = reduction.RemainingFraction
				s.Condition = reduction.Condition.String()
			}
		}
		for _, report := range reports[server] {
			s.Reports = append(s.Reports, ReportView{
				Reporter:   fmt.Sprintf("%016x", uint64(report.Reporter)),
				NodeNumber: int(report.NodeNumber),
				Zone:       int(report.Zone),
				Condition:  report.Condition.String(),
				AgeMs:      milliseconds(report.Age),
				DurationMs: milliseconds(report.Duration),
			})
		}
		if len(s.Reports) > 0 {
			v.Servers = append(v.Servers, s)
		}
	}
	return v
}

// controlServer serves the node's view over HTTP on a Unix socket, to the user that the node runs as.
type controlServer struct {
	listener net.Listener
	server   *http.Server
	path     string
}

const controlTimeout = 2 * time.Second

// listenControl opens the control socket, accessible only to its own user from the moment it exists. It replaces a socket that
// an ended process has left behind, but fails if another process answers on it.
func listenControl(path string, f *Fleet) (*controlServer, error) {
	if c, err := net.DialTimeout("unix", path, controlTimeout); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another process answers on the socket", path)
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		os.Remove(path)
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		c.Control(func(fd uintptr) { err = syscall.Fchmod(int(fd), 0o600) }) // runs before the socket is bound to the path
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
	return &controlServer{
		listener: l,
		path:     path,
		server:   &http.Server{Handler: mux, ReadTimeout: controlTimeout, WriteTimeout: controlTimeout, IdleTimeout: controlTimeout},
	}, nil
}

func (c *controlServer) serve() { go c.server.Serve(c.listener) }

func (c *controlServer) close() {
	c.server.Close()
	c.listener.Close()
}

// FetchView fetches a node's view from its control socket.
func FetchView(ctx context.Context, path string) (*View, error) {
	client := &http.Client{Timeout: 2 * controlTimeout, Transport: &http.Transport{DisableKeepAlives: true,
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
