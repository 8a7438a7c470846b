package ruleset

import "maps"

// process is one process of a gatekeeper on a daemon's host.
type process struct {
	given bool   // it may go by something
	holds uint64 // as it last said
}

// Warden is a daemon's books on the processes of its host's gatekeepers: what they may go by. Only the
// host's own daemon can keep them, as it alone knows which processes there are. It may be lost and begun
// anew, if it is told of all that run. The zero value knows of none. It is not safe for concurrent use.
type Warden struct{ processes map[int]process }

// Began tells of a process of a gatekeeper. One that ran before this daemon did may go by anything until it
// says what it holds.
func (w *Warden) Began(id int, before bool) {
	if _, known := w.processes[id]; !known {
		w.put(id, process{given: before})
	}
}

func (w *Warden) put(id int, p process) {
	if w.processes == nil {
		w.processes = map[int]process{}
	}
	w.processes[id] = p
}

// Ended tells that a process is no more.
func (w *Warden) Ended(id int) { delete(w.processes, id) }

// Asked takes a process's question, with the step that it holds; false where there are too many of them, and
// it is to be told nothing. One that is not known to have ended counts.
func (w *Warden) Asked(id int, holds uint64) bool {
	p, known := w.processes[id]
	if !known && len(w.processes) >= mostRun {
		return false
	}
	p.holds = max(p.holds, holds)
	w.put(id, p)
	return true
}

// Given notes that a process has been told something, and may go by it. To be called before the answer goes
// out.
func (w *Warden) Given(id int) {
	p := w.processes[id]
	p.given = true
	w.put(id, p)
}

// Seen is the step that no process of the host goes by anything older than, where told is the step that the
// next one that asks is told; it is to be no lower than any that was told before.
func (w *Warden) Seen(told uint64) uint64 {
	for _, p := range w.processes {
		if p.given {
			told = min(told, p.holds)
		}
	}
	return told
}

// clone is for those that try what may come next.
func (w *Warden) clone() Warden { return Warden{maps.Clone(w.processes)} }
