package store

import (
	"math"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/txnjournal"
)

// fastConfig has time-outs that keep tests short.
func fastConfig() txnjournal.Config {
	t := txnjournal.DefaultConfig()
	t.SegmentBytes, t.MaxSegments = 4<<10, 8
	t.CommitWaitMillis, t.SlowCommitMillis, t.CoverageLeaseMillis = 300, 100, 200
	t.BreakerBackoffMillis, t.BreakerMaxBackoffMillis = 20, 40
	return t
}

func startJournal(t *testing.T, d Disk, config txnjournal.Config) *Journal {
	t.Helper()
	j := Start(d, config, Writer{Instance: "g"}, false, 1, zerolog.Nop())
	t.Cleanup(j.Close)
	return j
}

func txnNamed(name string) txnjournal.Txn {
	return txnjournal.Txn{Customer: 7, RequestID: name, Product: "issue"}
}

// intend records the intent of an attempt; if it is rejected, its outcome too, as the proxy does.
func (j *Journal) intend(name string, n int) bool {
	ok := j.RecordIntent(
		txnNamed(name),
		txnjournal.AttemptID{Sequence: 1, Ordinal: n},
		"w",
		0,
		time.Now().Add(time.Second),
	)
	if !ok {
		j.finish(name, n, txnjournal.OutcomeNotExecuted)
	}
	return ok
}

func (j *Journal) finish(name string, n int, end txnjournal.Outcome) {
	j.RecordOutcome(
		txnNamed(name),
		txnjournal.AttemptID{Sequence: 1, Ordinal: n},
		"w",
		end,
		txnjournal.Response{},
	)
}

func (j *Journal) metric(name string) (v int64) {
	j.Figures(func(n string, x int64) {
		if n == "journal."+name {
			v = x
		}
	})
	return v
}

// eventually waits until a condition holds, for 10 s at most.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// diskFaults are faults of a disk, and how they are repaired.
var diskFaults = []struct {
	name          string
	begin, repair func(*MemoryDisk)
}{
	{"full", func(m *MemoryDisk) { m.FreeBytes = 0 }, func(m *MemoryDisk) { m.FreeBytes = -1 }},
	{"read-only", func(m *MemoryDisk) { m.ReadOnly = true }, func(m *MemoryDisk) { m.ReadOnly = false }},
	{"gone", func(m *MemoryDisk) { m.Unavailable = true }, func(m *MemoryDisk) { m.Unavailable = false }},
}

func (d *MemoryDisk) configure(f func(*MemoryDisk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}

// Under RefuseUnwritten nothing is sent whose intent can't be written, and soon without waiting for the
// disk. Once the disk is repaired transactions are sent again, and nothing is uncertain.
func TestRefuseUnwritten(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run(fault.name, func(t *testing.T) {
			m := NewMemoryDisk(1)
			k := startJournal(t, m, fastConfig())
			if !k.intend("a", 0) {
				t.Fatal("rejected though the disk is well")
			}
			m.configure(fault.begin)
			rejected := func() bool {
				return !k.intend("b", 0)
			}
			if fault.name != "full" && !rejected() { // a full disk fails where a segment ends
				t.Error("sent unwritten")
			}
			eventually(t, "the breaker does not open", func() bool {
				for range 20 { // fill the segment
					k.finish("a", 1, txnjournal.OutcomeUnknown)
				}
				rejected()
				return k.metric("down") == 1
			})
			from := time.Now()
			for range 50 {
				if !rejected() {
					t.Error("sent unwritten")
				}
			}
			if took := time.Since(from); took > time.Second {
				t.Errorf("50 attempts wait %v for a disk that is down", took)
			}
			m.configure(fault.repair)
			eventually(t, "the journal does not recover",
				func() bool { return k.metric("down") == 0 && k.intend("c", 0) })
			if v := k.metric("doubtful"); v > 0 {
				t.Errorf("%d attempts sent unwritten", v)
			}
		})
	}
}

