package loadbalancer

import (
	"strconv"
	"strings"
)

// maxPartTokens bounds the stated length of a prompt part; a longer one does not parse.
const maxPartTokens = 1e9

// Part is one part of a prompt, as the Prompt-Prefix header names it.
type Part struct {
	ID     string
	Tokens float64
}

// ParsePrompt parses a Prompt-Prefix header: ID:TOKENS, separated by commas. The first part that does not
// parse ends the list.
func ParsePrompt(header string) []Part {
	var parts []Part
	for field := range strings.SplitSeq(header, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.ParseFloat(count, 64)
		if !ok || err != nil || !(tokens >= 0 && tokens < maxPartTokens) {
			return parts
		}
		parts = append(parts, Part{ID: id, Tokens: tokens})
	}
	return parts
}

// sharedTokens adds up the parts that other requests may share: all but the last.
func sharedTokens(parts []Part) float64 {
	if len(parts) == 0 {
		return 0
	}
	return totalTokens(parts[:len(parts)-1])
}

// totalTokens adds up all parts.
func totalTokens(parts []Part) float64 {
	sum := 0.0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// affinityKey returns what requests with the same shared parts have in common: the ID of the last shared
// part, or "" without one.
func affinityKey(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}
