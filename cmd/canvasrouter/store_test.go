//go:build !platform

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"canvasrouter/internal/fleet"
	"canvasrouter/internal/store"
)

// storeHarness runs three replicas and some nodes, each as a process of the program.
type storeHarness struct {
	t            *testing.T
	replicaAddrs []string
	replicas     []*exec.Cmd
	replicaFiles []string            // configuration files
	nodes        map[string]*process // by name
	nodeAddrs    map[string]string   // client addresses, by name
}

// newStoreHarness starts the replicas.
func newStoreHarness(t *testing.T) *storeHarness {
	s := &storeHarness{
		t:         t,
		nodes:     map[string]*process{},
		nodeAddrs: map[string]string{},
		replicas:  make([]*exec.Cmd, 3),
	}
	for range 3 {
		s.replicaAddrs = append(s.replicaAddrs, freeAddr(t))
	}
	dir := t.TempDir()
	for i := range 3 {
		file := filepath.Join(dir, fmt.Sprintf("replica-%d.json", i))
		raw, _ := json.Marshal(map[string]any{
			"number":   i,
			"listen":   s.replicaAddrs[i],
			"replicas": s.replicaAddrs,
			"dir":      filepath.Join(dir, fmt.Sprint("state-", i)),
		})
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		s.replicaFiles = append(s.replicaFiles, file)
		s.startReplica(i)
	}
	return s
}

// startReplica starts one of the replicas and waits until it answers.
func (s *storeHarness) startReplica(i int) {
	s.t.Helper()
	cmd := exec.Command(os.Args[0], "replica", s.replicaFiles[i])
	cmd.Env = append(os.Environ(), runAsNodeEnv+"=1")
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.replicas[i] = cmd
	stop := time.AfterFunc(100*time.Second, func() { cmd.Process.Kill() })
	s.t.Cleanup(func() {
		stop.Stop()
		cmd.Process.Kill()
		cmd.Wait()
	})
	s.waitUntil("a replica does not answer", 10*time.Second, func() bool {
		response, err := http.Get("http://" + s.replicaAddrs[i] + "/state")
		if err == nil {
			response.Body.Close()
		}
		return err == nil
	})
}

// signalReplica sends a signal to a replica, and waits for its end if the signal ends it.
func (s *storeHarness) signalReplica(i int, signal syscall.Signal) {
	s.replicas[i].Process.Signal(signal)
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		s.replicas[i].Wait()
	}
}

// startNode starts a node of a service and waits until it is ready.
func (s *storeHarness) startNode(name, service string) *process {
	s.t.Helper()
	addr := freeAddr(s.t)
	key, _ := json.Marshal(map[string]any{"replicas": s.replicaAddrs, "service": service})
	p := startNodeWithTimeout(s.t, 100*time.Second, func(*process) {}, "127.0.0.1:8081", addr, "127.0.0.1:8500", freeAddr(s.t),
		`"name": "n0"`, fmt.Sprintf(`"store": %s, "name": %q`, key, name))
	awaitReady(s.t, addr)
	s.nodes[name] = p
	s.nodeAddrs[name] = addr
	return p
}

// waitUntil waits for a condition and returns how long that took. After timeout the test fails.
func (s *storeHarness) waitUntil(failure string, timeout time.Duration, condition func() bool) time.Duration {
	s.t.Helper()
	for started := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return time.Since(started)
		}
		if time.Since(started) > timeout {
			s.t.Fatalf("%s within %v", failure, timeout)
		}
	}
}

// runCommand runs one of the program's commands.
func (s *storeHarness) runCommand(args ...string) (out string, code int) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsNodeEnv+"=1", "NODE_CONFIG=")
	raw, _ := cmd.CombinedOutput()
	return string(raw), cmd.ProcessState.ExitCode()
}

// runChange runs the command change with the configuration of a node.
func (s *storeHarness) runChange(node, key, patch string, more ...string) (string, int) {
	args := append([]string{"change", s.nodes[node].configPath, "--key", key}, more...)
	if patch != "" {
		file := filepath.Join(s.t.TempDir(), "patch.json")
		if err := os.WriteFile(file, []byte(patch), 0o600); err != nil {
			s.t.Fatal(err)
		}
		args = append(args, "--patch", file)
	}
	return s.runCommand(args...)
}

