package raftlog

import (
	"fmt"
	"time"
)

// peerState is what is known of another host of the group. Node.mu guards it.
type peerState struct {
	messageHeader                        // of its last message
	lastResponse    *response            // nil: it has not answered since this process began
	lastContact     time.Time            // when its last message came
	lastError       string               // of the last hello that failed; empty after a response
	diskLastContact map[string]time.Time // by disk ID
}

// hostAddress returns a host's address as configured; empty if there is no such host.
func (n *Node) hostAddress(name string) string {
	for _, host := range *n.hosts.Load() {
		if host.Name == name {
			return host.Address
		}
	}
	return ""
}

// dialAddress returns the address at which a host is reached from here.
func (n *Node) dialAddress(name string) string {
	address := n.hostAddress(name)
	if override := (*n.addressOverrides.Load())[address]; override != "" {
		return override
	}
	return address
}

// hostNameOf returns the name of the host that has a disk; empty if it is not known.
func (n *Node) hostNameOf(diskID uint64) string {
	if current := n.published.Load(); current != nil && current.members[diskID] != "" {
		return current.members[diskID]
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, peer := range n.peers {
		if peer.DiskID == formatDiskID(diskID) {
			return name
		}
	}
	return ""
}

// peerLocked returns the state of a host, new if there was none; the caller holds n.mu.
func (n *Node) peerLocked(name string) *peerState {
	peer := n.peers[name]
	if peer == nil {
		peer = &peerState{diskLastContact: map[string]time.Time{}}
		n.peers[name] = peer
	}
	return peer
}

// recordContact records that a message came from a host.
func (n *Node) recordContact(name string, diskID uint64, header messageHeader) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peer := n.peerLocked(name)
	now := time.Now()
	if len(peer.diskLastContact) > maxRemovedMembers {
		clear(peer.diskLastContact)
	}
	peer.diskLastContact[formatDiskID(diskID)] = now
	hosts := peer.Hosts
	if peer.messageHeader = header; peer.Hosts == nil { // requests with raft messages do not list them
		peer.Hosts = hosts
	}
	peer.lastContact = now
}

// recordSendError records that a hello to a host failed.
func (n *Node) recordSendError(name string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peerLocked(name).lastError = err.Error()
}

// handleResponse records a response, and ends the session if the peer knows that this disk may not take
// part: it has seen more writes of the disk than the disk has, or the disk was removed from the group.
func (n *Node) handleResponse(r *response) {
	id, err := parseDiskID(r.DiskID)
	if err != nil { // the peer has no open store
		return
	}
	n.recordContact(r.HostName, id, r.messageHeader)
	n.mu.Lock()
	peer := n.peerLocked(r.HostName)
	peer.lastResponse, peer.lastError = r, ""
	n.mu.Unlock()
	if s := n.currentStore.Load(); s != nil {
		s.recordPeerSeq(id, r.WriteSeq)
	}
	current := n.published.Load()
	if current == nil || r.ForDiskID != formatDiskID(current.diskID) {
		return
	}
	var cause error
	switch {
	case r.HighestWriteSeq > n.writeSeq.Load():
		cause = fmt.Errorf("%w: %s has seen its write %d, the disk has %d",
			errStaleDisk, r.HostName, r.HighestWriteSeq, n.writeSeq.Load())
	case r.Removed:
		cause = fmt.Errorf("%w: according to %s", errRemovedMember, r.HostName)
	default:
		return
	}
	n.enqueue(func(s *session) {
		if formatDiskID(s.store.diskID()) == r.ForDiskID {
			s.fail(cause)
		}
	})
}
