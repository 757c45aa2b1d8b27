package scale

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"time"

	"canvasrouter/internal/fleet/members"
	"canvasrouter/internal/lab/harness"
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/standin/relay"
	"canvasrouter/policy"
)

// ProcessCluster is a Cluster whose nodes are processes of the program.
type ProcessCluster struct {
	*harness.Processes
	nodes int
}

// NewProcessCluster opens the relay for the given number of processes.
func NewProcessCluster(program string, s *scenario.Scenario, nodes int, seed uint64) (*ProcessCluster, error) {
	p, err := harness.NewProcesses(program, s, nodes, seed)
	return &ProcessCluster{p, nodes}, err
}

// Size implements Cluster.
func (c *ProcessCluster) Size() int { return c.nodes }

// NetworkRelay implements Cluster.
func (c *ProcessCluster) NetworkRelay() *relay.Relay { return c.Relay }

// Kill implements Cluster with a SIGKILL.
func (c *ProcessCluster) Kill(slot int) error { return c.Signal(slot, syscall.SIGKILL) }

// Start implements Cluster.
func (c *ProcessCluster) Start(slot int) error { return c.Processes.Start(slot) }

// SlowdownFactor implements Cluster: processes run in real time.
func (c *ProcessCluster) SlowdownFactor() int { return 1 }

// Usage implements Cluster.
func (c *ProcessCluster) Usage(slot int) (seconds, mb float64) {
	seconds, mb, _ = c.ProcessUsage(slot)
	return seconds, mb
}

// ProgressFunc prints a line on the progress of a measurement.
type ProgressFunc func(format string, args ...any)

const (
	settleTime   = 12 * time.Second // longer than the first seconds, in which new nodes send more requests
	worstWindow  = 10 * time.Second // over which the worst traffic of a fault is averaged
	agreeTimeout = 120 * time.Second
	// ScaledRetention and scaledCut stand for ten minutes, for which departed members are retained, and for a cut of one
	// hour. Both are scaled down by the same factor of 120.
	ScaledRetention = 5 * time.Second
	scaledCut       = 30 * time.Second
	// minCalmTime is the least time over which calm traffic is averaged: the operators measure it over one minute.
	minCalmTime = time.Minute
	// smallRegionShare is the share of the nodes in the smaller of the two regions.
	smallRegionShare = 0.4
)

// trafficSampler samples the traffic of all nodes each second of the cluster's clock, and measures how late the timers of
// this process are.
type trafficSampler struct {
	relay     *relay.Relay
	nodes     int
	slowdown  time.Duration
	lag       *harness.TimerLag
	stop      chan struct{}
	goroutine sync.WaitGroup
	mu        sync.Mutex
	meanBytes []float64 // sent and received so far, per node, at each second
}

// startTraffic starts sampling the traffic of a cluster.
func startTraffic(cluster Cluster) *trafficSampler {
	sampler := &trafficSampler{relay: cluster.NetworkRelay(), nodes: cluster.Size(), slowdown: time.Duration(cluster.SlowdownFactor()), lag: harness.NewTimerLag(), stop: make(chan struct{})}
	sampler.goroutine.Go(func() {
		ticker := time.NewTicker(time.Second * sampler.slowdown)
		defer ticker.Stop()
		for {
			sampler.sample()
			select {
			case <-sampler.stop:
				return
			case <-ticker.C:
			}
		}
	})
	return sampler
}

// sample adds one sample.
func (t *trafficSampler) sample() {
	sum := 0.0
	for i := range t.nodes {
		nodeTraffic := t.relay.Traffic(i)
		sum += float64(nodeTraffic.TotalBytes())
	}
	t.mu.Lock()
	t.meanBytes = append(t.meanBytes, sum/float64(t.nodes))
	t.mu.Unlock()
}