// Under ServeUnwritten transactions are sent unwritten once the coverage lease has expired, and not before.
// The verdict for that time is SentUnknown, though nothing could be written, also where the process crashes
// meanwhile.
func TestServeUnwritten(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		m := NewMemoryDisk(1)
		terms := fastConfig()
		terms.Policy = txnjournal.ServeUnwritten
		k := startJournal(t, m, terms)
		if !k.intend("a", 0) {
			t.Fatal("rejected though the disk is well")
		}
		m.configure(func(m *MemoryDisk) { m.Unavailable = true })
		from := time.Now()
		if k.intend("early", 0) && time.Since(from) < 90*time.Millisecond {
			t.Error("sent unwritten before the coverage lease has expired")
		}
		eventually(t, "nothing is sent unwritten", func() bool { return k.intend("b", 0) })
		asked := wallMillis()
		k.finish("b", 0, txnjournal.OutcomeUnknown)
		if _, v, ok := k.Lookup(7, "b", time.Second); !ok || v != txnjournal.SentUnknown {
			t.Errorf("the verdict of this process is %v", v)
		}
		m.configure(func(m *MemoryDisk) { m.Unavailable = false })
		if crashes {
			m = m.Restart(false)
			time.Sleep(10 * time.Millisecond)
			k = startJournal(t, m, terms)
		}
		eventually(t, "the journal does not recover", func() bool { return k.intend("c", 0) })
		replay, err := ReadAll(m, terms, wallMillis(), Visitor{})
		if err != nil {
			t.Fatal(err)
		}
		if v, _, _ := replay.Index.Resolve("never seen", asked, asked, wallMillis()); v != txnjournal.SentUnknown {
			t.Errorf("crashes %v: the verdict for the unwritten time is %v", crashes, v)
		}
	}
}

// Under ServeUnwritten an incarnation that the journal has no record of sends nothing unwritten. Guards
// against an incarnation that leaves no trace between two that the journal covers completely.
func TestServeNeedsDurableCoverage(t *testing.T) {
	m := NewMemoryDisk(1)
	m.FreeBytes = 0
	terms := fastConfig()
	terms.Policy = txnjournal.ServeUnwritten
	k := startJournal(t, m, terms)
	for end := time.Now().Add(3 * 200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if k.intend("a", 0) {
			t.Fatal("sent unwritten without a record that this may happen")
		}
	}
	m.configure(func(m *MemoryDisk) { m.FreeBytes = -1 })
	eventually(t, "nothing is sent after the repair", func() bool { return k.intend("a", 0) })
	m.configure(func(m *MemoryDisk) { m.Unavailable = true })
	eventually(t, "nothing is sent unwritten", func() bool { return k.intend("b", 0) })
}

// A hung disk delays nobody for longer than the commit wait, and nobody at all once it is known to hang.
func TestHungDisk(t *testing.T) {
	m := NewMemoryDisk(1)
	k := startJournal(t, m, fastConfig())
	k.intend("a", 0)
	hung := make(chan bool)
	var once sync.Once
	release := func() { once.Do(func() { close(hung) }) }
	defer release()
	m.BlockSyncs(hung)
	from := time.Now()
	if k.intend("b", 0) {
		t.Error("sent unwritten")
	}
	if took := time.Since(from); took > 900*time.Millisecond {
		t.Errorf("waited %v", took)
	}
	from = time.Now()
	if k.intend("c", 0) {
		t.Error("sent unwritten")
	}
	if took := time.Since(from); took > 200*time.Millisecond {
		t.Errorf("waited %v for a disk known to hang", took)
	}
	release()
	eventually(t, "the journal does not recover", func() bool { return k.intend("d", 0) })
	if k.metric("late") == 0 {
		t.Error("no late attempt was counted")
	}
}

// Consecutive slow commits open the breaker though each of them succeeds.
func TestSlowDisk(t *testing.T) {
	m := NewMemoryDisk(1)
	terms := fastConfig()
	terms.SlowCommitMillis, terms.BreakerBackoffMillis, terms.BreakerMaxBackoffMillis = 5, 60000, 60000
	k := startJournal(t, m, terms)
	m.OnSync = func() { time.Sleep(10 * time.Millisecond) }
	eventually(t, "the breaker does not open", func() bool {
		k.intend("a", 0)
		k.finish("a", 0, txnjournal.OutcomeNotExecuted)
		return k.metric("down") == 1
	})
	if n := k.metric("failures"); n > 0 {
		t.Errorf("%d failures", n)
	}
}

