package pathhealth

import (
	"maps"
	"slices"
	"time"
)

const (
	minCheckInterval     = 150 * time.Millisecond // between two probes to a region
	probesPerSecond      = 20                     // of one edge, to all regions, while nothing is missed
	confirmInterval      = 40 * time.Millisecond  // between two probes while a miss is not confirmed or refuted
	missesToSuspect      = 3                      // unanswered probes in a row
	initialAnswerTimeout = 250 * time.Millisecond // of a probe, before a round trip is known
	minAnswerTimeout     = 40 * time.Millisecond
	tripsToTimeout       = 2.5             // smoothed round trips until a probe counts as missed
	tripWeight           = 0.2             // of a new round trip in the smoothed one
	suspicionExpiry      = 3 * time.Second // after the last miss, for domains without an edge left to probe
)

// FailureDomain is the zone and the region that a machine is in.
type FailureDomain struct{ Zone, Region string }

// Target is an edge that may be probed.
type Target struct {
	Name string
	FailureDomain
	Linked bool // the core has a link to it; others are probed only in zones without a linked edge
}

// Probe is a probe to be sent to an edge.
type Probe struct {
	Target string // the edge's name
	Number uint64
}

// sentProbe is a probe whose answer may still come.
type sentProbe struct {
	zone   string
	sentAt time.Duration
	missed bool // the answer is overdue
}

// zonePath is the state of the path to one zone.
type zonePath struct {
	provenAt   time.Duration   // when the newest message was sent that is known to have been answered
	proven     bool            // provenAt was set
	misses     []time.Duration // when the unanswered probes since then were sent; missesToSuspect at most
	lastMiss   time.Duration   // when the newest miss was found
	nextTarget int             // turn of the targets
}

// regionPath is the state of the path to one region.
type regionPath struct {
	zones     map[string]*zonePath
	nextZone  int           // turn of the zones
	nextProbe time.Duration // when the next probe is due
	roundTrip time.Duration // smoothed; 0: not known
}

// Detector detects which failure domains one edge has no path to.
type Detector struct {
	own        FailureDomain
	regions    map[string]*regionPath
	lastNumber uint64                // of the probes
	pending    map[uint64]*sentProbe // by number
}

// New returns a detector for an edge in the failure domain own. Its probes are numbered from first+1 on,
// which must be above all numbers of earlier incarnations of the process.
func New(own FailureDomain, first uint64) *Detector {
	return &Detector{
		own: own, regions: map[string]*regionPath{}, lastNumber: first, pending: map[uint64]*sentProbe{},
	}
}

// DueProbes returns the probes to be sent now: at most one for each region, none to the edge's own zone. It
// counts them as sent. targets may change from call to call.
func (d *Detector) DueProbes(now time.Duration, targets []Target) []Probe {
	d.recordMisses(now)
	byZone := d.groupByZone(targets)
	interval := max(minCheckInterval, time.Duration(len(d.regions))*time.Second/probesPerSecond)
	var probes []Probe
	for _, name := range slices.Sorted(maps.Keys(d.regions)) {
		region := d.regions[name]
		if now < region.nextProbe {
			continue
		}
		region.nextProbe = now + interval
		if region.unconfirmed() {
			region.nextProbe = now + confirmInterval
		}
		if probe, ok := d.probeRegion(now, region, byZone); ok {
			probes = append(probes, probe)
		}
	}
	return probes
}

// groupByZone returns the targets outside of the edge's own zone by zone: the linked ones, or all of a zone
// that has none. It adds the zones that are new to the detector's state.
func (d *Detector) groupByZone(targets []Target) map[string][]Target {
	byZone := map[string][]Target{}
	for _, linked := range []bool{true, false} {
		for _, target := range targets {
			if target.Zone == d.own.Zone || target.Linked != linked {
				continue
			}
			if !linked && len(byZone[target.Zone]) > 0 && byZone[target.Zone][0].Linked {
				continue
			}
			byZone[target.Zone] = append(byZone[target.Zone], target)
			d.zonePath(target.FailureDomain)
		}
	}
	return byZone
}

// zonePath returns the state of the path to a domain's zone, which it creates at the first call.
func (d *Detector) zonePath(domain FailureDomain) *zonePath {
	region := d.regions[domain.Region]
	if region == nil {
		region = &regionPath{zones: map[string]*zonePath{}}
		d.regions[domain.Region] = region
	}
	zone := region.zones[domain.Zone]
	if zone == nil {
		zone = &zonePath{}
		region.zones[domain.Zone] = zone
	}
	return zone
}

