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

const snapshotText = `{"index":41,"snapshot":true,"endpoints":[{"name":"a \"}{\n","address":"10.1.0.18:5000",` +
	`"zone":"z","type":"m2","group":3,"status":"active","weight":1.5,"since_ms":1200},{"name":"b",` +
	`"address":"10.1.0.19:5000","zone":"z","status":"leaving","weight":1e0,"since_ms":0}]}`

const changeText = `{"index":42,"snapshot":false,"endpoints":[{"name":"b","status":"left"}]}`

func indented(t *testing.T, text, indent string) string {
	t.Helper()
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(text), "", indent); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// readAll gives all that a stream tells, the empty lines among it, and why it ended.
func readAll(in io.Reader, maxBytes int) (lists []List, emptyLines int, err error) {
	stream := NewStream(in, Limits{maxBytes, maxBytes, 1000}, func(emptyLine bool) {
		if emptyLine {
			emptyLines++
		}
	})
	for {
		list, err := stream.Next()
		if err != nil {
			return lists, emptyLines, err
		}
		lists = append(lists, list)
	}
}

// Guards against a list that is laid out over several lines and read line by line: seen, nothing was told.
func TestStream(t *testing.T) {
	var want []List
	for _, raw := range []string{snapshotText, changeText} {
		list, err := Decode([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		want = append(want, list)
	}
	for _, tc := range []struct {
		name, text string
		emptyLines int
	}{
		{"one a line", snapshotText + "\n" + changeText + "\n", 0},
		{"indented", indented(t, snapshotText, "  ") + "\n" + indented(t, changeText, "\t") + "\n", 0},
		{"lines that end in CRLF", strings.ReplaceAll(indented(t, snapshotText, " ")+"\n"+changeText+"\n", "\n",
			"\r\n"), 0},
		{"both on a line", snapshotText + changeText, 0},
		{"both on a line, indented", indented(t, snapshotText, " ") + " " + indented(t, changeText, " "), 0},
		{"empty lines between", "\n" + snapshotText + "\n\n \r\n" + changeText + "\n\n", 4},
		{"empty lines inside", strings.ReplaceAll(snapshotText+"\n"+changeText, ",", ",\n\n\n"), 0},
	} {
		for reader, in := range map[string]io.Reader{"at once": strings.NewReader(tc.text),
			"byte by byte":          iotest.OneByteReader(strings.NewReader(tc.text)),
			"the end with the last": iotest.DataErrReader(strings.NewReader(tc.text))} {
			got, emptyLines, err := readAll(in, 1000)
			if err != io.EOF || emptyLines != tc.emptyLines || !reflect.DeepEqual(got, want) {
				t.Errorf("%s, %s: %d lists, %d empty lines (want %d), %v", tc.name, reader, len(got), emptyLines,
					tc.emptyLines, err)
			}
		}
	}
}

// A list that is cut anywhere, in a string or a number too, is none, and no nonsense either: what was told
// before it still holds. Guards against half a list that is gone by, and against asking for all each time.
func TestStreamTruncated(t *testing.T) {
	errBroken := errors.New("broken")
	for _, text := range []string{changeText, indented(t, changeText, "  ")} {
		for length := range len(text) {
			for _, endErr := range []error{io.EOF, errBroken} {
				in := io.MultiReader(strings.NewReader(snapshotText+"\n"+text[:length]), iotest.ErrReader(endErr))
				got, _, err := readAll(in, 1000)
				want := endErr
				if length > 0 && endErr == io.EOF {
					want = io.ErrUnexpectedEOF
				}
				if len(got) != 1 || !errors.Is(err, want) || errors.As(err, &MalformedError{}) {
					t.Errorf("cut after %q: %d lists, %v, want %v", text[:length], len(got), err, want)
				}
			}
		}
	}
}

// A sign of life is noticed as it comes, not with the next list. A list that begins is one, nothing inside it
// is, blank or not: one that is cut off, or trickles, would otherwise be waited for without end.
func TestStreamActivity(t *testing.T) {
	reader, writer := io.Pipe()
	activity := make(chan bool, 99)
	stream := NewStream(reader, Limits{1000, 1000, 1000}, func(empty bool) { activity <- empty })
	lists := make(chan List, 9)
	go func() {
		for {
			list, err := stream.Next()
			if err != nil {
				close(lists)
				return
			}
			lists <- list
		}
	}()
	drainActivity := func() (got string) {
		for len(activity) > 0 {
			got += fmt.Sprint(<-activity, " ")
		}
		return got
	}
	for i, step := range []struct{ text, want string }{{"\n", "true "}, {"\n", "true "}, {`{"index"`, "false "},
		{"\n", ""}, {" \r\n", ""}, {":", ""}, {"1}", ""}, {"\n", ""}, {"\n", "true "},
		{`{"index":2}` + "\n\n", "false true "}} {
		if _, err := writer.Write([]byte(step.text)); err != nil {
			t.Fatal(err)
		}
		_, _ = writer.Write(nil) // taken up only once the stream reads on
		if i == 6 || i == 9 {
			<-lists
		}
		if started := !stream.ListStarted().IsZero(); started != (i > 1 && i < 6) {
			t.Errorf("after %q: a list has begun and is not whole: %v", step.text, started)
		}
		if got := drainActivity(); got != step.want {
			t.Errorf("after %q: signs %q, want %q", step.text, got, step.want)
		}
	}
	writer.Close()
	if _, more := <-lists; more {
		t.Error("there is one more list")
	}
}

// What is no list, or too long, ends the stream, whatever was told before.
func TestStreamMalformed(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		malformed  bool
	}{
		{"no JSON", "not a list\n", true},
		{"another inside", `{"index":` + changeText, false},
		{"broken off and another", `{"index":4,` + changeText, true},
		{"another type", `{"index":"4"}`, true},
		{"a status of no sense", `{"index":4,"endpoints":[{"name":"a","status":"up"}]}`, true},
		{"too long", `{"index":4,"endpoints":[` + strings.Repeat(" ", 2000) + "]}", false},
	} {
		got, _, err := readAll(strings.NewReader(snapshotText+"\n"+tc.text), 1000)
		if len(got) != 1 || errors.As(err, &MalformedError{}) != tc.malformed ||
			errors.Is(err, ErrTooLong) != (tc.name == "too long") {
			t.Errorf("%s: %d lists, %v", tc.name, len(got), err)
		}
	}
	// The bound is each list's, not that of all together.
	got, _, err := readAll(strings.NewReader(strings.Repeat(changeText+"\n\n", 100)), len(changeText)+3)
	if len(got) != 100 {
		t.Errorf("%d of 100 lists, %v", len(got), err)
	}
}

// A list within its bounds is told, and one beyond any of them is not. Guards against a discovery that fills
// the memory, and against a bound on the text that a list of honest size meets.
func TestStreamLimits(t *testing.T) {
	entry := func(nameLength int) string {
		return `{"name":"` + strings.Repeat("n", nameLength) +
			`","status":"left"}`
	}
	list := func(extra string, entries ...string) string {
		return `{"index":4,` + extra + `"endpoints":[` + strings.Join(entries, ",") + "]}"
	}
	limits := Limits{ListBytes: 5000, ValueBytes: 1000, Workers: 5}
	for _, tc := range []struct {
		nameLength, text string
		accepted         bool
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
		stream := NewStream(strings.NewReader(snapshotText+"\n"+tc.text+"\n"+changeText), limits, func(bool) {})
		if _, err := stream.Next(); err != nil {
			t.Fatal(err)
		}
		list, err := stream.Next()
		if accepted := err == nil && list.Version == 4; accepted != tc.accepted || !accepted && (!errors.Is(err,
			ErrTooLong) ||
			errors.As(err, &MalformedError{})) {
			t.Errorf("%s: %d workers, %v", tc.nameLength, len(list.Workers), err)
		}
		if list, err := stream.Next(); tc.accepted && (err != nil || list.Version != 42) {
			t.Errorf("%s: the next list: %+v, %v", tc.nameLength, list, err)
		}
	}
}

// decodeAtOnce reads a list as it was read when its text was held and taken in one go.
func decodeAtOnce(raw []byte) (list List, err error) {
	var decoded listMessage
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return List{}, err
	}
	list = List{Version: decoded.Index, Snapshot: decoded.Snapshot}
	for i := range decoded.Endpoints {
		worker, err := new(decoder).toWorker(i, &decoded.Endpoints[i])
		if err != nil {
			return List{}, err
		}
		list.Workers = append(list.Workers, worker)
	}
	return list, nil
}

