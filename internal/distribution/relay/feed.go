package relay

import (
	"context"
	"sync"
	"time"

	"willowdeck/internal/distribution"
)

// Feed asks upstreams as a distribution.Follower decides. Its methods are safe for concurrent use.
type Feed struct {
	client *Client
	news   func()
	got    chan heard
	wake   chan struct{}
	timer  *time.Timer
	wait   sync.WaitGroup

	mu       sync.Mutex
	follower *distribution.Follower
}

// heard is what came of an ask, sent no earlier than asked, ms of Clock's.
type heard struct {
	upstream int
	asked    float64
	answer   *distribution.Answer
}

// NewFeed makes one. News is called from Run's goroutine, without a lock, each time that what View gives may
// have changed; it may be nil.
func NewFeed(f *distribution.Follower, c *Client, news func()) *Feed {
	if news == nil {
		news = func() {}
	}
	return &Feed{client: c, news: news, follower: f, got: make(chan heard, mostUpstreams),
		wake: make(chan struct{}, 1), timer: time.NewTimer(time.Hour)}
}

// Run follows until the context ends, and returns once nothing of it is left but idle connections.
func (f *Feed) Run(ctx context.Context) {
	defer f.wait.Wait()
	came := false
	for {
		// A renewal is no news of the follower's, and makes what it knows younger all the same: those below
		// would else see an age that grows up to the next change.
		if f.turn(ctx) || came {
			f.news()
		}
		came = false
		select {
		case <-ctx.Done():
			return
		case <-f.timer.C:
		case <-f.wake:
		case h := <-f.got:
			f.take(h)
			came = h.answer != nil
		}
	}
}

// turn carries out what the follower decides, and tells whether there is news.
func (f *Feed) turn(ctx context.Context) (news bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := Clock()
	f.follower.Clock(now)
	for {
		d, ok := f.follower.Next()
		if !ok {
			return news
		}
		switch d.Kind {
		case distribution.AskOf:
			f.ask(ctx, d, now)
		case distribution.News:
			news = true
		case distribution.Wake:
			f.timer.Reset(max(millis(d.At-Clock()), 0))
		}
	}
}

// ask asks beside all else: its answer counts from the time at which it was decided on, which is no later
// than the one at which it is sent.
func (f *Feed) ask(ctx context.Context, d distribution.Decision, now float64) {
	f.wait.Add(1)
	go func() {
		defer f.wait.Done()
		h := heard{upstream: d.Upstream, asked: now}
		h.answer, _ = f.client.Ask(d.Upstream, d.Ask, d.Within)
		select {
		case f.got <- h:
		case <-ctx.Done():
		}
	}()
}

func (f *Feed) take(h heard) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.follower.Clock(Clock())
	if h.answer == nil {
		f.follower.Failed(h.upstream, h.asked)
	} else {
		f.follower.Heard(h.upstream, h.asked, h.answer)
	}
}

// View gives what may be given on, or gone by; false where there is nothing.
func (f *Feed) View() (distribution.View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.View()
}

// With has something done with the follower, and what it decides then carried out.
func (f *Feed) With(do func(*distribution.Follower)) {
	f.mu.Lock()
	f.follower.Clock(Clock())
	do(f.follower)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
