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
type quiet struct{ log zerolog.Logger }

func (q quiet) Write(p []byte) (int, error) {
	q.log.Debug().Msg(string(bytes.TrimSpace(p)))
	return len(p), nil
}

func (v *life) raw() (*raft.RawNode, error) {
	return raft.NewRawNode(&raft.Config{ID: v.s.self.id(), ElectionTick: electTicks, HeartbeatTick: heartTicks,
		Storage: v.s.mem, Applied: v.applied, MaxSizePerMsg: longestWord, MaxCommittedSizePerReady: 4 * longestWord,
		MaxUncommittedEntriesSize: 4 * longestWord, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, StepDownOnRemoval: true,
		Logger: &raft.DefaultLogger{Logger: log.New(quiet{v.c.log}, "", 0)}})
}

// run takes part in the log.
func (v *life) run() (err error) {
	if v.rn, err = v.raw(); err != nil {
		return err
	}
	t := time.NewTicker(v.c.charter.Tick)
	defer t.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return nil
		case f := <-v.c.calls:
			f(v)
		case in := <-v.c.in:
			v.step(in)
		case <-t.C:
			v.rn.Tick()
			if err := v.tick(time.Now()); err != nil {
				return err
			}
		}
		for more := mostIn; more > 0 && v.failed == nil; more-- { // what else has come goes into the same write
			select {
			case in := <-v.c.in:
				v.step(in)
			default:
				more = 0
			}
		}
		if v.failed != nil {
			return v.failed
		}
		if err := v.settle(); err != nil {
			return err
		}
	}
}

// settle writes, says, and applies what has become of all that came, and asks the machine what it wants. It
// does so twice at most: on a slow disk a machine that says again what is not carried out yet would else keep
// the goroutine from what comes in.
func (v *life) settle() error {
	for range 2 {
		if err := v.drain(); err != nil {
			return err
		}
		v.tell()
		st := v.rn.BasicStatus()
		if st.Lead != v.lead {
			v.lead = st.Lead
			v.c.log.Info().Str("leader", v.members[st.Lead]).Uint64("term", st.Term).Msg("council: leader")
			v.again = true // what the last one did not answer
		}
		v.stands(st)
		wish := v.c.machine.Turn(Turn{Now: time.Now(), Leads: st.RaftState == raft.StateLeader,
			Term: st.Term, Leader: v.members[st.Lead], Member: slices.Contains(v.conf.Voters, v.s.self.id())})
		if st.Lead != 0 && (wish.Read || v.again) {
			v.read()
		}
		for _, data := range wish.Propose {
			v.propose(data)
		}
		if !v.rn.HasReady() {
			return nil
		}
	}
	return v.drain()
}

// drain carries out all that the library wishes.
func (v *life) drain() error {
	for v.rn.HasReady() {
		if err := v.ready(); err != nil {
			return err
		}
		if v.failed != nil {
			return v.failed
		}
	}
	return nil
}

func (v *life) stands(st raft.BasicStatus) {
	switch {
	case v.s.blank():
		v.c.stands("joining", errors.New("its disk has nothing of any council"))
	case st.Lead == 0:
		v.c.stands("no leader", errors.New("no majority of the hosts is heard"))
	default:
		v.c.stands("member", nil)
	}
}

