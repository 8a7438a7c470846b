package scale

import (
	"context"
	"math/rand"
	"runtime"
	"sync"
	"time"

	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/gateway/transport/endpoints"
	"willowdeck/internal/gateway/workers"
	"willowdeck/internal/policy"
)

// watches follow discovery's list as gatekeepers do: transport.Watch, and workers.Registry that takes each
// list in.
// The module that decides by it is left out.
type watches struct {
	c      *HollowWatch
	all    []*watcher
	cancel context.CancelFunc
	wait   sync.WaitGroup
	heap   uint64
}

type watcher struct {
	mu      sync.Mutex
	workers workers.Registry
	began   time.Time
	first   float64 // ms until the first list was there
	place   float64 // ms that it took to take it in
	change  []float64
	at      map[int64]float64 // by version of the list, boot
	version int64
	n       int
	failed  string
	failing int
}

func newWatches(c *HollowWatch) *watches { return &watches{c: c} }

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (x *watches) begin() error {
	x.heap = heapBytes()
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	for i := range x.c.Watches {
		w := &watcher{at: map[int64]float64{}, began: time.Now()}
		x.all = append(x.all, w)
		rng := rand.New(rand.NewSource(x.c.Seed + int64(i)))
		var turn sync.Mutex
		chance := func() float64 {
			turn.Lock()
			defer turn.Unlock()
			return rng.Float64()
		}
		x.wait.Go(func() {
			transport.Watch(ctx, x.c.Discovery, 0, w.news, func() {}, w.ended,
				transport.WatchTiming{PollingInstances: func() int { return 0 }, Random: chance})
		})
	}
	return nil
}

// news takes a list in, under the lock, as the desk does.
func (w *watcher) news(l endpoints.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	came := time.Now()
	for _, piece := range w.workers.Split(w.workers.Diff(l), policy.EndpointBatchSize) {
		w.workers.Apply(piece, func(int) bool { return true })
	}
	took := float64(time.Since(came)) / float64(time.Millisecond)
	if w.version == 0 {
		w.first, w.place = float64(time.Since(w.began))/float64(time.Millisecond), took
		w.n = len(l.Workers)
	} else {
		w.change = append(w.change, took)
	}
	w.version = l.Version
	w.at[l.Version] = boot()
}

func (w *watcher) ended(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = err.Error()
	w.failing++
}

func (x *watches) end(Order)   {}
func (x *watches) again(Order) {}

func (x *watches) report(o Order, r *Report) {
	for _, w := range x.all {
		w.mu.Lock()
		r.Count++
		if w.version > 0 && w.version >= int64(o.Version) {
			r.Reached++
			if at, there := w.at[int64(o.Version)]; there {
				r.At = append(r.At, at)
			}
		}
		if w.version > 0 {
			r.First, r.Place = append(r.First, w.first), append(r.Place, w.place)
		}
		r.Change = append(r.Change, w.change...)
		r.Workers, r.Version = max(r.Workers, w.n), max(r.Version, uint64(w.version))
		if w.failed != "" {
			r.Failed = w.failed
		}
		r.FailedTimes += w.failing
		w.mu.Unlock()
	}
	if o.Do == "figures" && r.Count > 0 {
		if now := heapBytes(); now > x.heap {
			r.HeapPerElement = float64(now-x.heap) / float64(r.Count)
		}
	}
}

func (x *watches) close() {
	if x.cancel != nil {
		x.cancel()
	}
	x.wait.Wait()
}
