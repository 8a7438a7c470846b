package crashstate

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/policy"
)

var digest = Digest(
	policy.Settings{GatewayCount: 2, Plans: []policy.Plan{{RateLimitPerSecond: 10, RateLimitBurst: 20}}},
)

var testClockShift float64

func unixMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// openAt opens a file at a time. The uptime moves with it, but for testClockShift.
func openAt(t *testing.T, path string, now float64) (*File, *policy.CrashState) {
	t.Helper()
	bootID, _, _ := readMachineBoot()
	readBoot = func() ([]byte, float64, error) { return bootID, now - 1e12 - testClockShift, nil }
	defer func() { readBoot = readMachineBoot }()
	file, residue, err := Open(path, digest, now)
	if err != nil {
		t.Fatal(err)
	}
	return file, residue
}

// TestRestore: what was recorded is there at the next start, rate limits that are full again are not, and
// the base stands for what is not known.
func TestRestore(t *testing.T) {
	path, now := filepath.Join(t.TempDir(), "residue"), unixMillis()
	file, residue := openAt(t, path, now)
	if residue != nil {
		t.Fatalf("a first start restores %+v", residue)
	}
	file.RecordSpent(7, 1, now+5000, now)
	file.RecordSpent(1<<32|8, 0, now+100, now)
	file.RecordSpent(7, 1, now+6000, now+10)
	file.RecordLoad(40, 0.2, 25, now+10)
	file.Close()
	file, residue = openAt(t, path, now+1000)
	if residue == nil || residue.RateLimitBaseMillis != now || len(residue.RateLimits) != 1 ||
		residue.RateLimits[0] != (policy.SpentRateLimit{Customer: 7, Plan: 1, FullAtMillis: now + 6000}) ||
		residue.Window != 40 {
		t.Fatalf("restored %+v", residue)
	}
	file.RecordSpent(9, 0, now+9000, now+1000)
	file.Close()
	file, residue = openAt(t, path, now+20000)
	if residue == nil || len(residue.RateLimits) != 0 || residue.RateLimitBaseMillis != now ||
		residue.Window != 0 {
		t.Errorf("later restored %+v", residue)
	}
	file.Invalidate()
	if file, residue = openAt(t, path, now+20000); residue != nil {
		t.Errorf("after another process took over: %+v", residue)
	}
	file.Import(now-50, []policy.SpentRateLimit{{Customer: 3, Plan: 0, FullAtMillis: now + 30000}}, now+20000)
	file.Close()
	file, residue = openAt(t, path, now+20000)
	if residue == nil || residue.RateLimitBaseMillis != now-50 || len(residue.RateLimits) != 1 {
		t.Errorf("imported %+v", residue)
	}
	// A second process creates a file of its own, and the next start ignores the first one's.
	second, other := openAt(t, path, now+20000)
	if other != nil {
		t.Errorf("beside another process: %+v", other)
	}
	file.Close()
	second.Close()
	if second, other = openAt(t, path, now+21000); other == nil || other.RateLimitBaseMillis != now+20000 ||
		len(other.RateLimits) != 0 {
		t.Errorf("after two at once: %+v", other)
	}
	second.Close()
}

// TestCorruptFileIsIgnored: a file of another charter, boot, version or length, or with impossible values,
// is ignored.
func TestCorruptFileIsIgnored(t *testing.T) {
	now := unixMillis()
	for _, c := range []struct {
		name  string
		spoil func(b []byte) []byte
	}{
		{"short", func(b []byte) []byte { return b[:100] }},
		{"long", func(b []byte) []byte { return append(b, 0) }},
		{"version", func(b []byte) []byte { b[7]++; return b }},
		{"charter", func(b []byte) []byte { b[offsetDigest]++; return b }},
		{"machine", func(b []byte) []byte { b[offsetBootID]++; return b }},
		{"a time that is NaN", func(b []byte) []byte { storeFloatIn(b, headerSize, math.NaN()); return b }},
		{"a base that is infinite", func(b []byte) []byte { storeFloatIn(b, offsetBase, math.Inf(1)); return b }},
		{"another digest", func(b []byte) []byte { b[offsetDigest+31]++; return b }},
		{"a base in the future", func(b []byte) []byte { storeFloatIn(b, offsetBase, now+1e6); return b }},
		{"nothing", func(b []byte) []byte { return nil }},
	} {
		path := filepath.Join(t.TempDir(), "residue")
		file, _ := openAt(t, path, now)
		file.RecordSpent(7, 0, now+5000, now)
		file.Close()
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, c.spoil(b), 0o600); err != nil {
			t.Fatal(err)
		}
		file, residue := openAt(t, path, now+10)
		if residue != nil {
			t.Errorf("%s: %+v", c.name, residue)
		}
		file.Close()
		if file, residue = openAt(t, path, now+20); residue == nil || residue.RateLimitBaseMillis != now+10 {
			t.Errorf("%s: at the next start %+v", c.name, residue)
		}
		file.Close()
	}
	if _, _, err := Open(filepath.Join(t.TempDir(), "none", "residue"), digest, now); err == nil {
		t.Error("opened in a directory that does not exist")
	}
}

func storeFloatIn(b []byte, at int, v float64) {
	f := File{data: b}
	f.storeFloat(at, v)
}

