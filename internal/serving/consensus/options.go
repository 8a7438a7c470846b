package consensus

const defaultRetainedLogBytes = 1 << 20

// Options configure a replica. A zero means the default, except for Voters.
type Options struct {
	Voters             int // intended number of voters; a membership that has more keeps them
	RetainedLogBytes   int // of entries that a snapshot covers, retained for replicas that lag a little
	SnapshotChunkBytes int // of a snapshot in one message
}
