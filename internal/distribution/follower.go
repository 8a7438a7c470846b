package distribution

import (
	"math"
	"math/rand"
	"slices"

	"willowdeck/internal/versioned"
)

const (
	clockDrift              = 2e-4   // largest relative error of a clock; package ruleset counts with the same
	defaultLeaseMillis      = 1000.0 // until a ruleset is known, as package ruleset has it
	defaultRequestsPerLease = 10
	maxHosts                = 16384            // whose steps are kept; the lowest steps are dropped first
	maxBases                = 4                // versions in force and pending, and those before them
	maxStateBytes           = MaxResponseBytes // keys and values of one state
	// maxEntries bounds a state and a delta: members, worker entries and plans of the largest ruleset, twice.
	maxEntries = 32768
	// never is a point in time before all others.
	never = -math.MaxFloat64
)

// Follower keeps the current snapshot of a cluster. It sends requests to one of its upstreams at a fixed
// rate, applies the responses, and fails over to another upstream where the current one is silent or stale.
// Its host calls AdvanceClock before each other method that depends on the time, and NextAction after each.
// It is not safe for concurrent use.
type Follower struct {
	config    FollowerConfig
	rng       *rand.Rand
	now       float64
	startedAt float64
	lease     float64 // of the rules in the snapshot, or the configured one; duration
	interval  float64 // between two requests; duration

	upstreams upstreamState

	hasSnapshot bool
	expired     bool // the lease of the snapshot has run out
	updated     bool // NotifyUpdate is due
	snapshot    Snapshot
	bases       []*versioned.State // that deltas may be against, the latest first
	// needFullState is set where a delta could not be applied: the next request names no base.
	needFullState    bool
	renewalOnlyUntil float64 // a full state was deferred until then; point in time

	discoveryIndex int64 // the highest that is known here and below; negative: none
	processID      int
	ackedStep      uint64
	hostAcks       map[string]uint64 // highest known step by host
	undelivered    map[string]bool   // hosts whose ack the current upstream has not confirmed

	lastWake float64 // of the last ScheduleWake; point in time
	counts   FollowerCounts
}

// NewFollower makes a follower that has no snapshot yet.
func NewFollower(config FollowerConfig, now float64) *Follower {
	f := &Follower{
		config:         config,
		rng:            rand.New(rand.NewSource(config.Seed)),
		now:            now,
		startedAt:      now,
		lease:          config.LeaseMillis,
		snapshot:       Snapshot{ReadStartMillis: never, DiscoveryIndex: -1},
		discoveryIndex: -1,
		lastWake:       never,
		hostAcks:       map[string]uint64{},
		undelivered:    map[string]bool{},
	}
	if !(f.lease > 0) {
		f.lease = defaultLeaseMillis
	}
	f.upstreams = newUpstreamState(f.rng, config.Upstreams)
	f.updateInterval()
	// The first request comes after a random part of the interval, as many processes may start at once.
	f.upstreams.nextRequestAt = now + f.rng.Float64()*f.interval
	return f
}

// updateInterval derives the pause between requests from the lease.
func (f *Follower) updateInterval() {
	perLease := f.config.RequestsPerLease
	if perLease <= 0 {
		perLease = defaultRequestsPerLease
	}
	if f.interval = f.config.IntervalMillis; !(f.interval > 0) {
		f.interval = f.lease / float64(perLease)
	}
}

// AddBases adds the states of a checkpoint, which may be nil, as bases for deltas. They do not prove that
// anything is in force.
func (f *Follower) AddBases(rules, pending *versioned.State) {
	f.addBase(pending)
	f.addBase(rules)
}

// addBase makes a state the latest base.
func (f *Follower) addBase(state *versioned.State) {
	if state == nil {
		return
	}
	f.bases = slices.DeleteFunc(f.bases, func(base *versioned.State) bool { return base.ID() == state.ID() })
	f.bases = slices.Insert(f.bases, 0, state)
	if len(f.bases) > maxBases {
		f.bases = slices.Delete(f.bases, maxBases, len(f.bases))
	}
}

// base gives the base with an ID; nil where there is none.
func (f *Follower) base(id versioned.VersionID) *versioned.State {
	for _, base := range f.bases {
		if base.ID() == id {
			return base
		}
	}
	return nil
}

// AdvanceClock sets the time of the calls that follow. A time before an earlier one is ignored.
func (f *Follower) AdvanceClock(now float64) {
	f.now = math.Max(f.now, now)
	if f.hasSnapshot && !f.expired && f.now >= f.snapshot.ReadStartMillis+f.lease {
		f.expired, f.updated = true, true
		f.counts.LeaseExpirations++
	}
}

// ReportHostAcks has acknowledgements sent with the next requests, until the current upstream has responded
// to one of these.
func (f *Follower) ReportHostAcks(acks []HostAck) {
	for _, ack := range acks {
		known, exists := f.hostAcks[ack.Host]
		if ack.Step <= known {
			continue
		}
		if !exists && len(f.hostAcks) >= maxHosts {
			f.counts.DroppedHosts++
			f.dropLowestHost()
		}
		f.hostAcks[ack.Host], f.undelivered[ack.Host] = ack.Step, true
	}
}

func (f *Follower) dropLowestHost() {
	host := lowestStepHost(f.hostAcks)
	delete(f.hostAcks, host)
	delete(f.undelivered, host)
}

