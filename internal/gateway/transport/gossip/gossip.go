// Package gossip encodes and decodes the demand reports that instances send each other in one datagram.
//
// A message is a version byte, a count byte, and for each report the customer's number in four bytes,
// big-endian; one byte of the plan, with a flag each for the two optional bytes; one byte of the demand; and
// by flag one byte each of what is known of the demand and of the units forwarded. The last three are
// logarithmic and right within a twentieth. The previous version of the format, in which both optional bytes
// always follow, is still decoded.
//
// The package has no state and does no I/O; of the gateway it imports the policy's Report alone.
package gossip

import (
	"encoding/binary"
	"fmt"
	"math"

	"willowdeck/internal/policy"
)

const (
	formatVersion         = 5
	previousFormatVersion = 4 // reports always carry known and spent there
	headerBytes           = 2
	minReportBytes        = 6 // of a report without known and spent
	maxReportBytes        = 8 // of a report with both
)

// The flags in a report's byte of the plan: which optional bytes follow.
const (
	knownFlag, spentFlag = 0x40, 0x80
)

// The logarithmic code of rates and units.
const (
	log2Step       = 1.0 / 8    // between neighbouring codes, in powers of two
	minEncodedRate = 1.0 / 1024 // units a second; what is not above it is encoded as zero
)

// MaxMessageBytes bounds a peer message.
const MaxMessageBytes = 256

// MaxPlans is how many plans a message can distinguish.
const MaxPlans = knownFlag

// MaxReports is how many reports fit one message of any content.
const MaxReports = (MaxMessageBytes - headerBytes) / maxReportBytes

// Append appends the message for the reports, the first MaxReports of them at most, to dst.
func Append(dst []byte, reports []policy.Report) []byte {
	reports = reports[:min(len(reports), MaxReports)]
	dst = append(dst, formatVersion, byte(len(reports)))
	for _, report := range reports {
		dst = binary.BigEndian.AppendUint32(dst, uint32(report.Customer))
		plan, known, spent := byte(report.Plan), encodeLog(report.PreviousDemandPerSecond), encodeLog(report.SpentUnits)
		if known > 0 {
			plan |= knownFlag
		}
		if spent > 0 {
			plan |= spentFlag
		}
		dst = append(dst, plan, encodeLog(report.DemandPerSecond))
		if known > 0 {
			dst = append(dst, known)
		}
		if spent > 0 {
			dst = append(dst, spent)
		}
	}
	return dst
}

// Decode appends a message's reports to dst. A message that is truncated, longer than it states, or of
// another version gives an error and dst as it was.
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
			Plan:            int(plan &^ (knownFlag | spentFlag)),
			DemandPerSecond: decodeLog(b[5])}
		b = b[minReportBytes:]
		for _, optional := range []struct {
			flag  byte
			value *float64
		}{{knownFlag, &report.PreviousDemandPerSecond}, {spentFlag, &report.SpentUnits}} {
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

// encodeLog encodes a rate as one byte; zero and below, and what is not a number, as 0.
func encodeLog(rate float64) uint8 {
	if !(rate > minEncodedRate) {
		return 0
	}
	return uint8(math.Min(1+math.Round(math.Log2(rate/minEncodedRate)/log2Step), math.MaxUint8))
}

// decodeLog is the inverse of encodeLog, within a step.
func decodeLog(code uint8) float64 {
	if code == 0 {
		return 0
	}
	return minEncodedRate * math.Exp2(float64(code-1)*log2Step)
}
