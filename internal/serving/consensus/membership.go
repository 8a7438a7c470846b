package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

// membership is the set of voters. While one replica replaces another as a voter, the membership is joint:
// a quorum is a majority of replicas and a majority of outgoing (joint consensus, Ongaro's dissertation,
// section 4.3). The membership that follows a joint one has the same replicas, and outgoing is empty.
type membership struct {
	replicas []string // the voters, in their agreed order
	outgoing []string // the voters before the change that is in progress; empty if the membership is not joint
}

// membershipFromProto converts a protobuf message to a membership.
func membershipFromProto(message *wirepb.Membership) membership {
	return membership{replicas: message.GetReplicas(), outgoing: message.GetOutgoing()}
}

// message converts a membership to a protobuf message.
func (m membership) message() *wirepb.Membership {
	return &wirepb.Membership{Replicas: m.replicas, Outgoing: m.outgoing}
}

// decodeMembership decodes the data of a membership entry. It panics if the data is corrupt, since entries
// are checked when they are read.
func decodeMembership(data []byte) membership {
	var message wirepb.Membership
	if err := proto.Unmarshal(data, &message); err != nil {
		panic("consensus: cannot decode membership entry: " + err.Error())
	}
	return membershipFromProto(&message)
}

// encode returns the data of a membership entry.
func (m membership) encode() []byte {
	data, err := proto.Marshal(m.message())
	if err != nil {
		panic("consensus: cannot encode membership: " + err.Error())
	}
	return data
}

func (m membership) isJoint() bool { return len(m.outgoing) > 0 }

// voters returns the replicas of both lists, each once, in their agreed order.
func (m membership) voters() []string {
	voters := slices.Clone(m.replicas)
	for _, id := range m.outgoing {
		if !slices.Contains(voters, id) {
			voters = append(voters, id)
		}
	}
	return voters
}

// contains reports whether a replica is a voter.
func (m membership) contains(id string) bool {
	return slices.Contains(m.replicas, id) || slices.Contains(m.outgoing, id)
}

// hasQuorum reports whether the voters for which satisfies returns true are a quorum.
func (m membership) hasQuorum(satisfies func(id string) bool) bool {
	return hasMajority(m.replicas, satisfies) && (!m.isJoint() || hasMajority(m.outgoing, satisfies))
}

func hasMajority(ids []string, satisfies func(id string) bool) bool {
	count := 0
	for _, id := range ids {
		if satisfies(id) {
			count++
		}
	}
	return count > len(ids)/2
}

// quorumIndex returns the greatest index that a quorum has reached.
func (m membership) quorumIndex(indexOf func(id string) uint64) uint64 {
	index := majorityIndex(m.replicas, indexOf)
	if m.isJoint() {
		index = min(index, majorityIndex(m.outgoing, indexOf))
	}
	return index
}

func majorityIndex(ids []string, indexOf func(id string) uint64) uint64 {
	if len(ids) == 0 {
		return 0
	}
	indexes := make([]uint64, 0, len(ids))
	for _, id := range ids {
		indexes = append(indexes, indexOf(id))
	}
	slices.Sort(indexes)
	return indexes[(len(indexes)-1)/2]
}

// withVoter returns the membership with one more voter. It needs no joint membership: each quorum of it
// overlaps with each quorum of m, since they differ in a single voter.
func (m membership) withVoter(id string) membership {
	return membership{replicas: append(slices.Clone(m.replicas), id)}
}

// withReplacement returns the joint membership during which successor replaces voter.
func (m membership) withReplacement(voter, successor string) membership {
	replicas := slices.Clone(m.replicas)
	replicas[slices.Index(replicas, voter)] = successor
	return membership{replicas: replicas, outgoing: m.replicas}
}

// afterJoint returns the membership that follows a joint one.
func (m membership) afterJoint() membership {
	return membership{replicas: m.replicas}
}
