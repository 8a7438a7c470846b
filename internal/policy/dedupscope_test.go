package policy

import (
	"fmt"
	"testing"
)

// groups gives a host with four workers in each of two zones, two in each cell, and a referenced product.
func groups(t *testing.T, of DedupScope, change func(*Settings)) *host {
	h := newHost(t, charterFor(Deduplicated, func(c *Settings) {
		c.Products[0].DedupScope = of
		if change != nil {
			change(c)
		}
	}), 1, 0)
	h.g.UpdateEndpoints(h.zones(), false)
	return h
}

func (h *host) zones() (list []Endpoint) {
	for w := range 8 {
		list = append(list, Endpoint{Worker: w, Zone: w / 4, Cell: w / 2, Active: true})
	}
	return list
}

// A group is left by its worker, or by the others, while a submission is out that may have run: a repeat goes
// to the group that it was in when it was sent to, or nowhere. Guards against marks that nobody there has.
func TestGroupLeftInMidAttempt(t *testing.T) {
	moved := func(h *host, w, zone, cell int) {
		h.g.UpdateEndpoints([]Endpoint{{Worker: w, Zone: zone, Cell: cell, Active: true}}, true)
	}
	cases := []struct {
		name  string
		leave func(h *host, w int)
		least int // repeats over all tries: 0 is none at all
	}{
		{"nothing changes", func(*host, int) {}, 40},
		{"its worker moves", func(h *host, w int) { moved(h, w, 1-w/4, (w/2+2)%4) }, 40},
		{"its worker drains", func(h *host, w int) {
			h.g.UpdateEndpoints([]Endpoint{{Worker: w, Zone: w / 4, Cell: w / 2}}, true)
		}, 40},
		{"its worker starts anew", func(h *host, w int) {
			h.g.UpdateEndpoints([]Endpoint{{Worker: w, Zone: w / 4, Cell: w / 2, Active: true,
				StartedAtMillis: h.now}}, true)
		}, 40},
		{"its worker is on no list", func(h *host, w int) {
			list := h.zones()
			h.g.UpdateEndpoints(append(list[:w], list[w+1:]...), false)
		}, 40},
		{"all the others move away", func(h *host, w int) {
			for o := range 8 {
				if o != w && o/4 == w/4 {
					moved(h, o, 1-w/4, (o/2+2)%4)
				}
			}
			moved(h, w, 1-w/4, (w/2+2)%4)
		}, 0},
	}
	for _, of := range []DedupScope{DedupWithinZone, DedupWithinCell, DedupAcrossFleet} {
		for _, c := range cases {
			for _, o := range []Outcome{ConnectionLost, TimedOut, Failed, Cancelled} {
				t.Run(fmt.Sprint(of, " ", c.name, " ", o), func(t *testing.T) {
					again := 0
					for range 40 {
						h := groups(t, of, nil)
						h.now += float64(again)
						s := h.txn(7, 1)
						w := s.subs[0].Worker
						h.at(h.now + 50)
						c.leave(h, w)
						at := map[int]*workerRecord{}
						for i := range h.g.workers {
							at[i] = &h.g.workers[i]
						}
						h.ended(s, 0, o, 50)
						if len(s.subs) < 2 {
							if s.final == 0 || of != DedupAcrossFleet && s.final != RejectUncertain {
								t.Fatalf("neither repeated nor given up: %v", s.final)
							}
							continue
						}
						again++
						next := at[s.subs[1].Worker]
						if of == DedupWithinZone && next.Zone != w/4 || of == DedupWithinCell && next.Cell != w/2 {
							t.Fatalf("first at %d, again at %d, now of zone %d and cell %d", w, s.subs[1].Worker, next.Zone,
								next.Cell)
						}
					}
					if of != DedupAcrossFleet && (again < c.least || c.least == 0 && again > 0) {
						t.Errorf("%d of 40 were repeated", again)
					}
				})
			}
		}
	}
}
