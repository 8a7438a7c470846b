package distribution

import (
	"errors"
	"math"
	"math/rand"
	"slices"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// What a follower goes by. Times in ms.
const (
	clockDrift              = 2e-4   // by which a clock runs fast or slow, as accord has it
	defaultLeaseMillis      = 1000.0 // of rules, until they have been read: accord's default
	defaultRequestsPerLease = 10     // questions in a lease
	// of a lease that an answer is waited for; then the next one above is asked
	requestTimeoutFraction = 0.2
	// of a lease: what a council's own daemon says is younger, or it lies still
	staleFraction    = 1.0 / 3
	maxStaleFraction = 2.0 / 3 // and what any relay says
	// until the one above that is preferred is tried again: 20 to 40 with jitter
	preferredRetryLeases = 30.0
	maxRetryAfterMillis  = 10000.0 // that one waits for a whole, whatever it was told
	// questions that an answer may still come to: two leases' worth and more
	maxRecentRequests = 64
	// states kept as bases for deltas: versions in force and pending, and those before
	maxBases      = 4
	maxHosts      = 16384            // whose facts are kept; of more, those of the lowest steps go
	maxDepth      = 16               // relays one above the other; more are a ring
	maxStateBytes = MaxResponseBytes // bytes of keys and values of a state
	// of a state or delta: members, words and plans of the largest rules, and as many
	maxEntries               = 32768
	readStartToleranceMillis = 1.0 // by which clocks may count one read's beginning as two
	never                    = -math.MaxFloat64
)

// out is a question that has no answer yet.
type pendingRequest struct {
	active      bool
	sentAt      float64
	hostSteps   []HostStep
	renewalOnly bool
}

// past is a question that an answer may still come to.
type sentRequest struct {
	nonce    uint64
	upstream int
	sentAt   float64
}

// Follower follows those above: it asks one of them at a fixed rate, takes what they say, and goes over to
// another where one lies still. It is not safe for concurrent use.
type Follower struct {
	config          FollowerConfig
	rng             *rand.Rand
	now, startedAt  float64
	lease, interval float64

	preference       []int            // upstreams as preferred
	current          int              // in order: the one that is asked
	secondary        int              // in order: the one that was asked beside it last
	pending          []pendingRequest // by upstream
	due              []int            // in order: to be asked now
	nextRequestAt    float64          // when the next question is due
	failedInSlot     int              // in a row without a word, since the last slot
	alternating      bool             // the last slot was another's than the current one's
	allFailed        bool             // none of them had a word in a whole row, and none has since
	currentStale     bool             // what the current one says is old
	retryPreferredAt float64          // when the preferred one is to be tried again
	newestReadStart  []float64        // by upstream, when the read began that it told of last

	hasSnapshot      bool
	expired          bool // the lease has run out
	updated          bool
	snapshot         Snapshot
	discoveryIndex   int64 // highest index of discovery's list that is known below
	bases            []*versioned.State
	needFullState    bool // the last delta could not be applied: the next question says that there is nothing
	renewalOnlyUntil float64
	processID        int
	heldStep         uint64

	hostSteps           map[string]uint64
	unacknowledged      map[string]bool // those that the current upstream has not answered yet
	upstreamIncarnation uint64          // of the current upstream
	lastWake            float64
	lastNonce           uint64        // number of a question
	recent              []sentRequest // the latest
	counts              FollowerCounts
}

// NewFollower makes one at a time, ms, of the clock that all further times are of. The clock has to go on
// while the process stands still.
func NewFollower(c FollowerConfig, now float64) *Follower {
	f := &Follower{config: c, rng: rand.New(rand.NewSource(c.Seed)), now: now, startedAt: now,
		lease:    c.LeaseMillis,
		snapshot: Snapshot{ReadStartMillis: never, DiscoveryIndex: -1}, discoveryIndex: -1, lastWake: never,
		hostSteps:      map[string]uint64{},
		unacknowledged: map[string]bool{}}
	if !(f.lease > 0) {
		f.lease = defaultLeaseMillis
	}
	f.lastNonce = f.rng.Uint64() >> 1 // what came for a former life is none of this one's
	f.preference = f.rng.Perm(max(c.Upstreams, 1))
	f.pending, f.newestReadStart = make([]pendingRequest, len(f.preference)),
		slices.Repeat([]float64{never}, len(f.preference))
	f.updateInterval()
	f.nextRequestAt = now + f.rng.Float64()*f.interval // many may start at once
	return f
}

func (f *Follower) updateInterval() {
	per := f.config.RequestsPerLease
	if per <= 0 {
		per = defaultRequestsPerLease
	}
	if f.interval = f.config.IntervalMillis; !(f.interval > 0) {
		f.interval = f.lease / float64(per)
	}
}

// Base gives states that a copy on disk had: deltas may be against them, and they are no proof that anything
// is in force. Either may be nil.
func (f *Follower) AddBases(rules, pending *versioned.State) {
	f.addBase(pending)
	f.addBase(rules)
}

// keep has a state at hand as a base, the latest first.
func (f *Follower) addBase(s *versioned.State) {
	if s == nil {
		return
	}
	f.bases = slices.DeleteFunc(f.bases, func(o *versioned.State) bool { return o.ID() == s.ID() })
	f.bases = slices.Insert(f.bases, 0, s)
	if len(f.bases) > maxBases {
		f.bases = slices.Delete(f.bases, maxBases, len(f.bases))
	}
}

// find gives the state of a mark, if it is at hand.
func (f *Follower) baseOf(m versioned.VersionID) *versioned.State {
	for _, s := range f.bases {
		if s.ID() == m {
			return s
		}
	}
	return nil
}

// Clock sets the time of what follows, ms.
func (f *Follower) AdvanceClock(now float64) {
	f.now = math.Max(f.now, now)
	if f.hasSnapshot && !f.expired && f.now >= f.snapshot.ReadStartMillis+f.lease {
		f.expired, f.updated = true, true
		f.counts.LeaseExpirations++
	}
}

// Tell has facts go up with the next questions, until one above has them.
func (f *Follower) ReportHostSteps(all []HostStep) {
	for _, h := range all {
		known, there := f.hostSteps[h.Host]
		if h.Step <= known {
			continue
		}
		if !there && len(f.hostSteps) >= maxHosts {
			f.counts.DroppedHosts++
			f.dropLowestHost()
		}
		f.hostSteps[h.Host], f.unacknowledged[h.Host] = h.Step, true
	}
}

// forget drops the fact of the lowest step.
func (f *Follower) dropLowestHost() {
	least := lowestStepHost(f.hostSteps)
	delete(f.hostSteps, least)
	delete(f.unacknowledged, least)
}

// lowest is the host of the lowest step, most likely one that is gone. Where it is not, it makes a change
// wait.
func lowestStepHost(facts map[string]uint64) string {
	least := ""
	for h, step := range facts {
		if l := facts[least]; least == "" || step < l || step == l && h < least {
			least = h
		}
	}
	return least
}

// Index tells the highest index of discovery's list that is known here and below; below nought: none.
func (f *Follower) SetDiscoveryIndex(highest int64) { f.discoveryIndex = highest }

// Holds tells a gatekeeper's process id and what it holds, which its questions to its daemon carry. It has
// to be told before the first Next, as the daemon books what it answers under that id. Where it holds more
// than it said last it asks at once, as a change may wait for that.
func (f *Follower) SetHeldStep(process int, step uint64) {
	if step > f.heldStep {
		f.nextRequestAt = math.Min(f.nextRequestAt, f.now)
	}
	f.processID, f.heldStep = process, step
}

// View gives what is known; false where there is nothing whose lease still runs. One that answers others
// offers it to its Source after each Heard, as a renewal makes it younger.
func (f *Follower) Snapshot() (Snapshot, bool) {
	v := f.snapshot
	v.DiscoveryIndex = max(v.DiscoveryIndex, f.discoveryIndex)
	return v, f.hasSnapshot && !f.expired && f.now < f.snapshot.ReadStartMillis+f.lease
}

// Bases gives what is to be kept on disk: the latest states, whether or not they may be gone by.
func (f *Follower) LatestStates() (rules, pending *versioned.State) {
	if f.hasSnapshot {
		return f.snapshot.Rules, f.snapshot.Pending
	}
	for _, s := range f.bases {
		return s, nil
	}
	return nil, nil
}

// Current gives the upstream that is asked now.
func (f *Follower) CurrentUpstream() int { return f.preference[f.current] }

// Counts gives what it has met.
func (f *Follower) Counts() FollowerCounts { return f.counts }

// Next gives what follows; call it until there is nothing more.
func (f *Follower) NextAction() (Action, bool) {
	if f.updated {
		f.updated = false
		return Action{Kind: NotifyUpdate}, true
	}
	f.scheduleRequests()
	if len(f.due) > 0 {
		at := f.due[0]
		f.due = f.due[1:]
		return f.newRequest(at), true
	}
	wake := f.nextRequestAt
	if o := f.pending[f.CurrentUpstream()]; o.active { // its answer, or its end, is what comes next
		wake = o.sentAt + f.requestTimeout()
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

// within is how long an answer is waited for, ms.
func (f *Follower) requestTimeout() float64 { return f.lease * requestTimeoutFraction }

// plan finds whom to ask now.
func (f *Follower) scheduleRequests() {
	for _, u := range f.preference {
		if o := &f.pending[u]; o.active && f.now >= o.sentAt+f.requestTimeout() {
			f.RequestFailed(u, o.sentAt)
		}
	}
	if f.now < f.nextRequestAt || len(f.due) > 0 || f.pending[f.CurrentUpstream()].active {
		return
	}
	// it stood still, or an answer was slow: none is caught up with
	if f.nextRequestAt += f.interval; f.nextRequestAt <= f.now {
		f.nextRequestAt = f.now + f.interval
	}
	f.failedInSlot = 0
	f.due = append(f.due, f.current)
	beside := -1
	switch {
	case f.current != 0 && f.now >= f.retryPreferredAt:
		beside = 0
		f.retryPreferredAt = f.now + f.lease*preferredRetryLeases*(2+2*f.rng.Float64())/3
	case f.currentStale && !f.allFailed && len(f.preference) > 1:
		if f.secondary = (f.secondary + 1) % len(f.preference); f.secondary == f.current {
			f.secondary = (f.secondary + 1) % len(f.preference)
		}
		beside = f.secondary
		// none holds: one in a slot, and the rate stays the same
		if f.alternating = f.expired && !f.alternating; f.alternating {
			f.due = f.due[:0]
		} else if f.expired {
			beside = -1
		}
	}
	if beside >= 0 && !f.pending[f.preference[beside]].active {
		f.due = append(f.due, beside)
	}
}

// ask makes the question to one in the order. Beside the current one it asks for no version.
func (f *Follower) newRequest(at int) Action {
	u := f.preference[at]
	a := &Request{FormatVersion: FormatVersion, Cluster: f.config.Cluster, Sender: f.config.Name,
		Interest: f.config.Interest, Step: f.snapshot.Step,
		DiscoveryIndex: f.discoveryIndex, ProcessID: f.processID, HeldStep: f.heldStep,
		RenewalOnly: at != f.current || f.now < f.renewalOnlyUntil}
	if rules, pending := f.LatestStates(); !f.needFullState {
		a.Rules, a.Pending = rules.ID(), pending.ID()
	}
	if at == f.current {
		hosts := make([]string, 0, len(f.unacknowledged))
		for h := range f.unacknowledged {
			hosts = append(hosts, h)
		}
		slices.Sort(hosts)
		for _, h := range hosts[:min(len(hosts), MaxHostSteps)] {
			a.HostSteps = append(a.HostSteps, HostStep{Host: h, Step: f.hostSteps[h]})
		}
	}
	f.lastNonce++
	a.Nonce = f.lastNonce
	f.pending[u] = pendingRequest{active: true, sentAt: f.now, hostSteps: a.HostSteps,
		renewalOnly: a.RenewalOnly}
	if f.recent = append(f.recent, sentRequest{f.lastNonce, u, f.now}); len(f.recent) > maxRecentRequests {
		f.recent = slices.Delete(f.recent, 0, 1)
	}
	f.counts.Requests++
	return Action{Kind: SendRequest, Upstream: u, Request: a, TimeoutMillis: f.requestTimeout()}
}

// Failed tells that a question, sent at a time, gets no answer.
func (f *Follower) RequestFailed(upstream int, asked float64) {
	if upstream < 0 || upstream >= len(f.pending) || !f.pending[upstream].active ||
		f.pending[upstream].sentAt != asked {
		return
	}
	f.pending[upstream] = pendingRequest{}
	f.counts.Failed++
	f.failOver(upstream)
}

// pass goes over to the next upstream where the current one is of no use. All are asked once in a row; if
// none is of use, one is asked in each slot from then on, so that the rate stays the same where all are gone.
func (f *Follower) failOver(upstream int) {
	if upstream != f.CurrentUpstream() || len(f.preference) == 1 {
		return
	}
	f.switchUpstream((f.current + 1) % len(f.preference))
	if f.failedInSlot++; f.failedInSlot >= len(f.preference) {
		f.allFailed = true
	} else if !f.allFailed && !f.pending[f.CurrentUpstream()].active {
		f.due = append(f.due[:0], f.current)
	}
}

// turn has another upstream be the current one. It is told all facts: what the one before it knew may not
// have gone further.
func (f *Follower) switchUpstream(at int) {
	if at == f.current {
		return
	}
	if f.current == 0 {
		f.retryPreferredAt = f.now + f.lease*preferredRetryLeases*(2+2*f.rng.Float64())/3
	}
	f.current, f.currentStale, f.upstreamIncarnation = at, false, 0
	f.counts.UpstreamSwitches++
	f.resendHostSteps()
}

func (f *Follower) resendHostSteps() {
	for h := range f.hostSteps {
		f.unacknowledged[h] = true
	}
}

// Heard takes the answer of an upstream to a question that was sent at a time. Clock has to be told of a
// later one first, and Next pulled after.
func (f *Follower) HandleResponse(upstream int, asked float64, a *Response) {
	if upstream < 0 || upstream >= len(f.pending) || a == nil || !(asked <= f.now) {
		f.counts.Invalid++
		return
	}
	var o pendingRequest
	if f.pending[upstream].active && f.pending[upstream].sentAt == asked {
		o, f.pending[upstream] = f.pending[upstream], pendingRequest{}
	}
	if !f.matchesRequest(upstream, asked, a.Nonce) {
		f.counts.Invalid++
		return
	}
	if a.FormatVersion != FormatVersion || a.Cluster != f.config.Cluster {
		f.counts.Incompatible++
		f.failOver(upstream)
		return
	}
	if !(a.AgeMillis >= 0) || a.AgeMillis > math.MaxFloat32 || !(a.RetryAfterMillis >= 0) || a.Depth < 0 ||
		a.Depth >= maxDepth {
		f.counts.Invalid++
		f.failOver(upstream)
		return
	}
	if upstream == f.CurrentUpstream() {
		f.acknowledgeHostSteps(o, a)
	}
	if a.Step == 0 {
		f.counts.Empty++
		f.failOver(upstream)
		return
	}
	f.compareFreshness(upstream, asked-a.AgeMillis, a)
	if f.applyResponse(asked-a.AgeMillis, a, o.renewalOnly) {
		f.failedInSlot, f.allFailed = 0, false
	} else {
		f.failOver(upstream)
	}
}

// mine tells whether an answer is one to the question that was sent at a time.
func (f *Follower) matchesRequest(upstream int, asked float64, number uint64) bool {
	return number == 0 || slices.ContainsFunc(f.recent, func(p sentRequest) bool {
		return p.nonce == number && p.upstream == upstream && p.sentAt == asked
	})
}

// heldUp books which facts the current upstream has. One of another life has forgotten what it was told.
func (f *Follower) acknowledgeHostSteps(o pendingRequest, a *Response) {
	if a.Incarnation != f.upstreamIncarnation {
		f.upstreamIncarnation = a.Incarnation
		f.resendHostSteps()
	}
	for _, h := range o.hostSteps {
		if f.hostSteps[h.Host] == h.Step {
			delete(f.unacknowledged, h.Host)
		}
	}
}

// weigh goes over to one that is fresher than a current one whose words are old, and back to the preferred
// one once it is well.
func (f *Follower) compareFreshness(upstream int, begun float64, a *Response) {
	at := slices.Index(f.preference, upstream)
	stale := math.Min(f.lease*staleFraction+float64(a.Depth)*f.interval, f.lease*maxStaleFraction)
	f.newestReadStart[upstream] = begun
	switch {
	case at == f.current:
		f.currentStale = a.AgeMillis > stale
	case at == 0 && a.AgeMillis <= stale && a.Step >= f.snapshot.Step,
		f.currentStale && a.Step >= f.snapshot.Step && begun > f.newestReadStart[f.CurrentUpstream()]+f.interval:
		f.switchUpstream(at)
	}
}

// word takes what was said, whole or not at all; false where another had better be asked.
func (f *Follower) applyResponse(begun float64, a *Response, quiet bool) bool {
	switch {
	// A clock that ran slow says too little of an age, by no more than the drift over a lease.
	case !f.config.UpstreamTracksProcess && begun < f.startedAt+3*clockDrift*f.lease:
		f.counts.BeforeStart++
		return true
	case f.hasSnapshot && (a.Step < f.snapshot.Step || a.Step == f.snapshot.Step &&
		begun < f.snapshot.ReadStartMillis-readStartToleranceMillis):
		f.counts.Stale++
		// it stays true
		if a.Step == f.snapshot.Step && a.Settled && !f.snapshot.Settled && f.namesCurrentStates(a) {
			f.snapshot.Settled, f.updated = true, true
		}
		return true
	case f.hasSnapshot && a.Step == f.snapshot.Step && !f.namesCurrentStates(a),
		f.hasSnapshot && a.Rules.Number < f.snapshot.Rules.ID().Number, a.Rules.IsNone(),
		!a.Pending.IsNone() && a.Pending.Number != a.Rules.Number+1:
		f.counts.Invalid++
		return false
	}
	rules, pending, sound := f.resolveStates(a, quiet)
	if rules == nil {
		return sound
	}
	lease := f.lease // of the rules that are told, which may be longer than that of those before
	if !f.hasSnapshot || rules.ID() != f.snapshot.Rules.ID() {
		if l := ruleset.StateLeaseMillis(rules); l > 0 {
			lease = l
		}
	}
	if begun+lease <= f.now {
		f.counts.Expired++
		return true
	}
	if f.hasSnapshot && a.Step == f.snapshot.Step {
		f.counts.Renewals++
	} else {
		f.counts.Updates++
		f.updated = true
	}
	settled := a.Settled || f.hasSnapshot && a.Step == f.snapshot.Step && f.snapshot.Settled
	if !f.hasSnapshot || settled != f.snapshot.Settled || f.expired {
		f.updated = true
	}
	f.snapshot = Snapshot{Step: a.Step, Settled: settled, ReadStartMillis: math.Max(f.snapshot.ReadStartMillis,
		begun), Rules: rules, Pending: pending,
		DiscoveryIndex: a.DiscoveryIndex, Depth: a.Depth + 1}
	f.hasSnapshot, f.expired, f.needFullState = true, false, false
	f.addBase(pending)
	f.addBase(rules)
	if lease != f.lease {
		f.lease = lease
		f.updateInterval()
	}
	return true
}

// same tells whether an answer names the states that are gone by.
func (f *Follower) namesCurrentStates(a *Response) bool {
	return a.Rules == f.snapshot.Rules.ID() && a.Pending == f.snapshot.Pending.ID()
}

// made gives the states that an answer names: those at hand, or made by its deltas. Without rules there are
// none, and sound tells whether the one above did as it should.
func (f *Follower) resolveStates(a *Response, quiet bool) (rules, pending *versioned.State, sound bool) {
	if rules = f.baseOf(a.Rules); rules == nil {
		if a.RulesDelta == nil {
			switch {
			case a.RetryAfterMillis > 0:
				f.counts.Deferred++
				f.renewalOnlyUntil = f.now + f.rng.Float64()*math.Min(a.RetryAfterMillis, maxRetryAfterMillis)
			case !quiet:
				f.counts.MissingDeltas++
				return nil, nil, false
			}
			return nil, nil, true
		}
		if rules, sound = f.applyDelta(f.baseOf(a.RulesDelta.From), a.RulesDelta, a.Rules); rules == nil {
			return nil, nil, sound
		}
	}
	if a.Pending.IsNone() {
		return rules, nil, true
	}
	if pending = f.baseOf(a.Pending); pending != nil {
		return rules, pending, true
	}
	if a.PendingDelta == nil {
		if !quiet {
			f.counts.MissingDeltas++
			f.needFullState = true
		}
		return nil, nil, quiet
	}
	if pending, sound = f.applyDelta(rules, a.PendingDelta, a.Pending); pending == nil {
		return nil, nil, sound
	}
	return rules, pending, true
}

// apply makes a state of a delta, or counts why not and has the next question say that there is nothing. A
// delta against a state that is gone here is sound: it may have been asked for before.
func (f *Follower) applyDelta(base *versioned.State, d *versioned.Delta, to versioned.VersionID) (
	s *versioned.State, sound bool) {
	if d.To != to || len(d.Set)+len(d.Delete) > maxEntries || d.Bytes() > maxStateBytes {
		f.counts.Invalid++
		f.needFullState = true
		return nil, false
	}
	s, err := base.Apply(d)
	switch {
	case errors.Is(err, versioned.ErrBaseMismatch):
		f.counts.BaseMismatches++
		sound = true
	case err != nil:
		f.counts.DigestMismatches++
	case s.Bytes() > maxStateBytes || s.Len() > maxEntries:
		f.counts.Invalid++
	case d.From.IsNone():
		f.counts.FullStates++
		return s, true
	default:
		f.counts.Deltas++
		return s, true
	}
	f.needFullState = true
	return nil, sound
}
