package history

import (
	"errors"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"
)

// full is an event in which each field says something.
func full(t *testing.T) Event {
	t.Helper()
	e := Event{Kind: Got}
	v := reflect.ValueOf(&e).Elem()
	for i := range v.NumField() {
		switch f := v.Field(i); {
		case f.CanInt():
			f.SetInt(int64(i + 1))
		case f.CanUint():
			f.SetUint(uint64(i + 1))
		case f.CanFloat():
			f.SetFloat(float64(i) + 0.25)
		case f.Type() != reflect.TypeFor[Kind]():
			f.SetString("\"quoted\" and\nnew line " + v.Type().Field(i).Name)
		}
	}
	return e
}

// What is written is read again, each field of it: guards against one that the encoder forgets.
func TestWrittenAndRead(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(filepath.Join(dir, "a.jsonl"), "a", 3)
	if err != nil {
		t.Fatal(err)
	}
	want := full(t)
	l.Write(want)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := Read(dir)
	if err != nil || len(r.Events) != 3 {
		t.Fatalf("%v, %v", r, err)
	}
	got := r.Events[1]
	if now := Now(); got.At > now || now-got.At > int64(time.Minute) {
		t.Errorf("written at %d, now it is %d", got.At, now)
	}
	want.At, want.Who, want.Incarnation, want.Seq = got.At, "a", 3, 2
	if got != want {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if r.Events[0].Kind != Began || r.Events[2].Kind != Gone {
		t.Errorf("it begins with %q and ends with %q", r.Events[0].Kind, r.Events[2].Kind)
	}
}

// What Write has returned from outlives SIGKILL: guards against a buffer in the process.
func TestOutlivesKill(t *testing.T) {
	if dir := os.Getenv("HISTORY_CHILD"); dir != "" {
		l, err := Open(filepath.Join(dir, "child.jsonl"), "child", 1)
		if err != nil {
			t.Fatal(err)
		}
		for range 999 {
			l.Write(Event{Kind: Received, Peer: "x"})
		}
		p, _ := os.FindProcess(os.Getpid())
		_ = p.Kill()
		select {}
	}
	dir := t.TempDir()
	c := exec.Command(os.Args[0], "-test.run=^TestOutlivesKill$")
	c.Env = append(os.Environ(), "HISTORY_CHILD="+dir)
	if err := c.Run(); err == nil {
		t.Fatal("it was not killed")
	}
	r, err := Read(dir)
	if err != nil || len(r.Events) != 1000 {
		t.Fatalf("%d events, %v", len(r.Events), err)
	}
}

// Many writers at once: each line whole, places without a gap, time in the same order (Read checks it).
func TestConcurrent(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(filepath.Join(dir, "a.jsonl"), "a", 1)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 250 {
				l.Write(Event{Kind: Sends, Txn: "some txn", Units: 1.5})
			}
		})
	}
	wg.Wait()
	if r, err := Read(dir); err != nil || len(r.Events) != 2001 {
		t.Fatalf("%d events, %v", len(r.Events), err)
	}
}

// A nil log and what is not there cost nothing and break nothing.
func TestNil(t *testing.T) {
	var l *Log
	l.Write(Event{})
	if n, err := l.Lost(); n != 0 || err != nil || l.Close() != nil {
		t.Error(n, err)
	}
}

// partly is a disk that takes only some bytes of the writes it is told to spoil.
type partly struct {
	to    *os.File
	calls int
	takes map[int]int // by call, from 1: bytes; then it is full
}

func (p *partly) Write(b []byte) (int, error) {
	p.calls++
	if n, spoilt := p.takes[p.calls]; spoilt {
		n, _ = p.to.Write(b[:min(n, len(b))])
		return n, errors.New("no space left")
	}
	return p.to.Write(b)
}

// An event that cannot be written is counted and told once, the lines after it are whole, and the reader
// finds the gap: guards against losing one silently.
func TestLost(t *testing.T) {
	for name, takes := range map[string]map[int]int{"nothing": {1: 0}, "a part": {1: 7}, "twice": {1: 7, 2: 5},
		"the line's end alone": {1: 7, 2: 1, 3: 0}} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			l, err := Open(filepath.Join(dir, "a.jsonl"), "a", 1)
			if err != nil {
				t.Fatal(err)
			}
			told := 0
			l.Tell = func(error) { told++ }
			l.out = &partly{to: l.file, takes: takes}
			for range 5 {
				l.Write(Event{Kind: Received})
			}
			if n, err := l.Lost(); n != int64(len(takes)) || told != 1 || err == nil {
				t.Errorf("%d lost, told %d times: %v", n, told, err)
			}
			if err := l.Close(); err == nil || !strings.Contains(err.Error(), "lost") {
				t.Errorf("closed with %v", err)
			}
			_, err = Read(dir)
			if err == nil || !strings.Contains(err.Error(), "a.jsonl: line 2") {
				t.Errorf("read with %v", err)
			}
			b, _ := os.ReadFile(filepath.Join(dir, "a.jsonl"))
			if n := strings.Count(string(b), `"heard"}`+"\n"); n != 5-len(takes) {
				t.Errorf("%d whole lines of\n%s", n, b)
			}
		})
	}
	l, err := Open(filepath.Join(t.TempDir(), "a.jsonl"), "a", 1)
	if err != nil {
		t.Fatal(err)
	}
	l.Tell = func(error) {}
	l.Write(Event{Kind: Lends, Units: math.NaN()})
	if n, _ := l.Lost(); n != 1 {
		t.Error("units that are no number are not counted")
	}
}

