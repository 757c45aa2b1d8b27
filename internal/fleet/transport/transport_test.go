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

func open(t *testing.T, life IncarnationID, pace int) *Transport {
	t.Helper()
	for port := uint16(21000); port < 22000; port++ {
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		w, err := Open(Options{Fleet: "f", Listen: at, Advertise: at, Incarnation: life, MaxBytesPerSecond: pace}, zerolog.Nop())
		if err == nil {
			t.Cleanup(w.Close)
			return w
		}
	}
	t.Fatal("no port is free")
	return nil
}

// A frame of every length up to the bound comes back as it went, one past it is refused; changed, cut short, longer, of
// another version or another fleet it is passed over.
func TestFrames(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	payload := make([]byte, MaxPayload+1)
	for i := range payload {
		payload[i] = byte(rng.Uint32())
	}
	for n := 0; n <= MaxPayload; n++ {
		f := Frame{Kind: PeerMessages, Incarnation: 7, Sequence: uint32(n), SentMs: 9, Payload: payload[:n]}
		b, err := f.append(nil, 3)
		if err != nil {
			t.Fatal(err)
		}
		got, err := read(b, 3)
		if err != nil || got.Kind != f.Kind || got.Incarnation != 7 || got.Sequence != f.Sequence || got.SentMs != 9 || !bytes.Equal(got.Payload, f.Payload) {
			t.Fatalf("length %d: %v", n, err)
		}
		at := rng.IntN(len(b))
		spoilt := bytes.Clone(b)
		spoilt[at] ^= 1 << rng.IntN(8)
		for what, bad := range map[string][]byte{"spoilt": spoilt, "short": b[:at], "longer": append(bytes.Clone(b), 0)} {
			if _, err := read(bad, 3); err == nil {
				t.Errorf("length %d, %s at %d: read", n, what, at)
			}
		}
		if _, err := read(b, 4); err == nil {
			t.Errorf("length %d: another fleet's was read", n)
		}
	}
	if _, err := (&Frame{Payload: payload}).append(nil, 3); err == nil {
		t.Error("a frame past the bound was written")
	}
}

// Whatever the order and however often frames come, each counts once, as long as it is not older than the window.
func TestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, start := &sender{}, rapid.Uint32().Draw(t, "start")
		seen, highest := map[uint32]bool{}, int64(-1)
		for _, step := range rapid.SliceOfN(rapid.Int64Range(0, 3*window), 1, 400).Draw(t, "numbers") {
			number := start + uint32(step)
			want := !seen[number]
			if highest >= 0 && step <= highest-window {
				want = false
			}
			if got := s.first(number); got != want {
				t.Fatalf("number %d: first is %v", step, got)
			}
			seen[number], highest = true, max(highest, step)
		}
	})
}

// A frame is late by what it took longer than the sender's quickest, whatever the two clocks differ by.
func TestLate(t *testing.T) {
	const apart = 1 << 31 // the clocks
	s := &sender{}
	at := func(sent, took time.Duration) time.Duration {
		return s.late(sent+took, uint32(sent.Milliseconds()+apart))
	}
	at(time.Second, 5*time.Millisecond)
	if got := at(2*time.Second, 905*time.Millisecond); got != 900*time.Millisecond {
		t.Errorf("late %v", got)
	}
	if got := at(3*time.Second, 2*time.Millisecond); got != 0 {
		t.Errorf("the quickest is late %v", got)
	}
	for sent := 4 * time.Second; sent < time.Minute; sent += time.Second { // a longer way for good
		at(sent, 202*time.Millisecond)
	}
	if got := at(time.Minute, 202*time.Millisecond); got != 0 {
		t.Errorf("on a way that has become longer: late %v", got)
	}
}

