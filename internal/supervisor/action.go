package supervisor

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	StartProcess     ActionKind = iota + 1 // start a process of the instance with the new process number
	TerminateProcess                       // ask the process to stop (SIGTERM)
	KillProcess                            // kill the process (SIGKILL)
	ReloadProcess                          // make the process reload its configuration (SIGHUP)
	WakeUp                                 // call SetTime and Next again at AtMillis
	AllStopped                             // after Reconciler.Stop: no process runs any more
)

// Action is one step for the daemon to perform.
type Action struct {
	Kind          ActionKind
	Instance      string
	ProcessNumber int     // the process that the action is for
	AtMillis      float64 // when a WakeUp is due, on the clock of SetTime
}
