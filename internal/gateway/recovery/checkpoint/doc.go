// Package checkpoint keeps a copy of the part of a gateway's state that becomes outdated quickly:
// quotas, demand estimates, and the latest reports of peers. The copy is written while the gateway runs and
// restored after a kill of the process. Package crashstate keeps the other part of the state.
//
// A file holds two slots of 4 MB that are written in turn, each with its sequence number, its length and a
// checksum (CRC-32C): a process that is killed during a write leaves the other slot valid. Nothing is
// synced to disk: written data survives the process but not a reboot, and a checkpoint of an earlier boot
// of the machine is rejected.
//
// A slot is a header of 128 bytes (offset... constants) and the encoded Snapshot (encoding.go),
// little-endian. The file format must not change: processes of other versions read the file.
//
// The package imports the policy's types and message IDs, and nothing else of the gateway.
package checkpoint
