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
	folder      = "data"
	powerSeeds  = 4000
	founderHere = "10.0.0.1#founder"
)

func openReplica(t *testing.T, files *waltest.Files, bootstrap bool, fresh string) wal.Opened {
	t.Helper()
	var founders wal.Founders
	if bootstrap {
		founders = wal.Founders{founderHere, "10.0.0.2#founder"}
	}
	opened, err := wal.OpenReplica(files, folder, founderHere, founders, fresh)
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

// TestWhatIsAcknowledgedOutlastsPower writes in a drawn way until the power goes in the middle of an
// operation. What had been acknowledged is read back, and at most what was being written beside it.
func TestWhatIsAcknowledgedOutlastsPower(t *testing.T) {
	for seed := range int64(powerSeeds) {
		random := rand.New(rand.NewSource(seed))
		files := waltest.New(random)
		opened := openReplica(t, files, true, "10.0.0.1#fresh")
		var acknowledged, trying consensus.DurableState
		acknowledged = opened.Stored
		for life := 0; life < 3; life++ {
			files.CutPowerAfter(random.Intn(30))
			acknowledged, trying = writeUntilPowerGoes(random, files, opened.Store, acknowledged)
			files.LosePower()
			opened = openReplica(t, files, random.Intn(2) == 0, "10.0.0.1#fresh")
			if opened.Identity != founderHere || opened.Damage != nil {
				t.Fatalf("seed %d: identity %s, damage %v", seed, opened.Identity, opened.Damage)
			}
			if !same(opened.Stored, acknowledged) && !same(opened.Stored, trying) {
				t.Fatalf("seed %d: read back %v, acknowledged %v, tried %v", seed, opened.Stored, acknowledged, trying)
			}
			acknowledged = opened.Stored
		}
	}
}

// writeUntilPowerGoes returns what the disk has acknowledged, and that with the write that failed.
func writeUntilPowerGoes(
	random *rand.Rand, files *waltest.Files, store *wal.Store, held consensus.DurableState,
) (acknowledged, trying consensus.DurableState) {
	acknowledged = held
	for {
		files.FailSyncs = max(0, random.Intn(8)-6)
		trying = acknowledged
		batch := drawBatch(random, acknowledged)
		if err := trying.Apply(batch); err != nil {
			panic(err)
		}
		var err error
		if random.Intn(5) == 0 {
			err = store.Rewrite(trying)
		} else {
			err = store.Write([]consensus.WriteBatch{batch})
		}
		for err != nil {
			before := err
			if err = store.Repair(); err != nil && err.Error() == before.Error() {
				return acknowledged, trying
			}
		}
		acknowledged = trying
	}
}

// drawBatch draws votes, and entries that follow or replace the last ones.
func drawBatch(random *rand.Rand, held consensus.DurableState) consensus.WriteBatch {
	last := held.Snapshot.GetIndex() + uint64(len(held.Entries))
	first := last + 1 - min(uint64(random.Intn(2)), uint64(len(held.Entries)))
	batch := consensus.WriteBatch{HardState: &wirepb.HardState{Term: held.HardState.GetTerm() + 1}}
	for i := range uint64(random.Intn(3)) {
		data := make([]byte, random.Intn(50))
		random.Read(data)
		entry := &wirepb.Entry{Index: first + i, Term: batch.HardState.Term, Data: data}
		batch.Entries = append(batch.Entries, entry)
	}
	return batch
}

func same(x, y consensus.DurableState) bool {
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

// TestIdentityNeverStandsOverLess cuts the power at each operation of a first start, and of a start on a
// damaged disk. A founder's identity comes with the founding state or more, a damaged disk never gets its
// identity back.
func TestIdentityNeverStandsOverLess(t *testing.T) {
	for cut := range 40 {
		for seed := range int64(30) {
			random := rand.New(rand.NewSource(seed))
			files := waltest.New(random)
			files.CutPowerAfter(cut)
			wal.OpenReplica(files, folder, founderHere, wal.Founders{founderHere}, "10.0.0.1#fresh")
			files.LosePower()
			opened := openReplica(t, files, true, "10.0.0.1#fresh")
			if opened.Identity != founderHere || len(opened.Stored.Snapshot.GetMembership().GetReplicas()) == 0 {
				t.Fatalf("cut %d, seed %d: %s over %v", cut, seed, opened.Identity, opened.Stored)
			}
			damage(t, files, opened)
			files.CutPowerAfter(cut)
			wal.OpenReplica(files, folder, founderHere, wal.Founders{founderHere}, "10.0.0.1#first")
			files.LosePower()
			if opened = openReplica(t, files, true, "10.0.0.1#second"); opened.Identity == founderHere {
				t.Fatalf("cut %d, seed %d: a damaged disk votes as the founder", cut, seed)
			}
		}
	}
}

// damage spoils a frame that another one follows.
func damage(t *testing.T, files *waltest.Files, opened wal.Opened) {
	t.Helper()
	for term := uint64(1); term <= 3; term++ {
		batch := consensus.WriteBatch{HardState: &wirepb.HardState{Term: term, VotedFor: "someone"}}
		if err := opened.Store.Write([]consensus.WriteBatch{batch}); err != nil {
			t.Fatal(err)
		}
	}
	names, err := files.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if name == "identity" {
			continue
		}
		path := folder + "/" + name
		data, err := files.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		data[len(data)/2] ^= 0x40
		if err := wal.WriteFile(files, folder, name, data); err != nil {
			t.Fatal(err)
		}
	}
}
