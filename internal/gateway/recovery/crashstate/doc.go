// Package crashstate keeps the part of a gateway's state that has to outlive a kill of its process: what
// customers have spent of their rate limits, and how loaded the gateway was.
//
// The state is a file that is mapped into memory. A store into the mapping is visible to the next process
// however this one ends, and costs a few instructions and no system call. The file is never synced to
// disk: it does not outlive the machine, and a file of an earlier boot is ignored.
//
// A file has a header of 256 bytes (offset... constants) and 65,536 slots of 16 bytes, little-endian: the
// time at which a customer's slice of its rate limit is full again (Unix ms, float64; 0 is a free slot),
// then the customer's key (32 bits) and the index of its plan (32 bits). The form is fixed: an instance of
// another version reads it.
//
// The package imports the policy's types and nothing else of the gateway.
package crashstate
