package ruleset

// LeaseMode is the state of an instance's lease, which selects the rules that apply.
type LeaseMode uint8

// The modes. In any mode but ModeLeased an instance grants no new credit, and its quota shares are those that
// need no messages from peers. Worker overrides apply in all modes. The numbers are exposed on operators'
// ports.
const (
	ModeNoLease  LeaseMode = iota // nothing is admitted for plans with a rate limit
	ModeFallback                  // the lease has expired: the version's fallback applies
	ModeLeased                    // the version applies
)

var modeNames = [...]string{"bare", "cut off", "leased"}

// String returns the operators' name of the mode.
func (m LeaseMode) String() string { return modeNames[m] }

// EffectivePlan is one plan as an instance applies it.
type EffectivePlan struct {
	Plan                // as in the version, for all instances
	Allowance Allowance // how much this instance may admit
	// RateLimitFraction is the quotient of Allowance and this instance's even share of the rate limit, 0 to 1;
	// 1 if there is no rate limit.
	RateLimitFraction float64
	CreditFraction    float64 // the same for the credit line; 0 if there is none
}

// EffectiveRules are the rules that an instance acts on from the moment at which it adopts them.
type EffectiveRules struct {
	Version     uint64 // 0 for the initial rules
	Step        uint64 // the fencing step of the latest lease
	Mode        LeaseMode
	MemberIndex int // this instance's index among MemberCount; -1 if it is not a member
	MemberCount int
	Plans       []EffectivePlan
	// LendingAllowed reports whether new credit may be granted.
	LendingAllowed  bool
	WorkerOverrides []WorkerOverride
	ExpiresAtMillis float64 // on the holder's clock, as of the adoption; see LeaseHolder.MayAct
	// AllowanceGrew reports that the allowance of a plan has grown since the last adoption, as no instance can
	// have a lease on an earlier version any more. The others may just have spent what they had, so the increase
	// counts as spent and refills at its rate. The same applies to the first lease of a process, unless the
	// process knows what its predecessor had spent under the same version.
	AllowanceGrew bool
}
