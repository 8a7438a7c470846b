package checkpoint

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/policy"
)

var digest = Digest(policy.Settings{GatewayCount: 2, Plans: []policy.Plan{{QuotaPerSecond: 10,
	QuotaBurst: 20}}}, 3)

func clock() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// some is a copy at a time, with so many customers whose levels say which copy it is.
func some(at float64, customers int, says float64) *Left {
	l := &Left{Of: digest, Words: []incarnation.MessageID{{}, {Incarnation: 7, Sequence: 8}}}
	e := &l.Estate
	*e = policy.HandoffState{AtMillis: at, StartedAtMillis: at - 9000, NextReportAtMillis: at + 100,
		ShortDeadlineSuccess: []float64{0.9},
		AttemptMillis:        []float64{120}, Peers: []policy.PeerState{{}, {
			HeardAtMillis: at - 10, ReportedAtMillis: at - 20, ReportDueSinceMillis: at - 30,
			ReportsHeardAtMillis: at - 40, Silent: true,
			LastReports: []policy.Report{{Customer: 3, DemandPerSecond: 7}, {Customer: 4, Plan: 1,
				DemandPerSecond: 8}}}}}
	for i := range customers {
		e.Customers = append(e.Customers, policy.CustomerState{ID: uint64(i), Plan: i % 3, SetSize: 2,
			FirstGateway: 1, Requests: i,
			SilentPeers: 1, ShareTokens: says, QuotaTokens: 3, FilledAtMillis: at - 1, PeerDemand: 4,
			PeerSpentUnits: 5, SilentPeerDemand: 6, PeerDemandAtMillis: at - 2, OwnDemand: 7,
			RecentDemand: 8, LastRequestAtMillis: at - 3, CoolSinceMillis: at - 4, UnreportedUnits: 9,
			ReportedDemand: 10, ReportedAtMillis: at - 5, PreviousReportedDemand: 11, Hot: i%2 == 0,
			UncollectedRepayment: 12, CreditAtMillis: at - 6})
	}
	return l
}

// open opens a book at a time by the wall clock, at which the machine has been up for so many ms.
func open(t *testing.T, path string, now, up float64) (*Book, *Left, error) {
	t.Helper()
	machine = func() ([]byte, float64, error) { return []byte("m1"), up, nil }
	t.Cleanup(func() { machine = boot })
	b, e, none, err := Open(path, now)
	if err != nil {
		t.Fatal(err)
	}
	return b, e, none
}

// What was written last is there at the next start, and at the one after it if that is killed before its
// first copy; a clock that was set meanwhile moves its times.
func TestInventory(t *testing.T) {
	path, now := filepath.Join(t.TempDir(), "copy"), clock()
	b, e, none := open(t, path, now, 1e6)
	if e != nil || none != ErrNone {
		t.Fatalf("a first start has %+v, %v", e, none)
	}
	for i := range 3 {
		if err := b.write(some(now+float64(i), 5, float64(i)), 1e6+float64(i)); err != nil {
			t.Fatal(err)
		}
	}
	b.Close()
	for i := range 3 {
		b, e, none = open(t, path, now+100, 1e6+100)
		if want := some(now+2, 5, 2); none != nil || !reflect.DeepEqual(e, want) {
			t.Fatalf("start %d: %v %+v, want %+v", i, none, e, want)
		}
		b.Close()
	}
	for _, by := range []float64{-3600e3, 3600e3} {
		b, e, none = open(t, path, now+100+by, 1e6+100)
		if want := some(now+2+by, 5, 2); none != nil || math.Abs(e.Estate.AtMillis-want.Estate.AtMillis) > 1 ||
			math.Abs(e.Estate.Customers[4].LastRequestAtMillis-want.Estate.Customers[4].LastRequestAtMillis) > 1 ||
			e.Estate.Peers[0].HeardAtMillis != 0 ||
			math.Abs(e.Estate.Peers[1].HeardAtMillis-want.Estate.Peers[1].HeardAtMillis) > 1 {
			t.Errorf("set by %v: %v %+v", by, none, e)
		}
		b.Close()
	}
}

// stopped is a file that stops taking bytes after so many, as if its process were killed there.
type stopped struct {
	*os.File
	left int
}

func (f *stopped) WriteAt(b []byte, at int64) (int, error) {
	n := min(f.left, len(b))
	f.left -= n
	if _, err := f.File.WriteAt(b[:n], at); err != nil || n < len(b) {
		return n, errors.Join(err, errors.New("killed"))
	}
	return n, nil
}

