package capacity

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	slopes "willowdeck/internal/lab/regression"
)

const (
	least = 0.1 // ratio that the ranking shows
	alike = 0.1 // part by which what came after may differ and not be shown
)

// ErrStale is a page whose tables are not those that the measurements give.
var ErrStale = errors.New("the page is out of date")

// Book is all that comes of a spec and the measurements.
type Book struct {
	Needs []Need
	Parts map[string]string // of the page, by marker
	Fits  string            // the page of all fits
}

// Work works it out. An error names the file, and the line or the key.
func Work(spec, data string) (*Book, error) {
	s, err := ReadSpec(spec)
	if err != nil {
		return nil, err
	}
	rows, refusals, err := ReadAll(data)
	if err != nil {
		return nil, err
	}
	b := &Book{}
	if b.Needs, err = Needs(s, rows); err != nil {
		return nil, fmt.Errorf("%s: %w", spec, err)
	}
	all := letters(b.Needs, rows, refusals)
	refused, err := s.refused(refusals, all)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", spec, err)
	}
	if b.Fits, err = Fits(s.Within, rows); err != nil {
		return nil, fmt.Errorf("%s: %w", data, err)
	}
	b.Fits += "\n# Needs that are parts of others\n" + tables(b.Needs, true)
	b.Parts = map[string]string{"sizes": s.sizes(), "refused": refused, "ranking": s.ranking(b.Needs, refusals),
		"roles": tables(b.Needs, false), "events": eventTable(b.Needs), "if": ifTable(b.Needs),
		"shapes": shapes(b.Needs),
		"runs":   runTable(all)}
	return b, nil
}

// Renew makes a page's tables anew and the page of fits, or with check tells whether they are those that the
// measurements give.
func (b *Book) Renew(page, fits string, check bool) error {
	if err := renew(page, b.Parts, check); err != nil {
		return err
	}
	if !check {
		return put(fits, []byte(b.Fits))
	}
	raw, err := os.ReadFile(fits)
	if err == nil && string(raw) != b.Fits {
		err = fmt.Errorf("%s: %w: line %d; willowdeck-lab capacity makes it anew", fits, ErrStale,
			differs(string(raw), b.Fits))
	}
	return err
}

// Fill puts the parts between a page's markers, "<!-- NAME: made by willowdeck-lab capacity -->" and
// "<!-- /NAME -->".
// Each part has to have its place, and each place its part.
func Fill(page string, parts map[string]string) (string, error) {
	var names []string
	for name := range parts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		open, end := "<!-- "+name+": made by willowdeck-lab capacity -->\n", "<!-- /"+name+" -->\n"
		head, rest, there := strings.Cut(page, open)
		if !there || strings.Contains(rest, open) {
			return "", fmt.Errorf("marker %q is not there once", strings.TrimSpace(open))
		}
		_, tail, there := strings.Cut(rest, end)
		if !there {
			return "", fmt.Errorf("marker %q is not behind %q", strings.TrimSpace(end), strings.TrimSpace(open))
		}
		page = head + open + parts[name] + end + tail
	}
	if n := strings.Count(page, ": made by willowdeck-lab capacity -->"); n != len(names) {
		return "", fmt.Errorf("%d places for %d parts", n, len(names))
	}
	return page, nil
}

func renew(path string, parts map[string]string, check bool) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	now, err := Fill(string(raw), parts)
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", path, err)
	case now == string(raw):
		return nil
	case check:
		return fmt.Errorf("%s: %w: line %d; willowdeck-lab capacity makes it anew", path, ErrStale,
			differs(string(raw), now))
	}
	return put(path, []byte(now))
}

// differs gives the first line in which two texts differ.
func differs(a, b string) int {
	x, y := strings.Split(a, "\n"), strings.Split(b, "\n")
	for i := range x {
		if i >= len(y) || x[i] != y[i] {
			return i + 1
		}
	}
	return len(x)
}

// figure writes a number to three places, with commas.
func figure(v float64) string {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Sprint(v)
	}
	places := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if places <= 0 {
		by := math.Pow(10, float64(-places))
		return commas(fmt.Sprintf("%.0f", math.Round(v/by)*by))
	}
	t := fmt.Sprintf("%.*f", min(places, 9), v)
	if strings.Contains(t, ".") {
		t = strings.TrimRight(strings.TrimRight(t, "0"), ".")
	}
	return t
}

func commas(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}

func whole(v float64) string { return commas(fmt.Sprintf("%.0f", v)) }

// size writes a coming number in full.
func sizeOf(v float64) string {
	if v == math.Trunc(v) {
		return whole(v)
	}
	return figure(v)
}

