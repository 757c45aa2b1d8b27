package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"canvasrouter/internal/lab/live"
)

type versusCommand struct {
	Node        string        `help:"Another node program, beside this one's own." type:"existingfile" placeholder:"PATH"`
	Connections []int         `help:"Clients' connections." default:"1,32,128"`
	Servers     int           `help:"Servers that answer at once." default:"4"`
	Rounds      int           `help:"Turns of each." default:"5"`
	Span        time.Duration `help:"Of a turn." default:"2s"`
}

// Run compares the node with net/http's reverse proxy, each on one core, and with no proxy at all.
func (v *versusCommand) Run(ctx context.Context) error {
	ways := []live.Target{{Name: "direct"}, {Name: "reverse proxy", Program: live.Program{Path: self(), Args: []string{"proxy"}}},
		{Name: "node", Program: live.Program{Path: self(), Args: []string{"node"}}}}
	if v.Node != "" {
		ways = append(ways, live.Target{Name: "other node", Program: live.Program{Path: filepath.Clean(v.Node)}})
	}
	laps, err := live.CompareTargets(ctx, ways, v.Connections, max(1, v.Servers), max(1, v.Rounds), v.Span)
	fmt.Printf("%d cores, %d servers that answer at once, %d turns of %v each; the proxies have one core\n\n", runtime.NumCPU(), v.Servers, v.Rounds, v.Span)
	fmt.Println("| connections | way | ops a second | p50 ms | p99 ms | p99.9 ms | added p50 ms | errors |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	direct := 0.0
	for _, l := range laps {
		if l.Target == "direct" {
			direct = l.P50Ms
		}
		fmt.Printf("| %d | %s | %.0f | %.3f | %.3f | %.3f | %.3f | %d |\n", l.Connections, l.Target, l.OpsPerSecond, l.P50Ms, l.P99Ms,
			l.P999Ms, l.P50Ms-direct, l.Errors)
	}
	return err
}

// proxyCommand is net/http's reverse proxy in front of the same servers, each picked at random.
type proxyCommand struct{}

func (*proxyCommand) Run() error {
	go func() {
		io.Copy(io.Discard, os.Stdin)
		os.Exit(3)
	}()
	servers := strings.Fields(os.Getenv(live.ProxyServersEnv))
	l, err := net.Listen("tcp", os.Getenv(live.ProxyListenEnv))
	if err != nil || len(servers) == 0 {
		return fmt.Errorf("proxy: servers %v: %w", servers, err)
	}
	proxy := &httputil.ReverseProxy{ErrorLog: log.New(io.Discard, "", 0), Transport: &http.Transport{MaxIdleConnsPerHost: 1024},
		Director: func(r *http.Request) { r.URL.Scheme, r.URL.Host = "http", servers[rand.IntN(len(servers))] }}
	return http.Serve(l, proxy)
}