// status sends an op of a category to a node and returns the status: 404 if the node has no such category, 503 if it has,
// because no server is up.
func (s *storeHarness) status(node, category string) int {
	request, _ := http.NewRequest(http.MethodGet, "http://"+s.nodeAddrs[node]+"/"+category, nil)
	request.Header.Set("X-Txn", fmt.Sprint(time.Now().UnixNano()))
	request.Header.Set("X-Remaining-Ms", "500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// categoryPatch is a patch that replaces all categories by one.
func categoryPatch(name string) string {
	return fmt.Sprintf(`{"settings": {"categories": [{"name": %q, "benefit": 1.0, "effect": "idempotent", "target_latency": 300.0, "ttl": 900.0}]}}`, name)
}

// TestStore checks changes of configuration with real processes. A change is in force at the nodes it is for and at no
// others. An invalid one is refused as a whole with the key at fault. Of two conflicting changes one is refused, a repeated
// request is applied once, and a change can be rolled back. A node that was away gets the changes it missed. Changes still
// work with one replica down; with two down none is accepted and all nodes keep their configuration.
func TestStore(t *testing.T) {
	s := newStoreHarness(t)
	for _, name := range []string{"a1", "a2"} {
		s.startNode(name, "alpha")
	}
	s.startNode("b1", "beta")
	s.waitUntil("the nodes have not reported", 10*time.Second, func() bool { return len(fetchStates(s.replicaAddrs).nodes) == 3 })
	expect := func(step, out string, code, wantCode int, wantParts ...string) {
		t.Helper()
		if code != wantCode {
			t.Errorf("%s: exit %d: %s", step, code, out)
		}
		for _, part := range wantParts {
			if !strings.Contains(out, part) {
				t.Errorf("%s: no %q in %s", step, part, out)
			}
		}
	}
	out, code := s.runChange("a1", "service/alpha", categoryPatch("new"), "--id", "first")
	expect("a change for a service", out, code, 0, "chosen, version 1", "in force at 2 of 2 nodes")
	for node, want := range map[string]int{"a1": 503, "a2": 503, "b1": 404} {
		if got := s.status(node, "new"); got != want {
			t.Errorf("%s: %d, not %d", node, got, want)
		}
	}
	out, code = s.runChange("a1", "service/alpha", categoryPatch("new"), "--id", "first")
	expect("the same change twice", out, code, 0, "known, version 1")
	out, code = s.runChange("a1", "service/alpha", categoryPatch("newer"), "--from", "0")
	expect("a change from an old version", out, code, 2, "conflict: version 1 stands")
	for patch, part := range map[string]string{
		`{"settings": {"tick": "often"}}`:                  "setting tick is no number",
		`{"listen": "127.0.0.1:1"}`:                        "key listen can't be changed",
		`{"settings": {"slot_no": 3}}`:                     "key settings.slot_no is a node's own",
		`{"settings": {"limits": {"max_pushes": 0}}}`:      "setting limits.max_pushes is out of range",
		`{"settings": {"categories": [{"name": "half"}]}}`: "categories.0",
	} {
		out, code = s.runChange("a1", "all", patch)
		expect(patch, out, code, 2, "refused: ", part)
	}
	out, code = s.runChange("a1", "service/alpha", `{"settings": {"tick": 5}}`, "--needs", "2", "--wait", "4s")
	expect("a change that needs a newer format", out, code, 2, "a1 refuses version 2: it needs form 2", "in force at 0 of 2")
	if got := s.status("a1", "new"); got != 503 {
		t.Errorf("the previous change is no longer in force: %d", got)
	}
	out, code = s.runChange("a1", "service/alpha", "", "--back")
	expect("a rollback", out, code, 0, "chosen, version 3", "in force at 2 of 2")
	// One node is paused during two changes, another one restarts with its old file.
	s.nodes["b1"].Process.Signal(syscall.SIGSTOP)
	s.nodes["a2"].Process.Kill()
	s.nodes["a2"].Wait()
	out, code = s.runChange("a1", "all", `{"log_level": "warn"}`, "--wait", "3s")
	expect("a change with two nodes away", out, code, 2, "in force at 1 of 3 nodes", "b1 runs version 0", "a2 runs version 0")
	out, _ = s.runChange("a1", "service/beta", categoryPatch("late"), "--wait", "0s")
	expect("a change for a node that is away", out, 0, 0, "chosen, version 1")
	s.nodes["b1"].Process.Signal(syscall.SIGCONT)
	took := s.waitUntil("the paused node does not run the change", 8*time.Second, func() bool { return s.status("b1", "late") == 503 })
	t.Logf("a paused node runs the change %v after it continues", took)
	s.startNode("a2", "alpha")
	took = s.waitUntil("the node with the old file does not run the change", 8*time.Second, func() bool { return s.status("a2", "new") == 503 })
	t.Logf("a node with its old file runs the change %v after its start", took)
	out, code = s.runCommand("changes", s.nodes["a1"].configPath)
	expect("the command changes", out, code, 0, "all: version 1", "in force at 3 of 3 nodes", "service/alpha: version 3", "service/beta: version 1")
	// One replica is killed.
	s.signalReplica(0, syscall.SIGKILL)
	out, code = s.runChange("a1", "service/alpha", categoryPatch("one-gone"))
	expect("one replica down", out, code, 0, "chosen, version 4", "in force at 2 of 2")
	// Two replicas are down: one is killed, one is paused.
	s.signalReplica(1, syscall.SIGSTOP)
	out, code = s.runChange("a1", "service/alpha", categoryPatch("two-gone"), "--id", "doubt")
	expect("two replicas down", out, code, 2, "no majority")
	for node, want := range map[string]int{"a1": 503, "a2": 503} {
		if got := s.status(node, "one-gone"); got != want {
			t.Errorf("with two replicas down %s: %d, not %d", node, got, want)
		}
	}
	s.signalReplica(1, syscall.SIGCONT)
	s.startReplica(0)
	out, code = s.runChange("a1", "service/alpha", categoryPatch("two-gone"), "--id", "doubt")
	expect("the same change with all replicas up", out, code, 0, "version 5", "in force at 2 of 2")
	s.waitUntil("a replica that was down does not know the changes it missed", 8*time.Second, func() bool {
		states := fetchStates(s.replicaAddrs)
		for _, replica := range states.replicas {
			for _, value := range replica.Values {
				if value.Key == "service/alpha" && value.Version != 5 {
					return false
				}
			}
		}
		return len(states.replicas) == 3
	})
	for name, node := range s.nodes {
		node.Process.Signal(syscall.SIGTERM)
		if err := node.Wait(); err != nil {
			t.Errorf("%s: exit %v: %s", name, err, node.log.String())
		}
	}
}

// TestInvalidStoreFiles checks that an invalid file of a replica or an invalid key store leads to one line that names the
// key and a non-zero exit code.
func TestInvalidStoreFiles(t *testing.T) {
	dir := t.TempDir()
	s := &storeHarness{t: t}
	for raw, want := range map[string]string{
		`{"number": 0, "listen": "127.0.0.1:1", "replicas": ["127.0.0.1:1", "127.0.0.1:2"], "dir": "x"}`: "key replicas",
		`{"listen": "127.0.0.1:1", "replicas": ["127.0.0.1:1"], "dir": "x"}`:                             "key number",
		`{"number": 0, "listen": "nowhere", "replicas": ["127.0.0.1:1"], "dir": "x"}`:                    "key replicas or listen",
		`{"number": 0, "listen": "127.0.0.1:1", "replicas": ["127.0.0.1:1"]}`:                            "key dir",
		`{"number": 0, "disten": 1}`: "disten",
	} {
		file := filepath.Join(dir, "replica.json")
		os.WriteFile(file, []byte(raw), 0o600)
		if out, code := s.runCommand("replica", file); code == 0 || strings.Count(out, "\n") != 1 || !strings.Contains(out, want) {
			t.Errorf("%s: exit %d, %q", raw, code, out)
		}
	}
	example, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{
		`{"replicas": []}`:                                    "key store.replicas",
		`{"replicas": ["nowhere"]}`:                           "key store.replicas",
		`{"replicas": ["127.0.0.1:1"], "service": "a/b"}`:     "key store.service",
		`{"replicas": ["127.0.0.1:1"], "bind": "here"}`:       "key store.bind",
		`{"replicas": ["127.0.0.1:1"], "sevice": "misspelt"}`: "sevice",
		`{"replicas": "127.0.0.1:1"}`:                         "key store.replicas",
	} {
		file := filepath.Join(dir, "node.json")
		os.WriteFile(file, []byte(strings.Replace(string(example), `"name"`, `"store": `+key+`, "name"`, 1)), 0o600)
		if out, code := s.runCommand("check", file); code == 0 || strings.Count(out, "\n") != 1 || !strings.Contains(out, want) {
			t.Errorf("%s: exit %d, %q", key, code, out)
		}
	}
	file := filepath.Join(dir, "node.json")
	os.WriteFile(file, []byte(strings.Replace(string(example), `"name"`, `"store": {"replicas": ["127.0.0.1:1"], "service": "alpha"}, "name"`, 1)), 0o600)
	if out, code := s.runCommand("explain", file); code != 0 || !strings.Contains(out, `service "alpha"'s`) {
		t.Errorf("explain: exit %d, %s", code, out)
	}
	if out, code := s.runCommand("change", "../../deploy/example.json", "--key", "all", "--back"); code == 0 || !strings.Contains(out, "key store is left out") {
		t.Errorf("a node without the key: exit %d, %s", code, out)
	}
}

// TestFleetViewShowsStore checks that the view of a node shows the changes that it received, runs and refuses.
func TestFleetViewShowsStore(t *testing.T) {
	var text strings.Builder
	printView(&text, &fleet.View{Store: &store.View{
		Replica:  "127.0.0.1:7950",
		Received: map[store.Key]store.Version{"all": 3},
		Applied:  map[store.Key]store.Version{"all": 2},
		Refused:  map[store.Key]store.Refusal{"all": {Version: 3, Reason: "setting tick is no number"}},
	}})
	for _, want := range []string{
		"store: watches 127.0.0.1:7950; runs map[all:2] of what it was told, map[all:3]",
		"all version 3 refused: setting tick is no number",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in %s", want, text.String())
		}
	}
}
