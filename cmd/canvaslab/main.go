// Command canvaslab tests canvasrouter nodes. It starts a fleet of stand-in servers that fail on purpose, offers a load,
// and checks from outside how the nodes handled it.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/mattn/go-isatty"

	"canvasrouter/internal/lab"
	"canvasrouter/internal/lab/deciders"
	"canvasrouter/internal/lab/labnode"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/live"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/report"
	"canvasrouter/internal/lab/scenario"
	experiments "canvasrouter/lab"
	"canvasrouter/policy"
)

// commands are the subcommands of canvaslab.
type commands struct {
	List     listCommand     `cmd:"" help:"Show the experiments, or the kinds of disturbances and faults."`
	Run      runCommand      `cmd:"" help:"Play an experiment. The exit code is 1 if an expectation was not met."`
	Compare  compareCommand  `cmd:"" help:"Play an experiment with A and B in turn, on the same seeds, and show the difference with its noise."`
	Record   recordCommand   `cmd:"" help:"Write the arrivals of an experiment, or of real traffic that passes through, to a trace."`
	Replay   replayCommand   `cmd:"" help:"Play an experiment's fleet and disturbances with the arrivals of a trace."`
	Up       upCommand       `cmd:"" help:"Start an experiment's fleet and nodes without a load, until interrupted."`
	Table    tableCommand    `cmd:"" help:"Play experiments with the module and the baselines, and print a table in Markdown."`
	Count    countCommand    `cmd:"" help:"Count over the logs of a whole fleet what all its nodes do together."`
	Members  membersCommand  `cmd:"" help:"Start processes that exchange peer messages, and measure how long they take to agree on the members."`
	Scale    scaleCommand    `cmd:"" help:"Measure what a part of the fleet costs at several sizes, and keep records for the capacity page."`
	Capacity capacityCommand `cmd:"" help:"Compute the capacity page from the records."`
	Versus   versusCommand   `cmd:"" help:"Compare the node's throughput and latency with net/http's reverse proxy, in one run."`
	Proxy    proxyCommand    `cmd:"" hidden:"" help:"Run as a plain reverse proxy."`
	Node     nodeCommand     `cmd:"" hidden:"" help:"Run as a node of an experiment; NODE_CONFIG names its configuration file."`
}

// errNotMet means that an expectation was not met. The command has printed which one, so main only sets the exit code.
var errNotMet = errors.New("an expectation was not met")

func main() {
	var parsedCommands commands
	parser := kong.Must(&parsedCommands, kong.Name("canvaslab"), kong.UsageOnError(),
		kong.Description("Stand-in fleets, load and experiments for canvasrouter nodes, on loopback."))
	parsed, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	switch err := parsed.Run(); {
	case err == nil:
	case errors.Is(err, errNotMet):
		os.Exit(1)
	default:
		fmt.Fprintln(os.Stderr, "canvaslab:", err)
		os.Exit(2)
	}
}

// selfPath is the path of this program, which is also the program of the nodes.
func selfPath() string {
	path, err := os.Executable()
	if err != nil {
		return os.Args[0]
	}
	return path
}

// listCommand prints the built-in experiments, or the kinds of disturbances or faults.
type listCommand struct {
	Disturbances bool `name:"troubles" help:"The kinds of disturbances."`
	PeerFaults   bool `name:"between" help:"The kinds of faults between nodes."`
	Faults       bool `help:"The faults for --break, and the rule that each breaks."`
}

// Run prints one line for each entry.
func (l *listCommand) Run() error {
	show := func(entries map[string]string) {
		names := make([]string, 0, len(entries))
		for name := range entries {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Printf("%-16s %s\n", name, entries[name])
		}
	}
	switch {
	case l.Disturbances:
		show(scenario.DisturbanceKinds)
	case l.PeerFaults:
		show(scenario.PeerFaultKinds)
	case l.Faults:
		show(deciders.Faults)
	default:
		all, err := builtinExperiments()
		if err != nil {
			return err
		}
		for _, name := range all {
			experiment, err := lab.ReadExperiment(experiments.Files, name)
			if err != nil {
				return err
			}
			fmt.Printf("%-18s %-5s %5.1f s  %s\n", name, experiment.Driver, experiment.Duration.Milliseconds()/1000, experiment.Description)
		}
	}
	return nil
}

// builtinExperiments returns the names of the built-in experiments.
func builtinExperiments() (names []string, err error) {
	files, err := fs.Glob(experiments.Files, "*.toml")
	for _, file := range files {
		names = append(names, strings.TrimSuffix(file, ".toml"))
	}
	return names, err
}

// runFlags are the flags that all commands which run experiments have.
type runFlags struct {
	Short  bool   `help:"A load of a few seconds; only the rules are checked."`
	Seed   uint64 `help:"Seed of all random numbers." default:"1"`
	Driver string `help:"live (sockets) or sim (simulated time) in place of the experiment's own." enum:",live,sim" default:""`
}