// finish stops sampling. It returns the traffic in the mean and in the worst window, both in bytes per second and node,
// and the worst and the mean lateness of timers, on the cluster's clock.
func (t *trafficSampler) finish() (mean, worst float64, worstLag, meanLag time.Duration) {
	close(t.stop)
	t.goroutine.Wait()
	t.sample()
	worstLag, meanLag = t.lag.Stop()
	worstLag = worstLag / t.slowdown
	meanLag = meanLag / t.slowdown
	last := len(t.meanBytes) - 1
	mean = (t.meanBytes[last] - t.meanBytes[0]) / float64(max(1, last))
	seconds := int(worstWindow / time.Second)
	for i := 0; i+1 < len(t.meanBytes); i++ {
		j := min(last, i+seconds)
		worst = max(worst, (t.meanBytes[j]-t.meanBytes[i])/float64(seconds))
	}
	return mean, worst, worstLag, meanLag
}

// sequence returns the numbers from from up to, but not including, to.
func sequence(from, to int) (numbers []int) {
	for i := from; i < to; i++ {
		numbers = append(numbers, i)
	}
	return numbers
}

// startAll starts the nodes in the given slots, a limited number at a time.
func startAll(cluster Cluster, slots []int) error {
	errs := make([]error, len(slots))
	var starts sync.WaitGroup
	semaphore := make(chan struct{}, 2*runtime.NumCPU())
	for i, slot := range slots {
		starts.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			errs[i] = cluster.Start(slot)
		})
	}
	starts.Wait()
	return errors.Join(errs...)
}

// maxMeanLag is the mean lateness of this process's timers above which a run is void: its times would be those of an
// overloaded machine.
const maxMeanLag = 20 * time.Millisecond

// startSpread starts the nodes in the given slots one after another, spread evenly over a time on the cluster's clock.
// Nodes that start together also do their periodic full exchanges together for as long as they run, so that a window of
// ten seconds would contain all of these exchanges or none.
func startSpread(ctx context.Context, cluster Cluster, slots []int, spread time.Duration) error {
	errs := make([]error, len(slots))
	var starts sync.WaitGroup
	started := time.Now()
	for i, slot := range slots {
		due := started.Add(scaled(cluster, spread) * time.Duration(i) / time.Duration(len(slots)))
		sleep(ctx, time.Until(due))
		if ctx.Err() != nil {
			break
		}
		starts.Go(func() { errs[i] = cluster.Start(slot) })
	}
	starts.Wait()
	return errors.Join(append(errs, ctx.Err())...)
}

// scaled returns the real time that a duration on the cluster's clock takes.
func scaled(cluster Cluster, duration time.Duration) time.Duration {
	return duration * time.Duration(cluster.SlowdownFactor())
}

// sleepScaled waits for a duration on the cluster's clock.
func sleepScaled(ctx context.Context, cluster Cluster, duration time.Duration) {
	sleep(ctx, scaled(cluster, duration))
}

// calmDuration returns the shortest whole number of full-exchange intervals that lasts for the minimum and for
// minCalmTime.
func calmDuration(nodes int, minimum time.Duration) time.Duration {
	interval := members.ExchangeInterval(nodes)
	return (max(minimum, minCalmTime) + interval - 1) / interval * interval
}

