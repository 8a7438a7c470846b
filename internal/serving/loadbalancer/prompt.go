package loadbalancer

import (
	"strconv"
	"strings"
)

// Part is one part of a prompt, as Prompt-Prefix names it.
type Part struct {
	ID     string
	Tokens float64
}

// ParsePrompt reads a Prompt-Prefix header. Parts that do not parse end the list.
func ParsePrompt(header string) []Part {
	var parts []Part
	for field := range strings.SplitSeq(header, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.ParseFloat(count, 64)
		if !ok || err != nil || !(tokens >= 0 && tokens < 1e9) {
			return parts
		}
		parts = append(parts, Part{ID: id, Tokens: tokens})
	}
	return parts
}

// sharedTokens adds up the parts that other requests share: all but the last.
func sharedTokens(parts []Part) float64 {
	sum := 0.0
	for i := 0; i+1 < len(parts); i++ {
		sum += parts[i].Tokens
	}
	return sum
}

// allTokens adds up all parts.
func allTokens(parts []Part) float64 {
	sum := 0.0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

// homeKey names what requests of the same shared prompt have in common: the last shared part, or "" without
// one.
func homeKey(parts []Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}
