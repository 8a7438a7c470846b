package relayd

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"willowdeck/internal/relay"
	"willowdeck/internal/resource"
)

// A copy on disk is a base for deltas and nothing else: what it holds is gone by only where a parent has said
// since this process began that the mark of it is in force. So an old copy does no harm, and a torn one, or
// one of another cluster, is set aside.

// copyMagic begins a copy, with the number of its form; a digest of all that follows comes next.
var copyMagic = []byte("willowdeck relay copy 1\n")

const longestCopy = 2 * relay.MostAnswer // bytes

// errNoCopy tells that there is none, which is no fault.
var errNoCopy = errors.New("no copy")

// copied is what a copy holds.
type copied struct {
	_              struct{} `cbor:",toarray"`
	Cluster        string
	Rules, Pending []byte // as relay.StateBytes has them
}

// keepCopy writes states aside, has them on the disk, and then in place of the copy before. Pending may be nil.
func keepCopy(path, cluster string, rules, pending *resource.State) error {
	c := copied{Cluster: cluster}
	var err, bad error
	c.Rules, err = relay.StateBytes(rules)
	c.Pending, bad = relay.StateBytes(pending)
	if err = errors.Join(err, bad); err != nil {
		return err
	}
	body, err := cbor.Marshal(c)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	part := path + ".part"
	f, err := os.OpenFile(part, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	for _, b := range [][]byte{copyMagic, sum[:], body} {
		if err == nil {
			_, err = f.Write(b)
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		_ = os.Remove(part)
		return err
	}
	if err = os.Rename(part, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// readCopy gives what a copy holds. errNoCopy: there is no file; any other error: it can't be used.
func readCopy(path, cluster string) (rules, pending *resource.State, err error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, errNoCopy
	}
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, longestCopy+1))
	if err != nil {
		return nil, nil, err
	}
	head := len(copyMagic) + sha256.Size
	switch {
	case len(raw) > longestCopy:
		return nil, nil, fmt.Errorf("a copy of more than %d bytes", longestCopy)
	case len(raw) < head || !bytes.Equal(raw[:len(copyMagic)], copyMagic):
		return nil, nil, errors.New("no copy of this form")
	}
	body := raw[head:]
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], raw[len(copyMagic):head]) {
		return nil, nil, errors.New("a copy that is torn: its digest is another")
	}
	var c copied
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, nil, err
	}
	if c.Cluster != cluster {
		return nil, nil, fmt.Errorf("a copy of cluster %q, this is %q", c.Cluster, cluster)
	}
	rules, err = relay.ReadState(c.Rules)
	pending, bad := relay.ReadState(c.Pending)
	if err = errors.Join(err, bad); err != nil {
		return nil, nil, err
	}
	return rules, pending, nil
}

// setCopyAside moves a copy that can't be used out of the way, in place of one moved before it.
func setCopyAside(path string) (string, error) {
	aside := path + ".torn"
	return aside, os.Rename(path, aside)
}
