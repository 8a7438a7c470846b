// Package feed brings the core's state to the edges: a core provides it to agents, an agent to its proxy
// and, where it is told so, to other agents. Each holder says by a version vector, a generation and a log
// index what it has, and gets what is missing. Replica is a holder's copy; Provider and Subscriber are the
// two ends of a link.
package feed

import (
	"slices"
	"sync"
	"time"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/wirepb"
)

// touchLife is how long a holder counts as in touch after it last knew it.
const touchLife = 1200 * time.Millisecond

// keptDocuments is how many configurations are kept to work out differences from.
const keptDocuments = 24

// Position says what a holder has.
type Position struct {
	Vector     *wirepb.VersionVector
	Generation uint64
	StateIndex uint64
	Demands    map[string]uint64 // by edge: the newest report that was told on this link
}

// Replica is one holder's copy of the core's state. It is safe for concurrent use.
type Replica struct {
	mu         sync.Mutex
	clock      func() time.Duration
	catalog    *catalog.Catalog
	document   *configuration.Document // nil: none is known
	history    []*configuration.Document
	stateIndex uint64
	evacuated  []string
	inTouchAt  time.Duration // when the holder last knew itself in touch with a majority of the core
	everTouch  bool
	settled    bool
	demands    map[string]demandEntry
	changed    chan struct{} // closed at the next change
}

type demandEntry struct {
	demand *wirepb.Demand
	heard  time.Duration
}

// View is what a replica holds at a moment. Its parts must not be changed.
type View struct {
	Document   *configuration.Document
	StateIndex uint64
	Evacuated  []string
	Entries    []*catalog.Entry
	InTouch    bool
	Settled    bool // the core has run for long enough to have heard of all that lives
	Demands    []*wirepb.Demand
}

// NewReplica makes an empty replica. origin is that of catalog.New.
func NewReplica(origin string, clock func() time.Duration) *Replica {
	return &Replica{
		clock: clock, catalog: catalog.New(origin), changed: make(chan struct{}), demands: map[string]demandEntry{},
	}
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// View returns what is held now.
func (r *Replica) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return View{
		Document: r.document, StateIndex: r.stateIndex, Evacuated: r.evacuated,
		Entries: r.catalog.Entries(), InTouch: r.inTouch(), Demands: r.liveDemands(),
		Settled: r.settled,
	}
}

// Of returns the entries of one kind. They must not be changed.
func (r *Replica) Of(kind catalog.Kind) []*catalog.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.catalog.Of(kind)
}

// Get returns the entry of a key, or nil. It must not be changed.
func (r *Replica) Get(key string) *catalog.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.catalog.Get(key)
}

// Position returns what is held, for a subscription.
func (r *Replica) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	position := Position{Vector: r.catalog.Vector(), StateIndex: r.stateIndex}
	if r.document != nil {
		position.Generation = r.document.Generation
	}
	return position
}

// WithCatalog lets the caller read and write the catalog; it reports whether it changed it.
func (r *Replica) WithCatalog(use func(now time.Duration, c *catalog.Catalog) (changed bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if use(r.clock(), r.catalog) {
		r.notify()
	}
}

// SetCommitted takes the committed state at a log index from the core's state machine.
func (r *Replica) SetCommitted(index uint64, document *configuration.Document, evacuated []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index <= r.stateIndex {
		return
	}
	r.stateIndex = index
	documentChanged := document != nil && (r.document == nil || r.document.Generation != document.Generation)
	if documentChanged {
		r.setDocument(document)
	}
	if documentChanged || !slices.Equal(r.evacuated, evacuated) {
		r.evacuated = slices.Clone(evacuated)
		r.notify()
	}
}

// Touch notes that the holder is in touch with a majority of the core now. settled says whether that core
// has run long enough to have heard of all that lives.
func (r *Replica) Touch(settled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.touch(settled)
}

func (r *Replica) touch(settled bool) {
	r.settled = settled
	r.everTouch = true
	r.inTouchAt = r.clock()
}

func (r *Replica) inTouch() bool { return r.everTouch && r.clock()-r.inTouchAt < touchLife }

// InTouch reports whether the holder is in touch with a majority of the core, directly or by its provider.
func (r *Replica) InTouch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inTouch()
}

func (r *Replica) setDocument(document *configuration.Document) {
	r.document = document
	r.history = append(r.history, document)
	if len(r.history) > keptDocuments {
		r.history = slices.Clone(r.history[1:])
	}
}

// Apply takes an update from a provider. It returns false where a part could not be used, and the holder
// has to subscribe anew.
func (r *Replica) Apply(update *wirepb.FeedUpdate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	if update.InTouch {
		changed = update.Settled && !r.settled
		r.touch(update.Settled)
	}
	usable := true
	if update.StateIndex >= r.stateIndex {
		applied, ok := r.applyCommitted(update)
		changed = changed || applied
		usable = ok
	}
	if len(r.catalog.Merge(r.clock(), update.Records, update.Vector)) > 0 {
		changed = true
	}
	if update.Settled && update.InTouch && r.catalog.DropUnknownOrigins(update.Vector) {
		changed = true
	}
	r.applyDemands(update.Demands)
	if changed {
		r.notify()
	}
	return usable
}

func (r *Replica) applyCommitted(update *wirepb.FeedUpdate) (changed, usable bool) {
	if update.Configuration != nil {
		document, err := r.document.Apply(update.Configuration)
		if err != nil {
			return false, false
		}
		r.setDocument(document)
		changed = true
	}
	if update.EvacuationsSet && !slices.Equal(r.evacuated, update.Evacuated) {
		r.evacuated = slices.Clone(update.Evacuated)
		changed = true
	}
	r.stateIndex = update.StateIndex
	return changed, true
}

// Difference returns what a holder at position lacks, and the position that it will have then. The update
// is empty but for its vector where nothing is missing.
func (r *Replica) Difference(position Position) (*wirepb.FeedUpdate, Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update := &wirepb.FeedUpdate{InTouch: r.inTouch(), Settled: r.settled, StateIndex: r.stateIndex}
	next := position
	if r.stateIndex >= position.StateIndex {
		next.StateIndex = r.stateIndex
		update.EvacuationsSet = true
		update.Evacuated = r.evacuated
		if r.document != nil && r.document.Generation != position.Generation {
			update.Configuration = r.updateFrom(position.Generation)
			next.Generation = r.document.Generation
		}
	}
	update.Records = r.catalog.Since(r.clock(), position.Vector)
	update.Vector = r.catalog.Vector()
	update.Demands, next.Demands = r.demandsSince(position.Demands)
	next.Vector = update.Vector
	return update, next
}

// updateFrom returns the update from a generation that the holder has, whole where that one is no longer
// known.
func (r *Replica) updateFrom(generation uint64) *wirepb.ConfigurationUpdate {
	for _, document := range r.history {
		if generation != 0 && document.Generation == generation {
			return document.Difference(r.document)
		}
	}
	return r.document.Whole()
}
