// Package crashstate keeps the part of a gateway's state that has to survive a kill of its process: how much
// of their rate limits customers have used, and how loaded the gateway was.
//
// The state is a file that is mapped into memory. A store into the mapping is visible to the next process
// however this process ends, and costs a few instructions and no system call. The file is never synced to
// disk: it does not survive a reboot of the machine, and a file of an earlier boot is ignored.
//
// A file has a header of 256 bytes (offset... constants) and 65,536 slots of 16 bytes, little-endian: the
// time at which this gateway's share of a customer's rate limit is fully available again (Unix ms,
// float64; 0 marks a free slot), then the customer's key (32 bits) and the index of its plan (32 bits).
// The file format must not change: processes of other versions read the file.
//
// The package imports the policy's types and nothing else of the gateway.
package crashstate
