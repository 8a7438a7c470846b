package lifecycle

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/gateway/config"
)

// borrowingStat gives one of a process's stats of borrowing; -1 where it has none.
func borrowingStat(g *Gateway, name string) int64 {
	for _, m := range g.Stats().Extra {
		if m.Name == "credit."+name {
			return m.Value
		}
	}
	return -1
}

// TestBorrowingAtReplacement: a successor takes over the ledger. What is owed stays owed, and no more is
// lent than the credit line.
func TestBorrowingAtReplacement(t *testing.T) {
	d, change := deployWithInheritedListener(t, `"rate":0.1,"most_at_once":1`,
		`"rate":2,"most_at_once":2,"credit_s":1,"repay_s":60`)
	ledgerPath := filepath.Join(t.TempDir(), "residue")
	withCrashState := func(c *config.Gateway) {
		change(c)
		c.CrashStatePath = ledgerPath
	}
	first := d.startSuccessor(withCrashState)
	d.gateway.Stop()
	n, passed := 0, 0
	sendTiny := func(times int) {
		for range times {
			n++
			s, _ := d.send(strings.Replace(checkRequest("/check", fmt.Sprint("t", n)), "basic", "tiny", 1))
			if s == "HTTP/1.1 200 OK" {
				passed++
			}
		}
	}
	// Refills go to the quota first: how long all of it takes depends on the machine.
	within := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(15 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %d passed, %d is owed, %d of rights", what, passed, borrowingStat(first, "outstanding"),
					borrowingStat(first, "rights"))
			}
		}
	}
	sendTiny(4) // a new ledger takes the credit line as used
	within("the credit line is not earned", func() bool { return borrowingStat(first, "rights") == 2 })
	time.Sleep(3 * time.Second) // figures are rounded: the last half unit is earned within 0.75 s
	if sendTiny(12); borrowingStat(first, "outstanding") != 2 {
		t.Fatalf("%d passed, %d is owed", passed, borrowingStat(first, "outstanding"))
	}
	second := d.startSuccessor(withCrashState)
	first.Stop()
	within("the ledger is not taken over", func() bool { return borrowingStat(second, "customers") == 1 })
	before := borrowingStat(second, "outstanding") // refills in between may have repaid a part of it
	sendTiny(6)
	if lent, paid := borrowingStat(second, "lent"), borrowingStat(second, "repaid"); before < 1 || lent > paid ||
		borrowingStat(second, "outstanding") > 2 {
		t.Errorf("%d was owed, %d more is lent and %d repaid, %d is owed", before, lent, paid,
			borrowingStat(second, "outstanding"))
	}
	second.Stop()
}
