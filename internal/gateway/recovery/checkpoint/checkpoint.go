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
	slotSize       = 4 << 20 // bytes; fits 16,384 customers and 65,536 reports. The file is sparse
	headerSize     = 128     // bytes of a slot's header
	customerSize   = 24 + 17*8
	peerSize       = 48
	reportSize     = 16
	maxReportBytes = (slotSize - headerSize) / 4 // for the reports of all peers; further reports are left out
	maxClockDrift  = 50.0                        // ms between clock and uptime; above it, the clock was set
	offsetSequence = 8                           // offset of the sequence number; 8 bytes
	offsetLength   = 16                          // offset of the number of bytes after the header; 8 bytes
	offsetUptime   = 24                          // offset of the uptime at the time of the write, ms; 8 bytes
	offsetChecksum = 32                          // offset of the checksum of all other bytes; 4 bytes
	offsetDigest   = 40                          // offset of the digest, see Digest; 32 bytes
	offsetBootID   = 72                          // offset of the machine's boot ID; 56 bytes
)

var (
	magic      = binary.LittleEndian.Uint64([]byte("willowi" + string(rune('0'+version))))
	byteOrder  = binary.LittleEndian
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Reasons why there is no snapshot to restore. Open returns ErrNotFound, ErrCorrupt and ErrOtherBoot; the
// caller, which compares the digests, uses ErrDigestMismatch.
var (
	ErrNotFound       = errors.New("checkpoint: not found")
	ErrCorrupt        = errors.New("checkpoint: corrupt, truncated or of another version")
	ErrDigestMismatch = errors.New("checkpoint: of other settings or another ruleset")
	ErrOtherBoot      = errors.New("checkpoint: of another boot of the machine")
)

// Snapshot is the content of a checkpoint: the policy's state, and the ID of the newest message of
// each peer. By these IDs a restarted process detects which peers were restarted while it was down: the
// reports of such a peer's former incarnation would otherwise be counted twice.
type Snapshot struct {
	State        policy.HandoffState
	LastMessages []incarnation.MessageID // by the peer's index; zero for a peer that has sent nothing
	Digest       [32]byte                // the result of Digest when the snapshot was written
}

// Digest returns a hash of everything that a snapshot depends on: the settings, and the version of the
// ruleset that they come from, or 0 if there is none. It hashes the printed values of settings.Plans, so
// the order of the fields of a plan must not change.
func Digest(settings policy.Settings, rulesVersion uint64) [32]byte {
	return sha256.Sum256(fmt.Append(nil, rulesVersion, settings.GatewayIndex, settings.GatewayCount,
		settings.MaxRequestUnits,
		settings.PeerMessagesPerSecond,
		settings.ReportsPerMessage, settings.QuotaWithoutGossip, settings.Plans))
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

// readMachineBoot returns the kernel's boot ID and the uptime in ms.
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

// Open returns the newest valid snapshot of the checkpoint file at path, with its times converted to the
// current system clock, and replaces the file by a new one that contains this snapshot, if any. Writes of
// another process to the replaced file are ignored. now is Unix ms. If snapshot is nil, rejected is the
// reason: ErrNotFound, ErrCorrupt or ErrOtherBoot. The caller has to compare the snapshot's digest with the
// current one. If err is not nil, no checkpoints can be kept.
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
	if info, err := file.Stat(); err == nil && info.Size() == 0 { // no checkpoint was written
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

// decodeSlot decodes a slot. It computes the slot's age from the machine's uptime. If the system clock was
// set since the slot was written, it shifts all times by the same amount.
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

// shiftTimes adds by, in ms, to all times except those that are 0, which means never.
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

// Write overwrites the older of the two slots with the snapshot. After an error that slot may be invalid;
// the other slot is unchanged.
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

// Close closes the file. The content is kept.
func (w *Writer) Close() { _ = w.file.Close() }
