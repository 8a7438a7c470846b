package relay

import (
	"errors"
	"io"
	"net/http"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/distribution"
)

// RejectionError is why a request gets no response. Reason is the key by which it is counted.
type RejectionError struct{ Reason, Message string }

// Error is error's.
func (e *RejectionError) Error() string { return e.Message }

// Handler serves requests over HTTP. It is safe for concurrent use.
type Handler struct {
	respond func(*distribution.Request) (*distribution.Response, error)
	traffic trafficCounters
}

// NewHandler makes a handler that has a function respond, which is called from many goroutines. For an error
// the HTTP status is 403 and the body the error's text; it is counted by its reason where it is a
// *RejectionError.
func NewHandler(respond func(*distribution.Request) (*distribution.Response, error)) *Handler {
	return &Handler{respond: respond}
}

// Traffic gives what has passed so far.
func (h *Handler) Traffic() Traffic { return h.traffic.snapshot() }

// serve gives the status and the body for the body of a request.
func (h *Handler) serve(body []byte) (status int, responseBody []byte) {
	h.traffic.requests.Add(1)
	h.traffic.requestBytes.Add(int64(len(body)))
	request, err := distribution.DecodeRequest(body)
	if err != nil {
		h.traffic.countFailure(decodeFailureReason(err))
		return http.StatusBadRequest, []byte(err.Error())
	}
	responseBody, err = h.encodedResponse(request)
	if err != nil {
		reason := reasonNoResponse
		var rejection *RejectionError
		if errors.As(err, &rejection) {
			reason = rejection.Reason
		}
		h.traffic.countFailure(reason)
		return http.StatusForbidden, []byte(err.Error())
	}
	h.traffic.responses.Add(1)
	h.traffic.responseBytes.Add(int64(len(responseBody)))
	return http.StatusOK, responseBody
}

// encodedResponse gives the response to a request, with its nonce.
func (h *Handler) encodedResponse(request *distribution.Request) ([]byte, error) {
	response, err := h.respond(request)
	if err != nil {
		return nil, err
	}
	withNonce := *response // the response may be shared with other requests
	withNonce.Nonce = request.Nonce
	return withNonce.Encode()
}

// ServeFastHTTP serves a request whose path and method have been checked. The server's MaxRequestBodySize
// bounds the body.
func (h *Handler) ServeFastHTTP(ctx *fasthttp.RequestCtx) {
	status, body := h.serve(ctx.PostBody())
	ctx.SetStatusCode(status)
	if status == http.StatusOK {
		ctx.SetContentType(contentType)
	}
	ctx.Response.SetBodyRaw(body)
}

// ServeHTTP serves a request at a port of net/http.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, distribution.MaxRequestBytes))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		h.traffic.countFailure(reasonTooLong)
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		h.traffic.countFailure(reasonMalformed)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, responseBody := h.serve(body)
	if status == http.StatusOK {
		w.Header().Set("Content-Type", contentType)
	}
	w.WriteHeader(status)
	_, _ = w.Write(responseBody)
}
