package registry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"canvasrouter/internal/lab/together"
	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

func line(generation int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, reset, strings.Join(entries, ","))
}

func entry(id, lifecycle, addr string, started int) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"b","machineType":"m2","cell":3,"lifecycle":%q,`+
		`"weight":1.5,"startedAtMs":%d}`, id, addr, lifecycle, started)
}

// follow runs a registry's actor against a stand-in that answers a watch with a script and the whole list with
// another, until the watch has ended.
func follow(t *testing.T, script []string, whole string, hold bool) []string {
	t.Helper()
	release := make(chan struct{})
	var calls []string
	stand := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, "asked "+r.URL.RequestURI())
		if r.URL.Query().Get("watch") == "" {
			fmt.Fprintln(w, whole)
			return
		}
		if len(script) == 1 && script[0] == "down" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for _, s := range script {
			fmt.Fprint(w, s)
			w.(http.Flusher).Flush()
		}
		if hold {
			<-release
		}
	}))
	defer stand.Close()
	defer close(release)
	part := sockets.NewBudget(4)
	r := New(Options{Addr: strings.TrimPrefix(stand.URL, "http://"), Zones: []string{"a", "b"}}, part, zerolog.Nop())
	if hold {
		r.silence = 100 * time.Millisecond
	}
	known, err := r.LoadCached([]byte(line(41, true, entry("s-1", "active", "127.0.0.1:1", 0))))
	if err != nil {
		t.Fatal(err)
	}
	told := make(chan *node.List, 16)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan struct{})
	go func() { r.Run(ctx, func(l *node.List) { told <- l }); close(ended) }()
	r.Watch()
	trace := []string{describe(known)}
	for trace[len(trace)-1] != "failed" {
		select {
		case l := <-told:
			trace = append(trace, describe(l))
		case <-ctx.Done():
			t.Fatal("the end of the watch was not told; so far: ", trace)
		}
	}
	cancel()
	<-ended
	return append(trace, calls...)
}

func describe(l *node.List) string {
	out := [...]string{"changes", "whole", "cached", "failed"}[l.Form]
	for i, e := range l.Entries {
		out += fmt.Sprintf(" %s %s zone %d started %d", [...]string{"ready", "draining", "gone"}[e.State], l.Addrs[i],
			e.Zone, e.StartedAt/policy.Millisecond)
	}
	return out
}

// indented is an object over several lines.
func indented(object string) string {
	var out bytes.Buffer
	json.Indent(&out, []byte(object), "", "  ")
	return out.String()
}

// What a watch says is told in order; however it ends, that is told too, and once.
func TestWatch(t *testing.T) {
	const cached, asked = "cached ready 127.0.0.1:1 zone 1 started 0", "asked /api/targets?watch=1&from=41"
	for name, c := range map[string]struct {
		script []string
		hold   bool
		whole  string
		want   []string
	}{
		"changes": {script: []string{line(42, false, entry("s-1", "leaving", "127.0.0.1:1", 0)) + "\n",
			line(43, false, entry("s-1", "left", "", 0)) + "\n"},
			want: []string{cached, "changes draining 127.0.0.1:1 zone 1 started 0", "changes gone  zone 1 started 0",
				"failed", asked}},
		"back with another address and start": {script: []string{
			line(42, false, entry("s-1", "active", "127.0.0.1:2", 77)) + "\n"},
			want: []string{cached, "changes ready 127.0.0.1:2 zone 1 started 77", "failed", asked}},
		"the whole list first": {script: []string{line(3, true) + "\n"}, want: []string{cached, "whole", "failed", asked}},
		// Danger: unless it hears that it is subscribed, the module asks again and again.
		"nothing changed":   {script: []string{line(41, false) + "\n"}, want: []string{cached, "changes", "failed", asked}},
		"empty lines":       {script: []string{"\n", "\n", "\n"}, want: []string{cached, "changes", "failed", asked}},
		"half a line":       {script: []string{line(42, true)[:30]}, want: []string{cached, "failed", asked}},
		"the registry down": {script: []string{"down"}, want: []string{cached, "failed", asked}},
		// Danger: a registry that is cut off says nothing, and its connection stays open.
		// Danger: waiting before it is opened anew uses up the time after which what it missed counts as told.
		"a silent watch": {script: []string{line(42, false) + "\n"}, hold: true,
			want: []string{cached, "changes", "changes", "failed", asked, "asked /api/targets?watch=1&from=42"}},
		"indented": {script: []string{indented(line(42, false, entry("s-1", "leaving", "127.0.0.1:1", 0))) + "\n\n",
			line(43, false, entry("s-1", "left", "", 0)) + "\n"},
			want: []string{cached, "changes draining 127.0.0.1:1 zone 1 started 0", "changes gone  zone 1 started 0",
				"failed", asked}},
		"an end in the middle of an indented object": {script: []string{
			indented(line(42, false, entry("s-1", "leaving", "127.0.0.1:1", 0)))[:38] + "\n"},
			want: []string{cached, "failed", asked}},
		"an indented object that stops": {script: []string{"{\n  \"generation\": 42,\n\n"},
			whole: line(44, true, entry("s-2", "active", "127.0.0.1:3", 0)),
			want:  []string{cached, "whole ready 127.0.0.1:3 zone 1 started 0", "failed", asked, "asked /api/targets"}},
		"a broken line": {script: []string{"{nonsense\n", line(44, false, entry("s-1", "left", "", 0)) + "\n",
			line(45, false, entry("s-1", "left", "", 0)) + "\n"},
			whole: line(44, true, entry("s-2", "active", "127.0.0.1:3", 0)),
			want: []string{cached, "whole ready 127.0.0.1:3 zone 1 started 0", "changes gone  zone 1 started 0", "failed",
				asked, "asked /api/targets"}},
		"a broken line, and a whole list older than a change": {script: []string{
			line(43, false, entry("s-1", "leaving", "127.0.0.1:1", 0)) + "\n", "{nonsense\n"},
			whole: line(42, true, entry("s-1", "active", "127.0.0.1:1", 0)),
			want: []string{cached, "changes draining 127.0.0.1:1 zone 1 started 0", "failed", asked,
				"asked /api/targets"}},
		"an unknown lifecycle": {script: []string{line(42, false, entry("s-1", "sleeping", "127.0.0.1:1", 0)) + "\n"},
			whole: "no list either", want: []string{cached, "failed", asked, "asked /api/targets"}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, follow(t, c.script, c.whole, c.hold)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A move ends the watch at the old address, which is no failure, and goes on at the new one from the generation held;
// while that one is down, the module hears of it and asks again there. Of several moves the last counts.
func TestMove(t *testing.T) {
	asked, told := make(chan string, 8), make(chan *node.List, 8)
	stand := func(name string, lines ...string) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- name + " " + r.URL.RequestURI()
			for _, l := range lines {
				fmt.Fprintln(w, l)
			}
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
	}
	first, second := stand("first", line(42, true)), stand("second", line(43, false))
	defer first.Close()
	defer second.Close()
	down := httptest.NewServer(nil)
	down.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	r := New(Options{Addr: "127.0.0.1:1"}, sockets.NewBudget(4), zerolog.Nop())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan struct{})
	r.SetAddr(addr(down))
	r.SetAddr(addr(first))
	go func() { r.Run(ctx, func(l *node.List) { told <- l }); close(ended) }()
	got := []string{<-asked, describe(<-told)}
	r.SetAddr(addr(down))
	got = append(got, describe(<-told))
	r.Watch()
	got = append(got, describe(<-told))
	r.SetAddr(addr(second))
	got = append(got, <-asked, describe(<-told))
	cancel()
	<-ended
	if diff := cmp.Diff([]string{"first /api/targets?watch=1", "whole", "failed", "failed",
		"second /api/targets?watch=1&from=42", "changes"}, got); diff != "" {
		t.Error(diff)
	}
}

// Where changes come unasked, the actor begins a watch again by itself.
func TestUnasked(t *testing.T) {
	watches := make(chan string, 8)
	stand := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watches <- r.URL.RequestURI()
		fmt.Fprintln(w, line(7, true))
	}))
	defer stand.Close()
	part := sockets.NewBudget(4)
	r := New(Options{Addr: strings.TrimPrefix(stand.URL, "http://"), AutoWatch: true, BaseRetryDelay: time.Millisecond}, part,
		zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { r.Run(ctx, func(*node.List) {}); close(ended) }()
	got := []string{<-watches, <-watches}
	cancel()
	<-ended
	if diff := cmp.Diff([]string{"/api/targets?watch=1", "/api/targets?watch=1&from=7"}, got); diff != "" {
		t.Error(diff)
	}
}

// Danger: a whole fleet that lost its registry would come back in step and at once. Where nodes watch by
// themselves they wait longer after each failure, each for a time of its own, until a line has come.
//
// Danger: what has changed meanwhile counts as told once the registry is back, heard or not; a node that waits for long
// would push to servers past the grace of their drain.
func TestUnaskedSpread(t *testing.T) {
	testUnaskedSpread(t, 0, mostWait)
	testUnaskedSpread(t, 1500*time.Millisecond, 750*time.Millisecond)
}

func testUnaskedSpread(t *testing.T, grace, longest time.Duration) {
	const answered = 6 // the call of so many that brings a line before the registry is down again
	synctest.Test(t, func(t *testing.T) {
		starts := map[uint64][]time.Duration{}
		for seed := range uint64(2) {
			begun, watched := time.Now(), 0
			r := New(Options{AutoWatch: true, BaseRetryDelay: time.Second, DrainGrace: grace, Seed: seed}, sockets.NewBudget(4), zerolog.Nop())
			r.client.Transport = roundTrip(func(*http.Request) (*http.Response, error) {
				starts[seed] = append(starts[seed], time.Since(begun))
				if watched++; watched == answered {
					return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("\n"))}, nil
				}
				return nil, errors.New("down")
			})
			ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
			r.Run(ctx, func(*node.List) {})
			cancel()
			most := time.Second / soon
			for k := 1; k < watched; k++ {
				if k == answered { // a line, though it told nothing, sets the wait back
					most = time.Second / soon
				}
				if wait := starts[seed][k] - starts[seed][k-1]; wait < most/2 || wait > most {
					t.Errorf("grace %v: wait %d is %v, not within half of %v", grace, k, wait, most)
				}
				most = min(2*most, longest)
			}
			if watched < 6 || r.again != longest {
				t.Errorf("grace %v: %d watches in 40 s, the wait stands at %v", grace, watched, r.again)
			}
		}
		if starts[0][1] == starts[1][1] {
			t.Error("two nodes come back in step")
		}
	})
}

// The registry is down for longer than any wait between two tries, comes back, and a server drains at once: that is heard within
// the drain's grace. Down is a connection that is reset; the test steps by the calls that come.
func TestComesBackWithADrain(t *testing.T) {
	const grace = 400 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := New(Options{Addr: l.Addr().String(), AutoWatch: true, BaseRetryDelay: time.Second, DrainGrace: grace}, sockets.NewBudget(4), zerolog.Nop())
	told := make(chan *node.List, 64)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	ended := make(chan struct{})
	go func() { r.Run(ctx, func(l *node.List) { told <- l }); close(ended) }()
	var back time.Time // right after the last call that failed: the drain is told from here on
	lag := together.NewTimerLag()
	for range 8 {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		back = time.Now()
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	body := line(43, true, entry("s-1", "leaving", "127.0.0.1:1", 0)) + "\n"
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	for heard := ""; !strings.Contains(heard, "draining"); {
		select {
		case list := <-told:
			heard = describe(list)
		case <-ctx.Done():
			t.Fatal("the drain was not heard")
		}
	}
	took := time.Since(back)
	if late, _ := lag.Stop(); took > grace+late {
		t.Errorf("the drain was heard after %v", took)
	}
	cancel()
	<-ended
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Every node puts the same servers in the same order, whatever it heard of first, and an id keeps its number.
func TestServerIDs(t *testing.T) {
	one, other := newNames(nil, nil), newNames(nil, nil)
	ids := []string{"s-5be2a07c", "s-1", "s-2", ""}
	for i := range ids {
		one.server(ids[i])
		other.server(ids[len(ids)-1-i])
	}
	if diff := cmp.Diff(one.servers, other.servers); diff != "" {
		t.Error(diff)
	}
	clash := newNames(nil, nil)
	clash.taken[one.servers["s-1"]] = true
	if got := clash.server("s-1"); got == one.servers["s-1"] || got != clash.server("s-1") {
		t.Errorf("a number in use was given again, or not kept: %x", got)
	}
}

// Danger: on long days ids are ever new. What has left gives its number back, whether told as left or missing from a
// whole list, and has the same one should it return; words in excess don't take another's number.
func TestReplacements(t *testing.T) {
	n := newNames(nil, nil)
	id := func(i int) string { return fmt.Sprintf("s-%d", i) }
	parse := func(reset bool, entries ...string) *node.List {
		l, _, err := n.parse([]byte(line(1, reset, entries...)))
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	first := parse(true, entry(id(0), "active", "127.0.0.1:1", 0)).Entries[0].Server
	for i := range 5000 {
		parse(false, entry(id(i+1), "active", "127.0.0.1:1", i), entry(id(i), "left", "", 0))
	}
	for i := range 5000 {
		parse(true, entry(id(i), "active", "127.0.0.1:1", i))
	}
	if len(n.servers) != 1 || len(n.taken) != 1 {
		t.Errorf("%d ids and %d numbers are kept for one server", len(n.servers), len(n.taken))
	}
	if again := parse(false, entry(id(0), "active", "127.0.0.1:1", 9)).Entries[0].Server; again != first {
		t.Errorf("back as %x, was %x", again, first)
	}
	var words []string
	for i := range 1000 {
		if at := index(&words, id(i)); int(at) != min(i, 255) {
			t.Fatalf("word %d is number %d", i, at)
		}
	}
}

func TestLineWithoutEnd(t *testing.T) {
	endless := bufio.NewReader(strings.NewReader(strings.Repeat("x", longest+8192)))
	if _, err := readLine(endless); err == nil || !strings.Contains(err.Error(), "too long") {
		t.Errorf("got %v", err)
	}
}
