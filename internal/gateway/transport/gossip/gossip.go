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
	version = 5
	former  = 4 // version
	header  = 2
	entry   = 8 // at most
	bare    = 6 // bytes of a report without known and spent

	hasKnown, hasSpent = 0x40, 0x80
	Limit              = 256 // bytes that a peer message may have

	step  = 1.0 / 8    // of a power of two, between neighbouring demands
	least = 1.0 / 1024 // units a second; less is nought
)

// Plans is how many plans a message can tell apart.
const Plans = hasKnown

// Room is how many reports fit one message.
const Room = (Limit - header) / entry

// Append adds the message for the reports, at most Room of them, to dst.
func Append(dst []byte, reports []policy.Report) []byte {
	reports = reports[:min(len(reports), Room)]
	dst = append(dst, version, byte(len(reports)))
	for _, r := range reports {
		dst = binary.BigEndian.AppendUint32(dst, uint32(r.Customer))
		plan, known, spent := byte(r.Plan), pack(r.PreviousDemandPerSecond), pack(r.SpentUnits)
		if known > 0 {
			plan |= hasKnown
		}
		if spent > 0 {
			plan |= hasSpent
		}
		dst = append(dst, plan, pack(r.DemandPerSecond))
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
	if len(b) < header {
		return dst, fmt.Errorf("peer message of %d bytes: too short", len(b))
	}
	if b[0] != version && b[0] != former {
		return dst, fmt.Errorf("peer message of version %d, not %d", b[0], version)
	}
	whole, none, n := b, dst, int(b[1])
	for b = b[header:]; len(b) >= bare && len(dst)-len(none) < n; {
		plan := b[4]
		if whole[0] == former {
			plan |= hasKnown | hasSpent
		}
		r := policy.Report{Customer: uint64(binary.BigEndian.Uint32(b)), Plan: int(plan &^ (hasKnown | hasSpent)),
			DemandPerSecond: unpack(b[5])}
		b = b[bare:]
		for _, f := range []struct {
			bit byte
			v   *float64
		}{{hasKnown, &r.PreviousDemandPerSecond}, {hasSpent, &r.SpentUnits}} {
			if plan&f.bit != 0 {
				if len(b) == 0 {
					return none, fmt.Errorf("peer message of %d bytes ends within a report", len(whole))
				}
				*f.v, b = unpack(b[0]), b[1:]
			}
		}
		dst = append(dst, r)
	}
	if len(b) > 0 || len(dst)-len(none) != n {
		return none, fmt.Errorf("peer message of %d bytes for %d reports", len(whole), n)
	}
	return dst, nil
}

func pack(v float64) uint8 {
	if !(v > least) {
		return 0
	}
	return uint8(math.Min(1+math.Round(math.Log2(v/least)/step), math.MaxUint8))
}

func unpack(v uint8) float64 {
	if v == 0 {
		return 0
	}
	return least * math.Exp2(float64(v-1)*step)
}
