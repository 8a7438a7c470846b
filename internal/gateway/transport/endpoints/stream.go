package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Bounds are what a list may have at most. What is held of one while it is read is its workers and the text
// of one entry; so its memory is bounded by the three together.
type Bounds struct {
	Bytes   int // of its text
	Entry   int // of the text of one entry, or of any other single value
	Workers int
}

// ErrTooLong is the end of a stream with a list beyond its bounds.
var ErrTooLong = errors.New("list of workers: too long")

// Nonsense is what a stream says that is no list. What it told of the workers is then unknown; after any
// other error it has told all that was given, and no more.
type Nonsense struct{ error }

// Unwrap gives what is wrong with it.
func (n Nonsense) Unwrap() error { return n.error }

// Stream reads lists one after another, each laid out over lines as it likes.
type Stream struct {
	in     io.Reader
	reader reader
	taken  int64 // bytes that the decoder has been given
	sign   func(empty bool)
	bounds Bounds
	left   int   // bytes that may still come until the list is whole
	within bool  // part of a list has come
	blank  bool  // nothing has come in this line
	failed error // of in
	began  time.Time
}

// NewStream reads lists within bounds from in. As it comes, sign hears of each empty line
// between lists, and of each list that begins; not of how it goes on, or one that trickles would seem alive.
func NewStream(in io.Reader, b Bounds, sign func(empty bool)) *Stream {
	s := &Stream{in: in, sign: sign, bounds: b, left: b.Bytes, blank: true}
	s.reader = reader{dec: json.NewDecoder(s), most: b.Workers}
	return s
}

// Next gives the next list. Its error is Nonsense, ErrTooLong, or else why nothing more comes: io.EOF between
// lists, io.ErrUnexpectedEOF in one, or what the reader said.
func (s *Stream) Next() (List, error) {
	l, err := s.reader.list()
	switch {
	case err == nil:
	case err == ErrTooLong,
		s.failed != nil && (errors.Is(err, s.failed) || errors.Is(err, io.ErrUnexpectedEOF)):
		return List{}, err
	default:
		return List{}, Nonsense{fmt.Errorf("list of workers: %w", err)}
	}
	s.within, s.blank = false, false // the line that it ends in is no empty one
	s.left, s.began = s.bounds.Bytes, time.Time{}
	ahead, err := io.ReadAll(s.reader.dec.Buffered())
	s.look(ahead)
	return l, err
}

// Began gives when the list began that is not whole yet; zero where there is none.
func (s *Stream) Began() time.Time { return s.began }

// Read reads on for the decoder, but for blanks between lists: it would keep them until the next list.
func (s *Stream) Read(p []byte) (int, error) {
	for {
		inHand := int(s.taken - s.reader.dec.InputOffset()) // of a value that is not whole yet
		most := min(len(p), s.left, s.bounds.Entry-inHand)
		if most <= 0 {
			s.failed = ErrTooLong
			return 0, s.failed
		}
		n, err := s.in.Read(p[:most])
		s.look(p[:n])
		if err != nil {
			s.failed = err
		}
		if !s.within {
			n = 0
		}
		if s.taken += int64(n); n > 0 || err != nil {
			return n, err
		}
	}
}

// look notes what has come since the last list. Blanks inside a list are no sign of life: one that is cut off
// would seem to go on for ever.
func (s *Stream) look(b []byte) {
	s.left -= len(b)
	for _, c := range b {
		switch c {
		case ' ', '\t', '\r':
		case '\n':
			if s.blank && !s.within {
				s.sign(true)
			}
			s.blank = true
		default:
			begins := !s.within
			if s.within, s.blank = true, false; begins {
				s.began = time.Now()
				s.sign(false)
			}
		}
	}
}
