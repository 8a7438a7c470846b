package distribution

import (
	"errors"
	"fmt"
	"math/rand"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// RingRadius is how many positions of the ring on either side of its own a gateway knows the members of. The
// instances that share a customer's quota are adjacent on the ring, this gateway among them, so that the
// radius covers every group of up to RingRadius + 1: all groups of a fleet of 501, and those of 64 at most
// that lend credit. To a gateway in a wider group the members beyond are like peers that have never sent
// anything.
const RingRadius = 250

// Replica is a gateway's copy of its part of the ruleset, as the daemon of its host sends it. When to send a
// request, and whether to act on the result, is up to ruleset.LeaseHolder. The daemon tracks this very
// process, so that it may act on what was read before it started. It is not safe for concurrent use.
type Replica struct {
	name             string
	processID        int
	rng              *rand.Rand
	rules, pending   *versioned.State
	lease            ruleset.Lease // of these states, without an age
	renewalOnlyUntil float64       // a full state was deferred until then; point in time
	counts           ReplicaCounts
}

// Errors of HandleResponse beside those of package versioned.
var (
	ErrDeferred        = errors.New("the full state is deferred")
	ErrInvalidResponse = errors.New("invalid response")
)

// NewReplica makes an empty replica for a process of a gateway.
func NewReplica(name string, processID int, seed int64) *Replica {
	return &Replica{name: name, processID: processID, rng: rand.New(rand.NewSource(seed))}
}

// Counts gives what the replica has met.
func (r *Replica) Counts() ReplicaCounts { return r.counts }

// NewRequest gives the request to the daemon at a time. The acknowledged step is what
// ruleset.LeaseHolder.AckedStep returns; the index is that of the discovery service's list, and negative
// where none is known.
func (r *Replica) NewRequest(now float64, ackedStep uint64, discoveryIndex int64) *Request {
	return &Request{
		FormatVersion:  FormatVersion,
		Sender:         r.name,
		Interest:       ruleset.Interest{Name: r.name, Around: RingRadius},
		Step:           r.lease.Step,
		Rules:          r.rules.ID(),
		Pending:        r.pending.ID(),
		RenewalOnly:    now < r.renewalOnlyUntil,
		DiscoveryIndex: discoveryIndex,
		ProcessID:      r.processID,
		AckedStep:      ackedStep,
	}
}

// HandleResponse applies a response that came at a time, and gives its content as a lease for
// ruleset.LeaseHolder. Updated reports whether the rules or the pending rules are others than before. After
// an error but ErrDeferred the replica is as it was, and its next request asks for a full state.
func (r *Replica) HandleResponse(response *Response, now float64) (
	lease ruleset.Lease, updated bool, err error) {
	switch {
	case response.FormatVersion != FormatVersion:
		r.counts.Invalid++
		return lease, false, fmt.Errorf("%w: format version %d", ErrInvalidResponse, response.FormatVersion)
	case response.Step < r.lease.Step: // a late response holds nothing new and is no base
		r.counts.Stale++
		return ruleset.Lease{Step: response.Step, AgeMillis: response.AgeMillis}, false, nil
	case response.RetryAfterMillis > 0:
		r.counts.Deferred++
		r.renewalOnlyUntil = deferralEnd(now, r.rng, response.RetryAfterMillis)
		return lease, false, ErrDeferred
	case now < r.renewalOnlyUntil && response.Rules != r.rules.ID():
		return lease, false, ErrDeferred
	}
	rules, pending, err := r.resolveStates(response)
	next := r.lease
	if err == nil {
		next, err = r.leaseOf(rules, pending)
	}
	if err != nil {
		r.countError(err)
		r.rules, r.pending = nil, nil
		return lease, false, err
	}
	r.countAccepted(response)
	updated = rules.ID() != r.rules.ID() || pending.ID() != r.pending.ID()
	next.Step, next.TransitionComplete = response.Step, response.TransitionComplete
	r.rules, r.pending, r.lease = rules, pending, next
	next.AgeMillis = response.AgeMillis
	return next, updated, nil
}

func (r *Replica) countError(err error) {
	switch {
	case errors.Is(err, versioned.ErrBaseMismatch):
		r.counts.BaseMismatches++
	case errors.Is(err, versioned.ErrDigestMismatch):
		r.counts.DigestMismatches++
	default:
		r.counts.Invalid++
	}
}

func (r *Replica) countAccepted(response *Response) {
	switch delta := response.RulesDelta; {
	case delta == nil && response.PendingDelta == nil:
		r.counts.Renewals++
	case delta != nil && delta.From.IsNone():
		r.counts.FullStates++
	default:
		r.counts.Deltas++
	}
}

// resolveStates gives the states that a response names: those that are here, or what its deltas make.
func (r *Replica) resolveStates(response *Response) (rules, pending *versioned.State, err error) {
	switch rules = r.rules; {
	case response.RulesDelta != nil:
		if rules, err = r.rules.Apply(response.RulesDelta); err != nil {
			return nil, nil, fmt.Errorf("rules: %w", err)
		}
	case response.Rules == r.pending.ID(): // the pending version has come in force
		rules = r.pending
	}
	switch {
	case response.Pending.IsNone():
	case response.PendingDelta != nil:
		if pending, err = rules.Apply(response.PendingDelta); err != nil {
			return nil, nil, fmt.Errorf("pending rules: %w", err)
		}
	default:
		pending = r.pending
	}
	if rules.ID() != response.Rules || rules.ID().IsNone() || pending.ID() != response.Pending {
		return nil, nil, fmt.Errorf("%w: the response names %v and %v", versioned.ErrBaseMismatch, response.Rules,
			response.Pending)
	}
	return rules, pending, nil
}

// leaseOf decodes states into a lease. What was decoded for the last lease is used again.
func (r *Replica) leaseOf(rules, pending *versioned.State) (lease ruleset.Lease, err error) {
	if lease = r.lease; rules.ID() != r.rules.ID() {
		if lease.Version, lease.UnsupportedFeature, err = decodeVersion(rules); err != nil {
			return lease, err
		}
	}
	switch {
	case pending == nil:
		lease.Pending, lease.PendingUnsupportedFeature = nil, ""
	case pending.ID() != r.pending.ID():
		version, unsupported, err := decodeVersion(pending)
		if err != nil {
			return lease, err
		}
		lease.Pending, lease.PendingUnsupportedFeature = &version.Rules, unsupported
	}
	return lease, nil
}

// decodeVersion decodes a version. Of one that needs what this program does not support, the rules are left
// empty, and what it needs is named.
func decodeVersion(s *versioned.State) (version ruleset.Version, unsupported string, err error) {
	version, err = ruleset.VersionFromState(s)
	switch {
	case errors.Is(err, ruleset.ErrUnsupported):
		return ruleset.Version{Number: s.ID().Number}, err.Error(), nil
	case err != nil:
		return version, "", fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	return version, "", nil
}
