package proxy

import (
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
)

// historyLog records what this process acts on and sends, for the invariants of tests. Rulesets and workers
// are recorded under the dispatcher's lock: a process that records waits for its disk. A nil log records
// nothing.
type historyLog struct {
	recorder history.Recorder
	active   map[string]bool // workers that take attempts, as last recorded; guarded by the dispatcher's lock
}

// RecordHistory has all that is acted on and sent recorded. It is to be called before the first request.
func (d *Dispatcher) RecordHistory(r history.Recorder) {
	d.history = &historyLog{recorder: r, active: map[string]bool{}}
}

// rulesetInForce records the ruleset that is in force from now on.
func (h *historyLog) rulesetInForce(lease *inflight.Lease) {
	if h != nil {
		h.recorder.Write(history.Event{Kind: history.Acts, Version: lease.RulesetVersion, Mode: lease.Mode})
	}
}

// workersChanged records which workers take attempts now and did not before, or the other way round.
func (h *historyLog) workersChanged(list endpoints.List) {
	if h == nil {
		return
	}
	listed := map[string]bool{}
	record := func(name string, active bool) {
		if h.active[name] == active {
			return
		}
		mode := ""
		if h.active[name] = active; active {
			mode = history.Active
		}
		h.recorder.Write(history.Event{Kind: history.Notified, Worker: name, Mode: mode})
	}
	for _, w := range list.Workers {
		listed[w.Name] = true
		record(w.Name, w.Active && !w.Removed)
	}
	for name := range h.active {
		if list.Snapshot && !listed[name] {
			record(name, false)
		}
	}
}

// attemptStarts records that an attempt is sent.
func (h *historyLog) attemptStarts(v *delivery) {
	v.command.Attempt.Recorded = true
	h.recorder.Write(history.Event{Kind: history.Sends, Txn: v.requestMark, Customer: v.request.Customer,
		Worker: v.command.Upstream.Name(), Version: v.command.Lease.Version(), Mode: v.command.Lease.ModeName(),
		Serial: v.ordinal})
}

// executionEvidence is what each end of an attempt proves of its execution.
var executionEvidence = map[policy.Outcome]string{
	policy.Succeeded:      history.Answered,
	policy.Failed:         history.MayRun,
	policy.Overloaded:     history.NeverRan,
	policy.TimedOut:       history.MayRun,
	policy.ConnectFailed:  history.NeverRan,
	policy.ConnectionLost: history.MayRun,
	policy.Cancelled:      history.MayRun,
	policy.NotSent:        history.NeverRan,
}

// attemptEnded records the end of an attempt whose start was recorded.
func (h *historyLog) attemptEnded(v *delivery, o policy.Outcome) {
	if h != nil && v.command.Attempt.Recorded {
		h.recorder.Write(history.Event{Kind: history.AttemptEnded, Txn: v.requestMark,
			Worker: v.command.Upstream.Name(),
			Serial: v.ordinal, Says: executionEvidence[o]})
	}
}
