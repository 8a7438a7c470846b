package edge

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/execution"
	"willowdeck/internal/serving/workerlink"
)

// maxBufferedBodyBytes is the length up to which a response is read completely before it is relayed, so that
// it can still be replaced by another attempt's.
const maxBufferedBodyBytes = 256 << 10

// relayResponse relays a response to the client. It returns false where the request has to be attempted
// again: nothing of the response has been written then, or the stream may be resumed at another worker.
func (p *proxiedRequest) relayResponse(a *attempt) (done bool) {
	if execution.IsPromise(a.response.StatusCode) {
		return p.endUnprovenRefusal(a)
	}
	if isEventStream(a.response) {
		return p.relayStream(a)
	}
	body, complete, err := p.readBuffered(a.response)
	if err != nil {
		p.failAttempt(a)
		return p.endUnlessRetried()
	}
	if p.headWritten { // a stream cannot go on with a response that is none
		p.endAttempt(a, false)
		return p.endUnlessRetried()
	}
	if !complete {
		p.relayLongBody(a, body)
		return true
	}
	p.recordFirstToken(a)
	p.endAttempt(a, true)
	response := &bufferedResponse{a.response, body}
	if a.response.StatusCode >= http.StatusInternalServerError && p.mayRetry() {
		p.excluded[a.worker.Instance] = true
		p.workerFailure = response
		return false
	}
	p.relayBuffered(response)
	return true
}

// bufferedResponse is a worker's response with its complete body.
type bufferedResponse struct {
	*http.Response
	body []byte
}

// relayBuffered writes a worker's complete response to the client.
func (p *proxiedRequest) relayBuffered(response *bufferedResponse) {
	p.writeHead(response.Response, len(response.body))
	p.writer.Write(response.body)
}

// endUnprovenRefusal handles the response of a worker that refuses the request and does not state that it did
// not execute it: relayed, its status would promise that to the client. Its body is not waited for.
func (p *proxiedRequest) endUnprovenRefusal(a *attempt) (done bool) {
	p.logRequest("a worker refuses a request without stating that it did not execute it", a.response.StatusCode)
	p.excluded[a.worker.Instance] = true
	p.endAttempt(a, false)
	return p.endUnlessRetried()
}

// discardBody reads a response's body. It returns false where the body is not complete, or too long.
func discardBody(response *http.Response) (complete bool) {
	_, err := io.CopyN(io.Discard, response.Body, maxBufferedBodyBytes)
	return errors.Is(err, io.EOF)
}

// endUnlessRetried handles a lost response: it returns false where the request may be attempted again, and
// ends it otherwise.
func (p *proxiedRequest) endUnlessRetried() (done bool) {
	if p.mayRetry() {
		return false
	}
	p.end(workerlink.ErrOutcomeUnknown)
	return true
}

// relayLongBody relays a response that is too long to be buffered; begun is its beginning. Where the worker
// breaks off, it panics with http.ErrAbortHandler, so that the client sees an incomplete response.
func (p *proxiedRequest) relayLongBody(a *attempt, begun []byte) {
	p.writeHead(a.response, unknownLength)
	_, err := io.Copy(p.writer, io.MultiReader(bytes.NewReader(begun), a.response.Body))
	p.recordFirstToken(a)
	p.endAttempt(a, err == nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && response.StatusCode == http.StatusOK
}

// unknownLength is the length of a body for writeHead that is not known beforehand.
const unknownLength = -1

// writeHead writes the head of a worker's response to the client, without the hop-by-hop headers. length is
// that of the body.
func (p *proxiedRequest) writeHead(response *http.Response, length int) {
	header := p.writer.Header()
	for name, values := range workerlink.EndToEnd(response.Header) {
		header[name] = values
	}
	if _, stated := header["Content-Type"]; !stated {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	if length >= 0 && p.workerRequest.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	p.headWritten = true
	if !p.route.IsIdempotent() {
		p.releaseBody()
	}
	p.writer.WriteHeader(response.StatusCode)
}
