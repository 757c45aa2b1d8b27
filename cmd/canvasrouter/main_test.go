package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"canvasrouter/internal/lab/harness"
)

// runAsNodeEnv is the environment variable that makes the test binary run as the program itself.
const runAsNodeEnv = "CANVASROUTER_TEST_AS_NODE"

// TestMain runs the program instead of the tests if runAsNodeEnv is set.
func TestMain(m *testing.M) {
	if os.Getenv(runAsNodeEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// process is a node that runs as a process of its own.
type process struct {
	*exec.Cmd
	log        bytes.Buffer
	configPath string
}

// startNode starts a node with the example configuration after the given replacements, pairs of old and new text. prepare
// may change the process before it starts.
func startNode(t *testing.T, prepare func(*process), changes ...string) *process {
	t.Helper()
	return startNodeWithTimeout(t, 20*time.Second, prepare, changes...)
}

// startNodeWithTimeout is startNode for a process that is killed after timeout.
func startNodeWithTimeout(t *testing.T, timeout time.Duration, prepare func(*process), changes ...string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0]), configPath: filepath.Join(t.TempDir(), "config.json")}
	p.configure(t, changes...)
	p.Env = append(os.Environ(), runAsNodeEnv+"=1", "NODE_CONFIG="+p.configPath)
	p.Stderr = &p.log
	prepare(p)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	stop := time.AfterFunc(timeout, func() { p.Process.Kill() })
	t.Cleanup(func() {
		stop.Stop()
		p.Process.Kill()
	})
	return p
}

// configure writes the example configuration after the given replacements.
func (p *process) configure(t *testing.T, changes ...string) {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/example.json")
	if err == nil {
		err = os.WriteFile(p.configPath, []byte(strings.NewReplacer(changes...).Replace(string(raw))), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// freeAddr returns an address at which nobody listens.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startServer starts a server that passes each of its connections to serve, and closes it afterwards.
func startServer(t *testing.T, serve func(net.Conn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// awaitReady waits until the node at addr is ready.
func awaitReady(t *testing.T, addr string) {
	t.Helper()
	for started := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		response, err := http.Get("http://" + addr + "/-/ready")
		if err == nil {
			response.Body.Close()
			break
		}
		if time.Since(started) > 10*time.Second {
			t.Fatal("the node is not ready after 10 s")
		}
	}
}

// sendBooking sends an op on a connection of its own and returns the status and the body of the answer.
func sendBooking(addr, path string) string {
	request, _ := http.NewRequest("POST", "http://"+addr+path, strings.NewReader("body"))
	request.Header.Set("X-Txn", "9b1f"+strings.TrimPrefix(path, "/booking/"))
	request.Header.Set("Idempotency-Key", "k")
	request.Header.Set("X-Remaining-Ms", "2500")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return fmt.Sprint(response.StatusCode, " ", string(body))
}

// TestBadConfig checks that an invalid configuration leads to one line that names the key and a non-zero exit code.
func TestBadConfig(t *testing.T) {
	for _, c := range [][3]string{
		{`"tick": 5.0`, `"tick": "often"`, "setting tick is no number"},
		{`"hostPort": "127.0.0.1:8181"`, `"hostPort": "nowhere"`, "key known: instance"},
		{`"listen": "127.0.0.1:8081"`, `"listen": "127.0.0.1:99999"`, "key listen"},
	} {
		p := startNode(t, func(*process) {}, c[0], c[1])
		err := p.Wait()
		if err == nil || strings.Count(p.log.String(), "\n") != 1 || !strings.Contains(p.log.String(), c[2]) {
			t.Errorf("%s: exit %v, log %q", c[1], err, p.log.String())
		}
	}
}

// TestPlannedRestart checks that a node without a registry is ready and serves ops, and that after SIGTERM it finishes the
// pending op, serves an op that still arrives, and exits with 0.
func TestPlannedRestart(t *testing.T) {
	pushed, finish := make(chan bool, 1), make(chan bool)
	var once sync.Once
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			once.Do(func() { pushed <- true })
			<-finish
		}
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s", r.Header.Get("X-Txn"), r.RequestURI, body)
	}))
	defer server.Close()
	addr := freeAddr(t)
	p := startNode(t, func(*process) {}, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t),
		"127.0.0.1:8181", strings.TrimPrefix(server.URL, "http://"))
	awaitReady(t, addr)
	var slow sync.WaitGroup
	slow.Go(func() {
		if got := sendBooking(addr, "/booking/slow"); got != "200 9b1fslow /booking/slow body" {
			t.Errorf("the pending op: %s", got)
		}
	})
	<-pushed
	p.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	if got := sendBooking(addr, "/booking/a//b?k=%2f"); got != "200 9b1fa//b?k=%2f /booking/a//b?k=%2f body" {
		t.Errorf("an op that arrived while the node drained: %s", got)
	}
	time.Sleep(600 * time.Millisecond)
	close(finish)
	slow.Wait()
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v, log %s", err, p.log.String())
	}
}

