package ruleset

// Plan is the part of a plan that may change without a restart.
type Plan struct {
	Name         string  `cbor:"1,keyasint" json:"Name"`
	Rate         float64 `cbor:"2,keyasint" json:"Rate"`         // refill of a customer's quota, units a second
	Burst        float64 `cbor:"3,keyasint" json:"Burst"`        // depth of that quota, units
	CeilingRate  float64 `cbor:"4,keyasint" json:"CeilingRate"`  // hard rate limit, units a second; 0 is none
	CeilingDepth float64 `cbor:"5,keyasint" json:"CeilingDepth"` // depth of the hard rate limit, units
	// CreditSeconds times Rate is the credit line in units; 0 means none.
	CreditSeconds float64 `cbor:"6,keyasint" json:"Credit"`
	// RepayMillis is the time within which a loan is repaid.
	RepayMillis float64 `cbor:"7,keyasint" json:"Repay"`
}

// Member is one gateway instance. Its index in Rules.Members is its permanent identity; a Member without a
// name is a vacant index.
type Member struct {
	Name  string `cbor:"1,keyasint" json:"Name"`
	Host  string `cbor:"2,keyasint" json:"Host"`            // the host whose daemon runs the instance
	Peers string `cbor:"3,keyasint,omitempty" json:"Peers"` // HOST:PORT that receives datagrams from peers
}

// WorkerOverride is an operators' setting for one worker, or for all workers of a region where Worker is
// empty. It takes precedence over the endpoint list of service discovery.
type WorkerOverride struct {
	Worker  string `cbor:"1,keyasint,omitempty" json:"Worker"`
	Region  string `cbor:"2,keyasint,omitempty" json:"Hall"`
	Barred  bool   `cbor:"3,keyasint,omitempty" json:"Barred"`  // it receives no requests at all
	Drained bool   `cbor:"4,keyasint,omitempty" json:"Drained"` // it receives no new requests
	// Weight replaces the capacity that the endpoint list gives; 0 leaves that unchanged.
	Weight float64 `cbor:"5,keyasint,omitempty" json:"Weight"`
}

// Fallback limits what an instance may admit after its lease has expired.
type Fallback struct {
	// Fraction is the part of its share of a rate limit that the instance may still use, 0 to 1.
	Fraction float64 `cbor:"1,keyasint" json:"Part"`
	// DurationMillis is how long the fallback applies after the lease has expired. After that nothing is
	// admitted for plans with a rate limit until there is a new lease.
	DurationMillis float64 `cbor:"2,keyasint" json:"For"`
}

// Rules are the settings that all instances of a cluster agree on.
type Rules struct {
	// Format is the version of the encoding: SupportedFormat for what this program writes.
	Format int `json:"Form"`
	// Needs names the features that a program must support to act on these rules; see SupportsFeature.
	Needs           []string         `json:"Needs"`
	Plans           []Plan           `json:"Plans"`
	Members         []Member         `json:"Members"`
	WorkerOverrides []WorkerOverride `json:"Words"`
	Fallback        Fallback         `json:"Fallback"`
	// LeaseMillis is how long a version may be acted on, counted from the start of a confirmed read that found
	// it in force.
	LeaseMillis float64 `json:"Lease"`
	// ConflictBoundMillis is the longest time for which two instances may act on conflicting rules. The function
	// ConflictBoundMillis computes the time that follows from LeaseMillis, which must not exceed this bound.
	ConflictBoundMillis float64 `json:"Bound"`
}

// Version is rules and their number. The number grows by one with each version that is put in force.
type Version struct {
	Number uint64 `json:"Number"`
	Rules  Rules  `json:"Rules"`
}
