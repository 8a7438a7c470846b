package wal

import (
	"slices"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// Opened is a replica's disk: who it is, and what it holds.
type Opened struct {
	Identity string
	Store    *Store
	Stored   consensus.DurableState
	Damage   error // what was found wrong with the disk, which joins anew then
}

// Founders says which replicas found a quorum, on the first start of a whole system. None: it is not that.
type Founders []string

// OpenReplica opens the disk of a replica in folder. A disk that has none yet gets an identity: that of a
// founder where it has never had one and is among the founders, else fresh. A disk that has lost what it
// held gets a fresh identity, whoever it was: its votes and its copies are gone.
func OpenReplica(files FileSystem, folder, founder string, founders Founders, fresh string) (Opened, error) {
	identity, err := LoadIdentity(files, folder)
	if err != nil {
		return Opened{}, err
	}
	log, stored, exists, err := Open(files, folder)
	if err != nil && !errors.Is(err, ErrDamaged) {
		return Opened{}, err
	}
	if err == nil && identity != "" && exists {
		return Opened{Identity: identity, Store: NewStore(log, stored), Stored: stored}, nil
	}
	if identity == "" && slices.Contains(founders, founder) {
		return begin(files, folder, founder, consensus.BootstrapState(founders))
	}
	// The new identity is saved before the old log is removed: an identity never stands over less than it held.
	if saveErr := SaveIdentity(files, folder, fresh); saveErr != nil {
		return Opened{}, saveErr
	}
	opened, beginErr := begin(files, folder, fresh, consensus.DurableState{Snapshot: &wirepb.Snapshot{}})
	if identity != "" {
		opened.Damage = err
		if err == nil {
			opened.Damage = errors.Wrap(ErrDamaged, "the log is missing")
		}
	}
	return opened, beginErr
}

// begin makes a disk hold exactly stored, under an identity. What a life before it left unfinished was never
// told to anyone.
func begin(files FileSystem, folder, identity string, stored consensus.DurableState) (Opened, error) {
	if err := Clear(files, folder); err != nil {
		return Opened{}, err
	}
	log, _, _, err := Open(files, folder)
	if err != nil {
		return Opened{}, err
	}
	store := NewStore(log, stored)
	if err := store.Repair(); err != nil {
		return Opened{}, err
	}
	if err := SaveIdentity(files, folder, identity); err != nil {
		return Opened{}, err
	}
	return Opened{Identity: identity, Store: store, Stored: stored}, nil
}