// ready carries out one of the library's wishes: it writes before it says.
func (v *life) ready() error {
	rd := v.rn.Ready()
	if len(rd.Entries) > 0 || !raft.IsEmptyHardState(rd.HardState) || !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.s.save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.takeSnapshot(rd.Snapshot); err != nil {
			return err
		}
		v.c.log.Info().Uint64("index", v.applied).Msg("council: caught up by a snapshot")
	}
	v.tell()
	for _, m := range rd.Messages {
		if !v.lineTo(m.To).put(m) {
			v.c.refused.count(crowded, "more to say than the way to "+v.members[m.To]+" takes")
			v.rn.ReportUnreachable(m.To)
			if m.Type == raftpb.MsgSnap {
				v.rn.ReportSnapshot(m.To, raft.SnapshotFailure)
			}
		}
	}
	for i := range rd.CommittedEntries {
		if err := v.apply(&rd.CommittedEntries[i]); err != nil {
			return err
		}
	}
	for _, r := range rd.ReadStates {
		n := binary.BigEndian.Uint64(r.RequestCtx)
		if begun, there := v.reads[n]; there {
			delete(v.reads, n)
			v.waiting = append(v.waiting, pending{r.Index, begun})
		}
	}
	v.waiting = slices.DeleteFunc(v.waiting, func(p pending) bool {
		if p.index > v.applied {
			return false
		}
		v.c.machine.Read(p.begun)
		return true
	})
	v.rn.Advance(rd)
	if v.applied-v.snapped >= v.c.charter.Compact || v.moved {
		data, err := v.snapshot()
		if err != nil {
			return err
		}
		if err := v.s.compact(v.applied, &v.conf, data, keepBehind); err != nil {
			return err
		}
		v.snapped, v.moved = v.applied, false
	}
	return nil
}

