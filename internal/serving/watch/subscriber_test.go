package watch

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/wirepb"
)

const testTimeout = 10 * time.Second

// fakeProvider serves an empty store, and reports when each link comes up and ends.
type fakeProvider struct {
	name     string
	listener net.Listener
	events   chan string
}

func newFakeProvider(t *testing.T, name string, events chan string) *fakeProvider {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &fakeProvider{name: name, listener: listener, events: events}
	go p.accept()
	return p
}

func (p *fakeProvider) accept() {
	store := stateview.New("", func() time.Duration { return 0 })
	store.ConfirmQuorumContact(true)
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		connection := framing.NewConn(accepted, testTimeout)
		first := &wirepb.WatchRequest{}
		if connection.ReadMessage(first, testTimeout) != nil {
			continue
		}
		p.events <- "up " + p.name
		go func() {
			Serve(connection, first, store, func(*wirepb.WatchRequest) {}, nil)
			p.events <- "down " + p.name
		}()
	}
}

// TestMoveToNearerKeepsTheOldLink makes a nearer provider known: the link to it is up before the old one
// ends, so that nobody counts the subscriber as lost.
func TestMoveToNearerKeepsTheOldLink(t *testing.T) {
	events := make(chan string, 16)
	far, near := newFakeProvider(t, "far", events), newFakeProvider(t, "near", events)
	var mu sync.Mutex
	known := []Provider{{Address: far.listener.Addr().String(), Distance: 2}}
	subscriber := &Subscriber{
		Store: stateview.New("", func() time.Duration { return 0 }), DialTimeout: testTimeout,
		Providers: func() []Provider {
			mu.Lock()
			defer mu.Unlock()
			return known
		},
		Status:        func() *wirepb.WatchRequest { return &wirepb.WatchRequest{Subscriber: "s"} },
		StatusChanged: func() <-chan struct{} { return nil },
		OnLinkChange:  func(string) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		subscriber.Run(ctx)
	}()
	expect := func(want string) {
		t.Helper()
		select {
		case got := <-events:
			if got != want {
				t.Fatalf("%s instead of %s", got, want)
			}
		case <-time.After(testTimeout):
			t.Fatalf("no %s", want)
		}
	}
	expect("up far")
	mu.Lock()
	known = []Provider{{Address: near.listener.Addr().String(), Distance: 1}, known[0]}
	mu.Unlock()
	expect("up near")
	expect("down far")
	cancel()
	expect("down near")
	<-stopped
}
