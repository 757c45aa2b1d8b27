// Package transport carries the traffic between nodes: frames over UDP for messages that may be lost, and streams over TCP for
// data that must arrive. Each frame has a version, a length and a checksum; frames that cannot be decoded are counted and
// ignored.
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
	Membership    Kind = 1 + iota // the membership protocol
	PeerMessages                  // messages between the decision modules of nodes
	ServerReports                 // reports on the condition of servers
	streamChunk                   // a part of a stream
)

const (
	formatVersion = 1
	// MaxPayload is the largest payload of a datagram in bytes. The datagram then passes unfragmented where the MTU is 1,500
	// bytes.
	MaxPayload = 1400
	// MaxChunk is the largest payload of a stream chunk in bytes.
	MaxChunk = 16 << 10

	headerSize      = 24 // bytes: version 1, kind 1, length 2, incarnation 8, sequence number 4, time sent 4, checksum 4
	chunkHeaderSize = 8  // bytes: version 1, kind 1, length 2, checksum 4
	checksumOffset  = 20 // of a frame's checksum in its header
)

// IncarnationID identifies one process of a node. It is drawn at random when the process starts.
type IncarnationID uint64

// Frame is a received datagram. Payload is valid until the handler returns.
type Frame struct {
	Kind        Kind
	Incarnation IncarnationID // of the sender
	Sequence    uint32        // counts the sender's frames
	SentMs      uint32        // milliseconds since the sender's start, by its own clock
	Payload     []byte
}

var (
	errShort    = errors.New("transport: frame shorter than its header")
	errVersion  = errors.New("transport: unknown version")
	errLength   = errors.New("transport: length differs from the length in the header")
	errChecksum = errors.New("transport: checksum mismatch: corrupted, or from another fleet")
	errTooLong  = errors.New("transport: frame or chunk too long")
	errNotChunk = errors.New("transport: not a stream chunk")
)

// checksumSeed derives the seed of a fleet's checksums from its name. It keeps fleets from mixing by accident; it is not a
// security measure.
func checksumSeed(fleet string) uint64 { return xxhash.Sum64String("canvasrouter fleet " + fleet) }

func checksum(seed uint64, header, payload []byte) uint32 {
	digest := xxhash.NewWithSeed(seed)
	digest.Write(header)
	digest.Write(payload)
	sum := digest.Sum64()
	return uint32(sum) ^ uint32(sum>>32)
}

// appendTo appends the encoded frame to b.
func (f *Frame) appendTo(b []byte, seed uint64) ([]byte, error) {
	if len(f.Payload) > MaxPayload {
		return b, errTooLong
	}
	start := len(b)
	b = append(b, formatVersion, byte(f.Kind))
	b = binary.BigEndian.AppendUint16(b, uint16(len(f.Payload)))
	b = binary.BigEndian.AppendUint64(b, uint64(f.Incarnation))
	b = binary.BigEndian.AppendUint32(b, f.Sequence)
	b = binary.BigEndian.AppendUint32(b, f.SentMs)
	b = binary.BigEndian.AppendUint32(b, checksum(seed, b[start:start+checksumOffset], f.Payload))
	return append(b, f.Payload...), nil
}

// decodeFrame decodes a datagram. The payload of the frame is a slice of b.
func decodeFrame(b []byte, seed uint64) (f Frame, err error) {
	switch {
	case len(b) < headerSize:
		return f, errShort
	case b[0] != formatVersion:
		return f, errVersion
	case int(binary.BigEndian.Uint16(b[2:])) != len(b)-headerSize:
		return f, errLength
	case len(b)-headerSize > MaxPayload:
		return f, errTooLong
	case binary.BigEndian.Uint32(b[checksumOffset:]) != checksum(seed, b[:checksumOffset], b[headerSize:]):
		return f, errChecksum
	}
	return Frame{
		Kind:        Kind(b[1]),
		Incarnation: IncarnationID(binary.BigEndian.Uint64(b[4:])),
		Sequence:    binary.BigEndian.Uint32(b[12:]),
		SentMs:      binary.BigEndian.Uint32(b[16:]),
		Payload:     b[headerSize:],
	}, nil
}

