package relay

import (
	"context"
	"sync"
	"time"

	"willowdeck/internal/distribution"
)

// Feed asks upstreams as a distribution.Follower decides. Its methods are safe for concurrent use.
type Subscription struct {
	client   *Client
	onUpdate func()
	results  chan fetchResult
	wake     chan struct{}
	timer    *time.Timer
	requests sync.WaitGroup

	mu       sync.Mutex
	follower *distribution.Follower
}

// heard is what came of an ask, sent no earlier than asked, ms of Clock's.
type fetchResult struct {
	upstream int
	sentAt   float64
	response *distribution.Response
}

// NewFeed makes one. News is called from Run's goroutine, without a lock, each time that what View gives may
// have changed; it may be nil.
func NewSubscription(f *distribution.Follower, c *Client, news func()) *Subscription {
	if news == nil {
		news = func() {}
	}
	return &Subscription{client: c, onUpdate: news, follower: f, results: make(chan fetchResult, maxUpstreams),
		wake: make(chan struct{}, 1), timer: time.NewTimer(time.Hour)}
}

// Run follows until the context ends, and returns once nothing of it is left but idle connections.
func (f *Subscription) Run(ctx context.Context) {
	defer f.requests.Wait()
	came := false
	for {
		// A renewal is no news of the follower's, and makes what it knows younger all the same: those below
		// would else see an age that grows up to the next change.
		if f.runActions(ctx) || came {
			f.onUpdate()
		}
		came = false
		select {
		case <-ctx.Done():
			return
		case <-f.timer.C:
		case <-f.wake:
		case h := <-f.results:
			f.handleResult(h)
			came = h.response != nil
		}
	}
}

// turn carries out what the follower decides, and tells whether there is news.
func (f *Subscription) runActions(ctx context.Context) (news bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := nowMillis()
	f.follower.AdvanceClock(now)
	for {
		d, ok := f.follower.NextAction()
		if !ok {
			return news
		}
		switch d.Kind {
		case distribution.SendRequest:
			f.fetch(ctx, d, now)
		case distribution.NotifyUpdate:
			news = true
		case distribution.ScheduleWake:
			f.timer.Reset(max(toDuration(d.WakeAtMillis-nowMillis()), 0))
		}
	}
}

// ask asks beside all else: its answer counts from the time at which it was decided on, which is no later
// than the one at which it is sent.
func (f *Subscription) fetch(ctx context.Context, d distribution.Action, now float64) {
	f.requests.Add(1)
	go func() {
		defer f.requests.Done()
		h := fetchResult{upstream: d.Upstream, sentAt: now}
		h.response, _ = f.client.Fetch(d.Upstream, d.Request, d.TimeoutMillis)
		select {
		case f.results <- h:
		case <-ctx.Done():
		}
	}()
}

func (f *Subscription) handleResult(h fetchResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.follower.AdvanceClock(nowMillis())
	if h.response == nil {
		f.follower.RequestFailed(h.upstream, h.sentAt)
	} else {
		f.follower.HandleResponse(h.upstream, h.sentAt, h.response)
	}
}

// View gives what may be given on, or gone by; false where there is nothing.
func (f *Subscription) Snapshot() (distribution.Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.Snapshot()
}

// With has something done with the follower, and what it decides then carried out.
func (f *Subscription) WithFollower(do func(*distribution.Follower)) {
	f.mu.Lock()
	f.follower.AdvanceClock(nowMillis())
	do(f.follower)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
