package gate

import (
	"sync/atomic"
	"time"

	"willowdeck/internal/inventory"
	"willowdeck/internal/member"
	"willowdeck/logic"
)

// copyShare is how many times longer than a copy took the pause after it is, at least: copies of very many
// customers come more rarely, and take no more than a fiftieth of a core.
const copyShare = 49

// Copies counts what is kept of what fades, for operators.
type Copies struct{ Recalled, Written, Failed atomic.Int64 }

// Copies gives the counts.
func (d *Desk) Copies() *Copies { return &d.copies }

// Recall takes a former life's copy of what fades, after Leave, and gives how many customers it goes by. told
// tells that peers know this for a new life.
func (d *Desk) Recall(e logic.Estate, told bool) int {
	d.enter()
	n := d.gk.Recall(e, told)
	d.leave()
	d.copies.Recalled.Add(int64(n))
	return n
}

// Copy writes copies of what fades from here on, until Stop or Retire, and closes the book then. Each is
// taken in pieces, so that the lock is held for some microseconds at a time; bytes are put together, and
// written, outside of it.
func (d *Desk) Copy(b *inventory.Book, words func([]member.Word) []member.Word) {
	go d.copying(b, words)
}

func (d *Desk) copying(b *inventory.Book, words func([]member.Word) []member.Word) {
	defer b.Close()
	var l inventory.Left
	timer := time.NewTimer(0)
	defer timer.Stop()
	for members, idle := 0, false; ; {
		select {
		case <-d.stop:
			return
		case <-timer.C:
		}
		began := time.Now()
		c, goes := d.copy(&l.Estate)
		if !goes {
			return
		}
		l.Words = words(l.Words)
		if members != c.Gatekeepers {
			members = c.Gatekeepers
			b.Sign(inventory.Digest(c))
		}
		if none := len(l.Estate.Customers) == 0; !none || !idle { // one copy says that there are none
			if err := b.Write(&l); err != nil {
				d.copies.Failed.Add(1)
			} else {
				d.copies.Written.Add(1)
			}
			idle = none
		}
		timer.Reset(max(time.Duration(logic.CopyEach*float64(time.Millisecond)), copyShare*time.Since(began)))
	}
}

// copy takes a copy, and tells whether this process still spends.
func (d *Desk) copy(e *logic.Estate) (of logic.Charter, goes bool) {
	for from := 0; ; {
		d.mu.Lock()
		of, goes = d.charter, !d.left
		if goes {
			from = d.gk.Copy(e, from, d.clock.now())
		}
		if d.mu.Unlock(); !goes || from == 0 {
			return of, goes
		}
	}
}
