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

// written makes a log with a founding snapshot and two frames, and returns its folder and segment.
func written(t *testing.T) (folder, segment string) {
	t.Helper()
	folder = t.TempDir()
	log, _, exists, err := Open(Disk, folder)
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
	return folder, segmentPath(folder, log.number)
}

func TestReadsBackWhatWasWritten(t *testing.T) {
	folder, _ := written(t)
	_, stored, exists, err := Open(Disk, folder)
	if err != nil || !exists {
		t.Fatal(exists, err)
	}
	if stored.HardState.Term != 2 || len(stored.Entries) != 2 {
		t.Fatalf("stored %+v", stored)
	}
	if !proto.Equal(stored.Entries[1], entry(2, 2, "other")) {
		t.Errorf("entry %v: what it replaces was kept", stored.Entries[1])
	}
	if len(stored.Snapshot.Membership.Replicas) != 2 {
		t.Errorf("snapshot %v", stored.Snapshot)
	}
}

// TestTornTailIsCut tears the last frame at each byte: the frames before it count, and nothing else.
func TestTornTailIsCut(t *testing.T) {
	folder, segment := written(t)
	whole, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := nextFrame(whole)
	_, last, _ := nextFrame(rest)
	for cut := len(whole) - len(last) + 1; cut < len(whole); cut++ {
		if err := os.WriteFile(segment, whole[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		_, stored, exists, err := Open(Disk, folder)
		if err != nil || !exists || len(stored.Entries) != 3 || stored.HardState.Term != 1 {
			t.Fatalf("cut at %d: %+v %v %v", cut, stored, exists, err)
		}
	}
}

// TestDamageIsNoTornTail spoils each byte of a frame that another one follows: the disk has lost something.
func TestDamageIsNoTornTail(t *testing.T) {
	folder, segment := written(t)
	whole, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := nextFrame(whole)
	_, last, _ := nextFrame(rest)
	for at := len(whole) - len(rest); at < len(whole)-len(last); at++ {
		spoilt := append([]byte(nil), whole...)
		spoilt[at] ^= 0x40
		if err := os.WriteFile(segment, spoilt, 0o644); err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := Open(Disk, folder); !errors.Is(err, ErrDamaged) {
			t.Fatalf("damage at %d: error %v", at, err)
		}
	}
}

func TestUnfinishedSegmentLeavesTheOneBefore(t *testing.T) {
	folder, segment := written(t)
	whole, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(segmentPath(folder, 99), whole[:5], 0o644); err != nil {
		t.Fatal(err)
	}
	if _, stored, exists, err := Open(Disk, folder); err != nil || !exists || len(stored.Entries) != 2 {
		t.Fatalf("%+v %v %v", stored, exists, err)
	}
}

func TestFailedSegmentIsNotWrittenAgain(t *testing.T) {
	folder, _ := written(t)
	log, stored, _, err := Open(Disk, folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Rewrite(stored); err != nil {
		t.Fatal(err)
	}
	log.file.Close() // the next write fails
	batch := []consensus.WriteBatch{{Entries: []*wirepb.Entry{entry(3, 2, "late")}}}
	if log.Append(batch) == nil || log.Healthy() || log.Append(batch) == nil {
		t.Fatal("a segment that had failed was written")
	}
	stored.Entries = append(stored.Entries, batch[0].Entries...)
	if err := log.Rewrite(stored); err != nil || !log.Healthy() {
		t.Fatal(err)
	}
	if _, again, _, err := Open(Disk, folder); err != nil || len(again.Entries) != 3 {
		t.Fatalf("%+v %v", again, err)
	}
}

func TestIdentity(t *testing.T) {
	folder := t.TempDir()
	if identity, err := LoadIdentity(Disk, folder); identity != "" || err != nil {
		t.Fatal(identity, err)
	}
	if err := SaveIdentity(Disk, folder, "10.0.0.1#x"); err != nil {
		t.Fatal(err)
	}
	if identity, err := LoadIdentity(Disk, folder); identity != "10.0.0.1#x" || err != nil {
		t.Fatal(identity, err)
	}
	if err := os.WriteFile(filepath.Join(folder, identityFile), []byte("10.0"), 0o644); err != nil {
		t.Fatal(err)
	}
	if identity, _ := LoadIdentity(Disk, folder); identity != "" {
		t.Errorf("a torn identity was read as %q", identity)
	}
}
