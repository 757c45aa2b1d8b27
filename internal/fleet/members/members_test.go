package members

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/node"
	"canvasrouter/policy"
)

func started(t *testing.T, name string, number int, join ...netip.AddrPort) *Members {
	t.Helper()
	var err error
	for range 20 { // a port that is free for streams may be taken for datagrams
		var probe net.Listener
		if probe, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		at := probe.Addr().(*net.TCPAddr).AddrPort()
		probe.Close()
		own := Member{Name: name, Incarnation: transport.IncarnationID(number + 1), Number: number, Addr: at}
		var way *transport.Transport
		if way, err = transport.Open(transport.Options{Fleet: "test", Listen: at, Advertise: at, Incarnation: own.Incarnation, MaxBytesPerSecond: 1 << 16}, zerolog.Nop()); err != nil {
			continue
		}
		m, err := Start(Options{Self: own, FleetSize: 4, JoinAddrs: join}, way, node.NewClock(), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		way.Run()
		t.Cleanup(func() { m.Close(); way.Close() })
		return m
	}
	t.Fatal(err)
	return nil
}

// state is what a member knows of another, or "unknown".
func (m *Members) state(name string) string {
	_, all := m.View()
	for _, o := range all {
		if o.Name == name {
			return o.State.String()
		}
	}
	return "unknown"
}

func (m *Members) becomes(t *testing.T, name, want string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); m.state(name) != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s has %s as %s, not %s", m.options.Self.Name, name, m.state(name), want)
		}
	}
}

// One that leaves is told as left also where word of its going is there before its word that it leaves, and hears of it by others.
func TestLeftWhateverComesFirst(t *testing.T) {
	a := started(t, "a", 0)
	b := started(t, "b", 1, a.options.Self.Addr)
	c := started(t, "c", 2, a.options.Self.Addr)
	for _, m := range []*Members{a, b, c} {
		for _, name := range []string{"a", "b", "c"} {
			if name != m.options.Self.Name {
				m.becomes(t, name, "alive")
			}
		}
	}
	if err := b.list.Leave(time.Second); err != nil {
		t.Fatal(err)
	}
	a.becomes(t, "b", "dead")
	c.becomes(t, "b", "dead")
	(delegate{a}).NotifyMsg((&leaving{life: b.options.Self.Incarnation}).Message()) // a alone hears b's own word
	a.becomes(t, "b", "left")
	c.becomes(t, "b", "left")
	for a.leaving.NumQueued()+c.leaving.NumQueued() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	d := started(t, "d", 3, a.options.Self.Addr) // hears of b by exchanges alone: no word is on its way any more
	d.becomes(t, "c", "alive")
	d.tell(func(now policy.Micros) []Change {
		d.table.MemberAlive(now, Member{Name: "b", Incarnation: b.options.Self.Incarnation, Number: 1, Addr: b.options.Self.Addr})
		return d.table.MemberGone(now, b.options.Self.Incarnation, false)
	})
	d.becomes(t, "b", "left")
	d.Leave()
	c.Leave()
	a.becomes(t, "c", "left")
	a.becomes(t, "d", "left")
	if s := fmt.Sprint(a.AlivePeers()); s != "[]" {
		t.Errorf("there are %s", s)
	}
}

// A word that comes for the first time is passed on, whether by gossip or by an exchange, and once; exchanges tell it from then on.
func TestPassesOnOnce(t *testing.T) {
	m := &Members{table: NewTable(Member{Name: "own", Incarnation: 1}, 3), clock: node.NewClock(), log: zerolog.Nop()}
	m.leaving.NumNodes, m.leaving.RetransmitMult = func() int { return 3 }, 4
	m.table.MemberAlive(1, Member{Name: "n1", Incarnation: 2, Number: 1})
	m.table.MemberAlive(1, Member{Name: "n2", Incarnation: 3, Number: 2})
	d := delegate{m}
	if d.LocalState(false) != nil {
		t.Error("an exchange tells of one that leaves, and none does")
	}
	for i, step := range []struct {
		take   func()
		queued int
		told   []transport.IncarnationID
	}{
		{func() { d.NotifyMsg(leavingWord(2)) }, 1, []transport.IncarnationID{2}},
		{func() { d.NotifyMsg(leavingWord(2)) }, 1, []transport.IncarnationID{2}},
		{func() { d.MergeRemoteState(leavingWord(2, 3), false) }, 2, []transport.IncarnationID{2, 3}},
		{func() { d.MergeRemoteState(nil, false) }, 2, []transport.IncarnationID{2, 3}},
		{func() { d.NotifyMsg([]byte("spoilt")) }, 2, []transport.IncarnationID{2, 3}},
		{func() { d.NotifyMsg(leavingWord(9)) }, 2, []transport.IncarnationID{2, 3}}, // nobody knows it
	} {
		step.take()
		told, err := readLeaving(d.LocalState(false))
		if n := m.leaving.NumQueued(); n != step.queued || err != nil || !slices.Equal(told, step.told) {
			t.Errorf("step %d: %d to pass on, exchanges tell of %v, %v", i, n, told, err)
		}
	}
}
