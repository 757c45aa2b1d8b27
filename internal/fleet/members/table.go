// Package members keeps who is there: alive, suspect, left, dead, back as another life. The table and its rules are
// pure; the actor wraps hashicorp/memberlist, whose ways are ours.
package members

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"canvasrouter/internal/fleet/transport"
	"canvasrouter/policy"
)

// State is what is known of a member.
type State uint8

const (
	Alive State = iota // those that are suspected are alive until they are found dead: the library tells no more
	Left               // it said so
	Dead               // it was found so
)

func (s State) String() string { return [...]string{"alive", "left", "dead"}[s] }

// there says that a member may be spoken to.
func (s State) there() bool { return s == Alive }

// Member is one life of a node.
type Member struct {
	Name        string
	Incarnation transport.IncarnationID
	Zone        uint8
	Number      int // of the node among those of its tier
	Addr        netip.AddrPort
	State       State
	Since       policy.Micros // of this state, here
	leaves      bool          // it has said that it leaves
	passed      bool          // its word of that has come here, and was passed on
	joined      uint64        // counts joins, as seen here
}

// id is a member's name among the members: one life has one, for good.
func id(name string, life transport.IncarnationID) string {
	return fmt.Sprintf("%s/%016x", name, uint64(life))
}

const metaVersion = 1

// meta is what a member tells of itself beside its name and address: version, zone, number, life, whether it leaves.
func meta(m *Member) []byte {
	b := []byte{metaVersion, m.Zone}
	b = binary.BigEndian.AppendUint32(b, uint32(m.Number))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Incarnation))
	if m.leaves {
		return append(b, 1)
	}
	return append(b, 0)
}

var errMeta = errors.New("members: what a member tells of itself is not understood")

// readMeta takes it apart. A newer version may have more behind.
func readMeta(b []byte, m *Member) error {
	if len(b) < 15 || b[0] < metaVersion {
		return errMeta
	}
	m.leaves = b[14] == 1
	m.Zone, m.Number, m.Incarnation = b[1], int(binary.BigEndian.Uint32(b[2:])), transport.IncarnationID(binary.BigEndian.Uint64(b[6:]))
	return nil
}

const (
	// mostMembers are kept, those that are gone among them; what would be more is passed over.
	mostMembers = 2048
	// keepGone is how long one that is gone is kept, to be asked whether it is back.
	keepGone = 10 * 60 * policy.Second
)

// Change is what an operator may act on.
type Change struct {
	Text          string
	Member        Member
	ConflictsWith string // the life that it stands beside
}

// Table is who is there. It is told and read by one goroutine at a time.
type Table struct {
	own     Member
	nodes   int // that the settings tell of: numbers are under it
	members map[transport.IncarnationID]*Member
	joins   uint64
	numbers map[int][]*Member // those there, by number; who joined last is first
	keep    policy.Micros     // how long one that is gone is kept
}

// NewTable begins with the node itself, and how many nodes its settings tell of.
func NewTable(own Member, nodes int) *Table {
	return &Table{own: own, nodes: nodes, members: make(map[transport.IncarnationID]*Member), numbers: make(map[int][]*Member), keep: keepGone}
}

// Heard says that a member is there.
func (t *Table) MemberAlive(now policy.Micros, m Member) (changes []Change) {
	if m.Incarnation == t.own.Incarnation {
		return nil
	}
	known := t.members[m.Incarnation]
	if known == nil {
		if len(t.members) >= mostMembers && !t.room() {
			return nil
		}
		known = &Member{}
		t.members[m.Incarnation] = known
		known.State = Dead
	}
	was := *known
	m.joined, m.Since, m.leaves, m.passed = was.joined, was.Since, m.leaves || was.leaves, was.passed
	if m.State != was.State || m.Since == 0 {
		m.Since = now
	}
	if !was.State.there() {
		t.joins++
		m.joined = t.joins
		changes = append(changes, t.arrived(&m, was.Incarnation != 0)...)
	}
	*known = m
	if len(changes) > 0 || m.Number != was.Number {
		t.order(was.Number)
		t.order(m.Number)
	}
	return changes
}

// arrived is what there is to say of one that has come.
func (t *Table) arrived(m *Member, before bool) []Change {
	text := "member is there"
	if before {
		text = "member is back"
	}
	changes := []Change{{Text: text, Member: *m}}
	if m.Number >= t.nodes {
		changes = append(changes, Change{Text: "number passes the nodes that the settings tell of", Member: *m,
			ConflictsWith: fmt.Sprintf("fleet_size %d", t.nodes)})
	}
	// One that it clashes with is enough to tell. Danger: where all have one name, a line for each pair would fill the log.
	for _, same := range []struct {
		text string
		is   func(*Member) bool
	}{
		{"two processes have one name", func(o *Member) bool { return o.Name == m.Name }},
		{"two nodes have one number", func(o *Member) bool { return o.Name != m.Name && o.Number == m.Number }},
	} {
		if all := t.there(func(o *Member) bool { return o.Incarnation != m.Incarnation && same.is(o) }); len(all) > 0 {
			changes = append(changes, Change{Text: same.text, Member: *m, ConflictsWith: id(all[0].Name, all[0].Incarnation)})
		}
	}
	if t.own.Name == m.Name {
		changes = append(changes, Change{Text: "two processes have one name", Member: *m, ConflictsWith: id(t.own.Name, t.own.Incarnation)})
	} else if t.own.Number == m.Number {
		changes = append(changes, Change{Text: "two nodes have one number", Member: *m, ConflictsWith: id(t.own.Name, t.own.Incarnation)})
	}
	return changes
}

