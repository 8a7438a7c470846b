package history

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// Record is what all have written, in the order of time.
type Record struct {
	Events []Event
	Files  int
	Torn   int // lines that a kill or a full disk has cut short, each the last of its life
}

// merge puts events in order: by time, at the same time by who and place.
func merge(events []Event) Record {
	slices.SortFunc(events, func(a, b Event) int {
		if c := cmp.Compare(a.At, b.At); c != 0 {
			return c
		}
		if c := cmp.Compare(a.Who, b.Who); c != 0 {
			return c
		}
		if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
			return c
		}
		return cmp.Compare(a.Seq, b.Seq)
	})
	return Record{Events: events}
}

// incarnation names one run of one process.
type incarnation struct {
	process string
	number  uint32
}

// Read reads all the records in a directory (files that end in .jsonl) and merges them. A line without its
// end is let pass where it is the last of a life, and counted. All else is an error that names the file and
// the line: what is no event, of no known kind or with an unknown key, a gap in the places of a life (a
// line is missing), a time that goes back, a life told of in two files.
func Read(dir string) (Record, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		return Record{}, fmt.Errorf("history: %w", err)
	}
	if len(paths) == 0 {
		return Record{}, fmt.Errorf("history: no record (*.jsonl) in %s", dir)
	}
	slices.Sort(paths)
	var events []Event
	torn, in := 0, map[incarnation]string{}
	for _, p := range paths {
		b, err := os.ReadFile(p)
		if err != nil {
			return Record{}, fmt.Errorf("history: %w", err)
		}
		var cut int
		if events, cut, err = readFile(events, b, p, in); err != nil {
			return Record{}, fmt.Errorf("history: %w", err)
		}
		torn += cut
	}
	r := merge(events)
	r.Files, r.Torn = len(paths), torn
	return r, nil
}

// readFile appends the events of one file.
func readFile(to []Event, content []byte, path string, in map[incarnation]string) ([]Event, int, error) {
	lines := bytes.Split(content, []byte{'\n'})
	complete := len(lines) - 1 // what follows the last line's end is empty or torn
	reader := fileReader{path: path, in: in, events: to}
	for i, line := range lines[:complete] {
		if err := reader.readLine(i, line); err != nil {
			return nil, 0, err
		}
	}
	if reader.tornErr != nil {
		reader.torn++ // the file's last line, which was ended before a life that wrote nothing
	}
	if len(lines[complete]) > 0 {
		reader.torn++ // even if it can be parsed: its writer was not told that it is written
	}
	return reader.events, reader.torn, nil
}

// fileReader reads the lines of one file in order.
type fileReader struct {
	path   string
	in     map[incarnation]string // the file of each incarnation that was read
	events []Event
	torn   int // lines that are cut short

	current incarnation
	last    Event // of the current incarnation
	tornAt  int   // index of a line that is cut short, until the next line shows whether it may be
	tornErr error // of that line; nil where there is none
}

// readLine reads the line with an index.
func (f *fileReader) readLine(index int, line []byte) error {
	var event Event
	if err := parse(line, &event); err != nil {
		return f.handleInvalid(index, err)
	}
	here := incarnation{event.Who, event.Incarnation}
	if f.tornErr != nil {
		if index != f.tornAt+1 || here == f.current || event.Seq != 1 {
			return f.tornErr
		}
		f.torn++
		f.tornErr = nil
	}
	if here != f.current {
		if at, known := f.in[here]; known {
			return f.errorf(index, "%s's life %d is told of in %s too, or anew", event.Who, event.Incarnation, at)
		}
		f.in[here] = f.path
		f.current, f.last = here, Event{}
	}
	if err := f.checkOrder(index, &event); err != nil {
		return err
	}
	f.last = event
	f.events = append(f.events, event)
	return nil
}

// handleInvalid notes a line that is cut short. Any other line that cannot be parsed is an error.
func (f *fileReader) handleInvalid(index int, err error) error {
	if f.tornErr != nil {
		return f.tornErr
	}
	if !errors.Is(err, errCut) {
		return f.errorf(index, "%w", err)
	}
	f.tornAt, f.tornErr = index, f.errorf(index, "cut short, and not the last of its life: %w", err)
	return nil
}

// checkOrder checks that an event follows the last one of its incarnation.
func (f *fileReader) checkOrder(index int, event *Event) error {
	switch {
	case event.Seq != f.last.Seq+1:
		return f.errorf(index, "place %d of %s's life %d follows %d: lines are missing", event.Seq, event.Who,
			event.Incarnation, f.last.Seq)
	case event.At < f.last.At:
		return f.errorf(index, "time goes back, from %d to %d", f.last.At, event.At)
	}
	return nil
}

// errorf returns an error that names the file and the line.
func (f *fileReader) errorf(index int, format string, arguments ...any) error {
	return fmt.Errorf("%s: line %d: %w", f.path, index+1, fmt.Errorf(format, arguments...))
}

var errCut = errors.New("a line without its end")

// parse reads one line.
func parse(line []byte, e *Event) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	switch err := d.Decode(e); {
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
		return errCut
	case err != nil:
		return err
	case d.InputOffset() != int64(len(line)):
		return errors.New("more than one event in a line")
	case !kinds[e.Kind]:
		return fmt.Errorf("no such kind: %q", e.Kind)
	case e.Who == "":
		return errors.New("who is missing")
	}
	return nil
}
