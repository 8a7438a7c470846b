package store

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"syscall"
)

// sectorBytes is what a disk writes completely or not at all.
const sectorBytes = 512

// MemoryDisk is a fake Disk in memory, with faults that tests and the laboratory set. It is deterministic: it
// depends on its seed and the order of the calls only.
type MemoryDisk struct {
	mu      sync.Mutex
	files   map[string]*memoryFile
	removed map[string]*memoryFile // the removal is not durable
	locked  bool
	rng     *rand.Rand
	crashed bool

	Calls        int    // so far, that change something or make it durable
	CrashAtCall  int    // the call, counted by Calls, that is cut short by a crash; 0 is none
	FailingSyncs int    // Syncs of files that fail and drop dirty sectors; later ones succeed
	FreeBytes    int    // that files may still take; below 0 is unlimited
	ReadOnly     bool   // changes fail with EROFS
	Unavailable  bool   // every call fails with EIO
	OnSync       func() // called in each Sync of a file, without the lock; may be nil
}

// memoryFile is a file: as programs see it, and as it is after a power cut.
type memoryFile struct {
	content, durable []byte
	dirty            map[int]bool // sectors that are to be written out
	nameDurable      bool         // its directory entry is durable
}

// NewMemoryDisk returns an empty disk.
func NewMemoryDisk(seed int64) *MemoryDisk {
	return &MemoryDisk{files: map[string]*memoryFile{}, removed: map[string]*memoryFile{},
		rng: rand.New(rand.NewSource(seed)), FreeBytes: -1}
}

// ErrCrashed says that the simulated machine or process has crashed.
var ErrCrashed = fmt.Errorf("crashed: %w", syscall.EIO)

// countCall counts a call that changes something. crashing says that it is to be cut short. Called with the
// lock held.
func (d *MemoryDisk) countCall() (crashing bool, err error) {
	switch {
	case d.crashed:
		return false, ErrCrashed
	case d.Unavailable:
		return false, syscall.EIO
	case d.ReadOnly:
		return false, syscall.EROFS
	}
	if d.Calls++; d.Calls == d.CrashAtCall {
		d.crashed = true
		return true, nil
	}
	return false, nil
}

// Names returns the names of all files.
func (d *MemoryDisk) Names() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed || d.Unavailable {
		return nil, syscall.EIO
	}
	var names []string
	for name := range maps.Keys(d.files) {
		names = append(names, name)
	}
	return names, nil
}

// Load returns the content of a file.
func (d *MemoryDisk) Load(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	switch {
	case d.crashed || d.Unavailable:
		return nil, syscall.EIO
	case f == nil:
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), f.content...), nil
}

// Create creates a file.
func (d *MemoryDisk) Create(name string, size int) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashing, err := d.countCall()
	switch {
	case err != nil:
		return nil, err
	case d.files[name] != nil:
		return nil, fs.ErrExist
	case d.FreeBytes >= 0 && size > d.FreeBytes:
		return nil, syscall.ENOSPC
	}
	if d.FreeBytes >= 0 {
		d.FreeBytes -= size
	}
	f := &memoryFile{content: make([]byte, size), durable: make([]byte, size), dirty: map[int]bool{}}
	if d.files[name] = f; crashing {
		return nil, ErrCrashed
	}
	return memoryHandle{d, f}, nil
}

// Remove removes a file.
func (d *MemoryDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashing, err := d.countCall()
	f := d.files[name]
	switch {
	case err != nil:
		return err
	case f == nil:
		return fs.ErrNotExist
	case crashing:
		return ErrCrashed
	}
	if d.FreeBytes >= 0 {
		d.FreeBytes += len(f.content)
	}
	delete(d.files, name)
	d.removed[name] = f
	return nil
}

// Sync makes creations and removals durable.
func (d *MemoryDisk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashing, err := d.countCall()
	if err != nil || crashing {
		return ErrCrashed
	}
	for _, f := range d.files {
		f.nameDurable = true
	}
	clear(d.removed)
	return nil
}

// Lock takes the disk's lock, or returns ErrLocked.
func (d *MemoryDisk) Lock() (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.Unavailable:
		return nil, syscall.EIO
	case d.locked:
		return nil, ErrLocked
	}
	d.locked = true
	return memoryLock{d}, nil
}

