package harness

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"canvasrouter/internal/fleet"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/relay"
)

// Processes runs nodes of the real program, connected by a relay, without servers or clients. Only what the nodes know of
// each other is examined, through their control sockets.
type Processes struct {
	Relay    *relay.Relay
	program  string
	dir      string
	scenario *scenario.Scenario
	nodes    int
	mu       sync.Mutex
	running  map[int]*process // by slot
}

// process is one running node.
type process struct {
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool
	log     *lockedBuffer
}

// lockedBuffer is a log that can be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

// Write appends to the log.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// text returns the log so far.
func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// clientPortOffset is subtracted from the relay's port to get the port on which the nodes accept clients.
const clientPortOffset = 11000

// exitTimeout is how long a process may take to exit after a signal.
const exitTimeout = 10 * time.Second

// NewProcesses opens a relay with a slot for each node, and another one for a second process with the node's name.
func NewProcesses(program string, s *scenario.Scenario, nodes int, seed uint64) (*Processes, error) {
	s.Tiers[0].NodeCount = nodes
	if s.Fleet == nil {
		s.Fleet = &scenario.Fleet{Share: 1}
	}
	fleetRelay, err := relay.New(2*nodes, seed)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "canvaslab-")
	if err != nil {
		fleetRelay.Close()
		return nil, err
	}
	return &Processes{Relay: fleetRelay, program: program, dir: dir, scenario: s, nodes: nodes, running: make(map[int]*process)}, nil
}

// Close kills all processes and closes the relay.
func (p *Processes) Close() error {
	var errs []error
	for _, slot := range p.Running() {
		errs = append(errs, p.Signal(slot, syscall.SIGKILL))
	}
	p.Relay.Close()
	os.RemoveAll(p.dir)
	return errors.Join(errs...)
}

// Running returns the slots with a process, including processes stopped by SIGSTOP.
func (p *Processes) Running() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.running))
}

// ControlSocket returns the path of a slot's control socket.
func (p *Processes) ControlSocket(slot int) string {
	return filepath.Join(p.dir, fmt.Sprintf("%d.sock", slot))
}

// ConfigFile returns the path of a slot's configuration.
func (p *Processes) ConfigFile(slot int) string {
	return filepath.Join(p.dir, fmt.Sprintf("%d.json", slot))
}

// Configure writes a slot's configuration. The slots after those of the nodes are for second processes with the same
// names. The function change, if not nil, may change the value of the key fleet; if it clears the value, the node has no
// peers.
func (p *Processes) Configure(slot int, change func(fleet map[string]any)) error {
	join := []string{}
	for i := range min(3, p.nodes) {
		join = append(join, relay.AdvertisedAddr(i, p.Relay.Port()).String())
	}
	fleetKey := map[string]any{"listen": relay.BindAddr(slot, p.Relay.Port()).String(), "advertise": relay.AdvertisedAddr(slot, p.Relay.Port()).String(),
		"join": join, "control": p.ControlSocket(slot)}
	if change != nil {
		change(fleetKey)
	}
	var fleetValue any = fleetKey
	if len(fleetKey) == 0 {
		fleetValue = nil // the node has no peers
	}
	nodeIndex := slot % p.nodes
	node := p.scenario.Nodes()[nodeIndex]
	host := relay.BindAddr(slot, 0).Addr().String()
	listen := fmt.Sprintf("%s:%d", host, p.Relay.Port()-clientPortOffset) // unique to the run, like the relay's port
	raw := p.scenario.NodeConfig(node, fmt.Sprintf("n%d", nodeIndex), listen, host+":1", uint64(slot), nil, fleetValue)
	raw = bytes.Replace(raw, []byte(`"log_level":"warn"`), []byte(`"log_level":"info"`), 1)
	return os.WriteFile(p.ConfigFile(slot), raw, 0o600)
}

// Start starts the process of a slot. Without a configuration file it writes the default one first.
func (p *Processes) Start(slot int) error {
	if _, err := os.Stat(p.ConfigFile(slot)); err != nil {
		if err := p.Configure(slot, nil); err != nil {
			return err
		}
	}
	cmd := exec.Command(p.program)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.ConfigFile(slot))
	proc := &process{cmd: cmd, ended: make(chan struct{}), log: &lockedBuffer{}}
	cmd.Stderr = proc.log
	cmd.Stdout = proc.log
	cmd.WaitDelay = time.Second
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.running[slot] = proc
	p.mu.Unlock()
	go func() {
		cmd.Wait()
		p.mu.Lock()
		if p.running[slot] == proc {
			delete(p.running, slot)
		}
		p.mu.Unlock()
		close(proc.ended)
	}()
	return nil
}

