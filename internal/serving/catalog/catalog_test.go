package catalog

import (
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

func workerRecord(instance string, order uint64, cold time.Duration) *wirepb.Record {
	worker := &wirepb.Worker{InstanceId: instance, ColdRemainingMs: cold.Milliseconds()}
	return &wirepb.Record{Key: WorkerKey(instance), Order: order, Value: &wirepb.Record_Worker{Worker: worker}}
}

// TestHoldersConverge lets three writers publish and hand over in drawn orders: all end with the same
// records.
func TestHoldersConverge(t *testing.T) {
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		holders := []*Catalog{New("a"), New("b"), New("c")}
		for range 60 {
			holder := holders[random.Intn(3)]
			if random.Intn(2) == 0 {
				record := workerRecord(string(rune('p'+random.Intn(4))), uint64(random.Intn(20)), 0)
				record.Deleted = random.Intn(5) == 0
				holder.Publish(0, record)
			} else {
				pull(holder, holders[random.Intn(3)])
			}
		}
		for range 3 {
			for _, to := range holders {
				for _, from := range holders {
					pull(to, from)
				}
			}
		}
		for _, other := range holders[1:] {
			compare(t, seed, holders[0], other)
		}
	}
}

func pull(to, from *Catalog) { to.Merge(0, from.Since(0, to.Vector()), from.Vector()) }

func compare(t *testing.T, seed int64, x, y *Catalog) {
	t.Helper()
	a, b := x.Entries(), y.Entries()
	if len(a) != len(b) {
		t.Fatalf("seed %d: %d and %d records", seed, len(a), len(b))
	}
	for i := range a {
		if !proto.Equal(a[i].Record, b[i].Record) {
			t.Fatalf("seed %d: %v and %v", seed, a[i].Record, b[i].Record)
		}
	}
	if len(x.Since(0, y.Vector())) > 0 {
		t.Fatalf("seed %d: something is still to be told", seed)
	}
}

func TestLateHeartbeatChangesNothing(t *testing.T) {
	c := New("a")
	c.Publish(0, workerRecord("w", 9, 0))
	if c.Publish(0, workerRecord("w", 8, 0)) != nil {
		t.Error("an older order was taken")
	}
	c.Publish(0, &wirepb.Record{Key: WorkerKey("w"), Order: Final, Deleted: true})
	if c.Publish(0, workerRecord("w", 100, 0)) != nil {
		t.Error("an incarnation that has left came back")
	}
}

func TestColdTimeIsToldAsItStands(t *testing.T) {
	from, to := New("a"), New("")
	from.Publish(time.Second, workerRecord("w", 1, 3*time.Second))
	to.Merge(50*time.Second, from.Since(2*time.Second, to.Vector()), from.Vector())
	if got := to.Get(WorkerKey("w")).ColdUntil; got != 52*time.Second {
		t.Errorf("cold until %v by the holder's clock", got)
	}
}

func TestUnknownOriginsAreDropped(t *testing.T) {
	before, after, holder := New("core/1"), New("core/2"), New("")
	before.Publish(0, workerRecord("gone", 1, 0))
	before.Publish(0, workerRecord("alive", 1, 0))
	pull(holder, before)
	after.Publish(0, workerRecord("alive", 5, 0))
	pull(holder, after)
	if !holder.DropUnknownOrigins(after.Vector()) || holder.Get(WorkerKey("gone")) != nil {
		t.Error("a worker that nobody tells of any more was kept")
	}
	if holder.Get(WorkerKey("alive")) == nil {
		t.Error("a worker that lives was dropped")
	}
}

// TestLostPushIsAskedFor pushes single records, of which one is lost: the holder's vector has to show it.
func TestLostPushIsAskedFor(t *testing.T) {
	from, to := New("a"), New("b")
	var pushed []*wirepb.Record
	for _, instance := range []string{"p", "q", "r"} {
		pushed = append(pushed, from.Publish(0, workerRecord(instance, 1, 0)))
	}
	to.Merge(0, pushed[:1], nil)
	to.Merge(0, pushed[2:], nil)
	if to.Get(WorkerKey("r")) == nil {
		t.Error("a record that came was not taken")
	}
	pull(to, from)
	if to.Get(WorkerKey("q")) == nil {
		t.Error("a record whose push was lost never came")
	}
}

// TestHeldOriginsAreKnown holds a record without what its writer wrote before: who is told must not drop it.
func TestHeldOriginsAreKnown(t *testing.T) {
	from, between, holder := New("a"), New("b"), New("")
	from.Publish(0, workerRecord("p", 1, 0))
	between.Merge(0, []*wirepb.Record{from.Publish(0, workerRecord("q", 1, 0))}, nil)
	pull(holder, between)
	if holder.DropUnknownOrigins(between.Vector()) || holder.Get(WorkerKey("q")) == nil {
		t.Error("a record was dropped that its provider holds")
	}
}
