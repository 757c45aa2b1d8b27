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

// storeRig is three replicas and some nodes, each a process of the program.
type storeRig struct {
	t        *testing.T
	addrs    []string
	replicas []*exec.Cmd
	files    []string
	nodes    map[string]*process
	listen   map[string]string
}

func newStoreRig(t *testing.T) *storeRig {
	s := &storeRig{t: t, nodes: map[string]*process{}, listen: map[string]string{}, replicas: make([]*exec.Cmd, 3)}
	for range 3 {
		s.addrs = append(s.addrs, free(t))
	}
	dir := t.TempDir()
	for i := range 3 {
		file := filepath.Join(dir, fmt.Sprintf("replica-%d.json", i))
		raw, _ := json.Marshal(map[string]any{"number": i, "listen": s.addrs[i], "replicas": s.addrs, "dir": filepath.Join(dir, fmt.Sprint("state-", i))})
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		s.files = append(s.files, file)
		s.replica(i)
	}
	return s
}

// replica starts one of the three.
func (s *storeRig) replica(i int) {
	s.t.Helper()
	cmd := exec.Command(os.Args[0], "replica", s.files[i])
	cmd.Env = append(os.Environ(), asNode+"=1")
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.replicas[i] = cmd
	stop := time.AfterFunc(100*time.Second, func() { cmd.Process.Kill() })
	s.t.Cleanup(func() { stop.Stop(); cmd.Process.Kill(); cmd.Wait() })
	s.await("a replica does not answer", 10*time.Second, func() bool {
		response, err := http.Get("http://" + s.addrs[i] + "/state")
		if err == nil {
			response.Body.Close()
		}
		return err == nil
	})
}

func (s *storeRig) end(i int, signal syscall.Signal) {
	s.replicas[i].Process.Signal(signal)
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		s.replicas[i].Wait()
	}
}

// node starts a node of a service.
func (s *storeRig) node(name, service string) *process {
	s.t.Helper()
	addr := free(s.t)
	key, _ := json.Marshal(map[string]any{"replicas": s.addrs, "service": service})
	p := startFor(s.t, 100*time.Second, func(*process) {}, "127.0.0.1:8081", addr, "127.0.0.1:8500", free(s.t), `"name": "n0"`, fmt.Sprintf(`"store": %s, "name": %q`, key, name))
	awaitReady(s.t, addr)
	s.nodes[name], s.listen[name] = p, addr
	return p
}

func (s *storeRig) await(what string, most time.Duration, is func() bool) time.Duration {
	s.t.Helper()
	for begun := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if is() {
			return time.Since(begun)
		}
		if time.Since(begun) > most {
			s.t.Fatalf("%s within %v", what, most)
		}
	}
}

// command runs one of the program's commands on a node's file.
func (s *storeRig) command(args ...string) (out string, code int) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asNode+"=1", "NODE_CONFIG=")
	raw, _ := cmd.CombinedOutput()
	return string(raw), cmd.ProcessState.ExitCode()
}

func (s *storeRig) change(node, key, patch string, more ...string) (string, int) {
	args := append([]string{"change", s.nodes[node].config, "--key", key}, more...)
	if patch != "" {
		file := filepath.Join(s.t.TempDir(), "patch.json")
		if err := os.WriteFile(file, []byte(patch), 0o600); err != nil {
			s.t.Fatal(err)
		}
		args = append(args, "--patch", file)
	}
	return s.command(args...)
}

