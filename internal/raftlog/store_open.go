package raftlog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// storeLockTimeout is how long a store that another process has locked is waited for. After a kill on a busy
// machine the kernel has kept the lock for over a second beyond the process.
const storeLockTimeout = 10 * time.Second

// Why a store can't be opened.
var (
	errCorruptStore = errors.New("corrupt store")
	errStoreLocked  = errors.New("another process has it open")
)

// openedStore is the outcome of openStore.
type openedStore struct {
	store      *store // nil after an error
	movedTo    string // the new name of a corrupt file that was moved aside; empty: none was
	corruption error  // what was wrong with that file
}

// openStore opens a host's store, and creates a new one if there is none. A corrupt file is moved aside,
// and the store is a new one, with a new identity.
func openStore(path, hostName string) (opened openedStore, err error) {
	opened.store, err = loadStore(path, hostName)
	if !errors.Is(err, errCorruptStore) {
		return opened, err
	}
	opened.corruption = err
	movedTo, err := moveAside(path, movedCorrupt)
	if err != nil {
		return openedStore{corruption: opened.corruption}, err
	}
	opened.movedTo = movedTo
	opened.store, err = loadStore(path, hostName)
	return opened, err
}

// moveAside renames a store's file, so that an operator can look at it, and returns its new name.
func moveAside(path, reason string) (movedTo string, err error) {
	movedTo = fmt.Sprintf("%s.%s-%d", path, reason, time.Now().UnixNano())
	return movedTo, os.Rename(path, movedTo)
}

// loadStore opens a host's store, or creates it. An error wraps errCorruptStore if the file is not to be
// used any more; otherwise it is left alone.
func loadStore(path, hostName string) (s *store, err error) {
	if _, missing := os.Stat(path); missing == nil {
		if err := verifyFile(path); err != nil {
			return nil, err
		}
	}
	db, err := openBolt(path, false)
	if err != nil {
		return nil, err
	}
	s = newStore(db)
	if err = s.loadAll(); err == nil && s.identity.Nonce == "" {
		s.identity = identity{HostName: hostName, Nonce: newNonce()}
		err = s.save(&storeUpdate{})
	}
	if err == nil && s.identity.HostName != hostName {
		err = fmt.Errorf("%s: it is the store of %q, not of %q", path, s.identity.HostName, hostName)
	}
	if err != nil {
		_ = db.Close() // the first error counts
		return nil, err
	}
	return s, nil
}

// openBolt opens the file. An error of the library, a panic in it or a page beyond the file's end wraps
// errCorruptStore; a lock wraps errStoreLocked; an error of the system is returned as it is.
func openBolt(path string, readOnly bool) (db *bbolt.DB, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverAsCorrupt(&err)
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: storeLockTimeout, ReadOnly: readOnly})
	var pathError *os.PathError
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, berrors.ErrTimeout):
		return nil, fmt.Errorf("%s: %w", path, errStoreLocked)
	case errors.As(err, &pathError):
		return nil, err
	default: // one of the library's own, or none that it names: the pages are cut short
		return nil, fmt.Errorf("%w: %w", errCorruptStore, err)
	}
}

// recoverAsCorrupt turns a panic of the library, such as a fault on a mapped page beyond the file's end,
// into an error. It is called by defer.
func recoverAsCorrupt(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%w: %v", errCorruptStore, p)
	}
}

// verifyFile reads and checks all of an existing file, before it is opened to be written.
func verifyFile(path string) (err error) {
	db, err := openBolt(path, true)
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }() // it was only read
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverAsCorrupt(&err)
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	err = db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: it has %d bytes of %d", errCorruptStore, info.Size(), tx.Size())
		}
		return nil
	})
	if err != nil {
		return err
	}
	s := newStore(db)
	if err := s.loadAll(); err != nil {
		return err
	}
	if s.identity.Nonce == "" {
		return fmt.Errorf("%w: it is empty", errCorruptStore)
	}
	return nil
}

// loadAll loads all that the file holds; nothing from a new one. An error wraps errCorruptStore.
func (s *store) loadAll() error {
	return s.db.View(func(tx *bbolt.Tx) error {
		state, log := tx.Bucket(stateBucket), tx.Bucket(logBucket)
		if state == nil && log == nil {
			return nil // a new one
		}
		if state == nil || log == nil {
			return fmt.Errorf("%w: a bucket is missing", errCorruptStore)
		}
		stored, err := s.loadState(state)
		if err != nil {
			return err
		}
		if !raft.IsEmptySnap(stored.snapshot) {
			if err := s.memory.ApplySnapshot(stored.snapshot); err != nil {
				return err
			}
		}
		entries, err := loadEntries(log, stored.snapshot.Metadata.Index)
		if err != nil {
			return err
		}
		last := stored.snapshot.Metadata.Index + uint64(len(entries))
		if last != stored.lastIndex || stored.hardState.Commit > stored.lastIndex {
			return fmt.Errorf("%w: the log ends at %d, not at %d", errCorruptStore, last, stored.lastIndex)
		}
		if err := s.memory.Append(entries); err != nil {
			return err
		}
		return s.memory.SetHardState(stored.hardState)
	})
}

// storedState is what the state bucket holds for raft.
type storedState struct {
	hardState raftpb.HardState
	snapshot  raftpb.Snapshot
	lastIndex uint64 // of the log
}

// loadState loads the state bucket: the store's own part into s, raft's part into the result.
func (s *store) loadState(bucket *bbolt.Bucket) (stored storedState, err error) {
	values := map[string][]byte{}
	err = bucket.ForEach(func(key, value []byte) (err error) {
		values[string(key)], err = checkedValue(key, value)
		return err
	})
	if err != nil {
		return stored, err
	}
	if values[identityKey] == nil || len(values[writeSeqKey]) != 8 || len(values[lastIndexKey]) != 8 {
		return stored, fmt.Errorf("%w: its identity, sequence number or last index is missing", errCorruptStore)
	}
	if err := errors.Join(
		json.Unmarshal(values[identityKey], &s.identity),
		json.Unmarshal(values[peerSeqsKey], &s.peerSeqs),
		stored.hardState.Unmarshal(values[hardStateKey]),
		stored.snapshot.Unmarshal(values[snapshotKey]),
	); err != nil {
		return stored, fmt.Errorf("%w: %w", errCorruptStore, err)
	}
	s.writeSeq.Store(binary.BigEndian.Uint64(values[writeSeqKey]))
	stored.lastIndex = binary.BigEndian.Uint64(values[lastIndexKey])
	return stored, nil
}

// loadEntries loads the log's entries after the snapshot's index, and checks that none is missing.
func loadEntries(log *bbolt.Bucket, snapshotIndex uint64) (entries []raftpb.Entry, err error) {
	next := snapshotIndex + 1
	err = log.ForEach(func(key, value []byte) error {
		raw, err := checkedValue(key, value)
		if err != nil {
			return err
		}
		var entry raftpb.Entry
		if err := entry.Unmarshal(raw); err != nil || len(key) != 8 ||
			binary.BigEndian.Uint64(key) != entry.Index {
			return fmt.Errorf("%w: entry %x", errCorruptStore, key)
		}
		if entry.Index < next && len(entries) == 0 {
			return nil // retained for followers that are a little behind
		}
		if entry.Index != next {
			return fmt.Errorf("%w: entry %d is missing", errCorruptStore, next)
		}
		next++
		entries = append(entries, entry)
		return nil
	})
	return entries, err
}
