package endpoints

import (
	"encoding/json"
	"net/netip"
)

// Worker is one entry of the list.
type Worker struct {
	Name          string
	Address       netip.AddrPort // where this instance reaches it; invalid where an inactive one has none
	Zone          string
	Cell          int     // the failure domain within the zone
	Kind          string  // the machine type
	Weight        float64 // relative capacity; 0 where the list states none
	Active        bool    // it is neither draining nor removed
	Removed       bool
	StartedMillis float64 // Unix time of its process's start, ms; 0 is long ago
}

// List is a snapshot of all workers, or the entries that changed up to a version.
type List struct {
	Version  int64
	Snapshot bool
	Workers  []Worker
}

// listEntry is a worker as JSON has it.
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

// listMessage is a list as JSON has it.
type listMessage struct {
	Index     int64       `json:"index"`
	Snapshot  bool        `json:"snapshot"`
	Endpoints []listEntry `json:"endpoints"`
}

// The values of listEntry.Status.
const (
	statusActive   = "active"
	statusDraining = "leaving"
	statusRemoved  = "left"
)

// Append appends a list, encoded as one JSON object, to dst.
func Append(dst []byte, list List) ([]byte, error) {
	encoded := listMessage{Index: list.Version, Snapshot: list.Snapshot, Endpoints: []listEntry{}}
	for _, worker := range list.Workers {
		entry := listEntry{Name: worker.Name, Zone: worker.Zone, Type: worker.Kind, Group: worker.Cell,
			Weight: worker.Weight, SinceMs: worker.StartedMillis, Status: statusDraining}
		if worker.Address.IsValid() {
			entry.Address = worker.Address.String()
		}
		switch {
		case worker.Active:
			entry.Status = statusActive
		case worker.Removed:
			entry.Status = statusRemoved
		}
		encoded.Endpoints = append(encoded.Endpoints, entry)
	}
	text, err := json.Marshal(encoded)
	return append(dst, text...), err
}
