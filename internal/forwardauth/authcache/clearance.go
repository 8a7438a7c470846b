package authcache

import (
	"hash/fnv"
	"math"
)

// Attributes are what a clearance is for. The request that redeems it has to have the same.
type Attributes struct {
	Customer       uint64
	Product, Plan  int // indices of the settings' lists
	Units          float64
	SetSize, First int // of the customer's set of instances
}

// Status is what is known of a request id.
type Status uint8

const (
	// StatusUnknown says that there is no entry.
	StatusUnknown Status = iota
	// StatusPending says that the decision is being made.
	StatusPending
	// StatusGranted says that the request is cleared and has not come.
	StatusGranted
	// StatusUsed says that the request has come and may not run again.
	StatusUsed
	// StatusMismatch says that the entry has other attributes.
	StatusMismatch
	// StatusFull says that the table has no room for a new entry.
	StatusFull
	// StatusHandedOver says that the successor process has the table.
	StatusHandedOver
)

// entry is a clearance in the table.
type entry[R any] struct {
	attributes    Attributes
	status        Status // Open, Known or Used
	expiresMillis float64
	reservation   R
}

// ClearanceTable knows which requests are cleared, by their ids. R is the caller's reservation of quota,
// one for each clearance that was granted. Not safe for concurrent use.
type ClearanceTable[R any] struct {
	lifetimeMillis, usedRetentionMillis float64
	maxEntries                          int
	handedOver                          bool
	byRequestID                         map[string]*entry[R]
	grantedExpiries, usedExpiries       []expiry // in the order of time
}

// expiry is the time at which an entry may be removed.
type expiry struct {
	requestID string
	atMillis  float64
}

// NewClearanceTable returns an empty table in which clearances last for a lifetime, used request ids are
// known for a retention, and both together are no more than maxEntries.
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

// Len returns how many request ids are known.
func (t *ClearanceTable[R]) Len(nowMillis float64) int {
	t.expire(nowMillis)
	return len(t.byRequestID)
}

// Begin looks a request id up for a caller that asks for clearance. One that is StatusUnknown is
// StatusPending from here on, until Grant or Cancel; with any other status nothing changes.
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

// Grant clears a pending request id, and returns when that expires. It is nowMillis where the id is not
// pending: the table was handed over meanwhile.
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

// Cancel removes a request id that is pending or granted: it was denied, or its reservation has lapsed.
func (t *ClearanceTable[R]) Cancel(requestID string) {
	if e := t.byRequestID[requestID]; e != nil && e.status != StatusUsed {
		delete(t.byRequestID, requestID)
	}
}

// Redeem looks a request id up for a request that has come. If it is StatusGranted the reservation passes
// to the caller, and the id is used from here on if the request may come but once. Guards against a request
// that is cleared twice and comes twice: it would be executed twice.
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
	if !once { // ids that may come again would fill the table
		delete(t.byRequestID, requestID)
		return StatusGranted, reservation
	}
	e.status, e.reservation, e.expiresMillis = StatusUsed, none, nowMillis+t.usedRetentionMillis
	t.usedExpiries = append(t.usedExpiries, expiry{requestID, e.expiresMillis})
	return StatusGranted, reservation
}

// expire removes the entries whose time has passed. Guards against a leak: every entry but a pending one
// expires.
func (t *ClearanceTable[R]) expire(nowMillis float64) {
	t.grantedExpiries = t.expireQueue(t.grantedExpiries, StatusGranted, nowMillis)
	t.usedExpiries = t.expireQueue(t.usedExpiries, StatusUsed, nowMillis)
}

// expireQueue removes the entries of one status whose time has passed.
func (t *ClearanceTable[R]) expireQueue(queue []expiry, status Status, nowMillis float64) []expiry {
	for len(queue) > 0 && queue[0].atMillis <= nowMillis {
		if e := t.byRequestID[queue[0].requestID]; e != nil && e.status == status && e.expiresMillis <= nowMillis {
			delete(t.byRequestID, queue[0].requestID)
		}
		queue = queue[1:]
	}
	return queue
}

// Clearance is an entry of the table as it is handed over to the successor process.
type Clearance struct {
	RequestID     string
	Attributes    Attributes
	Used          bool
	ExpiresMillis float64
}

// HandOver returns all entries, for the successor process, and the reservations of those that were granted.
// From then on the table takes no new entries.
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

// Adopt takes over an entry from the predecessor process. It returns false where the entry has expired, the
// table is full or the request id is known here already.
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

// HomeInstance returns the one instance of a customer's set that clears a request id. Guards against a
// request that is cleared by two instances and executed by both: neither alone could know.
func HomeInstance(requestID string, attributes Attributes, instances int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID))
	return (attributes.First + int(h.Sum64()%uint64(max(attributes.SetSize, 1)))) % max(instances, 1)
}
