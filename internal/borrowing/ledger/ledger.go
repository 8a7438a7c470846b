package ledger

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"willowdeck/internal/borrowing"
	"willowdeck/internal/gateway/incarnation"
	"willowdeck/internal/gateway/recovery/crashstate"
)

const (
	formatVersion = 1
	maxPeers      = 1 << 10          // peers whose last message id is stored
	headerBytes   = 256 + 8*maxPeers // fields, then the last message id of each peer
	slotBytes     = 1024             // a slot has the number of its valid copy (0 is none) and two copies
	copyOffset    = 16               // of the first copy in a slot
	copyBytes     = 504
	fileBytes     = headerBytes + borrowing.MaxAccounts*slotBytes

	// Offsets of the header's fields.
	offsetMagic         = 0
	offsetInstance      = 8
	offsetCompleteSince = 16
	offsetUsedSlots     = 24 // one more than the largest slot that was ever stored to
	offsetBoot          = 32 // boot id; 64 bytes
	offsetBootEnd       = 96
	offsetLastMessage   = 256
)

var magic = binary.LittleEndian.Uint64([]byte("wdcred0" + string(rune('0'+formatVersion))))

// Ledger is an open ledger file. It is not safe for concurrent use.
type Ledger struct {
	data                []byte
	lockFile            *os.File
	openedMillis        float64
	opened              time.Time
	CompleteSinceMillis float64        // a customer without a record has no debt drawn after it; ms of NowMillis
	Corrupt             int            // records that Open discarded as corrupt
	Records             []StoredRecord // of earlier incarnations, as read by Open
}

// StoredRecord is a record that was read from the file, with its slot.
type StoredRecord struct {
	Slot   int
	Record borrowing.Record
}

// Open opens an instance's ledger and reads the records of its earlier incarnations. A file that is missing,
// invalid, or of another version, instance or boot of the machine is initialized as an empty ledger.
func Open(path string, instance int) (*Ledger, error) {
	bootID, uptimeMillis, err := crashstate.ReadBoot()
	if err != nil {
		return nil, fmt.Errorf("borrowing ledger: %w", err)
	}
	lockFile, data, existed, err := crashstate.MapLocked(path, fileBytes)
	if err != nil {
		return nil, fmt.Errorf("borrowing ledger: %w", err)
	}
	l := &Ledger{data: data, lockFile: lockFile, openedMillis: uptimeMillis, opened: time.Now()}
	if !existed || l.readUint64(offsetMagic) != magic || l.readUint64(offsetInstance) != uint64(instance) ||
		!bytes.Equal(bytes.TrimRight(data[offsetBoot:offsetBootEnd], "\x00"), bootID) || !l.load() {
		l.initialize(instance, bootID)
	}
	return l, nil
}

// NowMillis returns the time since the machine's boot, in ms. It continues from one incarnation to the next
// and does not depend on the system clock.
func (l *Ledger) NowMillis() float64 {
	return l.openedMillis + float64(time.Since(l.opened))/float64(time.Millisecond)
}

// initialize empties the ledger. The magic number that makes it valid is written last.
func (l *Ledger) initialize(instance int, bootID []byte) {
	l.writeUint64(offsetMagic, 0)
	for i := range min(int(l.readUint64(offsetUsedSlots)), borrowing.MaxAccounts) {
		l.writeUint64(headerBytes+i*slotBytes, 0)
	}
	clear(l.data[offsetInstance:headerBytes])
	copy(l.data[offsetBoot:offsetBootEnd], bootID)
	l.CompleteSinceMillis, l.Records = l.openedMillis, nil
	l.writeUint64(offsetInstance, uint64(instance))
	l.writeUint64(offsetCompleteSince, math.Float64bits(l.CompleteSinceMillis))
	l.writeUint64(offsetMagic, magic)
}

// load reads the records, and returns false if the header is invalid. A corrupt record is discarded. Its
// customer is unknown, so from then on any customer without a record may have had a debt before now.
func (l *Ledger) load() bool {
	l.CompleteSinceMillis = math.Float64frombits(l.readUint64(offsetCompleteSince))
	used := l.readUint64(offsetUsedSlots)
	if !(l.CompleteSinceMillis >= 0) || l.CompleteSinceMillis > l.openedMillis || used > borrowing.MaxAccounts {
		return false
	}
	for i := range int(used) {
		which := l.readUint64(headerBytes + i*slotBytes)
		if which == 0 {
			continue
		}
		r, ok := borrowing.Record{}, false
		if which <= 2 {
			r, ok = decode(l.copyOf(i, which))
		}
		if !ok {
			l.Corrupt++
			l.writeUint64(headerBytes+i*slotBytes, 0)
			l.CompleteSinceMillis = l.openedMillis
			l.writeUint64(offsetCompleteSince, math.Float64bits(l.CompleteSinceMillis))
			continue
		}
		l.Records = append(l.Records, StoredRecord{i, r})
	}
	return true
}

// copyOf returns the bytes of a slot's copy 1 or 2.
func (l *Ledger) copyOf(slot int, which uint64) []byte {
	offset := headerBytes + slot*slotBytes + copyOffset + int(which-1)*copyBytes
	return l.data[offset : offset+copyBytes]
}

