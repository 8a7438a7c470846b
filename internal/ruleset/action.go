package ruleset

// ActionKind is what an Action asks its host to do.
type ActionKind uint8

// The kinds of actions.
const (
	ActionAdopt        ActionKind = iota + 1 // act on Effective from now on
	ActionRequestLease                       // request a lease from the host's daemon
	ActionSubmit                             // submit Entry to the log
	ActionReadState                          // read the state that a quorum confirms to be the latest
	ActionWake                               // call SetTime and NextAction again at WakeAtMillis
)

// Action is one thing for the host of a LeaseHolder or a HostAgent to do.
type Action struct {
	Kind         ActionKind
	Effective    EffectiveRules // ActionAdopt
	Entry        LogEntry       // ActionSubmit
	WakeAtMillis float64        // ActionWake
}
