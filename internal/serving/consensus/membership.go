package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

// membership says whose votes and copies count. While a seat changes hands, it is joint: a majority of the
// replicas and a majority of the outgoing ones are needed (Ongaro's dissertation, section 4.3). A joint
// membership is followed by one that holds its replicas alone.
type membership struct {
	replicas []string // that vote, in their agreed order
	outgoing []string // the replicas before the change that is under way; empty: there is none
}

func membershipFromProto(message *wirepb.Membership) membership {
	return membership{replicas: message.GetReplicas(), outgoing: message.GetOutgoing()}
}

func (m membership) message() *wirepb.Membership {
	return &wirepb.Membership{Replicas: m.replicas, Outgoing: m.outgoing}
}

func decodeMembership(data []byte) membership {
	var message wirepb.Membership
	if err := proto.Unmarshal(data, &message); err != nil {
		panic("consensus: membership entry does not decode: " + err.Error())
	}
	return membershipFromProto(&message)
}

func (m membership) encode() []byte {
	data, err := proto.Marshal(m.message())
	if err != nil {
		panic("consensus: membership does not encode: " + err.Error())
	}
	return data
}

func (m membership) isJoint() bool { return len(m.outgoing) > 0 }

// voters returns all whose votes count, in their agreed order.
func (m membership) voters() []string {
	voters := slices.Clone(m.replicas)
	for _, id := range m.outgoing {
		if !slices.Contains(voters, id) {
			voters = append(voters, id)
		}
	}
	return voters
}

func (m membership) contains(id string) bool {
	return slices.Contains(m.replicas, id) || slices.Contains(m.outgoing, id)
}

// quorum reports whether those for whom holds is true are a quorum.
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

// with returns the membership with one more replica. Quorums before and after it overlap, since it is one.
func (m membership) withVoter(id string) membership {
	return membership{replicas: append(slices.Clone(m.replicas), id)}
}

// replacing returns the joint membership in which successor takes the seat of a replica.
func (m membership) withReplacement(voter, successor string) membership {
	replicas := slices.Clone(m.replicas)
	replicas[slices.Index(replicas, voter)] = successor
	return membership{replicas: replicas, outgoing: m.replicas}
}

// settled returns the membership that follows a joint one.
func (m membership) afterJoint() membership {
	return membership{replicas: m.replicas}
}
