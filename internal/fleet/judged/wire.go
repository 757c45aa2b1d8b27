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
func MaxReports(bytes int) int { return (bytes - 1) / reportLen }

const formVersion = 1

// Append writes reports behind b.
func AppendReports(b []byte, reports []Report) []byte {
	b = append(b, formVersion)
	for _, r := range reports {
		b = append(b, byte(r.Server>>40), byte(r.Server>>32))
		b = binary.BigEndian.AppendUint32(b, uint32(r.Server))
		b = binary.BigEndian.AppendUint64(b, uint64(r.Reporter))
		b = binary.BigEndian.AppendUint32(b, r.Sequence)
		b = binary.BigEndian.AppendUint16(b, r.NodeNumber)
		b = append(b, byte(r.Condition), r.Zone)
		b = binary.BigEndian.AppendUint16(b, steps2(r.Age))
		b = binary.BigEndian.AppendUint16(b, steps2(r.Duration))
	}
	return b
}

func steps2(t policy.Micros) uint16 { return uint16(min(mostAge, max(0, t)/ageStep)) }

// Read takes reports apart. What is of another form gives none; a newer version may have longer ones, which this one
// does not understand.
func DecodeReports(b []byte, into []Report) (all []Report, understood bool) {
	if len(b) < 1 || b[0] != formVersion || (len(b)-1)%reportLen != 0 {
		return into, false
	}
	for b = b[1:]; len(b) > 0; b = b[reportLen:] {
		into = append(into, Report{
			Server:   policy.ServerID(uint64(binary.BigEndian.Uint16(b))<<32 | uint64(binary.BigEndian.Uint32(b[2:]))),
			Reporter: ReporterID(binary.BigEndian.Uint64(b[6:])), Sequence: binary.BigEndian.Uint32(b[14:]),
			NodeNumber: binary.BigEndian.Uint16(b[18:]), Condition: Condition(b[20]), Zone: b[21],
			Age:      policy.Micros(binary.BigEndian.Uint16(b[22:])) * ageStep,
			Duration: policy.Micros(binary.BigEndian.Uint16(b[24:])) * ageStep})
	}
	return into, true
}
