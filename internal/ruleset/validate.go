package ruleset

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// What the promise rests on, and what bounds the state. Times in ms.
const (
	fillPart     = 0.5    // of a plan's fill that may have to go to debts, as internal/borrowing has it
	Form         = 1      // of the encoding that this program writes and reads
	drift        = 2e-4   // by which a clock runs fast or slow; crystals keep 1e-4
	step         = 250.0  // from the last check to the write that it allows: a long pause of the host
	MostBound    = 2000.0 // of Rules.Bound where none is named; the promise to the operators
	leastLease   = 100.0  // under it the asking alone would fill it
	mostFallback = 3.6e6  // an hour: what contradicts the fallback of one cut off waits for so long
	mostPlans    = 256    // a plan's place is a small index with the instances, and is kept for life
	mostMembers  = 10000  // the 7,900 that are coming, and a quarter more for places left vacant
	fewMembers   = 500    // that programs knew before ManyMembers: what passes it has to need that
	mostRun      = 1000   // on a host: of 500, as a fleet's file may name, one and one in its place
	mostWords    = 4096   // a hall's worth of words by worker
	mostName     = 200    // bytes of a name
	mostHeld     = 8      // fallbacks that may be held beside each other, by those long cut off
	mostAnswers  = 128    // proposals whose outcome is kept for those that ask again
	readsPer     = 5      // asks and reads in a lease: two in a row may be lost, and each costs a round
	freshLease   = 1000.0 // of one that has heard of none: its default
	again        = 300.0  // until what was submitted and not seen to be taken is submitted again
)

// MostSeen is how many hosts one entry may name: some 40 bytes each, and half of the fleet that is coming.
const MostSeen = 4000

// ManyMembers is the feature that rules of more than 500 members need. A program without it would refuse them
// where others take them, and its council would be another for good; so it has to stop at them instead.
const ManyMembers = "members"

// features are what this program can go by beyond the keys that it has always known.
var features = [...]string{ManyMembers}

// Has tells whether this program has a feature that Rules.Needs may name.
func Has(feature string) bool { return slices.Contains(features[:], feature) }

// bound is how long after the end of its time in force a version may be acted on, ms: a lease counted by a
// slow clock, and then one step, both as a fast clock counts them.
func bound(lease float64) float64 { return (lease/(1-drift) + step) * (1 + drift) }

// Bound is for how many ms at most two gatekeepers may go by rules that contradict each other, where these
// are the ones that end: from the moment at which others are in force until nobody acts on them any more.
func Bound(r *Rules) float64 { return bound(r.Lease) }

// lasts is how long after the end of its time in force a version's fallback may be gone by, ms.
func lasts(r *Rules) float64 { return bound(r.Lease + r.Fallback.For) }

// every is how long it is between two asks, or two reads, ms.
func every(lease float64) float64 {
	if lease == 0 {
		lease = freshLease
	}
	return lease / readsPer
}

