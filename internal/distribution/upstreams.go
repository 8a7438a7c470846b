package distribution

import (
	"math"
	"math/rand"
	"slices"
)

const (
	requestTimeoutFraction = 0.2 // of a lease; then the next upstream is asked
	// staleFraction of a lease, and an interval for each relay above, is the age from which a response is stale,
	// and maxStaleFraction of a lease at most.
	staleFraction    = 1.0 / 3
	maxStaleFraction = 2.0 / 3
	// preferredRetryLeases is the mean number of leases after which the preferred upstream is tried again. With
	// jitter it is two thirds of that to four thirds.
	preferredRetryLeases = 30.0
	// maxRecentRequests bounds the requests that a response is still matched with: two leases' worth and more.
	maxRecentRequests = 64
)

// pendingRequest is a request to an upstream without a response yet.
type pendingRequest struct {
	active      bool
	sentAt      float64
	hostAcks    []HostAck // acks that it carries
	renewalOnly bool
}

// sentRequest identifies a request that a response may still come to.
type sentRequest struct {
	nonce    uint64
	upstream int
	sentAt   float64
}

// upstreamState is what a Follower knows of its upstreams. An upstream is named by its index in the list of
// upstreams, and by its position in the order of preference where a name says so.
type upstreamState struct {
	preference []int // upstreams by position, drawn at random; the first one is preferred
	current    int   // position of the upstream that requests go to
	secondary  int   // position of the one that was asked beside the current one last

	pending       []pendingRequest // by upstream
	recent        []sentRequest    // the oldest first, maxRecentRequests at most
	lastNonce     uint64
	due           []int   // positions to be asked now
	nextRequestAt float64 // when the next slot begins; point in time

	failedInSlot int  // upstreams in a row without a useful response since the slot began
	allFailed    bool // none had a useful response in a whole row, and none has had one since
	alternating  bool // the last slot was the secondary's

	currentStale     bool      // the last response of the current upstream was stale
	retryPreferredAt float64   // when the preferred upstream is tried again; point in time
	newestReadStart  []float64 // by upstream, the read start of its last response

	incarnation uint64 // of the current upstream; 0: not known
}

func newUpstreamState(rng *rand.Rand, upstreams int) upstreamState {
	// Responses to requests of an earlier incarnation of this process must not match: nonces begin at random.
	nonce := rng.Uint64() >> 1
	preference := rng.Perm(max(upstreams, 1))
	return upstreamState{
		preference:      preference,
		pending:         make([]pendingRequest, len(preference)),
		lastNonce:       nonce,
		newestReadStart: slices.Repeat([]float64{never}, len(preference)),
	}
}

func (u *upstreamState) currentUpstream() int { return u.preference[u.current] }

// isPending reports whether a request to an upstream that was sent at a time has no response yet.
func (u *upstreamState) isPending(upstream int, sentAt float64) bool {
	return u.pending[upstream].active && u.pending[upstream].sentAt == sentAt
}

// sent registers a request to an upstream, and gives its nonce.
func (u *upstreamState) sent(upstream int, now float64, r *Request) uint64 {
	u.lastNonce++
	u.pending[upstream] = pendingRequest{active: true, sentAt: now, hostAcks: r.HostAcks,
		renewalOnly: r.RenewalOnly}
	if u.recent = append(u.recent, sentRequest{u.lastNonce, upstream, now}); len(u.recent) > maxRecentRequests {
		u.recent = slices.Delete(u.recent, 0, 1)
	}
	return u.lastNonce
}

// matches reports whether a nonce is that of the request that was sent to an upstream at a time. A response
// without a nonce matches: its host does that.
func (u *upstreamState) matches(upstream int, sentAt float64, nonce uint64) bool {
	return nonce == 0 || slices.ContainsFunc(u.recent, func(r sentRequest) bool {
		return r.nonce == nonce && r.upstream == upstream && r.sentAt == sentAt
	})
}

// nextSecondary moves on to the next position but the current one.
func (u *upstreamState) nextSecondary() int {
	if u.secondary = (u.secondary + 1) % len(u.preference); u.secondary == u.current {
		u.secondary = (u.secondary + 1) % len(u.preference)
	}
	return u.secondary
}

// requestTimeout is how long a response is waited for; duration.
func (f *Follower) requestTimeout() float64 { return f.lease * requestTimeoutFraction }

