package checkpoint

import (
	"math"

	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/policy"
)

// This file contains the encoding of a Snapshot. Counts and indexes have 32 bits, times and quantities are
// float64.

// customerFloats returns pointers to the encoded floats of a customer, in the order of the encoding.
func customerFloats(customer *policy.CustomerState) [17]*float64 {
	return [...]*float64{
		&customer.ShareTokens,
		&customer.QuotaTokens,
		&customer.FilledAtMillis,
		&customer.PeerDemand,
		&customer.PeerSpentUnits,
		&customer.SilentPeerDemand,
		&customer.PeerDemandAtMillis,
		&customer.OwnDemand,
		&customer.RecentDemand,
		&customer.LastRequestAtMillis,
		&customer.CoolSinceMillis,
		&customer.UnreportedUnits,
		&customer.ReportedDemand,
		&customer.ReportedAtMillis,
		&customer.PreviousReportedDemand,
		&customer.UncollectedRepayment,
		&customer.CreditAtMillis,
	}
}

// encode appends the snapshot to b.
func encode(b []byte, snapshot *Snapshot) []byte {
	state := &snapshot.State
	for _, number := range [...]int{len(state.Peers), len(state.ShortDeadlineSuccess), len(state.Customers)} {
		b = byteOrder.AppendUint32(b, uint32(number))
	}
	for _, v := range [...]float64{state.AtMillis, state.StartedAtMillis, state.NextReportAtMillis} {
		b = appendFloat(b, v)
	}
	for i := range state.ShortDeadlineSuccess {
		b = appendFloat(appendFloat(b, state.ShortDeadlineSuccess[i]), state.AttemptMillis[i])
	}
	reportBytesLeft := maxReportBytes
	for i := range state.Peers {
		peer := &state.Peers[i]
		for _, v := range [...]float64{peer.ReceivedAtMillis, peer.ReportedAtMillis, peer.ReportDueSinceMillis,
			peer.ReportsReceivedAtMillis} {
			b = appendFloat(b, v)
		}
		var message incarnation.MessageID
		if i < len(snapshot.LastMessages) {
			message = snapshot.LastMessages[i]
		}
		b = byteOrder.AppendUint32(byteOrder.AppendUint32(b, message.Incarnation), message.Sequence)
		number := min(len(peer.LastReports), reportBytesLeft/reportSize)
		reportBytesLeft -= number * reportSize
		b = byteOrder.AppendUint32(byteOrder.AppendUint32(b, flagBit(peer.Silent, 1)|flagBit(peer.Lost, 2)),
			uint32(number))
		for k := range peer.LastReports[:number] {
			report := &peer.LastReports[k]
			b = byteOrder.AppendUint32(byteOrder.AppendUint32(b, uint32(report.Customer)), uint32(report.Plan))
			b = appendFloat(b, report.DemandPerSecond)
		}
	}
	for i := range state.Customers {
		customer := &state.Customers[i]
		for _, number := range [...]int{int(uint32(customer.ID)), customer.Plan, customer.SetSize,
			customer.FirstGateway,
			min(customer.Requests, math.MaxInt32),
			customer.SilentPeers<<1 | int(flagBit(customer.Hot, 1))} {
			b = byteOrder.AppendUint32(b, uint32(number))
		}
		for _, v := range customerFloats(customer) {
			b = appendFloat(b, *v)
		}
	}
	return b
}

func appendFloat(b []byte, v float64) []byte { return byteOrder.AppendUint64(b, math.Float64bits(v)) }

func flagBit(is bool, bit uint32) uint32 {
	if is {
		return bit
	}
	return 0
}

// decoder reads the output of encode. If there are too few bytes for a value, failed is set and the value
// is 0.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) uint32() int {
	if len(d.data) < 4 {
		d.failed = true
		return 0
	}
	n := byteOrder.Uint32(d.data)
	d.data = d.data[4:]
	return int(n)
}

func (d *decoder) float64() float64 {
	if len(d.data) < 8 {
		d.failed = true
		return 0
	}
	v := math.Float64frombits(byteOrder.Uint64(d.data))
	d.data = d.data[8:]
	return v
}

// count returns n, a decoded number of elements. If the remaining data is too short for n elements of size
// bytes, failed is set and the result is 0.
func (d *decoder) count(n, size int) int {
	if n > len(d.data)/size {
		d.failed = true
		return 0
	}
	return n
}

// snapshot decodes a complete snapshot.
func (d *decoder) snapshot(snapshot *Snapshot) {
	state := &snapshot.State
	peers, plans, customers := d.uint32(), d.uint32(), d.uint32()
	state.AtMillis, state.StartedAtMillis, state.NextReportAtMillis = d.float64(), d.float64(), d.float64()
	for range d.count(plans, 16) {
		state.ShortDeadlineSuccess, state.AttemptMillis = append(
			state.ShortDeadlineSuccess,
			d.float64(),
		), append(
			state.AttemptMillis,
			d.float64(),
		)
	}
	for range d.count(peers, peerSize) {
		peer := policy.PeerState{
			ReceivedAtMillis:        d.float64(),
			ReportedAtMillis:        d.float64(),
			ReportDueSinceMillis:    d.float64(),
			ReportsReceivedAtMillis: d.float64(),
		}
		message := incarnation.MessageID{Incarnation: uint32(d.uint32()), Sequence: uint32(d.uint32())}
		snapshot.LastMessages = append(snapshot.LastMessages, message)
		flags := d.uint32()
		peer.Silent, peer.Lost = flags&1 != 0, flags&2 != 0
		for range d.count(d.uint32(), reportSize) {
			peer.LastReports = append(peer.LastReports, policy.Report{Customer: uint64(d.uint32()), Plan: d.uint32(),
				DemandPerSecond: d.float64()})
		}
		state.Peers = append(state.Peers, peer)
	}
	for range d.count(customers, customerSize) {
		customer := policy.CustomerState{
			ID:           uint64(d.uint32()),
			Plan:         d.uint32(),
			SetSize:      d.uint32(),
			FirstGateway: d.uint32(),
			Requests:     d.uint32(),
		}
		flags := d.uint32()
		customer.SilentPeers, customer.Hot = flags>>1, flags&1 != 0
		for _, value := range customerFloats(&customer) {
			*value = d.float64()
		}
		state.Customers = append(state.Customers, customer)
	}
}
