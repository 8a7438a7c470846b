package consensus

import "strings"

// founderTag marks the disks of the first start: their identities are known to all founders beforehand.
const founderTag = "founder"

// Identity returns the identity of a disk at an address (an IP number). The tag is drawn when the disk is
// first used.
func Identity(address, tag string) string { return address + "#" + tag }

// FounderIdentity returns the identity of a disk of the first start.
func FounderIdentity(address string) string { return Identity(address, founderTag) }

// Address returns the address of a replica identity.
func Address(identity string) string {
	address, _, _ := strings.Cut(identity, "#")
	return address
}
