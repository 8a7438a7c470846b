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

var seedMultiplier = flag.Int("long", 1, "how many times as many seeds")

// truth is what became of a txn in the world, beside the journal.
type groundTruth struct {
	requestedMillis float64
	maybeSent       bool // it may have gone out: its bytes may have reached a worker, and run
	completed       bool
}

// life is one life of a gatekeeper over a disk: each txn is meant, goes out where the journal says so, and
// ends in one of the ways there are. It ends with a crash, or in peace.
type simulation struct {
	t         *testing.T
	rng       *rand.Rand
	nowMillis float64
	truths    map[string]*groundTruth
	pending   []txnjournal.Record // submissions that are out
	lastTxn   int
	config    txnjournal.Config
}

func (s *simulation) runIncarnation(disk *MemoryDisk, steps int) {
	log, err := Open(
		disk,
		s.config,
		Writer{Instance: "g", BootID: 1, ClockOffsetMillis: 1e6},
		s.nowMillis,
		false,
	)
	if err != nil {
		return // it crashed before
	}
	defer log.Close()
	s.pending = nil
	sequence := uint64(0)
	var unwritten []txnjournal.Record // ends of a commit that failed
	for range steps {
		s.nowMillis += 2500
		if s.rng.Intn(15) == 0 {
			disk.FailingSyncs = 1
		}
		records := unwritten
		unwritten = nil
		for range 1 + s.rng.Intn(4) {
			if len(s.pending) > 0 && s.rng.Intn(2) == 0 {
				i := s.rng.Intn(len(s.pending))
				r := s.pending[i]
				s.pending = append(s.pending[:i], s.pending[i+1:]...)
				r.Kind, r.TimeMillis, r.Outcome = txnjournal.KindOutcome, s.nowMillis, txnjournal.Outcome(1+s.rng.Intn(3))
				truth := s.truths[r.Txn.RequestID]
				switch r.Outcome {
				case txnjournal.OutcomeCompleted:
					truth.completed = true
					r.Response = txnjournal.Response{Body: []byte("done " + r.Txn.RequestID), Stored: true}
				case txnjournal.OutcomeNotExecuted:
					truth.maybeSent = false
				}
				records = append(records, r)
				continue
			}
			sequence++
			s.lastTxn++
			r := txnjournal.Record{
				Kind:       txnjournal.KindIntent,
				TimeMillis: s.nowMillis,
				Attempt:    txnjournal.AttemptID{Sequence: sequence},
				Worker:     "w",
				Txn:        txnjournal.Txn{Customer: 7, RequestID: fmt.Sprint("t", s.lastTxn), Product: "issue"},
			}
			s.truths[r.Txn.RequestID] = &groundTruth{requestedMillis: s.nowMillis}
			records = append(records, r)
		}
		for _, r := range records {
			r.Incarnation = log.Incarnation()
			log.Apply(r)
		}
		err := log.Commit(records, s.nowMillis)
		for _, r := range records {
			switch {
			case r.Kind == txnjournal.KindIntent && err == nil:
				s.truths[r.Txn.RequestID].maybeSent = true
				s.pending = append(s.pending, r)
			case r.Kind == txnjournal.KindIntent:
				r.Kind, r.Outcome = txnjournal.KindOutcome, txnjournal.OutcomeNotExecuted
				log.Apply(r)
				unwritten = append(unwritten, r)
			case err != nil:
				unwritten = append(unwritten, r)
			}
		}
		if errors.Is(err, ErrCrashed) {
			return
		}
	}
}

// judge holds the answers of a journal against the truth, and counts them: txns that never went out, and of
// these the doubtful ones.
func (s *simulation) check(disk Disk, what string) (notSent, uncertain int) {
	s.t.Helper()
	index, _, _, _, err := ReadAll(disk, s.config, s.nowMillis, nil, nil)
	if err != nil {
		s.t.Fatal(what, err)
	}
	for requestID, truth := range s.truths {
		verdict, reason, found := index.Resolve(
			requestID,
			truth.requestedMillis,
			truth.requestedMillis,
			s.nowMillis,
		)
		switch {
		case verdict == txnjournal.NotSent && (truth.maybeSent || truth.completed):
			s.t.Fatalf("%s: %s went out (%+v), and the journal says %v: %s", what, requestID, *truth, verdict, reason)
		case verdict == txnjournal.SentCompleted && !truth.completed:
			s.t.Fatalf("%s: %s was not settled, and the journal says %v", what, requestID, verdict)
		case verdict == txnjournal.SentCompleted && found[0].Response.Stored &&
			string(found[0].Response.Body) != "done "+requestID:
			s.t.Fatalf("%s: %s was answered %q", what, requestID, found[0].Response.Body)
		}
		if !truth.maybeSent && !truth.completed {
			if notSent++; verdict != txnjournal.NotSent {
				uncertain++
			}
		}
	}
	return notSent, uncertain
}

