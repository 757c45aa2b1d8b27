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
	"canvasrouter/internal/lab/load/stream"
	"canvasrouter/internal/lab/scenario"
)

// Program says how a node's process is started.
type Program struct {
	Path           string   // of the program
	Args           []string // before which NODE_CONFIG is set
	ExitsWithStdin bool     // it ends when its standard input does
}

// balancer is one node's process.
type nodeProcess struct {
	scenario.Balancer
	run          *run
	nodeIndex    int
	endpoint     *endpoint
	registryAddr string
	networkSlot  int // its place among the rig's, once it has left its own
	hasPeers     bool
	duplicate    bool   // of its name: what it does is not booked
	falseReport  string // what it tells the others of all servers, in place of what it sees
	cachedList   []byte
	mu           sync.Mutex
	cmd          *exec.Cmd
	stdin        io.WriteCloser // closed when we end, whatever way
	exited       chan struct{}
	expectedUp   bool // up
	incarnation  int
	output       *logTail
}

// Each wait for a process has an end, also on a machine so busy that a second takes five.
var (
	readyTimeout = 20 * time.Second
	exitTimeout  = 10 * time.Second // for a planned restart
	killTimeout  = 10 * time.Second // for the end of a process that was killed
	// outputWait ends the reading of a process's output once it has ended. Danger: a process that it has started may
	// hold that output open and wait for the end of its own input, which only ends when this does.
	outputTimeout = time.Second
	// tellWait is how long a process that does not get ready may take to tell where it stands.
	dumpTimeout = 2 * time.Second
)

// mostTail is kept of a log: enough for where all of a node's goroutines stand.
const maxTailBytes = 64 << 10

// tail keeps the last lines of a log.
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

// line is the last whole line.
func (t *logTail) lastLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(string(bytes.TrimSpace(t.content)), "\n")
	return lines[len(lines)-1]
}

