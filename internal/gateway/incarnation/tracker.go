package incarnation

// Freshness is how a message relates to those observed from its sender before.
type Freshness uint8

// The kinds of messages.
const (
	// Fresh is the next message of a known incarnation, or the first of an unknown sender.
	Fresh Freshness = iota
	// Restarted is the first message of a later incarnation of a known sender.
	Restarted
	// Stale is a duplicate, a message that was overtaken, or one of an earlier incarnation.
	Stale
)

// MessageID numbers a message. The zero value stands for none. The fields' names are part of the
// form in which gob encodes it for a hot restart.
type MessageID struct{ Incarnation, Sequence uint32 }

// Tracker holds the newest message's number of each sender, by the sender's index. It is not safe for
// concurrent use.
type Tracker struct{ latest map[int]MessageID }

// NewTracker makes a tracker that knows no sender.
func NewTracker() *Tracker { return &Tracker{latest: map[int]MessageID{}} }

// Observe classifies a message by its number, and records the number unless the message is Stale.
func (t *Tracker) Observe(sender int, id MessageID) Freshness {
	last, known := t.latest[sender]
	switch {
	case !known:
		t.latest[sender] = id
		return Fresh
	case id.Incarnation == last.Incarnation && after(id.Sequence, last.Sequence):
		t.latest[sender] = id
		return Fresh
	case after(id.Incarnation, last.Incarnation):
		t.latest[sender] = id
		return Restarted
	}
	return Stale
}

// Latest gives the newest numbers of the senders below n, by index, in the place of what ids holds; the zero
// value for each unknown sender.
func (t *Tracker) Latest(ids []MessageID, n int) []MessageID {
	ids = ids[:0]
	for sender := range n {
		ids = append(ids, t.latest[sender])
	}
	return ids
}

// Restore takes the numbers that Latest gave in an earlier run of this process, for senders that are still
// unknown. It gives the senders that were observed since in another incarnation than at that time.
func (t *Tracker) Restore(ids []MessageID) (restarted []int) {
	for sender, id := range ids {
		last, known := t.latest[sender]
		switch {
		case id == (MessageID{}):
		case !known:
			t.latest[sender] = id
		case last.Incarnation != id.Incarnation:
			restarted = append(restarted, sender)
		}
	}
	return restarted
}

// Truncate forgets all senders from index n on: their indexes may go to others.
func (t *Tracker) Truncate(n int) {
	for sender := range t.latest {
		if sender >= n {
			delete(t.latest, sender)
		}
	}
}

// Forget forgets one sender: its index goes to another.
func (t *Tracker) Forget(sender int) { delete(t.latest, sender) }

// after tells whether the serial number a comes after b.
func after(a, b uint32) bool { return int32(a-b) > 0 }
