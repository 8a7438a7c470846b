// Package waltest provides an in-memory file system for tests of durability. It injects full disks, failed
// syncs and power losses. After a power loss each write and each change of a name that was not synced is
// kept or lost independently of the others, in any combination that a disk which reorders writes may leave.
// All choices come from the given source of random numbers, so a run with the same seed is the same.
package waltest

import (
	"io/fs"
	"maps"
	"math/rand"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"willowdeck/internal/serving/wal"
)

// Injected faults.
var (
	ErrNoSpace   = errors.New("no space left on the disk")
	ErrPowerLoss = errors.New("the power is lost")
	ErrSync      = errors.New("the disk has failed a sync")
)

// FileSystem is one disk; it implements wal.FileSystem. It is not safe for concurrent use.
type FileSystem struct {
	Full      bool // creations and writes fail with ErrNoSpace
	FailSyncs int  // number of the next syncs that fail with ErrSync and lose the data to be synced

	random         *rand.Rand
	names          map[string]*content // by path, as a process sees them
	durableNames   map[string]*content // by path, as they are after a power loss
	changes        []nameChange        // since the last sync of the directory, oldest first
	operationsLeft int                 // until the power is lost; negative: unlimited
}

// content is the content of one file.
type content struct {
	durable []byte
	writes  [][]byte // since the last sync
}

// bytes returns the content as a process reads it.
func (c *content) bytes() []byte {
	data := slices.Clone(c.durable)
	for _, write := range c.writes {
		data = append(data, write...)
	}
	return data
}

// nameChange is a change of a directory that may not be durable yet. A creation sets name and content, a
// removal sets removed, and a rename sets all three: both of its halves are kept or lost together.
type nameChange struct {
	name    string
	content *content
	removed string
}

// New returns an empty disk that draws the outcomes of power losses from random.
func New(random *rand.Rand) *FileSystem {
	return &FileSystem{
		random: random, names: map[string]*content{}, durableNames: map[string]*content{}, operationsLeft: -1,
	}
}

// CutPowerAfter lets the given number of operations succeed; all later ones fail with ErrPowerLoss.
func (f *FileSystem) CutPowerAfter(operations int) { f.operationsLeft = operations }

// Restart lifts the limit of CutPowerAfter, as when only the process has ended: unsynced data is kept.
func (f *FileSystem) Restart() { f.operationsLeft = -1 }

// LosePower keeps all synced data and a random part of the rest, and lets operations succeed again.
func (f *FileSystem) LosePower() {
	keepSome := f.random.Intn(3) > 0
	for _, change := range f.changes {
		if keepSome && f.random.Intn(2) == 0 {
			f.makeDurable(change)
		}
	}
	f.changes = nil
	seen := map[*content]bool{}
	for _, name := range slices.Sorted(maps.Keys(f.durableNames)) {
		if c := f.durableNames[name]; !seen[c] {
			seen[c] = true
			f.loseWrites(c, keepSome)
		}
	}
	f.names = maps.Clone(f.durableNames)
	f.operationsLeft = -1
}

// loseWrites keeps each unsynced write completely, as a prefix, as a run of zeros, or not at all.
func (f *FileSystem) loseWrites(c *content, keepSome bool) {
	data := c.durable
	for i, write := range c.writes {
		if !keepSome {
			break
		}
		switch f.random.Intn(3) {
		case 0:
			data = append(slices.Clone(data), write...)
		case 1:
			data = append(slices.Clone(data), write[:f.random.Intn(len(write)+1)]...)
		case 2:
			if i < len(c.writes)-1 {
				data = append(slices.Clone(data), make([]byte, len(write))...)
			}
		}
	}
	c.durable, c.writes = data, nil
}

// makeDurable applies a change of names to the durable ones.
func (f *FileSystem) makeDurable(change nameChange) {
	if change.removed != "" {
		delete(f.durableNames, change.removed)
	}
	if change.content != nil {
		f.durableNames[change.name] = change.content
	}
}

// countOperation counts an operation that changes the disk, and fails after the last one allowed.
func (f *FileSystem) countOperation() error {
	if f.operationsLeft == 0 {
		return ErrPowerLoss
	}
	if f.operationsLeft > 0 {
		f.operationsLeft--
	}
	return nil
}

// ReadFile returns the content of a file, synced or not.
func (f *FileSystem) ReadFile(path string) ([]byte, error) {
	c := f.names[path]
	if c == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return c.bytes(), nil
}

// ReadDir returns the names of the files in a directory, in lexical order.
func (f *FileSystem) ReadDir(dir string) ([]string, error) {
	var names []string
	for _, path := range slices.Sorted(maps.Keys(f.names)) {
		if filepath.Dir(path) == filepath.Clean(dir) {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

// Create creates or truncates a file.
func (f *FileSystem) Create(path string) (wal.File, error) {
	if err := f.countOperation(); err != nil {
		return nil, err
	}
	if f.Full {
		return nil, ErrNoSpace
	}
	c := &content{}
	f.names[path] = c
	f.changes = append(f.changes, nameChange{name: path, content: c})
	return &file{fsys: f, content: c}, nil
}

// OpenAppend opens an existing file for appending.
func (f *FileSystem) OpenAppend(path string) (wal.File, error) {
	if err := f.countOperation(); err != nil {
		return nil, err
	}
	c := f.names[path]
	if c == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return &file{fsys: f, content: c}, nil
}

// Rename renames a file and replaces an existing one.
func (f *FileSystem) Rename(from, to string) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	c := f.names[from]
	if c == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(f.names, from)
	f.names[to] = c
	f.changes = append(f.changes, nameChange{name: to, content: c, removed: from})
	return nil
}

// Remove removes a file.
func (f *FileSystem) Remove(path string) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	if f.names[path] == nil {
		return &fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist}
	}
	delete(f.names, path)
	f.changes = append(f.changes, nameChange{removed: path})
	return nil
}

// SyncDir makes the names in all directories durable.
func (f *FileSystem) SyncDir(string) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	for _, change := range f.changes {
		f.makeDurable(change)
	}
	f.changes = nil
	return nil
}

// file is a file that is open for writing; it implements wal.File.
type file struct {
	fsys    *FileSystem
	content *content
}

// Write appends data, which is not durable before Sync.
func (f *file) Write(data []byte) (int, error) {
	if err := f.fsys.countOperation(); err != nil {
		return 0, err
	}
	if f.fsys.Full {
		return 0, ErrNoSpace
	}
	f.content.writes = append(f.content.writes, slices.Clone(data))
	return len(data), nil
}

// Sync makes the file's content durable, and the name that it was created under.
func (f *file) Sync() error {
	if err := f.fsys.countOperation(); err != nil {
		return err
	}
	if f.fsys.FailSyncs > 0 {
		f.fsys.FailSyncs--
		f.content.writes = nil
		return ErrSync
	}
	f.content.durable = f.content.bytes()
	f.content.writes = nil
	f.fsys.changes = slices.DeleteFunc(f.fsys.changes, func(change nameChange) bool {
		isCreation := change.content == f.content && change.removed == ""
		if isCreation {
			f.fsys.makeDurable(change)
		}
		return isCreation
	})
	return nil
}

// Close does nothing: a file needs no resources.
func (f *file) Close() error { return nil }
