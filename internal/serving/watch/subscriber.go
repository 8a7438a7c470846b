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
	writeTimeout       = 2 * time.Second
	redialInterval     = 60 * time.Millisecond  // between two attempts to link
	quorumLossLimit    = 900 * time.Millisecond // for which a provider without a majority of the core is kept
	failurePenalty     = 3 * time.Second        // for which a provider that has failed is tried last
	moveInterval       = 4 * time.Second        // between two moves to a nearer provider, at least
	overlapAfterMoving = 500 * time.Millisecond // for which the old link stays open after a move
)

// Provider is a process that serves the state.
type Provider struct {
	Address  string
	Distance int // the smaller the better
}

// Subscriber keeps a store up to date from one provider at a time. Its fields must not be changed once
// Run was called. Status and StatusChanged are called from two goroutines, the other callbacks from Run's
// alone.
type Subscriber struct {
	Store       *stateview.Store
	DialTimeout time.Duration
	// Providers returns the providers to choose from, the preferred one first.
	Providers func() []Provider
	// Status returns a request with the subscriber's own state, for Run to add the store's position.
	Status func() *wirepb.WatchRequest
	// StatusChanged returns a channel that is closed when Status should be sent at once.
	StatusChanged func() <-chan struct{}
	// WrapFirst makes the first message of a link out of the first request, for providers that serve other
	// kinds of links at the same address. Nil: the request itself.
	WrapFirst func(*wirepb.WatchRequest) proto.Message
	// OnLinkChange is called when a link is up, with the provider's address, and when it is lost, with "".
	OnLinkChange func(address string)

	failures  map[string]time.Time // by address: when the provider failed last; for Run's goroutine only
	lastMoved time.Time            // to a nearer provider; for Run's goroutine only
}

// Run keeps a link to some provider until ctx ends. It must be called once.
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
		case <-time.After(redialInterval):
		}
	}
}

// choose returns the first provider that has not failed within failurePenalty, or the one whose failure
// is the longest ago; false where there is none.
func (s *Subscriber) choose() (Provider, bool) {
	var oldest Provider
	found := false
	for _, provider := range s.Providers() {
		failed, known := s.failures[provider.Address]
		if !known || time.Since(failed) > failurePenalty {
			return provider, true
		}
		if !found || failed.Before(s.failures[oldest.Address]) {
			oldest, found = provider, true
		}
	}
	return oldest, found
}

// follow stays with one provider until its link is lost, it has lost its quorum contact for
// quorumLossLimit, or a nearer one is available. It returns whether the provider may be chosen again
// without a penalty. A link that is left for a nearer provider stays open, silent, for
// overlapAfterMoving: otherwise the core would count the edge as lost until the next link is up.
func (s *Subscriber) follow(ctx context.Context, provider Provider) bool {
	connection, err := framing.Dial(ctx, provider.Address, s.DialTimeout, writeTimeout)
	if err != nil {
		return false
	}
	if err := connection.WriteMessage(s.firstRequest()); err != nil {
		connection.Close()
		return false
	}
	s.OnLinkChange(provider.Address)
	defer s.OnLinkChange("")
	linkContext, cancel := context.WithCancel(ctx)
	senderDone := make(chan struct{})
	go func() {
		defer close(senderDone)
		s.sendStatus(linkContext, connection, cancel)
	}()
	stopClosing := context.AfterFunc(linkContext, func() { connection.Close() })
	healthy, moving := s.receive(connection, provider)
	if moving && stopClosing() {
		time.AfterFunc(overlapAfterMoving, func() { connection.Close() })
	}
	cancel()
	<-senderDone // the status on the next link follows all that was sent on this one
	return healthy
}

// receive applies updates until the link should end. It returns whether the provider may be chosen again
// without a penalty, and whether the link ends only for the sake of a nearer one.
func (s *Subscriber) receive(connection *framing.Conn, provider Provider) (healthy, moving bool) {
	lastQuorumContact := time.Now()
	for {
		update := &wirepb.WatchUpdate{}
		if err := connection.ReadMessage(update, LinkTimeout); err != nil {
			return false, false
		}
		if !s.Store.Apply(update) {
			return true, false // a delta of another base: the next subscription gets a full update
		}
		if update.QuorumContact {
			lastQuorumContact = time.Now()
		} else if time.Since(lastQuorumContact) > quorumLossLimit {
			return false, false
		}
		if s.shouldMove(provider) {
			return true, true
		}
	}
}

// shouldMove reports whether to move to a nearer provider now, and records the move.
func (s *Subscriber) shouldMove(provider Provider) bool {
	best, ok := s.choose()
	if !ok || best.Address == provider.Address || time.Since(s.lastMoved) < moveInterval {
		return false
	}
	for _, known := range s.Providers() {
		if known.Address == provider.Address {
			provider = known // its distance may have become known only by its own updates
		}
	}
	if best.Distance >= provider.Distance {
		return false
	}
	s.lastMoved = time.Now()
	return true
}

// firstRequest returns the message that opens a link: the status with the store's position.
func (s *Subscriber) firstRequest() proto.Message {
	request := s.Status()
	position := s.Store.Position()
	request.Vector = position.Vector
	request.Generation = position.Generation
	request.StateIndex = position.StateIndex
	if s.WrapFirst != nil {
		return s.WrapFirst(request)
	}
	return request
}

// sendStatus sends the status as a heartbeat, and at once where it changes, until ctx ends or the link is
// lost, which it reports by onLost.
func (s *Subscriber) sendStatus(ctx context.Context, connection *framing.Conn, onLost func()) {
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		changed := s.StatusChanged()
		request := s.Status()
		request.Generation = s.Store.Position().Generation
		if err := connection.WriteMessage(request); err != nil {
			onLost()
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
