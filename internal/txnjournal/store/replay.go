package store

import (
	"errors"
	"io/fs"
	"slices"

	"willowdeck/internal/txnjournal"
)

// ReplayStats counts what replaying a journal has found.
type ReplayStats struct {
	Segments, Records          int
	Unsupported, Torn, Corrupt int   // segments: of an unknown version; with a damaged end; damaged elsewhere
	Bytes, UnreadableBytes     int64 // read, and of these neither records nor blank
}

// Replay is what replaying a journal has yielded.
type Replay struct {
	Index           *txnjournal.Index
	Stats           ReplayStats
	Segments        []uint64 // that are on disk, in their order
	LastIncarnation uint32
}

// Visitor is called while a journal is replayed. Its functions may be nil.
type Visitor struct {
	Segment func(number uint64, report txnjournal.SegmentReport)
	Record  func(number uint64, offset int, record txnjournal.Record)
}

// ReadAll replays all segments of a journal. It writes nothing and takes no lock, so it may be used while a
// process writes.
func ReadAll(disk Disk, config txnjournal.Config, nowMillis float64, visitor Visitor) (*Replay, error) {
	numbers, err := listSegments(disk)
	if err != nil {
		return nil, err
	}
	replay := &Replay{Index: txnjournal.NewIndex(config), Segments: numbers}
	var unclosed []txnjournal.SegmentReport // whose end times are not known yet
	for _, number := range replay.Segments {
		b, err := disk.Load(txnjournal.SegmentName(number))
		if errors.Is(err, fs.ErrNotExist) {
			continue // removed meanwhile
		}
		if err != nil { // an unreadable segment may hold anything
			b = []byte{1}
		}
		header, blank := txnjournal.DecodeHeader(number, b)
		if blank {
			replay.Index.BlankSegment(number)
		} else {
			if !header.Corrupt {
				closeSegments(replay.Index, unclosed, header.CreatedMillis)
				unclosed = nil
			}
			replay.Index.OpenSegment(header)
		}
		report := txnjournal.ReadSegment(number, b, func(offset int, record txnjournal.Record) {
			replay.Index.Apply(number, record)
			replay.LastIncarnation = max(replay.LastIncarnation, record.Incarnation)
			if visitor.Record != nil {
				visitor.Record(number, offset, record)
			}
		})
		if !report.Blank {
			unclosed = append(unclosed, report)
		}
		replay.LastIncarnation = max(replay.LastIncarnation, report.Header.Incarnation)
		replay.Stats.add(b, report)
		if visitor.Segment != nil {
			visitor.Segment(number, report)
		}
	}
	closeSegments(replay.Index, unclosed, nowMillis)
	replay.Index.FinishReplay()
	return replay, nil
}

// closeSegments closes segments whose end time is now known.
func closeSegments(index *txnjournal.Index, reports []txnjournal.SegmentReport, untilMillis float64) {
	for _, report := range reports {
		index.CloseSegment(report, untilMillis)
	}
}

// add counts a segment.
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

// listSegments returns the numbers of the segments on disk, in their order.
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
