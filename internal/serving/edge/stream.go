package edge

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/sse"
)

// relayStream relays events as they come, complete ones only. It returns false where the stream has to be
// resumed at another worker.
func (p *proxiedRequest) relayStream(a *attempt) (done bool) {
	events := p.newEventReader(a.response.Body)
	for {
		event, err := events.Next()
		if err != nil {
			return p.endStream(a, event, err)
		}
		p.recordFirstToken(a)
		p.edge.healthChecker.recordActivity(a.worker.Instance)
		if !p.acceptEventID(event) {
			p.failAttempt(a)
			return p.endUnlessRetried()
		}
		if !p.relayEvent(a, event) {
			return true
		}
	}
}

// acceptEventID reports whether an event follows the last one relayed, and keeps its ID.
func (p *proxiedRequest) acceptEventID(event sse.Event) bool {
	if !event.HasID {
		return true
	}
	if p.hasLastEventID && event.ID != p.lastEventID+1 {
		return false
	}
	p.lastEventID = event.ID
	p.hasLastEventID = true
	return true
}

// relayEvent writes an event to the client. It returns false, and has ended the attempt, where the client has
// disconnected.
func (p *proxiedRequest) relayEvent(a *attempt, event sse.Event) bool {
	if !p.headWritten {
		p.writeHead(a.response, unknownLength)
	}
	_, err := p.writer.Write(event.Raw)
	if err == nil {
		err = http.NewResponseController(p.writer).Flush()
	}
	if err != nil {
		p.endAttempt(a, false)
		return false
	}
	return true
}

// endStream handles the end of a stream, rest being what follows the last event. The stream is complete where
// readErr is io.EOF, unless it ends with its connection inside an event, and broken otherwise.
func (p *proxiedRequest) endStream(a *attempt, rest sse.Event, readErr error) (done bool) {
	cutOff := len(rest.Raw) > 0 && endsWithConnection(a.response)
	if errors.Is(readErr, io.EOF) && !cutOff {
		if !p.headWritten {
			p.writeHead(a.response, unknownLength)
		}
		p.writer.Write(rest.Raw)
		p.recordFirstToken(a)
		p.endAttempt(a, true)
		return true
	}
	p.excluded[a.worker.Instance] = true
	p.failAttempt(a)
	return p.endUnlessRetried()
}

// endsWithConnection reports whether a response has no length: its end looks the same as the worker's.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
