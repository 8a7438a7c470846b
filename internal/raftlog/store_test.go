package raftlog

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

var corruptStores = flag.Int("spoils", 150, "how many corrupted stores are opened")

// A store that is corrupted anywhere, by changed bytes, a page of zeros, a misplaced page or a missing end,
// is either loaded as it was or moved aside: nothing is loaded that was not written, and nothing panics.
// Where the newer of its two meta pages alone is corrupt, it is loaded as before the last write: a stale
// disk, as the peers have seen that write.
func TestCorruptStores(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	good := filepath.Join(dir, "good")
	opened, err := openStore(good, "h0")
	requireNoError(t, err)
	s := opened.store
	next := uint64(1)
	for range 40 {
		var entries []raftpb.Entry
		for range 8 {
			e := raftpb.Entry{Term: 1, Index: next, Data: fmt.Append(nil, "entry ", next, " and some more")}
			entries = append(entries, e)
			next++
		}
		requireNoError(t, s.save(&storeUpdate{hardState: raftpb.HardState{Term: 1, Commit: next - 1},
			entries: entries}))
	}
	confState := &raftpb.ConfState{Voters: []uint64{s.diskID()}}
	snapshot, err := s.memory.CreateSnapshot(100, confState, []byte(`{}`))
	requireNoError(t, err)
	requireNoError(t, s.compact(snapshot, 20))
	seq, id := s.writeSeq.Load(), s.diskID()
	s.close()
	raw, err := os.ReadFile(good)
	requireNoError(t, err)
	corrupt := 0
	for seed := range *corruptStores {
		rng := rand.New(rand.NewSource(int64(seed)))
		b := append([]byte(nil), raw...)
		switch seed % 4 {
		case 0:
			for range 1 + rng.Intn(400) {
				b[rng.Intn(len(b))] ^= byte(1 + rng.Intn(255))
			}
		case 1:
			b = b[:rng.Intn(len(b))]
		case 2:
			from := rng.Intn(len(b)/4096) * 4096
			clear(b[from : from+4096])
		case 3:
			from, to := rng.Intn(len(b)/4096)*4096, rng.Intn(len(b)/4096)*4096
			copy(b[to:to+4096], raw[from:from+4096]) // a page in another's place
		}
		path := filepath.Join(dir, fmt.Sprint("s", seed))
		requireNoError(t, os.WriteFile(path, b, 0o600))
		opened, err := openStore(path, "h0")
		s, aside, why := opened.store, opened.movedTo, opened.corruption
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		last, _ := s.memory.LastIndex()
		switch {
		case aside != "":
			corrupt++
			if why == nil || s.identity.diskID() == id || last != 0 {
				t.Errorf("seed %d: moved aside, and ID %x, log to %d, %v", seed, s.identity.diskID(), last, why)
			}
		case s.identity.diskID() != id || s.writeSeq.Load() != seq && s.writeSeq.Load() != seq-1 || last != next-1:
			t.Errorf("seed %d: taken for intact: ID %x, write %d of %d, log to %d of %d", seed, s.identity.diskID(),
				s.writeSeq.Load(), seq,
				last, next-1)
		default:
			first, _ := s.memory.FirstIndex()
			all, err := s.memory.Entries(first, last+1, 1<<30)
			requireNoError(t, err)
			for _, e := range all {
				if want := fmt.Sprint("entry ", e.Index, " and some more"); string(e.Data) != want {
					t.Errorf("seed %d: taken for intact, and entry %d is %q", seed, e.Index, e.Data)
				}
			}
		}
		s.close()
		_ = os.Remove(path)
	}
	if corrupt < *corruptStores/4 {
		t.Errorf("%d of %d were found to be corrupt", corrupt, *corruptStores)
	}
	t.Logf("%d of %d moved aside, the others intact", corrupt, *corruptStores)
}
