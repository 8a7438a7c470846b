package distribution

import (
	"testing"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// TestRateWithAllGone guards against a wave where nobody above knows anything: whether they are silent,
// refuse, or have nothing to say, a follower asks as often as ever, but for one row in which it tries all.
func TestRateWithAllGone(t *testing.T) {
	// Counted once what is told is of this life: before that two are asked in a slot, as one may have more.
	const first, last, every = 3000.0, 23000.0, 50.0
	for what, end := range map[string]func(*Follower, Decision, float64){
		"refuse at once":      func(f *Follower, d Decision, now float64) { f.Failed(d.Upstream, now) },
		"lie still":           func(*Follower, Decision, float64) {},
		"have nothing":        empty(0),
		"have what is lapsed": empty(2000),
		"had what is lapsed":  frozen(1000),
	} {
		f := NewFollower(Config{Name: "r", Cluster: "till", Upstream: 3, Interest: ruleset.Interest{All: true},
			Lease: 1000, PerLease: 20, Seed: 1}, 0)
		asks := 0
		for now := 0.0; now < last; now++ {
			f.Clock(now)
			for d, ok := f.Next(); ok; d, ok = f.Next() {
				if d.Kind == AskOf {
					if now >= first {
						asks++
					}
					end(f, d, now)
				}
			}
		}
		if most := int((last-first)/every) + 3; asks > most || asks < most/6 {
			t.Errorf("where all %s: %d asks in %.0f s, of %d slots", what, asks, (last-first)/1000, most)
		}
	}
}

// empty answers with nothing, or with a step of an age.
func empty(age float64) func(*Follower, Decision, float64) {
	return func(f *Follower, d Decision, now float64) {
		a := &Answer{Form: Form, Cluster: "till", From: "p", Life: 1, Number: d.Ask.Number, Index: -1}
		if age > 0 {
			a.Step, a.Age = 3, age
			a.Rules.Number, a.Rules.Digest[0] = 1, 1
		}
		f.Heard(d.Upstream, now, a)
	}
}

// frozen answers well up to a moment, and from then on with the same read, older and older.
func frozen(from float64) func(*Follower, Decision, float64) {
	rules := versioned.New(1, []versioned.Entry{{Key: "rules", Value: []byte{0xa0}}})
	return func(f *Follower, d Decision, now float64) {
		f.Heard(d.Upstream, now, &Answer{Form: Form, Cluster: "till", From: "p", Life: 1, Number: d.Ask.Number,
			Index: -1, Step: 3, Age: max(now-from, 0), Rules: rules.ID(), RulesDelta: versioned.FullDelta(rules)})
	}
}
