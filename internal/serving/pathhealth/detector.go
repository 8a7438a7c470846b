// Package pathhealth finds out which places an edge has no path to, there and back. It has one edge of each
// other zone probed by turns, and a place is suspected once several probes in a row, to different edges, have
// stayed without an answer. This is the failure detection of SWIM (Das, Gupta and Motivala, 2002) applied to
// paths in place of members: the edges there stand for the workers, so that a cut or a loss of a region is
// seen at once, and not by each worker's silence.
//
// A probe is answered by its receiver at once, so an answer proves both directions as of the moment at which
// the probe was sent; so does the head of a worker's answer. A first unanswered probe is followed by others
// in quick succession. What a place costs does not grow with the number of edges, and all probes of an edge
// together keep within probesPerSecond.
//
// The package has no I/O, clock or goroutines, and is not safe for concurrent use.
package pathhealth

import (
	"slices"
	"time"
)

const (
	shortestPeriod  = 150 * time.Millisecond // between two probes to a region
	probesPerSecond = 20                     // of one edge, to all regions together, while nothing is missed
	confirmPeriod   = 40 * time.Millisecond  // between two probes while a miss is neither confirmed nor refuted
	missesToSuspect = 3                      // unanswered probes in a row
	firstPatience   = 250 * time.Millisecond // for an answer, before a round trip is known
	leastPatience   = 40 * time.Millisecond
	patienceFactor  = 2.5             // times the smoothed round trip
	roundTripWeight = 0.2             // of a new round trip in the smoothed one
	suspicionLife   = 3 * time.Second // without a new miss: where nobody is left to be probed
)

// Place is where a machine stands.
type Place struct{ Zone, Region string }

// Target is an edge that may be probed.
type Target struct {
	Name string
	Place
	Linked bool // the core has a link to it: those without one are probed only where there is no other
}

// Probe is to be sent to an edge.
type Probe struct {
	Target string
	Number uint64
}

// sent is a probe whose answer may still come.
type sent struct {
	zone   string
	at     time.Duration
	missed bool // the answer is overdue
}

// zonePath is what is known of the path to one zone.
type zonePath struct {
	provenAt time.Duration // when the newest message left that is known to have been answered
	proven   bool
	misses   []time.Duration // when the unanswered probes since then were sent
	lastMiss time.Duration   // when the newest miss was found
	next     int             // of the targets, by turns
}

// regionPath is what is known of the path to one region.
type regionPath struct {
	zones     map[string]*zonePath
	next      int // of the zones, by turns
	nextProbe time.Duration
	roundTrip time.Duration // smoothed; 0: not known
}

// Watch watches the paths of one edge.
type Watch struct {
	own     Place
	regions map[string]*regionPath
	number  uint64
	waiting map[uint64]*sent
}

// New makes a watch for an edge at that place. Its probes are numbered from first on, which no earlier life
// of the process may have come to.
func New(own Place, first uint64) *Watch {
	return &Watch{own: own, regions: map[string]*regionPath{}, number: first, waiting: map[uint64]*sent{}}
}

// Due returns the probes to be sent now: at most one for each region. Targets of the edge's own zone are
// left out.
func (w *Watch) Due(now time.Duration, targets []Target) []Probe {
	w.noteMisses(now)
	byZone := w.group(targets)
	period := max(shortestPeriod, time.Duration(len(w.regions))*time.Second/probesPerSecond)
	var probes []Probe
	for _, name := range sortedKeys(w.regions) {
		region := w.regions[name]
		if now < region.nextProbe {
			continue
		}
		region.nextProbe = now + period
		if region.unconfirmed() {
			region.nextProbe = now + confirmPeriod
		}
		if probe, ok := w.probeRegion(now, region, byZone); ok {
			probes = append(probes, probe)
		}
	}
	return probes
}

// group sorts the targets by zone, and keeps only the zones that have some.
func (w *Watch) group(targets []Target) map[string][]Target {
	byZone := map[string][]Target{}
	for _, linked := range []bool{true, false} {
		for _, target := range targets {
			if target.Zone == w.own.Zone || target.Linked != linked {
				continue
			}
			if !linked && len(byZone[target.Zone]) > 0 && byZone[target.Zone][0].Linked {
				continue
			}
			byZone[target.Zone] = append(byZone[target.Zone], target)
			w.zone(target.Place)
		}
	}
	return byZone
}

