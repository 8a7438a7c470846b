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
type self struct {
	Name    string `json:"name"`
	Nonce   string `json:"nonce"`   // drawn when the disk was empty
	Cluster string `json:"cluster"` // which council it belongs to; empty until it has found or founded one
}

// id is its place in the library's log: 0 and the two highest are the library's own.
func (s self) id() uint64 {
	h := sha256.Sum256([]byte(s.Name + "\x00" + s.Nonce))
	return binary.BigEndian.Uint64(h[:8])&(math.MaxUint64>>1) | 1
}

// store keeps the log, the vote and the snapshot in one file, and a copy in memory for the library to read.
// Each write is one transaction, synced before it returns. Every value carries a checksum of itself and its
// key, as the library that keeps the file has one of its first pages alone.
type store struct {
	db    *bbolt.DB
	mem   *raft.MemoryStorage
	self  self
	seq   uint64            // transactions so far: others remember it, and so know an old copy of the disk
	mu    sync.Mutex        // of heard
	heard map[string]uint64 // the highest of each other disk, by its id in hex
	fresh bool              // some of it is not written yet
	wrong func() error      // for tests: what the disk says to a write
}

var (
	logBucket   = []byte("log")
	stateBucket = []byte("state")
	sums        = crc32.MakeTable(crc32.Castagnoli)

	errTorn = errors.New("spoilt")
	errHeld = errors.New("another process has it open")
)

const hardKey, snapKey, selfKey, seqKey, heardKey, lastKey = "hard", "snap", "self", "seq", "heard", "last"

func sum(key, value []byte) uint32 { return crc32.Update(crc32.Checksum(key, sums), sums, value) }

func put(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), sum(key, value)),
		value...))
}

// whole gives a value whose checksum is right, as a copy.
func whole(key, raw []byte) ([]byte, error) {
	if len(raw) < 4 || binary.BigEndian.Uint32(raw) != sum(key, raw[4:]) {
		return nil, fmt.Errorf("%w: %q", errTorn, key)
	}
	return append([]byte(nil), raw[4:]...), nil
}

// open opens a daemon's store, and makes a new one where there is none. A spoilt one is moved aside, and
// the daemon is a new one: aside names the file then, and why says what was wrong.
func open(path, name string) (s *store, aside string, why error, err error) {
	if s, err = load(path, name); errors.Is(err, errTorn) {
		why = err
		if aside, err = setAside(path, "torn"); err != nil {
			return nil, "", why, err
		}
		s, err = load(path, name)
	}
	return s, aside, why, err
}

// setAside renames a store's file, so that an operator can look at it.
func setAside(path, as string) (string, error) {
	to := fmt.Sprintf("%s.%s-%d", path, as, time.Now().UnixNano())
	return to, os.Rename(path, to)
}

func load(path, name string) (s *store, err error) {
	_, missing := os.Stat(path)
	if missing == nil {
		if err := check(path); err != nil {
			return nil, err
		}
	}
	db, err := guarded(path, false)
	if err != nil {
		return nil, err
	}
	s = &store{db: db, mem: raft.NewMemoryStorage(), heard: map[string]uint64{}}
	if err = s.read(); err == nil && s.self.Nonce == "" {
		s.self = self{Name: name, Nonce: nonce()}
		err = s.save(raftpb.HardState{}, nil, raftpb.Snapshot{})
	}
	if err == nil && s.self.Name != name {
		err = fmt.Errorf("%s: it is the store of %q, not of %q", path, s.self.Name, name)
	}
	if err != nil {
		_ = db.Close()
		return nil, err
	}
	return s, nil
}

func nonce() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func randomly() uint64 {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return binary.BigEndian.Uint64(b)
}

// guarded opens the file. One that breaks the library, by an error, a panic or a page beyond its end, is
// torn.
func guarded(path string, readOnly bool) (db *bbolt.DB, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			db, err = nil, fmt.Errorf("%w: %v", errTorn, p)
		}
	}()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, ReadOnly: readOnly})
	switch {
	case err == nil:
	case errors.Is(err, berrors.ErrTimeout):
		err = fmt.Errorf("%s: %w", path, errHeld)
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum),
		errors.Is(err, berrors.ErrVersionMismatch):
		err = fmt.Errorf("%w: %w", errTorn, err)
	default:
		var path *os.PathError
		if !errors.As(err, &path) { // neither the system's word, nor one of the library's: pages cut short
			err = fmt.Errorf("%w: %w", errTorn, err)
		}
	}
	return db, err
}

