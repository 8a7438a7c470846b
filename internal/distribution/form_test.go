package distribution

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"willowdeck/internal/ruleset"
	"willowdeck/internal/versioned"
)

func drawMark(t *rapid.T) versioned.VersionID {
	m := versioned.VersionID{Number: uint64(rapid.IntRange(0, 3).Draw(t, "number"))}
	if m.Number > 0 {
		copy(m.Digest[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "digest"))
	}
	return m
}

func drawDelta(t *rapid.T) *versioned.Delta {
	if rapid.Bool().Draw(t, "no delta") {
		return nil
	}
	d := &versioned.Delta{From: drawMark(t), To: drawMark(t)}
	for range rapid.IntRange(0, 4).Draw(t, "set") {
		d.Set = append(d.Set, versioned.Entry{Key: rapid.StringN(0, 9, 20).Draw(t, "key"),
			Value: rapid.SliceOfN(rapid.Byte(), 1, 600).Draw(t, "value")})
	}
	for range rapid.IntRange(0, 4).Draw(t, "drop") {
		d.Delete = append(d.Delete, rapid.StringN(0, 9, 20).Draw(t, "key"))
	}
	return d
}

// What is written is read as it was, the same gives the same bytes, and with one bit turned or a piece
// missing it is refused.
func TestMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ask := &Ask{Form: Form, Cluster: "c", From: rapid.StringN(0, 9, 20).Draw(t, "from"),
			Interest: ruleset.Interest{All: rapid.Bool().Draw(t, "all"), Name: "n", Around: 3},
			Step:     rapid.Uint64().Draw(t, "step"), Rules: drawMark(t), Pending: drawMark(t),
			Quiet: rapid.Bool().Draw(t, "quiet"), Index: rapid.Int64().Draw(t, "index"),
			Process: rapid.IntRange(0, 1<<22).Draw(t, "process"), Holds: rapid.Uint64().Draw(t, "holds")}
		for range rapid.IntRange(0, 100).Draw(t, "facts") {
			ask.Seen = append(ask.Seen, HostStep{Host: "host", Step: rapid.Uint64().Draw(t, "step")})
		}
		answer := &Answer{Form: Form, Cluster: "c", From: "f", Life: rapid.Uint64().Draw(t, "life"),
			Depth: rapid.IntRange(0, 9).Draw(t, "depth"), Step: rapid.Uint64().Draw(t, "step"),
			Settled: rapid.Bool().Draw(t, "settled"), Age: rapid.Float64Range(0, 1e6).Draw(t, "age"),
			Index: rapid.Int64().Draw(t, "index"), Rules: drawMark(t), Pending: drawMark(t),
			RulesDelta: drawDelta(t), PendingDelta: drawDelta(t), Busy: rapid.Float64Range(0, 1e4).Draw(t, "busy")}
		raw, err := ask.Bytes()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := ReadAsk(raw); err != nil || !reflect.DeepEqual(got, ask) {
			t.Fatalf("%v\n%+v\n%+v", err, got, ask)
		}
		more, err := answer.Bytes()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := ReadAnswer(more); err != nil || !reflect.DeepEqual(got, answer) {
			t.Fatalf("%v\n%+v\n%+v", err, got, answer)
		}
		if again, _ := answer.Bytes(); !bytes.Equal(again, more) {
			t.Fatal("the same gives other bytes")
		}
		at := rapid.IntRange(0, len(more)-1).Draw(t, "at")
		turned := bytes.Clone(more)
		turned[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if _, err := ReadAnswer(turned); err == nil {
			t.Fatalf("with a bit turned at %d of %d it is read", at, len(more))
		}
		if _, err := ReadAnswer(more[:at]); err == nil {
			t.Fatalf("%d of %d bytes are read", at, len(more))
		}
	})
}

