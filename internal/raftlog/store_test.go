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

var corruptStores = flag.Int("spoils", 150, "how many spoilt stores are opened")

// A store that is spoilt anywhere, by bytes that are others, by a page of nought or by an end that is
// missing, is either as it was or set aside: nothing of it is believed that was not written, and nothing
// breaks. Where the newer of its two first pages alone is spoilt, it is as it was before the last write: an
// old disk, as the others have heard of that write.
func TestCorruptStores(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	good := filepath.Join(dir, "good")
	s, _, _, err := openStore(good, "h0")
	requireNoError(t, err)
	next := uint64(1)
	for range 40 {
		var entries []raftpb.Entry
		for range 8 {
			e := raftpb.Entry{Term: 1, Index: next, Data: fmt.Append(nil, "entry ", next, " and some more")}
			entries = append(entries, e)
			next++
		}
		requireNoError(t, s.save(raftpb.HardState{Term: 1, Commit: next - 1}, entries, raftpb.Snapshot{}))
	}
	requireNoError(t, s.compact(100, &raftpb.ConfState{Voters: []uint64{s.identity.diskID()}}, []byte(`{}`), 20))
	seq, id := s.writeSeq, s.identity.diskID()
	s.close()
	raw, err := os.ReadFile(good)
	requireNoError(t, err)
	torn := 0
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
			copy(b[to:to+4096], raw[from:from+4096]) // a page where another belongs
		}
		path := filepath.Join(dir, fmt.Sprint("s", seed))
		requireNoError(t, os.WriteFile(path, b, 0o600))
		s, aside, why, err := openStore(path, "h0")
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		last, _ := s.memory.LastIndex()
		switch {
		case aside != "":
			torn++
			if why == nil || s.identity.diskID() == id || last != 0 {
				t.Errorf("seed %d: set aside, and id %x, log to %d, %v", seed, s.identity.diskID(), last, why)
			}
		case s.identity.diskID() != id || s.writeSeq != seq && s.writeSeq != seq-1 || last != next-1:
			t.Errorf("seed %d: taken for whole: id %x, write %d of %d, log to %d of %d", seed, s.identity.diskID(),
				s.writeSeq, seq,
				last, next-1)
		default:
			first, _ := s.memory.FirstIndex()
			all, err := s.memory.Entries(first, last+1, 1<<30)
			requireNoError(t, err)
			for _, e := range all {
				if want := fmt.Sprint("entry ", e.Index, " and some more"); string(e.Data) != want {
					t.Errorf("seed %d: taken for whole, and entry %d says %q", seed, e.Index, e.Data)
				}
			}
		}
		s.close()
		_ = os.Remove(path)
	}
	if torn < *corruptStores/4 {
		t.Errorf("%d of %d were found to be spoilt", torn, *corruptStores)
	}
	t.Logf("%d of %d set aside, the others whole", torn, *corruptStores)
}
