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

// quick are terms under which a test is over soon.
func fastConfig() txnjournal.Config {
	t := txnjournal.DefaultConfig()
	t.SegmentBytes, t.MaxSegments = 4<<10, 8
	t.CommitWaitMillis, t.SlowCommitMillis, t.CoverageLeaseMillis, t.BreakerBackoffMillis, t.BreakerMaxBackoffMillis = 300, 100, 200, 20, 40
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

// means is one submission, from its intent on.
func (j *Journal) intend(name string, n int) bool {
	ok := j.RecordIntent(
		txnNamed(name),
		txnjournal.AttemptID{Sequence: 1, Ordinal: n},
		"w",
		0,
		time.Now().Add(time.Second),
	)
	if !ok { // as a gate does
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

// until waits for what is to come true soon.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// What ails a disk, and how it is cured.
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

// Under refuse nothing goes out that can't be written down, and soon without waiting for the disk; once it is
// well all goes on, and the journal lacks nothing.
func TestRefuseUnwritten(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run(fault.name, func(t *testing.T) {
			m := NewMemoryDisk(1)
			k := startJournal(t, m, fastConfig())
			if !k.intend("a", 0) {
				t.Fatal("a well disk refuses")
			}
			m.configure(fault.begin)
			rejected := func() bool {
				return !k.intend("b", 0)
			}
			if fault.name != "full" && !rejected() { // a full one is met where a segment ends
				t.Error("it goes out unwritten")
			}
			eventually(t, "it does not give up", func() bool {
				for range 20 { // fill the segment
					k.finish("a", 1, txnjournal.OutcomeUnknown)
				}
				rejected()
				return k.metric("down") == 1
			})
			from := time.Now()
			for range 50 {
				if !rejected() {
					t.Error("it goes out unwritten")
				}
			}
			if took := time.Since(from); took > time.Second {
				t.Errorf("50 wait %v for a disk that is down", took)
			}
			m.configure(fault.repair)
			eventually(t, "it does not come back", func() bool { return k.metric("down") == 0 && k.intend("c", 0) })
			if v := k.metric("doubtful"); v > 0 {
				t.Errorf("%d doubtful", v)
			}
		})
	}
}

// Under serve txns go out unwritten once the promise not to has run out, and not before; the journal then
// says of that time that it does not know, though nothing could be written, also where the process dies
// meanwhile.
func TestServeUnwritten(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		m := NewMemoryDisk(1)
		terms := fastConfig()
		terms.Policy = txnjournal.ServeUnwritten
		k := startJournal(t, m, terms)
		if !k.intend("a", 0) {
			t.Fatal("a well disk refuses")
		}
		m.configure(func(m *MemoryDisk) { m.Unavailable = true })
		from := time.Now()
		if k.intend("early", 0) && time.Since(from) < 90*time.Millisecond {
			t.Error("it goes out while the journal still promises that nothing does")
		}
		eventually(t, "it does not serve", func() bool { return k.intend("b", 0) })
		asked := wallMillis()
		k.finish("b", 0, txnjournal.OutcomeUnknown)
		if _, v, ok := k.Lookup(7, "b", time.Second); !ok || v != txnjournal.SentUnknown {
			t.Errorf("it is not known here: %v", v)
		}
		m.configure(func(m *MemoryDisk) { m.Unavailable = false })
		if crashes {
			m = m.Restart(false)
			time.Sleep(10 * time.Millisecond)
			k = startJournal(t, m, terms)
		}
		eventually(t, "it does not come back", func() bool { return k.intend("c", 0) })
		b, _, _, _, err := ReadAll(m, terms, wallMillis(), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		if v, _, _ := b.Resolve("never seen", asked, asked, wallMillis()); v != txnjournal.SentUnknown {
			t.Errorf("dies %v: in the time unwritten: %v", crashes, v)
		}
	}
}

// A life under serve whose journal never knew of it sends nothing unwritten. Guards against a life that
// leaves no trace, between two whose journals have everything.
func TestServeNeedsDurableCoverage(t *testing.T) {
	m := NewMemoryDisk(1)
	m.FreeBytes = 0
	terms := fastConfig()
	terms.Policy = txnjournal.ServeUnwritten
	k := startJournal(t, m, terms)
	for end := time.Now().Add(3 * 200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if k.intend("a", 0) {
			t.Fatal("it goes out, and nothing tells that it may have")
		}
	}
	m.configure(func(m *MemoryDisk) { m.FreeBytes = -1 })
	eventually(t, "it does not begin", func() bool { return k.intend("a", 0) })
	m.configure(func(m *MemoryDisk) { m.Unavailable = true })
	eventually(t, "it does not serve", func() bool { return k.intend("b", 0) })
}

// A disk that hangs holds nobody up for longer than the wait, and once it is known to hang nobody at all.
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
		t.Error("it goes out unwritten")
	}
	if took := time.Since(from); took > 900*time.Millisecond {
		t.Errorf("waited %v", took)
	}
	from = time.Now()
	if k.intend("c", 0) {
		t.Error("it goes out unwritten")
	}
	if took := time.Since(from); took > 200*time.Millisecond {
		t.Errorf("waited %v for a disk that hangs", took)
	}
	release()
	eventually(t, "it does not come back", func() bool { return k.intend("d", 0) })
	if k.metric("late") == 0 {
		t.Error("nobody was late")
	}
}

