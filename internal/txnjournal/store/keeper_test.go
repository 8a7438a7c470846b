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
func quick() txnjournal.Terms {
	t := txnjournal.DefaultTerms()
	t.Segment, t.Segments = 4<<10, 8
	t.Wait, t.Slow, t.Lease, t.Pause, t.MostPause = 300, 100, 200, 20, 40
	return t
}

func keep(t *testing.T, d Disk, terms txnjournal.Terms) *Keeper {
	t.Helper()
	k := Keep(d, terms, Who{Name: "g"}, false, 1, zerolog.Nop())
	t.Cleanup(k.Close)
	return k
}

func mark(name string) txnjournal.Txn {
	return txnjournal.Txn{Customer: 7, Mark: name, Product: "issue"}
}

// means is one submission, from its intent on.
func (k *Keeper) means(name string, n int) bool {
	ok := k.Meant(mark(name), txnjournal.Sub{Number: 1, N: n}, "w", 0, time.Now().Add(time.Second))
	if !ok { // as a gate does
		k.ends(name, n, txnjournal.Never)
	}
	return ok
}

func (k *Keeper) ends(name string, n int, end txnjournal.End) {
	k.Ended(mark(name), txnjournal.Sub{Number: 1, N: n}, "w", end, txnjournal.Answer{})
}

func (k *Keeper) figure(name string) (v int64) {
	k.Figures(func(n string, x int64) {
		if n == "journal."+name {
			v = x
		}
	})
	return v
}

// until waits for what is to come true soon.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// What ails a disk, and how it is cured.
var ails = []struct {
	name        string
	begin, cure func(*Memory)
}{
	{"full", func(m *Memory) { m.Room = 0 }, func(m *Memory) { m.Room = -1 }},
	{"read-only", func(m *Memory) { m.ReadOnly = true }, func(m *Memory) { m.ReadOnly = false }},
	{"gone", func(m *Memory) { m.Away = true }, func(m *Memory) { m.Away = false }},
}

func (m *Memory) script(f func(*Memory)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
}

// Under refuse nothing goes out that can't be written down, and soon without waiting for the disk; once it is
// well all goes on, and the journal lacks nothing.
func TestRefuses(t *testing.T) {
	for _, ail := range ails {
		t.Run(ail.name, func(t *testing.T) {
			m := NewMemory(1)
			k := keep(t, m, quick())
			if !k.means("a", 0) {
				t.Fatal("a well disk refuses")
			}
			m.script(ail.begin)
			refused := func() bool {
				return !k.means("b", 0)
			}
			if ail.name != "full" && !refused() { // a full one is met where a segment ends
				t.Error("it goes out unwritten")
			}
			until(t, "it does not give up", func() bool {
				for range 20 { // fill the segment
					k.ends("a", 1, txnjournal.MayRun)
				}
				refused()
				return k.figure("down") == 1
			})
			from := time.Now()
			for range 50 {
				if !refused() {
					t.Error("it goes out unwritten")
				}
			}
			if took := time.Since(from); took > time.Second {
				t.Errorf("50 wait %v for a disk that is down", took)
			}
			m.script(ail.cure)
			until(t, "it does not come back", func() bool { return k.figure("down") == 0 && k.means("c", 0) })
			if v := k.figure("doubtful"); v > 0 {
				t.Errorf("%d doubtful", v)
			}
		})
	}
}

