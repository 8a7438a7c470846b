package distribution

import (
	"errors"
	"fmt"
	"math/rand"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// Around is how many places of the ring on either side of its own a gatekeeper is told the members of. A
// customer's set is a row of the ring with this gatekeeper in it, so that of one as wide as Around + 1 all
// others lie there. No setting bounds a set but the number of gatekeepers: this covers every set in a fleet
// of 501, which was the largest before there were relays, and a set lent credit has 64 at most. Of a wider
// one those beyond are to this gatekeeper as peers that have never spoken.
const RingRadius = 250

// Replica is a gatekeeper's copy of its part of the rules, as its host's daemon tells them. When to ask is
// ruleset.Holder's to say, and what to go by; the daemon keeps books on this very process, so that it may go
// by what was read before it began. It is not safe for concurrent use.
type Replica struct {
	name             string
	processID        int
	rng              *rand.Rand
	rules, pending   *versioned.State
	lease            ruleset.Lease // of these, without an age
	renewalOnlyUntil float64       // ms until when no whole is asked for
	counts           ReplicaCounts
}

// ReplicaCounts are what a replica has met. What is spoilt changes nothing, and the next question asks for
// all.
type ReplicaCounts struct {
	Renewals   int64 // answers with what is here already
	Deltas     int64 // rules made of those before
	FullStates int64 // rules that came whole
	Stale      int64 // answers of a lower step
	Deferred   int64 // answers that put a whole off
	// spoilt: changes of other rules than are here, or rules that are not here without any
	BaseMismatches   int64
	DigestMismatches int64 // spoilt: what a change makes is not what the answer says
	Invalid          int64 // spoilt: an answer of another form, or one that makes no sense
}

// What an answer may come to beside resource's errors.
var (
	ErrDeferred        = errors.New("the whole rules are put off")
	ErrInvalidResponse = errors.New("an answer that makes no sense")
)

// NewReplica makes one that has nothing, for a process of a gatekeeper.
func NewReplica(name string, process int, seed int64) *Replica {
	return &Replica{name: name, processID: process, rng: rand.New(rand.NewSource(seed))}
}

// Counts gives what it has met.
func (r *Replica) Counts() ReplicaCounts { return r.counts }

// Ask is what the daemon is to be asked at a time, ms; holds is ruleset.Holder's, and index that of
// discovery's list.
func (r *Replica) NewRequest(now float64, holds uint64, index int64) *Request {
	return &Request{FormatVersion: FormatVersion, Sender: r.name,
		Interest: ruleset.Interest{Name: r.name, Around: RingRadius},
		Step:     r.lease.Step, Rules: r.rules.ID(), Pending: r.pending.ID(), RenewalOnly: now < r.renewalOnlyUntil,
		DiscoveryIndex: index,
		ProcessID:      r.processID, HeldStep: holds}
}

// Hear takes an answer that came at a time, and gives what it says as a lease for the Holder. News: the rules
// are others than before. An error changes nothing.
func (r *Replica) HandleResponse(a *Response, now float64) (l ruleset.Lease, news bool, err error) {
	switch {
	case a.FormatVersion != FormatVersion:
		r.counts.Invalid++
		return l, false, fmt.Errorf("%w: form %d", ErrInvalidResponse, a.FormatVersion)
	case a.Step < r.lease.Step: // it came late: no news, and no base for any
		r.counts.Stale++
		return ruleset.Lease{Step: a.Step, AgeMillis: a.AgeMillis}, false, nil
	case a.RetryAfterMillis > 0:
		r.counts.Deferred++
		r.renewalOnlyUntil = now + r.rng.Float64()*a.RetryAfterMillis // full jitter
		return l, false, ErrDeferred
	case now < r.renewalOnlyUntil && a.Rules != r.rules.ID():
		return l, false, ErrDeferred
	}
	rules, pending, err := r.resolveStates(a)
	next := r.lease
	if err == nil {
		next, err = r.leaseOf(rules, pending)
	}
	if err != nil {
		switch {
		case errors.Is(err, versioned.ErrBaseMismatch):
			r.counts.BaseMismatches++
		case errors.Is(err, versioned.ErrDigestMismatch):
			r.counts.DigestMismatches++
		default:
			r.counts.Invalid++
		}
		r.rules, r.pending = nil, nil
		return l, false, err
	}
	switch d := a.RulesDelta; {
	case d == nil && a.PendingDelta == nil:
		r.counts.Renewals++
	case d != nil && d.From.IsNone():
		r.counts.FullStates++
	default:
		r.counts.Deltas++
	}
	news = rules.ID() != r.rules.ID() || pending.ID() != r.pending.ID()
	next.Step, next.TransitionComplete = a.Step, a.Settled
	r.rules, r.pending, r.lease = rules, pending, next
	next.AgeMillis = a.AgeMillis
	return next, news, nil
}

// apply makes of what is here what an answer is of.
func (r *Replica) resolveStates(a *Response) (rules, pending *versioned.State, err error) {
	switch rules = r.rules; {
	case a.RulesDelta != nil:
		if rules, err = r.rules.Apply(a.RulesDelta); err != nil {
			return nil, nil, fmt.Errorf("rules: %w", err)
		}
	case a.Rules == r.pending.ID(): // what was pending has come in force
		rules = r.pending
	}
	switch {
	case a.Pending.IsNone():
	case a.PendingDelta != nil:
		if pending, err = rules.Apply(a.PendingDelta); err != nil {
			return nil, nil, fmt.Errorf("pending rules: %w", err)
		}
	default:
		pending = r.pending
	}
	if rules.ID() != a.Rules || rules.ID().IsNone() || pending.ID() != a.Pending {
		return nil, nil, fmt.Errorf("%w: %v and %v are told of", versioned.ErrBaseMismatch, a.Rules, a.Pending)
	}
	return rules, pending, nil
}

// read makes a lease of states; what was read before is not read again.
func (r *Replica) leaseOf(rules, pending *versioned.State) (l ruleset.Lease, err error) {
	if l = r.lease; rules.ID() != r.rules.ID() {
		if l.Version, l.UnsupportedFeature, err = decodeVersion(rules); err != nil {
			return l, err
		}
	}
	switch {
	case pending == nil:
		l.Pending, l.PendingUnsupportedFeature = nil, ""
	case pending.ID() != r.pending.ID():
		v, strange, err := decodeVersion(pending)
		if err != nil {
			return l, err
		}
		l.Pending, l.PendingUnsupportedFeature = &v.Rules, strange
	}
	return l, nil
}

// readState reads a version. One that this program does not know whole is left empty, and what it needs
// named.
func decodeVersion(s *versioned.State) (v ruleset.Version, foreign string, err error) {
	v, err = ruleset.VersionFromState(s)
	switch {
	case errors.Is(err, ruleset.ErrUnsupported):
		return ruleset.Version{Number: s.ID().Number}, err.Error(), nil
	case err != nil:
		return v, "", fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	return v, "", nil
}
