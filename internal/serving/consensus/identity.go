package consensus

import "strings"

// founderTag is the tag of the founders' disks. It is fixed, so that each founder knows the identities of all
// founders before the first start.
const founderTag = "founder"

// Identity returns the identity of the replica at an address (an IP address without a port) whose disk has
// the tag. A tag is drawn at random when a disk is first used.
func Identity(address, tag string) string { return address + "#" + tag }

// FounderIdentity returns the identity of the founder, an initial voter, at an address.
func FounderIdentity(address string) string { return Identity(address, founderTag) }

// Address returns the address part of a replica's identity.
func Address(identity string) string {
	address, _, _ := strings.Cut(identity, "#")
	return address
}
