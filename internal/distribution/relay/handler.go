package relay

import (
	"errors"
	"io"
	"net/http"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/distribution"
)

// Refusal is why an ask is not answered, with the word that it is counted by.
type Refusal struct{ Reason, Says string }

func (r *Refusal) Error() string { return r.Says }

// Reasons why an ask is refused, beside those of whoever answers.
const (
	tooLong  = "too_long"
	unfit    = "unfit"      // of another form or cluster, or with an interest that is none
	noAnswer = "unanswered" // an answer that can't be written, or an error without a reason
)

// Handler answers asks. It is safe for concurrent use.
type Handler struct {
	answer  func(*distribution.Ask) (*distribution.Answer, error)
	traffic traffic
}

// NewHandler makes one that has asks answered by a function, which is called from many goroutines. An ask
// that it refuses is answered with 403 and the error's text, and counted by its reason where it is a
// *Refusal.
func NewHandler(answer func(*distribution.Ask) (*distribution.Answer, error)) *Handler {
	return &Handler{answer: answer}
}

// Traffic gives what has passed so far.
func (h *Handler) Traffic() Traffic { return h.traffic.counts() }

// serve answers the body of a request: a status and a body.
func (h *Handler) serve(body []byte) (int, []byte) {
	h.traffic.asks.Add(1)
	h.traffic.askBytes.Add(int64(len(body)))
	a, err := distribution.ReadAsk(body)
	if err != nil {
		h.traffic.fail(unread(err))
		return http.StatusBadRequest, []byte(err.Error())
	}
	got, err := h.answer(a)
	var raw []byte
	if err == nil {
		named := *got // it may be another's too
		named.Number = a.Number
		raw, err = named.Bytes()
	}
	if err != nil {
		reason := noAnswer
		var why *Refusal
		if errors.As(err, &why) {
			reason = why.Reason
		}
		h.traffic.fail(reason)
		return http.StatusForbidden, []byte(err.Error())
	}
	h.traffic.answers.Add(1)
	h.traffic.answerBytes.Add(int64(len(raw)))
	return http.StatusOK, raw
}

// Fast answers at a port of its own. The server's MaxRequestBodySize bounds the body.
func (h *Handler) Fast(ctx *fasthttp.RequestCtx) {
	status, raw := h.serve(ctx.PostBody())
	ctx.SetStatusCode(status)
	if status == http.StatusOK {
		ctx.SetContentType(contentType)
	}
	ctx.Response.SetBodyRaw(raw)
}

// ServeHTTP answers at a port that is there already.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, distribution.MostAsk))
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		h.traffic.fail(tooLong)
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		h.traffic.fail(garbled)
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
