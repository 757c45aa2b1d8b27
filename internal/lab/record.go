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
func RecordTrace(ctx context.Context, s *scenario.Scenario, listen, to string, w io.Writer) (int, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var seen []load.Arrival
	begun := time.Now()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a, ok := arrivalOf(s, r); ok {
			mu.Lock()
			a.At = policy.Micros(time.Since(begun).Microseconds())
			seen = append(seen, a)
			mu.Unlock()
		}
		proxy.ServeHTTP(w, r)
	})}
	stopped := context.AfterFunc(ctx, func() { server.Close() })
	defer stopped()
	if err := server.Serve(l); err != http.ErrServerClosed {
		return 0, err
	}
	mu.Lock()
	defer mu.Unlock()
	return len(seen), load.WriteTrace(w, seen)
}

func arrivalOf(s *scenario.Scenario, r *http.Request) (a load.Arrival, ok bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	a.Tenant = -1
	for i, t := range s.Tenants {
		if t.Name == r.Header.Get("X-Org") {
			a.Tenant = i
		}
	}
	for i, c := range s.Categories {
		if c.Name != name {
			continue
		}
		a.Category = i
		for _, t := range s.Tiers {
			a.WorkByTier = append(a.WorkByTier, c.MeanWork.Micros())
			a.CallsByTier = append(a.CallsByTier, int(t.CallsPerOp+0.5))
		}
		return a, true
	}
	return a, false
}
