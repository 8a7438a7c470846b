package endpoints

import (
	"bytes"
	"io"
	"net/netip"
	"testing"

	"willowdeck/internal/testkit/goldentest"
)

// goldenList is what list.json says. The file was written once by Append, before names were changed, and is
// what discovery and older versions say; new code must never write it again.
func goldenList() List {
	return List{Version: 77, Whole: true, Workers: []Worker{
		{Name: "w1", Address: netip.MustParseAddrPort("192.0.2.1:8001"), Zone: "zone-a", Cell: 3, Kind: "large",
			Rating: 1.5, Active: true, Since: 1.7e12},
		{Name: "w2", Address: netip.MustParseAddrPort("[2001:db8::2]:8002"), Zone: "zone-b", Cell: 4,
			Kind: "small", Rating: 0.25, Since: 1.6e12},
		{Name: "w3", Address: netip.MustParseAddrPort("192.0.2.3:8003"), Zone: "zone-c", Cell: 5, Kind: "tiny",
			Rating: 0.125, Gone: true, Since: 1.5e12},
	}}
}

func TestGoldenList(t *testing.T) {
	old := goldentest.File(t, "list.json")
	want := goldenList()
	got, err := Decode(old)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.SameLines(t, goldentest.Leaves(got), goldentest.Leaves(want))
	for i, zeros := range []int{1, 2, 1} { // of the states, of which each worker has one at most
		if n := len(goldentest.Zeros(got.Workers[i])); n != zeros {
			t.Errorf("worker %d has %d fields that say nothing, want %d", i, n, zeros)
		}
	}
	b, err := Append(nil, want)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.SameBytes(t, b, bytes.TrimSpace(old))
	stream := NewStream(bytes.NewReader(old), Bounds{Bytes: 1 << 20, Entry: 1 << 16, Workers: 9}, func(bool) {})
	if got, err = stream.Next(); err != nil {
		t.Fatal(err)
	}
	goldentest.SameLines(t, goldentest.Leaves(got), goldentest.Leaves(want))
	if _, err = stream.Next(); err != io.EOF {
		t.Errorf("after the list: %v", err)
	}
}
