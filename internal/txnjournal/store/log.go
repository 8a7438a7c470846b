package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"sync"

	"willowdeck/internal/txnjournal"
)

// Who is the one that writes.
type Who struct {
	Name   string
	Boot   uint32  // stands for this start of the machine; 0 is not known
	Offset float64 // of the system's clock against the machine's uptime, ms
}

var errRetired = errors.New("journal: another process goes on with it")

// Log is a journal as it is written, one commit after another. Its book may be asked from any goroutine; all
// else is one goroutine's.
type Log struct {
	disk  Disk
	terms txnjournal.Terms
	who   Who
	life  uint32
	first uint64 // segment of this life
	file  File   // nil where a new segment has to be begun
	at    int
	group uint32
	dirty bool // something was written that is not durable
	buf   []byte
	Found Found

	mu      sync.Mutex // of what follows; never held over I/O
	book    *txnjournal.Book
	lock    io.Closer
	number  uint64 // of the segment that is written, or was last
	have    []uint64
	hold    uint64 // from here on segments may not be let go: another process still writes there. 0 is none
	retired bool
}

// Found is what opening a journal has met.
type Found struct {
	Segments, Records, Unreadable, Torn, Damaged int
	Bytes, Cut                                   int64 // read, and of these that were no records
}

// ReadAll reads all there is into a book, without writing or locking anything. each may be nil.
func ReadAll(
	d Disk,
	t txnjournal.Terms,
	now float64,
	each func(number uint64, s txnjournal.Seen),
	record func(number uint64, offset int, r txnjournal.Record),
) (*txnjournal.Book, Found, []uint64, uint32, error) {
	book, found, life := txnjournal.NewBook(t), Found{}, uint32(0)
	numbers, err := segments(d)
	if err != nil {
		return nil, found, nil, 0, err
	}
	var before []txnjournal.Seen // whose ends are not known yet
	for _, n := range numbers {
		b, err := d.Load(txnjournal.Name(n))
		if errors.Is(err, fs.ErrNotExist) {
			continue // let go meanwhile
		}
		if err != nil { // what can't be read may hold anything
			b = []byte{1}
		}
		h, blank := txnjournal.HeadOf(n, b)
		if blank {
			book.Blank(n)
		} else {
			if !h.Spoilt {
				closes(book, before, h.At)
				before = nil
			}
			book.Opens(h)
		}
		seen := txnjournal.Read(n, b, func(offset int, r txnjournal.Record) {
			book.Take(n, r)
			life = max(life, r.Life)
			if record != nil {
				record(n, offset, r)
			}
		})
		if !seen.Blank {
			before = append(before, seen)
		}
		life = max(life, seen.Head.Life)
		found.add(b, seen)
		if each != nil {
			each(n, seen)
		}
	}
	closes(book, before, now)
	book.Finish()
	return book, found, numbers, life, nil
}

func closes(b *txnjournal.Book, all []txnjournal.Seen, until float64) {
	for _, s := range all {
		b.Closes(s, until)
	}
}

func (f *Found) add(b []byte, s txnjournal.Seen) {
	f.Segments++
	f.Records += s.Records
	f.Bytes += int64(len(b))
	f.Cut += int64(s.Lost)
	switch {
	case s.Head.Unreadable:
		f.Unreadable++
	case s.Torn && len(s.Doubts) == 1:
		f.Torn++
	case len(s.Doubts) > 0:
		f.Damaged++
	}
}

func segments(d Disk) ([]uint64, error) {
	names, err := d.Names()
	if err != nil {
		return nil, err
	}
	var all []uint64
	for _, name := range names {
		if n, ok := txnjournal.NumberOf(name); ok {
			all = append(all, n)
		}
	}
	slices.Sort(all)
	return all, nil
}

// Open locks a journal and reads it. Nothing is written yet. beside tells that the process that wrote last
// may go on telling how its submissions ended, until Settle.
func Open(d Disk, t txnjournal.Terms, who Who, now float64, beside bool) (*Log, error) {
	lock, err := d.Lock()
	if err != nil {
		return nil, err
	}
	l := &Log{disk: d, terms: t, who: who, lock: lock}
	var life uint32
	if l.book, l.Found, l.have, life, err = ReadAll(d, t, now, nil, nil); err != nil {
		_ = lock.Close()
		return nil, err
	}
	l.life = life + 1
	if len(l.have) > 0 {
		l.number = l.have[len(l.have)-1]
	}
	if l.first = l.number + 1; beside && len(l.have) > 0 {
		l.hold = l.number
	}
	return l, nil
}

// Settle takes what the process before has written since this one read the journal, once that has ended.
func (l *Log) Settle() {
	l.mu.Lock()
	from := l.hold
	l.mu.Unlock()
	if from == 0 {
		return
	}
	for n := from; n < l.first; n++ {
		b, err := l.disk.Load(txnjournal.Name(n))
		if err != nil {
			continue // what it wrote is unknown, as it was
		}
		txnjournal.Read(n, b, func(_ int, r txnjournal.Record) {
			if r.Kind == txnjournal.Ended {
				l.mu.Lock()
				l.book.Take(n, r)
				l.mu.Unlock()
			}
		})
	}
	l.mu.Lock()
	l.hold = 0
	l.mu.Unlock()
}

// Life is this life's number.
func (l *Log) Life() uint32 { return l.life }

