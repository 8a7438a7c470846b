package watch

import (
	"time"

	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/stateview"
	"willowdeck/internal/serving/wirepb"
)

// Times of a link.
const (
	HeartbeatInterval = 400 * time.Millisecond  // of both ends
	LinkTimeout       = 1300 * time.Millisecond // without a message, after which a link counts as lost
	changeBatchDelay  = 4 * time.Millisecond    // for which a change waits for others, to be sent together
)

// Serve serves a subscriber on a link whose first request was read, and closes the link in the end. onRequest
// is called with that request and each further one, always from one goroutine, which has ended when Serve
// returns. Serve returns when the link is lost or stop is closed.
func Serve(
	connection *framing.Conn, first *wirepb.WatchRequest, store *stateview.Store,
	onRequest func(*wirepb.WatchRequest), stop <-chan struct{},
) {
	defer connection.Close()
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		readRequests(connection, first, onRequest)
	}()
	position := stateview.Position{
		Vector:     first.Vector,
		Generation: first.Generation,
		StateIndex: first.StateIndex,
	}
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		changed := store.Changed()
		update, next := store.UpdateSince(position)
		if err := connection.WriteMessage(update); err != nil {
			break
		}
		position = next
		select {
		case <-changed:
			time.Sleep(changeBatchDelay)
			continue
		case <-heartbeat.C:
			continue
		case <-lost:
		case <-stop:
		}
		break
	}
	connection.Close()
	<-lost
}

// readRequests calls onRequest with each request until the link is lost.
func readRequests(
	connection *framing.Conn, request *wirepb.WatchRequest, onRequest func(*wirepb.WatchRequest),
) {
	for {
		onRequest(request)
		request = &wirepb.WatchRequest{}
		if err := connection.ReadMessage(request, LinkTimeout); err != nil {
			return
		}
	}
}
