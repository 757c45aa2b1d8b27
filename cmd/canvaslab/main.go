// Command canvaslab tries nodes out: it starts a stand-in fleet that fails on purpose, offers a load, and judges from
// outside what the nodes made of it.
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
	"canvasrouter/internal/lab/labnode"
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/live"
	"canvasrouter/internal/lab/load"
	"canvasrouter/internal/lab/report"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/trial"
	experiments "canvasrouter/lab"
	"canvasrouter/policy"
)

type commands struct {
	List     listCommand     `cmd:"" help:"Show the experiments, or the kinds of trouble and faults."`
	Run      runCommand      `cmd:"" help:"Play an experiment. The exit code is 1 if an expectation was not met."`
	Compare  compareCommand  `cmd:"" help:"Play an experiment with A and B in turn, on the same seeds, and show the difference with its noise."`
	Record   recordCommand   `cmd:"" help:"Write the arrivals of an experiment, or of real traffic that passes through, to a trace."`
	Replay   replayCommand   `cmd:"" help:"Play an experiment's fleet and troubles with the arrivals of a trace."`
	Up       upCommand       `cmd:"" help:"Start an experiment's fleet and nodes without a load, until interrupted."`
	Table    tableCommand    `cmd:"" help:"Play experiments with the module and the baselines, and print a table in Markdown."`
	Count    countCommand    `cmd:"" help:"Count over the logs of a whole fleet what all its nodes do together."`
	Members  membersCommand  `cmd:"" help:"Start processes that hear each other, and measure how long they take to agree on who is there."`
	Scale    scaleCommand    `cmd:"" help:"Measure what a part of the fleet costs at several sizes, and keep records for the page of capacity."`
	Capacity capacityCommand `cmd:"" help:"Work the page of capacity out from the records."`
	Versus   versusCommand   `cmd:"" help:"Compare the node's throughput and delay with net/http's reverse proxy, in one run."`
	Proxy    proxyCommand    `cmd:"" hidden:"" help:"Be a plain reverse proxy."`
	Node     nodeCommand     `cmd:"" hidden:"" help:"Be a node of the laboratory; NODE_CONFIG names its configuration."`
}

// errNotMet says that an expectation was not met; what it was is printed already.
var errNotMet = errors.New("an expectation was not met")

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("canvaslab"), kong.UsageOnError(),
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

// self is this program, which the nodes are processes of.
func self() string {
	path, err := os.Executable()
	if err != nil {
		return os.Args[0]
	}
	return path
}

type listCommand struct {
	Troubles bool `help:"The kinds of trouble."`
	Between  bool `help:"The kinds of fault between nodes."`
	Faults   bool `help:"The faults for --break, and the rule that each breaks."`
}

func (l *listCommand) Run() error {
	show := func(of map[string]string) {
		names := make([]string, 0, len(of))
		for name := range of {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Printf("%-16s %s\n", name, of[name])
		}
	}
	switch {
	case l.Troubles:
		show(scenario.DisturbanceKinds)
	case l.Between:
		show(scenario.PeerFaultKinds)
	case l.Faults:
		show(trial.Faults)
	default:
		all, err := every()
		if err != nil {
			return err
		}
		for _, name := range all {
			s, err := lab.ReadExperiment(experiments.Files, name)
			if err != nil {
				return err
			}
			fmt.Printf("%-18s %-5s %5.1f s  %s\n", name, s.Driver, s.Duration.Milliseconds()/1000, s.Description)
		}
	}
	return nil
}

// every gives the names of the experiments that come with the program.
func every() (names []string, err error) {
	files, err := fs.Glob(experiments.Files, "*.toml")
	for _, file := range files {
		names = append(names, strings.TrimSuffix(file, ".toml"))
	}
	return names, err
}

// choice are the flags that runs share.
type choice struct {
	Short  bool   `help:"A load of a few seconds; only the rules are judged."`
	Seed   uint64 `help:"Of all chance." default:"1"`
	Driver string `help:"live (sockets) or sim (simulated time) in place of the experiment's own." enum:",live,sim" default:""`
}

