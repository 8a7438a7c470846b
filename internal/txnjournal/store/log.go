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
type Writer struct {
	Instance          string
	BootID            uint32  // stands for this start of the machine; 0 is not known
	ClockOffsetMillis float64 // of the system's clock against the machine's uptime, ms
}

var errRetired = errors.New("journal: another process goes on with it")

// Log is a journal as it is written, one commit after another. Its book may be asked from any goroutine; all
// else is one goroutine's.
type Log struct {
	disk         Disk
	config       txnjournal.Config
	writer       Writer
	incarnation  uint32
	firstSegment uint64 // segment of this life
	file         File   // nil where a new segment has to be begun
	offset       int
	batch        uint32
	dirty        bool // something was written that is not durable
	buffer       []byte
	Replayed     ReplayStats

	mu         sync.Mutex // of what follows; never held over I/O
	index      *txnjournal.Index
	lock       io.Closer
	segment    uint64 // of the segment that is written, or was last
	segments   []uint64
	retainFrom uint64 // from here on segments may not be let go: another process still writes there. 0 is none
	retired    bool
}

// Found is what opening a journal has met.
type ReplayStats struct {
	Segments, Records, Unsupported, Torn, Corrupt int
	Bytes, UnreadableBytes                        int64 // read, and of these that were no records
}

// ReadAll reads all there is into a book, without writing or locking anything. each may be nil.
func ReadAll(
	disk Disk,
	config txnjournal.Config,
	nowMillis float64,
	onSegment func(number uint64, s txnjournal.SegmentReport),
	onRecord func(number uint64, offset int, record txnjournal.Record),
) (*txnjournal.Index, ReplayStats, []uint64, uint32, error) {
	index, stats, incarnation := txnjournal.NewIndex(config), ReplayStats{}, uint32(0)
	numbers, err := listSegments(disk)
	if err != nil {
		return nil, stats, nil, 0, err
	}
	var unclosed []txnjournal.SegmentReport // whose ends are not known yet
	for _, number := range numbers {
		b, err := disk.Load(txnjournal.SegmentName(number))
		if errors.Is(err, fs.ErrNotExist) {
			continue // let go meanwhile
		}
		if err != nil { // what can't be read may hold anything
			b = []byte{1}
		}
		header, blank := txnjournal.DecodeHeader(number, b)
		if blank {
			index.BlankSegment(number)
		} else {
			if !header.Corrupt {
				closeSegments(index, unclosed, header.CreatedMillis)
				unclosed = nil
			}
			index.OpenSegment(header)
		}
		report := txnjournal.ReadSegment(number, b, func(offset int, record txnjournal.Record) {
			index.Apply(number, record)
			incarnation = max(incarnation, record.Incarnation)
			if onRecord != nil {
				onRecord(number, offset, record)
			}
		})
		if !report.Blank {
			unclosed = append(unclosed, report)
		}
		incarnation = max(incarnation, report.Header.Incarnation)
		stats.add(b, report)
		if onSegment != nil {
			onSegment(number, report)
		}
	}
	closeSegments(index, unclosed, nowMillis)
	index.FinishReplay()
	return index, stats, numbers, incarnation, nil
}

func closeSegments(index *txnjournal.Index, reports []txnjournal.SegmentReport, untilMillis float64) {
	for _, report := range reports {
		index.CloseSegment(report, untilMillis)
	}
}

func (r *ReplayStats) add(b []byte, report txnjournal.SegmentReport) {
	r.Segments++
	r.Records += report.Records
	r.Bytes += int64(len(b))
	r.UnreadableBytes += int64(report.UnreadableBytes)
	switch {
	case report.Header.Unsupported:
		r.Unsupported++
	case report.Torn && len(report.Uncertain) == 1:
		r.Torn++
	case len(report.Uncertain) > 0:
		r.Corrupt++
	}
}

func listSegments(disk Disk) ([]uint64, error) {
	names, err := disk.Names()
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, name := range names {
		if n, ok := txnjournal.ParseSegmentName(name); ok {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// Open locks a journal and reads it. Nothing is written yet. beside tells that the process that wrote last
// may go on telling how its submissions ended, until Settle.
func Open(disk Disk, config txnjournal.Config, writer Writer, nowMillis float64, overlap bool) (*Log, error) {
	lock, err := disk.Lock()
	if err != nil {
		return nil, err
	}
	l := &Log{disk: disk, config: config, writer: writer, lock: lock}
	var incarnation uint32
	if l.index, l.Replayed, l.segments, incarnation, err = ReadAll(
		disk,
		config,
		nowMillis,
		nil,
		nil,
	); err != nil {
		_ = lock.Close()
		return nil, err
	}
	l.incarnation = incarnation + 1
	if len(l.segments) > 0 {
		l.segment = l.segments[len(l.segments)-1]
	}
	if l.firstSegment = l.segment + 1; overlap && len(l.segments) > 0 {
		l.retainFrom = l.segment
	}
	return l, nil
}

// Settle takes what the process before has written since this one read the journal, once that has ended.
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
			continue // what it wrote is unknown, as it was
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

// Life is this life's number.
func (l *Log) Incarnation() uint32 { return l.incarnation }

// Take notes a record in the book.
func (l *Log) Apply(record txnjournal.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index.Apply(max(l.segment, 1), record)
}

// Ask lets f look at the book.
func (l *Log) View(f func(*txnjournal.Index)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.index)
}

// Commit writes records and returns once they are durable, with all that was staged before. After an error
// none of them may be taken for written, nor for unwritten; the next one begins a segment of its own.
func (l *Log) Commit(records []txnjournal.Record, nowMillis float64) error {
	if err := l.Stage(records, nowMillis); err != nil {
		return err
	}
	return l.sync()
}

// Stage writes records that the next Commit makes durable. From here on they outlive the process, though not
// the machine. What an error means is as with Commit, for all that was staged since the last one.
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

// sync makes durable what was written.
func (l *Log) sync() error {
	if !l.dirty || l.file == nil {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		// What the system has of it is not known any more, and a later Sync that goes well says nothing of it: it
		// may have dropped what it could not write. So nothing more is written there.
		_ = l.closeSegment()
		return fmt.Errorf("journal: %w", err)
	}
	l.dirty = false
	return nil
}

// drop ends the segment that is written.
func (l *Log) closeSegment() error {
	f := l.file
	l.file, l.dirty = nil, false
	return f.Close()
}

// begin makes the next segment, and writes what has to be kept of those that go, and the records.
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

// checkpoint gives what has to be in a new segment before those below a number can go; 0 where none can.
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

// letGo removes the segments below a number, whose checkpoint is durable in another. What can't be removed
// is tried again the next time.
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
		_ = l.closeSegment()
	}
	l.Retire()
}

// Segments is how many segments there are.
func (l *Log) SegmentCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.segments)
}
