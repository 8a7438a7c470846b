package ruleset

import "testing"

func TestConflictingPlan(t *testing.T) {
	fall := func(c float64, who string) AllowanceSet { return fallbackAllowances(smallRules(c, who)) }
	for _, c := range []struct {
		name string
		held []AllowanceSet
		next *Rules
		want string
	}{
		{"half of it", []AllowanceSet{fall(96, "ab")}, smallRules(48, "ab"), ""},
		{"less than half", []AllowanceSet{fall(96, "ab")}, smallRules(47, "ab"), "p"},
		{"one more", []AllowanceSet{fall(96, "ab")}, smallRules(96, "abc"), ""},
		{"one less, who may be cut off", []AllowanceSet{fall(96, "abc")}, smallRules(96, "ab"), "p"},
		{"one less, who knows", []AllowanceSet{fall(96, "abc").narrowed(smallRules(96, "ab"))}, smallRules(96,
			"ab"), ""},
		{"one in the place of another", []AllowanceSet{fall(96, "ab")}, smallRules(96, "cb"), "p"},
		{"each fits alone, together they do not", []AllowanceSet{fall(48, "a"), fall(96, ".b")}, smallRules(60,
			"...cd"), "p"},
	} {
		if got := ConflictingPlan(c.held, c.next); got != c.want {
			t.Errorf("%s: %q", c.name, got)
		}
	}
}
