package tallylog

import (
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/wal"
	"willowdeck/internal/serving/wirepb"
)

// segmentPrefix begins the name of each segment file.
const segmentPrefix = "tallies-"

// ErrCorrupted is the error of a segment that has lost records before its end.
var ErrCorrupted = errors.New("log of tallies is corrupted before its end: other cores send what is missing; check the disk")

// Log is the log of one core. It is not safe for concurrent use.
type Log struct {
	fsys    wal.FileSystem
	dir     string
	file    wal.File // nil before the first Append, and after a failed write or sync
	number  uint64   // of the newest segment
	size    int64    // of all segments, in bytes
	earlier []byte   // frames of earlier processes, until Consolidate has succeeded
}

// Opened is a log with the records that it contains, in the order in which they were written.
type Opened struct {
	Log        *Log
	Records    []*wirepb.TallyRecords
	Corruption error // wraps ErrCorrupted where records before the end of a segment are lost, or nil
}

// Open reads the segments in dir. It writes nothing.
func Open(fsys wal.FileSystem, dir string) (Opened, error) {
	opened := Opened{Log: &Log{fsys: fsys, dir: dir}}
	numbers, err := wal.SegmentNumbers(fsys, dir, segmentPrefix)
	if err != nil {
		return opened, err
	}
	for _, number := range numbers {
		path := wal.SegmentPath(dir, segmentPrefix, number)
		data, err := fsys.ReadFile(path)
		if err != nil {
			return opened, errors.Wrapf(err, "cannot read %s: check the disk", path)
		}
		opened.Log.number = number
		if err := opened.replay(data); err != nil {
			opened.Corruption = errors.Wrap(err, path)
		}
	}
	opened.Log.size = int64(len(opened.Log.earlier))
	return opened, nil
}

// replay takes the valid frames of a segment. Invalid bytes before a valid frame are skipped and reported.
func (o *Opened) replay(data []byte) error {
	var corruption error
	for len(data) > 0 {
		payload, rest, ok := wal.NextFrame(data)
		if !ok {
			next := wal.NextValidFrame(data)
			if next < 0 {
				return corruption
			}
			corruption = ErrCorrupted
			data = data[next:]
			continue
		}
		var frame wirepb.TallyLogFrame
		if err := proto.Unmarshal(payload, &frame); err != nil {
			corruption = errors.Wrap(ErrCorrupted, err.Error())
		} else {
			o.Records = append(o.Records, frame.Records...)
			o.Log.earlier = append(o.Log.earlier, data[:len(data)-len(rest)]...)
		}
		data = rest
	}
	return corruption
}

// Size returns the size of the log in bytes.
func (l *Log) Size() int64 { return l.size }

// Consolidate makes the records of earlier processes durable in one segment, and removes their segments. It
// may be called again after an error.
func (l *Log) Consolidate() error {
	if len(l.earlier) == 0 {
		return nil
	}
	last := l.number
	name := filepath.Base(wal.SegmentPath(l.dir, segmentPrefix, last+1))
	if err := wal.WriteFile(l.fsys, l.dir, name, l.earlier); err != nil {
		return err
	}
	l.number = last + 1
	l.earlier = nil
	l.removeSegments(last)
	return nil
}

// removeSegments removes the segments up to a number. What it fails to remove is removed after the next start.
func (l *Log) removeSegments(last uint64) {
	numbers, err := wal.SegmentNumbers(l.fsys, l.dir, segmentPrefix)
	if err != nil {
		return
	}
	for _, number := range numbers {
		if number <= last {
			_ = l.fsys.Remove(wal.SegmentPath(l.dir, segmentPrefix, number))
		}
	}
}

// Append writes records as one frame and syncs it. After an error the records may be appended again: they then
// go into another segment.
func (l *Log) Append(records []*wirepb.TallyRecords) error {
	payload, err := proto.Marshal(&wirepb.TallyLogFrame{Records: records})
	if err != nil {
		return errors.Wrap(err, "cannot encode records of tallies")
	}
	frame := wal.AppendFrame(nil, payload)
	if l.file == nil {
		return l.beginSegment(frame)
	}
	if err := writeAndSync(l.file, frame); err != nil {
		l.abandonSegment()
		return err
	}
	l.size += int64(len(frame))
	return nil
}

// beginSegment creates a segment with one frame.
func (l *Log) beginSegment(frame []byte) error {
	path := wal.SegmentPath(l.dir, segmentPrefix, l.number+1)
	file, err := l.fsys.Create(path)
	if err != nil {
		return errors.Wrapf(err, "cannot create %s: check the disk", path)
	}
	l.number++
	l.file = file
	if err := l.writeFirstFrame(frame); err != nil {
		l.abandonSegment()
		_ = l.fsys.Remove(path) // it holds nothing that was acknowledged; attempts on a full disk would add up
		return err
	}
	l.size += int64(len(frame))
	return nil
}

// writeFirstFrame makes the first frame of a new segment durable, and its name in the directory.
func (l *Log) writeFirstFrame(frame []byte) error {
	if err := writeAndSync(l.file, frame); err != nil {
		return err
	}
	return errors.Wrapf(l.fsys.SyncDir(l.dir), "cannot sync %s: check the disk", l.dir)
}

// abandonSegment closes the segment after a failed write or sync: what of it is durable is unknown.
func (l *Log) abandonSegment() {
	_ = l.file.Close() // whatever was acknowledged has been synced
	l.file = nil
}

// writeAndSync makes a frame durable at the end of a file.
func writeAndSync(file wal.File, frame []byte) error {
	if _, err := file.Write(frame); err != nil {
		return errors.Wrap(err, "cannot write the log of tallies: free the disk or replace it")
	}
	return errors.Wrap(file.Sync(), "cannot sync the log of tallies: check the disk")
}
