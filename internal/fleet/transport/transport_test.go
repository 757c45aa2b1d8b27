package transport

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// openTransport opens a transport on a free loopback port.
func openTransport(t *testing.T, incarnation IncarnationID, maxBytesPerSecond int) *Transport {
	t.Helper()
	for port := uint16(21000); port < 22000; port++ {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		opened, err := Open(Options{Fleet: "f", Listen: addr, Advertise: addr, Incarnation: incarnation, MaxBytesPerSecond: maxBytesPerSecond}, zerolog.Nop())
		if err == nil {
			t.Cleanup(opened.Close)
			return opened
		}
	}
	t.Fatal("no port is free")
	return nil
}

// Frames of every length up to MaxPayload survive encoding and decoding, and a longer one is refused. Frames that were
// corrupted, truncated or extended, and those of another fleet, are not decoded.
func TestFrameEncoding(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	payload := make([]byte, MaxPayload+1)
	for i := range payload {
		payload[i] = byte(rng.Uint32())
	}
	for n := 0; n <= MaxPayload; n++ {
		frame := Frame{Kind: PeerMessages, Incarnation: 7, Sequence: uint32(n), SentMs: 9, Payload: payload[:n]}
		encoded, err := frame.appendTo(nil, 3)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeFrame(encoded, 3)
		if err != nil || got.Kind != frame.Kind || got.Incarnation != 7 || got.Sequence != frame.Sequence || got.SentMs != 9 || !bytes.Equal(got.Payload, frame.Payload) {
			t.Fatalf("length %d: %v", n, err)
		}
		at := rng.IntN(len(encoded))
		corrupted := bytes.Clone(encoded)
		corrupted[at] ^= 1 << rng.IntN(8)
		for what, bad := range map[string][]byte{"corrupted": corrupted, "truncated": encoded[:at], "extended": append(bytes.Clone(encoded), 0)} {
			if _, err := decodeFrame(bad, 3); err == nil {
				t.Errorf("length %d, %s at %d: decoded", n, what, at)
			}
		}
		if _, err := decodeFrame(encoded, 4); err == nil {
			t.Errorf("length %d: a frame of another fleet was decoded", n)
		}
	}
	if _, err := (&Frame{Payload: payload}).appendTo(nil, 3); err == nil {
		t.Error("a frame over the length limit was encoded")
	}
}

// Each frame is accepted once, whatever the order of arrival and the number of duplicates, unless it is older than the window.
func TestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender := &senderState{}
		start := rapid.Uint32().Draw(t, "start")
		seen := map[uint32]bool{}
		highest := int64(-1)
		for _, step := range rapid.SliceOfN(rapid.Int64Range(0, 3*reorderWindow), 1, 400).Draw(t, "numbers") {
			sequence := start + uint32(step)
			want := !seen[sequence]
			if highest >= 0 && step <= highest-reorderWindow {
				want = false
			}
			if got := sender.isFirstArrival(sequence); got != want {
				t.Fatalf("sequence number start+%d: isFirstArrival returns %v", step, got)
			}
			seen[sequence] = true
			highest = max(highest, step)
		}
	})
}

// A frame is late by the time that it took longer than the sender's fastest frame, whatever the offset between the clocks.
func TestLateness(t *testing.T) {
	const clockOffset = 1 << 31
	sender := &senderState{}
	lateness := func(sent, delay time.Duration) time.Duration {
		return sender.lateness(sent+delay, uint32(sent.Milliseconds()+clockOffset))
	}
	lateness(time.Second, 5*time.Millisecond)
	if got := lateness(2*time.Second, 905*time.Millisecond); got != 900*time.Millisecond {
		t.Errorf("late by %v", got)
	}
	if got := lateness(3*time.Second, 2*time.Millisecond); got != 0 {
		t.Errorf("the fastest frame is late by %v", got)
	}
	for sent := 4 * time.Second; sent < time.Minute; sent += time.Second { // the delay has grown permanently
		lateness(sent, 202*time.Millisecond)
	}
	if got := lateness(time.Minute, 202*time.Millisecond); got != 0 {
		t.Errorf("after the delay has grown permanently: late by %v", got)
	}
}

