package distribution

// ActionKind says what an Action asks the host to do.
type ActionKind uint8

// The kinds of actions.
const (
	// SendRequest: note the time, send the Request to the Upstream, and pass on the response to HandleResponse
	// with that time. Without a response after TimeoutMillis, call RequestFailed.
	SendRequest ActionKind = iota + 1
	// NotifyUpdate: the snapshot has another step, other rules or another TransitionComplete, or has expired. A
	// renewal makes the snapshot younger without such an action.
	NotifyUpdate
	// ScheduleWake: call AdvanceClock at WakeAtMillis, and then NextAction again.
	ScheduleWake
)

// Action is one thing for the host of a Follower to do.
type Action struct {
	Kind          ActionKind
	Upstream      int      // of SendRequest: position in the list of upstreams
	Request       *Request // of SendRequest
	TimeoutMillis float64  // of SendRequest: duration
	WakeAtMillis  float64  // of ScheduleWake: point in time
}
