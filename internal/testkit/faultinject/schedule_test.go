package faultinject

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"willowdeck/internal/testkit/history"
)

func init() { // the same draws each time; -rapid.seed gives others
	for key, v := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(key, v); err != nil {
			panic(err)
		}
	}
}

var cast = Cast{Ends: []string{"g0", "g1", "g2", "list"}, Processes: []string{"g0", "g1", "g2"},
	Disks: []string{"g0", "g2"}, Steps: 30}

// model is a Stage that keeps what is wrong, and says where it is asked for what makes no sense.
type model struct {
	cuts    map[link]Cut
	shapes  map[link]Shape
	down    map[string]bool
	stalled map[string]bool
	room    map[string]int64
	did     []string
	fails   string
}

func newModel() *model {
	return &model{cuts: map[link]Cut{}, shapes: map[link]Shape{}, down: map[string]bool{},
		stalled: map[string]bool{}, room: map[string]int64{}}
}

func (m *model) do(ok bool, f string, args ...any) error {
	what := fmt.Sprintf(f, args...)
	if m.did = append(m.did, what); !ok || what == m.fails {
		return errors.New("makes no sense")
	}
	return nil
}

func (m *model) Cut(a, b string, how Cut) error {
	m.cuts[link{a, b}] = how
	return m.do(how != Connected, "cut %s %s %v", a, b, how)
}

func (m *model) Heal(a, b string) error {
	was := m.cuts[link{a, b}]
	delete(m.cuts, link{a, b})
	return m.do(was != Connected, "heal %s %s", a, b)
}

func (m *model) Shape(a, b string, s Shape) error {
	was := m.shapes[link{a, b}]
	m.shapes[link{a, b}] = s
	return m.do(was != s, "shape %s %s %v", a, b, s)
}

func (m *model) set(of map[string]bool, name string, v bool, what string) error {
	was := of[name]
	of[name] = v
	return m.do(was != v, "%s %s", what, name)
}

func (m *model) Stall(name string) error {
	if m.down[name] {
		return errors.New("a dead process stalls")
	}
	return m.set(m.stalled, name, true, "stall")
}
func (m *model) Resume(name string) error { return m.set(m.stalled, name, false, "resume") }
func (m *model) Crash(name string) error {
	delete(m.stalled, name)
	return m.set(m.down, name, true, "crash")
}
func (m *model) Restart(name string) error { return m.set(m.down, name, false, "restart") }
func (m *model) Spoil(name string, d Damage) error {
	return m.do(m.down[name], "spoil %s %v", name, d)
}
func (m *model) Limit(name string, room int64) error {
	was := m.room[name]
	m.room[name] = room
	return m.do(was != room, "room %s %d", name, room)
}

// whole tells what is still wrong.
func (m *model) whole() (wrong []string) {
	for l := range m.cuts {
		wrong = append(wrong, fmt.Sprint(l))
	}
	for l, s := range m.shapes {
		if s != (Shape{}) {
			wrong = append(wrong, fmt.Sprint(l, s))
		}
	}
	for _, of := range []map[string]bool{m.down, m.stalled} {
		for name, is := range of {
			if is {
				wrong = append(wrong, name)
			}
		}
	}
	for name, room := range m.room {
		if room != 0 {
			wrong = append(wrong, name)
		}
	}
	return wrong
}

// at once has a player wait for nothing.
func atOnce(context.Context, int) error { return nil }

// record keeps what is written.
type record []history.Event

func (r *record) Write(e history.Event) { *r = append(*r, e) }

func drawn(t *rapid.T) Schedule {
	c := cast
	c.Steps = rapid.IntRange(0, 40).Draw(t, "steps")
	c.Kinds = rapid.SliceOfNDistinct(rapid.SampledFrom(kinds), 0, len(kinds), rapid.ID).Draw(t, "kinds")
	return Draw(rapid.Int64().Draw(t, "seed"), c, rapid.IntRange(100, 20000).Draw(t, "span"))
}

