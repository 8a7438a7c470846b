package raftlog

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// The reasons of the states joining and no leader.
var (
	errBlankStore = errors.New("its disk belongs to no group yet")
	errNoMajority = errors.New("no majority of the hosts is in contact")
)

// The messages of a join request's response.
const (
	joinNotLeader = "it does not lead"
	joinProposed  = "asked the others"
)

// runPeriodicTasks saves the peers' sequence numbers and checks the membership, each when it is due.
func (s *session) runPeriodicTasks(now time.Time) error {
	if now.Sub(s.lastPeerSeqsSave) >= peerSeqsInterval && !s.savingPeerSeqs {
		s.lastPeerSeqsSave, s.savingPeerSeqs = now, true
		s.writer.enqueue(storeTask{write: s.store.savePeerSeqs,
			done: func(s *session) { s.savingPeerSeqs = false }})
	}
	if now.Sub(s.lastMembershipCheck) < 2*s.node.config.HelloInterval {
		return nil
	}
	s.lastMembershipCheck = now
	if s.store.isBlank() {
		return s.joinOrBootstrap()
	}
	if s.rawNode.BasicStatus().RaftState == raft.StateLeader {
		s.proposeRemoval()
	}
	return nil
}

// joinOrBootstrap finds a blank store its group: it asks the leader of an existing one for membership, or
// forms a new one if this is the first of the hosts by name and all of them are up with blank stores.
func (s *session) joinOrBootstrap() error {
	n := s.node
	hosts := *n.hosts.Load()
	leader, groupID, blankHosts := s.surveyPeers(hosts)
	switch {
	case leader != "":
		s.store.setGroupID(groupID)
		n.goroutines.Add(1)
		go func() {
			defer n.goroutines.Done()
			n.requestJoin(leader)
		}()
	case blankHosts == len(hosts) && n.config.Bootstrap && !slices.ContainsFunc(hosts, func(h Host) bool {
		return h.Name < n.config.HostName
	}):
		return s.bootstrap()
	}
	return nil
}

// surveyPeers returns the leader that a peer in contact knows, with its group, and how many hosts are
// blank, this one included. A blank peer counts only if it is configured with the same hosts.
func (s *session) surveyPeers(hosts []Host) (leader, groupID string, blankHosts int) {
	n := s.node
	blankHosts = 1
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, host := range hosts {
		peer := n.peers[host.Name]
		if host.Name == n.config.HostName || peer == nil || peer.lastResponse == nil ||
			time.Since(peer.lastContact) > livenessWindow {
			continue
		}
		if peer.IsBlank && sameHostNames(hosts, peer.Hosts) {
			blankHosts++
		}
		if !peer.IsBlank && peer.lastResponse.LeaderName != "" {
			leader, groupID = peer.lastResponse.LeaderName, peer.GroupID
		}
	}
	return leader, groupID, blankHosts
}

// sameHostNames tells whether names are those of the hosts, in any order.
func sameHostNames(hosts []Host, names []string) bool {
	if len(hosts) != len(names) {
		return false
	}
	for _, host := range hosts {
		if !slices.Contains(names, host.Name) {
			return false
		}
	}
	return true
}

// bootstrap forms a new group: this host, the first by name, writes a snapshot that names all members, and
// the others receive it. It can happen only once, as it needs every host to be up with a blank store, and
// all of them to be configured with the same hosts.
func (s *session) bootstrap() error {
	n := s.node
	if !s.collectFounders() {
		return nil
	}
	var confState raftpb.ConfState
	for id := range s.members {
		confState.Voters = append(confState.Voters, id)
	}
	slices.Sort(confState.Voters)
	digest := sha256.New()
	for _, id := range confState.Voters {
		digest.Write(encodeUint64(id))
	}
	s.store.setGroupID(hex.EncodeToString(digest.Sum(nil)[:8]))
	data, err := s.encodeSnapshot()
	if err != nil {
		return err
	}
	snapshot := raftpb.Snapshot{Data: data,
		Metadata: raftpb.SnapshotMetadata{ConfState: confState, Index: 1, Term: 1}}
	initial := &storeUpdate{hardState: raftpb.HardState{Term: 1, Commit: 1}, snapshot: snapshot}
	if !s.writeAndWait(initial) {
		return s.failure
	}
	if err := s.restoreSnapshot(snapshot); err != nil {
		return err
	}
	if s.rawNode, err = s.newRawNode(); err != nil {
		return err
	}
	n.log.Info().Str("group", s.store.groupID()).Int("hosts", len(confState.Voters)).
		Msg("raft group: bootstrapped")
	return s.rawNode.Campaign()
}

// collectFounders makes the disks of all hosts the members. It returns false if one of them has no valid ID.
func (s *session) collectFounders() bool {
	n := s.node
	s.members = map[uint64]string{s.store.diskID(): n.config.HostName}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, host := range *n.hosts.Load() {
		if host.Name == n.config.HostName {
			continue
		}
		id, err := parseDiskID(n.peers[host.Name].DiskID)
		if err != nil {
			return false
		}
		s.members[id] = host.Name
	}
	return true
}

