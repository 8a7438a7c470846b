package consensus

import "willowdeck/internal/serving/wirepb"

// replicatedLog holds a snapshot and log entries in memory. Some of the entries that the snapshot covers are
// retained, so that a replica that lags a little does not need the snapshot.
type replicatedLog struct {
	snapshot  *wirepb.Snapshot // never nil
	baseIndex uint64           // index of the entry before entries[0]; at most snapshot.Index
	baseTerm  uint64           // term of that entry
	entries   []*wirepb.Entry
}

// newLog returns the log of a durable state.
func newLog(stored DurableState) replicatedLog {
	snapshot := stored.Snapshot
	if snapshot == nil {
		snapshot = &wirepb.Snapshot{}
	}
	log := replicatedLog{snapshot: snapshot, baseIndex: snapshot.Index, baseTerm: snapshot.Term}
	log.append(stored.Entries...)
	return log
}

func (l *replicatedLog) firstIndex() uint64 { return l.baseIndex + 1 }

func (l *replicatedLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *replicatedLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false if the log does not have it.
func (l *replicatedLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entryAt(index).Term, true
}

// entryAt returns the entry at an index, which must be in entries.
func (l *replicatedLog) entryAt(index uint64) *wirepb.Entry { return l.entries[index-l.firstIndex()] }

// entriesFrom returns the entries from index on: at least one, and as many as fit into limit bytes. It
// returns none if the log does not have the entry at index.
func (l *replicatedLog) entriesFrom(index uint64, limit int) []*wirepb.Entry {
	if index < l.firstIndex() || index > l.lastIndex() {
		return nil
	}
	tail := l.entries[index-l.firstIndex():]
	size := 0
	for i, entry := range tail {
		size += len(entry.Data)
		if i > 0 && size > limit {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

// entriesAfter returns all entries after index, which must not be lower than baseIndex.
func (l *replicatedLog) entriesAfter(index uint64) []*wirepb.Entry {
	tail := l.entries[index-l.baseIndex:]
	return tail[:len(tail):len(tail)]
}

// sizeBetween returns the size in bytes of the entries after one index and up to another.
func (l *replicatedLog) sizeBetween(after, last uint64) int {
	size := 0
	for index := max(after, l.baseIndex) + 1; index <= min(last, l.lastIndex()); index++ {
		size += len(l.entryAt(index).Data)
	}
	return size
}

func (l *replicatedLog) append(entries ...*wirepb.Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries from index on.
func (l *replicatedLog) truncate(index uint64) {
	kept := l.entries[:index-l.firstIndex()]
	l.entries = append([]*wirepb.Entry(nil), kept...)
}

// reset replaces the log by a snapshot.
func (l *replicatedLog) reset(snapshot *wirepb.Snapshot) {
	*l = replicatedLog{snapshot: snapshot, baseIndex: snapshot.Index, baseTerm: snapshot.Term}
}

// compact replaces the log's snapshot by one whose index the log has, and drops the entries that it covers,
// but for the newest ones up to retainBytes.
func (l *replicatedLog) compact(snapshot *wirepb.Snapshot, retainBytes int) {
	l.snapshot = snapshot
	base := snapshot.Index
	for size := 0; base > l.baseIndex; base-- {
		size += len(l.entryAt(base).Data)
		if size > retainBytes {
			break
		}
	}
	term, _ := l.term(base)
	l.entries = append([]*wirepb.Entry(nil), l.entriesAfter(base)...)
	l.baseIndex, l.baseTerm = base, term
}

// membership returns the newest membership in the log, committed or not, and its index.
func (l *replicatedLog) membership() (membership, uint64) {
	return l.membershipAt(l.lastIndex())
}

// membershipAt returns the newest membership at or before index, which must not be lower than the snapshot's,
// and the index of that membership.
func (l *replicatedLog) membershipAt(index uint64) (membership, uint64) {
	for ; index > l.snapshot.Index; index-- {
		if entry := l.entryAt(index); entry.Kind == wirepb.EntryKind_ENTRY_MEMBERSHIP {
			return decodeMembership(entry.Data), index
		}
	}
	return membershipFromProto(l.snapshot.Membership), l.snapshot.Index
}
