package admin

import (
	"testing"

	"willowdeck/internal/testkit/goldentest"
)

// stats.txt is what /admin/stats said of goldenFigures. It was written once by Append, before names were
// changed. Operators' programs read it by its keys; new code must never write it again.
func goldenFigures() Figures {
	return Figures{Tries: 1, Active: 2, Workers: 3, Avoided: 4,
		More:     []Figure{{"members", 5}, {"peers.gone", 6}},
		Products: []Product{{"sale", 7, 8, 9}, {"refund", 10, 11, 12}}}
}

func TestGoldenStats(t *testing.T) {
	goldentest.SameBytes(t, Append(nil, goldenFigures()), goldentest.File(t, "stats.txt"))
}

// Paths and headers that callers use stand in no file of ours.
func TestGoldenPaths(t *testing.T) {
	want := map[string]string{"/admin/health": "GET", "/admin/stats": "GET", "/admin/list": "GET",
		"/admin/word": "GET", "/admin/quiesce": "PUT", "/admin/resume": "PUT"}
	for path, method := range want {
		if got := calls[path].method; got != method {
			t.Errorf("%s takes %q, want %q", path, got, method)
		}
	}
	if len(calls) != len(want) {
		t.Errorf("%d calls, want %d", len(calls), len(want))
	}
	if VersionHeader != "X-Willowdeck-Version" || AgeHeader != "X-Age-Ms" {
		t.Errorf("headers are %q and %q", VersionHeader, AgeHeader)
	}
}
