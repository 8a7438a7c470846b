package distribution

import (
	"fmt"
	"math"
	"slices"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// What a Source's Bounds are where they are 0, and what of it is fixed.
const (
	// at 5,600 changes a day four minutes' worth; longer away, and it is the whole
	defaultRetainedVersions        = 16
	defaultCachedSelections        = 2048     // a region's hosts, of some 3 KB each
	maxPortionIndexes              = 4        // of 2.5 MB at 7,900 members
	defaultTrackedClients          = 8192     // a region's hosts and relays, four times over
	defaultFullStateBytesPerSecond = 16 << 20 // bytes a second: a tenth of a link of a gigabit and some
	defaultFullStateBurstBytes     = 4 << 20  // bytes: a zone's 564 parts of 4 KB and a few relays' wholes
	discoveryIndexTTLMillis        = 10000.0  // ms for which one's word on discovery's list counts
	discoveryIndexScanMillis       = 1000.0   // ms between two looks at all of them for the highest
	minRetryAfterMillis            = 100.0    // ms
	deferralWindowMillis           = 1000.0   // ms in which those without room are counted
	maxNameBytes                   = 200      // bytes of a cluster's or asker's name
)

// kept is a state from which deltas are made, with what finds parts of it.
type retainedVersion struct {
	state        *versioned.State
	portionIndex *ruleset.StateIndex
}

func (k *retainedVersion) portion(in ruleset.Interest) *ruleset.StateSubset {
	if k.portionIndex == nil {
		k.portionIndex = ruleset.NewStateIndex(k.state)
	}
	return k.portionIndex.Subset(in)
}

// part is what one interest needs of a view.
type selection struct {
	rules, pending *ruleset.StateSubset
	pendingDelta   *versioned.Delta // of pending against rules
}

// teller is what one asker has said of discovery's list.
type clientIndex struct {
	index      int64
	reportedAt float64
}

type markPair struct{ from, to versioned.VersionID }

// Source answers those below by a view, which is a council's own or a Follower's. It is not safe for
// concurrent use.
type Source struct {
	name, cluster             string
	config                    SourceConfig
	hasSnapshot               bool
	snapshot                  Snapshot
	versions                  []*retainedVersion // the latest first
	selections                map[ruleset.Interest]*selection
	previousSelections        map[ruleset.Interest]*selection // of the view before, which most have
	deltas                    map[markPair]*versioned.Delta
	hostSteps                 map[string]uint64
	unreported                map[string]bool
	clients                   map[string]clientIndex
	highestIndex              int64   // of their indices
	highestIndexAt            float64 // when that was last gone over
	fullStateBudget, budgetAt float64 // bytes of wholes that may be served, and as of when
	deferredInWindow          float64 // those told to wait within the window that began at
	windowStart               float64
	counts                    SourceCounts
}

// NewSource makes one that knows nothing yet.
func NewSource(name, cluster string, b SourceConfig) *Source {
	preset := func(v *int, to int) {
		if *v <= 0 {
			*v = to
		}
	}
	preset(&b.RetainedVersions, defaultRetainedVersions)
	b.RetainedVersions = max(b.RetainedVersions, 2) // the one in force, and one that waits
	preset(&b.CachedSelections, defaultCachedSelections)
	preset(&b.TrackedClients, defaultTrackedClients)
	preset(&b.TrackedHosts, maxHosts)
	if !(b.FullStateBytesPerSecond > 0) {
		b.FullStateBytesPerSecond = defaultFullStateBytesPerSecond
	}
	if !(b.FullStateBurstBytes > 0) {
		b.FullStateBurstBytes = defaultFullStateBurstBytes
	}
	if b.Incarnation == 0 {
		b.Incarnation = 1
	}
	return &Source{name: name, cluster: cluster, config: b, snapshot: Snapshot{DiscoveryIndex: -1},
		selections: map[ruleset.Interest]*selection{},
		deltas:     map[markPair]*versioned.Delta{}, hostSteps: map[string]uint64{}, unreported: map[string]bool{},
		clients: map[string]clientIndex{}, highestIndex: -1, highestIndexAt: never,
		fullStateBudget: b.FullStateBurstBytes, budgetAt: never, windowStart: never}
}

// Offer gives it the view to answer by. One of a lower step, or of the same and an older read, is passed
// over.
func (s *Source) Publish(v Snapshot) {
	if v.Rules == nil || s.hasSnapshot && (v.Step < s.snapshot.Step || v.Step == s.snapshot.Step &&
		v.ReadStartMillis < s.snapshot.ReadStartMillis) {
		return
	}
	if !s.hasSnapshot || v.Rules.ID() != s.snapshot.Rules.ID() ||
		v.Pending.ID() != s.snapshot.Pending.ID() {
		s.previousSelections, s.selections = s.selections, map[ruleset.Interest]*selection{}
		clear(s.deltas)
		s.retain(v.Pending)
		s.retain(v.Rules)
	}
	if s.hasSnapshot {
		v.ReadStartMillis = math.Max(v.ReadStartMillis, s.snapshot.ReadStartMillis)
	}
	s.hasSnapshot, s.snapshot = true, v
}

func (s *Source) retain(state *versioned.State) {
	if state == nil {
		return
	}
	k := &retainedVersion{state: state}
	if i := slices.IndexFunc(s.versions,
		func(o *retainedVersion) bool { return o.state.ID() == state.ID() }); i >= 0 {
		k = s.versions[i]
		s.versions = slices.Delete(s.versions, i, i+1)
	}
	s.versions = slices.Insert(s.versions, 0, k)
	if len(s.versions) > s.config.RetainedVersions {
		s.versions = slices.Delete(s.versions, s.config.RetainedVersions, len(s.versions))
	}
	// seldom asked for, and made anew then
	for _, o := range s.versions[min(maxPortionIndexes, len(s.versions)):] {
		o.portionIndex = nil
	}
}

// of gives the kept state of a mark.
func (s *Source) retained(m versioned.VersionID) *retainedVersion {
	for _, k := range s.versions {
		if k.state.ID() == m {
			return k
		}
	}
	return nil
}

// part gives what an interest needs of the view.
func (s *Source) selection(in ruleset.Interest) *selection {
	if p := s.selections[in]; p != nil {
		return p
	}
	p := &selection{rules: s.retained(s.snapshot.Rules.ID()).portion(in)}
	if s.snapshot.Pending != nil {
		p.pending = s.retained(s.snapshot.Pending.ID()).portion(in)
		p.pendingDelta = s.delta(p.rules, p.pending)
	}
	if len(s.selections) < s.config.CachedSelections { // of more, each is made anew
		s.selections[in] = p
	}
	return p
}

func (s *Source) delta(from, to *ruleset.StateSubset) *versioned.Delta {
	key := markPair{from.ID(), to.ID()}
	d := s.deltas[key]
	if d == nil {
		d = to.DeltaFrom(from)
		if len(s.deltas) < s.config.CachedSelections {
			s.deltas[key] = d
		}
	}
	return d
}

// base gives what an asker has by its marks, if it can be made here: what it needed of a version that is
// kept.
func (s *Source) basePortion(m versioned.VersionID, in ruleset.Interest) *ruleset.StateSubset {
	if m.IsNone() {
		return nil
	}
	if p := s.previousSelections[in]; p != nil {
		for _, o := range []*ruleset.StateSubset{p.rules, p.pending} {
			if o.ID() == m {
				return o
			}
		}
	}
	for _, k := range s.versions {
		if k.state.ID().Number == m.Number {
			if p := k.portion(in); p.ID() == m {
				return p
			}
		}
	}
	return nil
}

// Answer answers a question at a time, ms, by the clock of the view's Begun, taken after the question came.
// What it gives is not to be changed. An error is for one who asks what can't be answered, and names the
// reason.
func (s *Source) Respond(a *Request, now float64) (*Response, error) {
	s.counts.Requests++
	if err := s.validate(a); err != nil {
		s.counts.Rejected++
		return nil, err
	}
	s.recordReports(a, now)
	r := &Response{FormatVersion: FormatVersion, Cluster: s.cluster, Sender: s.name,
		Incarnation: s.config.Incarnation, DiscoveryIndex: -1, Nonce: a.Nonce}
	if !s.hasSnapshot {
		return r, nil
	}
	p := s.selection(a.Interest)
	r.Depth, r.Step, r.Settled = s.snapshot.Depth, s.snapshot.Step, s.snapshot.Settled
	r.AgeMillis, r.DiscoveryIndex = math.Max(now-s.snapshot.ReadStartMillis, 0),
		max(s.snapshot.DiscoveryIndex, s.HighestDiscoveryIndex(now))
	r.Rules, r.Pending = p.rules.ID(), p.pending.ID()
	if r.Rules == a.Rules && (r.Pending.IsNone() || r.Pending == a.Pending) || a.RenewalOnly {
		s.counts.Renewals++
		return r, nil
	}
	if r.Rules != a.Rules && r.Rules != a.Pending {
		switch base := s.basePortion(a.Rules, a.Interest); {
		case base != nil:
			r.RulesDelta = s.delta(base, p.rules)
			s.counts.Deltas++
		case s.takeFullStateBudget(p.rules.Bytes(), now):
			r.RulesDelta = s.delta(nil, p.rules)
			s.counts.FullStates++
			s.counts.FullStateBytes += int64(p.rules.Bytes())
		default:
			r.RetryAfterMillis = s.retryAfter(p.rules.Bytes())
			s.counts.Deferred++
			return r, nil
		}
	}
	if r.Pending != a.Pending {
		r.PendingDelta = p.pendingDelta
	}
	return r, nil
}

func (s *Source) validate(a *Request) error {
	switch {
	case a.FormatVersion != FormatVersion:
		return fmt.Errorf("form: %d is not known here", a.FormatVersion)
	case a.Cluster != s.cluster:
		return fmt.Errorf("cluster: %q is not this one", a.Cluster)
	case a.Sender == "" || len(a.Sender) > maxNameBytes:
		return fmt.Errorf("from: a name has 1 to %d bytes, not %d", maxNameBytes, len(a.Sender))
	case len(a.HostSteps) > MaxHostSteps:
		return fmt.Errorf("seen: %d are more than %d", len(a.HostSteps), MaxHostSteps)
	}
	return a.Interest.Check()
}

// hear takes what a question says beside what it asks.
func (s *Source) recordReports(a *Request, now float64) {
	for _, h := range a.HostSteps {
		known, there := s.hostSteps[h.Host]
		if h.Step <= known || h.Host == "" || len(h.Host) > maxNameBytes {
			continue
		}
		if !there && len(s.hostSteps) >= s.config.TrackedHosts {
			s.counts.DroppedHosts++
			least := lowestStepHost(s.hostSteps)
			delete(s.hostSteps, least)
			delete(s.unreported, least)
		}
		s.hostSteps[h.Host], s.unreported[h.Host] = h.Step, true
		s.counts.HostSteps++
	}
	if a.DiscoveryIndex >= 0 {
		if _, there := s.clients[a.Sender]; !there && len(s.clients) >= s.config.TrackedClients {
			for who, t := range s.clients {
				if now-t.reportedAt > discoveryIndexTTLMillis {
					delete(s.clients, who)
				}
			}
		}
		if _, there := s.clients[a.Sender]; there || len(s.clients) < s.config.TrackedClients {
			s.clients[a.Sender] = clientIndex{a.DiscoveryIndex, now}
			s.highestIndex = max(s.highestIndex, a.DiscoveryIndex)
		}
	}
}

// spend takes room for a whole state. The last one may take more than there is, so that any size fits.
func (s *Source) takeFullStateBudget(size int, now float64) bool {
	if s.budgetAt != never {
		s.fullStateBudget = math.Min(s.fullStateBudget+(now-s.budgetAt)/1000*s.config.FullStateBytesPerSecond,
			s.config.FullStateBurstBytes)
	}
	s.budgetAt = now
	if now-s.windowStart > deferralWindowMillis {
		s.windowStart, s.deferredInWindow = now, 0
	}
	if s.fullStateBudget <= 0 {
		return false
	}
	s.fullStateBudget -= float64(size)
	return true
}

// busy is for how long one is to ask for no whole: until those that wait could all have theirs, ms.
func (s *Source) retryAfter(size int) float64 {
	s.deferredInWindow++
	missing := s.deferredInWindow*float64(size) - s.fullStateBudget
	return minRetryAfterMillis + 1000*missing/s.config.FullStateBytesPerSecond
}

// Told gives what those below have said anew since it was last called: to Follower.Tell, or to the council.
func (s *Source) TakeHostSteps() []HostStep {
	all := make([]HostStep, 0, len(s.unreported))
	for h := range s.unreported {
		all = append(all, HostStep{Host: h, Step: s.hostSteps[h]})
	}
	clear(s.unreported)
	return sortByHost(all)
}

// Facts gives all that those below have said.
func (s *Source) HostSteps() []HostStep {
	all := make([]HostStep, 0, len(s.hostSteps))
	for h, step := range s.hostSteps {
		all = append(all, HostStep{Host: h, Step: step})
	}
	return sortByHost(all)
}

func sortByHost(all []HostStep) []HostStep {
	slices.SortFunc(all, func(a, b HostStep) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return all
}

// Highest gives the highest index of discovery's list that those below have told lately; below nought: none.
func (s *Source) HighestDiscoveryIndex(now float64) int64 {
	if now-s.highestIndexAt > discoveryIndexScanMillis {
		s.highestIndexAt, s.highestIndex = now, -1
		for _, t := range s.clients {
			if now-t.reportedAt <= discoveryIndexTTLMillis {
				s.highestIndex = max(s.highestIndex, t.index)
			}
		}
	}
	return s.highestIndex
}

// SourceCounts are what a Source has met.
type SourceCounts struct {
	Requests       int64 `json:"Asks"`
	Renewals       int64 `json:"Renewals"` // answers with nothing but step, marks and age
	Deltas         int64 `json:"Deltas"`
	FullStates     int64 `json:"Wholes"`
	FullStateBytes int64 `json:"WholeSize"` // bytes of them
	Deferred       int64 `json:"Busy"`
	// questions of another form or cluster, or with an interest that is none
	Rejected     int64 `json:"Refused"`
	HostSteps    int64 `json:"Seen"`    // facts that were news
	DroppedHosts int64 `json:"Dropped"` // facts on hosts beyond the bound
}

// Counts gives what it has met.
func (s *Source) Counts() SourceCounts { return s.counts }
