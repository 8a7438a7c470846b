package proxy

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/policy"
)

// Guards against a list that is taken in pieces, among txns, and of which something is not gone by once it is
// taken: a txn that comes then goes to no worker that drains or is gone, and all workers that are on the list
// are there again. While it is taken the desk stays ready, and no txn lacks a worker.
func TestListInPieces(t *testing.T) {
	const all, part = 6 * policy.ListPiece, 5 * policy.ListPiece / 2
	d := NewDesk(charter(), 1, 5, func(int, []byte) {}, func(int) {})
	t.Cleanup(d.Stop)
	l := vast(all)
	d.Roster(l)
	time.Sleep(20 * time.Millisecond)        // what a start takes as spent
	var away atomic.Pointer[map[string]bool] // workers that are off, once a list that says so has been taken
	away.Store(&map[string]bool{})
	var ends sync.WaitGroup
	done := make(chan struct{})
	var sent, wrong, none atomic.Int64
	for k := range 4 {
		ends.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				off := away.Load()
				h := d.take(&transport.Txn{Arrival: policy.Arrival{Customer: uint64(1000*k + n), Units: 1, SetSize: 1,
					Left: 900}})
				w := <-h.Commands
				if w.Decision.Kind != policy.Submit {
					none.Add(1)
					continue
				}
				if sent.Add(1); (*off)[w.Upstream.Name()] && away.Load() == off { // they are not told of as back yet
					wrong.Add(1)
				}
				d.ended(h, w.Decision.N, w.Decision.Worker, &transport.Answer{Outcome: policy.Settled}, 20)
				if !d.Ready() {
					t.Error("not ready")
				}
			}
		})
	}
	for round := range 6 {
		off, on, next := endpoints.List{}, endpoints.List{}, map[string]bool{}
		for i := range part {
			e := l.Workers[(round*part/3+i)%all]
			on.Workers = append(on.Workers, e)
			if e.Active, e.Gone = false, i%2 == 0; !e.Gone || round%2 == 0 {
				off.Workers = append(off.Workers, e)
			}
			next[e.Name] = true
		}
		if round%2 > 0 { // a whole list, which leaves out those gone
			for _, e := range l.Workers {
				if !next[e.Name] {
					off.Workers = append(off.Workers, e)
				}
			}
			off.Whole = true
		}
		d.Roster(off)
		away.Store(&next)
		time.Sleep(20 * time.Millisecond)
		if n := d.Tally().Workers; n != all-part {
			t.Errorf("round %d: %d workers are left", round, n)
		}
		away.Store(&map[string]bool{})
		d.Roster(on)
		if n := d.Tally().Workers; n != all {
			t.Errorf("round %d: %d workers are back", round, n)
		}
	}
	close(done)
	ends.Wait()
	if sent.Load() < 1000 || wrong.Load() > 0 || d.Tally().Final[policy.ByNoWorker] > 0 {
		t.Errorf("%d sent, %d of them to workers that were off; %d not sent, %d for want of a worker", sent.Load(),
			wrong.Load(), none.Load(), d.Tally().Final[policy.ByNoWorker])
	}
}
