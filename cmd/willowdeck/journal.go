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

// within is how long after it was asked for a txn may go out, if nothing is said: clients wait for seconds.
const within = time.Minute

// journals is the sub-command that reads journals. It writes nothing and takes no lock, so that it may be
// used while gatekeepers write.
func journals() *cli.Command {
	dirs := &cli.StringSliceFlag{Name: "dir", Required: true,
		Usage: "an instance's `FOLDER`, or one with the folders of several"}
	last := &cli.IntFlag{Name: "last", Value: 20, Usage: "the last `N` txns of each"}
	at := &cli.StringFlag{Name: "at", Usage: "the `TIME` at which it was asked for, as 2026-12-01T14:03:20Z"}
	span := &cli.DurationFlag{Name: "within", Value: within, Usage: "how long after that it may have gone out"}
	return &cli.Command{Name: "journal", Usage: "read journals of once-only txns, also while they are written",
		Commands: []*cli.Command{
			{Name: "show", Usage: "what there is", Flags: []cli.Flag{dirs, last}, Action: show},
			{Name: "verify", Usage: "read all of it; status 1 where something is damaged or missing",
				Flags: []cli.Flag{dirs}, Action: verify},
			{Name: "find", Usage: "whether the txn of an X-Request-Id went out", ArgsUsage: "ID",
				Flags: []cli.Flag{dirs, at, span}, Action: findTxn},
			{Name: "export", Usage: "all records, a JSON object a line", Flags: []cli.Flag{dirs}, Action: export},
		}}
}

// folders gives the folders of the journals that are named.
func folders(named []string) (all []string, err error) {
	for _, dir := range named {
		for _, pattern := range []string{"*.wdj", "*/*.wdj"} {
			found, err := filepath.Glob(filepath.Join(dir, pattern))
			if err != nil {
				return nil, err
			}
			for _, f := range found {
				if d := filepath.Dir(f); len(all) == 0 || all[len(all)-1] != d {
					all = append(all, d)
				}
			}
		}
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("there is no journal in %q", named)
	}
	return all, nil
}

// terms are those of a reader: it has room for all that the segments hold.
func terms() txnjournal.Config {
	t := txnjournal.DefaultConfig()
	t.MaxTxns, t.MaxStoredResponseBytes = math.MaxInt, math.MaxInt
	return t
}

