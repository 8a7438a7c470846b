package wal

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

func entry(index, term uint64, data string) *wirepb.Entry {
	return &wirepb.Entry{Index: index, Term: term, Data: []byte(data)}
}

// writeTestLog writes a log with an initial snapshot and two frames, and returns its directory and segment.
func writeTestLog(t *testing.T) (dir, segment string) {
	t.Helper()
	dir = t.TempDir()
	log, _, exists, err := Open(Disk, dir)
	if err != nil || exists {
		t.Fatal(exists, err)
	}
	if err := log.Rewrite(consensus.BootstrapState([]string{"a", "b"})); err != nil {
		t.Fatal(err)
	}
	steps := [][]consensus.WriteBatch{
		{{HardState: &wirepb.HardState{Term: 1, VotedFor: "a"}}, {Entries: []*wirepb.Entry{
			entry(1, 1, "x"), entry(2, 1, "y"), entry(3, 1, "z"),
		}}},
		{{HardState: &wirepb.HardState{Term: 2}, Entries: []*wirepb.Entry{entry(2, 2, "other")}}},
	}
	for _, batches := range steps {
		if err := log.Append(batches); err != nil {
			t.Fatal(err)
		}
	}
	return dir, SegmentPath(dir, segmentPrefix, log.number)
}

func TestReplaysWrittenEntries(t *testing.T) {
	dir, _ := writeTestLog(t)
	_, state, exists, err := Open(Disk, dir)
	if err != nil || !exists {
		t.Fatal(exists, err)
	}
	if state.HardState.Term != 2 || len(state.Entries) != 2 {
		t.Fatalf("state %+v", state)
	}
	if !proto.Equal(state.Entries[1], entry(2, 2, "other")) {
		t.Errorf("entry %v: the entry that it replaces was kept", state.Entries[1])
	}
	if len(state.Snapshot.Membership.Replicas) != 2 {
		t.Errorf("snapshot %v", state.Snapshot)
	}
}

// TestTornWriteIsDiscarded truncates the last frame at each byte: exactly the frames before it are replayed.
func TestTornWriteIsDiscarded(t *testing.T) {
	dir, segment := writeTestLog(t)
	content, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := NextFrame(content)
	_, last, _ := NextFrame(rest)
	for length := len(content) - len(last) + 1; length < len(content); length++ {
		if err := os.WriteFile(segment, content[:length], 0o644); err != nil {
			t.Fatal(err)
		}
		_, state, exists, err := Open(Disk, dir)
		if err != nil || !exists || len(state.Entries) != 3 || state.HardState.Term != 1 {
			t.Fatalf("truncated to %d bytes: %+v %v %v", length, state, exists, err)
		}
	}
}

// TestCorruptionIsNoTornWrite flips a bit in each byte of a frame that another one follows: acknowledged data
// is lost.
func TestCorruptionIsNoTornWrite(t *testing.T) {
	dir, segment := writeTestLog(t)
	content, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := NextFrame(content)
	_, last, _ := NextFrame(rest)
	for offset := len(content) - len(rest); offset < len(content)-len(last); offset++ {
		corrupted := append([]byte(nil), content...)
		corrupted[offset] ^= 0x40
		if err := os.WriteFile(segment, corrupted, 0o644); err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := Open(Disk, dir); !errors.Is(err, ErrCorrupted) {
			t.Fatalf("corruption at offset %d: error %v", offset, err)
		}
	}
}

func TestIncompleteSegmentIsIgnored(t *testing.T) {
	dir, segment := writeTestLog(t)
	content, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(SegmentPath(dir, segmentPrefix, 99), content[:5], 0o644); err != nil {
		t.Fatal(err)
	}
	if _, state, exists, err := Open(Disk, dir); err != nil || !exists || len(state.Entries) != 2 {
		t.Fatalf("%+v %v %v", state, exists, err)
	}
}

func TestFailedSegmentIsNotReused(t *testing.T) {
	dir, _ := writeTestLog(t)
	log, state, _, err := Open(Disk, dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Rewrite(state); err != nil {
		t.Fatal(err)
	}
	log.file.Close() // the next write fails
	batch := []consensus.WriteBatch{{Entries: []*wirepb.Entry{entry(3, 2, "late")}}}
	if log.Append(batch) == nil || log.Healthy() || log.Append(batch) == nil {
		t.Fatal("a segment was written again after a failed write")
	}
	state.Entries = append(state.Entries, batch[0].Entries...)
	if err := log.Rewrite(state); err != nil || !log.Healthy() {
		t.Fatal(err)
	}
	if _, reopened, _, err := Open(Disk, dir); err != nil || len(reopened.Entries) != 3 {
		t.Fatalf("%+v %v", reopened, err)
	}
}

func TestIdentityRoundTrip(t *testing.T) {
	dir := t.TempDir()
	if identity, err := LoadIdentity(Disk, dir); identity != "" || err != nil {
		t.Fatal(identity, err)
	}
	if err := SaveIdentity(Disk, dir, "10.0.0.1#x"); err != nil {
		t.Fatal(err)
	}
	if identity, err := LoadIdentity(Disk, dir); identity != "10.0.0.1#x" || err != nil {
		t.Fatal(identity, err)
	}
	if err := os.WriteFile(filepath.Join(dir, identityFile), []byte("10.0"), 0o644); err != nil {
		t.Fatal(err)
	}
	if identity, _ := LoadIdentity(Disk, dir); identity != "" {
		t.Errorf("a torn write of the identity was read as %q", identity)
	}
}
