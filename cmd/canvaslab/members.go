package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"canvasrouter/internal/lab"
	"canvasrouter/internal/lab/harness"
	"canvasrouter/internal/standin/relay"
	experiments "canvasrouter/lab"
)

// membersCommand measures how long nodes take to agree on the members of the fleet.
type membersCommand struct {
	Nodes        []int         `help:"Numbers of processes, one run each." default:"10,50"`
	Node         string        `help:"The node's program." type:"existingfile" placeholder:"PATH" required:""`
	CutCount     int           `name:"cuts" help:"Number of short partitions at the end of each run, after which memory and descriptors are measured again." default:"0"`
	IdleDuration time.Duration `name:"calm" help:"How long traffic and CPU time of the idle fleet are measured." default:"10s"`
	Seed         uint64        `help:"Seed of the relay's random numbers." default:"1"`
}

// maxAgreementTime limits each wait for agreement.
const maxAgreementTime = 90 * time.Second

// Run starts processes that exchange peer messages, without servers and clients, and prints how long they take to agree
// on the members, and the cost in traffic, CPU time, memory and descriptors.
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

// measure runs one fleet: it measures agreement after the start, after a tenth of the nodes is killed, and during and
// after a partition that separates a third of the nodes.
func (m *membersCommand) measure(ctx context.Context, nodes int) (err error) {
	experiment, err := lab.ReadExperiment(experiments.Files, "fleet-steady")
	if err != nil {
		return err
	}
	processes, err := harness.NewProcesses(m.Node, experiment, nodes, m.Seed)
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
	agree := func(members []int) time.Duration {
		if err != nil {
			return 0
		}
		var took time.Duration
		took, err = processes.WaitForAgreement(ctx, members, maxAgreementTime)
		fmt.Fprintf(os.Stderr, "%d of %d agree after %v\n", len(members), nodes, took.Round(10*time.Millisecond))
		return took.Round(10 * time.Millisecond)
	}
	joined := agree(all)
	bytes, datagrams, cpu := m.measureIdle(ctx, processes, nodes)
	killCount := max(1, nodes/10)
	for _, node := range all[nodes-killCount:] {
		if err := processes.Signal(node, syscall.SIGKILL); err != nil {
			return err
		}
	}
	killed := agree(all[:nodes-killCount])
	for _, node := range all[nodes-killCount:] {
		if err := processes.Start(node); err != nil {
			return err
		}
	}
	agree(all)
	thirdOfNodes := nodes / 3
	separated := func(from, to int) relay.Impairment {
		return relay.Impairment{Cut: (from%nodes < thirdOfNodes) != (to%nodes < thirdOfNodes)}
	}
	cut := processes.Relay.AddFault(separated)
	cutAt := time.Now()
	agree(all[:thirdOfNodes])
	smallSide := time.Since(cutAt).Round(10 * time.Millisecond)
	agree(all[thirdOfNodes:])
	largeSide := time.Since(cutAt).Round(10 * time.Millisecond)
	processes.Relay.RemoveFault(cut)
	healed := agree(all)
	if err != nil {
		return err
	}
	var maxMemory float64
	maxDescriptors := 0
	for _, node := range all {
		_, memory, descriptors := processes.ProcessUsage(node)
		maxMemory = max(maxMemory, memory)
		maxDescriptors = max(maxDescriptors, descriptors)
	}
	fmt.Printf("| %d | %v | %v | %v, %v | %v | %.0f, %.1f | %.2f%% | %.1f, %d |\n", nodes, joined, killed, smallSide, largeSide,
		healed, bytes, datagrams, 100*cpu, maxMemory, maxDescriptors)
	return m.repeatCuts(ctx, processes, all, separated, maxMemory, maxDescriptors)
}

// measureIdle returns the bytes, datagrams and CPU seconds that an idle fleet uses per node and second.
func (m *membersCommand) measureIdle(ctx context.Context, processes *harness.Processes, nodes int) (bytes, datagrams, cpu float64) {
	totals := func() (bytes, datagrams, cpu float64) {
		for i := range nodes {
			traffic := processes.Relay.Traffic(i)
			used, _, _ := processes.ProcessUsage(i)
			bytes += float64(traffic.SentBytes + traffic.SentStreamBytes)
			datagrams += float64(traffic.SentDatagrams)
			cpu += used
		}
		return bytes, datagrams, cpu
	}
	bytesBefore, datagramsBefore, cpuBefore := totals()
	select {
	case <-time.After(m.IdleDuration):
	case <-ctx.Done():
	}
	bytesAfter, datagramsAfter, cpuAfter := totals()
	nodeSeconds := float64(nodes) * m.IdleDuration.Seconds()
	bytes = (bytesAfter - bytesBefore) / nodeSeconds
	datagrams = (datagramsAfter - datagramsBefore) / nodeSeconds
	cpu = (cpuAfter - cpuBefore) / nodeSeconds
	return bytes, datagrams, cpu
}

// repeatCuts partitions and heals the fleet many times, and prints memory and descriptors afterwards. More than before
// indicates a leak.
func (m *membersCommand) repeatCuts(ctx context.Context, processes *harness.Processes, all []int,
	separated func(int, int) relay.Impairment, memoryBefore float64, descriptorsBefore int) error {
	if m.CutCount == 0 {
		return nil
	}
	for range m.CutCount {
		cut := processes.Relay.AddFault(separated)
		time.Sleep(400 * time.Millisecond)
		processes.Relay.RemoveFault(cut)
		time.Sleep(100 * time.Millisecond)
	}
	if _, err := processes.WaitForAgreement(ctx, all, maxAgreementTime); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // until streams that were open have ended
	var maxMemory float64
	maxDescriptors := 0
	for _, node := range all {
		_, memory, descriptors := processes.ProcessUsage(node)
		maxMemory = max(maxMemory, memory)
		maxDescriptors = max(maxDescriptors, descriptors)
	}
	fmt.Printf("\nafter %d cuts of 0.4 s: %.1f MB and %d descriptors at the most (%.1f and %d before)\n", m.CutCount, maxMemory,
		maxDescriptors, memoryBefore, descriptorsBefore)
	return nil
}
