// Package fakes serves on loopback what a gateway talks to: workers, discovery, the shared counter, an
// authorization service and the reverse proxy that calls it. Faults are set by the test or the laboratory.
//
// Each fake owns its listener, its port and a log of what it received; all are in memory and end with Close.
// The fakes are written from the protocol and share no code with the gateway: the package imports of this
// module only the test kit's history and ports.
package fakes
