package members

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"canvasrouter/internal/fleet/transport"
	"canvasrouter/policy"
)

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 7946)
}

// Each step changes the table and checks which changes are reported and who owns a number. Afterwards the candidates for
// rejoining and the expiry of departed members are checked.
func TestTable(t *testing.T) {
	table := NewTable(Member{Name: "n0", Incarnation: 100, Number: 0, Addr: addr(1)}, 3)
	texts := func(changes []Change) string {
		var all []string
		for _, c := range changes {
			all = append(all, c.Text)
		}
		return strings.Join(all, "; ")
	}
	for i, step := range []struct {
		do    func() []Change
		want  string
		owner transport.IncarnationID // of number 1
	}{
		{func() []Change {
			return table.MemberAlive(1, Member{Name: "n1", Incarnation: 11, Number: 1, Addr: addr(2)})
		}, "member is there", 11},
		{func() []Change {
			return table.MemberAlive(2, Member{Name: "n1", Incarnation: 11, Number: 1, Addr: addr(2)})
		}, "", 11},
		{func() []Change {
			return table.MemberAlive(3, Member{Name: "n1", Incarnation: 12, Number: 1, Addr: addr(2)})
		}, "member is there; two processes have one name", 12},
		{func() []Change { return table.MemberGone(4, 11, false) }, "member is dead", 12},
		{func() []Change { return table.MemberGone(5, 11, false) }, "", 12},
		{func() []Change {
			return table.MemberAlive(6, Member{Name: "n2", Incarnation: 13, Number: 1, Addr: addr(3)})
		}, "member is there; two nodes have one number", 13},
		{func() []Change { changes, _ := table.LeaveAnnounced(13); return changes }, "", 13},
		{func() []Change { return table.MemberGone(7, 13, false) }, "member has left", 12},
		{func() []Change {
			return table.MemberAlive(8, Member{Name: "n7", Incarnation: 14, Number: 7, Addr: addr(4)})
		}, "member is there; number passes the nodes that the settings tell of", 12},
		{func() []Change { return table.MemberGone(9, 12, false) }, "member is dead", 0},
		{func() []Change {
			return table.MemberAlive(10, Member{Name: "n1", Incarnation: 11, Number: 1, Addr: addr(2)})
		}, "member is back", 11},
		{func() []Change {
			return table.MemberAlive(11, Member{Name: "n0", Incarnation: 15, Number: 0, Addr: addr(5)})
		}, "member is there; two processes have one name", 11},
		{func() []Change {
			return table.MemberAlive(12, Member{Name: "n0", Incarnation: 100, Number: 0, Addr: addr(1)})
		}, "", 11}, // the node itself
	} {
		if got := texts(step.do()); got != step.want {
			t.Errorf("step %d: %q, want %q", i, got, step.want)
		}
		if m, _ := table.Owner(1); m.Incarnation != step.owner {
			t.Errorf("step %d: number 1 is owned by %d, want %d", i, m.Incarnation, step.owner)
		}
	}
	// Candidates are the join addresses and dead members, but not addresses of alive members, nor members that left.
	candidates := table.JoinCandidates([]netip.AddrPort{addr(1), addr(4), addr(9)})
	if len(candidates) != 1 || candidates[0] != addr(9) {
		t.Errorf("join candidates %v", candidates)
	}
	table.MemberGone(20, 14, false)
	if candidates := table.JoinCandidates(nil); len(candidates) != 1 || candidates[0] != addr(4) {
		t.Errorf("join candidates %v", candidates)
	}
	table.Expire(21 + defaultDepartedRetention)
	if all := table.All(); len(all) != 2 || len(table.AlivePeers()) != 2 {
		t.Errorf("kept %v", all)
	}
}

