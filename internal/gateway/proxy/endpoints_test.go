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

// A list that is applied in chunks, beside requests, is in force completely afterwards: later requests go
// to no worker that drains or is removed, and all workers that are on the list are used again. Meanwhile
// the dispatcher stays ready, and no request lacks a worker.
func TestListInChunks(t *testing.T) {
	const total, changed = 6 * policy.EndpointBatchSize, 5 * policy.EndpointBatchSize / 2
	d := NewDispatcher(testCharter(), 1, 5, func(int, []byte) {}, func(int) {})
	t.Cleanup(d.Stop)
	list := listOf(total)
	d.ApplyEndpoints(list)
	time.Sleep(20 * time.Millisecond)            // until what counts as used up at a start is over
	var inactive atomic.Pointer[map[string]bool] // workers that take nothing, once that list is applied
	inactive.Store(&map[string]bool{})
	var clients sync.WaitGroup
	done := make(chan struct{})
	var sent, toInactive, notSent atomic.Int64
	for k := range 4 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				excluded := inactive.Load()
				request := d.admit(&transport.Request{Request: policy.Request{Customer: uint64(1000*k + n), Units: 1,
					SetSize: 1, TimeLeftMillis: 900}})
				command := <-request.Commands
				if command.Decision.Kind != policy.Submit {
					notSent.Add(1)
					continue
				}
				// The workers are inactive still where inactive has not been replaced meanwhile.
				if sent.Add(1); (*excluded)[command.Upstream.Name()] && inactive.Load() == excluded {
					toInactive.Add(1)
				}
				d.attemptEnded(request, command.Decision.Attempt, command.Decision.Worker,
					&transport.Answer{Outcome: policy.Succeeded}, 20)
				if !d.Ready() {
					t.Error("not ready")
				}
			}
		})
	}
	for round := range 6 {
		removal, restoration, removed := endpoints.List{}, endpoints.List{}, map[string]bool{}
		for i := range changed {
			entry := list.Workers[(round*changed/3+i)%total]
			restoration.Workers = append(restoration.Workers, entry)
			if entry.Active, entry.Removed = false, i%2 == 0; !entry.Removed || round%2 == 0 {
				removal.Workers = append(removal.Workers, entry)
			}
			removed[entry.Name] = true
		}
		if round%2 > 0 { // a full list, which leaves out the removed workers
			for _, entry := range list.Workers {
				if !removed[entry.Name] {
					removal.Workers = append(removal.Workers, entry)
				}
			}
			removal.Snapshot = true
		}
		d.ApplyEndpoints(removal)
		inactive.Store(&removed)
		time.Sleep(20 * time.Millisecond)
		if n := d.Tally().Workers; n != total-changed {
			t.Errorf("round %d: %d workers are left", round, n)
		}
		inactive.Store(&map[string]bool{})
		d.ApplyEndpoints(restoration)
		if n := d.Tally().Workers; n != total {
			t.Errorf("round %d: %d workers are back", round, n)
		}
	}
	close(done)
	clients.Wait()
	if sent.Load() < 1000 || toInactive.Load() > 0 || d.Tally().FinalByReason[policy.ReasonNoWorker] > 0 {
		t.Errorf("%d sent, %d of them to inactive workers; %d not sent, %d for lack of a worker", sent.Load(),
			toInactive.Load(), notSent.Load(), d.Tally().FinalByReason[policy.ReasonNoWorker])
	}
}