func (v *life) apply(e *raftpb.Entry) error {
	v.applied = e.Index
	if e.Type == raftpb.EntryNormal {
		if len(e.Data) > 0 {
			return v.c.machine.Apply(e.Data)
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
	v.conf = *v.rn.ApplyConfChange(cc)
	v.moved = true // a new member takes no snapshot that does not name it
	names := map[uint64]string{}
	if len(cc.Context) > 0 {
		_ = json.Unmarshal(cc.Context, &names)
	}
	for _, ch := range cc.Changes {
		if ch.Type == raftpb.ConfChangeRemoveNode {
			v.c.log.Info().Str("host", v.members[ch.NodeID]).Str("disk", hexOf(ch.NodeID)).Msg("council: a disk less")
			delete(v.members, ch.NodeID)
			if v.gone = append(v.gone, ch.NodeID); len(v.gone) > mostGone {
				v.gone = v.gone[1:]
			}
			if l := v.lines[ch.NodeID]; l != nil {
				l.end()
				delete(v.lines, ch.NodeID)
			}
			if ch.NodeID == v.s.self.id() {
				v.fail(fmt.Errorf("%w: the others have agreed on it", errGone))
			}
			continue
		}
		v.members[ch.NodeID] = names[ch.NodeID]
		v.c.log.Info().Str("host", names[ch.NodeID]).Str("disk", hexOf(ch.NodeID)).Msg("council: a disk more")
	}
	return nil
}

// step takes a post's messages in.
func (v *life) step(in inbox) {
	if in.council != v.s.self.Cluster {
		if !v.s.blank() {
			return // it has become another's meanwhile
		}
		v.s.self.Cluster = in.council // written with the first thing that it says
	}
	v.s.hear(in.from, in.seq)
	for _, m := range in.messages {
		if raft.IsLocalMsg(m.Type) {
			v.c.refused.count(garbled, fmt.Sprintf("%s sends a %s, which is for no other", v.members[m.From], m.Type))
			continue
		}
		_ = v.rn.Step(m)
	}
}

func (v *life) propose(data []byte) {
	if v.rn == nil {
		return
	}
	if last, _ := v.s.mem.LastIndex(); v.rn.BasicStatus().Lead != 0 && last < v.applied+mostUnder {
		_ = v.rn.Propose(data) // what is dropped is proposed again by who wants it
	}
}

// read asks for the log's end as it is from now on.
func (v *life) read() {
	v.again = false
	v.readNo++
	if len(v.reads) >= mostReads {
		clear(v.reads) // lost, as a leader's are that is no more
	}
	v.reads[v.readNo] = Clock()
	v.rn.ReadIndex(place(v.readNo))
}

// tick does what is done now and then.
func (v *life) tick(now time.Time) error {
	if now.Sub(v.settled) >= time.Second {
		v.settled = now
		if err := v.s.saveHeard(); err != nil {
			return err
		}
	}
	if now.Sub(v.asked) < 2*v.c.charter.Greet {
		return nil
	}
	v.asked = now
	if v.s.blank() {
		return v.seek()
	}
	if v.rn.BasicStatus().RaftState == raft.StateLeader {
		v.dismiss()
	}
	return nil
}

// seek finds a blank disk its council: it asks to be a member of the one that there is, or founds one.
func (v *life) seek() error {
	c := v.c
	hosts := *c.hosts.Load()
	blank, leader, council := 1, "", ""
	c.mu.Lock()
	for _, h := range hosts {
		p := c.peers[h.Name]
		if h.Name == c.charter.Me || p == nil || p.reply == nil || time.Since(p.heard) > aliveFor {
			continue
		}
		if p.Blank && sameHosts(hosts, p.Hosts) {
			blank++
		}
		if !p.Blank && p.reply.Leader != "" {
			leader, council = p.reply.Leader, p.Council
		}
	}
	c.mu.Unlock()
	switch {
	case leader != "":
		v.s.self.Cluster = council
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.ask(leader)
		}()
	case blank == len(hosts) && c.charter.Found && slices.IndexFunc(hosts, func(h Host) bool {
		return h.Name < c.charter.Me
	}) < 0:
		return v.found()
	}
	return nil
}

func sameHosts(hosts []Host, names []string) bool {
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
func (v *life) found() error {
	c := v.c
	v.members = map[uint64]string{v.s.self.id(): c.charter.Me}
	c.mu.Lock()
	for _, h := range *c.hosts.Load() {
		if h.Name != c.charter.Me {
			id, err := idOf(c.peers[h.Name].ID)
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
		h.Write(place(id))
	}
	v.s.self.Cluster = hex.EncodeToString(h.Sum(nil)[:8])
	data, err := v.snapshot()
	if err != nil {
		return err
	}
	snap := raftpb.Snapshot{Data: data, Metadata: raftpb.SnapshotMetadata{ConfState: conf, Index: 1, Term: 1}}
	if err := v.s.save(raftpb.HardState{Term: 1, Commit: 1}, nil, snap); err != nil {
		return err
	}
	if err := v.takeSnapshot(snap); err != nil {
		return err
	}
	if v.rn, err = v.raw(); err != nil {
		return err
	}
	c.log.Info().Str("council", v.s.self.Cluster).Int("hosts", len(conf.Voters)).Msg("council: founded")
	return v.rn.Campaign()
}

// ask asks the leader to make this disk a member in place of the one that was here before.
func (c *Council) ask(leader string) {
	ctx, cancel := context.WithTimeout(c.ctx, postWithin)
	defer cancel()
	rep, _, err := c.post(ctx, c.reached(leader), "/council/join", &packet{hello: c.hello()})
	switch {
	case err != nil && c.ctx.Err() == nil:
		c.stands("joining", fmt.Errorf("%s: %w", leader, err))
	case err == nil:
		c.answered(rep)
		if rep.Says != "" {
			c.stands("joining", fmt.Errorf("%s: %s", leader, rep.Says))
		}
	}
}

// join takes a disk's wish to be a member.
func (c *Council) join(p *packet) (string, error) {
	me := c.who.Load()
	if me == nil || me.Leader != c.charter.Me {
		return "it does not lead", nil
	}
	if !p.Blank {
		return "", &no{otherDisk, fmt.Sprintf("%q asks to be a member with a disk that is not empty", p.Name)}
	}
	if me.gone[p.ID] {
		return "", &no{otherDisk, fmt.Sprintf("%q asks to be a member with disk %s, which was one", p.Name, p.ID)}
	}
	id, _ := idOf(p.ID)
	c.mu.Lock()
	for old, name := range me.names {
		x := c.peer(name)
		if x.reply != nil && x.reply.ID == p.ID { // it answers at the address where the former one did
			continue
		}
		if at := x.seenBy[hexOf(old)]; name == p.Name && old != id && time.Since(at) < aliveFor {
			c.mu.Unlock()
			return "", &no{stranger, fmt.Sprintf("%q asks to be a member, and one of that name was heard a moment ago",
				p.Name)}
		}
	}
	c.mu.Unlock()
	c.call(func(v *life) { v.admit(p.Name, id) })
	return "asked the others", nil
}

// admit proposes a disk in place of those that its host had before.
func (v *life) admit(name string, id uint64) {
	if v.rn == nil || v.rn.BasicStatus().RaftState != raft.StateLeader || v.members[id] != "" {
		return
	}
	cc := raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddNode, NodeID: id}}}
	for old, n := range v.members {
		if n == name {
			cc.Changes = append(cc.Changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: old})
		}
	}
	cc.Context, _ = json.Marshal(map[uint64]string{id: name})
	_ = v.rn.ProposeConfChange(cc)
}

