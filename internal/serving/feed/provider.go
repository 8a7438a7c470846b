package feed

import (
	"time"

	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/wirepb"
)

// Times of a link.
const (
	HeartbeatInterval = 400 * time.Millisecond
	LinkSilence       = 1300 * time.Millisecond // after which a link counts as lost
	gatherChanges     = 4 * time.Millisecond    // that a change waits for more of its kind
)

// Provide serves a subscriber on a link whose first request was read. onRequest is called with it and with
// each further one; Provide returns when the link is lost or stop is closed.
func Provide(
	connection *framing.Conn, first *wirepb.FeedRequest, replica *Replica, onRequest func(*wirepb.FeedRequest),
	stop <-chan struct{},
) {
	defer connection.Close()
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		readRequests(connection, first, onRequest)
	}()
	position := Position{Vector: first.Vector, Generation: first.Generation, StateIndex: first.StateIndex}
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		changed := replica.Changed()
		update, next := replica.Difference(position)
		if err := connection.WriteMessage(update); err != nil {
			break
		}
		position = next
		select {
		case <-changed:
			time.Sleep(gatherChanges)
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

func readRequests(
	connection *framing.Conn, request *wirepb.FeedRequest, onRequest func(*wirepb.FeedRequest),
) {
	for {
		onRequest(request)
		request = &wirepb.FeedRequest{}
		if err := connection.ReadMessage(request, LinkSilence); err != nil {
			return
		}
	}
}
