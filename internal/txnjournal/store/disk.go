package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	lockFileName = "lock"
	// lockRetryPeriod is how long Lock retries: a process that was killed keeps its lock until it is gone.
	lockRetryPeriod = 100 * time.Millisecond
)

// ErrLocked says that another process has the journal.
var ErrLocked = errors.New("journal: locked by another process")

// Disk is where a journal's files are. Errors wrap those of the system.
type Disk interface {
	// Names returns the names of all files, in any order.
	Names() ([]string, error)
	// Create creates a file of so many bytes. The error is fs.ErrExist where there is one of that name.
	Create(name string, size int) (File, error)
	// Load returns the content of a file.
	Load(name string) ([]byte, error)
	// Remove removes a file.
	Remove(name string) error
	// Sync makes the creation and removal of files durable.
	Sync() error
	// Lock keeps other processes from writing until it is closed. The error is ErrLocked where another has it.
	Lock() (io.Closer, error)
}

// File is a segment's file. What was written is durable once Sync has succeeded. After a Sync that failed
// it is unknown what is durable, whatever a later Sync returns.
type File interface {
	io.WriterAt
	io.Closer
	Sync() error
}

// Dir is a directory of the file system, the Disk of programs in service.
type Dir string

// Names returns the names of all files.
func (d Dir) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// segmentFile is a preallocated file: Sync needs no metadata.
type segmentFile struct{ *os.File }

// Sync makes what was written durable. The file's size does not change.
func (f segmentFile) Sync() error { return syscall.Fdatasync(int(f.Fd())) }

// Create allocates the file's blocks, so that a full disk fails here and not while a transaction waits.
func (d Dir) Create(name string, size int) (File, error) {
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	err = syscall.Fallocate(int(f.Fd()), 0, 0, int64(size))
	if errors.Is(err, syscall.EOPNOTSUPP) || errors.Is(err, syscall.ENOSYS) {
		err = f.Truncate(int64(size))
	}
	if err == nil {
		err = f.Sync() // its size too
	}
	if err != nil {
		_ = f.Close()
		_ = os.Remove(f.Name())
		return nil, fmt.Errorf("journal: %w", err)
	}
	return segmentFile{f}, nil
}

// Load returns the content of a file.
func (d Dir) Load(name string) ([]byte, error) { return os.ReadFile(filepath.Join(string(d), name)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// Sync makes the directory's entries durable.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	defer func() { _ = f.Close() }() // it was opened for reading
	return f.Sync()
}

// Lock locks the lock file. The directory is created where there is none.
func (d Dir) Lock() (io.Closer, error) {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	path := filepath.Join(string(d), lockFileName)
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if errors.Is(err, syscall.EROFS) {
		f, err = os.Open(path)
	}
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	for end := time.Now().Add(lockRetryPeriod); ; time.Sleep(lockRetryPeriod / 20) {
		if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return f, nil
		}
		if time.Now().After(end) {
			_ = f.Close()
			return nil, fmt.Errorf("%w: %w", ErrLocked, err)
		}
	}
}
