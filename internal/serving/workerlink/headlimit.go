package workerlink

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the head of a response, and each interim response before it.
	maxHeadBytes = 64 << 10
	// unreservedHeadBytes of a head need no reservation: few heads are longer.
	unreservedHeadBytes = 4 << 10
	// headMemoryFactor is how much more memory a head takes than bytes were received, in short lines.
	headMemoryFactor = 24
)

// errHeadTooLong is returned for a head over maxHeadBytes, as by a worker that sends bytes without a line
// feed.
var errHeadTooLong = errors.New("the head of the response is too long: have the worker send at most 64 KiB")

// headLimiter reads from a connection, and limits what it reads while a head is due.
type headLimiter struct {
	source    io.Reader
	limited   bool
	left      int                    // of the head, if limited is set
	accounted int                    // bytes of the head that are reserved, or need no reservation
	reserve   func(bytes int64) bool // of memory for a long head
}

// begin limits what follows to one head. reserve is called for the memory of a long one; where it returns
// false, the head is too long.
func (l *headLimiter) begin(reserve func(bytes int64) bool) {
	l.limited, l.left, l.accounted, l.reserve = true, maxHeadBytes, unreservedHeadBytes, reserve
}

// end lifts the limit: the head is complete.
func (l *headLimiter) end() { l.limited, l.reserve = false, nil }

// Read reads from the connection, once what has come of the head before is reserved. It returns
// errHeadTooLong where the head has come to its limit.
func (l *headLimiter) Read(buffer []byte) (int, error) {
	if !l.limited {
		return l.source.Read(buffer)
	}
	size := min(len(buffer), l.left)
	if size <= 0 {
		return 0, errHeadTooLong
	}
	if received := maxHeadBytes - l.left; received > l.accounted {
		if !l.reserve(int64(received-l.accounted) * headMemoryFactor) {
			return 0, errHeadTooLong
		}
		l.accounted = received
	}
	n, err := l.source.Read(buffer[:size])
	l.left -= n
	return n, err
}
