package wal

import (
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

const identityFile = "identity"

// LoadIdentity returns the identity stored in dir, or "" where there is none.
func LoadIdentity(fsys FileSystem, dir string) (string, error) {
	data, err := fsys.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", errors.Wrapf(err, "cannot read the identity in %s: check the disk", dir)
	}
	identity, complete := strings.CutSuffix(string(data), "\n")
	if !complete {
		return "", nil // torn write: SaveIdentity has not returned, so nobody has seen this identity
	}
	return identity, nil
}

// SaveIdentity stores the identity in dir. It returns once the identity is durable.
func SaveIdentity(fsys FileSystem, dir, identity string) error {
	return WriteFile(fsys, dir, identityFile, []byte(identity+"\n"))
}
