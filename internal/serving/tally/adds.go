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
	Unknown      Outcome = iota // the add may or may not count: its caller has to send it again
	Acknowledged                // the add counts, and is durable
	Unavailable                 // not recorded: this replica cannot make adds durable now
	Overloaded                  // not recorded: too many adds are pending, or the set is at its memory limit
	Conflict                    // not recorded: the id was used with another amount
	Invalid                     // not recorded: the name or the id is not valid UTF-8
)

// pendingAdd is an own add whose caller waits until enough cores have made it durable.
type pendingAdd struct {
	sequence uint64 // of the record in the own sequence
	expires  time.Duration
	done     func(Outcome)
}

// sendTime is the time at which own records up to a sequence number were sent.
type sendTime struct {
	sequence uint64
	at       time.Duration
}

// Add adds to a tally and calls done with the outcome, immediately or later. A replica does not record an
// add again that it has already recorded. An add that only other cores have recorded is recorded in the
// replica's own sequence as well: the set counts it once, and the replica can tell how many cores have
// made its own record durable.
func (r *Replica) Add(add Add, done func(Outcome)) {
	r.advanceTime()
	if !utf8.ValidString(add.Tally) || !utf8.ValidString(add.ID) {
		done(Invalid) // protobuf could not encode it for the log and for messages
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

// recordOwn records an add in the own sequence and returns its sequence number.
func (r *Replica) recordOwn(add Add) uint64 {
	sequence := r.set.record(r.options.Incarnation, add)
	r.unsent = append(r.unsent, &wirepb.TallyAdd{Tally: add.Tally, Id: add.ID, Amount: add.Amount})
	return sequence
}

// refusal returns the outcome of a new add that is refused, or Unknown if it is accepted.
func (r *Replica) refusal() Outcome {
	if len(r.pending) >= maxPendingAdds || r.set.HeapBytes() >= maxSetBytes {
		return Overloaded
	}
	if r.shuttingDown || !r.canAcknowledge() {
		return Unavailable
	}
	return Unknown
}

// canAcknowledge reports whether enough disks seem to be available to acknowledge a new add. Fewer than
// RequiredCopies suffice only if this core has made own records durable in time, each late peer has been
// given up, and startGrace has passed.
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

// completeAdds answers the pending adds that have enough durable copies or have reached the answer timeout.
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

// copies is the sequence number up to which one core has made this replica's own records durable.
type copies struct {
	zone     string
	sequence uint64
}

// acknowledgedSequence returns the sequence number up to which own records have enough durable copies.
func (r *Replica) acknowledgedSequence() uint64 {
	return max(r.fullyReplicated(), r.replicatedToReachable())
}

// fullyReplicated returns the sequence number up to which own records are on the required number of disks,
// in the required number of zones.
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

// replicatedToReachable returns the sequence number up to which own records are on the disks of this core
// and of all peers that are not unreachable. It decides about acknowledgements if fewer cores than
// required can be reached. It is 0 during startGrace.
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
