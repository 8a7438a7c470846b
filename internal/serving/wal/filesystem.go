package wal

import "os"

// FileSystem is the part of a file system that the log needs. Errors are those of package os.
type FileSystem interface {
	ReadFile(path string) ([]byte, error)
	ReadDir(dir string) ([]string, error) // names of the entries
	Create(path string) (File, error)     // for writing; an existing file is truncated
	OpenAppend(path string) (File, error) // of an existing file
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error // makes creations, renames and removals in dir durable
}

// File is a file that is open for writing. What was written before a successful Sync is durable.
type File interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// Disk is the file system of the operating system.
var Disk FileSystem = osFileSystem{}

type osFileSystem struct{}

const fileMode = 0o644

// ReadFile returns the content of a file.
func (osFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir returns the names of the entries of a directory.
func (osFileSystem) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Create creates or truncates a file.
func (osFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// OpenAppend opens an existing file for appending.
func (osFileSystem) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename renames a file and replaces an existing one.
func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (osFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDir syncs a directory.
func (osFileSystem) SyncDir(dir string) error {
	file, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // opened for reading: there is nothing to lose
	return file.Sync()
}
