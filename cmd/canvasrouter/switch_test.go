package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"canvasrouter/internal/standin/registry"
	"canvasrouter/policy"
)

// Settings of two deployments: the same at-most-once category stands elsewhere among others, with other zones, another cap on
// pushes, and nodes that may tell each other.
const payment = `{"name": "pay", "benefit": 9.0, "effect": "at_most_once", "target_latency": 600.0, "ttl": 3000.0}`

var (
	stayed = []string{`"ttl": 1200.0}],`, `"ttl": 1200.0}, ` + payment + `],`}
	moved  = []string{`"az": 0, "failure_domains": ["a"]`, `"az": 1, "failure_domains": ["north", "a"]`,
		`{"name": "checkout",`, `{"name": "lookup", "benefit": 1.0, "effect": "idempotent", "target_latency": 500.0, "ttl": 2000.0},
		` + payment + `, {"name": "checkout",`,
		`"max_pushes": 3, "may_duplicate": true`, `"max_pushes": 5, "may_duplicate": false, "peers": true`}
)

// send sends an op without a body of its own and gives its status, 0 where no answer came.
func send(client *http.Client, method, url, id string) int {
	request, _ := http.NewRequest(method, url, nil)
	request.Header.Set("X-Txn", id)
	request.Header.Set("X-Remaining-Ms", "2500")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// The move to other settings and back, twelve times under load, with a drain, a faulty file, and a last switch while
// the node drains: every op has one answer, none has two effects, and the drained server gets nothing new.
func TestSwitch(t *testing.T) {
	var mu sync.Mutex
	effects, last := map[string]int{}, map[int]time.Time{} // by op; the last push at each server
	addrs := map[int]string{}
	for server := 1; server <= 2; server++ {
		stand := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			effects[r.Header.Get("X-Txn")]++
			last[server] = time.Now()
			mu.Unlock()
			time.Sleep(30 * time.Millisecond) // so that ops are out across each switch
		}))
		t.Cleanup(stand.Close)
		addrs[server] = strings.TrimPrefix(stand.URL, "http://")
	}
	list := registry.NewService(registry.NewCatalog([]registry.Entry{{Server: 1, Weight: 1}}, false), 0, registry.Options{
		Zones: []string{"a"}, MachineTypes: []string{"m1"}, Addr: func(server int) string { return addrs[server] },
		OnSent: func(int, []registry.Entry, bool) {}})
	t.Cleanup(list.Close)
	discovery, err := list.Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	list.Update(func(c *registry.Catalog) { c.SetEntry(registry.Entry{Server: 2, Weight: 1}) })
	addr := free(t)
	with := func(more []string) []string {
		return append([]string{"127.0.0.1:8500", discovery, "127.0.0.1:8081", addr, "127.0.0.1:8181", addrs[1]}, more...)
	}
	p := start(t, func(*process) {}, with(stayed)...)
	awaitReady(t, addr)
	var load sync.WaitGroup
	var stop atomic.Bool
	statuses := make([]map[string]int, 8)
	for worker := range statuses {
		statuses[worker] = map[string]int{}
		load.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for i := 0; !stop.Load(); i++ {
				id := fmt.Sprintf("%d-%d", worker, i)
				statuses[worker][id] = send(client, "POST", "http://"+addr+"/pay/1", id)
			}
		})
	}
	await := func(what string, is func() bool) {
		for end := time.Now().Add(3 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not in time", what)
			}
		}
	}
	var drained time.Time
	for i := range 12 {
		if i == 5 {
			if err := os.WriteFile(p.config, []byte(`{"settings": {"tier": 0, "tick": `), 0o600); err != nil {
				t.Fatal(err)
			}
			p.Process.Signal(syscall.SIGHUP)
			time.Sleep(50 * time.Millisecond)
		}
		want, settings := http.StatusOK, moved // of a category that only the moved settings have
		if i%2 == 1 {
			want, settings = http.StatusNotFound, stayed
		}
		p.configure(t, with(settings)...)
		p.Process.Signal(syscall.SIGHUP)
		probes := 0
		await(fmt.Sprintf("switch %d", i), func() bool {
			probes++
			return send(http.DefaultClient, "GET", "http://"+addr+"/lookup", fmt.Sprintf("probe-%d-%d", i, probes)) == want
		})
		if i == 7 {
			list.Update(func(c *registry.Catalog) { c.SetEntry(registry.Entry{Server: 1, Weight: 1, State: policy.Draining}) })
			time.Sleep(100 * time.Millisecond)
			drained = time.Now()
		}
		time.Sleep(60 * time.Millisecond)
	}
	stop.Store(true)
	load.Wait()
	var inHand sync.WaitGroup
	for i := range 4 {
		inHand.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			if got := send(client, "POST", "http://"+addr+"/pay/1", fmt.Sprint("last-", i)); got != http.StatusOK {
				t.Errorf("an op in hand as the node drains: %d", got)
			}
		})
	}
	await("the last ops are out", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return effects["last-0"]+effects["last-1"]+effects["last-2"]+effects["last-3"] == 4
	})
	p.configure(t, with(moved)...)
	p.Process.Signal(syscall.SIGTERM)
	p.Process.Signal(syscall.SIGHUP)
	inHand.Wait()
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v, log %s", err, p.log.String())
	}
	acked, allowed := 0, map[int][]int{http.StatusOK: {1}, http.StatusServiceUnavailable: {0}, http.StatusBadGateway: {0, 1}}
	for _, worker := range statuses {
		for id, status := range worker {
			if got := effects[id]; !slices.Contains(allowed[status], got) {
				t.Errorf("op %s: status %d, %d effects", id, status, got)
			}
			if status == http.StatusOK {
				acked++
			}
		}
	}
	for id, n := range effects {
		if n > 1 && !strings.HasPrefix(id, "probe") { // which may run again
			t.Errorf("op %s has %d effects", id, n)
		}
	}
	if acked < 100 {
		t.Errorf("%d ops acked", acked)
	}
	if last[1].After(drained) || drained.IsZero() {
		t.Errorf("the drained server got a push %v after it was told", last[1].Sub(drained))
	}
	for line, count := range map[string]int{`"message":"new settings"`: 12, "not taken over": 1, "no way to tell each other": 6} {
		if got := strings.Count(p.log.String(), line); got < count || got > count+1 {
			t.Errorf("%s: %d times in %s", line, got, p.log.String())
		}
	}
}
