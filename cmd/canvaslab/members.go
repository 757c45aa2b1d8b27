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
	Nodes []int         `help:"How many processes, one run each." default:"10,50"`
	Node  string        `help:"The node's program." type:"existingfile" placeholder:"PATH" required:""`
	Cuts  int           `help:"Cut and heal so often at the end of each run, and look for what is left over." default:"0"`
	Calm  time.Duration `help:"How long bytes and CPU are counted while nothing happens." default:"10s"`
	Seed  uint64        `help:"Of the relay's chance." default:"1"`
}

// mostAgree ends a wait for agreement.
const mostAgree = 90 * time.Second

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
	s, err := lab.ReadExperiment(experiments.Files, "fleet-steady")
	if err != nil {
		return err
	}
	p, err := together.NewProcesses(m.Node, s, nodes, m.Seed)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, p.Close()) }()
	all := make([]int, nodes)
	for i := range all {
		all[i] = i
		if err := p.Start(i); err != nil {
			return err
		}
	}
	agree := func(places []int) time.Duration {
		if err != nil {
			return 0
		}
		var took time.Duration
		took, err = p.WaitForAgreement(ctx, places, mostAgree)
		fmt.Fprintf(os.Stderr, "%d of %d agree after %v\n", len(places), nodes, took.Round(10*time.Millisecond))
		return took.Round(10 * time.Millisecond)
	}
	joined := agree(all)
	bytes, datagrams, cpu := m.calm(ctx, p, nodes)
	dead := max(1, nodes/10)
	for _, place := range all[nodes-dead:] {
		if err := p.Signal(place, syscall.SIGKILL); err != nil {
			return err
		}
	}
	killed := agree(all[:nodes-dead])
	for _, place := range all[nodes-dead:] {
		if err := p.Start(place); err != nil {
			return err
		}
	}
	agree(all)
	third := nodes / 3
	apart := func(from, to int) relay.Impairment {
		return relay.Impairment{Cut: (from%nodes < third) != (to%nodes < third)}
	}
	cut := p.Relay.AddFault(apart)
	begun := time.Now()
	agree(all[:third])
	small := time.Since(begun).Round(10 * time.Millisecond)
	agree(all[third:])
	large := time.Since(begun).Round(10 * time.Millisecond)
	p.Relay.RemoveFault(cut)
	healed := agree(all)
	if err != nil {
		return err
	}
	var mb float64
	descriptors := 0
	for _, place := range all {
		_, of, open := p.ProcessUsage(place)
		mb, descriptors = max(mb, of), max(descriptors, open)
	}
	fmt.Printf("| %d | %v | %v | %v, %v | %v | %.0f, %.1f | %.2f%% | %.1f, %d |\n", nodes, joined, killed, small, large, healed, bytes, datagrams, 100*cpu, mb, descriptors)
	return m.cuts(ctx, p, all, apart, mb, descriptors)
}

// calm counts what is said, and the CPU used, while nothing happens: a node and second.
func (m *membersCommand) calm(ctx context.Context, p *together.Processes, nodes int) (bytes, datagrams, cpu float64) {
	sum := func() (b, d, c float64) {
		for i := range nodes {
			n := p.Relay.Traffic(i)
			used, _, _ := p.ProcessUsage(i)
			b, d, c = b+float64(n.SentBytes+n.SentStreamBytes), d+float64(n.SentDatagrams), c+used
		}
		return b, d, c
	}
	b0, d0, c0 := sum()
	select {
	case <-time.After(m.Calm):
	case <-ctx.Done():
	}
	b1, d1, c1 := sum()
	per := float64(nodes) * m.Calm.Seconds()
	return (b1 - b0) / per, (d1 - d0) / per, (c1 - c0) / per
}

// cuts cuts and heals again and again, and says what is left over.
func (m *membersCommand) cuts(ctx context.Context, p *together.Processes, all []int, apart func(int, int) relay.Impairment, mb float64, descriptors int) error {
	if m.Cuts == 0 {
		return nil
	}
	for range m.Cuts {
		cut := p.Relay.AddFault(apart)
		time.Sleep(400 * time.Millisecond)
		p.Relay.RemoveFault(cut)
		time.Sleep(100 * time.Millisecond)
	}
	if _, err := p.WaitForAgreement(ctx, all, mostAgree); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // streams that were open have ended
	var most float64
	open := 0
	for _, place := range all {
		_, of, n := p.ProcessUsage(place)
		most, open = max(most, of), max(open, n)
	}
	fmt.Printf("\nafter %d cuts of 0.4 s: %.1f MB and %d descriptors at the most (%.1f and %d before)\n", m.Cuts, most, open, mb, descriptors)
	return nil
}
