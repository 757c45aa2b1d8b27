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

func entries(states ...policy.ServerState) (out []Entry) {
	for i, s := range states {
		out = append(out, Entry{Server: i, Weight: 1, State: s})
	}
	return out
}

func TestCatalog(t *testing.T) {
	c := NewCatalog(entries(policy.Ready, policy.Ready), false)
	held := c.Generation()
	c.SaveSnapshot()
	c.SetEntry(Entry{Server: 0, State: policy.Gone})
	c.SetEntry(Entry{Server: 2, State: policy.Ready, StartedAt: 5})
	got, whole := c.ChangesSince(held)
	if diff := cmp.Diff([]Entry{{Server: 0, State: policy.Gone}, {Server: 2, StartedAt: 5}}, got); diff != "" || whole {
		t.Error(diff, whole)
	}
	c.ServeSnapshot() // what it says now is old, and told whole to whoever holds something newer
	if got, whole = c.ChangesSince(c.Generation() - 1); !whole || len(got) != 2 {
		t.Errorf("thawed: %v %v", got, whole)
	}
	c.ServeCurrent()
	if got, whole = c.ChangesSince(0); !whole || len(got) != 2 || got[1].Server != 2 {
		t.Errorf("put right: %v %v", got, whole)
	}
	if got, whole = NewCatalog(entries(policy.Draining), true).ChangesSince(1); !whole || len(got) != 1 {
		t.Errorf("whole list: %v %v", got, whole)
	}
}

// A watch brings what changed and ends without a word when the registry goes down; calls are refused until it is back.
func TestWatch(t *testing.T) {
	told := make(chan int, 16)
	s := NewService(NewCatalog(entries(policy.Ready), false), time.Millisecond, Options{Zones: []string{"a"}, MachineTypes: []string{"m"},
		Addr: func(int) string { return "127.0.0.1:1" }, OnSent: func(node int, e []Entry, _ bool) { told <- node*100 + len(e) }})
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
		t.Errorf("first %q", line)
	}
	s.Update(func(c *Catalog) { c.SetEntry(Entry{Server: 0, State: policy.Draining}) })
	if line, _ := lines.ReadString('\n'); !strings.Contains(line, `"lifecycle":"leaving"`) {
		t.Errorf("then %q", line)
	}
	if a, b := <-told, <-told; a != 700 || b != 701 {
		t.Errorf("told %d, %d", a, b)
	}
	s.SetDown(true)
	if _, err := lines.ReadString('\n'); err == nil {
		t.Error("the watch goes on")
	}
	refused, _ := get("")
	refused.Body.Close()
	s.SetDown(false)
	list, all := get("")
	defer list.Body.Close()
	if raw, _ := io.ReadAll(all); refused.StatusCode != 503 || !strings.Contains(string(raw), `"reset":true`) {
		t.Errorf("%d, then %s", refused.StatusCode, raw)
	}
}
