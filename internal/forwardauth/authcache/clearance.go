package authcache

import (
	"hash/fnv"
	"math"
)

// Attributes describe the request for which a clearance is granted. The request that redeems the clearance
// must have equal attributes.
type Attributes struct {
	Customer       uint64
	Product, Plan  int // indexes in the lists of the settings
	Units          float64
	SetSize, First int // size and first index of the customer's set of instances
}

// Status is the state of a request id in a ClearanceTable, or the reason why a call has no effect.
type Status uint8

const (
	// StatusUnknown means that there is no entry.
	StatusUnknown Status = iota
	// StatusPending means that the decision is still being made.
	StatusPending
	// StatusGranted means that the request is cleared and has not been received.
	StatusGranted
	// StatusUsed means that the request has been received and must not be executed again.
	StatusUsed
	// StatusMismatch means that the entry has other attributes.
	StatusMismatch
	// StatusFull means that the table has no room for a new entry.
	StatusFull
	// StatusHandedOver means that the table was handed over to the successor process.
	StatusHandedOver
)

// entry is a clearance in the table.
type entry[R any] struct {
	attributes    Attributes
	status        Status // StatusPending, StatusGranted or StatusUsed
	expiresMillis float64
	reservation   R
}

// ClearanceTable records which requests are cleared, by request id. R is the type of the caller's
// reservation of quota, of which each granted clearance has one. Not safe for concurrent use.
type ClearanceTable[R any] struct {
	lifetimeMillis, usedRetentionMillis float64
	maxEntries                          int
	handedOver                          bool
	byRequestID                         map[string]*entry[R]
	grantedExpiries, usedExpiries       []expiry // in order of expiry
}

// expiry is the time at which an entry may be removed.
type expiry struct {
	requestID string
	atMillis  float64
}

// NewClearanceTable returns an empty table. Clearances expire after lifetimeMillis, used request ids after
// usedRetentionMillis, and the table has at most maxEntries of both together.
func NewClearanceTable[R any](lifetimeMillis, usedRetentionMillis float64,
	maxEntries int) *ClearanceTable[R] {
	return &ClearanceTable[R]{
		lifetimeMillis:      lifetimeMillis,
		usedRetentionMillis: usedRetentionMillis,
		maxEntries:          maxEntries,
		byRequestID:         map[string]*entry[R]{},
	}
}

// LifetimeMillis returns how long a clearance lasts.
func (t *ClearanceTable[R]) LifetimeMillis() float64 { return t.lifetimeMillis }

// Len returns the number of request ids in the table.
func (t *ClearanceTable[R]) Len(nowMillis float64) int {
	t.expire(nowMillis)
	return len(t.byRequestID)
}

// Begin looks up a request id for a caller that asks for clearance. If it returns StatusUnknown, the id is
// StatusPending from then on, until Grant or Cancel. With any other status nothing changes.
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

// Grant grants the clearance of a pending request id, and returns its expiry. It returns nowMillis if the
// id is not pending, as after a handover of the table in the meantime.
func (t *ClearanceTable[R]) Grant(requestID string, reservation R,
	nowMillis float64) (expiresMillis float64) {
	e := t.byRequestID[requestID]
	if e == nil || e.status != StatusPending {
		return nowMillis
	}
	e.status, e.reservation, e.expiresMillis = StatusGranted, reservation, nowMillis+t.lifetimeMillis
	t.grantedExpiries = append(t.grantedExpiries, expiry{requestID, e.expiresMillis})
	return e.expiresMillis
}

// Cancel removes a request id that is pending or granted, because it was denied or its reservation has
// expired.
func (t *ClearanceTable[R]) Cancel(requestID string) {
	if e := t.byRequestID[requestID]; e != nil && e.status != StatusUsed {
		delete(t.byRequestID, requestID)
	}
}

// Redeem looks up the id of a received request. With StatusGranted the caller becomes the owner of the
// reservation. If once is true, the id is StatusUsed from then on, and otherwise it is removed. This
// prevents a request that is cleared twice and received twice from being executed twice.
func (t *ClearanceTable[R]) Redeem(requestID string, attributes Attributes, once bool,
	nowMillis float64) (Status, R) {
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
	if !once { // ids of requests that may be repeated would fill the table
		delete(t.byRequestID, requestID)
		return StatusGranted, reservation
	}
	e.status, e.reservation, e.expiresMillis = StatusUsed, none, nowMillis+t.usedRetentionMillis
	t.usedExpiries = append(t.usedExpiries, expiry{requestID, e.expiresMillis})
	return StatusGranted, reservation
}

// expire removes the entries that have expired. All entries except pending ones expire, so the table can't
// leak.
func (t *ClearanceTable[R]) expire(nowMillis float64) {
	t.grantedExpiries = t.expireQueue(t.grantedExpiries, StatusGranted, nowMillis)
	t.usedExpiries = t.expireQueue(t.usedExpiries, StatusUsed, nowMillis)
}

// expireQueue removes the expired entries of one status, and returns the rest of the queue.
func (t *ClearanceTable[R]) expireQueue(queue []expiry, status Status, nowMillis float64) []expiry {
	for len(queue) > 0 && queue[0].atMillis <= nowMillis {
		if e := t.byRequestID[queue[0].requestID]; e != nil && e.status == status && e.expiresMillis <= nowMillis {
			delete(t.byRequestID, queue[0].requestID)
		}
		queue = queue[1:]
	}
	return queue
}

// Clearance is an entry of the table in the form in which it is handed over to the successor process.
type Clearance struct {
	RequestID     string
	Attributes    Attributes
	Used          bool
	ExpiresMillis float64
}

// HandOver removes and returns all granted and used entries for the successor process, and the reservations
// of the granted ones. From then on the table accepts no new entries from Begin.
func (t *ClearanceTable[R]) HandOver(nowMillis float64) (clearances []Clearance, reservations []R) {
	t.expire(nowMillis)
	t.handedOver = true
	for _, queue := range [][]expiry{t.grantedExpiries, t.usedExpiries} {
		for _, d := range queue {
			e := t.byRequestID[d.requestID]
			if e == nil || e.expiresMillis != d.atMillis {
				continue
			}
			clearances = append(clearances,
				Clearance{d.requestID, e.attributes, e.status == StatusUsed, e.expiresMillis})
			if e.status == StatusGranted {
				reservations = append(reservations, e.reservation)
			}
		}
	}
	clear(t.byRequestID)
	t.grantedExpiries, t.usedExpiries = nil, nil
	return clearances, reservations
}

// Adopt adds an entry from the predecessor process. It returns false if the entry has expired, the table is
// full or the request id is in the table already.
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

// HomeInstance returns the index of the one instance in a customer's set that may clear a request id.
// Otherwise two instances could clear the same request and both execute it, as neither knows the other's
// clearances.
func HomeInstance(requestID string, attributes Attributes, instances int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID))
	return (attributes.First + int(h.Sum64()%uint64(max(attributes.SetSize, 1)))) % max(instances, 1)
}
