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
	"canvasrouter/internal/lab/ledger"
	"canvasrouter/internal/lab/trial"
)

type compareCommand struct {
	A      string `arg:"" help:"A policy, a node's program, or an experiment's file (other settings)."`
	B      string `arg:"" help:"The other."`
	On     string `help:"The experiment, where A and B are no files of one." default:"overload"`
	Runs   int    `help:"Seeds, each played with both." default:"5"`
	choice `embed:""`
}

// side makes one side's run out of its word.
func (c *compareCommand) side(word string, seed uint64) (lab.RunOptions, error) {
	run := lab.RunOptions{Experiment: c.On, Short: c.Short, Seed: seed, Driver: c.Driver, SelfPath: self()}
	switch {
	case slices.Contains(trial.Policies, word):
		run.Policy = word
	case strings.HasSuffix(word, ".toml"):
		run.Experiment = word
	default:
		if _, err := os.Stat(word); err != nil {
			return run, fmt.Errorf("%q is no policy (%s), no program and no experiment", word, strings.Join(trial.Policies, ", "))
		}
		run.NodeProgram = filepath.Clean(word)
	}
	return run, nil
}

func (c *compareCommand) Run(ctx context.Context) error {
	if c.Runs < 1 {
		return fmt.Errorf("--runs %d is not above 0", c.Runs)
	}
	for _, word := range []string{c.A, c.B} { // before the first run, and not between two
		if _, err := c.side(word, c.Seed); err != nil {
			return err
		}
	}
	var results [2][]*ledger.Result
	for n := range c.Runs {
		order := []int{0, 1}
		if n%2 == 1 { // in turn, so that a machine that grows slower favours neither
			order = []int{1, 0}
		}
		for _, at := range order {
			run, err := c.side([]string{c.A, c.B}[at], c.Seed+uint64(n))
			if err != nil {
				return err
			}
			result, _, err := play(ctx, run)
			if err != nil {
				return err
			}
			if result.Partial {
				return fmt.Errorf("interrupted after %d of %d pairs", n, c.Runs)
			}
			results[at] = append(results[at], result)
		}
	}
	fmt.Printf("%-16s %10s %10s %10s %10s\n", "", "A", "B", "B-A", "noise")
	for _, f := range []struct {
		name string
		of   func(*ledger.Result) float64
	}{
		{"served_benefit", func(r *ledger.Result) float64 { return r.ServedBenefit }},
		{"p50_ms", func(r *ledger.Result) float64 { return r.P50Ms }},
		{"p99_ms", func(r *ledger.Result) float64 { return r.P99Ms }},
		{"pushes_per_op", func(r *ledger.Result) float64 { return r.PushesPerOp }},
		{"wasted_work", func(r *ledger.Result) float64 { return r.WastedWork }},
		{"broken_rules", func(r *ledger.Result) float64 { return float64(len(r.BrokenRules)) }},
	} {
		var a, b, diff []float64
		for n := range results[0] {
			a, b = append(a, f.of(results[0][n])), append(b, f.of(results[1][n]))
			diff = append(diff, b[n]-a[n])
		}
		noise := "-"
		if c.Runs > 1 { // standard error of the mean of the pairs' differences
			noise = fmt.Sprintf("±%.4f", stat.StdDev(diff, nil)/math.Sqrt(float64(c.Runs)))
		}
		fmt.Printf("%-16s %10.4f %10.4f %+10.4f %10s\n", f.name, stat.Mean(a, nil), stat.Mean(b, nil), stat.Mean(diff, nil), noise)
	}
	fmt.Printf("A %s, B %s; %d seeds from %d, each played with both in turn; noise is one standard error\n", c.A, c.B, c.Runs, c.Seed)
	return nil
}

type tableCommand struct {
	Names  []string `arg:"" optional:"" help:"Experiments; all if left out."`
	Runs   int      `help:"Seeds of each." default:"1"`
	choice `embed:""`
}

// Run prints served benefit and broken rules of each experiment by each policy, on the same seeds.
func (t *tableCommand) Run(ctx context.Context) (err error) {
	if len(t.Names) == 0 {
		if t.Names, err = every(); err != nil {
			return err
		}
	}
	fmt.Printf("| experiment | driver | %s |\n| --- | --- |%s\n", strings.Join(trial.Policies, " | "),
		strings.Repeat(" --- |", len(trial.Policies)))
	for _, name := range t.Names {
		row, driver := "", ""
		for _, p := range trial.Policies {
			served, broken := 0.0, map[string]bool{}
			for n := range t.Runs {
				r, _, err := play(ctx, lab.RunOptions{Experiment: name, Short: t.Short, Seed: t.Seed + uint64(n), Driver: t.Driver,
					Policy: p, SelfPath: self()})
				if err != nil {
					return err
				}
				if r.Partial {
					return fmt.Errorf("interrupted at %s", name)
				}
				driver = r.Driver
				served += r.ServedBenefit / float64(t.Runs)
				for _, rule := range r.BrokenRules {
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
