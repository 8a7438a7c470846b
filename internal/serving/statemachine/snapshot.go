package statemachine

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

// Snapshot encodes the complete state.
func (m *Machine) Snapshot() ([]byte, error) {
	return proto.Marshal(&wirepb.StateSnapshot{
		Generation: m.generation, Body: m.body, Accepted: m.accepted, Evacuated: m.Evacuated(),
		Departures: m.departures.inOrder(), EvictedGeneration: m.evictedGeneration,
		AppliedEvacuationIds: m.appliedEvacuations.keys(),
	})
}

// Restore replaces the state by that of a snapshot. Empty data stands for the state before the first entry.
func (m *Machine) Restore(data []byte) error {
	var snapshot wirepb.StateSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return errors.Wrap(err, "cannot decode snapshot")
	}
	*m = *New()
	for _, change := range snapshot.Accepted {
		m.recordAccepted(change)
	}
	m.evictedGeneration = max(m.evictedGeneration, snapshot.EvictedGeneration)
	for _, zone := range snapshot.Evacuated {
		m.evacuated[zone] = true
	}
	for _, commandID := range snapshot.AppliedEvacuationIds {
		m.appliedEvacuations.put(commandID, true)
	}
	for _, departure := range snapshot.Departures {
		m.departures.put(departure.InstanceId, departure)
	}
	if snapshot.Generation == 0 {
		return nil
	}
	document, err := readCompressed(snapshot.Body, snapshot.Generation)
	if err != nil {
		return err
	}
	m.generation, m.body, m.document = snapshot.Generation, snapshot.Body, document
	return nil
}
