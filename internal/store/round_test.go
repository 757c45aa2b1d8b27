package store

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
)

// packet is one on its way between replicas in the simulation.
type packet struct {
	from, to int
	deliver  func()
}

// world is some replicas, with messages that come in any order, twice, or never, ways that are cut, and replicas that start anew with what
// their disks hold.
type simulation struct {
	rng          *rand.Rand
	registers    []Register
	inTransit    []packet
	isCut        func(a, b int) bool
	down         []bool
	incarnations []int
	chosen       map[Version]*Value // of the one key
	confirmed    map[string]Version // to whoever asked
	learned      []map[Key]*Value
	violation    string
}

func newSimulation(seed uint64, replicas int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 9)), registers: make([]Register, replicas), down: make([]bool, replicas), incarnations: make([]int, replicas),
		chosen: map[Version]*Value{}, confirmed: map[string]Version{}, isCut: func(int, int) bool { return false }}
	for range replicas {
		s.learned = append(s.learned, map[Key]*Value{})
	}
	return s
}

func (s *simulation) send(from, to int, deliver func()) {
	s.inTransit = append(s.inTransit, packet{from, to, deliver})
}

// step delivers one packet, drawn at random; some are lost, some come again later.
func (s *simulation) step() bool {
	if len(s.inTransit) == 0 {
		return false
	}
	i := s.rng.IntN(len(s.inTransit))
	next := s.inTransit[i]
	s.inTransit[i] = s.inTransit[len(s.inTransit)-1]
	s.inTransit = s.inTransit[:len(s.inTransit)-1]
	if s.rng.IntN(12) == 0 {
		s.inTransit = append(s.inTransit, next)
	}
	if s.rng.IntN(10) > 0 && !s.down[next.to] && (next.from == next.to || !s.isCut(next.from, next.to)) {
		next.deliver()
	}
	return true
}

// propose begins a round at a replica, with messages only; what a replica promises is on its disk at once.
func (s *simulation) propose(replica int, change *Change) {
	if s.down[replica] {
		return
	}
	incarnation := s.incarnations[replica]
	ballot := Ballot{Round: s.registers[replica].Promised.Round + 1, Replica: replica}
	round := NewRound(ballot, change, len(s.registers))
	alive := func() bool { return !s.down[replica] && s.incarnations[replica] == incarnation }
	accept := func() {
		value := round.value
		for to := range s.registers {
			s.send(replica, to, func() {
				reply := s.registers[to].Accept(ballot, value)
				s.send(to, replica, func() {
					if phaseBefore := round.phase; alive() {
						if round.HandleAcceptReply(to, reply); phaseBefore != done && round.phase == done {
							s.recordChosen(replica, round)
						}
					}
				})
			})
		}
	}
	round.HandlePrepareReply(replica, s.registers[replica].Prepare(ballot)) // its own first, or the round's number could be used again
	for to := range s.registers {
		if to == replica {
			continue
		}
		s.send(replica, to, func() {
			reply := s.registers[to].Prepare(ballot)
			s.send(to, replica, func() {
				if phaseBefore := round.phase; alive() {
					if round.HandlePrepareReply(to, reply); phaseBefore == preparing && round.phase == accepting {
						accept()
					}
				}
			})
		})
	}
	if round.phase == accepting {
		accept()
	}
}

func (s *simulation) recordChosen(replica int, round *Round) {
	if round.value == nil {
		return
	}
	if previous := s.chosen[round.value.Version]; previous != nil && !Equal(previous, round.value) {
		s.violation = fmt.Sprintf("version %d is %s and %s", round.value.Version, previous.ID, round.value.ID)
	}
	s.chosen[round.value.Version] = round.value
	MergeNewer(s.learned[replica], round.value)
	if round.verdict == Chosen || round.verdict == AlreadyChosen {
		if previous, known := s.confirmed[round.change.ID]; known && previous != round.version {
			s.violation = fmt.Sprintf("%s was told as %d and %d", round.change.ID, previous, round.version)
		}
		s.confirmed[round.change.ID] = round.version
	}
}

