package scale

import (
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// rear is a hollow process that tidies up where the run itself can't any more: it is told of each real
// process, and where its input ends without the word that all is well it ends them with their gatekeepers,
// and removes the run's folder. A signal by the kernel at the parent's end would come once for each of its
// threads, and a daemon that is told to stop twice leaves its gatekeepers to themselves.
type rear struct {
	dir  string
	well bool
	real []minded
}

// minded is a process by its number and the kernel's time of its start.
type minded struct {
	pid  int
	born string
}

func newRear(h *Hollow) *rear { return &rear{dir: h.Dir} }

func (x *rear) begin() error { return nil }

// again has it mind a process; end says that all is well.
func (x *rear) again(o Order)         { x.real = append(x.real, minded{o.From, bornAt(o.From)}) }
func (x *rear) end(Order)             { x.well = true }
func (x *rear) report(Order, *Report) {}

func (x *rear) close() {
	if x.well {
		return
	}
	for _, m := range x.real {
		m.signal(syscall.SIGTERM)
	}
	for end := time.Now().Add(endsWithin); time.Now().Before(end) && x.any(); time.Sleep(lookEach) {
	}
	for _, m := range x.real {
		m.signal(syscall.SIGKILL)
	}
	runs, _ := filepath.Glob(filepath.Join(x.dir, "*", "run"))
	for _, run := range runs {
		strays(run)
	}
	_ = os.RemoveAll(x.dir)
}

func (m minded) signal(s syscall.Signal) {
	if m.born != "" && bornAt(m.pid) == m.born {
		_ = syscall.Kill(m.pid, s)
	}
}

func (x *rear) any() bool {
	for _, m := range x.real {
		if m.born != "" && bornAt(m.pid) == m.born {
			return true
		}
	}
	return false
}
