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

// Writer identifies the process that writes; its fields stand in the segments' headers.
type Writer struct {
	Instance          string
	BootID            uint32  // stands for this boot of the machine; 0 is not known
	ClockOffsetMillis float64 // of the system's clock against the machine's uptime
}

// errRetired says that the successor process owns the journal.
var errRetired = errors.New("journal: another process has taken it over")

// Log is a journal being written, one commit after another. View, Apply and SegmentCount may be called from
// any goroutine; all else is for the one goroutine that writes.
type Log struct {
	disk         Disk
	config       txnjournal.Config
	writer       Writer
	incarnation  uint32
	firstSegment uint64 // of this incarnation
	file         File   // nil where a new segment has to be begun
	offset       int    // in file
	batch        uint32 // counted within the segment
	dirty        bool   // something was written that is not durable
	buffer       []byte // for encoding
	Replayed     ReplayStats

	mu         sync.Mutex // guards what follows; never held over I/O
	index      *txnjournal.Index
	lock       io.Closer
	segment    uint64   // being written, or written last
	segments   []uint64 // on disk, in their order
	retainFrom uint64   // segments from here on are not removed, as the predecessor still writes; 0 is none
	retired    bool
}

// Open locks a journal and reads it; it writes nothing. overlap says that the predecessor process may go on
// writing outcomes, until AbsorbPredecessor. The error is ErrLocked while another process has the journal.
func Open(disk Disk, config txnjournal.Config, writer Writer, nowMillis float64, overlap bool) (*Log, error) {
	lock, err := disk.Lock()
	if err != nil {
		return nil, err
	}
	l := &Log{disk: disk, config: config, writer: writer, lock: lock}
	replay, err := ReadAll(disk, config, nowMillis, Visitor{})
	if err != nil {
		_ = lock.Close()
		return nil, err
	}
	l.index, l.Replayed, l.segments = replay.Index, replay.Stats, replay.Segments
	l.incarnation = replay.LastIncarnation + 1
	if len(l.segments) > 0 {
		l.segment = l.segments[len(l.segments)-1]
	}
	if l.firstSegment = l.segment + 1; overlap && len(l.segments) > 0 {
		l.retainFrom = l.segment
	}
	return l, nil
}

// AbsorbPredecessor applies the outcomes that the predecessor process has written since Open. It is called
// once that process has ended.
func (l *Log) AbsorbPredecessor() {
	l.mu.Lock()
	first := l.retainFrom
	l.mu.Unlock()
	if first == 0 {
		return
	}
	for number := first; number < l.firstSegment; number++ {
		b, err := l.disk.Load(txnjournal.SegmentName(number))
		if err != nil {
			continue // the outcomes stay unknown
		}
		txnjournal.ReadSegment(number, b, func(_ int, record txnjournal.Record) {
			if record.Kind == txnjournal.KindOutcome {
				l.mu.Lock()
				l.index.Apply(number, record)
				l.mu.Unlock()
			}
		})
	}
	l.mu.Lock()
	l.retainFrom = 0
	l.mu.Unlock()
}

// Incarnation returns the number of this incarnation, from 1.
func (l *Log) Incarnation() uint32 { return l.incarnation }

// Apply applies a record to the index; it writes nothing.
func (l *Log) Apply(record txnjournal.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index.Apply(max(l.segment, 1), record)
}

// View calls f with the index, under the lock.
func (l *Log) View(f func(*txnjournal.Index)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.index)
}

// Commit writes records and returns once they are durable, with all that was staged before. After an error
// it is unknown which of them were written; the next Commit begins a new segment.
func (l *Log) Commit(records []txnjournal.Record, nowMillis float64) error {
	if err := l.Stage(records, nowMillis); err != nil {
		return err
	}
	return l.sync()
}

// Stage writes records that the next Commit makes durable. From here on they outlive the process, though
// not the machine. After an error the same holds as with Commit, for all that was staged since the last
// one.
func (l *Log) Stage(records []txnjournal.Record, nowMillis float64) error {
	if l.file == nil {
		return l.beginSegment(records, nowMillis) // durable at once
	}
	if !l.dirty {
		l.batch++
	}
	b, err := l.encode(l.buffer[:0], l.segment, l.offset, records)
	l.buffer = b
	if err != nil {
		return err
	}
	if l.offset+len(b) > l.config.SegmentBytes {
		if err := l.sync(); err != nil {
			return err
		}
		if err := l.closeSegment(); err != nil {
			return err
		}
		return l.beginSegment(records, nowMillis)
	}
	return l.write(b)
}

