package judged

import (
	"encoding/binary"

	"canvasrouter/policy"
)

// reportLen is a report on its way: server 6 bytes, source 8, number 4, node 2, ill and zone 1 each, age and span 2 each in
// steps of 2 ms.
const (
	reportLen = 26
	ageStep   = 2 * policy.Millisecond
	mostAge   = 65535
)

// Fit is how many reports go into so many bytes.
func Fit(bytes int) int { return (bytes - 1) / reportLen }

const formVersion = 1

// Append writes reports behind b.
func Append(b []byte, reports []Report) []byte {
	b = append(b, formVersion)
	for _, r := range reports {
		b = append(b, byte(r.Server>>40), byte(r.Server>>32))
		b = binary.BigEndian.AppendUint32(b, uint32(r.Server))
		b = binary.BigEndian.AppendUint64(b, uint64(r.Source))
		b = binary.BigEndian.AppendUint32(b, r.Number)
		b = binary.BigEndian.AppendUint16(b, r.Node)
		b = append(b, byte(r.Ill), r.Zone)
		b = binary.BigEndian.AppendUint16(b, steps2(r.Age))
		b = binary.BigEndian.AppendUint16(b, steps2(r.Span))
	}
	return b
}

func steps2(t policy.Micros) uint16 { return uint16(min(mostAge, max(0, t)/ageStep)) }

// Read takes reports apart. What is of another form gives none; a newer version may have longer ones, which this one
// does not understand.
func Read(b []byte, into []Report) (all []Report, understood bool) {
	if len(b) < 1 || b[0] != formVersion || (len(b)-1)%reportLen != 0 {
		return into, false
	}
	for b = b[1:]; len(b) > 0; b = b[reportLen:] {
		into = append(into, Report{
			Server: policy.ServerID(uint64(binary.BigEndian.Uint16(b))<<32 | uint64(binary.BigEndian.Uint32(b[2:]))),
			Source: SourceID(binary.BigEndian.Uint64(b[6:])), Number: binary.BigEndian.Uint32(b[14:]),
			Node: binary.BigEndian.Uint16(b[18:]), Ill: Ill(b[20]), Zone: b[21],
			Age:  policy.Micros(binary.BigEndian.Uint16(b[22:])) * ageStep,
			Span: policy.Micros(binary.BigEndian.Uint16(b[24:])) * ageStep})
	}
	return into, true
}
