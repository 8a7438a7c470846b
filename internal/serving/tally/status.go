package tally

import (
	"maps"
	"slices"
)

// Status is the state of a replica in the response to /status. The JSON keys are part of the operators'
// interface.
type Status struct {
	Tallies int          `json:"tallies"`
	Records int          `json:"records"`
	Pending int          `json:"pending"`
	Current bool         `json:"current"` // reads are answered
	Peers   []PeerStatus `json:"peers"`
}

// PeerStatus is the state of another core as this core knows it.
type PeerStatus struct {
	Address    string `json:"address"`
	Responsive bool   `json:"responsive"`
	Missing    uint64 `json:"missing"`  // records that this core holds and the other has not made durable
	Lacking    uint64 `json:"not_held"` // records that the other core holds and this one lacks
}

// Status returns the current state of the replica.
func (r *Replica) Status() Status {
	status := Status{
		Tallies: len(r.set.tallies), Records: r.set.Records(), Pending: len(r.pending), Current: r.canAnswerReads(),
	}
	held := r.set.Vector()
	for _, address := range slices.Sorted(maps.Keys(r.peers)) {
		p := r.peers[address]
		status.Peers = append(status.Peers, PeerStatus{
			Address: address, Responsive: !p.late && !p.shuttingDown, Missing: held.missingFrom(p.durable),
			Lacking: p.received.missingFrom(held),
		})
	}
	return status
}

// missingFrom returns the number of records of v that are not in other.
func (v Vector) missingFrom(other Vector) uint64 {
	count := uint64(0)
	for origin, sequence := range v {
		if held := other[origin]; held < sequence {
			count += sequence - held
		}
	}
	return count
}
