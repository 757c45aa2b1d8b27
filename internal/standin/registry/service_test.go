package registry

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/policy"
)

func testEntries(states ...policy.ServerState) (out []Entry) {
	for i, s := range states {
		out = append(out, Entry{Server: i, Weight: 1, State: s})
	}
	return out
}

func TestCatalog(t *testing.T) {
	c := NewCatalog(testEntries(policy.Ready, policy.Ready), false)
	generation := c.Generation()
	c.SaveSnapshot()
	c.SetEntry(Entry{Server: 0, State: policy.Gone})
	c.SetEntry(Entry{Server: 2, State: policy.Ready, StartedAt: 5})
	got, full := c.ChangesSince(generation)
	if diff := cmp.Diff([]Entry{{Server: 0, State: policy.Gone}, {Server: 2, StartedAt: 5}}, got); diff != "" || full {
		t.Error(diff, full)
	}
	c.ServeSnapshot() // the outdated list goes out in full, also to clients that hold a newer one
	if got, full = c.ChangesSince(c.Generation() - 1); !full || len(got) != 2 {
		t.Errorf("serving the snapshot: %v %v", got, full)
	}
	c.ServeCurrent()
	if got, full = c.ChangesSince(0); !full || len(got) != 2 || got[1].Server != 2 {
		t.Errorf("serving the current list: %v %v", got, full)
	}
	if got, full = NewCatalog(testEntries(policy.Draining), true).ChangesSince(1); !full || len(got) != 1 {
		t.Errorf("always full: %v %v", got, full)
	}
}

// A watch delivers changes and breaks off when the registry goes down. Calls are refused until the registry is back.
func TestWatch(t *testing.T) {
	sent := make(chan int, 16)
	s := NewService(NewCatalog(testEntries(policy.Ready), false), time.Millisecond, Options{Zones: []string{"a"}, MachineTypes: []string{"m"},
		Addr: func(int) string { return "127.0.0.1:1" }, OnSent: func(node int, e []Entry, _ bool) { sent <- node*100 + len(e) }})
	defer s.Close()
	addr, err := s.Listen(7)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(query string) (*http.Response, *bufio.Reader) {
		response, err := client.Get("http://" + addr + "/api/targets" + query)
		if err != nil {
			t.Fatal(err)
		}
		return response, bufio.NewReader(response.Body)
	}
	watch, lines := get("?watch=1&from=1")
	defer watch.Body.Close()
	if line, _ := lines.ReadString('\n'); line != `{"generation":1,"reset":false,"instances":[]}`+"\n" {
		t.Errorf("first line %q", line)
	}
	s.Update(func(c *Catalog) { c.SetEntry(Entry{Server: 0, State: policy.Draining}) })
	if line, _ := lines.ReadString('\n'); !strings.Contains(line, `"lifecycle":"leaving"`) {
		t.Errorf("line after the change %q", line)
	}
	if a, b := <-sent, <-sent; a != 700 || b != 701 {
		t.Errorf("notified of %d, %d", a, b)
	}
	s.SetDown(true)
	if _, err := lines.ReadString('\n'); err == nil {
		t.Error("the watch goes on while the registry is down")
	}
	refused, _ := get("")
	refused.Body.Close()
	s.SetDown(false)
	list, body := get("")
	defer list.Body.Close()
	if raw, _ := io.ReadAll(body); refused.StatusCode != 503 || !strings.Contains(string(raw), `"reset":true`) {
		t.Errorf("%d, then %s", refused.StatusCode, raw)
	}
}
