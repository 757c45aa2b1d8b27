package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/lab/harness"
	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

// maxReportDelay bounds the time from the return of the registry to the report of a change. A change counts as delivered
// 6 s after the registry had it and could be reached.
const maxReportDelay = 4500 * time.Millisecond

// failureModes are the ways in which a call to the registry can fail, in simulated time. Each function answers the calls
// that are made until the registry is back.
var failureModes = map[string]func(*http.Request) (*http.Response, error){
	"refused":                func(*http.Request) (*http.Response, error) { return nil, errors.New("refused") },
	"503":                    func(*http.Request) (*http.Response, error) { return reply(http.StatusServiceUnavailable, ""), nil },
	"reset after the header": func(*http.Request) (*http.Response, error) { return reply(http.StatusOK, ""), nil },
	"half a response, then its end": func(*http.Request) (*http.Response, error) {
		return reply(http.StatusOK, listLine(42, true)[:20]), nil
	},
	"connection not established": func(r *http.Request) (*http.Response, error) {
		select {
		case <-time.After(dialTimeout):
			return nil, errors.New("dial timed out")
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	},
	"silent": func(r *http.Request) (*http.Response, error) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	},
	"half a response, then silence": func(r *http.Request) (*http.Response, error) {
		return hanging(r, listLine(42, true)[:20]), nil
	},
	"503 after some seconds": func(r *http.Request) (*http.Response, error) {
		select {
		case <-time.After(2 * time.Second):
			return reply(http.StatusServiceUnavailable, ""), nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	},
	"a line, then silence":          func(r *http.Request) (*http.Response, error) { return hanging(r, "\n"), nil },
	"an object that never ends":     func(r *http.Request) (*http.Response, error) { return trickling(r), nil },
	"broken line, and no full list": func(r *http.Request) (*http.Response, error) { return brokenWatch(r), nil },
	"a line, then the watch's end":  func(*http.Request) (*http.Response, error) { return reply(http.StatusOK, "\n"), nil },
}

// reply is a complete response.
func reply(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(strings.NewReader(body))}
}

// hanging is a response that brings body and then nothing, until its call is cancelled.
func hanging(r *http.Request, body string) *http.Response {
	in, out := io.Pipe()
	go func() {
		io.WriteString(out, body)
		<-r.Context().Done()
		out.CloseWithError(r.Context().Err())
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: in}
}

// trickling is a response with an indented object of one line a second that never ends.
func trickling(r *http.Request) *http.Response {
	in, out := io.Pipe()
	go func() {
		for text := "{\n"; ; text = "\"more\": {\n" {
			io.WriteString(out, text)
			select {
			case <-time.After(time.Second):
			case <-r.Context().Done():
				out.CloseWithError(r.Context().Err())
				return
			}
		}
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: in}
}

// brokenWatch is a watch with a line that cannot be decoded. The call for the full list that follows hangs.
func brokenWatch(r *http.Request) *http.Response {
	if r.URL.Query().Get("watch") == "1" {
		return hanging(r, "{nonsense\n")
	}
	return hanging(r, "")
}

// TestReportsAfterOutage checks for every failure mode, with and without AutoWatch, that the client reports a change in time once
// the registry is back, although the policy never asks again. It also bounds the calls that a registry gets while it is
// down.
func TestReportsAfterOutage(t *testing.T) {
	for name, fail := range failureModes {
		for _, autoWatch := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, AutoWatch %v", name, autoWatch), func(t *testing.T) {
				worstDelay, maxRate := time.Duration(0), 0.0
				for seed := range uint64(60) {
					down := 8*time.Second + time.Duration(seed)*97*time.Millisecond
					took, calls := outage(t, fail, autoWatch, down, seed)
					worstDelay = max(worstDelay, took)
					maxRate = max(maxRate, float64(calls)/down.Seconds())
				}
				t.Logf("worst report delay %v, %.1f calls a second while the registry is down", worstDelay, maxRate)
				if worstDelay > maxReportDelay {
					t.Errorf("the change was reported %v after the registry's return", worstDelay)
				}
				allowedRate := 1.0
				if name == "a line, then the watch's end" {
					allowedRate = 6 // the watch was established each time, so the backoff is reset
				}
				if maxRate > allowedRate {
					t.Errorf("%.1f calls a second while the registry is down", maxRate)
				}
			})
		}
	}
}

