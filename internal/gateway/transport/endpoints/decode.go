// Package endpoints reads discovery's list of workers.
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

const maxInternedNames = 1000 // names of zones and kinds that are kept once

// Worker is one entry of the list.
type Worker struct {
	Name          string
	Address       netip.AddrPort // where this gatekeeper reaches it
	Zone          string
	Cell          int
	Kind          string
	Weight        float64 // what the list says of its size; 0 says nothing
	Active        bool    // neither draining nor gone
	Removed       bool
	StartedMillis float64 // Unix time of its process's start, ms; 0 long ago
}

// List is the whole list, or the entries that changed up to a version of it.
type List struct {
	Version  int64
	Snapshot bool
	Workers  []Worker
}

// listEntry is a worker in the list's own form.
type listEntry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Status  string  `json:"status"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
}

type listMessage struct {
	Index     int64       `json:"index"`
	Snapshot  bool        `json:"snapshot"`
	Endpoints []listEntry `json:"endpoints"`
}

// Append encodes a list as one JSON object.
func Append(dst []byte, list List) ([]byte, error) {
	encoded := listMessage{Index: list.Version, Snapshot: list.Snapshot, Endpoints: []listEntry{}}
	for _, worker := range list.Workers {
		item := listEntry{Name: worker.Name, Zone: worker.Zone, Type: worker.Kind, Group: worker.Cell,
			Weight: worker.Weight, SinceMs: worker.StartedMillis,
			Status: "leaving"}
		if worker.Address.IsValid() {
			item.Address = worker.Address.String()
		}
		switch {
		case worker.Active:
			item.Status = "active"
		case worker.Removed:
			item.Status = "left"
		}
		encoded.Endpoints = append(encoded.Endpoints, item)
	}
	text, err := json.Marshal(encoded)
	return append(dst, text...), err
}

// Decode reads one JSON object. A list that breaks the form gives an error and nothing else.
func Decode(raw []byte) (List, error) {
	d := decoder{tokens: json.NewDecoder(bytes.NewReader(raw)), maxWorkers: math.MaxInt}
	list, err := d.readList()
	if err == nil {
		if _, err = d.tokens.Token(); err == io.EOF {
			return list, nil
		} else if err == nil {
			err = errors.New("more than one")
		}
	}
	return List{}, fmt.Errorf("list of workers: %w", err)
}

// decoder takes lists from a decoder, one entry at a time: of the text no more than an entry is held.
type decoder struct {
	tokens     *json.Decoder
	maxWorkers int               // workers of a list
	interned   map[string]string // names of zones and kinds, which come again and again
}

// readList reads one list. What is well formed and no list is read to its end, and then an error: cut off, it is
// cut off and no more.
func (d *decoder) readList() (list List, err error) {
	var invalid error
	recordInvalid := func(err error) error {
		if err == nil || !errors.As(err, new(*json.UnmarshalTypeError)) && !errors.As(err, new(invalidListError)) {
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
		var key json.Token
		if key, err = d.tokens.Token(); err != nil {
			break
		}
		switch name, _ := key.(string); {
		case strings.EqualFold(name, "index"):
			err = recordInvalid(d.tokens.Decode(&list.Version))
		case strings.EqualFold(name, "snapshot"):
			err = recordInvalid(d.tokens.Decode(&list.Snapshot))
		case strings.EqualFold(name, "endpoints"):
			err = d.readWorkers(&list, recordInvalid)
		default:
			err = d.skipValue()
		}
	}
	for depth := 1; begin == json.Delim('{') && depth > 0 && err == nil; {
		depth, err = d.nextDepth(depth)
	}
	if err == io.EOF {
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

// readWorkers reads the workers of a list.
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
		var item listEntry
		err := d.tokens.Decode(&item)
		if err == nil {
			if len(list.Workers) == d.maxWorkers {
				return ErrTooLong
			}
			var worker Worker
			if worker, err = d.toWorker(i, &item); err == nil {
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

// skipValue reads over a value, whose beginning has not been read.
func (d *decoder) skipValue() error {
	begin, err := d.tokens.Token()
	if err != nil {
		return err
	}
	return d.skipRest(begin)
}

// skipRest reads over the rest of a value that has begun.
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

// nextDepth reads a token, and tells how deep it leads.
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

// invalidListError is an entry that is well formed and makes no sense.
type invalidListError struct{ error }

func (d *decoder) toWorker(index int, item *listEntry) (Worker, error) {
	worker := Worker{Name: item.Name, Zone: d.intern(item.Zone), Cell: item.Group, Kind: d.intern(item.Type),
		Weight: max(item.Weight, 0), StartedMillis: max(item.SinceMs, 0)}
	switch item.Status {
	case "active":
		worker.Active = true
	case "leaving":
	case "left":
		worker.Removed = true
	default:
		return Worker{}, invalidListError{fmt.Errorf("endpoints[%d].status: %q is unknown", index, item.Status)}
	}
	var err error
	if worker.Address, err = netip.ParseAddrPort(item.Address); err != nil && worker.Active {
		return Worker{}, invalidListError{fmt.Errorf("endpoints[%d].address: %w", index, err)}
	}
	if worker.Name == "" {
		return Worker{}, invalidListError{fmt.Errorf("endpoints[%d].name is missing", index)}
	}
	return worker, nil
}

// intern gives a text that is the same as an earlier one in that one's memory.
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
