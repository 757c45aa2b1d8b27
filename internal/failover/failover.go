// Package failover decides when the ops of a pool that can't serve are sent to the next pool, how many of them, and
// when they return. It does no I/O and has no clock: the actor of a pool passes its statistics to Tick once per control
// interval, and calls Choose for each op.
//
// Failover starts only when the statistics show that the pool's servers can't be reached, never because ops of low
// benefit are refused: an overloaded pool that sheds load still serves its ops of the highest benefit. It ends by a
// trial, much like the half-open state of a circuit breaker: a growing share of the ops is sent to the pool again, and
// the failover is over once all ops are sent there and it serves them.
package failover

import (
	"fmt"

	"canvasrouter/policy"
)

// State determines where the ops of a pool are sent.
type State uint8

const (
	Home  State = iota // all ops are sent to the pool itself
	Away               // ops are sent to the next pool, up to the spill limit
	Trial              // a share of the ops is sent to the pool, to find out whether it serves again
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"home", "away", "trial"}[s] }

// Config holds the settings of a Controller.
type Config struct {
	Interval policy.Micros // between two calls of Tick
	MinDwell policy.Micros // minimum time in state Away; doubled each time the pool soon fails again
	MaxDwell policy.Micros // upper bound of the doubling
}

// DefaultConfig returns settings with which the pool leaves and enters Home at most four times a minute, whatever its
// servers do.
func DefaultConfig() Config {
	return Config{Interval: policy.Second, MinDwell: 20 * policy.Second, MaxDwell: 160 * policy.Second}
}

const (
	minTopOps            = 4        // ops of the highest benefit in an interval; fewer prove nothing
	lostShare            = 1.0 / 8  // of the top ops; a pool that serves a smaller share can't serve
	recoveredShare       = 3.0 / 4  // of the top ops; a trial goes on if the pool serves at least this share
	initialTrialShare    = 1.0 / 64 // share of the ops sent to the pool when a trial starts
	lostIntervals        = 2        // consecutive intervals that must show the pool lost
	fastSpillGrowth      = 1.0 / 2  // of the spill limit per interval, until the next pool is first strained
	slowSpillGrowth      = 1.0 / 64 // of the spill limit per interval, afterwards
	spillReductionFactor = 3.0 / 4  // of the spill limit, after an interval in which the next pool was strained
	initialSpillShare    = 1.0 / 4  // of the ops that the next pool served: the first spill limit
	strainedShare        = 1.0 / 16 // the next pool is strained if it failed to serve a larger share of its top ops
	flappingDwells       = 4        // a pool that fails within this many dwell times after its return is flapping
)

// Stats holds what a pool's actor observed in one control interval.
type Stats struct {
	ReadyServers int // servers on the list that are ready
	DownServers  int // ready servers that get no pushes because they failed
	TopOps       int // ops of the highest benefit sent to the pool, without those that other pools spilled to it
	TopServed    int // those of TopOps that were served
	FailedPushes int // pushes that found no working server: failed or broken connections, timeouts
	EndedPushes  int // pushes that ended, however they ended
	ServedOps    int // ops of any benefit that were served
}

// isLost reports whether the pool has no server that serves.
//
// An overloaded pool refuses nearly all ops of low benefit, but it still serves, and moving its load would overload the
// next pool too. So only ops of the highest benefit count, and only if most pushes failed to reach a server.
func (s *Stats) isLost() bool {
	if s.ReadyServers == 0 || s.DownServers >= s.ReadyServers {
		return true
	}
	return s.TopOps >= minTopOps && float64(s.TopServed) < lostShare*float64(s.TopOps) && 2*s.FailedPushes > s.EndedPushes
}

// Controller is the failover state machine of one pool. The zero value is not usable; call New.
type Controller struct {
	config          Config
	state           State
	badIntervals    int           // consecutive intervals that showed the pool lost
	stateSince      policy.Micros // when the current state was entered
	dwell           policy.Micros // current minimum time in state Away
	lastReturn      policy.Micros // when Home was last entered
	trialShare      float64       // share of the ops that a trial sends to the pool
	trialCredit     [2]float64    // accumulated share of the top ops, and of the others
	nextWasStrained bool          // whether the next pool was strained since the failover started
	spillLimit      float64       // maximum number of ops sent to the next pool per interval
	spilled         float64       // ops sent to the next pool in this interval
	refused         int           // ops refused in this interval
	homeTransitions int           // how often Home was entered or left
}

