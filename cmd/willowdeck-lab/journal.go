package main

import (
	"context"
	"encoding/binary"
	"encoding/csv"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
	"go.etcd.io/bbolt"

	"willowdeck/internal/lab/experiment"
	"willowdeck/internal/txnjournal"
	"willowdeck/internal/txnjournal/store"
)

const (
	serviceTime         = 5 * time.Millisecond // of a worker: an end comes so long after its intent
	clientTimeoutMillis = 2000.0               // long enough that late commits show
	syncDelay           = 5 * time.Millisecond // that each sync of the slow disk takes longer, and
	hangDelay           = 30 * time.Millisecond
	hangFraction        = 0.02 // of them, this much longer
)

// journalCommand measures the cost of recording non-idempotent transactions.
func journalCommand(out cli.Flag) *cli.Command {
	dir := &cli.StringFlag{Name: "dir", Required: true, Usage: "a `FOLDER` on the disk that is measured"}
	return &cli.Command{Name: "journal", Usage: "measure what writing once-only txns down costs",
		Commands: []*cli.Command{
			{Name: "latency", Usage: "added to a txn, by the window of group commit, with own segments on this disk " +
				"and on a slow one, and with an embedded store", Action: journalLatency,
				Flags: []cli.Flag{dir, out, &cli.FloatFlag{Name: "rate", Value: 500, Usage: "once-only txns a second"},
					&cli.FloatFlag{Name: "seconds", Value: 3, Usage: "of each round"},
					&cli.IntFlag{Name: "rounds", Value: 3, Usage: "`N`, of which the median counts"},
					&cli.FloatSliceFlag{Name: "window", Value: []float64{0, 1, 2, 5, 10, 20}, Usage: "`MS`"},
					&cli.StringFlag{Name: "chart", Usage: "and draw it, `FILE.png`"}}},
			{Name: "recovery", Usage: "time to read a journal at a start, by its size", Action: journalRecovery,
				Flags: []cli.Flag{dir, out, &cli.IntSliceFlag{Name: "mb", Value: []int{1, 4, 16, 64, 128}},
					&cli.StringFlag{Name: "chart", Usage: "and draw it, `FILE.png`"}}},
		}}
}

// journalWriter records an intent before a transaction is sent, and its outcome after it has ended.
type journalWriter struct {
	recordIntent  func(number uint64) bool
	recordOutcome func(number uint64)
	close         func()
}

// startSegments starts a journal of the gateway's own segments.
func startSegments(disk store.Disk, window float64) journalWriter {
	config := txnjournal.DefaultConfig()
	config.BatchWindowMillis, config.CommitWaitMillis, config.SlowCommitMillis = window, clientTimeoutMillis,
		clientTimeoutMillis
	journal := store.Start(disk, config, store.Writer{Instance: "lab"}, false, 1, zerolog.Nop())
	txn := func(n uint64) txnjournal.Txn {
		return txnjournal.Txn{Customer: n % 100, RequestID: fmt.Sprintf("%016x", n), Product: "tag-issue"}
	}
	return journalWriter{
		recordIntent: func(n uint64) bool {
			return journal.RecordIntent(txn(n), txnjournal.AttemptID{Sequence: n}, "w1", 0,
				time.Now().Add(time.Minute))
		},
		recordOutcome: func(n uint64) {
			journal.RecordOutcome(
				txn(n),
				txnjournal.AttemptID{Sequence: n},
				"w1",
				txnjournal.OutcomeCompleted,
				txnjournal.Response{Body: []byte("done"),
					Stored: true},
			)
		},
		close: journal.Close,
	}
}

// openBolt opens a bbolt file that does the same: with its own group commit, and a key for each transaction.
func openBolt(dir string, window float64) (journalWriter, error) {
	db, err := bbolt.Open(filepath.Join(dir, "bolt.db"), 0o600, nil)
	if err != nil {
		return journalWriter{}, err
	}
	db.MaxBatchDelay = time.Duration(window * float64(time.Millisecond))
	bucket := []byte("txns")
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucket)
		return err
	})
	if err != nil {
		return journalWriter{}, err
	}
	put := func(n uint64, end byte) error {
		key := fmt.Appendf(nil, "%016x", n*0x9e3779b97f4a7c15) // marks come in no order
		value := make([]byte, 100)
		binary.LittleEndian.PutUint64(value, n)
		value[8] = end
		return db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, value) })
	}
	var ends sync.WaitGroup
	return journalWriter{
		recordIntent:  func(n uint64) bool { return put(n, 0) == nil },
		recordOutcome: func(n uint64) { ends.Go(func() { _ = put(n, 1) }) },
		close: func() {
			ends.Wait()
			_ = db.Close()
		},
	}, nil
}

