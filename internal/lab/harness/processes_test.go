package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/relay"
	experiments "canvasrouter/lab"
)

// program is the path of the real program, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "canvasrouter-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "canvasrouter")
	if out, err := exec.Command("go", "build", "-o", program, "canvasrouter/cmd/canvasrouter").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const agreeTimeout = 60 * time.Second // agreement takes a few seconds, but more on a busy machine

// newProcesses opens a set of processes that the test's end kills.
func newProcesses(t *testing.T, nodes int) *Processes {
	t.Helper()
	s, err := scenario.Read(experiments.Files, "fleet-steady.toml")
	if err != nil {
		t.Fatal(err)
	}
	p, err := NewProcesses(program, s, nodes, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p
}

// startAll starts the processes of the given slots.
func (p *Processes) startAll(t *testing.T, slots ...int) {
	t.Helper()
	for _, slot := range slots {
		if err := p.Start(slot); err != nil {
			t.Fatal(err)
		}
	}
}

// requireAgreement fails the test unless the nodes in the given slots agree that exactly they are alive.
func (p *Processes) requireAgreement(t *testing.T, stage string, slots ...int) {
	t.Helper()
	if elapsed, err := p.WaitForAgreement(t.Context(), slots, agreeTimeout); err != nil {
		t.Fatalf("%s: %v", stage, err)
	} else {
		t.Logf("%s: %v", stage, elapsed.Round(10*time.Millisecond))
	}
}

// signalAll sends a signal to the processes of the given slots.
func (p *Processes) signalAll(t *testing.T, signal syscall.Signal, slots ...int) {
	t.Helper()
	for _, slot := range slots {
		if err := p.Signal(slot, signal); err != nil {
			t.Fatal(err)
		}
	}
}

// waitForLog waits for a text in the log of a slot's process.
func (p *Processes) waitForLog(t *testing.T, slot int, line string) {
	t.Helper()
	for deadline := time.Now().Add(agreeTimeout); !strings.Contains(p.Log(slot), line); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the process in slot %d has not logged %q: %s", slot, line, p.Log(slot))
		}
	}
}

// sequence returns the numbers from from up to, but not including, to.
func sequence(from, to int) (numbers []int) {
	for i := from; i < to; i++ {
		numbers = append(numbers, i)
	}
	return numbers
}

// Members find each other even if the nodes of the join list start last. A killed member is found dead, and comes back
// under its name as a new incarnation while older updates about it still spread. A stopped member continues. A member
// that leaves announces it.
func TestMembers(t *testing.T) {
	t.Parallel()
	const nodes = 8
	p := newProcesses(t, nodes)
	p.startAll(t, sequence(3, nodes)...) // no node of the join list runs yet: each is alone, and ready
	for _, slot := range sequence(3, nodes) {
		p.requireAgreement(t, "alone", slot)
	}
	p.startAll(t, 0, 1, 2)
	p.requireAgreement(t, "after the start of the join list", sequence(0, nodes)...)
	before, err := p.View(t.Context(), 5)
	if err != nil {
		t.Fatal(err)
	}
	p.signalAll(t, syscall.SIGKILL, 5)
	p.startAll(t, 5) // at once, while all peers still regard it as alive
	p.requireAgreement(t, "one killed and restarted", sequence(0, nodes)...)
	after, err := p.View(t.Context(), 5)
	if err != nil || after.Self.Incarnation == before.Self.Incarnation {
		t.Errorf("%v: incarnation %s came back", err, after.Self.Incarnation)
	}
	p.signalAll(t, syscall.SIGKILL, 6, 7)
	p.requireAgreement(t, "two killed", sequence(0, 6)...)
	p.signalAll(t, syscall.SIGSTOP, 4)
	p.requireAgreement(t, "one stopped", 0, 1, 2, 3, 5)
	p.signalAll(t, syscall.SIGCONT, 4)
	p.requireAgreement(t, "the stopped one continued", sequence(0, 6)...)
	p.signalAll(t, syscall.SIGTERM, 3) // not the one that just continued: its peers may still declare it dead meanwhile
	p.requireAgreement(t, "one left", 0, 1, 2, 4, 5)
	p.waitForLog(t, 0, "member has left")
	p.waitForLog(t, 0, "member is dead")
}

