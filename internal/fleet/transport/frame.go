// Package transport carries what nodes say to each other: frames over UDP for what may be lost, over TCP for what must arrive.
// Each frame has a version, a length and a sum; what is not understood is counted and passed over.
package transport

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a frame holds.
type Kind uint8

const (
	Membership    Kind = 1 + iota // of the library that keeps the members
	PeerMessages                  // of modules to each other
	ServerReports                 // on servers
	piece                         // of a stream
)

const (
	version = 1
	// MostPayload is the most that a datagram holds beside its head, so that it passes whole where 1,500 bytes do.
	MaxPayload = 1400
	// MostPiece is the most that a piece of a stream holds.
	MaxChunk = 16 << 10

	headLen      = 24 // version, kind, length; life; number; time; sum
	pieceHeadLen = 8  // version, kind, length; sum
	sumAt        = 20
)

// LifeID is one process's life under a name: drawn at its start. One that comes back has another.
type IncarnationID uint64

// Frame is one datagram as it came. Payload is valid until the handler returns.
type Frame struct {
	Kind        Kind
	Incarnation IncarnationID
	Sequence    uint32 // counts the sender's frames
	SentMs      uint32 // milliseconds of the sender's own clock, from its start
	Payload     []byte
}

var (
	errShort    = errors.New("transport: shorter than a head")
	errVersion  = errors.New("transport: another version")
	errLength   = errors.New("transport: another length than it says")
	errSum      = errors.New("transport: another sum than it says: spoilt, or another fleet's")
	errTooLong  = errors.New("transport: longer than a frame may be")
	errNotPiece = errors.New("transport: no piece of a stream")
)

// seal is what a fleet's name adds to its sums. It keeps fleets apart by accident; it is no secret.
func seal(fleet string) uint64 { return xxhash.Sum64String("canvasrouter fleet " + fleet) }

func sum(seal uint64, head, payload []byte) uint32 {
	d := xxhash.NewWithSeed(seal)
	d.Write(head)
	d.Write(payload)
	s := d.Sum64()
	return uint32(s) ^ uint32(s>>32)
}

// append writes a frame behind b.
func (f *Frame) append(b []byte, seal uint64) ([]byte, error) {
	if len(f.Payload) > MaxPayload {
		return b, errTooLong
	}
	from := len(b)
	b = append(b, version, byte(f.Kind))
	b = binary.BigEndian.AppendUint16(b, uint16(len(f.Payload)))
	b = binary.BigEndian.AppendUint64(b, uint64(f.Incarnation))
	b = binary.BigEndian.AppendUint32(b, f.Sequence)
	b = binary.BigEndian.AppendUint32(b, f.SentMs)
	b = binary.BigEndian.AppendUint32(b, sum(seal, b[from:from+sumAt], f.Payload))
	return append(b, f.Payload...), nil
}

// read takes a datagram apart. The payload is a part of b.
func read(b []byte, seal uint64) (f Frame, err error) {
	switch {
	case len(b) < headLen:
		return f, errShort
	case b[0] != version:
		return f, errVersion
	case int(binary.BigEndian.Uint16(b[2:])) != len(b)-headLen:
		return f, errLength
	case len(b)-headLen > MaxPayload:
		return f, errTooLong
	case binary.BigEndian.Uint32(b[sumAt:]) != sum(seal, b[:sumAt], b[headLen:]):
		return f, errSum
	}
	return Frame{Kind: Kind(b[1]), Incarnation: IncarnationID(binary.BigEndian.Uint64(b[4:])), Sequence: binary.BigEndian.Uint32(b[12:]),
		SentMs: binary.BigEndian.Uint32(b[16:]), Payload: b[headLen:]}, nil
}

// pieceHead writes the head of a stream's piece. Pieces of one stream are numbered by its own count, which goes into the
// sum: one that is missing or comes twice is seen.
func pieceHead(b []byte, seal uint64, count uint32, payload []byte) {
	b[0], b[1] = version, byte(piece)
	binary.BigEndian.PutUint16(b[2:], uint16(len(payload)))
	binary.BigEndian.PutUint32(b[4:], sum(seal+uint64(count), b[:4], payload))
}

// readPieceHead gives the length of the piece that follows, and its sum.
func readPieceHead(b []byte) (length int, want uint32, err error) {
	switch {
	case b[0] != version:
		return 0, 0, errVersion
	case b[1] != byte(piece):
		return 0, 0, errNotPiece
	}
	if length = int(binary.BigEndian.Uint16(b[2:])); length > MaxChunk {
		return 0, 0, errTooLong
	}
	return length, binary.BigEndian.Uint32(b[4:]), nil
}

// window is how many of a sender's frames are known to have come.
const window = 512

// sender is what is known of one that frames come from.
type sender struct {
	highest uint32
	seen    [window / 64]uint64 // the last ones, by number
	begun   bool
	// The least time that a frame took, on this clock less the sender's: of this span and of the one before, so that a
	// clock that runs apart is followed.
	least, before int64
	spanAt        time.Duration
	used          time.Duration // last frame
}

// spanLen is how long the least time is looked for.
const spanLen = 15 * time.Second

// first says whether a frame comes for the first time. Danger: a way may bring each frame twice, and out of order.
func (s *sender) first(number uint32) bool {
	bit := func(n uint32) (*uint64, uint64) { return &s.seen[n/64%(window/64)], 1 << (n % 64) }
	ahead := int32(number - s.highest)
	switch {
	case !s.begun:
		s.begun, s.highest = true, number
	case ahead > 0:
		for n := s.highest + 1; n != number+1 && n-s.highest <= window; n++ {
			word, mask := bit(n)
			*word &^= mask
		}
		if ahead >= window {
			s.seen = [window / 64]uint64{}
		}
		s.highest = number
	case ahead <= -window:
		return false // too old to tell
	}
	word, mask := bit(number)
	if *word&mask != 0 {
		return false
	}
	*word |= mask
	return true
}

// late is how much longer a frame took than the quickest of late. No clock but durations: what this process's clock
// and the sender's differ by is in both.
func (s *sender) late(now time.Duration, sent uint32) time.Duration {
	took := int64(int32(uint32(now.Milliseconds()) - sent)) // differences hold also where the count wraps
	switch {
	case s.used == 0 || now-s.spanAt > 2*spanLen:
		s.least, s.before, s.spanAt = took, took, now
	case now-s.spanAt > spanLen:
		s.before, s.least, s.spanAt = s.least, took, now
	default:
		s.least = min(s.least, took)
	}
	s.used = max(now, 1)
	return time.Duration(took-min(s.least, s.before)) * time.Millisecond
}