// A kill at any place of a write leaves the older copy or the newer one, whole.
func TestKilledInTheMiddle(t *testing.T) {
	path, now := filepath.Join(t.TempDir(), "copy"), clock()
	whole := header + len(encode(nil, some(now, 3, 0)))
	older, newer := 0, 0
	var places []int // each field of the header, some of the body, and the end
	for at := 0; at < whole-1; at += 4 {
		if at <= header || at%24 == 0 {
			places = append(places, at)
		}
	}
	for _, at := range append(places, whole-1, whole) {
		os.Remove(path)
		b, _, _ := open(t, path, now, 1e6)
		for i := range 3 { // both slots have been in use
			if err := b.write(some(now, 3, float64(i)), 1e6); err != nil {
				t.Fatal(err)
			}
		}
		b.f = &stopped{b.f.(*os.File), at}
		err := b.write(some(now, 3, 3), 1e6)
		b.Close()
		b, e, none := open(t, path, now, 1e6)
		b.Close()
		if none != nil || (err != nil) != (at < whole) {
			t.Fatalf("after %d bytes of %d: %v, %v", at, whole, none, err)
		}
		switch e.Estate.Customers[0].ShareTokens {
		case 2:
			older++
		case 3:
			newer++
		}
		if !reflect.DeepEqual(e, some(now, 3, e.Estate.Customers[0].ShareTokens)) {
			t.Errorf("after %d bytes: %+v", at, e)
		}
	}
	if newer < 1 || older < header/4 { // its last bytes are the same in each
		t.Errorf("%d times the older, %d the newer", older, newer)
	}
}

// A file that is cut, spoilt, of another version, charter or machine is as none, and the next one is good.
func TestSpoilt(t *testing.T) {
	now := clock()
	for _, c := range []struct {
		name  string
		spoil func(b []byte) []byte
		up    float64
		as    error
	}{
		{"cut in its head", func(b []byte) []byte { return b[:100] }, 1e6, ErrSpoilt},
		{"cut in its body", func(b []byte) []byte { return b[:300] }, 1e6, ErrSpoilt},
		{"empty", func(b []byte) []byte { return nil }, 1e6, ErrNone},
		{"too long", func(b []byte) []byte { return make([]byte, 2*slot+1) }, 1e6, ErrSpoilt},
		{"version", func(b []byte) []byte { b[7]++; return b }, 1e6, ErrSpoilt},
		{"length", func(b []byte) []byte { order.PutUint64(b[atLength:], 1<<63); return b }, 1e6, ErrSpoilt},
		{"a bit of its body", func(b []byte) []byte { b[header+40] ^= 4; return b }, 1e6, ErrSpoilt},
		{"a bit of its sum", func(b []byte) []byte { b[atSum] ^= 4; return b }, 1e6, ErrSpoilt},
		{"machine", func(b []byte) []byte { b[atBoot]++; return sealed(b) }, 1e6, ErrMachine},
		{"a machine up for longer then", func(b []byte) []byte { return b }, 1e5, ErrMachine},
		{"a count that is none", func(b []byte) []byte {
			order.PutUint32(b[header:], 1<<31)
			return sealed(b)
		}, 1e6, ErrSpoilt},
		{"a time that is none", func(b []byte) []byte {
			order.PutUint64(b[header+12:], math.Float64bits(math.NaN()))
			return sealed(b)
		}, 1e6, ErrSpoilt},
	} {
		path := filepath.Join(t.TempDir(), "copy")
		b, _, _ := open(t, path, now, 1e6)
		if err := b.write(some(now, 4, 1), 1e6); err != nil {
			t.Fatal(err)
		}
		b.Close()
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		os.WriteFile(path, c.spoil(raw), 0o600)
		b, e, none := open(t, path, now, c.up)
		if e != nil || none != c.as {
			t.Errorf("%s: %v, %+v", c.name, none, e)
		}
		if err := b.write(some(now, 4, 2), c.up); err != nil {
			t.Fatal(err)
		}
		b.Close()
		if b, e, none = open(t, path, now, c.up); none != nil || e.Estate.Customers[3].ShareTokens != 2 {
			t.Errorf("%s: after it %v", c.name, none)
		}
		b.Close()
	}
	if _, _, _, err := Open(filepath.Join(t.TempDir(), "none", "copy"), now); err == nil {
		t.Error("opened in no folder")
	}
}

