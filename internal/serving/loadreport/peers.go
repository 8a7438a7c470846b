// Package loadreport adds up what other edges say that they have in hand at workers. Reports are datagrams:
// each replaces the one before it, a lost one is made good by the next, and an edge that is not heard from
// drops out. The package has no I/O, clock or goroutines, and is not safe for concurrent use.
package loadreport

import (
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	shortestPeriod = 100 * time.Millisecond
	periodPerPeer  = 15 * time.Millisecond // so that an edge's bytes do not grow with the number of edges
	mostPeers      = 60                    // beyond which reports would be too old to be worth their bytes
	periodsHeard   = 3.5                   // that a report counts for
)

// Period is how often an edge reports, by the number of others.
func Period(peers int) time.Duration {
	return max(shortestPeriod, time.Duration(peers)*periodPerPeer)
}

// Worthwhile reports whether edges tell each other at all, by the number of others.
func Worthwhile(peers int) bool { return peers > 0 && peers <= mostPeers }

// Load is what is in hand at a worker.
type Load struct {
	InHand float64
	Unread float64 // prompt tokens of requests without a first token
}

type report struct {
	number uint64
	heard  time.Duration
	loads  map[string]Load
}

// Peers holds the newest report of each other edge.
type Peers struct {
	reports map[string]*report
}

// New holds no reports.
func New() *Peers { return &Peers{reports: map[string]*report{}} }

// Take takes a report. Late ones are left out.
func (p *Peers) Take(now time.Duration, message *wirepb.LoadReport) {
	if held := p.reports[message.Edge]; held != nil && held.number >= message.Number {
		return
	}
	taken := &report{number: message.Number, heard: now, loads: map[string]Load{}}
	for _, load := range message.Loads {
		taken.loads[load.InstanceId] = Load{InHand: float64(load.InHand), Unread: float64(load.UnreadTokens)}
	}
	p.reports[message.Edge] = taken
}

// fresh reports whether a report still counts, among that many peers.
func (r *report) fresh(now time.Duration, peers int) bool {
	return now-r.heard < time.Duration(periodsHeard*float64(Period(peers)))
}

// Sum returns what other edges have in hand at a worker. known is false where fewer than half of them are
// heard from: then what the worker says itself is the better guide.
func (p *Peers) Sum(now time.Duration, instance string, peers int) (sum Load, known bool) {
	heard := 0
	for _, r := range p.reports {
		if !r.fresh(now, peers) {
			continue
		}
		heard++
		sum.InHand += r.loads[instance].InHand
		sum.Unread += r.loads[instance].Unread
	}
	return sum, 2*heard >= peers
}

// Keep forgets the edges that wanted does not name.
func (p *Peers) Keep(wanted func(edge string) bool) {
	for edge := range p.reports {
		if !wanted(edge) {
			delete(p.reports, edge)
		}
	}
}
