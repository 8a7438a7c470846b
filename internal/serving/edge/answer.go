package edge

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/sse"
	"willowdeck/internal/serving/workerlink"
)

// finish passes an answer on. It returns false where the request has to be sent again: nothing of the
// answer has gone to the client then, or the stream may be taken up elsewhere.
func (j *job) finish(a *attempt) bool {
	if isStream(a.response) {
		return j.finishStream(a)
	}
	body, err := io.ReadAll(io.LimitReader(a.response.Body, wholeAnswerMost+1))
	if err != nil {
		j.unknown = true
		j.fail(a, j.client.Context())
		return j.answerBroken()
	}
	if j.committed { // a stream cannot go on with an answer that is none
		j.end(a, false)
		return j.answerBroken()
	}
	if len(body) > wholeAnswerMost {
		j.passLong(a, body)
		return true
	}
	j.sawFirstToken(a)
	j.end(a, true)
	if a.response.StatusCode >= http.StatusInternalServerError && j.mayRepeatFailure() {
		j.excluded[a.worker.Instance] = true
		return false
	}
	j.writeHead(a.response, len(body))
	j.writer.Write(body)
	return true
}

// mayRepeatFailure reports whether a request that a worker failed may go to another one.
func (j *job) mayRepeatFailure() bool {
	return j.route.IsIdempotent() && j.mayGoOn() == nil
}

// answerBroken handles an answer that broke off: another attempt where that is allowed, else the end.
func (j *job) answerBroken() bool {
	if j.route.IsIdempotent() && j.mayGoOn() == nil {
		return false
	}
	j.giveUp(workerlink.ErrOutcomeUnknown)
	return true
}

// passLong passes on an answer that is too long to be read whole first. One that breaks off looks broken.
func (j *job) passLong(a *attempt, begun []byte) {
	j.writeHead(a.response, -1)
	_, err := io.Copy(j.writer, io.MultiReader(bytes.NewReader(begun), a.response.Body))
	j.sawFirstToken(a)
	j.end(a, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func isStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && response.StatusCode == http.StatusOK
}

// writeHead passes the head of an answer on, without what concerns the worker's connection alone. A
// negative length is not known beforehand.
func (j *job) writeHead(response *http.Response, length int) {
	header := j.writer.Header()
	for name, values := range workerlink.EndToEnd(response.Header) {
		header[name] = values
	}
	if _, stated := header["Content-Type"]; !stated {
		header["Content-Type"] = nil // none is to be guessed
	}
	if length >= 0 && j.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	j.committed = true
	j.writer.WriteHeader(response.StatusCode)
}

// finishStream passes events on as they come, whole ones only. It returns false where the stream is to be
// taken up at another worker.
func (j *job) finishStream(a *attempt) bool {
	events := sse.NewReader(a.response.Body)
	for {
		event, err := events.Next()
		if err != nil {
			return j.endStream(a, event, err)
		}
		j.sawFirstToken(a)
		j.edge.liveness.hear(a.worker.Instance)
		if !j.inOrder(event) {
			j.fail(a, j.client.Context())
			return j.answerBroken()
		}
		if !j.passEvent(a, event) {
			return true
		}
	}
}

// inOrder checks the id of an event that is passed on behind others.
func (j *job) inOrder(event sse.Event) bool {
	if !event.HasID {
		return true
	}
	if j.eventKnown && event.ID != j.lastEvent+1 {
		return false
	}
	j.lastEvent = event.ID
	j.eventKnown = true
	return true
}

// passEvent writes an event to the client. It returns false where the client has left.
func (j *job) passEvent(a *attempt, event sse.Event) bool {
	if !j.committed {
		j.writeHead(a.response, -1)
	}
	_, err := j.writer.Write(event.Raw)
	if err == nil {
		err = http.NewResponseController(j.writer).Flush()
	}
	if err != nil {
		j.end(a, false)
		return false
	}
	return true
}

// endStream ends a stream that is complete, or broken.
func (j *job) endStream(a *attempt, rest sse.Event, err error) bool {
	if errors.Is(err, io.EOF) {
		if !j.committed {
			j.writeHead(a.response, -1)
		}
		j.writer.Write(rest.Raw)
		j.sawFirstToken(a)
		j.end(a, true)
		return true
	}
	j.excluded[a.worker.Instance] = true
	j.unknown = true
	j.fail(a, j.client.Context())
	return j.answerBroken()
}
