package store

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"willowdeck/internal/testkit/goldentest"
	"willowdeck/internal/txnjournal"
)

// The golden files are the two segments of a directory as writeGolden left it, but for the blank bytes
// behind their records. They were written once, before names were changed. They are what older versions have
// on disk; new code must never write them again.
var goldenSegments = []string{"0000000000000001.wdj", "0000000000000002.wdj"}

const goldenAt = 1.7e12 // Unix ms

func goldenRecord(kind txnjournal.Kind, mark string, end txnjournal.Outcome) txnjournal.Record {
	return txnjournal.Record{
		Kind:       kind,
		TimeMillis: goldenAt + 1.5,
		Txn: txnjournal.Txn{
			Customer:  0x3132333435363738,
			RequestID: mark,
			Product:   "sale",
			Digest:    0x41424344,
		},
		Attempt: txnjournal.AttemptID{
			Sequence: 0x5152535455565758,
			Ordinal:  3,
		},
		Worker:       "w3",
		ExpiryMillis: goldenAt + 2.5,
		Outcome:      end,
		Response: txnjournal.Response{
			ContentType:     "text/plain",
			ContentEncoding: "gzip",
			Body:            []byte("body"),
			Stored:          true,
		},
	}
}

// writeGolden has two incarnations write a journal in a directory.
func writeGolden(t *testing.T, dir string) {
	t.Helper()
	who := Writer{Instance: "gateway-7", BootID: 0x15161718, ClockOffsetMillis: 1234.5}
	terms := txnjournal.DefaultConfig()
	terms.Policy, terms.SegmentBytes = txnjournal.ServeUnwritten, txnjournal.MinSegmentBytes
	for _, groups := range [][][]txnjournal.Record{
		{{goldenRecord(txnjournal.KindIntent, "one", txnjournal.OutcomePending)},
			{goldenRecord(txnjournal.KindIntent, "two", txnjournal.OutcomePending),
				goldenRecord(txnjournal.KindOutcome, "one", txnjournal.OutcomeCompleted)}},
		{{goldenRecord(txnjournal.KindIntent, "three", txnjournal.OutcomePending)},
			{goldenRecord(txnjournal.KindOutcome, "three", txnjournal.OutcomeNotExecuted),
				{Kind: txnjournal.KindRetired, TimeMillis: goldenAt + 3.5}}},
	} {
		log, err := Open(Dir(dir), terms, who, goldenAt, false)
		if err != nil {
			t.Fatal(err)
		}
		for _, group := range groups {
			if err := log.Commit(group, goldenAt); err != nil {
				t.Fatal(err)
			}
		}
		log.Close()
	}
}

// The same records make the same files, by name, size and content.
func TestGoldenDirectoryWritten(t *testing.T) {
	dir := t.TempDir()
	writeGolden(t, dir)
	names, err := Dir(dir).Names()
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(names)
	if want := append(slices.Clone(goldenSegments), "lock"); !slices.Equal(names, want) {
		t.Errorf("files %q, want %q", names, want)
	}
	for _, name := range goldenSegments {
		b, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		if len(b) != txnjournal.MinSegmentBytes {
			t.Errorf("%s has %d bytes", name, len(b))
		}
		old := goldentest.Hex(t, name+".hex")
		goldentest.SameBytes(t, b[:len(old)], old)
		if rest := bytes.TrimLeft(b[len(old):], "\x00"); len(rest) > 0 {
			t.Errorf("%s holds %d bytes more", name, len(rest))
		}
	}
}

// A directory of an older version yields the verdict on each transaction.
func TestGoldenDirectoryRead(t *testing.T) {
	dir := t.TempDir()
	for _, name := range goldenSegments {
		b := append(goldentest.Hex(t, name+".hex"), make([]byte, txnjournal.MinSegmentBytes)...)
		if err := os.WriteFile(filepath.Join(dir, name), b[:txnjournal.MinSegmentBytes], 0o600); err != nil {
			t.Fatal(err)
		}
	}
	log, err := Open(Dir(dir), txnjournal.DefaultConfig(), Writer{Instance: "gateway-7"}, goldenAt+9000, false)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if f := log.Replayed; f.Segments != 2 || f.Records != 6 || f.Unsupported+f.Torn+f.Corrupt != 0 ||
		log.Incarnation() != 3 {
		t.Errorf("found %+v, incarnation %d", f, log.Incarnation())
	}
	log.View(func(index *txnjournal.Index) {
		for mark, want := range map[string]txnjournal.Verdict{"one": txnjournal.SentCompleted,
			"two":   txnjournal.SentUnknown,
			"three": txnjournal.NotSent} {
			txn, verdict := index.Lookup(0x3132333435363738, mark)
			if verdict != want {
				t.Errorf("%s is %v, want %v", mark, verdict, want)
			}
			if a := txn.Response; mark == "one" &&
				(a.ContentType != "text/plain" || a.ContentEncoding != "gzip" || !a.Stored ||
					string(a.Body) != "body" || txn.Digest != 0x41424344) {
				t.Errorf("the response of %s is %+v", mark, txn)
			}
		}
	})
}
