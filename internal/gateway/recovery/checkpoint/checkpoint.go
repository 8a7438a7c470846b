package checkpoint

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"os"

	"golang.org/x/sys/unix"

	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/policy"
)

const (
	version        = 1
	slotSize       = 4 << 20 // bytes; room for 16,384 customers and 65,536 reports. The file is sparse
	headerSize     = 128     // bytes of a slot's header
	customerSize   = 24 + 17*8
	peerSize       = 48
	reportSize     = 16
	maxReportBytes = (slotSize - headerSize) / 4 // bytes of peers' reports; those beyond are left out
	maxClockDrift  = 50.0                        // ms between clock and uptime; more is a clock that was set
	offsetSequence = 8                           // offsets of the header's fields: sequence number,
	offsetLength   = 16                          // bytes after the header,
	offsetUptime   = 24                          // uptime when it was written, ms,
	offsetChecksum = 32                          // of all other bytes; four bytes,
	offsetDigest   = 40                          // see Digest; 32 bytes,
	offsetBootID   = 72                          // of the machine; 56 bytes
)

var (
	magic      = binary.LittleEndian.Uint64([]byte("willowi" + string(rune('0'+version))))
	byteOrder  = binary.LittleEndian
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Why there is no snapshot to restore. Open returns the first, second and last; the caller finds the third.
var (
	ErrNotFound       = errors.New("checkpoint: not found")
	ErrCorrupt        = errors.New("checkpoint: corrupt, truncated or of another version")
	ErrDigestMismatch = errors.New("checkpoint: of another charter or ruleset")
	ErrOtherBoot      = errors.New("checkpoint: of another boot of the machine")
)

// Snapshot is the content of a checkpoint: the policy's state that decays, and the ID of the newest
// message of each peer, by the peer's index. The IDs show a restarted process which peers were themselves
// replaced while it was down; what such a peer reported in its former incarnation would otherwise be
// counted twice.
type Snapshot struct {
	State        policy.HandoffState
	LastMessages []incarnation.MessageID // zero for a peer that has sent nothing
	Digest       [32]byte                // of what the snapshot depends on, when it was written
}

// Digest identifies everything that a snapshot depends on: the charter, and the version of the ruleset
// that brought it; 0 where there is none. It covers the printed values of charter.Plans: the order of
// their fields must not change.
func Digest(charter policy.Settings, rulesVersion uint64) [32]byte {
	return sha256.Sum256(fmt.Append(nil, rulesVersion, charter.GatewayIndex, charter.GatewayCount,
		charter.MaxRequestUnits,
		charter.PeerMessagesPerSecond,
		charter.ReportsPerMessage, charter.QuotaWithoutGossip, charter.Plans))
}

// slotFile is what a Writer writes to; tests replace it.
type slotFile interface {
	io.WriterAt
	io.Closer
}

// Writer writes checkpoints. It is not safe for concurrent use.
type Writer struct {
	file         slotFile
	bootID       []byte
	nextSequence uint64 // sequence number of the next checkpoint
	buffer       []byte
}

var readBoot = readMachineBoot // replaced in tests

// readMachineBoot returns the kernel's boot ID and the uptime.
func readMachineBoot() (bootID []byte, uptimeMillis float64, err error) {
	if bootID, err = os.ReadFile("/proc/sys/kernel/random/boot_id"); err != nil {
		return nil, 0, err
	}
	uptimeMillis, err = uptime()
	return bytes.TrimSpace(bootID), uptimeMillis, err
}

// uptime returns the machine's uptime in ms, which does not change when the system clock is set.
func uptime() (float64, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return float64(t.Nano()) / 1e6, err
}

// Open creates a checkpoint file at path and returns the newest valid snapshot of the file that was there,
// with its times converted to this process's clock; now is Unix ms. Where snapshot is nil, rejected says
// why: ErrNotFound, ErrCorrupt or ErrOtherBoot. The caller compares the snapshot's digest with that in
// force. The file is a new one that holds that snapshot and replaces the former: a process that still
// writes to the former is ignored. An error means that no checkpoints can be kept.
func Open(path string, now float64) (writer *Writer, snapshot *Snapshot, rejected, err error) {
	bootID, uptimeMillis, err := readBoot()
	if err != nil {
		return nil, nil, nil, fmt.Errorf("checkpoint: %w", err)
	}
	writer = &Writer{bootID: bootID}
	slot, rejected := newestSlot(path)
	if rejected == nil {
		snapshot, rejected = decodeSlot(slot, bootID, uptimeMillis, now)
	}
	if rejected != nil {
		slot, snapshot = nil, nil
	}
	temporary := path + ".new"
	if err = os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil, fmt.Errorf("checkpoint: %w", err)
	}
	file, err := os.OpenFile(temporary, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("checkpoint: %w", err)
	}
	if writer.file = file; slot != nil {
		sequence := byteOrder.Uint64(slot[offsetSequence:])
		writer.nextSequence = sequence + 1
		_, err = file.WriteAt(slot, int64(sequence%2)*slotSize)
	}
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		_ = file.Close()
		return nil, nil, nil, fmt.Errorf("checkpoint: %w", err)
	}
	return writer, snapshot, rejected, nil
}

