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

	"canvasrouter/internal/lab/together"
	"canvasrouter/internal/node"
	"canvasrouter/internal/sockets"
	"canvasrouter/policy"
)

// toldBy is the aim: a change counts as told 6 s after the registry had it and could be reached.
const toldBy = 4500 * time.Millisecond

// ways are how a call to the registry can fail, in simulated time; each gives what a call brings until the registry is back.
var ways = map[string]func(*http.Request) (*http.Response, error){
	"refused":              func(*http.Request) (*http.Response, error) { return nil, errors.New("refused") },
	"503":                  func(*http.Request) (*http.Response, error) { return reply(http.StatusServiceUnavailable, ""), nil },
	"reset after the head": func(*http.Request) (*http.Response, error) { return reply(http.StatusOK, ""), nil },
	"half an answer, then its end": func(*http.Request) (*http.Response, error) {
		return reply(http.StatusOK, line(42, true)[:20]), nil
	},
	"never up": func(r *http.Request) (*http.Response, error) {
		select {
		case <-time.After(dialWait):
			return nil, errors.New("dial timed out")
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	},
	"silent": func(r *http.Request) (*http.Response, error) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	},
	"half an answer, then silence": func(r *http.Request) (*http.Response, error) {
		return hanging(r, line(42, true)[:20]), nil
	},
	"503 after some seconds": func(r *http.Request) (*http.Response, error) {
		select {
		case <-time.After(2 * time.Second):
			return reply(http.StatusServiceUnavailable, ""), nil
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	},
	"a line, then silence":         func(r *http.Request) (*http.Response, error) { return hanging(r, "\n"), nil },
	"an object that never ends":    func(r *http.Request) (*http.Response, error) { return trickling(r), nil },
	"broken, and no whole list":    func(r *http.Request) (*http.Response, error) { return broken(r), nil },
	"a line, then the watch's end": func(*http.Request) (*http.Response, error) { return reply(http.StatusOK, "\n"), nil },
}

func reply(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(strings.NewReader(body))}
}

// hanging is an answer that brings something and then nothing, until its call is given up.
func hanging(r *http.Request, body string) *http.Response {
	in, out := io.Pipe()
	go func() {
		io.WriteString(out, body)
		<-r.Context().Done()
		out.CloseWithError(r.Context().Err())
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: in}
}

// trickling is an object that comes indented, a line a second, and never ends.
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

// broken is a watch with a line that can't be read; the whole list that is asked for then says nothing.
func broken(r *http.Request) *http.Response {
	if r.URL.Query().Get("watch") == "1" {
		return hanging(r, "{nonsense\n")
	}
	return hanging(r, "")
}

// Whatever way calls fail, a registry that is back is heard in time, whether changes come unasked or the module asks; here the
// module itself never asks again. And a registry that is down is not asked without end.
func TestToldOnceBack(t *testing.T) {
	for name, way := range ways {
		for _, unasked := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, unasked %v", name, unasked), func(t *testing.T) {
				worst, most := time.Duration(0), 0.0
				for seed := range uint64(60) {
					down := 8*time.Second + time.Duration(seed)*97*time.Millisecond
					took, calls := returns(t, way, unasked, down, seed)
					worst, most = max(worst, took), max(most, float64(calls)/down.Seconds())
				}
				t.Logf("told after %v at the worst, %.1f calls a second while it is down", worst, most)
				if worst > toldBy {
					t.Errorf("told %v after its return", worst)
				}
				bears := 1.0
				if name == "a line, then the watch's end" {
					bears = 6 // it answers, and is asked again as soon as after any watch that stood
				}
				if most > bears {
					t.Errorf("%.1f calls a second while it is down", most)
				}
			})
		}
	}
}

// returns plays a registry that fails in one way for a while, and answers from then on: how long it takes until the change is
// told, and the calls made while it was down.
func returns(t *testing.T, way func(*http.Request) (*http.Response, error), unasked bool, down time.Duration, seed uint64) (took time.Duration, calls int) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		r := New(Options{AutoWatch: unasked, BaseRetryDelay: time.Second, Seed: seed}, sockets.NewBudget(4), zerolog.Nop())
		var mu sync.Mutex
		r.client.Transport = roundTrip(func(q *http.Request) (*http.Response, error) {
			mu.Lock()
			is := time.Since(begun) < down
			if is {
				calls++
			}
			mu.Unlock()
			if is {
				return way(q)
			}
			return hanging(q, line(50, true, entry("s-1", "leaving", "127.0.0.1:1", 0))+"\n"), nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		told := make(chan time.Duration, 1)
		go func() {
			defer close(ended)
			r.Run(ctx, func(l *node.List) {
				if len(l.Entries) > 0 {
					select {
					case told <- time.Since(begun) - down:
					default:
					}
				}
			})
		}()
		r.Watch()
		took = <-told
		cancel()
		<-ended
	})
	return took, calls
}

// On sockets, a few hundred nodes at once, with a module that asks as the real one does. The registry accepts and says nothing,
// or refuses, or ends what it accepts, or is silent on a watch that stands; then it is back with a drain, and each node hears
// of it in time, counted from when its machine could be reached.
func TestToldOnceBackOnSockets(t *testing.T) {
	const nodes, down = 50, 4 * time.Second
	var all sync.WaitGroup
	lag := together.NewTimerLag()
	var mu sync.Mutex
	worst := map[string]time.Duration{}
	for _, name := range []string{"silent", "503", "reset", "half an answer", "silent watch"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		var back atomic.Bool
		hung := make(chan struct{})
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go behave(c, name, back.Load(), hung)
			}
		}()
		begun := time.Now()
		time.AfterFunc(down, func() { back.Store(true) })
		for i := range nodes {
			all.Go(func() {
				r := New(Options{Addr: l.Addr().String(), AutoWatch: i%2 == 0, BaseRetryDelay: time.Second, Seed: uint64(i)}, sockets.NewBudget(4), zerolog.Nop())
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				ended, told := make(chan struct{}), make(chan bool, 1)
				go func() {
					defer close(ended)
					r.Run(ctx, func(l *node.List) {
						if len(l.Entries) > 0 && l.Entries[0].State == policy.Draining {
							told <- true
							cancel()
						}
					})
				}()
				r.Watch()
				<-ended
				took := time.Since(begun) - down
				mu.Lock()
				defer mu.Unlock()
				worst[name] = max(worst[name], took)
				if len(told) == 0 {
					t.Errorf("%s: node %d heard nothing", name, i)
				}
			})
		}
		defer close(hung)
	}
	all.Wait()
	late, _ := lag.Stop()
	for name, took := range worst {
		most := toldBy
		if name == "silent watch" { // from when it fell silent, at the beginning
			most = 6*time.Second - down
		}
		t.Logf("%s: told %v after its return at the worst", name, took)
		if took > most+late {
			t.Errorf("%s: told %v after its return", name, took)
		}
	}
}

// behave is the registry's side of a connection.
func behave(c net.Conn, name string, back bool, hung <-chan struct{}) {
	defer c.Close()
	if name == "reset" && !back {
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	text := line(50, true, entry("s-1", "leaving", "127.0.0.1:1", 0)) + "\n"
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	switch {
	case back:
		io.WriteString(c, head+chunk(text))
	case name == "503":
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	case name == "half an answer":
		io.WriteString(c, head+chunk(text[:30]))
	case name == "silent watch":
		io.WriteString(c, head+chunk("\n"))
	}
	<-hung
}
