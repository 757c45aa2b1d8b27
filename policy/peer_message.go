package policy

import (
	"encoding/binary"
	"math"
)

// saidWhat is what a node says of a server that others use too.
type peerEvent uint8

const (
	peerPushSent   peerEvent = iota // a push went there
	peerPushEnded                   // one ended, without an answer
	peerPushAcked                   // one was acked
	peerEventCount                  // no more than these
)

// said is one word of a node to another. It is advice: it may come late, twice or never.
type peerMessage struct {
	event           peerEvent
	relativeLatency float64 // how long the push took, as a multiple of its category's; 0: not known
	foldedServerID  uint16  // the server's id, folded
}

// sayLen is the length of a word on its way: the version and what in two bits each, the pace in four, the id.
const (
	peerMessageLength     = 3
	peerMessageVersion    = 1
	latencyStepsPerOctave = 2 // of the pace's scale, an octave
	unitLatencyStep       = 6 // the step of pace 1
	maxLatencyStep        = 15
)

func (s peerMessage) encode() [peerMessageLength]byte {
	latencyStep := 0
	if s.relativeLatency > 0 {
		latencyStep = min(maxLatencyStep, max(1, unitLatencyStep+int(math.Round(latencyStepsPerOctave*math.Log2(s.relativeLatency)))))
	}
	encoded := [peerMessageLength]byte{peerMessageVersion<<6 | byte(s.event)<<4 | byte(latencyStep)}
	binary.BigEndian.PutUint16(encoded[1:], s.foldedServerID)
	return encoded
}

// readSaid reads a word; one of another version or length is not understood.
func decodePeerMessage(encoded []byte) (message peerMessage, understood bool) {
	if len(encoded) != peerMessageLength || encoded[0]>>6 != peerMessageVersion || peerEvent(encoded[0]>>4&3) >= peerEventCount {
		return peerMessage{}, false
	}
	if latencyStep := int(encoded[0] & 15); latencyStep > 0 {
		message.relativeLatency = math.Exp2(float64(latencyStep-unitLatencyStep) / latencyStepsPerOctave)
	}
	message.event, message.foldedServerID = peerEvent(encoded[0]>>4&3), binary.BigEndian.Uint16(encoded[1:])
	return message, true
}

// fold shortens a server's id to what a word holds. Two servers of a run may have the same; a word then counts for one.
func foldServerID(id ServerID) uint16 { return uint16(id) ^ uint16(id>>16) ^ uint16(id>>32) }