type runCommand struct {
	Name   string `arg:"" help:"An experiment of the list, or a file that ends in .toml."`
	choice `embed:""`
	Policy string `help:"In the module's place: random, round-robin or least-request, to compare." default:""`
	Break  string `help:"Break a rule on purpose; the run succeeds if the ledger sees it." placeholder:"FAULT"`
	Node   string `help:"Another program to be the nodes: another build." type:"existingfile" placeholder:"PATH"`
	Trace  string `help:"Arrivals in place of the experiment's load." type:"existingfile" placeholder:"FILE"`
	JSON   string `name:"json" help:"Write the result as JSON." placeholder:"FILE"`
	Report string `help:"Write a page with plots, baselines beside it." placeholder:"DIR"`
	Bare   bool   `help:"Leave the baselines out of the report."`
	Listen string `help:"Address of the first node." placeholder:"ADDR"`
	Logs   string `help:"Keep the nodes' logs here, at level info." type:"existingdir" placeholder:"DIR"`
	Nodes  int    `help:"Nodes of the first tier in place of the experiment's." placeholder:"N"`
	Alone  bool   `help:"Nodes don't hear each other, whatever the experiment says."`
}

func (r *runCommand) wanted() lab.RunOptions {
	return lab.RunOptions{Experiment: r.Name, Short: r.Short, Seed: r.Seed, Driver: r.Driver, Policy: r.Policy, InjectedFault: r.Break,
		NodeProgram: r.Node, TraceFile: r.Trace, ListenAddr: r.Listen, LogDir: r.Logs, NodeCount: r.Nodes, NoPeerMessages: r.Alone, SelfPath: self()}
}

func (r *runCommand) Run(ctx context.Context) error {
	result, s, err := play(ctx, r.wanted())
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
		for _, other := range trial.Policies {
			if r.Bare || r.Break != "" || r.Node != "" || other == result.Policy || ctx.Err() != nil {
				continue
			}
			c := r.wanted()
			c.Policy = other
			baseline, _, err := play(ctx, c)
			if err != nil {
				return err
			}
			all = append(all, baseline)
		}
		page, err := report.Write(r.Report, s, all)
		if err != nil {
			return err
		}
		fmt.Println("report:", page)
	}
	summary(os.Stdout, result)
	if len(result.FailedExpectations) > 0 {
		return errNotMet
	}
	return nil
}

func writeJSON(file string, result *ledger.Result) error {
	raw, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(raw, '\n'), 0o644)
}

// play reads and plays, with progress: one line that is written over on a terminal, one a second elsewhere.
func play(ctx context.Context, c lab.RunOptions) (*ledger.Result, *scenario.Scenario, error) {
	s, err := lab.ReadExperiment(experiments.Files, c.Experiment)
	if err != nil {
		return nil, nil, err
	}
	whole := *s
	terminal := isatty.IsTerminal(os.Stderr.Fd())
	result, err := lab.Run(ctx, s, c, func(now policy.Micros, a *ledger.Ledger) {
		p := a.Progress()
		line := fmt.Sprintf("%s %.0f s: offered %d, served %d, nacked %d, open %d", whole.Name, float64(now)/1e6, p.Offered,
			p.Served, p.Nacked, p.Pending)
		if terminal {
			fmt.Fprintf(os.Stderr, "\r\x1b[K%s", line)
		} else {
			fmt.Fprintln(os.Stderr, line)
		}
	})
	if terminal {
		fmt.Fprint(os.Stderr, "\r\x1b[K")
	}
	return result, &whole, err
}

// summary prints what a run came to.
func summary(w *os.File, r *ledger.Result) {
	partial := ""
	if r.Partial {
		partial = ", cut short: what follows is partial"
	}
	fmt.Fprintf(w, "%s, %s, %s, seed %d%s\n", r.Name, r.Policy, r.Driver, r.Seed, partial)
	fmt.Fprintf(w, "  ops %d: served %d, nacked %d, dead-lettered %d, left %d; served benefit %.3f\n", r.Ops, r.Served,
		r.Nacked, r.DeadLettered, r.ClientLeft, r.ServedBenefit)
	fmt.Fprintf(w, "  p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms; %.3f pushes an op; wasted work %.3f\n", r.P50Ms, r.P99Ms,
		r.P999Ms, r.PushesPerOp, r.WastedWork)
	if r.ColdPeakLoad > 0 {
		fmt.Fprintf(w, "  fullest window at a cold server: %.2f of its budget and chance; %d fell over\n", r.ColdPeakLoad, r.CollapsedServers)
	}
	if t := r.PeerTraffic; t != nil {
		fmt.Fprintf(w, "  between nodes: %.0f bytes and %.1f datagrams a node and second, the busiest node %.0f bytes; at most %.2f of a node's servers closed by hearsay; rig late %.1f ms\n",
			t.BytesPerSecond, t.DatagramsPerSecond, t.MaxBytesPerSecond, t.MaxClosedByPeers, r.HarnessLateMs)
	}
	if len(r.BrokenRules) == 0 {
		fmt.Fprintln(w, "  the four rules hold")
	} else {
		fmt.Fprintf(w, "  broken rules: %s\n", strings.Join(r.BrokenRules, ", "))
	}
	for i, breach := range r.BreachMessages {
		if i == 5 {
			fmt.Fprintf(w, "    and %d more\n", len(r.BreachMessages)-i)
			break
		}
		fmt.Fprintln(w, "   ", breach)
	}
	for _, f := range r.FailedExpectations {
		fmt.Fprintln(w, "  NOT MET:", f)
	}
	fmt.Fprintln(w, "  again:", r.Command)
}

