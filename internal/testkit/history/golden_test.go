package history

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"willowdeck/internal/testkit/goldentest"
)

// goldenEvents are what events.jsonl holds: an event that says all, and one of each kind. The file was
// written once by Log, before names were changed, with its times set to 1, 2, 3. It is what older versions
// leave; new code must never write it again.
func goldenEvents() []Event {
	events := []Event{{Kind: Began}, {Kind: Got, Version: 5, Base: 6, Digest: "mark-7", Mode: Leased,
		Txn:      "txn-8",
		Customer: 9, Plan: "plan-10", Product: "product-11", Worker: "worker-12", Peer: "peer-13",
		PeerIncarnation: 14,
		Units:           15.5, Serial: 16, Expiry: 17, Age: 18.5, Says: Succeeded}}
	for _, kind := range []Kind{Acts, ReportedInForce, Proposed, Decided, Sends, Got, Asks, Ends, Lends, Repays,
		Hands, Takes,
		Received, Holds, AttemptEnded, Ran, Notified, Faults, Died, Stalls, Wakes} {
		events = append(events, Event{Kind: kind})
	}
	events[2].Mode, events[3].Mode, events[4].Mode, events[5].Mode = Leased, Fallback, Bare, Active
	for i, says := range []string{NeverRan, MayRun, Answered, Left, Succeeded, Declined, Voided} {
		events[6+i].Says = says
	}
	events = append(events, Event{Kind: Gone})
	for i := range events {
		e := &events[i]
		e.At, e.Who, e.Incarnation, e.Seq = int64(i+1), "gateway-7", 3, uint64(i+1)
	}
	return events
}

var goldenTime = regexp.MustCompile(`"at":\d+`)

// goldenWrite has a log write the events, and gives its file but for the times.
func goldenWrite(t *testing.T) []byte {
	t.Helper()
	path := filepath.Join(t.TempDir(), "events.jsonl")
	log, err := Open(path, "gateway-7", 3)
	if err != nil {
		t.Fatal(err)
	}
	events := goldenEvents()
	for _, e := range events[1 : len(events)-1] {
		log.Write(e)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return goldenTime.ReplaceAll(b, []byte(`"at":0`))
}

func TestGoldenEvents(t *testing.T) {
	old := goldentest.File(t, "events.jsonl")
	goldentest.SameBytes(t, goldenWrite(t), goldenTime.ReplaceAll(old, []byte(`"at":0`)))
	record, err := Read("testdata")
	if err != nil {
		t.Fatal(err)
	}
	want := goldenEvents()
	goldentest.SameLines(t, goldentest.Leaves(record.Events), goldentest.Leaves(want))
	goldentest.Same(t, record.Events[1], want[1]) // which says all that an event can say
	if n := bytes.Count(old, []byte("\n")); n != len(kinds)+1 {
		t.Errorf("the golden file has %d lines for %d kinds", n, len(kinds))
	}
}
