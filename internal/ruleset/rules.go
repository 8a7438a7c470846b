// Package ruleset decides which version of the rules a gatekeeper acts on, and when a council may put the
// next
// one in force. It is free of I/O: a host tells it the time and what has come, and pulls what follows.
package ruleset

// Plan is what may change of a plan in service. Rates are in units a second; 0 means no such limit.
type Plan struct {
	Name         string  `cbor:"1,keyasint"`
	Rate         float64 `cbor:"2,keyasint"` // quota: fill of a customer's store
	Burst        float64 `cbor:"3,keyasint"` // and its depth
	CeilingRate  float64 `cbor:"4,keyasint"` // hard ceiling
	CeilingDepth float64 `cbor:"5,keyasint"`
	Credit       float64 `cbor:"6,keyasint"` // seconds' worth of the rate that may be borrowed; 0 is none
	Repay        float64 `cbor:"7,keyasint"` // ms until what was borrowed is paid back
}

// Member is one gatekeeper; its number is its place in Rules.Members. One without a name is a vacant place.
type Member struct {
	Name  string `cbor:"1,keyasint"`
	Host  string `cbor:"2,keyasint"`           // whose daemon keeps it
	Peers string `cbor:"3,keyasint,omitempty"` // HOST:PORT for datagrams
}

// Word is the operators' word on a worker, or on all workers of a hall where Worker is empty.
type Word struct {
	Worker  string  `cbor:"1,keyasint,omitempty"`
	Hall    string  `cbor:"2,keyasint,omitempty"`
	Barred  bool    `cbor:"3,keyasint,omitempty"` // nothing is sent to it at all
	Drained bool    `cbor:"4,keyasint,omitempty"` // nothing new is sent to it
	Weight  float64 `cbor:"5,keyasint,omitempty"` // in place of what the list says of its size; 0 says nothing
}

// Fallback is what a gatekeeper goes by whose lease has run out.
type Fallback struct {
	Part float64 `cbor:"1,keyasint"` // of its slice of a ceiling that stays surely its own, 0 to 1
	// For is the ms for which it does; then nothing passes under a ceiling until there is a lease.
	For float64 `cbor:"2,keyasint"`
}

// Rules are what the gatekeepers agree on.
type Rules struct {
	Form     int      // of the rules' own encoding; Form where it is this program's
	Needs    []string // features that a program must have to go by them; see Has
	Plans    []Plan
	Members  []Member
	Words    []Word
	Fallback Fallback
	Lease    float64 // ms that a version may be acted on without hearing that it is still in force
	Bound    float64 // ms for which two gatekeepers may go by rules that contradict; see Bound
}

// Version is rules with their number. Numbers grow by one with each version that comes in force.
type Version struct {
	Number uint64
	Rules  Rules
}