// lowestStepHost gives the host of the lowest step, which is most likely gone. Dropping a host that is not
// gone delays a change of the rules, and does no other harm.
func lowestStepHost(steps map[string]uint64) string {
	lowest := ""
	for host, step := range steps {
		if least := steps[lowest]; lowest == "" || step < least || step == least && host < lowest {
			lowest = host
		}
	}
	return lowest
}

// SetDiscoveryIndex sets the highest index of the discovery service's list that is known here and below;
// negative: none.
func (f *Follower) SetDiscoveryIndex(highest int64) { f.discoveryIndex = highest }

// SetAckedStep sets the process id of a gateway and the step that it acts on, for its requests to the daemon
// of its host. It has to be called before the first NextAction, as the daemon tracks the process by that id.
// A step above the last one makes a request due at once, since a change may wait for it.
func (f *Follower) SetAckedStep(processID int, step uint64) {
	if step > f.ackedStep {
		f.upstreams.nextRequestAt = math.Min(f.upstreams.nextRequestAt, f.now)
	}
	f.processID, f.ackedStep = processID, step
}

// Snapshot gives the current snapshot; false where there is none whose lease still runs. A relay publishes it
// to its Source after each HandleResponse, as a renewal makes it younger.
func (f *Follower) Snapshot() (Snapshot, bool) {
	s := f.snapshot
	s.DiscoveryIndex = max(s.DiscoveryIndex, f.discoveryIndex)
	return s, f.hasSnapshot && !f.expired && f.now < f.snapshot.ReadStartMillis+f.lease
}

// LatestStates gives the states that a checkpoint is to store, whether or not they are still in force.
func (f *Follower) LatestStates() (rules, pending *versioned.State) {
	if f.hasSnapshot {
		return f.snapshot.Rules, f.snapshot.Pending
	}
	if len(f.bases) > 0 {
		return f.bases[0], nil
	}
	return nil, nil
}

// CurrentUpstream gives the position of the upstream that requests are sent to.
func (f *Follower) CurrentUpstream() int { return f.upstreams.currentUpstream() }

// Counts gives what the follower has met.
func (f *Follower) Counts() FollowerCounts { return f.counts }

// NextAction gives the next thing to do; it is to be called until it returns false.
func (f *Follower) NextAction() (Action, bool) {
	if f.updated {
		f.updated = false
		return Action{Kind: NotifyUpdate}, true
	}
	f.scheduleRequests()
	if u := &f.upstreams; len(u.due) > 0 {
		position := u.due[0]
		u.due = u.due[1:]
		return f.newRequest(position), true
	}
	wake := f.upstreams.nextRequestAt
	if p := f.upstreams.pending[f.CurrentUpstream()]; p.active { // its response, or its time-out, comes next
		wake = p.sentAt + f.requestTimeout()
	}
	if f.hasSnapshot && !f.expired {
		wake = math.Min(wake, f.snapshot.ReadStartMillis+f.lease)
	}
	if wake == f.lastWake {
		return Action{}, false
	}
	f.lastWake = wake
	return Action{Kind: ScheduleWake, WakeAtMillis: wake}, true
}

// newRequest makes the request to an upstream by its position in the order of preference. A request beside
// the current upstream asks for no state and carries no acks.
func (f *Follower) newRequest(position int) Action {
	u := &f.upstreams
	isCurrent := position == u.current
	r := &Request{
		FormatVersion:  FormatVersion,
		Cluster:        f.config.Cluster,
		Sender:         f.config.Name,
		Interest:       f.config.Interest,
		Step:           f.snapshot.Step,
		DiscoveryIndex: f.discoveryIndex,
		ProcessID:      f.processID,
		AckedStep:      f.ackedStep,
		RenewalOnly:    !isCurrent || f.now < f.renewalOnlyUntil,
	}
	if rules, pending := f.LatestStates(); !f.needFullState {
		r.Rules, r.Pending = rules.ID(), pending.ID()
	}
	if isCurrent {
		r.HostAcks = f.undeliveredAcks()
	}
	upstream := u.preference[position]
	r.Nonce = u.sent(upstream, f.now, r)
	f.counts.Requests++
	return Action{Kind: SendRequest, Upstream: upstream, Request: r, TimeoutMillis: f.requestTimeout()}
}

// undeliveredAcks gives the acks that the current upstream lacks, by host, MaxHostAcks at most.
func (f *Follower) undeliveredAcks() (acks []HostAck) {
	hosts := make([]string, 0, len(f.undelivered))
	for host := range f.undelivered {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for _, host := range hosts[:min(len(hosts), MaxHostAcks)] {
		acks = append(acks, HostAck{Host: host, Step: f.hostAcks[host]})
	}
	return acks
}

// confirmDelivery notes that the current upstream has the acks of a request that it has responded to. An
// upstream of another incarnation has lost all that it was sent before.
func (f *Follower) confirmDelivery(acks []HostAck, incarnation uint64) {
	if incarnation != f.upstreams.incarnation {
		f.upstreams.incarnation = incarnation
		f.resendHostAcks()
	}
	for _, ack := range acks {
		if f.hostAcks[ack.Host] == ack.Step {
			delete(f.undelivered, ack.Host)
		}
	}
}

// resendHostAcks has all acks sent again.
func (f *Follower) resendHostAcks() {
	for host := range f.hostAcks {
		f.undelivered[host] = true
	}
}