// What the reader lets pass, and what it refuses with file and line.
func TestRead(t *testing.T) {
	line := func(who, life, seq, at string) string {
		return `{"at":` + at + `,"who":"` + who + `","life":` + life + `,"seq":` + seq + `,"kind":"heard"}` + "\n"
	}
	a1, a2, a3 := line("a", "1", "1", "10"), line("a", "1", "2", "20"), line("a", "1", "3", "30")
	b1, b2 := line("b", "1", "1", "15"), line("b", "1", "2", "20")
	cut := `{"at":25,"who":"a","li`
	cases := []struct {
		name   string
		files  []string
		events int
		torn   int
		wrong  string
	}{
		{"two files", []string{a1 + a2 + a3, b1 + b2}, 5, 0, ""},
		{"torn at the end", []string{a1 + a2 + cut, b1}, 3, 1, ""},
		{"whole but for its end", []string{a1 + a2[:len(a2)-1]}, 1, 1, ""},
		{"torn before the next life", []string{a1 + a2 + cut + "\n" + line("a", "2", "1", "30")}, 3, 1, ""},
		{"torn in the midst of a life", []string{a1 + cut + "\n" + a2}, 0, 0, "0.jsonl: line 2: cut short"},
		{"torn twice", []string{a1 + cut + "\n" + cut + "\n" + line("a", "2", "1", "30")}, 0, 0, "line 2: cut"},
		{"a missing line", []string{b1, a1 + a3}, 0, 0, "1.jsonl: line 2: place 3 of a's life 1 follows 1"},
		{"a missing first line", []string{a2}, 0, 0, "line 1: place 2"},
		{"the same line twice", []string{a1 + a1}, 0, 0, "line 2: place 1"},
		{"time goes back", []string{a1 + line("a", "1", "2", "9")}, 0, 0, "line 2: time goes back"},
		{"one life in two files", []string{a1, a1}, 0, 0, "1.jsonl: line 1: a's life 1 is told of in"},
		{"lives mixed", []string{a1 + b1 + a2}, 0, 0, "line 3: a's life 1"},
		{"no kind", []string{`{"at":1,"who":"a","seq":1,"kind":"hears"}` + "\n"}, 0, 0, `no such kind: "hears"`},
		{"unknown key", []string{`{"at":1,"who":"a","seq":1,"kind":"heard","unit":1}` + "\n"}, 0, 0, `"unit"`},
		{"no JSON", []string{a1 + "heard\n"}, 0, 0, "line 2: invalid character"},
		{"two in a line", []string{a1[:len(a1)-1] + a2}, 0, 0, "line 1: more than one"},
		{"nobody", []string{`{"at":1,"seq":1,"kind":"heard"}` + "\n"}, 0, 0, "line 1: who"},
		{"nothing", nil, 0, 0, "no record"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			for i, s := range c.files {
				if err := os.WriteFile(filepath.Join(dir, string(rune('0'+i))+".jsonl"), []byte(s), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			r, err := Read(dir)
			if c.wrong != "" {
				if err == nil || !strings.Contains(err.Error(), c.wrong) {
					t.Fatalf("want %q, got %v", c.wrong, err)
				}
				return
			}
			if err != nil || len(r.Events) != c.events || r.Torn != c.torn {
				t.Fatalf("%d events, %d torn, %v", len(r.Events), r.Torn, err)
			}
			for i, e := range r.Events[1:] {
				if o := r.Events[i]; e.At < o.At || e.At == o.At && e.Who < o.Who {
					t.Errorf("%v after %v", e, o)
				}
			}
		})
	}
}

// A process that is killed while it writes leaves a line without its end; the next life in the same file
// ends it.
func TestNextLife(t *testing.T) {
	dir := t.TempDir()
	p := filepath.Join(dir, "a.jsonl")
	for n := range uint32(3) {
		l, err := Open(p, "a", n+1)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := l.file.WriteString(`{"at":1`); err != nil { // and no Close: it was killed
			t.Fatal(err)
		}
	}
	if r, err := Read(dir); err != nil || len(r.Events) != 3 || r.Torn != 3 {
		t.Fatalf("%+v, %v", r, err)
	}
}

func BenchmarkWrite(b *testing.B) {
	l, err := Open(filepath.Join(b.TempDir(), "a.jsonl"), "gatekeeper-017", 1)
	if err != nil {
		b.Fatal(err)
	}
	e := Event{Kind: Sends, Version: 12, Txn: "0123456789abcdef", Customer: 4711, Worker: "10.1.2.3:8080",
		Units: 1.5, Serial: 1}
	b.ReportAllocs()
	for b.Loop() {
		l.Write(e)
	}
}

func BenchmarkNil(b *testing.B) {
	var r Recorder
	b.ReportAllocs()
	for b.Loop() {
		if r != nil {
			r.Write(Event{Kind: Sends})
		}
	}
}
