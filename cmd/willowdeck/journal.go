package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"willowdeck/internal/txnjournal"
	"willowdeck/internal/txnjournal/store"
)

// defaultFindWindow is how long after it was asked for a request may have been sent, by default: clients
// wait for seconds.
const defaultFindWindow = time.Minute

// journalCommand is the command that reads journals. It writes nothing and takes no lock, so that it can
// be used while gateways write.
func journalCommand() *cli.Command {
	dirs := &cli.StringSliceFlag{Name: "dir", Required: true,
		Usage: "an instance's `DIR`, or one with the directories of several"}
	last := &cli.IntFlag{Name: "last", Value: 20, Usage: "the last `N` requests of each"}
	at := &cli.StringFlag{Name: "at", Usage: "the `TIME` of the request, as 2026-12-01T14:03:20Z"}
	span := &cli.DurationFlag{Name: "within", Value: defaultFindWindow,
		Usage: "how long after that it may have been sent"}
	return &cli.Command{Name: "journal",
		Usage: "read journals of non-idempotent requests, also while they are written",
		Commands: []*cli.Command{
			{Name: "show", Usage: "print an overview", Flags: []cli.Flag{dirs, last}, Action: showJournals},
			{Name: "verify", Usage: "read all of it; status 1 where something is damaged or missing",
				Flags: []cli.Flag{dirs}, Action: verifyJournals},
			{Name: "find", Usage: "whether the request with an X-Request-Id was sent", ArgsUsage: "ID",
				Flags: []cli.Flag{dirs, at, span}, Action: findRequest},
			{Name: "export", Usage: "all records, a JSON object a line", Flags: []cli.Flag{dirs},
				Action: exportRecords},
		}}
}

// journalDirs returns the directories with journals at or directly below the paths.
func journalDirs(paths []string) (dirs []string, err error) {
	for _, dir := range paths {
		for _, pattern := range []string{"*.wdj", "*/*.wdj"} {
			found, err := filepath.Glob(filepath.Join(dir, pattern))
			if err != nil {
				return nil, err
			}
			for _, f := range found {
				if d := filepath.Dir(f); len(dirs) == 0 || dirs[len(dirs)-1] != d {
					dirs = append(dirs, d)
				}
			}
		}
	}
	if len(dirs) == 0 {
		return nil, fmt.Errorf("there is no journal in %q", paths)
	}
	return dirs, nil
}

// readerTerms returns the configuration of a reader: it has capacity for all that the segments hold.
func readerTerms() txnjournal.Config {
	t := txnjournal.DefaultConfig()
	t.MaxTxns, t.MaxStoredResponseBytes = math.MaxInt, math.MaxInt
	return t
}

func nowMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// formatTime formats a time of the journal; one that is not known is a dash.
func formatTime(unixMillis float64) string {
	if !(math.Abs(unixMillis) < math.MaxInt64/1000) || unixMillis <= 0 {
		return "-"
	}
	return time.UnixMicro(int64(unixMillis * 1000)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func showJournals(_ context.Context, c *cli.Command) error {
	dirs, err := journalDirs(c.StringSlice("dir"))
	if err != nil {
		return err
	}
	for _, dir := range dirs {
		var last txnjournal.SegmentReport
		observe := func(_ uint64, segment txnjournal.SegmentReport) {
			if !segment.Blank {
				last = segment
			}
		}
		replay, err := store.ReadAll(store.Dir(dir), readerTerms(), nowMillis(), store.Visitor{Segment: observe})
		if err != nil {
			return err
		}
		txns, _ := replay.Index.Len()
		fmt.Printf("%s: gatekeeper %q, %d lives, policy %s\n", dir, last.Header.Instance,
			replay.LastIncarnation, last.Header.Policy)
		fmt.Printf("  segments %d, records %d, txns %d, last record %s\n", len(replay.Segments),
			replay.Stats.Records, txns, formatTime(last.LastMillis))
		fmt.Printf("  all txns since %s\n", formatTime(replay.Index.HorizonMillis()))
		printDamage(replay)
		var lines []string
		count := [3]int{}
		replay.Index.Each(func(entry txnjournal.Entry, verdict txnjournal.Verdict) {
			count[verdict]++
			if lines = append(lines, formatEntry(entry, verdict)); len(lines) > c.Int("last") {
				lines = lines[1:]
			}
		})
		fmt.Printf("  %s %d, %s %d, %s %d\n", txnjournal.SentCompleted, count[txnjournal.SentCompleted],
			txnjournal.SentUnknown, count[txnjournal.SentUnknown], txnjournal.NotSent, count[txnjournal.NotSent])
		for _, entry := range lines {
			fmt.Println("  " + entry)
		}
	}
	return nil
}

func formatEntry(entry txnjournal.Entry, verdict txnjournal.Verdict) string {
	return fmt.Sprintf("%s %s %s customer %016x worker %s life %d submissions %d: %s",
		formatTime(entry.FirstIntentMillis), entry.RequestID, entry.Product, entry.Customer, entry.Worker,
		entry.Incarnation, entry.Attempts, verdict)
}

// printDamage prints what is not reliable.
func printDamage(replay *store.Replay) {
	if read := replay.Stats; read.UnreadableBytes > 0 {
		fmt.Printf("  %d bytes cut: segments with a torn end %d, damaged before it %d, of another version %d\n",
			read.UnreadableBytes, read.Torn, read.Corrupt, read.Unsupported)
	}
	for _, doubt := range replay.Index.UncertainPeriods() {
		fmt.Printf(
			"  in doubt %s to %s: %s\n",
			formatTime(doubt.FromMillis),
			formatTime(doubt.ToMillis),
			doubt.Reason,
		)
	}
}

func verifyJournals(_ context.Context, c *cli.Command) error {
	dirs, err := journalDirs(c.StringSlice("dir"))
	if err != nil {
		return err
	}
	doubtful := 0
	for _, dir := range dirs {
		replay, err := store.ReadAll(store.Dir(dir), readerTerms(), nowMillis(), store.Visitor{})
		if err != nil {
			return err
		}
		fmt.Printf("%s: %d segments, %d records, %d bytes\n", dir, replay.Stats.Segments, replay.Stats.Records,
			replay.Stats.Bytes)
		printDamage(replay)
		if replay.Index.UncertainPeriodCount > 0 {
			doubtful++
		}
	}
	if doubtful > 0 {
		return fmt.Errorf("%d of %d journals may lack something", doubtful, len(dirs))
	}
	return nil
}

// findRequest answers over all journals together: a request was sent if any says so, and was not only if
// all do.
func findRequest(_ context.Context, c *cli.Command) error {
	requestID := c.Args().First()
	if c.NArg() != 1 || requestID == "" {
		return errors.New("one ID is required: the request's X-Request-Id")
	}
	dirs, err := journalDirs(c.StringSlice("dir"))
	if err != nil {
		return err
	}
	from, to := math.Inf(-1), nowMillis()
	if text := c.String("at"); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return fmt.Errorf("at: %w", err)
		}
		from = float64(at.UnixMicro()) / 1000
		to = from + float64(c.Duration("within"))/float64(time.Millisecond)
	}
	verdict := txnjournal.NotSent
	for _, dir := range dirs {
		replay, err := store.ReadAll(store.Dir(dir), readerTerms(), nowMillis(), store.Visitor{})
		if err != nil {
			return err
		}
		verdictHere, reason, read := replay.Index.Resolve(requestID, from, to, nowMillis())
		verdict = max(verdict, verdictHere)
		fmt.Printf("%s: %s (%s)\n", dir, verdictHere, reason)
		for _, entry := range read {
			fmt.Println("  " + formatEntry(entry, verdictHere))
		}
	}
	fmt.Printf("%s: %s\n", requestID, verdict)
	if verdict == txnjournal.SentUnknown && c.String("at") == "" {
		fmt.Println("--at TIME, when it was asked for, may tell more")
	}
	return nil
}

// exportedRecord is a record as it is exported, in JSON. Times are Unix ms.
type exportedRecord struct {
	Dir      string  `json:"dir"`
	Segment  uint64  `json:"segment"`
	Offset   int     `json:"offset"`
	Kind     string  `json:"kind"`
	At       float64 `json:"at"`
	Life     uint32  `json:"life"`
	Group    uint32  `json:"group"`
	ID       string  `json:"id,omitempty"`
	Customer string  `json:"customer,omitempty"`
	Product  string  `json:"product,omitempty"`
	Number   uint64  `json:"number,omitempty"`
	N        int     `json:"n"`
	Worker   string  `json:"worker,omitempty"`
	Expiry   float64 `json:"expiry,omitempty"`
	End      string  `json:"end,omitempty"`
	Answer   int     `json:"answer_bytes,omitempty"`
	To       float64 `json:"to,omitempty"`
	Below    uint64  `json:"below,omitempty"`
}

func exportRecords(_ context.Context, c *cli.Command) error {
	dirs, err := journalDirs(c.StringSlice("dir"))
	if err != nil {
		return err
	}
	out := bufio.NewWriter(os.Stdout)
	for _, dir := range dirs {
		if err := exportDir(out, dir); err != nil {
			return err
		}
	}
	return out.Flush()
}

func exportDir(w io.Writer, dir string) error {
	encoder := json.NewEncoder(w)
	var failed error
	write := func(number uint64, offset int, r txnjournal.Record) {
		record := exportedRecord{
			Dir:     dir,
			Segment: number,
			Offset:  offset,
			Kind:    r.Kind.String(),
			At:      r.TimeMillis,
			Life:    r.Incarnation,
			Group:   r.Batch,
			To:      r.UntilMillis,
			Below:   r.FirstLiveSegment,
		}
		if r.Kind.HasTxn() {
			record.ID, record.Customer, record.Product = r.Txn.RequestID, fmt.Sprintf(
				"%016x",
				r.Txn.Customer,
			), r.Txn.Product
			record.Number, record.N = r.Attempt.Sequence, r.Attempt.Ordinal
			record.Worker, record.Expiry = r.Worker, r.ExpiryMillis
			record.End, record.Answer = r.Outcome.String(), len(r.Response.Body)
		}
		if err := encoder.Encode(record); err != nil && failed == nil {
			failed = err
		}
	}
	_, err := store.ReadAll(store.Dir(dir), readerTerms(), nowMillis(), store.Visitor{Record: write})
	return errors.Join(err, failed)
}
