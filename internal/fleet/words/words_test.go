package words

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/node"
)

func open(t *testing.T, life transport.IncarnationID) (*transport.Transport, netip.AddrPort) {
	t.Helper()
	for port := uint16(21000); port < 22000; port++ {
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), port)
		if w, err := transport.Open(transport.Options{Listen: at, Advertise: at, Incarnation: life, MaxBytesPerSecond: 1 << 20}, zerolog.Nop()); err == nil {
			t.Cleanup(w.Close)
			return w, at
		}
	}
	t.Fatal("no port is free")
	return nil, netip.AddrPort{}
}

// Words go in one batch to who has the number, the newest of them where too many wait; a full queue to one holds no other
// up; what comes late or in another form is thrown away.
func TestWords(t *testing.T) {
	a, _ := open(t, 1)
	b, to := open(t, 2)
	got := make(chan []byte, 10)
	busy := false
	hears := Start(b, nil, func(said []byte) bool {
		if !busy {
			got <- said
		}
		return !busy
	})
	defer hears.Close()
	b.Run()
	s := Start(a, func(number int) (netip.AddrPort, bool) { return to, number == 7 }, nil)
	defer s.Close()
	for i := range 100 {
		s.Send(8, node.PeerMessage{byte(i)}) // nobody
		s.Send(7, node.PeerMessage{byte(i), 1, 2})
	}
	s.Send(-1, node.PeerMessage{})
	s.Send(mostNumbers, node.PeerMessage{})
	select {
	case said := <-got:
		if len(said) != mostQueued*wordLen || said[0] != 100-mostQueued || said[len(said)-wordLen] != 99 {
			t.Errorf("%d bytes, from %d to %d", len(said), said[0], said[len(said)-wordLen])
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("nothing came: %+v", s.Counts())
	}
	for end := time.Now().Add(5 * time.Second); s.Counts().Sent == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if c := s.Counts(); c.Submitted != 200 || c.Evicted != 2*(100-mostQueued) || c.NoOwner != mostQueued || c.Sent != mostQueued {
		t.Errorf("told: %+v", c)
	}
	hears.take(to, &transport.Frame{Payload: []byte{formVersion, 1, 2, 3}}, stale+1)
	hears.take(to, &transport.Frame{Payload: []byte{formVersion + 1, 1, 2, 3}}, 0)
	hears.take(to, &transport.Frame{Payload: []byte{formVersion, 1, 2}}, 0)
	hears.take(to, &transport.Frame{}, 0)
	busy = true
	hears.take(to, &transport.Frame{Payload: []byte{formVersion, 1, 2, 3}}, 0)
	if c := hears.Counts(); c.Delivered != mostQueued || c.Stale != 1 || c.UnknownFormat != 3 || c.MailboxFull != 1 {
		t.Errorf("heard: %+v", c)
	}
	s.mu.Lock() // a process that was stopped goes on with what it had queued
	s.since = time.Now().Add(-2 * stale)
	s.mu.Unlock()
	if s.flush(7, nil, true); s.Counts().Sent != mostQueued {
		t.Error("old words were sent")
	}
}
