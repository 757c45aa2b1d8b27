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
	few      = 4        // ops of the highest benefit in a beat; fewer prove nothing
	lost     = 1.0 / 8  // share of them served, under which the pool can't serve
	well     = 3.0 / 4  // share of a trial served, over which it grows
	first    = 1.0 / 64 // share of the ops that a trial begins with
	enough   = 2        // beats in a row that show the pool lost
	grow     = 1.0 / 2  // of the spill in a beat, until the next pool is strained for the first time
	creep    = 1.0 / 64 // of it afterwards
	shrink   = 3.0 / 4  // of the spill in a beat that strained the next pool
	headroom = 1.0 / 4  // of what the next pool served, that the spill begins with
	strained = 1.0 / 16 // share of the next pool's own best ops refused, over which it is strained
	heal     = 4        // dwells at home after which an old failure is forgotten
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
func (s *Stats) gone() bool {
	if s.ReadyServers == 0 || s.DownServers >= s.ReadyServers {
		return true
	}
	return s.TopOps >= few && float64(s.TopServed) < lost*float64(s.TopOps) && 2*s.FailedPushes > s.EndedPushes
}

// State is one pool's failover. The zero value is not one; use New.
type Controller struct {
	rule    Config
	level   State
	bad     int           // beats in a row that show it gone
	since   policy.Micros // of the level
	dwell   policy.Micros
	home    policy.Micros // last time that it came home
	share   float64       // of the ops that a trial sends home
	turn    [2]float64    // of the best ops, and of the others
	bound   bool          // the next pool was strained since the level was entered
	spill   float64       // ops a beat that the next pool is given at the most
	given   float64       // in this beat
	refused int
	changes int
}

// New makes the failover of a pool that starts at home.
func New(rule Config) *Controller {
	return &Controller{rule: rule, dwell: rule.MinDwell, home: -rule.MaxDwell}
}

// Level is the present one, Changes how often it was entered or left, Spill the ops a beat that the next pool gets at
// the most, Share the part of the ops that goes home.
func (s *Controller) State() State         { return s.level }
func (s *Controller) HomeTransitions() int { return s.changes }
func (s *Controller) SpillLimit() float64  { return s.spill }

func (s *Controller) HomeShare() float64 {
	switch s.level {
	case Home:
		return 1
	case Trial:
		return s.share
	}
	return 0
}

// row is one line of the table.
type row struct {
	at   State
	when func(*Controller, policy.Micros, *Stats, *Stats) bool
	next State
	do   func(*Controller, policy.Micros, *Stats, *Stats)
}

// The first row that fits is carried out.
var table = [...]row{
	{Home, (*Controller).fails, Away, (*Controller).leave},
	{Away, (*Controller).rested, Trial, (*Controller).try},
	{Away, always, Away, (*Controller).steer},
	{Trial, (*Controller).failsTrial, Away, (*Controller).again},
	{Trial, (*Controller).whole, Home, (*Controller).settle},
	{Trial, (*Controller).goesWell, Trial, (*Controller).more},
	{Trial, always, Trial, (*Controller).steer},
}

func always(*Controller, policy.Micros, *Stats, *Stats) bool { return true }

// Beat takes what was seen of the pool and of the next one since the last beat, and gives a line for the log when the
// level changes.
func (s *Controller) Tick(now policy.Micros, own, next *Stats) (log string) {
	if own.gone() {
		s.bad++
	} else {
		s.bad = 0
	}
	for i := range table {
		if r := &table[i]; r.at == s.level && r.when(s, now, own, next) {
			if r.do(s, now, own, next); r.next != s.level {
				log = fmt.Sprintf("pool goes from %s to %s: %d of %d servers down, %d of %d best ops served", s.level, r.next,
					own.DownServers, own.ReadyServers, own.TopServed, own.TopOps)
				if r.next == Home || s.level == Home {
					s.changes++
				}
				s.level, s.since = r.next, now
			}
			break
		}
	}
	s.given, s.refused = 0, 0
	return log
}

// fails: Danger: one bad beat may be a hiccup of the list, or a stall; two are not. A pool that has no server on its list
// at all is gone at once.
func (s *Controller) fails(_ policy.Micros, own, _ *Stats) bool {
	return s.bad >= enough || s.bad > 0 && own.ReadyServers == 0
}

// leave begins with little. Danger: all of a lost site's load at once would take the next pool down as well.
func (s *Controller) leave(now policy.Micros, _, next *Stats) {
	if now-s.home < heal*s.dwell {
		s.dwell = min(2*s.dwell, s.rule.MaxDwell) // it came home and failed again: flapping
	} else {
		s.dwell = s.rule.MinDwell
	}
	s.spill, s.bound = max(1, headroom*float64(next.ServedOps)), false
}

func (s *Controller) rested(now policy.Micros, own, _ *Stats) bool {
	return now-s.since >= s.dwell && own.ReadyServers > 0
}

func (s *Controller) try(now policy.Micros, own, next *Stats) {
	s.share, s.turn = first, [2]float64{}
	s.steer(now, own, next)
}

// steer moves the spill to what the next pool bears: up while there was more to send and its own best ops went through.
func (s *Controller) steer(_ policy.Micros, _, next *Stats) {
	switch {
	case next.gone() || float64(next.TopOps-next.TopServed) > strained*float64(next.TopOps):
		s.spill, s.bound = max(1, s.spill*shrink), true
	case s.refused > 0 && !s.bound:
		s.spill += s.spill * grow
	case s.refused > 0:
		s.spill += s.spill * creep
	}
}

func (s *Controller) failsTrial(_ policy.Micros, own, _ *Stats) bool {
	return s.bad >= enough || own.TopOps >= few && float64(own.TopServed) < well*float64(own.TopOps)
}

// again waits longer for the next trial than for this one.
func (s *Controller) again(now policy.Micros, own, next *Stats) {
	s.dwell = min(2*s.dwell, s.rule.MaxDwell)
	s.steer(now, own, next)
}

func (s *Controller) whole(_ policy.Micros, own, _ *Stats) bool {
	return s.share >= 1 && float64(own.TopServed) >= well*float64(own.TopOps)
}

func (s *Controller) settle(now policy.Micros, _, _ *Stats) { s.home, s.spill = now, 0 }

// goesWell: a trial that nobody took part in proves nothing. Danger: a pool that comes back is cold.
func (s *Controller) goesWell(_ policy.Micros, own, _ *Stats) bool {
	return own.TopOps > 0 && float64(own.TopServed) >= well*float64(own.TopOps)
}

func (s *Controller) more(now policy.Micros, own, next *Stats) {
	s.share = min(1, 2*s.share)
	s.steer(now, own, next)
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
func (s *Controller) Choose(best bool) Decision {
	if s.level == Home {
		return ToPool
	}
	if s.level == Trial {
		// Best ops and others take turns of their own. Danger: a trial that the best never fall to proves nothing.
		turn := &s.turn[0]
		if !best {
			turn = &s.turn[1]
		}
		if *turn += s.share; *turn >= 1 {
			*turn--
			return ToPool
		}
	}
	// The last quarter of the spill is kept for the best.
	if s.given+1 > s.spill || !best && s.given+1 > s.spill*3/4 {
		s.refused++
		return Refuse
	}
	s.given++
	return ToNext
}

// Cross says whether an op that may have run in one pool may be pushed in another: only if a repeat does no harm there.
func MayPushToOtherPool(repeat policy.DeliverySemantics, mayHaveRun, groupSpansBoth bool) bool {
	return !mayHaveRun || repeat == policy.Redeliverable || repeat == policy.Deduplicated && groupSpansBoth
}
