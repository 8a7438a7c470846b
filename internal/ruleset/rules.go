package ruleset

// Plan is the part of a plan that may change in service.
type Plan struct {
	Name         string  `cbor:"1,keyasint" json:"Name"`
	Rate         float64 `cbor:"2,keyasint" json:"Rate"`         // refill of a customer's quota, units a second
	Burst        float64 `cbor:"3,keyasint" json:"Burst"`        // depth of that quota, units
	CeilingRate  float64 `cbor:"4,keyasint" json:"CeilingRate"`  // hard rate limit, units a second; 0 is none
	CeilingDepth float64 `cbor:"5,keyasint" json:"CeilingDepth"` // depth of the hard rate limit, units
	// CreditSeconds is how many seconds' worth of Rate may be borrowed; 0 is none.
	CreditSeconds float64 `cbor:"6,keyasint" json:"Credit"`
	// RepayMillis is the time in which a loan is repaid.
	RepayMillis float64 `cbor:"7,keyasint" json:"Repay"`
}

// Member is one gatekeeper. Its index in Rules.Members is its identity for life; a Member without a name is a
// vacant index.
type Member struct {
	Name  string `cbor:"1,keyasint" json:"Name"`
	Host  string `cbor:"2,keyasint" json:"Host"`            // the host whose daemon runs it
	Peers string `cbor:"3,keyasint,omitempty" json:"Peers"` // HOST:PORT for peers' datagrams
}

// WorkerOverride is an operators' setting for one worker, or for all workers of a region where Worker is
// empty. It takes precedence over the endpoint list of service discovery.
type WorkerOverride struct {
	Worker  string `cbor:"1,keyasint,omitempty" json:"Worker"`
	Region  string `cbor:"2,keyasint,omitempty" json:"Hall"`
	Barred  bool   `cbor:"3,keyasint,omitempty" json:"Barred"`  // nothing is sent to it at all
	Drained bool   `cbor:"4,keyasint,omitempty" json:"Drained"` // nothing new is sent to it
	// Weight replaces the capacity that the endpoint list states; 0 leaves it as it is.
	Weight float64 `cbor:"5,keyasint,omitempty" json:"Weight"`
}

// Fallback is what a gatekeeper goes by after its lease has expired.
type Fallback struct {
	// Fraction is the part of its share of a rate limit that it may still use, 0 to 1.
	Fraction float64 `cbor:"1,keyasint" json:"Part"`
	// DurationMillis is for how long; then nothing passes under a rate limit until there is a lease.
	DurationMillis float64 `cbor:"2,keyasint" json:"For"`
}

// Rules are what all gatekeepers of a cluster agree on.
type Rules struct {
	// Format is the version of the encoding: SupportedFormat for what this program writes.
	Format int `json:"Form"`
	// Needs names the features that a program must support to act on these rules; see SupportsFeature.
	Needs           []string         `json:"Needs"`
	Plans           []Plan           `json:"Plans"`
	Members         []Member         `json:"Members"`
	WorkerOverrides []WorkerOverride `json:"Words"`
	Fallback        Fallback         `json:"Fallback"`
	// LeaseMillis is for how long a version may be acted on without a confirmation that it is in force.
	LeaseMillis float64 `json:"Lease"`
	// ConflictBoundMillis is the longest time that two gatekeepers may go by conflicting rules; the function
	// ConflictBoundMillis derives the time that LeaseMillis comes to, which has to be within it.
	ConflictBoundMillis float64 `json:"Bound"`
}

// Version is rules with their number. Numbers grow by one with each version that comes into force.
type Version struct {
	Number uint64 `json:"Number"`
	Rules  Rules  `json:"Rules"`
}
