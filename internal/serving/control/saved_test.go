package control

import (
	"math/rand"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// silentEnvironment carries nothing out.
type silentEnvironment struct{}

func (silentEnvironment) Send(string, *wirepb.Envelope) {}

func (silentEnvironment) Write(consensus.Persist, func()) {}

func (silentEnvironment) Rewrite(consensus.Stored, func()) {}

func (silentEnvironment) SegmentBytes() int64 { return 0 }

func (silentEnvironment) SaveWorkers([]byte, func()) {}

func departureEntry(t *testing.T, index uint64, departure *wirepb.Departure) *wirepb.Entry {
	t.Helper()
	command := &wirepb.Command{Change: &wirepb.Command_Departure{Departure: departure}}
	data, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	return &wirepb.Entry{Index: index, Term: 1, Kind: wirepb.EntryKind_ENTRY_COMMAND, Data: data}
}

// TestSavedWorkersWithoutTheDeparted starts a core whose log holds the leaving of workers, one of them
// known to be committed, and whose saved list is from before. Nobody speaks to it yet.
func TestSavedWorkersWithoutTheDeparted(t *testing.T) {
	var batch wirepb.CatalogBatch
	for _, name := range []string{"stays", "committed", "unconfirmed", "draining"} {
		batch.Records = append(batch.Records, &wirepb.Record{
			Key: catalog.WorkerKey(name), Order: 3,
			Value: &wirepb.Record_Worker{Worker: &wirepb.Worker{InstanceId: name, Address: name + ":80"}},
		})
	}
	saved, err := proto.Marshal(&batch)
	if err != nil {
		t.Fatal(err)
	}
	stored := consensus.Founding([]string{"10.0.0.1#founder", "10.0.0.2#founder"})
	stored.HardState = &wirepb.HardState{Term: 1, Commit: 2}
	stored.Entries = []*wirepb.Entry{
		departureEntry(t, 1, &wirepb.Departure{InstanceId: "committed", Order: catalog.FinalOrder, Final: true}),
		departureEntry(t, 2, &wirepb.Departure{InstanceId: "draining", Order: 4}),
		departureEntry(t, 3, &wirepb.Departure{InstanceId: "unconfirmed", Order: catalog.FinalOrder, Final: true}),
	}
	e, err := New(Options{
		Identity: "10.0.0.1#founder", Life: "life", Clock: func() time.Duration { return 0 },
		AddressOf: func(host string) string { return host }, Consensus: consensus.Options{Seats: 2},
		Random: rand.New(rand.NewSource(1)), Logger: zap.NewNop(), SavedWorkers: saved,
	}, stored, silentEnvironment{})
	if err != nil {
		t.Fatal(err)
	}
	told := map[string]bool{}
	for _, entry := range e.Mirror().EntriesOf(catalog.Workers) {
		if worker := entry.Record.GetWorker(); !entry.Record.Deleted {
			told[worker.InstanceId] = worker.Draining
		}
	}
	if draining, known := told["draining"]; len(told) != 2 || !known || !draining || told["stays"] {
		t.Errorf("told (draining): %v", told)
	}
}