// TestPlannedRestartLongTTL checks that an op with a long TTL is answered before a planned restart ends in a kill, although
// its server is silent and its client would go on waiting. The kill does not wait for a TTL of more than 3 s.
func TestPlannedRestartLongTTL(t *testing.T) {
	pushed, finish := make(chan bool, 8), make(chan bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost { // ignores calls from nodes of other tests, whose registry address was a free port that this server may have got
			pushed <- true
			<-finish
		}
	}))
	defer server.Close()
	defer close(finish)
	addr := freeAddr(t)
	p := startNode(t, func(*process) {}, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t),
		"127.0.0.1:8181", strings.TrimPrefix(server.URL, "http://"),
		`"target_latency": 500.0, "ttl": 1200.0`, `"target_latency": 30000.0, "ttl": 60000.0`)
	awaitReady(t, addr)
	status := make(chan int, 1)
	go func() {
		request, _ := http.NewRequest("POST", "http://"+addr+"/booking", strings.NewReader("body"))
		request.Header.Set("X-Txn", "9b1f")
		request.Header.Set("Idempotency-Key", "k")
		request.Header.Set("X-Remaining-Ms", "60000")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		response.Body.Close()
		status <- response.StatusCode
	}()
	<-pushed
	p.Process.Signal(syscall.SIGTERM)
	terminated := time.Now()
	lag := harness.NewTimerLag()
	if got := <-status; got != http.StatusBadGateway { // its one push may have run
		t.Errorf("status %d", got)
	}
	took := time.Since(terminated)
	if late, _ := lag.Stop(); took > 3700*time.Millisecond+late { // the delays of this process itself are allowed for
		t.Errorf("answered after %v", took)
	}
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v, log %s", err, p.log.String())
	}
}

// TestTerminatedDuringStart checks that a node which gets SIGTERM during its start exits with 0. Without a handler the
// signal would kill it, and it would count as crashed. The configuration comes from a pipe, so that the signal arrives
// before the node has started.
func TestTerminatedDuringStart(t *testing.T) {
	var raw []byte
	p := startNode(t, func(p *process) {
		raw, _ = os.ReadFile(p.configPath)
		os.Remove(p.configPath)
		if err := syscall.Mkfifo(p.configPath, 0o600); err != nil {
			t.Fatal(err)
		}
	}, "127.0.0.1:8081", freeAddr(t), "127.0.0.1:8500", freeAddr(t))
	config, err := os.OpenFile(p.configPath, os.O_WRONLY, 0) // blocks until the node opens the pipe
	if err != nil {
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGTERM)
	config.Write(raw)
	config.Close()
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v, log %s", err, p.log.String())
	}
}

