package policy

import (
	"cmp"
	"math"
	"slices"
)

// This file keeps the lists of ready workers that decisions use, sorted by index and by rank. The change of
// one worker costs the change itself and a move of the entries behind it, not a pass over all workers: at
// 110,000 workers such a pass delayed all requests by 80 ms. The result is the same, to the last bit, as
// that of a pass over all workers in order.

// maxSingleInserts is how many changes of an update are inserted one by one. A larger update is cheaper to
// merge into the lists.
const maxSingleInserts = 16

// The states of a worker with regard to the lists of ready workers.
const (
	notReady     = uint8(iota) // it is not in the lists
	inReadyList                // it is in the lists
	pendingReady               // the current update will merge it into the lists
)

// updateMode is how an update of the list is applied.
type updateMode uint8

const (
	updateEach   updateMode = iota // each entry is inserted or removed alone
	updateMerged                   // the changes are merged into the lists
	updateAll                      // the lists are rebuilt from all workers
)

// beginUpdate makes room for an update, marks all workers as unlisted if it is a complete list, and returns
// how it is applied.
func (e *Engine) beginUpdate(list []Endpoint, partial bool) updateMode {
	for i := 0; i < len(e.workers) && !partial; i++ {
		e.workers[i].inEndpoints = false
	}
	count := len(e.workers)
	for i := range list {
		count = max(count, list[i].Worker+1)
	}
	if added := count - len(e.workers); added > 0 {
		e.workers = slices.Grow(e.workers, added)[:count]
		e.ranks, e.readiness = slices.Grow(e.ranks, added)[:count], slices.Grow(e.readiness, added)[:count]
	}
	switch {
	case !partial:
		return updateAll
	case len(list) <= maxSingleInserts:
		return updateEach
	}
	e.added, e.rewarming, e.removedAny = e.added[:0], e.rewarming[:0], false
	return updateMerged
}

// applyEndpoint returns the record of an entry's worker, which is cleared if another worker had its index
// before. If the entry changes the worker's place in the lists of ready workers, the worker is removed from
// them.
func (e *Engine) applyEndpoint(endpoint Endpoint, mode updateMode) *workerRecord {
	for len(e.machineKinds) <= endpoint.MachineKind {
		e.machineKinds = append(e.machineKinds, machineKind{})
	}
	i := endpoint.Worker
	worker := &e.workers[i]
	switch {
	case mode == updateAll || e.readiness[i] == notReady:
	case endpoint.Replaced || !endpoint.Active || e.ranks[i] == 0:
		e.removeReady(i, mode)
	case endpoint.StartedAtMillis != worker.StartedAtMillis && worker.warm:
		worker.warm = false
		e.warmCount--
		if mode == updateEach {
			e.warming = insertSorted(e.warming, i)
		} else {
			e.rewarming = append(e.rewarming, i)
		}
	}
	if endpoint.Replaced {
		clear(worker.rejections)
		*worker = workerRecord{rejections: worker.rejections, suspect: worker.suspect,
			references: worker.references}
		e.ranks[i] = 0
	}
	if e.ranks[i] == 0 {
		e.readiness[i] = notReady // a new rank is a new place in readyByRank
		e.ranks[i] = e.rng.Float64()
	}
	return worker
}

// addReady adds the worker of an applied entry to the lists of ready workers. It counts as warming until
// refreshReady runs.
func (e *Engine) addReady(i int, mode updateMode) {
	worker := &e.workers[i]
	if mode == updateAll || !worker.inEndpoints || e.readiness[i] != notReady {
		return
	}
	worker.warm = false
	if mode == updateMerged {
		e.readiness[i], e.added = pendingReady, append(e.added, i)
		return
	}
	e.readiness[i] = inReadyList
	e.ready, e.warming = insertSorted(e.ready, i), insertSorted(e.warming, i)
	at, _ := slices.BinarySearchFunc(e.readyByRank, i, e.compareRank)
	e.readyByRank = slices.Insert(e.readyByRank, at, i)
}

// removeReady removes a worker from the lists of ready workers.
func (e *Engine) removeReady(i int, mode updateMode) {
	e.readiness[i] = notReady
	warm := e.workers[i].warm
	if e.workers[i].warm = false; warm {
		e.warmCount--
	}
	if mode == updateMerged {
		e.removedAny = true
		return
	}
	e.ready, e.warming = deleteSorted(e.ready, i), deleteSorted(e.warming, i)
	if at, found := slices.BinarySearchFunc(e.readyByRank, i, e.compareRank); found {
		e.readyByRank = slices.Delete(e.readyByRank, at, at+1)
	}
}

