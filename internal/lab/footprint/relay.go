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

// exchange has one ask and be answered, and gives the bytes of both.
func (h *hop) exchange() (asked, answered int, err error) {
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

// hopRoles are the roles whose messages hops measures, with what each asks for.
var hopRoles = []struct {
	name     string
	interest ruleset.Interest
}{
	{roleGatekeeper, ruleset.Interest{Name: "gk-00007", Around: distribution.RingRadius}},
	{"host daemon", ruleset.Interest{Host: "host-000", Around: distribution.RingRadius}},
	{roleZoneRelay, ruleset.Interest{All: true}},
}

const (
	roleGatekeeper = "gatekeeper"
	roleZoneRelay  = "zone relay"
)

// twoVersions are a version of the rules for n members, and one after it that changes a quota.
type twoVersions struct {
	rules         *ruleset.Rules // of the first
	first, second *versioned.State
}

func newTwoVersions(n int) (versions twoVersions, err error) {
	versions.rules = rules(n, usualPlans, 0, 0)
	if err := ruleset.Validate(versions.rules); err != nil {
		return versions, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	versions.first, err = ruleset.VersionToState(&ruleset.Version{Number: 1, Rules: *versions.rules})
	if err != nil {
		return versions, err
	}
	changed := *versions.rules
	changed.Plans = append([]ruleset.Plan{}, changed.Plans...)
	changed.Plans[0].Rate++
	versions.second, err = ruleset.VersionToState(&ruleset.Version{Number: 2, Rules: changed})
	return versions, err
}

// hops measures what the ruleset's way down the tree costs each role, over the number of members.
func hops(n int) ([]Value, error) {
	versions, err := newTwoVersions(n)
	if err != nil {
		return nil, err
	}
	var values []Value
	for _, role := range hopRoles {
		measured, err := measureHop(role.name, role.interest, versions)
		if err != nil {
			return nil, err
		}
		values = append(values, measured...)
	}
	return append(values, measureZoneRelay(n, versions)...), nil
}

// measureHop measures the messages of a role: a complete state, a renewal, and a further version.
func measureHop(role string, interest ruleset.Interest, versions twoVersions) ([]Value, error) {
	h := newHop(interest)
	h.offer(1, versions.first)
	_, complete, err := h.exchange()
	if err != nil {
		return nil, err
	}
	asked, answered, err := h.exchange()
	if err != nil {
		return nil, err
	}
	h.offer(2, versions.second)
	_, version, err := h.exchange()
	if err != nil {
		return nil, err
	}
	snapshot, ok := h.follower.Snapshot()
	if !ok || snapshot.Step != 2 || snapshot.Rules.ID().Number != 2 {
		return nil, fmt.Errorf("%s: not on version 2: %+v, %v", role, snapshot, ok)
	}
	values := []Value{
		{role, "a renewal over members", "B", float64(asked + answered)},
		{role, "a version over members", "B", float64(version - answered)},
		{role, "a whole over members", "B", float64(complete)},
		{role, "state in bytes over members", "B", float64(snapshot.Rules.Bytes())},
	}
	if role != roleGatekeeper {
		return values, nil
	}
	renewal, err := measureRenewal(h, interest, snapshot, versions.first)
	return append(values, renewal...), err
}

// measureRenewal measures the time of a gateway's renewal at both ends, and the memory of its part of the
// rules.
func measureRenewal(
	h *hop, interest ruleset.Interest, snapshot distribution.Snapshot, first *versioned.State,
) ([]Value, error) {
	both := took(func() { _, _, _ = h.exchange() })
	request, err := (&distribution.Request{
		FormatVersion: distribution.FormatVersion, Cluster: cluster, Sender: "below", Interest: interest, Step: 2,
		Rules: snapshot.Rules.ID(), DiscoveryIndex: -1,
	}).Encode()
	if err != nil {
		return nil, err
	}
	above := took(func() { _, _ = h.answer(request) })
	_, kept := keeps(func() *hop {
		h := newHop(interest)
		h.offer(1, first)
		_, _, _ = h.exchange()
		h.source = nil
		return h
	})
	return []Value{
		{roleGatekeeper, "asking and taking a renewal over members", "ms", max(both-above, 0)},
		{roleZoneRelay, "answering a renewal over members", "ms", above},
		{roleGatekeeper, "kept of agreed rules over members", "B", kept},
	}, nil
}

// measureZoneRelay measures the memory of all rules, and the time in which a relay makes the parts of its
// zone's hosts.
func measureZoneRelay(n int, versions twoVersions) []Value {
	_, kept := keeps(func() *versioned.State {
		s, _ := ruleset.VersionToState(&ruleset.Version{Number: 1, Rules: *versions.rules})
		return s
	})
	h := newHop(ruleset.Interest{})
	parts := took(func() {
		h.offer(1, versions.first)
		h.offer(2, versions.second)
		h = newHop(ruleset.Interest{})
		h.offer(1, versions.first)
		for i := range min(zoneHosts, (n+perHost-1)/perHost) {
			interest := ruleset.Interest{Host: fmt.Sprintf("host-%03d", i), Around: distribution.RingRadius}
			_, _ = h.source.Respond(&distribution.Request{
				FormatVersion: distribution.FormatVersion, Cluster: cluster, Sender: "x", DiscoveryIndex: -1,
				Interest: interest,
			}, h.now)
		}
	})
	return []Value{
		{roleZoneRelay, "kept of agreed rules over members", "B", kept},
		{roleZoneRelay, "parts for a zone's hosts over members", "ms", parts},
	}
}