// A drawn schedule makes sense, names what was wanted, reads back as it was printed, and is played in the
// same order each time; no act is without sense where it comes, and at the end, or wherever the play is cut
// off, all is whole.
func TestDrawnSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawn(t)
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		back, err := Parse(s.String())
		if err != nil || back.String() != s.String() || !slices.EqualFunc(back.Steps, s.Steps,
			func(a, b Step) bool { return reflect.DeepEqual(a, b) }) {
			t.Fatalf("read back: %v\n%s\n%s", err, s, back)
		}
		var did []string
		for _, from := range []Schedule{s, back} {
			m, rec := newModel(), &record{}
			if err := (&Player{Stage: m, Record: rec, Wait: atOnce}).Play(t.Context(), from); err != nil {
				t.Fatalf("%v\n%s", err, s)
			}
			if wrong := m.whole(); len(wrong) > 0 {
				t.Fatalf("left over: %v\n%s", wrong, s)
			}
			if did != nil && !slices.Equal(did, m.did) {
				t.Fatalf("replayed otherwise:\n%v\n%v", did, m.did)
			}
			if did = m.did; len(*rec) != len(did) {
				t.Fatalf("%d of %d acts recorded", len(*rec), len(did))
			}
		}
		m, stop := newModel(), errors.New("cut off")
		until := rapid.IntRange(0, s.Span).Draw(t, "until")
		wait := func(_ context.Context, at int) error {
			if at > until {
				return stop
			}
			return nil
		}
		if err := (&Player{Stage: m, Wait: wait}).Play(t.Context(), s); err != nil && err.Error() != "cut off" {
			t.Fatal(err)
		}
		if wrong := m.whole(); len(wrong) > 0 {
			t.Fatalf("left over after %d: %v\n%s", until, wrong, s)
		}
	})
}

// Each kind is drawn where there is whom to name, and only those that are wanted.
func TestDrawsWhatIsWanted(t *testing.T) {
	count := func(c Cast) map[Kind]int {
		n := map[Kind]int{}
		for seed := range int64(20) {
			for _, step := range Draw(seed, c, 10000).Steps {
				n[step.What]++
			}
		}
		return n
	}
	if n := count(cast); len(n) != len(kinds) {
		t.Errorf("of %v there are %v", kinds, n)
	}
	one := Cast{Ends: []string{"a"}, Processes: []string{"p"}, Steps: 5}
	if n := count(one); len(n) != 2 || n[Stalls] == 0 || n[Crashes] == 0 {
		t.Errorf("one process without a disk, no links: %v", n)
	}
	if one.Kinds = []Kind{Cuts}; len(count(one)) > 0 {
		t.Errorf("cuts among one: %v", count(one))
	}
	if a, b := Draw(1, cast, 10000), Draw(2, cast, 10000); a.String() == b.String() {
		t.Error("two seeds, one schedule")
	}
}

// Steps overlap: the worst cut holds until both are over, a crash ends a stall that begins anew with the
// next life, a spoilt disk lies between two lives.
func TestOverlaps(t *testing.T) {
	s, err := Parse(`
seed = 1
span = 1000
ends = ["a", "b", "c"]
steps = [
  {at = 0, until = 300, what = "part", whom = ["a", "b"], how = "silent"},
  {at = 100, until = 200, what = "cut", whom = ["a", "b"], how = "reset"},
  {at = 250, until = 400, what = "split", whom = ["a"], how = "silent"},
  {at = 500, until = 800, what = "stall", whom = ["p"]},
  {at = 600, until = 700, what = "spoil", whom = ["p"], damage = {what = "torn", bytes = 17, seed = 3}},
  {at = 650, until = 900, what = "full", whom = ["p"], room = 4096},
  {at = 800, until = 900, what = "shape", whom = ["c", "b"], shape = {loss = 0.5, delay = "20ms"}},
]`)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, a := range s.Acts() {
		got = append(got, a.String())
	}
	want := `0 ms: cut a to b, silent
0 ms: cut b to a, silent
100 ms: cut a to b, reset
200 ms: cut a to b, silent
250 ms: cut a to c, silent
250 ms: cut c to a, silent
400 ms: heal a to b
400 ms: heal a to c
400 ms: heal b to a
400 ms: heal c to a
500 ms: stall p
600 ms: crash p
600 ms: spoil p, torn, 17 bytes, seed 3
650 ms: room p, 4096 bytes
700 ms: restart p
700 ms: stall p
800 ms: shape c to b, loss = 0.5, delay = "20ms"
800 ms: resume p
900 ms: shape c to b, plain
900 ms: room p, 0 bytes`
	if s := strings.Join(got, "\n"); s != want {
		t.Errorf("got\n%s", s)
	}
}

// What is wrong in a schedule is named.
func TestBadSchedules(t *testing.T) {
	for _, c := range []struct{ steps, want string }{
		{`{at = 5, until = 5, what = "stall", whom = ["p"]}`, "steps[0]: at 5, until 5"},
		{`{at = 5, until = 2000, what = "stall", whom = ["p"]}`, "span of 1000"},
		{`{at = 0, until = 5, what = "melt", whom = ["p"]}`, `"melt" is unknown`},
		{`{at = 0, until = 5, what = "cut", whom = ["a", "b"], how = "sideways"}`, `"sideways" is unknown`},
		{`{at = 0, until = 5, what = "cut", whom = ["a", "b"]}`, "how is missing"},
		{`{at = 0, until = 5, what = "cut", whom = ["a", "a"], how = "reset"}`, "twice"},
		{`{at = 0, until = 5, what = "cut", whom = ["a", "p"], how = "reset"}`, `"p" is no end`},
		{`{at = 0, until = 5, what = "split", whom = ["a", "b"], how = "reset"}`, "2 names for split"},
		{`{at = 0, until = 5, what = "shape", whom = ["a", "b"], shape = {loss = 1.5}}`, "chance of 1.5"},
		{`{at = 0, until = 5, what = "shape", whom = ["a", "b"], shape = {delay = "-1s"}}`, "below nought"},
		{`{at = 0, until = 5, what = "full", whom = ["p"]}`, "room: 0"},
		{`{at = 0, until = 5, what = "spoil", whom = ["p"], damage = {what = "wet"}}`, `"wet"`},
		{`{at = 0, until = 5, what = "stall", whom = ["p"], colour = 1}`, "colour: unknown key"},
		{`{at = 0`, "line 4"},
	} {
		_, err := Parse("seed = 1\nspan = 1000\nends = [\"a\", \"b\"]\nsteps = [" + c.steps + "]")
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.steps, err)
		}
	}
}

