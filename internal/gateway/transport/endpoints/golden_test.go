package endpoints

import (
	"bytes"
	"net/netip"
	"testing"

	"willowdeck/internal/testkit/goldentest"
)

// goldenList is the content of list.json. The file was written once by Append of an earlier version; it is
// what discovery and older versions send, and must never be written again.
func goldenList() List {
	return List{Version: 77, Snapshot: true, Workers: []Worker{
		{Name: "w1", Address: netip.MustParseAddrPort("192.0.2.1:8001"), Zone: "zone-a", Cell: 3, Kind: "large",
			Weight: 1.5, Active: true, StartedMillis: 1.7e12},
		{Name: "w2", Address: netip.MustParseAddrPort("[2001:db8::2]:8002"), Zone: "zone-b", Cell: 4,
			Kind: "small", Weight: 0.25, StartedMillis: 1.6e12},
		{Name: "w3", Address: netip.MustParseAddrPort("192.0.2.3:8003"), Zone: "zone-c", Cell: 5, Kind: "tiny",
			Weight: 0.125, Removed: true, StartedMillis: 1.5e12},
	}}
}

func TestGoldenList(t *testing.T) {
	golden := goldentest.File(t, "list.json")
	want := goldenList()
	got, err := Decode(golden)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.SameLines(t, goldentest.Leaves(got), goldentest.Leaves(want))
	for i, zeroFields := range []int{1, 2, 1} { // of the states, of which each worker has one at most
		if n := len(goldentest.Zeros(got.Workers[i])); n != zeroFields {
			t.Errorf("worker %d has %d zero fields, want %d", i, n, zeroFields)
		}
	}
	encoded, err := Append(nil, want)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.SameBytes(t, encoded, bytes.TrimSpace(golden))
	stream := NewStream(bytes.NewReader(golden), Limits{ListBytes: 1 << 20, ValueBytes: 1 << 16, Workers: 9},
		func(bool) {})
	if got, err = stream.Next(); err != nil {
		t.Fatal(err)
	}
	goldentest.SameLines(t, goldentest.Leaves(got), goldentest.Leaves(want))
	if _, err = stream.Next(); !isBareEOF(err) {
		t.Errorf("after the list: %v", err)
	}
}