// encode appends records, encoded for an offset of a segment.
func (l *Log) encode(b []byte, segment uint64, offset int, records []txnjournal.Record) ([]byte, error) {
	base := len(b)
	for _, record := range records {
		record.Incarnation, record.Batch = l.incarnation, l.batch
		var err error
		if b, err = txnjournal.AppendRecord(b, segment, offset+len(b)-base, record); err != nil {
			return b, err
		}
	}
	return b, nil
}

// write writes at the segment's offset. After an error the segment is closed.
func (l *Log) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := l.file.WriteAt(b, int64(l.offset)); err != nil {
		_ = l.closeSegment()
		return fmt.Errorf("journal: %w", err)
	}
	l.offset += len(b)
	l.dirty = true
	return nil
}

// sync makes durable what was written. After an error the segment is closed.
func (l *Log) sync() error {
	if !l.dirty || l.file == nil {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		// The kernel may have dropped the pages that it could not write, and a later Sync that succeeds would say
		// nothing of them. So nothing more is written to this segment.
		_ = l.closeSegment()
		return fmt.Errorf("journal: %w", err)
	}
	l.dirty = false
	return nil
}

// closeSegment closes the segment that is being written.
func (l *Log) closeSegment() error {
	f := l.file
	l.file, l.dirty = nil, false
	return f.Close()
}

// beginSegment creates the next segment, and writes the checkpoint of those that are to be removed and the
// records.
func (l *Log) beginSegment(records []txnjournal.Record, nowMillis float64) error {
	l.mu.Lock()
	number, retired := l.segment+1, l.retired
	l.mu.Unlock()
	if retired {
		return errRetired
	}
	f, err := l.disk.Create(txnjournal.SegmentName(number), l.config.SegmentBytes)
	if err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	l.mu.Lock()
	l.segment = number
	l.segments = append(l.segments, number)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	l.file, l.offset, l.batch = f, 0, 1
	if err = l.disk.Sync(); err != nil {
		_ = l.closeSegment()
		return err
	}
	header := txnjournal.SegmentHeader{
		Number:            number,
		Incarnation:       l.incarnation,
		Policy:            l.config.Policy,
		CreatedMillis:     nowMillis,
		BootID:            l.writer.BootID,
		ClockOffsetMillis: l.writer.ClockOffsetMillis,
		Instance:          l.writer.Instance,
	}
	b := txnjournal.AppendHeader(l.buffer[:0], header)
	firstLive, snapshot := l.checkpoint(header)
	for _, group := range [][]txnjournal.Record{snapshot, records} {
		if b, err = l.encode(b, number, len(b), group); err != nil {
			_ = l.closeSegment()
			return err
		}
	}
	if l.buffer = b; len(b) > l.config.SegmentBytes {
		_ = l.closeSegment()
		return fmt.Errorf("journal: %d bytes don't fit a segment", len(b))
	}
	if err = l.write(b); err == nil {
		err = l.sync()
	}
	if err != nil || firstLive == 0 {
		return err
	}
	l.removeBelow(firstLive, number)
	return nil
}

// checkpoint returns what has to be durable in a new segment before those below firstLive can be removed.
// It is 0 where none can.
func (l *Log) checkpoint(header txnjournal.SegmentHeader) (firstLive uint64, snapshot []txnjournal.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index.OpenSegment(header)
	maxSegments := uint64(l.config.MaxSegments)
	if l.segment <= maxSegments {
		return 0, nil
	}
	if firstLive = l.segment - maxSegments + 1; l.retainFrom > 0 {
		firstLive = min(firstLive, l.retainFrom)
	}
	if firstLive <= l.segments[0] {
		return 0, nil
	}
	return firstLive, l.index.Checkpoint(firstLive, l.incarnation, header.CreatedMillis, l.config.SegmentBytes/2)
}

// removeBelow removes the segments below a number, whose checkpoint is durable in another. One that can't be
// removed is tried again the next time.
func (l *Log) removeBelow(firstLive, checkpointSegment uint64) {
	l.mu.Lock()
	l.index.CheckpointDurable(firstLive, checkpointSegment)
	segments := slices.Clone(l.segments)
	l.mu.Unlock()
	removed := 0
	for _, number := range segments {
		if number >= firstLive {
			break
		}
		if err := l.disk.Remove(txnjournal.SegmentName(number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			break
		}
		removed++
	}
	l.mu.Lock()
	l.segments = l.segments[removed:]
	l.mu.Unlock()
}

// Retire hands the journal over to a successor process. Outcomes may still be committed, as far as they fit
// the segment.
func (l *Log) Retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired = true; l.lock != nil {
		_ = l.lock.Close()
		l.lock = nil
	}
}

// Close closes the segment and releases the journal.
func (l *Log) Close() {
	if l.file != nil {
		_ = l.closeSegment()
	}
	l.Retire()
}

// SegmentCount returns how many segments are on disk.
func (l *Log) SegmentCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.segments)
}
