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

// newDispatcherWith makes a dispatcher that knows some number of customers.
func newDispatcherWith(t *testing.T, customers int) *Dispatcher {
	t.Helper()
	dispatcher := NewDispatcher(testCharter(), 1, 5, func(int, []byte) {}, func(int) {})
	t.Cleanup(dispatcher.Stop)
	dispatcher.lockPolicy()
	for i := range customers {
		dispatcher.policy.AddRequest(policy.Request{ID: 1e6 + uint64(i), Customer: uint64(i), Units: 1, SetSize: 1,
			TimeLeftMillis: 1000})
		dispatcher.policy.ClientGone(1e6 + uint64(i))
	}
	dispatcher.flushAndUnlock()
	return dispatcher
}

func leaseOf(version uint64) *inflight.Lease {
	return inflight.NewLease(version, history.Leased, bootclock.Nanos()+3600e9)
}

// A checkpoint names the charter and the ruleset that are in force as it is taken, and is restored under
// the same ones alone: not under another version of the ruleset, nor under plans that have changed in
// service.
func TestCheckpointNamesItsCharter(t *testing.T) {
	other, narrow := testCharter(), testCharter()
	other.Plans[0].QuotaPerSecond, narrow.QuotaWithoutGossip = 500, true
	for _, c := range []struct {
		name    string
		was, is *inflight.Lease
		by, now policy.Settings
		fits    bool
	}{
		{"no ruleset", nil, nil, testCharter(), testCharter(), true},
		{"the same version", leaseOf(3), leaseOf(3), testCharter(), testCharter(), true},
		{"another version", leaseOf(3), leaseOf(4), testCharter(), testCharter(), false},
		{"no ruleset any more", leaseOf(3), nil, testCharter(), testCharter(), false},
		{"no ruleset before", nil, leaseOf(3), testCharter(), testCharter(), false},
		{"other plans", leaseOf(3), leaseOf(3), other, testCharter(), false},
		{"the same other plans", leaseOf(3), leaseOf(3), other, other, true},
		{"restricted charter", leaseOf(3), leaseOf(3), narrow, testCharter(), false},
	} {
		path := filepath.Join(t.TempDir(), "copy")
		noMessages := func(all []incarnation.MessageID) []incarnation.MessageID { return all[:0] }
		writer := newDispatcherWith(t, 5)
		book, _, _, err := checkpoint.Open(path, writer.Now())
		if err != nil {
			t.Fatal(err)
		}
		writer.WriteCheckpoints(book, noMessages)
		awaitWritten := func(more int64) {
			restored, until := writer.CheckpointStats().Written.Load(), time.Now().Add(10*time.Second)
			for writer.CheckpointStats().Written.Load() < restored+more && time.Now().Before(until) {
				time.Sleep(5 * time.Millisecond)
			}
		}
		awaitWritten(1) // the charter changes between checkpoints
		if c.was != nil {
			writer.ApplyRuleset(c.was, c.by)
		}
		awaitWritten(2)
		restorer := newDispatcherWith(t, 0)
		if c.is != nil {
			restorer.ApplyRuleset(c.is, c.now)
		}
		book, left, rejected, err := checkpoint.Open(path, restorer.Now())
		if err != nil || rejected != nil {
			t.Fatal(err, rejected)
		}
		book.Close()
		restored, fits := restorer.RestoreCheckpoint(left, false)
		want := map[bool]int{true: 5}[c.fits]
		if fits != c.fits || restored != want || restorer.CheckpointStats().Restored.Load() != int64(restored) {
			t.Errorf("%s: %t, %d customers", c.name, fits, restored)
		}
	}
}

// A snapshot begins anew where the charter changes in the middle. Guards against one whose first parts are
// relative to the charter before, and that passes for one of the charter after.
func TestCheckpointDuringCharterChange(t *testing.T) {
	d := newDispatcherWith(t, 2000)
	var state policy.HandoffState
	other := testCharter()
	other.Plans[0].QuotaPerSecond, other.Plans[0].QuotaBurst = 100, 10
	for range 20 {
		done, began := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			close(began)
			for _, c := range []policy.Settings{other, testCharter(), other, testCharter(), other} {
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
			of, _ := d.snapshot(&state)
			for i := range state.Customers {
				if burst := of.settings.Plans[0].QuotaBurst; state.Customers[i].QuotaTokens > burst+1e-9 {
					t.Fatalf("customer %d has %v under a burst of %v", i, state.Customers[i].QuotaTokens, burst)
				}
			}
			if len(state.Customers) != 2000 {
				t.Fatalf("%d customers", len(state.Customers))
			}
		}
	}
}
