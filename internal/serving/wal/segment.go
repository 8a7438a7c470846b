package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// segmentPrefix begins the name of each segment file; 16 hexadecimal digits of the segment's number follow.
const segmentPrefix = "segment-"

// SegmentPath returns the path of the segment with a number, of the log whose file names begin with prefix.
func SegmentPath(dir, prefix string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%016x", prefix, number))
}

// SegmentNumbers returns the numbers of the segments in dir in ascending order, without unfinished files, of
// the log whose file names begin with prefix.
func SegmentNumbers(fsys FileSystem, dir, prefix string) ([]uint64, error) {
	names, err := fsys.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot list %s: check that data_dir exists", dir)
	}
	var numbers []uint64
	for _, name := range names {
		var number uint64
		digits, ok := strings.CutPrefix(name, prefix)
		if !ok || strings.HasSuffix(digits, temporarySuffix) {
			continue
		}
		if _, err := fmt.Sscanf(digits, "%x", &number); err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// RemoveSegments removes all segments in dir. It returns once the removal is durable.
func RemoveSegments(fsys FileSystem, dir string) error {
	numbers, err := SegmentNumbers(fsys, dir, segmentPrefix)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if err := fsys.Remove(SegmentPath(dir, segmentPrefix, number)); err != nil {
			return errors.Wrap(err, "cannot remove a segment")
		}
	}
	return errors.Wrapf(fsys.SyncDir(dir), "cannot sync %s: check the disk", dir)
}

// readSegment replays the segment at path up to a torn write. usable is false where not even its first frame
// is valid: the power failed while the segment was created, and the previous one is still in force.
func readSegment(fsys FileSystem, path string) (state consensus.DurableState, usable bool, err error) {
	data, err := fsys.ReadFile(path)
	if err != nil {
		return state, false, errors.Wrapf(err, "cannot read %s: check the disk", path)
	}
	for len(data) > 0 {
		payload, rest, ok := NextFrame(data)
		if !ok {
			if usable && NextValidFrame(data) >= 0 {
				return state, false, errors.Wrap(ErrCorrupted, path)
			}
			return state, usable, nil
		}
		if err := replayFrame(&state, payload); err != nil {
			return state, false, errors.Wrapf(ErrCorrupted, "%s: %v", path, err)
		}
		usable = true
		data = rest
	}
	return state, usable, nil
}

// replayFrame applies the batches of one frame to state.
func replayFrame(state *consensus.DurableState, payload []byte) error {
	var frame wirepb.LogFrame
	if err := proto.Unmarshal(payload, &frame); err != nil {
		return err
	}
	for _, part := range frame.Records {
		batch := consensus.WriteBatch{Snapshot: part.Snapshot, HardState: part.HardState, Entries: part.Entries}
		if err := state.Apply(batch); err != nil {
			return err
		}
	}
	return nil
}

// encodeFrame returns the frame that contains batches. It is replayed completely or not at all.
func encodeFrame(batches []consensus.WriteBatch) ([]byte, error) {
	var frame wirepb.LogFrame
	for _, batch := range batches {
		frame.Records = append(frame.Records, &wirepb.LogRecord{
			Snapshot: batch.Snapshot, HardState: batch.HardState, Entries: batch.Entries,
		})
	}
	payload, err := proto.Marshal(&frame)
	if err != nil {
		return nil, errors.Wrap(err, "cannot encode a log frame")
	}
	return AppendFrame(nil, payload), nil
}
