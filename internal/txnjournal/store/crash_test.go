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

var seedMultiplier = flag.Int("long", 1, "multiplier for the number of seeds")

// groundTruth is what really became of a transaction.
type groundTruth struct {
	requestedMillis float64
	maybeSent       bool // it may have reached a worker and been executed
	completed       bool
}

// simulation runs incarnations of a gateway over a disk: each transaction is sent where the journal accepts
// its intent, and gets one of the outcomes. An incarnation ends with a crash, or with its last step.
type simulation struct {
	t         *testing.T
	rng       *rand.Rand
	nowMillis float64
	truths    map[string]*groundTruth
	pending   []txnjournal.Record // attempts that are in flight
	lastTxn   int
	config    txnjournal.Config
}

// runIncarnation runs one incarnation for so many steps, each of them a commit.
func (s *simulation) runIncarnation(disk *MemoryDisk, steps int) {
	log, err := Open(
		disk,
		s.config,
		Writer{Instance: "g", BootID: 1, ClockOffsetMillis: 1e6},
		s.nowMillis,
		false,
	)
	if err != nil {
		return // it crashed while opening
	}
	defer log.Close()
	s.pending = nil
	sequence := uint64(0)
	var unwritten []txnjournal.Record // outcomes of a commit that failed
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

// check compares the journal's verdicts with the truth. It counts the transactions that were never sent,
// and of these those whose verdict is not NotSent.
func (s *simulation) check(disk Disk, what string) (notSent, uncertain int) {
	s.t.Helper()
	replay, err := ReadAll(disk, s.config, s.nowMillis, Visitor{})
	if err != nil {
		s.t.Fatal(what, err)
	}
	for requestID, truth := range s.truths {
		verdict, reason, found := replay.Index.Resolve(
			requestID,
			truth.requestedMillis,
			truth.requestedMillis,
			s.nowMillis,
		)
		switch {
		case verdict == txnjournal.NotSent && (truth.maybeSent || truth.completed):
			s.t.Fatalf("%s: %s was sent (%+v), and the verdict is %v: %s", what, requestID, *truth, verdict, reason)
		case verdict == txnjournal.SentCompleted && !truth.completed:
			s.t.Fatalf("%s: %s was not completed, and the verdict is %v", what, requestID, verdict)
		case verdict == txnjournal.SentCompleted && found[0].Response.Stored &&
			string(found[0].Response.Body) != "done "+requestID:
			s.t.Fatalf("%s: the response of %s is %q", what, requestID, found[0].Response.Body)
		}
		if !truth.maybeSent && !truth.completed {
			if notSent++; verdict != txnjournal.NotSent {
				uncertain++
			}
		}
	}
	return notSent, uncertain
}

// Whichever call of the disk is cut short by a crash, and whichever unsynced sectors survive, no
// transaction that was sent is NotSent, and none that was not completed is SentCompleted. Guards against a
// transaction that is sent before its intent is durable, a reader that takes a hole for the end, a failed
// sync taken for a successful one, and segments removed before their checkpoint is durable.
func TestCrashAtEachCall(t *testing.T) {
	for _, powerCut := range []bool{false, true} {
		t.Run(fmt.Sprint("power cut ", powerCut), func(t *testing.T) {
			notSent, uncertain, crashes := 0, 0, 0
			for seed := range int64(4 * *seedMultiplier) {
				for at := 1; ; at++ {
					config := txnjournal.DefaultConfig()
					config.SegmentBytes, config.MaxSegments = 3000, 40
					bounded := seed%2 == 0 // many checkpoints and evictions
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
					for next := range 2 { // go on from what the crash has left
						what := fmt.Sprintf("seed %d, call %d, incarnation %d", seed, at, next)
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
			t.Logf("%d crashes; where nothing is evicted %d transactions were never sent, of these %d are "+
				"uncertain", crashes, notSent, uncertain)
			if notSent == 0 || uncertain*2 > notSent {
				t.Errorf("%d of %d transactions that were never sent are uncertain", uncertain, notSent)
			}
		})
	}
}

// Flipped bits in durable records make their time uncertain, and are never taken for blank space.
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
			// only within what was written: a bit in blank space would be a torn end
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
	t.Logf("%d transactions were never sent, of these %d are uncertain", notSent, uncertain)
	if uncertain == 0 || uncertain == notSent {
		t.Errorf("%d of %d transactions that were never sent are uncertain", uncertain, notSent)
	}
}