// newestSlot returns the valid slot with the highest sequence number.
func newestSlot(path string) (newest []byte, rejected error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, ErrNotFound
	}
	defer func() { _ = file.Close() }()
	if info, err := file.Stat(); err == nil && info.Size() == 0 { // its process wrote no checkpoint
		return nil, ErrNotFound
	}
	for i := range uint64(2) {
		slot := make([]byte, headerSize)
		if _, err := file.ReadAt(slot, int64(i)*slotSize); err != nil || byteOrder.Uint64(slot) != magic {
			continue
		}
		sequence, length := byteOrder.Uint64(slot[offsetSequence:]), byteOrder.Uint64(slot[offsetLength:])
		if sequence%2 != i || length > slotSize-headerSize || newest != nil &&
			byteOrder.Uint64(newest[offsetSequence:]) > sequence {
			continue
		}
		slot = append(slot, make([]byte, length)...)
		if _, err := file.ReadAt(slot[headerSize:], int64(i)*slotSize+headerSize); err == nil &&
			byteOrder.Uint32(slot[offsetChecksum:]) == checksum(slot) {
			newest = slot
		}
	}
	if newest == nil {
		return nil, ErrCorrupt
	}
	return newest, nil
}

// checksum returns the checksum of a slot without its checksum field.
func checksum(slot []byte) uint32 {
	return crc32.Update(crc32.Checksum(slot[:offsetChecksum], castagnoli), castagnoli, slot[offsetChecksum+4:])
}

// decodeSlot decodes a slot. Its age follows from the machine's uptime; if the system clock was set
// meanwhile, all times are shifted by as much.
func decodeSlot(slot []byte, bootID []byte, uptimeMillis, now float64) (*Snapshot, error) {
	writtenUptime := math.Float64frombits(byteOrder.Uint64(slot[offsetUptime:]))
	if !bytes.Equal(bytes.TrimRight(slot[offsetBootID:headerSize], "\x00"), bootID) ||
		!(writtenUptime <= uptimeMillis) {
		return nil, ErrOtherBoot
	}
	snapshot := &Snapshot{Digest: [32]byte(slot[offsetDigest:])}
	state, decoding := &snapshot.State, decoder{data: slot[headerSize:]}
	if decoding.snapshot(snapshot); decoding.failed || len(decoding.data) > 0 {
		return nil, ErrCorrupt
	}
	clockShift := now - (uptimeMillis - writtenUptime) - state.AtMillis
	if math.IsNaN(clockShift) || math.IsInf(clockShift, 0) {
		return nil, ErrCorrupt
	}
	if math.Abs(clockShift) >= maxClockDrift {
		shiftTimes(state, clockShift)
	}
	return snapshot, nil
}

// shiftTimes adds a number of ms to all times but those that are 0 (never).
func shiftTimes(state *policy.HandoffState, by float64) {
	shiftAll := func(times ...*float64) {
		for _, time := range times {
			if *time != 0 {
				*time += by
			}
		}
	}
	shiftAll(&state.AtMillis, &state.StartedAtMillis, &state.NextReportAtMillis)
	for i := range state.Peers {
		peer := &state.Peers[i]
		shiftAll(&peer.ReceivedAtMillis, &peer.ReportedAtMillis, &peer.ReportDueSinceMillis,
			&peer.ReportsReceivedAtMillis)
	}
	for i := range state.Customers {
		customer := &state.Customers[i]
		shiftAll(&customer.FilledAtMillis, &customer.PeerDemandAtMillis, &customer.LastRequestAtMillis,
			&customer.CoolSinceMillis, &customer.ReportedAtMillis,
			&customer.CreditAtMillis)
	}
}

// Write writes the snapshot over the older of the two slots. After an error that slot is invalid and the
// other one stands.
func (w *Writer) Write(snapshot *Snapshot) error {
	uptimeMillis, err := uptime()
	if err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	return w.writeSlot(snapshot, uptimeMillis)
}

func (w *Writer) writeSlot(snapshot *Snapshot, uptimeMillis float64) error {
	if cap(w.buffer) < headerSize {
		w.buffer = make([]byte, headerSize, headerSize<<7)
	}
	slot := w.buffer[:headerSize]
	clear(slot)
	slot = encode(slot, snapshot)
	if w.buffer = slot; len(slot) > slotSize {
		return errors.New("checkpoint: snapshot is larger than a slot")
	}
	byteOrder.PutUint64(slot, magic)
	byteOrder.PutUint64(slot[offsetSequence:], w.nextSequence)
	byteOrder.PutUint64(slot[offsetLength:], uint64(len(slot)-headerSize))
	byteOrder.PutUint64(slot[offsetUptime:], math.Float64bits(uptimeMillis))
	copy(slot[offsetDigest:], snapshot.Digest[:])
	copy(slot[offsetBootID:headerSize], w.bootID)
	byteOrder.PutUint32(slot[offsetChecksum:], checksum(slot))
	if _, err := w.file.WriteAt(slot, int64(w.nextSequence%2)*slotSize); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	w.nextSequence++
	return nil
}

// Close closes the file. Its content stays.
func (w *Writer) Close() { _ = w.file.Close() }
