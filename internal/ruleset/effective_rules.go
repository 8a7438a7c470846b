package ruleset

// LeaseMode is what a gatekeeper's rules rest on.
type LeaseMode uint8

// The modes. In any but ModeLeased a gatekeeper grants no new credit, and its quotas are at the share that
// needs no message of peers; worker overrides apply in all. The numbers are a figure at operators' ports.
const (
	ModeNoLease  LeaseMode = iota // nothing passes under a rate limit
	ModeFallback                  // the lease has expired: the version's fallback applies
	ModeLeased                    // the version applies
)

var modeNames = [...]string{"bare", "cut off", "leased"}

// String gives the operators' word for the mode.
func (m LeaseMode) String() string { return modeNames[m] }

// EffectivePlan is one plan as a gatekeeper applies it.
type EffectivePlan struct {
	Plan                // as the version has it, for all gatekeepers
	Allowance Allowance // what this gatekeeper may let through
	// RateLimitFraction is what its even share of the rate limit is multiplied by to give Allowance, 0 to 1; 1
	// where there is no limit.
	RateLimitFraction float64
	CreditFraction    float64 // the same for its even share of the credit line
}

// EffectiveRules are what a gatekeeper goes by from the moment at which it has adopted them.
type EffectiveRules struct {
	Version     uint64 // 0 for the initial rules
	Step        uint64 // the fencing step of the lease that they rest on
	Mode        LeaseMode
	MemberIndex int // this gatekeeper's index among MemberCount; -1 if it is not a member
	MemberCount int
	Plans       []EffectivePlan
	// LendingAllowed tells whether new credit may be granted.
	LendingAllowed  bool
	WorkerOverrides []WorkerOverride
	ExpiresAtMillis float64 // by the holder's clock, as of the adoption; see LeaseHolder.MayAct
	// AllowanceGrew tells that the allowance is larger than before, because others have less or are gone. They
	// may just have spent theirs, so that the difference counts as spent and fills at its rate. So it is with
	// the first lease of a process, unless it knows what its predecessor had spent under the same version.
	AllowanceGrew bool
}
