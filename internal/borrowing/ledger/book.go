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
	version  = 1
	peers    = 1 << 10       // whose last word is kept
	header   = 256 + 8*peers // bytes
	place    = 1024          // bytes of one customer: which copy holds, and two copies
	copyAt   = 16
	copySize = 504
	size     = header + borrowing.Places*place

	// the header's fields, by their place
	atMagic = 0
	atMe    = 8
	atBorn  = 16
	atUsed  = 24 // places that were ever stored to
	atBoot  = 32 // of the machine's start; 64 bytes
	bootEnd = 96
	atHeard = 256
)

var magic = binary.LittleEndian.Uint64([]byte("wdcred0" + string(rune('0'+version))))

// File is a book as it is kept. It is not safe for concurrent use.
type File struct {
	b       []byte
	held    *os.File
	up      float64
	start   time.Time
	Born    float64 // since when what is not in it surely was not, ms of Now
	Spoilt  int     // records that could not be read
	Records []Kept  // what a former life has left
}

// Kept is a record and its place.
type Kept struct {
	Place  int
	Record borrowing.Record
}

// Open opens the book of gatekeeper me, with what its former life has left. What is of another version,
// gatekeeper or start of the machine is as nothing.
func Open(path string, me int) (*File, error) {
	mark, up, err := crashstate.ReadBoot()
	if err != nil {
		return nil, fmt.Errorf("credit: %w", err)
	}
	held, b, was, err := crashstate.MapLocked(path, size)
	if err != nil {
		return nil, fmt.Errorf("credit: %w", err)
	}
	f := &File{b: b, held: held, up: up, start: time.Now()}
	if !was || f.load(atMagic) != magic || f.load(atMe) != uint64(me) ||
		!bytes.Equal(bytes.TrimRight(b[atBoot:bootEnd], "\x00"), mark) || !f.read() {
		f.fresh(me, mark)
	}
	return f, nil
}

// Now is the book's time, ms: it goes on over lives, however the system's clock is set.
func (f *File) Now() float64 { return f.up + float64(time.Since(f.start))/float64(time.Millisecond) }

// fresh begins a book in which nobody is known. The mark that makes it valid is written last.
func (f *File) fresh(me int, mark []byte) {
	f.store(atMagic, 0)
	for i := range min(int(f.load(atUsed)), borrowing.Places) {
		f.store(header+i*place, 0)
	}
	clear(f.b[atMe:header])
	copy(f.b[atBoot:bootEnd], mark)
	f.Born, f.Records = f.up, nil
	f.store(atMe, uint64(me))
	f.store(atBorn, math.Float64bits(f.Born))
	f.store(atMagic, magic)
}

// read takes what is there. A record that is spoilt is lost, and with it the knowledge that who is not in the
// book owes nothing.
func (f *File) read() bool {
	f.Born = math.Float64frombits(f.load(atBorn))
	used := f.load(atUsed)
	if !(f.Born >= 0) || f.Born > f.up || used > borrowing.Places {
		return false
	}
	for i := range int(used) {
		which := f.load(header + i*place)
		if which == 0 {
			continue
		}
		r, ok := borrowing.Record{}, false
		if which <= 2 {
			r, ok = decode(f.copy(i, which))
		}
		if !ok {
			f.Spoilt++
			f.store(header+i*place, 0)
			f.Born = f.up
			f.store(atBorn, math.Float64bits(f.Born))
			continue
		}
		f.Records = append(f.Records, Kept{i, r})
	}
	return true
}

func (f *File) copy(i int, which uint64) []byte {
	at := header + i*place + copyAt + int(which-1)*copySize
	return f.b[at : at+copySize]
}

// Keep stores a record. It has to return before what the record tells is acted on. Guards against an end in
// the middle of it: the copy that holds is written to by none.
func (f *File) Keep(i int, r *borrowing.Record) {
	at := header + i*place
	next := uint64(1)
	if f.load(at) == 1 {
		next = 2
	}
	encode(f.copy(i, next), r)
	f.store(at, next)
	if used := uint64(i + 1); used > f.load(atUsed) {
		f.store(atUsed, used)
	}
}

