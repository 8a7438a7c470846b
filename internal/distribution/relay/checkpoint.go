package relay

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"willowdeck/internal/distribution"
	"willowdeck/internal/versioned"
)

// A copy on disk is a base for deltas and nothing else: what it holds is gone by only where a parent has said
// since this process began that the mark of it is in force. So an old copy does no harm, and a torn one, or
// one of another cluster, is set aside.

// copyMagic begins a copy, with the number of its form; a digest of all that follows comes next.
var checkpointMagic = []byte("willowdeck relay copy 1\n")

const maxCheckpointBytes = 2 * distribution.MaxResponseBytes // bytes

// copyAgain is the pause before a copy is tried again that could not be written.
const checkpointRetryPause = 5 * time.Second

// Copy is a follower's copy on disk.
type Checkpoint struct {
	path, cluster string
	log           zerolog.Logger
	lastMarks     [2]versioned.Mark // of Keep's caller alone
	latest        atomic.Pointer[distribution.Snapshot]
	saveRequested chan struct{}

	written, failed, quarantined atomic.Int64
}

// NewCopy is one at a path; where that is empty, none is kept.
func NewCheckpoint(path, cluster string, log zerolog.Logger) *Checkpoint {
	return &Checkpoint{path: path, cluster: cluster, log: log, saveRequested: make(chan struct{}, 1)}
}

// Counts gives how many were written, could not be written, and could not be used.
func (c *Checkpoint) Counts() (written, failed, aside int64) {
	return c.written.Load(), c.failed.Load(), c.quarantined.Load()
}

// Base has a follower begin with the copy, if there is one that can be used. One that can't is set aside.
func (c *Checkpoint) LoadInto(f *distribution.Follower) {
	if c.path == "" {
		return
	}
	rules, pending, err := readCheckpoint(c.path, c.cluster)
	switch {
	case errors.Is(err, errNoCheckpoint):
	case err != nil:
		c.quarantined.Add(1)
		aside, moved := quarantineCheckpoint(c.path)
		c.log.Warn().Err(err).Str("aside", aside).AnErr("moved", moved).Msg("copy set aside: all is asked for anew")
	default:
		f.AddBases(rules, pending)
		c.log.Info().Uint64("version", rules.Mark().Number).Msg("copy taken as a base")
	}
}

// Keep has the states of a view written, where they are others than before. It does not wait, and is to be
// called from one goroutine.
func (c *Checkpoint) Save(v distribution.Snapshot) {
	now := [2]versioned.Mark{v.Rules.Mark(), v.Pending.Mark()}
	if c.path == "" || now == c.lastMarks {
		return
	}
	c.lastMarks = now
	c.latest.Store(&v)
	c.requestSave()
}

func (c *Checkpoint) requestSave() {
	select {
	case c.saveRequested <- struct{}{}:
	default:
	}
}

// Run writes until the context ends.
func (c *Checkpoint) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.saveRequested:
		}
		v := c.latest.Load()
		err := writeCheckpoint(c.path, c.cluster, v.Rules, v.Pending)
		if err == nil {
			c.written.Add(1)
			continue
		}
		c.failed.Add(1)
		c.log.Error().Err(err).Msg("copy not written: a start after this one asks for all anew")
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkpointRetryPause):
		}
		c.requestSave()
	}
}

// errNoCopy tells that there is none, which is no fault.
var errNoCheckpoint = errors.New("no copy")

// copied is what a copy holds.
type checkpointContent struct {
	_              struct{} `cbor:",toarray"`
	Cluster        string
	Rules, Pending []byte // as distribution.StateBytes has them
}

// keepCopy writes states aside, has them on the disk, and then in place of the copy before. Pending may be
// nil.
func writeCheckpoint(path, cluster string, rules, pending *versioned.State) error {
	c := checkpointContent{Cluster: cluster}
	var err, bad error
	c.Rules, err = distribution.EncodeState(rules)
	c.Pending, bad = distribution.EncodeState(pending)
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
	for _, b := range [][]byte{checkpointMagic, sum[:], body} {
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
func readCheckpoint(path, cluster string) (rules, pending *versioned.State, err error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, errNoCheckpoint
	}
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxCheckpointBytes+1))
	if err != nil {
		return nil, nil, err
	}
	head := len(checkpointMagic) + sha256.Size
	switch {
	case len(raw) > maxCheckpointBytes:
		return nil, nil, fmt.Errorf("a copy of more than %d bytes", maxCheckpointBytes)
	case len(raw) < head || !bytes.Equal(raw[:len(checkpointMagic)], checkpointMagic):
		return nil, nil, errors.New("no copy of this form")
	}
	body := raw[head:]
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], raw[len(checkpointMagic):head]) {
		return nil, nil, errors.New("a copy that is torn: its digest is another")
	}
	var c checkpointContent
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, nil, err
	}
	if c.Cluster != cluster {
		return nil, nil, fmt.Errorf("a copy of cluster %q, this is %q", c.Cluster, cluster)
	}
	rules, err = distribution.DecodeState(c.Rules)
	pending, bad := distribution.DecodeState(c.Pending)
	if err = errors.Join(err, bad); err != nil {
		return nil, nil, err
	}
	return rules, pending, nil
}

// setCopyAside moves a copy that can't be used out of the way, in place of one moved before it.
func quarantineCheckpoint(path string) (string, error) {
	aside := path + ".torn"
	return aside, os.Rename(path, aside)
}
