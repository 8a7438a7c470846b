// Package roster reads discovery's list of workers.
package roster

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

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
	var m message
	if err := json.Unmarshal(raw, &m); err != nil {
		return List{}, fmt.Errorf("list of workers: %w", err)
	}
	return m.list()
}

func (m *message) list() (List, error) {
	l := List{Version: m.Index, Whole: m.Snapshot, Workers: make([]Worker, 0, len(m.Endpoints))}
	for i, e := range m.Endpoints {
		w := Worker{Name: e.Name, Zone: e.Zone, Cell: e.Group, Kind: e.Type, Rating: max(e.Weight, 0),
			Since: max(e.SinceMs, 0)}
		switch e.Status {
		case "active":
			w.Active = true
		case "leaving":
		case "left":
			w.Gone = true
		default:
			return List{}, fmt.Errorf("list of workers: endpoints[%d].status: %q is unknown", i, e.Status)
		}
		var err error
		if w.Address, err = netip.ParseAddrPort(e.Address); err != nil && w.Active {
			return List{}, fmt.Errorf("list of workers: endpoints[%d].address: %w", i, err)
		}
		if w.Name == "" {
			return List{}, fmt.Errorf("list of workers: endpoints[%d].name is missing", i)
		}
		l.Workers = append(l.Workers, w)
	}
	return l, nil
}
