// Package failover decides when ops of a pool that can't serve go to the next one, how many of them, and when they come
// back. It does no I/O and has no clock: a pool's actor tells what it has seen in each beat, and asks for each op where
// it goes.
//
// The level is entered on what shows that the pool's servers are gone, and never on a shed of low benefit: a pool that
// refuses what it can't carry serves its best ops. It is left by trial: a growing part of the ops goes home, and the level
// ends when all of them have been served there for a while.
package failover

import (
	"fmt"

	"canvasrouter/policy"
)

// Level is where a pool's ops go.
type State uint8

const (
	Home  State = iota // all to the pool itself
	Away               // to the next, as far as that one bears it
	Trial              // a part to the pool itself, to see whether it serves again
)

func (l State) String() string { return [...]string{"home", "away", "trial"}[l] }

// Rule holds the few settings.
type Config struct {
	Interval policy.Micros // between two calls of Beat
	MinDwell policy.Micros // the least time away; doubled each time that the pool fails again soon after
	MaxDwell policy.Micros // the longest that it is doubled to
}

// Defaults are figures that keep changes of level under four a minute, whatever the pool does.
func DefaultConfig() Config {
	return Config{Interval: policy.Second, MinDwell: 20 * policy.Second, MaxDwell: 160 * policy.Second}
}

const (
	minTopOps         = 4        // ops of the highest benefit in a beat; fewer prove nothing
	lostShare         = 1.0 / 8  // share of them served, under which the pool can't serve
	recoveredShare    = 3.0 / 4  // share of a trial served, over which it grows
	initialTrialShare = 1.0 / 64 // share of the ops that a trial begins with
	lostIntervals     = 2        // beats in a row that show the pool lost
	fastSpillGrowth   = 1.0 / 2  // of the spill in a beat, until the next pool is strained for the first time
	slowSpillGrowth   = 1.0 / 64 // of it afterwards
	spillReduction    = 3.0 / 4  // of the spill in a beat that strained the next pool
	initialSpillShare = 1.0 / 4  // of what the next pool served, that the spill begins with
	strainedShare     = 1.0 / 16 // share of the next pool's own best ops refused, over which it is strained
	flappingDwells    = 4        // dwells at home after which an old failure is forgotten
)

// Seen is what a pool's actor has seen in one beat.
type Stats struct {
	ReadyServers int // servers on the list that are ready
	DownServers  int // of them that the module sends nothing to, since they failed
	TopOps       int // ops with the highest benefit that came to the pool itself, spilled ones of others left out
	TopServed    int // of them served
	FailedPushes int // pushes that found no server: connections that failed or broke, time-outs
	EndedPushes  int // pushes that ended
	ServedOps    int // ops served, of whatever benefit
}

// gone says that the pool has no server that serves.
//
// Danger: under a mere overload nearly all of the low benefit is refused; that pool serves, and to move its load would
// take the next one down with it. So only ops of the highest benefit count, and only if the pushes say that servers
// can't be reached.
func (s *Stats) isLost() bool {
	if s.ReadyServers == 0 || s.DownServers >= s.ReadyServers {
		return true
	}
	return s.TopOps >= minTopOps && float64(s.TopServed) < lostShare*float64(s.TopOps) && 2*s.FailedPushes > s.EndedPushes
}

// State is one pool's failover. The zero value is not one; use New.
type Controller struct {
	config          Config
	state           State
	badIntervals    int           // beats in a row that show it gone
	stateSince      policy.Micros // of the level
	dwell           policy.Micros
	lastReturn      policy.Micros // last time that it came home
	trialShare      float64       // of the ops that a trial sends home
	trialCredit     [2]float64    // of the best ops, and of the others
	nextWasStrained bool          // the next pool was strained since the level was entered
	spillLimit      float64       // ops a beat that the next pool is given at the most
	spilled         float64       // in this beat
	refused         int
	homeTransitions int
}

// New makes the failover of a pool that starts at home.
func New(config Config) *Controller {
	return &Controller{config: config, dwell: config.MinDwell, lastReturn: -config.MaxDwell}
}

// Level is the present one, Changes how often it was entered or left, Spill the ops a beat that the next pool gets at
// the most, Share the part of the ops that goes home.
func (s *Controller) State() State         { return s.state }
func (s *Controller) HomeTransitions() int { return s.homeTransitions }
func (s *Controller) SpillLimit() float64  { return s.spillLimit }

func (s *Controller) HomeShare() float64 {
	switch s.state {
	case Home:
		return 1
	case Trial:
		return s.trialShare
	}
	return 0
}

// row is one line of the table.
type transition struct {
	from      State
	condition func(*Controller, policy.Micros, *Stats, *Stats) bool
	to        State
	action    func(*Controller, policy.Micros, *Stats, *Stats)
}

// The first row that fits is carried out.
var transitions = [...]transition{
	{Home, (*Controller).hasFailed, Away, (*Controller).startFailover},
	{Away, (*Controller).dwellElapsed, Trial, (*Controller).startTrial},
	{Away, always, Away, (*Controller).adjustSpill},
	{Trial, (*Controller).trialFailed, Away, (*Controller).abortTrial},
	{Trial, (*Controller).trialComplete, Home, (*Controller).returnHome},
	{Trial, (*Controller).trialSucceeds, Trial, (*Controller).growTrial},
	{Trial, always, Trial, (*Controller).adjustSpill},
}

func always(*Controller, policy.Micros, *Stats, *Stats) bool { return true }

