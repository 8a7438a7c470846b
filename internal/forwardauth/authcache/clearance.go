// Package authcache decides all of forward authentication that is not quota, worker or repetition: what a
// clearance is good for and how long, what an auth service's answer is good for, how long it is waited for,
// and when it is left alone. It is free of I/O, knows no clock but the times it is told, and is not safe for
// concurrent use. Times are in ms.
package authcache

import (
	"hash/fnv"
	"math"
)

const (
	DefaultClearanceLifetimeMillis = 2000.0   // ms a clearance is kept; a portal forwards within some round trips
	MaxClearanceLifetimeMillis     = 60000.0  // ms; what is kept for one txn others can't have
	DefaultUsedRetentionMillis     = 120000.0 // ms a mark that was used is known; longer than portals go on trying
	MaxUsedRetentionMillis         = 3.6e6    // ms; marks are for one use, and memory is for those who use them twice
	DefaultMaxClearances           = 65536    // clearances and used marks together; some 20 MB
	LargestMaxClearances           = 1 << 20  // of them that may be asked for
	MaxTargetBytes                 = 2048     // bytes of a forwarded path and query; workers' own bounds lie above
	MaxHeaderBytes                 = 512      // bytes of any other forwarded header
	MaxForwardedHops               = 8        // addresses in a forwarded chain; more is a loop or a forgery
	DefaultMaxCallers              = 64       // portals' connections at once
	CallTimeoutMillis              = 1000.0   // ms for a portal's call to come whole, and for its answer to be taken
	IdleTimeoutMillis              = 60000.0  // ms until a portal's idle connection is ended; portals keep theirs for less
	RebindIntervalMillis           = 50.0     // ms between tries to bind an address that the process before still has
	FullRetryMillis                = 1000.0   // ms after which a portal may ask again where there was no place
)

// Facts are what a clearance is for. The txn that comes has to be the same.
type Attributes struct {
	Customer       uint64
	Product, Plan  int
	Units          float64
	SetSize, First int
}

// Finding tells what is known of a mark.
type Status uint8

// The findings.
const (
	StatusUnknown    Status = iota // not known, or no more
	StatusPending                  // being decided on at this moment
	StatusGranted                  // cleared, and not come
	StatusUsed                     // its txn has come: it may not run again
	StatusMismatch                 // known with other facts
	StatusFull                     // there is no place for one more
	StatusHandedOver               // another process has the book
)

type entry[R any] struct {
	attributes    Attributes
	status        Status // Open, Known or Used
	expiresMillis float64
	reservation   R
}

// Book knows which txns are cleared, by their marks. H is the host's own, one for each clearance.
type ClearanceTable[R any] struct {
	lifetimeMillis, usedRetentionMillis float64
	maxEntries                          int
	handedOver                          bool
	byRequestID                         map[string]*entry[R]
	grantedExpiries, usedExpiries       []expiry // in the order of their ends
}

// due is a mark that may be let go at a time.
type expiry struct {
	requestID string
	atMillis  float64
}

// NewBook makes a book in which a clearance lasts for life, a used mark is known for memory, and there are
// no more than most of both together.
func NewClearanceTable[R any](
	lifetimeMillis, usedRetentionMillis float64,
	maxEntries int,
) *ClearanceTable[R] {
	return &ClearanceTable[R]{
		lifetimeMillis:      lifetimeMillis,
		usedRetentionMillis: usedRetentionMillis,
		maxEntries:          maxEntries,
		byRequestID:         map[string]*entry[R]{},
	}
}

// Life is how long a clearance lasts.
func (t *ClearanceTable[R]) LifetimeMillis() float64 { return t.lifetimeMillis }

// Len is how many marks are known.
func (t *ClearanceTable[R]) Len(nowMillis float64) int {
	t.expire(nowMillis)
	return len(t.byRequestID)
}

// Ask looks a mark up for a portal. Where it is New it is Open from here on, until Grant or Drop; the others
// change nothing.
func (t *ClearanceTable[R]) Begin(requestID string, attributes Attributes, nowMillis float64) Status {
	t.expire(nowMillis)
	e := t.byRequestID[requestID]
	switch {
	case t.handedOver:
		return StatusHandedOver
	case e == nil && len(t.byRequestID) >= t.maxEntries:
		return StatusFull
	case e == nil:
		t.byRequestID[requestID] = &entry[R]{attributes: attributes, status: StatusPending}
		return StatusUnknown
	case e.attributes != attributes:
		return StatusMismatch
	}
	return e.status
}

// Grant notes that an open mark is cleared, from now on, and gives the time until which it is.
func (t *ClearanceTable[R]) Grant(
	requestID string,
	reservation R,
	nowMillis float64,
) (expiresMillis float64) {
	e := t.byRequestID[requestID]
	if e == nil || e.status != StatusPending {
		return nowMillis
	}
	e.status, e.reservation, e.expiresMillis = StatusGranted, reservation, nowMillis+t.lifetimeMillis
	t.grantedExpiries = append(t.grantedExpiries, expiry{requestID, e.expiresMillis})
	return e.expiresMillis
}

