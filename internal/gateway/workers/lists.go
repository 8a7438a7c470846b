package workers

import (
	"slices"

	"willowdeck/internal/gateway/transport/endpoints"
)

// Diff reduces a full list to the changes relative to the registry, so that applying the result has the same
// effect on the registry as applying the full list. It returns list itself if list is not full, if the
// registry is empty, or if list contains a known worker twice. It may run concurrently with other readers of
// the registry, but not with Apply or another Diff.
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
			if target.lastComparison == r.comparisons { // a duplicate: Apply needs all entries, as the last one counts
				return list
			}
			target.lastComparison = r.comparisons
			if target.matches(entry) && r.zones.Name(target.zone) == entry.Zone &&
				r.kinds.Name(target.kind) == entry.Kind {
				continue
			}
		}
		change.Workers = append(change.Workers, *entry)
	}
	for _, target := range r.workers {
		if target.lastComparison != r.comparisons && !target.removed {
			change.Workers = append(change.Workers, endpoints.Worker{Name: target.name, Address: target.addr,
				Zone: r.zones.Name(target.zone), Cell: target.cell, Kind: r.kinds.Name(target.kind),
				Weight: target.rating, Removed: true, StartedMillis: target.startedMillis})
		}
	}
	return change
}

// Split divides a list of changes into chunks of at most limit entries that are applied one after another, so
// that the caller needs no lock for the duration of the whole list. Entries of inactive workers come first.
// Split returns the list as a single chunk if it is full, if it changes more than half of all workers (few or
// none might stay active until the last chunk), or if it contains a worker twice (its last entry must be
// applied last).
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

// matches reports whether a worker's state equals a list's entry, not comparing zone and kind. A removed
// worker matches no entry, because another entry of the same list may be assigned its slot.
func (w *worker) matches(entry *endpoints.Worker) bool {
	return w.addr == entry.Address && w.startedMillis == entry.StartedMillis && w.active == entry.Active &&
		!w.removed && !entry.Removed && w.cell == entry.Cell && w.rating == entry.Weight
}