// MeasureMembers measures membership at one size: nodes join one after another, a calm phase, a tenth of the nodes killed,
// a zone lost, a region cut off and connected again, and all nodes killed and started at once. All times are on the
// cluster's clock.
func MeasureMembers(ctx context.Context, cluster Cluster, calmTime time.Duration, progress ProgressFunc) (point Point, err error) {
	nodes := cluster.Size()
	point = Point{Nodes: nodes, Values: map[string]float64{}, ClockSlowdown: cluster.SlowdownFactor()}
	all := sequence(0, nodes)
	calmTime = calmDuration(nodes, calmTime)
	var worstMeanLag time.Duration
	measure := func(name string, run func() error) {
		if err != nil {
			return
		}
		sampler := startTraffic(cluster)
		err = run()
		mean, worst, worstLag, meanLag := sampler.finish()
		worstMeanLag = max(worstMeanLag, meanLag)
		if name == "calm" {
			point.Values["calm_bytes"] = roundFigure(mean)
		} else {
			point.Values[name+"_bytes10"] = roundFigure(worst)
		}
		progress("%d nodes, %s: %.0f bytes a second and node, worst ten seconds %.0f; harness late by up to %v", nodes, name, mean, worst, worstLag.Round(time.Millisecond))
	}
	agree := func(name string, slots []int) {
		if err != nil {
			return
		}
		var elapsed time.Duration
		if elapsed, err = cluster.WaitForAgreement(ctx, slots, agreeTimeout); err == nil && name != "" {
			point.Values[name+"_s"] = roundFigure(elapsed.Seconds())
			progress("%d nodes, %s: %d agree after %v", nodes, name, len(slots), elapsed.Round(10*time.Millisecond))
		}
	}
	killAll := func(slots []int) error {
		for _, slot := range slots {
			if err := cluster.Kill(slot); err != nil {
				return err
			}
		}
		return nil
	}
	err = startSpread(ctx, cluster, all, members.ExchangeInterval(nodes))
	agree("", all)
	sleepScaled(ctx, cluster, settleTime)
	if err != nil {
		return point, err
	}
	cpuBefore := make([]float64, nodes)
	for i := range all {
		cpuBefore[i], _ = cluster.Usage(i)
	}
	meanDatagrams := func() (sum float64) {
		for i := range all {
			sum += float64(cluster.NetworkRelay().Traffic(i).SentDatagrams)
		}
		return sum / float64(nodes)
	}
	datagramsBefore := meanDatagrams()
	measure("calm", func() error {
		sleepScaled(ctx, cluster, calmTime)
		return err
	})
	point.Values["calm_datagrams"] = roundFigure((meanDatagrams() - datagramsBefore) / calmTime.Seconds())
	cpu := 0.0
	maxMB := 0.0
	for i := range all {
		used, memory := cluster.Usage(i)
		cpu += (used - cpuBefore[i]) / calmTime.Seconds() / float64(nodes)
		maxMB = max(maxMB, memory)
	}
	if maxMB > 0 {
		point.Values["calm_core_percent"] = roundFigure(100 * cpu)
		point.Values["calm_mb"] = roundFigure(maxMB)
	}
	killAndRestart := func(name string, from int) {
		measure(name, func() error {
			if err := killAll(all[from:]); err != nil {
				return err
			}
			agree(name, all[:from])
			sleepScaled(ctx, cluster, worstWindow/2)
			return err
		})
		if err == nil {
			err = startAll(cluster, all[from:])
		}
		agree("", all)
		sleepScaled(ctx, cluster, settleTime)
	}
	killAndRestart("killed", nodes-max(1, nodes/10))
	killAndRestart("zone", nodes-max(1, nodes/zones))
	smallRegion := max(1, int(smallRegionShare*float64(nodes)))
	var cut int
	measure("cut", func() error {
		cut = cluster.NetworkRelay().AddFault(func(from, to int) relay.Impairment {
			return relay.Impairment{Cut: (from < smallRegion) != (to < smallRegion)}
		})
		started := time.Now()
		agree("", all[:smallRegion])
		if err == nil {
			point.Values["cut_small_s"] = roundFigure(time.Since(started).Seconds() / float64(cluster.SlowdownFactor()))
		}
		agree("", all[smallRegion:])
		if err == nil {
			point.Values["cut_large_s"] = roundFigure(time.Since(started).Seconds() / float64(cluster.SlowdownFactor()))
		}
		sleep(ctx, scaled(cluster, scaledCut)-time.Since(started))
		return err
	})
	measure("healed", func() error {
		cluster.NetworkRelay().RemoveFault(cut)
		agree("healed", all)
		sleepScaled(ctx, cluster, worstWindow)
		return err
	})
	if err == nil {
		err = killAll(all)
	}
	measure("join", func() error {
		if err := startAll(cluster, all); err != nil {
			return err
		}
		agree("join", all)
		sleepScaled(ctx, cluster, worstWindow)
		return err
	})
	if meanLag := worstMeanLag; meanLag > maxMeanLag {
		point.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", meanLag.Round(time.Millisecond))
	}
	return point, err
}

