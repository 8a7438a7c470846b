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
func readFile(to []Event, b []byte, path string, in map[incarnation]string) ([]Event, int, error) {
	lines := bytes.Split(b, []byte{'\n'})
	whole := len(lines) - 1 // what follows the last line's end is empty or torn
	torn, tornAt, tornErr := 0, 0, error(nil)
	var now incarnation
	var last Event
	for i, line := range lines {
		if i == whole && len(line) == 0 {
			break
		}
		var e Event
		err := parse(line, &e)
		if i == whole {
			torn++ // even if it can be read: its writer was not told that it is written
			break
		}
		wrong := func(format string, args ...any) error {
			return fmt.Errorf("%s: line %d: %w", path, i+1, fmt.Errorf(format, args...))
		}
		if err != nil {
			if tornErr != nil {
				return nil, 0, tornErr
			}
			if !errors.Is(err, errCut) {
				return nil, 0, wrong("%w", err)
			}
			tornAt, tornErr = i, wrong("cut short, and not the last of its life: %w", err)
			continue
		}
		here := incarnation{e.Who, e.Incarnation}
		if tornErr != nil {
			if i != tornAt+1 || here == now || e.Seq != 1 {
				return nil, 0, tornErr
			}
			torn, tornErr = torn+1, nil
		}
		if here != now {
			if at, known := in[here]; known {
				return nil, 0, wrong("%s's life %d is told of in %s too, or anew", e.Who, e.Incarnation, at)
			}
			in[here], now, last = path, here, Event{}
		}
		switch {
		case e.Seq != last.Seq+1:
			return nil, 0, wrong("place %d of %s's life %d follows %d: lines are missing", e.Seq, e.Who, e.Incarnation,
				last.Seq)
		case e.At < last.At:
			return nil, 0, wrong("time goes back, from %d to %d", last.At, e.At)
		}
		last = e
		to = append(to, e)
	}
	if tornErr != nil {
		torn++ // the file's last line, which was ended before a life that wrote nothing
	}
	return to, torn, nil
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
