package watch

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/wirepb"
)

const (
	writeTimeout   = 2 * time.Second
	redialPause    = 60 * time.Millisecond  // between two providers
	outOfTouchMost = 900 * time.Millisecond // that a provider without a majority of the core is kept
	failureMemory  = 3 * time.Second        // for which a provider that has failed comes last
	nearerPause    = 4 * time.Second        // between moves to a nearer provider
	moveOverlap    = 500 * time.Millisecond // that a link is kept open after a move, so that nobody sees it lost
)

// Provider is an address to subscribe at.
type Provider struct {
	Address  string
	Distance int // the smaller the better
}

// Subscriber keeps a replica up to date from one provider at a time.
type Subscriber struct {
	Mirror      *stateview.Mirror
	DialTimeout time.Duration
	// Providers returns the providers to choose from, the preferred first.
	Providers func() []Provider
	// Status returns what is told of the subscriber with each request; what it holds is filled in here.
	Status func() *wirepb.FeedRequest
	// StatusChanged returns a channel that is closed when Status should be told at once.
	StatusChanged func() <-chan struct{}
	// Wrap makes the first frame out of the first request, for providers that serve other links too. Nil: as
	// it is.
	Wrap func(*wirepb.FeedRequest) proto.Message
	// Linked is told when a link comes up (its address) and is lost ("").
	Linked func(address string)

	failures  map[string]time.Time // when each provider failed last
	lastMoved time.Time
}

// Run links to providers until the context ends.
func (s *Subscriber) Run(ctx context.Context) {
	s.failures = map[string]time.Time{}
	for ctx.Err() == nil {
		if provider, ok := s.choose(); ok {
			if !s.follow(ctx, provider) {
				s.failures[provider.Address] = time.Now()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// choose returns the first provider that has not failed lately, or the one whose failure is the longest ago.
func (s *Subscriber) choose() (Provider, bool) {
	var oldest Provider
	found := false
	for _, provider := range s.Providers() {
		failed, known := s.failures[provider.Address]
		if !known || time.Since(failed) > failureMemory {
			return provider, true
		}
		if !found || failed.Before(s.failures[oldest.Address]) {
			oldest, found = provider, true
		}
	}
	return oldest, found
}

// follow stays with one provider until its link is lost, it has been out of touch for too long, or a nearer
// one can be had. It returns whether the provider is as good as before. A link that is left for a nearer one
// stays open, but says nothing more, until the next one stands: else the edge would count as gone meanwhile.
func (s *Subscriber) follow(ctx context.Context, provider Provider) bool {
	connection, err := framing.Dial(ctx, provider.Address, s.DialTimeout, writeTimeout)
	if err != nil {
		return false
	}
	if err := connection.WriteMessage(s.firstRequest()); err != nil {
		connection.Close()
		return false
	}
	s.Linked(provider.Address)
	defer s.Linked("")
	linkContext, cancel := context.WithCancel(ctx)
	told := make(chan struct{})
	go func() {
		defer close(told)
		s.tell(linkContext, connection, cancel)
	}()
	stopClosing := context.AfterFunc(linkContext, func() { connection.Close() })
	good, moving := s.read(connection, provider)
	if moving && stopClosing() {
		time.AfterFunc(moveOverlap, func() { connection.Close() })
	}
	cancel()
	<-told // what is told on the next link follows all that was told on this one
	return good
}

// read takes updates until the link should end. It returns whether the provider is as good as before, and
// whether the link ends only for the sake of a nearer one.
func (s *Subscriber) read(connection *framing.Conn, provider Provider) (good, moving bool) {
	lastInTouch := time.Now()
	for {
		update := &wirepb.FeedUpdate{}
		if err := connection.ReadMessage(update, LinkSilence); err != nil {
			return false, false
		}
		if !s.Mirror.Apply(update) {
			return true, false // its base was not held here: the next subscription asks for the whole
		}
		if update.InTouch {
			lastInTouch = time.Now()
		} else if time.Since(lastInTouch) > outOfTouchMost {
			return false, false
		}
		if s.nearerThan(provider) {
			return true, true
		}
	}
}

// nearerThan reports whether it is time to move to a nearer provider.
func (s *Subscriber) nearerThan(provider Provider) bool {
	best, ok := s.choose()
	if !ok || best.Address == provider.Address || time.Since(s.lastMoved) < nearerPause {
		return false
	}
	for _, known := range s.Providers() {
		if known.Address == provider.Address {
			provider = known // its place may have become known only by its own feed
		}
	}
	if best.Distance >= provider.Distance {
		return false
	}
	s.lastMoved = time.Now()
	return true
}

func (s *Subscriber) firstRequest() proto.Message {
	request := s.Status()
	position := s.Mirror.Position()
	request.Vector = position.Vector
	request.Generation = position.Generation
	request.StateIndex = position.StateIndex
	if s.Wrap != nil {
		return s.Wrap(request)
	}
	return request
}

// tell sends the status as a heartbeat, and at once where it changes.
func (s *Subscriber) tell(ctx context.Context, connection *framing.Conn, lost func()) {
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		changed := s.StatusChanged()
		request := s.Status()
		request.Generation = s.Mirror.Position().Generation
		if err := connection.WriteMessage(request); err != nil {
			lost()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-heartbeat.C:
		}
	}
}
