package statemachine

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/wirepb"
)

// Bounds of the history that makes retried commands idempotent. The oldest items are evicted first. The
// bounds must be the same on all replicas, or their states diverge.
const (
	maxAcceptedChanges    = 4096 // accepted changes of the configuration whose retries are recognized
	maxDepartures         = 8192 // incarnations of workers that are draining or deregistered
	maxEvacuationCommands = 1024 // commands to start or stop an evacuation whose retries are recognized
)

// Result is the outcome of a command.
type Result struct {
	ID        string // of the command
	Outcome   wirepb.Outcome
	Departure *wirepb.Departure // the departure that the command reports, or nil
}

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	generation         uint64                         // of the configuration in force, 0 before the first
	body               []byte                         // the configuration in force, compressed
	document           *configuration.Document        // the configuration in force, parsed
	accepted           []*wirepb.AcceptedChange       // changes of the configuration, oldest first
	acceptedDigests    map[string]bool                // digests of the changes in accepted
	evictedGeneration  uint64                         // newest generation that was evicted from accepted
	evacuated          map[string]bool                // by zone
	appliedEvacuations *boundedMap[bool]              // by command id
	departures         *boundedMap[*wirepb.Departure] // by instance id of the worker
}

// New returns the state before the first entry of the log.
func New() *Machine {
	return &Machine{
		acceptedDigests: map[string]bool{}, evacuated: map[string]bool{},
		appliedEvacuations: newBoundedMap[bool](maxEvacuationCommands),
		departures:         newBoundedMap[*wirepb.Departure](maxDepartures),
	}
}

// Generation returns the generation of the configuration in force, or 0 before the first one.
func (m *Machine) Generation() uint64 { return m.generation }

// Body returns the configuration in force as the operator sent it, compressed, or nil before the first one.
func (m *Machine) Body() []byte { return m.body }

// Document returns the configuration in force, parsed, or nil before the first one.
func (m *Machine) Document() *configuration.Document { return m.document }

// Evacuated returns the evacuated zones in lexical order.
func (m *Machine) Evacuated() []string { return slices.Sorted(maps.Keys(m.evacuated)) }

// EvacuationApplied reports whether the command of an evacuation with this id was applied. It is known of the
// last maxEvacuationCommands commands.
func (m *Machine) EvacuationApplied(commandID string) bool {
	_, applied := m.appliedEvacuations.get(commandID)
	return applied
}

// Departure returns the newest departure of a worker's incarnation, or nil if it has reported none.
func (m *Machine) Departure(instance string) *wirepb.Departure {
	departure, _ := m.departures.get(instance)
	return departure
}

// Departures returns the newest departure of each incarnation, in the order of their first departures.
func (m *Machine) Departures() []*wirepb.Departure { return m.departures.inOrder() }

// Apply applies the command of a committed entry. It returns an error if the entry cannot be decoded; no
// replica can then apply it.
func (m *Machine) Apply(data []byte) (Result, error) {
	var command wirepb.Command
	if err := proto.Unmarshal(data, &command); err != nil {
		return Result{}, errors.Wrap(err, "cannot decode committed command")
	}
	result := Result{ID: command.Id, Outcome: wirepb.Outcome_OUTCOME_ACCEPTED}
	switch change := command.Change.(type) {
	case *wirepb.Command_Replace:
		outcome, err := m.replace(change.Replace)
		if err != nil {
			return Result{}, err
		}
		result.Outcome = outcome
	case *wirepb.Command_Evacuation:
		m.setEvacuation(command.Id, change.Evacuation)
	case *wirepb.Command_Departure:
		m.recordDeparture(change.Departure)
		result.Departure = change.Departure
	}
	return result, nil
}

// replace puts a configuration in force, unless the change is a retry, is based on another generation than
// the one in force, or does not increase the generation.
func (m *Machine) replace(change *wirepb.ReplaceConfiguration) (wirepb.Outcome, error) {
	switch {
	case m.acceptedDigests[string(change.Digest)]:
		return wirepb.Outcome_OUTCOME_ACCEPTED, nil
	case change.Base < m.evictedGeneration:
		return wirepb.Outcome_OUTCOME_UNKNOWN, nil // it may be a retry whose digest was evicted
	case change.Base != m.generation:
		return wirepb.Outcome_OUTCOME_CONFLICT, nil
	case change.Generation <= m.generation:
		return wirepb.Outcome_OUTCOME_STALE, nil
	}
	document, err := readCompressed(change.Body, change.Generation)
	if err != nil {
		return 0, err
	}
	m.generation, m.body, m.document = change.Generation, change.Body, document
	m.recordAccepted(&wirepb.AcceptedChange{Digest: change.Digest, Generation: change.Generation})
	return wirepb.Outcome_OUTCOME_ACCEPTED, nil
}

// recordAccepted adds an accepted change to the history, and evicts the oldest one if there are more than
// maxAcceptedChanges.
func (m *Machine) recordAccepted(change *wirepb.AcceptedChange) {
	m.accepted = append(m.accepted, change)
	m.acceptedDigests[string(change.Digest)] = true
	if len(m.accepted) > maxAcceptedChanges {
		delete(m.acceptedDigests, string(m.accepted[0].Digest))
		m.evictedGeneration = m.accepted[0].Generation
		m.accepted = slices.Clone(m.accepted[1:])
	}
}

// setEvacuation starts or stops the evacuation of a zone. A retry of a command has no effect, since it may be
// committed after a later command that reverts it.
func (m *Machine) setEvacuation(commandID string, change *wirepb.SetEvacuation) {
	if _, applied := m.appliedEvacuations.get(commandID); applied {
		return
	}
	if commandID != "" {
		m.appliedEvacuations.put(commandID, true)
	}
	if change.Active {
		m.evacuated[change.Zone] = true
	} else {
		delete(m.evacuated, change.Zone)
	}
}

// recordDeparture records a departure if it is the newest one of its incarnation. A final one, which
// reports a deregistration, is never replaced.
func (m *Machine) recordDeparture(departure *wirepb.Departure) {
	previous := m.Departure(departure.InstanceId)
	if previous != nil && (previous.Final || !departure.Final && previous.Version >= departure.Version) {
		return
	}
	m.departures.put(departure.InstanceId, departure)
}
