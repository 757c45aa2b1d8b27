// Package lab plays experiments: it reads one, makes its load, runs it by one of the drivers and judges what came of
// it.
package lab

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/live"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/sim"
	"canvasrouter/internal/lab/trial"
	"canvasrouter/policy"
)

// Choice is what of an experiment a run is free to choose.
type Choice struct {
	Name   string // of an experiment that comes with the program, or a file
	Short  bool
	Seed   uint64
	Driver string // "": the experiment's
	Policy string
	Fault  string
	Node   string // a node's program in place of this one's own; live only
	Trace  string // of arrivals, in place of the experiment's load
	Listen string // of the first node; live only
	Logs   string // a directory for the nodes' logs; live only
	Nodes  int    // of the first tier, in place of the experiment's; 0: those
	Alone  bool   // nodes don't hear each other, whatever the experiment says
	Self   string // this program, which is a node with the argument "node"
}

// Find reads an experiment: a file, or one that comes with the program.
func Find(own fs.FS, name string) (*scenario.Scenario, error) {
	if strings.HasSuffix(name, ".toml") {
		return scenario.Read(os.DirFS(filepath.Dir(name)), filepath.Base(name))
	}
	s, err := scenario.Read(own, name+".toml")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("no experiment %q; canvaslab list shows them, and a file ends in .toml", name)
	}
	return s, err
}

// Command is how a run is made again.
func (c *Choice) Command() string {
	out := "canvaslab run " + c.Name
	add := func(flag, value string) {
		if value != "" {
			out += " --" + flag + " " + value
		}
	}
	if c.Short {
		out += " --short"
	}
	add("seed", fmt.Sprint(c.Seed))
	add("driver", c.Driver)
	add("policy", c.Policy)
	add("break", c.Fault)
	add("node", c.Node)
	add("trace", c.Trace)
	if c.Nodes > 0 {
		add("nodes", fmt.Sprint(c.Nodes))
	}
	if c.Alone {
		out += " --alone"
	}
	return out
}

// Arrivals are the load of a run.
func (c *Choice) Arrivals(s *scenario.Scenario, length policy.Micros) ([]load.Arrival, error) {
	file := c.Trace
	if file == "" {
		file = s.Load.TraceFile
	}
	if file == "" {
		return load.Generate(s, length, c.Seed), nil
	}
	raw, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer raw.Close()
	return load.ReadTrace(raw, s, length)
}

// length is how long the load of a run lasts.
func (c *Choice) length(s *scenario.Scenario) policy.Micros {
	if c.Short {
		return s.ShortDuration.Micros()
	}
	return s.Duration.Micros()
}

// program is a node's process.
func (c *Choice) program() live.Program {
	if c.Node != "" {
		return live.Program{Path: c.Node}
	}
	args := []string{"node"}
	if c.Policy != "" {
		args = append(args, "--policy", c.Policy)
	}
	if c.Fault != "" {
		args = append(args, "--break", c.Fault)
	}
	return live.Program{Path: c.Self, Args: args, Own: true}
}

// Tick is called about once a second of a run.
type Tick func(now policy.Micros, a *ledger.Ledger)

// Play plays an experiment and judges it. When ctx is done before the end the result is partial, and nothing but the
// rules is judged.
func Play(ctx context.Context, s *scenario.Scenario, c Choice, tick Tick) (*ledger.Result, error) {
	if c.Nodes > 0 {
		s.Tiers[0].NodeCount = c.Nodes
	}
	if c.Alone && s.Fleet != nil {
		s.Fleet = &scenario.Fleet{}
	}
	length := c.length(s)
	arrivals, err := c.Arrivals(s, length)
	if err != nil {
		return nil, err
	}
	if len(arrivals) == 0 {
		return nil, errors.New("no op arrives within the length of the load")
	}
	driver := c.Driver
	if driver == "" {
		driver = s.Driver
	}
	var result *ledger.Result
	var account *ledger.Ledger
	switch driver {
	case "sim":
		if c.Node != "" {
			return nil, errors.New("another program's nodes can't be played in simulated time")
		}
		result, account, err = sim.Run(ctx, sim.Options{Scenario: s, Policy: c.Policy, Fault: c.Fault, Seed: c.Seed,
			LoadDuration: length, Arrivals: arrivals, OnSecond: tick})
	case "live":
		result, account, err = live.Run(ctx, live.Options{Scenario: s, Program: c.program(), Seed: c.Seed,
			Length: length, Arrivals: arrivals, Listen: c.Listen, Logs: c.Logs, Tick: tick})
	default:
		err = fmt.Errorf("driver %q is not one of live, sim", driver)
	}
	if err != nil {
		return nil, err
	}
	result.Name, result.Driver, result.Seed, result.Command = s.Name, driver, c.Seed, c.Command()
	result.Policy = c.Policy
	if result.Policy == "" {
		result.Policy = trial.Module
	}
	c.judge(result, account, s)
	return result, nil
}

// judge writes down what was not met. With a fault, all that is expected is that the ledger catches it.
func (c *Choice) judge(result *ledger.Result, account *ledger.Ledger, s *scenario.Scenario) {
	switch {
	case c.Fault != "":
		result.FailedExpectations = []string{}
		rule := trial.Faults[c.Fault]
		for _, broken := range result.BrokenRules {
			if broken == rule {
				return
			}
		}
		result.FailedExpectations = append(result.FailedExpectations, fmt.Sprintf("fault %s breaks rule %q, and the ledger did not see it", c.Fault, rule))
	case result.Partial:
		*s = scenario.Scenario{Categories: s.Categories, Tenants: s.Tenants, Limits: s.Limits}
		result.CheckExpectations(account)
	default:
		if c.Short || result.Policy != trial.Module {
			// Bounds are for the whole load and the module; the rules hold always.
			s.Expect = scenario.Expect{BrokenRules: s.Expect.BrokenRules}
		}
		result.CheckExpectations(account)
	}
	if result.VoidReason != "" {
		result.FailedExpectations = append(result.FailedExpectations, "the run is void: "+result.VoidReason)
	}
}
