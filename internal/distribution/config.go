package distribution

import "willowdeck/internal/ruleset"

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Name             string // the requester's, in Request.Sender
	Cluster          string
	Upstreams        int // how many there are
	Interest         ruleset.Interest
	LeaseMillis      float64 // until a ruleset says its own; 0: defaultLeaseMillis
	IntervalMillis   float64 // between two requests; 0: the lease divided by RequestsPerLease
	RequestsPerLease int     // 0: defaultRequestsPerLease. A relay with many clients uses twice as many
	Seed             int64   // of the order of upstreams and of jitter
	// UpstreamTracksProcess says that the one upstream is the daemon of the same host, which tracks this very
	// process. Such a follower may act on what was read before it started; others must not.
	UpstreamTracksProcess bool
}

// SourceConfig configures a Source. A field that is 0 takes its default.
type SourceConfig struct {
	RetainedVersions        int     // states that deltas can be made from
	CachedSelections        int     // selections by interest of the current snapshot
	TrackedClients          int     // clients whose discovery index is kept
	TrackedHosts            int     // hosts whose steps are kept
	FullStateBytesPerSecond float64 // rate limit of full states
	FullStateBurstBytes     float64 // burst of that limit
	Incarnation             uint64  // drawn by each process at its start; 0 becomes 1
}

// Defaults of SourceConfig.
const (
	// 16 versions are four minutes' worth at 5,600 changes a day. A requester that was away for longer gets a
	// full state.
	defaultRetainedVersions = 16
	defaultCachedSelections = 2048 // a region's hosts, of some 3 KB each
	defaultTrackedClients   = 8192 // a region's hosts and relays, four times over
	// 16 MB/s are a tenth of a link of a gigabit and some.
	defaultFullStateBytesPerSecond = 16 << 20
	// 4 MB are a zone's 564 selections of 4 KB and full states for a few relays.
	defaultFullStateBurstBytes = 4 << 20

	// minRetainedVersions are the version in force and a pending one.
	minRetainedVersions = 2
)

// withDefaults gives the configuration with the defaults in place of what is 0 or negative.
func (c SourceConfig) withDefaults() SourceConfig {
	setDefault(&c.RetainedVersions, defaultRetainedVersions)
	c.RetainedVersions = max(c.RetainedVersions, minRetainedVersions)
	setDefault(&c.CachedSelections, defaultCachedSelections)
	setDefault(&c.TrackedClients, defaultTrackedClients)
	setDefault(&c.TrackedHosts, maxHosts)
	if !(c.FullStateBytesPerSecond > 0) {
		c.FullStateBytesPerSecond = defaultFullStateBytesPerSecond
	}
	if !(c.FullStateBurstBytes > 0) {
		c.FullStateBurstBytes = defaultFullStateBurstBytes
	}
	if c.Incarnation == 0 {
		c.Incarnation = 1
	}
	return c
}

func setDefault(value *int, fallback int) {
	if *value <= 0 {
		*value = fallback
	}
}
