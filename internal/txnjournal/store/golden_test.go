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

// The golden files are the two segments of a directory as goldenWrite left it, but for the blank bytes
// behind their records. They were written once, before names were changed. They are what older versions have
// on disk; new code must never write them again.
var goldenSegments = []string{"0000000000000001.wdj", "0000000000000002.wdj"}

const goldenAt = 1.7e12 // Unix ms

func goldenRecord(kind txnjournal.Kind, mark string, end txnjournal.End) txnjournal.Record {
	return txnjournal.Record{Kind: kind, At: goldenAt + 1.5,
		Txn: txnjournal.Txn{Customer: 0x3132333435363738, Mark: mark, Product: "sale", Digest: 0x41424344},
		Sub: txnjournal.Sub{Number: 0x5152535455565758, N: 3}, Worker: "w3", Expiry: goldenAt + 2.5, End: end,
		Answer: txnjournal.Answer{Type: "text/plain", Coding: "gzip", Body: []byte("body"), Whole: true}}
}

// goldenWrite has two lives write a journal in a directory.
func goldenWrite(t *testing.T, dir string) {
	t.Helper()
	who := Who{Name: "gateway-7", Boot: 0x15161718, Offset: 1234.5}
	terms := txnjournal.DefaultTerms()
	terms.Policy, terms.Segment = txnjournal.Serve, txnjournal.LeastSegment
	for _, groups := range [][][]txnjournal.Record{
		{{goldenRecord(txnjournal.Meant, "one", txnjournal.Open)}, {goldenRecord(txnjournal.Meant, "two",
			txnjournal.Open),
			goldenRecord(txnjournal.Ended, "one", txnjournal.Settled)}},
		{{goldenRecord(txnjournal.Meant, "three", txnjournal.Open)},
			{goldenRecord(txnjournal.Ended, "three", txnjournal.Never), {Kind: txnjournal.Gone, At: goldenAt + 3.5}}},
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
	goldenWrite(t, dir)
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
		if len(b) != txnjournal.LeastSegment {
			t.Errorf("%s has %d bytes", name, len(b))
		}
		old := goldentest.Hex(t, name+".hex")
		goldentest.SameBytes(t, b[:len(old)], old)
		if rest := bytes.TrimLeft(b[len(old):], "\x00"); len(rest) > 0 {
			t.Errorf("%s holds %d bytes more", name, len(rest))
		}
	}
}

// A directory of an older version tells what became of each txn.
func TestGoldenDirectoryRead(t *testing.T) {
	dir := t.TempDir()
	for _, name := range goldenSegments {
		b := append(goldentest.Hex(t, name+".hex"), make([]byte, txnjournal.LeastSegment)...)
		if err := os.WriteFile(filepath.Join(dir, name), b[:txnjournal.LeastSegment], 0o600); err != nil {
			t.Fatal(err)
		}
	}
	log, err := Open(Dir(dir), txnjournal.DefaultTerms(), Who{Name: "gateway-7"}, goldenAt+9000, false)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if f := log.Found; f.Segments != 2 || f.Records != 6 || f.Unreadable+f.Torn+f.Damaged != 0 ||
		log.Life() != 3 {
		t.Errorf("found %+v, life %d", f, log.Life())
	}
	log.Ask(func(book *txnjournal.Book) {
		for mark, want := range map[string]txnjournal.Verdict{"one": txnjournal.SentSettled,
			"two":   txnjournal.SentUnknown,
			"three": txnjournal.NotSent} {
			txn, verdict := book.Known(0x3132333435363738, mark)
			if verdict != want {
				t.Errorf("%s is %v, want %v", mark, verdict, want)
			}
			if a := txn.Answer; mark == "one" && (a.Type != "text/plain" || a.Coding != "gzip" || !a.Whole ||
				string(a.Body) != "body" || txn.Txn.Digest != 0x41424344) {
				t.Errorf("the answer of %s is %+v", mark, txn)
			}
		}
	})
}
