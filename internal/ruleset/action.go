package ruleset

// ActionKind is what an Action asks the caller to do.
type ActionKind uint8

// The kinds of actions.
const (
	ActionAdopt        ActionKind = iota + 1 // act on Effective from now on
	ActionRequestLease                       // request a lease from the daemon of the host
	ActionSubmit                             // submit Entry to the log
	ActionReadState                          // read the latest state, confirmed by a quorum
	ActionWake                               // call SetTime and NextAction again at WakeAtMillis
)

// Action is one thing that the caller of a LeaseHolder or a HostAgent has to do. The comment of each field
// after Kind names the kind that uses it.
type Action struct {
	Kind         ActionKind
	Effective    EffectiveRules // ActionAdopt
	Entry        LogEntry       // ActionSubmit
	WakeAtMillis float64        // ActionWake
}