// dismiss proposes to do without the disks of hosts that are in the file no more.
func (v *life) dismiss() {
	for id, name := range v.members {
		if v.c.addressOf(name) == "" && name != v.c.charter.Me {
			_ = v.rn.ProposeConfChange(raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{
				{Type: raftpb.ConfChangeRemoveNode, NodeID: id}}})
			return
		}
	}
}

// HostView is how another host stands, for operators.
type HostView struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Disk    string  `json:"disk,omitempty"`
	Member  bool    `json:"member"`
	Leads   bool    `json:"leads"`
	HeardMS float64 `json:"heard_ms"` // ago; below nought it has not been heard of
	Why     string  `json:"why,omitempty"`
}

// View is how the council stands, as this daemon sees it.
type View struct {
	State   string            `json:"state"`
	Why     string            `json:"why,omitempty"`
	Me      string            `json:"me"`
	Disk    string            `json:"disk,omitempty"`
	Council string            `json:"council,omitempty"`
	Leader  string            `json:"leader,omitempty"`
	Term    uint64            `json:"term"`
	Applied uint64            `json:"applied"`
	Hosts   []HostView        `json:"hosts"`
	Refused map[string]int64  `json:"refused,omitempty"`
	Last    map[string]string `json:"refused_last,omitempty"`
	Aside   map[string]int    `json:"disks_moved_aside,omitempty"`
}

// View tells how things stand. It waits for nothing but short locks.
func (c *Council) View() View {
	v := View{Me: c.charter.Me}
	me := c.who.Load()
	members := map[string]uint64{}
	if me != nil {
		v.Disk, v.Council, v.Leader, v.Term, v.Applied = hexOf(me.ID), me.Council, me.Leader, me.Term, me.Applied
		for id, name := range me.names {
			members[name] = id
		}
	}
	v.Refused, v.Last = c.refused.counts()
	c.mu.Lock()
	defer c.mu.Unlock()
	v.State, v.Why, v.Aside = c.state, c.why, map[string]int{}
	for k, n := range c.aside {
		v.Aside[k] = n
	}
	for _, h := range *c.hosts.Load() {
		x := HostView{Name: h.Name, Address: h.Address, HeardMS: -1, Leads: h.Name == v.Leader && v.Leader != ""}
		if id, there := members[h.Name]; there {
			x.Disk, x.Member = hexOf(id), true
		}
		if p := c.peers[h.Name]; p != nil && !p.heard.IsZero() {
			x.HeardMS = float64(time.Since(p.heard)) / float64(time.Millisecond)
			x.Why = p.why
		} else if p != nil {
			x.Why = p.why
		}
		if h.Name == c.charter.Me {
			x.HeardMS = 0
		}
		v.Hosts = append(v.Hosts, x)
	}
	slices.SortFunc(v.Hosts, func(a, b HostView) int { return strings.Compare(a.Name, b.Name) })
	return v
}
