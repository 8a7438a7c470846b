package bootstrap_test // ops imports warm

import (
	"bytes"
	"net/netip"
	"reflect"
	"testing"

	"willowdeck/internal/gateway/admin"
	"willowdeck/internal/gateway/recovery/bootstrap"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/testkit/goldenform"
)

// The golden file was written once, at commit d6a566a, by a test that was not kept: it is what
// endpoints.Append
// made of goldenList, as an instance tells it to a newcomer of perhaps another version. It is never written
// again.

func goldenList() endpoints.List {
	at := netip.MustParseAddrPort("127.0.0.9:80")
	return endpoints.List{Version: 41, Snapshot: true, Workers: []endpoints.Worker{
		{Name: "s1", Address: at, Zone: "a", Cell: 3, Kind: "k", Weight: 1.75, Active: true, StartedMillis: 12},
		{Name: "s2", Address: at, Zone: "b", Cell: 4, Kind: "l", Weight: 2.75, StartedMillis: 13}}}
}

func TestGoldenList(t *testing.T) {
	golden, want := goldenform.Read(t, "list.json"), goldenList()
	if got, err := endpoints.Decode(golden); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v: the list is read as\n%+v\nwant\n%+v", err, got, want)
	}
	if got, err := endpoints.Append(nil, want); err != nil || !bytes.Equal(got, golden) {
		t.Errorf("%v: the list is written as\n%s\nwant\n%s", err, got, golden)
	}
}

// Names and numbers that instances of other versions go by.
func TestGoldenNames(t *testing.T) {
	if bootstrap.Version != 1 {
		t.Errorf("the version of what instances tell each other is %d, want 1", bootstrap.Version)
	}
	for got, want := range map[string]string{admin.ListPath: "/admin/list", admin.WordPath: "/admin/word",
		admin.VersionHeader: "X-Willowdeck-Version", admin.AgeHeader: "X-Age-Ms"} {
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
