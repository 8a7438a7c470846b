package distribution

// FollowerCounts are what a Follower has met since its start. A response that is rejected changes nothing
// else. The keys of the JSON form are those of the operators' ports.
type FollowerCounts struct {
	Requests         int64 `json:"Asked"`
	Failed           int64 `json:"Failed"`   // requests without a response in time
	Renewals         int64 `json:"Renewed"`  // accepted responses of the same step
	Updates          int64 `json:"Taken"`    // accepted responses of another step
	Deltas           int64 `json:"Deltas"`   // states made by a delta
	FullStates       int64 `json:"Wholes"`   // states that came in full
	Stale            int64 `json:"Late"`     // responses of a lower step, or of the same step and an older read
	BeforeStart      int64 `json:"Before"`   // responses that rest on a read before this process started
	Expired          int64 `json:"Lapsed"`   // responses whose lease is over
	Empty            int64 `json:"Empty"`    // responses of an upstream that knows nothing
	Deferred         int64 `json:"Busy"`     // responses that put off a full state
	Incompatible     int64 `json:"Foreign"`  // responses of another format version or cluster
	Invalid          int64 `json:"Bad"`      // malformed responses, and contradictions of their step
	BaseMismatches   int64 `json:"Base"`     // deltas against another state
	DigestMismatches int64 `json:"Digest"`   // deltas whose result has another digest
	MissingDeltas    int64 `json:"Missing"`  // responses that name an unknown state without a delta
	UpstreamSwitches int64 `json:"Switched"` // changes of the current upstream
	DroppedHosts     int64 `json:"Dropped"`  // hosts beyond the bound whose step was dropped
	LeaseExpirations int64 `json:"Lost"`     // times that the snapshot expired
}

// SourceCounts are what a Source has met since its start. The keys of the JSON form are those of the
// operators' ports.
type SourceCounts struct {
	Requests       int64 `json:"Asks"`
	Renewals       int64 `json:"Renewals"` // responses with step, IDs and age alone
	Deltas         int64 `json:"Deltas"`
	FullStates     int64 `json:"Wholes"`
	FullStateBytes int64 `json:"WholeSize"` // of FullStates: keys and values
	Deferred       int64 `json:"Busy"`      // full states that were put off
	Rejected       int64 `json:"Refused"`   // requests of another format version or cluster, or invalid ones
	HostAcks       int64 `json:"Seen"`      // acks that were new
	DroppedHosts   int64 `json:"Dropped"`   // hosts beyond the bound whose step was dropped
}

// ReplicaCounts are what a Replica has met since its start. After a response that can't be applied the next
// request asks for a full state.
type ReplicaCounts struct {
	Renewals         int64 // responses with nothing new
	Deltas           int64 // rulesets made by a delta
	FullStates       int64 // rulesets that came in full
	Stale            int64 // responses of a lower step
	Deferred         int64 // responses that put off a full state
	BaseMismatches   int64 // deltas against another state, and states that are not here without a delta
	DigestMismatches int64 // deltas whose result has another digest
	Invalid          int64 // responses of another format version, and rulesets that can't be decoded
}