// New returns the controller of a pool in state Home.
func New(config Config) *Controller {
	// The last return lies in the past, so that the first failure does not count as flapping.
	return &Controller{config: config, dwell: config.MinDwell, lastReturn: -config.MaxDwell}
}

// State returns the current state.
func (c *Controller) State() State { return c.state }

// HomeTransitions returns how often Home was entered or left.
func (c *Controller) HomeTransitions() int { return c.homeTransitions }

// SpillLimit returns the maximum number of ops sent to the next pool per interval.
func (c *Controller) SpillLimit() float64 { return c.spillLimit }

// HomeShare returns the share of the ops that is sent to the pool itself.
func (c *Controller) HomeShare() float64 {
	switch c.state {
	case Home:
		return 1
	case Trial:
		return c.trialShare
	}
	return 0
}

// transition is a row of the state table. Its functions get the time and the statistics of the pool and of the next one.
type transition struct {
	from      State
	condition func(*Controller, policy.Micros, *Stats, *Stats) bool
	to        State
	action    func(*Controller, policy.Micros, *Stats, *Stats)
}

// transitions is the state table. In each interval the first row is carried out that starts from the current state and
// whose condition holds.
var transitions = [...]transition{
	{Home, (*Controller).hasFailed, Away, (*Controller).startFailover},
	{Away, (*Controller).dwellElapsed, Trial, (*Controller).startTrial},
	{Away, always, Away, (*Controller).adjustSpill},
	{Trial, (*Controller).trialFailed, Away, (*Controller).abortTrial},
	{Trial, (*Controller).trialComplete, Home, (*Controller).returnHome},
	{Trial, (*Controller).trialSucceeds, Trial, (*Controller).growTrial},
	{Trial, always, Trial, (*Controller).adjustSpill},
}

// always is the condition of rows that apply if none before them did.
func always(*Controller, policy.Micros, *Stats, *Stats) bool { return true }

// Tick processes the statistics of the pool and of the next one for the interval that ends now. It returns a line for
// the log if the state changes, and otherwise "".
func (c *Controller) Tick(now policy.Micros, own, next *Stats) (log string) {
	if own.isLost() {
		c.badIntervals++
	} else {
		c.badIntervals = 0
	}
	for i := range transitions {
		if row := &transitions[i]; row.from == c.state && row.condition(c, now, own, next) {
			row.action(c, now, own, next)
			if row.to != c.state {
				log = fmt.Sprintf("pool goes from %s to %s: %d of %d servers down, %d of %d best ops served", c.state, row.to,
					own.DownServers, own.ReadyServers, own.TopServed, own.TopOps)
				if row.to == Home || c.state == Home {
					c.homeTransitions++
				}
				c.state = row.to
				c.stateSince = now
			}
			break
		}
	}
	c.spilled = 0
	c.refused = 0
	return log
}

// hasFailed reports whether the pool is lost. A single lost interval may be a brief fault of the server list or a stall,
// so two are required, unless the list has no ready server at all.
func (c *Controller) hasFailed(_ policy.Micros, own, _ *Stats) bool {
	return c.badIntervals >= lostIntervals || c.badIntervals > 0 && own.ReadyServers == 0
}

// startFailover starts with a small spill limit, because the whole load of a lost site would overload the next pool. A
// pool that failed again soon after its return is flapping and stays away longer.
func (c *Controller) startFailover(now policy.Micros, _, next *Stats) {
	if now-c.lastReturn < flappingDwells*c.dwell {
		c.dwell = min(2*c.dwell, c.config.MaxDwell)
	} else {
		c.dwell = c.config.MinDwell
	}
	c.spillLimit = max(1, initialSpillShare*float64(next.ServedOps))
	c.nextWasStrained = false
}

// dwellElapsed reports whether a trial may start: the pool was away long enough and has a ready server.
func (c *Controller) dwellElapsed(now policy.Micros, own, _ *Stats) bool {
	return now-c.stateSince >= c.dwell && own.ReadyServers > 0
}

