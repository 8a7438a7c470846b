package tally

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"willowdeck/internal/serving/tallylog"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

// The long form: go test ./internal/serving/tally -run TestMemory -v -args -adds 1000000
var memoryAdds = flag.Int("adds", 100_000, "number of adds of the tests of memory")

const (
	bytesPerMB        = 1 << 20
	maxHeap           = 224 << 20 // bytes: the collector's limit in a core process of 280 MB
	maxHeapError      = 1.25
	benchmarkAdds     = 2000 // a second
	benchmarkPeers    = 4
	benchmarkGroup    = 20 // adds between two calls of Flush
	benchmarkIDLength = 16
)

// discard is an environment that makes records durable at once and drops messages.
type discard struct{ messages, records int }

// Send drops a message.
func (d *discard) Send(string, *wirepb.TallyMessage) { d.messages++ }

// Append reports records as durable.
func (d *discard) Append(records []*wirepb.TallyRecords, done func()) {
	for _, part := range records {
		d.records += len(part.Adds)
	}
	done()
}

// heapMB returns the size of the heap that is in use.
func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / bytesPerMB
}

// fill records adds as they come from peers, in batches.
func (m memoryCase) fill(set *Set) {
	const batch = 1000
	for first := 0; first < *memoryAdds; first += batch {
		records := &wirepb.TallyRecords{Origin: modelOrigin(0), First: uint64(first + 1)}
		for i := first; i < first+batch; i++ {
			id := fmt.Sprintf("%0*x", m.idLength, i)
			records.Adds = append(records.Adds, &wirepb.TallyAdd{Tally: m.tally(i), Id: id, Amount: 1})
		}
		set.Merge(records)
	}
}

// memoryCase is a kind of adds.
type memoryCase struct {
	name     string
	tally    func(i int) string
	idLength int
}

var memoryCases = []memoryCase{
	{"one name", func(int) string { return "t" }, benchmarkIDLength},
	{"a name for each add", func(i int) string { return fmt.Sprintf("tally-%d", i) }, benchmarkIDLength},
	{"long ids", func(int) string { return "t" }, 128},
	{"long names", func(i int) string { return fmt.Sprintf("%0256d", i) }, benchmarkIDLength},
}

// TestMemory checks that the estimate of the memory of a set, to which adds are limited, is close to the heap
// that it takes, whatever the lengths of its texts.
func TestMemory(t *testing.T) {
	for _, test := range memoryCases {
		t.Run(test.name, func(t *testing.T) {
			before := heapMB()
			set := NewSet()
			test.fill(set)
			used := heapMB() - before
			estimated := float64(set.HeapBytes()) / bytesPerMB
			t.Logf("%d records: %.0f MB of heap, %.0f MB estimated", set.Records(), used, estimated)
			if used > maxHeapError*estimated {
				t.Errorf("%.0f MB of heap, more than %.2f times the estimate of %.0f MB", used, maxHeapError, estimated)
			}
			runtime.KeepAlive(set)
		})
	}
}

// benchmarkWorld is one replica with peers that confirm all that they are sent.
type benchmarkWorld struct {
	replica *Replica
	now     time.Duration
}

func newBenchmarkWorld() *benchmarkWorld {
	w := &benchmarkWorld{}
	w.replica = NewReplica(Options{
		Incarnation: "own", Address: "own", Zone: "zone-0", RequiredCopies: 3, RequiredZones: 2,
		Clock: func() time.Duration { return w.now },
	}, &discard{})
	var peers []string
	for i := range benchmarkPeers {
		peers = append(peers, modelOrigin(i))
	}
	w.replica.SetPeers(peers)
	return w
}

// confirm has all peers confirm what the replica has recorded.
func (w *benchmarkWorld) confirm(kind wirepb.TallyMessageKind) {
	for i := range benchmarkPeers {
		own := w.replica.set.Sequence("own")
		w.replica.HandleMessage(&wirepb.TallyMessage{
			Kind: kind, Address: modelOrigin(i), Zone: fmt.Sprintf("zone-%d", i+1), Incarnation: modelOrigin(i),
			Durable: &wirepb.VersionVector{Sequences: map[string]uint64{"own": own}},
		})
	}
}

