package history

import (
	"fmt"
	"strings"
)

// Break is one thing that must not be, with the events that it rests on.
type Break struct {
	At    int64 // ns, as events have it
	Says  string
	Rests []Event
}

func (b Break) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "at %.3f ms: %s", ms(b.At), b.Says)
	for _, e := range b.Rests {
		s.WriteString("\n\t" + e.String())
	}
	return s.String()
}

// Found is what a check has found.
type Found struct {
	Breaks []Break // the first ones
	Count  int     // of all
	Seen   int     // events that the check has looked at: of none it has shown nothing
}

const mostKept = 100 // breaks that are kept whole; all are counted

func (f *Found) broken(at int64, rests []Event, format string, args ...any) {
	if f.Count++; len(f.Breaks) < mostKept {
		f.Breaks = append(f.Breaks, Break{at, fmt.Sprintf(format, args...), rests})
	}
}

func (f Found) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%d breaks in %d events", f.Count, f.Seen)
	for _, b := range f.Breaks {
		s.WriteString("\n" + b.String())
	}
	return s.String()
}

// String gives an event in one line, without what it does not speak of.
func (e Event) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%.3f ms %s life %d #%d %s", ms(e.At), e.Who, e.Life, e.Seq, e.Kind)
	for _, f := range []struct {
		name string
		what any
		has  bool
	}{{"version", e.Version, e.Version != 0}, {"base", e.Base, e.Base != 0}, {"mark", e.Mark, e.Mark != ""},
		{"mode", e.Mode, e.Mode != ""}, {"txn", e.Txn, e.Txn != ""}, {"customer", e.Customer, e.Customer != 0},
		{"plan", e.Plan, e.Plan != ""}, {"product", e.Product, e.Product != ""},
		{"worker", e.Worker, e.Worker != ""}, {"peer", e.Peer, e.Peer != ""},
		{"peer's life", e.PeerLife, e.PeerLife != 0}, {"units", e.Units, e.Units != 0},
		{"serial", e.Serial, e.Serial != 0}, {"expiry", ms(e.Expiry), e.Expiry != 0}, {"age", e.Age, e.Age != 0},
		{"says", e.Says, e.Says != ""}} {
		if f.has {
			fmt.Fprintf(&s, ", %s %v", f.name, f.what)
		}
	}
	return s.String()
}

func ms(ns int64) float64 { return float64(ns) / 1e6 }

func ns(ms float64) int64 { return int64(ms * 1e6) }

// end gives the time of the last event.
func (r Record) end() int64 {
	if n := len(r.Events); n > 0 {
		return r.Events[n-1].At
	}
	return 0
}

// lives is who lived when. A life may go on while its successor has begun.
type lives struct {
	by   map[string][]life // in the order in which they began
	from map[life]int64
	last map[life]int64 // the last line of it
	gone map[life]bool  // it has ended by its own will
}

func livesOf(r Record) lives {
	l := lives{map[string][]life{}, map[life]int64{}, map[life]int64{}, map[life]bool{}}
	for _, e := range r.Events {
		here := life{e.Who, e.Life}
		if _, known := l.from[here]; !known {
			l.from[here] = e.At
			l.by[e.Who] = append(l.by[e.Who], here)
		}
		l.last[here] = e.At
		l.gone[here] = l.gone[here] || e.Kind == Gone
	}
	return l
}

// of gives the life that is meant: the one that is told, else the last that has begun by then.
func (l lives) of(who string, num uint32, at int64) life {
	if num != 0 {
		return life{who, num}
	}
	meant := life{who: who}
	for _, o := range l.by[who] {
		if l.from[o] <= at {
			meant = o
		}
	}
	return meant
}

// over tells whether a life has come to its end with its line of a time: it is its last, and either it says
// so or there is a later life.
func (l lives) over(o life, at int64) bool {
	return l.last[o] <= at && (l.gone[o] || l.by[o.who][len(l.by[o.who])-1] != o)
}

// HeardTwice finds messages (peer, its life, serial) that one life of one process has believed more than
// once. Another life of it has forgotten what the last one heard, and may.
func HeardTwice(r Record) Found {
	type message struct {
		by, from life
		serial   uint64
	}
	var f Found
	heard := map[message]int{}
	for i, e := range r.Events {
		if e.Kind != Heard {
			continue
		}
		f.Seen++
		m := message{life{e.Who, e.Life}, life{e.Peer, e.PeerLife}, e.Serial}
		if first, twice := heard[m]; twice {
			f.broken(e.At, []Event{r.Events[first], e}, "%s believes message %d of %s's life %d again", e.Who,
				e.Serial, e.Peer, e.PeerLife)
			continue
		}
		heard[m] = i
	}
	return f
}
