package faultinject

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand"
	"os"
	"path/filepath"
)

// Disk is the directory that a process keeps its store in. It is spoilt between two lives: what the process
// has mapped or holds open would else not be what is there.
type Disk struct {
	Dir  string
	copy string // of it, as an older disk; empty until one is kept
}

// NewDisk is a process's store; copies of it are kept at the test's, and go with it.
func NewDisk(t T, dir string) *Disk {
	return &Disk{Dir: dir, copy: filepath.Join(t.TempDir(), "kept")}
}

// Damage is what is wrong with a disk.
type Damage struct {
	What  string
	Bytes int64 // how many: of a torn tail, or flipped
	Seed  int64 // which file of those that are not empty, and where
}

// The damages.
const (
	Torn    = "torn"    // a file has lost its last Bytes
	Flipped = "flipped" // Bytes bytes of a file are others
	Old     = "old"     // all is as it was when a copy was kept
	Empty   = "empty"   // nothing is there
)

var damages = []string{Torn, Flipped, Old, Empty}

// Errors of a Disk.
var (
	ErrNoCopy = errors.New("no copy of the disk has been kept")
	ErrRoot   = errors.New("root may write whatever the permissions")
)

// Kept tells whether there is a copy.
func (d *Disk) Kept() bool {
	_, err := os.Stat(d.copy)
	return err == nil
}

// Keep keeps a copy of the disk as it is, in place of an earlier one. The process must not run.
func (d *Disk) Keep() error {
	if err := os.RemoveAll(d.copy); err != nil {
		return err
	}
	return os.CopyFS(d.copy, os.DirFS(d.Dir))
}

// files gives the files that are not empty, in the order of their names.
func (d *Disk) files() (all []string, err error) {
	err = filepath.WalkDir(d.Dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil || !e.Type().IsRegular() {
			return err
		}
		info, err := e.Info()
		if err == nil && info.Size() > 0 {
			all = append(all, path)
		}
		return err
	})
	return all, err
}

// Spoil does damage. On a disk without any file that is not empty, torn and flipped do none.
func (d *Disk) Spoil(how Damage) error {
	switch how.What {
	case Torn, Flipped:
		all, err := d.files()
		if err != nil || len(all) == 0 {
			return err
		}
		rng := rand.New(rand.NewSource(how.Seed))
		return spoil(all[rng.Intn(len(all))], how, rng)
	case Old:
		if !d.Kept() {
			return ErrNoCopy
		}
		if err := d.empty(); err != nil {
			return err
		}
		return os.CopyFS(d.Dir, os.DirFS(d.copy))
	case Empty:
		return d.empty()
	}
	return fmt.Errorf("damage %q is unknown", how.What)
}

func spoil(path string, how Damage, rng *rand.Rand) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	size := info.Size()
	if how.What == Torn {
		return f.Truncate(max(size-how.Bytes, 0))
	}
	b := []byte{0}
	for range how.Bytes {
		at := rng.Int63n(size)
		if _, err = f.ReadAt(b, at); err != nil {
			return err
		}
		b[0] ^= byte(1 + rng.Intn(255))
		if _, err = f.WriteAt(b, at); err != nil {
			return err
		}
	}
	return nil
}

// empty takes away what is in the directory, not the directory: a process may watch or hold it.
func (d *Disk) empty() error {
	all, err := os.ReadDir(d.Dir)
	for _, e := range all {
		err = errors.Join(err, os.RemoveAll(filepath.Join(d.Dir, e.Name())))
	}
	return err
}

// ReadOnly takes the right to write from the directory and all in it, or gives it back. ErrRoot says that it
// would change nothing, as the tests run as root: Process.Limit is for them.
func (d *Disk) ReadOnly(on bool) error {
	if os.Geteuid() == 0 {
		return ErrRoot
	}
	return filepath.WalkDir(d.Dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		mode := fs.FileMode(0o600)
		if e.IsDir() {
			mode = 0o700
		}
		if on {
			mode &^= 0o200
		}
		return os.Chmod(path, mode)
	})
}
