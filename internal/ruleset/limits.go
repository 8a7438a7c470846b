package ruleset

// SupportedFormat is the rules' encoding that this program reads and writes.
const SupportedFormat = 1

// DefaultConflictBoundMillis is Rules.ConflictBoundMillis where a file names none: the promise to operators.
const DefaultConflictBoundMillis = 2000.0

// MaxAcksPerEntry is how many hosts one log entry may name: some 40 bytes each, half of the planned fleet.
const MaxAcksPerEntry = 4000

// MaxEncodedBytes bounds an entry, a lease or a snapshot that is read. A snapshot has up to ten versions: in
// force, pending, and maxSuperseded more, each of the 2 MB that the raft log takes as an entry.
const MaxEncodedBytes = 24 << 20

// FeatureManyMembers is the feature that rules with more than maxMembersWithoutFeature members need. A
// program without it would reject a proposal that others accept, and its replica would diverge for good;
// because the entry names the feature, that program stops there instead.
const FeatureManyMembers = "members"

// What the bound on conflicts is derived from.
const (
	maxClockDrift       = 2e-4  // relative error of a clock, fast or slow; crystals keep 1e-4
	maxWriteDelayMillis = 250.0 // from the last check of the lease to the write: a long pause of the host
)

// Bounds of rules.
const (
	minLeaseMillis           = 100.0 // a shorter lease would be spent in renewing it
	maxFallbackMillis        = 3.6e6 // 1 h: a change that conflicts with a silent host's fallback waits so long
	maxPlans                 = 256   // a plan's index is a small number at the instances and is kept for life
	maxMembers               = 10000 // the planned 7,900 and a quarter more for vacant indexes
	maxMembersWithoutFeature = 500   // what programs before FeatureManyMembers support
	maxWorkerOverrides       = 4096  // one for each worker of a region
	maxNameBytes             = 200
	maxRuleTimeMillis        = 60000.0 // of a lease and of the bound on conflicts
	maxUnits                 = 1e9     // of a rate or a depth
	maxCreditSeconds         = 86400.0 // of a credit line and of its repayment
	millisPerSecond          = 1000.0
	maxRepayFillFraction     = 0.5 // of a plan's refill that loans may take, as in internal/borrowing
)

// Bounds of the state, and intervals.
const (
	maxSuperseded          = 8      // superseded versions that may be fallen back to at a time
	maxRecentOutcomes      = 128    // proposals whose outcome is kept for duplicates
	maxProcesses           = 1000   // of a host: up to 500 instances, and a successor of each
	renewalsPerLease       = 5      // requests or reads in a lease: two in a row may be lost
	defaultLeaseMillis     = 1000.0 // assumed before there is a version
	maxNamedHosts          = 3      // in a text that names the hosts which are awaited
	resubmitIntervalMillis = 300.0  // after which an entry that has had no effect is submitted again
)
