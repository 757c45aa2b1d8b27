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

// paymentCategory is an at-most-once category that baseSettings and changedSettings share.
const paymentCategory = `{"name": "pay", "benefit": 9.0, "effect": "at_most_once", "target_latency": 600.0, "ttl": 3000.0}`

// The settings of two deployments, as replacements in the example configuration. In changedSettings the payment category
// has another number, the zones and the limits of pushes differ, and peer messages are on.
var (
	baseSettings    = []string{`"ttl": 1200.0}],`, `"ttl": 1200.0}, ` + paymentCategory + `],`}
	changedSettings = []string{`"az": 0, "failure_domains": ["a"]`, `"az": 1, "failure_domains": ["north", "a"]`,
		`{"name": "checkout",`, `{"name": "lookup", "benefit": 1.0, "effect": "idempotent", "target_latency": 500.0, "ttl": 2000.0},
		` + paymentCategory + `, {"name": "checkout",`,
		`"max_pushes": 3, "may_duplicate": true`, `"max_pushes": 5, "may_duplicate": false, "peers": true`}
)

// sendOp sends an op without a body and returns the status of the answer, or 0 if there was none.
func sendOp(client *http.Client, method, url, id string) int {
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

// TestSwitch switches between two settings twelve times under load, with a draining server, an invalid file, and a last
// switch while the node drains. Every op must be answered, no op of an at-most-once category may run twice, and the
// drained server must get no new push.
func TestSwitch(t *testing.T) {
	var mu sync.Mutex
	effects := map[string]int{}     // pushes received, by op
	lastPush := map[int]time.Time{} // by server
	addrs := map[int]string{}
	for server := 1; server <= 2; server++ {
		fake := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			effects[r.Header.Get("X-Txn")]++
			lastPush[server] = time.Now()
			mu.Unlock()
			time.Sleep(30 * time.Millisecond) // so that ops are in flight during each switch
		}))
		t.Cleanup(fake.Close)
		addrs[server] = strings.TrimPrefix(fake.URL, "http://")
	}
	list := registry.NewService(registry.NewCatalog([]registry.Entry{{Server: 1, Weight: 1}}, false), 0, registry.Options{
		Zones:        []string{"a"},
		MachineTypes: []string{"m1"},
		Addr:         func(server int) string { return addrs[server] },
		OnSent:       func(int, []registry.Entry, bool) {},
	})
	t.Cleanup(list.Close)
	discovery, err := list.Listen(0)
	if err != nil {
		t.Fatal(err)
	}
	list.Update(func(c *registry.Catalog) { c.SetEntry(registry.Entry{Server: 2, Weight: 1}) })
	addr := freeAddr(t)
	with := func(more []string) []string {
		return append([]string{"127.0.0.1:8500", discovery, "127.0.0.1:8081", addr, "127.0.0.1:8181", addrs[1]}, more...)
	}
	p := startNode(t, func(*process) {}, with(baseSettings)...)
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
				statuses[worker][id] = sendOp(client, "POST", "http://"+addr+"/pay/1", id)
			}
		})
	}
	waitUntil := func(event string, condition func() bool) {
		for end := time.Now().Add(3 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not within 3 s", event)
			}
		}
	}
	var drained time.Time
	for i := range 12 {
		if i == 5 {
			if err := os.WriteFile(p.configPath, []byte(`{"settings": {"tier": 0, "tick": `), 0o600); err != nil {
				t.Fatal(err)
			}
			p.Process.Signal(syscall.SIGHUP)
			time.Sleep(50 * time.Millisecond)
		}
		want, settings := http.StatusOK, changedSettings // for a category that only changedSettings have
		if i%2 == 1 {
			want, settings = http.StatusNotFound, baseSettings
		}
		p.configure(t, with(settings)...)
		p.Process.Signal(syscall.SIGHUP)
		probes := 0
		waitUntil(fmt.Sprintf("switch %d", i), func() bool {
			probes++
			return sendOp(http.DefaultClient, "GET", "http://"+addr+"/lookup", fmt.Sprintf("probe-%d-%d", i, probes)) == want
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
	var pending sync.WaitGroup
	for i := range 4 {
		pending.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			if got := sendOp(client, "POST", "http://"+addr+"/pay/1", fmt.Sprint("last-", i)); got != http.StatusOK {
				t.Errorf("a pending op while the node drains: %d", got)
			}
		})
	}
	waitUntil("the last ops are in flight", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return effects["last-0"]+effects["last-1"]+effects["last-2"]+effects["last-3"] == 4
	})
	p.configure(t, with(changedSettings)...)
	p.Process.Signal(syscall.SIGTERM)
	p.Process.Signal(syscall.SIGHUP)
	pending.Wait()
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v, log %s", err, p.log.String())
	}
	acked := 0
	allowedEffects := map[int][]int{ // by status
		http.StatusOK:                 {1},
		http.StatusServiceUnavailable: {0},
		http.StatusBadGateway:         {0, 1},
	}
	for _, worker := range statuses {
		for id, status := range worker {
			if got := effects[id]; !slices.Contains(allowedEffects[status], got) {
				t.Errorf("op %s: status %d, %d effects", id, status, got)
			}
			if status == http.StatusOK {
				acked++
			}
		}
	}
	for id, count := range effects {
		if count > 1 && !strings.HasPrefix(id, "probe") { // probes may run more than once
			t.Errorf("op %s has %d effects", id, count)
		}
	}
	if acked < 100 {
		t.Errorf("%d ops acked", acked)
	}
	if lastPush[1].After(drained) || drained.IsZero() {
		t.Errorf("the drained server got a push %v after the drain was announced", lastPush[1].Sub(drained))
	}
	for line, count := range map[string]int{`"message":"new settings"`: 12, "not taken over": 1, "no way to tell each other": 6} {
		if got := strings.Count(p.log.String(), line); got < count || got > count+1 {
			t.Errorf("%s: %d times in %s", line, got, p.log.String())
		}
	}
}
