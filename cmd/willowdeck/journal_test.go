package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/txnjournal"
	"willowdeck/internal/txnjournal/store"
)

// run runs the program with its arguments, and gives what it prints.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	was := os.Stdout
	os.Stdout = w
	failed := command().Run(t.Context(), append([]string{"willowdeck", "journal"}, args...))
	os.Stdout = was
	w.Close()
	b := make([]byte, 1<<16)
	n, _ := r.Read(b)
	return string(b[:n]), failed
}

// The page for on-call staff, as written: a journal is read while it is written, and damage is told.
func TestJournalCommands(t *testing.T) {
	dir := t.TempDir()
	terms := txnjournal.DefaultConfig()
	terms.CommitWaitMillis, terms.SlowCommitMillis = 10000, 10000 // a loaded machine
	k := store.Start(
		store.Dir(filepath.Join(dir, "g1")),
		terms,
		store.Writer{Instance: "g1"},
		false,
		1,
		zerolog.Nop(),
	)
	defer k.Close()
	for i, mark := range []string{"done", "open"} {
		txn, sub := txnjournal.Txn{
			Customer:  5,
			RequestID: mark,
			Product:   "issue",
		}, txnjournal.AttemptID{
			Sequence: uint64(i),
		}
		if !k.RecordIntent(txn, sub, "w1", 0, time.Now().Add(time.Minute)) {
			t.Fatal("it can't be written")
		}
		if mark == "done" {
			k.RecordOutcome(txn, sub, "w1", txnjournal.OutcomeCompleted, txnjournal.Response{})
		}
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if out, _ := run(t, "verify", "--dir", dir); strings.Contains(out, "3 records") { // an end waits for nobody
			break
		}
	}
	later := time.Now().Add(5 * time.Second).UTC().Format(time.RFC3339Nano)
	for _, c := range []struct{ args, says string }{
		{"find --dir DIR done", "done: sent and settled"},
		{"find --dir DIR open", "open: sent, outcome unknown"},
		{"find --dir DIR none", "none: sent, outcome unknown"},
		{"find --dir DIR --at " + later + " none", "none: not sent"},
		{"show --dir DIR --last 1", "open issue customer 0000000000000005 worker w1 life 1"},
		{"verify --dir DIR", "1 segments, 3 records"},
		{"export --dir DIR", `"kind":"ended"`},
	} {
		out, err := run(t, strings.Fields(strings.ReplaceAll(c.args, "DIR", dir))...)
		if err != nil || !strings.Contains(out, c.says) {
			t.Errorf("%s: %v, %q, want %q", c.args, err, out, c.says)
		}
	}
	path := filepath.Join(dir, "g1", txnjournal.SegmentName(1))
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	raw[150] ^= 1
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := run(t, "verify", "--dir", dir); err == nil || !strings.Contains(out, "in doubt") {
		t.Errorf("damaged: %v, %q", err, out)
	}
	if _, err := run(t, "verify", "--dir", t.TempDir()); err == nil {
		t.Error("no journal is a good one")
	}
}
