// Package ledger keeps a gatekeeper's records of credit over a sudden end: a file that is mapped into memory,
// as a residue is. What has been stored there outlives the process however it ends; it does not outlive the
// machine, and counts as none after that.
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
	maxPeers      = 1 << 10          // whose last word is kept
	headerBytes   = 256 + 8*maxPeers // bytes
	slotBytes     = 1024             // bytes of one customer: which copy holds, and two copies
	copyOffset    = 16
	copyBytes     = 504
	fileBytes     = headerBytes + borrowing.MaxAccounts*slotBytes

	// the header's fields, by their place
	offsetMagic     = 0
	offsetInstance  = 8
	offsetBorn      = 16
	offsetUsedSlots = 24 // places that were ever stored to
	offsetBoot      = 32 // of the machine's start; 64 bytes
	offsetBootEnd   = 96
	offsetLastHeard = 256
)

var magic = binary.LittleEndian.Uint64([]byte("wdcred0" + string(rune('0'+formatVersion))))

// File is a book as it is kept. It is not safe for concurrent use.
type Ledger struct {
	data         []byte
	lockFile     *os.File
	openedMillis float64
	opened       time.Time
	BornMillis   float64        // since when what is not in it surely was not, ms of Now
	Corrupt      int            // records that could not be read
	Records      []StoredRecord // what a former life has left
}

// Kept is a record and its place.
type StoredRecord struct {
	Slot   int
	Record borrowing.Record
}

// Open opens the book of gatekeeper me, with what its former life has left. What is of another version,
// gatekeeper or start of the machine is as nothing.
func Open(path string, instance int) (*Ledger, error) {
	bootID, uptimeMillis, err := crashstate.ReadBoot()
	if err != nil {
		return nil, fmt.Errorf("credit: %w", err)
	}
	lockFile, data, existed, err := crashstate.MapLocked(path, fileBytes)
	if err != nil {
		return nil, fmt.Errorf("credit: %w", err)
	}
	l := &Ledger{data: data, lockFile: lockFile, openedMillis: uptimeMillis, opened: time.Now()}
	if !existed || l.readUint64(offsetMagic) != magic || l.readUint64(offsetInstance) != uint64(instance) ||
		!bytes.Equal(bytes.TrimRight(data[offsetBoot:offsetBootEnd], "\x00"), bootID) || !l.load() {
		l.initialize(instance, bootID)
	}
	return l, nil
}

// Now is the book's time, ms: it goes on over lives, however the system's clock is set.
func (l *Ledger) NowMillis() float64 {
	return l.openedMillis + float64(time.Since(l.opened))/float64(time.Millisecond)
}

// fresh begins a book in which nobody is known. The mark that makes it valid is written last.
func (l *Ledger) initialize(instance int, bootID []byte) {
	l.writeUint64(offsetMagic, 0)
	for i := range min(int(l.readUint64(offsetUsedSlots)), borrowing.MaxAccounts) {
		l.writeUint64(headerBytes+i*slotBytes, 0)
	}
	clear(l.data[offsetInstance:headerBytes])
	copy(l.data[offsetBoot:offsetBootEnd], bootID)
	l.BornMillis, l.Records = l.openedMillis, nil
	l.writeUint64(offsetInstance, uint64(instance))
	l.writeUint64(offsetBorn, math.Float64bits(l.BornMillis))
	l.writeUint64(offsetMagic, magic)
}

// read takes what is there. A record that is spoilt is lost, and with it the knowledge that who is not in the
// book owes nothing.
func (l *Ledger) load() bool {
	l.BornMillis = math.Float64frombits(l.readUint64(offsetBorn))
	used := l.readUint64(offsetUsedSlots)
	if !(l.BornMillis >= 0) || l.BornMillis > l.openedMillis || used > borrowing.MaxAccounts {
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
			l.BornMillis = l.openedMillis
			l.writeUint64(offsetBorn, math.Float64bits(l.BornMillis))
			continue
		}
		l.Records = append(l.Records, StoredRecord{i, r})
	}
	return true
}

func (l *Ledger) copyOf(slot int, which uint64) []byte {
	offset := headerBytes + slot*slotBytes + copyOffset + int(which-1)*copyBytes
	return l.data[offset : offset+copyBytes]
}

// Keep stores a record. It has to return before what the record tells is acted on. Guards against an end in
// the middle of it: the copy that holds is written to by none.
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

// Hear notes a peer's word, and tells whether it is news. Guards against a word from before a peer forgot
// what it had said, that comes late to a life which has never heard that peer.
func (l *Ledger) AcceptMessage(from int, id incarnation.MessageID) bool {
	if from < 0 || from >= maxPeers {
		return false
	}
	offset := offsetLastHeard + 8*from
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

// Close lets the file go. What is in it stays.
func (l *Ledger) Close() {
	_ = syscall.Munmap(l.data)
	_ = l.lockFile.Close()
}

func (l *Ledger) uint64At(at int) *uint64      { return (*uint64)(unsafe.Pointer(&l.data[at])) }
func (l *Ledger) readUint64(at int) uint64     { return atomic.LoadUint64(l.uint64At(at)) }
func (l *Ledger) writeUint64(at int, v uint64) { atomic.StoreUint64(l.uint64At(at), v) }

// cursor goes over a copy, eight bytes at a time.
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

func flags(all ...bool) (v uint64) {
	for i, on := range all {
		if on {
			v |= 1 << i
		}
	}
	return v
}

// encode writes a record, and a sum over it last.
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

// decode reads one; false is one that is spoilt.
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
