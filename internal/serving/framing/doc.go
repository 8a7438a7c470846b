// Package framing carries protobuf messages over TCP between the processes of the serving system. A frame is
// the length of the message, a big-endian number of four bytes, and the message. The package does not depend
// on the types of the messages and has no state other than that of its connections.
package framing
