package crashstate

import (
	"bufio"
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

var digest = Digest(policy.Settings{GatewayCount: 2, Plans: []policy.Plan{{RateLimitPerSecond: 10,
	RateLimitBurst: 20}}})

var shift float64

func unix() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// open opens a residue at a time. The machine's own clock goes with it, but for what shift says.
func open(t *testing.T, path string, now float64) (*File, *policy.CrashState) {
	t.Helper()
	mark, _, _ := boot()
	machine = func() ([]byte, float64, error) { return mark, now - 1e12 - shift, nil }
	defer func() { machine = boot }()
	f, left, err := Open(path, digest, now)
	if err != nil {
		t.Fatal(err)
	}
	return f, left
}

// What is stored is there at the next start, what is full again is not, and what is not known has its base.
func TestResidue(t *testing.T) {
	path, now := filepath.Join(t.TempDir(), "residue"), unix()
	f, left := open(t, path, now)
	if left != nil {
		t.Fatalf("a first start has %+v", left)
	}
	f.Spend(7, 1, now+5000, now)
	f.Spend(1<<32|8, 0, now+100, now)
	f.Spend(7, 1, now+6000, now+10)
	f.Pressed(40, 0.2, 25, now+10)
	f.Close()
	f, left = open(t, path, now+1000)
	if left == nil || left.RateLimitBaseMillis != now || len(left.RateLimits) != 1 ||
		left.RateLimits[0] != (policy.SpentRateLimit{Customer: 7, Plan: 1, FullAtMillis: now + 6000}) ||
		left.Window != 40 {
		t.Fatalf("left %+v", left)
	}
	f.Spend(9, 0, now+9000, now+1000)
	f.Close()
	f, left = open(t, path, now+20000)
	if left == nil || len(left.RateLimits) != 0 || left.RateLimitBaseMillis != now || left.Window != 0 {
		t.Errorf("later %+v", left)
	}
	f.Void()
	if f, left = open(t, path, now+20000); left != nil {
		t.Errorf("of what another process spends on: %+v", left)
	}
	f.Inherit(now-50, []policy.SpentRateLimit{{Customer: 3, Plan: 0, FullAtMillis: now + 30000}}, now+20000)
	f.Close()
	f, left = open(t, path, now+20000)
	if left == nil || left.RateLimitBaseMillis != now-50 || len(left.RateLimits) != 1 {
		t.Errorf("handed on %+v", left)
	}
	// Another process begins a file of its own, and nothing of the former is gone by at the start after it.
	g, other := open(t, path, now+20000)
	if other != nil {
		t.Errorf("beside another process: %+v", other)
	}
	f.Close()
	g.Close()
	if g, other = open(t, path, now+21000); other == nil || other.RateLimitBaseMillis != now+20000 ||
		len(other.RateLimits) != 0 {
		t.Errorf("after two at once: %+v", other)
	}
	g.Close()
}

// A file of another charter, machine, version or length, or with figures that are none, is as none.
func TestResidueSpoilt(t *testing.T) {
	now := unix()
	for _, c := range []struct {
		name  string
		spoil func(b []byte) []byte
	}{
		{"short", func(b []byte) []byte { return b[:100] }},
		{"long", func(b []byte) []byte { return append(b, 0) }},
		{"version", func(b []byte) []byte { b[7]++; return b }},
		{"charter", func(b []byte) []byte { b[atDigest]++; return b }},
		{"machine", func(b []byte) []byte { b[atBoot]++; return b }},
		{"a time that is none", func(b []byte) []byte { put(b, header, math.NaN()); return b }},
		{"a base that is none", func(b []byte) []byte { put(b, atBase, math.Inf(1)); return b }},
		{"another digest", func(b []byte) []byte { b[atDigest+31]++; return b }},
		{"a base to come", func(b []byte) []byte { put(b, atBase, now+1e6); return b }},
		{"nothing", func(b []byte) []byte { return nil }},
	} {
		path := filepath.Join(t.TempDir(), "residue")
		f, _ := open(t, path, now)
		f.Spend(7, 0, now+5000, now)
		f.Close()
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, c.spoil(b), 0o600); err != nil {
			t.Fatal(err)
		}
		f, left := open(t, path, now+10)
		if left != nil {
			t.Errorf("%s: %+v", c.name, left)
		}
		f.Close()
		if f, left = open(t, path, now+20); left == nil || left.RateLimitBaseMillis != now+10 {
			t.Errorf("%s: after it %+v", c.name, left)
		}
		f.Close()
	}
	if _, _, err := Open(filepath.Join(t.TempDir(), "none", "residue"), digest, now); err == nil {
		t.Error("opened in no folder")
	}
}

