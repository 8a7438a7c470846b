package footprint

import (
	"fmt"

	"willowdeck/internal/distribution"
	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

const (
	cluster   = "fleet"
	zoneHosts = 36 // of 564 gatekeepers
)

// hop is one that asks and one that answers, without what lies between.
type hop struct {
	source   *distribution.Source
	follower *distribution.Follower
	now      float64
	view     distribution.Snapshot
}

func newHop(in ruleset.Interest) *hop {
	h := &hop{source: distribution.NewSource("above", cluster,
		distribution.SourceConfig{FullStateBurstBytes: 1e12}), now: 1000,
		follower: distribution.NewFollower(
			distribution.FollowerConfig{Name: "below", Cluster: cluster, Upstreams: 1, Interest: in,
				Seed: seed},
			0,
		)}
	return h
}

// round has one ask and be answered, and gives the bytes of both.
func (h *hop) round() (asked, answered int, err error) {
	h.now += 1000                       // long enough for the next question to be due
	h.view.ReadStartMillis = h.now - 50 // of a lease of a second
	h.source.Publish(h.view)
	h.follower.AdvanceClock(h.now)
	for range 100 {
		d, ok := h.follower.NextAction()
		if !ok {
			return 0, 0, fmt.Errorf("nothing is asked")
		}
		if d.Kind != distribution.SendRequest {
			continue
		}
		out, err := d.Request.Encode()
		if err != nil {
			return 0, 0, err
		}
		back, err := h.answer(out)
		if err != nil {
			return 0, 0, err
		}
		a, err := distribution.DecodeResponse(back)
		if err != nil {
			return 0, 0, err
		}
		h.follower.HandleResponse(0, h.now, a)
		return len(out), len(back), nil
	}
	return 0, 0, fmt.Errorf("nothing is asked in a hundred decisions")
}

func (h *hop) answer(ask []byte) ([]byte, error) {
	q, err := distribution.DecodeRequest(ask)
	if err != nil {
		return nil, err
	}
	a, err := h.source.Respond(q, h.now)
	if err != nil {
		return nil, err
	}
	return a.Encode()
}

func (h *hop) offer(step uint64, rules *versioned.State) {
	h.view = distribution.Snapshot{Step: step, TransitionComplete: true, ReadStartMillis: h.now, Rules: rules,
		DiscoveryIndex: -1}
	h.source.Publish(h.view)
}

// hops measures what a renewal, a version and a whole cost on each hop, over members.
func hops(n int) ([]Value, error) {
	r := rules(n, usualPlans, 0, 0)
	if err := ruleset.Validate(r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	first, err := ruleset.VersionToState(&ruleset.Version{Number: 1, Rules: *r})
	if err != nil {
		return nil, err
	}
	changed := *r
	changed.Plans = append([]ruleset.Plan{}, r.Plans...)
	changed.Plans[0].Rate++
	second, err := ruleset.VersionToState(&ruleset.Version{Number: 2, Rules: changed})
	if err != nil {
		return nil, err
	}
	var values []Value
	for _, who := range []struct {
		role string
		in   ruleset.Interest
	}{{"gatekeeper", ruleset.Interest{Name: "gk-00007", Around: distribution.RingRadius}},
		{"host daemon", ruleset.Interest{Host: "host-000", Around: distribution.RingRadius}}, {"zone relay",
			ruleset.Interest{All: true}}} {
		h := newHop(who.in)
		h.offer(1, first)
		_, whole, err := h.round()
		if err != nil {
			return nil, err
		}
		asked, answered, err := h.round()
		if err != nil {
			return nil, err
		}
		h.offer(2, second)
		_, version, err := h.round()
		if err != nil {
			return nil, err
		}
		v, ok := h.follower.Snapshot()
		if !ok || v.Step != 2 || v.Rules.ID().Number != 2 {
			return nil, fmt.Errorf("%s: not on version 2: %+v, %v", who.role, v, ok)
		}
		values = append(values, Value{who.role, "a renewal over members", "B", float64(asked + answered)},
			Value{who.role, "a version over members", "B", float64(version - answered)},
			Value{who.role, "a whole over members", "B", float64(whole)},
			Value{who.role, "state in bytes over members", "B", float64(v.Rules.Bytes())})
		if who.role != "gatekeeper" {
			continue
		}
		both := took(func() { _, _, _ = h.round() })
		ask, err := (&distribution.Request{FormatVersion: distribution.FormatVersion, Cluster: cluster,
			Sender:   "below",
			Interest: who.in, Step: 2,
			Rules: v.Rules.ID(), DiscoveryIndex: -1}).Encode()
		if err != nil {
			return nil, err
		}
		above := took(func() { _, _ = h.answer(ask) })
		_, kept := keeps(func() *hop {
			h := newHop(who.in)
			h.offer(1, first)
			_, _, _ = h.round()
			h.source = nil
			return h
		})
		values = append(values, Value{who.role, "asking and taking a renewal over members", "ms",
			max(both-above, 0)},
			Value{"zone relay", "answering a renewal over members", "ms", above},
			Value{who.role, "kept of agreed rules over members", "B", kept})
	}
	_, kept := keeps(func() *versioned.State {
		s, _ := ruleset.VersionToState(&ruleset.Version{Number: 1, Rules: *r})
		return s
	})
	h := newHop(ruleset.Interest{})
	parts := took(func() {
		h.offer(1, first)
		h.offer(2, second)
		h = newHop(ruleset.Interest{})
		h.offer(1, first)
		for i := range min(zoneHosts, (n+perHost-1)/perHost) {
			_, _ = h.source.Respond(&distribution.Request{FormatVersion: distribution.FormatVersion, Cluster: cluster,
				Sender: "x", DiscoveryIndex: -1,
				Interest: ruleset.Interest{Host: fmt.Sprintf("host-%03d", i), Around: distribution.RingRadius}}, h.now)
		}
	})
	return append(values, Value{"zone relay", "kept of agreed rules over members", "B", kept},
		Value{"zone relay", "parts for a zone's hosts over members", "ms", parts}), nil
}
