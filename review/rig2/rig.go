// Package rig2 has what the cases of the second review share: a small deployment of one node with stand-in servers, a
// stand-in registry and clients, all on loopback addresses.
package rig2

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxDuration is how long a case may run.
const maxDuration = 110 * time.Second

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	Failed = 2 // the case could not run
)

// Case is one run of a case.
type Case struct {
	Trouble   bool // false: the same without the disruption (TROUBLE=0)
	Dir       string
	start     time.Time
	lag       atomic.Int64 // nanoseconds
	mu        sync.Mutex   // guards the fields below
	record    *os.File
	processes []*os.Process // all that were started
}

// Start opens the record of a case, which is kept in the folder that the variable CASE names.
func Start() *Case {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Println(err)
		os.Exit(Failed)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, start: time.Now()}
	c.record, err = os.Create(filepath.Join(os.Getenv("CASE"), "record.txt"))
	c.Check(err)
	c.Log("trouble: %v", c.Trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxDuration):
		}
		c.Say("the case was ended before its time")
		c.End(Failed)
	}()
	go c.watchLag()
	return c
}

// Now returns the time since the case has started.
func (c *Case) Now() time.Duration { return time.Since(c.start) }

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.3f %s\n", c.Now().Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (c *Case) Say(format string, args ...any) {
	c.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Check ends the case as one that could not run if there is an error.
func (c *Case) Check(err error) {
	if err != nil {
		c.Say("the case could not run: %v", err)
		c.End(Failed)
	}
}

// watchLag measures for how long this process is held up, which the times that it measures may be late by.
func (c *Case) watchLag() {
	const pause = 5 * time.Millisecond
	for {
		before := time.Now()
		time.Sleep(pause)
		c.lag.Store(max(c.lag.Load(), int64(time.Since(before)-pause)))
	}
}

// Lag returns the longest time for which this process was held up so far.
func (c *Case) Lag() time.Duration { return time.Duration(c.lag.Load()) }

// StartSelf starts another process of the same case, with a variable set.
func (c *Case) StartSelf(variable string) *exec.Cmd {
	self, err := os.Executable()
	c.Check(err)
	command := exec.Command(self)
	command.Env = append(os.Environ(), variable)
	c.Check(command.Start())
	c.mu.Lock()
	c.processes = append(c.processes, command.Process)
	c.mu.Unlock()
	go command.Wait()
	return command
}

// End ends all processes of the case and the case itself.
func (c *Case) End(code int) {
	c.Log("ends with %d; this process was held up for %v at most", code, c.Lag())
	c.mu.Lock()
	for _, process := range c.processes {
		process.Signal(syscall.SIGCONT)
		process.Kill()
	}
	os.RemoveAll(c.Dir)
	os.Exit(code)
}

// Listen opens a listener on a free port.
func (c *Case) Listen() *net.TCPListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Check(err)
	return l.(*net.TCPListener)
}

// FreeAddr returns an address that nothing listens on.
func (c *Case) FreeAddr() string {
	l := c.Listen()
	defer l.Close()
	return l.Addr().String()
}

// Node is a process of the program.
type Node struct {
	Addr   string
	Config string // path of its configuration
	Cmd    *exec.Cmd
	Ended  chan struct{} // closed when the process has ended
	c      *Case
}

// StartNode starts a node with the command that the deploy file names, and waits until it is ready.
func (c *Case) StartNode(name string, config map[string]any) *Node {
	addr, _ := config["listen"].(string)
	n := &Node{Addr: addr, Config: filepath.Join(c.Dir, name+".json"), c: c, Ended: make(chan struct{})}
	n.Configure(config)
	deploy, err := os.ReadFile("deploy/balancer.toml")
	c.Check(err)
	match := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if match == nil {
		c.Check(fmt.Errorf("deploy/balancer.toml has no run line"))
	}
	n.Cmd = exec.Command("/bin/sh", "-c", string(match[1]))
	n.Cmd.Env = append(os.Environ(), "NODE_CONFIG="+n.Config, "NODE_NAME="+name, "NODE_LISTEN="+addr,
		"NODE_DISCOVERY="+fmt.Sprint(config["discovery"]), "TMPDIR="+c.Dir)
	log, err := os.Create(filepath.Join(c.Dir, name+".log"))
	c.Check(err)
	n.Cmd.Stdout, n.Cmd.Stderr = log, log
	c.Check(n.Cmd.Start())
	c.mu.Lock()
	c.processes = append(c.processes, n.Cmd.Process)
	c.mu.Unlock()
	go func() {
		n.Cmd.Wait()
		c.Log("node %s has ended: %v", name, n.Cmd.ProcessState)
		close(n.Ended)
	}()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if status, _, err := Do(addr, "GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n", time.Second); err == nil && status == 200 {
			c.Log("node %s is ready, process %d", name, n.Cmd.Process.Pid)
			return n
		}
		if time.Now().After(deadline) {
			c.Check(fmt.Errorf("node %s is not ready", name))
		}
	}
}

// Configure writes the node's configuration, replacing the file as a whole.
func (n *Node) Configure(config map[string]any) {
	raw, err := json.MarshalIndent(config, "", " ")
	n.c.Check(err)
	n.c.Check(os.WriteFile(n.Config+".new", raw, 0o600))
	n.c.Check(os.Rename(n.Config+".new", n.Config))
}

// Signal sends a signal to the node.
func (n *Node) Signal(s syscall.Signal) {
	n.c.Log("signal to the node: %v", s)
	n.Cmd.Process.Signal(s)
}

// Kill ends the node.
func (n *Node) Kill() {
	n.Cmd.Process.Signal(syscall.SIGCONT)
	n.Cmd.Process.Kill()
	<-n.Ended
}
