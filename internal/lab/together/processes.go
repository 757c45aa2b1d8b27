package together

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

// Processes are nodes of the real program that hear each other by the relay, with no server and no client: what they
// know of each other is all that is looked at, by their own sockets.
type Processes struct {
	Relay    *relay.Relay
	program  string
	dir      string
	scenario *scenario.Scenario
	nodes    int
	mu       sync.Mutex
	running  map[int]*process // by place
}

type process struct {
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool
	log     *lockedBuffer
}

// lockedBuffer is a log that is read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// clientsBelow is how far under the run's port its nodes take clients.
const clientsBelow = 11000

// killWait is how long the end of a process that was killed may take.
const killWait = 10 * time.Second

// NewProcesses opens the relay for so many nodes, and as many places again for second processes of a name.
func NewProcesses(program string, s *scenario.Scenario, nodes int, seed uint64) (*Processes, error) {
	s.Tiers[0].NodeCount = nodes
	if s.Fleet == nil {
		s.Fleet = &scenario.Fleet{Share: 1}
	}
	r, err := relay.New(2*nodes, seed)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "canvaslab-")
	if err != nil {
		r.Close()
		return nil, err
	}
	return &Processes{Relay: r, program: program, dir: dir, scenario: s, nodes: nodes, running: make(map[int]*process)}, nil
}

// Close ends all processes.
func (p *Processes) Close() error {
	var errs []error
	for _, place := range p.Running() {
		errs = append(errs, p.Signal(place, syscall.SIGKILL))
	}
	p.Relay.Close()
	os.RemoveAll(p.dir)
	return errors.Join(errs...)
}

// Running are the places where a process runs, stopped ones among them.
func (p *Processes) Running() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.running))
}

// Control is the socket of a place.
func (p *Processes) ControlSocket(place int) string {
	return filepath.Join(p.dir, fmt.Sprintf("%d.sock", place))
}

// File is the configuration of a place.
func (p *Processes) ConfigFile(place int) string {
	return filepath.Join(p.dir, fmt.Sprintf("%d.json", place))
}

// Configure writes a place's configuration; places from the number of nodes on are second processes under the names of
// those before. Change may change the key fleet.
func (p *Processes) Configure(place int, change func(fleet map[string]any)) error {
	join := []string{}
	for i := range min(3, p.nodes) {
		join = append(join, relay.AdvertisedAddr(i, p.Relay.Port()).String())
	}
	f := map[string]any{"listen": relay.BindAddr(place, p.Relay.Port()).String(), "advertise": relay.AdvertisedAddr(place, p.Relay.Port()).String(),
		"join": join, "control": p.ControlSocket(place)}
	if change != nil {
		change(f)
	}
	var key any = f
	if len(f) == 0 {
		key = nil // it hears nobody
	}
	node := place % p.nodes
	b := p.scenario.Nodes()[node]
	host := relay.BindAddr(place, 0).Addr().String()
	front := fmt.Sprintf("%s:%d", host, p.Relay.Port()-clientsBelow) // the run's own, too
	raw := p.scenario.NodeConfig(b, fmt.Sprintf("n%d", node), front, host+":1", uint64(place), nil, key)
	raw = bytes.Replace(raw, []byte(`"log_level":"warn"`), []byte(`"log_level":"info"`), 1)
	return os.WriteFile(p.ConfigFile(place), raw, 0o600)
}

// Start starts a place's process with the configuration that it has, or the plain one.
func (p *Processes) Start(place int) error {
	if _, err := os.Stat(p.ConfigFile(place)); err != nil {
		if err := p.Configure(place, nil); err != nil {
			return err
		}
	}
	cmd := exec.Command(p.program)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.ConfigFile(place))
	run := &process{cmd: cmd, ended: make(chan struct{}), log: &lockedBuffer{}}
	cmd.Stderr, cmd.Stdout, cmd.WaitDelay = run.log, run.log, time.Second
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.running[place] = run
	p.mu.Unlock()
	go func() {
		cmd.Wait()
		p.mu.Lock()
		if p.running[place] == run {
			delete(p.running, place)
		}
		p.mu.Unlock()
		close(run.ended)
	}()
	return nil
}

// Signal sends a signal; one that ends the process waits for its end.
func (p *Processes) Signal(place int, signal syscall.Signal) error {
	p.mu.Lock()
	run := p.running[place]
	p.mu.Unlock()
	if run == nil {
		return nil
	}
	run.cmd.Process.Signal(signal)
	switch signal {
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.mu.Lock()
		run.stopped = signal == syscall.SIGSTOP
		p.mu.Unlock()
		return nil
	case syscall.SIGHUP:
		return nil
	}
	select {
	case <-run.ended:
		return nil
	case <-time.After(killWait):
		return fmt.Errorf("process of place %d has not ended %v after %v", place, killWait, signal)
	}
}

// Log is what a place's process has logged.
func (p *Processes) Log(place int) string {
	p.mu.Lock()
	run := p.running[place]
	p.mu.Unlock()
	if run == nil {
		return ""
	}
	return run.log.text()
}

// CPU gives the time that a place's process has used, in clock ticks of 10 ms turned to seconds, its resident memory in MB
// and its open descriptors.
func (p *Processes) ProcessUsage(place int) (seconds, mb float64, descriptors int) {
	p.mu.Lock()
	run := p.running[place]
	p.mu.Unlock()
	if run == nil {
		return 0, 0, 0
	}
	proc := fmt.Sprintf("/proc/%d", run.cmd.Process.Pid)
	raw, _ := os.ReadFile(proc + "/stat")
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	var user, system, pages float64
	if len(fields) > 21 {
		fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages)
	}
	open, _ := os.ReadDir(proc + "/fd")
	return (user + system) / 100, pages * float64(os.Getpagesize()) / (1 << 20), len(open)
}

// View asks a place what it knows.
func (p *Processes) View(ctx context.Context, place int) (*fleet.View, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return fleet.FetchView(ctx, p.ControlSocket(place))
}

// there are the lives that a view has as there, its own among them.
func there(v *fleet.View) []string {
	all := []string{v.Self.Name + "/" + v.Self.Incarnation}
	for _, m := range v.Members {
		if m.State == "alive" {
			all = append(all, m.Name+"/"+m.Incarnation)
		}
	}
	slices.Sort(all)
	return all
}

// Agree waits until each of some places has exactly these places' processes as there, and gives how long that took.
func (p *Processes) WaitForAgreement(ctx context.Context, places []int, most time.Duration) (time.Duration, error) {
	begun := time.Now()
	for last := ""; ; {
		views := make([]*fleet.View, len(places))
		errs := make([]error, len(places))
		var all sync.WaitGroup
		room := make(chan struct{}, 16)
		for i, place := range places {
			all.Go(func() {
				room <- struct{}{}
				defer func() { <-room }()
				views[i], errs[i] = p.View(ctx, place)
			})
		}
		all.Wait()
		want := []string{}
		for i, v := range views {
			if errs[i] != nil {
				last = errs[i].Error()
				break
			}
			want = append(want, v.Self.Name+"/"+v.Self.Incarnation)
		}
		slices.Sort(want)
		agreed := len(want) == len(places)
		for i := 0; agreed && i < len(views); i++ {
			if got := there(views[i]); !slices.Equal(got, want) {
				agreed, last = false, fmt.Sprintf("place %d has %d there, not %d", places[i], len(got), len(want))
			}
		}
		took := time.Since(begun)
		if agreed {
			return took, nil
		}
		if took > most {
			return took, fmt.Errorf("no agreement after %v: %s", most, last)
		}
		select {
		case <-ctx.Done():
			return took, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}
