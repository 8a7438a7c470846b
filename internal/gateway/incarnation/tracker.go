package incarnation

// Freshness classifies a message relative to the earlier messages of its sender.
type Freshness uint8

// The classes of messages.
const (
	// Fresh is a newer message of the sender's known incarnation, or the first message of an unknown sender.
	Fresh Freshness = iota
	// Restarted is the first message of a later incarnation of a known sender.
	Restarted
	// Stale is a duplicate, a message older than one already received, or one of an earlier incarnation.
	Stale
)

// MessageID identifies a message of a sender. The zero value means no message. Its field names must not
// change: gob encodes them in the handoff state of a hot restart.
type MessageID struct{ Incarnation, Sequence uint32 }

// Tracker keeps the ID of the newest message of each sender, by the sender's index. It is not safe for
// concurrent use.
type Tracker struct{ latest map[int]MessageID }

// NewTracker returns a tracker without any known sender.
func NewTracker() *Tracker { return &Tracker{latest: map[int]MessageID{}} }

// Observe classifies a message by its ID, and records the ID unless the message is Stale.
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

// Latest returns the newest message IDs of the senders 0 to n-1, by index, with the zero value for each
// unknown sender. It overwrites and returns ids, growing it if necessary.
func (t *Tracker) Latest(ids []MessageID, n int) []MessageID {
	ids = ids[:0]
	for sender := range n {
		ids = append(ids, t.latest[sender])
	}
	return ids
}

// Restore records message IDs that Latest returned in an earlier run of this process, for senders that are
// still unknown. It returns the known senders whose incarnation differs from the one in ids.
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

// Truncate forgets all senders with index n or above, because these indexes may be assigned to other senders.
func (t *Tracker) Truncate(n int) {
	for sender := range t.latest {
		if sender >= n {
			delete(t.latest, sender)
		}
	}
}

// Forget forgets one sender, because its index is assigned to another sender.
func (t *Tracker) Forget(sender int) { delete(t.latest, sender) }

// after reports whether a follows b in serial number arithmetic (RFC 1982).
func after(a, b uint32) bool { return int32(a-b) > 0 }
