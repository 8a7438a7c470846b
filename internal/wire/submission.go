package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"willowdeck/logic"
)

// Answer is what a worker said to a submission.
type Answer struct {
	Outcome      logic.Outcome
	Type, Coding string
	Body         []byte
	Load         logic.Burden // what the worker said of its load
	Heard        bool         // it came from the worker, and whole
	last         bool         // the connection ends with it
}

// Keep tells whether the connection can carry another submission.
func (a *Answer) Keep() bool { return !a.last }

var (
	errNoLength = errors.New("an answer that does not say where it ends")
	errStatus   = errors.New("no status line")
	errInterim  = errors.New("interim answers without end")
)

// AppendSubmission encodes a submission of a txn that is waited for so many ms.
func AppendSubmission(b []byte, t *Txn, wait float64) []byte {
	b = append(append(b, t.Method...), ' ')
	b = append(append(b, t.Target...), " HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: "...)
	b = append(append(b, t.Mark...), "\r\nX-Deadline: "...)
	b = append(strconv.AppendInt(b, int64(max(wait, 0)*1000), 10), "u\r\n"...)
	if len(t.Key) > 0 {
		b = append(append(append(b, "Idempotency-Key: "...), t.Key...), "\r\n"...)
	}
	if len(t.Body) > 0 || string(t.Method) != fasthttp.MethodGet {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(t.Body)), 10), "\r\n"...)
	}
	return append(append(b, "\r\n"...), t.Body...)
}

// Link is one connection to a worker. It carries one submission at a time, and sends nothing again by itself.
type Link struct {
	conn   net.Conn
	in     *bufio.Reader
	worker int
	of     Life // while it is idle
	idle   time.Time
}

// Abort ends the submission that is out on the link, from any goroutine.
func (l *Link) Abort() { _ = l.conn.SetDeadline(time.Unix(1, 0)) }

// Until sets the moment at which whatever waits on the link gives up.
func (l *Link) Until(at time.Time) { _ = l.conn.SetDeadline(at) }

// Send writes a submission. After an error it was not written whole.
func (l *Link) Send(b []byte) error {
	_, err := l.conn.Write(b)
	return err
}

// Receive reads one answer until a moment at the latest. After an error the link is of no more use. What lies
// behind a whole answer is not part of it: the answer is good, and the link's last.
func (l *Link) Receive(until time.Time) (*Answer, error) {
	if _, err := l.in.Peek(1); err != nil {
		return nil, err
	}
	// Guards against an answer that stalls or trickles on: what has begun comes whole at once, or not at all.
	if whole := time.Now().Add(Millis(logic.WholeAnswer)); whole.Before(until) {
		_ = l.conn.SetReadDeadline(whole)
	}
	r := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(r)
	if err := readAnswer(r, l.in); err != nil {
		return nil, err
	}
	a := &Answer{last: r.ConnectionClose() || l.in.Buffered() > 0, Heard: true,
		Load: load(&r.Header)}
	switch code := r.StatusCode(); {
	case code == fasthttp.StatusOK:
		a.Outcome = logic.Settled
		a.Type, a.Coding = string(r.Header.ContentType()), string(r.Header.ContentEncoding())
		a.Body = r.SwapBody(nil)
	case (code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusGatewayTimeout) &&
		string(r.Header.Peek("X-Not-Run")) == "1":
		a.Outcome = logic.Full
	default:
		a.Outcome = logic.Fault
	}
	return a, nil
}

// load reads what a worker said of its load. A report that is missing or cannot be read says nothing, and so
// does what is no number of nought or more in it.
func load(h *fasthttp.ResponseHeader) logic.Burden {
	var says struct{ Inflight, Queue, Util *float64 }
	if all := h.PeekAll("X-Load"); len(all) != 1 || json.Unmarshal(all[0], &says) != nil {
		says.Inflight, says.Queue, says.Util = nil, nil, nil
	}
	or := func(v *float64) float64 {
		if v == nil || *v < 0 {
			return -1
		}
		return *v
	}
	return logic.Burden{Held: or(says.Inflight), Waiting: or(says.Queue), Busy: or(says.Util)}
}

// readAnswer reads an answer whose end is stated, past the interim ones ahead of it. Guards against one that
// ends with its connection: it could have been cut short anywhere.
func readAnswer(r *fasthttp.Response, in *bufio.Reader) error {
	for n := 0; ; n++ {
		// Guards against a status line that the library makes 200 of: it reads status 000 so, and 0200.
		line, err := in.Peek(len("HTTP/1.1 200 "))
		if err != nil {
			return err
		}
		if !isStatus(line) {
			return errStatus
		}
		if err := r.Header.Read(in); err != nil {
			return err
		}
		if r.StatusCode() >= fasthttp.StatusOK {
			break
		}
		if n == logic.MostInterim || r.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return errInterim
		}
	}
	const chunked, unstated = -1, -2
	length := r.Header.ContentLength()
	if length == unstated {
		return errNoLength
	}
	if err := r.ReadBody(in, MostBody); err != nil || length != chunked {
		return err
	}
	return r.Header.ReadTrailer(in)
}

// isStatus tells whether a line begins as HTTP/1.0 or 1.1 with a status of three digits, and no more of them.
func isStatus(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' || rest[2] < '1' || rest[2] > '5' {
		return false
	}
	digit := func(c byte) bool { return c >= '0' && c <= '9' }
	return digit(rest[3]) && digit(rest[4]) && (rest[5] == ' ' || rest[5] == '\r')
}
