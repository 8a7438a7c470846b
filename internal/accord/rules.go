// Package accord decides which version of the rules a gatekeeper acts on, and when a council may put the next
// one in force. It is free of I/O: a host tells it the time and what has come, and pulls what follows.
package accord

// Plan is what may change of a plan in service. Rates are in units a second; 0 means no such limit.
type Plan struct {
	Name                      string
	Rate, Burst               float64 // quota: fill and depth of a customer's store
	CeilingRate, CeilingDepth float64 // hard ceiling
	Credit                    float64 // seconds' worth of the rate that may be borrowed; 0 is none
	Repay                     float64 // ms until what was borrowed is paid back
}

// Member is one gatekeeper; its number is its place in Rules.Members. One without a name is a vacant place.
type Member struct {
	Name  string
	Host  string // whose daemon keeps it
	Peers string // HOST:PORT for datagrams
}

// Word is the operators' word on a worker, or on all workers of a hall where Worker is empty.
type Word struct {
	Worker, Hall string
	Barred       bool    // nothing is sent to it at all
	Drained      bool    // nothing new is sent to it
	Weight       float64 // in place of what the list says of its size; 0 says nothing
}

// Fallback is what a gatekeeper goes by whose lease has run out.
type Fallback struct {
	Part float64 // of its slice of a ceiling that stays surely its own, 0 to 1
	For  float64 // ms for which it does; then nothing passes under a ceiling until there is a lease
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
