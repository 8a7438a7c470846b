package core

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/settings"
	"willowdeck/internal/serving/tally"
	"willowdeck/internal/serving/tallylog"
	"willowdeck/internal/serving/wirepb"
)

const (
	tallyStopMargin    = 2 * time.Second // before the process is killed
	tallyRetryAfter    = "0.2"           // seconds
	headerRetryAfter   = "Retry-After"
	unavailableMessage = "tallies cannot be made durable here now: nothing was done, call another core"
)

// tallyResponse is the body of the response to a read.
type tallyResponse struct {
	Total uint64 `json:"total"`
}

// tallyEnvironment implements tally.Environment with this process's disk and links. Its methods are called on
// the core's goroutine.
type tallyEnvironment struct{ core *Core }

// Send sends a message over the link to another core.
func (v tallyEnvironment) Send(address string, message *wirepb.TallyMessage) {
	envelope := &wirepb.Envelope{Body: &wirepb.Envelope_Tally{Tally: message}}
	(&environment{v.core}).Send(address, envelope)
}

// Append appends records to the log of tallies.
func (v tallyEnvironment) Append(records []*wirepb.TallyRecords, done func()) {
	v.core.tallyWriter.submit(tallyTask{records: records, done: done})
}

// newTallies returns the replica of the tallies with the records of its log. The records of an earlier
// process count as durable once its log has been synced.
func (c *Core) newTallies(
	config *settings.Settings, incarnation string, opened tallylog.Opened,
) *tally.Replica {
	replica := tally.NewReplica(tally.Options{
		Incarnation: incarnation, Address: c.internalAddress, Zone: config.Zone,
		RequiredCopies: config.ToleratedMachineLosses + 1, RequiredZones: config.ToleratedZoneLosses + 1,
		ShutdownLimit: config.Bounds.GracePeriod - tallyStopMargin,
		Clock:         func() time.Duration { return time.Since(c.started) },
	}, tallyEnvironment{c})
	for records := range opened.Log.Earlier() {
		replica.Restore(records)
	}
	if restored := replica.Vector(); len(restored) > 0 {
		c.tallyWriter.submit(tallyTask{done: func() { replica.ConfirmRestored(restored) }})
	}
	return replica
}

// updateTally adds to a tally. An add that may count is never rejected: where its outcome is not known in
// time, the status is 504, and the caller may send it again to any core.
func (c *Core) updateTally(w http.ResponseWriter, r *http.Request) {
	memory := c.reportMemory.Open()
	defer func() { memory.Release(c.now()) }()
	if !c.admit(w, c.reportMemory, memory, reportMemoryFactor*bodyBytes(r, maxTallyBodyBytes)) {
		return
	}
	add, err := readTallyAdd(w, r)
	if errors.Is(err, errTallyBodyTooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	outcomes := make(chan tally.Outcome, 1)
	outcome := tally.Unavailable // where the process has stopped
	if c.enqueue(func() { c.tallies.Add(add, func(result tally.Outcome) { outcomes <- result }) }) {
		outcome = tally.Unknown
		select {
		case outcome = <-outcomes:
		case <-c.stop:
		}
	}
	writeTallyOutcome(w, outcome)
}

// writeTallyOutcome writes the response to an add.
func writeTallyOutcome(w http.ResponseWriter, outcome tally.Outcome) {
	switch outcome {
	case tally.Acknowledged:
		writeJSON(w, http.StatusOK, acceptedResponse{OK: true})
	case tally.Unavailable:
		w.Header().Set(headerRetryAfter, tallyRetryAfter)
		writeError(w, http.StatusServiceUnavailable, unavailableMessage)
	case tally.Overloaded:
		w.Header().Set(headerRetryAfter, tallyRetryAfter)
		writeError(w, http.StatusTooManyRequests, "too many adds: nothing was done, send the same again later")
	case tally.Conflict:
		writeError(w, http.StatusConflict, "instance_id was used with another amount: choose a new one")
	default:
		writeError(w, http.StatusGatewayTimeout, "the add may count or not: send the same again")
	}
}

// getTally returns the total of a tally.
func (c *Core) getTally(w http.ResponseWriter, r *http.Request) {
	name, err := tallyName(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	type result struct {
		total uint64
		ok    bool
	}
	results := make(chan result, 1)
	read := result{}
	if c.enqueue(func() {
		total, ok := c.tallies.Read(name)
		results <- result{total, ok}
	}) {
		select {
		case read = <-results:
		case <-c.stop:
		}
	}
	if !read.ok {
		w.Header().Set(headerRetryAfter, tallyRetryAfter)
		writeError(w, http.StatusServiceUnavailable, "this core is catching up with the others: call another one")
		return
	}
	writeJSON(w, http.StatusOK, tallyResponse{Total: read.total})
}