// Frames that are malformed, duplicated, of an unknown kind or make a handler panic are counted, and do not affect the next
// frame. The rate limit drops frames over it, and keeps a reserve for membership traffic.
func TestDatagrams(t *testing.T) {
	a := openTransport(t, 1, 1<<20)
	b := openTransport(t, 2, 8<<10)
	received := make(chan string, 100)
	a.Handle(PeerMessages, func(_ netip.AddrPort, frame *Frame, _ time.Duration) {
		if string(frame.Payload) == "panic" {
			panic("over a frame")
		}
		received <- string(frame.Payload)
	})
	a.Run()
	b.Run()
	raw, err := net.Dial("udp", a.options.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	frame := Frame{Kind: PeerMessages, Incarnation: 3, Sequence: 1, Payload: []byte("once")}
	encoded, _ := frame.appendTo(nil, a.checksumSeed)
	for _, datagram := range [][]byte{{}, []byte("noise"), make([]byte, 2000), encoded, encoded} {
		raw.Write(datagram)
	}
	b.Send(a.options.Listen, PeerMessages, []byte("panic"))
	b.Send(a.options.Listen, 77, []byte("unknown"))
	b.Send(a.options.Listen, PeerMessages, []byte("last"))
	for _, want := range []string{"once", "last"} {
		select {
		case got := <-received:
			if got != want {
				t.Errorf("received %q, want %q", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%q was not received: %+v", want, a.Counts())
		}
	}
	if c := a.Counts(); c.Malformed != 3 || c.Duplicates != 1 || c.UnknownKind != 1 || c.HandlerPanics != 1 {
		t.Errorf("counts %+v", c)
	}
	sent := 0
	for b.Send(a.options.Listen, PeerMessages, make([]byte, 200)) {
		sent++
	}
	if sent > 20 || b.Counts().RateLimited != 1 || !b.Send(a.options.Listen, Membership, make([]byte, 200)) {
		t.Errorf("%d frames sent in a burst, %+v", sent, b.Counts())
	}
}

// Streams carry data unchanged, a corrupted chunk ends a stream, and a write to a peer that never reads ends at the stream's
// deadline.
func TestStreams(t *testing.T) {
	a := openTransport(t, 1, 1<<20)
	b := openTransport(t, 2, 1<<20)
	a.Run()
	b.Run()
	outgoing, err := b.Dial(a.options.Listen.String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	incoming := <-a.Streams()
	want := bytes.Repeat([]byte("piece"), 20_000)
	go func() {
		outgoing.Write(want)
		outgoing.Close()
	}()
	if got, err := io.ReadAll(incoming); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%v: received %d bytes", err, len(got))
	}
	incoming.Close()

	raw, err := net.Dial("tcp", a.options.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	header := make([]byte, chunkHeaderSize)
	putChunkHeader(header, a.checksumSeed, 0, []byte("spoilt"))
	raw.Write(append(header, "spoilT"...))
	incoming = <-a.Streams()
	if _, err := incoming.Read(make([]byte, 10)); err != errChecksum || a.Counts().StreamsCorrupted != 1 {
		t.Errorf("%v, %+v", err, a.Counts())
	}
	raw.Close()

	nonReader, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts the connection, and nothing reads from it
	if err != nil {
		t.Fatal(err)
	}
	defer nonReader.Close()
	if outgoing, err = b.Dial(nonReader.Addr().String(), time.Second); err != nil {
		t.Fatal(err)
	}
	outgoing.SetDeadline(time.Now().Add(100 * time.Millisecond))
	begun := time.Now()
	if _, err := outgoing.Write(make([]byte, 64<<20)); err == nil || time.Since(begun) > 5*time.Second {
		t.Errorf("%v after %v", err, time.Since(begun))
	}
	outgoing.Close()
}

// No input makes the decoder panic, and every frame that is decoded encodes to the same bytes again.
func FuzzDecodeFrame(f *testing.F) {
	frame := Frame{Kind: ServerReports, Incarnation: 1, Payload: []byte("payload")}
	valid, _ := frame.appendTo(nil, 5)
	for _, b := range [][]byte{nil, valid, valid[:headerSize], valid[:headerSize-1], append(bytes.Clone(valid), 1), bytes.Repeat([]byte{1}, headerSize+MaxPayload)} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		decoded, err := decodeFrame(b, 5)
		if err != nil {
			return
		}
		encoded, err := decoded.appendTo(nil, 5)
		if err != nil || !bytes.Equal(encoded, b) {
			t.Errorf("decoded %x, encoded %x", b, encoded)
		}
	})
}
