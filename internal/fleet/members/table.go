// Package members keeps the membership of the fleet: which nodes are alive, dead or have left, and which node owns a number.
// Table holds the rules and does no I/O. Members runs them on hashicorp/memberlist, over the fleet's own transport.
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
	Alive State = iota // includes suspected members: memberlist reports no suspicion
	Left               // announced that it leaves, and is gone
	Dead               // was found dead without an announcement
)

func (s State) String() string { return [...]string{"alive", "left", "dead"}[s] }

// reachable reports whether messages can be sent to a member in this state.
func (s State) reachable() bool { return s == Alive }

// Member is one incarnation of a node.
type Member struct {
	Name           string
	Incarnation    transport.IncarnationID
	Zone           uint8
	Number         int // of the node among those of its tier
	Addr           netip.AddrPort
	State          State
	Since          policy.Micros // when this node learned of the state
	leaving        bool          // the member has announced that it leaves
	leaveForwarded bool          // its leave message has arrived here and was forwarded
	joinOrder      uint64        // position among the joins that this node has seen
}

// memberID returns the unique name of an incarnation, under which memberlist knows it.
func memberID(name string, incarnation transport.IncarnationID) string {
	return fmt.Sprintf("%s/%016x", name, uint64(incarnation))
}

const metadataVersion = 1

// encodeMetadata encodes what a member publishes besides its name and address: version, zone, number, incarnation, and
// whether it is leaving.
func encodeMetadata(m *Member) []byte {
	b := []byte{metadataVersion, m.Zone}
	b = binary.BigEndian.AppendUint32(b, uint32(m.Number))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Incarnation))
	if m.leaving {
		return append(b, 1)
	}
	return append(b, 0)
}

var errMalformed = errors.New("members: malformed metadata or leave message")

// decodeMetadata decodes the metadata of a member. It ignores further bytes, which newer versions may add.
func decodeMetadata(b []byte, m *Member) error {
	if len(b) < 15 || b[0] < metadataVersion {
		return errMalformed
	}
	m.leaving = b[14] == 1
	m.Zone = b[1]
	m.Number = int(binary.BigEndian.Uint32(b[2:]))
	m.Incarnation = transport.IncarnationID(binary.BigEndian.Uint64(b[6:]))
	return nil
}

const (
	// maxMembers is the number of members kept, departed ones included. Further ones are ignored.
	maxMembers = 2048
	// defaultDepartedRetention is how long a member that left or died is kept, so that it can be asked whether it is back.
	defaultDepartedRetention = 10 * 60 * policy.Second
)

// Change is a change of the membership that an operator may act on.
type Change struct {
	Text          string
	Member        Member
	ConflictsWith string // ID of another member, or the setting that the member contradicts; empty if there is no conflict
}

// Table holds the known members. It is not safe for concurrent use.
type Table struct {
	self              Member
	fleetSize         int // by the settings: numbers are below it
	members           map[transport.IncarnationID]*Member
	joinCount         uint64
	byNumber          map[int][]*Member          // alive members, the one that joined last first
	lastAt            map[netip.AddrPort]*Member // the alive member that joined last at an address
	departedRetention policy.Micros
}

// NewTable returns a table without members besides the node itself, for the fleet size that the settings give.
func NewTable(self Member, fleetSize int) *Table {
	return &Table{
		self:              self,
		fleetSize:         fleetSize,
		members:           make(map[transport.IncarnationID]*Member),
		byNumber:          make(map[int][]*Member),
		lastAt:            make(map[netip.AddrPort]*Member),
		departedRetention: defaultDepartedRetention,
	}
}