// After a Sync that failed a later one that succeeds does not make its records durable.
func TestFailedSync(t *testing.T) {
	m := NewMemoryDisk(1)
	k := startJournal(t, m, fastConfig())
	k.intend("a", 0)
	m.configure(func(m *MemoryDisk) { m.FailingSyncs = 1 })
	if k.intend("b", 0) {
		t.Error("sent though its sync failed")
	}
	if !k.intend("c", 0) {
		t.Error("one failure opens the breaker")
	}
	k.finish("c", 0, txnjournal.OutcomeCompleted)
	k.Close()
	replay, err := ReadAll(m.Restart(true), fastConfig(), wallMillis(), Visitor{})
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]txnjournal.Verdict{"a": txnjournal.SentUnknown, "b": txnjournal.NotSent,
		"c": txnjournal.SentCompleted} {
		if _, v := replay.Index.Lookup(7, name); v != want {
			t.Errorf("%s: %v, want %v", name, v, want)
		}
	}
}

// A second process at the same journal sends no non-idempotent transaction, whatever the policy, until the
// first has ended.
func TestSecondProcessIsLockedOut(t *testing.T) {
	dir := Dir(t.TempDir())
	terms := fastConfig()
	terms.Policy = txnjournal.ServeUnwritten
	first := startJournal(t, dir, terms)
	if !first.intend("a", 0) {
		t.Fatal("the first process rejects")
	}
	second := startJournal(t, dir, terms)
	time.Sleep(2 * time.Duration(terms.CoverageLeaseMillis) * time.Millisecond)
	if second.intend("b", 0) {
		t.Error("the second process sends")
	}
	if _, _, ok := second.Lookup(7, "a", time.Second); ok {
		t.Error("the second process answers a lookup")
	}
	first.Close()
	eventually(t, "the second process does not take over", func() bool { return second.intend("b", 0) })
	if _, v, ok := second.Lookup(7, "a", 0); !ok || v != txnjournal.SentUnknown {
		t.Errorf("the verdict on what the first process sent is %v", v)
	}
	if second.intend("a", 0) {
		t.Error("what the first process sent is sent again")
	}
}

// Removing segments loses no unknown or completed transaction as far as a checkpoint holds them, the
// verdict on evicted ones is SentUnknown, and the number of segments is bounded.
func TestOldSegmentsAreRemoved(t *testing.T) {
	m := NewMemoryDisk(1)
	terms := fastConfig()
	terms.MaxSegments = 4
	k := startJournal(t, m, terms)
	began := wallMillis()
	k.intend("first", 0)
	for i := range 200 {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26))
		k.intend(name, 0)
		k.finish(name, 0, txnjournal.OutcomeNotExecuted)
	}
	if _, v, _ := k.Lookup(7, "first", 0); v != txnjournal.SentUnknown {
		t.Errorf("the verdict on the first one is %v", v)
	}
	k.Close()
	names, _ := m.Names()
	if len(names) > terms.MaxSegments+1 {
		t.Errorf("%d segments", len(names))
	}
	replay, err := ReadAll(m.Restart(true), terms, wallMillis(), Visitor{})
	if err != nil {
		t.Fatal(err)
	}
	_, v := replay.Index.Lookup(7, "first")
	if v != txnjournal.SentUnknown || replay.Index.FirstLiveSegment() < 2 {
		t.Errorf("after a power cut: %v, first live segment %d", v, replay.Index.FirstLiveSegment())
	}
	if v, _, _ := replay.Index.Resolve("other", began-10000, began, wallMillis()); v != txnjournal.SentUnknown {
		t.Errorf("the verdict for the time before the journal is %v", v)
	}
	if n := len(replay.Index.UncertainPeriods()); n > 0 {
		t.Errorf("uncertain periods: %v", replay.Index.UncertainPeriods())
	}
}

// The verdict on what stood in an unreadable segment is SentUnknown.
func TestUnreadableSegments(t *testing.T) {
	m := NewMemoryDisk(1)
	k := startJournal(t, m, fastConfig())
	k.intend("a", 0)
	k.Close()
	replay, err := ReadAll(unreadableDisk{m}, fastConfig(), wallMillis(), Visitor{})
	if err != nil {
		t.Fatal(err)
	}
	v, _, _ := replay.Index.Resolve("a", wallMillis(), math.Inf(1), wallMillis())
	if v != txnjournal.SentUnknown {
		t.Errorf("%v", v)
	}
}

type unreadableDisk struct{ Disk }

func (unreadableDisk) Load(string) ([]byte, error) { return nil, syscall.EIO }
