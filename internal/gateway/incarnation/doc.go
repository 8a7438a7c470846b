// Package incarnation separates fresh messages of peers from stale ones, also where peers restart. Each
// message carries its sender's incarnation, which grows with each start of the process, and a sequence
// number within it; a Tracker holds the newest pair of each sender. Both numbers are compared by serial
// number arithmetic (RFC 1982), so that they may wrap. The package does no I/O and imports no other package
// of this module.
package incarnation