// check reads all that a file has, before it is opened to be written.
func check(path string) (err error) {
	db, err := guarded(path, true)
	if err != nil {
		return err
	}
	defer db.Close()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errTorn, p)
		}
	}()
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	err = db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: it has %d bytes of %d", errTorn, info.Size(), tx.Size())
		}
		return nil
	})
	if err != nil {
		return err
	}
	s := &store{db: db, mem: raft.NewMemoryStorage(), heard: map[string]uint64{}}
	if err := s.read(); err != nil {
		return err
	}
	if s.self.Nonce == "" {
		return fmt.Errorf("%w: nothing is in it", errTorn)
	}
	return nil
}

// update writes a transaction. One in which the library meets pages that can't be is no more than failed.
func (s *store) update(f func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errTorn, p)
		}
	}()
	return s.db.Update(f)
}

// read takes up all that the file has.
func (s *store) read() error {
	return s.db.View(func(tx *bbolt.Tx) error {
		state, log := tx.Bucket(stateBucket), tx.Bucket(logBucket)
		if state == nil && log == nil {
			return nil // a new one
		}
		if state == nil || log == nil {
			return fmt.Errorf("%w: a bucket is missing", errTorn)
		}
		values := map[string][]byte{}
		err := state.ForEach(func(k, v []byte) (err error) {
			values[string(k)], err = whole(k, v)
			return err
		})
		if err != nil {
			return err
		}
		var hard raftpb.HardState
		var snap raftpb.Snapshot
		if values[selfKey] == nil || len(values[seqKey]) != 8 || len(values[lastKey]) != 8 {
			return fmt.Errorf("%w: who it is or how far it goes is missing", errTorn)
		}
		if err := errors.Join(json.Unmarshal(values[selfKey], &s.self), json.Unmarshal(values[heardKey], &s.heard),
			hard.Unmarshal(values[hardKey]), snap.Unmarshal(values[snapKey])); err != nil {
			return fmt.Errorf("%w: %w", errTorn, err)
		}
		s.seq = binary.BigEndian.Uint64(values[seqKey])
		if !raft.IsEmptySnap(snap) {
			if err := s.mem.ApplySnapshot(snap); err != nil {
				return err
			}
		}
		next := snap.Metadata.Index + 1
		var entries []raftpb.Entry
		err = log.ForEach(func(k, v []byte) error {
			raw, err := whole(k, v)
			if err != nil {
				return err
			}
			var e raftpb.Entry
			if err := e.Unmarshal(raw); err != nil || len(k) != 8 || binary.BigEndian.Uint64(k) != e.Index {
				return fmt.Errorf("%w: entry %x", errTorn, k)
			}
			if e.Index < next && len(entries) == 0 {
				return nil // kept for those that are a little behind
			}
			if e.Index != next {
				return fmt.Errorf("%w: entry %d is missing", errTorn, next)
			}
			next++
			entries = append(entries, e)
			return nil
		})
		if err != nil {
			return err
		}
		if last := binary.BigEndian.Uint64(values[lastKey]); next != last+1 || hard.Commit > last {
			return fmt.Errorf("%w: the log ends at %d, not at %d", errTorn, next-1, last)
		}
		if err := s.mem.Append(entries); err != nil {
			return err
		}
		return s.mem.SetHardState(hard)
	})
}

