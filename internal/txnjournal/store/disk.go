// Package store keeps a journal's files: it commits records in groups, makes new segments, lets old ones go,
// and reads all of them at a start. What the records say is package txnjournal's.
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
	lockFileName    = "lock"
	lockRetryPeriod = 100 * time.Millisecond // in which one that was killed lets its files go
)

// ErrTaken tells that another process has the journal.
var ErrLocked = errors.New("journal: another process has it")

// Disk is where a journal's files are. Errors are as the system gives them.
type Disk interface {
	// Names gives the files there are, in any order.
	Names() ([]string, error)
	// Create makes a file that is not there yet, with room for so many bytes.
	Create(name string, size int) (File, error)
	// Load reads a file.
	Load(name string) ([]byte, error)
	// Remove removes a file.
	Remove(name string) error
	// Sync returns once files made and removed before outlive the machine.
	Sync() error
	// Lock keeps other processes from writing until it is closed, or gives ErrTaken.
	Lock() (io.Closer, error)
}

// File is a file that is written. What was written counts as durable once Sync has returned well, and never
// if Sync has failed: what a later Sync says is of no worth then.
type File interface {
	io.WriterAt
	io.Closer
	Sync() error
}

// Dir is a directory.
type Dir string

// Names gives the files there are.
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

type segmentFile struct{ *os.File }

// Sync writes out what was written; the size does not change.
func (f segmentFile) Sync() error { return syscall.Fdatasync(int(f.Fd())) }

// Create makes a file with its room, so that a full disk is met here and not by a txn.
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

// Load reads a file.
func (d Dir) Load(name string) ([]byte, error) { return os.ReadFile(filepath.Join(string(d), name)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// Sync writes the directory out.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	return f.Sync()
}

// Lock takes the lock file's lock. The directory is made where there is none.
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