// Hear notes a peer's word, and tells whether it is news. Guards against a word from before a peer forgot
// what it had said, that comes late to a life which has never heard that peer.
func (f *File) Hear(from int, w incarnation.MessageID) bool {
	if from < 0 || from >= peers {
		return false
	}
	at := atHeard + 8*from
	v := uint64(w.Incarnation)<<32 | uint64(w.Sequence)
	if last := f.load(at); last != 0 {
		life, said := int32(w.Incarnation-uint32(last>>32)), int32(w.Sequence-uint32(last))
		if life < 0 || life == 0 && said <= 0 {
			return false
		}
	}
	f.store(at, v)
	return true
}

// Close lets the file go. What is in it stays.
func (f *File) Close() {
	_ = syscall.Munmap(f.b)
	_ = f.held.Close()
}

func (f *File) word(at int) *uint64    { return (*uint64)(unsafe.Pointer(&f.b[at])) }
func (f *File) load(at int) uint64     { return atomic.LoadUint64(f.word(at)) }
func (f *File) store(at int, v uint64) { atomic.StoreUint64(f.word(at), v) }

// cursor goes over a copy, eight bytes at a time.
type cursor struct {
	b  []byte
	at int
}

func (c *cursor) put(v uint64) {
	binary.LittleEndian.PutUint64(c.b[c.at:], v)
	c.at += 8
}

func (c *cursor) get() uint64 {
	c.at += 8
	return binary.LittleEndian.Uint64(c.b[c.at-8:])
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
	c := cursor{b: b}
	c.put(uint64(r.Customer) | uint64(r.Form)<<32)
	c.put(uint64(r.Plan) | uint64(r.N)<<8 | uint64(r.First)<<16 | flags(r.Live, r.Known, r.Virgin)<<32)
	c.put(uint64(r.Rights))
	c.put(uint64(r.Earn))
	for i := range r.Owed {
		c.put(uint64(r.Owed[i]))
		c.put(math.Float64bits(r.Due[i]))
	}
	for i := range r.Pairs {
		p := &r.Pairs[i]
		c.put(uint64(p.Peer) | flags(p.Used)<<16)
		c.put(p.GaveR)
		c.put(p.GaveD)
		c.put(p.GotR)
		c.put(p.GotD)
		c.put(math.Float64bits(p.Due))
	}
	c.put(uint64(crc32.ChecksumIEEE(b[:c.at])))
}

// decode reads one; false is one that is spoilt.
func decode(b []byte) (r borrowing.Record, ok bool) {
	c := cursor{b: b}
	v := c.get()
	r.Customer, r.Form = uint32(v), uint32(v>>32)
	v = c.get()
	r.Plan, r.N, r.First = uint8(v), uint8(v>>8), uint16(v>>16)
	r.Live, r.Known, r.Virgin = v>>32&1 == 1, v>>33&1 == 1, v>>34&1 == 1
	r.Rights, r.Earn = int64(c.get()), int64(c.get())
	for i := range r.Owed {
		r.Owed[i], r.Due[i] = int64(c.get()), math.Float64frombits(c.get())
		ok = r.Owed[i] >= 0 && !math.IsNaN(r.Due[i])
		if !ok {
			return r, false
		}
	}
	for i := range r.Pairs {
		p := &r.Pairs[i]
		v = c.get()
		p.Peer, p.Used = uint16(v), v>>16&1 == 1
		p.GaveR, p.GaveD, p.GotR, p.GotD = c.get(), c.get(), c.get(), c.get()
		p.Due = math.Float64frombits(c.get())
	}
	sum := uint64(crc32.ChecksumIEEE(b[:c.at]))
	return r, r.Live && c.get() == sum
}