// play runs one seed: changes from all sides with losses, cuts and new starts, then peace.
func simulate(seed uint64, replicas int) string {
	s := newSimulation(seed, replicas)
	for i := range 40 {
		replica := s.rng.IntN(replicas)
		change := &Change{Key: "all", ID: fmt.Sprintf("c%d", max(0, i-s.rng.IntN(maxHistory/2))), Patch: json.RawMessage(fmt.Sprint(i))}
		if s.rng.IntN(3) == 0 {
			from := Version(s.rng.IntN(8))
			change.ExpectedVersion = &from
		}
		change.Patch = json.RawMessage(`"` + change.ID + `"`) // the same change says the same
		if v := s.learned[replica]["all"]; v != nil && s.rng.IntN(4) == 0 {
			change.ExpectedVersion = &v.Version
		}
		s.propose(replica, change)
		switch s.rng.IntN(12) {
		case 0:
			isolated := s.rng.IntN(replicas)
			s.isCut = func(a, ballot int) bool { return a == isolated || ballot == isolated }
		case 1:
			s.isCut = func(int, int) bool { return false }
		case 2:
			restarted := s.rng.IntN(replicas)
			s.down[restarted] = true
		case 3:
			for restarted := range s.down {
				if s.down[restarted] {
					s.down[restarted] = false
					s.incarnations[restarted]++
				}
			}
		}
		for range s.rng.IntN(30) {
			s.step()
		}
	}
	// Peace: what was told stands.
	s.isCut = func(int, int) bool { return false }
	clear(s.down)
	var final *Round
	for attempt := 0; attempt < 50 && (final == nil || final.phase != done); attempt++ {
		for s.step() {
		}
		unusedVersion := Version(1 << 40)
		change := &Change{Key: "all", ID: "last", ExpectedVersion: &unusedVersion}
		ballot := Ballot{Round: s.registers[0].Promised.Round + 1 + uint64(attempt), Replica: 0}
		final = NewRound(ballot, change, replicas)
		for to := range s.registers {
			final.HandlePrepareReply(to, s.registers[to].Prepare(ballot))
		}
		if final.phase == accepting {
			for to := range s.registers {
				final.HandleAcceptReply(to, s.registers[to].Accept(ballot, final.value))
			}
		}
	}
	switch {
	case s.violation != "":
		return s.violation
	case final.phase != done:
		return "no end in peace"
	case final.value == nil && len(s.confirmed) > 0:
		return "all is lost"
	}
	// A version that only a minority accepted may stand in the past of a later one that was chosen: then it counts.
	history := map[Version]string{}
	recordVersion := func(v Version, id string) {
		if recorded, exists := history[v]; exists && recorded != id {
			s.violation = fmt.Sprintf("version %d is %s and %s", v, recorded, id)
		}
		history[v] = id
	}
	for _, v := range s.chosen {
		recordVersion(v.Version, v.ID)
		for _, past := range v.History {
			recordVersion(past.Version, past.ID)
		}
	}
	if s.violation != "" {
		return s.violation
	}
	for id, version := range s.confirmed {
		if history[version] != id || version > final.value.Version {
			return fmt.Sprintf("%s was told as %d, which is %q; the last is %d", id, version, history[version], final.value.Version)
		}
	}
	for v := Version(1); final.value != nil && v <= final.value.Version; v++ {
		if change := s.chosen[v]; change != nil && v > 1 && s.chosen[v-1] != nil && string(change.PreviousPatch) != string(s.chosen[v-1].Patch) {
			return fmt.Sprintf("version %d does not follow on %d", v, v-1)
		}
	}
	return ""
}

// One content a version, versions that follow each other, and what was told stands: over thousands of seeds of lost, doubled and
// reordered messages, cuts, and replicas that start anew.
func TestRegisterProperties(t *testing.T) {
	seeds := uint64(3000)
	if testing.Short() {
		seeds = 300
	}
	for seed := range seeds {
		for _, replicas := range []int{3, 5} {
			if violation := simulate(seed, replicas); violation != "" {
				t.Fatalf("seed %d, %d replicas: %s", seed, replicas, violation)
			}
		}
	}
}

// What a change makes of what stands, case by case.
func TestNext(t *testing.T) {
	version := func(v Version) *Version { return &v }
	first, _, _ := NextValue(nil, &Change{Key: "all", ID: "a", Patch: json.RawMessage(`1`)})
	second, _, _ := NextValue(first, &Change{Key: "all", ID: "b", Patch: json.RawMessage(`2`)})
	for name, c := range map[string]struct {
		now     *Value
		change  Change
		verdict Verdict
		version Version
		patch   string
	}{
		"the first":                       {nil, Change{ID: "a", Patch: json.RawMessage(`1`)}, Chosen, 1, "1"},
		"one after it":                    {first, Change{ID: "b", Patch: json.RawMessage(`2`)}, Chosen, 2, "2"},
		"from the version that stands":    {first, Change{ID: "b", ExpectedVersion: version(1), Patch: json.RawMessage(`2`)}, Chosen, 2, "2"},
		"two at once: the second":         {second, Change{ID: "c", ExpectedVersion: version(1), Patch: json.RawMessage(`3`)}, Conflict, 2, "2"},
		"from a version that never was":   {nil, Change{ID: "c", ExpectedVersion: version(4)}, Conflict, 0, ""},
		"the same twice":                  {second, Change{ID: "b", Patch: json.RawMessage(`2`)}, AlreadyChosen, 2, "2"},
		"the same again, after another":   {second, Change{ID: "a", Patch: json.RawMessage(`1`)}, AlreadyChosen, 1, "2"},
		"the way back":                    {second, Change{ID: "d", Rollback: true}, Chosen, 3, "1"},
		"no way back from the first":      {first, Change{ID: "d", Rollback: true}, NothingToRollBack, 1, "1"},
		"no way back from nothing":        {nil, Change{ID: "d", Rollback: true}, NothingToRollBack, 0, ""},
		"the way back, and another since": {second, Change{ID: "d", Rollback: true, ExpectedVersion: version(1)}, Conflict, 2, "2"},
	} {
		got, verdict, at := NextValue(c.now, &c.change)
		patch := ""
		if got != nil {
			patch = string(got.Patch)
		}
		if verdict != c.verdict || at != c.version || patch != c.patch {
			t.Errorf("%s: %s, version %d, patch %s", name, verdict, at, patch)
		}
	}
	v := first
	for i := range 3 * maxHistory {
		v, _, _ = NextValue(v, &Change{ID: fmt.Sprint(i)})
	}
	if len(v.History) != maxHistory {
		t.Errorf("%d past changes are kept", len(v.History))
	}
}
