package workers

import (
	"net/netip"
	"sync/atomic"

	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

// worker is what the transport needs of one worker: its address, and which of its states is current.
type worker struct {
	name           string
	addr           netip.AddrPort
	startedMillis  float64 // when its process started, Unix ms
	active         bool    // takes new attempts
	removed        bool    // is on the list no more
	lastListNumber uint64  // number of the last full list that has it
	comparedIn     uint64  // number of the last full list that Diff found it on
	kind           int
	rating         float64
	zone           int
	cell           int
	generation     atomic.Int64 // grows with each change that invalidates the upstreams handed out before
}

// Registry is the current list of workers, each at a slot: the index by which the policy names it. The zero
// value is empty. Its owner synchronizes the calls; Diff and Split only read what other readers read too.
type Registry struct {
	zones       Interner
	kinds       Interner
	slots       map[string]int // by name: listed workers, and removed ones whose slots are not reused yet
	workers     []*worker      // by slot
	free        slotSet        // slots of removed workers
	activeCount int            // workers that take new attempts
	fullLists   uint64         // full lists applied so far
	comparisons uint64         // full lists compared by Diff so far
	endpoints   []policy.Endpoint
}

// Upstream gives the worker at a slot as it is now.
func (r *Registry) Upstream(slot int) Upstream {
	target := r.workers[slot]
	return Upstream{Worker: slot, Addr: target.addr, worker: target, generation: target.generation.Load()}
}

// Zone gives the number of a worker's zone.
func (r *Registry) Zone(slot int) int { return r.workers[slot].zone }

// ZoneName gives the name of a zone by its number.
func (r *Registry) ZoneName(zone int) string { return r.zones.Name(zone) }

// Names gives the names of the listed workers by slot, and of the kinds of machines by number.
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

// Remap converts the state of another process's policy, whose slots and kinds are named by workers and
// kinds, to the numbers of this registry. It drops those that are unknown here.
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

// AnyActive tells whether any worker takes new attempts.
func (r *Registry) AnyActive() bool { return r.activeCount > 0 }

// Apply takes a list. It gives the policy's form of it, and the slots of the workers whose connections are
// not to be used any more; both are valid until the next call. vacant tells whether nothing refers to a
// slot any more.
func (r *Registry) Apply(list endpoints.List, vacant func(int) bool) (postings []policy.Endpoint,
	ended []int) {
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
		if !known { // no upstream refers to it in another zone or cell
			target.zone, target.cell = zone, entry.Cell
		}
		if r.transition(target, entry.Address, entry.StartedMillis, entry.Active, zone, entry.Cell) {
			ended = append(ended, slot)
		}
		target.removed, target.kind, target.rating = entry.Removed, r.kinds.ID(entry.Kind), entry.Weight
		r.free.set(slot, entry.Removed)
		r.endpoints = append(r.endpoints, policy.Endpoint{Worker: slot, Zone: zone, Cell: entry.Cell,
			MachineKind: target.kind, SizeRating: entry.Weight,
			Active: entry.Active, StartedAtMillis: entry.StartedMillis, Replaced: !known})
	}
	if list.Snapshot {
		ended = r.removeUnlisted(ended)
	}
	return r.endpoints, ended
}

// removeUnlisted marks the workers that the last full list lacks as removed. It appends the slots of those
// that change by that to ended.
func (r *Registry) removeUnlisted(ended []int) []int {
	for slot, target := range r.workers {
		if target.lastListNumber == r.fullLists {
			continue
		}
		target.removed = true
		r.free.set(slot, true)
		if r.transition(target, target.addr, target.startedMillis, false, target.zone, target.cell) {
			ended = append(ended, slot)
		}
	}
	return ended
}

// assignSlot gives an unknown worker the first vacant slot of a removed one, or a new slot. Guards against an
// unbounded number of workers, each under a name of its own, that fill the memory.
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

// transition records a worker's state. It tells whether the state differs, which invalidates the upstreams
// handed out before: a repeated attempt that is on its way must not reach the worker outside of its
// request's group.
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
