package live

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"canvasrouter/internal/lab/labnode"
	"canvasrouter/internal/lab/load/rngstream"
	"canvasrouter/internal/lab/scenario"
)

// Program is the command that starts a node's process. NODE_CONFIG is added to its environment.
type Program struct {
	Path           string // path of the executable
	Args           []string
	ExitsWithStdin bool // the program exits when its standard input is closed
}

// nodeProcess is the process of one node. It can be stopped and started again.
type nodeProcess struct {
	scenario.Node
	run          *run
	nodeIndex    int // index in run.nodes; a duplicate has that of the node whose name it uses
	endpoint     *endpoint
	registryAddr string
	networkSlot  int            // index of its addresses in the run's network; differs from nodeIndex once it has moved
	hasPeers     bool           // exchanges peer messages
	duplicate    bool           // a second process with the name of another node; the ledger doesn't record it
	falseReport  string         // not used
	cachedList   []byte         // the server list that its configuration contains; nil: none
	mu           sync.Mutex     // guards the fields below
	cmd          *exec.Cmd      // nil while no process runs
	stdin        io.WriteCloser // closed when this program ends, however it ends
	exited       chan struct{}  // closed when the process has exited
	expectedUp   bool           // an exit is an error
	startCount   int
	output       *logTail
}

// Time limits for a process. They hold on a machine so busy that a second of work takes five.
var (
	readyTimeout = 20 * time.Second
	exitTimeout  = 10 * time.Second // from SIGTERM to the exit, in a planned restart
	killTimeout  = 10 * time.Second // from SIGKILL to the exit
	// outputTimeout limits how long a process's output is read after its exit. A child of the process may hold the
	// output open while it waits for the end of its own input, which is closed only after the output; without this
	// limit each would wait for the other.
	outputTimeout = time.Second
	// dumpTimeout limits how long a process that does not get ready may take to write its goroutine stacks.
	dumpTimeout = 2 * time.Second
)

// maxTailBytes is how much of a log is kept: enough for the stacks of all goroutines of a node.
const maxTailBytes = 64 << 10

// logTail is a writer that keeps the last maxTailBytes of a log.
type logTail struct {
	mu      sync.Mutex
	content []byte
}

func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.content = append(t.content, p...)
	if excess := len(t.content) - maxTailBytes; excess > 0 {
		t.content = append([]byte(nil), t.content[excess:]...)
	}
	return len(p), nil
}

// lastLine returns the last line that is not empty.
func (t *logTail) lastLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(string(bytes.TrimSpace(t.content)), "\n")
	return lines[len(lines)-1]
}

// start starts the process and waits until its readiness endpoint answers 200. It does nothing while one runs.
func (p *nodeProcess) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		select {
		case <-p.exited: // waitForExit may not have cleared cmd yet; returning here would leave the node down
		default:
			return nil
		}
	}
	p.startCount++
	p.run.recordNodeStart(p)
	seed := rngstream.New(p.run.Seed, "node "+strconv.Itoa(p.nodeIndex)+" "+strconv.Itoa(p.startCount)).Uint64()
	file := filepath.Join(p.run.dir, fmt.Sprintf("node-%d-%d.json", p.nodeIndex, p.networkSlot))
	config := p.run.Scenario.NodeConfig(p.Node, fmt.Sprintf("n%d", p.nodeIndex), p.endpoint.addr, p.registryAddr, seed,
		p.cachedList, p.fleetConfig())
	if p.run.LogDir != "" { // NODE_LOG_LEVEL in its environment sets the level instead
		config = bytes.Replace(config, []byte(`"log_level":"warn",`), nil, 1)
	}
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return err
	}
	program := p.run.Program
	cmd := exec.Command(program.Path, program.Args...)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+file, labnode.ThrottleFileEnv+"="+p.throttleFile())
	p.output = &logTail{}
	cmd.Stderr = p.output
	cmd.Stdout = p.output
	cmd.WaitDelay = outputTimeout
	if p.run.LogDir != "" {
		cmd.Env = append(cmd.Env, "NODE_LOG_LEVEL=info")
		path := filepath.Join(p.run.LogDir, fmt.Sprintf("node-%d-%d.log", p.nodeIndex, p.networkSlot))
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		cmd.Stderr = file
	}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("node %d: %w", p.nodeIndex, err)
	}
	exited := make(chan struct{})
	p.cmd = cmd
	p.stdin = stdin
	p.exited = exited
	p.expectedUp = true
	go p.waitForExit(cmd, exited)
	var lastErr error
	for startedAt := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		response, err := readyClient.Get("http://" + p.endpoint.addr + "/-/ready")
		if lastErr = err; err == nil {
			response.Body.Close()
			lastErr = errors.New(response.Status)
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-exited:
			return fmt.Errorf("node %d did not start: %s", p.nodeIndex, p.output.lastLine())
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if time.Since(startedAt) > readyTimeout {
			return fmt.Errorf("node %d is not ready after %v: %v: %s", p.nodeIndex, readyTimeout, lastErr, p.diagnoseAndKill(cmd, exited))
		}
	}
}

