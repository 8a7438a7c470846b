package raftlog

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// quiet passes the library's own words on as details.
type raftLogWriter struct{ log zerolog.Logger }

func (q raftLogWriter) Write(p []byte) (int, error) {
	q.log.Debug().Msg(string(bytes.TrimSpace(p)))
	return len(p), nil
}

func (v *session) newRawNode() (*raft.RawNode, error) {
	return raft.NewRawNode(&raft.Config{ID: v.store.identity.diskID(), ElectionTick: electionTicks,
		HeartbeatTick: heartbeatTicks,
		Storage:       v.store.memory, Applied: v.appliedIndex, MaxSizePerMsg: maxEntryBytes, MaxCommittedSizePerReady: 4 * maxEntryBytes,
		MaxUncommittedEntriesSize: 4 * maxEntryBytes, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, StepDownOnRemoval: true,
		Logger: &raft.DefaultLogger{Logger: log.New(raftLogWriter{v.node.log}, "", 0)}})
}

// run takes part in the log.
func (v *session) run() (err error) {
	if v.rawNode, err = v.newRawNode(); err != nil {
		return err
	}
	t := time.NewTicker(v.node.config.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return nil
		case f := <-v.node.calls:
			f(v)
		case in := <-v.node.inbound:
			v.stepMessages(in)
		case <-t.C:
			v.rawNode.Tick()
			if err := v.runPeriodicTasks(time.Now()); err != nil {
				return err
			}
		}
		for more := maxInboundBatches; more > 0 && v.failure == nil; more-- { // what else has come goes into the same write
			select {
			case in := <-v.node.inbound:
				v.stepMessages(in)
			default:
				more = 0
			}
		}
		if v.failure != nil {
			return v.failure
		}
		if err := v.processUpdates(); err != nil {
			return err
		}
	}
}

// settle writes, says, and applies what has become of all that came, and asks the machine what it wants. It
// does so twice at most: on a slow disk a machine that says again what is not carried out yet would else keep
// the goroutine from what comes in.
func (v *session) processUpdates() error {
	for range 2 {
		if err := v.drainReady(); err != nil {
			return err
		}
		v.publish()
		st := v.rawNode.BasicStatus()
		if st.Lead != v.leaderID {
			v.leaderID = st.Lead
			v.node.log.Info().Str("leader", v.members[st.Lead]).Uint64("term", st.Term).Msg("council: leader")
			v.readDue = true // what the last one did not answer
		}
		v.updateState(st)
		wish := v.node.stateMachine.Poll(GroupState{Now: time.Now(), IsLeader: st.RaftState == raft.StateLeader,
			Term: st.Term, LeaderName: v.members[st.Lead], IsVoter: slices.Contains(v.confState.Voters,
				v.store.identity.diskID())})
		if st.Lead != 0 && (wish.ReadIndex || v.readDue) {
			v.requestRead()
		}
		for _, data := range wish.Proposals {
			v.propose(data)
		}
		if !v.rawNode.HasReady() {
			return nil
		}
	}
	return v.drainReady()
}

// drain carries out all that the library wishes.
func (v *session) drainReady() error {
	for v.rawNode.HasReady() {
		if err := v.handleReady(); err != nil {
			return err
		}
		if v.failure != nil {
			return v.failure
		}
	}
	return nil
}

func (v *session) updateState(st raft.BasicStatus) {
	switch {
	case v.store.isBlank():
		v.node.setState("joining", errors.New("its disk has nothing of any council"))
	case st.Lead == 0:
		v.node.setState("no leader", errors.New("no majority of the hosts is heard"))
	default:
		v.node.setState("member", nil)
	}
}

// ready carries out one of the library's wishes: it writes before it says.
func (v *session) handleReady() error {
	rd := v.rawNode.Ready()
	if len(rd.Entries) > 0 || !raft.IsEmptyHardState(rd.HardState) || !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.store.save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.restoreSnapshot(rd.Snapshot); err != nil {
			return err
		}
		v.node.log.Info().Uint64("index", v.appliedIndex).Msg("council: caught up by a snapshot")
	}
	v.publish()
	for _, m := range rd.Messages {
		if !v.sendQueueTo(m.To).push(m) {
			v.node.rejections.add(reasonQueueFull, "more to say than the way to "+v.members[m.To]+" takes")
			v.rawNode.ReportUnreachable(m.To)
			if m.Type == raftpb.MsgSnap {
				v.rawNode.ReportSnapshot(m.To, raft.SnapshotFailure)
			}
		}
	}
	for i := range rd.CommittedEntries {
		if err := v.applyEntry(&rd.CommittedEntries[i]); err != nil {
			return err
		}
	}
	for _, r := range rd.ReadStates {
		n := binary.BigEndian.Uint64(r.RequestCtx)
		if begun, there := v.requestedReads[n]; there {
			delete(v.requestedReads, n)
			v.confirmedReads = append(v.confirmedReads, pendingRead{r.Index, begun})
		}
	}
	v.confirmedReads = slices.DeleteFunc(v.confirmedReads, func(p pendingRead) bool {
		if p.index > v.appliedIndex {
			return false
		}
		v.node.stateMachine.ReadConfirmed(p.startMillis)
		return true
	})
	v.rawNode.Advance(rd)
	if v.appliedIndex-v.snapshotIndex >= v.node.config.SnapshotEntries || v.membershipChanged {
		data, err := v.encodeSnapshot()
		if err != nil {
			return err
		}
		if err := v.store.compact(v.appliedIndex, &v.confState, data, retainedEntries); err != nil {
			return err
		}
		v.snapshotIndex, v.membershipChanged = v.appliedIndex, false
	}
	return nil
}

