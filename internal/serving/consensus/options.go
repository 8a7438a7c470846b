package consensus

const defaultRetainedLogBytes = 1 << 20

// Options configure a replica. A field other than Voters that is zero means the default.
type Options struct {
	Voters             int // intended number of voters; a membership with more voters keeps all of them
	RetainedLogBytes   int // bytes of entries retained after a snapshot, for replicas that lag a little
	SnapshotChunkBytes int // maximum size of the part of a snapshot that one message carries
}