// Beat takes what was seen of the pool and of the next one since the last beat, and gives a line for the log when the
// level changes.
func (s *Controller) Tick(now policy.Micros, own, next *Stats) (log string) {
	if own.isLost() {
		s.badIntervals++
	} else {
		s.badIntervals = 0
	}
	for i := range transitions {
		if r := &transitions[i]; r.from == s.state && r.condition(s, now, own, next) {
			if r.action(s, now, own, next); r.to != s.state {
				log = fmt.Sprintf("pool goes from %s to %s: %d of %d servers down, %d of %d best ops served", s.state, r.to,
					own.DownServers, own.ReadyServers, own.TopServed, own.TopOps)
				if r.to == Home || s.state == Home {
					s.homeTransitions++
				}
				s.state, s.stateSince = r.to, now
			}
			break
		}
	}
	s.spilled, s.refused = 0, 0
	return log
}

// fails: Danger: one bad beat may be a hiccup of the list, or a stall; two are not. A pool that has no server on its list
// at all is gone at once.
func (s *Controller) hasFailed(_ policy.Micros, own, _ *Stats) bool {
	return s.badIntervals >= lostIntervals || s.badIntervals > 0 && own.ReadyServers == 0
}

// leave begins with little. Danger: all of a lost site's load at once would take the next pool down as well.
func (s *Controller) startFailover(now policy.Micros, _, next *Stats) {
	if now-s.lastReturn < flappingDwells*s.dwell {
		s.dwell = min(2*s.dwell, s.config.MaxDwell) // it came home and failed again: flapping
	} else {
		s.dwell = s.config.MinDwell
	}
	s.spillLimit, s.nextWasStrained = max(1, initialSpillShare*float64(next.ServedOps)), false
}

func (s *Controller) dwellElapsed(now policy.Micros, own, _ *Stats) bool {
	return now-s.stateSince >= s.dwell && own.ReadyServers > 0
}

func (s *Controller) startTrial(now policy.Micros, own, next *Stats) {
	s.trialShare, s.trialCredit = initialTrialShare, [2]float64{}
	s.adjustSpill(now, own, next)
}

// steer moves the spill to what the next pool bears: up while there was more to send and its own best ops went through.
func (s *Controller) adjustSpill(_ policy.Micros, _, next *Stats) {
	switch {
	case next.isLost() || float64(next.TopOps-next.TopServed) > strainedShare*float64(next.TopOps):
		s.spillLimit, s.nextWasStrained = max(1, s.spillLimit*spillReduction), true
	case s.refused > 0 && !s.nextWasStrained:
		s.spillLimit += s.spillLimit * fastSpillGrowth
	case s.refused > 0:
		s.spillLimit += s.spillLimit * slowSpillGrowth
	}
}

func (s *Controller) trialFailed(_ policy.Micros, own, _ *Stats) bool {
	return s.badIntervals >= lostIntervals || own.TopOps >= minTopOps && float64(own.TopServed) < recoveredShare*float64(own.TopOps)
}

// again waits longer for the next trial than for this one.
func (s *Controller) abortTrial(now policy.Micros, own, next *Stats) {
	s.dwell = min(2*s.dwell, s.config.MaxDwell)
	s.adjustSpill(now, own, next)
}

func (s *Controller) trialComplete(_ policy.Micros, own, _ *Stats) bool {
	return s.trialShare >= 1 && float64(own.TopServed) >= recoveredShare*float64(own.TopOps)
}

func (s *Controller) returnHome(now policy.Micros, _, _ *Stats) { s.lastReturn, s.spillLimit = now, 0 }

// goesWell: a trial that nobody took part in proves nothing. Danger: a pool that comes back is cold.
func (s *Controller) trialSucceeds(_ policy.Micros, own, _ *Stats) bool {
	return own.TopOps > 0 && float64(own.TopServed) >= recoveredShare*float64(own.TopOps)
}

func (s *Controller) growTrial(now policy.Micros, own, next *Stats) {
	s.trialShare = min(1, 2*s.trialShare)
	s.adjustSpill(now, own, next)
}

// Way is where an op goes.
type Decision uint8

const (
	ToPool Decision = iota
	ToNext
	Refuse // neither bears it: nacked, nothing of it has run
)

func (w Decision) String() string { return [...]string{"pool", "next", "refused"}[w] }

// Choose gives an op's way. Best says that it has the highest benefit of the pool's categories: while the spill is short
// it goes to those alone.
func (s *Controller) Choose(topBenefit bool) Decision {
	if s.state == Home {
		return ToPool
	}
	if s.state == Trial {
		// Best ops and others take turns of their own. Danger: a trial that the best never fall to proves nothing.
		credit := &s.trialCredit[0]
		if !topBenefit {
			credit = &s.trialCredit[1]
		}
		if *credit += s.trialShare; *credit >= 1 {
			*credit--
			return ToPool
		}
	}
	// The last quarter of the spill is kept for the best.
	if s.spilled+1 > s.spillLimit || !topBenefit && s.spilled+1 > s.spillLimit*3/4 {
		s.refused++
		return Refuse
	}
	s.spilled++
	return ToNext
}

// Cross says whether an op that may have run in one pool may be pushed in another: only if a repeat does no harm there.
func MayPushToOtherPool(semantics policy.Repeat, mayHaveRun, dedupSpansBoth bool) bool {
	return !mayHaveRun || semantics == policy.Redeliverable || semantics == policy.Deduplicated && dedupSpansBoth
}