// Under serve txns go out unwritten once the promise not to has run out, and not before; the journal then
// says of that time that it does not know, though nothing could be written, also where the process dies
// meanwhile.
func TestServesInDoubt(t *testing.T) {
	for _, dies := range []bool{false, true} {
		m := NewMemory(1)
		terms := quick()
		terms.Policy = txnjournal.Serve
		k := keep(t, m, terms)
		if !k.means("a", 0) {
			t.Fatal("a well disk refuses")
		}
		m.script(func(m *Memory) { m.Away = true })
		from := time.Now()
		if k.means("early", 0) && time.Since(from) < 90*time.Millisecond {
			t.Error("it goes out while the journal still promises that nothing does")
		}
		until(t, "it does not serve", func() bool { return k.means("b", 0) })
		asked := wall()
		k.ends("b", 0, txnjournal.MayRun)
		if _, v, ok := k.Known(7, "b", time.Second); !ok || v != txnjournal.SentUnknown {
			t.Errorf("it is not known here: %v", v)
		}
		m.script(func(m *Memory) { m.Away = false })
		if dies {
			m = m.After(false)
			time.Sleep(10 * time.Millisecond)
			k = keep(t, m, terms)
		}
		until(t, "it does not come back", func() bool { return k.means("c", 0) })
		b, _, _, _, err := ReadAll(m, terms, wall(), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		if v, _, _ := b.Answers("never seen", asked, asked, wall()); v != txnjournal.SentUnknown {
			t.Errorf("dies %v: in the time unwritten: %v", dies, v)
		}
	}
}

// A life under serve whose journal never knew of it sends nothing unwritten. Guards against a life that
// leaves no trace, between two whose journals have everything.
func TestServeNeedsAPromise(t *testing.T) {
	m := NewMemory(1)
	m.Room = 0
	terms := quick()
	terms.Policy = txnjournal.Serve
	k := keep(t, m, terms)
	for end := time.Now().Add(3 * 200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if k.means("a", 0) {
			t.Fatal("it goes out, and nothing tells that it may have")
		}
	}
	m.script(func(m *Memory) { m.Room = -1 })
	until(t, "it does not begin", func() bool { return k.means("a", 0) })
	m.script(func(m *Memory) { m.Away = true })
	until(t, "it does not serve", func() bool { return k.means("b", 0) })
}

// A disk that hangs holds nobody up for longer than the wait, and once it is known to hang nobody at all.
func TestDiskHangs(t *testing.T) {
	m := NewMemory(1)
	k := keep(t, m, quick())
	k.means("a", 0)
	hung := make(chan bool)
	var once sync.Once
	free := func() { once.Do(func() { close(hung) }) }
	defer free()
	m.Hang(hung)
	from := time.Now()
	if k.means("b", 0) {
		t.Error("it goes out unwritten")
	}
	if took := time.Since(from); took > 900*time.Millisecond {
		t.Errorf("waited %v", took)
	}
	from = time.Now()
	if k.means("c", 0) {
		t.Error("it goes out unwritten")
	}
	if took := time.Since(from); took > 200*time.Millisecond {
		t.Errorf("waited %v for a disk that hangs", took)
	}
	free()
	until(t, "it does not come back", func() bool { return k.means("d", 0) })
	if k.figure("late") == 0 {
		t.Error("nobody was late")
	}
}

// Slow writes one after another count as failures, though each goes well in the end.
func TestDiskSlow(t *testing.T) {
	m := NewMemory(1)
	terms := quick()
	terms.Slow, terms.Pause, terms.MostPause = 5, 60000, 60000
	k := keep(t, m, terms)
	m.Slow = func() { time.Sleep(10 * time.Millisecond) }
	until(t, "it is not left alone", func() bool {
		k.means("a", 0)
		k.ends("a", 0, txnjournal.Never)
		return k.figure("down") == 1
	})
	if n := k.figure("failures"); n > 0 {
		t.Errorf("%d failures", n)
	}
}

// A sync that fails and then "succeeds": what was to be synced is not taken for written.
func TestSyncFailsOnce(t *testing.T) {
	m := NewMemory(1)
	k := keep(t, m, quick())
	k.means("a", 0)
	m.script(func(m *Memory) { m.FailSync = 1 })
	if k.means("b", 0) {
		t.Error("it goes out though its sync failed")
	}
	if !k.means("c", 0) {
		t.Error("one failure takes the journal down")
	}
	k.ends("c", 0, txnjournal.Settled)
	k.Close()
	b, _, _, _, err := ReadAll(m.After(true), quick(), wall(), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]txnjournal.Verdict{"a": txnjournal.SentUnknown, "b": txnjournal.NotSent,
		"c": txnjournal.SentSettled} {
		if _, v := b.Known(7, name); v != want {
			t.Errorf("%s: %v, want %v", name, v, want)
		}
	}
}

// Two at one journal: the second sends nothing once-only, whatever the policy, until the first has ended.
func TestTwoAtOneJournal(t *testing.T) {
	dir := Dir(t.TempDir())
	terms := quick()
	terms.Policy = txnjournal.Serve
	first := keep(t, dir, terms)
	if !first.means("a", 0) {
		t.Fatal("the first refuses")
	}
	second := keep(t, dir, terms)
	time.Sleep(2 * time.Duration(terms.Lease) * time.Millisecond)
	if second.means("b", 0) {
		t.Error("the second writes, or serves unwritten")
	}
	if _, _, ok := second.Known(7, "a", time.Second); ok {
		t.Error("the second knows")
	}
	first.Close()
	until(t, "the second does not take over", func() bool { return second.means("b", 0) })
	if _, v, ok := second.Known(7, "a", 0); !ok || v != txnjournal.SentUnknown {
		t.Errorf("what the first has sent: %v", v)
	}
	if second.means("a", 0) {
		t.Error("what the first has sent goes out again")
	}
}

// Segments that are let go take no unknown or settled txn with them, as far as there is room, and what has
// been forgotten is in doubt, not unsent; the disk's use is bounded.
func TestSegmentsAreLetGo(t *testing.T) {
	m := NewMemory(1)
	terms := quick()
	terms.Segments = 4
	k := keep(t, m, terms)
	began := wall()
	k.means("first", 0)
	for i := range 200 {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26))
		k.means(name, 0)
		k.ends(name, 0, txnjournal.Never)
	}
	if _, v, _ := k.Known(7, "first", 0); v != txnjournal.SentUnknown {
		t.Errorf("the first one: %v", v)
	}
	k.Close()
	names, _ := m.Names()
	if len(names) > terms.Segments+1 {
		t.Errorf("%d segments", len(names))
	}
	b, _, _, _, err := ReadAll(m.After(true), terms, wall(), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, v := b.Known(7, "first"); v != txnjournal.SentUnknown || b.Below() < 2 {
		t.Errorf("after a power cut: %v, below %d", v, b.Below())
	}
	if v, _, _ := b.Answers("other", began-10000, began, wall()); v != txnjournal.SentUnknown {
		t.Errorf("before the journal began: %v", v)
	}
	if n := len(b.Doubts()); n > 0 {
		t.Errorf("doubts: %v", b.Doubts())
	}
}

// What can't be read at a start is in doubt.
func TestLoadFails(t *testing.T) {
	m := NewMemory(1)
	k := keep(t, m, quick())
	k.means("a", 0)
	k.Close()
	b, _, _, _, err := ReadAll(unread{m}, quick(), wall(), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if v, _, _ := b.Answers("a", wall(), math.Inf(1), wall()); v != txnjournal.SentUnknown {
		t.Errorf("%v", v)
	}
}

type unread struct{ Disk }

func (unread) Load(string) ([]byte, error) { return nil, syscall.EIO }
