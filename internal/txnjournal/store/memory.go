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

const sector = 512 // bytes that a disk writes whole or not at all

// Memory is a disk that is made up, with faults by script. What it does is in the order of its calls and by
// its source alone. For tests and for the laboratory.
type Memory struct {
	mu      sync.Mutex
	files   map[string]*image
	removed map[string]*image // whose removal is not durable
	locked  bool
	rng     *rand.Rand
	crashed bool

	Calls    int    // that changed something or made it durable
	CrashAt  int    // the call that is cut short, and with which all ends; 0 is none
	FailSync int    // Syncs of files that fail and drop what was to be written out; then they "succeed"
	Room     int    // bytes that files may still take; below nought any
	ReadOnly bool   // nothing can be changed
	Away     bool   // nothing answers
	Slow     func() // called in each Sync
}

// image is a file: as programs see it, and as the disk has it.
type image struct {
	seen, durable []byte
	dirty         map[int]bool // sectors that differ, and are still to be written out
	named         bool         // its name is durable
}

// NewMemory makes an empty disk.
func NewMemory(seed int64) *Memory {
	return &Memory{files: map[string]*image{}, removed: map[string]*image{},
		rng: rand.New(rand.NewSource(seed)), Room: -1}
}

// ErrCrashed tells that the machine or the process has ended.
var ErrCrashed = fmt.Errorf("crashed: %w", syscall.EIO)

// does counts a call that changes something, under the lock. half tells that it is the one that is cut short.
func (m *Memory) does() (half bool, err error) {
	switch {
	case m.crashed:
		return false, ErrCrashed
	case m.Away:
		return false, syscall.EIO
	case m.ReadOnly:
		return false, syscall.EROFS
	}
	if m.Calls++; m.Calls == m.CrashAt {
		m.crashed = true
		return true, nil
	}
	return false, nil
}

// Names gives the files there are.
func (m *Memory) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed || m.Away {
		return nil, syscall.EIO
	}
	var all []string
	for name := range maps.Keys(m.files) {
		all = append(all, name)
	}
	return all, nil
}

// Load reads a file.
func (m *Memory) Load(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[name]
	switch {
	case m.crashed || m.Away:
		return nil, syscall.EIO
	case f == nil:
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), f.seen...), nil
}

// Create makes a file.
func (m *Memory) Create(name string, size int) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	half, err := m.does()
	switch {
	case err != nil:
		return nil, err
	case m.files[name] != nil:
		return nil, fs.ErrExist
	case m.Room >= 0 && size > m.Room:
		return nil, syscall.ENOSPC
	}
	if m.Room >= 0 {
		m.Room -= size
	}
	f := &image{seen: make([]byte, size), durable: make([]byte, size), dirty: map[int]bool{}}
	if m.files[name] = f; half {
		return nil, ErrCrashed
	}
	return handle{m, f}, nil
}

// Remove removes a file.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	half, err := m.does()
	f := m.files[name]
	switch {
	case err != nil:
		return err
	case f == nil:
		return fs.ErrNotExist
	case half:
		return ErrCrashed
	}
	if m.Room >= 0 {
		m.Room += len(f.seen)
	}
	delete(m.files, name)
	m.removed[name] = f
	return nil
}

// Sync makes names and removals durable.
func (m *Memory) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	half, err := m.does()
	if err != nil || half {
		return ErrCrashed
	}
	for _, f := range m.files {
		f.named = true
	}
	clear(m.removed)
	return nil
}

// Lock takes the disk's one lock.
func (m *Memory) Lock() (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.Away:
		return nil, syscall.EIO
	case m.locked:
		return nil, ErrTaken
	}
	m.locked = true
	return unlocks{m}, nil
}

type unlocks struct{ m *Memory }

func (u unlocks) Close() error {
	u.m.mu.Lock()
	defer u.m.mu.Unlock()
	u.m.locked = false
	return nil
}

type handle struct {
	m *Memory
	f *image
}

// WriteAt writes. One that is cut short has written some bytes from its start.
func (h handle) WriteAt(b []byte, at int64) (int, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	half, err := h.m.does()
	if err != nil {
		return 0, err
	}
	if int(at)+len(b) > len(h.f.seen) {
		return 0, syscall.ENOSPC
	}
	if half {
		b = b[:h.m.rng.Intn(len(b)+1)]
	}
	copy(h.f.seen[at:], b)
	for i := int(at) / sector; len(b) > 0 && i <= (int(at)+len(b)-1)/sector; i++ {
		h.f.dirty[i] = true
	}
	if half {
		return len(b), ErrCrashed
	}
	return len(b), nil
}

// Sync makes what was written durable, or fails and forgets that it is not.
func (h handle) Sync() error {
	h.m.mu.Lock()
	slow := h.m.Slow
	h.m.mu.Unlock()
	if slow != nil {
		slow()
	}
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	half, err := h.m.does()
	switch {
	case err != nil:
		return err
	case half:
		return ErrCrashed
	case h.m.FailSync > 0:
		h.m.FailSync--
		h.m.some(h.f)
		clear(h.f.dirty)
		return syscall.EIO
	}
	for i := range h.f.dirty {
		h.f.write(i)
	}
	clear(h.f.dirty)
	return nil
}

func (h handle) Close() error { return nil }

func (f *image) write(i int) {
	copy(f.durable[i*sector:min((i+1)*sector, len(f.seen))], f.seen[i*sector:])
}

// some writes some sectors out, in any order: those later in the file may be there and earlier ones not.
func (m *Memory) some(f *image) {
	for i := range (len(f.seen) + sector - 1) / sector {
		if f.dirty[i] && m.rng.Intn(2) == 0 {
			f.write(i)
		}
	}
}

// After gives the disk as the next process finds it. After a power cut only what was made durable is sure to
// be there; of the rest, names and removals included, any part may be.
func (m *Memory) After(powerCut bool) *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := NewMemory(m.rng.Int63())
	n.Room = m.Room
	keep := func(name string, f *image) {
		b := f.seen
		if powerCut {
			m.some(f)
			b = f.durable
		}
		n.files[name] = &image{seen: append([]byte(nil), b...), durable: append([]byte(nil), f.durable...),
			dirty: map[int]bool{}, named: true}
		if !powerCut {
			copy(n.files[name].durable, b)
		}
	}
	for _, name := range sorted(m.files) {
		if f := m.files[name]; !powerCut || f.named || m.rng.Intn(2) == 0 {
			keep(name, f)
		}
	}
	for _, name := range sorted(m.removed) {
		if powerCut && n.files[name] == nil && m.rng.Intn(2) == 0 {
			keep(name, m.removed[name])
		}
	}
	return n
}

// Hang has each Sync wait for a word, or the end, of a channel.
func (m *Memory) Hang(until <-chan bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Slow = func() { <-until }
}

// Flip turns a bit of a file over.
func (m *Memory) Flip(name string, bit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[name]
	f.seen[bit/8%len(f.seen)] ^= 1 << (bit % 8)
	copy(f.durable, f.seen)
}

func sorted(m map[string]*image) []string { return slices.Sorted(maps.Keys(m)) }
