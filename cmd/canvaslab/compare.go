package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"

	"canvasrouter/internal/lab"
	"canvasrouter/internal/lab/deciders"
	"canvasrouter/internal/lab/ledger"
)

// compareCommand compares two policies, node programs or experiment files on the same seeds.
type compareCommand struct {
	A          string `arg:"" help:"A policy, a node program, or an experiment file with other settings."`
	B          string `arg:"" help:"What A is compared with."`
	Experiment string `name:"on" help:"The experiment, unless A or B is an experiment file." default:"overload"`
	Runs       int    `help:"Seeds, each played with both." default:"5"`
	runFlags   `embed:""`
}

// optionsFor returns the options of a run for A or B.
func (c *compareCommand) optionsFor(operand string, seed uint64) (lab.RunOptions, error) {
	options := lab.RunOptions{Experiment: c.Experiment, Short: c.Short, Seed: seed, Driver: c.Driver, SelfPath: selfPath()}
	switch {
	case slices.Contains(deciders.Policies, operand):
		options.Policy = operand
	case strings.HasSuffix(operand, ".toml"):
		options.Experiment = operand
	default:
		if _, err := os.Stat(operand); err != nil {
			return options, fmt.Errorf("%q is no policy (%s), no program and no experiment", operand, strings.Join(deciders.Policies, ", "))
		}
		options.NodeProgram = filepath.Clean(operand)
	}
	return options, nil
}

// Run runs the pairs and prints the mean difference of each metric with its standard error.
func (c *compareCommand) Run(ctx context.Context) error {
	if c.Runs < 1 {
		return fmt.Errorf("--runs %d is not above 0", c.Runs)
	}
	for _, operand := range []string{c.A, c.B} { // report a wrong operand before the first run
		if _, err := c.optionsFor(operand, c.Seed); err != nil {
			return err
		}
	}
	var results [2][]*ledger.Result
	for pair := range c.Runs {
		order := []int{0, 1}
		if pair%2 == 1 { // alternate, so that a machine that becomes slower favours neither side
			order = []int{1, 0}
		}
		for _, side := range order {
			options, err := c.optionsFor([]string{c.A, c.B}[side], c.Seed+uint64(pair))
			if err != nil {
				return err
			}
			result, _, err := runExperiment(ctx, options)
			if err != nil {
				return err
			}
			if result.Partial {
				return fmt.Errorf("interrupted after %d of %d pairs", pair, c.Runs)
			}
			results[side] = append(results[side], result)
		}
	}
	fmt.Printf("%-16s %10s %10s %10s %10s\n", "", "A", "B", "B-A", "noise")
	for _, metric := range []struct {
		name  string
		value func(*ledger.Result) float64
	}{
		{"served_benefit", func(r *ledger.Result) float64 { return r.ServedBenefit }},
		{"p50_ms", func(r *ledger.Result) float64 { return r.P50Ms }},
		{"p99_ms", func(r *ledger.Result) float64 { return r.P99Ms }},
		{"pushes_per_op", func(r *ledger.Result) float64 { return r.PushesPerOp }},
		{"wasted_work", func(r *ledger.Result) float64 { return r.WastedWork }},
		{"broken_rules", func(r *ledger.Result) float64 { return float64(len(r.BrokenRules)) }},
	} {
		var a, b, differences []float64
		for pair := range results[0] {
			a = append(a, metric.value(results[0][pair]))
			b = append(b, metric.value(results[1][pair]))
			differences = append(differences, b[pair]-a[pair])
		}
		noise := "-"
		if c.Runs > 1 { // the standard error of the mean difference of the pairs
			noise = fmt.Sprintf("±%.4f", stat.StdDev(differences, nil)/math.Sqrt(float64(c.Runs)))
		}
		fmt.Printf("%-16s %10.4f %10.4f %+10.4f %10s\n", metric.name, stat.Mean(a, nil), stat.Mean(b, nil), stat.Mean(differences, nil), noise)
	}
	fmt.Printf("A %s, B %s; %d seeds from %d, each played with both in turn; noise is one standard error\n", c.A, c.B, c.Runs, c.Seed)
	return nil
}

// tableCommand prints a table of experiments by policies.
type tableCommand struct {
	Names    []string `arg:"" optional:"" help:"Experiments; all if left out."`
	Runs     int      `help:"Number of seeds for each." default:"1"`
	runFlags `embed:""`
}

// Run prints the mean served benefit and the broken rules of each experiment with each policy, on the same seeds.
func (t *tableCommand) Run(ctx context.Context) (err error) {
	if len(t.Names) == 0 {
		if t.Names, err = builtinExperiments(); err != nil {
			return err
		}
	}
	fmt.Printf("| experiment | driver | %s |\n| --- | --- |%s\n", strings.Join(deciders.Policies, " | "),
		strings.Repeat(" --- |", len(deciders.Policies)))
	for _, name := range t.Names {
		row, driver := "", ""
		for _, policyName := range deciders.Policies {
			served := 0.0
			broken := map[string]bool{}
			for n := range t.Runs {
				result, _, err := runExperiment(ctx, lab.RunOptions{
					Experiment: name,
					Short:      t.Short,
					Seed:       t.Seed + uint64(n),
					Driver:     t.Driver,
					Policy:     policyName,
					SelfPath:   selfPath(),
				})
				if err != nil {
					return err
				}
				if result.Partial {
					return fmt.Errorf("interrupted at %s", name)
				}
				driver = result.Driver
				served += result.ServedBenefit / float64(t.Runs)
				for _, rule := range result.BrokenRules {
					broken[rule] = true
				}
			}
			row += fmt.Sprintf(" %.3f", served)
			for _, rule := range ledger.RuleNames {
				if broken[rule] {
					row += ", breaks " + rule
				}
			}
			row += " |"
		}
		fmt.Printf("| %s | %s |%s\n", name, driver, row)
	}
	return nil
}
