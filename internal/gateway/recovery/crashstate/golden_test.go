package crashstate

import (
	"os"
	"path/filepath"
	"testing"

	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/goldentest"
)

const (
	goldenNow          = 1.7e12  // Unix ms
	goldenUptime       = 5e6     // ms
	goldenFileSize     = 1048832 // bytes of the file
	goldenRulesVersion = 0x0102030405060708
)

// useGoldenMachine replaces boot ID and uptime by those of the machine that wrote the golden file.
func useGoldenMachine(t *testing.T) {
	t.Helper()
	t.Cleanup(func() { readBoot = readMachineBoot })
	readBoot = func() ([]byte, float64, error) { return []byte("golden-boot"), goldenUptime, nil }
}

func goldenCharter() policy.Settings {
	return policy.Settings{
		GatewayIndex: 1,
		GatewayCount: 3,
		Plans: []policy.Plan{{RateLimitPerSecond: 10, RateLimitBurst: 20},
			{RateLimitPerSecond: 30.5, RateLimitBurst: 40.5}},
	}
}

// goldenResidue is what residue.hex holds: the header and the first slots of a file; the rest is zero. The
// file was written once by writeGoldenFile, before names were changed. It is what a killed process of an
// older version leaves; new code must never write it again.
func goldenResidue() policy.CrashState {
	return policy.CrashState{
		RateLimitBaseMillis: goldenNow,
		Window:              40.5,
		Pressure:            0.25,
		ResponseMillis:      25.5,
		RateLimits: []policy.SpentRateLimit{
			{Customer: 0x01020304, Plan: 1, FullAtMillis: goldenNow + 5000},
			{Customer: 0xfffefdfc, Plan: 2, FullAtMillis: goldenNow + 6000}},
	}
}

// writeGoldenFile has a process leave the golden state, and returns the file's content.
func writeGoldenFile(t *testing.T) []byte {
	t.Helper()
	useGoldenMachine(t)
	path := filepath.Join(t.TempDir(), "residue")
	file, left, err := Open(path, Digest(goldenCharter()), goldenNow)
	if left != nil || err != nil {
		t.Fatal(left, err)
	}
	residue := goldenResidue()
	for _, s := range residue.RateLimits {
		file.RecordSpent(s.Customer, s.Plan, s.FullAtMillis, goldenNow)
	}
	file.RecordLoad(residue.Window, residue.Pressure, residue.ResponseMillis, goldenNow)
	file.SetRulesVersion(goldenRulesVersion)
	file.Close()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestGoldenCrashState(t *testing.T) {
	golden := append(goldentest.Hex(t, "residue.hex"), make([]byte, goldenFileSize)...)[:goldenFileSize]
	goldentest.SameBytes(t, writeGoldenFile(t), golden)
	path := filepath.Join(t.TempDir(), "residue")
	if err := os.WriteFile(path, golden, 0o600); err != nil {
		t.Fatal(err)
	}
	file, residue, err := Open(path, Digest(goldenCharter()), goldenNow)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if residue == nil {
		t.Fatal("nothing was restored from the golden file")
	}
	goldentest.Same(t, *residue, goldenResidue())
	if file.RulesVersion() != goldenRulesVersion {
		t.Errorf("rules %x, want %x", file.RulesVersion(), uint64(goldenRulesVersion))
	}
}
