package distribution

import (
	"testing"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// TestRateWithAllGone guards against a wave where nobody above knows anything: whether they are silent,
// refuse, or have nothing to say, a follower asks as often as ever, but for one row in which it tries all.
func TestRequestRateWithoutUsefulUpstream(t *testing.T) {
	// Counted once what is told is of this life: before that two are asked in a slot, as one may have more.
	const first, last, every = 3000.0, 23000.0, 50.0
	for what, end := range map[string]func(*Follower, Action, float64){
		"refuse at once":      func(f *Follower, d Action, now float64) { f.RequestFailed(d.Upstream, now) },
		"lie still":           func(*Follower, Action, float64) {},
		"have nothing":        respondWithoutState(0),
		"have what is lapsed": respondWithoutState(2000),
		"had what is lapsed":  respondFromFrozenRead(1000),
	} {
		f := NewFollower(FollowerConfig{Name: "r", Cluster: "till", Upstreams: 3,
			Interest:    ruleset.Interest{All: true},
			LeaseMillis: 1000, RequestsPerLease: 20, Seed: 1}, 0)
		asks := 0
		for now := 0.0; now < last; now++ {
			f.AdvanceClock(now)
			for d, ok := f.NextAction(); ok; d, ok = f.NextAction() {
				if d.Kind == SendRequest {
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
func respondWithoutState(age float64) func(*Follower, Action, float64) {
	return func(f *Follower, d Action, now float64) {
		a := &Response{FormatVersion: FormatVersion, Cluster: "till", Sender: "p", Incarnation: 1,
			Nonce: d.Request.Nonce, DiscoveryIndex: -1}
		if age > 0 {
			a.Step, a.AgeMillis = 3, age
			a.Rules.Number, a.Rules.Digest[0] = 1, 1
		}
		f.HandleResponse(d.Upstream, now, a)
	}
}

// frozen answers well up to a moment, and from then on with the same read, older and older.
func respondFromFrozenRead(from float64) func(*Follower, Action, float64) {
	rules := versioned.New(1, []versioned.Entry{{Key: "rules", Value: []byte{0xa0}}})
	return func(f *Follower, d Action, now float64) {
		f.HandleResponse(d.Upstream, now, &Response{FormatVersion: FormatVersion, Cluster: "till", Sender: "p",
			Incarnation: 1, Nonce: d.Request.Nonce,
			DiscoveryIndex: -1, Step: 3, AgeMillis: max(now-from, 0), Rules: rules.ID(),
			RulesDelta: versioned.FullDelta(rules)})
	}
}
