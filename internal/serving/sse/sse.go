// Package sse splits a stream of server-sent events (WHATWG HTML, "Server-sent events") into whole events,
// as bytes.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// MaxEvent bounds an event, in bytes.
const MaxEvent = 1 << 20

// ErrTooLong is returned for an event over MaxEvent.
var ErrTooLong = errors.New("event is too long: let the worker send smaller ones")

// Event is one event as it came, its blank line included.
type Event struct {
	Raw   []byte
	ID    uint64
	HasID bool
}

// Reader reads events.
type Reader struct {
	reader *bufio.Reader
}

// NewReader reads events from source.
func NewReader(source io.Reader) *Reader { return &Reader{reader: bufio.NewReader(source)} }

// Next returns the next whole event. With an error, io.EOF at the end of the source, it returns the bytes
// that came after the last whole event.
func (r *Reader) Next() (Event, error) {
	var event Event
	for {
		line, err := r.reader.ReadSlice('\n')
		event.Raw = append(event.Raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event.Raw) <= MaxEvent {
			continue
		}
		if err != nil {
			return event, err
		}
		if len(event.Raw) > MaxEvent {
			return event, ErrTooLong
		}
		content := bytes.TrimRight(lastLine(event.Raw), "\r\n")
		if len(content) == 0 {
			return event, nil
		}
		if value, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			event.ID, event.HasID = parseID(value)
		}
	}
}

// lastLine returns the last line of raw, which ends with a line feed.
func lastLine(raw []byte) []byte {
	end := bytes.LastIndexByte(raw[:len(raw)-1], '\n')
	return raw[end+1:]
}

func parseID(value []byte) (uint64, bool) {
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}
