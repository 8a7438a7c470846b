package raftlog

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// self is who a disk says that a daemon is. A daemon with another disk is another one.
type identity struct {
	HostName string `json:"name"`
	Nonce    string `json:"nonce"`   // drawn when the disk was empty
	GroupID  string `json:"cluster"` // which council it belongs to; empty until it has found or founded one
}

// id is its place in the library's log: 0 and the two highest are the library's own.
func (s identity) diskID() uint64 {
	h := sha256.Sum256([]byte(s.HostName + "\x00" + s.Nonce))
	return binary.BigEndian.Uint64(h[:8])&(math.MaxUint64>>1) | 1
}

// store keeps the log, the vote and the snapshot in one file, and a copy in memory for the library to read.
// Each write is one transaction, synced before it returns. Every value carries a checksum of itself and its
// key, as the library that keeps the file has one of its first pages alone.
type store struct {
	db            *bbolt.DB
	memory        *raft.MemoryStorage
	identity      identity
	writeSeq      uint64            // transactions so far: others remember it, and so know an old copy of the disk
	mu            sync.Mutex        // of heard
	peerSeqs      map[string]uint64 // the highest of each other disk, by its id in hex
	peerSeqsDirty bool              // some of it is not written yet
	writeFault    func() error      // for tests: what the disk says to a write
}

var (
	logBucket   = []byte("log")
	stateBucket = []byte("state")
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)

	errCorruptStore = errors.New("spoilt")
	errStoreLocked  = errors.New("another process has it open")
)

const hardStateKey, snapshotKey, identityKey, writeSeqKey, peerSeqsKey, lastIndexKey = "hard", "snap", "self", "seq", "heard", "last"

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

func putChecked(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), checksum(key, value)),
		value...))
}

// whole gives a value whose checksum is right, as a copy.
func checkedValue(key, raw []byte) ([]byte, error) {
	if len(raw) < 4 || binary.BigEndian.Uint32(raw) != checksum(key, raw[4:]) {
		return nil, fmt.Errorf("%w: %q", errCorruptStore, key)
	}
	return append([]byte(nil), raw[4:]...), nil
}

// open opens a daemon's store, and makes a new one where there is none. A spoilt one is moved aside, and
// the daemon is a new one: aside names the file then, and why says what was wrong.
func openStore(path, name string) (s *store, aside string, why error, err error) {
	if s, err = loadStore(path, name); errors.Is(err, errCorruptStore) {
		why = err
		if aside, err = moveAside(path, "torn"); err != nil {
			return nil, "", why, err
		}
		s, err = loadStore(path, name)
	}
	return s, aside, why, err
}

// setAside renames a store's file, so that an operator can look at it.
func moveAside(path, as string) (string, error) {
	to := fmt.Sprintf("%s.%s-%d", path, as, time.Now().UnixNano())
	return to, os.Rename(path, to)
}

func loadStore(path, name string) (s *store, err error) {
	_, missing := os.Stat(path)
	if missing == nil {
		if err := verifyFile(path); err != nil {
			return nil, err
		}
	}
	db, err := openBolt(path, false)
	if err != nil {
		return nil, err
	}
	s = &store{db: db, memory: raft.NewMemoryStorage(), peerSeqs: map[string]uint64{}}
	if err = s.loadAll(); err == nil && s.identity.Nonce == "" {
		s.identity = identity{HostName: name, Nonce: newNonce()}
		err = s.save(raftpb.HardState{}, nil, raftpb.Snapshot{})
	}
	if err == nil && s.identity.HostName != name {
		err = fmt.Errorf("%s: it is the store of %q, not of %q", path, s.identity.HostName, name)
	}
	if err != nil {
		_ = db.Close()
		return nil, err
	}
	return s, nil
}

func newNonce() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func randomUint64() uint64 {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return binary.BigEndian.Uint64(b)
}

// guarded opens the file. One that breaks the library, by an error, a panic or a page beyond its end, is
// torn.
func openBolt(path string, readOnly bool) (db *bbolt.DB, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			db, err = nil, fmt.Errorf("%w: %v", errCorruptStore, p)
		}
	}()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, ReadOnly: readOnly})
	switch {
	case err == nil:
	case errors.Is(err, berrors.ErrTimeout):
		err = fmt.Errorf("%s: %w", path, errStoreLocked)
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum),
		errors.Is(err, berrors.ErrVersionMismatch):
		err = fmt.Errorf("%w: %w", errCorruptStore, err)
	default:
		var path *os.PathError
		if !errors.As(err, &path) { // neither the system's word, nor one of the library's: pages cut short
			err = fmt.Errorf("%w: %w", errCorruptStore, err)
		}
	}
	return db, err
}