// Nodes join even if every datagram is duplicated, half are reordered, some are corrupted or truncated, and streams to
// one node are never answered. A cut leaves two fleets that are consistent in themselves; after its end they merge.
func TestMembersCut(t *testing.T) {
	t.Parallel()
	const nodes = 9
	p := newProcesses(t, nodes)
	impaired := p.Relay.AddFault(func(from, to int) relay.Impairment {
		return relay.Impairment{Duplicate: 1, Reorder: 0.5, Corrupt: 0.1, Truncate: 0.05, UnansweredStreams: to == 8}
	})
	p.startAll(t, sequence(0, nodes)...)
	p.requireAgreement(t, "joined over an impaired network", sequence(0, nodes)...)
	malformed := int64(0)
	duplicates := int64(0)
	for _, slot := range sequence(0, nodes) {
		view, err := p.View(t.Context(), slot)
		if err != nil || view.Transport.HandlerPanics > 0 {
			t.Fatalf("%v: slot %d: %+v", err, slot, view.Transport)
		}
		malformed = malformed + view.Transport.Malformed
		duplicates = duplicates + view.Transport.Duplicates
	}
	if malformed == 0 || duplicates == 0 {
		t.Errorf("the nodes counted %d malformed frames and %d duplicates", malformed, duplicates)
	}
	p.Relay.RemoveFault(impaired)
	cut := p.Relay.AddFault(func(from, to int) relay.Impairment { return relay.Impairment{Cut: (from < 3) != (to < 3)} })
	p.requireAgreement(t, "the smaller side", 0, 1, 2)
	p.requireAgreement(t, "the larger side", sequence(3, nodes)...)
	p.Relay.RemoveFault(cut)
	p.requireAgreement(t, "healed", sequence(0, nodes)...)
}

// A second process with the name and number of another node is seen and logged by all nodes, and disturbs none.
func TestDuplicateNames(t *testing.T) {
	t.Parallel()
	const nodes = 4
	p := newProcesses(t, nodes)
	p.startAll(t, sequence(0, nodes)...)
	p.requireAgreement(t, "joined", sequence(0, nodes)...)
	p.startAll(t, nodes+2) // beside node 2
	p.requireAgreement(t, "with a duplicate", append(sequence(0, nodes), nodes+2)...)
	for _, slot := range []int{0, 2, nodes + 2} {
		p.waitForLog(t, slot, "two processes have one name")
	}
	p.signalAll(t, syscall.SIGKILL, nodes+2)
	p.requireAgreement(t, "without the duplicate", sequence(0, nodes)...)
}

// SIGHUP takes a node out of the fleet and back in; an invalid value changes nothing. If the port is taken, or another
// process answers on the control socket, the program prints one line that names the key, and exits with an error.
func TestSwitchFleet(t *testing.T) {
	t.Parallel()
	const nodes = 3
	p := newProcesses(t, nodes)
	p.startAll(t, sequence(0, nodes)...)
	p.requireAgreement(t, "joined", sequence(0, nodes)...)
	reload := func(change func(map[string]any)) {
		if err := p.Configure(1, change); err != nil {
			t.Fatal(err)
		}
		p.signalAll(t, syscall.SIGHUP, 1)
	}
	reload(func(fleetKey map[string]any) { fleetKey["listen"] = "nowhere" })
	p.waitForLog(t, 1, "key fleet.listen")
	p.requireAgreement(t, "an invalid value", sequence(0, nodes)...)
	reload(func(fleetKey map[string]any) { clear(fleetKey) })
	p.waitForLog(t, 1, "the node hears nobody any more")
	p.requireAgreement(t, "switched off", 0, 2)
	reload(nil)
	p.requireAgreement(t, "switched on", sequence(0, nodes)...)

	for wantError, change := range map[string]func(map[string]any){
		"key fleet.listen":  func(fleetKey map[string]any) { fleetKey["listen"] = relay.BindAddr(2, p.Relay.Port()).String() },
		"key fleet.control": func(fleetKey map[string]any) { fleetKey["control"] = p.ControlSocket(0) },
	} {
		slot := nodes // a second process of node 0
		if err := p.Configure(slot, change); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), agreeTimeout)
		cmd := exec.CommandContext(ctx, program)
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.ConfigFile(slot))
		out, err := cmd.CombinedOutput()
		cancel()
		if err == nil || cmd.ProcessState.ExitCode() <= 0 || strings.Count(string(out), wantError) != 1 {
			t.Errorf("%s: %v: %s", wantError, err, out)
		}
	}
	if info, err := os.Stat(p.ControlSocket(0)); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("control socket: %v, %v", info.Mode(), err)
	}
}
