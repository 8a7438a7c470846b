package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"runtime"
	"runtime/metrics"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// snapshotText and changeText are a list and a change to it as discovery sends them.
const snapshotText = `{"index":41,"snapshot":true,"endpoints":[{"name":"a \"}{\n",` +
	`"address":"10.1.0.18:5000","zone":"z","type":"m2","group":3,"status":"active","weight":1.5,` +
	`"since_ms":1200},{"name":"b",` +
	`"address":"10.1.0.19:5000","zone":"z","status":"leaving","weight":1e0,"since_ms":0}]}`

const changeText = `{"index":42,"snapshot":false,"endpoints":[{"name":"b","status":"left"}]}`

// indented lays JSON text out over lines.
func indented(t *testing.T, text, indent string) string {
	t.Helper()
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(text), "", indent); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// isBareEOF tells whether an error is io.EOF itself, as callers of Next may compare it, and no wrapped one.
func isBareEOF(err error) bool {
	return errors.Is(err, io.EOF) && errors.Unwrap(err) == nil && err.Error() == io.EOF.Error()
}

// readAll gives all lists of a stream, the number of blank lines between them, and the error at its end.
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

// Lists are read in any layout. Guards against a stream that is read line by line: a list that was indented
// over several lines was lost.
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
			if !isBareEOF(err) || emptyLines != tc.emptyLines || !reflect.DeepEqual(got, want) {
				t.Errorf("%s, %s: %d lists, %d empty lines (want %d), %v", tc.name, reader, len(got), emptyLines,
					tc.emptyLines, err)
			}
		}
	}
}

// A list that is truncated anywhere, also within a string or a number, is neither given nor malformed: the
// lists before it still hold. Guards against a partial list that is applied, and against a snapshot that is
// asked for after each broken connection.
func TestStreamTruncated(t *testing.T) {
	errBroken := errors.New("broken")
	for _, text := range []string{changeText, indented(t, changeText, "  ")} {
		for length := range len(text) {
			for _, endErr := range []error{io.EOF, errBroken} {
				in := io.MultiReader(strings.NewReader(snapshotText+"\n"+text[:length]), iotest.ErrReader(endErr))
				got, _, err := readAll(in, 1000)
				want := endErr
				if length > 0 && errors.Is(endErr, io.EOF) {
					want = io.ErrUnexpectedEOF
				}
				if len(got) != 1 || !errors.Is(err, want) || errors.As(err, &MalformedError{}) {
					t.Errorf("cut after %q: %d lists, %v, want %v", text[:length], len(got), err, want)
				}
			}
		}
	}
}

// Activity is reported as it is read, not with the next list. The beginning of a list is activity; nothing
// within it is, blank or not: a list that was cut off, or trickles, would otherwise be waited for without
// end.
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
			t.Errorf("after %q: within a list: %v", step.text, started)
		}
		if got := drainActivity(); got != step.want {
			t.Errorf("after %q: activity %q, want %q", step.text, got, step.want)
		}
	}
	writer.Close()
	if _, more := <-lists; more {
		t.Error("unexpected further list")
	}
}

// Text that is no list, or too long, ends the stream, whatever came before it.
func TestStreamMalformed(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		malformed  bool
	}{
		{"no JSON", "not a list\n", true},
		{"another inside", `{"index":` + changeText, false},
		{"broken off and another", `{"index":4,` + changeText, true},
		{"another type", `{"index":"4"}`, true},
		{"an unknown status", `{"index":4,"endpoints":[{"name":"a","status":"up"}]}`, true},
		{"too long", `{"index":4,"endpoints":[` + strings.Repeat(" ", 2000) + "]}", false},
	} {
		got, _, err := readAll(strings.NewReader(snapshotText+"\n"+tc.text), 1000)
		if len(got) != 1 || errors.As(err, &MalformedError{}) != tc.malformed ||
			errors.Is(err, ErrTooLong) != (tc.name == "too long") {
			t.Errorf("%s: %d lists, %v", tc.name, len(got), err)
		}
	}
	// The limit is each list's own, not that of all together.
	got, _, err := readAll(strings.NewReader(strings.Repeat(changeText+"\n\n", 100)), len(changeText)+3)
	if len(got) != 100 {
		t.Errorf("%d of 100 lists, %v", len(got), err)
	}
}

// A list within the limits is given, and one beyond any of them is not. Guards against a discovery that fills
// the memory, and against a limit on the text that a list of ordinary size meets.
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
		{"as many workers as allowed", list("", entry(1), entry(2), entry(3), entry(4), entry(5)), true},
		{"one more", list("", entry(1), entry(2), entry(3), entry(4), entry(5), entry(6)), false},
		{"more bytes than an entry may have", list("", entry(900), entry(900), entry(900)), true},
		{"an entry too long", list("", entry(1), entry(1001)), false},
		{"an entry too long by an unknown field", list("", `{"x":"`+strings.Repeat("x", 2000)+`"}`), false},
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

// snapshotOf is the text of a snapshot of n workers, with a newline at its end.
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

// BenchmarkRead reads one snapshot from a stream. Beside the time it reports by how much the heap's objects
// grew at most meanwhile, uncollected ones included, and how much of that the list retains.
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

// newTestStream reads with limits that none of the benchmarked lists meets.
func newTestStream(reader io.Reader) *Stream {
	return NewStream(reader, Limits{ListBytes: 32 << 20, ValueBytes: 16 << 10, Workers: 200000}, func(bool) {})
}
