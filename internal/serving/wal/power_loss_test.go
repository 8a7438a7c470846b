package wal_test

import (
	"math/rand"
	"testing"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wal/waltest"
	"willowdeck/internal/serving/wirepb"
)

const (
	dataDir         = "data"
	powerLossSeeds  = 4000
	initialIdentity = "10.0.0.1#founder"
)

func openReplica(
	t *testing.T, fsys *waltest.FileSystem, bootstrap bool, newIdentity string,
) wal.OpenedReplica {
	t.Helper()
	var initialMembers wal.InitialMembers
	if bootstrap {
		initialMembers = wal.InitialMembers{initialIdentity, "10.0.0.2#founder"}
	}
	opened, err := wal.OpenReplica(fsys, dataDir, initialIdentity, initialMembers, newIdentity)
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

// TestAcknowledgedWritesSurvivePowerLoss makes random writes until the power is lost during an operation.
// All acknowledged writes are read back, and at most the one that was in progress besides.
func TestAcknowledgedWritesSurvivePowerLoss(t *testing.T) {
	for seed := range int64(powerLossSeeds) {
		random := rand.New(rand.NewSource(seed))
		fsys := waltest.New(random)
		opened := openReplica(t, fsys, true, "10.0.0.1#fresh")
		var acknowledged, attempted consensus.DurableState
		acknowledged = opened.State
		for restart := 0; restart < 3; restart++ {
			fsys.CutPowerAfter(random.Intn(30))
			acknowledged, attempted = writeUntilPowerLoss(random, fsys, opened.Store, acknowledged)
			fsys.LosePower()
			opened = openReplica(t, fsys, random.Intn(2) == 0, "10.0.0.1#fresh")
			if opened.Identity != initialIdentity || opened.Corruption != nil {
				t.Fatalf("seed %d: identity %s, corruption %v", seed, opened.Identity, opened.Corruption)
			}
			if !sameState(opened.State, acknowledged) && !sameState(opened.State, attempted) {
				t.Fatalf("seed %d: read back %v, acknowledged %v, attempted %v",
					seed, opened.State, acknowledged, attempted)
			}
			acknowledged = opened.State
		}
	}
}

// writeUntilPowerLoss returns the acknowledged state, and the state with the write that failed.
func writeUntilPowerLoss(
	random *rand.Rand, fsys *waltest.FileSystem, store *wal.Store, state consensus.DurableState,
) (acknowledged, attempted consensus.DurableState) {
	acknowledged = state
	for {
		fsys.FailSyncs = max(0, random.Intn(8)-6)
		attempted = acknowledged
		batch := randomBatch(random, acknowledged)
		if err := attempted.Apply(batch); err != nil {
			panic(err)
		}
		var err error
		if random.Intn(5) == 0 {
			err = store.Rewrite(attempted)
		} else {
			err = store.Write([]consensus.WriteBatch{batch})
		}
		for err != nil {
			previous := err
			if err = store.Repair(); err != nil && err.Error() == previous.Error() {
				return acknowledged, attempted
			}
		}
		acknowledged = attempted
	}
}

// randomBatch returns a batch with the next term and entries that follow or replace the last one.
func randomBatch(random *rand.Rand, state consensus.DurableState) consensus.WriteBatch {
	last := state.Snapshot.GetIndex() + uint64(len(state.Entries))
	first := last + 1 - min(uint64(random.Intn(2)), uint64(len(state.Entries)))
	batch := consensus.WriteBatch{HardState: &wirepb.HardState{Term: state.HardState.GetTerm() + 1}}
	for i := range uint64(random.Intn(3)) {
		data := make([]byte, random.Intn(50))
		random.Read(data)
		entry := &wirepb.Entry{Index: first + i, Term: batch.HardState.Term, Data: data}
		batch.Entries = append(batch.Entries, entry)
	}
	return batch
}

func sameState(x, y consensus.DurableState) bool {
	if x.HardState.GetTerm() != y.HardState.GetTerm() || len(x.Entries) != len(y.Entries) {
		return false
	}
	for i := range x.Entries {
		if !proto.Equal(x.Entries[i], y.Entries[i]) {
			return false
		}
	}
	return x.Snapshot.GetIndex() == y.Snapshot.GetIndex()
}

// TestIdentityIsDiscardedWithLostData cuts the power at each operation of a first start, and of a start on a
// corrupted disk. An initial member's identity comes with at least the initial state, and a corrupted disk
// never gets its identity back.
func TestIdentityIsDiscardedWithLostData(t *testing.T) {
	for operations := range 40 {
		for seed := range int64(30) {
			random := rand.New(rand.NewSource(seed))
			fsys := waltest.New(random)
			fsys.CutPowerAfter(operations)
			wal.OpenReplica(fsys, dataDir, initialIdentity, wal.InitialMembers{initialIdentity}, "10.0.0.1#fresh")
			fsys.LosePower()
			opened := openReplica(t, fsys, true, "10.0.0.1#fresh")
			if opened.Identity != initialIdentity || len(opened.State.Snapshot.GetMembership().GetReplicas()) == 0 {
				t.Fatalf("power loss after %d operations, seed %d: identity %s with state %v",
					operations, seed, opened.Identity, opened.State)
			}
			corrupt(t, fsys, opened)
			fsys.CutPowerAfter(operations)
			wal.OpenReplica(fsys, dataDir, initialIdentity, wal.InitialMembers{initialIdentity}, "10.0.0.1#first")
			fsys.LosePower()
			if opened = openReplica(t, fsys, true, "10.0.0.1#second"); opened.Identity == initialIdentity {
				t.Fatalf("power loss after %d operations, seed %d: a corrupted disk votes as the initial member",
					operations, seed)
			}
		}
	}
}

// corrupt flips a bit of a frame that another one follows.
func corrupt(t *testing.T, fsys *waltest.FileSystem, opened wal.OpenedReplica) {
	t.Helper()
	for term := uint64(1); term <= 3; term++ {
		batch := consensus.WriteBatch{HardState: &wirepb.HardState{Term: term, VotedFor: "someone"}}
		if err := opened.Store.Write([]consensus.WriteBatch{batch}); err != nil {
			t.Fatal(err)
		}
	}
	names, err := fsys.ReadDir(dataDir)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if name == "identity" {
			continue
		}
		path := dataDir + "/" + name
		data, err := fsys.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		data[len(data)/2] ^= 0x40
		if err := wal.WriteFile(fsys, dataDir, name, data); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFailedWriteLeavesNoTemporaryFile fails a write at each of its operations: the old content stays, and no
// temporary file takes space.
func TestFailedWriteLeavesNoTemporaryFile(t *testing.T) {
	const name = "workers"
	failures := map[string]func(*waltest.FileSystem){
		"full disk": func(fsys *waltest.FileSystem) { fsys.Full = true },
		"sync":      func(fsys *waltest.FileSystem) { fsys.FailSyncs = 1 },
	}
	for failure, inject := range failures {
		fsys := waltest.New(rand.New(rand.NewSource(1)))
		if err := wal.WriteFile(fsys, dataDir, name, []byte("old")); err != nil {
			t.Fatal(err)
		}
		inject(fsys)
		if err := wal.WriteFile(fsys, dataDir, name, []byte("new")); err == nil {
			t.Errorf("%s: no error", failure)
		}
		content, err := fsys.ReadFile(dataDir + "/" + name)
		if err != nil || string(content) != "old" {
			t.Errorf("%s: content %q, error %v", failure, content, err)
		}
		if names, err := fsys.ReadDir(dataDir); err != nil || len(names) != 1 {
			t.Errorf("%s: files %v, error %v", failure, names, err)
		}
	}
}
