package tallylog

import (
	"iter"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

const (
	segmentPrefix   = "tallies-" // prefix of the names of segment files
	maxSegmentBytes = 4 << 20    // size from which on Append starts another segment
)

// ErrCorrupted is the error of a segment that is corrupt before its end.
var ErrCorrupted = errors.New(
	"log of tallies is corrupted before its end: other cores send what is missing; check the disk")

// Log is the log of one core. It is not safe for concurrent use.
type Log struct {
	fsys    wal.FileSystem
	dir     string
	file    wal.File // nil before the first Append, and after a failed write or sync
	path    string   // of file
	number  uint64   // of the newest segment
	size    int      // of file in bytes
	durable bool     // file contains at least one durable frame
	failed  string   // path of the newest segment whose first write or sync failed, until it is removed

	earlier       []byte // merged frames of earlier processes, until Consolidate has succeeded
	earlierNumber uint64 // of the newest segment of earlier processes
	rewriteFailed bool   // the next attempt of Consolidate uses rewriteOneByOne
	consolidated  bool
}

// Opened is an open log.
type Opened struct {
	Log        *Log
	Corruption error // wraps ErrCorrupted if a segment is corrupt before its end; otherwise nil
}

// Open reads the segments in dir. It writes nothing.
func Open(fsys wal.FileSystem, dir string) (Opened, error) {
	opened := Opened{Log: &Log{fsys: fsys, dir: dir}}
	numbers, err := wal.SegmentNumbers(fsys, dir, segmentPrefix)
	if err != nil {
		return opened, err
	}
	merged := newMerger()
	for _, number := range numbers {
		path := wal.SegmentPath(dir, segmentPrefix, number)
		data, err := fsys.ReadFile(path)
		if err != nil {
			return opened, errors.Wrapf(err, "cannot read %s: check the disk", path)
		}
		opened.Log.number, opened.Log.earlierNumber = number, number
		corruption, err := replay(data, merged)
		if err != nil {
			return opened, err
		}
		if corruption != nil {
			opened.Corruption = errors.Wrap(corruption, path)
		}
	}
	opened.Log.earlier, err = merged.finish()
	return opened, err
}

// replay adds the records of a segment's valid frames to merged. Invalid bytes before a valid frame are
// skipped and reported as corruption.
func replay(data []byte, merged *merger) (corruption, err error) {
	for len(data) > 0 {
		payload, rest, ok := wal.NextFrame(data)
		if !ok {
			next := wal.NextValidFrame(data)
			if next < 0 {
				return corruption, nil
			}
			corruption = ErrCorrupted
			data = data[next:]
			continue
		}
		data = rest
		var frame wirepb.TallyLogFrame
		if err := proto.Unmarshal(payload, &frame); err != nil {
			corruption = errors.Wrap(ErrCorrupted, err.Error())
			continue
		}
		if err := merged.add(frame.Records); err != nil {
			return corruption, err
		}
	}
	return corruption, nil
}

// Earlier returns the records of earlier processes, ordered by sequence number for each origin. It returns
// none after Consolidate has succeeded.
func (l *Log) Earlier() iter.Seq[*wirepb.TallyRecords] {
	return func(yield func(*wirepb.TallyRecords) bool) {
		payload, rest, ok := wal.NextFrame(l.earlier)
		for ok {
			var frame wirepb.TallyLogFrame
			if err := proto.Unmarshal(payload, &frame); err != nil {
				return // cannot happen: Open has encoded the frame
			}
			for _, records := range frame.Records {
				if !yield(records) {
					return
				}
			}
			payload, rest, ok = wal.NextFrame(rest)
		}
	}
}

// Consolidate writes the records of earlier processes to new segments, makes them durable, and removes the
// earlier segments. It may be called again after an error. The first attempt writes one segment with all
// records. If that fails, for example because the disk has no room for two copies, the next attempt
// replaces one segment at a time; the two ways alternate until one succeeds.
func (l *Log) Consolidate() error {
	if l.consolidated {
		return nil
	}
	rewrite := l.rewriteTogether
	if l.rewriteFailed {
		rewrite = l.rewriteOneByOne
	}
	if err := rewrite(); err != nil {
		l.rewriteFailed = !l.rewriteFailed
		return err
	}
	l.earlier = nil
	l.consolidated = true
	return nil
}

// rewriteTogether replaces the segments of earlier processes by one segment with their merged frames.
func (l *Log) rewriteTogether() error {
	if len(l.earlier) > 0 {
		if err := l.writeSegment(l.earlier); err != nil {
			return err
		}
	}
	l.removeEarlierSegments()
	return nil
}

// rewriteOneByOne replaces each segment of earlier processes by a new one with the same content.
func (l *Log) rewriteOneByOne() error {
	numbers, err := wal.SegmentNumbers(l.fsys, l.dir, segmentPrefix)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if number > l.earlierNumber {
			break
		}
		path := wal.SegmentPath(l.dir, segmentPrefix, number)
		data, err := l.fsys.ReadFile(path)
		if err != nil {
			return errors.Wrapf(err, "cannot read %s: check the disk", path)
		}
		if err := l.writeSegment(data); err != nil {
			return err
		}
		if err := l.fsys.Remove(path); err != nil {
			return errors.Wrapf(err, "cannot remove %s: check the disk", path)
		}
	}
	return nil
}