// runCommand runs one experiment.
type runCommand struct {
	Name           string `arg:"" help:"An experiment of the list, or a file that ends in .toml."`
	runFlags       `embed:""`
	Policy         string `help:"A baseline in place of the module: random, round-robin or least-request." default:""`
	InjectedFault  string `name:"break" help:"Break a rule on purpose; the run succeeds if the ledger sees it." placeholder:"FAULT"`
	Node           string `help:"Another program to run as nodes, such as another build." type:"existingfile" placeholder:"PATH"`
	Trace          string `help:"Arrivals in place of the experiment's load." type:"existingfile" placeholder:"FILE"`
	JSON           string `name:"json" help:"Write the result as JSON." placeholder:"FILE"`
	Report         string `help:"Write a page with plots, and the baselines for comparison." placeholder:"DIR"`
	NoBaselines    bool   `name:"bare" help:"Leave the baselines out of the report."`
	Listen         string `help:"Address of the first node." placeholder:"ADDR"`
	Logs           string `help:"Keep the nodes' logs here, at level info." type:"existingdir" placeholder:"DIR"`
	Nodes          int    `help:"Nodes of the first tier in place of the experiment's." placeholder:"N"`
	NoPeerMessages bool   `name:"alone" help:"Nodes exchange no peer messages, whatever the experiment says."`
}

// options returns the options of the run that the flags ask for.
func (r *runCommand) options() lab.RunOptions {
	return lab.RunOptions{
		Experiment:     r.Name,
		Short:          r.Short,
		Seed:           r.Seed,
		Driver:         r.Driver,
		Policy:         r.Policy,
		InjectedFault:  r.InjectedFault,
		NodeProgram:    r.Node,
		TraceFile:      r.Trace,
		ListenAddr:     r.Listen,
		LogDir:         r.Logs,
		NodeCount:      r.Nodes,
		NoPeerMessages: r.NoPeerMessages,
		SelfPath:       selfPath(),
	}
}

// Run runs the experiment, writes what the flags ask for, and prints a summary.
func (r *runCommand) Run(ctx context.Context) error {
	result, experiment, err := runExperiment(ctx, r.options())
	if err != nil {
		return err
	}
	if r.JSON != "" {
		if err := writeJSON(r.JSON, result); err != nil {
			return err
		}
	}
	if r.Report != "" {
		all := []*ledger.Result{result}
		for _, other := range deciders.Policies {
			if r.NoBaselines || r.InjectedFault != "" || r.Node != "" || other == result.Policy || ctx.Err() != nil {
				continue
			}
			options := r.options()
			options.Policy = other
			baseline, _, err := runExperiment(ctx, options)
			if err != nil {
				return err
			}
			all = append(all, baseline)
		}
		page, err := report.Write(r.Report, experiment, all)
		if err != nil {
			return err
		}
		fmt.Println("report:", page)
	}
	printSummary(os.Stdout, result)
	if len(result.FailedExpectations) > 0 {
		return errNotMet
	}
	return nil
}

// writeJSON writes a result as indented JSON.
func writeJSON(file string, result *ledger.Result) error {
	raw, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(raw, '\n'), 0o644)
}

// runExperiment reads and runs an experiment, and returns its result and the experiment as it was read. Progress goes to
// standard error once a second: on a terminal as one line that is overwritten, otherwise as a line each.
func runExperiment(ctx context.Context, options lab.RunOptions) (*ledger.Result, *scenario.Scenario, error) {
	experiment, err := lab.ReadExperiment(experiments.Files, options.Experiment)
	if err != nil {
		return nil, nil, err
	}
	original := *experiment
	terminal := isatty.IsTerminal(os.Stderr.Fd())
	result, err := lab.Run(ctx, experiment, options, func(now policy.Micros, runLedger *ledger.Ledger) {
		progress := runLedger.Progress()
		line := fmt.Sprintf("%s %.0f s: offered %d, served %d, nacked %d, open %d", original.Name, float64(now)/1e6, progress.Offered,
			progress.Served, progress.Nacked, progress.Pending)
		if terminal {
			fmt.Fprintf(os.Stderr, "\r\x1b[K%s", line)
		} else {
			fmt.Fprintln(os.Stderr, line)
		}
	})
	if terminal {
		fmt.Fprint(os.Stderr, "\r\x1b[K")
	}
	return result, &original, err
}

