package ruleset

import (
	"fmt"
	"strings"
	"testing"
)

// What a daemon grants and submits: guards against an age that is too low, an expired lease, and an
// acknowledgement of what one of the host's processes has not acknowledged.
func TestHostAgent(t *testing.T) {
	c := NewStateMachine()
	c.Apply(LogEntry{Type: EntryPropose, ID: "1", Rules: smallRules(96, "ab")}) // step 2, leases of 499 ms
	agent := NewHostAgent("host-a", c)
	agent.ProcessStarted(1, true) // it ran before this daemon did
	submitted := func() (entries []LogEntry) {
		agent.EntriesApplied()
		for {
			action, more := agent.NextAction()
			if !more {
				return entries
			}
			if action.Kind == ActionSubmit {
				entries = append(entries, action.Entry)
			}
		}
	}
	if _, ok := agent.GrantLease(2, 0); ok {
		t.Error("told before anything was read")
	}
	agent.SetTime(100)
	agent.ReadConfirmed(90)
	agent.SetTime(500)
	if lease, ok := agent.GrantLease(2, 0); !ok || lease.AgeMillis != 410 || !lease.TransitionComplete ||
		lease.Step != 2 {
		t.Errorf("%+v, %v", lease, ok)
	}
	agent.SetTime(589)
	if _, ok := agent.GrantLease(2, 0); ok {
		t.Error("told past its time")
	}
	// step 3, and it is pending
	c.Apply(LogEntry{Type: EntryPropose, ID: "2", Base: 1, Rules: smallRules(24, "ab")})
	agent.SetTime(600)
	agent.ReadConfirmed(595)
	if lease, ok := agent.GrantLease(2, 2); !ok || lease.Pending == nil || lease.Version.Number != 1 {
		t.Errorf("%+v, %v", lease, ok)
	}
	if got := submitted(); len(got) > 0 {
		t.Errorf("%+v, though no process has said that it holds it", got)
	}
	agent.GrantLease(2, 3)
	if got := submitted(); len(got) > 0 {
		t.Errorf("%+v, though one from before this daemon has not", got)
	}
	agent.ProcessExited(1)
	if got := fmt.Sprintf("%+v", submitted()); !strings.Contains(got, "Host:host-a Step:3") {
		t.Errorf("%s", got)
	}
	if got := submitted(); len(got) > 0 {
		t.Errorf("%+v, again at once", got)
	}
	c.Apply(LogEntry{Type: EntryAck, Host: "host-a", Step: 3})
	agent.SetTime(600 + fallbackLifetimeMillis(smallRules(24, "ab")) + 1)
	if got := submitted(); len(got) > 0 {
		t.Errorf("%+v, and it does not lead", got)
	}
	agent.SetLeader(true)
	if got := fmt.Sprintf("%+v", submitted()); !strings.Contains(got, "Step:3 Fallbacks:true") {
		t.Errorf("%s", got)
	}
}