// check reads all that a file has, before it is opened to be written.
func verifyFile(path string) (err error) {
	db, err := openBolt(path, true)
	if err != nil {
		return err
	}
	defer db.Close()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errCorruptStore, p)
		}
	}()
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
	s := &store{db: db, memory: raft.NewMemoryStorage(), peerSeqs: map[string]uint64{}}
	if err := s.loadAll(); err != nil {
		return err
	}
	if s.identity.Nonce == "" {
		return fmt.Errorf("%w: nothing is in it", errCorruptStore)
	}
	return nil
}

// update writes a transaction. One in which the library meets pages that can't be is no more than failed.
func (s *store) update(f func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errCorruptStore, p)
		}
	}()
	return s.db.Update(f)
}

// read takes up all that the file has.
func (s *store) loadAll() error {
	return s.db.View(func(tx *bbolt.Tx) error {
		state, log := tx.Bucket(stateBucket), tx.Bucket(logBucket)
		if state == nil && log == nil {
			return nil // a new one
		}
		if state == nil || log == nil {
			return fmt.Errorf("%w: a bucket is missing", errCorruptStore)
		}
		values := map[string][]byte{}
		err := state.ForEach(func(k, v []byte) (err error) {
			values[string(k)], err = checkedValue(k, v)
			return err
		})
		if err != nil {
			return err
		}
		var hard raftpb.HardState
		var snap raftpb.Snapshot
		if values[identityKey] == nil || len(values[writeSeqKey]) != 8 || len(values[lastIndexKey]) != 8 {
			return fmt.Errorf("%w: who it is or how far it goes is missing", errCorruptStore)
		}
		if err := errors.Join(json.Unmarshal(values[identityKey], &s.identity),
			json.Unmarshal(values[peerSeqsKey], &s.peerSeqs),
			hard.Unmarshal(values[hardStateKey]), snap.Unmarshal(values[snapshotKey])); err != nil {
			return fmt.Errorf("%w: %w", errCorruptStore, err)
		}
		s.writeSeq = binary.BigEndian.Uint64(values[writeSeqKey])
		if !raft.IsEmptySnap(snap) {
			if err := s.memory.ApplySnapshot(snap); err != nil {
				return err
			}
		}
		next := snap.Metadata.Index + 1
		var entries []raftpb.Entry
		err = log.ForEach(func(k, v []byte) error {
			raw, err := checkedValue(k, v)
			if err != nil {
				return err
			}
			var e raftpb.Entry
			if err := e.Unmarshal(raw); err != nil || len(k) != 8 || binary.BigEndian.Uint64(k) != e.Index {
				return fmt.Errorf("%w: entry %x", errCorruptStore, k)
			}
			if e.Index < next && len(entries) == 0 {
				return nil // kept for those that are a little behind
			}
			if e.Index != next {
				return fmt.Errorf("%w: entry %d is missing", errCorruptStore, next)
			}
			next++
			entries = append(entries, e)
			return nil
		})
		if err != nil {
			return err
		}
		if last := binary.BigEndian.Uint64(values[lastIndexKey]); next != last+1 || hard.Commit > last {
			return fmt.Errorf("%w: the log ends at %d, not at %d", errCorruptStore, next-1, last)
		}
		if err := s.memory.Append(entries); err != nil {
			return err
		}
		return s.memory.SetHardState(hard)
	})
}

