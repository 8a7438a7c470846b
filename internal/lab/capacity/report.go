package capacity

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// ErrStale reports a page whose tables are not those that the measurements give.
var ErrStale = errors.New("the page is out of date")

// Report is what a spec and the measurements give.
type Report struct {
	Demands  []Demand
	Sections map[string]string // text between the markers of the page, by name
	FitsPage string            // the page of all fits
}

// BuildReport reads the spec and the tables of dataDir, and computes the demands and all sections of the
// page. An error names the file, and the line or the key.
func BuildReport(specPath, dataDir string) (*Report, error) {
	spec, err := ReadSpec(specPath)
	if err != nil {
		return nil, err
	}
	rows, refusals, err := ReadAll(dataDir)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	if report.Demands, err = ComputeDemands(spec, rows); err != nil {
		return nil, fmt.Errorf("%s: %w", specPath, err)
	}
	runs := assignRunLetters(report.Demands, rows, refusals)
	refusalTable, err := spec.refusalTable(refusals, runs)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", specPath, err)
	}
	if report.FitsPage, err = fitsPage(spec.Tolerance, rows); err != nil {
		return nil, fmt.Errorf("%s: %w", dataDir, err)
	}
	report.FitsPage += "\n# Needs that are parts of others\n" + roleTables(report.Demands, true)
	report.Sections = map[string]string{"sizes": spec.plannedSizesSection(), "refused": refusalTable,
		"ranking": spec.rankingTable(report.Demands, refusals),
		"roles":   roleTables(report.Demands, false), "events": eventTable(report.Demands),
		"if":     conditionalTable(report.Demands),
		"shapes": nonlinearTable(report.Demands),
		"runs":   runTable(runs)}
	return report, nil
}

// Update replaces the sections of the page and writes the page of fits. With checkOnly it writes nothing, and
// returns an error that wraps ErrStale where a page is not what the measurements give.
func (r *Report) Update(pagePath, fitsPath string, checkOnly bool) error {
	if err := updatePage(pagePath, r.Sections, checkOnly); err != nil {
		return err
	}
	if !checkOnly {
		return writeFile(fitsPath, []byte(r.FitsPage))
	}
	raw, err := os.ReadFile(fitsPath)
	if err == nil && string(raw) != r.FitsPage {
		err = fmt.Errorf("%s: %w: line %d; willowdeck-lab capacity makes it anew", fitsPath, ErrStale,
			firstDifferentLine(string(raw), r.FitsPage))
	}
	return err
}

// updatePage replaces the sections of the page at path, or checks them.
func updatePage(path string, sections map[string]string, checkOnly bool) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	updated, err := ReplaceSections(string(raw), sections)
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", path, err)
	case updated == string(raw):
		return nil
	case checkOnly:
		return fmt.Errorf("%s: %w: line %d; willowdeck-lab capacity makes it anew", path, ErrStale,
			firstDifferentLine(string(raw), updated))
	}
	return writeFile(path, []byte(updated))
}

// ReplaceSections replaces the text between a page's markers, "<!-- NAME: made by willowdeck-lab capacity
// -->" and "<!-- /NAME -->". Each section has to have one pair of markers, and each pair its section.
func ReplaceSections(page string, sections map[string]string) (string, error) {
	var names []string
	for name := range sections {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		opening, closing := "<!-- "+name+": made by willowdeck-lab capacity -->\n", "<!-- /"+name+" -->\n"
		head, rest, ok := strings.Cut(page, opening)
		if !ok || strings.Contains(rest, opening) {
			return "", fmt.Errorf("marker %q is not there once", strings.TrimSpace(opening))
		}
		_, tail, ok := strings.Cut(rest, closing)
		if !ok {
			return "", fmt.Errorf("marker %q is not behind %q", strings.TrimSpace(closing), strings.TrimSpace(opening))
		}
		page = head + opening + sections[name] + closing + tail
	}
	if markers := strings.Count(page, ": made by willowdeck-lab capacity -->"); markers != len(names) {
		return "", fmt.Errorf("%d places for %d parts", markers, len(names))
	}
	return page, nil
}

// firstDifferentLine returns the number, from one, of the first line of a that b does not have there.
func firstDifferentLine(a, b string) int {
	linesA, linesB := strings.Split(a, "\n"), strings.Split(b, "\n")
	for i := range linesA {
		if i >= len(linesB) || linesA[i] != linesB[i] {
			return i + 1
		}
	}
	return len(linesA)
}
