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

const patience = 10 * time.Second

// standInProvider takes links, and notes when each comes up and ends.
type standInProvider struct {
	name     string
	listener net.Listener
	events   chan string
}

func newStandInProvider(t *testing.T, name string, events chan string) *standInProvider {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &standInProvider{name: name, listener: listener, events: events}
	go p.accept()
	return p
}

func (p *standInProvider) accept() {
	held := stateview.New("", func() time.Duration { return 0 })
	held.Touch(true)
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		connection := framing.NewConn(accepted, patience)
		first := &wirepb.FeedRequest{}
		if connection.ReadMessage(first, patience) != nil {
			continue
		}
		p.events <- "up " + p.name
		go func() {
			Provide(connection, first, held, func(*wirepb.FeedRequest) {}, nil)
			p.events <- "down " + p.name
		}()
	}
}

// TestMoveToNearerKeepsTheOldLink makes a nearer provider known: the link to it stands before the old one
// ends, so that nobody takes the subscriber for gone.
func TestMoveToNearerKeepsTheOldLink(t *testing.T) {
	events := make(chan string, 16)
	far, near := newStandInProvider(t, "far", events), newStandInProvider(t, "near", events)
	var mu sync.Mutex
	known := []Provider{{Address: far.listener.Addr().String(), Distance: 2}}
	subscriber := &Subscriber{
		Mirror: stateview.New("", func() time.Duration { return 0 }), DialTimeout: patience,
		Providers: func() []Provider {
			mu.Lock()
			defer mu.Unlock()
			return known
		},
		Status:        func() *wirepb.FeedRequest { return &wirepb.FeedRequest{Subscriber: "s"} },
		StatusChanged: func() <-chan struct{} { return nil },
		Linked:        func(string) {},
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
		case <-time.After(patience):
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
