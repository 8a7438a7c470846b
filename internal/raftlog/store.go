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
	"runtime/debug"
	"sync"
	"sync/atomic"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// The buckets of the file, and the keys of its state bucket. The log bucket has an entry's index, 8 bytes big
// endian, as its key.
var (
	logBucket   = []byte("log")
	stateBucket = []byte("state")
)

const (
	hardStateKey = "hard"  // raftpb.HardState
	snapshotKey  = "snap"  // raftpb.Snapshot
	identityKey  = "self"  // identity as JSON
	writeSeqKey  = "seq"   // 8 bytes, big endian
	peerSeqsKey  = "heard" // store.peerSeqs as JSON
	lastIndexKey = "last"  // of the log: 8 bytes, big endian
)

// identity says which member a disk is. A host with another disk is another member.
type identity struct {
	HostName string `json:"name"`
	Nonce    string `json:"nonce"`   // random, drawn when the store was created
	GroupID  string `json:"cluster"` // the group that it belongs to; empty until it has joined or formed one
}

// diskID is the member's ID in raft, of 63 bits and odd: raft reserves 0 and the two highest.
func (i identity) diskID() uint64 {
	digest := sha256.Sum256([]byte(i.HostName + "\x00" + i.Nonce))
	return binary.BigEndian.Uint64(digest[:8])&(math.MaxUint64>>1) | 1
}

// store holds the log, the hard state and the snapshot in one bbolt file, and a copy of them in memory that
// raft reads. Each write is one transaction, synced before it returns. Every value carries a checksum of
// its key and itself, as bbolt has checksums of its meta pages alone.
//
// During a session its storeWriter's goroutine alone writes it. Methods that do not write may be called by
// any goroutine.
type store struct {
	db         *bbolt.DB
	memory     *raft.MemoryStorage
	writeSeq   atomic.Uint64 // transactions so far: peers remember it, and so recognize a stale copy of the disk
	writeFault func() error  // injected by tests: the error of a write

	mu            sync.Mutex // guards the fields below
	identity      identity
	peerSeqs      map[string]uint64 // the highest write sequence number seen of each other disk, by disk ID
	peerSeqsDirty bool              // some of it is not written yet
}

func newStore(db *bbolt.DB) *store {
	return &store{db: db, memory: raft.NewMemoryStorage(), peerSeqs: map[string]uint64{}}
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

// putChecked writes a value behind its checksum.
func putChecked(bucket *bbolt.Bucket, key, value []byte) error {
	stored := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), checksum(key, value))
	return bucket.Put(key, append(stored, value...))
}

// putMarshaled writes a protobuf message behind its checksum.
func putMarshaled(bucket *bbolt.Bucket, key string, message interface{ Marshal() ([]byte, error) }) error {
	raw, err := message.Marshal()
	if err != nil {
		return err
	}
	return putChecked(bucket, []byte(key), raw)
}

// checkedValue returns a copy of a stored value without its checksum, or an error if that does not match.
func checkedValue(key, stored []byte) ([]byte, error) {
	if len(stored) < 4 || binary.BigEndian.Uint32(stored) != checksum(key, stored[4:]) {
		return nil, fmt.Errorf("%w: %q", errCorruptStore, key)
	}
	return append([]byte(nil), stored[4:]...), nil
}

func encodeUint64(value uint64) []byte { return binary.BigEndian.AppendUint64(nil, value) }

func formatDiskID(id uint64) string { return fmt.Sprintf("%016x", id) }

func newNonce() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // it never fails
	return hex.EncodeToString(b)
}

func randomUint64() uint64 {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // it never fails
	return binary.BigEndian.Uint64(b)
}

// update writes a transaction. A panic of the library on a corrupt page fails the transaction.
func (s *store) update(write func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverAsCorrupt(&err)
	return s.db.Update(write)
}

// diskID is the member's ID in raft.
func (s *store) diskID() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity.diskID()
}

// groupID is the group that the disk belongs to; empty until it has joined or formed one.
func (s *store) groupID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity.GroupID
}

// setGroupID sets the group, which is written with the next transaction.
func (s *store) setGroupID(groupID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identity.GroupID = groupID
}

// save writes, in one transaction, updates that raft wants to outlive a crash, with the peers' sequence
// numbers. After an error the file holds what it held before, and no message that depends on the write may be
// sent.
func (s *store) save(updates ...*storeUpdate) error {
	if s.writeFault != nil {
		if err := s.writeFault(); err != nil {
			return err
		}
	}
	writeSeq := s.writeSeq.Load() + 1
	err := s.update(func(tx *bbolt.Tx) error { return s.saveTx(tx, writeSeq, updates) })
	if err != nil {
		return err
	}
	s.writeSeq.Store(writeSeq)
	for _, update := range updates {
		if err := s.applyToMemory(update); err != nil {
			return err
		}
	}
	return nil
}