func encodeIndex(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// save writes what the library wants to outlive a crash, and what has been heard of others with it. After
// an error the file holds what it held before, and nothing may be said of what was to be written.
func (s *store) save(hard raftpb.HardState, entries []raftpb.Entry, snap raftpb.Snapshot) error {
	if s.writeFault != nil {
		if err := s.writeFault(); err != nil {
			return err
		}
	}
	seq := s.writeSeq + 1
	err := s.update(func(tx *bbolt.Tx) error {
		state, err := tx.CreateBucketIfNotExists(stateBucket)
		if err != nil {
			return err
		}
		log, err := tx.CreateBucketIfNotExists(logBucket)
		if err != nil {
			return err
		}
		last, err := s.memory.LastIndex()
		if err != nil {
			return err
		}
		if !raft.IsEmptySnap(snap) { // what came from another in place of the log
			last = snap.Metadata.Index
			if err := deleteEntries(log, 0, math.MaxUint64); err != nil {
				return err
			}
			if err := putMarshaled(state, snapshotKey, &snap); err != nil {
				return err
			}
		}
		if len(entries) > 0 {
			last = entries[len(entries)-1].Index
			if err := deleteEntries(log, entries[0].Index, math.MaxUint64); err != nil {
				return err
			}
		}
		for i := range entries {
			raw, err := entries[i].Marshal()
			if err != nil {
				return err
			}
			if err := putChecked(log, encodeIndex(entries[i].Index), raw); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(hard) {
			if err := putMarshaled(state, hardStateKey, &hard); err != nil {
				return err
			}
		}
		return s.putWriteState(state, seq, last)
	})
	if err != nil {
		return err
	}
	s.writeSeq = seq
	if !raft.IsEmptySnap(snap) {
		if err := s.memory.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(hard) {
		_ = s.memory.SetHardState(hard)
	}
	return s.memory.Append(entries)
}

// trailer writes what stands in every transaction.
func (s *store) putWriteState(state *bbolt.Bucket, seq, last uint64) error {
	me, err := json.Marshal(s.identity)
	if err != nil {
		return err
	}
	s.mu.Lock()
	heard, err := json.Marshal(s.peerSeqs)
	s.peerSeqsDirty = false
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return errors.Join(putChecked(state, []byte(identityKey), me), putChecked(state, []byte(peerSeqsKey), heard),
		putChecked(state, []byte(writeSeqKey), encodeIndex(seq)), putChecked(state, []byte(lastIndexKey),
			encodeIndex(last)))
}

// compact puts a snapshot of what is applied up to index in place of the log, and keeps the last keep
// entries before it for those that are a little behind.
func (s *store) compact(index uint64, conf *raftpb.ConfState, data []byte, keep uint64) error {
	snap, err := s.memory.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	last, err := s.memory.LastIndex()
	if err != nil {
		return err
	}
	seq, upTo := s.writeSeq+1, uint64(0)
	if index > keep {
		upTo = index - keep
	}
	err = s.update(func(tx *bbolt.Tx) error {
		log, state := tx.Bucket(logBucket), tx.Bucket(stateBucket)
		if err := deleteEntries(log, 0, upTo); err != nil {
			return err
		}
		if err := putMarshaled(state, snapshotKey, &snap); err != nil {
			return err
		}
		return s.putWriteState(state, seq, last)
	})
	if err != nil {
		return err
	}
	s.writeSeq = seq
	if first, _ := s.memory.FirstIndex(); upTo < first {
		return nil
	}
	return s.memory.Compact(upTo)
}

func putMarshaled(b *bbolt.Bucket, key string, m interface{ Marshal() ([]byte, error) }) error {
	raw, err := m.Marshal()
	if err != nil {
		return err
	}
	return putChecked(b, []byte(key), raw)
}

// strike deletes the entries from one to another.
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte // not while the cursor stands there
	c := log.Cursor()
	for k, _ := c.Seek(encodeIndex(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		keys = append(keys, k)
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// saveHeard writes what has been heard of others where that is new. It is no step of this disk's own: two
// that wrote because the other has written would go on for ever.
func (s *store) savePeerSeqs() error {
	s.mu.Lock()
	fresh := s.peerSeqsDirty
	s.mu.Unlock()
	if !fresh {
		return nil
	}
	last, err := s.memory.LastIndex()
	if err != nil {
		return err
	}
	return s.update(func(tx *bbolt.Tx) error {
		return s.putWriteState(tx.Bucket(stateBucket), s.writeSeq,
			last)
	})
}

// hear books how far another's disk is, and says how far it has been.
func (s *store) recordPeerSeq(id, seq uint64) (was uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := formatDiskID(id)
	if was = s.peerSeqs[key]; was >= seq {
		return was
	}
	s.peerSeqs[key], s.peerSeqsDirty = seq, true
	if len(s.peerSeqs) > maxPeerSeqs { // disks that are long gone: the one that wrote least
		least := key
		for k, n := range s.peerSeqs {
			if n < s.peerSeqs[least] {
				least = k
			}
		}
		delete(s.peerSeqs, least)
	}
	return was
}

func formatDiskID(id uint64) string { return fmt.Sprintf("%016x", id) }

// blank tells that it has nothing of any council.
func (s *store) isBlank() bool {
	last, _ := s.memory.LastIndex()
	return last == 0
}

func (s *store) close() { _ = s.db.Close() }
