package capacity

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	pagePath = "../../../docs/CAPACITY-gateway.md"
	fitsPath = "../../../docs/capacity/fits.md"
	dataDir  = "../../../docs/capacity"
	specPath = "../../../scenarios/capacity.toml"
)

// The tables of both pages, the gateway's and the system's, are those that the committed measurements give.
func TestPagesAreUpToDate(t *testing.T) {
	pages := []struct{ page, fits, data, spec string }{
		{pagePath, fitsPath, dataDir, specPath},
		{"../../../docs/CAPACITY.md", "../../../docs/capacity/system/fits.md", "../../../docs/capacity/system",
			"../../../scenarios/system-capacity.toml"},
	}
	for _, p := range pages {
		report, err := BuildReport(p.spec, p.data)
		if err != nil {
			t.Fatal(err)
		}
		if err := report.Update(p.page, p.fits, true); err != nil {
			t.Error(err)
		}
		if err := DrawChart(report.Demands, filepath.Join(t.TempDir(), "need.png")); err != nil {
			t.Error(err)
		}
	}
}

// copyInputs returns a folder with a copy of the page, the spec and the measurements.
func copyInputs(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	files, _ := filepath.Glob(filepath.Join(dataDir, "*.*"))
	for _, from := range append(files, pagePath, specPath) {
		raw, err := os.ReadFile(from)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(from)), raw, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// replaceOnce replaces the first occurrence of a text in a file, which has to have it.
func replaceOnce(t *testing.T, path, old, replacement string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(raw), old) {
		t.Fatalf("%s: %v, or no %q", path, err, old)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(raw), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A page edited by hand, or a figure or a limit that has changed since: each is found, and an update repairs
// it.
func TestUpdateFindsWhatIsOutOfDate(t *testing.T) {
	cases := []struct{ name, file, old, new string }{
		{"the page", "CAPACITY-gateway.md", "| 22 KB/s |", "| 23 KB/s |"},
		{"the page of fits", "fits.md", "linear", "squared"},
		{"a limit", "capacity.toml", "most = 22\n", "most = 23\n"},
		{"a coming size", "capacity.toml", "regions = 4", "regions = 5"},
		{"a figure", "elements.csv", ",7900,gatekeeper,answer with rules over members,B,",
			",7900,gatekeeper,answer with rules over members,B,9"},
		{"a refusal", "refusals.csv", "7900,500,", "7900,600,"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := copyInputs(t)
			in := func(name string) string { return filepath.Join(dir, name) }
			replaceOnce(t, in(c.file), c.old, c.new)
			report, err := BuildReport(in("capacity.toml"), dir)
			if err != nil {
				t.Fatal(err)
			}
			if err := report.Update(in("CAPACITY-gateway.md"), in("fits.md"), true); !errors.Is(err, ErrStale) {
				t.Errorf("got %v, want %v", err, ErrStale)
			}
			if err := report.Update(in("CAPACITY-gateway.md"), in("fits.md"), false); err != nil {
				t.Error(err)
			}
			if err := report.Update(in("CAPACITY-gateway.md"), in("fits.md"), true); err != nil {
				t.Errorf("after the update: %v", err)
			}
		})
	}
}

func TestReplaceSections(t *testing.T) {
	const open, end = "<!-- a: made by willowdeck-lab capacity -->\n", "<!-- /a -->\n"
	cases := []struct{ name, page, message string }{
		{"right", "x\n" + open + "old\n" + end + "y\n", ""},
		{"no place", "x\n", "is not there once"},
		{"two places", open + end + open + end, "is not there once"},
		{"no end", open, "is not behind"},
		{"end ahead", end + open, "is not behind"},
		{"a place too many", open + end + strings.ReplaceAll(open+end, "a:", "b:"), "2 places for 1 parts"},
	}
	for _, c := range cases {
		got, err := ReplaceSections(c.page, map[string]string{"a": "new\n"})
		if c.message == "" && (err != nil || got != "x\n"+open+"new\n"+end+"y\n") ||
			c.message != "" && (err == nil || !strings.Contains(err.Error(), c.message)) {
			t.Errorf("%s: %q, %v", c.name, got, err)
		}
	}
}
