package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Limits bound one list. While a list is read, its workers and the text of one entry are in memory; so the
// three together bound the memory that it takes.
type Limits struct {
	ListBytes  int // of the complete text
	ValueBytes int // of the text of one entry, or of any other single value
	Workers    int // number of entries
}

// ErrTooLong reports a list beyond its Limits.
var ErrTooLong = errors.New("list of workers: too long")

// MalformedError reports text that is no valid list. What the stream has stated of the workers up to then is
// uncertain, so that a snapshot is needed; after any other error each list that was given still holds.
type MalformedError struct{ error }

// Unwrap gives the cause.
func (e MalformedError) Unwrap() error { return e.error }

// Stream reads lists one after another, whatever their layout over lines. It is for one goroutine.
type Stream struct {
	in             io.Reader
	decoder        decoder
	deliveredBytes int64 // bytes that the decoder has been given
	onActivity     func(empty bool)
	limits         Limits
	remainingBytes int       // that the list which is being read may still have
	inList         bool      // part of a list has been read
	blankLine      bool      // the line that is being read is blank up to here
	readErr        error     // of in
	listStarted    time.Time // when the list that is being read began; zero between lists
}

// NewStream reads lists within limits from in. onActivity is called as soon as a blank line between lists has
// been read (empty), and as soon as a list begins; not for the rest of a list, or one that trickles would
// look like a live stream.
func NewStream(in io.Reader, limits Limits, onActivity func(empty bool)) *Stream {
	s := &Stream{in: in, onActivity: onActivity, limits: limits, remainingBytes: limits.ListBytes,
		blankLine: true}
	s.decoder = decoder{tokens: json.NewDecoder(s), maxWorkers: limits.Workers}
	return s
}

// Next gives the next list. Its error is a MalformedError, ErrTooLong, io.EOF at an end between lists,
// io.ErrUnexpectedEOF at an end within one, or the reader's own error.
func (s *Stream) Next() (List, error) {
	list, err := s.decoder.readList()
	switch {
	case err == nil:
	case errors.Is(err, ErrTooLong),
		s.readErr != nil && (errors.Is(err, s.readErr) || errors.Is(err, io.ErrUnexpectedEOF)):
		return List{}, err
	default:
		return List{}, MalformedError{fmt.Errorf("list of workers: %w", err)}
	}
	s.inList, s.blankLine = false, false // the line in which the list ends is not blank
	s.remainingBytes, s.listStarted = s.limits.ListBytes, time.Time{}
	unread, err := io.ReadAll(s.decoder.tokens.Buffered())
	s.scan(unread)
	return list, err
}

// ListStarted gives when the list that is being read began; the zero time between lists.
func (s *Stream) ListStarted() time.Time { return s.listStarted }

// Read reads for the decoder, within the limits. Blanks between lists are left out: the decoder would return
// only once the next list begins.
func (s *Stream) Read(p []byte) (int, error) {
	for {
		pending := int(s.deliveredBytes - s.decoder.tokens.InputOffset()) // of the value that is being read
		allowed := min(len(p), s.remainingBytes, s.limits.ValueBytes-pending)
		if allowed <= 0 {
			s.readErr = ErrTooLong
			return 0, s.readErr
		}
		n, err := s.in.Read(p[:allowed])
		s.scan(p[:n])
		if err != nil {
			s.readErr = err
		}
		if !s.inList {
			n = 0
		}
		if s.deliveredBytes += int64(n); n > 0 || err != nil {
			return n, err
		}
	}
}

// scan notes lists and blank lines in text as it is read. Blanks within a list are not activity: a list that
// was cut off and is followed by heartbeats would look as if it went on.
func (s *Stream) scan(text []byte) {
	s.remainingBytes -= len(text)
	for _, c := range text {
		switch c {
		case ' ', '\t', '\r':
		case '\n':
			if s.blankLine && !s.inList {
				s.onActivity(true)
			}
			s.blankLine = true
		default:
			starts := !s.inList
			if s.inList, s.blankLine = true, false; starts {
				s.listStarted = time.Now()
				s.onActivity(false)
			}
		}
	}
}
