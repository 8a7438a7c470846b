package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Limits are what a list may have at most. What is held of one while it is read is its workers and the text
// of one entry; so its memory is bounded by the three together.
type Limits struct {
	ListBytes  int // of its text
	ValueBytes int // of the text of one entry, or of any other single value
	Workers    int
}

// ErrTooLong is the end of a stream with a list beyond its bounds.
var ErrTooLong = errors.New("list of workers: too long")

// MalformedError is what a stream says that is no list. What it told of the workers is then unknown; after any
// other error it has told all that was given, and no more.
type MalformedError struct{ error }

// Unwrap gives what is wrong with it.
func (e MalformedError) Unwrap() error { return e.error }

// Stream reads lists one after another, each laid out over lines as it likes.
type Stream struct {
	in             io.Reader
	decoder        decoder
	deliveredBytes int64 // bytes that the decoder has been given
	onActivity     func(empty bool)
	limits         Limits
	remainingBytes int   // bytes that may still come until the list is whole
	inList         bool  // part of a list has come
	blankLine      bool  // nothing has come in this line
	readErr        error // of in
	listStarted    time.Time
}

// NewStream reads lists within bounds from in. As it comes, sign hears of each empty line
// between lists, and of each list that begins; not of how it goes on, or one that trickles would seem alive.
func NewStream(in io.Reader, limits Limits, onActivity func(empty bool)) *Stream {
	s := &Stream{in: in, onActivity: onActivity, limits: limits, remainingBytes: limits.ListBytes,
		blankLine: true}
	s.decoder = decoder{tokens: json.NewDecoder(s), maxWorkers: limits.Workers}
	return s
}

// Next gives the next list. Its error is Nonsense, ErrTooLong, or else why nothing more comes: io.EOF between
// lists, io.ErrUnexpectedEOF in one, or what the reader said.
func (s *Stream) Next() (List, error) {
	list, err := s.decoder.readList()
	switch {
	case err == nil:
	case err == ErrTooLong,
		s.readErr != nil && (errors.Is(err, s.readErr) || errors.Is(err, io.ErrUnexpectedEOF)):
		return List{}, err
	default:
		return List{}, MalformedError{fmt.Errorf("list of workers: %w", err)}
	}
	s.inList, s.blankLine = false, false // the line that it ends in is no empty one
	s.remainingBytes, s.listStarted = s.limits.ListBytes, time.Time{}
	unread, err := io.ReadAll(s.decoder.tokens.Buffered())
	s.scan(unread)
	return list, err
}

// ListStarted gives when the list began that is not whole yet; zero where there is none.
func (s *Stream) ListStarted() time.Time { return s.listStarted }

// Read reads on for the decoder, but for blanks between lists: it would keep them until the next list.
func (s *Stream) Read(p []byte) (int, error) {
	for {
		pending := int(s.deliveredBytes - s.decoder.tokens.InputOffset()) // of a value that is not whole yet
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

// scan notes what has come since the last list. Blanks inside a list are no sign of life: one that is cut off
// would seem to go on for ever.
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
