package wal

import (
	"path/filepath"

	"github.com/pkg/errors"
)

// temporarySuffix marks a file that is still being written. Such files are ignored when a directory is read.
const temporarySuffix = ".new"

// WriteFile replaces the file name in dir by data atomically: a power loss leaves either the old content or
// the new one. It returns once the new content is durable.
func WriteFile(fsys FileSystem, dir, name string, data []byte) error {
	path := filepath.Join(dir, name)
	file, err := fsys.Create(path + temporarySuffix)
	if err != nil {
		return errors.Wrapf(err, "cannot create %s: check the disk", name)
	}
	renamed := false
	defer func() {
		_ = file.Close() // the data is synced before, or the write has failed already
		if !renamed {
			_ = fsys.Remove(path + temporarySuffix) // best effort: frees the space of an incomplete file
		}
	}()
	if _, err := file.Write(data); err != nil {
		return errors.Wrapf(err, "cannot write %s: free the disk", name)
	}
	if err := file.Sync(); err != nil {
		return errors.Wrapf(err, "cannot sync %s: check the disk", name)
	}
	if err := fsys.Rename(path+temporarySuffix, path); err != nil {
		return errors.Wrapf(err, "cannot rename %s: check the disk", name)
	}
	renamed = true
	return errors.Wrapf(fsys.SyncDir(dir), "cannot sync %s: check the disk", dir)
}