// slowDisk is a disk whose syncs take longer.
type slowDisk struct {
	store.Disk
	mu  *sync.Mutex
	rng *rand.Rand
}

// slowFile is a file of a slowDisk.
type slowFile struct {
	store.File
	disk slowDisk
}

// Create creates a slow file.
func (d slowDisk) Create(name string, size int) (store.File, error) {
	f, err := d.Disk.Create(name, size)
	return slowFile{f, d}, err
}

// Sync syncs after a delay.
func (f slowFile) Sync() error {
	f.disk.mu.Lock()
	hang := f.disk.rng.Float64() < hangFraction
	f.disk.mu.Unlock()
	if time.Sleep(syncDelay); hang {
		time.Sleep(hangDelay)
	}
	return f.File.Sync()
}

// measureAddedLatency returns what transactions that arrive at random wait for their intent, in milliseconds,
// sorted, and how many were rejected.
func measureAddedLatency(ctx context.Context, writer journalWriter, rate,
	seconds float64) (latencies []float64, rejected int64) {
	rng := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	var rejectedCount atomic.Int64
	at := time.Now()
	end := at.Add(time.Duration(seconds * float64(time.Second)))
	for n := uint64(1); at.Before(end) && ctx.Err() == nil; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		inFlight.Go(func() {
			from := time.Now()
			if !writer.recordIntent(n) {
				rejectedCount.Add(1)
				return
			}
			latencyMillis := float64(time.Since(from)) / float64(time.Millisecond)
			mu.Lock()
			latencies = append(latencies, latencyMillis)
			mu.Unlock()
			time.Sleep(serviceTime)
			writer.recordOutcome(n)
		})
	}
	inFlight.Wait()
	writer.close()
	slices.Sort(latencies)
	return latencies, rejectedCount.Load()
}

// openJournal opens a journal of a kind in a folder of its own, which remove removes.
func openJournal(parent string, kind int, window float64) (writer journalWriter, remove func(), err error) {
	dir, err := os.MkdirTemp(parent, "willowdeck-lab")
	if err != nil {
		return writer, nil, err
	}
	switch kind {
	case 0:
		writer = startSegments(store.Dir(dir), window)
	case 1:
		writer = startSegments(slowDisk{store.Dir(dir), &sync.Mutex{}, rand.New(rand.NewSource(2))}, window)
	default:
		writer, err = openBolt(dir, window)
	}
	return writer, func() { _ = os.RemoveAll(dir) }, err
}

// journalLatency measures the added latency by the window of group commit.
func journalLatency(ctx context.Context, c *cli.Command) error {
	kinds := []string{"segments", "segments, slow disk", "bbolt"}
	parts := []struct {
		name string
		part float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}
	var lines []experiment.Curve
	rows := [][]string{{"store", "window_ms", "txns", "refused", "p50_ms", "p99_ms", "p999_ms"}}
	for i, kind := range kinds {
		curves := make([]experiment.Curve, len(parts))
		for k := range parts {
			curves[k].Name = kind + " " + parts[k].name
		}
		for _, window := range c.FloatSlice("window") {
			rounds := make([][]float64, len(parts))
			txns, lost := 0, int64(0)
			for range c.Int("rounds") {
				w, done, err := openJournal(c.String("dir"), i, window)
				if err != nil {
					return err
				}
				all, refused := measureAddedLatency(ctx, w, c.Float("rate"), c.Float("seconds"))
				if done(); len(all) == 0 {
					return fmt.Errorf("%s: nothing was written", kind)
				}
				for k, p := range parts {
					rounds[k] = append(rounds[k], all[int(p.part*float64(len(all)-1))])
				}
				txns, lost = txns+len(all), lost+refused
			}
			row := []string{kind, fmt.Sprint(window), strconv.Itoa(txns), strconv.FormatInt(lost, 10)}
			for k := range parts {
				slices.Sort(rounds[k])
				v := rounds[k][len(rounds[k])/2]
				row = append(row, fmt.Sprintf("%.3f", v))
				curves[k].X, curves[k].Y = append(curves[k].X, window), append(curves[k].Y, v)
			}
			fmt.Println(row)
			rows = append(rows, row)
		}
		lines = append(lines, curves...)
	}
	return writeTableAndChart(c, rows, func(path string) error {
		return experiment.DrawLines("added to a once-only txn", "window of group commit, ms", "ms", true, lines,
			path)
	})
}