// MeasureServerReports measures the nodes' reports on servers at one size: first calls to healthy servers, then calls with
// a tenth of all servers silent. Each phase lasts for calmTime on the cluster's clock.
func MeasureServerReports(ctx context.Context, cluster *InProcessCluster, calmTime time.Duration, progress ProgressFunc) (point Point, err error) {
	nodes := cluster.Size()
	point = Point{Nodes: nodes, Values: map[string]float64{}, ClockSlowdown: cluster.SlowdownFactor()}
	if err = startSpread(ctx, cluster, sequence(0, nodes), members.ExchangeInterval(nodes)); err != nil {
		return point, err
	}
	if _, err = cluster.WaitForAgreement(ctx, sequence(0, nodes), agreeTimeout); err != nil {
		return point, err
	}
	sleepScaled(ctx, cluster, settleTime)
	callsCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	var mu sync.Mutex
	faulty := false
	silent := func(server policy.ServerID) bool {
		mu.Lock()
		defer mu.Unlock()
		return faulty && uint64(server)%10 == 3
	}
	callers.Go(func() { cluster.SimulateCalls(callsCtx, silent) })
	defer func() {
		stop()
		callers.Wait()
	}()
	sleepScaled(ctx, cluster, 2*time.Second)
	meanReportBytes := func() (bytes float64) {
		for i := range nodes {
			if nodeFleet := cluster.fleetOf(i); nodeFleet != nil {
				counts := nodeFleet.TransportCounts()
				bytes += float64(counts.SentBytesByKind.ServerReports + counts.ReceivedBytesByKind.ServerReports)
			}
		}
		return bytes / float64(nodes)
	}
	phase := func(name string) (worst float64) {
		sampler := startTraffic(cluster)
		started, bytesBefore, seenAfter := time.Now(), meanReportBytes(), 0.0
		elapsed := func() float64 { return time.Since(started).Seconds() / float64(cluster.SlowdownFactor()) }
		for elapsed() < calmTime.Seconds() && ctx.Err() == nil {
			sleepScaled(ctx, cluster, 100*time.Millisecond)
			if share := cluster.shareReducing(silent); name == "fault" && seenAfter == 0 && share >= 0.9 {
				seenAfter = elapsed()
			}
		}
		bytes := (meanReportBytes() - bytesBefore) / elapsed()
		_, _, worstLag, meanLag := sampler.finish()
		point.Values[name+"_bytes"] = roundFigure(bytes)
		if name == "fault" {
			point.Values["seen_s"] = roundFigure(seenAfter)
		}
		if meanLag > maxMeanLag {
			point.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", meanLag.Round(time.Millisecond))
		}
		progress("%d nodes, server reports, %s: %.0f bytes a second and node; nine in ten nodes know after %.1f s; harness late by up to %v", nodes, name, bytes, seenAfter, worstLag.Round(time.Millisecond))
		return bytes
	}
	phase("calm")
	mu.Lock()
	faulty = true
	mu.Unlock()
	phase("fault")
	return point, ctx.Err()
}

// shareReducing returns the share of the nodes with a silent server in their list that have reduced the weight of a
// server.
func (c *InProcessCluster) shareReducing(silent func(policy.ServerID) bool) float64 {
	affected := 0.0
	reducing := 0.0
	for i, member := range c.nodes {
		nodeFleet := c.fleetOf(i)
		if nodeFleet == nil {
			continue
		}
		for _, server := range member.servers {
			if silent(server) {
				affected++
				if nodeFleet.ReducedServers() > 0 {
					reducing++
				}
				break
			}
		}
	}
	return reducing / max(1, affected)
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
