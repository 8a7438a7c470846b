package relay

import (
	"context"
	"sync"
	"time"

	"willowdeck/internal/distribution"
)

// Subscription runs a distribution.Follower: it sends its requests and applies the responses. Its methods are
// safe for concurrent use.
type Subscription struct {
	client   *Client
	onUpdate func()
	results  chan fetchResult
	wake     chan struct{}
	timer    *time.Timer
	requests sync.WaitGroup // one for each request in flight

	mu       sync.Mutex
	follower *distribution.Follower // guarded by mu
}

// fetchResult is the end of a request that was sent no earlier than sentAt. Its response is nil where there
// was none that can be used.
type fetchResult struct {
	upstream int
	sentAt   float64 // of nowMillis
	response *distribution.Response
}

// NewSubscription makes a subscription. OnUpdate may be nil; it is called from Run's goroutine, without a
// lock, each time that what Snapshot gives may have changed.
func NewSubscription(follower *distribution.Follower, client *Client, onUpdate func()) *Subscription {
	if onUpdate == nil {
		onUpdate = func() {}
	}
	return &Subscription{
		client:   client,
		onUpdate: onUpdate,
		follower: follower,
		results:  make(chan fetchResult, maxUpstreams),
		wake:     make(chan struct{}, 1),
		timer:    time.NewTimer(time.Hour),
	}
}

// Run runs the follower until the context ends. When it returns its requests have ended.
func (s *Subscription) Run(ctx context.Context) {
	defer s.requests.Wait()
	responded := false
	for {
		// A renewal is no update of the follower's, and makes its snapshot younger all the same: without being
		// passed on, the ages below would grow up to the next change.
		if s.runActions(ctx) || responded {
			s.onUpdate()
		}
		responded = false
		select {
		case <-ctx.Done():
			return
		case <-s.timer.C:
		case <-s.wake:
		case result := <-s.results:
			s.handleResult(result)
			responded = result.response != nil
		}
	}
}

// runActions carries out what the follower decides, and reports whether it has an update.
func (s *Subscription) runActions(ctx context.Context) (updated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := nowMillis()
	s.follower.AdvanceClock(now)
	for {
		action, ok := s.follower.NextAction()
		if !ok {
			return updated
		}
		switch action.Kind {
		case distribution.SendRequest:
			s.fetch(ctx, action, now)
		case distribution.NotifyUpdate:
			updated = true
		case distribution.ScheduleWake:
			s.timer.Reset(max(toDuration(action.WakeAtMillis-nowMillis()), 0))
		}
	}
}

// fetch sends a request in a goroutine of its own. The response counts from the time of the decision, which
// is no later than that of the sending.
func (s *Subscription) fetch(ctx context.Context, action distribution.Action, now float64) {
	s.requests.Add(1)
	go func() {
		defer s.requests.Done()
		result := fetchResult{upstream: action.Upstream, sentAt: now}
		result.response, _ = s.client.Fetch(action.Upstream, action.Request, action.TimeoutMillis)
		select {
		case s.results <- result:
		case <-ctx.Done():
		}
	}()
}

func (s *Subscription) handleResult(result fetchResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower.AdvanceClock(nowMillis())
	if result.response == nil {
		s.follower.RequestFailed(result.upstream, result.sentAt)
	} else {
		s.follower.HandleResponse(result.upstream, result.sentAt, result.response)
	}
}

// Snapshot gives the follower's snapshot; false where there is none whose lease still runs.
func (s *Subscription) Snapshot() (distribution.Snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Snapshot()
}

// WithFollower calls a function with the follower under the lock, and has Run carry out what the follower
// then decides.
func (s *Subscription) WithFollower(do func(*distribution.Follower)) {
	s.mu.Lock()
	s.follower.AdvanceClock(nowMillis())
	do(s.follower)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
