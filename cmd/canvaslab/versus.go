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

// versusCommand compares the node with a plain reverse proxy and with direct connections.
type versusCommand struct {
	Node          string        `help:"Another node program to compare, in addition to this one's." type:"existingfile" placeholder:"PATH"`
	Connections   []int         `help:"Numbers of client connections." default:"1,32,128"`
	Servers       int           `help:"Number of servers, which answer immediately." default:"4"`
	Rounds        int           `help:"Turns of each target." default:"5"`
	RoundDuration time.Duration `name:"span" help:"Length of a turn." default:"2s"`
}

// Run measures direct connections, net/http's reverse proxy and the node, each proxy on one core, and prints a table.
func (v *versusCommand) Run(ctx context.Context) error {
	targets := []live.Target{
		{Name: "direct"},
		{Name: "reverse proxy", Program: live.Program{Path: selfPath(), Args: []string{"proxy"}}},
		{Name: "node", Program: live.Program{Path: selfPath(), Args: []string{"node"}}},
	}
	if v.Node != "" {
		targets = append(targets, live.Target{Name: "other node", Program: live.Program{Path: filepath.Clean(v.Node)}})
	}
	measurements, err := live.CompareTargets(ctx, targets, v.Connections, max(1, v.Servers), max(1, v.Rounds), v.RoundDuration)
	fmt.Printf("%d cores, %d servers that answer at once, %d turns of %v each; the proxies have one core\n\n", runtime.NumCPU(),
		v.Servers, v.Rounds, v.RoundDuration)
	fmt.Println("| connections | target | ops a second | p50 ms | p99 ms | p99.9 ms | added p50 ms | errors |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
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

// proxyCommand runs net/http's reverse proxy. It picks a server at random for each request.
type proxyCommand struct{}

// Run serves until standard input ends, which also happens when the parent process is killed.
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
	proxy := &httputil.ReverseProxy{
		ErrorLog:  log.New(io.Discard, "", 0),
		Transport: &http.Transport{MaxIdleConnsPerHost: 1024},
		Director: func(r *http.Request) {
			r.URL.Scheme = "http"
			r.URL.Host = servers[rand.IntN(len(servers))]
		},
	}
	return http.Serve(listener, proxy)
}