// outage runs a client against a registry that fails for a while and then answers. It returns the time from the return of
// the registry to the report of the change, and the number of calls made while it was down.
func outage(t *testing.T, fail func(*http.Request) (*http.Response, error), autoWatch bool, down time.Duration, seed uint64) (took time.Duration, calls int) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		client := New(Options{AutoWatch: autoWatch, BaseRetryDelay: time.Second, Seed: seed}, sockets.NewBudget(4), zerolog.Nop())
		var mu sync.Mutex
		client.httpClient.Transport = roundTrip(func(request *http.Request) (*http.Response, error) {
			mu.Lock()
			isDown := time.Since(started) < down
			if isDown {
				calls++
			}
			mu.Unlock()
			if isDown {
				return fail(request)
			}
			return hanging(request, listLine(50, true, instanceJSON("s-1", "leaving", "127.0.0.1:1", 0))+"\n"), nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		reported := make(chan time.Duration, 1)
		go func() {
			defer close(ended)
			client.Run(ctx, func(l *node.List) {
				if len(l.Entries) > 0 {
					select {
					case reported <- time.Since(started) - down:
					default:
					}
				}
			})
		}()
		client.Watch()
		took = <-reported
		cancel()
		<-ended
	})
	return took, calls
}

// TestReportsAfterOutageOnSockets runs 250 clients at once over real sockets, half of them with AutoWatch. The registry accepts
// and sends nothing, or answers 503, or resets connections, or stops in the middle of a response, or falls silent on an
// established watch. Then it is back with a draining server, and each client must report that in time.
func TestReportsAfterOutageOnSockets(t *testing.T) {
	const nodes, down = 50, 4 * time.Second
	var clients sync.WaitGroup
	lag := harness.NewTimerLag()
	var mu sync.Mutex
	worstDelay := map[string]time.Duration{}
	for _, name := range []string{"silent", "503", "reset", "half a response", "silent watch"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		var back atomic.Bool
		release := make(chan struct{})
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go answer(conn, name, back.Load(), release)
			}
		}()
		started := time.Now()
		time.AfterFunc(down, func() { back.Store(true) })
		for i := range nodes {
			clients.Go(func() {
				client := New(Options{Addr: listener.Addr().String(), AutoWatch: i%2 == 0, BaseRetryDelay: time.Second, Seed: uint64(i)}, sockets.NewBudget(4), zerolog.Nop())
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				ended, reported := make(chan struct{}), make(chan bool, 1)
				go func() {
					defer close(ended)
					client.Run(ctx, func(list *node.List) {
						if len(list.Entries) > 0 && list.Entries[0].State == policy.Draining {
							reported <- true
							cancel()
						}
					})
				}()
				client.Watch()
				<-ended
				took := time.Since(started) - down
				mu.Lock()
				defer mu.Unlock()
				worstDelay[name] = max(worstDelay[name], took)
				if len(reported) == 0 {
					t.Errorf("%s: client %d reported nothing", name, i)
				}
			})
		}
		defer close(release)
	}
	clients.Wait()
	late, _ := lag.Stop()
	for name, took := range worstDelay {
		limit := maxReportDelay
		if name == "silent watch" { // it fell silent at the start: the 6 s count from there
			limit = 6*time.Second - down
		}
		t.Logf("%s: worst report delay %v after the registry's return", name, took)
		if took > limit+late {
			t.Errorf("%s: the change was reported %v after the registry's return", name, took)
		}
	}
}

// answer is the registry's side of a connection. Responses that hang do so until release is closed.
func answer(conn net.Conn, mode string, back bool, release <-chan struct{}) {
	defer conn.Close()
	if mode == "reset" && !back {
		conn.(*net.TCPConn).SetLinger(0)
		return
	}
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	text := listLine(50, true, instanceJSON("s-1", "leaving", "127.0.0.1:1", 0)) + "\n"
	const header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	switch {
	case back:
		io.WriteString(conn, header+chunk(text))
	case mode == "503":
		io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	case mode == "half a response":
		io.WriteString(conn, header+chunk(text[:30]))
	case mode == "silent watch":
		io.WriteString(conn, header+chunk("\n"))
	}
	<-release
}
