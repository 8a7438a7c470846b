// Package bootstrap is what a newcomer goes by for its list of workers until discovery has spoken to it: its
// own
// list, and what running instances say of theirs. It decides what of that is believed, and is free of I/O.
package bootstrap

import (
	"slices"
	"strings"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/ruleset"
)

const (
	Version   = 1        // of what instances tell each other; another one is not heard
	Peers     = 3        // instances that are asked; one may be down and one wrong
	AskWithin = 300.0    // ms for one to answer; a list takes some ms
	AskAgain  = 500.0    // ms until they are asked again while discovery says nothing, with jitter of half
	MostAge   = 60000.0  // ms since a peer last heard discovery; longer ago its list is no news to anyone
	LagFor    = 1000.0   // ms behind another's list until others are asked; news comes to all within less
	LongestOf = 32 << 20 // bytes of a peer's list; discovery's own bound
)

// Book is a newcomer's knowledge of the list. It is not safe for concurrent use.
type Book struct {
	version int64
	own     map[string]endpoints.Worker // as discovery has told it, or as it was known at the start
	heard   bool                        // discovery has spoken in this life
	at      float64                     // when it last did, ms
	hearsay endpoints.List              // the newest of peers' lists that is gone by
	inForce bool
	words   []ruleset.WorkerOverride // the operators', which hold over any list
	highest int64                    // index that any instance is told to have
	since   float64                  // when it first was higher than the own one, ms; 0 where it is not
	behind  bool                     // it has been for long
}

// NewBook begins with the list that was known at the start, which may be old.
func NewBook(known endpoints.List) *Book {
	b := &Book{own: map[string]endpoints.Worker{}}
	b.take(known)
	return b
}

func (b *Book) take(l endpoints.List) {
	if l.Snapshot {
		clear(b.own)
	}
	for _, w := range l.Workers {
		if w.Removed {
			delete(b.own, w.Name)
		} else {
			b.own[w.Name] = w
		}
	}
	b.version = l.Version
}

// Discovery takes discovery's news, and gives what is to be gone by from then on: the news itself or, where
// hearsay was in force till then, the whole list.
func (b *Book) Discovery(l endpoints.List, now float64) endpoints.List {
	b.take(l)
	if whole, changed := b.Alive(now); changed {
		return whole
	} else if b.inForce {
		whole, _ = b.merged(b.hearsay)
		return b.ruled(whole)
	}
	return b.ruled(l)
}

// Lags takes the highest index that any instance is told to have, and tells whether the own list has been
// behind it for so long that others are to be asked, though discovery goes on being heard: what it says is
// old.
func (b *Book) Lags(highest int64, now float64) bool {
	b.highest = highest
	switch {
	case highest <= b.version:
		b.since = 0
	case b.since == 0:
		b.since = now
	}
	b.behind = b.since > 0 && now-b.since > LagFor
	return b.behind
}

// Words takes the operators' words on workers and halls, in place of those before, and gives the whole list
// that is to be gone by.
func (b *Book) Words(all []ruleset.WorkerOverride) endpoints.List {
	b.words = all
	if b.inForce {
		l, _ := b.merged(b.hearsay)
		return b.ruled(l)
	}
	return b.ruled(b.Own())
}

// ruled is a list as the operators' words leave it: a worker that is barred is not on it, one that is drained
// drains, and the weight that is said last holds, that of a worker before that of its hall.
func (b *Book) ruled(l endpoints.List) endpoints.List {
	if len(b.words) == 0 {
		return l
	}
	l.Workers = slices.Clone(l.Workers)
	for i := range l.Workers {
		w := &l.Workers[i]
		own := 0.0
		for _, x := range b.words {
			if x.Worker != "" && x.Worker != w.Name || x.Region != "" && x.Region != w.Zone ||
				x.Worker+x.Region == "" {
				continue
			}
			w.Active = w.Active && !x.Drained && !x.Barred
			w.Removed = w.Removed || x.Barred
			if x.Weight > 0 && x.Worker != "" {
				own = x.Weight
			} else if x.Weight > 0 {
				w.Weight = x.Weight
			}
		}
		if own > 0 {
			w.Weight = own
		}
	}
	return l
}

// Version gives the index of the list that discovery has told, or that was known at the start.
func (b *Book) Version() int64 { return b.version }

// Alive notes that discovery is heard, whether it has news or not. Hearsay ends with that: where it was in
// force, the whole list is to be gone by again.
func (b *Book) Alive(now float64) (endpoints.List, bool) {
	b.heard, b.at = true, now
	b.Lags(b.highest, now)
	if !b.inForce || b.behind && b.hearsay.Version > b.version {
		return endpoints.List{}, false
	}
	b.inForce, b.hearsay = false, endpoints.List{}
	return b.ruled(b.Own()), true
}

// Own gives the list without hearsay, in the order of names.
func (b *Book) Own() endpoints.List {
	l := endpoints.List{Version: b.version, Snapshot: true}
	for _, w := range b.own {
		l.Workers = append(l.Workers, w)
	}
	slices.SortFunc(l.Workers, func(x, y endpoints.Worker) int { return strings.Compare(x.Name, y.Name) })
	return l
}

// Tells gives what a newcomer may be told, and how old it is: only what discovery has said in this life.
// Guards against hearsay that goes round.
func (b *Book) Tells(now float64) (l endpoints.List, age float64, ok bool) {
	if !b.heard {
		return l, 0, false
	}
	return b.Own(), now - b.at, true
}

// Waits tells whether discovery has not spoken yet, or speaks of old.
func (b *Book) Waits() bool { return !b.heard || b.behind && b.hearsay.Version < b.highest }

// Heard tells whether discovery has spoken in this life.
func (b *Book) Heard() bool { return b.heard }

// Peer takes a peer's list, of an age, and gives the whole list that is to be gone by if that changes it.
// Own sight beats hearsay: once discovery has spoken nothing is believed, unless what it says is known to
// lag. Newer beats older, by discovery's own versions. And hearsay only takes away, or adds what is not
// known here: guards against a peer that is wrong about a worker that drains, which must get nothing new
// whatever anybody else says. Nor may it take all away.
func (b *Book) Peer(l endpoints.List, age float64) (endpoints.List, bool) {
	if b.heard && !b.behind || !l.Snapshot || l.Version <= max(b.version, b.hearsay.Version) || !(age >= 0) ||
		age > MostAge {
		return endpoints.List{}, false
	}
	merged, active := b.merged(l)
	if !active {
		return endpoints.List{}, false
	}
	b.hearsay, b.inForce = l, true
	return b.ruled(merged), true
}

// merged is the list that hearsay makes of the own one, and whether any worker on it takes submissions.
func (b *Book) merged(l endpoints.List) (merged endpoints.List, active bool) {
	merged = endpoints.List{Version: b.version, Snapshot: true}
	for _, w := range l.Workers {
		if w.Removed {
			continue
		}
		if own, known := b.own[w.Name]; known {
			w.Active = w.Active && own.Active
			w.StartedMillis = max(w.StartedMillis,
				own.StartedMillis) // of two starts the later one, so that it counts as cold
			if !w.Active {
				w.Address = own.Address
			}
		}
		active = active || w.Active
		merged.Workers = append(merged.Workers, w)
	}
	return merged, active
}