type table struct{ strings.Builder }

func newTable(head ...string) *table {
	t := &table{}
	t.row(head...)
	for range head {
		t.WriteString("| --- ")
	}
	t.WriteString("|\n")
	return t
}

func (t *table) row(cells ...string) {
	for _, c := range cells {
		t.WriteString("| " + strings.ReplaceAll(c, "|", "/") + " ")
	}
	t.WriteString("|\n")
}

func (s *Spec) sizes() string {
	var all []string
	for _, key := range known {
		if key != "one" {
			all = append(all, sizeOf(s.Coming[key])+" "+strings.ReplaceAll(key, "_", " "))
		}
	}
	return strings.Join(all, " · ") + "\n"
}

// sum writes slope x size + offset, as it was measured.
func (n *Need) sum() string {
	slope, apart, unit, name := n.Each, n.Offset, n.Unit, strings.ReplaceAll(n.Over, "_", " ")
	switch {
	case n.Over == "one" || len(n.Sum) > 0:
		return "-"
	case n.Fit == nil && n.Figure != "":
		return "-"
	case n.Fit == nil:
	case n.Fit.Shape == slopes.Flat:
		return strings.TrimSpace(figure(n.Fit.Predict(n.Size))+" "+n.In) + " at any size"
	case n.Fit.Shape == slopes.Superlinear:
		return fmt.Sprintf("as %s^%.2f", name, n.Fit.Exponent)
	case n.Fit.Shape != slopes.Linear && n.Fit.Shape != slopes.Flat:
		return "no line holds"
	default:
		slope, apart, unit = n.Fit.Slope, n.Fit.Intercept, n.In
	}
	t := fmt.Sprintf("%s %s × %s %s", figure(slope), unit, sizeOf(n.Size), name)
	if math.Abs(apart) >= 0.005*math.Abs(slope*n.Size+apart) {
		sign := "+"
		if apart < 0 {
			sign = "−"
		}
		t += fmt.Sprintf(" %s %s", sign, figure(math.Abs(apart)))
	}
	return t
}

func (n *Need) limit() (most, ratio string) {
	if n.Most == nil {
		return "none stated", ""
	}
	most = figure(n.Most.Most) + " " + n.Most.Unit
	if n.Most.By != "operators" {
		most += " (" + n.Most.By + ")"
	}
	return most, figure(n.Ratio)
}

// known is how a need is known, and from which run.
func (n *Need) known() string {
	switch {
	case len(n.Sum) > 0:
		return n.Known + ": the sum of these"
	case n.Fit == nil && n.Figure != "":
		return fmt.Sprintf("%s [%s], of too few sizes for a slope", n.Known, n.letter)
	case n.Fit == nil:
		return n.Known + ": " + n.Why
	}
	t := fmt.Sprintf("%s [%s]", n.Known, n.letter)
	if n.Known == bySlope || n.Known == byNone {
		t = fmt.Sprintf("%s to %s [%s]", n.Known, sizeOf(n.Fit.LargestPoint().Size), n.letter)
	}
	if n.TimesIs != "" {
		t += "; " + n.TimesIs
	}
	return t
}

func (n *Need) what() string {
	if n.AfterRun != "" && n.Line.Run == n.AfterRun {
		return n.What + " (after)"
	}
	if n.Way != direct {
		return n.What + " (" + n.Way + ")"
	}
	return n.What
}

// other is what came after of a need, where it is another by more than a tenth.
func (n *Need) other() *Need {
	if n.After == nil || math.Abs(n.After.Value-n.Value) <= alike*math.Abs(n.Value) {
		return nil
	}
	return n.After
}

// tables gives the needs of each role: those that stand by themselves, or the parts of others.
func tables(needs []Need, parts bool) string {
	var b strings.Builder
	for _, role := range roles {
		t := newTable("", "need", "carried by", "slope × size + offset", "at the coming size", "limit", "ratio",
			"known by")
		any := false
		for i := range needs {
			n := &needs[i]
			if n.Role != role || n.Event != "" || n.If != "" || !n.There() || (n.Of != "") != parts {
				continue
			}
			any = true
			for ; n != nil; n = n.other() {
				most, ratio := n.limit()
				t.row(n.Resource, n.what(), n.Carried, n.sum(), figure(n.Value)+" "+n.Unit, most, ratio, n.known())
			}
		}
		if any {
			fmt.Fprintf(&b, "\n**%s**\n\n%s", role, t.String())
		}
	}
	return b.String()
}

