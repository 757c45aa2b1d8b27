// Package lab runs experiments: it reads an experiment, generates or reads its load, runs it with one of the drivers, and
// checks the result against what the experiment expects.
package lab

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"canvasrouter/internal/lab/deciders"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/live"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/sim"
	"canvasrouter/policy"
)

// RunOptions select an experiment and what differs from it in one run.
type RunOptions struct {
	Experiment     string // name of a built-in experiment, or path of a file that ends in .toml
	Short          bool   // use the experiment's short load
	Seed           uint64
	Driver         string // "live" or "sim"; "": the experiment's
	Policy         string // policy in place of the module; "": the module
	InjectedFault  string // fault to inject, one of deciders.Faults; "": none
	NodeProgram    string // another program to run as nodes; "": SelfPath; live only
	TraceFile      string // trace of arrivals in place of the experiment's load
	ListenAddr     string // listen address of the first node; live only
	LogDir         string // directory for the nodes' logs; live only
	NodeCount      int    // nodes of the first tier; 0: the experiment's
	NoPeerMessages bool   // nodes exchange no peer messages, whatever the experiment says
	SelfPath       string // path of this program, which runs as a node when its first argument is "node"
}

// ReadExperiment reads an experiment: a file if the name ends in .toml, otherwise one of the built-in experiments.
func ReadExperiment(builtin fs.FS, name string) (*scenario.Scenario, error) {
	if strings.HasSuffix(name, ".toml") {
		return scenario.Read(os.DirFS(filepath.Dir(name)), filepath.Base(name))
	}
	experiment, err := scenario.Read(builtin, name+".toml")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("no experiment %q; canvaslab list shows them, and a file ends in .toml", name)
	}
	return experiment, err
}

// Command returns the command line that repeats the run.
func (o *RunOptions) Command() string {
	out := "canvaslab run " + o.Experiment
	add := func(flag, value string) {
		if value != "" {
			out += " --" + flag + " " + value
		}
	}
	if o.Short {
		out += " --short"
	}
	add("seed", fmt.Sprint(o.Seed))
	add("driver", o.Driver)
	add("policy", o.Policy)
	add("break", o.InjectedFault)
	add("node", o.NodeProgram)
	add("trace", o.TraceFile)
	if o.NodeCount > 0 {
		add("nodes", fmt.Sprint(o.NodeCount))
	}
	if o.NoPeerMessages {
		out += " --alone"
	}
	return out
}

// Arrivals returns the load of a run: the arrivals of a trace, or generated ones.
func (o *RunOptions) Arrivals(experiment *scenario.Scenario, duration policy.Micros) ([]load.Arrival, error) {
	file := o.TraceFile
	if file == "" {
		file = experiment.Load.TraceFile
	}
	if file == "" {
		return load.Generate(experiment, duration, o.Seed), nil
	}
	raw, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer raw.Close()
	return load.ReadTrace(raw, experiment, duration)
}

// loadDuration is how long the load of a run lasts.
func (o *RunOptions) loadDuration(experiment *scenario.Scenario) policy.Micros {
	if o.Short {
		return experiment.ShortDuration.Micros()
	}
	return experiment.Duration.Micros()
}

// nodeProgram is the command that starts a node.
func (o *RunOptions) nodeProgram() live.Program {
	if o.NodeProgram != "" {
		return live.Program{Path: o.NodeProgram}
	}
	args := []string{"node"}
	if o.Policy != "" {
		args = append(args, "--policy", o.Policy)
	}
	if o.InjectedFault != "" {
		args = append(args, "--break", o.InjectedFault)
	}
	return live.Program{Path: o.SelfPath, Args: args, ExitsWithStdin: true}
}

// ProgressFunc is called about once a second of a run with the time since the load began.
type ProgressFunc func(now policy.Micros, runLedger *ledger.Ledger)

// Run runs an experiment and checks its result. When ctx is done before the end, the result is partial and only the
// rules are checked.
func Run(ctx context.Context, experiment *scenario.Scenario, options RunOptions, onSecond ProgressFunc) (*ledger.Result, error) {
	if options.NodeCount > 0 {
		experiment.Tiers[0].NodeCount = options.NodeCount
	}
	if options.NoPeerMessages && experiment.Fleet != nil {
		experiment.Fleet = &scenario.Fleet{}
	}
	duration := options.loadDuration(experiment)
	arrivals, err := options.Arrivals(experiment, duration)
	if err != nil {
		return nil, err
	}
	if len(arrivals) == 0 {
		return nil, errors.New("no op arrives within the length of the load")
	}
	driver := options.Driver
	if driver == "" {
		driver = experiment.Driver
	}
	var result *ledger.Result
	var runLedger *ledger.Ledger
	switch driver {
	case "sim":
		if options.NodeProgram != "" {
			return nil, errors.New("nodes of another program can't be played in simulated time")
		}
		result, runLedger, err = sim.Run(ctx, sim.Options{
			Scenario:      experiment,
			Policy:        options.Policy,
			InjectedFault: options.InjectedFault,
			Seed:          options.Seed,
			LoadDuration:  duration,
			Arrivals:      arrivals,
			OnSecond:      onSecond,
		})
	case "live":
		result, runLedger, err = live.Run(ctx, live.Options{
			Scenario:     experiment,
			Program:      options.nodeProgram(),
			Seed:         options.Seed,
			LoadDuration: duration,
			Arrivals:     arrivals,
			ListenAddr:   options.ListenAddr,
			LogDir:       options.LogDir,
			OnSecond:     onSecond,
		})
	default:
		err = fmt.Errorf("driver %q is not one of live, sim", driver)
	}
	if err != nil {
		return nil, err
	}
	result.Name = experiment.Name
	result.Driver = driver
	result.Seed = options.Seed
	result.Command = options.Command()
	result.Policy = options.Policy
	if result.Policy == "" {
		result.Policy = deciders.Module
	}
	options.checkResult(result, runLedger, experiment)
	return result, nil
}

// checkResult adds the expectations that were not met to the result. With an injected fault the only expectation is that
// the ledger finds it. A partial result is checked against the rules only.
func (o *RunOptions) checkResult(result *ledger.Result, runLedger *ledger.Ledger, experiment *scenario.Scenario) {
	switch {
	case o.InjectedFault != "":
		result.FailedExpectations = []string{}
		rule := deciders.Faults[o.InjectedFault]
		for _, broken := range result.BrokenRules {
			if broken == rule {
				return
			}
		}
		result.FailedExpectations = append(result.FailedExpectations,
			fmt.Sprintf("fault %s breaks rule %q, and the ledger did not see it", o.InjectedFault, rule))
	case result.Partial:
		*experiment = scenario.Scenario{Categories: experiment.Categories, Tenants: experiment.Tenants, Limits: experiment.Limits}
		result.CheckExpectations(runLedger)
	default:
		if o.Short || result.Policy != deciders.Module {
			// The bounds apply to the full load and the module. The rules always apply.
			experiment.Expect = scenario.Expect{BrokenRules: experiment.Expect.BrokenRules}
		}
		result.CheckExpectations(runLedger)
	}
	if result.VoidReason != "" {
		result.FailedExpectations = append(result.FailedExpectations, "the run is void: "+result.VoidReason)
	}
}
