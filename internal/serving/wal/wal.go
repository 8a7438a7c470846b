// Package wal keeps a replica's log, votes and snapshot on disk. A segment file begins with the snapshot
// and the votes that it builds on, and grows by one checksummed frame for each write; a new segment
// replaces the one before it as a whole. Nothing counts before it is synced; a segment whose write or sync
// has failed is never written again.
//
// A torn tail, as a loss of power leaves it, is cut. Damage before a valid frame means that the disk has
// lost what it had acknowledged: Open then refuses with ErrDamaged, and the caller begins with a new
// identity.
package wal

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// ErrDamaged is returned by Open for a disk that has lost what it had acknowledged.
var ErrDamaged = errors.New(
	"log is damaged before its end: empty the data folder, so that the replica joins anew")

const (
	segmentPrefix = "segment-"
	identityFile  = "identity"
)

// Log is the log of one replica in a folder of its own. It is not safe for concurrent use.
type Log struct {
	files  FileSystem
	folder string
	file   File   // nil: the segment has failed and must be replaced by Rewrite
	number uint64 // of the present segment
	size   int64
}

// LoadIdentity returns the identity kept in folder, or "" where there is none.
func LoadIdentity(files FileSystem, folder string) (string, error) {
	data, err := files.ReadFile(filepath.Join(folder, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", errors.Wrapf(err, "cannot read the identity in %s: check the disk", folder)
	}
	identity, ok := strings.CutSuffix(string(data), "\n")
	if !ok {
		return "", nil // torn: it was never acknowledged to anyone
	}
	return identity, nil
}

// SaveIdentity keeps the identity in folder. It returns once the identity outlasts a loss of power.
func SaveIdentity(files FileSystem, folder, identity string) error {
	return WriteFile(files, folder, identityFile, []byte(identity+"\n"))
}

// Clear removes the segments in folder.
func Clear(files FileSystem, folder string) error {
	numbers, err := segmentNumbers(files, folder)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if err := files.Remove(segmentPath(folder, number)); err != nil {
			return errors.Wrap(err, "cannot remove a segment")
		}
	}
	return errors.Wrapf(files.SyncFolder(folder), "cannot sync %s: check the disk", folder)
}

// Open reads the newest segment in folder. exists is false where there is none; the caller then begins with
// Rewrite.
func Open(files FileSystem, folder string) (log *Log, stored consensus.DurableState, exists bool, err error) {
	log = &Log{files: files, folder: folder}
	numbers, err := segmentNumbers(files, folder)
	if err != nil {
		return nil, stored, false, err
	}
	for i := len(numbers) - 1; i >= 0; i-- {
		stored, complete, err := readSegment(files, segmentPath(folder, numbers[i]))
		if err != nil {
			return nil, stored, false, err
		}
		log.number = max(log.number, numbers[i])
		if complete {
			return log, stored, true, nil
		}
	}
	if len(numbers) > 0 {
		return nil, stored, false, ErrDamaged
	}
	return log, stored, false, nil
}

// readSegment returns what a segment holds. complete is false where not even its beginning is whole: it was
// being written when the power went, and the segment before it still counts.
func readSegment(files FileSystem, path string) (stored consensus.DurableState, complete bool, err error) {
	data, err := files.ReadFile(path)
	if err != nil {
		return stored, false, errors.Wrapf(err, "cannot read %s: check the disk", path)
	}
	for len(data) > 0 {
		payload, rest, ok := nextFrame(data)
		if !ok {
			if complete && validFrameAfter(data) {
				return stored, false, errors.Wrap(ErrDamaged, path)
			}
			return stored, complete, nil
		}
		if err := replayFrame(&stored, payload); err != nil {
			return stored, false, errors.Wrapf(ErrDamaged, "%s: %v", path, err)
		}
		complete = true
		data = rest
	}
	return stored, complete, nil
}

func replayFrame(stored *consensus.DurableState, payload []byte) error {
	var frame wirepb.LogFrame
	if err := proto.Unmarshal(payload, &frame); err != nil {
		return err
	}
	for _, part := range frame.Parts {
		batch := consensus.WriteBatch{Snapshot: part.Snapshot, HardState: part.HardState, Entries: part.Entries}
		if err := stored.Apply(batch); err != nil {
			return err
		}
	}
	return nil
}