func TestMessagesAreBounded(t *testing.T) {
	if _, err := ReadAsk(make([]byte, MostAsk+1)); !errors.Is(err, ErrLong) {
		t.Errorf("%v", err)
	}
	bomb, err := write(make([]byte, MostAnswer+1))
	if err != nil || len(bomb) > 1<<20 {
		t.Fatalf("%v, %d bytes", err, len(bomb))
	}
	if _, err := ReadAnswer(bomb); !errors.Is(err, ErrLong) {
		t.Errorf("%v", err)
	}
	many, err := write(&Answer{Form: Form, RulesDelta: &versioned.Delta{Delete: make([]string, mostEntries+1)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ReadAnswer(many); !errors.Is(err, ErrShape) {
		t.Errorf("%v", err)
	}
	for _, raw := range [][]byte{nil, {plain}, {9, 0, 0, 0, 0, 0}} {
		if _, err := ReadAnswer(raw); err == nil {
			t.Errorf("%v is read", raw)
		}
	}
	if raw, err := (&Answer{Age: math.NaN()}).Bytes(); err != nil {
		t.Fatal(err)
	} else if _, err := ReadAnswer(raw); !errors.Is(err, ErrShape) {
		t.Errorf("%v", err)
	}
}

// A later program may say more under the same form; it is passed over.
func TestMoreIsPassedOver(t *testing.T) {
	raw, err := write(map[int]any{1: Form, 2: "c", 3: "f", 8: 1.5, 99: "news"})
	if err != nil {
		t.Fatal(err)
	}
	if a, err := ReadAnswer(raw); err != nil || a.Age != 1.5 || a.Index != -1 {
		t.Errorf("%v %+v", err, a)
	}
}

func TestDiskCopies(t *testing.T) {
	s := state(t, 7, rules(300, 96))
	raw, err := StateBytes(s)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := ReadState(raw); err != nil || got.ID() != s.ID() {
		t.Errorf("%v", err)
	}
	if raw, err = StateBytes(nil); err != nil {
		t.Fatal(err)
	}
	if got, err := ReadState(raw); err != nil || got != nil {
		t.Errorf("%v %v", err, got)
	}
	part, err := write(versioned.Diff(s, state(t, 8, rules(300, 48))))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ReadState(part); err == nil {
		t.Error("a part is read")
	}
	d := versioned.FullDelta(s)
	d.Set = d.Set[1:]
	if raw, err = write(d); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadState(raw); !errors.Is(err, versioned.ErrDigestMismatch) {
		t.Errorf("%v", err)
	}
}

// Renewals are small, and versions are as long as they need to be.
func TestSizes(t *testing.T) {
	s := NewSource("region-0-relay-1", "fleet", Bounds{})
	v1, v2 := state(t, 41, rules(7900, 96)), state(t, 42, rules(7900, 48))
	size := func(a *Ask) (int, int) {
		r, err := s.Answer(a, 2000)
		if err != nil {
			t.Fatal(err)
		}
		x, err := a.Bytes()
		y, bad := r.Bytes()
		if err != nil || bad != nil {
			t.Fatal(err, bad)
		}
		return len(x), len(y)
	}
	for _, c := range []struct {
		name  string
		in    ruleset.Interest
		whole int
	}{{"a relay", ruleset.Interest{All: true}, 300000},
		{"a gatekeeper", ruleset.Interest{Name: "g77", Around: 20}, 2500},
		{"a gatekeeper with 250 on either side", ruleset.Interest{Name: "g777", Around: 250}, 12000},
		{"a host", ruleset.Interest{Host: "h77", Around: 20}, 2500}} {
		a := &Ask{Form: Form, Cluster: "fleet", From: "host-0077", Interest: c.in, Step: 80, Index: 123456,
			Process: 4321, Holds: 80, Number: 1 << 60}
		s.Offer(View{Step: 80, Begun: 1900, Rules: v1, Index: 123456})
		_, whole := size(a)
		a.Rules = ruleset.Select(v1, c.in).ID()
		ask, renewal := size(a)
		s.Offer(View{Step: 81, Begun: 1900, Rules: v2, Index: 123456})
		_, delta := size(a)
		s = NewSource("region-0-relay-1", "fleet", Bounds{})
		t.Logf("%s: %d bytes of a question, %d of a renewal, %d of a version of one plan, %d of a whole", c.name,
			ask, renewal, delta, whole)
		if ask > 120 || renewal > 120 || delta > 250 || whole > c.whole {
			t.Errorf("%s: too long", c.name)
		}
	}
}

// sealed makes a plain message of a body, with the checksum that it has to have.
func sealed(body []byte) []byte {
	out := append([]byte{plain}, body...)
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(out, castagnoli))
}

func FuzzReadAnswer(f *testing.F) {
	s := state(f, 1, rules(3, 96))
	raw, _ := (&Answer{Form: Form, Cluster: "c", Step: 2, Rules: s.ID(),
		RulesDelta: versioned.FullDelta(s)}).Bytes()
	f.Add(raw[1 : len(raw)-sumBytes])
	f.Fuzz(func(t *testing.T, body []byte) {
		raw := sealed(body)
		a, err := ReadAnswer(raw)
		if err != nil {
			return
		}
		fl := NewFollower(Config{Name: "f", Cluster: "c", Upstream: 1, Interest: ruleset.Interest{All: true}}, 0)
		fl.Clock(1000)
		fl.Heard(0, 1000, a)
		if v, ok := fl.View(); ok && (v.Rules.ID() != a.Rules || v.Pending.ID() != a.Pending ||
			versioned.New(v.Rules.ID().Number, versioned.FullDelta(v.Rules).Set).ID() != a.Rules) {
			t.Fatalf("%+v of %+v", v, a)
		}
	})
}

func FuzzReadAsk(f *testing.F) {
	raw, _ := (&Ask{Form: Form, Cluster: "c", From: "f", Seen: []HostStep{{Host: "h", Step: 1}}}).Bytes()
	f.Add(raw[1 : len(raw)-sumBytes])
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := ReadAsk(sealed(body))
		if err != nil {
			return
		}
		s := NewSource("s", "c", Bounds{})
		s.Offer(View{Step: 1, Rules: state(t, 1, rules(4, 96)), Index: -1})
		if r, err := s.Answer(a, 10); err == nil {
			if _, err := r.Bytes(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// A whole exchange without the network: what a hop costs those that ask and those that answer.
func BenchmarkRenewal(b *testing.B) {
	s := NewSource("zone-0-relay-1", "fleet", Bounds{})
	v := state(b, 41, rules(7900, 96))
	in := ruleset.Interest{Name: "g77", Around: 20}
	s.Offer(View{Step: 80, Begun: 1900, Rules: v, Index: 123456})
	a := &Ask{Form: Form, Cluster: "fleet", From: "host-0077", Interest: in, Step: 80, Index: 123456,
		Process: 4321, Holds: 80, Rules: ruleset.Select(v, in).ID(), Number: 1 << 60}
	raw, err := a.Bytes()
	if err != nil {
		b.Fatal(err)
	}
	f := NewFollower(Config{Name: "f", Cluster: "fleet", Upstream: 1, Interest: in}, 0)
	whole, err := s.Answer(&Ask{Form: Form, Cluster: "fleet", From: "f", Interest: in, Index: -1}, 1900)
	if err != nil {
		b.Fatal(err)
	}
	f.Clock(2000)
	f.Heard(0, 2000, whole)
	b.Run("answerer", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			q, err := ReadAsk(raw)
			if err != nil {
				b.Fatal(err)
			}
			r, err := s.Answer(q, 2000)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := r.Bytes(); err != nil {
				b.Fatal(err)
			}
		}
	})
	r, err := s.Answer(a, 2000)
	if err != nil {
		b.Fatal(err)
	}
	r.Number = 0
	back, err := r.Bytes()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("asker", func(b *testing.B) {
		b.ReportAllocs()
		now := 2000.0
		for b.Loop() {
			now += 0.001
			f.Clock(now)
			if _, err := a.Bytes(); err != nil {
				b.Fatal(err)
			}
			x, err := ReadAnswer(back)
			if err != nil {
				b.Fatal(err)
			}
			f.Heard(0, now, x)
		}
	})
}

// A version on its way through a relay that 564 hosts hang on: a part of each for all of them.
func BenchmarkVersion(b *testing.B) {
	for _, around := range []int{20, 250} {
		b.Run(fmt.Sprint(around), func(b *testing.B) { versionTo564(b, around) })
	}
}

func versionTo564(b *testing.B, around int) {
	from, to := state(b, 41, rules(7900, 96)), state(b, 42, rules(7900, 48))
	var all []*Ask
	for i := range 564 {
		in := ruleset.Interest{Host: fmt.Sprint("h", i), Around: around}
		all = append(all, &Ask{Form: Form, Cluster: "fleet", From: in.Host, Interest: in, Index: -1,
			Rules: ruleset.Select(from, in).ID()})
	}
	for b.Loop() {
		b.StopTimer()
		s := NewSource("zone-0-relay-1", "fleet", Bounds{})
		s.Offer(View{Step: 80, Begun: 1900, Rules: from, Index: -1})
		for _, a := range all {
			if _, err := s.Answer(a, 1900); err != nil {
				b.Fatal(err)
			}
		}
		b.StartTimer()
		s.Offer(View{Step: 81, Begun: 1900, Rules: to, Index: -1})
		for _, a := range all {
			if r, err := s.Answer(a, 1900); err != nil || r.RulesDelta == nil || r.RulesDelta.From.IsNone() {
				b.Fatal(err, r)
			}
		}
	}
}
