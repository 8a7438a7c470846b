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
func newDispatcherWith(t *testing.T, customers int) *Dispatcher {
	t.Helper()
	d := NewDispatcher(testCharter(), 1, 5, func(int, []byte) {}, func(int) {})
	t.Cleanup(d.Stop)
	d.lockPolicy()
	for i := range customers {
		d.policy.Take(policy.Arrival{ID: 1e6 + uint64(i), Customer: uint64(i), Units: 1, SetSize: 1, Left: 1000})
		d.policy.Left(1e6 + uint64(i))
	}
	d.flushAndUnlock()
	return d
}

func leaseOf(version uint64) *inflight.Lease {
	return inflight.NewLease(version, history.Leased, bootclock.Nanos()+3600e9)
}

// Copies are of the charter that is in force as they are taken, and so is what is gone by: one of another
// version of the rules, or of plans that have changed in service, is not.
func TestCheckpointNamesItsCharter(t *testing.T) {
	other, narrow := testCharter(), testCharter()
	other.Plans[0].Rate, narrow.Narrow = 500, true
	for _, c := range []struct {
		name    string
		was, is *inflight.Lease
		by, now policy.Charter
		fits    bool
	}{
		{"no rules", nil, nil, testCharter(), testCharter(), true},
		{"the same version", leaseOf(3), leaseOf(3), testCharter(), testCharter(), true},
		{"another version", leaseOf(3), leaseOf(4), testCharter(), testCharter(), false},
		{"none any more", leaseOf(3), nil, testCharter(), testCharter(), false},
		{"none before", nil, leaseOf(3), testCharter(), testCharter(), false},
		{"other plans", leaseOf(3), leaseOf(3), other, testCharter(), false},
		{"the same other plans", leaseOf(3), leaseOf(3), other, other, true},
		{"cut off", leaseOf(3), leaseOf(3), narrow, testCharter(), false},
	} {
		path := filepath.Join(t.TempDir(), "copy")
		words := func(all []incarnation.MessageID) []incarnation.MessageID { return all[:0] }
		d := newDispatcherWith(t, 5)
		b, _, _, err := checkpoint.Open(path, d.Now())
		if err != nil {
			t.Fatal(err)
		}
		d.WriteCheckpoints(b, words)
		written := func(more int64) {
			n, until := d.CheckpointStats().Written.Load(), time.Now().Add(10*time.Second)
			for d.CheckpointStats().Written.Load() < n+more && time.Now().Before(until) {
				time.Sleep(5 * time.Millisecond)
			}
		}
		written(1) // its charter changes while it writes
		if c.was != nil {
			d.ApplyRuleset(c.was, c.by)
		}
		written(2)
		next := newDispatcherWith(t, 0)
		if c.is != nil {
			next.ApplyRuleset(c.is, c.now)
		}
		b, l, none, err := checkpoint.Open(path, next.Now())
		if err != nil || none != nil {
			t.Fatal(err, none)
		}
		b.Close()
		n, fits := next.RestoreCheckpoint(l, false)
		want := map[bool]int{true: 5}[c.fits]
		if fits != c.fits || n != want || next.CheckpointStats().Restored.Load() != int64(n) {
			t.Errorf("%s: %t, %d customers", c.name, fits, n)
		}
	}
}

// A charter that changes in the middle of a copy has it begin anew. Guards against one whose first pieces are
// reckoned by the charter before, and that passes for one of the charter after.
func TestCheckpointDuringCharterChange(t *testing.T) {
	d := newDispatcherWith(t, 2000)
	var e policy.Estate
	other := testCharter()
	other.Plans[0].Rate, other.Plans[0].Burst = 100, 10
	for range 20 {
		done, began := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			close(began)
			for _, c := range []policy.Charter{other, testCharter(), other, testCharter(), other} {
				time.Sleep(20 * time.Microsecond)
				d.ApplyRuleset(leaseOf(1), c)
			}
		}()
		<-began
		for going := true; going; {
			select {
			case <-done:
				going = false
			default:
			}
			of, _ := d.snapshot(&e)
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
