package main

import "time"

const (
	memoryInterval = 20 * time.Millisecond  // between two looks at the memory
	restartDelay   = 500 * time.Millisecond // of the platform
)

// memoryWatch is the platform's limit on the memory of a machine's processes.
type memoryWatch struct {
	stop, ended  chan struct{}
	peak, killed int
}

// watchMemory kills a process of the machine that goes over the limit, and starts it again, as the platform
// does.
func watchMemory(d *deployment, m *machine) *memoryWatch {
	w := &memoryWatch{stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(memoryInterval):
			}
			for i := range m.processes {
				w.look(d, m, i)
			}
		}
	}()
	return w
}

// look looks at one process of the machine.
func (w *memoryWatch) look(d *deployment, m *machine, index int) {
	p := m.processes[index]
	resident := p.residentMB()
	w.peak = max(w.peak, resident)
	if resident <= memoryMB {
		return
	}
	w.killed++
	p.kill()
	d.record.add("%s on %s had %d MB, over its limit of %d: killed", p.program, m.name, resident, memoryMB)
	time.Sleep(restartDelay)
	if err := d.restart(m, p); err != nil {
		d.record.add("not started again: %v", err)
	}
}

// end ends the watch.
func (w *memoryWatch) end() {
	close(w.stop)
	<-w.ended
}
