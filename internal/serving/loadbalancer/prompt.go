package loadbalancer

import (
	"strconv"
	"strings"
)

// maxPartTokens is the number of tokens from which on a prompt part is invalid.
const maxPartTokens = 1e9

// Part is one part of a prompt, as the Prompt-Prefix header names it.
type Part struct {
	ID     string
	Tokens float64
}

// ParsePrompt parses a Prompt-Prefix header: parts of the form ID:TOKENS, separated by commas. It returns
// the parts that precede the first invalid one.
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

// sharedTokens returns the number of tokens in the parts that other requests may share: all parts but the
// last.
func sharedTokens(parts []Part) float64 {
	if len(parts) == 0 {
		return 0
	}
	return totalTokens(parts[:len(parts)-1])
}

// totalTokens returns the number of tokens in all parts.
func totalTokens(parts []Part) float64 {
	sum := 0.0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// affinityKey returns the key by which requests with the same shared parts get the same affinity: the ID of
// the last shared part, or "" if there is none.
func affinityKey(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}