func (v *session) applyEntry(e *raftpb.Entry) error {
	v.appliedIndex = e.Index
	if e.Type == raftpb.EntryNormal {
		if len(e.Data) > 0 {
			return v.node.stateMachine.Apply(e.Data)
		}
		return nil
	}
	var cc raftpb.ConfChangeV2
	if e.Type == raftpb.EntryConfChange {
		var one raftpb.ConfChange
		if err := one.Unmarshal(e.Data); err != nil {
			return err
		}
		cc = one.AsV2()
	} else if err := cc.Unmarshal(e.Data); err != nil {
		return err
	}
	v.confState = *v.rawNode.ApplyConfChange(cc)
	v.membershipChanged = true // a new member takes no snapshot that does not name it
	names := map[uint64]string{}
	if len(cc.Context) > 0 {
		_ = json.Unmarshal(cc.Context, &names)
	}
	for _, ch := range cc.Changes {
		if ch.Type == raftpb.ConfChangeRemoveNode {
			v.node.log.Info().Str("host", v.members[ch.NodeID]).Str("disk",
				formatDiskID(ch.NodeID)).Msg("council: a disk less")
			delete(v.members, ch.NodeID)
			if v.removed = append(v.removed, ch.NodeID); len(v.removed) > maxRemovedMembers {
				v.removed = v.removed[1:]
			}
			if l := v.sendQueues[ch.NodeID]; l != nil {
				l.cancel()
				delete(v.sendQueues, ch.NodeID)
			}
			if ch.NodeID == v.store.identity.diskID() {
				v.fail(fmt.Errorf("%w: the others have agreed on it", errRemovedMember))
			}
			continue
		}
		v.members[ch.NodeID] = names[ch.NodeID]
		v.node.log.Info().Str("host", names[ch.NodeID]).Str("disk",
			formatDiskID(ch.NodeID)).Msg("council: a disk more")
	}
	return nil
}

// step takes a post's messages in.
func (v *session) stepMessages(in inboundBatch) {
	if in.groupID != v.store.identity.GroupID {
		if !v.store.isBlank() {
			return // it has become another's meanwhile
		}
		v.store.identity.GroupID = in.groupID // written with the first thing that it says
	}
	v.store.recordPeerSeq(in.fromDiskID, in.writeSeq)
	for _, m := range in.messages {
		if raft.IsLocalMsg(m.Type) {
			v.node.rejections.add(reasonMalformed, fmt.Sprintf("%s sends a %s, which is for no other",
				v.members[m.From], m.Type))
			continue
		}
		_ = v.rawNode.Step(m)
	}
}

func (v *session) propose(data []byte) {
	if v.rawNode == nil {
		return
	}
	if last, _ := v.store.memory.LastIndex(); v.rawNode.BasicStatus().Lead != 0 &&
		last < v.appliedIndex+maxUnappliedEntries {
		_ = v.rawNode.Propose(data) // what is dropped is proposed again by who wants it
	}
}

// read asks for the log's end as it is from now on.
func (v *session) requestRead() {
	v.readDue = false
	v.lastReadID++
	if len(v.requestedReads) >= maxRequestedReads {
		clear(v.requestedReads) // lost, as a leader's are that is no more
	}
	v.requestedReads[v.lastReadID] = BootClockMillis()
	v.rawNode.ReadIndex(encodeIndex(v.lastReadID))
}

