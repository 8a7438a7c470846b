package lifecycle

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"willowdeck/internal/gateway/config"
)

// owed gives one of a process's figures of credit; below nought where it has none.
func owed(g *Gatekeeper, name string) int64 {
	for _, m := range g.Stats().Extra {
		if m.Name == "credit."+name {
			return m.Value
		}
	}
	return -1
}

// A process that takes another's place takes its book: what is owed stays owed, and no more is lent than the
// line.
func TestDebtAtReplacement(t *testing.T) {
	d, change := heldListener(t, `"rate":0.1,"most_at_once":1`,
		`"rate":2,"most_at_once":2,"credit_s":1,"repay_s":60`)
	book := filepath.Join(t.TempDir(), "residue")
	keeps := func(c *config.Gateway) {
		change(c)
		c.CrashStatePath = book
	}
	first := d.second(keeps)
	d.gk.Stop()
	n, passed := 0, 0
	ask := func(times int) {
		for range times {
			n++
			s, _ := d.ask(strings.Replace(check("/check", fmt.Sprint("t", n)), "basic", "tiny", 1))
			if s == "HTTP/1.1 200 OK" {
				passed++
			}
		}
	}
	// What fill comes meanwhile goes to the quota first: how long all of it takes is the machine's to say.
	within := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(15 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %d passed, %d is owed, %d of rights", what, passed, owed(first, "outstanding"),
					owed(first, "rights"))
			}
		}
	}
	ask(4) // the new book has the line as drawn
	within("the line is not earned", func() bool { return owed(first, "rights") == 2 })
	time.Sleep(3 * time.Second) // figures are rounded: the last half unit is earned within 0.75 s
	if ask(12); owed(first, "outstanding") != 2 {
		t.Fatalf("%d passed, %d is owed", passed, owed(first, "outstanding"))
	}
	second := d.second(keeps)
	first.Stop()
	within("the book is not taken over", func() bool { return owed(second, "customers") == 1 })
	before := owed(second, "outstanding") // what was idle in between may have paid a part of it
	ask(6)
	if lent, paid := owed(second, "lent"), owed(second, "repaid"); before < 1 || lent > paid ||
		owed(second, "outstanding") > 2 {
		t.Errorf("%d was owed, %d more is lent and %d repaid, %d is owed", before, lent, paid,
			owed(second, "outstanding"))
	}
	second.Stop()
}
