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
type RunOptions struct {
	Experiment     string // of an experiment that comes with the program, or a file
	Short          bool
	Seed           uint64
	Driver         string // "": the experiment's
	Policy         string
	InjectedFault  string
	NodeProgram    string // a node's program in place of this one's own; live only
	TraceFile      string // of arrivals, in place of the experiment's load
	ListenAddr     string // of the first node; live only
	LogDir         string // a directory for the nodes' logs; live only
	NodeCount      int    // of the first tier, in place of the experiment's; 0: those
	NoPeerMessages bool   // nodes don't hear each other, whatever the experiment says
	SelfPath       string // this program, which is a node with the argument "node"
}

// Find reads an experiment: a file, or one that comes with the program.
func ReadExperiment(own fs.FS, name string) (*scenario.Scenario, error) {
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
func (c *RunOptions) Command() string {
	out := "canvaslab run " + c.Experiment
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
	add("break", c.InjectedFault)
	add("node", c.NodeProgram)
	add("trace", c.TraceFile)
	if c.NodeCount > 0 {
		add("nodes", fmt.Sprint(c.NodeCount))
	}
	if c.NoPeerMessages {
		out += " --alone"
	}
	return out
}

// Arrivals are the load of a run.
func (c *RunOptions) Arrivals(s *scenario.Scenario, length policy.Micros) ([]load.Arrival, error) {
	file := c.TraceFile
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
func (c *RunOptions) length(s *scenario.Scenario) policy.Micros {
	if c.Short {
		return s.ShortDuration.Micros()
	}
	return s.Duration.Micros()
}

// program is a node's process.
func (c *RunOptions) program() live.Program {
	if c.NodeProgram != "" {
		return live.Program{Path: c.NodeProgram}
	}
	args := []string{"node"}
	if c.Policy != "" {
		args = append(args, "--policy", c.Policy)
	}
	if c.InjectedFault != "" {
		args = append(args, "--break", c.InjectedFault)
	}
	return live.Program{Path: c.SelfPath, Args: args, ExitsWithStdin: true}
}

// Tick is called about once a second of a run.
type ProgressFunc func(now policy.Micros, a *ledger.Ledger)

// Play plays an experiment and judges it. When ctx is done before the end the result is partial, and nothing but the
// rules is judged.
func Run(ctx context.Context, s *scenario.Scenario, c RunOptions, tick ProgressFunc) (*ledger.Result, error) {
	if c.NodeCount > 0 {
		s.Tiers[0].NodeCount = c.NodeCount
	}
	if c.NoPeerMessages && s.Fleet != nil {
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
		if c.NodeProgram != "" {
			return nil, errors.New("another program's nodes can't be played in simulated time")
		}
		result, account, err = sim.Run(ctx, sim.Options{Scenario: s, Policy: c.Policy, Fault: c.InjectedFault, Seed: c.Seed,
			LoadDuration: length, Arrivals: arrivals, OnSecond: tick})
	case "live":
		result, account, err = live.Run(ctx, live.Options{Scenario: s, Program: c.program(), Seed: c.Seed,
			LoadDuration: length, Arrivals: arrivals, ListenAddr: c.ListenAddr, LogDir: c.LogDir, OnSecond: tick})
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
func (c *RunOptions) judge(result *ledger.Result, account *ledger.Ledger, s *scenario.Scenario) {
	switch {
	case c.InjectedFault != "":
		result.FailedExpectations = []string{}
		rule := trial.Faults[c.InjectedFault]
		for _, broken := range result.BrokenRules {
			if broken == rule {
				return
			}
		}
		result.FailedExpectations = append(result.FailedExpectations, fmt.Sprintf("fault %s breaks rule %q, and the ledger did not see it", c.InjectedFault, rule))
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
