package main

import (
	"encoding/json"
	"fmt"
	"io"
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

	"canvasrouter/internal/lab/harness"
)

// acceptFaultEnv names the errno that accept fails with, in spells, in a program built by buildWithAcceptFaults.
const acceptFaultEnv = "CANVASROUTER_TEST_ACCEPT_ERRNO"

// acceptFault is laid over the start of accept in package internal/poll.
const acceptFault = `
func injectedAcceptError() error {
	text, _ := syscall.Getenv("` + acceptFaultEnv + `")
	errno := 0
	for _, digit := range text {
		errno = 10*errno + int(digit-'0')
	}
	var now syscall.Timeval
	syscall.Gettimeofday(&now)
	if errno == 0 || (int64(now.Sec)*1000+int64(now.Usec)/1000)%2000 >= 900 {
		return nil
	}
	return syscall.Errno(errno)
}

func accept(s int) (int, syscall.Sockaddr, string, error) {
	if err := injectedAcceptError(); err != nil {
		return -1, nil, "accept4", err
	}
`

// acceptFaultSpell is how long accept fails, every two seconds; acceptFault has it in milliseconds.
const acceptFaultSpell = 900 * time.Millisecond

// buildWithAcceptFaults builds the program with faults laid over the Go library.
func buildWithAcceptFaults(t *testing.T) (path string) {
	t.Helper()
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		t.Fatal(err)
	}
	source := filepath.Join(strings.TrimSpace(string(root)), "src/internal/poll/sock_cloexec.go")
	raw, err := os.ReadFile(source)
	const signature = "\nfunc accept(s int) (int, syscall.Sockaddr, string, error) {\n"
	if err != nil || !strings.Contains(string(raw), signature) {
		t.Fatalf("%s: %v, or accept has changed", source, err)
	}
	dir := t.TempDir()
	changed := filepath.Join(dir, "changed.go")
	overlay := filepath.Join(dir, "overlay.json")
	overlayJSON, _ := json.Marshal(map[string]any{"Replace": map[string]string{source: changed}})
	if err := os.WriteFile(changed, []byte(strings.Replace(string(raw), signature, acceptFault, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(overlay, overlayJSON, 0o600); err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(dir, "canvasrouter")
	if out, err := exec.Command("go", "build", "-overlay", overlay, "-tags", "platform", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// TestAcceptFails guards against a node that ends, or stops accepting for longer than accept fails.
func TestAcceptFails(t *testing.T) {
	const (
		clients  = 4
		duration = 3 * time.Second
		holdUp   = 150 * time.Millisecond // a node may be held up for as long
		noFault  = syscall.Errno(0)
	)
	program := buildWithAcceptFaults(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "fine") }))
	t.Cleanup(server.Close)
	for _, errno := range []syscall.Errno{noFault, syscall.ECONNABORTED, syscall.EINTR, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.EPROTO,
		syscall.ENOPROTOOPT, syscall.ENONET, syscall.EPERM, syscall.ETIMEDOUT} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			addr := freeAddr(t)
			p := startNode(t, func(p *process) {
				p.Path = program
				p.Env = append(p.Env, fmt.Sprintf("%s=%d", acceptFaultEnv, errno))
				p.setCachedServers(t, server.Listener.Addr().String())
			}, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(t))
			awaitReady(t, addr)
			lag := harness.NewTimerLag()
			worst := sendBookingsFor(t, addr, clients, duration)
			late, _ := lag.Stop()
			if worst > acceptFaultSpell+holdUp+late {
				t.Errorf("an op took %v", worst)
			}
			p.Process.Signal(syscall.SIGTERM)
			if err := p.Wait(); err != nil {
				t.Errorf("exit: %v, log %s", err, p.log.String())
			}
		})
	}
}

// sendBookingsFor lets clients send ops, one after the other, for a time, checks that each is answered, and returns the longest
// time that one took.
func sendBookingsFor(t *testing.T, addr string, clients int, duration time.Duration) (worst time.Duration) {
	var running sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(duration)
	for client := range clients {
		running.Go(func() {
			for op := 0; time.Now().Before(end); op++ {
				started := time.Now()
				answer := sendBooking(addr, fmt.Sprintf("/booking/%d-%d", client, op))
				mu.Lock()
				worst = max(worst, time.Since(started))
				mu.Unlock()
				if !strings.HasPrefix(answer, "200 ") && !strings.HasPrefix(answer, "503 ") {
					t.Error(answer)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	running.Wait()
	return worst
}