// TestReload checks that SIGHUP applies a new configuration while an op is pending: the list is followed at the new address.
// An invalid file changes nothing, and keys that cannot change are named in the log.
func TestReload(t *testing.T) {
	pushed, finish := make(chan bool, 1), make(chan bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pushed <- true
		<-finish
	}))
	defer server.Close()
	watches := make(chan string, 8)
	discovery := func(name string) string {
		registry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			watches <- name + " " + r.URL.RequestURI()
			fmt.Fprintln(w, `{"generation":2,"reset":false,"instances":[]}`)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(registry.CloseClientConnections)
		return strings.TrimPrefix(registry.URL, "http://")
	}
	addr := freeAddr(t)
	changes := []string{"127.0.0.1:8081", addr, "127.0.0.1:8181", strings.TrimPrefix(server.URL, "http://")}
	at := func(registry string, more ...string) []string {
		return append(append([]string{"127.0.0.1:8500", registry}, changes...), more...)
	}
	p := startNode(t, func(*process) {}, at(discovery("old"))...)
	awaitReady(t, addr)
	got := []string{<-watches}
	var slow sync.WaitGroup
	slow.Go(func() {
		if got := sendBooking(addr, "/booking"); got != "200 " {
			t.Errorf("the pending op: %s", got)
		}
	})
	<-pushed
	p.configure(t, at(discovery("new"), `"sockets": 256`, `"sockets": 255`)...)
	p.Process.Signal(syscall.SIGHUP)
	got = append(got, <-watches)
	if err := os.WriteFile(p.configPath, []byte(`{"name": "n0", "lis`), 0o600); err != nil {
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // pending signals of the same kind are merged
	p.configure(t, at(discovery("last"))...)
	p.Process.Signal(syscall.SIGHUP)
	got = append(got, <-watches)
	close(finish)
	slow.Wait()
	p.Process.Signal(syscall.SIGTERM)
	p.Process.Signal(syscall.SIGHUP)
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v, log %s", err, p.log.String())
	}
	want := []string{"old /api/targets?watch=1&from=1", "new /api/targets?watch=1&from=2", "last /api/targets?watch=1&from=2"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for _, line := range []string{`"keys":["limits"]`, "not taken over"} {
		if strings.Count(p.log.String(), line) != 1 {
			t.Errorf("%s is not exactly once in the log: %s", line, p.log.String())
		}
	}
}

// TestBlockedLog checks that neither ops nor the exit wait for a log that nobody reads and whose pipe is full.
func TestBlockedLog(t *testing.T) {
	addr := freeAddr(t)
	unread, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	defer log.Close()
	p := startNode(t, func(p *process) { p.Stderr = log }, "127.0.0.1:8081", addr, "127.0.0.1:8181", freeAddr(t),
		"127.0.0.1:8500", freeAddr(t), `"seed"`, `"log_level": "debug", "seed"`)
	awaitReady(t, addr)
	for range 1000 { // about 300 bytes of log each; a pipe holds 64 KiB
		if got := sendBooking(addr, "/booking"); got != "503 " {
			t.Fatal(got)
		}
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestCommands checks that the commands read a configuration as the node does. A missing or invalid one leads to one line
// and a non-zero exit code.
func TestCommands(t *testing.T) {
	run := func(args ...string) (string, int) {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(), runAsNodeEnv+"=1", "NODE_CONFIG=")
		out, _ := cmd.CombinedOutput()
		return string(out), cmd.ProcessState.ExitCode()
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"check", "../../deploy/example.json"}, 0, "no fault found"},
		{[]string{"explain", "../../deploy/example.json"}, 0, "Category booking: benefit 1 within 500ms"},
		{[]string{"version"}, 0, "canvasrouter "},
		{[]string{"check", "../../deploy/balancer.toml"}, 2, "not JSON"},
		{[]string{"serve", "nowhere.json"}, 2, "nowhere.json"},
		{nil, 2, "NODE_CONFIG is not set"},
	} {
		out, code := run(c.args...)
		if code != c.code || !strings.Contains(out, c.want) || code != 0 && strings.Count(out, "\n") != 1 {
			t.Errorf("%v: exit %d, %q", c.args, code, out)
		}
	}
}
