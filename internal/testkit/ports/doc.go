// Package ports allocates loopback ports to tests and test rigs. A port stays allocated also while nobody
// listens there. One that is drawn by listening at port 0 and closed does not: anybody may bind it meanwhile.
//
// Ports come from outside the system's ephemeral range (that of outgoing connections and of listeners at port
// 0), in blocks that a process claims for itself on the whole machine. A claim is a bound datagram socket: it
// ends with its process, however that ends, and is seen by every user and from every directory.
//
// The package owns the process's pool of claimed blocks. It imports nothing of this module. Tests call Span,
// Address or Listen; programs that are no tests call Take or Open and release what they got.
package ports
