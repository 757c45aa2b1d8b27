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
	Node          string        `help:"Another node program, beside this one's own." type:"existingfile" placeholder:"PATH"`
	Connections   []int         `help:"Clients' connections." default:"1,32,128"`
	Servers       int           `help:"Servers that answer at once." default:"4"`
	Rounds        int           `help:"Turns of each." default:"5"`
	RoundDuration time.Duration `name:"span" help:"Of a turn." default:"2s"`
}

// Run compares the node with net/http's reverse proxy, each on one core, and with no proxy at all.
func (v *versusCommand) Run(ctx context.Context) error {
	targets := []live.Target{{Name: "direct"}, {Name: "reverse proxy", Program: live.Program{Path: selfPath(), Args: []string{"proxy"}}},
		{Name: "node", Program: live.Program{Path: selfPath(), Args: []string{"node"}}}}
	if v.Node != "" {
		targets = append(targets, live.Target{Name: "other node", Program: live.Program{Path: filepath.Clean(v.Node)}})
	}
	measurements, err := live.CompareTargets(ctx, targets, v.Connections, max(1, v.Servers), max(1, v.Rounds), v.RoundDuration)
	fmt.Printf("%d cores, %d servers that answer at once, %d turns of %v each; the proxies have one core\n\n", runtime.NumCPU(), v.Servers, v.Rounds, v.RoundDuration)
	fmt.Println("| connections | way | ops a second | p50 ms | p99 ms | p99.9 ms | added p50 ms | errors |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	direct := 0.0
	for _, m := range measurements {
		if m.Target == "direct" {
			direct = m.P50Ms
		}
		fmt.Printf("| %d | %s | %.0f | %.3f | %.3f | %.3f | %.3f | %d |\n", m.Connections, m.Target, m.OpsPerSecond, m.P50Ms, m.P99Ms,
			m.P999Ms, m.P50Ms-direct, m.Errors)
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
	listener, err := net.Listen("tcp", os.Getenv(live.ProxyListenEnv))
	if err != nil || len(servers) == 0 {
		return fmt.Errorf("proxy: servers %v: %w", servers, err)
	}
	proxy := &httputil.ReverseProxy{ErrorLog: log.New(io.Discard, "", 0), Transport: &http.Transport{MaxIdleConnsPerHost: 1024},
		Director: func(r *http.Request) { r.URL.Scheme, r.URL.Host = "http", servers[rand.IntN(len(servers))] }}
	return http.Serve(listener, proxy)
}
