package outlier

import (
	"encoding/binary"

	"canvasrouter/policy"
)

const (
	// reportSize is the number of bytes of an encoded report: server 6, reporter 8, sequence number 4, node number 2,
	// condition and zone 1 each, age and duration 2 each.
	reportSize = 26
	// ageUnit is the unit in which ages and durations are encoded.
	ageUnit = 2 * policy.Millisecond
	// maxAgeUnits is the largest age or duration that can be encoded, in ageUnits.
	maxAgeUnits = 65535
)

// MaxReports returns how many reports fit into the given number of bytes.
func MaxReports(bytes int) int { return (bytes - 1) / reportSize }

const formatVersion = 1

// AppendReports appends the encoding of reports to b.
func AppendReports(b []byte, reports []Report) []byte {
	b = append(b, formatVersion)
	for _, report := range reports {
		b = append(b, byte(report.Server>>40), byte(report.Server>>32))
		b = binary.BigEndian.AppendUint32(b, uint32(report.Server))
		b = binary.BigEndian.AppendUint64(b, uint64(report.Reporter))
		b = binary.BigEndian.AppendUint32(b, report.Sequence)
		b = binary.BigEndian.AppendUint16(b, report.NodeNumber)
		b = append(b, byte(report.Condition), report.Zone)
		b = binary.BigEndian.AppendUint16(b, toAgeUnits(report.Age))
		b = binary.BigEndian.AppendUint16(b, toAgeUnits(report.Duration))
	}
	return b
}

func toAgeUnits(t policy.Micros) uint16 { return uint16(min(maxAgeUnits, max(0, t)/ageUnit)) }

// DecodeReports appends the reports encoded in b to the slice into. It returns false and no further reports if b has another
// version or is not a whole number of reports: a newer version may have longer ones.
func DecodeReports(b []byte, into []Report) (reports []Report, understood bool) {
	if len(b) < 1 || b[0] != formatVersion || (len(b)-1)%reportSize != 0 {
		return into, false
	}
	for b = b[1:]; len(b) > 0; b = b[reportSize:] {
		into = append(into, Report{
			Server:     policy.ServerID(uint64(binary.BigEndian.Uint16(b))<<32 | uint64(binary.BigEndian.Uint32(b[2:]))),
			Reporter:   ReporterID(binary.BigEndian.Uint64(b[6:])),
			Sequence:   binary.BigEndian.Uint32(b[14:]),
			NodeNumber: binary.BigEndian.Uint16(b[18:]),
			Condition:  Condition(b[20]),
			Zone:       b[21],
			Age:        policy.Micros(binary.BigEndian.Uint16(b[22:])) * ageUnit,
			Duration:   policy.Micros(binary.BigEndian.Uint16(b[24:])) * ageUnit,
		})
	}
	return into, true
}