// first is the first of some errors that there is.
func first(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// figure checks one number of a key.
func figure(key string, v, least, most float64) error {
	if !(v >= least && v <= most) { // false for what is no number
		return fmt.Errorf("%s: %v is not from %v to %v", key, v, least, most)
	}
	return nil
}

func named(s string) bool { return s != "" && len(s) <= mostName }

func name(key, s string) error {
	if !named(s) {
		return fmt.Errorf("%s: a name has 1 to %d bytes, not %d", key, mostName, len(s))
	}
	return nil
}

// Unknown names what rules ask for that this program does not know; empty where it knows all.
func Unknown(r *Rules) string {
	if r.Form != Form {
		return fmt.Sprintf("form %d", r.Form)
	}
	for _, n := range r.Needs {
		if !Has(n) {
			return n
		}
	}
	return ""
}

// Check tells what is wrong with rules; the error names the key as their file has it.
func Check(r *Rules) error { return check(r, false) }

// CheckPart is Check for a part of rules, as FromState gives it: members that it does not name are vacant,
// and there may be none.
func CheckPart(r *Rules) error { return check(r, true) }

func check(r *Rules, part bool) error {
	if what := Unknown(r); what != "" {
		return fmt.Errorf("needs: %q is not known here", what)
	}
	promised := r.Bound
	err := first(figure("bound_ms", promised, bound(leastLease), 60000),
		figure("lease_ms", r.Lease, leastLease, 60000),
		figure("fallback.part", r.Fallback.Part, 0, 1), figure("fallback.for_ms", r.Fallback.For, 0, mostFallback))
	if err != nil {
		return err
	}
	if b := Bound(r); b > promised {
		return fmt.Errorf("lease_ms: %v lets rules that contradict go on for %.0f ms, over bound_ms = %v", r.Lease,
			math.Ceil(b), promised)
	}
	for _, n := range []struct {
		key       string
		have, max int
	}{{"plans", len(r.Plans), mostPlans}, {"members", len(r.Members), mostMembers}, {"words", len(r.Words),
		mostWords}} {
		if n.have > n.max {
			return fmt.Errorf("%s: %d are more than %d", n.key, n.have, n.max)
		}
	}
	if n := len(r.Members); n > fewMembers && !slices.Contains(r.Needs, ManyMembers) {
		return fmt.Errorf("needs: %d members are more than %d, which needs %q", n, fewMembers, ManyMembers)
	}
	plans := map[string]bool{}
	for _, p := range r.Plans {
		if err := name("plans.name", p.Name); err != nil {
			return err
		}
		key := "plans." + p.Name
		if plans[p.Name] {
			return fmt.Errorf("%s: there are two", key)
		}
		plans[p.Name] = true
		const most = 1e9
		if err := first(figure(key+".rate", p.Rate, 0, most), figure(key+".burst", p.Burst, 0, most),
			figure(key+".ceiling_rate", p.CeilingRate, 0, most),
			figure(key+".ceiling_depth", p.CeilingDepth, 0, most),
			figure(key+".credit_s", p.Credit, 0, 86400), figure(key+".repay_s", p.Repay/1000, 0, 86400)); err != nil {
			return err
		}
		switch {
		case p.Credit > 0 && !(p.Rate > 0):
			return fmt.Errorf("%s.credit_s: there is no rate to pay it back from", key)
		case p.Credit > 0 && !(p.Repay > 0):
			return fmt.Errorf("%s.repay_s: credit_s needs one", key)
		case p.Credit > p.Repay/1000*fillPart:
			return fmt.Errorf("%s.repay_s: in %v a half of the fill pays %v back, and credit_s is %v", key,
				p.Repay/1000, p.Repay/1000*fillPart, p.Credit)
		case (p.CeilingRate > 0) != (p.CeilingDepth > 0):
			return fmt.Errorf("%s.ceiling_rate: it and ceiling_depth need each other", key)
		}
	}
	return first(checkMembers(r, part), checkWords(r))
}

func checkMembers(r *Rules, part bool) error {
	names, peers := make(map[string]bool, len(r.Members)), make(map[string]bool, len(r.Members))
	for i, m := range r.Members {
		wrong := func(what, form string, args ...any) error { // made only where there is one
			return fmt.Errorf("members.%d.%s: %w", i, what, fmt.Errorf(form, args...))
		}
		if m.Name == "" {
			if m != (Member{}) {
				return wrong("name", "there is none, and the place is not vacant")
			}
			continue
		}
		switch {
		case !named(m.Name):
			return name(fmt.Sprintf("members.%d.name", i), m.Name)
		case !named(m.Host):
			return name(fmt.Sprintf("members.%d.host", i), m.Host)
		case len(m.Peers) > mostName:
			return wrong("peers", "%d bytes are too many", len(m.Peers))
		case names[m.Name]:
			return wrong("name", "%s has another place already", m.Name)
		case m.Peers != "" && peers[m.Peers]:
			return wrong("peers", "%s is another's already", m.Peers)
		}
		names[m.Name], peers[m.Peers] = true, true
	}
	if part {
		return nil
	}
	if len(names) == 0 {
		return errors.New("members: there are none")
	}
	if r.Members[len(r.Members)-1].Name == "" {
		return fmt.Errorf("members.%d.name: the last place may not be vacant", len(r.Members)-1)
	}
	return nil
}

func checkWords(r *Rules) error {
	seen := map[[2]string]bool{}
	for i, w := range r.Words {
		key := fmt.Sprintf("words.%d", i)
		if w.Worker == "" && w.Hall == "" {
			return fmt.Errorf("%s.worker: there is neither worker nor hall", key)
		}
		if len(w.Worker) > mostName || len(w.Hall) > mostName {
			return fmt.Errorf("%s.worker: a name has up to %d bytes", key, mostName)
		}
		if err := figure(key+".weight", w.Weight, 0, 1e6); err != nil {
			return err
		}
		if at := [2]string{w.Worker, w.Hall}; seen[at] {
			return fmt.Errorf("%s.worker: there are two words on %s%s", key, w.Worker, w.Hall)
		} else {
			seen[at] = true
		}
	}
	return nil
}

// Follows tells what keeps rules from following others. A member keeps its place for life, as what it has
// spent and what peers know of it go by its place; and so does a plan. A plan gets no ceiling that it did not
// have, as one that is cut off would go without for good: it has a high one from the start.
func Follows(next, former *Rules) error {
	for i, p := range former.Plans {
		switch {
		case i >= len(next.Plans) || next.Plans[i].Name != p.Name:
			return fmt.Errorf("plans.%s: it is in force as number %d, and has to stay there", p.Name, i)
		case p.CeilingRate == 0 && next.Plans[i].CeilingRate > 0:
			return fmt.Errorf("plans.%s.ceiling_rate: it had none, and those cut off would go without", p.Name)
		}
	}
	return keep(next, Stance{Members: former.Members})
}

// keep tells which member of rules has another place among former ones.
func keep(next *Rules, former Stance) error {
	places := make(map[string]int, len(former.Members))
	for j, o := range former.Members {
		if o.Name != "" {
			places[o.Name] = former.place(j)
		}
	}
	for i, m := range next.Members {
		if j, there := places[m.Name]; there && i != j {
			return fmt.Errorf("members.%d.name: %s has place %d", i, m.Name, j)
		}
	}
	return nil
}