// endUpdate ends an update: it merges or rebuilds the lists of ready workers and refreshes the values that
// are derived from them.
func (e *Engine) endUpdate(mode updateMode) {
	switch e.sizeRatingKnown = false; mode {
	case updateAll:
		e.rebuildReady()
		return
	case updateMerged:
		e.mergeReady()
	}
	e.refreshReady()
}

// mergeReady drops the removed workers from the lists of ready workers, and merges in those that were
// added.
func (e *Engine) mergeReady() {
	slices.Sort(e.added) // the update may hold an entry twice
	e.added = slices.DeleteFunc(slices.Compact(e.added),
		func(i int) bool { return e.readiness[i] != pendingReady })
	e.rewarming = append(slices.DeleteFunc(e.rewarming, func(i int) bool { return e.readiness[i] == notReady }),
		e.added...)
	slices.Sort(e.rewarming)
	e.rewarming = slices.Compact(e.rewarming)
	if e.removedAny {
		e.ready, e.warming, e.readyByRank = e.stillReady(e.ready), e.stillReady(e.warming),
			e.stillReady(e.readyByRank)
	}
	e.ready = mergeSorted(e.ready, e.added, cmp.Compare[int])
	e.warming = mergeSorted(e.warming, e.rewarming, cmp.Compare[int])
	slices.SortFunc(e.added, e.compareRank)
	e.readyByRank = mergeSorted(e.readyByRank, e.added, e.compareRank)
	for _, i := range e.added {
		e.readiness[i] = inReadyList
	}
}

// stillReady filters all, in place, to the workers that are still ready.
func (e *Engine) stillReady(all []int) []int {
	n := 0
	for _, i := range all {
		if e.readiness[i] == inReadyList {
			all[n] = i
			n++
		}
	}
	return all[:n]
}

// mergeSorted merges more into all. Both are sorted by order.
func mergeSorted(all, more []int, order func(a, b int) int) []int {
	end := len(all) // end of the entries that have not been moved yet
	all = append(all, more...)
	for k := len(more) - 1; k >= 0; k-- {
		at, _ := slices.BinarySearchFunc(all[:end], more[k], order)
		copy(all[at+k+1:], all[at:end])
		all[at+k], end = more[k], at
	}
	return all
}

