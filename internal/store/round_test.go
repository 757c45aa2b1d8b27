package store

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
)

// packet is a message between two simulated replicas. Its delivery runs the handler of the receiver.
type packet struct {
	from, to int
	deliver  func()
}

// simulation runs replicas on a simulated network that reorders, duplicates and loses messages and can be partitioned.
// Replicas fail and restart with the registers that they had on disk.
type simulation struct {
	rng          *rand.Rand
	registers    []Register // on disk, by replica
	inTransit    []packet
	isCut        func(a, b int) bool
	down         []bool
	incarnations []int              // by replica; goes up with each restart
	chosen       map[Version]*Value // of the only key
	confirmed    map[string]Version // by change ID: the version that a client was told
	learned      []map[Key]*Value   // chosen values that a replica knows
	violation    string             // latest violated property; "" for none
}

func newSimulation(seed uint64, replicas int) *simulation {
	s := &simulation{
		rng:          rand.New(rand.NewPCG(seed, 9)),
		registers:    make([]Register, replicas),
		down:         make([]bool, replicas),
		incarnations: make([]int, replicas),
		chosen:       map[Version]*Value{},
		confirmed:    map[string]Version{},
		isCut:        func(int, int) bool { return false },
	}
	for range replicas {
		s.learned = append(s.learned, map[Key]*Value{})
	}
	return s
}

func (s *simulation) send(from, to int, deliver func()) {
	s.inTransit = append(s.inTransit, packet{from, to, deliver})
}

// step takes a random packet from the network and delivers it. Some are lost and some stay in transit for a second
// delivery. It reports false if no packet was in transit.
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

// propose starts a round at a replica. All replies of other replicas arrive as packets; a change of a register counts as
// saved at once.
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
						round.HandleAcceptReply(to, reply)
						if phaseBefore != done && round.phase == done {
							s.recordChosen(replica, round)
						}
					}
				})
			})
		}
	}
	round.HandlePrepareReply(replica, s.registers[replica].Prepare(ballot)) // first, so that the ballot is never used again
	for to := range s.registers {
		if to == replica {
			continue
		}
		s.send(replica, to, func() {
			reply := s.registers[to].Prepare(ballot)
			s.send(to, replica, func() {
				if phaseBefore := round.phase; alive() {
					round.HandlePrepareReply(to, reply)
					if phaseBefore == preparing && round.phase == accepting {
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

// recordChosen notes the result of a finished round, and a violation if it contradicts an earlier one.
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
			s.violation = fmt.Sprintf("change %s was confirmed as version %d and %d", round.change.ID, previous, round.version)
		}
		s.confirmed[round.change.ID] = round.version
	}
}

// simulate runs one seed: changes at random replicas during message loss, partitions and restarts, then a last round on
// a fault-free network. It returns the violated property, or "".
func simulate(seed uint64, replicas int) string {
	s := newSimulation(seed, replicas)
	for i := range 40 {
		replica := s.rng.IntN(replicas)
		change := &Change{Key: "all", ID: fmt.Sprintf("c%d", max(0, i-s.rng.IntN(maxHistory/2))), Patch: json.RawMessage(fmt.Sprint(i))}
		if s.rng.IntN(3) == 0 {
			from := Version(s.rng.IntN(8))
			change.ExpectedVersion = &from
		}
		change.Patch = json.RawMessage(`"` + change.ID + `"`) // a repeated change has the same content
		if v := s.learned[replica]["all"]; v != nil && s.rng.IntN(4) == 0 {
			change.ExpectedVersion = &v.Version
		}
		s.propose(replica, change)
		switch s.rng.IntN(12) {
		case 0:
			isolated := s.rng.IntN(replicas)
			s.isCut = func(a, b int) bool { return a == isolated || b == isolated }
		case 1:
			s.isCut = func(int, int) bool { return false }
		case 2:
			failed := s.rng.IntN(replicas)
			s.down[failed] = true
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
	// On a fault-free network a round must succeed, and everything confirmed before must still hold.
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
		return "no round succeeds on a fault-free network"
	case final.value == nil && len(s.confirmed) > 0:
		return "all confirmed changes are lost"
	}
	// A version that only a minority accepted may be in the history of a later chosen value: then it counts as chosen.
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
			return fmt.Sprintf("change %s was confirmed as version %d, which is %q; the last version is %d", id, version, history[version], final.value.Version)
		}
	}
	for v := Version(1); final.value != nil && v <= final.value.Version; v++ {
		if change := s.chosen[v]; change != nil && v > 1 && s.chosen[v-1] != nil && string(change.PreviousPatch) != string(s.chosen[v-1].Patch) {
			return fmt.Sprintf("version %d is not based on version %d", v, v-1)
		}
	}
	return ""
}

// TestRegisterProperties guards the safety of the protocol: each version has one content, each version is based on the
// one before, and a confirmed change is never lost, whatever messages are lost, duplicated or reordered and whichever
// replicas are cut off or restart.
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

// TestNextValue checks the result of each kind of change on each kind of current value.
func TestNextValue(t *testing.T) {
	pointerTo := func(version Version) *Version { return &version }
	first, _, _ := NextValue(nil, &Change{Key: "all", ID: "a", Patch: json.RawMessage(`1`)})
	second, _, _ := NextValue(first, &Change{Key: "all", ID: "b", Patch: json.RawMessage(`2`)})
	for name, c := range map[string]struct {
		current *Value
		change  Change
		verdict Verdict
		version Version
		patch   string
	}{
		"first change":                           {nil, Change{ID: "a", Patch: json.RawMessage(`1`)}, Chosen, 1, "1"},
		"second change":                          {first, Change{ID: "b", Patch: json.RawMessage(`2`)}, Chosen, 2, "2"},
		"expected version is current":            {first, Change{ID: "b", ExpectedVersion: pointerTo(1), Patch: json.RawMessage(`2`)}, Chosen, 2, "2"},
		"expected version is outdated":           {second, Change{ID: "c", ExpectedVersion: pointerTo(1), Patch: json.RawMessage(`3`)}, Conflict, 2, "2"},
		"expected version never existed":         {nil, Change{ID: "c", ExpectedVersion: pointerTo(4)}, Conflict, 0, ""},
		"repeated at once":                       {second, Change{ID: "b", Patch: json.RawMessage(`2`)}, AlreadyChosen, 2, "2"},
		"repeated after another change":          {second, Change{ID: "a", Patch: json.RawMessage(`1`)}, AlreadyChosen, 1, "2"},
		"rollback":                               {second, Change{ID: "d", Rollback: true}, Chosen, 3, "1"},
		"rollback of the first version":          {first, Change{ID: "d", Rollback: true}, NothingToRollBack, 1, "1"},
		"rollback of a key without a value":      {nil, Change{ID: "d", Rollback: true}, NothingToRollBack, 0, ""},
		"rollback, expected version is outdated": {second, Change{ID: "d", Rollback: true, ExpectedVersion: pointerTo(1)}, Conflict, 2, "2"},
	} {
		got, verdict, version := NextValue(c.current, &c.change)
		patch := ""
		if got != nil {
			patch = string(got.Patch)
		}
		if verdict != c.verdict || version != c.version || patch != c.patch {
			t.Errorf("%s: %s, version %d, patch %s", name, verdict, version, patch)
		}
	}
	v := first
	for i := range 3 * maxHistory {
		v, _, _ = NextValue(v, &Change{ID: fmt.Sprint(i)})
	}
	if len(v.History) != maxHistory {
		t.Errorf("history has %d changes", len(v.History))
	}
}
