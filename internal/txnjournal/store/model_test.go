package store

import (
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"willowdeck/internal/txnjournal"
)

var long = flag.Int("long", 1, "how many times as many seeds")

// truth is what became of a txn in the world, beside the journal.
type truth struct {
	asked   float64
	out     bool // it may have gone out: its bytes may have reached a worker, and run
	settled bool
}

// life is one life of a gatekeeper over a disk: each txn is meant, goes out where the journal says so, and
// ends in one of the ways there are. It ends with a crash, or in peace.
type life struct {
	t     *testing.T
	rng   *rand.Rand
	now   float64
	all   map[string]*truth
	open  []txnjournal.Record // submissions that are out
	next  int
	terms txnjournal.Terms
}

func (l *life) run(d *Memory, steps int) {
	g, err := Open(d, l.terms, Who{Name: "g", Boot: 1, Offset: 1e6}, l.now, false)
	if err != nil {
		return // it crashed before
	}
	defer g.Close()
	l.open = nil
	number := uint64(0)
	var again []txnjournal.Record // ends of a commit that failed
	for range steps {
		l.now += 2500
		if l.rng.Intn(15) == 0 {
			d.FailSync = 1
		}
		all := again
		again = nil
		for range 1 + l.rng.Intn(4) {
			if len(l.open) > 0 && l.rng.Intn(2) == 0 {
				i := l.rng.Intn(len(l.open))
				r := l.open[i]
				l.open = append(l.open[:i], l.open[i+1:]...)
				r.Kind, r.At, r.End = txnjournal.Ended, l.now, txnjournal.End(1+l.rng.Intn(3))
				was := l.all[r.Txn.Mark]
				switch r.End {
				case txnjournal.Settled:
					was.settled = true
					r.Answer = txnjournal.Answer{Body: []byte("done " + r.Txn.Mark), Whole: true}
				case txnjournal.Never:
					was.out = false
				}
				all = append(all, r)
				continue
			}
			number++
			l.next++
			r := txnjournal.Record{Kind: txnjournal.Meant, At: l.now, Sub: txnjournal.Sub{Number: number}, Worker: "w",
				Txn: txnjournal.Txn{Customer: 7, Mark: fmt.Sprint("t", l.next), Product: "issue"}}
			l.all[r.Txn.Mark] = &truth{asked: l.now}
			all = append(all, r)
		}
		for _, r := range all {
			r.Life = g.Life()
			g.Take(r)
		}
		err := g.Commit(all, l.now)
		for _, r := range all {
			switch {
			case r.Kind == txnjournal.Meant && err == nil:
				l.all[r.Txn.Mark].out = true
				l.open = append(l.open, r)
			case r.Kind == txnjournal.Meant:
				r.Kind, r.End = txnjournal.Ended, txnjournal.Never
				g.Take(r)
				again = append(again, r)
			case err != nil:
				again = append(again, r)
			}
		}
		if errors.Is(err, ErrCrashed) {
			return
		}
	}
}

// judge holds the answers of a journal against the truth, and counts them: txns that never went out, and of
// these the doubtful ones.
func (l *life) judge(d Disk, what string) (never, doubtful int) {
	l.t.Helper()
	b, _, _, _, err := ReadAll(d, l.terms, l.now, nil, nil)
	if err != nil {
		l.t.Fatal(what, err)
	}
	for mark, was := range l.all {
		v, why, found := b.Answers(mark, was.asked, was.asked, l.now)
		switch {
		case v == txnjournal.NotSent && (was.out || was.settled):
			l.t.Fatalf("%s: %s went out (%+v), and the journal says %v: %s", what, mark, *was, v, why)
		case v == txnjournal.SentSettled && !was.settled:
			l.t.Fatalf("%s: %s was not settled, and the journal says %v", what, mark, v)
		case v == txnjournal.SentSettled && found[0].Answer.Whole &&
			string(found[0].Answer.Body) != "done "+mark:
			l.t.Fatalf("%s: %s was answered %q", what, mark, found[0].Answer.Body)
		}
		if !was.out && !was.settled {
			if never++; v != txnjournal.NotSent {
				doubtful++
			}
		}
	}
	return never, doubtful
}

// Whichever call of the disk is the last one, and whatever of the unsynced is there afterwards, the journal
// never says of a txn that went out that it was not sent, nor that one was settled that was not. Guards
// against a txn that goes out before its record is durable, a reader that takes a hole for the end, a failed
// sync taken for a good one, and segments let go before what they alone hold is written again.
func TestCrashAtEachCall(t *testing.T) {
	for _, powerCut := range []bool{false, true} {
		t.Run(fmt.Sprint("power cut ", powerCut), func(t *testing.T) {
			never, doubtful, crashes := 0, 0, 0
			for seed := range int64(4 * *long) {
				for at := 1; ; at++ {
					terms := txnjournal.DefaultTerms()
					terms.Segment, terms.Segments = 3000, 40
					tight := seed%2 == 0 // much is checked out and forgotten
					if tight {
						terms.Segments, terms.Txns = 3, 40
					}
					l := &life{t: t, rng: rand.New(rand.NewSource(seed)), now: 1e9, all: map[string]*truth{},
						terms: terms}
					d := NewMemory(seed + 100)
					d.CrashAt = at
					l.run(d, 60)
					whole := !d.crashed
					for next := range 2 { // and again, from what the crash has left
						what := fmt.Sprintf("seed %d, call %d, life %d", seed, at, next)
						d = d.After(powerCut)
						n, m := l.judge(d, what)
						if crashes++; !tight {
							never, doubtful = never+n, doubtful+m
						}
						l.now += 60000
						d.CrashAt = 1 + l.rng.Intn(60)
						l.run(d, 20)
					}
					if whole {
						break
					}
				}
			}
			t.Logf("%d crashes; where nothing is forgotten %d txns never went out, of these %d are in doubt", crashes,
				never, doubtful)
			if never == 0 || doubtful*2 > never {
				t.Errorf("%d of %d txns that never went out are in doubt", doubtful, never)
			}
		})
	}
}

// Bits that turn over in what was durable put in doubt what lay there, and are never taken for nothing.
func TestFlippedBits(t *testing.T) {
	never, doubtful := 0, 0
	for seed := range int64(300 * *long) {
		terms := txnjournal.DefaultTerms()
		terms.Segment, terms.Segments = 2000, 8
		l := &life{t: t, rng: rand.New(rand.NewSource(seed)), now: 1e9, all: map[string]*truth{}, terms: terms}
		d := NewMemory(seed)
		l.run(d, 30)
		d = d.After(false)
		names, _ := d.Names()
		slices.Sort(names)
		for range 1 + l.rng.Intn(3) {
			name := names[l.rng.Intn(len(names))]
			// of what was written: a bit in blank room would be damage at the end
			b, _ := d.Load(name)
			used := 0
			for i, x := range b {
				if x != 0 {
					used = i + 1
				}
			}
			if used > 0 {
				d.Flip(name, l.rng.Intn(8*used))
			}
		}
		n, m := l.judge(d, fmt.Sprint("seed ", seed))
		never, doubtful = never+n, doubtful+m
	}
	t.Logf("%d txns never went out, of these %d are in doubt", never, doubtful)
	if doubtful == 0 || doubtful == never {
		t.Errorf("%d of %d txns that never went out are in doubt", doubtful, never)
	}
}
