package workers

import (
	"slices"

	"willowdeck/internal/gateway/transport/endpoints"
)

// Diff reduces a full list to the entries that it changes: Apply does with them what it does with the full
// list. It gives any other list as it is. It may run beside other readers of the registry, but not beside
// Apply.
func (r *Registry) Diff(list endpoints.List) endpoints.List {
	if !list.Snapshot || len(r.workers) == 0 {
		return list
	}
	r.comparisons++
	change := endpoints.List{Version: list.Version}
	for i := range list.Workers {
		entry := &list.Workers[i]
		if slot, known := r.slots[entry.Name]; known {
			target := r.workers[slot]
			if target.comparedIn == r.comparisons { // named twice: the last entry counts, whatever was known
				return list
			}
			target.comparedIn = r.comparisons
			if target.matches(entry) && r.zones.Name(target.zone) == entry.Zone &&
				r.kinds.Name(target.kind) == entry.Kind {
				continue
			}
		}
		change.Workers = append(change.Workers, *entry)
	}
	for _, target := range r.workers {
		if target.comparedIn != r.comparisons && !target.removed {
			change.Workers = append(change.Workers, endpoints.Worker{Name: target.name, Address: target.addr,
				Zone: r.zones.Name(target.zone), Cell: target.cell, Kind: r.kinds.Name(target.kind),
				Weight: target.rating, Removed: true, StartedMillis: target.startedMillis})
		}
	}
	return change
}

// Split cuts a list of changes into chunks of at most limit entries to be applied one after another, so
// that no lock is held for all of it. The chunks that take workers away come first. The list stays in one
// where it is full, where it changes half of all workers or more (the others may be none), and where it
// names a worker twice (its last entry must come last).
func (r *Registry) Split(list endpoints.List, limit int) []endpoints.List {
	if list.Snapshot || len(list.Workers) <= limit || 2*len(list.Workers) > len(r.workers) {
		return []endpoints.List{list}
	}
	var ordered []endpoints.Worker
	named := make(map[string]bool, len(list.Workers))
	for _, active := range []bool{false, true} {
		for i := range list.Workers {
			if entry := &list.Workers[i]; entry.Active == active {
				named[entry.Name] = true
				ordered = append(ordered, *entry)
			}
		}
	}
	if len(named) < len(ordered) {
		return []endpoints.List{list}
	}
	var chunks []endpoints.List
	for chunk := range slices.Chunk(ordered, limit) {
		chunks = append(chunks, endpoints.List{Version: list.Version, Workers: chunk})
	}
	return chunks
}

// matches tells whether a worker's state equals a list's entry, but for its zone and kind. A removed worker
// matches none, as another entry of the same list may take its slot.
func (w *worker) matches(entry *endpoints.Worker) bool {
	return w.addr == entry.Address && w.startedMillis == entry.StartedMillis && w.active == entry.Active &&
		!w.removed && !entry.Removed && w.cell == entry.Cell && w.rating == entry.Weight
}
