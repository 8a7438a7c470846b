package loadreport

import (
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	// minInterval is the minimum interval between two reports of an edge.
	minInterval = 100 * time.Millisecond
	// intervalPerPeer is the report interval per peer. It makes the interval proportional to the number of
	// peers, so that the bytes that an edge sends do not grow with that number.
	intervalPerPeer = 15 * time.Millisecond
	// maxPeers is the number of peers above which edges do not report: with so long an interval, reports would
	// be too old to be useful.
	maxPeers = 60
	// freshnessIntervals is the number of report intervals for which a report counts.
	freshnessIntervals = 3.5
)

// Interval returns the interval between two reports of an edge with that number of peers.
func Interval(peers int) time.Duration {
	return max(minInterval, time.Duration(peers)*intervalPerPeer)
}

// Enabled reports whether edges with that number of peers report to each other at all.
func Enabled(peers int) bool { return peers > 0 && peers <= maxPeers }

// Load is the load of a worker by the requests of one or more edges.
type Load struct {
	InFlight      float64 // requests in flight
	PrefillTokens float64 // prompt tokens of the requests in flight without a first token yet
}

// report is the newest report of one edge.
type report struct {
	number     uint64 // sequence number, counted by the edge
	receivedAt time.Duration
	loads      map[string]Load // by worker instance
}

// Peers holds the newest report of each peer.
type Peers struct {
	reports map[string]*report // by edge
}

// New returns a Peers without reports.
func New() *Peers { return &Peers{reports: map[string]*report{}} }

// Record records a report if it is newer than the last one of its edge.
func (p *Peers) Record(now time.Duration, message *wirepb.LoadReport) {
	if last := p.reports[message.Edge]; last != nil && last.number >= message.Sequence {
		return
	}
	received := &report{number: message.Sequence, receivedAt: now, loads: map[string]Load{}}
	for _, load := range message.Loads {
		received.loads[load.InstanceId] = Load{
			InFlight: float64(load.InFlight), PrefillTokens: float64(load.PrefillTokens),
		}
	}
	p.reports[message.Edge] = received
}

// fresh reports whether a report still counts. peers is the number of peers, which determines the interval.
func (r *report) fresh(now time.Duration, peers int) bool {
	return now-r.receivedAt < time.Duration(freshnessIntervals*float64(Interval(peers)))
}

// Total returns the load of a worker that the peers report. peers is the number of peers. known is false if
// fewer than half of them have a fresh report; the worker's own report is then more accurate.
func (p *Peers) Total(now time.Duration, instance string, peers int) (total Load, known bool) {
	fresh := 0
	for _, r := range p.reports {
		if !r.fresh(now, peers) {
			continue
		}
		fresh++
		total.InFlight += r.loads[instance].InFlight
		total.PrefillTokens += r.loads[instance].PrefillTokens
	}
	return total, 2*fresh >= peers
}

// Retain removes the reports of the edges for which wanted returns false.
func (p *Peers) Retain(wanted func(edge string) bool) {
	for edge := range p.reports {
		if !wanted(edge) {
			delete(p.reports, edge)
		}
	}
}
