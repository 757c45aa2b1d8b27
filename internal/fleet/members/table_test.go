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

// What is told of members, step by step: who is there, who has a number, what an operator is told.
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
		do     func() []Change
		want   string
		holder transport.IncarnationID // of number 1
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
		}, "", 11}, // itself
	} {
		if got := texts(step.do()); got != step.want {
			t.Errorf("step %d: %q, not %q", i, got, step.want)
		}
		if m, _ := table.Owner(1); m.Incarnation != step.holder {
			t.Errorf("step %d: number 1 is with %d, not %d", i, m.Incarnation, step.holder)
		}
	}
	// Asked are those to join by and those found dead, but not where somebody is, and not those that left.
	ask := table.JoinCandidates([]netip.AddrPort{addr(1), addr(4), addr(9)})
	if len(ask) != 1 || ask[0] != addr(9) {
		t.Errorf("asks %v", ask)
	}
	table.MemberGone(20, 14, false)
	if ask := table.JoinCandidates(nil); len(ask) != 1 || ask[0] != addr(4) {
		t.Errorf("asks %v", ask)
	}
	table.Expire(21 + keepGone)
	if all := table.All(); len(all) != 2 || len(table.AlivePeers()) != 2 {
		t.Errorf("kept %v", all)
	}
}

// Word that a member leaves and word of its going come in any order, and each is told once; nobody asks for one that left. What was
// told of it before its word does not take that back.
func TestLeavesInAnyOrder(t *testing.T) {
	for name, order := range map[string]string{"as said": "lg", "gone first": "gl", "told anew between": "lhg", "twice": "llggl", "gone, back, gone": "ghlg",
		"told of itself before": "slg", "told of itself, gone": "sgl"} {
		table := NewTable(Member{Name: "own", Incarnation: 1, Addr: addr(1)}, 3)
		of := Member{Name: "n1", Incarnation: 2, Number: 1, Addr: addr(2)}
		table.MemberAlive(1, of)
		news, left := 0, 0
		for i, what := range order {
			var changes []Change
			switch what {
			case 'l':
				var is bool
				if changes, is = table.LeaveAnnounced(2); is {
					news++
				}
			case 'g':
				changes = table.MemberGone(policy.Micros(i+2), 2, false)
			case 's':
				says := of
				says.leaves = true
				changes = table.MemberAlive(policy.Micros(i+2), says)
			case 'h':
				changes = table.MemberAlive(policy.Micros(i+2), of)
			}
			for _, c := range changes {
				if c.Text == "member has left" {
					left++
				}
			}
		}
		all := table.All()
		if news != 1 || left != 1 || len(all) != 1 || all[0].State != Left || len(table.JoinCandidates(nil)) != 0 {
			t.Errorf("%s: %d times news, %d times left, %+v, asks %v", name, news, left, all, table.JoinCandidates(nil))
		}
	}
	table := NewTable(Member{Name: "own", Incarnation: 1}, 3)
	for life := transport.IncarnationID(2); life < 9; life++ { // the latest are told first, and so many
		table.MemberAlive(policy.Micros(life), Member{Name: fmt.Sprint(life), Incarnation: life, Number: int(life)})
		table.MemberGone(policy.Micros(10+life), life, false)
		if life != 6 {
			table.LeaveAnnounced(life)
		}
	}
	if said := table.LeavingIncarnations(3); !slices.Equal(said, []transport.IncarnationID{8, 7, 5}) {
		t.Errorf("said of %v", said)
	}
	table = NewTable(Member{Name: "own", Incarnation: 1}, 3)
	if changes, news := table.LeaveAnnounced(7); news || len(changes) > 0 {
		t.Error("news of one that nobody knows")
	}
}

// However many come, so many are kept; those that are gone make room, those there don't.
func TestMostMembers(t *testing.T) {
	table := NewTable(Member{Name: "own", Incarnation: 1 << 40}, 1)
	for i := range mostMembers + 10 {
		table.MemberAlive(policy.Micros(i), Member{Name: fmt.Sprint("n", i), Incarnation: transport.IncarnationID(i + 1), Number: i})
	}
	if len(table.members) != mostMembers {
		t.Errorf("%d members", len(table.members))
	}
	table.MemberGone(1, 1, false)
	table.MemberAlive(2, Member{Name: "new", Incarnation: 1 << 41, Number: 5})
	if len(table.members) != mostMembers || table.members[1<<41] == nil || table.members[1] != nil {
		t.Errorf("%d members, the new one %v", len(table.members), table.members[1<<41])
	}
}

// What a member tells of itself comes back; anything shorter is refused, anything longer may be a newer version's.
func TestMeta(t *testing.T) {
	want := Member{Incarnation: 1<<63 + 5, Zone: 3, Number: 70_000, leaves: true}
	b := meta(&want)
	got := Member{}
	if err := readMeta(append(b, "more"...), &got); err != nil || got != want {
		t.Errorf("%v, %+v", err, got)
	}
	for n := range b {
		if readMeta(b[:n], &got) == nil {
			t.Errorf("%d bytes are understood", n)
		}
	}
	lives := []transport.IncarnationID{1<<63 + 5, 7}
	word := leavingWord(lives...)
	if got, err := readLeaving(word); err != nil || !slices.Equal(got, lives) {
		t.Errorf("%v, %d", err, got)
	}
	for n := range word {
		if got, err := readLeaving(word[:n]); (err == nil) != (n == 9) {
			t.Errorf("%d bytes of a word are %v", n, got)
		}
	}
	if _, err := readLeaving(leavingWord(make([]transport.IncarnationID, mostSaid+1)...)); err == nil {
		t.Error("a word of more than may be told is understood")
	}
}
