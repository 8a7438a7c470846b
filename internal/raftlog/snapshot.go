package raftlog

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// snapshotData is the data of a raft snapshot. The JSON keys are its form on disk and on the wire.
type snapshotData struct {
	Members      map[uint64]string `json:"members"` // host names by disk ID
	Removed      []uint64          `json:"gone"`    // disks that were members, the latest last
	StateMachine json.RawMessage   `json:"machine"`
}

// restoreFromStore restores the state of the store's last snapshot.
func (s *session) restoreFromStore() error {
	snapshot, err := s.store.memory.Snapshot()
	if err != nil {
		return err
	}
	return s.restoreSnapshot(snapshot)
}

// restoreSnapshot replaces membership and state machine by those of a snapshot. An error wraps
// errCorruptStore.
func (s *session) restoreSnapshot(snapshot raftpb.Snapshot) error {
	data := snapshotData{Members: map[uint64]string{}}
	if !raft.IsEmptySnap(snapshot) {
		if err := json.Unmarshal(snapshot.Data, &data); err != nil {
			return fmt.Errorf("%w: snapshot: %w", errCorruptStore, err)
		}
	}
	if err := s.node.stateMachine.Restore(data.StateMachine); err != nil {
		return fmt.Errorf("%w: snapshot: %w", errCorruptStore, err)
	}
	s.members, s.removed, s.confState = data.Members, data.Removed, snapshot.Metadata.ConfState
	s.appliedIndex, s.snapshotIndex = snapshot.Metadata.Index, snapshot.Metadata.Index
	return nil
}

// encodeSnapshot encodes membership and state machine as of appliedIndex.
func (s *session) encodeSnapshot() ([]byte, error) {
	machine, err := s.node.stateMachine.Snapshot()
	if err != nil {
		return nil, err
	}
	return json.Marshal(snapshotData{Members: s.members, Removed: s.removed, StateMachine: machine})
}

// compactIfDue writes a snapshot and drops the log before it, after every SnapshotEntries entries and after
// each change of membership: a new member must not receive a snapshot that does not name it.
func (s *session) compactIfDue() error {
	if s.appliedIndex-s.snapshotIndex < s.node.config.SnapshotEntries && !s.membershipChanged {
		return nil
	}
	data, err := s.encodeSnapshot()
	if err != nil {
		return err
	}
	// Raft sends the new snapshot from here on, whose state is committed, while it is being written.
	snapshot, err := s.store.memory.CreateSnapshot(s.appliedIndex, &s.confState, data)
	if err != nil {
		return err
	}
	s.writer.enqueue(storeTask{write: func() error { return s.store.compact(snapshot, retainedEntries) }})
	s.snapshotIndex, s.membershipChanged = s.appliedIndex, false
	return nil
}
