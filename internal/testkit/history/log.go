package history

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// Now gives ns of the machine's monotonic clock, which all its processes read alike. It goes on while a
// process stands still, and does not follow the system's clock when that is set.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // there is no machine without it
	}
	return t.Nano()
}

// Log is a record kept in a file, one JSON line an event and one write(2) a line, so that what Write has
// returned from is in the kernel's hands and outlives a kill of the process (not a fall of the machine). It
// is safe for concurrent use; lines stand in the order of their time. A nil Log takes nothing.
type Log struct {
	// Tell is told the first error, once; nil writes it to standard error. It is set before the first Write.
	Tell func(error)

	mu          sync.Mutex
	out         io.Writer // the file, but for tests
	file        *os.File
	lines       zerolog.Logger
	who         string
	incarnation uint32
	seq         uint64
	torn        bool  // the last write was cut short: a line's start stands in the file
	fault       error // of the write at hand
	lost        int64
	first       error
}

// Open opens the record of one life of a process, and writes that it Began. Lives of one process may share a
// file, one after the other; a line that the last one left torn is ended first.
func Open(path, who string, life uint32) (*Log, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_APPEND|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	l := &Log{out: f, file: f, who: who, incarnation: life}
	info, err := f.Stat()
	if err == nil && info.Size() > 0 {
		var last [1]byte
		_, err = f.ReadAt(last[:], info.Size()-1)
		l.torn = last[0] != '\n'
	}
	if err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("history: %w", err)
	}
	l.lines = zerolog.New(lineWriter{l})
	l.Write(Event{Kind: Began})
	if l.first != nil {
		_ = f.Close()
		return nil, l.first
	}
	return l, nil
}

// lineWriter takes whole lines from the encoder. The log's lock is held.
type lineWriter struct{ l *Log }

func (w lineWriter) Write(b []byte) (int, error) {
	l := w.l
	if l.torn {
		b = append([]byte{'\n'}, b...)
	}
	for done := 0; done < len(b); {
		n, err := l.out.Write(b[done:])
		if done += n; err == nil && n == 0 {
			err = io.ErrShortWrite
		}
		if err != nil { // only a line's end may be missing, or all of it: then nothing is torn that was not
			l.torn = done > 0 && done < len(b) && (!l.torn || done != 1 || b[0] != '\n')
			l.fault = err
			return len(b), nil // told by Write
		}
	}
	l.torn = false
	return len(b), nil
}

var errNumber = errors.New("units or age are no number")

// Write gives an event its time, name, life and place, and returns once its line is written. One that
// cannot be written is counted and leaves a gap in the places, which Read finds.
func (l *Log) Write(e Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.seq++
	e.At, e.Who, e.Incarnation, e.Seq = Now(), l.who, l.incarnation, l.seq
	l.fault = nil
	if finite(e.Units) && finite(e.Age) {
		encode(&l.lines, &e)
	} else {
		l.fault = errNumber
	}
	err, tell := l.fault, false
	if err != nil {
		l.lost++
		if tell = l.first == nil; tell {
			l.first = fmt.Errorf("history: %s: place %d: %w", l.who, e.Seq, err)
			err = l.first
		}
	}
	l.mu.Unlock()
	switch {
	case tell && l.Tell != nil:
		l.Tell(err)
	case tell:
		fmt.Fprintln(os.Stderr, err)
	}
}

func finite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }

// encode writes one line; the names are those of Event's fields.
func encode(to *zerolog.Logger, e *Event) {
	z := to.Log().Int64("at", e.At).Str("who", e.Who)
	number := func(name string, n uint64) {
		if n != 0 {
			z.Uint64(name, n)
		}
	}
	word := func(name, s string) {
		if s != "" {
			z.Str(name, s)
		}
	}
	number("life", uint64(e.Incarnation))
	z.Uint64("seq", e.Seq).Str("kind", string(e.Kind))
	number("version", e.Version)
	number("base", e.Base)
	word("mark", e.Digest)
	word("mode", e.Mode)
	word("txn", e.Txn)
	number("customer", e.Customer)
	word("plan", e.Plan)
	word("product", e.Product)
	word("worker", e.Worker)
	word("peer", e.Peer)
	number("peer_life", uint64(e.PeerIncarnation))
	if e.Units != 0 {
		z.Float64("units", e.Units)
	}
	number("serial", e.Serial)
	if e.Expiry != 0 {
		z.Int64("expiry", e.Expiry)
	}
	if e.Age != 0 {
		z.Float64("age", e.Age)
	}
	word("says", e.Says)
	z.Send()
}

// Lost gives how many events could not be written, and the first error.
func (l *Log) Lost() (int64, error) {
	if l == nil {
		return 0, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost, l.first
}

// Close writes that the life has ended, and closes the file. Its error tells of events that were lost.
func (l *Log) Close() error {
	if l == nil {
		return nil
	}
	l.Write(Event{Kind: Gone})
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.file.Close()
	if l.lost > 0 {
		err = errors.Join(fmt.Errorf("%d events are lost", l.lost), l.first, err)
	}
	return err
}

// Memory is a record kept in memory, for tests and what runs in their process. The zero one is ready. It is
// safe for concurrent use, by any number of writers.
type Memory struct {
	mu     sync.Mutex
	events []Event
}

// As gives the recorder of one life of a process, and writes that it Began.
func (m *Memory) As(who string, life uint32) Recorder {
	w := &memoryWriter{m: m, who: who, life: life}
	w.Write(Event{Kind: Began})
	return w
}

type memoryWriter struct {
	m    *Memory
	who  string
	life uint32
	seq  uint64
}

func (w *memoryWriter) Write(e Event) {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	w.seq++
	e.At, e.Who, e.Incarnation, e.Seq = Now(), w.who, w.life, w.seq
	w.m.events = append(w.m.events, e)
}

// Record gives what has been written so far, in the order of time.
func (m *Memory) Record() Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return merge(slices.Clone(m.events))
}
