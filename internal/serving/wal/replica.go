package wal

import (
	"slices"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// OpenedReplica is the durable state of a replica at the start of its process.
type OpenedReplica struct {
	Identity   string
	Store      *Store
	State      consensus.DurableState
	Corruption error // why the previous state was discarded, or nil; Identity is a new one then
}

// InitialMembers are the identities of the first quorum, where this start bootstraps the system. It is empty
// on every other start.
type InitialMembers []string

// OpenReplica opens the data directory of a replica. A directory without an identity gets initialIdentity
// where that is one of the initial members, and newIdentity otherwise. A directory whose log is corrupted or
// missing gets newIdentity in any case: the votes given under the old identity are lost.
func OpenReplica(
	fsys FileSystem, dir, initialIdentity string, initialMembers InitialMembers, newIdentity string,
) (OpenedReplica, error) {
	identity, err := LoadIdentity(fsys, dir)
	if err != nil {
		return OpenedReplica{}, err
	}
	log, state, exists, err := Open(fsys, dir)
	if err != nil && !errors.Is(err, ErrCorrupted) {
		return OpenedReplica{}, err
	}
	if err == nil && identity != "" && exists {
		return OpenedReplica{Identity: identity, Store: NewStore(log, state), State: state}, nil
	}
	if identity == "" && slices.Contains(initialMembers, initialIdentity) {
		return initialize(fsys, dir, initialIdentity, consensus.BootstrapState(initialMembers))
	}
	// The new identity is durable before the old log is removed: an identity never loses acknowledged data.
	if saveErr := SaveIdentity(fsys, dir, newIdentity); saveErr != nil {
		return OpenedReplica{}, saveErr
	}
	opened, initErr := initialize(fsys, dir, newIdentity, consensus.DurableState{Snapshot: &wirepb.Snapshot{}})
	if identity != "" {
		opened.Corruption = err
		if err == nil {
			opened.Corruption = errors.Wrap(ErrCorrupted, "the log is missing")
		}
	}
	return opened, initErr
}

// initialize makes dir contain exactly state under identity. Segments of an incomplete initialization are
// removed: a process acknowledges nothing before its identity is durable.
func initialize(fsys FileSystem, dir, identity string, state consensus.DurableState) (OpenedReplica, error) {
	if err := RemoveSegments(fsys, dir); err != nil {
		return OpenedReplica{}, err
	}
	log, _, _, err := Open(fsys, dir)
	if err != nil {
		return OpenedReplica{}, err
	}
	store := NewStore(log, state)
	if err := store.Repair(); err != nil {
		return OpenedReplica{}, err
	}
	if err := SaveIdentity(fsys, dir, identity); err != nil {
		return OpenedReplica{}, err
	}
	return OpenedReplica{Identity: identity, Store: store, State: state}, nil
}