// compareRank orders workers by rank.
func (e *Engine) compareRank(a, b int) int {
	if c := cmp.Compare(e.ranks[a], e.ranks[b]); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// insertSorted inserts i into all, which is sorted, unless it is there.
func insertSorted(all []int, i int) []int {
	at, found := slices.BinarySearch(all, i)
	if found {
		return all
	}
	return slices.Insert(all, at, i)
}

// deleteSorted deletes i from all, which is sorted, if it is there.
func deleteSorted(all []int, i int) []int {
	if at, found := slices.BinarySearch(all, i); found {
		return slices.Delete(all, at, at+1)
	}
	return all
}

// rebuildReady rebuilds the lists of ready workers from all workers. Workers that were ready before keep
// their order by rank.
func (e *Engine) rebuildReady() {
	e.sizeRatingKnown = false
	e.readyByRank = slices.DeleteFunc(e.readyByRank, func(i int) bool {
		return e.readiness[i] == notReady ||
			!e.workers[i].inEndpoints
	})
	e.ready, e.warming, e.added, e.warmCount = e.ready[:0], e.warming[:0], e.added[:0], 0
	for i := range e.workers {
		worker := &e.workers[i]
		if !worker.inEndpoints {
			e.readiness[i] = notReady
			continue
		}
		if e.readiness[i] == notReady {
			e.readiness[i], e.added = inReadyList, append(e.added, i)
		}
		e.ready = append(e.ready, i)
		if worker.warm = e.warmFraction(worker.StartedAtMillis) >= 1; worker.warm {
			e.warmCount++
		} else {
			e.warming = append(e.warming, i)
		}
	}
	slices.SortFunc(e.added, e.compareRank)
	e.readyByRank = mergeSorted(e.readyByRank, e.added, e.compareRank)
	e.refreshReady()
}

// refreshReady updates the values that change with time: which ready workers are warm, the capacity of all
// ready workers, and the fraction of them that accepts each class of request.
func (e *Engine) refreshReady() {
	stillWarming, at := e.warming[:0], 0
	e.warmEquivalents = 0
	for _, i := range e.warming {
		worker := &e.workers[i]
		fraction := e.warmFraction(worker.StartedAtMillis)
		if worker.warm = fraction >= 1; worker.warm {
			e.warmCount++
			continue
		}
		position := at + indexFromStart(e.ready[at:], i)
		e.warmEquivalents, at = addOnes(e.warmEquivalents, position-at)+fraction, position+1
		stillWarming = append(stillWarming, i)
		e.hasTurn(worker)
	}
	e.warming, e.warmEquivalents = stillWarming, addOnes(e.warmEquivalents, len(e.ready)-at)
	for k := range e.acceptingFraction {
		e.acceptingFraction[k] = float64(len(e.ready))
	}
	stillSuspect := e.suspects[:0]
	for _, i := range e.suspects {
		worker := &e.workers[i]
		worker.suspect = worker.suspicion.value(e.now, suspicionDecayMillis) >= suspectThreshold
		for k := range e.acceptingFraction {
			if e.rejectsClass(worker, k) {
				if worker.suspect = true; e.readiness[i] != notReady && !worker.overloaded {
					e.acceptingFraction[k]--
				}
			}
		}
		if worker.suspect {
			stillSuspect = append(stillSuspect, i)
		}
	}
	e.suspects = stillSuspect
	for k := range e.acceptingFraction {
		e.acceptingFraction[k] /= float64(max(len(e.ready), 1))
	}
	e.subset = e.readyByRank[:e.subsetSize()]
}

// indexFromStart returns the index of i in all, which is sorted and contains it. It searches in doubling
// steps from the start, so an index near the start is found fastest.
func indexFromStart(all []int, i int) int {
	bound := 1
	for bound < len(all) && all[bound] <= i {
		bound *= 2
	}
	at, _ := slices.BinarySearch(all[bound/2:min(bound, len(all))], i)
	return bound/2 + at
}

// addOnes adds 1 to x the given number of times and rounds to a float64 after each addition. Nothing is
// rounded off between two powers of two, so there many additions are done in one step.
func addOnes(x float64, times int) float64 {
	for times > 0 {
		_, exp := math.Frexp(x)
		exact := int(math.Ceil(math.Ldexp(1, exp)-x)) - 1 // additions that stay below the next power of two
		if x < 1 || exact < 1 {
			exact = 1
		}
		exact = min(exact, times)
		x, times = x+float64(exact), times-exact
	}
	return x
}

// meanSizeRating returns the mean of the ready workers' size ratings. It is computed, in the order of the
// list, only where it is needed after a change of the list: it is used until each machine kind has
// responded.
func (e *Engine) meanSizeRating() float64 {
	if !e.sizeRatingKnown {
		e.sizeRatingKnown, e.sizeRating = true, 0
		for n, i := range e.ready {
			if d := e.workers[i].SizeRating - e.sizeRating; d != 0 {
				e.sizeRating += d / float64(n+1)
			}
		}
	}
	return e.sizeRating
}

// UpdateEndpoints updates the list of workers. Unless it is partial, workers that it does not name are
// removed.
func (e *Engine) UpdateEndpoints(list []Endpoint, partial bool) {
	mode := e.beginUpdate(list, partial)
	for _, endpoint := range list {
		worker := e.applyEndpoint(endpoint, mode)
		if endpoint.StartedAtMillis != worker.StartedAtMillis || worker.Worker != endpoint.Worker {
			// The worker has a new process, or is new to this engine. It is assumed that this gateway, maybe in an
			// earlier run, has just used its turn at it. Among many gateways each has a turn only once in minutes,
			// so the debt is random to spread their first turns.
			worker.slowStartAt, worker.slowStartDebt = e.now, e.rng.Float64()*e.derived.meanUnits()
			worker.suspicion.score, worker.receivedAt = 0, e.now
			clear(worker.rejections)
		}
		worker.Endpoint, worker.inEndpoints = endpoint, endpoint.Active
		e.addReady(endpoint.Worker, mode)
	}
	if e.endUpdate(mode); e.window == 0 {
		e.window = e.minWindow()
	}
}
