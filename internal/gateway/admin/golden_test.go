package admin

import (
	"testing"

	"willowdeck/internal/testkit/goldentest"
)

// goldenStats are the values in stats.txt, which AppendStats wrote once, before names were changed.
// Operators' programs read it by its keys; new code must never write it again.
func goldenStats() Stats {
	return Stats{Attempts: 1, Active: 2, Workers: 3, Ejected: 4,
		Extra:    []Stat{{"members", 5}, {"peers.gone", 6}},
		Products: []ProductStats{{"sale", 7, 8, 9}, {"refund", 10, 11, 12}}}
}

func TestGoldenStats(t *testing.T) {
	goldentest.SameBytes(t, AppendStats(nil, goldenStats()), goldentest.File(t, "stats.txt"))
}

// TestGoldenPaths: the paths and headers that callers use, which are in no golden file.
func TestGoldenPaths(t *testing.T) {
	want := map[string]string{"/admin/health": "GET", "/admin/stats": "GET", "/admin/list": "GET",
		"/admin/word": "GET", "/admin/quiesce": "PUT", "/admin/resume": "PUT"}
	for path, method := range want {
		if got := endpoints[path].method; got != method {
			t.Errorf("%s takes %q, want %q", path, got, method)
		}
	}
	if len(endpoints) != len(want) {
		t.Errorf("%d calls, want %d", len(endpoints), len(want))
	}
	if VersionHeader != "X-Willowdeck-Version" || AgeHeader != "X-Age-Ms" {
		t.Errorf("headers are %q and %q", VersionHeader, AgeHeader)
	}
}