// Slow writes one after another count as failures, though each goes well in the end.
func TestSlowDisk(t *testing.T) {
	m := NewMemoryDisk(1)
	terms := fastConfig()
	terms.SlowCommitMillis, terms.BreakerBackoffMillis, terms.BreakerMaxBackoffMillis = 5, 60000, 60000
	k := startJournal(t, m, terms)
	m.OnSync = func() { time.Sleep(10 * time.Millisecond) }
	eventually(t, "it is not left alone", func() bool {
		k.intend("a", 0)
		k.finish("a", 0, txnjournal.OutcomeNotExecuted)
		return k.metric("down") == 1
	})
	if n := k.metric("failures"); n > 0 {
		t.Errorf("%d failures", n)
	}
}

// A sync that fails and then "succeeds": what was to be synced is not taken for written.
func TestFailedSync(t *testing.T) {
	m := NewMemoryDisk(1)
	k := startJournal(t, m, fastConfig())
	k.intend("a", 0)
	m.configure(func(m *MemoryDisk) { m.FailingSyncs = 1 })
	if k.intend("b", 0) {
		t.Error("it goes out though its sync failed")
	}
	if !k.intend("c", 0) {
		t.Error("one failure takes the journal down")
	}
	k.finish("c", 0, txnjournal.OutcomeCompleted)
	k.Close()
	b, _, _, _, err := ReadAll(m.Restart(true), fastConfig(), wallMillis(), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]txnjournal.Verdict{"a": txnjournal.SentUnknown, "b": txnjournal.NotSent,
		"c": txnjournal.SentCompleted} {
		if _, v := b.Lookup(7, name); v != want {
			t.Errorf("%s: %v, want %v", name, v, want)
		}
	}
}

// Two at one journal: the second sends nothing once-only, whatever the policy, until the first has ended.
func TestSecondProcessIsLockedOut(t *testing.T) {
	dir := Dir(t.TempDir())
	terms := fastConfig()
	terms.Policy = txnjournal.ServeUnwritten
	first := startJournal(t, dir, terms)
	if !first.intend("a", 0) {
		t.Fatal("the first refuses")
	}
	second := startJournal(t, dir, terms)
	time.Sleep(2 * time.Duration(terms.CoverageLeaseMillis) * time.Millisecond)
	if second.intend("b", 0) {
		t.Error("the second writes, or serves unwritten")
	}
	if _, _, ok := second.Lookup(7, "a", time.Second); ok {
		t.Error("the second knows")
	}
	first.Close()
	eventually(t, "the second does not take over", func() bool { return second.intend("b", 0) })
	if _, v, ok := second.Lookup(7, "a", 0); !ok || v != txnjournal.SentUnknown {
		t.Errorf("what the first has sent: %v", v)
	}
	if second.intend("a", 0) {
		t.Error("what the first has sent goes out again")
	}
}

// Segments that are let go take no unknown or settled txn with them, as far as there is room, and what has
// been forgotten is in doubt, not unsent; the disk's use is bounded.
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
		t.Errorf("the first one: %v", v)
	}
	k.Close()
	names, _ := m.Names()
	if len(names) > terms.MaxSegments+1 {
		t.Errorf("%d segments", len(names))
	}
	b, _, _, _, err := ReadAll(m.Restart(true), terms, wallMillis(), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, v := b.Lookup(7, "first"); v != txnjournal.SentUnknown || b.FirstLiveSegment() < 2 {
		t.Errorf("after a power cut: %v, below %d", v, b.FirstLiveSegment())
	}
	if v, _, _ := b.Resolve("other", began-10000, began, wallMillis()); v != txnjournal.SentUnknown {
		t.Errorf("before the journal began: %v", v)
	}
	if n := len(b.UncertainPeriods()); n > 0 {
		t.Errorf("doubts: %v", b.UncertainPeriods())
	}
}

// What can't be read at a start is in doubt.
func TestUnreadableSegments(t *testing.T) {
	m := NewMemoryDisk(1)
	k := startJournal(t, m, fastConfig())
	k.intend("a", 0)
	k.Close()
	b, _, _, _, err := ReadAll(unreadableDisk{m}, fastConfig(), wallMillis(), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if v, _, _ := b.Resolve("a", wallMillis(), math.Inf(1), wallMillis()); v != txnjournal.SentUnknown {
		t.Errorf("%v", v)
	}
}

type unreadableDisk struct{ Disk }

func (unreadableDisk) Load(string) ([]byte, error) { return nil, syscall.EIO }
