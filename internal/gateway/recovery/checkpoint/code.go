package checkpoint

import (
	"math"

	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/policy"
)

// This file puts a copy in bytes and back. All figures are little-endian; times and units are eight bytes.

// figures are those of a customer that are written, in their order.
func figures(c *policy.CustomerState) [17]*float64 {
	return [...]*float64{&c.ShareTokens, &c.QuotaTokens, &c.FilledAtMillis, &c.PeerDemand, &c.PeerSpentUnits,
		&c.SilentPeerDemand, &c.PeerDemandAtMillis, &c.OwnDemand,
		&c.RecentDemand, &c.LastRequestAtMillis, &c.CoolSinceMillis, &c.UnreportedUnits, &c.ReportedDemand,
		&c.ReportedAtMillis, &c.PreviousReportedDemand, &c.UncollectedRepayment,
		&c.CreditAtMillis}
}

func encode(b []byte, l *Left) []byte {
	e := &l.Estate
	for _, n := range [...]int{len(e.Peers), len(e.ShortDeadlineSuccess), len(e.Customers)} {
		b = order.AppendUint32(b, uint32(n))
	}
	for _, v := range [...]float64{e.AtMillis, e.StartedAtMillis, e.NextReportAtMillis} {
		b = number(b, v)
	}
	for i := range e.ShortDeadlineSuccess {
		b = number(number(b, e.ShortDeadlineSuccess[i]), e.AttemptMillis[i])
	}
	left := most
	for i := range e.Peers {
		p := &e.Peers[i]
		for _, v := range [...]float64{p.HeardAtMillis, p.ReportedAtMillis, p.ReportDueSinceMillis,
			p.ReportsHeardAtMillis} {
			b = number(b, v)
		}
		var w incarnation.MessageID
		if i < len(l.Words) {
			w = l.Words[i]
		}
		b = order.AppendUint32(order.AppendUint32(b, w.Incarnation), w.Sequence)
		n := min(len(p.LastReports), left/perWord)
		left -= n * perWord
		b = order.AppendUint32(order.AppendUint32(b, flag(p.Silent, 1)|flag(p.Lost, 2)), uint32(n))
		for k := range p.LastReports[:n] {
			r := &p.LastReports[k]
			b = order.AppendUint32(order.AppendUint32(b, uint32(r.Customer)), uint32(r.Plan))
			b = number(b, r.DemandPerSecond)
		}
	}
	for i := range e.Customers {
		c := &e.Customers[i]
		for _, n := range [...]int{int(uint32(c.ID)), c.Plan, c.SetSize, c.FirstGateway, min(c.Requests,
			math.MaxInt32),
			c.SilentPeers<<1 | int(flag(c.Hot, 1))} {
			b = order.AppendUint32(b, uint32(n))
		}
		for _, v := range figures(c) {
			b = number(b, *v)
		}
	}
	return b
}

func number(b []byte, v float64) []byte { return order.AppendUint64(b, math.Float64bits(v)) }

func flag(is bool, bit uint32) uint32 {
	if is {
		return bit
	}
	return 0
}

// decoder takes what encode has put, and is bad once there is too little of it.
type decoder struct {
	b   []byte
	bad bool
}

func (d *decoder) whole() int {
	if len(d.b) < 4 {
		d.bad = true
		return 0
	}
	n := order.Uint32(d.b)
	d.b = d.b[4:]
	return int(n)
}

func (d *decoder) number() float64 {
	if len(d.b) < 8 {
		d.bad = true
		return 0
	}
	v := math.Float64frombits(order.Uint64(d.b))
	d.b = d.b[8:]
	return v
}

// count takes how many there are of something of so many bytes each.
func (d *decoder) count(n, each int) int {
	if n > len(d.b)/each {
		d.bad = true
		return 0
	}
	return n
}

func (d *decoder) left(l *Left) {
	e := &l.Estate
	peers, plans, customers := d.whole(), d.whole(), d.whole()
	e.AtMillis, e.StartedAtMillis, e.NextReportAtMillis = d.number(), d.number(), d.number()
	for range d.count(plans, 16) {
		e.ShortDeadlineSuccess, e.AttemptMillis = append(e.ShortDeadlineSuccess, d.number()),
			append(e.AttemptMillis, d.number())
	}
	for range d.count(peers, perPeer) {
		p := policy.PeerState{HeardAtMillis: d.number(), ReportedAtMillis: d.number(),
			ReportDueSinceMillis: d.number(), ReportsHeardAtMillis: d.number()}
		w := incarnation.MessageID{Incarnation: uint32(d.whole()), Sequence: uint32(d.whole())}
		l.Words = append(l.Words, w)
		bits := d.whole()
		p.Silent, p.Lost = bits&1 != 0, bits&2 != 0
		for range d.count(d.whole(), perWord) {
			p.LastReports = append(p.LastReports, policy.Report{Customer: uint64(d.whole()), Plan: d.whole(),
				DemandPerSecond: d.number()})
		}
		e.Peers = append(e.Peers, p)
	}
	for range d.count(customers, perOne) {
		c := policy.CustomerState{ID: uint64(d.whole()), Plan: d.whole(), SetSize: d.whole(),
			FirstGateway: d.whole(),
			Requests:     d.whole()}
		bits := d.whole()
		c.SilentPeers, c.Hot = bits>>1, bits&1 != 0
		for _, v := range figures(&c) {
			*v = d.number()
		}
		e.Customers = append(e.Customers, c)
	}
}
