package emulator

// event is a function that runs at a moment. Of two events of one moment the one that was scheduled first
// runs first.
type event struct {
	atMillis float64
	seq      uint64
	run      func()
}

// eventQueue is a heap of events.
type eventQueue []event

// Len returns the number of events.
func (e eventQueue) Len() int { return len(e) }

// Less orders events by time, and then by sequence.
func (e eventQueue) Less(i, j int) bool {
	return e[i].atMillis < e[j].atMillis || e[i].atMillis == e[j].atMillis && e[i].seq < e[j].seq
}

// Swap swaps two events.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}
