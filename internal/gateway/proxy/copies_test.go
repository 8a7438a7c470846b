package proxy

import (
	"path/filepath"
	"testing"
	"time"

	"willowdeck/internal/bootclock"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/recovery/checkpoint"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
)

// desk is one that knows so many customers.
func desk(t *testing.T, customers int) *Desk {
	t.Helper()
	d := NewDesk(charter(), 1, 5, func(int, []byte) {}, func(int) {})
	t.Cleanup(d.Stop)
	d.enter()
	for i := range customers {
		d.gk.Take(policy.Arrival{ID: 1e6 + uint64(i), Customer: uint64(i), Units: 1, SetSize: 1, Left: 1000})
		d.gk.Left(1e6 + uint64(i))
	}
	d.leave()
	return d
}

func under(version uint64) *inflight.Lease {
	return inflight.NewLease(version, history.Leased, bootclock.Nanos()+3600e9)
}

// Copies are of the charter that is in force as they are taken, and so is what is gone by: one of another
// version of the rules, or of plans that have changed in service, is not.
func TestCopyNamesItsCharter(t *testing.T) {
	other, narrow := charter(), charter()
	other.Plans[0].Rate, narrow.Narrow = 500, true
	for _, c := range []struct {
		name    string
		was, is *inflight.Lease
		by, now policy.Charter
		fits    bool
	}{
		{"no rules", nil, nil, charter(), charter(), true},
		{"the same version", under(3), under(3), charter(), charter(), true},
		{"another version", under(3), under(4), charter(), charter(), false},
		{"none any more", under(3), nil, charter(), charter(), false},
		{"none before", nil, under(3), charter(), charter(), false},
		{"other plans", under(3), under(3), other, charter(), false},
		{"the same other plans", under(3), under(3), other, other, true},
		{"cut off", under(3), under(3), narrow, charter(), false},
	} {
		path := filepath.Join(t.TempDir(), "copy")
		words := func(all []incarnation.MessageID) []incarnation.MessageID { return all[:0] }
		d := desk(t, 5)
		b, _, _, err := checkpoint.Open(path, d.Now())
		if err != nil {
			t.Fatal(err)
		}
		d.Copy(b, words)
		written := func(more int64) {
			n, until := d.Copies().Written.Load(), time.Now().Add(10*time.Second)
			for d.Copies().Written.Load() < n+more && time.Now().Before(until) {
				time.Sleep(5 * time.Millisecond)
			}
		}
		written(1) // its charter changes while it writes
		if c.was != nil {
			d.Govern(c.was, c.by)
		}
		written(2)
		next := desk(t, 0)
		if c.is != nil {
			next.Govern(c.is, c.now)
		}
		b, l, none, err := checkpoint.Open(path, next.Now())
		if err != nil || none != nil {
			t.Fatal(err, none)
		}
		b.Close()
		n, fits := next.Recollect(l, false)
		want := map[bool]int{true: 5}[c.fits]
		if fits != c.fits || n != want || next.Copies().Recalled.Load() != int64(n) {
			t.Errorf("%s: %t, %d customers", c.name, fits, n)
		}
	}
}

// A charter that changes in the middle of a copy has it begin anew. Guards against one whose first pieces are
// reckoned by the charter before, and that passes for one of the charter after.
func TestCopyOverAChange(t *testing.T) {
	d := desk(t, 2000)
	var e policy.Estate
	other := charter()
	other.Plans[0].Rate, other.Plans[0].Burst = 100, 10
	for range 20 {
		done, began := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			close(began)
			for _, c := range []policy.Charter{other, charter(), other, charter(), other} {
				time.Sleep(20 * time.Microsecond)
				d.Govern(under(1), c)
			}
		}()
		<-began
		for going := true; going; {
			select {
			case <-done:
				going = false
			default:
			}
			of, _ := d.copy(&e)
			for i := range e.Customers {
				if most := of.charter.Plans[0].Burst; e.Customers[i].Whole > most+1e-9 {
					t.Fatalf("customer %d holds %v by a charter of %v", i, e.Customers[i].Whole, most)
				}
			}
			if len(e.Customers) != 2000 {
				t.Fatalf("%d customers", len(e.Customers))
			}
		}
	}
}
