package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"strings"
)

// maxInternedNames is how many names of zones and kinds a decoder keeps to share their memory.
const maxInternedNames = 1000

// Decode reads one JSON object. Of text that is no valid list it gives an error and nothing else.
func Decode(text []byte) (List, error) {
	d := decoder{tokens: json.NewDecoder(bytes.NewReader(text)), maxWorkers: math.MaxInt}
	list, err := d.readList()
	if err == nil {
		if _, err = d.tokens.Token(); errors.Is(err, io.EOF) {
			return list, nil
		} else if err == nil {
			err = errors.New("more than one")
		}
	}
	return List{}, fmt.Errorf("list of workers: %w", err)
}

// decoder reads lists one entry at a time, so that it holds no more of their text than one entry.
type decoder struct {
	tokens     *json.Decoder
	maxWorkers int               // of one list
	interned   map[string]string // names of zones and kinds, which repeat
}

// invalidListError reports well-formed JSON that is no valid list.
type invalidListError struct{ error }

// isInvalidList tells whether an error leaves the JSON itself readable.
func isInvalidList(err error) bool {
	return errors.As(err, new(*json.UnmarshalTypeError)) || errors.As(err, new(invalidListError))
}

// readList reads one list. Well-formed JSON that is no valid list is read to its end before the error is
// given, so that text that was cut off is always reported as such (io.ErrUnexpectedEOF).
func (d *decoder) readList() (list List, err error) {
	var invalid error // the first one
	recordInvalid := func(err error) error {
		if err == nil || !isInvalidList(err) {
			return err
		}
		if invalid == nil {
			invalid = err
		}
		return nil
	}
	begin, err := d.tokens.Token()
	if err != nil {
		return List{}, err
	}
	if begin != json.Delim('{') {
		invalid = errors.New("no object")
		err = d.skipRest(begin)
	}
	for invalid == nil && err == nil && d.tokens.More() {
		err = d.readField(&list, recordInvalid)
	}
	for depth := 1; begin == json.Delim('{') && depth > 0 && err == nil; {
		depth, err = d.nextDepth(depth)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		err = invalid
	}
	if err != nil {
		return List{}, err
	}
	return list, nil
}

// readField reads one field of a list's object, its key included.
func (d *decoder) readField(list *List, recordInvalid func(error) error) error {
	key, err := d.tokens.Token()
	if err != nil {
		return err
	}
	switch name, _ := key.(string); {
	case strings.EqualFold(name, "index"):
		return recordInvalid(d.tokens.Decode(&list.Version))
	case strings.EqualFold(name, "snapshot"):
		return recordInvalid(d.tokens.Decode(&list.Snapshot))
	case strings.EqualFold(name, "endpoints"):
		return d.readWorkers(list, recordInvalid)
	}
	return d.skipValue()
}

// readWorkers reads the array of a list's workers.
func (d *decoder) readWorkers(list *List, recordInvalid func(error) error) error {
	list.Workers = list.Workers[:0]
	begin, err := d.tokens.Token()
	if err != nil || begin == nil {
		return err
	}
	if begin != json.Delim('[') {
		if err = d.skipRest(begin); err != nil {
			return err
		}
		return recordInvalid(invalidListError{errors.New("endpoints: no list")})
	}
	for i := 0; d.tokens.More(); i++ {
		var entry listEntry
		err := d.tokens.Decode(&entry)
		if err == nil {
			if len(list.Workers) == d.maxWorkers {
				return ErrTooLong
			}
			var worker Worker
			if worker, err = d.toWorker(i, &entry); err == nil {
				list.Workers = append(list.Workers, worker)
			}
		}
		if err = recordInvalid(err); err != nil {
			return err
		}
	}
	_, err = d.tokens.Token()
	return err
}

// skipValue reads past a value of which nothing has been read.
func (d *decoder) skipValue() error {
	begin, err := d.tokens.Token()
	if err != nil {
		return err
	}
	return d.skipRest(begin)
}

// skipRest reads past the rest of a value whose first token has been read.
func (d *decoder) skipRest(begin json.Token) (err error) {
	depth := 0
	if begin == json.Delim('{') || begin == json.Delim('[') {
		depth = 1
	}
	for depth > 0 && err == nil {
		depth, err = d.nextDepth(depth)
	}
	return err
}

// nextDepth reads a token and gives the nesting depth behind it.
func (d *decoder) nextDepth(depth int) (int, error) {
	token, err := d.tokens.Token()
	switch token {
	case json.Delim('{'), json.Delim('['):
		depth++
	case json.Delim('}'), json.Delim(']'):
		depth--
	}
	return depth, err
}

// toWorker checks and converts the entry at an index of the list.
func (d *decoder) toWorker(index int, entry *listEntry) (Worker, error) {
	worker := Worker{Name: entry.Name, Zone: d.intern(entry.Zone), Cell: entry.Group,
		Kind: d.intern(entry.Type), Weight: max(entry.Weight, 0), StartedMillis: max(entry.SinceMs, 0)}
	switch entry.Status {
	case statusActive:
		worker.Active = true
	case statusDraining:
	case statusRemoved:
		worker.Removed = true
	default:
		return Worker{}, invalidListError{
			fmt.Errorf("endpoints[%d].status: %q is unknown", index, entry.Status)}
	}
	var err error
	if worker.Address, err = netip.ParseAddrPort(entry.Address); err != nil && worker.Active {
		return Worker{}, invalidListError{fmt.Errorf("endpoints[%d].address: %w", index, err)}
	}
	if worker.Name == "" {
		return Worker{}, invalidListError{fmt.Errorf("endpoints[%d].name is missing", index)}
	}
	return worker, nil
}

// intern gives the earlier string of the same content, if there is one, in place of a copy of it.
func (d *decoder) intern(s string) string {
	if first, known := d.interned[s]; known {
		return first
	}
	if d.interned == nil || len(d.interned) >= maxInternedNames {
		d.interned = map[string]string{}
	}
	d.interned[s] = s
	return s
}