// Size returns the bytes of the present segment.
func (l *Log) Size() int64 { return l.size }

// Healthy reports whether Append may be called. Otherwise Rewrite has to succeed first.
func (l *Log) Healthy() bool { return l.file != nil }

// Append writes batches and syncs them. After an error the segment is not used again.
func (l *Log) Append(batches []consensus.WriteBatch) error {
	if l.file == nil {
		return errors.New("the segment has failed before: write the log anew first")
	}
	buffer, err := encodeFrame(batches)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(buffer); err != nil {
		return l.fail(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.size += int64(len(buffer))
	return nil
}

func encodeFrame(batches []consensus.WriteBatch) ([]byte, error) {
	var frame wirepb.LogFrame
	for _, batch := range batches {
		frame.Parts = append(frame.Parts, &wirepb.LogPart{
			Snapshot: batch.Snapshot, HardState: batch.HardState, Entries: batch.Entries,
		})
	}
	payload, err := proto.Marshal(&frame)
	if err != nil {
		return nil, errors.Wrap(err, "cannot encode a log frame")
	}
	return appendFrame(nil, payload), nil
}

func (l *Log) fail(err error) error {
	l.file.Close()
	l.file = nil
	return errors.Wrap(err, "cannot write the log: free the disk or replace it")
}

// Rewrite begins a new segment that holds exactly stored, and removes the ones before it once it is synced.
func (l *Log) Rewrite(stored consensus.DurableState) error {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	snapshot := stored.Snapshot
	if snapshot == nil {
		snapshot = &wirepb.Snapshot{}
	}
	hardState := stored.HardState
	if hardState == nil {
		hardState = &wirepb.HardState{}
	}
	batch := consensus.WriteBatch{Snapshot: snapshot, HardState: hardState, Entries: stored.Entries}
	buffer, err := encodeFrame([]consensus.WriteBatch{batch})
	if err != nil {
		return err
	}
	number := l.number + 1
	path := segmentPath(l.folder, number)
	if err := WriteFile(l.files, l.folder, filepath.Base(path), buffer); err != nil {
		l.files.Remove(path + temporarySuffix)
		return err
	}
	file, err := l.files.OpenAppend(path)
	if err != nil {
		return errors.Wrap(err, "cannot open the new segment")
	}
	l.number, l.file, l.size = number, file, int64(len(buffer))
	l.removeOlder()
	return nil
}

// removeOlder drops the segments that the present one replaces. A failure leaves files that the next call
// drops.
func (l *Log) removeOlder() {
	numbers, err := segmentNumbers(l.files, l.folder)
	if err != nil {
		return
	}
	for _, number := range numbers {
		if number < l.number {
			l.files.Remove(segmentPath(l.folder, number))
		}
	}
}

const temporarySuffix = ".new"

// WriteFile writes a file whole or not at all: a new file is synced, renamed, and its folder synced.
func WriteFile(files FileSystem, folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	file, err := files.Create(path + temporarySuffix)
	if err != nil {
		return errors.Wrapf(err, "cannot make %s: check the disk", name)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		files.Remove(path + temporarySuffix)
		return errors.Wrapf(err, "cannot write %s: free the disk", name)
	}
	if err := file.Sync(); err != nil {
		return errors.Wrapf(err, "cannot sync %s: check the disk", name)
	}
	if err := files.Rename(path+temporarySuffix, path); err != nil {
		return errors.Wrapf(err, "cannot rename %s: check the disk", name)
	}
	return errors.Wrapf(files.SyncFolder(folder), "cannot sync %s: check the disk", folder)
}

func segmentPath(folder string, number uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%s%016x", segmentPrefix, number))
}

// segmentNumbers returns the numbers of the segments in folder, in rising order.
func segmentNumbers(files FileSystem, folder string) ([]uint64, error) {
	names, err := files.ReadDir(folder)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot list %s: check that data_dir exists", folder)
	}
	var numbers []uint64
	for _, file := range names {
		var number uint64
		name, ok := strings.CutPrefix(file, segmentPrefix)
		if !ok || strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if _, err := fmt.Sscanf(name, "%x", &number); err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}