// startTrial begins to send a small share of the ops to the pool.
func (c *Controller) startTrial(now policy.Micros, own, next *Stats) {
	c.trialShare = initialTrialShare
	c.trialCredit = [2]float64{}
	c.adjustSpill(now, own, next)
}

// adjustSpill adapts the spill limit to the capacity of the next pool. The limit falls while the next pool is strained,
// that is, fails to serve its own top ops, and otherwise grows while ops had to be refused.
func (c *Controller) adjustSpill(_ policy.Micros, _, next *Stats) {
	switch {
	case next.isLost() || float64(next.TopOps-next.TopServed) > strainedShare*float64(next.TopOps):
		c.spillLimit = max(1, c.spillLimit*spillReductionFactor)
		c.nextWasStrained = true
	case c.refused > 0 && !c.nextWasStrained:
		c.spillLimit += c.spillLimit * fastSpillGrowth
	case c.refused > 0:
		c.spillLimit += c.spillLimit * slowSpillGrowth
	}
}

// trialFailed reports whether the pool is lost again or served too few of the trial's top ops.
func (c *Controller) trialFailed(_ policy.Micros, own, _ *Stats) bool {
	return c.badIntervals >= lostIntervals ||
		own.TopOps >= minTopOps && float64(own.TopServed) < recoveredShare*float64(own.TopOps)
}

// abortTrial doubles the time until the next trial.
func (c *Controller) abortTrial(now policy.Micros, own, next *Stats) {
	c.dwell = min(2*c.dwell, c.config.MaxDwell)
	c.adjustSpill(now, own, next)
}

// trialComplete reports whether the pool got all ops and served enough of the top ones.
func (c *Controller) trialComplete(_ policy.Micros, own, _ *Stats) bool {
	return c.trialShare >= 1 && float64(own.TopServed) >= recoveredShare*float64(own.TopOps)
}

// returnHome ends the failover.
func (c *Controller) returnHome(now policy.Micros, _, _ *Stats) {
	c.lastReturn = now
	c.spillLimit = 0
}

// trialSucceeds reports whether the pool served enough of the trial's top ops. A trial without any proves nothing.
func (c *Controller) trialSucceeds(_ policy.Micros, own, _ *Stats) bool {
	return own.TopOps > 0 && float64(own.TopServed) >= recoveredShare*float64(own.TopOps)
}

// growTrial doubles the share of the ops that is sent to the pool. It does not send all at once, because the servers of a
// pool that returns are cold.
func (c *Controller) growTrial(now policy.Micros, own, next *Stats) {
	c.trialShare = min(1, 2*c.trialShare)
	c.adjustSpill(now, own, next)
}

// Decision is where an op is sent.
type Decision uint8

const (
	ToPool Decision = iota // to the pool itself
	ToNext                 // to the next pool
	Refuse                 // to neither; the op is nacked and no part of it has run
)

// String returns the name of the decision.
func (d Decision) String() string { return [...]string{"pool", "next", "refused"}[d] }

// Choose decides where an op is sent. TopBenefit tells whether it has the highest benefit of the pool's categories: such
// ops may use the whole spill limit, others only part of it.
func (c *Controller) Choose(topBenefit bool) Decision {
	if c.state == Home {
		return ToPool
	}
	if c.state == Trial {
		// Top ops and others are counted separately. With a common count the trial might get no top op and prove nothing.
		credit := &c.trialCredit[0]
		if !topBenefit {
			credit = &c.trialCredit[1]
		}
		*credit += c.trialShare
		if *credit >= 1 {
			*credit--
			return ToPool
		}
	}
	// The last quarter of the spill limit is reserved for top ops.
	if c.spilled+1 > c.spillLimit || !topBenefit && c.spilled+1 > c.spillLimit*3/4 {
		c.refused++
		return Refuse
	}
	c.spilled++
	return ToNext
}

// MayPushToOtherPool reports whether an op that was pushed in one pool may be pushed in another. An op that may have run
// must only be repeated if that does no harm: it is redeliverable, or it is deduplicated across both pools.
func MayPushToOtherPool(semantics policy.DeliverySemantics, mayHaveRun, dedupSpansBoth bool) bool {
	return !mayHaveRun || semantics == policy.Redeliverable || semantics == policy.Deduplicated && dedupSpansBoth
}
