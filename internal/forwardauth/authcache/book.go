// Package authcache decides all of forward authentication that is not quota, worker or repetition: what a
// clearance is good for and how long, what an auth service's answer is good for, how long it is waited for,
// and when it is left alone. It is free of I/O, knows no clock but the times it is told, and is not safe for
// concurrent use. Times are in ms.
package authcache

import (
	"hash/fnv"
	"math"
)

const (
	DefaultLife    = 2000.0   // ms a clearance is kept; a portal forwards within some round trips
	LongestLife    = 60000.0  // ms; what is kept for one txn others can't have
	DefaultMemory  = 120000.0 // ms a mark that was used is known; longer than portals go on trying
	LongestMemory  = 3.6e6    // ms; marks are for one use, and memory is for those who use them twice
	DefaultMost    = 65536    // clearances and used marks together; some 20 MB
	MostOfAll      = 1 << 20  // of them that may be asked for
	LongestTarget  = 2048     // bytes of a forwarded path and query; workers' own bounds lie above
	LongestField   = 512      // bytes of any other forwarded header
	MostHops       = 8        // addresses in a forwarded chain; more is a loop or a forgery
	DefaultCallers = 64       // portals' connections at once
	CallWait       = 1000.0   // ms for a portal's call to come whole, and for its answer to be taken
	IdleCaller     = 60000.0  // ms until a portal's idle connection is ended; portals keep theirs for less
	RebindAgain    = 50.0     // ms between tries to bind an address that the process before still has
	FullAgain      = 1000.0   // ms after which a portal may ask again where there was no place
)

// Facts are what a clearance is for. The txn that comes has to be the same.
type Facts struct {
	Customer       uint64
	Product, Plan  int
	Units          float64
	SetSize, First int
}

// Finding tells what is known of a mark.
type Finding uint8

// The findings.
const (
	New    Finding = iota // not known, or no more
	Open                  // being decided on at this moment
	Known                 // cleared, and not come
	Used                  // its txn has come: it may not run again
	Others                // known with other facts
	Full                  // there is no place for one more
	Moved                 // another process has the book
)

type entry[H any] struct {
	facts Facts
	state Finding // Open, Known or Used
	until float64
	hold  H
}

// Book knows which txns are cleared, by their marks. H is the host's own, one for each clearance.
type Book[H any] struct {
	life, memory float64
	most         int
	moved        bool
	byMark       map[string]*entry[H]
	known, used  []due // in the order of their ends
}

// due is a mark that may be let go at a time.
type due struct {
	mark string
	at   float64
}

// NewBook makes a book in which a clearance lasts for life, a used mark is known for memory, and there are
// no more than most of both together.
func NewBook[H any](life, memory float64, most int) *Book[H] {
	return &Book[H]{life: life, memory: memory, most: most, byMark: map[string]*entry[H]{}}
}

// Life is how long a clearance lasts.
func (b *Book[H]) Life() float64 { return b.life }

// Len is how many marks are known.
func (b *Book[H]) Len(now float64) int {
	b.sweep(now)
	return len(b.byMark)
}

// Ask looks a mark up for a portal. Where it is New it is Open from here on, until Grant or Drop; the others
// change nothing.
func (b *Book[H]) Ask(mark string, f Facts, now float64) Finding {
	b.sweep(now)
	e := b.byMark[mark]
	switch {
	case b.moved:
		return Moved
	case e == nil && len(b.byMark) >= b.most:
		return Full
	case e == nil:
		b.byMark[mark] = &entry[H]{facts: f, state: Open}
		return New
	case e.facts != f:
		return Others
	}
	return e.state
}

// Grant notes that an open mark is cleared, from now on, and gives the time until which it is.
func (b *Book[H]) Grant(mark string, hold H, now float64) (until float64) {
	e := b.byMark[mark]
	if e == nil || e.state != Open {
		return now
	}
	e.state, e.hold, e.until = Known, hold, now+b.life
	b.known = append(b.known, due{mark, e.until})
	return e.until
}

// Drop forgets a mark that is open or known: it was turned down, or has lapsed.
func (b *Book[H]) Drop(mark string) {
	if e := b.byMark[mark]; e != nil && e.state != Used {
		delete(b.byMark, mark)
	}
}

// Come looks a mark up for a txn that comes. Where it is Known its hold is the caller's, and it is Used from
// here on if it may come but once. Guards against a txn that was cleared twice and comes twice: it would run
// twice.
func (b *Book[H]) Come(mark string, f Facts, once bool, now float64) (Finding, H) {
	var none H
	b.sweep(now)
	e := b.byMark[mark]
	switch {
	case e == nil && b.moved:
		return Moved, none
	case e == nil:
		return New, none
	case e.facts != f:
		return Others, none
	case e.state != Known:
		return e.state, none
	}
	hold := e.hold
	if !once { // all marks that ever came would take the place of those that have to be known
		delete(b.byMark, mark)
		return Known, hold
	}
	e.state, e.hold, e.until = Used, none, now+b.memory
	b.used = append(b.used, due{mark, e.until})
	return Known, hold
}

// sweep lets go what is over. Guards against entries that outlive their use: all that a book keeps ends.
func (b *Book[H]) sweep(now float64) {
	b.known = b.end(b.known, Known, now)
	b.used = b.end(b.used, Used, now)
}

func (b *Book[H]) end(queue []due, of Finding, now float64) []due {
	for len(queue) > 0 && queue[0].at <= now {
		if e := b.byMark[queue[0].mark]; e != nil && e.state == of && e.until <= now {
			delete(b.byMark, queue[0].mark)
		}
		queue = queue[1:]
	}
	return queue
}

// Clearance is one entry of a book as it passes to another process.
type Clearance struct {
	Mark  string
	Facts Facts
	Used  bool
	Until float64
}

// Leave gives all there is to the process that takes this one's place, and the holds of what was cleared.
// From then on the book takes nothing more in.
func (b *Book[H]) Leave(now float64) (all []Clearance, holds []H) {
	b.sweep(now)
	b.moved = true
	for _, queue := range [][]due{b.known, b.used} {
		for _, d := range queue {
			e := b.byMark[d.mark]
			if e == nil || e.until != d.at {
				continue
			}
			all = append(all, Clearance{d.mark, e.facts, e.state == Used, e.until})
			if e.state == Known {
				holds = append(holds, e.hold)
			}
		}
	}
	clear(b.byMark)
	b.known, b.used = nil, nil
	return all, holds
}

// Inherit takes an entry over from another process, and tells whether there was a place for it and it is not
// over. What is already known here stays.
func (b *Book[H]) Inherit(c Clearance, hold H, now float64) bool {
	if c.Until <= now || len(b.byMark) >= b.most || b.byMark[c.Mark] != nil {
		return false
	}
	e := &entry[H]{facts: c.Facts, state: Known, until: c.Until, hold: hold}
	queue := &b.known
	if c.Used {
		e.state, queue = Used, &b.used
		e.until = math.Min(c.Until, now+b.memory)
	} else {
		e.until = math.Min(c.Until, now+b.life)
	}
	b.byMark[c.Mark] = e
	*queue = append(*queue, due{c.Mark, e.until})
	return true
}

// Home is the gatekeeper of a customer's set that alone clears a mark, of n in all. Guards against a txn that
// is cleared through two gatekeepers and runs at both: each alone could not know.
func Home(mark string, f Facts, n int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(mark))
	return (f.First + int(h.Sum64()%uint64(max(f.SetSize, 1)))) % max(n, 1)
}
