// Package gossip turns a gatekeeper's demand reports into the bytes of one peer message and back.
//
// A message is a version byte, a count byte, and for each report four bytes of the customer's number,
// big-endian, and one each of its plan, its demand, what is known of that, and the units sent on. The last
// three are logarithmic, so that they are right within a twentieth.
package gossip

import (
	"encoding/binary"
	"fmt"
	"math"

	"willowdeck/logic"
)

const (
	version = 4
	header  = 2
	entry   = 8
	Limit   = 256 // bytes that a peer message may have

	step  = 1.0 / 8    // of a power of two, between neighbouring demands
	least = 1.0 / 1024 // units a second; less is nought
)

// Room is how many reports fit one message.
const Room = (Limit - header) / entry

// Append adds the message for the reports, at most Room of them, to dst.
func Append(dst []byte, reports []logic.Report) []byte {
	reports = reports[:min(len(reports), Room)]
	dst = append(dst, version, byte(len(reports)))
	for _, r := range reports {
		dst = binary.BigEndian.AppendUint32(dst, uint32(r.Customer))
		dst = append(dst, byte(r.Plan), pack(r.Demand), pack(r.Known), pack(r.Spent))
	}
	return dst
}

// Decode reads a message into dst. A message that is not whole, or of another version, gives an error and
// nothing else.
func Decode(dst []logic.Report, b []byte) ([]logic.Report, error) {
	if len(b) < header {
		return dst, fmt.Errorf("peer message of %d bytes: too short", len(b))
	}
	if b[0] != version {
		return dst, fmt.Errorf("peer message of version %d, not %d", b[0], version)
	}
	if n := int(b[1]); len(b) != header+n*entry {
		return dst, fmt.Errorf("peer message of %d bytes for %d reports", len(b), n)
	}
	for b = b[header:]; len(b) > 0; b = b[entry:] {
		dst = append(dst, logic.Report{
			Customer: uint64(binary.BigEndian.Uint32(b)),
			Plan:     int(b[4]),
			Demand:   unpack(b[5]), Known: unpack(b[6]), Spent: unpack(b[7]),
		})
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