// writeSegment writes a complete segment under the next number.
func (l *Log) writeSegment(data []byte) error {
	name := filepath.Base(wal.SegmentPath(l.dir, segmentPrefix, l.number+1))
	if err := wal.WriteFile(l.fsys, l.dir, name, data); err != nil {
		return err
	}
	l.number++
	return nil
}

// removeEarlierSegments removes the segments of earlier processes, except the newest file of the log. If a
// removal fails, the process that starts next removes the segment.
func (l *Log) removeEarlierSegments() {
	numbers, err := wal.SegmentNumbers(l.fsys, l.dir, segmentPrefix)
	if err != nil {
		return
	}
	for _, number := range numbers {
		if number <= l.earlierNumber && number < l.number {
			_ = l.fsys.Remove(wal.SegmentPath(l.dir, segmentPrefix, number))
		}
	}
}

// Append writes records as one frame and syncs it. After an error, the caller may append the records again;
// Append then writes them to another segment.
func (l *Log) Append(records []*wirepb.TallyRecords) error {
	frame, err := encodeFrame(records)
	if err != nil {
		return err
	}
	if l.size >= maxSegmentBytes {
		l.closeSegment()
	}
	if l.file == nil {
		err = l.beginSegment(frame)
	} else {
		err = writeAndSync(l.file, frame)
	}
	if err != nil {
		l.abandonSegment()
		return err
	}
	l.durable = true
	l.size += len(frame)
	return nil
}

// beginSegment creates a segment, and writes and syncs its first frame.
func (l *Log) beginSegment(frame []byte) error {
	path := wal.SegmentPath(l.dir, segmentPrefix, l.number+1)
	file, err := l.fsys.Create(path)
	if err != nil {
		return errors.Wrapf(err, "cannot create %s: check the disk", path)
	}
	l.number++
	l.file, l.path, l.durable = file, path, false
	if l.failed != "" {
		_ = l.fsys.Remove(l.failed) // if this fails, the process that starts next removes it
		l.failed = ""
	}
	if err := writeAndSync(file, frame); err != nil {
		return err
	}
	return errors.Wrapf(l.fsys.SyncDir(l.dir), "cannot sync %s: check the disk", l.dir)
}

// abandonSegment closes the segment, if there is one, after a failed write or sync, since it is unknown
// whether its last frame is durable. A segment without any durable frame is removed once a newer one
// exists.
func (l *Log) abandonSegment() {
	if l.file == nil {
		return
	}
	l.closeSegment()
	if !l.durable {
		l.failed = l.path
	}
}

// closeSegment closes the segment. It ignores errors, because acknowledged records have already been
// synced.
func (l *Log) closeSegment() {
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = nil
	l.size = 0
}

// writeAndSync writes a frame at the end of a file and syncs it.
func writeAndSync(file wal.File, frame []byte) error {
	if _, err := file.Write(frame); err != nil {
		return errors.Wrap(err, "cannot write the log of tallies: free the disk or replace it")
	}
	return errors.Wrap(file.Sync(), "cannot sync the log of tallies: check the disk")
}