// Store stores a record. It has to return before the caller sends or uses anything that depends on the
// record. It overwrites the copy that is not valid and then makes it the valid one, so that a crash in
// between leaves the earlier record.
func (l *Ledger) Store(slot int, record *borrowing.Record) {
	offset := headerBytes + slot*slotBytes
	next := uint64(1)
	if l.readUint64(offset) == 1 {
		next = 2
	}
	encode(l.copyOf(slot, next), record)
	l.writeUint64(offset, next)
	if used := uint64(slot + 1); used > l.readUint64(offsetUsedSlots) {
		l.writeUint64(offsetUsedSlots, used)
	}
}

// AcceptMessage stores the id of a peer's message and returns true if it is newer than the last one stored.
// This rejects a delayed message which the peer sent before it lost its counters, also in an incarnation
// that has not received anything from that peer yet.
func (l *Ledger) AcceptMessage(from int, id incarnation.MessageID) bool {
	if from < 0 || from >= maxPeers {
		return false
	}
	offset := offsetLastMessage + 8*from
	v := uint64(id.Incarnation)<<32 | uint64(id.Sequence)
	if last := l.readUint64(offset); last != 0 {
		incarnations, sequences := int32(id.Incarnation-uint32(last>>32)), int32(id.Sequence-uint32(last))
		if incarnations < 0 || incarnations == 0 && sequences <= 0 {
			return false
		}
	}
	l.writeUint64(offset, v)
	return true
}

// Close unmaps and unlocks the file. Its content is kept.
func (l *Ledger) Close() {
	_ = syscall.Munmap(l.data)
	_ = l.lockFile.Close()
}

func (l *Ledger) uint64At(at int) *uint64      { return (*uint64)(unsafe.Pointer(&l.data[at])) }
func (l *Ledger) readUint64(at int) uint64     { return atomic.LoadUint64(l.uint64At(at)) }
func (l *Ledger) writeUint64(at int, v uint64) { atomic.StoreUint64(l.uint64At(at), v) }

// fieldCursor reads or writes a copy, eight bytes at a time.
type fieldCursor struct {
	data   []byte
	offset int
}

func (c *fieldCursor) put(v uint64) {
	binary.LittleEndian.PutUint64(c.data[c.offset:], v)
	c.offset += 8
}

func (c *fieldCursor) get() uint64 {
	c.offset += 8
	return binary.LittleEndian.Uint64(c.data[c.offset-8:])
}

// flags returns a bit set of the values, the first in the lowest bit.
func flags(all ...bool) (v uint64) {
	for i, on := range all {
		if on {
			v |= 1 << i
		}
	}
	return v
}

// encode writes a record, and after it its checksum.
func encode(b []byte, r *borrowing.Record) {
	c := fieldCursor{data: b}
	c.put(uint64(r.Customer) | uint64(r.SetDigest)<<32)
	c.put(
		uint64(r.Plan) | uint64(r.SetSize)<<8 | uint64(r.First)<<16 | flags(r.InUse, r.Known, r.NoPriorDebt)<<32,
	)
	c.put(uint64(r.Rights))
	c.put(uint64(r.PresumedDrawn))
	for i := range r.Debt {
		c.put(uint64(r.Debt[i]))
		c.put(math.Float64bits(r.DebtDueMillis[i]))
	}
	for i := range r.Pairs {
		p := &r.Pairs[i]
		c.put(uint64(p.Peer) | flags(p.Used)<<16)
		c.put(p.RightsGiven)
		c.put(p.DebtGiven)
		c.put(p.RightsReceived)
		c.put(p.DebtReceived)
		c.put(math.Float64bits(p.DueMillis))
	}
	c.put(uint64(crc32.ChecksumIEEE(b[:c.offset])))
}

// decode reads a record; ok is false if it is corrupt.
func decode(b []byte) (r borrowing.Record, ok bool) {
	c := fieldCursor{data: b}
	v := c.get()
	r.Customer, r.SetDigest = uint32(v), uint32(v>>32)
	v = c.get()
	r.Plan, r.SetSize, r.First = uint8(v), uint8(v>>8), uint16(v>>16)
	r.InUse, r.Known, r.NoPriorDebt = v>>32&1 == 1, v>>33&1 == 1, v>>34&1 == 1
	r.Rights, r.PresumedDrawn = int64(c.get()), int64(c.get())
	for i := range r.Debt {
		r.Debt[i], r.DebtDueMillis[i] = int64(c.get()), math.Float64frombits(c.get())
		ok = r.Debt[i] >= 0 && !math.IsNaN(r.DebtDueMillis[i])
		if !ok {
			return r, false
		}
	}
	for i := range r.Pairs {
		p := &r.Pairs[i]
		v = c.get()
		p.Peer, p.Used = uint16(v), v>>16&1 == 1
		p.RightsGiven, p.DebtGiven, p.RightsReceived, p.DebtReceived = c.get(), c.get(), c.get(), c.get()
		p.DueMillis = math.Float64frombits(c.get())
	}
	sum := uint64(crc32.ChecksumIEEE(b[:c.offset]))
	return r, r.InUse && c.get() == sum
}
