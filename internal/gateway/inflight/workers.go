package inflight

import (
	"net/netip"
	"slices"
	"sync/atomic"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

// Worker is what the sockets need of one worker: where it is, and in which of its lives.
type Worker struct {
	name   string
	addr   netip.AddrPort
	since  float64
	active bool
	gone   bool
	named  uint64 // the last whole list that has it
	seen   uint64 // the same, of those that Changes has looked at
	kind   int
	rating float64
	zone   int
	cell   int
	life   atomic.Int64 // grows with each change that ends what was meant for the worker as it was
}

// Life is a worker as a submission was meant for it.
type Life struct {
	Worker int
	Addr   netip.AddrPort
	of     *Worker
	life   int64
}

// Holds tells whether the worker still takes new submissions and lives the same life. Any goroutine
// may ask.
func (l *Life) Holds() bool { return l.of.life.Load() == l.life }

// Name is the worker's name.
func (l *Life) Name() string { return l.of.name }

// Workers is the list of workers as it was last told. Its owner is the gate.
type Workers struct {
	zones    Index
	kinds    Index
	places   map[string]int // of the workers on the list, and of those gone whose places nobody has taken
	all      []*Worker      // by place
	gone     places         // of those gone
	active   int            // workers that take submissions
	lists    uint64         // whole ones so far
	looks    uint64         // lists that Changes has looked at
	postings []policy.Posting
}

// Life gives a worker as it is now.
func (w *Workers) Life(i int) Life {
	of := w.all[i]
	return Life{Worker: i, Addr: of.addr, of: of, life: of.life.Load()}
}

// Zone gives the number of a worker's zone, and ZoneName its name.
func (w *Workers) Zone(i int) int { return w.all[i].zone }

// ZoneName gives the name of a zone.
func (w *Workers) ZoneName(zone int) string { return w.zones.Name(zone) }

// Names gives the names of workers and of kinds of machines, by their numbers.
func (w *Workers) Names() (workers, kinds map[int]string) {
	workers, kinds = map[int]string{}, map[int]string{}
	for i, x := range w.all {
		if !x.gone {
			workers[i] = x.name
		}
	}
	for i, name := range w.kinds.names {
		kinds[i] = name
	}
	return workers, kinds
}

// Renumber puts an estate whose workers and kinds bear other numbers in this one's, and leaves out those
// that are not known here.
func (w *Workers) Renumber(e *policy.Estate, workers, kinds map[int]string) {
	standings, paces := e.Workers[:0], e.Kinds[:0]
	for _, s := range e.Workers {
		if at, known := w.places[workers[s.Worker]]; known {
			s.Worker = at
			standings = append(standings, s)
		}
	}
	for _, k := range e.Kinds {
		if at, known := w.kinds.at[kinds[k.Kind]]; known {
			k.Kind = at
			paces = append(paces, k)
		}
	}
	e.Workers, e.Kinds = standings, paces
}

// Active tells whether any worker takes submissions.
func (w *Workers) Active() bool { return w.active > 0 }

// Changes gives what a whole list changes, as a list of those entries alone: Update does with it what it
// does with the whole one. Any other list it gives as it is. It only reads what others read too, and may run
// beside them, but not beside Update.
func (w *Workers) Changes(l endpoints.List) endpoints.List {
	if !l.Whole || len(w.all) == 0 {
		return l
	}
	w.looks++
	change := endpoints.List{Version: l.Version}
	for i := range l.Workers {
		e := &l.Workers[i]
		if at, known := w.places[e.Name]; known {
			x := w.all[at]
			if x.seen == w.looks { // named twice: the last one counts, whatever was known
				return l
			}
			if x.seen = w.looks; x.is(e) && w.zones.Name(x.zone) == e.Zone && w.kinds.Name(x.kind) == e.Kind {
				continue
			}
		}
		change.Workers = append(change.Workers, *e)
	}
	for _, x := range w.all {
		if x.seen != w.looks && !x.gone {
			change.Workers = append(change.Workers, endpoints.Worker{Name: x.name, Address: x.addr,
				Zone: w.zones.Name(x.zone), Cell: x.cell, Kind: w.kinds.Name(x.kind), Rating: x.rating, Gone: true,
				Since: x.since})
		}
	}
	return change
}

// Pieces cuts a long list of changes to be taken one after another, so that no lock is held for all of it.
// Those that take workers away come first. Where it changes half of all at once, or one of them twice, it is
// not cut: the rest may be none, and the last word on one must come last.
func (w *Workers) Pieces(l endpoints.List, most int) []endpoints.List {
	if l.Whole || len(l.Workers) <= most || 2*len(l.Workers) > len(w.all) {
		return []endpoints.List{l}
	}
	var all []endpoints.Worker
	named := make(map[string]bool, len(l.Workers))
	for _, active := range []bool{false, true} {
		for i := range l.Workers {
			if e := &l.Workers[i]; e.Active == active {
				named[e.Name] = true
				all = append(all, *e)
			}
		}
	}
	if len(named) < len(all) {
		return []endpoints.List{l}
	}
	var pieces []endpoints.List
	for piece := range slices.Chunk(all, most) {
		pieces = append(pieces, endpoints.List{Version: l.Version, Workers: piece})
	}
	return pieces
}

// is tells whether a worker is as an entry says, but for its zone and kind. One that is gone may lose its
// place to another of the same list, and is as no entry says.
func (x *Worker) is(e *endpoints.Worker) bool {
	return x.addr == e.Address && x.since == e.Since && x.active == e.Active && !x.gone && !e.Gone &&
		x.cell == e.Cell && x.rating == e.Rating
}

// Update takes a list, and gives the module's form of it and the workers whose connections are of no more
// use. Both are valid until the next call. vacant tells whether nothing refers to a place any more.
func (w *Workers) Update(l endpoints.List, vacant func(int) bool) (list []policy.Posting, ended []int) {
	w.postings = w.postings[:0]
	if l.Whole {
		w.lists++
	}
	for i := range l.Workers {
		e := &l.Workers[i]
		at, known := w.places[e.Name]
		if !known {
			at = w.place(e, vacant)
		}
		x, zone := w.all[at], w.zones.Of(e.Zone)
		if x.named = w.lists; !known { // nothing was meant for it elsewhere
			x.zone, x.cell = zone, e.Cell
		}
		if w.become(x, e.Address, e.Since, e.Active, zone, e.Cell) {
			ended = append(ended, at)
		}
		x.gone, x.kind, x.rating = e.Gone, w.kinds.Of(e.Kind), e.Rating
		w.gone.set(at, e.Gone)
		w.postings = append(w.postings, policy.Posting{Worker: at, Zone: zone, Cell: e.Cell,
			Kind: x.kind, Rating: e.Rating,
			Active: e.Active, Since: e.Since, New: !known})
	}
	for i := 0; l.Whole && i < len(w.all); i++ {
		if x := w.all[i]; x.named != w.lists {
			x.gone = true
			w.gone.set(i, true)
			if w.become(x, x.addr, x.since, false, x.zone, x.cell) {
				ended = append(ended, i)
			}
		}
	}
	return w.postings, ended
}

// place gives a worker that is not known a place: the first one of a worker that is gone, or a new one.
// Guards against workers without end, each under a name of its own, that fill the memory.
func (w *Workers) place(e *endpoints.Worker, vacant func(int) bool) int {
	x, at := &Worker{name: e.Name, since: e.Since, addr: e.Address}, w.gone.first(vacant)
	if at < 0 {
		at = len(w.all)
		w.all = append(w.all, x)
	} else {
		delete(w.places, w.all[at].name)
		if w.all[at].active {
			w.active--
		}
		w.all[at] = x
	}
	if w.places == nil {
		w.places = map[string]int{}
	}
	w.places[e.Name] = at
	return at
}

// become notes a worker's state, and tells whether that ends what was meant for it as it was: a repeat that
// is on its way must not reach it outside of its txn's group.
func (w *Workers) become(x *Worker, addr netip.AddrPort, since float64, active bool, zone, cell int) bool {
	if x.addr == addr && x.since == since && x.active == active && x.zone == zone && x.cell == cell {
		return false
	}
	switch {
	case active && !x.active:
		w.active++
	case !active && x.active:
		w.active--
	}
	x.addr, x.since, x.active, x.zone, x.cell = addr, since, active, zone, cell
	x.life.Add(1)
	return true
}
