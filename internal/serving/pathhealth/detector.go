package pathhealth

import (
	"maps"
	"slices"
	"time"
)

const (
	// minCheckInterval is the minimum interval between two probes to a region while none is missed.
	minCheckInterval = 150 * time.Millisecond
	// probesPerSecond limits the probes of one edge to all regions while none is missed.
	probesPerSecond = 20
	// confirmInterval is the interval between two probes to a region while a miss is neither refuted nor
	// confirmed by further ones.
	confirmInterval = 40 * time.Millisecond
	// missesToSuspect is the number of consecutive unanswered probes after which a domain is suspected.
	missesToSuspect = 3
	// initialAnswerTimeout is the answer timeout of a probe to a region whose round trip time is not known.
	initialAnswerTimeout = 250 * time.Millisecond
	minAnswerTimeout     = 40 * time.Millisecond
	// timeoutRoundTrips is the answer timeout of a probe as a multiple of its region's smoothed round trip
	// time.
	timeoutRoundTrips = 2.5
	// roundTripWeight is the weight of a new round trip time in the smoothed one.
	roundTripWeight = 0.2
	// suspicionExpiry is the time after the last miss when a suspicion expires, so that a domain without an edge
	// to probe does not stay suspected. Pending probes are dropped at the same age.
	suspicionExpiry = 3 * time.Second
)

// FailureDomain is the zone and the region that a machine is in.
type FailureDomain struct{ Zone, Region string }

// Target is an edge that may be probed.
type Target struct {
	Name string
	FailureDomain
	Linked bool // the core has a link to the edge; unlinked edges are probed only in zones without linked ones
}

// Probe is a probe that the caller has to send to an edge.
type Probe struct {
	Target string // the edge's name
	Number uint64
}

// sentProbe is a probe whose answer may still arrive.
type sentProbe struct {
	zone   string
	sentAt time.Duration
	missed bool // the answer timeout has passed
}

// zonePath is the state of the path to one zone.
type zonePath struct {
	provenAt   time.Duration   // when the newest of the answered messages was sent
	proven     bool            // provenAt is valid
	misses     []time.Duration // send times of the last probes missed since provenAt, at most missesToSuspect
	lastMiss   time.Duration   // when the newest miss was recorded
	nextTarget int             // counter that selects the targets in turn
}

// regionPath is the state of the path to one region.
type regionPath struct {
	zones     map[string]*zonePath
	nextZone  int           // counter that selects the zones in turn
	nextProbe time.Duration // when the next probe is due
	roundTrip time.Duration // smoothed round trip time; 0: not known
}

// Detector detects which failure domains one edge has no path to.
type Detector struct {
	own        FailureDomain
	regions    map[string]*regionPath
	lastNumber uint64                // number of the last probe
	pending    map[uint64]*sentProbe // by number
}

// New returns a detector for an edge in the failure domain own. Its probes are numbered from first+1 on.
// first must not be lower than the numbers that earlier incarnations of the process used.
func New(own FailureDomain, first uint64) *Detector {
	return &Detector{
		own: own, regions: map[string]*regionPath{}, lastNumber: first, pending: map[uint64]*sentProbe{},
	}
}

// DueProbes returns the probes that are due at now: at most one per region, and none to the edge's own
// zone. It records them as sent. targets may change from call to call.
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

// groupByZone returns the targets outside the edge's own zone, by zone: the linked ones, or all targets of
// a zone without linked ones. It adds new zones to the detector's state.
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

// zonePath returns the state of the path to a domain's zone. It creates the state of a new zone.
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

// probeRegion returns a probe to the region's next zone that has targets, and records it as sent.
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

// recordMisses records the pending probes whose answer timeout has passed as misses, and drops pending
// probes that are older than suspicionExpiry.
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

// recordMiss records that a probe sent at sentAt was missed, unless a message that was sent at the same
// time or later has been answered.
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

// findZone returns the states of the path to a zone that was probed: that of its region, and that of the
// zone.
func (d *Detector) findZone(zone string) (*regionPath, *zonePath) {
	for _, region := range d.regions {
		if path := region.zones[zone]; path != nil {
			return region, path
		}
	}
	return nil, nil
}

// RecordAnswer records the answer to a probe. A late answer proves the path as well, and its round trip time
// lengthens the answer timeout of the region.
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
	region.roundTrip += time.Duration(roundTripWeight * float64(roundTrip-region.roundTrip))
	zone.prove(probe.sentAt)
}

// ConfirmPath records that a message sent to a domain at sentAt has been answered.
func (d *Detector) ConfirmPath(sentAt time.Duration, domain FailureDomain) {
	if domain.Zone != d.own.Zone {
		d.zonePath(domain).prove(sentAt)
	}
}

// prove records that a message sent at sentAt has been answered. It discards the misses of probes sent
// until then.
func (z *zonePath) prove(sentAt time.Duration) {
	if z.proven && sentAt <= z.provenAt {
		return
	}
	z.proven = true
	z.provenAt = sentAt
	z.misses = slices.DeleteFunc(z.misses, func(missed time.Duration) bool { return missed <= sentAt })
}

// Suspected reports whether a domain is suspected to have no path: its zone, or all of its region.
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

// suspected reports whether missesToSuspect consecutive probes to the zone were missed.
func (z *zonePath) suspected(now time.Duration) bool {
	return len(z.misses) >= missesToSuspect && now-z.lastMiss < suspicionExpiry
}

// suspected reports whether each zone of the region has a miss, and all of them together missesToSuspect.
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

// unconfirmed reports whether a zone has misses that are not refuted and too few for a suspicion.
func (r *regionPath) unconfirmed() bool {
	for _, zone := range r.zones {
		if count := len(zone.misses); count > 0 && count < missesToSuspect {
			return true
		}
	}
	return false
}

// answerTimeout returns the time without an answer after which a probe to the region counts as missed.
func (r *regionPath) answerTimeout() time.Duration {
	if r.roundTrip == 0 {
		return initialAnswerTimeout
	}
	return max(minAnswerTimeout, time.Duration(timeoutRoundTrips*float64(r.roundTrip)))
}
