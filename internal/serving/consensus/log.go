package consensus

import "willowdeck/internal/serving/wirepb"

// replicatedLog holds the entries after a snapshot.
type replicatedLog struct {
	snapshot *wirepb.Snapshot // never nil
	entries  []*wirepb.Entry  // entries[0] has index snapshot.Index + 1
}

func (l *replicatedLog) firstIndex() uint64 { return l.snapshot.Index + 1 }

func (l *replicatedLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *replicatedLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false where the log does not hold it.
func (l *replicatedLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

// from returns the entries beginning at index, up to about limit bytes but at least one.
func (l *replicatedLog) from(index uint64, limit int) []*wirepb.Entry {
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

func (l *replicatedLog) append(entries ...*wirepb.Entry) { l.entries = append(l.entries, entries...) }

// truncate drops the entries at index and after it.
func (l *replicatedLog) truncate(index uint64) {
	kept := l.entries[:index-l.firstIndex()]
	l.entries = append([]*wirepb.Entry(nil), kept...)
}

// compact makes snapshot the base of the log. Entries that it covers are dropped.
func (l *replicatedLog) compact(snapshot *wirepb.Snapshot) {
	if term, ok := l.term(snapshot.Index); ok && term == snapshot.Term {
		l.entries = append([]*wirepb.Entry(nil), l.entries[snapshot.Index-l.snapshot.Index:]...)
	} else {
		l.entries = nil
	}
	l.snapshot = snapshot
}

// membership returns the newest membership that the log holds, committed or not, and its index.
func (l *replicatedLog) membership() ([]string, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == wirepb.EntryKind_ENTRY_MEMBERSHIP {
			return decodeMembership(l.entries[i].Data), l.entries[i].Index
		}
	}
	return l.snapshot.Membership.GetReplicas(), l.snapshot.Index
}
