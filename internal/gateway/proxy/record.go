package proxy

import (
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
)

// record is what this process writes down while it runs, where it does. Acts and Told are written under the
// desk's lock: a process that keeps a record waits for its disk, which is for tests.
type record struct {
	to   history.Recorder
	told map[string]bool // workers that may be sent to, as last written
}

// acts writes by what is gone from now on.
func (r *record) acts(t *inflight.Lease) {
	if r != nil {
		r.to.Write(history.Event{Kind: history.Acts, Version: t.RulesetVersion, Mode: t.Mode})
	}
}

// roster writes which workers may be sent to, and no more.
func (r *record) roster(l endpoints.List) {
	if r == nil {
		return
	}
	named := map[string]bool{}
	tell := func(name string, active bool) {
		if r.told[name] == active {
			return
		}
		mode := ""
		if r.told[name] = active; active {
			mode = history.Active
		}
		r.to.Write(history.Event{Kind: history.Told, Worker: name, Mode: mode})
	}
	for _, w := range l.Workers {
		named[w.Name] = true
		tell(w.Name, w.Active && !w.Gone)
	}
	for name := range r.told {
		if l.Whole && !named[name] {
			tell(name, false)
		}
	}
}

// sends writes that a submission goes out.
func (r *record) sends(j *job) {
	j.word.Attempt.Recorded = true
	r.to.Write(history.Event{Kind: history.Sends, Txn: j.mark, Customer: j.txn.Customer,
		Worker:  j.word.Upstream.Name(),
		Version: j.word.Lease.Version(), Mode: j.word.Lease.ModeName(), Serial: j.serial})
}

// proves is what the end of a submission says of it.
var proves = map[policy.Outcome]string{policy.Settled: history.Answered, policy.Fault: history.MayRun,
	policy.Full: history.NeverRan, policy.TimedOut: history.MayRun, policy.NoRoute: history.NeverRan,
	policy.Cut: history.MayRun, policy.Withdrawn: history.MayRun, policy.NotSent: history.NeverRan}

// back writes that a submission is out no more.
func (r *record) back(j *job, o policy.Outcome) {
	if r != nil && j.word.Attempt.Recorded {
		r.to.Write(history.Event{Kind: history.Back, Txn: j.mark, Worker: j.word.Upstream.Name(), Serial: j.serial,
			Says: proves[o]})
	}
}
