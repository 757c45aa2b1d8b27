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

	"canvasrouter/internal/lab/harness"
	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

// listLine is one line of a watch.
func listLine(generation int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, reset, strings.Join(entries, ","))
}

// instanceJSON is one server of a list.
func instanceJSON(id, lifecycle, addr string, startedAtMs int) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"b","machineType":"m2","cell":3,"lifecycle":%q,`+
		`"weight":1.5,"startedAtMs":%d}`, id, addr, lifecycle, startedAtMs)
}

// runScript runs a client against a fake registry until the watch has ended. The fake answers a watch with the parts of
// script and a call for the full list with fullList. The result is the lists that the client reported, then the calls
// that it made.
func runScript(t *testing.T, script []string, fullList string, keepOpen bool) []string {
	t.Helper()
	releaseWatch := make(chan struct{})
	var calls []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		calls = append(calls, "asked "+request.URL.RequestURI())
		if request.URL.Query().Get("watch") == "" {
			fmt.Fprintln(w, fullList)
			return
		}
		if len(script) == 1 && script[0] == "down" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for _, part := range script {
			fmt.Fprint(w, part)
			w.(http.Flusher).Flush()
		}
		if keepOpen {
			<-releaseWatch
		}
	}))
	defer server.Close()
	defer close(releaseWatch)
	budget := sockets.NewBudget(4)
	// The next call is made only after a delay that is longer than the test takes, so it does not cross the end of the test. A
	// watch that has fallen silent is reopened within the first retry delay.
	retryDelay := time.Hour
	if keepOpen {
		retryDelay = firstRetryDivisor * time.Second
	}
	client := New(Options{Addr: strings.TrimPrefix(server.URL, "http://"), Zones: []string{"a", "b"}, BaseRetryDelay: retryDelay},
		budget, zerolog.Nop())
	if keepOpen {
		client.maxSilence = 100 * time.Millisecond
	}
	cached, err := client.LoadCached([]byte(listLine(41, true, instanceJSON("s-1", "active", "127.0.0.1:1", 0))))
	if err != nil {
		t.Fatal(err)
	}
	lists := make(chan *node.List, 16)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		client.Run(ctx, func(l *node.List) { lists <- l })
		close(ended)
	}()
	client.Watch()
	trace := []string{describe(cached)}
	for trace[len(trace)-1] != "failed" {
		select {
		case l := <-lists:
			trace = append(trace, describe(l))
		case <-ctx.Done():
			t.Fatal("the end of the watch was not reported; so far: ", trace)
		}
	}
	cancel()
	<-ended
	return append(trace, calls...)
}

// describe is a list in one line of text.
func describe(l *node.List) string {
	out := [...]string{"changes", "full", "cached", "failed"}[l.Form]
	for i, e := range l.Entries {
		out += fmt.Sprintf(" %s %s zone %d started %d", [...]string{"ready", "draining", "gone"}[e.State], l.Addrs[i],
			e.Zone, e.StartedAt/policy.Millisecond)
	}
	return out
}

// indented spreads a JSON object over several lines.
func indented(object string) string {
	var out bytes.Buffer
	json.Indent(&out, []byte(object), "", "  ")
	return out.String()
}

// TestWatch checks that the client reports what a watch brings in order, and the end of the watch once, however it ends.
func TestWatch(t *testing.T) {
	const cached, asked = "cached ready 127.0.0.1:1 zone 1 started 0", "asked /api/targets?watch=1&from=41"
	for name, c := range map[string]struct {
		script   []string
		keepOpen bool
		fullList string
		want     []string
	}{
		"changes": {script: []string{listLine(42, false, instanceJSON("s-1", "leaving", "127.0.0.1:1", 0)) + "\n",
			listLine(43, false, instanceJSON("s-1", "left", "", 0)) + "\n"},
			want: []string{cached, "changes draining 127.0.0.1:1 zone 1 started 0", "changes gone  zone 1 started 0",
				"failed", asked}},
		"back with another address and start": {script: []string{
			listLine(42, false, instanceJSON("s-1", "active", "127.0.0.1:2", 77)) + "\n"},
			want: []string{cached, "changes ready 127.0.0.1:2 zone 1 started 77", "failed", asked}},
		"the full list first": {script: []string{listLine(3, true) + "\n"}, want: []string{cached, "full", "failed", asked}},
		// Unless the policy gets a list of changes, it does not know that it is subscribed and asks again and again.
		"nothing changed":      {script: []string{listLine(41, false) + "\n"}, want: []string{cached, "changes", "failed", asked}},
		"empty lines":          {script: []string{"\n", "\n", "\n"}, want: []string{cached, "changes", "failed", asked}},
		"an incomplete line":   {script: []string{listLine(42, true)[:30]}, want: []string{cached, "failed", asked}},
		"the registry is down": {script: []string{"down"}, want: []string{cached, "failed", asked}},
		// A registry that is cut off sends nothing, and its connection stays open. A backoff before the watch is reopened
		// would use up the time after which the changes that it missed count as delivered.
		"a silent watch": {script: []string{listLine(42, false) + "\n"}, keepOpen: true,
			want: []string{cached, "changes", "changes", "failed", asked, "asked /api/targets?watch=1&from=42"}},
		"indented": {script: []string{indented(listLine(42, false, instanceJSON("s-1", "leaving", "127.0.0.1:1", 0))) + "\n\n",
			listLine(43, false, instanceJSON("s-1", "left", "", 0)) + "\n"},
			want: []string{cached, "changes draining 127.0.0.1:1 zone 1 started 0", "changes gone  zone 1 started 0",
				"failed", asked}},
		"the end of the watch in the middle of an indented object": {script: []string{
			indented(listLine(42, false, instanceJSON("s-1", "leaving", "127.0.0.1:1", 0)))[:38] + "\n"},
			want: []string{cached, "failed", asked}},
		"an indented object that is not finished": {script: []string{"{\n  \"generation\": 42,\n\n"},
			fullList: listLine(44, true, instanceJSON("s-2", "active", "127.0.0.1:3", 0)),
			want:     []string{cached, "full ready 127.0.0.1:3 zone 1 started 0", "failed", asked, "asked /api/targets"}},
		// Otherwise servers of the earlier registry would stay on the list for good.
		"changes of a registry that has started anew": {script: []string{
			listLine(5, false, instanceJSON("s-2", "leaving", "127.0.0.1:3", 0)) + "\n",
			listLine(6, false, instanceJSON("s-2", "left", "", 0)) + "\n",
			listLine(7, false, instanceJSON("s-3", "left", "", 0)) + "\n"},
			fullList: listLine(6, true, instanceJSON("s-3", "active", "127.0.0.1:4", 0)),
			want: []string{cached, "full ready 127.0.0.1:4 zone 1 started 0", "changes gone  zone 1 started 0", "failed", asked,
				"asked /api/targets"}},
		"a broken line": {script: []string{"{nonsense\n", listLine(44, false, instanceJSON("s-1", "left", "", 0)) + "\n",
			listLine(45, false, instanceJSON("s-1", "left", "", 0)) + "\n"},
			fullList: listLine(44, true, instanceJSON("s-2", "active", "127.0.0.1:3", 0)),
			want: []string{cached, "full ready 127.0.0.1:3 zone 1 started 0", "changes gone  zone 1 started 0", "failed",
				asked, "asked /api/targets"}},
		"a broken line, and a full list older than a change": {script: []string{
			listLine(43, false, instanceJSON("s-1", "leaving", "127.0.0.1:1", 0)) + "\n", "{nonsense\n"},
			fullList: listLine(42, true, instanceJSON("s-1", "active", "127.0.0.1:1", 0)),
			want: []string{cached, "changes draining 127.0.0.1:1 zone 1 started 0", "failed", asked,
				"asked /api/targets"}},
		"an unknown lifecycle": {script: []string{listLine(42, false, instanceJSON("s-1", "sleeping", "127.0.0.1:1", 0)) + "\n"},
			fullList: "no list either", want: []string{cached, "failed", asked, "asked /api/targets"}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, runScript(t, c.script, c.fullList, c.keepOpen)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSetAddr checks that a new address ends the watch at the old one without a reported failure, and that the client
// goes on at the new address from the known generation. While that one is down, the failure is reported and the client
// retries there. Of several addresses the last one counts.
func TestSetAddr(t *testing.T) {
	calls, lists := make(chan string, 8), make(chan *node.List, 8)
	startRegistry := func(name string, lines ...string) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			calls <- name + " " + request.URL.RequestURI()
			for _, line := range lines {
				fmt.Fprintln(w, line)
			}
			w.(http.Flusher).Flush()
			<-request.Context().Done()
		}))
	}
	first, second := startRegistry("first", listLine(42, true)), startRegistry("second", listLine(43, false))
	defer first.Close()
	defer second.Close()
	down := httptest.NewServer(nil)
	down.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	client := New(Options{Addr: "127.0.0.1:1"}, sockets.NewBudget(4), zerolog.Nop())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan struct{})
	client.SetAddr(addr(down))
	client.SetAddr(addr(first))
	go func() {
		client.Run(ctx, func(l *node.List) { lists <- l })
		close(ended)
	}()
	got := []string{<-calls, describe(<-lists)}
	client.SetAddr(addr(down))
	got = append(got, describe(<-lists))
	client.Watch()
	got = append(got, describe(<-lists))
	client.SetAddr(addr(second))
	got = append(got, <-calls, describe(<-lists))
	cancel()
	<-ended
	if diff := cmp.Diff([]string{"first /api/targets?watch=1", "full", "failed", "failed",
		"second /api/targets?watch=1&from=42", "changes"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestAutoWatch checks that a client with AutoWatch opens the next watch by itself.
func TestAutoWatch(t *testing.T) {
	watches := make(chan string, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		watches <- request.URL.RequestURI()
		fmt.Fprintln(w, listLine(7, true))
	}))
	defer server.Close()
	budget := sockets.NewBudget(4)
	client := New(Options{Addr: strings.TrimPrefix(server.URL, "http://"), AutoWatch: true, BaseRetryDelay: time.Millisecond}, budget,
		zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		client.Run(ctx, func(*node.List) {})
		close(ended)
	}()
	got := []string{<-watches, <-watches}
	cancel()
	<-ended
	if diff := cmp.Diff([]string{"/api/targets?watch=1", "/api/targets?watch=1&from=7"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestAutoWatchBackoff guards against two failures. A fleet that lost its registry would reconnect in step and at once:
// with AutoWatch a client waits longer after each failure, for a random time, until a line has arrived. And the changes
// made meanwhile count as delivered once the registry is back, so a client that waits too long would let its node push to
// servers past their drain grace.
func TestAutoWatchBackoff(t *testing.T) {
	testAutoWatchBackoff(t, 0, maxRetryDelay)
	testAutoWatchBackoff(t, 1500*time.Millisecond, 750*time.Millisecond)
}

// testAutoWatchBackoff checks the delays between the watches of two clients under a drain grace, and the longest delay.
func testAutoWatchBackoff(t *testing.T, grace, longest time.Duration) {
	const answered = 6 // the sixth call brings a line; then the registry is down again
	synctest.Test(t, func(t *testing.T) {
		starts := map[uint64][]time.Duration{}
		for seed := range uint64(2) {
			started := time.Now()
			watches := 0
			client := New(Options{AutoWatch: true, BaseRetryDelay: time.Second, DrainGrace: grace, Seed: seed}, sockets.NewBudget(4), zerolog.Nop())
			client.httpClient.Transport = roundTrip(func(*http.Request) (*http.Response, error) {
				starts[seed] = append(starts[seed], time.Since(started))
				if watches++; watches == answered {
					return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("\n"))}, nil
				}
				return nil, errors.New("down")
			})
			ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
			client.Run(ctx, func(*node.List) {})
			cancel()
			limit := time.Second / firstRetryDivisor
			for k := 1; k < watches; k++ {
				if k == answered { // an empty line resets the backoff, too
					limit = time.Second / firstRetryDivisor
				}
				if delay := starts[seed][k] - starts[seed][k-1]; delay < limit/2 || delay > limit {
					t.Errorf("grace %v: delay %d is %v, not from half of %[4]v to %[4]v", grace, k, delay, limit)
				}
				limit = min(2*limit, longest)
			}
			if watches < 6 || client.retryDelay != longest {
				t.Errorf("grace %v: %d watches in 40 s, the delay limit is %v", grace, watches, client.retryDelay)
			}
		}
		if starts[0][1] == starts[1][1] {
			t.Error("two clients reconnect in step")
		}
	})
}

// TestReconnectDuringDrain checks the time to reconnect: the registry is down for longer than any retry delay, comes back,
// and a server drains at once. The client must report that within the drain grace. While the registry is down it resets
// each connection; the test advances with the calls that arrive.
func TestReconnectDuringDrain(t *testing.T) {
	const grace = 400 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := New(Options{Addr: listener.Addr().String(), AutoWatch: true, BaseRetryDelay: time.Second, DrainGrace: grace}, sockets.NewBudget(4), zerolog.Nop())
	lists := make(chan *node.List, 64)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		client.Run(ctx, func(l *node.List) { lists <- l })
		close(ended)
	}()
	var backSince time.Time // after the last failed call: the registry is back from here on
	lag := harness.NewTimerLag()
	for range 8 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		backSince = time.Now()
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		t.Fatal(err)
	}
	body := listLine(43, true, instanceJSON("s-1", "leaving", "127.0.0.1:1", 0)) + "\n"
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	for reported := ""; !strings.Contains(reported, "draining"); {
		select {
		case list := <-lists:
			reported = describe(list)
		case <-ctx.Done():
			t.Fatal("the drain was not reported")
		}
	}
	took := time.Since(backSince)
	if late, _ := lag.Stop(); took > grace+late {
		t.Errorf("the drain was reported after %v", took)
	}
	cancel()
	<-ended
}

// roundTrip is a function as an http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestServerIDs checks that all nodes give the same servers the same IDs in whatever order they learn of them, and that an
// instance keeps its ID.
func TestServerIDs(t *testing.T) {
	one, other := newIDAllocator(nil, nil), newIDAllocator(nil, nil)
	ids := []string{"s-5be2a07c", "s-1", "s-2", ""}
	for i := range ids {
		one.serverID(ids[i])
		other.serverID(ids[len(ids)-1-i])
	}
	if diff := cmp.Diff(one.serverIDs, other.serverIDs); diff != "" {
		t.Error(diff)
	}
	collision := newIDAllocator(nil, nil)
	collision.usedIDs[one.serverIDs["s-1"]] = true
	if got := collision.serverID("s-1"); got == one.serverIDs["s-1"] || got != collision.serverID("s-1") {
		t.Errorf("an ID in use was assigned again, or the ID was not kept: %x", got)
	}
}

// TestReleasedIDs guards against maps that grow without bound where new instances keep arriving. An instance that has left
// frees its ID, whether it is listed as left or missing from a full list, and gets the same ID if it returns. Names past
// the limit share the last number and never take another name's number.
func TestReleasedIDs(t *testing.T) {
	ids := newIDAllocator(nil, nil)
	id := func(i int) string { return fmt.Sprintf("s-%d", i) }
	parse := func(reset bool, entries ...string) *node.List {
		list, _, err := ids.parseList([]byte(listLine(1, reset, entries...)))
		if err != nil {
			t.Fatal(err)
		}
		return list
	}
	first := parse(true, instanceJSON(id(0), "active", "127.0.0.1:1", 0)).Entries[0].Server
	for i := range 5000 {
		parse(false, instanceJSON(id(i+1), "active", "127.0.0.1:1", i), instanceJSON(id(i), "left", "", 0))
	}
	for i := range 5000 {
		parse(true, instanceJSON(id(i), "active", "127.0.0.1:1", i))
	}
	if len(ids.serverIDs) != 1 || len(ids.usedIDs) != 1 {
		t.Errorf("%d instance IDs and %d server IDs are kept for one server", len(ids.serverIDs), len(ids.usedIDs))
	}
	if returned := parse(false, instanceJSON(id(0), "active", "127.0.0.1:1", 9)).Entries[0].Server; returned != first {
		t.Errorf("returned with ID %x, had %x", returned, first)
	}
	var names []string
	for i := range 1000 {
		if number := nameIndex(&names, id(i)); int(number) != min(i, 255) {
			t.Fatalf("name %d has number %d", i, number)
		}
	}
}

// TestLineTooLong checks that a line without an end is refused instead of filling the memory.
func TestLineTooLong(t *testing.T) {
	endless := bufio.NewReader(strings.NewReader(strings.Repeat("x", maxLineBytes+8192)))
	if _, err := readLine(endless); err == nil || !strings.Contains(err.Error(), "too long") {
		t.Errorf("got %v", err)
	}
}