// there gives those that are, by a rule, in the order of their names.
func (t *Table) there(which func(*Member) bool) (all []*Member) {
	for _, m := range t.members {
		if m.State.there() && which(m) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, byName)
	return all
}

func byName(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Gone says that a member was found dead, or has left if it said so, now or before.
func (t *Table) MemberGone(now policy.Micros, life transport.IncarnationID, said bool) []Change {
	m := t.members[life]
	if m == nil || !m.State.there() {
		return nil
	}
	m.State, m.Since = Dead, now
	if m.leaves = m.leaves || said; m.leaves {
		m.State = Left
	}
	t.order(m.Number)
	return []Change{{Text: "member " + map[State]string{Left: "has left", Dead: "is dead"}[m.State], Member: *m}}
}

// Said gives the lives whose word has come that they leave, the latest first and so many at the most.
func (t *Table) LeavingIncarnations(most int) (lives []transport.IncarnationID) {
	var all []*Member
	for _, m := range t.members {
		if m.passed {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(b.Since, a.Since), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, m := range all[:min(most, len(all))] {
		lives = append(lives, m.Incarnation)
	}
	return lives
}

// Leaves says that a member's word has come that it leaves. News is whether it comes for the first time: then it is passed on, also where
// what the member tells of itself has said as much. Danger: word of its going may come first, by another way, and who takes it for
// dead asks for it for as long as those gone are kept.
func (t *Table) LeaveAnnounced(life transport.IncarnationID) (changes []Change, news bool) {
	m := t.members[life]
	if m == nil || m.passed {
		return nil, false
	}
	m.leaves, m.passed = true, true
	if m.State == Dead {
		m.State = Left
		changes = append(changes, Change{Text: "member has left", Member: *m})
	}
	return changes, true
}

// Forget lets those go that are gone for long.
func (t *Table) Expire(now policy.Micros) {
	for life, m := range t.members {
		if !m.State.there() && now-m.Since > t.keep {
			delete(t.members, life)
		}
	}
}

// room lets the one go that is gone for longest, if any is.
func (t *Table) room() bool {
	var oldest *Member
	for _, m := range t.members {
		if !m.State.there() && (oldest == nil || m.Since < oldest.Since || m.Since == oldest.Since && m.Incarnation < oldest.Incarnation) {
			oldest = m
		}
	}
	if oldest != nil {
		delete(t.members, oldest.Incarnation)
	}
	return oldest != nil
}

// order puts those that are there and have a number in order. Where two have one number, the one that joined last is first: a
// process that was killed is found dead only after the one that took its place has come.
func (t *Table) order(number int) {
	all := t.there(func(m *Member) bool { return m.Number == number })
	if len(all) == 0 {
		delete(t.numbers, number)
		return
	}
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Compare(b.joined, a.joined) })
	t.numbers[number] = all
}

// Holder is whom a word to a number goes to, if anybody has it.
func (t *Table) Owner(number int) (Member, bool) {
	if all := t.numbers[number]; len(all) > 0 {
		return *all[0], true
	}
	return Member{}, false
}

// There gives all that are there, by name, without the node itself.
func (t *Table) AlivePeers() (all []Member) {
	for _, m := range t.there(func(*Member) bool { return true }) {
		all = append(all, *m)
	}
	return all
}

// All gives all that are kept, by name, without the node itself.
func (t *Table) All() (all []Member) {
	for _, m := range t.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return byName(&a, &b) })
	return all
}

// Own is the node itself.
func (t *Table) Self() Member { return t.own }

// Ask gives the addresses that may be asked whether somebody is there: those to join by, and of members that are gone and
// did not say that they leave, but for those where somebody else is now.
func (t *Table) JoinCandidates(join []netip.AddrPort) (all []netip.AddrPort) {
	taken := map[netip.AddrPort]bool{t.own.Addr: true}
	for _, m := range t.members {
		if m.State.there() {
			taken[m.Addr] = true
		}
	}
	add := func(a netip.AddrPort) {
		if !taken[a] {
			taken[a] = true
			all = append(all, a)
		}
	}
	for _, a := range join {
		add(a)
	}
	for _, m := range t.All() {
		if m.State == Dead {
			add(m.Addr)
		}
	}
	return all
}
