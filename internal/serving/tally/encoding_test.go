package tally

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wirepb"
)

// TestInvalidTextsAreNotEncodable shows why a name or id that is not valid UTF-8 must not reach a Replica:
// neither its frame of the log nor its push could be encoded, and the log would try it again for ever.
func TestInvalidTextsAreNotEncodable(t *testing.T) {
	for _, add := range []*wirepb.TallyAdd{{Tally: "a\xff", Id: "x"}, {Tally: "a", Id: "x\xff"}} {
		records := []*wirepb.TallyRecords{{Origin: "o", First: 1, Adds: []*wirepb.TallyAdd{add}}}
		if _, err := proto.Marshal(&wirepb.TallyLogFrame{Records: records}); err == nil {
			t.Errorf("%q of %q is encodable", add.Id, add.Tally)
		}
	}
}

// invalidAdd is recorded by no replica.
var invalidAdd = Add{Tally: "a\xff", ID: "x", Amount: 1}

// TestInvalidTextStopsNoLog checks that an add whose name is not valid UTF-8 leaves the other adds durable.
func TestInvalidTextStopsNoLog(t *testing.T) {
	w := newWorld(1, plantedFault{})
	w.callers.idle = true
	w.run(4 * time.Second)
	p := w.machines[0].process
	outcome := Unknown
	p.post(func() { p.replica.Add(invalidAdd, func(o Outcome) { outcome = o }) })
	w.run(time.Second)
	if outcome != Invalid {
		t.Errorf("the invalid add has outcome %d", outcome)
	}
	p.post(func() { p.replica.Add(Add{Tally: "t", ID: "y", Amount: 1}, func(o Outcome) { outcome = o }) })
	w.run(time.Second)
	if outcome != Acknowledged {
		t.Errorf("the add after the invalid one has outcome %d", outcome)
	}
	if held := p.replica.durable[p.incarnation]; held < p.replica.set.Sequence(p.incarnation) {
		t.Errorf("%d of %d records are on the disk", held, p.replica.set.Sequence(p.incarnation))
	}
}