// tick does what is done now and then.
func (v *session) runPeriodicTasks(now time.Time) error {
	if now.Sub(v.lastPeerSeqsSave) >= time.Second {
		v.lastPeerSeqsSave = now
		if err := v.store.savePeerSeqs(); err != nil {
			return err
		}
	}
	if now.Sub(v.lastMembershipCheck) < 2*v.node.config.HelloInterval {
		return nil
	}
	v.lastMembershipCheck = now
	if v.store.isBlank() {
		return v.joinOrBootstrap()
	}
	if v.rawNode.BasicStatus().RaftState == raft.StateLeader {
		v.proposeRemoval()
	}
	return nil
}

// seek finds a blank disk its council: it asks to be a member of the one that there is, or founds one.
func (v *session) joinOrBootstrap() error {
	c := v.node
	hosts := *c.hosts.Load()
	blank, leader, council := 1, "", ""
	c.mu.Lock()
	for _, h := range hosts {
		p := c.peers[h.Name]
		if h.Name == c.config.HostName || p == nil || p.lastResponse == nil ||
			time.Since(p.lastContact) > livenessWindow {
			continue
		}
		if p.IsBlank && sameHostNames(hosts, p.Hosts) {
			blank++
		}
		if !p.IsBlank && p.lastResponse.LeaderName != "" {
			leader, council = p.lastResponse.LeaderName, p.GroupID
		}
	}
	c.mu.Unlock()
	switch {
	case leader != "":
		v.store.identity.GroupID = council
		c.goroutines.Add(1)
		go func() {
			defer c.goroutines.Done()
			c.requestJoin(leader)
		}()
	case blank == len(hosts) && c.config.Bootstrap && slices.IndexFunc(hosts, func(h Host) bool {
		return h.Name < c.config.HostName
	}) < 0:
		return v.bootstrap()
	}
	return nil
}

func sameHostNames(hosts []Host, names []string) bool {
	if len(hosts) != len(names) {
		return false
	}
	for _, h := range hosts {
		if !slices.Contains(names, h.Name) {
			return false
		}
	}
	return true
}

// found makes the council: the first of the hosts, by name, writes down who all of them are, and the others
// take that from it. It can only be once, as it needs every host to be there with a disk that has nothing,
// and all of them to name the same hosts, in whatever order.
func (v *session) bootstrap() error {
	c := v.node
	v.members = map[uint64]string{v.store.identity.diskID(): c.config.HostName}
	c.mu.Lock()
	for _, h := range *c.hosts.Load() {
		if h.Name != c.config.HostName {
			id, err := parseDiskID(c.peers[h.Name].DiskID)
			if err != nil {
				c.mu.Unlock()
				return nil
			}
			v.members[id] = h.Name
		}
	}
	c.mu.Unlock()
	var conf raftpb.ConfState
	h := sha256.New()
	for id := range v.members {
		conf.Voters = append(conf.Voters, id)
	}
	slices.Sort(conf.Voters)
	for _, id := range conf.Voters {
		h.Write(encodeIndex(id))
	}
	v.store.identity.GroupID = hex.EncodeToString(h.Sum(nil)[:8])
	data, err := v.encodeSnapshot()
	if err != nil {
		return err
	}
	snap := raftpb.Snapshot{Data: data, Metadata: raftpb.SnapshotMetadata{ConfState: conf, Index: 1, Term: 1}}
	if err := v.store.save(raftpb.HardState{Term: 1, Commit: 1}, nil, snap); err != nil {
		return err
	}
	if err := v.restoreSnapshot(snap); err != nil {
		return err
	}
	if v.rawNode, err = v.newRawNode(); err != nil {
		return err
	}
	c.log.Info().Str("council", v.store.identity.GroupID).Int("hosts", len(conf.Voters)).Msg("council: founded")
	return v.rawNode.Campaign()
}

// ask asks the leader to make this disk a member in place of the one that was here before.
func (c *Node) requestJoin(leader string) {
	ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
	defer cancel()
	rep, _, err := c.post(ctx, c.dialAddress(leader), "/council/join", &request{messageHeader: c.header()})
	switch {
	case err != nil && c.ctx.Err() == nil:
		c.setState("joining", fmt.Errorf("%s: %w", leader, err))
	case err == nil:
		c.handleResponse(rep)
		if rep.Message != "" {
			c.setState("joining", fmt.Errorf("%s: %s", leader, rep.Message))
		}
	}
}

