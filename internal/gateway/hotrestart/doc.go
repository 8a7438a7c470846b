// Package hotrestart moves a gateway's state and sockets from a running process, the predecessor, to the
// process that replaces it on the same machine, the successor.
//
// The two talk over a Unix socket of type SOCK_SEQPACKET. The predecessor listens with [Listen]; the
// successor calls [Connect] and [Successor.Receive]. Packets carry the handoff state in chunks, which the
// successor acknowledges once it is complete, and after it one packet for each socket, with its descriptor.
//
// The package owns the protocol and the stored form of the handoff state (storedform.go). It decides nothing:
// when a process hands off, and what it does with what it receives, is lifecycle's. It must not import
// lifecycle, proxy or transport.
package hotrestart
