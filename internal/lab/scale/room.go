package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const roomEach = 300 * time.Millisecond // between two looks: memory grows by some 100 MB in it at the worst

// room watches what a run's processes have together, this one too, and ends the run beyond the bounds.
type room struct {
	s         *Scenario
	end       context.CancelCauseFunc
	stop      chan struct{}
	done      chan struct{}
	over      error
	rss       float64 // MB, the most that was seen
	processes int
}

// keepRoom begins to watch; the context ends where there is too little room.
func keepRoom(ctx context.Context, s *Scenario) (context.Context, *room) {
	ctx, end := context.WithCancelCause(ctx)
	r := &room{s: s, end: end, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		for {
			if r.look(); r.over != nil {
				r.end(r.over)
				return
			}
			select {
			case <-r.stop:
				return
			case <-time.After(roomEach):
			}
		}
	}()
	return ctx, r
}

func (r *room) look() {
	all := descendants(os.Getpid())
	sum := 0.0
	for _, pid := range all {
		_, rss, _ := usage(pid)
		sum += rss / 1e6
	}
	r.rss, r.processes = max(r.rss, sum), max(r.processes, len(all))
	switch {
	case len(all) > r.s.Machine.Processes:
		r.over = fmt.Errorf("machine.processes: %d are more than %d", len(all), r.s.Machine.Processes)
	case sum > r.s.Machine.MemoryMB:
		r.over = fmt.Errorf("machine.memory_mb: %.0f are more than %.0f", sum, r.s.Machine.MemoryMB)
	}
}

// close ends the watch, and gives why it has ended the run, if it has.
func (r *room) close() error {
	close(r.stop)
	<-r.done
	r.end(nil)
	return r.over
}

// descendants gives a process with all that it and its children have started.
func descendants(of int) []int {
	under := map[int][]int{}
	files, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, file := range files {
		raw, err := os.ReadFile(file)
		_, rest, _ := strings.Cut(string(raw), ") ")
		f := strings.Fields(rest)
		if err != nil || len(f) < 2 {
			continue
		}
		parent, _ := strconv.Atoi(f[1])
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(file)))
		under[parent] = append(under[parent], pid)
	}
	all := []int{of}
	for i := 0; i < len(all); i++ {
		all = append(all, under[all[i]]...)
	}
	return all
}
