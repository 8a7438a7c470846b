package txnjournal

// Defaults and bounds of the settings in the operators' journal file.
const (
	// DefaultBatchWindowMillis is 0: records that arrive while a write is under way are batch enough.
	DefaultBatchWindowMillis = 0.0
	MaxBatchWindowMillis     = 1000.0
	// DefaultCommitWaitMillis lies above the stalls of an ordinary disk.
	DefaultCommitWaitMillis = 150.0
	// DefaultSlowCommitMillis is below the commit wait, which slower commits would use up.
	DefaultSlowCommitMillis = 100.0
	MaxCommitWaitMillis     = 10000.0 // also the bound of a slow commit
	// DefaultCoverageLeaseMillis is what an outage of the disk costs under ServeUnwritten.
	DefaultCoverageLeaseMillis = 1000.0
	MaxCoverageLeaseMillis     = 60000.0

	DefaultSegmentBytes = 4 << 20 // some ten thousand transactions
	MinSegmentBytes     = 64 << 10
	MaxSegmentBytes     = 64 << 20 // a reader holds one segment in memory
	DefaultMaxSegments  = 16       // 64 MB in all
	MinMaxSegments      = 3        // one being written, one checkpointed, one to be removed
	LargestMaxSegments  = 1024
	DefaultMaxTxns      = 100000 // some 20 MB of memory
	LargestMaxTxns      = 1 << 22

	DefaultMaxResponseBytes        = 4096
	DefaultMaxStoredResponseBytes  = 8 << 20
	LargestMaxStoredResponseBytes  = 1 << 30
	DefaultResponseRetentionMillis = 3.6e6
	MaxResponseRetentionMillis     = 7 * 24 * 3.6e6

	DefaultBreakerThreshold        = 3
	DefaultBreakerBackoffMillis    = 200.0
	DefaultBreakerMaxBackoffMillis = 5000.0
	MaxBreakerBackoffMillis        = 600000.0
)

// UnwrittenPolicy says what happens to non-idempotent transactions while the journal can't be written. Its
// numbers are stored in segment headers, its texts are values of the setting policy.
type UnwrittenPolicy uint8

const (
	// RefuseUnwritten rejects them, unsent.
	RefuseUnwritten UnwrittenPolicy = iota
	// ServeUnwritten sends them; for that time the journal's verdict is SentUnknown in place of NotSent.
	ServeUnwritten
)

func (p UnwrittenPolicy) String() string {
	if p == ServeUnwritten {
		return "serve"
	}
	return "refuse"
}

// Config says how a journal is kept.
type Config struct {
	Policy            UnwrittenPolicy
	BatchWindowMillis float64 // how long a batch waits for more records
	CommitWaitMillis  float64 // how long a transaction waits for its batch, at most
	SlowCommitMillis  float64 // a commit that takes longer counts as a failure of the disk
	// CoverageLeaseMillis is, under ServeUnwritten, how far ahead the journal promises that nothing is sent
	// unwritten.
	CoverageLeaseMillis     float64
	SegmentBytes            int
	MaxSegments             int // kept on disk
	MaxTxns                 int // kept in memory
	MaxResponseBytes        int // of one response that is stored
	MaxStoredResponseBytes  int // of all responses in memory
	ResponseRetentionMillis float64
	// The circuit breaker of the disk opens after BreakerThreshold failures in a row. Its backoff doubles from
	// BreakerBackoffMillis to BreakerMaxBackoffMillis.
	BreakerThreshold                              int
	BreakerBackoffMillis, BreakerMaxBackoffMillis float64
}

// DefaultConfig returns the settings that hold where the operators' file has none.
func DefaultConfig() Config {
	return Config{
		BatchWindowMillis:       DefaultBatchWindowMillis,
		CommitWaitMillis:        DefaultCommitWaitMillis,
		SlowCommitMillis:        DefaultSlowCommitMillis,
		CoverageLeaseMillis:     DefaultCoverageLeaseMillis,
		SegmentBytes:            DefaultSegmentBytes,
		MaxSegments:             DefaultMaxSegments,
		MaxTxns:                 DefaultMaxTxns,
		MaxResponseBytes:        DefaultMaxResponseBytes,
		MaxStoredResponseBytes:  DefaultMaxStoredResponseBytes,
		ResponseRetentionMillis: DefaultResponseRetentionMillis,
		BreakerThreshold:        DefaultBreakerThreshold,
		BreakerBackoffMillis:    DefaultBreakerBackoffMillis,
		BreakerMaxBackoffMillis: DefaultBreakerMaxBackoffMillis,
	}
}
