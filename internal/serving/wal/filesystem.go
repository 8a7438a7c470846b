package wal

import "os"

// FileSystem is what the log needs of a disk. Paths are those of the folder's file system.
type FileSystem interface {
	ReadFile(path string) ([]byte, error)
	ReadDir(folder string) ([]string, error) // names of files
	Create(path string) (File, error)        // for writing; what was there is dropped
	OpenAppend(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(folder string) error // makes its files' names outlast a loss of power
}

// File is an open file. What Sync has returned for outlasts a loss of power.
type File interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// Disk is the operating system's file system.
var Disk FileSystem = osFiles{}

type osFiles struct{}

const fileMode = 0o644

func (osFiles) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFiles) ReadDir(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

func (osFiles) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

func (osFiles) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) Remove(path string) error { return os.Remove(path) }

func (osFiles) SyncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer file.Close()
	return file.Sync()
}
