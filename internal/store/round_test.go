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
type world struct {
	rng       *rand.Rand
	disks     []Register
	way       []packet
	cut       func(a, b int) bool
	down      []bool
	lives     []int
	chosen    map[Version]*Value // of the one key
	told      map[string]Version // to whoever asked
	committed []map[Key]*Value
	fault     string
}

func newWorld(seed uint64, replicas int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 9)), disks: make([]Register, replicas), down: make([]bool, replicas), lives: make([]int, replicas),
		chosen: map[Version]*Value{}, told: map[string]Version{}, cut: func(int, int) bool { return false }}
	for range replicas {
		w.committed = append(w.committed, map[Key]*Value{})
	}
	return w
}

func (w *world) send(from, to int, deliver func()) { w.way = append(w.way, packet{from, to, deliver}) }

// step delivers one packet, drawn at random; some are lost, some come again later.
func (w *world) step() bool {
	if len(w.way) == 0 {
		return false
	}
	i := w.rng.IntN(len(w.way))
	m := w.way[i]
	w.way[i] = w.way[len(w.way)-1]
	w.way = w.way[:len(w.way)-1]
	if w.rng.IntN(12) == 0 {
		w.way = append(w.way, m)
	}
	if w.rng.IntN(10) > 0 && !w.down[m.to] && (m.from == m.to || !w.cut(m.from, m.to)) {
		m.deliver()
	}
	return true
}

// propose begins a round at a replica, with messages only; what a replica promises is on its disk at once.
func (w *world) propose(at int, c *Change) {
	if w.down[at] {
		return
	}
	life := w.lives[at]
	b := Ballot{Round: w.disks[at].Promised.Round + 1, Replica: at}
	r := NewRound(b, c, len(w.disks))
	alive := func() bool { return !w.down[at] && w.lives[at] == life }
	accept := func() {
		v := r.value
		for to := range w.disks {
			w.send(at, to, func() {
				p := w.disks[to].Accept(b, v)
				w.send(to, at, func() {
					if was := r.at; alive() {
						if r.HandleAcceptReply(to, p); was != done && r.at == done {
							w.choose(at, r)
						}
					}
				})
			})
		}
	}
	r.HandlePrepareReply(at, w.disks[at].Prepare(b)) // its own first, or the round's number could be used again
	for to := range w.disks {
		if to == at {
			continue
		}
		w.send(at, to, func() {
			p := w.disks[to].Prepare(b)
			w.send(to, at, func() {
				if was := r.at; alive() {
					if r.HandlePrepareReply(to, p); was == preparing && r.at == accepting {
						accept()
					}
				}
			})
		})
	}
	if r.at == accepting {
		accept()
	}
}

func (w *world) choose(at int, r *Round) {
	if r.value == nil {
		return
	}
	if was := w.chosen[r.value.Version]; was != nil && !Equal(was, r.value) {
		w.fault = fmt.Sprintf("version %d is %s and %s", r.value.Version, was.ID, r.value.ID)
	}
	w.chosen[r.value.Version] = r.value
	MergeNewer(w.committed[at], r.value)
	if r.verdict == Chosen || r.verdict == AlreadyChosen {
		if was, known := w.told[r.change.ID]; known && was != r.version {
			w.fault = fmt.Sprintf("%s was told as %d and %d", r.change.ID, was, r.version)
		}
		w.told[r.change.ID] = r.version
	}
}

// play runs one seed: changes from all sides with losses, cuts and new starts, then peace.
func play(seed uint64, replicas int) string {
	w := newWorld(seed, replicas)
	for i := range 40 {
		at := w.rng.IntN(replicas)
		c := &Change{Key: "all", ID: fmt.Sprintf("c%d", max(0, i-w.rng.IntN(mostPast/2))), Patch: json.RawMessage(fmt.Sprint(i))}
		if w.rng.IntN(3) == 0 {
			from := Version(w.rng.IntN(8))
			c.ExpectedVersion = &from
		}
		c.Patch = json.RawMessage(`"` + c.ID + `"`) // the same change says the same
		if v := w.committed[at]["all"]; v != nil && w.rng.IntN(4) == 0 {
			c.ExpectedVersion = &v.Version
		}
		w.propose(at, c)
		switch w.rng.IntN(12) {
		case 0:
			lonely := w.rng.IntN(replicas)
			w.cut = func(a, b int) bool { return a == lonely || b == lonely }
		case 1:
			w.cut = func(int, int) bool { return false }
		case 2:
			one := w.rng.IntN(replicas)
			w.down[one] = true
		case 3:
			for one := range w.down {
				if w.down[one] {
					w.down[one] = false
					w.lives[one]++
				}
			}
		}
		for range w.rng.IntN(30) {
			w.step()
		}
	}
	// Peace: what was told stands.
	w.cut = func(int, int) bool { return false }
	clear(w.down)
	var last *Round
	for try := 0; try < 50 && (last == nil || last.at != done); try++ {
		for w.step() {
		}
		never := Version(1 << 40)
		c := &Change{Key: "all", ID: "last", ExpectedVersion: &never}
		b := Ballot{Round: w.disks[0].Promised.Round + 1 + uint64(try), Replica: 0}
		last = NewRound(b, c, replicas)
		for to := range w.disks {
			last.HandlePrepareReply(to, w.disks[to].Prepare(b))
		}
		if last.at == accepting {
			for to := range w.disks {
				last.HandleAcceptReply(to, w.disks[to].Accept(b, last.value))
			}
		}
	}
	switch {
	case w.fault != "":
		return w.fault
	case last.at != done:
		return "no end in peace"
	case last.value == nil && len(w.told) > 0:
		return "all is lost"
	}
	// A version that only a minority accepted may stand in the past of a later one that was chosen: then it counts.
	history := map[Version]string{}
	note := func(v Version, id string) {
		if was, known := history[v]; known && was != id {
			w.fault = fmt.Sprintf("version %d is %s and %s", v, was, id)
		}
		history[v] = id
	}
	for _, v := range w.chosen {
		note(v.Version, v.ID)
		for _, p := range v.History {
			note(p.Version, p.ID)
		}
	}
	if w.fault != "" {
		return w.fault
	}
	for id, version := range w.told {
		if history[version] != id || version > last.value.Version {
			return fmt.Sprintf("%s was told as %d, which is %q; the last is %d", id, version, history[version], last.value.Version)
		}
	}
	for v := Version(1); last.value != nil && v <= last.value.Version; v++ {
		if c := w.chosen[v]; c != nil && v > 1 && w.chosen[v-1] != nil && string(c.PreviousPatch) != string(w.chosen[v-1].Patch) {
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
			if fault := play(seed, replicas); fault != "" {
				t.Fatalf("seed %d, %d replicas: %s", seed, replicas, fault)
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
	for i := range 3 * mostPast {
		v, _, _ = NextValue(v, &Change{ID: fmt.Sprint(i)})
	}
	if len(v.History) != mostPast {
		t.Errorf("%d past changes are kept", len(v.History))
	}
}