func eventTable(needs []Need) string {
	t := newTable("when", "role", "what", "carried by", "need", "rules and bounds touched", "known by")
	for _, e := range events {
		for i := range needs {
			if needs[i].Event != e || !needs[i].There() {
				continue
			}
			for n := &needs[i]; n != nil; n = n.other() {
				need := figure(n.Value) + " " + n.Unit
				if most, ratio := n.limit(); n.Most != nil {
					need += fmt.Sprintf(" of %s: %s", most, ratio)
				}
				t.row(e, n.Role, n.what(), n.Carried, need, n.Touches, n.known())
			}
		}
	}
	return t.String()
}

func ifTable(needs []Need) string {
	t := newTable("only if", "role", "what", "need", "limit", "ratio", "known by")
	for i := range needs {
		if needs[i].If == "" || !needs[i].There() {
			continue
		}
		for n := &needs[i]; n != nil; n = n.other() {
			most, ratio := n.limit()
			t.row(n.If, n.Role, n.what(), figure(n.Value)+" "+n.Unit, most, ratio, n.known())
		}
	}
	return t.String()
}

func (s *Spec) ranking(needs []Need, refusals []Refusal) string {
	t := newTable("", "role", "need", "today", "limit", "ratio", "after")
	first := 0
	for _, r := range Refused(refusals) {
		i := slices.IndexFunc(s.Refusals, func(n Note) bool { return n.What == r.What })
		if r.Distribution != direct || i < 0 || !s.Refusals[i].Needed {
			continue
		}
		with := noRun
		for _, after := range refusals {
			switch {
			case after.Distribution != relay || after.What != r.What:
			case s.Refusals[i].After != "":
				with = s.Refusals[i].After
			case after.Most < after.Coming:
				with = whole(after.Most) + ", refused beyond"
			default:
				with = "taken"
			}
		}
		first++
		t.row(fmt.Sprint(first), r.Role, r.What, whole(r.Coming)+", refused", whole(r.Most)+" (program)",
			figure(r.Coming/r.Most), with)
	}
	for i, n := range Ranking(needs) {
		if n.Ratio < least {
			break
		}
		with := "as today"
		switch o := Instead(needs, n.Name); {
		case o != nil:
			with = o.after()
		case n.replaced(needs):
			with = noRun
		case n.After != nil:
			with = n.After.after()
		case n.Former:
			with = "gone"
		case n.Figure != "":
			with = n.AfterIs
		case len(n.Sum) > 0:
			with = noRun
		}
		most, ratio := n.limit()
		today := figure(n.Value) + " " + n.Unit
		if n.late() { // there was no such thing, or no run of it
			today, ratio, with = "-", "-", n.after()
		}
		t.row(fmt.Sprint(first+i+1), n.Role, n.What, today, most, ratio, with)
	}
	return t.String()
}

// after is a need in the column of what comes after.
func (n *Need) after() string {
	return fmt.Sprintf("%s (%s %s, %s)", figure(n.Ratio), figure(n.Value), n.Unit, n.Known)
}

// replaced tells whether a line takes this one's place, measured or not.
func (n *Need) replaced(needs []Need) bool {
	return slices.ContainsFunc(needs, func(o Need) bool { return o.Line.Instead == n.Name })
}

func (s *Spec) refused(all []Refusal, by []run) (string, error) {
	t := newTable("role", "what", "coming", "most", "times", "it says", "needed", "run")
	for _, r := range Refused(all) {
		if r.Distribution != direct {
			continue
		}
		letter := ""
		for _, x := range by {
			if x.name == r.Run && x.way == r.Distribution {
				letter = "[" + x.letter + "]"
			}
		}
		i := slices.IndexFunc(s.Refusals, func(n Note) bool { return n.What == r.What })
		if i < 0 {
			return "", fmt.Errorf("refusals: nothing is said of %q, which is refused", r.What)
		}
		n := s.Refusals[i]
		needed := "yes"
		if !n.Needed {
			needed = "no: " + n.Means
		} else if n.Means != "" {
			needed += ": " + n.Means
		}
		t.row(r.Role, r.What, whole(r.Coming), whole(r.Most), figure(r.Coming/r.Most), "`"+r.Says+"`", needed,
			letter)
	}
	return t.String(), nil
}