type recordCommand struct {
	Name   string `arg:"" help:"The experiment whose load it is, or whose categories the traffic has."`
	File   string `arg:"" help:"The trace to write."`
	Short  bool   `help:"The short load."`
	Seed   uint64 `help:"Of all chance." default:"1"`
	Listen string `help:"Take real traffic here and pass it on, recording its arrivals, until interrupted." placeholder:"ADDR"`
	To     string `help:"Where recorded traffic goes on to: a node's address." placeholder:"ADDR"`
}

func (r *recordCommand) Run(ctx context.Context) error {
	s, err := lab.ReadExperiment(experiments.Files, r.Name)
	if err != nil {
		return err
	}
	if (r.Listen == "") != (r.To == "") {
		return errors.New("--listen and --to go together")
	}
	file, err := os.Create(r.File)
	if err != nil {
		return err
	}
	defer file.Close()
	n := 0
	if r.Listen != "" {
		fmt.Fprintf(os.Stderr, "recording what comes to %s and goes on to %s; interrupt to end\n", r.Listen, r.To)
		n, err = lab.RecordTrace(ctx, s, r.Listen, r.To, file)
	} else {
		length := s.Duration.Micros()
		if r.Short {
			length = s.ShortDuration.Micros()
		}
		arrivals := load.Generate(s, length, r.Seed)
		n, err = len(arrivals), load.WriteTrace(file, arrivals)
	}
	if err == nil {
		err = file.Close()
	}
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d arrivals\n", r.File, n)
	return nil
}

type replayCommand struct {
	File   string `arg:"" type:"existingfile" help:"The trace."`
	On     string `help:"The experiment whose fleet and troubles it meets." default:"steady"`
	choice `embed:""`
	JSON   string `name:"json" help:"Write the result as JSON." placeholder:"FILE"`
}

func (r *replayCommand) Run(ctx context.Context) error {
	run := runCommand{Name: r.On, choice: r.choice, Trace: r.File, JSON: r.JSON}
	return run.Run(ctx)
}

type upCommand struct {
	Name   string `arg:"" optional:"" help:"The experiment whose fleet it is." default:"steady"`
	Listen string `help:"Address of the first node." default:"127.0.0.1:8081"`
}

func (u *upCommand) Run(ctx context.Context) error {
	s, err := lab.ReadExperiment(experiments.Files, u.Name)
	if err != nil {
		return err
	}
	err = live.Serve(ctx, live.Options{Scenario: s, Program: live.Program{Path: self(), Args: []string{"node"}, ExitsWithStdin: true},
		Seed: 1, ListenAddr: u.Listen}, func(nodes []string) {
		fmt.Printf("nodes at %s, %d servers behind them; interrupt to end. Try:\n", strings.Join(nodes, " and "), len(s.Machines()))
		for _, c := range s.Categories {
			if c.Delivery == "redeliverable" {
				fmt.Printf("  curl -i -H 'X-Txn: 1' -H 'X-Remaining-Ms: 900' %s/%s\n", nodes[0], c.Name)
			}
		}
	})
	return err
}

// nodeCommand is a node of an experiment.
type nodeCommand struct {
	Policy string `default:""`
	Break  string `default:""`
}

func (n *nodeCommand) Run() error {
	os.Exit(labnode.Main(n.Policy, n.Break))
	return nil
}
