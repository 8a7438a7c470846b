package capacity

import (
	"slices"
	"strings"
)

// run is a run that the page cites.
type run struct{ label, name, commits, distribution string }

// assignRunLetters gives each run that the demands and refusals use a letter, sets the letter of each demand,
// and returns the runs in the order of their letters.
func assignRunLetters(demands []Demand, rows []Row, refusals []Refusal) (runs []run) {
	used := map[string]bool{}
	var allDemands []*Demand
	for i := range demands {
		for d := &demands[i]; d != nil; d = d.AfterChange {
			allDemands = append(allDemands, d)
			used[d.Distribution+d.Run] = d.Figure != "" && d.Available() || used[d.Distribution+d.Run]
		}
	}
	add := func(name, commit, distribution string) {
		for _, id := range []string{name, name + "@" + commit} {
			if !used[distribution+id] && (distribution != distributionTrial || !used[distributionDirect+id]) {
				continue
			}
			i := slices.IndexFunc(runs, func(r run) bool { return r.name == id && r.distribution == distribution })
			switch {
			case i < 0:
				runs = append(runs, run{string(rune('a' + len(runs))), id, commit, distribution})
			case !slices.Contains(strings.Split(runs[i].commits, ", "), commit):
				runs[i].commits += ", " + commit
			}
		}
	}
	for _, r := range refusals {
		used[r.Distribution+r.Run] = true
		add(r.Run, r.Commit, r.Distribution)
	}
	for _, r := range rows {
		add(r.Run, r.Commit, r.Distribution)
	}
	for _, d := range allDemands {
		for _, r := range runs {
			if r.name == d.Run && r.distribution == d.Distribution {
				d.runLabel = r.label
			}
		}
	}
	return runs
}

// runTable lists the runs by letter.
func runTable(runs []run) string {
	t := newMarkdownTable("", "run", "commit", "agreed rules are told")
	for _, r := range runs {
		t.row(r.label, r.name, r.commits, r.distribution)
	}
	return t.String()
}
