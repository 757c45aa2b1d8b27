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
type balancer struct {
	scenario.Node
	run       *run
	place     int
	door      *door
	discovery string
	beside    int // its place among the rig's, once it has left its own
	hears     bool
	second    bool   // of its name: what it does is not booked
	lie       string // what it tells the others of all servers, in place of what it sees
	known     []byte
	mu        sync.Mutex
	process   *exec.Cmd
	input     io.WriteCloser // closed when we end, whatever way
	ended     chan struct{}
	wanted    bool // up
	lives     int
	log       *tail
}

// Each wait for a process has an end, also on a machine so busy that a second takes five.
var (
	readyWait = 20 * time.Second
	exitWait  = 10 * time.Second // for a planned restart
	killWait  = 10 * time.Second // for the end of a process that was killed
	// outputWait ends the reading of a process's output once it has ended. Danger: a process that it has started may
	// hold that output open and wait for the end of its own input, which only ends when this does.
	outputWait = time.Second
	// tellWait is how long a process that does not get ready may take to tell where it stands.
	tellWait = 2 * time.Second
)

// mostTail is kept of a log: enough for where all of a node's goroutines stand.
const mostTail = 64 << 10

// tail keeps the last lines of a log.
type tail struct {
	mu   sync.Mutex
	last []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = append(t.last, p...)
	if cut := len(t.last) - mostTail; cut > 0 {
		t.last = append([]byte(nil), t.last[cut:]...)
	}
	return len(p), nil
}

// line is the last whole line.
func (t *tail) line() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(string(bytes.TrimSpace(t.last)), "\n")
	return lines[len(lines)-1]
}

// start runs the process. It is ready when it answers.
func (b *balancer) start(ctx context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.process != nil {
		select {
		case <-b.ended: // Danger: whoever waited for its end may be here before await is, and the node would stay away
		default:
			return nil
		}
	}
	b.lives++
	b.run.begins(b)
	seed := stream.New(b.run.Seed, "node "+strconv.Itoa(b.place)+" "+strconv.Itoa(b.lives)).Uint64()
	file := filepath.Join(b.run.dir, fmt.Sprintf("node-%d-%d.json", b.place, b.beside))
	config := b.run.Scenario.NodeConfig(b.Node, fmt.Sprintf("n%d", b.place), b.door.addr, b.discovery, seed, b.known, b.fleet())
	if b.run.LogDir != "" { // then its environment says
		config = bytes.Replace(config, []byte(`"log_level":"warn",`), nil, 1)
	}
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return err
	}
	p := b.run.Program
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+file, labnode.ThrottleFileEnv+"="+b.samples())
	b.log = &tail{}
	cmd.Stderr, cmd.Stdout, cmd.WaitDelay = b.log, b.log, outputWait
	if b.run.LogDir != "" {
		cmd.Env = append(cmd.Env, "NODE_LOG_LEVEL=info")
		file, err := os.OpenFile(filepath.Join(b.run.LogDir, fmt.Sprintf("node-%d-%d.log", b.place, b.beside)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		cmd.Stderr = file
	}
	input, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("node %d: %w", b.place, err)
	}
	ended := make(chan struct{})
	b.process, b.input, b.ended, b.wanted = cmd, input, ended, true
	go b.await(cmd, ended)
	var last error
	for begun := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		response, err := readyClient.Get("http://" + b.door.addr + "/-/ready")
		if last = err; err == nil {
			response.Body.Close()
			last = errors.New(response.Status)
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ended:
			return fmt.Errorf("node %d did not start: %s", b.place, b.log.line())
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if time.Since(begun) > readyWait {
			return fmt.Errorf("node %d is not ready after %v: %v: %s", b.place, readyWait, last, b.stands(cmd, ended))
		}
	}
}

// stands tells where a process stands that does not get ready, and ends it: its state for the kernel, and its goroutines.
func (b *balancer) stands(cmd *exec.Cmd, ended <-chan struct{}) string {
	var state []string
	for _, of := range []string{"stat", "wchan", "syscall", "cmdline"} {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", cmd.Process.Pid, of))
		state = append(state, of+" "+strings.ReplaceAll(strings.TrimSpace(string(raw)), "\x00", " "))
	}
	b.wanted = false
	cmd.Process.Signal(syscall.SIGQUIT) // Go's runtime then writes where all goroutines stand
	select {
	case <-ended:
	case <-time.After(tellWait):
		state = append(state, "SIGQUIT did not end it")
	}
	b.log.mu.Lock()
	defer b.log.mu.Unlock()
	return strings.Join(state, "; ") + "; its log:\n" + string(b.log.last)
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// fleet is the node's key of that name, or nil where it hears nobody.
func (b *balancer) fleet() any {
	if !b.hears {
		return nil
	}
	at := b.run.rig.Addresses(b.beside)
	join := []string{}
	for i := range min(3, len(b.run.nodes)) { // the same few for all
		join = append(join, b.run.rig.Addresses(i).Advertise.String())
	}
	return map[string]any{"listen": at.Listen.String(), "advertise": at.Advertise.String(), "join": join, "control": at.ControlSocket}
}

// stop stops the process where it stands, or lets it go on.
func (b *balancer) stop(stopped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.process == nil {
		return
	}
	signal := syscall.SIGCONT
	if stopped {
		signal = syscall.SIGSTOP
	}
	b.run.account.RecordNodePause(b.place, stopped, b.run.now())
	b.process.Process.Signal(signal)
}

// await is the one place where a process is waited for.
func (b *balancer) await(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.process != cmd {
		return
	}
	b.process = nil
	if b.wanted {
		b.wanted = false
		b.run.fail(fmt.Errorf("node %d ended by itself: %v: %s", b.place, err, b.log.line()))
	}
}

// kill ends the process without a word, and waits for its end.
func (b *balancer) kill() error {
	b.mu.Lock()
	cmd, ended, input := b.process, b.ended, b.input
	b.wanted = false
	b.mu.Unlock()
	var err error
	if cmd != nil {
		b.door.kills.Add(1)
		if !b.second {
			b.run.account.RecordNodeCrash(b.place, b.run.now())
		}
		cmd.Process.Kill()
		input.Close() // ends what the process has started, too
		select {
		case <-ended:
		case <-time.After(killWait):
			err = fmt.Errorf("node %d, process %d, has not ended %v after it was killed", b.place, cmd.Process.Pid, killWait)
		}
	}
	b.door.drop(b.run.account)
	return err
}

// restart is a planned one: SIGTERM, and a new process when the old one has ended.
func (b *balancer) restart(ctx context.Context) error {
	b.mu.Lock()
	cmd, ended := b.process, b.ended
	b.wanted = false
	b.mu.Unlock()
	if cmd == nil {
		return nil
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(exitWait):
		return errors.Join(fmt.Errorf("node %d did not end within %v after SIGTERM: %s", b.place, exitWait, b.log.line()), b.kill())
	case <-ctx.Done():
		return nil
	}
	if code := cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("node %d ended with %d after SIGTERM: %s", b.place, code, b.log.line())
	}
	return b.start(ctx)
}

// samples is the file that the first node writes its throttles to.
func (b *balancer) samples() string {
	if b.place != 0 {
		return ""
	}
	return filepath.Join(b.run.dir, "throttles.jsonl")
}
