package stateview

import (
	"testing"
	"time"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/configuration"
	"willowdeck/internal/serving/wirepb"
)

type testClock struct{ now time.Duration }

func (c *testClock) read() time.Duration { return c.now }

func document(t *testing.T, body string) *configuration.Document {
	t.Helper()
	d, err := configuration.Parse([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// hand gives the holder what it lacks, and returns the update.
func hand(t *testing.T, from, to *Mirror, position Position) (*wirepb.FeedUpdate, Position) {
	t.Helper()
	update, next := from.Difference(position)
	if !to.Apply(update) {
		t.Fatal("an update was not usable")
	}
	return update, next
}

func TestChangesGoAsDifferences(t *testing.T) {
	clock := &testClock{}
	from, to := New("core", clock.read), New("", clock.read)
	from.SetCommitted(1, document(t, `{"generation":3,"routes":[{"hostname":"a","path_prefix":"/"},
		{"hostname":"b","path_prefix":"/"}],"services":[{"name":"s"}]}`), nil)
	update, position := hand(t, from, to, to.Position())
	if update.Configuration.From != 0 || len(update.Configuration.Routes) != 2 {
		t.Fatalf("the first update %v", update.Configuration)
	}
	from.SetCommitted(2, document(t, `{"generation":5,"routes":[{"hostname":"a","path_prefix":"/"},
		{"hostname":"b","path_prefix":"/","timeout_ms":1}],"services":[{"name":"s"}]}`), []string{"z"})
	update, position = hand(t, from, to, position)
	change := update.Configuration
	if change.From != 3 || len(change.Routes) != 1 || change.Services != nil {
		t.Errorf("a change of one route went as %v", change)
	}
	if update, _ = hand(t, from, to, position); update.Configuration != nil {
		t.Errorf("what is known was told again: %v", update.Configuration)
	}
	view := to.View()
	if view.Document.Generation != 5 || len(view.Evacuated) != 1 || view.StateIndex != 2 {
		t.Errorf("view %+v", view)
	}
}

// TestOlderProviderChangesNothing moves a holder to a provider that is behind: its state must not go back.
func TestOlderProviderChangesNothing(t *testing.T) {
	clock := &testClock{}
	newest, behind := New("x", clock.read), New("y", clock.read)
	holder := New("", clock.read)
	newest.SetCommitted(9, document(t, `{"generation":7,"routes":[]}`), []string{"z"})
	behind.SetCommitted(4, document(t, `{"generation":3,"routes":[]}`), nil)
	hand(t, newest, holder, holder.Position())
	hand(t, behind, holder, holder.Position())
	if view := holder.View(); view.Document.Generation != 7 || len(view.Evacuated) != 1 {
		t.Errorf("view %+v", view)
	}
}

func TestBaseThatIsNotHeldIsRefused(t *testing.T) {
	holder := New("", (&testClock{}).read)
	change := &wirepb.ConfigurationUpdate{From: 3, Generation: 4}
	update := &wirepb.FeedUpdate{StateIndex: 1, Configuration: change}
	if holder.Apply(update) {
		t.Error("a difference from nothing was applied")
	}
}

func TestInTouchRunsOut(t *testing.T) {
	clock := &testClock{}
	from, to := New("core", clock.read), New("", clock.read)
	from.Touch(false)
	hand(t, from, to, to.Position())
	if !to.InTouch() {
		t.Error("not in touch through its provider")
	}
	clock.now = touchLife
	if to.InTouch() {
		t.Error("in touch without a word")
	}
}

// TestDemandsAreToldOnce reports again and again: a link is told each report once, and all of it when it is
// new.
func TestDemandsAreToldOnce(t *testing.T) {
	clock := &testClock{}
	from := New("core", clock.read)
	report := func(edge string, number uint64) {
		from.SetDemands([]*wirepb.Demand{{Edge: edge, InstanceId: "w", PerSecond: 1, Number: number}})
	}
	report("a", 1)
	report("b", 1)
	update, position := from.Difference(Position{})
	if len(update.Demands) != 2 {
		t.Fatalf("demands %v", update.Demands)
	}
	report("a", 2)
	report("a", 1) // late
	update, position = from.Difference(position)
	if len(update.Demands) != 1 || update.Demands[0].Number != 2 {
		t.Errorf("demands %v", update.Demands)
	}
	if update, _ = from.Difference(position); len(update.Demands) != 0 {
		t.Errorf("told again: %v", update.Demands)
	}
	clock.now = demandLife + 1
	if len(from.View().Demands) != 0 {
		t.Error("a demand outlasts the hold")
	}
}

func TestRecordsOfAnEarlierCoreAreDropped(t *testing.T) {
	clock := &testClock{}
	before, after := New("core/1", clock.read), New("core/2", clock.read)
	holder := New("", clock.read)
	publish := func(r *Mirror, instance string) {
		r.WithCatalog(func(now time.Duration, c *catalog.Catalog) bool {
			worker := &wirepb.Worker{InstanceId: instance}
			c.Publish(now, &wirepb.Record{
				Key: catalog.WorkerKey(instance), Order: 1, Value: &wirepb.Record_Worker{Worker: worker},
			})
			return true
		})
	}
	publish(before, "gone")
	hand(t, before, holder, holder.Position())
	publish(after, "here")
	after.Touch(false)
	hand(t, after, holder, holder.Position())
	if holder.Get(catalog.WorkerKey("gone")) == nil {
		t.Error("dropped on the word of a core that has only just begun")
	}
	after.Touch(true)
	hand(t, after, holder, holder.Position())
	if holder.Get(catalog.WorkerKey("gone")) != nil || holder.Get(catalog.WorkerKey("here")) == nil {
		t.Error("workers after the core has settled")
	}
}