// MemberAlive records that a member is alive, with the data that it publishes.
func (t *Table) MemberAlive(now policy.Micros, m Member) (changes []Change) {
	if m.Incarnation == t.self.Incarnation {
		return nil
	}
	known := t.members[m.Incarnation]
	if known == nil {
		if len(t.members) >= maxMembers && !t.evictDeparted() {
			return nil
		}
		known = &Member{}
		t.members[m.Incarnation] = known
		known.State = Dead // so that the member counts as arriving below
	}
	before := *known
	m.joinOrder = before.joinOrder
	m.Since = before.Since
	m.leaving = m.leaving || before.leaving
	m.leaveForwarded = before.leaveForwarded
	if m.State != before.State || m.Since == 0 {
		m.Since = now
	}
	if !before.State.reachable() {
		t.joinCount++
		m.joinOrder = t.joinCount
		changes = append(changes, t.arrivalChanges(&m, before.Incarnation != 0)...)
	}
	*known = m
	if len(changes) > 0 || m.Number != before.Number {
		t.updateOwners(before.Number)
		t.updateOwners(m.Number)
	}
	if len(changes) > 0 || m.Addr != before.Addr {
		t.updateLastAt(before.Addr)
		t.updateLastAt(m.Addr)
	}
	return changes
}

// arrivalChanges returns what to report of a member that has arrived: the arrival itself and conflicts with other members or
// the settings.
func (t *Table) arrivalChanges(m *Member, returning bool) []Change {
	text := "member is there"
	if returning {
		text = "member is back"
	}
	changes := []Change{{Text: text, Member: *m}}
	if m.Number >= t.fleetSize {
		changes = append(changes, Change{Text: "number passes the nodes that the settings tell of", Member: *m,
			ConflictsWith: fmt.Sprintf("fleet_size %d", t.fleetSize)})
	}
	// One conflicting member is enough to report. Where all have the same name, a log line for each pair would fill the log.
	for _, conflict := range []struct {
		text    string
		matches func(*Member) bool
	}{
		{"two processes have one name", func(other *Member) bool { return other.Name == m.Name }},
		{"two nodes have one number", func(other *Member) bool { return other.Name != m.Name && other.Number == m.Number }},
	} {
		if others := t.reachable(func(other *Member) bool { return other.Incarnation != m.Incarnation && conflict.matches(other) }); len(others) > 0 {
			changes = append(changes, Change{Text: conflict.text, Member: *m, ConflictsWith: memberID(others[0].Name, others[0].Incarnation)})
		}
	}
	if t.self.Name == m.Name {
		changes = append(changes, Change{Text: "two processes have one name", Member: *m, ConflictsWith: memberID(t.self.Name, t.self.Incarnation)})
	} else if t.self.Number == m.Number {
		changes = append(changes, Change{Text: "two nodes have one number", Member: *m, ConflictsWith: memberID(t.self.Name, t.self.Incarnation)})
	}
	return changes
}

// reachable returns the reachable members that accept matches, ordered by name.
func (t *Table) reachable(accept func(*Member) bool) (all []*Member) {
	for _, m := range t.members {
		if m.State.reachable() && accept(m) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, compareByName)
	return all
}

