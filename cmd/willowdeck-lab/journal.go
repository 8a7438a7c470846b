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
	service  = 5 * time.Millisecond // of a worker: an end comes so long after its intent
	patient  = 2000.0               // ms that a txn waits here: what is late is to be seen
	slowSync = 5 * time.Millisecond // that each sync of the slow disk takes longer, and
	hangSync = 30 * time.Millisecond
	hangs    = 0.02 // of them, this much longer
)

// journalCommand measures what writing once-only txns down costs.
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

// writes is what a txn does before it goes out, and what is done when it has ended.
type writes struct {
	meant func(number uint64) bool
	ended func(number uint64)
	close func()
}

func own(d store.Disk, window float64) writes {
	t := txnjournal.DefaultConfig()
	t.BatchWindowMillis, t.CommitWaitMillis, t.SlowCommitMillis = window, patient, patient
	k := store.Start(d, t, store.Writer{Instance: "lab"}, false, 1, zerolog.Nop())
	txn := func(n uint64) txnjournal.Txn {
		return txnjournal.Txn{Customer: n % 100, RequestID: fmt.Sprintf("%016x", n), Product: "tag-issue"}
	}
	return writes{
		meant: func(n uint64) bool {
			return k.RecordIntent(txn(n), txnjournal.AttemptID{Sequence: n}, "w1", 0, time.Now().Add(time.Minute))
		},
		ended: func(n uint64) {
			k.RecordOutcome(
				txn(n),
				txnjournal.AttemptID{Sequence: n},
				"w1",
				txnjournal.OutcomeCompleted,
				txnjournal.Response{Body: []byte("done"),
					Stored: true},
			)
		},
		close: k.Close,
	}
}

// embedded is the same in a bbolt file: its own group commit, a key for each txn.
func embedded(dir string, window float64) (writes, error) {
	db, err := bbolt.Open(filepath.Join(dir, "bolt.db"), 0o600, nil)
	if err != nil {
		return writes{}, err
	}
	db.MaxBatchDelay = time.Duration(window * float64(time.Millisecond))
	bucket := []byte("txns")
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucket)
		return err
	})
	if err != nil {
		return writes{}, err
	}
	put := func(n uint64, end byte) error {
		key := fmt.Appendf(nil, "%016x", n*0x9e3779b97f4a7c15) // marks come in no order
		value := make([]byte, 100)
		binary.LittleEndian.PutUint64(value, n)
		value[8] = end
		return db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, value) })
	}
	var ends sync.WaitGroup
	return writes{
		meant: func(n uint64) bool { return put(n, 0) == nil },
		ended: func(n uint64) { ends.Go(func() { _ = put(n, 1) }) },
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

type slowFile struct {
	store.File
	of slowDisk
}

func (d slowDisk) Create(name string, size int) (store.File, error) {
	f, err := d.Disk.Create(name, size)
	return slowFile{f, d}, err
}

func (f slowFile) Sync() error {
	f.of.mu.Lock()
	hang := f.of.rng.Float64() < hangs
	f.of.mu.Unlock()
	if time.Sleep(slowSync); hang {
		time.Sleep(hangSync)
	}
	return f.File.Sync()
}

// added measures what txns that come at random wait for, ms, in order of size.
func added(ctx context.Context, w writes, rate, seconds float64) (all []float64, lost int64) {
	rng := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	var out sync.WaitGroup
	var refused atomic.Int64
	at := time.Now()
	end := at.Add(time.Duration(seconds * float64(time.Second)))
	for n := uint64(1); at.Before(end) && ctx.Err() == nil; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		out.Go(func() {
			from := time.Now()
			if !w.meant(n) {
				refused.Add(1)
				return
			}
			took := float64(time.Since(from)) / float64(time.Millisecond)
			mu.Lock()
			all = append(all, took)
			mu.Unlock()
			time.Sleep(service)
			w.ended(n)
		})
	}
	out.Wait()
	w.close()
	slices.Sort(all)
	return all, refused.Load()
}

// written makes a store of a kind in a folder of its own, which done removes.
func written(in string, kind int, window float64) (w writes, done func(), err error) {
	dir, err := os.MkdirTemp(in, "willowdeck-lab")
	if err != nil {
		return w, nil, err
	}
	switch kind {
	case 0:
		w = own(store.Dir(dir), window)
	case 1:
		w = own(slowDisk{store.Dir(dir), &sync.Mutex{}, rand.New(rand.NewSource(2))}, window)
	default:
		w, err = embedded(dir, window)
	}
	return w, func() { _ = os.RemoveAll(dir) }, err
}

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
				w, done, err := written(c.String("dir"), i, window)
				if err != nil {
					return err
				}
				all, refused := added(ctx, w, c.Float("rate"), c.Float("seconds"))
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
	return told(c, rows, func(path string) error {
		return experiment.DrawLines("added to a once-only txn", "window of group commit, ms", "ms", true, lines,
			path)
	})
}

// told writes a table and draws a chart, where they are asked for.
func told(c *cli.Command, rows [][]string, draw func(path string) error) error {
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

func journalRecovery(_ context.Context, c *cli.Command) error {
	curve := experiment.Curve{Name: "time to read"}
	rows := [][]string{{"mb", "records", "txns", "ms"}}
	for _, mb := range c.IntSlice("mb") {
		dir, err := os.MkdirTemp(c.String("dir"), "willowdeck-lab")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		t := txnjournal.DefaultConfig()
		t.MaxSegments, t.MaxTxns = txnjournal.LargestMaxSegments, txnjournal.LargestMaxTxns
		if err := fill(store.Dir(dir), t, int(mb)<<20); err != nil {
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
	return told(c, rows, func(path string) error {
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

// fill writes txns until a journal has so many bytes.
func fill(d store.Disk, t txnjournal.Config, bytes int) error {
	l, err := store.Open(d, t, store.Writer{Instance: "lab"}, 1e12, false)
	if err != nil {
		return err
	}
	defer l.Close()
	for n := uint64(0); l.SegmentCount() <= bytes/t.SegmentBytes; {
		var all []txnjournal.Record
		for range 200 {
			n++
			r := txnjournal.Record{
				Kind:       txnjournal.KindIntent,
				TimeMillis: 1e12 + float64(n),
				Attempt:    txnjournal.AttemptID{Sequence: n},
				Worker:     "w1",
				Txn:        txnjournal.Txn{Customer: n % 100, RequestID: fmt.Sprintf("%016x", n), Product: "tag-issue"},
			}
			all = append(all, r)
			r.Kind, r.Outcome = txnjournal.KindOutcome, txnjournal.OutcomeCompleted
			all = append(all, r)
		}
		if l.SegmentCount() == bytes/t.SegmentBytes && n*2*160 > uint64(bytes) {
			break
		}
		if err := l.Commit(all, 1e12+float64(n)); err != nil {
			return err
		}
	}
	return nil
}
