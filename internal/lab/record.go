package lab

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"

	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/policy"
)

// Record passes traffic on to a node and writes down when each op of a known category came, until ctx is done. Only
// times, categories and tenants are kept, no header and no body. It gives the number of arrivals.
func RecordTrace(ctx context.Context, s *scenario.Scenario, listen, target string, out io.Writer) (int, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var arrivals []load.Arrival
	startedAt := time.Now()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if arrival, ok := requestArrival(s, r); ok {
			mu.Lock()
			arrival.At = policy.Micros(time.Since(startedAt).Microseconds())
			arrivals = append(arrivals, arrival)
			mu.Unlock()
		}
		proxy.ServeHTTP(out, r)
	})}
	stopClosing := context.AfterFunc(ctx, func() { server.Close() })
	defer stopClosing()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return 0, err
	}
	mu.Lock()
	defer mu.Unlock()
	return len(arrivals), load.Write(out, arrivals)
}

func requestArrival(s *scenario.Scenario, r *http.Request) (arrival load.Arrival, ok bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	arrival.Tenant = -1
	for i, t := range s.Tenants {
		if t.Name == r.Header.Get("X-Org") {
			arrival.Tenant = i
		}
	}
	for i, c := range s.Categories {
		if c.Name != name {
			continue
		}
		arrival.Category = i
		for _, t := range s.Tiers {
			arrival.Work = append(arrival.Work, c.Work.Micros())
			arrival.Calls = append(arrival.Calls, int(t.Calls+0.5))
		}
		return arrival, true
	}
	return arrival, false
}
