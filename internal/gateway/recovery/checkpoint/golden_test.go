package checkpoint

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/goldentest"
)

const (
	goldenNow      = 1.7e12 // Unix ms
	goldenUptime   = 5e6    // ms
	goldenSlotSize = 4 << 20

	// goldenFields are in the form and not zero: of the state itself 7, of peers 10, of their reports 9, of
	// words 4, of the digest 32, of customers 24 and 8. Others, as a report's Known, are not in the form.
	goldenFields = 94
)

// useGoldenMachine replaces boot ID and uptime by those of the machine that wrote the golden file.
func useGoldenMachine(t *testing.T) {
	t.Helper()
	t.Cleanup(func() { readBoot = readMachineBoot })
	readBoot = func() ([]byte, float64, error) { return []byte("golden-boot"), goldenUptime, nil }
}

func goldenDigest() [32]byte {
	return Digest(policy.Charter{Me: 1, Gatekeepers: 3, LargestUnits: 2.5, PeerInPerS: 4.5, ReportsPerTell: 5,
		Narrow: true, Plans: []policy.Plan{{Rate: 10, Burst: 20, CeilingRate: 30, CeilingDepth: 40, Withheld: 0.5,
			Open: 6, Factor: 7, ExcessShare: 8, ExcessFee: 9, Credit: 11, Repay: 12}}}, 77)
}

// goldenSnapshot is what inventory.hex holds: the one slot of two that is written. The file was written
// once by writeGoldenFile, before names were changed. It is what a killed process of an older version
// leaves; new code must never write it again.
func goldenSnapshot() *Snapshot {
	return &Snapshot{Digest: goldenDigest(),
		LastMessages: []incarnation.MessageID{{Incarnation: 101, Sequence: 102}, {Incarnation: 103, Sequence: 104}},
		State: policy.Estate{At: goldenNow, Started: goldenNow - 9000, NextTell: goldenNow + 105,
			Tight: []float64{0.5, 0.625}, Stay: []float64{120.5, 121.5},
			Peers: []policy.Hearing{
				{Heard: 201.5, Told: 202.5, Owes: 203.5, Spoke: 204.5, Silent: true,
					Last: []policy.Report{{Customer: 205, Plan: 206, Demand: 207.5},
						{Customer: 208, Plan: 209, Demand: 210.5}}},
				{Heard: 211.5, Told: 212.5, Owes: 213.5, Spoke: 214.5, Gone: true,
					Last: []policy.Report{{Customer: 0xfffefdfc, Plan: 216, Demand: 217.5}}}},
			Customers: []policy.Customer{
				{Key: 301, Plan: 302, N: 303, First: 304, Txns: 305, Holding: 306, Level: 307.5, Whole: 308.5,
					Filled: 309.5, Others: 310.5, Flow: 311.5, Held: 312.5, Heard: 313.5, Demand: 314.5,
					Lately: 315.5, Seen: 316.5, CoolSince: 317.5, Unsaid: 318.5, Said: 319.5, SaidAt: 320.5,
					Known: 321.5, Hot: true, Lag: 322.5, Dealt: 323.5},
				{Key: 0xfffefdfc, Plan: 402, N: 403, First: 404, Txns: 405, Holding: 406, Level: 407.5,
					Whole: 408.5}}}}
}

// writeGoldenFile has a Writer write the golden snapshot, and returns the file's content.
func writeGoldenFile(t *testing.T) []byte {
	t.Helper()
	useGoldenMachine(t)
	path := filepath.Join(t.TempDir(), "copy")
	writer, _, rejected, err := Open(path, goldenNow)
	if rejected != ErrNotFound || err != nil { //nolint:errorlint // the bare sentinel is wanted
		t.Fatal(rejected, err)
	}
	if err := writer.writeSlot(goldenSnapshot(), goldenUptime); err != nil {
		t.Fatal(err)
	}
	writer.Close()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestGoldenCheckpoint(t *testing.T) {
	golden := goldentest.Hex(t, "inventory.hex")
	goldentest.SameBytes(t, writeGoldenFile(t), golden)
	path := filepath.Join(t.TempDir(), "copy")
	if err := os.WriteFile(path, golden, 0o600); err != nil {
		t.Fatal(err)
	}
	writer, snapshot, rejected, err := Open(path, goldenNow)
	if snapshot == nil || rejected != nil || err != nil {
		t.Fatal(rejected, err)
	}
	writer.Close()
	goldentest.SameLines(t, goldentest.Leaves(snapshot), goldentest.Leaves(goldenSnapshot()))
	if n := len(goldentest.Leaves(snapshot)) - len(goldentest.Zeros(snapshot)); n != goldenFields {
		t.Errorf("%d fields are set, want %d", n, goldenFields)
	}
}

// TestGoldenSecondSlot: the second slot, which is written next, has the same form.
func TestGoldenSecondSlot(t *testing.T) {
	useGoldenMachine(t)
	path := filepath.Join(t.TempDir(), "copy")
	writer, _, _, err := Open(path, goldenNow)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := writer.writeSlot(goldenSnapshot(), goldenUptime); err != nil {
			t.Fatal(err)
		}
	}
	writer.Close()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	first := goldentest.Hex(t, "inventory.hex")
	second := bytes.Clone(first)
	second[8] = 1                                            // its sequence number
	copy(second[32:36], goldentest.Hex(t, "second.sum.hex")) // and the checksum that follows from that
	goldentest.SameBytes(t, b[:len(first)], first)
	goldentest.SameBytes(t, b[goldenSlotSize:], second)
}
