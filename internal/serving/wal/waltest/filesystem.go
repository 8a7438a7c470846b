// Package waltest is a file system in memory for tests of what has to outlast a loss of power. What is not
// synced may be kept or lost, each write and each name by itself, as on the machines that the programs are
// made for.
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

// Errors that a file system in trouble returns.
var (
	ErrFull  = errors.New("no space left on the disk")
	ErrPower = errors.New("the power is gone")
)

// Files is one disk. It is not safe for concurrent use.
type Files struct {
	Full      bool // writes are refused
	FailSyncs int  // so many of the next syncs fail, and lose what they should have kept

	random  *rand.Rand
	names   map[string]*content // as a process sees them
	durable map[string]*content // as they are after a loss of power
	changes []nameChange        // since their folder was synced
	left    int                 // operations until the power goes; negative: no end
}

type content struct {
	durable []byte
	writes  [][]byte // since the last sync
}

func (c *content) bytes() []byte {
	data := slices.Clone(c.durable)
	for _, write := range c.writes {
		data = append(data, write...)
	}
	return data
}

// nameChange gives a name a content, or takes it away where that is nil. A rename is two of them, kept or
// lost together.
type nameChange struct {
	name    string
	content *content
	removed string
}

// New makes an empty disk.
func New(random *rand.Rand) *Files {
	return &Files{
		random: random, names: map[string]*content{}, durable: map[string]*content{}, left: -1,
	}
}

// CutPowerAfter lets only so many more operations happen; those after them fail.
func (f *Files) CutPowerAfter(operations int) { f.left = operations }

// Restart lets operations happen again, after a process has ended. What it wrote stays.
func (f *Files) Restart() { f.left = -1 }

// LosePower keeps what was synced, and of the rest what chance leaves.
func (f *Files) LosePower() {
	keepSome := f.random.Intn(3) > 0
	for _, change := range f.changes {
		if keepSome && f.random.Intn(2) == 0 {
			f.settle(change)
		}
	}
	f.changes = nil
	seen := map[*content]bool{}
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		if c := f.durable[name]; !seen[c] {
			seen[c] = true
			f.loseWrites(c, keepSome)
		}
	}
	f.names = maps.Clone(f.durable)
	f.left = -1
}

// loseWrites keeps each unsynced write whole, in part, as a hole, or not at all.
func (f *Files) loseWrites(c *content, keepSome bool) {
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

func (f *Files) settle(change nameChange) {
	if change.removed != "" {
		delete(f.durable, change.removed)
	}
	if change.content != nil {
		f.durable[change.name] = change.content
	}
}

// spend counts an operation.
func (f *Files) spend() error {
	if f.left == 0 {
		return ErrPower
	}
	if f.left > 0 {
		f.left--
	}
	return nil
}

// ReadFile returns what a file holds.
func (f *Files) ReadFile(path string) ([]byte, error) {
	c := f.names[path]
	if c == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return c.bytes(), nil
}

// ReadDir returns the names in a folder.
func (f *Files) ReadDir(folder string) ([]string, error) {
	var names []string
	for _, path := range slices.Sorted(maps.Keys(f.names)) {
		if filepath.Dir(path) == filepath.Clean(folder) {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

// Create makes an empty file.
func (f *Files) Create(path string) (wal.File, error) {
	if err := f.spend(); err != nil {
		return nil, err
	}
	if f.Full {
		return nil, ErrFull
	}
	c := &content{}
	f.names[path] = c
	f.changes = append(f.changes, nameChange{name: path, content: c})
	return &file{files: f, content: c}, nil
}

// OpenAppend opens a file behind its end.
func (f *Files) OpenAppend(path string) (wal.File, error) {
	if err := f.spend(); err != nil {
		return nil, err
	}
	c := f.names[path]
	if c == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return &file{files: f, content: c}, nil
}

// Rename gives a file another name.
func (f *Files) Rename(from, to string) error {
	if err := f.spend(); err != nil {
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

// Remove takes a file away.
func (f *Files) Remove(path string) error {
	if err := f.spend(); err != nil {
		return err
	}
	if f.names[path] == nil {
		return &fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist}
	}
	delete(f.names, path)
	f.changes = append(f.changes, nameChange{removed: path})
	return nil
}

// SyncFolder makes the names in all folders outlast a loss of power.
func (f *Files) SyncFolder(string) error {
	if err := f.spend(); err != nil {
		return err
	}
	for _, change := range f.changes {
		f.settle(change)
	}
	f.changes = nil
	return nil
}

// file is an open file.
type file struct {
	files   *Files
	content *content
}

func (o *file) Write(data []byte) (int, error) {
	if err := o.files.spend(); err != nil {
		return 0, err
	}
	if o.files.Full {
		return 0, ErrFull
	}
	o.content.writes = append(o.content.writes, slices.Clone(data))
	return len(data), nil
}

// Sync makes the file's bytes, and the name that it was made under, outlast a loss of power.
func (o *file) Sync() error {
	if err := o.files.spend(); err != nil {
		return err
	}
	if o.files.FailSyncs > 0 {
		o.files.FailSyncs--
		o.content.writes = nil
		return errors.New("the disk has failed a sync")
	}
	o.content.durable = o.content.bytes()
	o.content.writes = nil
	o.files.changes = slices.DeleteFunc(o.files.changes, func(change nameChange) bool {
		made := change.content == o.content && change.removed == ""
		if made {
			o.files.settle(change)
		}
		return made
	})
	return nil
}

func (o *file) Close() error { return nil }
