package tally

import (
	"cmp"
	"slices"
	"time"
	"unicode/utf8"

	"willowdeck/internal/serving/wirepb"
)

// Outcome is the outcome of an add.
type Outcome int

// Outcomes of adds.
const (
	Unknown      Outcome = iota // the add may count or not: its caller sends it again
	Acknowledged                // the add counts, and is durable
	Unavailable                 // nothing was done: this replica cannot make adds durable now
	Overloaded                  // nothing was done: too many adds are pending or held
	Conflict                    // nothing was done: the id was used with another amount
	Invalid                     // nothing was done: the name or the id is not valid UTF-8
)

// pendingAdd is an add that waits for copies.
type pendingAdd struct {
	sequence uint64 // of the own origin
	expires  time.Duration
	done     func(Outcome)
}

// sendTime says when own records up to a sequence number were sent.
type sendTime struct {
	sequence uint64
	at       time.Duration
}

// Add adds to a tally and calls done with the outcome, at once or later. An id that was recorded before is
// not recorded a second time by this replica. Where another core has recorded it, this one records it as
// well: the set counts it once, and its copies are known.
func (r *Replica) Add(add Add, done func(Outcome)) {
	r.advanceTime()
	if !utf8.ValidString(add.Tally) || !utf8.ValidString(add.ID) {
		done(Invalid) // its messages and its frame of the log could not be encoded
		return
	}
	counted, known := r.set.find(add.Tally, add.ID)
	if known && counted.amount() != add.Amount {
		done(Conflict)
		return
	}
	own := known && counted.origin.origin == r.options.Incarnation
	if own && counted.sequence <= r.acknowledgedSequence() {
		done(Acknowledged)
		return
	}
	if known && len(r.pending) >= maxPendingAdds {
		done(Unknown)
		return
	}
	if !known {
		if refusal := r.refusal(); refusal != Unknown {
			done(refusal)
			return
		}
	}
	sequence := counted.sequence
	if !own {
		sequence = r.recordOwn(add)
	}
	r.pending = append(r.pending, pendingAdd{sequence: sequence, expires: r.active + answerTimeout, done: done})
	if len(r.unsent) >= maxUnsentAdds {
		r.Flush()
	}
}

// recordOwn records an add in the own sequence.
func (r *Replica) recordOwn(add Add) uint64 {
	sequence := r.set.record(r.options.Incarnation, add)
	r.unsent = append(r.unsent, &wirepb.TallyAdd{Tally: add.Tally, Id: add.ID, Amount: add.Amount})
	return sequence
}

// refusal returns why a new add is refused, or Unknown where it is not.
func (r *Replica) refusal() Outcome {
	if len(r.pending) >= maxPendingAdds || r.set.HeapBytes() >= maxSetBytes {
		return Overloaded
	}
	if r.shuttingDown || !r.canAcknowledge() {
		return Unavailable
	}
	return Unknown
}

// canAcknowledge reports whether enough disks seem to be available for an add. Fewer than required do only
// where the other cores have been given up, which takes a while, also after a start.
func (r *Replica) canAcknowledge() bool {
	ownDisk := r.durable[r.options.Incarnation] >= r.overdue
	disks := 0
	if ownDisk {
		disks++
	}
	undecided := false
	for _, p := range r.peers {
		switch {
		case r.unreachable(p):
		case p.late:
			undecided = true
		default:
			disks++
		}
	}
	if disks >= r.options.RequiredCopies {
		return true
	}
	return ownDisk && !undecided && r.active >= startGrace
}

// completeAdds answers the pending adds that have enough copies or have waited too long.
func (r *Replica) completeAdds() {
	if len(r.pending) == 0 {
		return
	}
	acknowledged := r.acknowledgedSequence()
	waiting := r.pending
	r.pending = nil
	for _, add := range waiting {
		switch {
		case add.sequence <= acknowledged:
			add.done(Acknowledged)
		case r.active >= add.expires:
			add.done(Unknown)
		default:
			r.pending = append(r.pending, add)
		}
	}
}

// copies is how far one core has made the own records durable.
type copies struct {
	zone     string
	sequence uint64
}

// acknowledgedSequence returns the sequence number up to which own records have enough durable copies.
func (r *Replica) acknowledgedSequence() uint64 {
	return max(r.fullyReplicated(), r.replicatedToReachable())
}

// fullyReplicated returns the sequence number up to which own records are on the required number of disks, in
// the required number of zones.
func (r *Replica) fullyReplicated() uint64 {
	held := []copies{{zone: r.options.Zone, sequence: r.durable[r.options.Incarnation]}}
	for _, p := range r.peers {
		if !p.shuttingDown {
			held = append(held, copies{zone: p.zone, sequence: p.durable[r.options.Incarnation]})
		}
	}
	slices.SortFunc(held, func(a, b copies) int { return cmp.Compare(b.sequence, a.sequence) })
	zones := map[string]bool{}
	for i, c := range held {
		zones[c.zone] = true
		if i+1 >= r.options.RequiredCopies && len(zones) >= r.options.RequiredZones {
			return c.sequence
		}
	}
	return 0
}

// replicatedToReachable returns the sequence number up to which own records are on the own disk and on those
// of all peers that are not given up. It is what counts where too few cores can be reached.
func (r *Replica) replicatedToReachable() uint64 {
	if r.active < startGrace {
		return 0
	}
	sequence := r.durable[r.options.Incarnation]
	for _, p := range r.peers {
		if !r.unreachable(p) {
			sequence = min(sequence, p.durable[r.options.Incarnation])
		}
	}
	return sequence
}
