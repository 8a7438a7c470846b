package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/netip"
	"reflect"
	"runtime"
	"runtime/metrics"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

const first = `{"index":41,"snapshot":true,"endpoints":[{"name":"a \"}{\n","address":"10.1.0.18:5000",` +
	`"zone":"z","type":"m2","group":3,"status":"active","weight":1.5,"since_ms":1200},{"name":"b",` +
	`"address":"10.1.0.19:5000","zone":"z","status":"leaving","weight":1e0,"since_ms":0}]}`

const second = `{"index":42,"snapshot":false,"endpoints":[{"name":"b","status":"left"}]}`

func indented(t *testing.T, list, with string) string {
	t.Helper()
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(list), "", with); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// read gives all that a stream tells, the empty lines among it, and why it ended.
func read(in io.Reader, longest int) (lists []List, empty int, err error) {
	s := NewStream(in, Bounds{longest, longest, 1000}, func(blank bool) {
		if blank {
			empty++
		}
	})
	for {
		l, err := s.Next()
		if err != nil {
			return lists, empty, err
		}
		lists = append(lists, l)
	}
}

// Guards against a list that is laid out over several lines and read line by line: seen, nothing was told.
func TestStream(t *testing.T) {
	var want []List
	for _, raw := range []string{first, second} {
		l, err := Decode([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		want = append(want, l)
	}
	for _, c := range []struct {
		name, text string
		empty      int
	}{
		{"one a line", first + "\n" + second + "\n", 0},
		{"indented", indented(t, first, "  ") + "\n" + indented(t, second, "\t") + "\n", 0},
		{"lines that end in CRLF", strings.ReplaceAll(indented(t, first, " ")+"\n"+second+"\n", "\n", "\r\n"), 0},
		{"both on a line", first + second, 0},
		{"both on a line, indented", indented(t, first, " ") + " " + indented(t, second, " "), 0},
		{"empty lines between", "\n" + first + "\n\n \r\n" + second + "\n\n", 4},
		{"empty lines inside", strings.ReplaceAll(first+"\n"+second, ",", ",\n\n\n"), 0},
	} {
		for how, in := range map[string]io.Reader{"at once": strings.NewReader(c.text),
			"byte by byte":          iotest.OneByteReader(strings.NewReader(c.text)),
			"the end with the last": iotest.DataErrReader(strings.NewReader(c.text))} {
			got, empty, err := read(in, 1000)
			if err != io.EOF || empty != c.empty || !reflect.DeepEqual(got, want) {
				t.Errorf("%s, %s: %d lists, %d empty lines (want %d), %v", c.name, how, len(got), empty, c.empty, err)
			}
		}
	}
}

// A list that is cut anywhere, in a string or a number too, is none, and no nonsense either: what was told
// before it still holds. Guards against half a list that is gone by, and against asking for all each time.
func TestStreamCut(t *testing.T) {
	broken := errors.New("broken")
	for _, text := range []string{second, indented(t, second, "  ")} {
		for n := range len(text) {
			for _, end := range []error{io.EOF, broken} {
				in := io.MultiReader(strings.NewReader(first+"\n"+text[:n]), iotest.ErrReader(end))
				got, _, err := read(in, 1000)
				want := end
				if n > 0 && end == io.EOF {
					want = io.ErrUnexpectedEOF
				}
				if len(got) != 1 || !errors.Is(err, want) || errors.As(err, &Nonsense{}) {
					t.Errorf("cut after %q: %d lists, %v, want %v", text[:n], len(got), err, want)
				}
			}
		}
	}
}

// A sign of life is noticed as it comes, not with the next list. A list that begins is one, nothing inside it
// is, blank or not: one that is cut off, or trickles, would otherwise be waited for without end.
func TestStreamSigns(t *testing.T) {
	out, in := io.Pipe()
	signs := make(chan bool, 99)
	s := NewStream(out, Bounds{1000, 1000, 1000}, func(empty bool) { signs <- empty })
	lists := make(chan List, 9)
	go func() {
		for {
			l, err := s.Next()
			if err != nil {
				close(lists)
				return
			}
			lists <- l
		}
	}()
	heard := func() (got string) {
		for len(signs) > 0 {
			got += fmt.Sprint(<-signs, " ")
		}
		return got
	}
	for i, step := range []struct{ say, want string }{{"\n", "true "}, {"\n", "true "}, {`{"index"`, "false "},
		{"\n", ""}, {" \r\n", ""}, {":", ""}, {"1}", ""}, {"\n", ""}, {"\n", "true "},
		{`{"index":2}` + "\n\n", "false true "}} {
		if _, err := in.Write([]byte(step.say)); err != nil {
			t.Fatal(err)
		}
		_, _ = in.Write(nil) // taken up only once the stream reads on
		if i == 6 || i == 9 {
			<-lists
		}
		if began := !s.Began().IsZero(); began != (i > 1 && i < 6) {
			t.Errorf("after %q: a list has begun and is not whole: %v", step.say, began)
		}
		if got := heard(); got != step.want {
			t.Errorf("after %q: signs %q, want %q", step.say, got, step.want)
		}
	}
	in.Close()
	if _, more := <-lists; more {
		t.Error("there is one more list")
	}
}

// What is no list, or too long, ends the stream, whatever was told before.
func TestStreamNonsense(t *testing.T) {
	for _, c := range []struct {
		name, text string
		nonsense   bool
	}{
		{"no JSON", "not a list\n", true},
		{"another inside", `{"index":` + second, false},
		{"broken off and another", `{"index":4,` + second, true},
		{"another type", `{"index":"4"}`, true},
		{"a status of no sense", `{"index":4,"endpoints":[{"name":"a","status":"up"}]}`, true},
		{"too long", `{"index":4,"endpoints":[` + strings.Repeat(" ", 2000) + "]}", false},
	} {
		got, _, err := read(strings.NewReader(first+"\n"+c.text), 1000)
		if len(got) != 1 || errors.As(err, &Nonsense{}) != c.nonsense ||
			errors.Is(err, ErrTooLong) != (c.name == "too long") {
			t.Errorf("%s: %d lists, %v", c.name, len(got), err)
		}
	}
	// The bound is each list's, not that of all together.
	got, _, err := read(strings.NewReader(strings.Repeat(second+"\n\n", 100)), len(second)+3)
	if len(got) != 100 {
		t.Errorf("%d of 100 lists, %v", len(got), err)
	}
}

// A list within its bounds is told, and one beyond any of them is not. Guards against a discovery that fills
// the memory, and against a bound on the text that a list of honest size meets.
func TestStreamBounds(t *testing.T) {
	entry := func(name int) string { return `{"name":"` + strings.Repeat("n", name) + `","status":"left"}` }
	list := func(more string, entries ...string) string {
		return `{"index":4,` + more + `"endpoints":[` + strings.Join(entries, ",") + "]}"
	}
	of := Bounds{Bytes: 5000, Entry: 1000, Workers: 5}
	for _, c := range []struct {
		name, text string
		told       bool
	}{
		{"as many workers as may be", list("", entry(1), entry(2), entry(3), entry(4), entry(5)), true},
		{"one more", list("", entry(1), entry(2), entry(3), entry(4), entry(5), entry(6)), false},
		{"more bytes than an entry may have", list("", entry(900), entry(900), entry(900)), true},
		{"an entry too long", list("", entry(1), entry(1001)), false},
		{"one too long by what makes no sense", list("", `{"x":"`+strings.Repeat("x", 2000)+`"}`), false},
		{"another value that is long", list(`"x":"` + strings.Repeat("x", 900) + `",`), true},
		{"another value too long", list(`"x":"` + strings.Repeat("x", 1001) + `",`), false},
		{"another of many values", list(`"x":[` + strings.Repeat(`{"y":[1,2]},`, 200) + `0],`), true},
		{"a key too long", list(`"` + strings.Repeat("x", 1001) + `":1,`), false},
		{"blanks too long", list(strings.Repeat(" ", 1001)), false},
		{"blanks between lists", strings.Repeat("\n", 3000) + list(""), true},
		{"all too long", list("", entry(900), entry(900), entry(900), entry(900), entry(900), entry(1)), false},
	} {
		s := NewStream(strings.NewReader(first+"\n"+c.text+"\n"+second), of, func(bool) {})
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
		l, err := s.Next()
		if told := err == nil && l.Version == 4; told != c.told || !told && (!errors.Is(err, ErrTooLong) ||
			errors.As(err, &Nonsense{})) {
			t.Errorf("%s: %d workers, %v", c.name, len(l.Workers), err)
		}
		if l, err := s.Next(); c.told && (err != nil || l.Version != 42) {
			t.Errorf("%s: the next list: %+v, %v", c.name, l, err)
		}
	}
}

// wholeText reads a list as it was read when its text was held and taken in one go.
func wholeText(raw []byte) (l List, err error) {
	var m message
	if err := json.Unmarshal(raw, &m); err != nil {
		return List{}, err
	}
	l = List{Version: m.Index, Whole: m.Snapshot}
	for i := range m.Endpoints {
		w, err := new(reader).worker(i, &m.Endpoints[i])
		if err != nil {
			return List{}, err
		}
		l.Workers = append(l.Workers, w)
	}
	return l, nil
}

// What was a list is the same one, and what was none is none. Guards against texts that are read in another
// way now that they are read piece by piece. A text that has its workers twice, or is null, is left out.
func TestReadAsBefore(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	odd := []string{`{"index":1,"snapshot":null,"endpoints":null}`, `{}`, `{"INDEX":3,"Endpoints":[]}`, `[]`,
		`7`, `{"index":4,"x":{"endpoints":[{"name":"z"}],"index":9},"snapshot":true}`, `{"endpoints":[null]}`,
		`{"endpoints":{}}`, `{"index":1.5}`, `{"index":7,"endpoints":[[]]}`, first + second, ` ` + first + "\n",
		`{"endpoints":[{"name":"a","status":"left","address":7}]}`, `{"index":1,"index":2}`, `"a"`, `{"a":[}`}
	read, lists := 0, 0
	check := func(raw []byte) {
		want, wrong := wholeText(raw)
		got, err := Decode(raw)
		if string(bytes.TrimSpace(raw)) == "null" || bytes.Count(bytes.ToLower(raw), []byte("endpoints")) > 1 &&
			wrong == nil && bytes.Count(raw, []byte(`"x"`)) == 0 {
			return
		}
		if (err == nil) != (wrong == nil) || got.Version != want.Version || got.Whole != want.Whole ||
			!slices.Equal(got.Workers, want.Workers) {
			t.Fatalf("%q: %+v, %v; was %+v, %v", raw, got, err, want, wrong)
		}
		if read++; err == nil {
			lists++
		}
	}
	for _, text := range odd {
		check([]byte(text))
	}
	for range 60000 {
		raw := []byte([]string{first, second, odd[rng.Intn(len(odd))]}[rng.Intn(3)])
		for range 1 + rng.Intn(3) {
			switch i := rng.Intn(len(raw)); rng.Intn(3) {
			case 0:
				raw[i] = `{}[],:"0 ntx\`[rng.Intn(13)]
			case 1:
				raw = append(raw[:i:i], raw[i+1:]...)
			default:
				k := rng.Intn(len(raw))
				raw[i], raw[k] = raw[k], raw[i]
			}
			if len(raw) == 0 {
				break
			}
		}
		check(raw)
	}
	if lists < 3000 || read-lists < 3000 {
		t.Errorf("%d lists of %d texts", lists, read)
	}
}

// text is a whole list of so many workers, with a new line at its end.
func text(n int) []byte {
	l := List{Version: 7, Whole: true}
	for i := range n {
		l.Workers = append(l.Workers, Worker{Name: fmt.Sprintf("worker-%06d", i), Zone: fmt.Sprint("zone-", i/7900),
			Cell: i / 38, Kind: fmt.Sprint("m", i%5), Rating: 1, Active: true,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 5000)})
	}
	b, err := Append(nil, l)
	if err != nil {
		panic(err)
	}
	return append(b, '\n')
}

// BenchmarkRead reads a whole list from a stream. Beside its time it gives the most that the heap's objects
// came to meanwhile, those not yet collected too, and what is kept.
func BenchmarkRead(b *testing.B) {
	const objects = "/memory/classes/heap/objects:bytes"
	heap := func() float64 {
		s := []metrics.Sample{{Name: objects}}
		metrics.Read(s)
		return float64(s[0].Value.Uint64())
	}
	for _, n := range []int{200, 2000, 6000, 20000, 60000, 110000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			raw := text(n)
			most, kept := 0.0, 0.0
			for range b.N {
				runtime.GC()
				before := heap()
				done, over := make(chan struct{}), make(chan float64)
				go func() {
					peak := 0.0
					for tick := time.NewTicker(500 * time.Microsecond); ; {
						select {
						case <-done:
							tick.Stop()
							over <- max(peak, heap())
							return
						case <-tick.C:
							peak = max(peak, heap())
						}
					}
				}()
				l, err := streamOf(bytes.NewReader(raw)).Next()
				if err != nil || len(l.Workers) != n {
					b.Fatal(len(l.Workers), err)
				}
				close(done)
				most = max(most, <-over-before)
				runtime.GC()
				kept = heap() - before
				runtime.KeepAlive(l)
			}
			b.ReportMetric(float64(len(raw)), "text-B")
			b.ReportMetric(most/1e6, "peak-MB")
			b.ReportMetric(kept/1e6, "kept-MB")
		})
	}
}

func streamOf(in io.Reader) *Stream {
	return NewStream(in, Bounds{Bytes: 32 << 20, Entry: 16 << 10, Workers: 200000}, func(bool) {})
}