// start runs the process. It is ready when it answers.
func (b *nodeProcess) start(ctx context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil {
		select {
		case <-b.exited: // Danger: whoever waited for its end may be here before await is, and the node would stay away
		default:
			return nil
		}
	}
	b.incarnation++
	b.run.recordNodeStart(b)
	seed := stream.New(b.run.Seed, "node "+strconv.Itoa(b.nodeIndex)+" "+strconv.Itoa(b.incarnation)).Uint64()
	file := filepath.Join(b.run.dir, fmt.Sprintf("node-%d-%d.json", b.nodeIndex, b.networkSlot))
	config := b.run.Scenario.Config(b.Balancer, fmt.Sprintf("n%d", b.nodeIndex), b.endpoint.addr, b.registryAddr, seed, b.cachedList, b.fleetConfig())
	if b.run.LogDir != "" { // then its environment says
		config = bytes.Replace(config, []byte(`"log_level":"warn",`), nil, 1)
	}
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return err
	}
	program := b.run.Program
	cmd := exec.Command(program.Path, program.Args...)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+file, labnode.ThrottleFileEnv+"="+b.throttleFile())
	b.output = &logTail{}
	cmd.Stderr, cmd.Stdout, cmd.WaitDelay = b.output, b.output, outputTimeout
	if b.run.LogDir != "" {
		cmd.Env = append(cmd.Env, "NODE_LOG_LEVEL=info")
		file, err := os.OpenFile(filepath.Join(b.run.LogDir, fmt.Sprintf("node-%d-%d.log", b.nodeIndex, b.networkSlot)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
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
		return fmt.Errorf("node %d: %w", b.nodeIndex, err)
	}
	exited := make(chan struct{})
	b.cmd, b.stdin, b.exited, b.expectedUp = cmd, stdin, exited, true
	go b.waitForExit(cmd, exited)
	var lastErr error
	for startedAt := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		response, err := readyClient.Get("http://" + b.endpoint.addr + "/-/ready")
		if lastErr = err; err == nil {
			response.Body.Close()
			lastErr = errors.New(response.Status)
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-exited:
			return fmt.Errorf("node %d did not start: %s", b.nodeIndex, b.output.lastLine())
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if time.Since(startedAt) > readyTimeout {
			return fmt.Errorf("node %d is not ready after %v: %v: %s", b.nodeIndex, readyTimeout, lastErr, b.diagnoseAndKill(cmd, exited))
		}
	}
}

// stands tells where a process stands that does not get ready, and ends it: its state for the kernel, and its goroutines.
func (b *nodeProcess) diagnoseAndKill(cmd *exec.Cmd, exited <-chan struct{}) string {
	var report []string
	for _, file := range []string{"stat", "wchan", "syscall", "cmdline"} {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", cmd.Process.Pid, file))
		report = append(report, file+" "+strings.ReplaceAll(strings.TrimSpace(string(raw)), "\x00", " "))
	}
	b.expectedUp = false
	cmd.Process.Signal(syscall.SIGQUIT) // Go's runtime then writes where all goroutines stand
	select {
	case <-exited:
	case <-time.After(dumpTimeout):
		report = append(report, "SIGQUIT did not end it")
	}
	b.output.mu.Lock()
	defer b.output.mu.Unlock()
	return strings.Join(report, "; ") + "; its log:\n" + string(b.output.content)
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// fleet is the node's key of that name, or nil where it hears nobody.
func (b *nodeProcess) fleetConfig() any {
	if !b.hasPeers {
		return nil
	}
	slot := b.run.network.Place(b.networkSlot)
	join := []string{}
	for i := range min(3, len(b.run.nodes)) { // the same few for all
		join = append(join, b.run.network.Place(i).Advertise.String())
	}
	return map[string]any{"listen": slot.Listen.String(), "advertise": slot.Advertise.String(), "join": join, "control": slot.Control}
}

// stop stops the process where it stands, or lets it go on.
func (b *nodeProcess) setPaused(paused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		return
	}
	signal := syscall.SIGCONT
	if paused {
		signal = syscall.SIGSTOP
	}
	b.run.ledger.Paused(b.nodeIndex, paused, b.run.now())
	b.cmd.Process.Signal(signal)
}

// await is the one place where a process is waited for.
func (b *nodeProcess) waitForExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	close(exited)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != cmd {
		return
	}
	b.cmd = nil
	if b.expectedUp {
		b.expectedUp = false
		b.run.fail(fmt.Errorf("node %d ended by itself: %v: %s", b.nodeIndex, err, b.output.lastLine()))
	}
}

// kill ends the process without a word, and waits for its end.
func (b *nodeProcess) kill() error {
	b.mu.Lock()
	cmd, exited, stdin := b.cmd, b.exited, b.stdin
	b.expectedUp = false
	b.mu.Unlock()
	var err error
	if cmd != nil {
		b.endpoint.killCount.Add(1)
		if !b.duplicate {
			b.run.ledger.Crashed(b.nodeIndex, b.run.now())
		}
		cmd.Process.Kill()
		stdin.Close() // ends what the process has started, too
		select {
		case <-exited:
		case <-time.After(killTimeout):
			err = fmt.Errorf("node %d, process %d, has not ended %v after it was killed", b.nodeIndex, cmd.Process.Pid, killTimeout)
		}
	}
	b.endpoint.closeIdle(b.run.ledger)
	return err
}

// restart is a planned one: SIGTERM, and a new process when the old one has ended.
func (b *nodeProcess) restart(ctx context.Context) error {
	b.mu.Lock()
	cmd, exited := b.cmd, b.exited
	b.expectedUp = false
	b.mu.Unlock()
	if cmd == nil {
		return nil
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(exitTimeout):
		return errors.Join(fmt.Errorf("node %d did not end within %v after SIGTERM: %s", b.nodeIndex, exitTimeout, b.output.lastLine()), b.kill())
	case <-ctx.Done():
		return nil
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("node %d ended with %d after SIGTERM: %s", b.nodeIndex, code, b.output.lastLine())
	}
	return b.start(ctx)
}

// samples is the file that the first node writes its throttles to.
func (b *nodeProcess) throttleFile() string {
	if b.nodeIndex != 0 {
		return ""
	}
	return filepath.Join(b.run.dir, "throttles.jsonl")
}
