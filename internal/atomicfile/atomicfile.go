// Package atomicfile replaces files atomically: a reader sees either the old content or the new content, also
// after a power failure. It is safe for concurrent use on different paths.
package atomicfile

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// Write replaces the file at path with the content that write produces, and sets its permissions. It syncs
// the content before the rename and the directory after it, so the new content is durable when Write returns
// nil. If an error occurs before the rename, the file keeps its old content and no temporary file is left.
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

// WriteBytes replaces the file at path, like Write, with the concatenation of parts.
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

// syncDirectory syncs a directory, which makes renames in it durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