func now() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// clock writes a time of the journal; one that is not known is a dash.
func clock(ms float64) string {
	if !(math.Abs(ms) < math.MaxInt64/1000) || ms <= 0 {
		return "-"
	}
	return time.UnixMicro(int64(ms * 1000)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func show(_ context.Context, c *cli.Command) error {
	all, err := folders(c.StringSlice("dir"))
	if err != nil {
		return err
	}
	for _, dir := range all {
		var last txnjournal.SegmentReport
		note := func(_ uint64, s txnjournal.SegmentReport) {
			if !s.Blank {
				last = s
			}
		}
		replay, err := store.ReadAll(store.Dir(dir), terms(), now(), store.Visitor{Segment: note})
		if err != nil {
			return err
		}
		txns, _ := replay.Index.Len()
		fmt.Printf("%s: gatekeeper %q, %d lives, policy %s\n", dir, last.Header.Instance,
			replay.LastIncarnation, last.Header.Policy)
		fmt.Printf("  segments %d, records %d, txns %d, last record %s\n", len(replay.Segments),
			replay.Stats.Records, txns, clock(last.LastMillis))
		fmt.Printf("  all txns since %s\n", clock(replay.Index.HorizonMillis()))
		damage(replay)
		var list []string
		count := [3]int{}
		replay.Index.Each(func(e txnjournal.Entry, v txnjournal.Verdict) {
			count[v]++
			if list = append(list, line(e, v)); len(list) > c.Int("last") {
				list = list[1:]
			}
		})
		fmt.Printf("  %s %d, %s %d, %s %d\n", txnjournal.SentCompleted, count[txnjournal.SentCompleted],
			txnjournal.SentUnknown, count[txnjournal.SentUnknown], txnjournal.NotSent, count[txnjournal.NotSent])
		for _, l := range list {
			fmt.Println("  " + l)
		}
	}
	return nil
}

func line(e txnjournal.Entry, v txnjournal.Verdict) string {
	return fmt.Sprintf("%s %s %s customer %016x worker %s life %d submissions %d: %s",
		clock(e.FirstIntentMillis), e.RequestID, e.Product, e.Customer, e.Worker, e.Incarnation, e.Attempts, v)
}

// damage prints what can't be relied on.
func damage(replay *store.Replay) {
	if f := replay.Stats; f.UnreadableBytes > 0 {
		fmt.Printf("  %d bytes cut: segments with a torn end %d, damaged before it %d, of another version %d\n",
			f.UnreadableBytes, f.Torn, f.Corrupt, f.Unsupported)
	}
	for _, s := range replay.Index.UncertainPeriods() {
		fmt.Printf("  in doubt %s to %s: %s\n", clock(s.FromMillis), clock(s.ToMillis), s.Reason)
	}
}

func verify(_ context.Context, c *cli.Command) error {
	all, err := folders(c.StringSlice("dir"))
	if err != nil {
		return err
	}
	bad := 0
	for _, dir := range all {
		replay, err := store.ReadAll(store.Dir(dir), terms(), now(), store.Visitor{})
		if err != nil {
			return err
		}
		fmt.Printf("%s: %d segments, %d records, %d bytes\n", dir, replay.Stats.Segments, replay.Stats.Records,
			replay.Stats.Bytes)
		damage(replay)
		if replay.Index.UncertainPeriodCount > 0 {
			bad++
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d journals may lack something", bad, len(all))
	}
	return nil
}

// findTxn answers over all journals together: a txn went out if any says so, and was not sent only if all do.
func findTxn(_ context.Context, c *cli.Command) error {
	mark := c.Args().First()
	if c.NArg() != 1 || mark == "" {
		return errors.New("one ID is to be given: the txn's X-Request-Id")
	}
	all, err := folders(c.StringSlice("dir"))
	if err != nil {
		return err
	}
	from, to := math.Inf(-1), now()
	if text := c.String("at"); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return fmt.Errorf("at: %w", err)
		}
		from = float64(at.UnixMicro()) / 1000
		to = from + float64(c.Duration("within"))/float64(time.Millisecond)
	}
	verdict := txnjournal.NotSent
	for _, dir := range all {
		replay, err := store.ReadAll(store.Dir(dir), terms(), now(), store.Visitor{})
		if err != nil {
			return err
		}
		v, why, found := replay.Index.Resolve(mark, from, to, now())
		verdict = max(verdict, v)
		fmt.Printf("%s: %s (%s)\n", dir, v, why)
		for _, e := range found {
			fmt.Println("  " + line(e, v))
		}
	}
	fmt.Printf("%s: %s\n", mark, verdict)
	if verdict == txnjournal.SentUnknown && c.String("at") == "" {
		fmt.Println("--at TIME, when it was asked for, may tell more")
	}
	return nil
}

// exported is a record as it is exported. Times are Unix ms.
type exported struct {
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

func export(_ context.Context, c *cli.Command) error {
	all, err := folders(c.StringSlice("dir"))
	if err != nil {
		return err
	}
	out := bufio.NewWriter(os.Stdout)
	for _, dir := range all {
		if err := exportTo(out, dir); err != nil {
			return err
		}
	}
	return out.Flush()
}

func exportTo(w io.Writer, dir string) error {
	enc := json.NewEncoder(w)
	var failed error
	write := func(number uint64, offset int, r txnjournal.Record) {
		x := exported{
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
			x.ID, x.Customer, x.Product = r.Txn.RequestID, fmt.Sprintf("%016x", r.Txn.Customer), r.Txn.Product
			x.Number, x.N, x.Worker, x.Expiry = r.Attempt.Sequence, r.Attempt.Ordinal, r.Worker, r.ExpiryMillis
			x.End, x.Answer = r.Outcome.String(), len(r.Response.Body)
		}
		if err := enc.Encode(x); err != nil && failed == nil {
			failed = err
		}
	}
	_, err := store.ReadAll(store.Dir(dir), terms(), now(), store.Visitor{Record: write})
	return errors.Join(err, failed)
}
