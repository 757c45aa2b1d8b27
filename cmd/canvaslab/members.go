package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"canvasrouter/internal/lab"
	"canvasrouter/internal/lab/together"
	"canvasrouter/internal/standin/relay"
	experiments "canvasrouter/lab"
)

type membersCommand struct {
	Nodes        []int         `help:"How many processes, one run each." default:"10,50"`
	Node         string        `help:"The node's program." type:"existingfile" placeholder:"PATH" required:""`
	CutCount     int           `name:"cuts" help:"Cut and heal so often at the end of each run, and look for what is left over." default:"0"`
	IdleDuration time.Duration `name:"calm" help:"How long bytes and CPU are counted while nothing happens." default:"10s"`
	Seed         uint64        `help:"Of the relay's chance." default:"1"`
}

// mostAgree ends a wait for agreement.
const maxAgreementTime = 90 * time.Second

// Run starts processes that hear each other, without servers and clients, and measures how long they take to agree on who
// is there, and what that costs.
func (m *membersCommand) Run(ctx context.Context) error {
	fmt.Println("| processes | joined | a tenth killed | one side, the other of a cut (a third) | healed | bytes, datagrams a node and s | CPU a node | MB, descriptors |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, nodes := range m.Nodes {
		if nodes < 3 {
			return fmt.Errorf("--nodes %d is under 3", nodes)
		}
		if err := m.measure(ctx, nodes); err != nil {
			return fmt.Errorf("%d processes: %w", nodes, err)
		}
	}
	return nil
}

func (m *membersCommand) measure(ctx context.Context, nodes int) (err error) {
	experiment, err := lab.ReadExperiment(experiments.Files, "fleet-steady")
	if err != nil {
		return err
	}
	processes, err := together.NewProcesses(m.Node, experiment, nodes, m.Seed)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, processes.Close()) }()
	all := make([]int, nodes)
	for i := range all {
		all[i] = i
		if err := processes.Start(i); err != nil {
			return err
		}
	}
	agree := func(places []int) time.Duration {
		if err != nil {
			return 0
		}
		var took time.Duration
		took, err = processes.Agree(ctx, places, maxAgreementTime)
		fmt.Fprintf(os.Stderr, "%d of %d agree after %v\n", len(places), nodes, took.Round(10*time.Millisecond))
		return took.Round(10 * time.Millisecond)
	}
	joined := agree(all)
	bytes, datagrams, cpu := m.measureIdle(ctx, processes, nodes)
	killCount := max(1, nodes/10)
	for _, place := range all[nodes-killCount:] {
		if err := processes.Signal(place, syscall.SIGKILL); err != nil {
			return err
		}
	}
	killed := agree(all[:nodes-killCount])
	for _, place := range all[nodes-killCount:] {
		if err := processes.Start(place); err != nil {
			return err
		}
	}
	agree(all)
	third := nodes / 3
	separated := func(from, to int) relay.Way { return relay.Way{Cut: (from%nodes < third) != (to%nodes < third)} }
	cut := processes.Relay.Begin(separated)
	cutAt := time.Now()
	agree(all[:third])
	smallSide := time.Since(cutAt).Round(10 * time.Millisecond)
	agree(all[third:])
	largeSide := time.Since(cutAt).Round(10 * time.Millisecond)
	processes.Relay.End(cut)
	healed := agree(all)
	if err != nil {
		return err
	}
	var maxMemory float64
	maxDescriptors := 0
	for _, place := range all {
		_, memory, descriptors := processes.CPU(place)
		maxMemory, maxDescriptors = max(maxMemory, memory), max(maxDescriptors, descriptors)
	}
	fmt.Printf("| %d | %v | %v | %v, %v | %v | %.0f, %.1f | %.2f%% | %.1f, %d |\n", nodes, joined, killed, smallSide, largeSide, healed, bytes, datagrams, 100*cpu, maxMemory, maxDescriptors)
	return m.repeatCuts(ctx, processes, all, separated, maxMemory, maxDescriptors)
}

// calm counts what is said, and the CPU used, while nothing happens: a node and second.
func (m *membersCommand) measureIdle(ctx context.Context, processes *together.Processes, nodes int) (bytes, datagrams, cpu float64) {
	sum := func() (b, d, c float64) {
		for i := range nodes {
			n := processes.Relay.Count(i)
			used, _, _ := processes.CPU(i)
			b, d, c = b+float64(n.SentBytes+n.StreamBytes), d+float64(n.SentDatagrams), c+used
		}
		return b, d, c
	}
	b0, d0, c0 := sum()
	select {
	case <-time.After(m.IdleDuration):
	case <-ctx.Done():
	}
	b1, d1, c1 := sum()
	nodeSeconds := float64(nodes) * m.IdleDuration.Seconds()
	return (b1 - b0) / nodeSeconds, (d1 - d0) / nodeSeconds, (c1 - c0) / nodeSeconds
}

// cuts cuts and heals again and again, and says what is left over.
func (m *membersCommand) repeatCuts(ctx context.Context, processes *together.Processes, all []int, separated func(int, int) relay.Way, memoryBefore float64, descriptorsBefore int) error {
	if m.CutCount == 0 {
		return nil
	}
	for range m.CutCount {
		cut := processes.Relay.Begin(separated)
		time.Sleep(400 * time.Millisecond)
		processes.Relay.End(cut)
		time.Sleep(100 * time.Millisecond)
	}
	if _, err := processes.Agree(ctx, all, maxAgreementTime); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // streams that were open have ended
	var maxMemory float64
	maxDescriptors := 0
	for _, place := range all {
		_, memory, descriptors := processes.CPU(place)
		maxMemory, maxDescriptors = max(maxMemory, memory), max(maxDescriptors, descriptors)
	}
	fmt.Printf("\nafter %d cuts of 0.4 s: %.1f MB and %d descriptors at the most (%.1f and %d before)\n", m.CutCount, maxMemory, maxDescriptors, memoryBefore, descriptorsBefore)
	return nil
}
