package store

import (
	"fmt"
	"testing"

	"willowdeck/internal/txnjournal"
)

// BenchmarkRead replays 4 MB of transactions, as a start does.
func BenchmarkRead(b *testing.B) {
	m, t := NewMemoryDisk(1), txnjournal.DefaultConfig()
	l, err := Open(m, t, Writer{}, 1e12, false)
	if err != nil {
		b.Fatal(err)
	}
	for n := uint64(0); l.SegmentCount() < 2; {
		var all []txnjournal.Record
		for range 200 {
			n++
			r := txnjournal.Record{
				Kind:       txnjournal.KindIntent,
				TimeMillis: 1e12 + float64(n),
				Attempt:    txnjournal.AttemptID{Sequence: n},
				Worker:     "w1",
				Txn:        txnjournal.Txn{Customer: n % 100, RequestID: fmt.Sprintf("%016x", n), Product: "tag-issue"},
			}
			all = append(all, r)
			r.Kind, r.Outcome = txnjournal.KindOutcome, txnjournal.OutcomeCompleted
			all = append(all, r)
		}
		if err := l.Commit(all, 1e12); err != nil {
			b.Fatal(err)
		}
	}
	b.ResetTimer()
	for b.Loop() {
		if replay, err := ReadAll(m, t, 1e12, Visitor{}); err != nil || replay.Stats.Records < 10000 {
			b.Fatal(err, replay)
		}
	}
}
