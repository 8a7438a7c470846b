// Package atomicfile replaces files so that a reader finds either the old content or the new one, also after
// a loss of power. It is safe for concurrent use on different paths.
package atomicfile

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// Write replaces the file at path by what write writes, with these permissions. The content is synced before
// it gets the name, and the directory after that: when Write returns nil, the new content is durable. After
// an error from before the rename the path has its former content, and no temporary file is left.
func Write(path string, permissions os.FileMode, write func(io.Writer) error) error {
	file, err := renameio.NewPendingFile(path, renameio.WithStaticPermissions(permissions))
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		return errors.Join(err, file.Cleanup())
	}
	if err := file.CloseAtomicallyReplace(); err != nil {
		return errors.Join(err, file.Cleanup())
	}
	return syncDirectory(filepath.Dir(path))
}

// WriteBytes replaces the file at path as Write does, by parts one after the other.
func WriteBytes(path string, permissions os.FileMode, parts ...[]byte) error {
	return Write(path, permissions, func(w io.Writer) error {
		for _, part := range parts {
			if _, err := w.Write(part); err != nil {
				return err
			}
		}
		return nil
	})
}

// syncDirectory makes the names in a directory durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
