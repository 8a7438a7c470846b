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

const mostSame = 1000 // names of zones and kinds that are kept once

// Worker is one entry of the list.
type Worker struct {
	Name    string
	Address netip.AddrPort // where this gatekeeper reaches it
	Zone    string
	Cell    int
	Kind    string
	Rating  float64 // what the list says of its size; 0 says nothing
	Active  bool    // neither draining nor gone
	Gone    bool
	Since   float64 // Unix time of its process's start, ms; 0 long ago
}

// List is the whole list, or the entries that changed up to a version of it.
type List struct {
	Version int64
	Whole   bool
	Workers []Worker
}

// entry is a worker in the list's own form.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Status  string  `json:"status"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`
}

type message struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// Append encodes a list as one JSON object.
func Append(dst []byte, l List) ([]byte, error) {
	m := message{Index: l.Version, Snapshot: l.Whole, Endpoints: []entry{}}
	for _, w := range l.Workers {
		e := entry{Name: w.Name, Zone: w.Zone, Type: w.Kind, Group: w.Cell, Weight: w.Rating, SinceMs: w.Since,
			Status: "leaving"}
		if w.Address.IsValid() {
			e.Address = w.Address.String()
		}
		switch {
		case w.Active:
			e.Status = "active"
		case w.Gone:
			e.Status = "left"
		}
		m.Endpoints = append(m.Endpoints, e)
	}
	b, err := json.Marshal(m)
	return append(dst, b...), err
}

// Decode reads one JSON object. A list that breaks the form gives an error and nothing else.
func Decode(raw []byte) (List, error) {
	r := reader{dec: json.NewDecoder(bytes.NewReader(raw)), most: math.MaxInt}
	l, err := r.list()
	if err == nil {
		if _, err = r.dec.Token(); err == io.EOF {
			return l, nil
		} else if err == nil {
			err = errors.New("more than one")
		}
	}
	return List{}, fmt.Errorf("list of workers: %w", err)
}

// reader takes lists from a decoder, one entry at a time: of the text no more than an entry is held.
type reader struct {
	dec  *json.Decoder
	most int               // workers of a list
	same map[string]string // names of zones and kinds, which come again and again
}

// list reads one list. What is well formed and no list is read to its end, and then an error: cut off, it is
// cut off and no more.
func (r *reader) list() (l List, err error) {
	var wrong error
	note := func(err error) error {
		if err == nil || !errors.As(err, new(*json.UnmarshalTypeError)) && !errors.As(err, new(badEntry)) {
			return err
		}
		if wrong == nil {
			wrong = err
		}
		return nil
	}
	begin, err := r.dec.Token()
	if err != nil {
		return List{}, err
	}
	if begin != json.Delim('{') {
		wrong = errors.New("no object")
		err = r.pass(begin)
	}
	for wrong == nil && err == nil && r.dec.More() {
		var key json.Token
		if key, err = r.dec.Token(); err != nil {
			break
		}
		switch name, _ := key.(string); {
		case strings.EqualFold(name, "index"):
			err = note(r.dec.Decode(&l.Version))
		case strings.EqualFold(name, "snapshot"):
			err = note(r.dec.Decode(&l.Whole))
		case strings.EqualFold(name, "endpoints"):
			err = r.entries(&l, note)
		default:
			err = r.skip()
		}
	}
	for depth := 1; begin == json.Delim('{') && depth > 0 && err == nil; {
		depth, err = r.deeper(depth)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		err = wrong
	}
	if err != nil {
		return List{}, err
	}
	return l, nil
}

// entries reads the workers of a list.
func (r *reader) entries(l *List, note func(error) error) error {
	l.Workers = l.Workers[:0]
	begin, err := r.dec.Token()
	if err != nil || begin == nil {
		return err
	}
	if begin != json.Delim('[') {
		if err = r.pass(begin); err != nil {
			return err
		}
		return note(badEntry{errors.New("endpoints: no list")})
	}
	for i := 0; r.dec.More(); i++ {
		var e entry
		err := r.dec.Decode(&e)
		if err == nil {
			if len(l.Workers) == r.most {
				return ErrTooLong
			}
			var w Worker
			if w, err = r.worker(i, &e); err == nil {
				l.Workers = append(l.Workers, w)
			}
		}
		if err = note(err); err != nil {
			return err
		}
	}
	_, err = r.dec.Token()
	return err
}

// skip reads over a value, whose beginning has not been read.
func (r *reader) skip() error {
	begin, err := r.dec.Token()
	if err != nil {
		return err
	}
	return r.pass(begin)
}

// pass reads over the rest of a value that has begun.
func (r *reader) pass(begin json.Token) (err error) {
	depth := 0
	if begin == json.Delim('{') || begin == json.Delim('[') {
		depth = 1
	}
	for depth > 0 && err == nil {
		depth, err = r.deeper(depth)
	}
	return err
}

// deeper reads a token, and tells how deep it leads.
func (r *reader) deeper(depth int) (int, error) {
	t, err := r.dec.Token()
	switch t {
	case json.Delim('{'), json.Delim('['):
		depth++
	case json.Delim('}'), json.Delim(']'):
		depth--
	}
	return depth, err
}

// badEntry is an entry that is well formed and makes no sense.
type badEntry struct{ error }

func (r *reader) worker(i int, e *entry) (Worker, error) {
	w := Worker{Name: e.Name, Zone: r.once(e.Zone), Cell: e.Group, Kind: r.once(e.Type),
		Rating: max(e.Weight, 0), Since: max(e.SinceMs, 0)}
	switch e.Status {
	case "active":
		w.Active = true
	case "leaving":
	case "left":
		w.Gone = true
	default:
		return Worker{}, badEntry{fmt.Errorf("endpoints[%d].status: %q is unknown", i, e.Status)}
	}
	var err error
	if w.Address, err = netip.ParseAddrPort(e.Address); err != nil && w.Active {
		return Worker{}, badEntry{fmt.Errorf("endpoints[%d].address: %w", i, err)}
	}
	if w.Name == "" {
		return Worker{}, badEntry{fmt.Errorf("endpoints[%d].name is missing", i)}
	}
	return w, nil
}

// once gives a text that is the same as an earlier one in that one's memory.
func (r *reader) once(s string) string {
	if first, known := r.same[s]; known {
		return first
	}
	if r.same == nil || len(r.same) >= mostSame {
		r.same = map[string]string{}
	}
	r.same[s] = s
	return s
}
