package policy

import (
	"math"
	"testing"
)

// Guards against news of a small set that waits for the period of a large fleet: each of five gateways
// knows only a second later what the others have sent on.
func TestImmediateReports(t *testing.T) {
	const n, set, first = 80, 5, 78
	charter := func(me int) Settings {
		return settingsFor(Idempotent, func(c *Settings) {
			c.GatewayIndex, c.GatewayCount, c.PeerMessagesPerSecond = me, n, 60
			c.Plans[0].QuotaPerSecond, c.Plans[0].QuotaBurst = 4, 6
		})
	}
	hosts, heard := map[int]*host{}, map[int]int{}
	for i := range set {
		me := (first + i) % n
		hosts[me] = newHost(t, charter(me), int64(i+1), 8)
	}
	pass := func() {
		for from, h := range hosts {
			for _, d := range h.reported {
				if to := hosts[d.Peer]; to != nil {
					to.engine.ReceiveReports(from, d.Reports)
					heard[d.Peer]++
				}
			}
			h.reported = nil
		}
	}
	in, out := 0, 0
	for i := range 40 { // a store of six that fills at four a second, and ten a second are asked
		for _, h := range hosts {
			h.advanceTo(20000 + 100*float64(i))
		}
		h := hosts[(first+i*3%set)%n]
		s := h.submit(Request{Customer: 9, Units: 1, SetSize: set, FirstGateway: first, TimeLeftMillis: 3000})
		if s.final == 0 {
			in++
			h.endAttempt(s, 0, Succeeded, 20)
		} else {
			out++
		}
		pass()
	}
	if in < 16 || in > 24 || out == 0 {
		t.Errorf("%d of 40 requests are let in, %d declined; the quota has 22", in, out)
	}
	for me := range hosts {
		if heard[me] < in/2 {
			t.Errorf("gateway %d heard %d messages of %d requests", me, heard[me], in)
		}
	}
}

// Guards against words said at once that fill the peers' intake: there the period's have to do.
func TestImmediateReportsWithinIntake(t *testing.T) {
	h := newHost(t, settingsFor(Idempotent, func(c *Settings) {
		c.GatewayCount, c.PeerMessagesPerSecond, c.Plans[0].QuotaPerSecond, c.Plans[0].QuotaBurst = 80, 60, 1000,
			1000
	}), 1, 8)
	h.advanceTo(h.now + 10000)
	h.drainDecisions()
	h.reported = nil
	const seconds = 10
	for i := range 100 * seconds {
		h.advanceTo(h.now + 10)
		s := h.submit(Request{Customer: uint64(i % 20), Units: 1, SetSize: 5, TimeLeftMillis: 3000})
		if s.final == 0 {
			h.endAttempt(s, 0, Succeeded, 5)
		}
	}
	if most := 60*reportIntakeFraction*seconds + immediateBurstMessages +
		79; float64(len(h.reported)) > math.Ceil(
		most) {
		t.Errorf("%d messages in %d s, %v would fill the peers' intake", len(h.reported), seconds, most)
	}
}

// Guards against two processes of one gateway that both tell its peers: of what is still coming when
// another takes over, the old one says nothing at once.
func TestNoImmediateReportsAfterHandoff(t *testing.T) {
	for _, retired := range []bool{false, true} {
		h := newHost(t, settingsFor(Idempotent, func(c *Settings) {
			c.GatewayCount, c.PeerMessagesPerSecond, c.Plans[0].QuotaPerSecond, c.Plans[0].QuotaBurst = 80, 60, 1000,
				1000
		}), 1, 8)
		s := h.submit(Request{Customer: 9, Units: 1, SetSize: 5, TimeLeftMillis: 3000, StreamsBody: true})
		if retired {
			h.engine.HandOff()
		}
		h.reported = nil
		h.engine.BodyForwarded(s.ID, 0, 1000)
		h.drainDecisions()
		if want := map[bool]int{false: 4, true: 0}[retired]; len(h.reported) != want {
			t.Errorf("retired %v: %d peers are told, not %d", retired, len(h.reported), want)
		}
	}
}