// requestJoin asks the leader to make this disk a member in place of the one that this host had before.
func (n *Node) requestJoin(leader string) {
	ctx, cancel := context.WithTimeout(n.ctx, requestTimeout)
	defer cancel()
	r, err := n.post(ctx, n.dialAddress(leader), joinPath, &request{messageHeader: n.header()})
	switch {
	case err != nil && n.ctx.Err() == nil:
		n.setState(StateJoining, fmt.Errorf("%s: %w", leader, err))
	case err == nil:
		n.handleResponse(r)
		if r.Message != "" {
			n.setState(StateJoining, fmt.Errorf("%s: %s", leader, r.Message))
		}
	}
}

// handleJoin handles a disk's request to become a member. It rejects one while another disk of the same
// host is in contact: two processes must not alternate under one name.
func (n *Node) handleJoin(r *request) (message string, err error) {
	current := n.published.Load()
	if current == nil || current.leaderName != n.config.HostName {
		return joinNotLeader, nil
	}
	if !r.IsBlank {
		return "", &rejectionError{reasonOtherDisk,
			fmt.Sprintf("%q asks to be a member with a disk that is not empty", r.HostName)}
	}
	if current.removed[r.DiskID] {
		return "", &rejectionError{reasonOtherDisk,
			fmt.Sprintf("%q asks to be a member with disk %s, which was one", r.HostName, r.DiskID)}
	}
	id, _ := parseDiskID(r.DiskID) // checked when the request was decoded
	if n.memberInContact(current.members, r, id) {
		return "", &rejectionError{reasonUnknownHost,
			fmt.Sprintf("%q asks to be a member, and one of that name was heard a moment ago", r.HostName)}
	}
	n.enqueue(func(s *session) { s.proposeMember(r.HostName, id) })
	return joinProposed, nil
}

// memberInContact tells whether a member of the requesting host with another disk was in contact within
// livenessWindow.
func (n *Node) memberInContact(members map[uint64]string, r *request, diskID uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for memberID, name := range members {
		peer := n.peerLocked(name)
		if peer.lastResponse != nil && peer.lastResponse.DiskID == r.DiskID {
			continue // the new disk answers at the address at which the old one did
		}
		lastContact := peer.diskLastContact[formatDiskID(memberID)]
		if name == r.HostName && memberID != diskID && time.Since(lastContact) < livenessWindow {
			return true
		}
	}
	return false
}

// proposeMember proposes a disk as a member in place of those that its host had before.
func (s *session) proposeMember(host string, diskID uint64) {
	if s.rawNode == nil || s.rawNode.BasicStatus().RaftState != raft.StateLeader || s.members[diskID] != "" {
		return
	}
	change := raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddNode, NodeID: diskID}}}
	for old, name := range s.members {
		if name == host {
			change.Changes = append(change.Changes,
				raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: old})
		}
	}
	change.Context, _ = json.Marshal(map[uint64]string{diskID: host}) // a map of strings has no error
	_ = s.rawNode.ProposeConfChange(change)                           // dropped: the disk asks again
}

// proposeRemoval proposes to remove one disk of a host that is not configured any more.
func (s *session) proposeRemoval() {
	for id, name := range s.members {
		if s.node.hostAddress(name) == "" && name != s.node.config.HostName {
			_ = s.rawNode.ProposeConfChange(raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{
				{Type: raftpb.ConfChangeRemoveNode, NodeID: id}}}) // dropped: it is proposed again
			return
		}
	}
}

// decodeConfChange decodes a configuration change of either version.
func decodeConfChange(entry *raftpb.Entry) (change raftpb.ConfChangeV2, err error) {
	if entry.Type == raftpb.EntryConfChange {
		var v1 raftpb.ConfChange
		if err := v1.Unmarshal(entry.Data); err != nil {
			return change, err
		}
		return v1.AsV2(), nil
	}
	err = change.Unmarshal(entry.Data)
	return change, err
}

// applyConfChange applies a committed change of membership.
func (s *session) applyConfChange(entry *raftpb.Entry) error {
	change, err := decodeConfChange(entry)
	if err != nil {
		return err
	}
	s.confState = *s.rawNode.ApplyConfChange(change)
	s.membershipChanged = true
	names := map[uint64]string{}
	if len(change.Context) > 0 {
		_ = json.Unmarshal(change.Context, &names) // without names the disks are members all the same
	}
	for _, single := range change.Changes {
		if single.Type == raftpb.ConfChangeRemoveNode {
			s.removeMember(single.NodeID)
			continue
		}
		s.members[single.NodeID] = names[single.NodeID]
		s.node.log.Info().Str("host", names[single.NodeID]).Str("disk", formatDiskID(single.NodeID)).
			Msg("raft group: member added")
	}
	return nil
}

// removeMember takes a disk out of the members. It ends the session if the disk is this one.
func (s *session) removeMember(diskID uint64) {
	s.node.log.Info().Str("host", s.members[diskID]).Str("disk", formatDiskID(diskID)).
		Msg("raft group: member removed")
	delete(s.members, diskID)
	if s.removed = append(s.removed, diskID); len(s.removed) > maxRemovedMembers {
		s.removed = s.removed[1:]
	}
	if queue := s.sendQueues[diskID]; queue != nil {
		queue.cancel()
		delete(s.sendQueues, diskID)
	}
	if diskID == s.store.diskID() {
		s.fail(fmt.Errorf("%w: by agreement of the others", errRemovedMember))
	}
}