// status asks a node for a category: 404 where it has none of that name, 503 where it has, since no server is up.
func (s *storeRig) status(node, category string) int {
	q, _ := http.NewRequest(http.MethodGet, "http://"+s.listen[node]+"/"+category, nil)
	q.Header.Set("X-Txn", fmt.Sprint(time.Now().UnixNano()))
	q.Header.Set("X-Remaining-Ms", "500")
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func categories(name string) string {
	return fmt.Sprintf(`{"settings": {"categories": [{"name": %q, "benefit": 1.0, "effect": "idempotent", "target_latency": 300.0, "ttl": 900.0}]}}`, name)
}

// Changes by the program's own processes: in force at the nodes that they are for and no others, refused whole and named where they are
// faulty, told apart where two are made at once, the same once where it is asked twice, taken back, and known after an absence;
// with one replica gone they go on, with two none is taken and all nodes go on as they are.
func TestStore(t *testing.T) {
	s := newStoreRig(t)
	for _, name := range []string{"a1", "a2"} {
		s.node(name, "alpha")
	}
	s.node("b1", "beta")
	s.await("the nodes' reports are not there", 10*time.Second, func() bool { return len(gatherStates(s.addrs).nodes) == 3 })
	expect := func(what, out string, code, want int, has ...string) {
		t.Helper()
		if code != want {
			t.Errorf("%s: exit %d: %s", what, code, out)
		}
		for _, part := range has {
			if !strings.Contains(out, part) {
				t.Errorf("%s: no %q in %s", what, part, out)
			}
		}
	}
	out, code := s.change("a1", "service/alpha", categories("new"), "--id", "first")
	expect("a change for a service", out, code, 0, "chosen, version 1", "in force at 2 of 2 nodes")
	for node, want := range map[string]int{"a1": 503, "a2": 503, "b1": 404} {
		if got := s.status(node, "new"); got != want {
			t.Errorf("%s: %d, not %d", node, got, want)
		}
	}
	out, code = s.change("a1", "service/alpha", categories("new"), "--id", "first")
	expect("the same change twice", out, code, 0, "known, version 1")
	out, code = s.change("a1", "service/alpha", categories("newer"), "--from", "0")
	expect("from a version that does not stand", out, code, 2, "conflict: version 1 stands")
	for patch, part := range map[string]string{
		`{"settings": {"tick": "often"}}`:                  "setting tick is no number",
		`{"listen": "127.0.0.1:1"}`:                        "key listen can't be changed",
		`{"settings": {"slot_no": 3}}`:                     "key settings.slot_no is a node's own",
		`{"settings": {"limits": {"max_pushes": 0}}}`:      "setting limits.max_pushes is out of range",
		`{"settings": {"categories": [{"name": "half"}]}}`: "categories.0",
	} {
		out, code = s.change("a1", "all", patch)
		expect(patch, out, code, 2, "refused: ", part)
	}
	out, code = s.change("a1", "service/alpha", `{"settings": {"tick": 5}}`, "--needs", "2", "--wait", "4s")
	expect("of a later form", out, code, 2, "a1 refuses version 2: it needs form 2", "in force at 0 of 2")
	if got := s.status("a1", "new"); got != 503 {
		t.Errorf("what ran before is gone: %d", got)
	}
	out, code = s.change("a1", "service/alpha", "", "--back")
	expect("the way back", out, code, 0, "chosen, version 3", "in force at 2 of 2")
	// A node that was stopped through changes, and one that starts with its old file.
	s.nodes["b1"].Process.Signal(syscall.SIGSTOP)
	s.nodes["a2"].Process.Kill()
	s.nodes["a2"].Wait()
	out, code = s.change("a1", "all", `{"log_level": "warn"}`, "--wait", "3s")
	expect("two nodes away", out, code, 2, "in force at 1 of 3 nodes", "b1 runs version 0", "a2 runs version 0")
	out, _ = s.change("a1", "service/beta", categories("late"), "--wait", "0s")
	expect("a change for who is away", out, 0, 0, "chosen, version 1")
	s.nodes["b1"].Process.Signal(syscall.SIGCONT)
	took := s.await("the node that was stopped does not run the change", 8*time.Second, func() bool { return s.status("b1", "late") == 503 })
	t.Logf("a node that was stopped runs the change %v after it goes on", took)
	s.node("a2", "alpha")
	took = s.await("the node with the old file does not run the change", 8*time.Second, func() bool { return s.status("a2", "new") == 503 })
	t.Logf("a node with its old file runs the change %v after its start", took)
	out, code = s.command("changes", s.nodes["a1"].config)
	expect("what stands", out, code, 0, "all: version 1", "in force at 3 of 3 nodes", "service/alpha: version 3", "service/beta: version 1")
	// One replica gone, without a word.
	s.end(0, syscall.SIGKILL)
	out, code = s.change("a1", "service/alpha", categories("one-gone"))
	expect("one replica gone", out, code, 0, "chosen, version 4", "in force at 2 of 2")
	// Two gone: one killed, one that says nothing.
	s.end(1, syscall.SIGSTOP)
	out, code = s.change("a1", "service/alpha", categories("two-gone"), "--id", "doubt")
	expect("two replicas gone", out, code, 2, "no majority")
	for node, want := range map[string]int{"a1": 503, "a2": 503} {
		if got := s.status(node, "one-gone"); got != want {
			t.Errorf("with two replicas gone %s: %d, not %d", node, got, want)
		}
	}
	s.end(1, syscall.SIGCONT)
	s.replica(0)
	out, code = s.change("a1", "service/alpha", categories("two-gone"), "--id", "doubt")
	expect("the same again with all back", out, code, 0, "version 5", "in force at 2 of 2")
	s.await("a replica that was gone does not know what it missed", 8*time.Second, func() bool {
		states := gatherStates(s.addrs)
		for _, of := range states.all {
			for _, v := range of.Values {
				if v.Key == "service/alpha" && v.Version != 5 {
					return false
				}
			}
		}
		return len(states.all) == 3
	})
	for name, node := range s.nodes {
		node.Process.Signal(syscall.SIGTERM)
		if err := node.Wait(); err != nil {
			t.Errorf("%s: exit %v: %s", name, err, node.log.String())
		}
	}
}

// A faulty file of a replica or a faulty key store is one line that names the key, and a non-zero exit.
func TestStoreBadFiles(t *testing.T) {
	dir := t.TempDir()
	s := &storeRig{t: t}
	for raw, want := range map[string]string{
		`{"number": 0, "listen": "127.0.0.1:1", "replicas": ["127.0.0.1:1", "127.0.0.1:2"], "dir": "x"}`: "key replicas",
		`{"listen": "127.0.0.1:1", "replicas": ["127.0.0.1:1"], "dir": "x"}`:                             "key number",
		`{"number": 0, "listen": "nowhere", "replicas": ["127.0.0.1:1"], "dir": "x"}`:                    "key replicas or listen",
		`{"number": 0, "listen": "127.0.0.1:1", "replicas": ["127.0.0.1:1"]}`:                            "key dir",
		`{"number": 0, "disten": 1}`: "disten",
	} {
		file := filepath.Join(dir, "replica.json")
		os.WriteFile(file, []byte(raw), 0o600)
		if out, code := s.command("replica", file); code == 0 || strings.Count(out, "\n") != 1 || !strings.Contains(out, want) {
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
		if out, code := s.command("check", file); code == 0 || strings.Count(out, "\n") != 1 || !strings.Contains(out, want) {
			t.Errorf("%s: exit %d, %q", key, code, out)
		}
	}
	file := filepath.Join(dir, "node.json")
	os.WriteFile(file, []byte(strings.Replace(string(example), `"name"`, `"store": {"replicas": ["127.0.0.1:1"], "service": "alpha"}, "name"`, 1)), 0o600)
	if out, code := s.command("explain", file); code != 0 || !strings.Contains(out, `service "alpha"'s`) {
		t.Errorf("explain: exit %d, %s", code, out)
	}
	if out, code := s.command("change", "../../deploy/example.json", "--key", "all", "--back"); code == 0 || !strings.Contains(out, "key store is left out") {
		t.Errorf("a node without the key: exit %d, %s", code, out)
	}
}

// A node's own look shows which changes it was told of, runs, and refuses.
func TestFleetShowsTheStore(t *testing.T) {
	var b strings.Builder
	printView(&b, &fleet.View{Store: &store.View{Replica: "127.0.0.1:7950", Received: map[store.Key]store.Version{"all": 3}, Applied: map[store.Key]store.Version{"all": 2},
		Refused: map[store.Key]store.Refusal{"all": {Version: 3, Reason: "setting tick is no number"}}}})
	for _, want := range []string{"store: watches 127.0.0.1:7950; runs map[all:2] of what it was told, map[all:3]", "all version 3 refused: setting tick is no number"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in %s", want, b.String())
		}
	}
}
