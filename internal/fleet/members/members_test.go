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

// startMember starts a member on a free loopback port.
func startMember(t *testing.T, name string, number int, joinAddrs ...netip.AddrPort) *Members {
	t.Helper()
	var err error
	for range 20 { // a port that is free for TCP may be taken for UDP
		var probe net.Listener
		if probe, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		addr := probe.Addr().(*net.TCPAddr).AddrPort()
		probe.Close()
		self := Member{Name: name, Incarnation: transport.IncarnationID(number + 1), Number: number, Addr: addr}
		var opened *transport.Transport
		if opened, err = transport.Open(transport.Options{Fleet: "test", Listen: addr, Advertise: addr, Incarnation: self.Incarnation, MaxBytesPerSecond: 1 << 16}, zerolog.Nop()); err != nil {
			continue
		}
		m, err := Start(Options{Self: self, FleetSize: 4, JoinAddrs: joinAddrs}, opened, node.NewClock(), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		opened.Run()
		t.Cleanup(func() {
			m.Close()
			opened.Close()
		})
		return m
	}
	t.Fatal(err)
	return nil
}

// stateOf returns the state in which m has another member, or "unknown".
func (m *Members) stateOf(name string) string {
	_, all := m.View()
	for _, other := range all {
		if other.Name == name {
			return other.State.String()
		}
	}
	return "unknown"
}

// waitForState waits until m has another member in the wanted state.
func (m *Members) waitForState(t *testing.T, name, want string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); m.stateOf(name) != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s has %s as %s, want %s", m.options.Self.Name, name, m.stateOf(name), want)
		}
	}
}

// A member that leaves becomes known as left even where notice of its departure arrives before its leave message, and where
// the message comes from another member.
func TestLeaveMessageAfterDeparture(t *testing.T) {
	a := startMember(t, "a", 0)
	b := startMember(t, "b", 1, a.options.Self.Addr)
	c := startMember(t, "c", 2, a.options.Self.Addr)
	for _, m := range []*Members{a, b, c} {
		for _, name := range []string{"a", "b", "c"} {
			if name != m.options.Self.Name {
				m.waitForState(t, name, "alive")
			}
		}
	}
	if err := b.gossip.Leave(time.Second); err != nil {
		t.Fatal(err)
	}
	a.waitForState(t, "b", "dead")
	c.waitForState(t, "b", "dead")
	// Only a receives the message of b.
	(delegate{a}).NotifyMsg((&leaveBroadcast{incarnation: b.options.Self.Incarnation}).Message())
	a.waitForState(t, "b", "left")
	c.waitForState(t, "b", "left")
	for a.leaveBroadcasts.NumQueued()+c.leaveBroadcasts.NumQueued() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	d := startMember(t, "d", 3, a.options.Self.Addr) // learns of b through state exchanges only, as no broadcast is left
	d.waitForState(t, "c", "alive")
	d.applyChange(func(now policy.Micros) []Change {
		d.table.MemberAlive(now, Member{Name: "b", Incarnation: b.options.Self.Incarnation, Number: 1, Addr: b.options.Self.Addr})
		return d.table.MemberGone(now, b.options.Self.Incarnation, false)
	})
	d.waitForState(t, "b", "left")
	d.Leave()
	c.Leave()
	a.waitForState(t, "c", "left")
	a.waitForState(t, "d", "left")
	if peers := fmt.Sprint(a.AlivePeers()); peers != "[]" {
		t.Errorf("alive peers are %s", peers)
	}
}

// A leave message that is new is forwarded once, whether it arrives by gossip or in a state exchange, and is part of the
// node's own state exchanges from then on.
func TestLeaveForwardedOnce(t *testing.T) {
	m := &Members{table: NewTable(Member{Name: "own", Incarnation: 1}, 3), clock: node.NewClock(), log: zerolog.Nop()}
	m.leaveBroadcasts.NumNodes = func() int { return 3 }
	m.leaveBroadcasts.RetransmitMult = 4
	m.table.MemberAlive(1, Member{Name: "n1", Incarnation: 2, Number: 1})
	m.table.MemberAlive(1, Member{Name: "n2", Incarnation: 3, Number: 2})
	d := delegate{m}
	if d.LocalState(false) != nil {
		t.Error("a state exchange has a leave message although no member leaves")
	}
	for i, step := range []struct {
		receive   func()
		queued    int
		exchanged []transport.IncarnationID
	}{
		{func() { d.NotifyMsg(encodeLeave(2)) }, 1, []transport.IncarnationID{2}},
		{func() { d.NotifyMsg(encodeLeave(2)) }, 1, []transport.IncarnationID{2}},
		{func() { d.MergeRemoteState(encodeLeave(2, 3), false) }, 2, []transport.IncarnationID{2, 3}},
		{func() { d.MergeRemoteState(nil, false) }, 2, []transport.IncarnationID{2, 3}},
		{func() { d.NotifyMsg([]byte("spoilt")) }, 2, []transport.IncarnationID{2, 3}},
		{func() { d.NotifyMsg(encodeLeave(9)) }, 2, []transport.IncarnationID{2, 3}}, // not a known member
	} {
		step.receive()
		exchanged, err := decodeLeave(d.LocalState(false))
		if n := m.leaveBroadcasts.NumQueued(); n != step.queued || err != nil || !slices.Equal(exchanged, step.exchanged) {
			t.Errorf("step %d: %d messages queued, %v in state exchanges, %v", i, n, exchanged, err)
		}
	}
}
