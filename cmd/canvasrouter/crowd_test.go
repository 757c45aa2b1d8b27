package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"canvasrouter/internal/lab/together"
)

// crowd keeps so many connections open that say nothing, and opens another for each that is closed.
func crowd(t *testing.T, addr string, size int) (shut *atomic.Int64) {
	shut = &atomic.Int64{}
	var all sync.WaitGroup
	over := make(chan struct{})
	for range size {
		all.Go(func() {
			for {
				c, err := net.DialTimeout("tcp", addr, time.Second)
				if err == nil {
					go func() { <-over; c.Close() }()
					_, err = c.Read(make([]byte, 1))
					shut.Add(1)
					c.Close()
				}
				select {
				case <-over:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	t.Cleanup(func() { close(over); all.Wait() })
	return shut
}

// Idle clients fill all the descriptors that a process may have, while the registry is down. At its return the node takes up
// the list again and hears of a drain in time; ops are answered all the while, and SIGHUP is heard.
func TestIdleCrowdWhileTheRegistryIsDown(t *testing.T) {
	const sockets = 64
	var kept, drained atomic.Int64
	server := func(count *atomic.Int64) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			count.Add(1)
			io.WriteString(w, "fine")
		})}
		go s.Serve(l)
		t.Cleanup(func() { s.Close() })
		return l.Addr().String()
	}
	stays, leaves := server(&kept), server(&drained)
	registry, addr := free(t), free(t)
	p := start(t, func(p *process) {
		p.known(t, stays, leaves)
		p.Path, p.Args = "/bin/sh", []string{"sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, os.Args[0])}
	}, "127.0.0.1:8081", addr, "127.0.0.1:8500", registry, `"sockets": 256`, fmt.Sprintf(`"sockets": %d`, sockets))
	awaitReady(t, addr)
	shut := crowd(t, addr, 4*sockets)
	var answered, lost atomic.Int64
	ask := func() {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return // refused: nothing was taken
		}
		r := dialRaw(t, addr)
		c.Close()
		r.send(lookup(fmt.Sprint("op-", time.Now().UnixNano())))
		if got := r.answer(); strings.HasPrefix(got, "200") {
			answered.Add(1)
		} else {
			lost.Add(1)
		}
		r.Close()
	}
	for begun := time.Now(); time.Since(begun) < 1500*time.Millisecond; {
		ask()
	}
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	t.Logf("registry down: %d of %d descriptors open, %d idle clients shut, ops answered %d, not %d", len(files), sockets, shut.Load(), answered.Load(), lost.Load())
	if len(files) < sockets/2-4 || answered.Load() == 0 {
		t.Errorf("%d descriptors open, %d ops answered: no crowd, or no service", len(files), answered.Load())
	}
	p.configure(t, "127.0.0.1:8081", addr, "127.0.0.1:8500", registry, `"sockets": 256`, fmt.Sprintf(`"sockets": %d`, sockets))
	p.known(t, stays, leaves)
	p.Process.Signal(syscall.SIGHUP) // a file more is read
	l, err := net.Listen("tcp", registry)
	if err != nil {
		t.Fatal(err)
	}
	back, told := time.Now(), make(chan time.Duration, 1)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"generation":9,"reset":false,"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"a","machineType":"m1","cell":0,"lifecycle":"leaving","weight":1,"startedAtMs":0}]}`+"\n", leaves)
		w.(http.Flusher).Flush()
		select {
		case told <- time.Since(back):
		default:
		}
		<-r.Context().Done()
	})}
	go s.Serve(l)
	defer s.Close()
	lag := together.NewTimerLag()
	var took time.Duration
	select {
	case took = <-told:
	case <-time.After(10 * time.Second):
		t.Fatal("the node does not come back to the registry")
	}
	late, _ := lag.Stop()
	t.Logf("the list is followed again %v after the registry's return", took)
	if took > 4500*time.Millisecond+late {
		t.Errorf("the list is followed again after %v", took)
	}
	time.Sleep(200 * time.Millisecond)
	before := drained.Load()
	for begun := time.Now(); time.Since(begun) < time.Second; {
		ask()
	}
	if more := drained.Load() - before; more > 0 || kept.Load() == 0 {
		t.Errorf("%d pushes to the server that drains", more)
	}
	if total := answered.Load() + lost.Load(); lost.Load()*4 > total {
		t.Errorf("%d of %d ops not served", lost.Load(), total)
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if !strings.Contains(p.log.String(), "configuration taken over") {
		t.Errorf("SIGHUP was not heard: %s", p.log.String())
	}
}