// putChunkHeader writes the header of a stream chunk to b. The number of the chunk in its stream is not transmitted but
// goes into the checksum, so that a missing or repeated chunk is detected.
func putChunkHeader(b []byte, seed uint64, chunkNumber uint32, payload []byte) {
	b[0] = formatVersion
	b[1] = byte(streamChunk)
	binary.BigEndian.PutUint16(b[2:], uint16(len(payload)))
	binary.BigEndian.PutUint32(b[4:], checksum(seed+uint64(chunkNumber), b[:4], payload))
}

// decodeChunkHeader returns the payload length of the chunk that follows and its expected checksum.
func decodeChunkHeader(b []byte) (length int, want uint32, err error) {
	switch {
	case b[0] != formatVersion:
		return 0, 0, errVersion
	case b[1] != byte(streamChunk):
		return 0, 0, errNotChunk
	}
	if length = int(binary.BigEndian.Uint16(b[2:])); length > MaxChunk {
		return 0, 0, errTooLong
	}
	return length, binary.BigEndian.Uint32(b[4:]), nil
}

// reorderWindow is the number of a sender's latest sequence numbers that are checked for duplicates; older frames are dropped.
const reorderWindow = 512

// senderState is what a transport keeps of one incarnation that it receives frames from.
type senderState struct {
	highest uint32                     // sequence number
	seen    [reorderWindow / 64]uint64 // bitmap of the latest sequence numbers
	started bool                       // a frame has arrived
	// Shortest delay of a frame in milliseconds, as this process's clock less the sender's: in the present baseline interval
	// and in the one before. Keeping both lets the baseline follow clocks that drift apart.
	minDelay, previousMinDelay int64
	intervalStart              time.Duration
	lastFrameAt                time.Duration
}

// baselineInterval is the time over which the shortest delay is determined.
const baselineInterval = 15 * time.Second

// isFirstArrival reports whether a frame arrives for the first time, and records it. The network may duplicate and reorder
// frames.
func (s *senderState) isFirstArrival(sequence uint32) bool {
	bit := func(n uint32) (*uint64, uint64) { return &s.seen[n/64%(reorderWindow/64)], 1 << (n % 64) }
	ahead := int32(sequence - s.highest)
	switch {
	case !s.started:
		s.started = true
		s.highest = sequence
	case ahead > 0:
		for n := s.highest + 1; n != sequence+1 && n-s.highest <= reorderWindow; n++ {
			word, mask := bit(n)
			*word &^= mask
		}
		if ahead >= reorderWindow {
			s.seen = [reorderWindow / 64]uint64{}
		}
		s.highest = sequence
	case ahead <= -reorderWindow:
		return false // older than the window: it may be a duplicate
	}
	word, mask := bit(sequence)
	if *word&mask != 0 {
		return false
	}
	*word |= mask
	return true
}

// lateness returns how much longer a frame took than the sender's fastest frame of late. Only differences of time readings
// are compared, so an offset between the two clocks cancels out.
func (s *senderState) lateness(now time.Duration, sentMs uint32) time.Duration {
	delay := int64(int32(uint32(now.Milliseconds()) - sentMs)) // correct across wrap-around of the 32-bit time
	switch {
	case s.lastFrameAt == 0 || now-s.intervalStart > 2*baselineInterval:
		s.minDelay = delay
		s.previousMinDelay = delay
		s.intervalStart = now
	case now-s.intervalStart > baselineInterval:
		s.previousMinDelay = s.minDelay
		s.minDelay = delay
		s.intervalStart = now
	default:
		s.minDelay = min(s.minDelay, delay)
	}
	s.lastFrameAt = max(now, 1)
	return time.Duration(delay-min(s.minDelay, s.previousMinDelay)) * time.Millisecond
}