// join takes a disk's wish to be a member.
func (c *Node) handleJoin(p *request) (string, error) {
	me := c.published.Load()
	if me == nil || me.LeaderName != c.config.HostName {
		return "it does not lead", nil
	}
	if !p.IsBlank {
		return "", &rejection{reasonOtherDisk, fmt.Sprintf("%q asks to be a member with a disk that is not empty",
			p.HostName)}
	}
	if me.removed[p.DiskID] {
		return "", &rejection{reasonOtherDisk, fmt.Sprintf("%q asks to be a member with disk %s, which was one",
			p.HostName, p.DiskID)}
	}
	id, _ := parseDiskID(p.DiskID)
	c.mu.Lock()
	for old, name := range me.members {
		x := c.peerState(name)
		if x.lastResponse != nil && x.lastResponse.DiskID == p.DiskID { // it answers at the address where the former one did
			continue
		}
		if at := x.diskLastContact[formatDiskID(old)]; name == p.HostName && old != id &&
			time.Since(at) < livenessWindow {
			c.mu.Unlock()
			return "", &rejection{reasonUnknownHost,
				fmt.Sprintf("%q asks to be a member, and one of that name was heard a moment ago",
					p.HostName)}
		}
	}
	c.mu.Unlock()
	c.enqueue(func(v *session) { v.proposeMember(p.HostName, id) })
	return "asked the others", nil
}

// admit proposes a disk in place of those that its host had before.
func (v *session) proposeMember(name string, id uint64) {
	if v.rawNode == nil || v.rawNode.BasicStatus().RaftState != raft.StateLeader || v.members[id] != "" {
		return
	}
	cc := raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddNode, NodeID: id}}}
	for old, n := range v.members {
		if n == name {
			cc.Changes = append(cc.Changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: old})
		}
	}
	cc.Context, _ = json.Marshal(map[uint64]string{id: name})
	_ = v.rawNode.ProposeConfChange(cc)
}

// dismiss proposes to do without the disks of hosts that are in the file no more.
func (v *session) proposeRemoval() {
	for id, name := range v.members {
		if v.node.hostAddress(name) == "" && name != v.node.config.HostName {
			_ = v.rawNode.ProposeConfChange(raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{
				{Type: raftpb.ConfChangeRemoveNode, NodeID: id}}})
			return
		}
	}
}

// HostView is how another host stands, for operators.
type HostStatus struct {
	Name               string  `json:"name"`
	Address            string  `json:"address"`
	DiskID             string  `json:"disk,omitempty"`
	IsMember           bool    `json:"member"`
	IsLeader           bool    `json:"leads"`
	SinceContactMillis float64 `json:"heard_ms"` // ago; below nought it has not been heard of
	LastError          string  `json:"why,omitempty"`
}

// View is how the council stands, as this daemon sees it.
type Status struct {
	State          string            `json:"state"`
	Reason         string            `json:"why,omitempty"`
	HostName       string            `json:"me"`
	DiskID         string            `json:"disk,omitempty"`
	GroupID        string            `json:"council,omitempty"`
	LeaderName     string            `json:"leader,omitempty"`
	Term           uint64            `json:"term"`
	AppliedIndex   uint64            `json:"applied"`
	Hosts          []HostStatus      `json:"hosts"`
	Rejections     map[string]int64  `json:"refused,omitempty"`
	LastRejections map[string]string `json:"refused_last,omitempty"`
	MovedAside     map[string]int    `json:"disks_moved_aside,omitempty"`
}

// View tells how things stand. It waits for nothing but short locks.
func (c *Node) Status() Status {
	v := Status{HostName: c.config.HostName}
	me := c.published.Load()
	members := map[string]uint64{}
	if me != nil {
		v.DiskID, v.GroupID, v.LeaderName, v.Term, v.AppliedIndex = formatDiskID(me.ID), me.GroupID, me.LeaderName, me.Term, me.AppliedIndex
		for id, name := range me.members {
			members[name] = id
		}
	}
	v.Rejections, v.LastRejections = c.rejections.snapshot()
	c.mu.Lock()
	defer c.mu.Unlock()
	v.State, v.Reason, v.MovedAside = c.state, c.stateReason, map[string]int{}
	for k, n := range c.movedAside {
		v.MovedAside[k] = n
	}
	for _, h := range *c.hosts.Load() {
		x := HostStatus{Name: h.Name, Address: h.Address, SinceContactMillis: -1,
			IsLeader: h.Name == v.LeaderName &&
				v.LeaderName != ""}
		if id, there := members[h.Name]; there {
			x.DiskID, x.IsMember = formatDiskID(id), true
		}
		if p := c.peers[h.Name]; p != nil && !p.lastContact.IsZero() {
			x.SinceContactMillis = float64(time.Since(p.lastContact)) / float64(time.Millisecond)
			x.LastError = p.lastError
		} else if p != nil {
			x.LastError = p.lastError
		}
		if h.Name == c.config.HostName {
			x.SinceContactMillis = 0
		}
		v.Hosts = append(v.Hosts, x)
	}
	slices.SortFunc(v.Hosts, func(a, b HostStatus) int { return strings.Compare(a.Name, b.Name) })
	return v
}
