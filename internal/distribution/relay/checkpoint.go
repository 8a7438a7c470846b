package relay

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"willowdeck/internal/atomicfile"
	"willowdeck/internal/distribution"
	"willowdeck/internal/versioned"
)

// checkpointMagic begins a stored checkpoint, with the version of its form. The SHA-256 of all that follows
// comes next.
var checkpointMagic = []byte("willowdeck relay copy 1\n")

const (
	maxCheckpointBytes   = 2 * distribution.MaxResponseBytes
	checkpointRetryPause = 5 * time.Second // after a write that failed
	checkpointMode       = 0o600
)

// Checkpoint stores the latest states of a follower in a file. They are bases for deltas after a restart, and
// are acted on only once an upstream has confirmed their IDs since this process started. So an old
// checkpoint does no harm, and a damaged one, or one of another cluster, is moved aside.
type Checkpoint struct {
	path, cluster string // with an empty path nothing is stored
	log           zerolog.Logger
	lastVersions  [2]versioned.VersionID // rules and pending; used by Save's caller alone
	latest        atomic.Pointer[distribution.Snapshot]
	saveRequested chan struct{}

	written, failed, quarantined atomic.Int64
}

// NewCheckpoint makes a checkpoint in a file; with an empty path nothing is stored.
func NewCheckpoint(path, cluster string, log zerolog.Logger) *Checkpoint {
	return &Checkpoint{path: path, cluster: cluster, log: log, saveRequested: make(chan struct{}, 1)}
}

// Counts gives how many checkpoints were written, could not be written, and could not be used.
func (c *Checkpoint) Counts() (written, failed, quarantined int64) {
	return c.written.Load(), c.failed.Load(), c.quarantined.Load()
}

// LoadInto gives a follower the stored states as bases. A checkpoint that can't be used is moved aside.
func (c *Checkpoint) LoadInto(follower *distribution.Follower) {
	if c.path == "" {
		return
	}
	rules, pending, err := readCheckpoint(c.path, c.cluster)
	switch {
	case errors.Is(err, errNoCheckpoint):
	case err != nil:
		c.quarantined.Add(1)
		aside, moveErr := quarantineCheckpoint(c.path)
		c.log.Warn().Err(err).Str("aside", aside).AnErr("moved", moveErr).
			Msg("checkpoint moved aside: a full state is requested")
	default:
		follower.AddBases(rules, pending)
		c.log.Info().Uint64("version", rules.ID().Number).Msg("checkpoint loaded as a base for deltas")
	}
}

// Save has Run write the states of a snapshot, where they are others than before. It does not wait, and is to
// be called from one goroutine.
func (c *Checkpoint) Save(snapshot distribution.Snapshot) {
	versions := [2]versioned.VersionID{snapshot.Rules.ID(), snapshot.Pending.ID()}
	if c.path == "" || versions == c.lastVersions {
		return
	}
	c.lastVersions = versions
	c.latest.Store(&snapshot)
	c.requestSave()
}

func (c *Checkpoint) requestSave() {
	select {
	case c.saveRequested <- struct{}{}:
	default:
	}
}

// Run writes what Save was given last, until the context ends.
func (c *Checkpoint) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.saveRequested:
		}
		latest := c.latest.Load()
		err := writeCheckpoint(c.path, c.cluster, latest.Rules, latest.Pending)
		if err == nil {
			c.written.Add(1)
			continue
		}
		c.failed.Add(1)
		c.log.Error().Err(err).Msg("checkpoint not written: after a restart a full state is requested")
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkpointRetryPause):
		}
		c.requestSave()
	}
}

// errNoCheckpoint says that there is no file, which is no fault.
var errNoCheckpoint = errors.New("no checkpoint")

// checkpointContent is the stored form: a CBOR array of the fields in this order.
type checkpointContent struct {
	_              struct{} `cbor:",toarray"`
	Cluster        string
	Rules, Pending []byte // of distribution.EncodeState
}

// writeCheckpoint replaces the file at a path. Pending may be nil.
func writeCheckpoint(path, cluster string, rules, pending *versioned.State) error {
	rulesBytes, err := distribution.EncodeState(rules)
	pendingBytes, pendingErr := distribution.EncodeState(pending)
	if err = errors.Join(err, pendingErr); err != nil {
		return err
	}
	body, err := cbor.Marshal(checkpointContent{Cluster: cluster, Rules: rulesBytes, Pending: pendingBytes})
	if err != nil {
		return err
	}
	digest := sha256.Sum256(body)
	return atomicfile.WriteBytes(path, checkpointMode, checkpointMagic, digest[:], body)
}

// readCheckpoint gives the stored states. The error is errNoCheckpoint where there is no file; after any
// other the file can't be used.
func readCheckpoint(path, cluster string) (rules, pending *versioned.State, err error) {
	raw, err := readBounded(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, errNoCheckpoint
	}
	if err != nil {
		return nil, nil, err
	}
	content, err := decodeCheckpoint(raw)
	if err != nil {
		return nil, nil, err
	}
	if content.Cluster != cluster {
		return nil, nil, fmt.Errorf("checkpoint of cluster %q, this is %q", content.Cluster, cluster)
	}
	rules, err = distribution.DecodeState(content.Rules)
	pending, pendingErr := distribution.DecodeState(content.Pending)
	if err = errors.Join(err, pendingErr); err != nil {
		return nil, nil, err
	}
	return rules, pending, nil
}

// readBounded reads a file, of which it holds one byte more than maxCheckpointBytes at most.
func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(file, maxCheckpointBytes+1))
	_ = file.Close() // it was only read
	return raw, err
}

// decodeCheckpoint checks the form and the digest of a stored checkpoint.
func decodeCheckpoint(raw []byte) (content checkpointContent, err error) {
	headerBytes := len(checkpointMagic) + sha256.Size
	switch {
	case len(raw) > maxCheckpointBytes:
		return content, fmt.Errorf("checkpoint of more than %d bytes", maxCheckpointBytes)
	case len(raw) < headerBytes || !bytes.Equal(raw[:len(checkpointMagic)], checkpointMagic):
		return content, errors.New("not a checkpoint of this form")
	}
	body := raw[headerBytes:]
	if digest := sha256.Sum256(body); !bytes.Equal(digest[:], raw[len(checkpointMagic):headerBytes]) {
		return content, errors.New("damaged checkpoint: digest mismatch")
	}
	return content, cbor.Unmarshal(body, &content)
}

// quarantineCheckpoint moves a checkpoint that can't be used aside, in place of one that was moved before.
func quarantineCheckpoint(path string) (string, error) {
	aside := path + ".torn"
	return aside, os.Rename(path, aside)
}
