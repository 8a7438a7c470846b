package core

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"willowdeck/internal/serving/tally"
	"willowdeck/internal/serving/tallylog"
	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

const (
	benchmarkAddsPerSecond = 2000
	benchmarkRecords       = 1_000_000
	benchmarkOrigin        = "core-palermo-sala-a-1/0a1b2c3d4e5f"
)

// benchmarkFrame returns the records of one frame.
func benchmarkFrame(first uint64, count int) []*wirepb.TallyRecords {
	records := &wirepb.TallyRecords{Origin: benchmarkOrigin, First: first}
	for i := range uint64(count) {
		records.Adds = append(records.Adds, &wirepb.TallyAdd{
			Tally: fmt.Sprint("t", (first+i)%16), Id: fmt.Sprintf("%016x", first+i), Amount: (first + i) % 100,
		})
	}
	return []*wirepb.TallyRecords{records}
}

// BenchmarkTallyWriter submits 2,000 adds a second, one a task, to a disk that needs a time for each sync,
// and reports how long the adds wait until they are durable.
func BenchmarkTallyWriter(b *testing.B) {
	for _, delay := range []time.Duration{2 * time.Millisecond, 5 * time.Millisecond} {
		b.Run(delay.String(), func(b *testing.B) {
			disk := newControlledDisk()
			disk.syncDelay = delay
			opened, err := tallylog.Open(disk, b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			events, stop := make(chan func(), eventQueueCapacity), make(chan struct{})
			defer close(stop)
			writer := newTallyWriter(opened.Log, events, zap.NewNop())
			go writer.run(stop)
			for b.Loop() {
				reportWaits(b, writer, events)
			}
		})
	}
}

// reportWaits submits the adds of a second and reports their mean and longest waits.
func reportWaits(b *testing.B, writer *tallyWriter, events <-chan func()) {
	b.Helper()
	var total, longest time.Duration
	completed := 0
	begun := time.Now()
	for submitted := 0; completed < benchmarkAddsPerSecond; {
		due := int(time.Since(begun).Seconds() * benchmarkAddsPerSecond)
		for ; submitted < min(due, benchmarkAddsPerSecond); submitted++ {
			at := time.Now()
			writer.submit(tallyTask{records: benchmarkFrame(uint64(submitted)+1, 1), done: func() {
				wait := time.Since(at)
				total += wait
				longest = max(longest, wait)
				completed++
			}})
		}
		select {
		case event := <-events:
			event()
		case <-time.After(500 * time.Microsecond):
		}
	}
	b.ReportMetric(float64(total.Microseconds())/benchmarkAddsPerSecond/1000, "mean-ms")
	b.ReportMetric(float64(longest.Microseconds())/1000, "longest-ms")
}

// heapMegabytes returns the heap in use after a collection.
func heapMegabytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

// directorySize returns the size of all files in a directory.
func directorySize(b *testing.B, dir string) int64 {
	b.Helper()
	size := int64(0)
	entries, err := os.ReadDir(dir)
	if err != nil {
		b.Fatal(err)
	}
	for _, entry := range entries {
		info, err := os.Stat(filepath.Join(dir, entry.Name()))
		if err != nil {
			b.Fatal(err)
		}
		size += info.Size()
	}
	return size
}

// withoutSync is the file system of the operating system without its syncs, to write a large log quickly.
type withoutSync struct{ wal.FileSystem }

func (w withoutSync) SyncDir(string) error { return nil }

func (w withoutSync) Create(path string) (wal.File, error) {
	file, err := w.FileSystem.Create(path)
	return fileWithoutSync{file}, err
}

type fileWithoutSync struct{ wal.File }

func (fileWithoutSync) Sync() error { return nil }

// BenchmarkMillionTallyRecords starts on a log of a million records, one in each frame as adds come at a low
// rate: it opens the log, restores a replica and consolidates.
func BenchmarkMillionTallyRecords(b *testing.B) {
	dir := b.TempDir()
	written, err := tallylog.Open(withoutSync{wal.Disk}, dir)
	if err != nil {
		b.Fatal(err)
	}
	for first := uint64(1); first <= benchmarkRecords; first++ {
		if err := written.Log.Append(benchmarkFrame(first, 1)); err != nil {
			b.Fatal(err)
		}
	}
	size := directorySize(b, dir)
	for b.Loop() {
		before := heapMegabytes()
		begun := time.Now()
		opened, err := tallylog.Open(wal.Disk, dir)
		if err != nil || opened.Corruption != nil {
			b.Fatal(opened.Corruption, err)
		}
		b.ReportMetric(time.Since(begun).Seconds(), "open-s")
		begun = time.Now()
		replica := tally.NewReplica(tally.Options{Clock: func() time.Duration { return 0 }}, nil)
		for records := range opened.Log.Earlier() {
			replica.Restore(records)
		}
		b.ReportMetric(time.Since(begun).Seconds(), "restore-s")
		begun = time.Now()
		if err := opened.Log.Consolidate(); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(time.Since(begun).Seconds(), "consolidate-s")
		b.ReportMetric(float64(directorySize(b, dir))/1e6, "consolidated-MB")
		b.ReportMetric(heapMegabytes()-before, "replica-MB")
		if records := replica.Status().Records; records != benchmarkRecords {
			b.Fatalf("%d records", records)
		}
	}
	b.ReportMetric(float64(size)/1e6, "written-MB")
}