// memoryLock is the disk's lock.
type memoryLock struct{ disk *MemoryDisk }

// Close releases the lock.
func (u memoryLock) Close() error {
	u.disk.mu.Lock()
	defer u.disk.mu.Unlock()
	u.disk.locked = false
	return nil
}

// memoryHandle is an open file.
type memoryHandle struct {
	disk *MemoryDisk
	file *memoryFile
}

// WriteAt writes; a call that is cut short has written some bytes from the start.
func (h memoryHandle) WriteAt(b []byte, offset int64) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	crashing, err := h.disk.countCall()
	if err != nil {
		return 0, err
	}
	if int(offset)+len(b) > len(h.file.content) {
		return 0, syscall.ENOSPC
	}
	if crashing {
		b = b[:h.disk.rng.Intn(len(b)+1)]
	}
	copy(h.file.content[offset:], b)
	for i := int(offset) / sectorBytes; len(b) > 0 && i <= (int(offset)+len(b)-1)/sectorBytes; i++ {
		h.file.dirty[i] = true
	}
	if crashing {
		return len(b), ErrCrashed
	}
	return len(b), nil
}

// Sync makes what was written durable, or fails and drops the dirty sectors.
func (h memoryHandle) Sync() error {
	h.disk.mu.Lock()
	onSync := h.disk.OnSync
	h.disk.mu.Unlock()
	if onSync != nil {
		onSync()
	}
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	crashing, err := h.disk.countCall()
	switch {
	case err != nil:
		return err
	case crashing:
		return ErrCrashed
	case h.disk.FailingSyncs > 0:
		h.disk.FailingSyncs--
		h.disk.flushSome(h.file)
		clear(h.file.dirty)
		return syscall.EIO
	}
	for i := range h.file.dirty {
		h.file.flushSector(i)
	}
	clear(h.file.dirty)
	return nil
}

// Close does nothing.
func (h memoryHandle) Close() error { return nil }

// flushSector makes a sector durable.
func (f *memoryFile) flushSector(i int) {
	copy(f.durable[i*sectorBytes:min((i+1)*sectorBytes, len(f.content))], f.content[i*sectorBytes:])
}

// flushSome makes some dirty sectors durable: later ones may be without earlier ones.
func (d *MemoryDisk) flushSome(f *memoryFile) {
	for i := range (len(f.content) + sectorBytes - 1) / sectorBytes {
		if f.dirty[i] && d.rng.Intn(2) == 0 {
			f.flushSector(i)
		}
	}
}

// Restart returns the disk as the next process finds it. After a power cut only what was durable is
// certain; of the rest, creations and removals included, any part may be there.
func (d *MemoryDisk) Restart(powerCut bool) *MemoryDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	restarted := NewMemoryDisk(d.rng.Int63())
	restarted.FreeBytes = d.FreeBytes
	keep := func(name string, f *memoryFile) {
		b := f.content
		if powerCut {
			d.flushSome(f)
			b = f.durable
		}
		restarted.files[name] = &memoryFile{
			content:     append([]byte(nil), b...),
			durable:     append([]byte(nil), f.durable...),
			dirty:       map[int]bool{},
			nameDurable: true,
		}
		if !powerCut {
			copy(restarted.files[name].durable, b)
		}
	}
	for _, name := range sortedNames(d.files) {
		if f := d.files[name]; !powerCut || f.nameDurable || d.rng.Intn(2) == 0 {
			keep(name, f)
		}
	}
	for _, name := range sortedNames(d.removed) {
		if powerCut && restarted.files[name] == nil && d.rng.Intn(2) == 0 {
			keep(name, d.removed[name])
		}
	}
	return restarted
}

// BlockSyncs has each Sync of a file wait for a value from a channel or for its close.
func (d *MemoryDisk) BlockSyncs(release <-chan bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.OnSync = func() { <-release }
}

// FlipBit flips a bit of a file.
func (d *MemoryDisk) FlipBit(name string, bit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.content[bit/8%len(f.content)] ^= 1 << (bit % 8)
	copy(f.durable, f.content)
}

// sortedNames returns a map's keys in order, for the sake of determinism.
func sortedNames(m map[string]*memoryFile) []string { return slices.Sorted(maps.Keys(m)) }
