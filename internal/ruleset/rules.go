// Package ruleset decides which version of the rules a gatekeeper acts on, and when a council may put the
// next
// one in force. It is free of I/O: a host tells it the time and what has come, and pulls what follows.
package ruleset

// Plan is what may change of a plan in service. Rates are in units a second; 0 means no such limit.
type Plan struct {
	Name         string  `cbor:"1,keyasint" json:"Name"`
	Rate         float64 `cbor:"2,keyasint" json:"Rate"`        // quota: fill of a customer's store
	Burst        float64 `cbor:"3,keyasint" json:"Burst"`       // and its depth
	CeilingRate  float64 `cbor:"4,keyasint" json:"CeilingRate"` // hard ceiling
	CeilingDepth float64 `cbor:"5,keyasint" json:"CeilingDepth"`
	// seconds' worth of the rate that may be borrowed; 0 is none
	CreditSeconds float64 `cbor:"6,keyasint" json:"Credit"`
	RepayMillis   float64 `cbor:"7,keyasint" json:"Repay"` // ms until what was borrowed is paid back
}

// Member is one gatekeeper; its number is its place in Rules.Members. One without a name is a vacant place.
type Member struct {
	Name  string `cbor:"1,keyasint" json:"Name"`
	Host  string `cbor:"2,keyasint" json:"Host"`            // whose daemon keeps it
	Peers string `cbor:"3,keyasint,omitempty" json:"Peers"` // HOST:PORT for datagrams
}

// Word is the operators' word on a worker, or on all workers of a hall where Worker is empty.
type WorkerOverride struct {
	Worker  string `cbor:"1,keyasint,omitempty" json:"Worker"`
	Region  string `cbor:"2,keyasint,omitempty" json:"Hall"`
	Barred  bool   `cbor:"3,keyasint,omitempty" json:"Barred"`  // nothing is sent to it at all
	Drained bool   `cbor:"4,keyasint,omitempty" json:"Drained"` // nothing new is sent to it
	// in place of what the list says of its size; 0 says nothing
	Weight float64 `cbor:"5,keyasint,omitempty" json:"Weight"`
}

// Fallback is what a gatekeeper goes by whose lease has run out.
type Fallback struct {
	// of its slice of a ceiling that stays surely its own, 0 to 1
	Fraction float64 `cbor:"1,keyasint" json:"Part"`
	// For is the ms for which it does; then nothing passes under a ceiling until there is a lease.
	DurationMillis float64 `cbor:"2,keyasint" json:"For"`
}

// Rules are what the gatekeepers agree on.
type Rules struct {
	// of the rules' own encoding; Form where it is this program's
	Format int `json:"Form"`
	// features that a program must have to go by them; see Has
	Needs           []string         `json:"Needs"`
	Plans           []Plan           `json:"Plans"`
	Members         []Member         `json:"Members"`
	WorkerOverrides []WorkerOverride `json:"Words"`
	Fallback        Fallback         `json:"Fallback"`
	// ms that a version may be acted on without hearing that it is still in force
	LeaseMillis float64 `json:"Lease"`
	// ms for which two gatekeepers may go by rules that contradict; see Bound
	ConflictBoundMillis float64 `json:"Bound"`
}

// Version is rules with their number. Numbers grow by one with each version that comes in force.
type Version struct {
	Number uint64 `json:"Number"`
	Rules  Rules  `json:"Rules"`
}
