package loadreport

import (
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	minInterval        = 100 * time.Millisecond
	intervalPerPeer    = 15 * time.Millisecond // so that an edge's bytes do not grow with the number of edges
	maxPeers           = 60                    // beyond which reports would be too old to be worth their bytes
	freshnessIntervals = 3.5                   // for which a report counts
)

// Interval returns how often an edge reports, by the number of its peers.
func Interval(peers int) time.Duration {
	return max(minInterval, time.Duration(peers)*intervalPerPeer)
}

// Enabled reports whether edges report to each other at all, by the number of an edge's peers.
func Enabled(peers int) bool { return peers > 0 && peers <= maxPeers }

// Load is the load of a worker that some edges have caused.
type Load struct {
	InFlight      float64 // requests
	PrefillTokens float64 // prompt tokens of the requests in flight that have no first token yet
}

type report struct {
	number     uint64 // counted by the edge
	receivedAt time.Duration
	loads      map[string]Load // by worker instance
}

// Peers holds the newest report of each peer.
type Peers struct {
	reports map[string]*report // by edge
}

// New returns a Peers without reports.
func New() *Peers { return &Peers{reports: map[string]*report{}} }

// Record records a report, unless it is not newer than the last one of its edge.
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

// fresh reports whether a report still counts, among that many peers.
func (r *report) fresh(now time.Duration, peers int) bool {
	return now-r.receivedAt < time.Duration(freshnessIntervals*float64(Interval(peers)))
}

// Total returns the load of a worker that the peers report; peers is how many there are. known is false where
// fewer than half of them have a fresh report: then the worker's own figures are the better guide.
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

// Retain drops the reports of the edges that wanted rejects.
func (p *Peers) Retain(wanted func(edge string) bool) {
	for edge := range p.reports {
		if !wanted(edge) {
			delete(p.reports, edge)
		}
	}
}
