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
	"canvasrouter/internal/lab/scenario"
	"canvasrouter/internal/lab/together"
	"canvasrouter/internal/standin/relay"
	"canvasrouter/policy"
)

// RealCluster is processes of the program.
type ProcessCluster struct {
	*together.Processes
	nodes int
}

// NewReal opens the relay for so many processes of a program.
func NewProcessCluster(program string, s *scenario.Scenario, nodes int, seed uint64) (*ProcessCluster, error) {
	p, err := together.NewProcesses(program, s, nodes, seed)
	return &ProcessCluster{p, nodes}, err
}

func (c *ProcessCluster) Size() int                  { return c.nodes }
func (c *ProcessCluster) NetworkRelay() *relay.Relay { return c.Relay }
func (c *ProcessCluster) Kill(place int) error       { return c.Signal(place, syscall.SIGKILL) }
func (c *ProcessCluster) Start(place int) error      { return c.Processes.Start(place) }
func (c *ProcessCluster) SlowdownFactor() int        { return 1 }

// Usage is Cluster's.
func (c *ProcessCluster) Usage(place int) (seconds, mb float64) {
	seconds, mb, _ = c.ProcessUsage(place)
	return seconds, mb
}

// Progress tells whoever waits.
type ProgressFunc func(format string, args ...any)

const (
	settle    = 12 * time.Second // past the first seconds, in which nodes ask more
	window    = 10 * time.Second // the worst of a fault is told over so long
	mostAgree = 120 * time.Second
	// KeepScaled and cutScaled are an hour's cut against the ten minutes that members are kept, both by one factor of 120.
	ScaledRetention = 5 * time.Second
	cutScaled       = 30 * time.Second
	// calmLeast is the least time over which calm is told: the operators count in a calm minute.
	calmLeast = time.Minute
	// cutShare is the smaller of two regions.
	cutShare = 0.4
)

// traffic samples what all nodes have sent and been sent, each second of the cluster's clock, and how late this process's own
// timers are.
type traffic struct {
	relay *relay.Relay
	nodes int
	slow  time.Duration
	lag   *together.TimerLag
	stop  chan struct{}
	over  sync.WaitGroup
	mu    sync.Mutex
	bytes []float64 // a node, at each second
}

func watch(c Cluster) *traffic {
	t := &traffic{relay: c.NetworkRelay(), nodes: c.Size(), slow: time.Duration(c.SlowdownFactor()), lag: together.NewTimerLag(), stop: make(chan struct{})}
	t.over.Go(func() {
		ticker := time.NewTicker(time.Second * t.slow)
		defer ticker.Stop()
		for {
			t.sample()
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
		}
	})
	return t
}

func (t *traffic) sample() {
	sum := 0.0
	for i := range t.nodes {
		c := t.relay.Traffic(i)
		sum += float64(c.TotalBytes())
	}
	t.mu.Lock()
	t.bytes = append(t.bytes, sum/float64(t.nodes))
	t.mu.Unlock()
}

// end gives the mean and the worst window, both in bytes a second and node, and how late the rig was at the most and in the mean.
func (t *traffic) end() (mean, worst float64, late, lateMean time.Duration) {
	close(t.stop)
	t.over.Wait()
	t.sample()
	late, lateMean = t.lag.Stop()
	late, lateMean = late/t.slow, lateMean/t.slow
	last := len(t.bytes) - 1
	mean = (t.bytes[last] - t.bytes[0]) / float64(max(1, last))
	span := int(window / time.Second)
	for i := 0; i+1 < len(t.bytes); i++ {
		j := min(last, i+span)
		worst = max(worst, (t.bytes[j]-t.bytes[i])/float64(span))
	}
	return mean, worst, late, lateMean
}

func span(from, to int) (all []int) {
	for i := from; i < to; i++ {
		all = append(all, i)
	}
	return all
}

