package wal_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

// testdata/data is the data directory of a replica as the code of 2 December 2026 wrote it with Log.Rewrite,
// two calls of Log.Append and SaveIdentity from the values below. It is never rewritten: disks in use have
// this format.
const (
	goldenDir      = "testdata/data"
	goldenSegment  = "segment-0000000000000002" // the second segment of its log
	goldenIdentity = "127.0.0.1#0a1b2c3d4e5f"
	goldenSecond   = "10.0.0.2#founder"
	goldenThird    = "10.0.0.3#founder"
	goldenRemoved  = "10.0.0.1#founder"
)

// The data of the golden entries: the command "order-4", which evacuates zone z, a departure, and members.
const (
	goldenEvacuation = "\n\aorder-4\x1a\x05\n\x01z\x10\x01"
	goldenDeparture  = "\n\x14depart w-unconfirmed\"\x11\n\rw-unconfirmed\x10\t"
	goldenMembers    = "\n\x16" + goldenIdentity + "\n\x10" + goldenSecond + "\n\x10" + goldenThird
)

// copyGoldenDisk returns a writable copy of the golden disk.
func copyGoldenDisk(t *testing.T) string {
	t.Helper()
	copied := t.TempDir()
	if err := os.CopyFS(copied, os.DirFS(goldenDir)); err != nil {
		t.Fatal(err)
	}
	return copied
}

func readGolden(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// goldenSnapshotData returns the snapshot's data, whose format the tests of package statemachine guard.
func goldenSnapshotData(t *testing.T) []byte {
	t.Helper()
	return readGolden(t, "../statemachine/testdata/snapshot.bin")
}

func goldenSnapshot(t *testing.T) *wirepb.Snapshot {
	t.Helper()
	return &wirepb.Snapshot{Index: 20, Term: 4, Data: goldenSnapshotData(t), Membership: &wirepb.Membership{
		Replicas: []string{goldenIdentity, goldenSecond, goldenThird},
		Outgoing: []string{goldenRemoved, goldenSecond, goldenThird},
	}}
}

func goldenEntries() []*wirepb.Entry {
	return []*wirepb.Entry{
		{Index: 21, Term: 4, Kind: wirepb.EntryKind_ENTRY_COMMAND, Data: []byte(goldenEvacuation)},
		{Index: 22, Term: 5, Kind: wirepb.EntryKind_ENTRY_MEMBERSHIP, Data: []byte(goldenMembers)},
		{Index: 23, Term: 6, Kind: wirepb.EntryKind_ENTRY_COMMAND, Data: []byte(goldenDeparture)},
	}
}

// TestGoldenSegment opens the golden disk and compares each field.
func TestGoldenSegment(t *testing.T) {
	opened, err := wal.OpenReplica(wal.Disk, copyGoldenDisk(t), "127.0.0.1#founder", nil, "127.0.0.1#fresh")
	if err != nil || opened.Corruption != nil || opened.Identity != goldenIdentity {
		t.Fatalf("identity %q, corruption %v, error %v", opened.Identity, opened.Corruption, err)
	}
	hardState := opened.State.HardState
	if hardState.GetTerm() != 6 || hardState.GetVotedFor() != goldenSecond || hardState.GetCommitIndex() != 22 {
		t.Errorf("hard state %v", hardState)
	}
	if !proto.Equal(opened.State.Snapshot, goldenSnapshot(t)) {
		t.Errorf("snapshot %v", opened.State.Snapshot)
	}
	want := goldenEntries()
	if len(opened.State.Entries) != len(want) {
		t.Fatalf("%d entries instead of %d", len(opened.State.Entries), len(want))
	}
	for i, entry := range opened.State.Entries {
		if !proto.Equal(entry, want[i]) {
			t.Errorf("entry %v instead of %v", entry, want[i])
		}
	}
}

// TestGoldenSegmentWritten writes the golden values and compares the bytes of all files.
func TestGoldenSegmentWritten(t *testing.T) {
	dir := t.TempDir()
	log, _, _, err := wal.Open(wal.Disk, dir)
	if err != nil {
		t.Fatal(err)
	}
	entries := goldenEntries()
	rewrites := []consensus.DurableState{
		consensus.BootstrapState([]string{goldenIdentity}),
		{
			Snapshot:  goldenSnapshot(t),
			HardState: &wirepb.HardState{Term: 5, VotedFor: goldenThird, CommitIndex: 20},
			Entries:   entries[:1],
		},
	}
	for _, stored := range rewrites {
		if err := log.Rewrite(stored); err != nil {
			t.Fatal(err)
		}
	}
	replaced := &wirepb.Entry{
		Index: 23, Term: 5, Kind: wirepb.EntryKind_ENTRY_COMMAND, Data: []byte("replaced below"),
	}
	appends := [][]consensus.WriteBatch{
		{
			{Entries: []*wirepb.Entry{entries[1], replaced}},
			{HardState: &wirepb.HardState{Term: 5, VotedFor: goldenThird, CommitIndex: 21}},
		},
		{{
			HardState: &wirepb.HardState{Term: 6, VotedFor: goldenSecond, CommitIndex: 22},
			Entries:   entries[2:],
		}},
	}
	for _, batches := range appends {
		if err := log.Append(batches); err != nil {
			t.Fatal(err)
		}
	}
	if err := wal.SaveIdentity(wal.Disk, dir, goldenIdentity); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"identity", goldenSegment} {
		got := readGolden(t, filepath.Join(dir, name))
		if want := readGolden(t, filepath.Join(goldenDir, name)); !bytes.Equal(got, want) {
			t.Errorf("%s: %x instead of %x", name, got, want)
		}
	}
	names, err := wal.Disk.ReadDir(dir)
	if err != nil || len(names) != 2 {
		t.Errorf("files %v, error %v", names, err)
	}
}
