package peermsg

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"canvasrouter/internal/fleet/members"
	"canvasrouter/internal/fleet/transport"
	"canvasrouter/internal/node"
)

// openTransport opens a transport on a free port of a loopback address.
func openTransport(t *testing.T, incarnation transport.IncarnationID) (*transport.Transport, netip.AddrPort) {
	t.Helper()
	for port := uint16(21000); port < 22000; port++ {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), port)
		if opened, err := transport.Open(transport.Options{Listen: addr, Advertise: addr, Incarnation: incarnation, MaxBytesPerSecond: 1 << 20}, zerolog.Nop()); err == nil {
			t.Cleanup(opened.Close)
			return opened, addr
		}
	}
	t.Fatal("no port is free")
	return nil, netip.AddrPort{}
}

// Messages go in one batch to the owner of the number, the newest of them if the queue overflows. A full queue to one number
// does not delay the others. Stale messages and unknown formats are dropped.
func TestMessenger(t *testing.T) {
	senderTransport, _ := openTransport(t, 1)
	receiverTransport, receiverAddr := openTransport(t, 2)
	received := make(chan []byte, 10)
	busy := false
	receiver := Start(receiverTransport, nil, func(messages []byte) bool {
		if !busy {
			received <- messages
		}
		return !busy
	})
	defer receiver.Close()
	receiverTransport.Run()
	sender := Start(senderTransport, func(number int) (netip.AddrPort, bool) { return receiverAddr, number == 7 }, nil)
	defer sender.Close()
	for i := range 100 {
		sender.Send(8, node.PeerMessage{byte(i)}) // has no owner
		sender.Send(7, node.PeerMessage{byte(i), 1, 2})
	}
	sender.Send(-1, node.PeerMessage{})
	sender.Send(maxNodeNumbers, node.PeerMessage{})
	select {
	case messages := <-received:
		if len(messages) != maxQueued*messageSize || messages[0] != 100-maxQueued || messages[len(messages)-messageSize] != 99 {
			t.Errorf("received %d bytes, from message %d to %d", len(messages), messages[0], messages[len(messages)-messageSize])
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("nothing was received: %+v", sender.Counts())
	}
	for end := time.Now().Add(5 * time.Second); sender.Counts().Sent == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if c := sender.Counts(); c.Submitted != 200 || c.Evicted != 2*(100-maxQueued) || c.NoOwner != maxQueued || c.Sent != maxQueued {
		t.Errorf("sender: %+v", c)
	}
	receiver.receive(receiverAddr, &transport.Frame{Payload: []byte{formatVersion, 1, 2, 3}}, maxDelay+1)
	receiver.receive(receiverAddr, &transport.Frame{Payload: []byte{formatVersion + 1, 1, 2, 3}}, 0)
	receiver.receive(receiverAddr, &transport.Frame{Payload: []byte{formatVersion, 1, 2}}, 0)
	receiver.receive(receiverAddr, &transport.Frame{}, 0)
	busy = true
	receiver.receive(receiverAddr, &transport.Frame{Payload: []byte{formatVersion, 1, 2, 3}}, 0)
	if c := receiver.Counts(); c.Delivered != maxQueued || c.Stale != 1 || c.UnknownFormat != 3 || c.MailboxFull != 1 {
		t.Errorf("receiver: %+v", c)
	}
	// A process that was suspended resumes with the messages queued before.
	sender.mu.Lock()
	sender.oldestSince = time.Now().Add(-2 * maxDelay)
	sender.mu.Unlock()
	if sender.flush(7, nil, true); sender.Counts().Sent != maxQueued {
		t.Error("stale messages were sent")
	}
}

// TestMessageToReplacedNode guards against messages that go to another node: it came up at the address of the one that they are
// for, which is gone and not found dead yet.
func TestMessageToReplacedNode(t *testing.T) {
	const goneNumber, newNumber = 3, 5
	senderTransport, senderAddr := openTransport(t, 1)
	receiverTransport, receiverAddr := openTransport(t, 2)
	received := make(chan []byte, 10)
	receiver := Start(receiverTransport, nil, func(messages []byte) bool {
		received <- messages
		return true
	})
	defer receiver.Close()
	receiverTransport.Run()
	table := members.NewTable(members.Member{Name: "n0", Incarnation: 1, Addr: senderAddr}, 9)
	table.MemberAlive(1, members.Member{Name: "gone", Incarnation: 9, Number: goneNumber, Addr: receiverAddr})
	table.MemberAlive(2, members.Member{Name: "new", Incarnation: 2, Number: newNumber, Addr: receiverAddr})
	sender := Start(senderTransport, func(number int) (netip.AddrPort, bool) {
		owner, found := table.Owner(number)
		return owner.Addr, found
	}, nil)
	defer sender.Close()
	sender.Send(goneNumber, node.PeerMessage{goneNumber})
	sender.Send(newNumber, node.PeerMessage{newNumber})
	select {
	case messages := <-received:
		if len(messages) != messageSize || messages[0] != newNumber {
			t.Errorf("the new node received %v", messages)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("nothing was received: %+v", sender.Counts())
	}
	for end := time.Now().Add(5 * time.Second); sender.Counts().Sent+sender.Counts().NoOwner < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if c := sender.Counts(); c.NoOwner != 1 || c.Sent != 1 {
		t.Errorf("sender: %+v", c)
	}
}