// startAll starts some places, a few side by side.
func startAll(c Cluster, places []int) error {
	errs := make([]error, len(places))
	var all sync.WaitGroup
	room := make(chan struct{}, 2*runtime.NumCPU())
	for i, place := range places {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			errs[i] = c.Start(place)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// mostLate makes a play void: this process's own timers were later than that in the mean, so that figures of time are the machine's.
const mostLate = 20 * time.Millisecond

// startSpread starts some places one after another, evenly over a span of the cluster's clock. Danger: nodes that start together
// exchange all they know together for as long as they live, and ten seconds hold all of it or nothing.
func startSpread(ctx context.Context, c Cluster, places []int, span time.Duration) error {
	errs := make([]error, len(places))
	var all sync.WaitGroup
	begun := time.Now()
	for i, place := range places {
		due := begun.Add(real(c, span) * time.Duration(i) / time.Duration(len(places)))
		if wait(ctx, time.Until(due)); ctx.Err() != nil {
			break
		}
		all.Go(func() { errs[i] = c.Start(place) })
	}
	all.Wait()
	return errors.Join(append(errs, ctx.Err())...)
}

// real is how long a span of the cluster's clock takes.
func real(c Cluster, span time.Duration) time.Duration {
	return span * time.Duration(c.SlowdownFactor())
}

// rest waits for a span of the cluster's clock.
func rest(ctx context.Context, c Cluster, span time.Duration) { wait(ctx, real(c, span)) }

// whole is the least number of whole spans between two exchanges of all that is known, that lasts for a calm minute and for least.
func whole(nodes int, least time.Duration) time.Duration {
	every := members.ExchangeInterval(nodes)
	return (max(least, calmLeast) + every - 1) / every * every
}

// Members plays one size: nodes that come one after another, calm, a tenth killed, a zone lost, a region cut and back, and all killed
// and started at once. All times are of the cluster's clock.
func MeasureMembers(ctx context.Context, c Cluster, calm time.Duration, tell ProgressFunc) (p Point, err error) {
	n := c.Size()
	p = Point{Nodes: n, Values: map[string]float64{}, ClockSlowdown: c.SlowdownFactor()}
	all := span(0, n)
	calm = whole(n, calm)
	var lateMean time.Duration
	measure := func(name string, do func() error) {
		if err != nil {
			return
		}
		t := watch(c)
		err = do()
		mean, worst, late, lag := t.end()
		if lateMean = max(lateMean, lag); name == "calm" {
			p.Values["calm_bytes"] = round(mean)
		} else {
			p.Values[name+"_bytes10"] = round(worst)
		}
		tell("%d nodes, %s: %.0f bytes a second and node, worst ten seconds %.0f; rig late %v", n, name, mean, worst, late.Round(time.Millisecond))
	}
	agree := func(name string, places []int) {
		if err != nil {
			return
		}
		var took time.Duration
		if took, err = c.WaitForAgreement(ctx, places, mostAgree); err == nil && name != "" {
			p.Values[name+"_s"] = round(took.Seconds())
			tell("%d nodes, %s: %d agree after %v", n, name, len(places), took.Round(10*time.Millisecond))
		}
	}
	killAll := func(places []int) error {
		for _, place := range places {
			if err := c.Kill(place); err != nil {
				return err
			}
		}
		return nil
	}
	err = startSpread(ctx, c, all, members.ExchangeInterval(n))
	agree("", all)
	if rest(ctx, c, settle); err != nil {
		return p, err
	}
	before := make([]float64, n)
	for i := range all {
		before[i], _ = c.Usage(i)
	}
	datagrams := func() (sum float64) {
		for i := range all {
			sum += float64(c.NetworkRelay().Traffic(i).SentDatagrams)
		}
		return sum / float64(n)
	}
	sent := datagrams()
	measure("calm", func() error { rest(ctx, c, calm); return err })
	p.Values["calm_datagrams"] = round((datagrams() - sent) / calm.Seconds())
	cpu, mb := 0.0, 0.0
	for i := range all {
		now, of := c.Usage(i)
		cpu += (now - before[i]) / calm.Seconds() / float64(n)
		mb = max(mb, of)
	}
	if mb > 0 {
		p.Values["calm_core_percent"], p.Values["calm_mb"] = round(100*cpu), round(mb)
	}
	kill := func(name string, from int) {
		measure(name, func() error {
			if err := killAll(all[from:]); err != nil {
				return err
			}
			agree(name, all[:from])
			rest(ctx, c, window/2)
			return err
		})
		if err == nil {
			err = startAll(c, all[from:])
		}
		agree("", all)
		rest(ctx, c, settle)
	}
	kill("killed", n-max(1, n/10))
	kill("zone", n-max(1, n/zones))
	small := max(1, int(cutShare*float64(n)))
	var cut int
	measure("cut", func() error {
		cut = c.NetworkRelay().AddFault(func(from, to int) relay.Impairment { return relay.Impairment{Cut: (from < small) != (to < small)} })
		begun := time.Now()
		agree("", all[:small])
		if err == nil {
			p.Values["cut_small_s"] = round(time.Since(begun).Seconds() / float64(c.SlowdownFactor()))
		}
		agree("", all[small:])
		if err == nil {
			p.Values["cut_large_s"] = round(time.Since(begun).Seconds() / float64(c.SlowdownFactor()))
		}
		wait(ctx, real(c, cutScaled)-time.Since(begun))
		return err
	})
	measure("healed", func() error {
		c.NetworkRelay().RemoveFault(cut)
		agree("healed", all)
		rest(ctx, c, window)
		return err
	})
	if err == nil {
		err = killAll(all)
	}
	measure("join", func() error {
		if err := startAll(c, all); err != nil {
			return err
		}
		agree("join", all)
		rest(ctx, c, window)
		return err
	})
	if late := lateMean; late > mostLate {
		p.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", late.Round(time.Millisecond))
	}
	return p, err
}

// Judgements plays one size: calls with nothing wrong, then a tenth of all servers silent, for so long each, on the cluster's clock.
func MeasureServerReports(ctx context.Context, c *InProcessCluster, calm time.Duration, tell ProgressFunc) (p Point, err error) {
	n := c.Size()
	p = Point{Nodes: n, Values: map[string]float64{}, ClockSlowdown: c.SlowdownFactor()}
	if err = startSpread(ctx, c, span(0, n), members.ExchangeInterval(n)); err != nil {
		return p, err
	}
	if _, err = c.WaitForAgreement(ctx, span(0, n), mostAgree); err != nil {
		return p, err
	}
	rest(ctx, c, settle)
	calls, stop := context.WithCancel(ctx)
	var over sync.WaitGroup
	var mu sync.Mutex
	faulty := false
	silent := func(s policy.ServerID) bool {
		mu.Lock()
		defer mu.Unlock()
		return faulty && uint64(s)%10 == 3
	}
	over.Go(func() { c.SimulateCalls(calls, silent) })
	defer func() { stop(); over.Wait() }()
	rest(ctx, c, 2*time.Second)
	judged := func() (bytes float64) {
		for i := range n {
			if f := c.fleetOf(i); f != nil {
				k := f.TransportCounts()
				bytes += float64(k.SentBytesByKind.ServerReports + k.ReceivedBytesByKind.ServerReports)
			}
		}
		return bytes / float64(n)
	}
	phase := func(name string) (worst float64) {
		t := watch(c)
		begun, at, seen := time.Now(), judged(), 0.0
		passed := func() float64 { return time.Since(begun).Seconds() / float64(c.SlowdownFactor()) }
		for passed() < calm.Seconds() && ctx.Err() == nil {
			rest(ctx, c, 100*time.Millisecond)
			if share := c.lowered(silent); name == "fault" && seen == 0 && share >= 0.9 {
				seen = passed()
			}
		}
		bytes := (judged() - at) / passed()
		_, _, late, lag := t.end()
		p.Values[name+"_bytes"] = round(bytes)
		if name == "fault" {
			p.Values["seen_s"] = round(seen)
		}
		if lag > mostLate {
			p.VoidReason = fmt.Sprintf("the rig's own timers were %v late in the mean", lag.Round(time.Millisecond))
		}
		tell("%d nodes, judgements, %s: %.0f bytes a second and node; nine in ten know after %.1f s; rig late %v", n, name, bytes, seen, late.Round(time.Millisecond))
		return bytes
	}
	phase("calm")
	mu.Lock()
	faulty = true
	mu.Unlock()
	phase("fault")
	return p, ctx.Err()
}

// lowered is the share of nodes with a silent server on their list that have lowered one.
func (c *InProcessCluster) lowered(silent func(policy.ServerID) bool) float64 {
	with, know := 0.0, 0.0
	for i, h := range c.nodes {
		f := c.fleetOf(i)
		if f == nil {
			continue
		}
		for _, s := range h.list {
			if silent(s) {
				with++
				if f.ReducedServers() > 0 {
					know++
				}
				break
			}
		}
	}
	return know / max(1, with)
}

func wait(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