// TestClockSetBetweenProcesses: a clock that was set between two processes shifts what was recorded.
func TestClockSetBetweenProcesses(t *testing.T) {
	for _, by := range []float64{-3600e3, 3600e3} {
		path, now := filepath.Join(t.TempDir(), "residue"), unixMillis()
		file, _ := openAt(t, path, now)
		file.RecordSpent(7, 0, now+5000, now)
		file.Close()
		testClockShift = by
		file, residue := openAt(t, path, now+by)
		testClockShift = 0
		if residue == nil || len(residue.RateLimits) != 1 ||
			math.Abs(residue.RateLimits[0].FullAtMillis-(now+5000+by)) > 2*maxClockDrift {
			t.Errorf("clock set by %v: %+v", by, residue)
		}
		file.Close()
	}
}

// TestMoreCustomersThanSlots: a customer without a slot never counts as unspent.
func TestMoreCustomersThanSlots(t *testing.T) {
	path, now := filepath.Join(t.TempDir(), "residue"), unixMillis()
	file, _ := openAt(t, path, now)
	for i := range uint64(slotCount + 10) {
		file.RecordSpent(i, 0, now+5000, now)
	}
	if file.Unrecorded != 10 {
		t.Errorf("%d without a slot", file.Unrecorded)
	}
	file.RecordSpent(slotCount+20, 0, now+20000, now+6000) // by now there are free slots
	if file.Unrecorded != 10 || len(file.slotOf) > slotCount {
		t.Errorf("%d without a slot, %d known", file.Unrecorded, len(file.slotOf))
	}
	file.Close()
	file, residue := openAt(t, path, now+100)
	if residue != nil { // the base is in the future: all count as spent
		t.Errorf("the base is %v ahead", residue.RateLimitBaseMillis-now)
	}
	file.Close()
}

// TestRestoreAfterKill: what a process has recorded before it reports it is there after SIGKILL at any
// time. The process is this test itself; it reports each value that it has recorded, and may be killed in
// the middle of a line.
func TestRestoreAfterKill(t *testing.T) {
	if path := os.Getenv("WILLOWDECK_TEST_RESIDUE"); path != "" {
		file, _, err := Open(path, digest, unixMillis())
		if err != nil {
			t.Fatal(err)
		}
		for i := uint64(0); ; i++ {
			now := unixMillis()
			file.RecordSpent(i%50, 0, now+60000+float64(i), now)
			fmt.Printf("stored %d %.17g\n", i%50, now+60000+float64(i))
		}
	}
	rng := rand.New(rand.NewSource(1))
	path := filepath.Join(t.TempDir(), "residue")
	for range 15 {
		cmd := exec.Command(os.Args[0], "-test.run", "TestRestoreAfterKill")
		cmd.Env = append(os.Environ(), "WILLOWDECK_TEST_RESIDUE="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		reported, lines := map[uint64]float64{}, 0
		for s := bufio.NewScanner(out); s.Scan(); lines++ {
			var key uint64
			var fullAt float64
			if n, _ := fmt.Sscanf(s.Text(), "stored %d %g", &key, &fullAt); n == 2 && strings.Contains(s.Text(), ".") {
				reported[key] = fullAt
			}
			if lines == 50+rng.Intn(400) || lines > 500 {
				_ = cmd.Process.Kill()
			}
		}
		_ = cmd.Wait()
		file, residue, err := Open(path, digest, unixMillis())
		if err != nil {
			t.Fatal(err)
		}
		if residue == nil {
			t.Fatal("nothing was restored")
		}
		got := map[uint64]float64{}
		for _, s := range residue.RateLimits {
			got[s.Customer] = s.FullAtMillis
		}
		for key, fullAt := range reported {
			if got[key] < fullAt-1e-3 { // the last line may be cut within its number
				t.Errorf("customer %d: %v was reported and %v is restored", key, fullAt, got[key])
			}
		}
		file.Close()
	}
}

func BenchmarkRecordSpent(b *testing.B) {
	now := unixMillis()
	file, _, err := Open(filepath.Join(b.TempDir(), "residue"), digest, now)
	if err != nil {
		b.Fatal(err)
	}
	defer file.Close()
	b.ReportAllocs()
	for i := range b.N {
		file.RecordSpent(uint64(i%1000), 0, now+float64(i), now+float64(i))
	}
}

// TestLockOwner checks which process holds a file's lock, and that its lock counts as held.
func TestLockOwner(t *testing.T) {
	path := filepath.Join(t.TempDir(), "residue")
	held, _, _, err := MapLocked(path, fileSize)
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	if pid, err := lockOwner(held); err != nil || pid != os.Getpid() {
		t.Errorf("the holder is %d, not %d: %v", pid, os.Getpid(), err)
	}
	if !lockOwnerRuns(held) {
		t.Error("this process does not run")
	}
	free, err := os.Create(filepath.Join(t.TempDir(), "free"))
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	if pid, err := lockOwner(free); !errors.Is(err, errNoOwner) {
		t.Errorf("a free lock is held by %d: %v", pid, err)
	}
	if lockOwnerRuns(free) {
		t.Error("a lock that nobody has counts as held: it is not tried again")
	}
}