// What was a list is the same one, and what was none is none. Guards against texts that are read in another
// way now that they are read piece by piece. A text that has its workers twice, or is null, is left out.
func TestDecodeMatchesUnmarshal(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	unusual := []string{`{"index":1,"snapshot":null,"endpoints":null}`, `{}`, `{"INDEX":3,"Endpoints":[]}`, `[]`,
		`7`, `{"index":4,"x":{"endpoints":[{"name":"z"}],"index":9},"snapshot":true}`, `{"endpoints":[null]}`,
		`{"endpoints":{}}`, `{"index":1.5}`, `{"index":7,"endpoints":[[]]}`, snapshotText + changeText, ` ` +
			snapshotText + "\n",
		`{"endpoints":[{"name":"a","status":"left","address":7}]}`, `{"index":1,"index":2}`, `"a"`, `{"a":[}`}
	compared, accepted := 0, 0
	check := func(raw []byte) {
		want, wantErr := decodeAtOnce(raw)
		got, err := Decode(raw)
		if string(bytes.TrimSpace(raw)) == "null" || bytes.Count(bytes.ToLower(raw), []byte("endpoints")) > 1 &&
			wantErr == nil && bytes.Count(raw, []byte(`"x"`)) == 0 {
			return
		}
		if (err == nil) != (wantErr == nil) || got.Version != want.Version || got.Snapshot != want.Snapshot ||
			!slices.Equal(got.Workers, want.Workers) {
			t.Fatalf("%q: %+v, %v; was %+v, %v", raw, got, err, want, wantErr)
		}
		if compared++; err == nil {
			accepted++
		}
	}
	for _, text := range unusual {
		check([]byte(text))
	}
	for range 60000 {
		raw := []byte([]string{snapshotText, changeText, unusual[rng.Intn(len(unusual))]}[rng.Intn(3)])
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
	if accepted < 3000 || compared-accepted < 3000 {
		t.Errorf("%d lists of %d texts", accepted, compared)
	}
}

// snapshotOf is a whole list of so many workers, with a new line at its end.
func snapshotOf(n int) []byte {
	list := List{Version: 7, Snapshot: true}
	for i := range n {
		list.Workers = append(list.Workers, Worker{Name: fmt.Sprintf("worker-%06d", i),
			Zone: fmt.Sprint("zone-", i/7900),
			Cell: i / 38, Kind: fmt.Sprint("m", i%5), Weight: 1, Active: true,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 5000)})
	}
	encoded, err := Append(nil, list)
	if err != nil {
		panic(err)
	}
	return append(encoded, '\n')
}

