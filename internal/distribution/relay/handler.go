package relay

import (
	"errors"
	"io"
	"net/http"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/distribution"
)

// Refusal is why an ask is not answered, with the word that it is counted by.
type RejectionError struct{ Reason, Message string }

func (r *RejectionError) Error() string { return r.Message }

// Reasons why an ask is refused, beside those of whoever answers.
const (
	reasonTooLong      = "too_long"
	reasonUnacceptable = "unfit"      // of another form or cluster, or with an interest that is none
	reasonNoResponse   = "unanswered" // an answer that can't be written, or an error without a reason
)

// Handler answers asks. It is safe for concurrent use.
type Handler struct {
	respond func(*distribution.Request) (*distribution.Response, error)
	traffic trafficCounters
}

// NewHandler makes one that has asks answered by a function, which is called from many goroutines. An ask
// that it refuses is answered with 403 and the error's text, and counted by its reason where it is a
// *Refusal.
func NewHandler(answer func(*distribution.Request) (*distribution.Response, error)) *Handler {
	return &Handler{respond: answer}
}

// Traffic gives what has passed so far.
func (h *Handler) Traffic() Traffic { return h.traffic.snapshot() }

// serve answers the body of a request: a status and a body.
func (h *Handler) serve(body []byte) (int, []byte) {
	h.traffic.requests.Add(1)
	h.traffic.requestBytes.Add(int64(len(body)))
	a, err := distribution.DecodeRequest(body)
	if err != nil {
		h.traffic.countFailure(decodeFailureReason(err))
		return http.StatusBadRequest, []byte(err.Error())
	}
	got, err := h.respond(a)
	var raw []byte
	if err == nil {
		named := *got // it may be another's too
		named.Nonce = a.Nonce
		raw, err = named.Encode()
	}
	if err != nil {
		reason := reasonNoResponse
		var why *RejectionError
		if errors.As(err, &why) {
			reason = why.Reason
		}
		h.traffic.countFailure(reason)
		return http.StatusForbidden, []byte(err.Error())
	}
	h.traffic.responses.Add(1)
	h.traffic.responseBytes.Add(int64(len(raw)))
	return http.StatusOK, raw
}

// Fast answers at a port of its own. The server's MaxRequestBodySize bounds the body.
func (h *Handler) ServeFastHTTP(ctx *fasthttp.RequestCtx) {
	status, raw := h.serve(ctx.PostBody())
	ctx.SetStatusCode(status)
	if status == http.StatusOK {
		ctx.SetContentType(contentType)
	}
	ctx.Response.SetBodyRaw(raw)
}

// ServeHTTP answers at a port that is there already.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, distribution.MaxRequestBytes))
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		h.traffic.countFailure(reasonTooLong)
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		h.traffic.countFailure(reasonMalformed)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, raw := h.serve(body)
	if status == http.StatusOK {
		w.Header().Set("Content-Type", contentType)
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