func place(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// save writes what the library wants to outlive a crash, and what has been heard of others with it. After
// an error the file holds what it held before, and nothing may be said of what was to be written.
func (s *store) save(hard raftpb.HardState, entries []raftpb.Entry, snap raftpb.Snapshot) error {
	if s.wrong != nil {
		if err := s.wrong(); err != nil {
			return err
		}
	}
	seq := s.seq + 1
	err := s.update(func(tx *bbolt.Tx) error {
		state, err := tx.CreateBucketIfNotExists(stateBucket)
		if err != nil {
			return err
		}
		log, err := tx.CreateBucketIfNotExists(logBucket)
		if err != nil {
			return err
		}
		last, err := s.mem.LastIndex()
		if err != nil {
			return err
		}
		if !raft.IsEmptySnap(snap) { // what came from another in place of the log
			last = snap.Metadata.Index
			if err := strike(log, 0, math.MaxUint64); err != nil {
				return err
			}
			if err := putPB(state, snapKey, &snap); err != nil {
				return err
			}
		}
		if len(entries) > 0 {
			last = entries[len(entries)-1].Index
			if err := strike(log, entries[0].Index, math.MaxUint64); err != nil {
				return err
			}
		}
		for i := range entries {
			raw, err := entries[i].Marshal()
			if err != nil {
				return err
			}
			if err := put(log, place(entries[i].Index), raw); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(hard) {
			if err := putPB(state, hardKey, &hard); err != nil {
				return err
			}
		}
		return s.trailer(state, seq, last)
	})
	if err != nil {
		return err
	}
	s.seq = seq
	if !raft.IsEmptySnap(snap) {
		if err := s.mem.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(hard) {
		_ = s.mem.SetHardState(hard)
	}
	return s.mem.Append(entries)
}

// trailer writes what stands in every transaction.
func (s *store) trailer(state *bbolt.Bucket, seq, last uint64) error {
	me, err := json.Marshal(s.self)
	if err != nil {
		return err
	}
	s.mu.Lock()
	heard, err := json.Marshal(s.heard)
	s.fresh = false
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return errors.Join(put(state, []byte(selfKey), me), put(state, []byte(heardKey), heard),
		put(state, []byte(seqKey), place(seq)), put(state, []byte(lastKey), place(last)))
}

// compact puts a snapshot of what is applied up to index in place of the log, and keeps the last keep
// entries before it for those that are a little behind.
func (s *store) compact(index uint64, conf *raftpb.ConfState, data []byte, keep uint64) error {
	snap, err := s.mem.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	last, err := s.mem.LastIndex()
	if err != nil {
		return err
	}
	seq, upTo := s.seq+1, uint64(0)
	if index > keep {
		upTo = index - keep
	}
	err = s.update(func(tx *bbolt.Tx) error {
		log, state := tx.Bucket(logBucket), tx.Bucket(stateBucket)
		if err := strike(log, 0, upTo); err != nil {
			return err
		}
		if err := putPB(state, snapKey, &snap); err != nil {
			return err
		}
		return s.trailer(state, seq, last)
	})
	if err != nil {
		return err
	}
	s.seq = seq
	if first, _ := s.mem.FirstIndex(); upTo < first {
		return nil
	}
	return s.mem.Compact(upTo)
}

func putPB(b *bbolt.Bucket, key string, m interface{ Marshal() ([]byte, error) }) error {
	raw, err := m.Marshal()
	if err != nil {
		return err
	}
	return put(b, []byte(key), raw)
}

// strike deletes the entries from one to another.
func strike(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte // not while the cursor stands there
	c := log.Cursor()
	for k, _ := c.Seek(place(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
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
func (s *store) saveHeard() error {
	s.mu.Lock()
	fresh := s.fresh
	s.mu.Unlock()
	if !fresh {
		return nil
	}
	last, err := s.mem.LastIndex()
	if err != nil {
		return err
	}
	return s.update(func(tx *bbolt.Tx) error { return s.trailer(tx.Bucket(stateBucket), s.seq, last) })
}

// hear books how far another's disk is, and says how far it has been.
func (s *store) hear(id, seq uint64) (was uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := hexOf(id)
	if was = s.heard[key]; was >= seq {
		return was
	}
	s.heard[key], s.fresh = seq, true
	if len(s.heard) > mostHeard { // disks that are long gone: the one that wrote least
		least := key
		for k, n := range s.heard {
			if n < s.heard[least] {
				least = k
			}
		}
		delete(s.heard, least)
	}
	return was
}

func hexOf(id uint64) string { return fmt.Sprintf("%016x", id) }

// blank tells that it has nothing of any council.
func (s *store) blank() bool {
	last, _ := s.mem.LastIndex()
	return last == 0
}

func (s *store) close() { _ = s.db.Close() }