// shapes tells of the fits that are not plainly linear up to the largest size.
func shapes(needs []Need) string {
	t := newTable("figure", "sizes", "exponent (95%)", "a line holds until", "R²", "off the line by", "shape")
	seen, straight, bent := map[string]bool{}, 0, 0
	for i := range needs {
		n := &needs[i]
		if n.Fit == nil {
			continue
		}
		key := n.From + ": " + n.Figure
		if n.Way != direct {
			key += ", " + n.Way
		}
		if seen[key+n.Run] {
			continue
		}
		seen[key+n.Run] = true
		f := n.Fit
		if f.LinearUpTo == f.LargestPoint().Size && f.Shape != slopes.Superlinear {
			straight++
			continue
		}
		if n.Known == measured && f.Shape != slopes.Superlinear {
			bent++
			continue
		}
		holds := sizeOf(f.LinearUpTo)
		if f.LinearUpTo == f.LargestPoint().Size {
			holds += ", the largest"
		}
		t.row(key, fmt.Sprintf("%s to %s", sizeOf(f.Points[0].Size), sizeOf(f.LargestPoint().Size)),
			fmt.Sprintf("%.2f (%.2f to %.2f)", f.Exponent, f.ExponentLow, f.ExponentHigh), holds, fmt.Sprintf("%.3f", f.R2),
			fmt.Sprintf("%.0f%%", 100*f.MaxRelativeError), f.Shape.String())
	}
	return fmt.Sprintf("%s\nOf the other figures on this page %d go by one line up to their largest "+
		"size. %d do not, and were measured at the coming size, so that nothing rests on a line.\n",
		t.String(), straight, bent)
}

// run is one run that the page goes by.
type run struct{ letter, name, commit, way string }

// letters gives each run that is used its letter.
func letters(needs []Need, rows []Row, refusals []Refusal) (all []run) {
	used := map[string]bool{}
	var each []*Need
	for i := range needs {
		for n := &needs[i]; n != nil; n = n.After {
			each = append(each, n)
			used[n.Way+n.Run] = n.Figure != "" && n.There() || used[n.Way+n.Run]
		}
	}
	add := func(name, commit, way string) {
		for _, id := range []string{name, name + "@" + commit} {
			if !used[way+id] && !(way == trial && used[direct+id]) {
				continue
			}
			i := slices.IndexFunc(all, func(r run) bool { return r.name == id && r.way == way })
			switch {
			case i < 0:
				all = append(all, run{string(rune('a' + len(all))), id, commit, way})
			case !slices.Contains(strings.Split(all[i].commit, ", "), commit):
				all[i].commit += ", " + commit
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
	for _, n := range each {
		for _, r := range all {
			if r.name == n.Run && r.way == n.Way {
				n.letter = r.letter
			}
		}
	}
	return all
}

func runTable(all []run) string {
	t := newTable("", "run", "commit", "agreed rules are told")
	for _, r := range all {
		t.row(r.letter, r.name, r.commit, r.way)
	}
	return t.String()
}

// Fits tells of every figure that was measured at sizes enough, as a page of its own.
func Fits(within float64, rows []Row) (string, error) {
	type key struct{ run, role, figure, unit, way string }
	points := map[key][]slopes.Point{}
	var order []key
	for _, r := range rows {
		k := key{r.Run, r.Role, r.Figure, r.Unit, r.Distribution}
		if points[k] == nil {
			order = append(order, k)
		}
		points[k] = append(points[k], slopes.Point{Size: r.Size, Value: r.Value})
	}
	t := newTable("run", "role", "figure", "slope", "offset", "R²", "exponent (95%)", "a line holds until",
		"shape",
		"size: figure (residual)")
	few := 0
	for _, k := range order {
		f, err := slopes.Fit(points[k], within)
		if errors.Is(err, slopes.ErrTooFewSizes) {
			few++
			continue
		}
		if err != nil {
			return "", fmt.Errorf("%s, %s: %w", k.run, k.figure, err)
		}
		var at []string
		for i, p := range f.Points {
			at = append(at, fmt.Sprintf("%s: %s (%s)", sizeOf(p.Size), figure(p.Value), figure(f.Residuals[i])))
		}
		t.row(k.run, k.role, k.figure+", "+k.unit, figure(f.Slope), figure(f.Intercept), fmt.Sprintf("%.3f", f.R2),
			fmt.Sprintf("%.2f (%.2f to %.2f)", f.Exponent, f.ExponentLow, f.ExponentHigh), sizeOf(f.LinearUpTo), f.Shape.String(),
			strings.Join(at, "; "))
	}
	return fmt.Sprintf(`# Every measured figure over its sizes

Made by willowdeck-lab capacity from the tables beside this file;
docs/CAPACITY-gateway.md says what each column means.
%d figures have fewer than %d sizes and no fit.

`, few, slopes.MinSizes) + t.String(), nil
}
