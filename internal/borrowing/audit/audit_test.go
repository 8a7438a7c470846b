package audit

import (
	"strings"
	"testing"

	"willowdeck/internal/testkit/history"
)

// Each way to go wrong is found, alone in a record that is else right, and the right one has none.
func TestCheckFindsViolations(t *testing.T) {
	type e = history.Event
	check := func(all []e) Report {
		return Check(
			history.Record{Events: all},
			func(e) CreditLine { return CreditLine{Units: 12, RepayMillis: 100} },
			func(who string) string { return who },
			10,
		)
	}
	base := []e{
		{At: 1e6, Who: "0", Kind: history.Holds, Says: "none", Serial: 1},
		{At: 1e6, Who: "0", Kind: history.Holds, Units: 6},
		{At: 1e6, Who: "1", Kind: history.Holds, Says: "none", Serial: 1},
		{At: 1e6, Who: "1", Kind: history.Holds, Units: 6},
		{At: 2e6, Who: "0", Kind: history.Lends, Units: 4},
		{At: 3e6, Who: "1", Kind: history.Hands, Peer: "0", Units: 3, Serial: 3000},
		{At: 4e6, Who: "0", Kind: history.Takes, Peer: "1", Units: 3, Serial: 3000},
		{At: 5e6, Who: "0", Kind: history.Lends, Units: 5},
		{At: 6e6, Who: "0", Kind: history.Hands, Says: "debt", Peer: "1", Units: 4, Serial: 4000},
		{At: 7e6, Who: "1", Kind: history.Takes, Says: "debt", Peer: "0", Units: 4, Serial: 4000},
		{At: 8e6, Who: "0", Kind: history.Repays, Units: 5}, {At: 9e6, Who: "1", Kind: history.Repays, Units: 4},
	}
	for _, c := range []struct {
		name, says string
		at         int // of what is put in; the base's end where nought
		more       []e
	}{
		{"right", "", 0, nil},
		{"beyond its right", "lends with a right", 5, []e{{At: 2e6, Who: "0", Kind: history.Lends, Units: 3}}},
		{"a right twice", "takes a right again", 7,
			[]e{{At: 4e6, Who: "0", Kind: history.Takes, Peer: "1", Units: 3, Serial: 3000}}},
		{"a right that nobody gave", "that were handed on", 4,
			[]e{{At: 2e6, Who: "0", Kind: history.Takes, Peer: "1", Units: 1, Serial: 1000}}},
		{"a debt twice", "takes a debt again", 10,
			[]e{{At: 7e6, Who: "1", Kind: history.Takes, Says: "debt", Peer: "0", Units: 4, Serial: 4000}}},
		{"handed on beyond its right", "hands on", 4,
			[]e{{At: 2e6, Who: "1", Kind: history.Hands, Peer: "0", Units: 7, Serial: 7000}}},
		{"paid twice", "does not owe", 0, []e{{At: 10e6, Who: "1", Kind: history.Repays, Units: 4}}},
		{"paid late", "late", 5, []e{{At: 2e6, Who: "0", Kind: history.Lends, Units: 1},
			{At: 200e6, Who: "0", Kind: history.Repays, Units: 1}}},
		{"a right out of nothing", "of a line of", 4, []e{{At: 2e6, Who: "1", Kind: history.Holds, Units: 7}}},
		{"earned that was not drawn", "earns", 0, []e{{At: 10e6, Who: "1", Kind: history.Repays, Says: "earned",
			Units: 1}}},
	} {
		all := append([]e(nil), base...)
		if c.at == 0 {
			c.at = len(base)
		}
		all = append(append(all[:c.at:c.at], c.more...), base[c.at:]...)
		a := check(all)
		says := strings.Join(a.Violations, "\n")
		if (c.says == "") != (a.ViolationCount == 0) || !strings.Contains(says, c.says) {
			t.Errorf("%s: %d broken: %s", c.name, a.ViolationCount, says)
		}
		if c.says == "" && (a.Lent != 9 || a.Repaid != 9 || a.DebtMoved != 4 || a.PeakDrawnShare != 0.75) {
			t.Errorf("%s: %+v", c.name, a)
		}
	}
	// A debt of one that was killed, taken by another: it has the time that its giver had since it came back.
	late := append(append([]e(nil), base[:8]...), e{At: 150e6, Who: "0", Kind: history.Began, Incarnation: 2},
		e{At: 151e6, Who: "0", Kind: history.Hands, Says: "debt", Peer: "1", Units: 4, Serial: 4000},
		e{At: 152e6, Who: "1", Kind: history.Takes, Says: "debt", Peer: "0", Units: 4, Serial: 4000})
	for at, times := range map[int64]int{200e6: 0, 300e6: 1} {
		a := check(append(late[:len(late):len(late)], e{At: at, Who: "1", Kind: history.Repays, Units: 4}))
		if a.ViolationCount != times || (a.RepaidLate > 0) != (times > 0) {
			t.Errorf("paid back at %d: %+v", at, a)
		}
	}
	// What is on its way over a cut link nobody can pay back: that time is not counted, and told.
	slow := append(append([]e(nil), base[:9]...), e{At: 506e6, Who: "1", Kind: history.Takes, Says: "debt",
		Peer: "0", Units: 4, Serial: 4000})
	for at, times := range map[int64]int{600e6: 0, 650e6: 1} {
		a := check(append(slow[:len(slow):len(slow)], e{At: at, Who: "1", Kind: history.Repays, Units: 4}))
		if a.ViolationCount != times || a.LongestTransitMillis != 500 {
			t.Errorf("on its way for 500 ms and paid back at %d: %+v", at, a)
		}
	}
	forgot := append(append([]e(nil), base[:5]...), e{At: 3e6, Who: "0", Kind: history.Holds, Says: "owed",
		Units: 1})
	if a := check(forgot); a.DebtForgotten != 3 {
		t.Errorf("a debt forgotten: %+v", a)
	}
}
