// Package rig holds the stand-ins of the review's cases: a registry, servers, clients and a delaying link, and it starts
// the node as a separate process with the run command of the deploy file.
package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0 // the rule held
	Broken   = 1 // the rule was broken
	CouldNot = 2 // the case could not run
)

// Run is one run of a case: its record, its temporary folder and its processes.
type Run struct {
	Root    string // the project's root
	Trouble bool   // false with TROUBLE=0
	Start   time.Time

	mu     sync.Mutex
	record *os.File
	dir    string
	nodes  []*Node
}

// NewRun opens the record beside the script. The working directory has to be the project's root.
func NewRun(recordPath string) *Run {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	r := &Run{Root: root, Trouble: os.Getenv("TROUBLE") != "0", Start: time.Now()}
	if r.record, err = os.Create(recordPath); err == nil {
		r.dir, err = os.MkdirTemp("", "review")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		r.Finish(CouldNot, "interrupted")
	}()
	time.AfterFunc(115*time.Second, func() { r.Finish(CouldNot, "the case took too long") })
	return r
}

// Logf writes a line of the record, with the time since the start in milliseconds.
func (r *Run) Logf(format string, args ...any) {
	line := fmt.Sprintf("%9.2f ", float64(time.Since(r.Start).Microseconds())/1000) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.record, line)
}

// Say writes a line of the record and prints it.
func (r *Run) Say(format string, args ...any) {
	r.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Finish ends the node processes, removes the temporary folder and exits.
func (r *Run) Finish(code int, format string, args ...any) {
	r.Say(format, args...)
	r.Say("exit %d (0: held, 1: broken, 2: could not run)", code)
	for _, n := range r.nodes {
		n.Kill()
	}
	os.RemoveAll(r.dir)
	os.Exit(code)
}

// Must ends the run as one that could not be made if there is an error.
func (r *Run) Must(err error) {
	if err != nil {
		r.Finish(CouldNot, "could not run: %v", err)
	}
}

// Node is a node's process.
type Node struct {
	Addr    string
	Process *exec.Cmd
	Ended   chan error
	path    string
}

// Object is a JSON object.
type Object = map[string]any

// Settings returns the settings of a small deployment like mty-principal, of its first tier.
func Settings(categories []Object, zones []string) Object {
	return Object{
		"tier": 0, "tiers": []string{"front"}, "fleet_size": 1, "slot_no": 0, "az": 0,
		"failure_domains": zones, "kinds": []string{"front-std"}, "tick": 5.0, "registry_mode": "ask",
		"family": "chain", "weight_kind": "off", "benefit_per": "request", "tenants": []any{},
		"categories": categories,
		"telemetry":  Object{"names": []string{}, "via": "off"},
		"limits": Object{"max_pushes": 3, "may_duplicate": true, "may_cancel": true, "dial_timeout": 100.0,
			"idle_close": 5000.0, "retry_after": true, "max_retry_after": 1500.0, "max_open": 20000, "max_streams": 1,
			"peers": false, "probes": false},
		"prices": Object{"cross_zone": 0.015},
		"safety": Object{"answer_slack": 20.0, "cold_from": 0.3, "cold": 7800.0, "overload_factor": 3.0,
			"tip_after": 1000.0, "must_ask_in": 10000.0, "drain_grace": 1500.0},
	}
}

// Availability, CalendarView and Booking are the categories of mty-principal.
func Availability() Object {
	return Object{"name": "availability", "benefit": 12.0, "effect": "idempotent", "key_scope": "all",
		"repeat_window": 5000.0, "target_latency": 1200.0, "ttl": 3000.0, "tardy_benefit": 0.0, "stream": false}
}

// CalendarView is the category calendar-view.
func CalendarView() Object {
	return Object{"name": "calendar-view", "benefit": 1.0, "effect": "idempotent", "key_scope": "all",
		"repeat_window": 5000.0, "target_latency": 1000.0, "ttl": 2500.0, "tardy_benefit": 0.0, "stream": false}
}

// Booking is the category booking, with an effect: "deduplicated" or "at_most_once".
func Booking(effect string) Object {
	return Object{"name": "booking", "benefit": 1.0, "effect": effect, "key_scope": "cell",
		"repeat_window": 2000.0, "target_latency": 500.0, "ttl": 1200.0, "tardy_benefit": 0.0, "stream": false}
}

// FreeAddr returns a loopback address that is free now.
func (r *Run) FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	defer l.Close()
	return l.Addr().String()
}

// StartNode starts a node with the run command of the deploy file and waits until it is ready.
func (r *Run) StartNode(name string, known json.RawMessage, registry string, sockets int, settings Object) *Node {
	n := &Node{Addr: r.FreeAddr(), path: filepath.Join(r.dir, name+".json")}
	r.WriteConfig(n, name, known, registry, sockets, settings)
	r.launch(n, name)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if status, err := get(n.Addr, "/-/ready"); err == nil && status == 200 {
			break
		}
		if time.Now().After(deadline) {
			r.Finish(CouldNot, "%s is not ready after 10 s", name)
		}
	}
	r.Logf("%s is ready on %s", name, n.Addr)
	return n
}

// WriteConfig writes a node's configuration in place of the one before.
func (r *Run) WriteConfig(n *Node, name string, known json.RawMessage, registry string, sockets int, settings Object) {
	raw, err := json.MarshalIndent(Object{"name": name, "listen": n.Addr, "discovery": registry, "seed": "8c1f30d27a5be964",
		"limits": Object{"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": known, "settings": settings}, "", " ")
	r.Must(err)
	r.Must(os.WriteFile(n.path+".new", raw, 0o644))
	r.Must(os.Rename(n.path+".new", n.path))
}

func (r *Run) launch(n *Node, name string) {
	deploy, err := os.ReadFile(filepath.Join(r.Root, "deploy/balancer.toml"))
	r.Must(err)
	command := ""
	for line := range strings.Lines(string(deploy)) {
		if rest, found := strings.CutPrefix(line, `run = "`); found {
			command, _, _ = strings.Cut(rest, `"`)
		}
	}
	if command == "" {
		r.Finish(CouldNot, "no run command in deploy/balancer.toml")
	}
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	r.Must(err)
	n.Process = exec.Command("/bin/sh", "-c", command)
	n.Process.Dir = r.Root
	n.Process.Env = append(os.Environ(), "NODE_CONFIG="+n.path, "TMPDIR="+r.dir)
	n.Process.Stderr = log
	n.Process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.Must(n.Process.Start())
	r.nodes = append(r.nodes, n)
	n.Ended = make(chan error, 1)
	go func() { n.Ended <- n.Process.Wait() }()
	r.Logf("%s: started %q", name, command)
}

// Log returns the node's log.
func (r *Run) Log(name string) string {
	raw, _ := os.ReadFile(filepath.Join(r.dir, name+".log"))
	return string(raw)
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s os.Signal) { n.Process.Process.Signal(s) }

// Kill ends the process.
func (n *Node) Kill() {
	if n.Process != nil && n.Process.Process != nil {
		n.Process.Process.Kill()
		select {
		case err := <-n.Ended:
			n.Ended <- err
		case <-time.After(time.Second):
		}
	}
}