// What is spoilt, doubled, of an unknown kind, or makes a handler panic is counted, and the next frame is taken; the pace
// drops what is over it, and leaves room for membership.
func TestWay(t *testing.T) {
	a, b := open(t, 1, 1<<20), open(t, 2, 8<<10)
	got := make(chan string, 100)
	a.Handle(PeerMessages, func(_ netip.AddrPort, f *Frame, _ time.Duration) {
		if string(f.Payload) == "panic" {
			panic("over a frame")
		}
		got <- string(f.Payload)
	})
	a.Run()
	b.Run()
	raw, err := net.Dial("udp", a.options.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	f := Frame{Kind: PeerMessages, Incarnation: 3, Sequence: 1, Payload: []byte("once")}
	bytes, _ := f.append(nil, a.seal)
	for _, p := range [][]byte{{}, []byte("noise"), make([]byte, 2000), bytes, bytes} {
		raw.Write(p)
	}
	b.Send(a.options.Listen, PeerMessages, []byte("panic"))
	b.Send(a.options.Listen, 77, []byte("unknown"))
	b.Send(a.options.Listen, PeerMessages, []byte("last"))
	for _, want := range []string{"once", "last"} {
		select {
		case text := <-got:
			if text != want {
				t.Errorf("got %q, not %q", text, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no %q: %+v", want, a.Counts())
		}
	}
	if c := a.Counts(); c.Malformed != 3 || c.Duplicates != 1 || c.UnknownKind != 1 || c.HandlerPanics != 1 {
		t.Errorf("counted %+v", c)
	}
	sent := 0
	for b.Send(a.options.Listen, PeerMessages, make([]byte, 200)) {
		sent++
	}
	if sent > 20 || b.Counts().RateLimited != 1 || !b.Send(a.options.Listen, Membership, make([]byte, 200)) {
		t.Errorf("%d frames at once, %+v", sent, b.Counts())
	}
}

// Streams carry bytes whole; one spoilt byte ends a stream; a peer that accepts and never reads holds nobody up for longer
// than the stream's end; those beyond the bound are refused.
func TestStreams(t *testing.T) {
	a, b := open(t, 1, 1<<20), open(t, 2, 1<<20)
	a.Run()
	b.Run()
	c, err := b.Dial(a.options.Listen.String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	in := <-a.Streams()
	want := bytes.Repeat([]byte("piece"), 20_000)
	go func() { c.Write(want); c.Close() }()
	if all, err := io.ReadAll(in); err != nil || !bytes.Equal(all, want) {
		t.Errorf("%v: %d bytes", err, len(all))
	}
	in.Close()

	raw, err := net.Dial("tcp", a.options.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	head := make([]byte, pieceHeadLen)
	pieceHead(head, a.seal, 0, []byte("spoilt"))
	raw.Write(append(head, "spoilT"...))
	in = <-a.Streams()
	if _, err := in.Read(make([]byte, 10)); err != errSum || a.Counts().StreamsCorrupted != 1 {
		t.Errorf("%v, %+v", err, a.Counts())
	}
	raw.Close()

	deaf, err := net.Listen("tcp", "127.0.0.1:0") // accepts, in the kernel, and never reads
	if err != nil {
		t.Fatal(err)
	}
	defer deaf.Close()
	if c, err = b.Dial(deaf.Addr().String(), time.Second); err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(100 * time.Millisecond))
	begun := time.Now()
	if _, err := c.Write(make([]byte, 64<<20)); err == nil || time.Since(begun) > 5*time.Second {
		t.Errorf("%v after %v", err, time.Since(begun))
	}
	c.Close()
}

// Fuzzed: nothing that comes ends the node, and only what was sealed is read.
func FuzzRead(f *testing.F) {
	frame := Frame{Kind: ServerReports, Incarnation: 1, Payload: []byte("payload")}
	good, _ := frame.append(nil, 5)
	for _, b := range [][]byte{nil, good, good[:headLen], good[:headLen-1], append(bytes.Clone(good), 1), bytes.Repeat([]byte{1}, headLen+MaxPayload)} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := read(b, 5)
		if err != nil {
			return
		}
		again, err := got.append(nil, 5)
		if err != nil || !bytes.Equal(again, b) {
			t.Errorf("read %x, written %x", b, again)
		}
	})
}
