package wal

import (
	"path/filepath"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// ErrCorrupted is returned by Open for a disk that has lost acknowledged data. OpenReplica discards such a
// log.
var ErrCorrupted = errors.New(
	"log is corrupted before its end: its replica joins anew under another identity; check the disk")

// errSegmentFailed is returned by Append until Rewrite has succeeded.
var errSegmentFailed = errors.New("a write to the segment has failed before: rewrite the log first")

// Log is the log of one replica in a directory of its own. It is not safe for concurrent use.
type Log struct {
	fsys   FileSystem
	dir    string
	file   File   // nil before the first Rewrite, and after a failed write or sync
	number uint64 // of the current segment
	size   int64  // of the current segment, in bytes
}

// Open replays the newest usable segment in dir. exists is false where there is no segment. The log accepts
// Append only after Rewrite: a segment from before a restart is never written again.
func Open(fsys FileSystem, dir string) (log *Log, state consensus.DurableState, exists bool, err error) {
	log = &Log{fsys: fsys, dir: dir}
	numbers, err := SegmentNumbers(fsys, dir, segmentPrefix)
	if err != nil {
		return nil, state, false, err
	}
	for i := len(numbers) - 1; i >= 0; i-- {
		state, usable, err := readSegment(fsys, SegmentPath(dir, segmentPrefix, numbers[i]))
		if err != nil {
			return nil, state, false, err
		}
		log.number = max(log.number, numbers[i])
		if usable {
			return log, state, true, nil
		}
	}
	if len(numbers) > 0 {
		return nil, state, false, ErrCorrupted
	}
	return log, state, false, nil
}

// Size returns the size of the current segment in bytes.
func (l *Log) Size() int64 { return l.size }

// Healthy reports whether Append may be called. Otherwise Rewrite has to succeed first.
func (l *Log) Healthy() bool { return l.file != nil }

// Append writes batches as one frame and syncs it. After an error the segment is not written again.
func (l *Log) Append(batches []consensus.WriteBatch) error {
	if l.file == nil {
		return errSegmentFailed
	}
	buffer, err := encodeFrame(batches)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(buffer); err != nil {
		return l.abandonSegment(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.abandonSegment(err)
	}
	l.size += int64(len(buffer))
	return nil
}

// abandonSegment closes the segment after a failed write or sync: what of it is durable is unknown.
func (l *Log) abandonSegment(cause error) error {
	l.closeSegment()
	return errors.Wrap(cause, "cannot write the log: free the disk or replace it")
}

// closeSegment closes the segment. An error is of no interest: whatever was acknowledged has been synced.
func (l *Log) closeSegment() {
	_ = l.file.Close()
	l.file = nil
}

// Rewrite begins a new segment that contains exactly state, and removes the older ones once it is durable.
func (l *Log) Rewrite(state consensus.DurableState) error {
	if l.file != nil {
		l.closeSegment()
	}
	snapshot := state.Snapshot
	if snapshot == nil {
		snapshot = &wirepb.Snapshot{}
	}
	hardState := state.HardState
	if hardState == nil {
		hardState = &wirepb.HardState{}
	}
	batch := consensus.WriteBatch{Snapshot: snapshot, HardState: hardState, Entries: state.Entries}
	buffer, err := encodeFrame([]consensus.WriteBatch{batch})
	if err != nil {
		return err
	}
	number := l.number + 1
	path := SegmentPath(l.dir, segmentPrefix, number)
	if err := WriteFile(l.fsys, l.dir, filepath.Base(path), buffer); err != nil {
		_ = l.fsys.Remove(path + temporarySuffix) // best effort: frees the space of an incomplete file
		return err
	}
	file, err := l.fsys.OpenAppend(path)
	if err != nil {
		return errors.Wrap(err, "cannot open the new segment")
	}
	l.number, l.file, l.size = number, file, int64(len(buffer))
	l.removeOlderSegments()
	return nil
}

// removeOlderSegments removes the segments that the current one replaces. What it fails to remove is removed
// by the next call.
func (l *Log) removeOlderSegments() {
	numbers, err := SegmentNumbers(l.fsys, l.dir, segmentPrefix)
	if err != nil {
		return
	}
	for _, number := range numbers {
		if number < l.number {
			_ = l.fsys.Remove(SegmentPath(l.dir, segmentPrefix, number))
		}
	}
}
