package raftlog

import (
	"slices"
	"strings"
	"time"
)

// The states of a node, as Status.State has them. Operators and their tools match these strings.
const (
	StateWaiting  = "waiting"   // for the peers to report what they have seen of this disk
	StateJoining  = "joining"   // its disk belongs to no group yet
	StateNoLeader = "no leader" // no majority of the hosts is in contact
	StateMember   = "member"    // it takes part, and a leader is known
	StateMute     = "mute"      // its store can't be read or written
)

// The reasons for which a store is moved aside: keys of Status.MovedAside and parts of the file's new name.
const (
	movedCorrupt = "torn"
	movedStale   = "old"
	movedRemoved = "gone"
)

// HostStatus is a host of the group as another one sees it, for operators.
type HostStatus struct {
	Name               string  `json:"name"`
	Address            string  `json:"address"`
	DiskID             string  `json:"disk,omitempty"`
	IsMember           bool    `json:"member"`
	IsLeader           bool    `json:"leads"`
	SinceContactMillis float64 `json:"heard_ms"` // negative: there was no contact yet
	LastError          string  `json:"why,omitempty"`
}

// Status is the group as this node sees it, for operators.
type Status struct {
	State          string            `json:"state"` // one of the State constants
	Reason         string            `json:"why,omitempty"`
	HostName       string            `json:"me"`
	DiskID         string            `json:"disk,omitempty"`
	GroupID        string            `json:"council,omitempty"`
	LeaderName     string            `json:"leader,omitempty"`
	Term           uint64            `json:"term"`
	AppliedIndex   uint64            `json:"applied"`
	Hosts          []HostStatus      `json:"hosts"`                       // by name
	Rejections     map[string]int64  `json:"refused,omitempty"`           // requests rejected, by reason
	LastRejections map[string]string `json:"refused_last,omitempty"`      // the last message, by reason
	MovedAside     map[string]int    `json:"disks_moved_aside,omitempty"` // stores moved aside, by reason
}

// setState records the node's state, and logs it when it changes.
func (n *Node) setState(state string, reason error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state != state {
		n.log.Info().Str("state", state).Str("was", n.state).AnErr("why", reason).Msg("raft group: state changed")
	}
	n.state, n.stateReason = state, ""
	if reason != nil {
		n.stateReason = reason.Error()
	}
}

// Status returns the group as this node sees it. It waits for nothing but short locks.
func (n *Node) Status() Status {
	status := Status{HostName: n.config.HostName}
	memberDisks := map[string]uint64{}
	if current := n.published.Load(); current != nil {
		status.DiskID, status.GroupID = formatDiskID(current.diskID), current.groupID
		status.LeaderName, status.Term, status.AppliedIndex = current.leaderName, current.term, current.appliedIndex
		for id, name := range current.members {
			memberDisks[name] = id
		}
	}
	status.Rejections, status.LastRejections = n.rejections.snapshot()
	n.mu.Lock()
	defer n.mu.Unlock()
	status.State, status.Reason, status.MovedAside = n.state, n.stateReason, map[string]int{}
	for reason, count := range n.movedAside {
		status.MovedAside[reason] = count
	}
	for _, host := range *n.hosts.Load() {
		hostStatus := n.hostStatusLocked(host)
		hostStatus.IsLeader = host.Name == status.LeaderName && status.LeaderName != ""
		if id, ok := memberDisks[host.Name]; ok {
			hostStatus.DiskID, hostStatus.IsMember = formatDiskID(id), true
		}
		status.Hosts = append(status.Hosts, hostStatus)
	}
	slices.SortFunc(status.Hosts, func(a, b HostStatus) int { return strings.Compare(a.Name, b.Name) })
	return status
}

// hostStatusLocked returns what the contact with a host has shown; the caller holds n.mu.
func (n *Node) hostStatusLocked(host Host) HostStatus {
	status := HostStatus{Name: host.Name, Address: host.Address, SinceContactMillis: -1}
	if peer := n.peers[host.Name]; peer != nil {
		status.LastError = peer.lastError
		if !peer.lastContact.IsZero() {
			status.SinceContactMillis = float64(time.Since(peer.lastContact)) / float64(time.Millisecond)
		}
	}
	if host.Name == n.config.HostName {
		status.SinceContactMillis = 0
	}
	return status
}
