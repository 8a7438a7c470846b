// Package gossip turns a gatekeeper's demand reports into the bytes of one peer message and back.
//
// A message is a version byte, a count byte, and for each report four bytes of the customer's number,
// big-endian, one of its plan, with a bit each for whether what is known of the demand and the units sent on
// follow, one of its demand, and these two. The last three are logarithmic, so that they are right within a
// twentieth. The form before, in which all of them always follow, is still understood.
package gossip

import (
	"encoding/binary"
	"fmt"
	"math"

	"willowdeck/internal/policy"
)

const (
	formatVersion         = 5
	previousFormatVersion = 4 // version
	headerBytes           = 2
	maxReportBytes        = 8 // at most
	minReportBytes        = 6 // bytes of a report without known and spent

	knownFlag, spentFlag = 0x40, 0x80
	MaxMessageBytes      = 256 // bytes that a peer message may have

	log2Step       = 1.0 / 8    // of a power of two, between neighbouring demands
	minEncodedRate = 1.0 / 1024 // units a second; less is nought
)

// MaxPlans is how many plans a message can tell apart.
const MaxPlans = knownFlag

// MaxReports is how many reports fit one message.
const MaxReports = (MaxMessageBytes - headerBytes) / maxReportBytes

// Append adds the message for the reports, at most Room of them, to dst.
func Append(dst []byte, reports []policy.Report) []byte {
	reports = reports[:min(len(reports), MaxReports)]
	dst = append(dst, formatVersion, byte(len(reports)))
	for _, report := range reports {
		dst = binary.BigEndian.AppendUint32(dst, uint32(report.Customer))
		plan, known, spent := byte(report.Plan), encodeLog(report.Known), encodeLog(report.Spent)
		if known > 0 {
			plan |= knownFlag
		}
		if spent > 0 {
			plan |= spentFlag
		}
		dst = append(dst, plan, encodeLog(report.Demand))
		if known > 0 {
			dst = append(dst, known)
		}
		if spent > 0 {
			dst = append(dst, spent)
		}
	}
	return dst
}

// Decode reads a message into dst. A message that is not whole, or of another version, gives an error and
// nothing else.
func Decode(dst []policy.Report, b []byte) ([]policy.Report, error) {
	if len(b) < headerBytes {
		return dst, fmt.Errorf("peer message of %d bytes: too short", len(b))
	}
	if b[0] != formatVersion && b[0] != previousFormatVersion {
		return dst, fmt.Errorf("peer message of version %d, not %d", b[0], formatVersion)
	}
	message, original, count := b, dst, int(b[1])
	for b = b[headerBytes:]; len(b) >= minReportBytes && len(dst)-len(original) < count; {
		plan := b[4]
		if message[0] == previousFormatVersion {
			plan |= knownFlag | spentFlag
		}
		report := policy.Report{Customer: uint64(binary.BigEndian.Uint32(b)),
			Plan:   int(plan &^ (knownFlag | spentFlag)),
			Demand: decodeLog(b[5])}
		b = b[minReportBytes:]
		for _, optional := range []struct {
			flag  byte
			value *float64
		}{{knownFlag, &report.Known}, {spentFlag, &report.Spent}} {
			if plan&optional.flag != 0 {
				if len(b) == 0 {
					return original, fmt.Errorf("peer message of %d bytes ends within a report", len(message))
				}
				*optional.value, b = decodeLog(b[0]), b[1:]
			}
		}
		dst = append(dst, report)
	}
	if len(b) > 0 || len(dst)-len(original) != count {
		return original, fmt.Errorf("peer message of %d bytes for %d reports", len(message), count)
	}
	return dst, nil
}

func encodeLog(rate float64) uint8 {
	if !(rate > minEncodedRate) {
		return 0
	}
	return uint8(math.Min(1+math.Round(math.Log2(rate/minEncodedRate)/log2Step), math.MaxUint8))
}

func decodeLog(code uint8) float64 {
	if code == 0 {
		return 0
	}
	return minEncodedRate * math.Exp2(float64(code-1)*log2Step)
}