// applyToMemory brings a written update into the copy that raft reads.
func (s *store) applyToMemory(update *storeUpdate) error {
	if !raft.IsEmptySnap(update.snapshot) {
		if err := s.memory.ApplySnapshot(update.snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(update.hardState) {
		_ = s.memory.SetHardState(update.hardState) // the memory storage has no error
	}
	return s.memory.Append(update.entries)
}

// saveTx is save's transaction.
func (s *store) saveTx(tx *bbolt.Tx, writeSeq uint64, updates []*storeUpdate) error {
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
	for _, update := range updates {
		if last, err = putUpdate(state, log, update, last); err != nil {
			return err
		}
	}
	return s.putWriteState(state, writeSeq, last)
}

// putUpdate writes an update to a log whose last index is known, and returns the last index after it.
func putUpdate(state, log *bbolt.Bucket, update *storeUpdate, last uint64) (uint64, error) {
	if !raft.IsEmptySnap(update.snapshot) { // received from the leader in place of the log
		last = update.snapshot.Metadata.Index
		if err := deleteEntries(log, 0, math.MaxUint64); err != nil {
			return last, err
		}
		if err := putMarshaled(state, snapshotKey, &update.snapshot); err != nil {
			return last, err
		}
	}
	if len(update.entries) > 0 {
		last = update.entries[len(update.entries)-1].Index
		if err := putEntries(log, update.entries); err != nil {
			return last, err
		}
	}
	if raft.IsEmptyHardState(update.hardState) {
		return last, nil
	}
	return last, putMarshaled(state, hardStateKey, &update.hardState)
}

// putEntries writes entries in place of all from the first one's index on.
func putEntries(log *bbolt.Bucket, entries []raftpb.Entry) error {
	if err := deleteEntries(log, entries[0].Index, math.MaxUint64); err != nil {
		return err
	}
	for i := range entries {
		raw, err := entries[i].Marshal()
		if err != nil {
			return err
		}
		if err := putChecked(log, encodeUint64(entries[i].Index), raw); err != nil {
			return err
		}
	}
	return nil
}

// putWriteState writes what is part of every transaction: the identity, the peers' sequence numbers, the
// store's own and the log's last index.
func (s *store) putWriteState(state *bbolt.Bucket, writeSeq, lastIndex uint64) error {
	s.mu.Lock()
	identityJSON, err := json.Marshal(s.identity)
	peerSeqsJSON, peerSeqsErr := json.Marshal(s.peerSeqs)
	s.peerSeqsDirty = false
	s.mu.Unlock()
	if err := errors.Join(err, peerSeqsErr); err != nil {
		return err
	}
	return errors.Join(
		putChecked(state, []byte(identityKey), identityJSON),
		putChecked(state, []byte(peerSeqsKey), peerSeqsJSON),
		putChecked(state, []byte(writeSeqKey), encodeUint64(writeSeq)),
		putChecked(state, []byte(lastIndexKey), encodeUint64(lastIndex)),
	)
}

// compact writes a snapshot, which memory has already, in place of the log, and retains the last entries
// before it for followers that are a little behind.
func (s *store) compact(snapshot raftpb.Snapshot, retained uint64) error {
	last, err := s.memory.LastIndex()
	if err != nil {
		return err
	}
	writeSeq, compactIndex := s.writeSeq.Load()+1, uint64(0)
	if index := snapshot.Metadata.Index; index > retained {
		compactIndex = index - retained
	}
	err = s.update(func(tx *bbolt.Tx) error {
		log, state := tx.Bucket(logBucket), tx.Bucket(stateBucket)
		if err := deleteEntries(log, 0, compactIndex); err != nil {
			return err
		}
		if err := putMarshaled(state, snapshotKey, &snapshot); err != nil {
			return err
		}
		return s.putWriteState(state, writeSeq, last)
	})
	if err != nil {
		return err
	}
	s.writeSeq.Store(writeSeq)
	if first, _ := s.memory.FirstIndex(); compactIndex < first { // the memory storage has no error
		return nil
	}
	return s.memory.Compact(compactIndex)
}

// deleteEntries deletes the entries of the indices from first to last.
func deleteEntries(log *bbolt.Bucket, first, last uint64) error {
	var keys [][]byte // deleted after the walk: a cursor skips keys when one is deleted under it
	c := log.Cursor()
	key, _ := c.Seek(encodeUint64(first))
	for key != nil && binary.BigEndian.Uint64(key) <= last {
		keys = append(keys, key)
		key, _ = c.Next()
	}
	for _, key := range keys {
		if err := log.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// savePeerSeqs writes the peers' sequence numbers if some are new. It does not advance the store's own: two
// stores that wrote because the other has written would go on for ever.
func (s *store) savePeerSeqs() error {
	s.mu.Lock()
	dirty := s.peerSeqsDirty
	s.mu.Unlock()
	if !dirty {
		return nil
	}
	last, err := s.memory.LastIndex()
	if err != nil {
		return err
	}
	return s.update(func(tx *bbolt.Tx) error {
		return s.putWriteState(tx.Bucket(stateBucket), s.writeSeq.Load(), last)
	})
}

// recordPeerSeq records the write sequence number of another disk, and returns the highest that was seen
// before.
func (s *store) recordPeerSeq(diskID, writeSeq uint64) (highest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := formatDiskID(diskID)
	if highest = s.peerSeqs[key]; highest >= writeSeq {
		return highest
	}
	s.peerSeqs[key], s.peerSeqsDirty = writeSeq, true
	if len(s.peerSeqs) > maxPeerSeqs { // forget the disk with the fewest writes
		fewest := key
		for other, seq := range s.peerSeqs {
			if seq < s.peerSeqs[fewest] {
				fewest = other
			}
		}
		delete(s.peerSeqs, fewest)
	}
	return highest
}

// isBlank tells whether the store belongs to no group yet: its log is empty.
func (s *store) isBlank() bool {
	last, _ := s.memory.LastIndex() // the memory storage has no error
	return last == 0
}

func (s *store) close() { _ = s.db.Close() } // all writes are synced