// Signal sends a signal to the process of a slot. For a signal that ends the process it waits for the exit.
func (p *Processes) Signal(slot int, signal syscall.Signal) error {
	p.mu.Lock()
	proc := p.running[slot]
	p.mu.Unlock()
	if proc == nil {
		return nil
	}
	proc.cmd.Process.Signal(signal)
	switch signal {
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.mu.Lock()
		proc.stopped = signal == syscall.SIGSTOP
		p.mu.Unlock()
		return nil
	case syscall.SIGHUP:
		return nil
	}
	select {
	case <-proc.ended:
		return nil
	case <-time.After(exitTimeout):
		return fmt.Errorf("the process in slot %d has not exited %v after %v", slot, exitTimeout, signal)
	}
}

// Log returns the log of the process in a slot.
func (p *Processes) Log(slot int) string {
	p.mu.Lock()
	proc := p.running[slot]
	p.mu.Unlock()
	if proc == nil {
		return ""
	}
	return proc.log.text()
}

// ProcessUsage returns the processor time that the process of a slot has used in seconds, counted by the kernel in clock
// ticks of 10 ms, its resident memory in MB, and the number of its open descriptors.
func (p *Processes) ProcessUsage(slot int) (seconds, mb float64, descriptors int) {
	p.mu.Lock()
	proc := p.running[slot]
	p.mu.Unlock()
	if proc == nil {
		return 0, 0, 0
	}
	procDir := fmt.Sprintf("/proc/%d", proc.cmd.Process.Pid)
	raw, _ := os.ReadFile(procDir + "/stat")
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	var user, system, pages float64
	if len(fields) > 21 {
		fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages)
	}
	descriptorEntries, _ := os.ReadDir(procDir + "/fd")
	return (user + system) / 100, pages * float64(os.Getpagesize()) / (1 << 20), len(descriptorEntries)
}

// View fetches what the node in a slot knows of the fleet, from its control socket.
func (p *Processes) View(ctx context.Context, slot int) (*fleet.View, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return fleet.FetchView(ctx, p.ControlSocket(slot))
}

// aliveMembers returns the name and incarnation of each member that is alive by a node's view, including the node itself.
func aliveMembers(view *fleet.View) []string {
	alive := []string{view.Self.Name + "/" + view.Self.Incarnation}
	for _, member := range view.Members {
		if member.State == "alive" {
			alive = append(alive, member.Name+"/"+member.Incarnation)
		}
	}
	slices.Sort(alive)
	return alive
}

// WaitForAgreement waits until each node in the given slots sees exactly the nodes in these slots as alive, and returns
// how long that took.
func (p *Processes) WaitForAgreement(ctx context.Context, slots []int, timeout time.Duration) (time.Duration, error) {
	started := time.Now()
	for lastMismatch := ""; ; {
		views := make([]*fleet.View, len(slots))
		errs := make([]error, len(slots))
		var queries sync.WaitGroup
		semaphore := make(chan struct{}, 16)
		for i, slot := range slots {
			queries.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				views[i], errs[i] = p.View(ctx, slot)
			})
		}
		queries.Wait()
		want := []string{}
		for i, view := range views {
			if errs[i] != nil {
				lastMismatch = errs[i].Error()
				break
			}
			want = append(want, view.Self.Name+"/"+view.Self.Incarnation)
		}
		slices.Sort(want)
		agreed := len(want) == len(slots)
		for i := 0; agreed && i < len(views); i++ {
			if got := aliveMembers(views[i]); !slices.Equal(got, want) {
				agreed = false
				lastMismatch = fmt.Sprintf("slot %d sees %d members alive, want %d", slots[i], len(got), len(want))
			}
		}
		elapsed := time.Since(started)
		if agreed {
			return elapsed, nil
		}
		if elapsed > timeout {
			return elapsed, fmt.Errorf("no agreement after %v: %s", timeout, lastMismatch)
		}
		select {
		case <-ctx.Done():
			return elapsed, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}
