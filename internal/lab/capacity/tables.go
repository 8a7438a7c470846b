package capacity

import (
	"fmt"
	"strings"
)

const (
	minRankedUtilization = 0.1 // the lowest utilization that the ranking shows
	sameValueTolerance   = 0.1 // part by which a value after the change may differ without being shown
)

// plannedSizesSection lists the planned sizes in the order of plannedKeys.
func (s *Spec) plannedSizesSection() string {
	var sizes []string
	for _, key := range plannedKeys {
		if key != "one" {
			sizes = append(sizes, formatSize(s.Planned[key])+" "+strings.ReplaceAll(key, "_", " "))
		}
	}
	return strings.Join(sizes, " · ") + "\n"
}

// roleTables returns a table of demands for each role: the independent ones, or with partsOnly the parts of
// others.
func roleTables(demands []Demand, partsOnly bool) string {
	var b strings.Builder
	for _, role := range roles {
		t := newMarkdownTable("", "need", "carried by", "slope × size + offset", "at the coming size", "limit",
			"ratio",
			"known by")
		found := false
		for i := range demands {
			d := &demands[i]
			if d.Role != role || d.Event != "" || d.Condition != "" || !d.Available() ||
				(d.PartOf != "") != partsOnly {
				continue
			}
			found = true
			for ; d != nil; d = d.changedDemand() {
				limit, utilization := d.limitCells()
				t.row(d.Resource, d.title(), d.Mechanism, d.formula(), formatFigure(d.Value)+" "+d.Unit, limit,
					utilization, d.basisText())
			}
		}
		if found {
			fmt.Fprintf(&b, "\n**%s**\n\n%s", role, t.String())
		}
	}
	return b.String()
}

// eventTable returns the demands that arise during an event.
func eventTable(demands []Demand) string {
	t := newMarkdownTable("when", "role", "what", "carried by", "need", "rules and bounds touched", "known by")
	for _, event := range events {
		for i := range demands {
			if demands[i].Event != event || !demands[i].Available() {
				continue
			}
			for d := &demands[i]; d != nil; d = d.changedDemand() {
				need := formatFigure(d.Value) + " " + d.Unit
				if limit, utilization := d.limitCells(); d.Limit != nil {
					need += fmt.Sprintf(" of %s: %s", limit, utilization)
				}
				t.row(event, d.Role, d.title(), d.Mechanism, need, d.AffectedRules, d.basisText())
			}
		}
	}
	return t.String()
}

// conditionalTable returns the demands that arise only under a condition.
func conditionalTable(demands []Demand) string {
	t := newMarkdownTable("only if", "role", "what", "need", "limit", "ratio", "known by")
	for i := range demands {
		if demands[i].Condition == "" || !demands[i].Available() {
			continue
		}
		for d := &demands[i]; d != nil; d = d.changedDemand() {
			limit, utilization := d.limitCells()
			t.row(d.Condition, d.Role, d.title(), formatFigure(d.Value)+" "+d.Unit, limit, utilization, d.basisText())
		}
	}
	return t.String()
}

// rankingTable ranks the bounds that refuse a planned size and then the demands by utilization, each with
// what the change makes of it.
func (s *Spec) rankingTable(demands []Demand, refusals []Refusal) string {
	t := newMarkdownTable("", "role", "need", "today", "limit", "ratio", "after")
	refused := 0
	for _, r := range ExceededBounds(refusals) {
		note := s.refusalNote(r.What)
		if r.Distribution != distributionDirect || note == nil || !note.Needed {
			continue
		}
		refused++
		t.row(fmt.Sprint(refused), r.Role, r.What, formatInteger(r.Planned)+", refused",
			formatInteger(r.Max)+" (program)", formatFigure(r.Planned/r.Max), note.afterChangeCell(refusals))
	}
	for i, d := range RankByUtilization(demands) {
		if d.Utilization < minRankedUtilization {
			break
		}
		afterChange := d.successorCell(demands)
		limit, utilization := d.limitCells()
		today := formatFigure(d.Value) + " " + d.Unit
		if d.onlyAfterChange() { // it did not exist before the change, or no run has it
			today, utilization, afterChange = "-", "-", d.afterChangeCell()
		}
		t.row(fmt.Sprint(refused+i+1), d.Role, d.What, today, limit, utilization, afterChange)
	}
	return t.String()
}

// refusalNote returns the note on what was refused, or nil.
func (s *Spec) refusalNote(what string) *RefusalMeaning {
	for i := range s.Refusals {
		if s.Refusals[i].What == what {
			return &s.Refusals[i]
		}
	}
	return nil
}

// afterChangeCell returns what becomes of a refusal in runs with relays.
func (n *RefusalMeaning) afterChangeCell(refusals []Refusal) string {
	cell := basisNoRun
	for _, r := range refusals {
		switch {
		case r.Distribution != distributionRelays || r.What != n.What:
		case n.AfterChange != "":
			cell = n.AfterChange
		case r.Max < r.Planned:
			cell = formatInteger(r.Max) + ", refused beyond"
		default:
			cell = "taken"
		}
	}
	return cell
}

// successorCell returns what the change makes of a demand: the entry that replaces it, its value after the
// change, or why there is none.
func (d *Demand) successorCell(demands []Demand) string {
	replacement := ReplacementOf(demands, d.Name)
	switch {
	case replacement != nil:
		return replacement.afterChangeCell()
	case d.hasReplacement(demands):
		return basisNoRun
	case d.AfterChange != nil:
		return d.AfterChange.afterChangeCell()
	case d.ObsoleteAfterChange:
		return "gone"
	case d.Figure != "":
		return d.AfterChangeBasis
	case len(d.SumOf) > 0:
		return basisNoRun
	}
	return "as today"
}

// refusalTable lists the bounds that refuse a planned size today. It is an error when the spec has no note of
// one of them.
func (s *Spec) refusalTable(refusals []Refusal, runs []run) (string, error) {
	t := newMarkdownTable("role", "what", "coming", "most", "times", "it says", "needed", "run")
	for _, r := range ExceededBounds(refusals) {
		if r.Distribution != distributionDirect {
			continue
		}
		letter := ""
		for _, candidate := range runs {
			if candidate.name == r.Run && candidate.distribution == r.Distribution {
				letter = "[" + candidate.label + "]"
			}
		}
		note := s.refusalNote(r.What)
		if note == nil {
			return "", fmt.Errorf("refusals: nothing is said of %q, which is refused", r.What)
		}
		needed := "yes"
		if !note.Needed {
			needed = "no: " + note.Meaning
		} else if note.Meaning != "" {
			needed += ": " + note.Meaning
		}
		t.row(r.Role, r.What, formatInteger(r.Planned), formatInteger(r.Max), formatFigure(r.Planned/r.Max),
			"`"+r.Message+"`", needed,
			letter)
	}
	return t.String(), nil
}
