// Package watch brings the core's state to the edges: a core provides it to agents, an agent to its proxy.
// Each end keeps a mirror, says what it holds, and gets what is missing.
package watch

import (
	"time"

	"willowdeck/internal/serving/framing"
	"willowdeck/internal/serving/stateview"
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
	connection *framing.Conn, first *wirepb.FeedRequest, held *stateview.Mirror,
	onRequest func(*wirepb.FeedRequest), stop <-chan struct{},
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
		changed := held.Changed()
		update, next := held.Difference(position)
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
