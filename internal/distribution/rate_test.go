package distribution

import (
	"testing"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

// TestRequestRateWithoutUsefulUpstream guards against a retry storm where no upstream has a useful response:
// whether they are silent, reject, or know nothing, the request rate stays the same but for one slot in which
// all are tried.
func TestRequestRateWithoutUsefulUpstream(t *testing.T) {
	// Requests count once responses rest on reads since the start: before that two are sent in a slot.
	const first, last, every = 3000.0, 23000.0, 50.0
	for behaviour, respond := range map[string]func(*Follower, Action, float64){
		"reject at once":           func(f *Follower, d Action, now float64) { f.RequestFailed(d.Upstream, now) },
		"are silent":               func(*Follower, Action, float64) {},
		"know nothing":             respondWithoutState(0),
		"have an expired state":    respondWithoutState(2000),
		"had a state that expires": respondFromFrozenRead(1000),
	} {
		f := NewFollower(FollowerConfig{Name: "r", Cluster: "till", Upstreams: 3,
			Interest:    ruleset.Interest{All: true},
			LeaseMillis: 1000, RequestsPerLease: 20, Seed: 1}, 0)
		requests := 0
		for now := 0.0; now < last; now++ {
			f.AdvanceClock(now)
			for d, ok := f.NextAction(); ok; d, ok = f.NextAction() {
				if d.Kind == SendRequest {
					if now >= first {
						requests++
					}
					respond(f, d, now)
				}
			}
		}
		if maxRequests := int((last-first)/every) + 3; requests > maxRequests || requests < maxRequests/6 {
			t.Errorf("where all %s: %d requests in %.0f s, of %d slots", behaviour, requests, (last-first)/1000,
				maxRequests)
		}
	}
}

// respondWithoutState responds without a step, or with a step of an age and no state.
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

// respondFromFrozenRead responds well up to a moment, and from then on with the same read, which grows older.
func respondFromFrozenRead(from float64) func(*Follower, Action, float64) {
	rules := versioned.New(1, []versioned.Entry{{Key: "rules", Value: []byte{0xa0}}})
	return func(f *Follower, d Action, now float64) {
		f.HandleResponse(d.Upstream, now, &Response{FormatVersion: FormatVersion, Cluster: "till", Sender: "p",
			Incarnation: 1, Nonce: d.Request.Nonce,
			DiscoveryIndex: -1, Step: 3, AgeMillis: max(now-from, 0), Rules: rules.ID(),
			RulesDelta: versioned.FullDelta(rules)})
	}
}