// An act that fails is told in the record and in the error, and the play goes on.
func TestPlayTellsFailures(t *testing.T) {
	s := Schedule{Span: 100, Steps: []Step{{At: 0, Until: 50, What: Stalls, Whom: []string{"p"}},
		{At: 10, Until: 60, What: Crashes, Whom: []string{"q"}}}}
	m, rec := newModel(), &record{}
	m.fails = "stall p"
	err := (&Player{Stage: m, Record: rec, Wait: atOnce}).Play(t.Context(), s)
	if err == nil || !strings.Contains(err.Error(), "0 ms: stall p") || len(m.did) != 4 {
		t.Errorf("%v, %v", err, m.did)
	}
	if (*rec)[0].Kind != history.Faults || !strings.Contains((*rec)[0].Says, "makes no sense") ||
		(*rec)[1].Says != "10 ms: crash q" {
		t.Errorf("%+v", *rec)
	}
}

// Of thirty steps, two of which together break something, the two are found, short and early; as many
// replays as are stated are made at most, and the same ones each time.
func TestShrink(t *testing.T) {
	for seed := range int64(10) {
		s := Draw(seed, cast, 10000)
		plant := []Step{{At: 5000, Until: 7000, What: Stalls, Whom: []string{"g1"}},
			{At: 4000, Until: 6000, What: Shapes, Whom: []string{"g0", "g1"}, Shape: Shape{Loss: 0.3, Rate: 9}}}
		for _, n := range []int{1, 2} {
			s := s
			s.Steps = append(slices.Clone(s.Steps[:28]), plant[:n]...)
			asked := 0
			breaks := func(s Schedule) bool { // a stall of 300 ms, while loss holds where there are two
				asked++
				for _, a := range s.Steps {
					if a.What != Stalls || a.Whom[0] != "g1" || a.Until-a.At < 300 {
						continue
					}
					if n == 1 {
						return true
					}
					for _, b := range s.Steps {
						if b.What == Shapes && b.Shape.Loss >= 0.3 && slices.Equal(b.Whom, plant[1].Whom) &&
							b.At <= a.At && b.Until >= a.At+300 {
							return true
						}
					}
				}
				return false
			}
			small := Shrink(s, breaks)
			if !breaks(small) || asked > maxReplays+1 {
				t.Fatalf("seed %d: after %d replays\n%s", seed, asked, small)
			}
			for _, step := range small.Steps {
				if long := step.Until - step.At; long >= 1000 || step.Shape.Rate != 0 {
					t.Errorf("seed %d: %s", seed, step)
				}
			}
			if len(small.Steps) != n || small.Steps[0].At != 0 || small.Span >= s.Span {
				t.Errorf("seed %d, planted %d:\n%s", seed, n, small)
			}
			if again := Shrink(s, breaks); again.String() != small.String() {
				t.Errorf("seed %d, another time:\n%s", seed, again)
			}
		}
	}
	s := Draw(1, cast, 10000)
	if got := Shrink(s, func(Schedule) bool { return false }); got.String() != s.String() {
		t.Error("what never breaks was made smaller")
	}
}

// A play keeps to its times, and ends when it is told to.
func TestPlayInTime(t *testing.T) {
	s := Schedule{Span: 400, Steps: []Step{{At: 50, Until: 250, What: Stalls, Whom: []string{"p"}}}}
	began := time.Now()
	if err := (&Player{Stage: newModel()}).Play(t.Context(), s); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took < 400*time.Millisecond || took > 5*time.Second {
		t.Errorf("took %v", took)
	}
	ctx, stop := context.WithTimeout(t.Context(), time.Second) // a loaded machine has the first act late
	defer stop()
	m := newModel()
	s.Span, s.Steps[0].Until = 60000, 59000
	if err := (&Player{Stage: m}).Play(ctx, s); !errors.Is(err, context.DeadlineExceeded) || len(m.did) != 2 {
		t.Errorf("%v, %v", err, m.did)
	}
}
