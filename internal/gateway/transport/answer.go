package transport

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"willowdeck/internal/policy"
)

// ErrTruncated reports a body that ended before it was complete, at the side of its sender.
var ErrTruncated = errors.New("truncated body")

// Answer is how a worker answered an attempt. A short answer is buffered completely; of a long one the
// beginning is, and the remainder is forwarded as it comes.
type Answer struct {
	Outcome         policy.Outcome
	ContentType     string
	ContentEncoding string
	Body            []byte
	Remainder       io.Reader         // what follows Body of a long answer; nil where Body is complete
	Length          int               // of Body and Remainder; negative where it is not stated
	Load            policy.WorkerLoad // as the worker reports it
	FromWorker      bool              // the worker sent it, up to Remainder
	closesConn      bool              // its connection is of no more use
	early           bool              // it began before the last part of the request's body was written
	onForwarded     func(error)       // to be called once Remainder has been forwarded or could not be
}

// Reusable tells whether the connection can carry another attempt.
func (a *Answer) Reusable() bool { return !a.closesConn }

// Early tells whether the answer began before the last part of a forwarded request body was written: then it
// cannot be the answer to the complete request.
func (a *Answer) Early() bool { return a.early }

// CloseAfter marks the connection as of no more use.
func (a *Answer) CloseAfter() { a.closesConn = true }

// OnForwarded sets what is called once the remainder has been forwarded or could not be, with the error.
func (a *Answer) OnForwarded(done func(error)) { a.onForwarded = done }

// writeTo writes the body and the remainder as it comes, in chunks where the length is not stated.
func (a *Answer) writeTo(w io.Writer) error {
	if a.Length >= 0 {
		return a.writeBody(w)
	}
	buffered := bufio.NewWriterSize(w, policy.BodyChunkBytes)
	chunked := httputil.NewChunkedWriter(buffered)
	if err := a.writeBody(flushingWriter{chunked, buffered}); err != nil {
		return err
	}
	_ = chunked.Close()
	_, _ = buffered.WriteString("\r\n")
	return buffered.Flush()
}

// writeBody writes the body and the remainder as they are.
func (a *Answer) writeBody(w io.Writer) error {
	if _, err := w.Write(a.Body); err != nil {
		return err
	}
	n, err := copyThroughBuffer(w, a.Remainder)
	if n += int64(len(a.Body)); err == nil && a.Length >= 0 && n != int64(a.Length) {
		return ErrTruncated
	}
	return err
}

// loadFieldNames are the names of the fields of X-Load: the protocol's, and the settings' for the same.
var loadFieldNames = [...][2]string{{"inflight", "concurrent"}, {"queue", "depth"}, {"util", "load_share"}}

// parseLoad reads the load that a worker reports. A field is -1 where the report is missing, given twice or
// unreadable, or the field is no number of 0 or more.
func parseLoad(head *fasthttp.ResponseHeader) policy.WorkerLoad {
	var fields map[string]any
	if values := head.PeekAll("X-Load"); len(values) != 1 || json.Unmarshal(values[0], &fields) != nil {
		fields = nil
	}
	var reported [len(loadFieldNames)]float64
	for i, names := range loadFieldNames {
		reported[i] = -1
		for _, name := range names {
			if v, ok := fields[name].(float64); ok && v >= 0 {
				reported[i] = v
			}
		}
	}
	return policy.WorkerLoad{InFlight: reported[0], Queued: reported[1], CPUFraction: reported[2]}
}