// Drop forgets a mark that is open or known: it was turned down, or has lapsed.
func (t *ClearanceTable[R]) Cancel(requestID string) {
	if e := t.byRequestID[requestID]; e != nil && e.status != StatusUsed {
		delete(t.byRequestID, requestID)
	}
}

// Come looks a mark up for a txn that comes. Where it is Known its hold is the caller's, and it is Used from
// here on if it may come but once. Guards against a txn that was cleared twice and comes twice: it would run
// twice.
func (t *ClearanceTable[R]) Redeem(
	requestID string,
	attributes Attributes,
	once bool,
	nowMillis float64,
) (Status, R) {
	var none R
	t.expire(nowMillis)
	e := t.byRequestID[requestID]
	switch {
	case e == nil && t.handedOver:
		return StatusHandedOver, none
	case e == nil:
		return StatusUnknown, none
	case e.attributes != attributes:
		return StatusMismatch, none
	case e.status != StatusGranted:
		return e.status, none
	}
	reservation := e.reservation
	if !once { // all marks that ever came would take the place of those that have to be known
		delete(t.byRequestID, requestID)
		return StatusGranted, reservation
	}
	e.status, e.reservation, e.expiresMillis = StatusUsed, none, nowMillis+t.usedRetentionMillis
	t.usedExpiries = append(t.usedExpiries, expiry{requestID, e.expiresMillis})
	return StatusGranted, reservation
}

// sweep lets go what is over. Guards against entries that outlive their use: all that a book keeps ends.
func (t *ClearanceTable[R]) expire(nowMillis float64) {
	t.grantedExpiries = t.expireQueue(t.grantedExpiries, StatusGranted, nowMillis)
	t.usedExpiries = t.expireQueue(t.usedExpiries, StatusUsed, nowMillis)
}

func (t *ClearanceTable[R]) expireQueue(queue []expiry, status Status, nowMillis float64) []expiry {
	for len(queue) > 0 && queue[0].atMillis <= nowMillis {
		if e := t.byRequestID[queue[0].requestID]; e != nil && e.status == status && e.expiresMillis <= nowMillis {
			delete(t.byRequestID, queue[0].requestID)
		}
		queue = queue[1:]
	}
	return queue
}

// Clearance is one entry of a book as it passes to another process.
type Clearance struct {
	RequestID     string
	Attributes    Attributes
	Used          bool
	ExpiresMillis float64
}

// Leave gives all there is to the process that takes this one's place, and the holds of what was cleared.
// From then on the book takes nothing more in.
func (t *ClearanceTable[R]) HandOver(nowMillis float64) (clearances []Clearance, reservations []R) {
	t.expire(nowMillis)
	t.handedOver = true
	for _, queue := range [][]expiry{t.grantedExpiries, t.usedExpiries} {
		for _, d := range queue {
			e := t.byRequestID[d.requestID]
			if e == nil || e.expiresMillis != d.atMillis {
				continue
			}
			clearances = append(
				clearances,
				Clearance{d.requestID, e.attributes, e.status == StatusUsed, e.expiresMillis},
			)
			if e.status == StatusGranted {
				reservations = append(reservations, e.reservation)
			}
		}
	}
	clear(t.byRequestID)
	t.grantedExpiries, t.usedExpiries = nil, nil
	return clearances, reservations
}

// Inherit takes an entry over from another process, and tells whether there was a place for it and it is not
// over. What is already known here stays.
func (t *ClearanceTable[R]) Adopt(c Clearance, reservation R, nowMillis float64) bool {
	if c.ExpiresMillis <= nowMillis || len(t.byRequestID) >= t.maxEntries || t.byRequestID[c.RequestID] != nil {
		return false
	}
	e := &entry[R]{
		attributes:    c.Attributes,
		status:        StatusGranted,
		expiresMillis: c.ExpiresMillis,
		reservation:   reservation,
	}
	queue := &t.grantedExpiries
	if c.Used {
		e.status, queue = StatusUsed, &t.usedExpiries
		e.expiresMillis = math.Min(c.ExpiresMillis, nowMillis+t.usedRetentionMillis)
	} else {
		e.expiresMillis = math.Min(c.ExpiresMillis, nowMillis+t.lifetimeMillis)
	}
	t.byRequestID[c.RequestID] = e
	*queue = append(*queue, expiry{c.RequestID, e.expiresMillis})
	return true
}

// Home is the gatekeeper of a customer's set that alone clears a mark, of n in all. Guards against a txn that
// is cleared through two gatekeepers and runs at both: each alone could not know.
func HomeInstance(requestID string, attributes Attributes, instances int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID))
	return (attributes.First + int(h.Sum64()%uint64(max(attributes.SetSize, 1)))) % max(instances, 1)
}