// BenchmarkRead reads a whole list from a stream. Beside its time it gives the most that the heap's objects
// came to meanwhile, those not yet collected too, and what is kept.
func BenchmarkRead(b *testing.B) {
	const objects = "/memory/classes/heap/objects:bytes"
	heapBytes := func() float64 {
		samples := []metrics.Sample{{Name: objects}}
		metrics.Read(samples)
		return float64(samples[0].Value.Uint64())
	}
	for _, n := range []int{200, 2000, 6000, 20000, 60000, 110000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := snapshotOf(n)
			peakBytes, retained := 0.0, 0.0
			for range b.N {
				runtime.GC()
				before := heapBytes()
				done, peaks := make(chan struct{}), make(chan float64)
				go func() {
					peak := 0.0
					for tick := time.NewTicker(500 * time.Microsecond); ; {
						select {
						case <-done:
							tick.Stop()
							peaks <- max(peak, heapBytes())
							return
						case <-tick.C:
							peak = max(peak, heapBytes())
						}
					}
				}()
				list, err := newTestStream(bytes.NewReader(text)).Next()
				if err != nil || len(list.Workers) != n {
					b.Fatal(len(list.Workers), err)
				}
				close(done)
				peakBytes = max(peakBytes, <-peaks-before)
				runtime.GC()
				retained = heapBytes() - before
				runtime.KeepAlive(list)
			}
			b.ReportMetric(float64(len(text)), "text-B")
			b.ReportMetric(peakBytes/1e6, "peak-MB")
			b.ReportMetric(retained/1e6, "kept-MB")
		})
	}
}

func newTestStream(reader io.Reader) *Stream {
	return NewStream(reader, Limits{ListBytes: 32 << 20, ValueBytes: 16 << 10, Workers: 200000}, func(bool) {})
}