// probeRegion returns a probe to the region's next zone that has targets, and counts it as sent.
func (d *Detector) probeRegion(
	now time.Duration, region *regionPath, byZone map[string][]Target,
) (Probe, bool) {
	names := slices.Sorted(maps.Keys(region.zones))
	for range names {
		name := names[region.nextZone%len(names)]
		region.nextZone++
		targets := byZone[name]
		if len(targets) == 0 {
			continue
		}
		zone := region.zones[name]
		target := targets[zone.nextTarget%len(targets)]
		zone.nextTarget++
		d.lastNumber++
		d.pending[d.lastNumber] = &sentProbe{zone: name, sentAt: now}
		return Probe{Target: target.Name, Number: d.lastNumber}, true
	}
	return Probe{}, false
}

// recordMisses records the pending probes whose answers have become overdue, and drops those that are old.
func (d *Detector) recordMisses(now time.Duration) {
	for _, number := range slices.Sorted(maps.Keys(d.pending)) {
		probe := d.pending[number]
		region, zone := d.findZone(probe.zone)
		switch {
		case now-probe.sentAt > suspicionExpiry:
			delete(d.pending, number)
		case !probe.missed && now-probe.sentAt > region.answerTimeout():
			probe.missed = true
			zone.recordMiss(now, probe.sentAt)
			region.nextProbe = min(region.nextProbe, now)
		}
	}
}

// recordMiss records that a probe is overdue, unless a message that was sent later has been answered.
func (z *zonePath) recordMiss(now, sentAt time.Duration) {
	if z.proven && z.provenAt >= sentAt {
		return
	}
	z.misses = append(z.misses, sentAt)
	z.lastMiss = now
	if len(z.misses) > missesToSuspect {
		z.misses = z.misses[1:]
	}
}

// findZone returns the state of the paths to a zone that was probed, and to its region.
func (d *Detector) findZone(zone string) (*regionPath, *zonePath) {
	for _, region := range d.regions {
		if path := region.zones[zone]; path != nil {
			return region, path
		}
	}
	return nil, nil
}

// RecordAnswer records the answer to a probe. A late one proves the path as well, and its round trip
// lengthens the time-out of the region's probes.
func (d *Detector) RecordAnswer(now time.Duration, number uint64) {
	probe, known := d.pending[number]
	if !known {
		return
	}
	delete(d.pending, number)
	region, zone := d.findZone(probe.zone)
	roundTrip := now - probe.sentAt
	if region.roundTrip == 0 {
		region.roundTrip = roundTrip
	}
	region.roundTrip += time.Duration(tripWeight * float64(roundTrip-region.roundTrip))
	zone.prove(probe.sentAt)
}

// ConfirmPath records that a message which was sent to a domain at sentAt has been answered.
func (d *Detector) ConfirmPath(sentAt time.Duration, domain FailureDomain) {
	if domain.Zone != d.own.Zone {
		d.zonePath(domain).prove(sentAt)
	}
}

// prove records that a message sent at sentAt has been answered: misses of earlier probes do not count any
// more.
func (z *zonePath) prove(sentAt time.Duration) {
	if z.proven && sentAt <= z.provenAt {
		return
	}
	z.proven = true
	z.provenAt = sentAt
	z.misses = slices.DeleteFunc(z.misses, func(missed time.Duration) bool { return missed <= sentAt })
}

// Suspected reports whether there seems to be no path to a domain: to its zone, or to all of its region.
func (d *Detector) Suspected(now time.Duration, domain FailureDomain) bool {
	region := d.regions[domain.Region]
	if region == nil || domain.Zone == d.own.Zone {
		return false
	}
	zone := region.zones[domain.Zone]
	if zone != nil && zone.suspected(now) {
		return true
	}
	return domain.Region != d.own.Region && region.suspected(now)
}

// suspected reports whether enough probes to the zone in a row were missed.
func (z *zonePath) suspected(now time.Duration) bool {
	return len(z.misses) >= missesToSuspect && now-z.lastMiss < suspicionExpiry
}

// suspected reports whether all zones of the region miss answers, and all together enough of them.
func (r *regionPath) suspected(now time.Duration) bool {
	misses := 0
	for _, zone := range r.zones {
		if len(zone.misses) == 0 || now-zone.lastMiss >= suspicionExpiry {
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

// answerTimeout returns how long an answer from the region may take until the probe counts as missed.
func (r *regionPath) answerTimeout() time.Duration {
	if r.roundTrip == 0 {
		return initialAnswerTimeout
	}
	return max(minAnswerTimeout, time.Duration(tripsToTimeout*float64(r.roundTrip)))
}
