package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// MaxEventBytes is the maximum length of an event, including the blank line at its end.
const MaxEventBytes = 1 << 20

// ErrEventTooLong is returned for an event over MaxEventBytes.
var ErrEventTooLong = errors.New("event is too long: have the worker send smaller events")

// Event is one event.
type Event struct {
	Raw   []byte // as it was received, including the blank line at its end
	ID    uint64 // of the last id field; valid only if HasID is set
	HasID bool   // the event has id fields, and the last one is a decimal number that fits ID
}

// Reader reads events from a stream.
type Reader struct {
	reader  *bufio.Reader
	reserve func(bytes int) bool
}

// NewReader returns a reader of the events of source. It calls reserve with the length of an event as that
// grows; where reserve returns false, the event is too long.
func NewReader(source io.Reader, reserve func(bytes int) bool) *Reader {
	return &Reader{reader: bufio.NewReader(source), reserve: reserve}
}

// Next returns the next complete event. If it returns an error, which is io.EOF at the end of the source, the
// event's Raw has the bytes that were read after the last complete event.
func (r *Reader) Next() (Event, error) {
	var event Event
	for {
		line, err := r.reader.ReadSlice('\n')
		if !r.reserve(len(event.Raw) + len(line)) {
			return event, ErrEventTooLong
		}
		event.Raw = append(event.Raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event.Raw) <= MaxEventBytes {
			continue
		}
		if err != nil {
			return event, err
		}
		if len(event.Raw) > MaxEventBytes {
			return event, ErrEventTooLong
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
