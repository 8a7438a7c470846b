// Package statemachine is the state machine above the replicated log: the configuration in force, the zones
// that
// are evacuated, the workers that are leaving, and what is needed to know an order again. It has no I/O,
// and each replica comes to the same state.
package statemachine

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/wirepb"
)

// How much is remembered, the newest first.
const (
	rememberedChanges     = 4096 // accepted configurations that are known again when they are sent once more
	rememberedDepartures  = 8192 // incarnations of workers that are leaving or have left
	rememberedEvacuations = 1024 // orders to evacuate, or to end that, whose later tries do nothing
)

// Result is what became of a command.
type Result struct {
	ID        string
	Outcome   wirepb.Outcome
	Departure *wirepb.Departure // that was told, if the command is one
}

// Machine is the replicated state.
type Machine struct {
	generation uint64
	body       []byte // compressed
	document   *configuration.Document
	taken      []*wirepb.TakenChange // oldest first
	known      map[string]bool       // digests of taken
	forgotten  uint64                // the newest generation whose digest is no longer kept
	evacuated  map[string]bool
	evacuating *recent[bool]              // ids of orders
	departures *recent[*wirepb.Departure] // by instance
}

// New makes the state before the first entry.
func New() *Machine {
	return &Machine{
		known: map[string]bool{}, evacuated: map[string]bool{},
		evacuating: newRecent[bool](rememberedEvacuations),
		departures: newRecent[*wirepb.Departure](rememberedDepartures),
	}
}

// Generation returns the number of the configuration in force, 0 before the first.
func (m *Machine) Generation() uint64 { return m.generation }

// Body returns the configuration in force as the operator sent it, compressed, or nil before the first.
func (m *Machine) Body() []byte { return m.body }

// Document returns the configuration in force in parts, or nil before the first.
func (m *Machine) Document() *configuration.Document { return m.document }

// Evacuated returns the zones that are evacuated, in order.
func (m *Machine) Evacuated() []string { return slices.Sorted(maps.Keys(m.evacuated)) }

// Departure returns what is known of the leaving of a worker's incarnation, or nil.
func (m *Machine) Departure(instance string) *wirepb.Departure {
	departure, _ := m.departures.get(instance)
	return departure
}

// Departures returns all that is known of leaving workers, the oldest first.
func (m *Machine) Departures() []*wirepb.Departure { return m.departures.all() }

// Apply carries out a committed entry's command.
func (m *Machine) Apply(data []byte) (Result, error) {
	var command wirepb.Command
	if err := proto.Unmarshal(data, &command); err != nil {
		return Result{}, errors.Wrap(err, "committed command does not decode")
	}
	result := Result{ID: command.Id, Outcome: wirepb.Outcome_OUTCOME_TAKEN}
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
		m.depart(change.Departure)
		result.Departure = change.Departure
	}
	return result, nil
}

func (m *Machine) replace(change *wirepb.ReplaceConfiguration) (wirepb.Outcome, error) {
	switch {
	case m.known[string(change.Digest)]:
		return wirepb.Outcome_OUTCOME_TAKEN, nil
	case change.Base < m.forgotten:
		return wirepb.Outcome_OUTCOME_UNKNOWN, nil // it may have been taken: no refusal
	case change.Base != m.generation:
		return wirepb.Outcome_OUTCOME_CONFLICT, nil
	case change.Generation <= m.generation:
		return wirepb.Outcome_OUTCOME_STALE, nil
	}
	document, err := readCompressed(change.Body)
	if err != nil {
		return 0, err
	}
	m.generation, m.body, m.document = change.Generation, change.Body, document
	m.remember(&wirepb.TakenChange{Digest: change.Digest, Generation: change.Generation})
	return wirepb.Outcome_OUTCOME_TAKEN, nil
}

func (m *Machine) remember(change *wirepb.TakenChange) {
	m.taken = append(m.taken, change)
	m.known[string(change.Digest)] = true
	if len(m.taken) > rememberedChanges {
		delete(m.known, string(m.taken[0].Digest))
		m.forgotten = m.taken[0].Generation
		m.taken = slices.Clone(m.taken[1:])
	}
}

// setEvacuation carries out the first try of an order. A later one may come behind another order.
func (m *Machine) setEvacuation(order string, change *wirepb.SetEvacuation) {
	if _, known := m.evacuating.get(order); known {
		return
	}
	if order != "" {
		m.evacuating.put(order, true)
	}
	if change.Active {
		m.evacuated[change.Zone] = true
	} else {
		delete(m.evacuated, change.Zone)
	}
}

// depart notes what a worker has said last: once deregistered, it stays so.
func (m *Machine) depart(departure *wirepb.Departure) {
	known := m.Departure(departure.InstanceId)
	if known != nil && (known.Final || !departure.Final && known.Order >= departure.Order) {
		return
	}
	m.departures.put(departure.InstanceId, departure)
}

// Snapshot encodes the state.
func (m *Machine) Snapshot() ([]byte, error) {
	return proto.Marshal(&wirepb.StateSnapshot{
		Generation: m.generation, Body: m.body, Taken: m.taken, Evacuated: m.Evacuated(),
		Departures: m.departures.all(), Forgotten: m.forgotten, EvacuationOrders: m.evacuating.keys(),
	})
}

// Restore replaces the state by an encoded one. Empty data is the state before the first entry.
func (m *Machine) Restore(data []byte) error {
	var snapshot wirepb.StateSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return errors.Wrap(err, "snapshot does not decode")
	}
	*m = *New()
	for _, change := range snapshot.Taken {
		m.remember(change)
	}
	m.forgotten = max(m.forgotten, snapshot.Forgotten)
	for _, zone := range snapshot.Evacuated {
		m.evacuated[zone] = true
	}
	for _, order := range snapshot.EvacuationOrders {
		m.evacuating.put(order, true)
	}
	for _, departure := range snapshot.Departures {
		m.departures.put(departure.InstanceId, departure)
	}
	if snapshot.Generation == 0 {
		return nil
	}
	document, err := readCompressed(snapshot.Body)
	if err != nil {
		return err
	}
	m.generation, m.body, m.document = snapshot.Generation, snapshot.Body, document
	return nil
}

// ReplaceCommand makes the order to put a configuration in force that builds on the version base.
func ReplaceCommand(base, generation uint64, body []byte) (*wirepb.Command, error) {
	packed, err := Compress(body)
	if err != nil {
		return nil, err
	}
	change := &wirepb.ReplaceConfiguration{
		Base: base, Generation: generation, Digest: Digest(base, body), Body: packed,
	}
	return &wirepb.Command{Change: &wirepb.Command_Replace{Replace: change}}, nil
}

// EvacuationCommand makes the order to evacuate a zone, or to end that.
func EvacuationCommand(zone string, active bool) *wirepb.Command {
	change := &wirepb.SetEvacuation{Zone: zone, Active: active}
	return &wirepb.Command{Change: &wirepb.Command_Evacuation{Evacuation: change}}
}

// Digest tells an order from all others: by the version that it builds on, and its body.
func Digest(base uint64, body []byte) []byte {
	hash := sha256.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], base)
	hash.Write(number[:])
	hash.Write(body)
	return hash.Sum(nil)
}

// Compress packs a configuration for the log.
func Compress(body []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(body); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Decompress undoes Compress.
func Decompress(packed []byte) ([]byte, error) {
	return io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
}

func readCompressed(packed []byte) (*configuration.Document, error) {
	body, err := Decompress(packed)
	if err != nil {
		return nil, errors.Wrap(err, "committed configuration does not unpack")
	}
	return configuration.Parse(body)
}
