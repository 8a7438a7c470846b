package ruleset

// SupportedFormat is the version of the rules' encoding that this program reads and writes.
const SupportedFormat = 1

// DefaultConflictBoundMillis is Rules.ConflictBoundMillis if a rules file does not set it. Operators rely on
// this bound.
const DefaultConflictBoundMillis = 2000.0

// MaxAcksPerEntry limits the hosts that one EntryAckBatch may name: about 40 bytes each, and half of the
// planned fleet.
const MaxAcksPerEntry = 4000

// MaxEncodedBytes limits the size of an entry, a lease or a snapshot that is decoded. A snapshot has up to
// ten versions: the one in force, the pending one, and maxSuperseded more. Each has at most 2 MB, the largest
// entry that the raft log accepts.
const MaxEncodedBytes = 24 << 20

// FeatureManyMembers is the feature that rules with more than maxMembersWithoutFeature members need. A
// program without it would reject a proposal that others accept, and its replica would diverge permanently.
// As the entry names the feature, that program stops at the entry instead.
const FeatureManyMembers = "members"

// The assumptions from which the bound on conflicts is derived.
const (
	maxClockDrift       = 2e-4  // relative error of a clock, fast or slow; quartz crystals stay within 1e-4
	maxWriteDelayMillis = 250.0 // longest time from the last lease check to the write, as in a pause of the host
)

// Limits of rules.
const (
	minLeaseMillis           = 100.0 // renewals would use up a shorter lease
	maxFallbackMillis        = 3.6e6 // 1 h: a change may wait this long for a lost host's fallback to expire
	maxPlans                 = 256   // plans keep their indexes; instances store them as small numbers
	maxMembers               = 10000 // the planned 7,900 and about a quarter more for vacant indexes
	maxMembersWithoutFeature = 500   // the limit of programs from before FeatureManyMembers
	maxWorkerOverrides       = 4096  // one for each worker of a region
	maxNameBytes             = 200
	maxRuleTimeMillis        = 60000.0 // of LeaseMillis and ConflictBoundMillis
	maxUnits                 = 1e9     // of a rate, burst or depth
	maxCreditSeconds         = 86400.0 // of CreditSeconds and of the repayment time, s
	millisPerSecond          = 1000.0
	maxRepayFillFraction     = 0.5 // part of a plan's refill that repayments may take, as in internal/borrowing
)

// Limits of the state, and intervals.
const (
	maxSuperseded          = 8      // superseded versions whose fallback may still be in use
	maxRecentOutcomes      = 128    // proposals whose outcome is kept to answer duplicates
	maxProcesses           = 1000   // per host: up to 500 instances, and a successor process of each
	renewalsPerLease       = 5      // requests or reads per lease duration, so that two in a row may be lost
	defaultLeaseMillis     = 1000.0 // assumed while no version is in force
	maxNamedHosts          = 3      // awaited hosts that a PendingReason names
	resubmitIntervalMillis = 300.0  // time after which an entry without effect is submitted again
)
