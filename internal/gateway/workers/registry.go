package workers

import (
	"net/netip"
	"sync/atomic"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

// worker is the current state of one worker.
type worker struct {
	name           string
	addr           netip.AddrPort
	startedMillis  float64 // when its process started, Unix ms
	active         bool    // accepts new attempts
	removed        bool    // no longer on the list
	lastListNumber uint64  // value of Registry.fullLists when a list last contained it
	lastComparison uint64  // value of Registry.comparisons when Diff last found it on a list
	kind           int
	rating         float64
	zone           int
	cell           int          // failure domain within the zone
	generation     atomic.Int64 // incremented by each change that invalidates earlier Upstreams
}

// Registry is the current list of workers. Each has a slot, the index by which the policy refers to it. The
// zero value is empty. The owner synchronizes calls; Diff and Split may run concurrently with other readers,
// as they change nothing that these read.
type Registry struct {
	zones       Interner
	kinds       Interner
	slots       map[string]int    // by name; includes removed workers whose slots are not reused yet
	workers     []*worker         // by slot
	free        slotSet           // slots of removed workers
	activeCount int               // workers that accept new attempts
	fullLists   uint64            // full lists applied so far
	comparisons uint64            // full lists compared by Diff so far
	endpoints   []policy.Endpoint // result of the last Apply, reused by the next
}

// Upstream returns the current state of the worker at a slot.
func (r *Registry) Upstream(slot int) Upstream {
	target := r.workers[slot]
	return Upstream{Worker: slot, Addr: target.addr, worker: target, generation: target.generation.Load()}
}

// Zone returns the number of the zone of the worker at a slot.
func (r *Registry) Zone(slot int) int { return r.workers[slot].zone }

// ZoneName returns the name of the zone with the given number.
func (r *Registry) ZoneName(zone int) string { return r.zones.Name(zone) }

// Names returns the names of the listed workers by slot, and the names of the machine kinds by number.
func (r *Registry) Names() (workers, kinds map[int]string) {
	workers, kinds = map[int]string{}, map[int]string{}
	for slot, target := range r.workers {
		if !target.removed {
			workers[slot] = target.name
		}
	}
	for id, name := range r.kinds.names {
		kinds[id] = name
	}
	return workers, kinds
}

// Remap converts the handoff state of another process's policy to the slots and kind numbers of this
// registry. workers and kinds map the other process's numbers to names. Remap drops the workers and kinds
// that this registry does not know.
func (r *Registry) Remap(state *policy.HandoffState, workers, kinds map[int]string) {
	keptWorkers, keptKinds := state.Workers[:0], state.Kinds[:0]
	for _, w := range state.Workers {
		if slot, known := r.slots[workers[w.Worker]]; known {
			w.Worker = slot
			keptWorkers = append(keptWorkers, w)
		}
	}
	for _, k := range state.Kinds {
		if id, known := r.kinds.ids[kinds[k.MachineKind]]; known {
			k.MachineKind = id
			keptKinds = append(keptKinds, k)
		}
	}
	state.Workers, state.Kinds = keptWorkers, keptKinds
}

// AnyActive reports whether any worker accepts new attempts.
func (r *Registry) AnyActive() bool { return r.activeCount > 0 }

// Apply applies a list. It returns the list's entries as the policy's endpoints, and the slots of the workers
// whose earlier Upstreams it invalidates, so that their connections must not be reused. The endpoints are
// valid until the next call. vacant reports whether a slot is no longer referenced.
func (r *Registry) Apply(list endpoints.List, vacant func(int) bool) (updates []policy.Endpoint,
	invalidated []int) {
	r.endpoints = r.endpoints[:0]
	if list.Snapshot {
		r.fullLists++
	}
	for i := range list.Workers {
		entry := &list.Workers[i]
		slot, known := r.slots[entry.Name]
		if !known {
			slot = r.assignSlot(entry, vacant)
		}
		target, zone := r.workers[slot], r.zones.ID(entry.Zone)
		target.lastListNumber = r.fullLists
		if !known { // a new worker has no earlier Upstreams to invalidate
			target.zone, target.cell = zone, entry.Cell
		}
		if r.transition(target, entry.Address, entry.StartedMillis, entry.Active, zone, entry.Cell) {
			invalidated = append(invalidated, slot)
		}
		target.removed, target.kind, target.rating = entry.Removed, r.kinds.ID(entry.Kind), entry.Weight
		r.free.set(slot, entry.Removed)
		r.endpoints = append(r.endpoints, policy.Endpoint{Worker: slot, Zone: zone, Cell: entry.Cell,
			MachineKind: target.kind, SizeRating: entry.Weight,
			Active: entry.Active, StartedAtMillis: entry.StartedMillis, Replaced: !known})
	}
	if list.Snapshot {
		invalidated = r.removeUnlisted(invalidated)
	}
	return r.endpoints, invalidated
}

// removeUnlisted marks the workers that are not on the last full list as removed. It appends the slots of
// those whose state changes to invalidated.
func (r *Registry) removeUnlisted(invalidated []int) []int {
	for slot, target := range r.workers {
		if target.lastListNumber == r.fullLists {
			continue
		}
		target.removed = true
		r.free.set(slot, true)
		if r.transition(target, target.addr, target.startedMillis, false, target.zone, target.cell) {
			invalidated = append(invalidated, slot)
		}
	}
	return invalidated
}

// assignSlot assigns an unknown worker the first vacant slot of a removed worker, or else a new slot. Reusing
// slots bounds the memory if workers keep appearing under new names.
func (r *Registry) assignSlot(entry *endpoints.Worker, vacant func(int) bool) int {
	target := &worker{name: entry.Name, startedMillis: entry.StartedMillis, addr: entry.Address}
	slot := r.free.takeFirst(vacant)
	if slot < 0 {
		slot = len(r.workers)
		r.workers = append(r.workers, target)
	} else {
		delete(r.slots, r.workers[slot].name)
		if r.workers[slot].active {
			r.activeCount--
		}
		r.workers[slot] = target
	}
	if r.slots == nil {
		r.slots = map[string]int{}
	}
	r.slots[entry.Name] = slot
	return slot
}

// transition records a worker's state and reports whether it changed. A change invalidates earlier Upstreams:
// in particular, a retry that is already being sent must not reach a worker that has left the request's
// deduplication scope (a zone or cell).
func (r *Registry) transition(target *worker, addr netip.AddrPort, startedMillis float64, active bool,
	zone, cell int) bool {
	if target.addr == addr && target.startedMillis == startedMillis && target.active == active &&
		target.zone == zone && target.cell == cell {
		return false
	}
	switch {
	case active && !target.active:
		r.activeCount++
	case !active && target.active:
		r.activeCount--
	}
	target.addr, target.startedMillis, target.active = addr, startedMillis, active
	target.zone, target.cell = zone, cell
	target.generation.Add(1)
	return true
}
