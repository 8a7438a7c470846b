package proxy

import (
	"sync/atomic"
	"time"

	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/recovery/checkpoint"
	"willowdeck/internal/policy"
)

// copyShare is how many times longer than a copy took the pause after it is, at least: copies of very many
// customers come more rarely, and take no more than a fiftieth of a core.
const copyShare = 49

// Copies counts what is kept of what fades, for operators.
type Copies struct{ Recalled, Written, Failed atomic.Int64 }

// Copies gives the counts.
func (d *Desk) Copies() *Copies { return &d.copies }

// Recollect takes a former life's copy of what fades, after Leave, and gives how many customers it goes by;
// it is false where that is of another charter than the one in force, or of other rules. told tells that
// peers know this for a new life.
func (d *Desk) Recollect(l *checkpoint.Left, told bool) (customers int, fits bool) {
	d.enter()
	if fits = l.Of == checkpoint.Digest(d.charter, d.terms.Version()); fits {
		customers = d.gk.Recollect(l.Estate, told)
	}
	d.leave()
	d.copies.Recalled.Add(int64(customers))
	return customers, fits
}

// Copy writes copies of what fades from here on, until Stop or Retire, and closes the book then. Each is
// taken in pieces, so that the lock is held for some microseconds at a time; bytes are put together, and
// written, outside of it.
func (d *Desk) Copy(b *checkpoint.Book, words func([]incarnation.MessageID) []incarnation.MessageID) {
	go d.copying(b, words)
}

func (d *Desk) copying(b *checkpoint.Book, words func([]incarnation.MessageID) []incarnation.MessageID) {
	defer b.Close()
	var l checkpoint.Left
	timer := time.NewTimer(0)
	defer timer.Stop()
	for charters, idle := 0, false; ; {
		select {
		case <-d.stop:
			return
		case <-timer.C:
		}
		began := time.Now()
		of, goes := d.copy(&l.Estate)
		if !goes {
			return
		}
		l.Words = words(l.Words)
		if charters != of.count {
			charters, idle = of.count, false
			l.Of = checkpoint.Digest(of.charter, of.rules)
		}
		if none := len(l.Estate.Customers) == 0; !none || !idle { // one copy says that there are none
			if err := b.Write(&l); err != nil {
				d.copies.Failed.Add(1)
			} else {
				d.copies.Written.Add(1)
			}
			idle = none
		}
		timer.Reset(max(time.Duration(policy.CopyEach*float64(time.Millisecond)), copyShare*time.Since(began)))
	}
}

// inForce is what a copy is of.
type inForce struct {
	charter policy.Charter
	rules   uint64 // their version; 0 where none are agreed on, or gone by
	count   int    // of charters so far
}

// copy takes a copy, and tells whether this process still spends. Guards against pieces of one that are
// reckoned by another charter than the rest: it begins anew.
func (d *Desk) copy(e *policy.Estate) (of inForce, goes bool) {
	for from := 0; ; {
		d.mu.Lock()
		if of.count != d.charters {
			of, from = inForce{d.charter, d.terms.Version(), d.charters}, 0
		}
		if goes = !d.left; goes {
			from = d.gk.Copy(e, from, d.clock.now())
		}
		if d.mu.Unlock(); !goes || from == 0 {
			return of, goes
		}
	}
}