func compareByName(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// MemberGone records that a member is gone: it has left if it announced that, now or before, and else it is dead.
func (t *Table) MemberGone(now policy.Micros, incarnation transport.IncarnationID, announced bool) []Change {
	m := t.members[incarnation]
	if m == nil || !m.State.reachable() {
		return nil
	}
	m.State = Dead
	m.Since = now
	m.leaving = m.leaving || announced
	if m.leaving {
		m.State = Left
	}
	t.updateOwners(m.Number)
	t.updateLastAt(m.Addr)
	return []Change{{Text: "member " + map[State]string{Left: "has left", Dead: "is dead"}[m.State], Member: *m}}
}

// LeavingIncarnations returns at most limit incarnations whose leave message has arrived, the latest first.
func (t *Table) LeavingIncarnations(limit int) (incarnations []transport.IncarnationID) {
	var all []*Member
	for _, m := range t.members {
		if m.leaveForwarded {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(b.Since, a.Since), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, m := range all[:min(limit, len(all))] {
		incarnations = append(incarnations, m.Incarnation)
	}
	return incarnations
}

// LeaveAnnounced records that the leave message of a member has arrived. It returns isNew for the first one, which the caller
// forwards, even if the member's metadata has announced the same before. Notice of the departure may arrive first by another
// path: a node that took the member for dead would then try to rejoin it for as long as departed members are kept.
func (t *Table) LeaveAnnounced(incarnation transport.IncarnationID) (changes []Change, isNew bool) {
	m := t.members[incarnation]
	if m == nil || m.leaveForwarded {
		return nil, false
	}
	m.leaving = true
	m.leaveForwarded = true
	if m.State == Dead {
		m.State = Left
		changes = append(changes, Change{Text: "member has left", Member: *m})
	}
	return changes, true
}

// Expire drops members that have been gone for longer than departedRetention.
func (t *Table) Expire(now policy.Micros) {
	for incarnation, m := range t.members {
		if !m.State.reachable() && now-m.Since > t.departedRetention {
			delete(t.members, incarnation)
		}
	}
}

// evictDeparted drops the member that has been gone for longest and reports whether there was one.
func (t *Table) evictDeparted() bool {
	var oldest *Member
	for _, m := range t.members {
		if !m.State.reachable() && (oldest == nil || m.Since < oldest.Since || m.Since == oldest.Since && m.Incarnation < oldest.Incarnation) {
			oldest = m
		}
	}
	if oldest != nil {
		delete(t.members, oldest.Incarnation)
	}
	return oldest != nil
}

// updateOwners updates the members that have a number. If several have it, the one that joined last comes first: a process that
// was killed is found dead only after its replacement has joined.
func (t *Table) updateOwners(number int) {
	owners := t.reachable(func(m *Member) bool { return m.Number == number })
	if len(owners) == 0 {
		delete(t.byNumber, number)
		return
	}
	slices.SortFunc(owners, func(a, b *Member) int { return cmp.Compare(b.joinOrder, a.joinOrder) })
	t.byNumber[number] = owners
}

// updateLastAt updates the member that messages to an address reach.
func (t *Table) updateLastAt(addr netip.AddrPort) {
	delete(t.lastAt, addr)
	for _, m := range t.reachable(func(m *Member) bool { return m.Addr == addr }) {
		if last := t.lastAt[addr]; last == nil || m.joinOrder > last.joinOrder {
			t.lastAt[addr] = m
		}
	}
}

// Owner returns the member that messages to a number go to, if any member has the number. A member at whose address another one
// has joined since is passed over: it is gone, though not found dead yet, and the other would take messages to it for its own.
func (t *Table) Owner(number int) (Member, bool) {
	for _, owner := range t.byNumber[number] {
		if t.lastAt[owner.Addr] == owner {
			return *owner, true
		}
	}
	return Member{}, false
}

// AlivePeers returns all members that are alive, without the node itself, ordered by name.
func (t *Table) AlivePeers() (all []Member) {
	for _, m := range t.reachable(func(*Member) bool { return true }) {
		all = append(all, *m)
	}
	return all
}

// All returns all members that are kept, without the node itself, ordered by name.
func (t *Table) All() (all []Member) {
	for _, m := range t.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return compareByName(&a, &b) })
	return all
}

// Self returns the node itself.
func (t *Table) Self() Member { return t.self }

// JoinCandidates returns the addresses at which a member may have to be found again: the configured join addresses and those
// of members that died without leaving, except where an alive member has the address now.
func (t *Table) JoinCandidates(joinAddrs []netip.AddrPort) (candidates []netip.AddrPort) {
	excluded := map[netip.AddrPort]bool{t.self.Addr: true}
	for _, m := range t.members {
		if m.State.reachable() {
			excluded[m.Addr] = true
		}
	}
	add := func(addr netip.AddrPort) {
		if !excluded[addr] {
			excluded[addr] = true
			candidates = append(candidates, addr)
		}
	}
	for _, addr := range joinAddrs {
		add(addr)
	}
	for _, m := range t.All() {
		if m.State == Dead {
			add(m.Addr)
		}
	}
	return candidates
}
