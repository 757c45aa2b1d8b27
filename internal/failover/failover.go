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
type Level uint8

const (
	Home  Level = iota // all to the pool itself
	Away               // to the next, as far as that one bears it
	Trial              // a part to the pool itself, to see whether it serves again
)

func (l Level) String() string { return [...]string{"home", "away", "trial"}[l] }

// Rule holds the few settings.
type Rule struct {
	Beat  policy.Micros // between two calls of Beat
	Dwell policy.Micros // the least time away; doubled each time that the pool fails again soon after
	Most  policy.Micros // the longest that it is doubled to
}

// Defaults are figures that keep changes of level under four a minute, whatever the pool does.
func Defaults() Rule {
	return Rule{Beat: policy.Second, Dwell: 20 * policy.Second, Most: 160 * policy.Second}
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
type Seen struct {
	Ready  int // servers on the list that are ready
	Down   int // of them that the module sends nothing to, since they failed
	Best   int // ops with the highest benefit that came to the pool itself, spilled ones of others left out
	Served int // of them served
	Broken int // pushes that found no server: connections that failed or broke, time-outs
	Pushes int // pushes that ended
	All    int // ops served, of whatever benefit
}

// gone says that the pool has no server that serves.
//
// Danger: under a mere overload nearly all of the low benefit is refused; that pool serves, and to move its load would
// take the next one down with it. So only ops of the highest benefit count, and only if the pushes say that servers
// can't be reached.
func (s *Seen) gone() bool {
	if s.Ready == 0 || s.Down >= s.Ready {
		return true
	}
	return s.Best >= few && float64(s.Served) < lost*float64(s.Best) && 2*s.Broken > s.Pushes
}

// State is one pool's failover. The zero value is not one; use New.
type State struct {
	rule    Rule
	level   Level
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
func New(rule Rule) *State { return &State{rule: rule, dwell: rule.Dwell, home: -rule.Most} }

// Level is the present one, Changes how often it was entered or left, Spill the ops a beat that the next pool gets at
// the most, Share the part of the ops that goes home.
func (s *State) Level() Level   { return s.level }
func (s *State) Changes() int   { return s.changes }
func (s *State) Spill() float64 { return s.spill }

func (s *State) Share() float64 {
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
	at   Level
	when func(*State, policy.Micros, *Seen, *Seen) bool
	next Level
	do   func(*State, policy.Micros, *Seen, *Seen)
}

// The first row that fits is carried out.
var table = [...]row{
	{Home, (*State).fails, Away, (*State).leave},
	{Away, (*State).rested, Trial, (*State).try},
	{Away, always, Away, (*State).steer},
	{Trial, (*State).failsTrial, Away, (*State).again},
	{Trial, (*State).whole, Home, (*State).settle},
	{Trial, (*State).goesWell, Trial, (*State).more},
	{Trial, always, Trial, (*State).steer},
}

func always(*State, policy.Micros, *Seen, *Seen) bool { return true }

// Beat takes what was seen of the pool and of the next one since the last beat, and gives a line for the log when the
// level changes.
func (s *State) Beat(now policy.Micros, own, next *Seen) (log string) {
	if own.gone() {
		s.bad++
	} else {
		s.bad = 0
	}
	for i := range table {
		if r := &table[i]; r.at == s.level && r.when(s, now, own, next) {
			if r.do(s, now, own, next); r.next != s.level {
				log = fmt.Sprintf("pool goes from %s to %s: %d of %d servers down, %d of %d best ops served", s.level, r.next,
					own.Down, own.Ready, own.Served, own.Best)
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
func (s *State) fails(_ policy.Micros, own, _ *Seen) bool {
	return s.bad >= enough || s.bad > 0 && own.Ready == 0
}

// leave begins with little. Danger: all of a lost site's load at once would take the next pool down as well.
func (s *State) leave(now policy.Micros, _, next *Seen) {
	if now-s.home < heal*s.dwell {
		s.dwell = min(2*s.dwell, s.rule.Most) // it came home and failed again: flapping
	} else {
		s.dwell = s.rule.Dwell
	}
	s.spill, s.bound = max(1, headroom*float64(next.All)), false
}

func (s *State) rested(now policy.Micros, own, _ *Seen) bool {
	return now-s.since >= s.dwell && own.Ready > 0
}

func (s *State) try(now policy.Micros, own, next *Seen) {
	s.share, s.turn = first, [2]float64{}
	s.steer(now, own, next)
}

// steer moves the spill to what the next pool bears: up while there was more to send and its own best ops went through.
func (s *State) steer(_ policy.Micros, _, next *Seen) {
	switch {
	case next.gone() || float64(next.Best-next.Served) > strained*float64(next.Best):
		s.spill, s.bound = max(1, s.spill*shrink), true
	case s.refused > 0 && !s.bound:
		s.spill += s.spill * grow
	case s.refused > 0:
		s.spill += s.spill * creep
	}
}

func (s *State) failsTrial(_ policy.Micros, own, _ *Seen) bool {
	return s.bad >= enough || own.Best >= few && float64(own.Served) < well*float64(own.Best)
}

// again waits longer for the next trial than for this one.
func (s *State) again(now policy.Micros, own, next *Seen) {
	s.dwell = min(2*s.dwell, s.rule.Most)
	s.steer(now, own, next)
}

func (s *State) whole(_ policy.Micros, own, _ *Seen) bool {
	return s.share >= 1 && float64(own.Served) >= well*float64(own.Best)
}

func (s *State) settle(now policy.Micros, _, _ *Seen) { s.home, s.spill = now, 0 }

// goesWell: a trial that nobody took part in proves nothing. Danger: a pool that comes back is cold.
func (s *State) goesWell(_ policy.Micros, own, _ *Seen) bool {
	return own.Best > 0 && float64(own.Served) >= well*float64(own.Best)
}

func (s *State) more(now policy.Micros, own, next *Seen) {
	s.share = min(1, 2*s.share)
	s.steer(now, own, next)
}

// Way is where an op goes.
type Way uint8

const (
	ToPool Way = iota
	ToNext
	Refuse // neither bears it: nacked, nothing of it has run
)

func (w Way) String() string { return [...]string{"pool", "next", "refused"}[w] }

// Choose gives an op's way. Best says that it has the highest benefit of the pool's categories: while the spill is short
// it goes to those alone.
func (s *State) Choose(best bool) Way {
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
func Cross(repeat policy.DeliverySemantics, mayHaveRun, groupSpansBoth bool) bool {
	return !mayHaveRun || repeat == policy.Redeliverable || repeat == policy.Deduplicated && groupSpansBoth
}
