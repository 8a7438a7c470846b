package transport

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// NoRuleset stands for no ruleset version.
const NoRuleset = -1

// The remaining time is written in us, with as many digits as policy.LongestWait has at most.
const (
	remainingPlaceholder = "0000000000"
	maxRemainingMicros   = 9999999999
)

// AppendAttempt appends the message of an attempt to b: its head and the buffered body. It names the ruleset
// version that the attempt is decided by, unless that is NoRuleset. The remaining time is left open, for
// SetRemaining to fill in at remainingOffset.
func AppendAttempt(b []byte, r *Request, rulesetVersion int64) (message []byte, remainingOffset int) {
	b = append(append(b, r.Method...), ' ')
	b = append(append(b, r.Target...), " HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: "...)
	b = append(append(b, r.RequestID...), "\r\nX-Deadline: "...)
	remainingOffset = len(b)
	b = append(b, remainingPlaceholder+"u\r\n"...)
	if rulesetVersion >= 0 {
		b = append(strconv.AppendInt(append(b, "X-Rules: "...), rulesetVersion, 10), "\r\n"...)
	}
	if len(r.IdempotencyKey) > 0 {
		b = append(append(append(b, "Idempotency-Key: "...), r.IdempotencyKey...), "\r\n"...)
	}
	length := int64(len(r.Body))
	if r.Upload != nil {
		length = r.Upload.Length
	}
	switch {
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case length > 0 || string(r.Method) != fasthttp.MethodGet:
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), length, 10), "\r\n"...)
	}
	return append(append(b, "\r\n"...), r.Body...), remainingOffset
}

// SetRemaining fills in how much of the client's time remains, in whole us, and gives the message to send. It
// is for the moment before the first byte, and may be called once: what the number does not need of its
// placeholder is given up at the front of the message, and what stands before the number moves up to it.
// Nothing is allocated.
func SetRemaining(message []byte, offset int, remaining time.Duration) []byte {
	var digits [len(remainingPlaceholder)]byte
	text := strconv.AppendInt(digits[:0], min(max(remaining.Microseconds(), 0), maxRemainingMicros), 10)
	spare := len(remainingPlaceholder) - len(text)
	copy(message[spare:], message[:offset])
	copy(message[spare+offset:], text)
	return message[spare:]
}
