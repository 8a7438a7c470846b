package history

import (
	"fmt"
	"strings"
)

// Violation is one violation, with the events that prove it.
type Violation struct {
	At    int64 // nanoseconds on the clock of the events
	Says  string
	Rests []Event
}

// String returns the violation and its events, a line each.
func (b Violation) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "at %.3f ms: %s", millis(b.At), b.Says)
	for _, e := range b.Rests {
		s.WriteString("\n\t" + e.String())
	}
	return s.String()
}

// Result is the result of a check.
type Result struct {
	Violations []Violation // the first maxViolations
	Count      int         // of all
	Seen       int         // events that the check examined; with none it has proved nothing
}

// maxViolations bounds the violations that are kept; all are counted.
const maxViolations = 100

// violate records a violation.
func (f *Result) violate(at int64, rests []Event, format string, args ...any) {
	if f.Count++; len(f.Violations) < maxViolations {
		f.Violations = append(f.Violations, Violation{at, fmt.Sprintf(format, args...), rests})
	}
}

// String returns the counts and the first violations.
func (f Result) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%d breaks in %d events", f.Count, f.Seen)
	for _, b := range f.Violations {
		s.WriteString("\n" + b.String())
	}
	return s.String()
}

// String gives an event in one line, without what it does not speak of.
func (e Event) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%.3f ms %s life %d #%d %s", millis(e.At), e.Who, e.Incarnation, e.Seq, e.Kind)
	for _, f := range []struct {
		name string
		what any
		has  bool
	}{{"version", e.Version, e.Version != 0}, {"base", e.Base, e.Base != 0}, {"mark", e.Digest, e.Digest != ""},
		{"mode", e.Mode, e.Mode != ""}, {"txn", e.Txn, e.Txn != ""}, {"customer", e.Customer, e.Customer != 0},
		{"plan", e.Plan, e.Plan != ""}, {"product", e.Product, e.Product != ""},
		{"worker", e.Worker, e.Worker != ""}, {"peer", e.Peer, e.Peer != ""},
		{"peer's life", e.PeerIncarnation, e.PeerIncarnation != 0}, {"units", e.Units, e.Units != 0},
		{"serial", e.Serial, e.Serial != 0}, {"expiry", millis(e.Expiry), e.Expiry != 0},
		{"age", e.Age, e.Age != 0},
		{"says", e.Says, e.Says != ""}} {
		if f.has {
			fmt.Fprintf(&s, ", %s %v", f.name, f.what)
		}
	}
	return s.String()
}

// millis converts nanoseconds to milliseconds.
func millis(ns int64) float64 { return float64(ns) / 1e6 }

// nanos converts milliseconds to nanoseconds.
func nanos(ms float64) int64 { return int64(ms * 1e6) }

// end returns the time of the last event.
func (r Record) end() int64 {
	if n := len(r.Events); n > 0 {
		return r.Events[n-1].At
	}
	return 0
}

// incarnations holds when each incarnation of each process ran. One may go on while its successor has
// started.
type incarnations struct {
	byProcess map[string][]incarnation // in the order of their start
	firstAt   map[incarnation]int64    // time of the first event, nanoseconds
	lastAt    map[incarnation]int64    // time of the last event, nanoseconds
	exited    map[incarnation]bool     // it has recorded its end
}

// incarnationsOf collects the incarnations of a record.
func incarnationsOf(r Record) incarnations {
	l := incarnations{map[string][]incarnation{}, map[incarnation]int64{}, map[incarnation]int64{},
		map[incarnation]bool{}}
	for _, e := range r.Events {
		here := incarnation{e.Who, e.Incarnation}
		if _, known := l.firstAt[here]; !known {
			l.firstAt[here] = e.At
			l.byProcess[e.Who] = append(l.byProcess[e.Who], here)
		}
		l.lastAt[here] = e.At
		l.exited[here] = l.exited[here] || e.Kind == Gone
	}
	return l
}

// resolve returns the incarnation that an event names: that with the number, else the last that had started.
func (l incarnations) resolve(process string, number uint32, at int64) incarnation {
	if number != 0 {
		return incarnation{process, number}
	}
	meant := incarnation{process: process}
	for _, o := range l.byProcess[process] {
		if l.firstAt[o] <= at {
			meant = o
		}
	}
	return meant
}

// endsAt reports whether an incarnation ends with its event at a time: the event is its last, and either it
// recorded its end or there is a later incarnation.
func (l incarnations) endsAt(o incarnation, at int64) bool {
	return l.lastAt[o] <= at && (l.exited[o] || l.byProcess[o.process][len(l.byProcess[o.process])-1] != o)
}

// ReceivedTwice finds messages (peer, its incarnation, serial) that one incarnation of a process accepted
// more than once. Another incarnation of it has forgotten what the last one received, and may.
func ReceivedTwice(r Record) Result {
	type message struct {
		by, from incarnation
		serial   uint64
	}
	var f Result
	heard := map[message]int{}
	for i, e := range r.Events {
		if e.Kind != Received {
			continue
		}
		f.Seen++
		m := message{incarnation{e.Who, e.Incarnation}, incarnation{e.Peer, e.PeerIncarnation}, e.Serial}
		if first, twice := heard[m]; twice {
			f.violate(e.At, []Event{r.Events[first], e}, "%s believes message %d of %s's life %d again", e.Who,
				e.Serial, e.Peer, e.PeerIncarnation)
			continue
		}
		heard[m] = i
	}
	return f
}