// A copy says what it depends on: another charter, also one that withholds or goes without words, and another
// version of the rules have another digest.
func TestDigest(t *testing.T) {
	of := func() policy.Settings {
		return policy.Settings{GatewayCount: 2, Plans: []policy.Plan{{QuotaPerSecond: 10, QuotaBurst: 20}}}
	}
	for i, change := range []func(c *policy.Settings, rules *uint64){
		func(c *policy.Settings, _ *uint64) { c.GatewayCount = 3 },
		func(c *policy.Settings, _ *uint64) { c.QuotaWithoutGossip = true },
		func(c *policy.Settings, _ *uint64) { c.Plans[0].WithheldFraction = 0.5 },
		func(c *policy.Settings, _ *uint64) { c.Plans[0].CreditSeconds = 1 },
		func(_ *policy.Settings, rules *uint64) { *rules = 4 }} {
		c, rules := of(), uint64(3)
		if Digest(c, rules) != digest {
			t.Fatal("the same has another")
		}
		if change(&c, &rules); Digest(c, rules) == digest {
			t.Errorf("change %d has the same", i)
		}
	}
	path, now := filepath.Join(t.TempDir(), "copy"), clock()
	b, _, _ := open(t, path, now, 1e6)
	for i, rules := range []uint64{3, 4} { // it changes while a book is written
		l := some(now, 1, float64(i))
		l.Of = Digest(of(), rules)
		if err := b.write(l, 1e6); err != nil {
			t.Fatal(err)
		}
	}
	b.Close()
	if b, l, _ := open(t, path, now, 1e6); l == nil || l.Of != Digest(of(), 4) {
		t.Errorf("the newest is of %+v", l)
	} else {
		b.Close()
	}
}

// sealed gives a slot its checksum anew.
func sealed(b []byte) []byte {
	order.PutUint32(b[atSum:], sum(b))
	return b
}

// Two processes with one file: what the former writes on is not read as the later one's.
func TestTwoProcesses(t *testing.T) {
	path, now := filepath.Join(t.TempDir(), "copy"), clock()
	one, _, _ := open(t, path, now, 1e6)
	two, _, _ := open(t, path, now, 1e6)
	two.write(some(now, 1, 2), 1e6)
	for range 5 {
		one.write(some(now, 1, 1), 1e6)
	}
	one.Close()
	two.Close()
	b, e, _ := open(t, path, now, 1e6)
	if e == nil || e.Estate.Customers[0].ShareTokens != 2 {
		t.Errorf("read %+v", e)
	}
	b.Close()
}

// A real process that is killed at any moment leaves a whole copy that is as new as what it last said, or the
// one after. The process is this test itself.
func TestKilled(t *testing.T) {
	if path := os.Getenv("WILLOWDECK_TEST_INVENTORY"); path != "" {
		b, _, _, err := Open(path, clock())
		if err != nil {
			t.Fatal(err)
		}
		for i := 1; ; i++ {
			if err := b.Write(some(clock(), 2000, float64(i))); err != nil {
				t.Fatal(err)
			}
			fmt.Println("wrote", i)
		}
	}
	rng := rand.New(rand.NewSource(1))
	path := filepath.Join(t.TempDir(), "copy")
	for range 10 {
		cmd := exec.Command(os.Args[0], "-test.run", "^TestKilled$")
		cmd.Env = append(os.Environ(), "WILLOWDECK_TEST_INVENTORY="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		last, kill := 0, 5+rng.Intn(200)
		for s := bufio.NewScanner(out); s.Scan(); {
			n := 0
			if fmt.Sscanf(s.Text(), "wrote %d", &n); n >= last {
				last = n
			}
			if last == kill {
				_ = cmd.Process.Kill()
			}
		}
		_ = cmd.Wait()
		b, e, none, err := Open(path, clock())
		if err != nil || none != nil {
			t.Fatal(err, none)
		}
		b.Close()
		all := e.Estate.Customers
		said := all[0].ShareTokens
		if len(all) != 2000 || said < float64(last)-0.5 && last == kill || all[1999].ShareTokens != said {
			t.Errorf("%d was said, %d customers, %v is left", last, len(all), said)
		}
	}
}

func BenchmarkWrite(b *testing.B) {
	book, _, _, err := Open(filepath.Join(b.TempDir(), "copy"), clock())
	if err != nil {
		b.Fatal(err)
	}
	defer book.Close()
	e := some(clock(), 10000, 1)
	b.ReportAllocs()
	for range b.N {
		if err := book.Write(e); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(book.b)), "bytes")
}