// printSummary prints the most important figures of a result.
func printSummary(w *os.File, result *ledger.Result) {
	partial := ""
	if result.Partial {
		partial = ", cut short: what follows is partial"
	}
	fmt.Fprintf(w, "%s, %s, %s, seed %d%s\n", result.Name, result.Policy, result.Driver, result.Seed, partial)
	fmt.Fprintf(w, "  ops %d: served %d, nacked %d, dead-lettered %d, left %d; served benefit %.3f\n", result.Ops, result.Served,
		result.Nacked, result.DeadLettered, result.ClientLeft, result.ServedBenefit)
	fmt.Fprintf(w, "  p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms; %.3f pushes an op; wasted work %.3f\n", result.P50Ms, result.P99Ms,
		result.P999Ms, result.PushesPerOp, result.WastedWork)
	if result.ColdPeakLoad > 0 {
		fmt.Fprintf(w, "  highest load of a cold server in a window: %.2f of its budget plus the allowance for chance; %d servers collapsed\n",
			result.ColdPeakLoad, result.CollapsedServers)
	}
	if traffic := result.PeerTraffic; traffic != nil {
		fmt.Fprintf(w, "  between nodes: %.0f bytes and %.1f datagrams a node and second, the busiest node %.0f bytes; at most %.2f of a node's servers closed by reports of peers; harness late %.1f ms\n",
			traffic.BytesPerSecond, traffic.DatagramsPerSecond, traffic.MaxBytesPerSecond, traffic.MaxClosedByPeers, result.HarnessLateMs)
	}
	if len(result.BrokenRules) == 0 {
		fmt.Fprintln(w, "  the four rules hold")
	} else {
		fmt.Fprintf(w, "  broken rules: %s\n", strings.Join(result.BrokenRules, ", "))
	}
	for i, breach := range result.BreachMessages {
		if i == 5 {
			fmt.Fprintf(w, "    and %d more\n", len(result.BreachMessages)-i)
			break
		}
		fmt.Fprintln(w, "   ", breach)
	}
	for _, failure := range result.FailedExpectations {
		fmt.Fprintln(w, "  NOT MET:", failure)
	}
	fmt.Fprintln(w, "  again:", result.Command)
}

// recordCommand writes a trace of generated or real arrivals.
type recordCommand struct {
	Name      string `arg:"" help:"The experiment whose load it is, or whose categories the traffic has."`
	File      string `arg:"" help:"The trace to write."`
	Short     bool   `help:"The short load."`
	Seed      uint64 `help:"Seed of all random numbers." default:"1"`
	Listen    string `help:"Accept real traffic here, record its arrivals and pass it on, until interrupted." placeholder:"ADDR"`
	ForwardTo string `name:"to" help:"Address of the node that recorded traffic is passed on to." placeholder:"ADDR"`
}

// Run writes the trace and prints how many arrivals it has.
func (r *recordCommand) Run(ctx context.Context) error {
	experiment, err := lab.ReadExperiment(experiments.Files, r.Name)
	if err != nil {
		return err
	}
	if (r.Listen == "") != (r.ForwardTo == "") {
		return errors.New("--listen and --to go together")
	}
	file, err := os.Create(r.File)
	if err != nil {
		return err
	}
	defer file.Close()
	count := 0
	if r.Listen != "" {
		fmt.Fprintf(os.Stderr, "recording traffic from %s to %s; interrupt to end\n", r.Listen, r.ForwardTo)
		count, err = lab.RecordTrace(ctx, experiment, r.Listen, r.ForwardTo, file)
	} else {
		duration := experiment.Duration.Micros()
		if r.Short {
			duration = experiment.ShortDuration.Micros()
		}
		arrivals := load.Generate(experiment, duration, r.Seed)
		count = len(arrivals)
		err = load.WriteTrace(file, arrivals)
	}
	if err == nil {
		err = file.Close()
	}
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d arrivals\n", r.File, count)
	return nil
}

// replayCommand runs an experiment with the arrivals of a trace.
type replayCommand struct {
	File       string `arg:"" type:"existingfile" help:"The trace."`
	Experiment string `name:"on" help:"The experiment whose fleet and disturbances are used." default:"steady"`
	runFlags   `embed:""`
	JSON       string `name:"json" help:"Write the result as JSON." placeholder:"FILE"`
}

// Run does the same as runCommand with a trace.
func (r *replayCommand) Run(ctx context.Context) error {
	run := runCommand{Name: r.Experiment, runFlags: r.runFlags, Trace: r.File, JSON: r.JSON}
	return run.Run(ctx)
}

// upCommand starts a fleet without a load, for manual tests.
type upCommand struct {
	Name   string `arg:"" optional:"" help:"The experiment whose fleet is started." default:"steady"`
	Listen string `help:"Address of the first node." default:"127.0.0.1:8081"`
}

// Run starts the fleet, prints how to send ops to it, and stops it when ctx is done.
func (u *upCommand) Run(ctx context.Context) error {
	experiment, err := lab.ReadExperiment(experiments.Files, u.Name)
	if err != nil {
		return err
	}
	options := live.Options{
		Scenario:   experiment,
		Program:    live.Program{Path: selfPath(), Args: []string{"node"}, ExitsWithStdin: true},
		Seed:       1,
		ListenAddr: u.Listen,
	}
	err = live.Serve(ctx, options, func(nodes []string) {
		fmt.Printf("nodes at %s, %d servers behind them; interrupt to end. Try:\n", strings.Join(nodes, " and "), len(experiment.Machines()))
		for _, category := range experiment.Categories {
			if category.Delivery == "redeliverable" {
				fmt.Printf("  curl -i -H 'X-Txn: 1' -H 'X-Remaining-Ms: 900' %s/%s\n", nodes[0], category.Name)
			}
		}
	})
	return err
}

// nodeCommand runs the process of a node. The live driver starts it.
type nodeCommand struct {
	Policy        string `default:""`
	InjectedFault string `name:"break" default:""`
}

// Run exits with the code of the node.
func (n *nodeCommand) Run() error {
	os.Exit(labnode.Main(n.Policy, n.InjectedFault))
	return nil
}
