package policy

import (
	"encoding/binary"
	"math"
)

// peerEvent is what a peer message reports about a push to a server that other nodes use too.
type peerEvent uint8

const (
	peerPushSent   peerEvent = iota // a push was sent
	peerPushEnded                   // a push ended without an ack
	peerPushAcked                   // a push was acked
	peerEventCount                  // number of the events above
)

// peerMessage is one message of a node to another. It is advice: it may come late, more than once or never.
type peerMessage struct {
	event           peerEvent
	relativeLatency float64 // latency of the push, as a multiple of its category's mean; 0: not known
	foldedServerID  uint16  // see foldServerID
}

// An encoded message holds the version and the event in two bits each, the relative latency in four bits on a
// logarithmic scale (0: not known), and the folded id of the server in two bytes, big-endian.
const (
	peerMessageLength     = 3 // bytes
	peerMessageVersion    = 1
	latencyStepsPerOctave = 2  // steps of the scale for a factor of 2
	unitLatencyStep       = 6  // step of relative latency 1
	maxLatencyStep        = 15 // largest step that fits into four bits
)

// encode returns the message as it is sent.
func (m peerMessage) encode() [peerMessageLength]byte {
	latencyStep := 0
	if m.relativeLatency > 0 {
		latencyStep = min(maxLatencyStep,
			max(1, unitLatencyStep+int(math.Round(latencyStepsPerOctave*math.Log2(m.relativeLatency)))))
	}
	encoded := [peerMessageLength]byte{peerMessageVersion<<6 | byte(m.event)<<4 | byte(latencyStep)}
	binary.BigEndian.PutUint16(encoded[1:], m.foldedServerID)
	return encoded
}

// decodePeerMessage decodes a received message. A message of another version or length, or with an unknown
// event, is not understood.
func decodePeerMessage(encoded []byte) (message peerMessage, understood bool) {
	if len(encoded) != peerMessageLength || encoded[0]>>6 != peerMessageVersion ||
		peerEvent(encoded[0]>>4&3) >= peerEventCount {
		return peerMessage{}, false
	}
	if latencyStep := int(encoded[0] & 15); latencyStep > 0 {
		message.relativeLatency = math.Exp2(float64(latencyStep-unitLatencyStep) / latencyStepsPerOctave)
	}
	message.event = peerEvent(encoded[0] >> 4 & 3)
	message.foldedServerID = binary.BigEndian.Uint16(encoded[1:])
	return message, true
}

// foldServerID shortens a server's id to the 16 bits that a message has for it. Two servers of a subset may
// fold to the same value; a message then counts for one of them.
func foldServerID(id ServerID) uint16 { return uint16(id) ^ uint16(id>>16) ^ uint16(id>>32) }