// diagnoseAndKill ends a process that does not get ready, and describes where it hangs: its state in the kernel and the
// stacks of its goroutines. The caller holds p.mu.
func (p *nodeProcess) diagnoseAndKill(cmd *exec.Cmd, exited <-chan struct{}) string {
	var report []string
	for _, file := range []string{"stat", "wchan", "syscall", "cmdline"} {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", cmd.Process.Pid, file))
		report = append(report, file+" "+strings.ReplaceAll(strings.TrimSpace(string(raw)), "\x00", " "))
	}
	p.expectedUp = false
	cmd.Process.Signal(syscall.SIGQUIT) // the Go runtime then writes the stacks of all goroutines
	select {
	case <-exited:
	case <-time.After(dumpTimeout):
		report = append(report, "SIGQUIT did not end it")
	}
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	return strings.Join(report, "; ") + "; its log:\n" + string(p.output.content)
}

// readyClient asks nodes whether they are ready.
var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// fleetConfig returns the "fleet" section of the node's configuration, or nil if it exchanges no peer messages.
func (p *nodeProcess) fleetConfig() any {
	if !p.hasPeers {
		return nil
	}
	slot := p.run.network.Addresses(p.networkSlot)
	join := []string{}
	for i := range min(3, len(p.run.nodes)) { // every node joins through the same few
		join = append(join, p.run.network.Addresses(i).Advertise.String())
	}
	return map[string]any{
		"listen":    slot.Listen.String(),
		"advertise": slot.Advertise.String(),
		"join":      join,
		"control":   slot.ControlSocket,
	}
}

// setPaused suspends the process with SIGSTOP, or resumes it with SIGCONT.
func (p *nodeProcess) setPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	signal := syscall.SIGCONT
	if paused {
		signal = syscall.SIGSTOP
	}
	p.run.ledger.RecordNodePause(p.nodeIndex, paused, p.run.now())
	p.cmd.Process.Signal(signal)
}

// waitForExit waits for the process; nothing else calls cmd.Wait. An exit that is not expected ends the run.
func (p *nodeProcess) waitForExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	close(exited)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != cmd {
		return
	}
	p.cmd = nil
	if p.expectedUp {
		p.expectedUp = false
		p.run.fail(fmt.Errorf("node %d ended by itself: %v: %s", p.nodeIndex, err, p.output.lastLine()))
	}
}

// kill ends the process with SIGKILL and waits for its exit.
func (p *nodeProcess) kill() error {
	p.mu.Lock()
	cmd, exited, stdin := p.cmd, p.exited, p.stdin
	p.expectedUp = false
	p.mu.Unlock()
	var err error
	if cmd != nil {
		p.endpoint.killCount.Add(1)
		if !p.duplicate {
			p.run.ledger.RecordNodeCrash(p.nodeIndex, p.run.now())
		}
		cmd.Process.Kill()
		stdin.Close() // ends the children of the process too
		select {
		case <-exited:
		case <-time.After(killTimeout):
			err = fmt.Errorf("node %d, process %d, has not ended %v after it was killed", p.nodeIndex, cmd.Process.Pid, killTimeout)
		}
	}
	p.endpoint.closeIdle(p.run.ledger)
	return err
}

// restart does a planned restart: it sends SIGTERM, and starts a new process when the old one has exited.
func (p *nodeProcess) restart(ctx context.Context) error {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.expectedUp = false
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(exitTimeout):
		return errors.Join(
			fmt.Errorf("node %d did not end within %v after SIGTERM: %s", p.nodeIndex, exitTimeout, p.output.lastLine()),
			p.kill())
	case <-ctx.Done():
		return nil
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("node %d ended with %d after SIGTERM: %s", p.nodeIndex, code, p.output.lastLine())
	}
	return p.start(ctx)
}

// throttleFile is the path of the file that the first node writes its throttle samples to; "" for other nodes.
func (p *nodeProcess) throttleFile() string {
	if p.nodeIndex != 0 {
		return ""
	}
	return filepath.Join(p.run.dir, "throttles.jsonl")
}
