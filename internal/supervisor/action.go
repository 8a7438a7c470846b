package supervisor

// ActionKind is what an Action asks the daemon to do.
type ActionKind uint8

// The kinds of actions.
const (
	StartProcess     ActionKind = iota + 1 // start a process of the instance under the new process number
	TerminateProcess                       // request that the process stops (SIGTERM)
	KillProcess                            // end the process (SIGKILL)
	ReloadProcess                          // have the process read its configuration again (SIGHUP)
	WakeUp                                 // call SetTime and Next again at AtMillis
	AllStopped                             // after Stop: no process runs any more
)

// Action is one thing for the daemon to do.
type Action struct {
	Kind          ActionKind
	Instance      string
	ProcessNumber int     // of the process that the action is for
	AtMillis      float64 // of WakeUp, on the clock of SetTime
}