// Take notes a record in the book.
func (l *Log) Take(r txnjournal.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Take(max(l.number, 1), r)
}

// Ask lets f look at the book.
func (l *Log) Ask(f func(*txnjournal.Book)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.book)
}

// Commit writes records and returns once they are durable, with all that was staged before. After an error
// none of them may be taken for written, nor for unwritten; the next one begins a segment of its own.
func (l *Log) Commit(all []txnjournal.Record, now float64) error {
	if err := l.Stage(all, now); err != nil {
		return err
	}
	return l.sync()
}

// Stage writes records that the next Commit makes durable. From here on they outlive the process, though not
// the machine. What an error means is as with Commit, for all that was staged since the last one.
func (l *Log) Stage(all []txnjournal.Record, now float64) error {
	if l.file == nil {
		return l.begin(all, now) // durable at once
	}
	if !l.dirty {
		l.group++
	}
	b, err := l.encode(l.buf[:0], l.number, l.at, all)
	l.buf = b
	if err != nil {
		return err
	}
	if l.at+len(b) > l.terms.Segment {
		if err := l.sync(); err != nil {
			return err
		}
		if err := l.drop(); err != nil {
			return err
		}
		return l.begin(all, now)
	}
	return l.write(b)
}

func (l *Log) encode(b []byte, number uint64, at int, all []txnjournal.Record) ([]byte, error) {
	base := len(b)
	for _, r := range all {
		r.Life, r.Group = l.life, l.group
		var err error
		if b, err = txnjournal.Append(b, number, at+len(b)-base, r); err != nil {
			return b, err
		}
	}
	return b, nil
}

func (l *Log) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := l.file.WriteAt(b, int64(l.at)); err != nil {
		_ = l.drop()
		return fmt.Errorf("journal: %w", err)
	}
	l.at += len(b)
	l.dirty = true
	return nil
}

// sync makes durable what was written.
func (l *Log) sync() error {
	if !l.dirty || l.file == nil {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		// What the system has of it is not known any more, and a later Sync that goes well says nothing of it: it
		// may have dropped what it could not write. So nothing more is written there.
		_ = l.drop()
		return fmt.Errorf("journal: %w", err)
	}
	l.dirty = false
	return nil
}

// drop ends the segment that is written.
func (l *Log) drop() error {
	f := l.file
	l.file, l.dirty = nil, false
	return f.Close()
}

// begin makes the next segment, and writes what has to be kept of those that go, and the records.
func (l *Log) begin(all []txnjournal.Record, now float64) error {
	l.mu.Lock()
	number, retired := l.number+1, l.retired
	l.mu.Unlock()
	if retired {
		return errRetired
	}
	f, err := l.disk.Create(txnjournal.Name(number), l.terms.Segment)
	if err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	l.mu.Lock()
	l.number = number
	l.have = append(l.have, number)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	l.file, l.at, l.group = f, 0, 1
	if err = l.disk.Sync(); err != nil {
		_ = l.drop()
		return err
	}
	h := txnjournal.Head{Number: number, Life: l.life, Policy: l.terms.Policy, At: now, Boot: l.who.Boot,
		Offset: l.who.Offset, Name: l.who.Name}
	b := txnjournal.AppendHead(l.buf[:0], h)
	below, kept := l.checkpoint(h)
	for _, more := range [][]txnjournal.Record{kept, all} {
		if b, err = l.encode(b, number, len(b), more); err != nil {
			_ = l.drop()
			return err
		}
	}
	if l.buf = b; len(b) > l.terms.Segment {
		_ = l.drop()
		return fmt.Errorf("journal: %d bytes don't fit a segment", len(b))
	}
	if err = l.write(b); err == nil {
		err = l.sync()
	}
	if err != nil || below == 0 {
		return err
	}
	l.letGo(below, number)
	return nil
}

// checkpoint gives what has to be in a new segment before those below a number can go; 0 where none can.
func (l *Log) checkpoint(h txnjournal.Head) (below uint64, kept []txnjournal.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Opens(h)
	n := uint64(l.terms.Segments)
	if l.number <= n {
		return 0, nil
	}
	if below = l.number - n + 1; l.hold > 0 {
		below = min(below, l.hold)
	}
	if below <= l.have[0] {
		return 0, nil
	}
	return below, l.book.Checkpoint(below, l.life, h.At, l.terms.Segment/2)
}

// letGo removes the segments below a number, whose checkpoint is durable in another. What can't be removed
// is tried again the next time.
func (l *Log) letGo(below, in uint64) {
	l.mu.Lock()
	l.book.Moved(below, in)
	have := slices.Clone(l.have)
	l.mu.Unlock()
	gone := 0
	for _, n := range have {
		if n >= below {
			break
		}
		if err := l.disk.Remove(txnjournal.Name(n)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			break
		}
		gone++
	}
	l.mu.Lock()
	l.have = l.have[gone:]
	l.mu.Unlock()
}

// Retire lets another process take over. How submissions ended may still be committed, as far as the segment
// has room.
func (l *Log) Retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired = true; l.lock != nil {
		_ = l.lock.Close()
		l.lock = nil
	}
}

// Close lets the journal go.
func (l *Log) Close() {
	if l.file != nil {
		_ = l.drop()
	}
	l.Retire()
}

// Segments is how many segments there are.
func (l *Log) Segments() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.have)
}
