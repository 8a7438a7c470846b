package consensus

import "strings"

// founderTag is the tag of the disks of the first start, whose identities all founders know beforehand.
const founderTag = "founder"

// Identity returns the identity of a disk at an address (an IP address without a port). The tag is drawn at
// random when the disk is first used.
func Identity(address, tag string) string { return address + "#" + tag }

// FounderIdentity returns the identity of the disk of a founder, an initial voter, at an address.
func FounderIdentity(address string) string { return Identity(address, founderTag) }

// Address returns the address part of a replica's identity.
func Address(identity string) string {
	address, _, _ := strings.Cut(identity, "#")
	return address
}
