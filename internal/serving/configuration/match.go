package configuration

import (
	"strings"
	"unicode/utf8"
)

// Match is what requests are matched to a route by. No two routes of a valid configuration have the same one.
type Match struct {
	Host       string // canonical
	PathPrefix string // compared byte by byte, as it is written, with the path of the request as it is sent
}

// Match returns what requests are matched to the route by.
func (r *Route) Match() Match {
	return Match{Host: CanonicalHost(r.Hostname), PathPrefix: r.PathPrefix}
}

// CanonicalHost returns the form of a host in which the hosts of routes and of requests are compared: without
// a port, the brackets of an IPv6 address and a final dot, and with ASCII letters in lower case.
func CanonicalHost(host string) string {
	name := withoutPort(host)
	if bracketed, ok := strings.CutPrefix(name, "["); ok {
		name = strings.TrimSuffix(bracketed, "]")
	}
	return lowerASCII(strings.TrimSuffix(name, "."))
}

// withoutPort returns a host without its port. An IPv6 address without brackets has none.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 {
		return host
	}
	name := host[:colon]
	bracketed := strings.HasPrefix(name, "[")
	if bracketed && !strings.HasSuffix(name, "]") || !bracketed && strings.Contains(name, ":") {
		return host
	}
	return name
}

// lowerASCII returns text with ASCII letters in lower case. Host names have no other letters whose case does
// not count.
func lowerASCII(text string) string {
	for i := range len(text) {
		if text[i] >= utf8.RuneSelf {
			return lowerBytes(text)
		}
	}
	return strings.ToLower(text)
}

func lowerBytes(text string) string {
	lower := []byte(text)
	for i, b := range lower {
		if 'A' <= b && b <= 'Z' {
			lower[i] = b + 'a' - 'A'
		}
	}
	return string(lower)
}

// routeKey returns the identity of a route in updates. Prefixes begin with a slash, so that a host with a
// slash needs another delimiter: else two routes could have the same key.
func routeKey(hostname, pathPrefix string) string {
	if strings.Contains(hostname, "/") {
		return hostname + "\x00" + pathPrefix
	}
	return hostname + pathPrefix
}