// A member's leave message and the notice of its departure may arrive in any order: each is reported once, and no node tries to
// rejoin a member that left. Metadata from before the leave message does not take the announcement back.
func TestLeaveAndDepartureInAnyOrder(t *testing.T) {
	for name, order := range map[string]string{
		"message, departure":           "md",
		"departure, message":           "dm",
		"alive in between":             "mad",
		"duplicates":                   "mmddm",
		"departure, back, departure":   "damd",
		"metadata, message, departure": "tmd",
		"metadata, departure, message": "tdm",
	} {
		table := NewTable(Member{Name: "own", Incarnation: 1, Addr: addr(1)}, 3)
		member := Member{Name: "n1", Incarnation: 2, Number: 1, Addr: addr(2)}
		table.MemberAlive(1, member)
		newMessages := 0
		left := 0
		for i, event := range order {
			var changes []Change
			switch event {
			case 'm': // leave message
				var isNew bool
				if changes, isNew = table.LeaveAnnounced(2); isNew {
					newMessages++
				}
			case 'd': // departure
				changes = table.MemberGone(policy.Micros(i+2), 2, false)
			case 't': // metadata that announces the leave
				leaving := member
				leaving.leaving = true
				changes = table.MemberAlive(policy.Micros(i+2), leaving)
			case 'a': // alive, with the metadata from before
				changes = table.MemberAlive(policy.Micros(i+2), member)
			}
			for _, c := range changes {
				if c.Text == "member has left" {
					left++
				}
			}
		}
		all := table.All()
		if newMessages != 1 || left != 1 || len(all) != 1 || all[0].State != Left || len(table.JoinCandidates(nil)) != 0 {
			t.Errorf("%s: %d new messages, reported as left %d times, %+v, join candidates %v", name, newMessages, left, all, table.JoinCandidates(nil))
		}
	}
	table := NewTable(Member{Name: "own", Incarnation: 1}, 3)
	for incarnation := transport.IncarnationID(2); incarnation < 9; incarnation++ { // the latest come first, up to the limit
		table.MemberAlive(policy.Micros(incarnation), Member{Name: fmt.Sprint(incarnation), Incarnation: incarnation, Number: int(incarnation)})
		table.MemberGone(policy.Micros(10+incarnation), incarnation, false)
		if incarnation != 6 {
			table.LeaveAnnounced(incarnation)
		}
	}
	if leaving := table.LeavingIncarnations(3); !slices.Equal(leaving, []transport.IncarnationID{8, 7, 5}) {
		t.Errorf("leaving incarnations %v", leaving)
	}
	table = NewTable(Member{Name: "own", Incarnation: 1}, 3)
	if changes, isNew := table.LeaveAnnounced(7); isNew || len(changes) > 0 {
		t.Error("the leave message of an unknown member counts as new")
	}
}

// The table never exceeds maxMembers. A new member replaces a departed one, but not one that is alive.
func TestMaxMembers(t *testing.T) {
	table := NewTable(Member{Name: "own", Incarnation: 1 << 40}, 1)
	for i := range maxMembers + 10 {
		table.MemberAlive(policy.Micros(i), Member{Name: fmt.Sprint("n", i), Incarnation: transport.IncarnationID(i + 1), Number: i})
	}
	if len(table.members) != maxMembers {
		t.Errorf("%d members", len(table.members))
	}
	table.MemberGone(1, 1, false)
	table.MemberAlive(2, Member{Name: "new", Incarnation: 1 << 41, Number: 5})
	if len(table.members) != maxMembers || table.members[1<<41] == nil || table.members[1] != nil {
		t.Errorf("%d members, the new one is %v", len(table.members), table.members[1<<41])
	}
}

// Metadata and leave messages survive encoding and decoding. Truncated ones are rejected, as are leave messages of more members
// than allowed; metadata may be longer, as in newer versions.
func TestEncodings(t *testing.T) {
	want := Member{Incarnation: 1<<63 + 5, Zone: 3, Number: 70_000, leaving: true}
	metadata := encodeMetadata(&want)
	got := Member{}
	if err := decodeMetadata(append(metadata, "more"...), &got); err != nil || got != want {
		t.Errorf("%v, %+v", err, got)
	}
	for n := range metadata {
		if decodeMetadata(metadata[:n], &got) == nil {
			t.Errorf("metadata truncated to %d bytes is decoded", n)
		}
	}
	incarnations := []transport.IncarnationID{1<<63 + 5, 7}
	message := encodeLeave(incarnations...)
	if got, err := decodeLeave(message); err != nil || !slices.Equal(got, incarnations) {
		t.Errorf("%v, %d", err, got)
	}
	for n := range message {
		if got, err := decodeLeave(message[:n]); (err == nil) != (n == 9) {
			t.Errorf("a leave message truncated to %d bytes is decoded as %v", n, got)
		}
	}
	if _, err := decodeLeave(encodeLeave(make([]transport.IncarnationID, maxLeavesPerExchange+1)...)); err == nil {
		t.Error("a leave message of more members than allowed is decoded")
	}
}