// zone returns what is known of a zone's path.
func (w *Watch) zone(place Place) *zonePath {
	region := w.regions[place.Region]
	if region == nil {
		region = &regionPath{zones: map[string]*zonePath{}}
		w.regions[place.Region] = region
	}
	zone := region.zones[place.Zone]
	if zone == nil {
		zone = &zonePath{}
		region.zones[place.Zone] = zone
	}
	return zone
}

// probeRegion probes the region's next zone that has somebody to be probed.
func (w *Watch) probeRegion(now time.Duration, region *regionPath, byZone map[string][]Target) (Probe, bool) {
	names := sortedKeys(region.zones)
	for range names {
		name := names[region.next%len(names)]
		region.next++
		targets := byZone[name]
		if len(targets) == 0 {
			continue
		}
		zone := region.zones[name]
		target := targets[zone.next%len(targets)]
		zone.next++
		w.number++
		w.waiting[w.number] = &sent{zone: name, at: now}
		return Probe{Target: target.Name, Number: w.number}, true
	}
	return Probe{}, false
}

// noteMisses takes the probes that have waited for too long as unanswered.
func (w *Watch) noteMisses(now time.Duration) {
	for _, number := range sortedKeys(w.waiting) {
		probe := w.waiting[number]
		region, zone := w.find(probe.zone)
		switch {
		case now-probe.at > suspicionLife:
			delete(w.waiting, number)
		case !probe.missed && now-probe.at > region.patience():
			probe.missed = true
			zone.miss(now, probe.at)
			region.nextProbe = min(region.nextProbe, now)
		}
	}
}

// miss notes that a probe is overdue, unless something that was sent later has been answered.
func (z *zonePath) miss(now, sentAt time.Duration) {
	if z.proven && z.provenAt >= sentAt {
		return
	}
	z.misses = append(z.misses, sentAt)
	z.lastMiss = now
	if len(z.misses) > missesToSuspect {
		z.misses = z.misses[1:]
	}
}

func (w *Watch) find(zone string) (*regionPath, *zonePath) {
	for _, region := range w.regions {
		if path := region.zones[zone]; path != nil {
			return region, path
		}
	}
	return nil, nil
}

// Answered takes the answer to a probe. A late one proves the path as well, and teaches patience.
func (w *Watch) Answered(now time.Duration, number uint64) {
	probe, known := w.waiting[number]
	if !known {
		return
	}
	delete(w.waiting, number)
	region, zone := w.find(probe.zone)
	trip := now - probe.at
	if region.roundTrip == 0 {
		region.roundTrip = trip
	}
	region.roundTrip += time.Duration(roundTripWeight * float64(trip-region.roundTrip))
	zone.prove(probe.at)
}

// Proven takes the word that a message which was sent to a place at that time has been answered.
func (w *Watch) Proven(sentAt time.Duration, place Place) {
	if place.Zone != w.own.Zone {
		w.zone(place).prove(sentAt)
	}
}

func (z *zonePath) prove(sentAt time.Duration) {
	if z.proven && sentAt <= z.provenAt {
		return
	}
	z.proven = true
	z.provenAt = sentAt
	z.misses = slices.DeleteFunc(z.misses, func(missed time.Duration) bool { return missed <= sentAt })
}

// Suspect reports whether there seems to be no path to a place: to its zone, or to all of its region.
func (w *Watch) Suspect(now time.Duration, place Place) bool {
	region := w.regions[place.Region]
	if region == nil || place.Zone == w.own.Zone {
		return false
	}
	zone := region.zones[place.Zone]
	if zone != nil && zone.suspect(now) {
		return true
	}
	return place.Region != w.own.Region && region.suspect(now)
}

func (z *zonePath) suspect(now time.Duration) bool {
	return len(z.misses) >= missesToSuspect && now-z.lastMiss < suspicionLife
}

// suspect reports whether all zones of the region miss answers, and all together enough of them.
func (r *regionPath) suspect(now time.Duration) bool {
	misses := 0
	for _, zone := range r.zones {
		if len(zone.misses) == 0 || now-zone.lastMiss >= suspicionLife {
			return false
		}
		misses += len(zone.misses)
	}
	return misses >= missesToSuspect
}

// unconfirmed reports whether some zone has a miss that is neither refuted nor enough for a suspicion.
func (r *regionPath) unconfirmed() bool {
	for _, zone := range r.zones {
		if count := len(zone.misses); count > 0 && count < missesToSuspect {
			return true
		}
	}
	return false
}

// patience is how long an answer from the region is waited for.
func (r *regionPath) patience() time.Duration {
	if r.roundTrip == 0 {
		return firstPatience
	}
	return max(leastPatience, time.Duration(patienceFactor*float64(r.roundTrip)))
}
