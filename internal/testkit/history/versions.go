package history

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Versioned is the result of Versions.
type Versioned struct {
	Result
	InForce int    // versions that came in force, or are shown to have by a read
	Reads   int    // of the version in force
	Checker string // what porcupine says: Ok, Illegal or Unknown; empty where the history was too long for it
}

const (
	maxOperations    = 3000            // given to porcupine, whose time may grow exponentially
	porcupineTimeout = 5 * time.Second // after which its result is Unknown
)

// version is what is known of one version's way into force, which is at one moment from lo to hi.
type version struct {
	number, base uint64
	lo, hi       int64
	loBy, hiBy   Event
	taken        bool
	wanted       []Event
	reads        []Event
	acted        Event // the first Acts by it
}

// Versions checks that the version in force is one register that is changed by compare-and-set alone: a
// version comes in force at one moment between its Proposed and its first Decided, in place of its Base,
// which was in force up to then; a proposal without an outcome may have come in force at any later time, or
// never; one that is refused never does. What ReportedInForce says was in force at some moment from At-Age to
// At, and what a gatekeeper Acts on at some moment before. This is linearizability (Herlihy and Wing 1990)
// with reads that are as old as they say. It is decided in one pass over the versions, as each is a value
// written once, and again by porcupine where the history is short enough.
//
// A version with two marks, two versions in place of one, and one from nowhere are named as such.
func Versions(r Record) Versioned {
	var v Versioned
	c := &versionCollector{Versioned: &v, versions: map[uint64]*version{}, digests: map[uint64]Event{},
		rejected: map[string]Event{}, outcomes: map[string]Event{}, initial: math.MaxUint64}
	for _, e := range r.Events {
		c.event(e)
	}
	if len(c.versions) == 0 {
		return v
	}
	c.version(c.initial)
	chain := v.chain(c.versions, c.initial, c.rejected)
	v.InForce = len(chain)
	v.order(chain)
	if n := v.Reads + len(chain); n <= maxOperations {
		result := porcupine.CheckOperationsTimeout(register(c.initial), operations(r, c.versions), porcupineTimeout)
		if v.Checker = string(result); result == porcupine.Illegal && v.Count == 0 {
			v.violate(r.end(), nil, "porcupine finds no order of proposals and reads")
		}
	}
	return v
}

// versionCollector collects what a record says of each version.
type versionCollector struct {
	*Versioned
	versions map[uint64]*version
	digests  map[uint64]Event // the first event of each version that has a digest
	rejected map[string]Event // by proposal
	outcomes map[string]Event // by proposal's transaction
	initial  uint64           // the version that was in force before all; MaxUint64 while none is known
}

// version returns the state of a version, a new one on its first event.
func (c *versionCollector) version(number uint64) *version {
	w := c.versions[number]
	if w == nil {
		w = &version{number: number, lo: math.MinInt64, hi: math.MaxInt64}
		c.versions[number] = w
	}
	return w
}

// event applies one event.
func (c *versionCollector) event(e Event) {
	c.checkDigest(e)
	switch e.Kind {
	case Proposed:
		c.Seen++
		c.initial = min(c.initial, e.Base)
		w := c.version(e.Version)
		w.wanted = append(w.wanted, e)
	case Decided:
		c.Seen++
		c.outcome(e)
	case Acts:
		if e.Mode == Bare {
			return
		}
		c.Seen++
		if w := c.version(e.Version); w.acted.Kind == "" {
			c.initial = min(c.initial, e.Version)
			w.acted = e
		}
	case ReportedInForce:
		c.Seen++
		c.Reads++
		c.initial = min(c.initial, e.Version)
		c.version(e.Version).reads = append(c.version(e.Version).reads, e)
	}
}

// checkDigest checks that all digests of a version are equal.
func (c *versionCollector) checkDigest(e Event) {
	if e.Digest == "" || e.Version == 0 {
		return
	}
	if first, known := c.digests[e.Version]; !known {
		c.digests[e.Version] = e
	} else if first.Digest != e.Digest {
		c.violate(e.At, []Event{first, e}, "version %d is not the same for %s and %s", e.Version, first.Who, e.Who)
	}
}

// outcome applies the outcome of a proposal.
func (c *versionCollector) outcome(e Event) {
	if o, known := c.outcomes[e.Txn]; known && e.Txn != "" && (o.Says == "") != (e.Says == "") {
		c.violate(e.At, []Event{o, e}, "proposal %s is both refused and in force", e.Txn)
	}
	c.outcomes[e.Txn] = e
	if e.Says != "" {
		c.rejected[proposal(e)] = e
		return
	}
	c.initial = min(c.initial, e.Base)
	switch w := c.version(e.Version); {
	case !w.taken:
		w.taken, w.base, w.hi, w.hiBy = true, e.Base, e.At, e
	case w.base != e.Base:
		c.violate(e.At, []Event{w.hiBy, e}, "version %d is in force in place of %d and of %d", e.Version, w.base,
			e.Base)
	}
}

// proposal names a proposal: by Txn, else by what it asks for and who does (Peer in a Decided, where it
// says).
func proposal(e Event) string {
	if e.Txn != "" {
		return e.Txn
	}
	who := e.Who
	if e.Kind == Decided {
		who = e.Peer
	}
	return Event{Kind: Proposed, Who: who, Version: e.Version, Base: e.Base}.String()
}