// BenchmarkAdds measures a second with 2,000 adds at one replica: each is pushed to four peers, confirmed by
// them and acknowledged; reads, ticks and states are included.
func BenchmarkAdds(b *testing.B) {
	w := newBenchmarkWorld()
	for range int(startGrace / maxActiveTimeGap) {
		w.now += maxActiveTimeGap
		w.replica.Tick()
		w.confirm(wirepb.TallyMessageKind_TALLY_STATE)
	}
	acknowledged, number := 0, 0
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		for range benchmarkAdds / benchmarkGroup {
			for range benchmarkGroup {
				number++
				id := fmt.Sprintf("%0*x", benchmarkIDLength, number)
				w.replica.Add(Add{Tally: "t", ID: id, Amount: 1}, func(outcome Outcome) {
					if outcome == Acknowledged {
						acknowledged++
					}
				})
				w.replica.Read("t")
			}
			w.replica.Flush()
			w.now += time.Second / (benchmarkAdds / benchmarkGroup)
			w.confirm(wirepb.TallyMessageKind_TALLY_CONFIRM)
			w.replica.Tick()
		}
	}
	b.StopTimer()
	if acknowledged < number && w.replica.set.HeapBytes() < maxSetBytes {
		b.Fatalf("%d of %d adds were acknowledged", acknowledged, number)
	}
	b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/second-of-adds")
}

// TestMemoryOfRestart checks that a core which holds as many adds as it accepts can start again: the heap at
// its peak, while the adds are read back from the disk, is within the limit of the process.
func TestMemoryOfRestart(t *testing.T) {
	dir := t.TempDir()
	writeLog(t, dir)
	before := heapMB()
	opened, err := tallylog.Open(wal.Disk, dir)
	if err != nil {
		t.Fatal(err)
	}
	afterOpen := heapMB() - before
	replica := NewReplica(Options{Clock: func() time.Duration { return 0 }}, &discard{})
	for records := range opened.Log.Earlier() {
		replica.Restore(records)
	}
	restored := heapMB() - before
	t.Logf("%d records, log of %.0f MB: %.0f MB of heap after Open, %.0f MB once restored", *memoryAdds,
		logMB(t, dir), afterOpen, restored)
	runtime.KeepAlive(opened)
	accepted := float64(maxSetBytes) / float64(replica.set.HeapBytes())
	if peak := restored * accepted; peak > maxHeap/bytesPerMB {
		t.Errorf("%.0f MB of heap when all records that are accepted are restored, more than %d", peak,
			maxHeap/bytesPerMB)
	}
}

// logMB returns the size of the files in a directory.
func logMB(t *testing.T, dir string) float64 {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	size := int64(0)
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil {
			t.Fatal(err)
		}
		size += info.Size()
	}
	return float64(size) / bytesPerMB
}

// writeLog writes a log of a million adds, in groups as they are synced together under load.
func writeLog(t *testing.T, dir string) {
	t.Helper()
	opened, err := tallylog.Open(wal.Disk, dir)
	if err != nil {
		t.Fatal(err)
	}
	for first := 0; first < *memoryAdds; first += benchmarkGroup {
		records := &wirepb.TallyRecords{Origin: "core-palermo-sala-a-1/0123456789ab", First: uint64(first + 1)}
		for i := first; i < first+benchmarkGroup; i++ {
			id := fmt.Sprintf("%0*x", benchmarkIDLength, i)
			records.Adds = append(records.Adds, &wirepb.TallyAdd{Tally: "t", Id: id, Amount: 1})
		}
		if err := opened.Log.Append([]*wirepb.TallyRecords{records}); err != nil {
			t.Fatal(err)
		}
	}
}
