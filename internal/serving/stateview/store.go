package stateview

import (
	"slices"
	"sync"
	"time"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/wirepb"
)

// quorumContactTimeout is how long the process counts as in contact with a majority of the core after the
// contact was last confirmed.
const quorumContactTimeout = 1200 * time.Millisecond

// maxHistory is how many configurations are kept as bases of deltas.
const maxHistory = 24

// Store is a process's copy of the core's state. It is safe for concurrent use.
type Store struct {
	clock func() time.Duration

	mu              sync.Mutex // guards all fields below
	catalog         *catalog.Catalog
	document        *configuration.Document   // in force; nil: none was received
	history         []*configuration.Document // the newest maxHistory, document last
	stateIndex      uint64                    // log index of the state in document and evacuated
	evacuated       []string                  // zones
	quorumContactAt time.Duration             // when contact with a majority of the core was last confirmed
	hadContact      bool                      // quorumContactAt was set
	synced          bool                      // see Snapshot.Synced
	demands         map[string]demandEntry    // by demandKey
	changed         chan struct{}             // closed at the next change
}

// Snapshot is the content of a Store at one moment. Its parts are shared and must not be changed.
type Snapshot struct {
	Document      *configuration.Document // nil: none was received
	StateIndex    uint64                  // log index of the state in Document and Evacuated
	Evacuated     []string                // zones
	Entries       []*catalog.Entry        // all, in the order of their keys, tombstones included
	QuorumContact bool                    // see HasQuorumContact
	Synced        bool                    // the core ran long enough to receive a report of each live process
	Demands       []*wirepb.Demand        // those that have not expired
}

// New returns an empty store. origin is passed to catalog.New; clock returns the time since some fixed
// moment.
func New(origin string, clock func() time.Duration) *Store {
	return &Store{
		clock: clock, catalog: catalog.New(origin), changed: make(chan struct{}), demands: map[string]demandEntry{},
	}
}

// Changed returns a channel that is closed at the next change that subscribers or readers should act on at
// once. New demands and renewed quorum contact do not close it.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notify wakes all goroutines that wait for a change. s.mu must be held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot returns the state now.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{
		Document: s.document, StateIndex: s.stateIndex, Evacuated: s.evacuated,
		Entries: s.catalog.Entries(), QuorumContact: s.hasQuorumContact(), Demands: s.unexpiredDemands(),
		Synced: s.synced,
	}
}

// EntriesOf returns the entries of one kind. They are shared and must not be changed.
func (s *Store) EntriesOf(kind catalog.Kind) []*catalog.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.EntriesOf(kind)
}

// Get returns the entry of a key, or nil. It is shared and must not be changed.
func (s *Store) Get(key string) *catalog.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.Get(key)
}

// WithCatalog lets use read and write the catalog under the store's lock. use reports whether it changed the
// catalog, must not keep it, and must not call the store.
func (s *Store) WithCatalog(use func(now time.Duration, records *catalog.Catalog) (changed bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if use(s.clock(), s.catalog) {
		s.notify()
	}
}

// SetCommitted sets the committed state, as of a log index, from the core's state machine. An index that
// is not newer than the one in force is ignored. document may be nil: none was committed.
func (s *Store) SetCommitted(index uint64, document *configuration.Document, evacuated []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.stateIndex {
		return
	}
	s.stateIndex = index
	documentChanged := document != nil && (s.document == nil || s.document.Generation != document.Generation)
	if documentChanged {
		s.setDocument(document)
	}
	if documentChanged || !slices.Equal(s.evacuated, evacuated) {
		s.evacuated = slices.Clone(evacuated)
		s.notify()
	}
}

// ConfirmQuorumContact records that the process is in contact with a majority of the core now. synced is the
// new value of Snapshot.Synced.
func (s *Store) ConfirmQuorumContact(synced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmQuorumContact(synced)
}

// confirmQuorumContact is ConfirmQuorumContact for callers that hold s.mu.
func (s *Store) confirmQuorumContact(synced bool) {
	s.synced = synced
	s.hadContact = true
	s.quorumContactAt = s.clock()
}

// HasQuorumContact reports whether the process was in contact with a majority of the core within the last
// quorumContactTimeout, directly or through its provider.
func (s *Store) HasQuorumContact() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasQuorumContact()
}

// hasQuorumContact is HasQuorumContact for callers that hold s.mu.
func (s *Store) hasQuorumContact() bool {
	return s.hadContact && s.clock()-s.quorumContactAt < quorumContactTimeout
}

// setDocument puts a configuration in force. s.mu must be held.
func (s *Store) setDocument(document *configuration.Document) {
	s.document = document
	s.history = append(s.history, document)
	if len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[1:])
	}
}
