package crashstate

import (
	"os"
	"path/filepath"
	"testing"

	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/goldentest"
)

const (
	goldenNow  = 1.7e12  // Unix ms
	goldenUp   = 5e6     // ms since the machine's start
	goldenSize = 1048832 // bytes of the file
	goldenRule = 0x0102030405060708
)

// goldenMachine has this machine stand for the one that the golden file was written on.
func goldenMachine(t *testing.T) {
	t.Cleanup(func() { machine = boot })
	machine = func() ([]byte, float64, error) { return []byte("golden-boot"), goldenUp, nil }
}

func goldenCharter() policy.Settings {
	return policy.Settings{GatewayIndex: 1, GatewayCount: 3, Plans: []policy.Plan{{RateLimitPerSecond: 10,
		RateLimitBurst: 20},
		{RateLimitPerSecond: 30.5, RateLimitBurst: 40.5}}}
}

// goldenResidue is what residue.hex holds: the header and the first places of a file, the rest of which is
// blank. The file was written once, by goldenWrite, before names were changed. It is what a killed process of
// an older version leaves; new code must never write it again.
func goldenResidue() policy.CrashState {
	return policy.CrashState{RateLimitBaseMillis: goldenNow, Window: 40.5, Pressure: 0.25, ResponseMillis: 25.5,
		RateLimits: []policy.SpentRateLimit{
			{Customer: 0x01020304, Plan: 1, FullAtMillis: goldenNow + 5000},
			{Customer: 0xfffefdfc, Plan: 2, FullAtMillis: goldenNow + 6000}}}
}

// goldenWrite has a process leave the golden residue, and gives its file.
func goldenWrite(t *testing.T) []byte {
	goldenMachine(t)
	path := filepath.Join(t.TempDir(), "residue")
	file, left, err := Open(path, Digest(goldenCharter()), goldenNow)
	if left != nil || err != nil {
		t.Fatal(left, err)
	}
	is := goldenResidue()
	for _, s := range is.RateLimits {
		file.Spend(s.Customer, s.Plan, s.FullAtMillis, goldenNow)
	}
	file.Pressed(is.Window, is.Pressure, is.ResponseMillis, goldenNow)
	file.By(goldenRule)
	file.Close()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestGoldenResidue(t *testing.T) {
	old := append(goldentest.Hex(t, "residue.hex"), make([]byte, goldenSize)...)[:goldenSize]
	goldentest.SameBytes(t, goldenWrite(t), old)
	path := filepath.Join(t.TempDir(), "residue")
	if err := os.WriteFile(path, old, 0o600); err != nil {
		t.Fatal(err)
	}
	file, left, err := Open(path, Digest(goldenCharter()), goldenNow)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if left == nil {
		t.Fatal("nothing is found in the old file")
	}
	goldentest.Same(t, *left, goldenResidue())
	if file.Rules() != goldenRule {
		t.Errorf("rules %x, want %x", file.Rules(), uint64(goldenRule))
	}
}