// scheduleRequests fails the requests that have timed out, and fills the list of due ones where a slot
// begins.
func (f *Follower) scheduleRequests() {
	u := &f.upstreams
	for _, upstream := range u.preference {
		if p := &u.pending[upstream]; p.active && f.now >= p.sentAt+f.requestTimeout() {
			f.RequestFailed(upstream, p.sentAt)
		}
	}
	if f.now < u.nextRequestAt || len(u.due) > 0 || u.pending[u.currentUpstream()].active {
		return
	}
	// After a stall of the process, or a slow response, missed slots are not made up for.
	if u.nextRequestAt += f.interval; u.nextRequestAt <= f.now {
		u.nextRequestAt = f.now + f.interval
	}
	u.failedInSlot = 0
	u.due = append(u.due, u.current)
	if position, ok := f.chooseBeside(); ok && !u.pending[u.preference[position]].active {
		u.due = append(u.due, position)
	}
}

// chooseBeside gives the position of an upstream to be asked beside the current one in this slot: the
// preferred one once it is time to try it again, or the next one where the current one is stale. Where the
// snapshot has expired the two take turns instead, so that the request rate stays the same.
func (f *Follower) chooseBeside() (position int, ok bool) {
	u := &f.upstreams
	switch {
	case u.current != 0 && f.now >= u.retryPreferredAt:
		f.postponePreferredRetry()
		return 0, true
	case u.currentStale && !u.allFailed && len(u.preference) > 1:
		position = u.nextSecondary()
		if u.alternating = f.expired && !u.alternating; u.alternating {
			u.due = u.due[:0]
		} else if f.expired {
			return 0, false
		}
		return position, true
	}
	return 0, false
}

// postponePreferredRetry draws when the preferred upstream is tried again.
func (f *Follower) postponePreferredRetry() {
	f.upstreams.retryPreferredAt = f.now + f.lease*preferredRetryLeases*(2+2*f.rng.Float64())/3
}

// RequestFailed says that a request to an upstream, sent at a time, gets no response.
func (f *Follower) RequestFailed(upstream int, sentAt float64) {
	u := &f.upstreams
	if upstream < 0 || upstream >= len(u.pending) || !u.isPending(upstream, sentAt) {
		return
	}
	u.pending[upstream] = pendingRequest{}
	f.counts.Failed++
	f.failOver(upstream)
}

// failOver switches to the next upstream where the current one was of no use. Within a slot each upstream is
// asked once; where none is of use, one is asked in each slot from then on, so that the request rate stays
// the same where all are gone.
func (f *Follower) failOver(upstream int) {
	u := &f.upstreams
	if upstream != u.currentUpstream() || len(u.preference) == 1 {
		return
	}
	f.switchUpstream((u.current + 1) % len(u.preference))
	if u.failedInSlot++; u.failedInSlot >= len(u.preference) {
		u.allFailed = true
	} else if !u.allFailed && !u.pending[u.currentUpstream()].active {
		u.due = append(u.due[:0], u.current)
	}
}

// switchUpstream makes the upstream at a position the current one. It is sent all acks, as what the former
// one knew may not have gone further up.
func (f *Follower) switchUpstream(position int) {
	u := &f.upstreams
	if position == u.current {
		return
	}
	if u.current == 0 {
		f.postponePreferredRetry()
	}
	u.current, u.currentStale, u.incarnation = position, false, 0
	f.counts.UpstreamSwitches++
	f.resendHostAcks()
}

// compareFreshness notes whether the current upstream is stale. It switches to an upstream that is fresher
// than a stale current one, and back to the preferred one once that is fresh.
func (f *Follower) compareFreshness(upstream int, readStart float64, r *Response) {
	u := &f.upstreams
	position := slices.Index(u.preference, upstream)
	staleAge := math.Min(f.lease*staleFraction+float64(r.Depth)*f.interval, f.lease*maxStaleFraction)
	u.newestReadStart[upstream] = readStart
	switch {
	case position == u.current:
		u.currentStale = r.AgeMillis > staleAge
	case position == 0 && r.AgeMillis <= staleAge && r.Step >= f.snapshot.Step,
		u.currentStale && r.Step >= f.snapshot.Step &&
			readStart > u.newestReadStart[u.currentUpstream()]+f.interval:
		f.switchUpstream(position)
	}
}