// Whichever call of the disk is the last one, and whatever of the unsynced is there afterwards, the journal
// never says of a txn that went out that it was not sent, nor that one was settled that was not. Guards
// against a txn that goes out before its record is durable, a reader that takes a hole for the end, a failed
// sync taken for a good one, and segments let go before what they alone hold is written again.
func TestCrashAtEachCall(t *testing.T) {
	for _, powerCut := range []bool{false, true} {
		t.Run(fmt.Sprint("power cut ", powerCut), func(t *testing.T) {
			notSent, uncertain, crashes := 0, 0, 0
			for seed := range int64(4 * *seedMultiplier) {
				for at := 1; ; at++ {
					config := txnjournal.DefaultConfig()
					config.SegmentBytes, config.MaxSegments = 3000, 40
					bounded := seed%2 == 0 // much is checked out and forgotten
					if bounded {
						config.MaxSegments, config.MaxTxns = 3, 40
					}
					sim := &simulation{
						t:         t,
						rng:       rand.New(rand.NewSource(seed)),
						nowMillis: 1e9,
						truths:    map[string]*groundTruth{},
						config:    config,
					}
					disk := NewMemoryDisk(seed + 100)
					disk.CrashAtCall = at
					sim.runIncarnation(disk, 60)
					completed := !disk.crashed
					for next := range 2 { // and again, from what the crash has left
						what := fmt.Sprintf("seed %d, call %d, life %d", seed, at, next)
						disk = disk.Restart(powerCut)
						n, m := sim.check(disk, what)
						if crashes++; !bounded {
							notSent, uncertain = notSent+n, uncertain+m
						}
						sim.nowMillis += 60000
						disk.CrashAtCall = 1 + sim.rng.Intn(60)
						sim.runIncarnation(disk, 20)
					}
					if completed {
						break
					}
				}
			}
			t.Logf("%d crashes; where nothing is forgotten %d txns never went out, of these %d are in doubt", crashes,
				notSent, uncertain)
			if notSent == 0 || uncertain*2 > notSent {
				t.Errorf("%d of %d txns that never went out are in doubt", uncertain, notSent)
			}
		})
	}
}

// Bits that turn over in what was durable put in doubt what lay there, and are never taken for nothing.
func TestFlippedBits(t *testing.T) {
	notSent, uncertain := 0, 0
	for seed := range int64(300 * *seedMultiplier) {
		config := txnjournal.DefaultConfig()
		config.SegmentBytes, config.MaxSegments = 2000, 8
		sim := &simulation{
			t:         t,
			rng:       rand.New(rand.NewSource(seed)),
			nowMillis: 1e9,
			truths:    map[string]*groundTruth{},
			config:    config,
		}
		disk := NewMemoryDisk(seed)
		sim.runIncarnation(disk, 30)
		disk = disk.Restart(false)
		names, _ := disk.Names()
		slices.Sort(names)
		for range 1 + sim.rng.Intn(3) {
			name := names[sim.rng.Intn(len(names))]
			// of what was written: a bit in blank room would be damage at the end
			b, _ := disk.Load(name)
			used := 0
			for i, x := range b {
				if x != 0 {
					used = i + 1
				}
			}
			if used > 0 {
				disk.FlipBit(name, sim.rng.Intn(8*used))
			}
		}
		n, m := sim.check(disk, fmt.Sprint("seed ", seed))
		notSent, uncertain = notSent+n, uncertain+m
	}
	t.Logf("%d txns never went out, of these %d are in doubt", notSent, uncertain)
	if uncertain == 0 || uncertain == notSent {
		t.Errorf("%d of %d txns that never went out are in doubt", uncertain, notSent)
	}
}
