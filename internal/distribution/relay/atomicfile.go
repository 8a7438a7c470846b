package relay

import (
	"errors"
	"os"
	"path/filepath"
)

// writeFileAtomic writes parts one after the other to a temporary file, syncs it, renames it to the path, and
// syncs the folder. After an error the path has its former content.
func writeFileAtomic(path string, parts ...[]byte) error {
	temporary := path + ".part"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if err == nil {
			_, err = file.Write(part)
		}
	}
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		_ = os.Remove(temporary) // the next write truncates it
		return err
	}
	if err = os.Rename(temporary, path); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
