// Package stateview holds one holder's copy of the core's state: a core's own, that of an agent, and that of
// a
// proxy. Each holder says by a version vector, a generation and a log index what it has, and another one
// works out what is missing. The package has no I/O and no clock of its own.
package stateview

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

// Mirror is one holder's copy of the core's state. It is safe for concurrent use.
type Mirror struct {
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

// View is what a mirror holds at a moment. Its parts must not be changed.
type View struct {
	Document   *configuration.Document
	StateIndex uint64
	Evacuated  []string
	Entries    []*catalog.Entry
	InTouch    bool
	Settled    bool // the core has run for long enough to have heard of all that lives
	Demands    []*wirepb.Demand
}

// New makes an empty mirror. origin is that of catalog.New.
func New(origin string, clock func() time.Duration) *Mirror {
	return &Mirror{
		clock: clock, catalog: catalog.New(origin), changed: make(chan struct{}), demands: map[string]demandEntry{},
	}
}

// Changed returns a channel that is closed at the next change.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *Mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// View returns what is held now.
func (m *Mirror) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return View{
		Document: m.document, StateIndex: m.stateIndex, Evacuated: m.evacuated,
		Entries: m.catalog.Entries(), InTouch: m.inTouch(), Demands: m.liveDemands(),
		Settled: m.settled,
	}
}

// EntriesOf returns the entries of one kind. They must not be changed.
func (m *Mirror) EntriesOf(kind catalog.Kind) []*catalog.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.EntriesOf(kind)
}

// Get returns the entry of a key, or nil. It must not be changed.
func (m *Mirror) Get(key string) *catalog.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.Get(key)
}

// Position returns what is held, for a subscription.
func (m *Mirror) Position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	position := Position{Vector: m.catalog.Vector(), StateIndex: m.stateIndex}
	if m.document != nil {
		position.Generation = m.document.Generation
	}
	return position
}

// WithCatalog lets the caller read and write the catalog; it reports whether it changed it.
func (m *Mirror) WithCatalog(use func(now time.Duration, c *catalog.Catalog) (changed bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if use(m.clock(), m.catalog) {
		m.notify()
	}
}

// SetCommitted takes the committed state at a log index from the core's state machine.
func (m *Mirror) SetCommitted(index uint64, document *configuration.Document, evacuated []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.stateIndex {
		return
	}
	m.stateIndex = index
	documentChanged := document != nil && (m.document == nil || m.document.Generation != document.Generation)
	if documentChanged {
		m.setDocument(document)
	}
	if documentChanged || !slices.Equal(m.evacuated, evacuated) {
		m.evacuated = slices.Clone(evacuated)
		m.notify()
	}
}

// Touch notes that the holder is in touch with a majority of the core now. settled says whether that core
// has run long enough to have heard of all that lives.
func (m *Mirror) Touch(settled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.touch(settled)
}

func (m *Mirror) touch(settled bool) {
	m.settled = settled
	m.everTouch = true
	m.inTouchAt = m.clock()
}

func (m *Mirror) inTouch() bool { return m.everTouch && m.clock()-m.inTouchAt < touchLife }

// InTouch reports whether the holder is in touch with a majority of the core, directly or by its provider.
func (m *Mirror) InTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inTouch()
}

func (m *Mirror) setDocument(document *configuration.Document) {
	m.document = document
	m.history = append(m.history, document)
	if len(m.history) > keptDocuments {
		m.history = slices.Clone(m.history[1:])
	}
}

// Apply takes an update from a provider. It returns false where a part could not be used, and the holder
// has to subscribe anew.
func (m *Mirror) Apply(update *wirepb.FeedUpdate) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	if update.InTouch {
		changed = update.Settled && !m.settled
		m.touch(update.Settled)
	}
	usable := true
	if update.StateIndex >= m.stateIndex {
		applied, ok := m.applyCommitted(update)
		changed = changed || applied
		usable = ok
	}
	if len(m.catalog.Merge(m.clock(), update.Records, update.Vector)) > 0 {
		changed = true
	}
	if update.Settled && update.InTouch && m.catalog.DropUnknownOrigins(update.Vector) {
		changed = true
	}
	m.applyDemands(update.Demands)
	if changed {
		m.notify()
	}
	return usable
}

func (m *Mirror) applyCommitted(update *wirepb.FeedUpdate) (changed, usable bool) {
	if update.Configuration != nil {
		document, err := m.document.Apply(update.Configuration)
		if err != nil {
			return false, false
		}
		m.setDocument(document)
		changed = true
	}
	if update.EvacuationsSet && !slices.Equal(m.evacuated, update.Evacuated) {
		m.evacuated = slices.Clone(update.Evacuated)
		changed = true
	}
	m.stateIndex = update.StateIndex
	return changed, true
}

// Difference returns what a holder at position lacks, and the position that it will have then. The update
// is empty but for its vector where nothing is missing.
func (m *Mirror) Difference(position Position) (*wirepb.FeedUpdate, Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	update := &wirepb.FeedUpdate{InTouch: m.inTouch(), Settled: m.settled, StateIndex: m.stateIndex}
	next := position
	if m.stateIndex >= position.StateIndex {
		next.StateIndex = m.stateIndex
		update.EvacuationsSet = true
		update.Evacuated = m.evacuated
		if m.document != nil && m.document.Generation != position.Generation {
			update.Configuration = m.updateFrom(position.Generation)
			next.Generation = m.document.Generation
		}
	}
	update.Records = m.catalog.Since(m.clock(), position.Vector)
	update.Vector = m.catalog.Vector()
	update.Demands, next.Demands = m.demandsSince(position.Demands)
	next.Vector = update.Vector
	return update, next
}

// updateFrom returns the update from a generation that the holder has, whole where that one is no longer
// known.
func (m *Mirror) updateFrom(generation uint64) *wirepb.ConfigurationUpdate {
	for _, document := range m.history {
		if generation != 0 && document.Generation == generation {
			return document.UpdateTo(m.document)
		}
	}
	return m.document.FullUpdate()
}