// writeTableAndChart writes a table and draws a chart, where they are asked for.
func writeTableAndChart(c *cli.Command, rows [][]string, draw func(path string) error) error {
	if path := c.String("out"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		w := csv.NewWriter(f)
		if err = w.WriteAll(rows); err != nil {
			return err
		}
		if err = f.Close(); err != nil {
			return err
		}
	}
	if path := c.String("chart"); path != "" {
		return draw(path)
	}
	return nil
}

// journalRecovery measures the time to read a journal at a start, by its size.
func journalRecovery(_ context.Context, c *cli.Command) error {
	curve := experiment.Curve{Name: "time to read"}
	rows := [][]string{{"mb", "records", "txns", "ms"}}
	for _, mb := range c.IntSlice("mb") {
		dir, err := os.MkdirTemp(c.String("dir"), "willowdeck-lab")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // temporary files of the run
		t := txnjournal.DefaultConfig()
		t.MaxSegments, t.MaxTxns = txnjournal.LargestMaxSegments, txnjournal.LargestMaxTxns
		if err := fillJournal(store.Dir(dir), t, mb<<20); err != nil {
			return err
		}
		var took []float64
		var l *store.Log
		for range 3 {
			from := time.Now()
			if l, err = store.Open(store.Dir(dir), t, store.Writer{}, 1e12, false); err != nil {
				return err
			}
			took = append(took, float64(time.Since(from))/float64(time.Millisecond))
			l.Close()
		}
		slices.Sort(took)
		txns := 0
		l.View(func(b *txnjournal.Index) { txns, _ = b.Len() })
		row := []string{fmt.Sprint(mb), strconv.Itoa(l.Replayed.Records), strconv.Itoa(txns),
			fmt.Sprintf("%.1f", took[1])}
		fmt.Println(row)
		rows = append(rows, row)
		curve.X, curve.Y = append(curve.X, float64(mb)), append(curve.Y, took[1])
	}
	return writeTableAndChart(c, rows, func(path string) error {
		return experiment.DrawLines(
			"reading a journal at a start",
			"its size, MB",
			"ms",
			true,
			[]experiment.Curve{curve},
			path,
		)
	})
}

// fillJournal writes transactions until a journal has a number of bytes.
func fillJournal(disk store.Disk, config txnjournal.Config, bytes int) error {
	l, err := store.Open(disk, config, store.Writer{Instance: "lab"}, 1e12, false)
	if err != nil {
		return err
	}
	defer l.Close()
	for n := uint64(0); l.SegmentCount() <= bytes/config.SegmentBytes; {
		var records []txnjournal.Record
		for range 200 {
			n++
			r := txnjournal.Record{
				Kind:       txnjournal.KindIntent,
				TimeMillis: 1e12 + float64(n),
				Attempt:    txnjournal.AttemptID{Sequence: n},
				Worker:     "w1",
				Txn:        txnjournal.Txn{Customer: n % 100, RequestID: fmt.Sprintf("%016x", n), Product: "tag-issue"},
			}
			records = append(records, r)
			r.Kind, r.Outcome = txnjournal.KindOutcome, txnjournal.OutcomeCompleted
			records = append(records, r)
		}
		if l.SegmentCount() == bytes/config.SegmentBytes && n*2*160 > uint64(bytes) {
			break
		}
		if err := l.Commit(records, 1e12+float64(n)); err != nil {
			return err
		}
	}
	return nil
}
