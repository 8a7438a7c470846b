// Package incarnation distinguishes fresh messages of peers from stale ones, also across restarts of peers.
// Each message carries its sender's incarnation, which increases with each start of the process, and a
// sequence number within the incarnation. A Tracker keeps the newest pair of each sender. Both numbers are
// compared with serial number arithmetic (RFC 1982), so they may wrap around. The package does no I/O and
// imports no other package of this module.
package incarnation
