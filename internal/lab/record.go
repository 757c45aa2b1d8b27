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

// RecordTrace is a reverse proxy in front of a node that records when each op of a known category arrives. It runs until
// ctx is done, then writes the trace and returns the number of arrivals. The trace contains times, categories and tenants,
// but no headers or bodies.
func RecordTrace(ctx context.Context, experiment *scenario.Scenario, listen, target string, out io.Writer) (int, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var arrivals []load.Arrival
	startedAt := time.Now()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrival, ok := requestArrival(experiment, r); ok {
			mu.Lock()
			arrival.At = policy.Micros(time.Since(startedAt).Microseconds())
			arrivals = append(arrivals, arrival)
			mu.Unlock()
		}
		proxy.ServeHTTP(w, r)
	})}
	stopClosing := context.AfterFunc(ctx, func() { server.Close() })
	defer stopClosing()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return 0, err
	}
	mu.Lock()
	defer mu.Unlock()
	return len(arrivals), load.WriteTrace(out, arrivals)
}

// requestArrival turns a request into an arrival with the mean work of its category. It reports false if the path is of
// no known category.
func requestArrival(experiment *scenario.Scenario, request *http.Request) (arrival load.Arrival, ok bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	arrival.Tenant = -1
	for i, tenant := range experiment.Tenants {
		if tenant.Name == request.Header.Get("X-Org") {
			arrival.Tenant = i
		}
	}
	for i, category := range experiment.Categories {
		if category.Name != name {
			continue
		}
		arrival.Category = i
		for _, tier := range experiment.Tiers {
			arrival.WorkByTier = append(arrival.WorkByTier, category.MeanWork.Micros())
			arrival.CallsByTier = append(arrival.CallsByTier, int(tier.CallsPerOp+0.5))
		}
		return arrival, true
	}
	return arrival, false
}