func put(b []byte, at int, v float64) {
	f := File{b: b}
	f.put(at, v)
}

// A clock that was set between two lives moves what was stored with it.
func TestResidueClockSet(t *testing.T) {
	for _, by := range []float64{-3600e3, 3600e3} {
		path, now := filepath.Join(t.TempDir(), "residue"), unix()
		f, _ := open(t, path, now)
		f.Spend(7, 0, now+5000, now)
		f.Close()
		shift = by
		f, left := open(t, path, now+by)
		shift = 0
		if left == nil || len(left.RateLimits) != 1 ||
			math.Abs(left.RateLimits[0].FullAtMillis-(now+5000+by)) > 2*step {
			t.Errorf("set by %v: %+v", by, left)
		}
		f.Close()
	}
}

// More customers than there are places: what has none is never taken for unspent.
func TestResidueFull(t *testing.T) {
	path, now := filepath.Join(t.TempDir(), "residue"), unix()
	f, _ := open(t, path, now)
	for i := range uint64(places + 10) {
		f.Spend(i, 0, now+5000, now)
	}
	if f.Short != 10 {
		t.Errorf("%d without a place", f.Short)
	}
	f.Spend(places+20, 0, now+20000, now+6000) // by now there are places
	if f.Short != 10 || len(f.by) > places {
		t.Errorf("%d without a place, %d known", f.Short, len(f.by))
	}
	f.Close()
	f, left := open(t, path, now+100)
	if left != nil { // the base lies ahead: all counts as spent anew
		t.Errorf("left base %v ahead", left.RateLimitBaseMillis-now)
	}
	f.Close()
}

// Whatever a process has stored before it tells of it is there after SIGKILL at any moment. The process is
// this test itself; it says each figure that it has stored, and at times is killed in the middle of a line.
func TestResidueKilled(t *testing.T) {
	if path := os.Getenv("WILLOWDECK_TEST_RESIDUE"); path != "" {
		f, _, err := Open(path, digest, unix())
		if err != nil {
			t.Fatal(err)
		}
		for i := uint64(0); ; i++ {
			now := unix()
			f.Spend(i%50, 0, now+60000+float64(i), now)
			fmt.Printf("stored %d %.17g\n", i%50, now+60000+float64(i))
		}
	}
	rng := rand.New(rand.NewSource(1))
	path := filepath.Join(t.TempDir(), "residue")
	for range 15 {
		cmd := exec.Command(os.Args[0], "-test.run", "TestResidueKilled")
		cmd.Env = append(os.Environ(), "WILLOWDECK_TEST_RESIDUE="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		said, lines := map[uint64]float64{}, 0
		for s := bufio.NewScanner(out); s.Scan(); lines++ {
			var key uint64
			var full float64
			if n, _ := fmt.Sscanf(s.Text(), "stored %d %g", &key, &full); n == 2 && strings.Contains(s.Text(), ".") {
				said[key] = full
			}
			if lines == 50+rng.Intn(400) || lines > 500 {
				_ = cmd.Process.Kill()
			}
		}
		_ = cmd.Wait()
		f, left, err := Open(path, digest, unix())
		if err != nil {
			t.Fatal(err)
		}
		if left == nil {
			t.Fatal("nothing is left")
		}
		got := map[uint64]float64{}
		for _, s := range left.RateLimits {
			got[s.Customer] = s.FullAtMillis
		}
		for key, full := range said {
			if got[key] < full-1e-3 { // the last line may be cut within its figure
				t.Errorf("customer %d: %v was said and %v is left", key, full, got[key])
			}
		}
		f.Close()
	}
}

func BenchmarkSpend(b *testing.B) {
	now := unix()
	f, _, err := Open(filepath.Join(b.TempDir(), "residue"), digest, now)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	b.ReportAllocs()
	for i := range b.N {
		f.Spend(uint64(i%1000), 0, now+float64(i), now+float64(i))
	}
}
