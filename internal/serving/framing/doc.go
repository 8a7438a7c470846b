// Package framing carries protobuf messages over TCP between the processes of the serving system. A frame is
// the length of the message, a big-endian number of four bytes, and the message. The package knows no message
// types and keeps no state but that of its connections.
package framing
