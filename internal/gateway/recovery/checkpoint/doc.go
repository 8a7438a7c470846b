// Package checkpoint keeps a copy of the part of a gateway's state that decays: quotas, demand, and the
// latest reports of peers. It is written while the gateway runs and restored after a kill, beside package
// crashstate.
//
// A file holds two slots of 4 MB that are written in turn, each with its sequence number, its length and a
// checksum (CRC-32C): a process that is killed during a write leaves the other slot valid. Nothing is
// synced to disk: written bytes outlive the process, and a checkpoint of an earlier boot of the machine is
// rejected.
//
// A slot is a header of 128 bytes (offset... constants) and the encoded Snapshot (encoding.go),
// little-endian. The form is fixed: an instance of another version reads it.
//
// The package imports the policy's types and message IDs, and nothing else of the gateway.
package checkpoint