// chain gives the versions that came in force, in order, with the times between which each did.
func (v *Versioned) chain(versions map[uint64]*version, start uint64, refused map[string]Event) []*version {
	for _, w := range versions {
		w.wanted = slices.DeleteFunc(w.wanted, func(e Event) bool {
			_, no := refused[proposal(e)]
			return no || w.taken && e.Base != w.base
		})
		for i, e := range w.wanted {
			if i == 0 { // the first of several: any of them may be the one
				w.lo, w.loBy = e.At, e
			}
			if !w.taken {
				w.base = max(w.base, e.Base)
			}
		}
	}
	numbers := slices.Sorted(maps.Keys(versions))
	in := map[uint64]bool{start: true}
	for _, n := range slices.Backward(numbers) {
		w := versions[n]
		if in[n] = in[n] || w.taken || len(w.reads) > 0 || w.acted.Kind != ""; !in[n] || n == start {
			continue
		}
		if in[w.base] = true; versions[w.base] == nil || w.base >= n {
			v.violate(w.hiBy.At, w.rests(), "version %d is in force in place of %d, which never was", n, w.base)
		}
		if len(w.wanted) == 0 {
			v.violate(w.hiBy.At, w.rests(), "version %d is in force, and nobody has proposed it", n)
		}
	}
	var chain []*version
	for _, n := range numbers {
		if !in[n] {
			continue
		}
		w := versions[n]
		if len(chain) > 0 {
			if last := chain[len(chain)-1]; w.base != last.number && versions[w.base] != nil && w.base < n {
				v.violate(w.hiBy.At, append(last.rests(), w.rests()...), "versions %d and %d are both in force after %d",
					last.number, n, w.base)
			}
		}
		chain = append(chain, w)
	}
	return chain
}

// rests gives what shows that a version was in force, or else proposed.
func (w *version) rests() []Event {
	switch {
	case w.taken:
		return []Event{w.hiBy}
	case len(w.reads) > 0:
		return w.reads[:1]
	case w.acted.Kind != "":
		return []Event{w.acted}
	case len(w.wanted) > 0:
		return w.wanted[:1]
	}
	return nil
}

// order looks for moments at which the versions came in force one after the other so that each read is of
// what was in force at some moment of its time. Each takes the earliest moment left to it.
func (v *Versioned) order(chain []*version) {
	lo, loBy := int64(math.MinInt64), Event{}
	for _, w := range chain {
		if w.lo > lo {
			lo, loBy = w.lo, w.loBy
		}
		hi, hiBy := w.hi, w.hiBy
		if w.acted.Kind != "" && w.acted.At < hi {
			hi, hiBy = w.acted.At, w.acted
		}
		for _, e := range w.reads {
			if e.At < hi {
				hi, hiBy = e.At, e
			}
		}
		if lo > hi {
			v.violate(hi, []Event{loBy, hiBy}, "version %d was in force by %.3f ms, and cannot have been before %.3f",
				w.number, millis(hi), millis(lo))
			lo = hi // so that what follows is not held against it
		}
		for _, e := range w.reads { // still in force then
			if from := e.At - nanos(e.Age); from > lo {
				lo, loBy = from, e
			}
		}
	}
}

// change is a compare-and-set, or a read where it has no base.
type change struct {
	base, version uint64
	read          bool
}

// register is a compare-and-set register. A change whose base is not in force does nothing, which is the case
// of one that never happened; one that is known to have come in force has Output true.
func register(start uint64) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return start },
		Step: func(state, input, output any) (bool, any) {
			now, in := state.(uint64), input.(change)
			switch {
			case in.read:
				return now == in.version, now
			case now == in.base:
				return true, in.version
			}
			return !output.(bool), now
		},
	}
}

// operations gives a history to porcupine.
func operations(r Record, versions map[uint64]*version) []porcupine.Operation {
	var out []porcupine.Operation
	clients := map[string]int{}
	client := func(who string) int {
		if _, known := clients[who]; !known {
			clients[who] = len(clients)
		}
		return clients[who]
	}
	for _, n := range slices.Sorted(maps.Keys(versions)) {
		w := versions[n]
		for i, e := range w.wanted {
			op := porcupine.Operation{ClientId: client(e.Who), Input: change{base: e.Base, version: n}, Call: e.At,
				Output: false, Return: math.MaxInt64}
			if w.taken && i == 0 { // of several one was, and the first has the longest time for it
				op.Output, op.Return = true, w.hi
			}
			out = append(out, op)
		}
		if e := w.acted; e.Kind != "" { // it was in force at some moment before
			out = append(out, porcupine.Operation{ClientId: client(e.Who), Input: change{version: n, read: true},
				Call: r.Events[0].At - 1, Output: true, Return: e.At})
		}
		for _, e := range w.reads {
			out = append(out, porcupine.Operation{ClientId: client(e.Who), Input: change{version: n, read: true},
				Call: e.At - nanos(e.Age), Output: true, Return: e.At})
		}
	}
	slices.SortStableFunc(out, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	return out
}
