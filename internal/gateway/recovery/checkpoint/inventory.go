// Package checkpoint keeps a copy of what fades in a gatekeeper's estate beside its residue: quotas, demand,
// and what peers said. It is a file of two slots that are written in turn, each with its place in the
// sequence, its length and a checksum: a process that is killed in the middle of a write leaves the other
// slot. It is not synced to disk, as what a process has written outlives it, and nothing here outlives the
// machine.
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
	version  = 1
	slot     = 4 << 20 // bytes; 16,384 customers and 65,536 reports of peers have room. Disk is used as needed
	header   = 128     // of a slot
	perOne   = 24 + 17*8
	perPeer  = 48
	perWord  = 16
	most     = (slot - header) / 4 // bytes of peers' reports; those beyond are left out
	step     = 50.0                // ms by which the system's clock may leave the machine's own
	atOrder  = 8                   // the fields of a header, by their place: the sequence,
	atLength = 16                  // bytes after the header,
	atUp     = 24                  // how long the machine was up, ms,
	atSum    = 32                  // the checksum of all but itself; four bytes,
	atDigest = 40                  // of what it depends on; 32 bytes,
	atBoot   = 72                  // and the mark of the machine's start; 56 bytes
)

var (
	magic = binary.LittleEndian.Uint64([]byte("willowi" + string(rune('0'+version))))
	order = binary.LittleEndian
	table = crc32.MakeTable(crc32.Castagnoli)
)

// Why nothing can be gone by.
var (
	ErrNone    = errors.New("inventory: there is none")
	ErrSpoilt  = errors.New("inventory: spoilt, cut or of another version")
	ErrCharter = errors.New("inventory: of another charter, or other rules")
	ErrMachine = errors.New("inventory: of another start of the machine")
)

// Left is a copy: of the estate what policy.Copy gives, and the last word heard of each peer, by its number.
// By these a new life knows which peers have returned while it was away; without, what such a peer told in
// its former life would count beside what it tells now.
type Left struct {
	Estate policy.HandoffState
	Words  []incarnation.MessageID // none of those that were not heard
	Of     [32]byte                // the digest of what it depends on, as it was written
}

// Digest stands for all that a copy depends on: a charter, and the version of the agreed rules that brought
// it; 0 where none are agreed on.
func Digest(c policy.Settings, rules uint64) [32]byte {
	return sha256.Sum256(fmt.Append(nil, rules, c.GatewayIndex, c.GatewayCount, c.MaxRequestUnits,
		c.PeerMessagesPerSecond,
		c.ReportsPerMessage, c.QuotaWithoutGossip, c.Plans))
}

// file is where copies go; another in tests.
type file interface {
	io.WriterAt
	io.Closer
}

// Book writes copies. It is not safe for concurrent use.
type Book struct {
	f    file
	mark []byte
	next uint64 // in the sequence
	b    []byte
}

var machine = boot // another in tests

// boot gives what tells one start of the machine from another, and how many ms ago that was.
func boot() (mark []byte, up float64, err error) {
	if mark, err = os.ReadFile("/proc/sys/kernel/random/boot_id"); err != nil {
		return nil, 0, err
	}
	up, err = uptime()
	return bytes.TrimSpace(mark), up, err
}

// uptime is how long the machine has been up, ms, however its clock was set.
func uptime() (float64, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return float64(t.Nano()) / 1e6, err
}

// Open begins a file of copies at a path, and gives the newest whole copy of a former life with its times in
// this one's, now being Unix ms; none says why there is nothing to go by. Whether it is of the charter in
// force is its reader's to see. The file is a new one in the former's place, with that copy in it: a process
// that yet writes the former is not heard. An error tells that no copies can be kept.
func Open(path string, now float64) (b *Book, l *Left, none, err error) {
	mark, up, err := machine()
	if err != nil {
		return nil, nil, nil, fmt.Errorf("inventory: %w", err)
	}
	b = &Book{mark: mark}
	raw, none := newest(path)
	if none == nil {
		l, none = read(raw, mark, up, now)
	}
	if none != nil {
		raw, l = nil, nil
	}
	fresh := path + ".new"
	if err = os.Remove(fresh); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil, fmt.Errorf("inventory: %w", err)
	}
	f, err := os.OpenFile(fresh, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("inventory: %w", err)
	}
	if b.f = f; raw != nil {
		at := order.Uint64(raw[atOrder:])
		b.next = at + 1
		_, err = f.WriteAt(raw, int64(at%2)*slot)
	}
	if err == nil {
		err = os.Rename(fresh, path)
	}
	if err != nil {
		_ = f.Close()
		return nil, nil, nil, fmt.Errorf("inventory: %w", err)
	}
	return b, l, none, nil
}

// newest gives the slot that was written last of those that are whole.
func newest(path string) (b []byte, none error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, ErrNone
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() == 0 { // its life was over before its first copy
		return nil, ErrNone
	}
	for i := range uint64(2) {
		s := make([]byte, header)
		if _, err := f.ReadAt(s, int64(i)*slot); err != nil || order.Uint64(s) != magic {
			continue
		}
		at, n := order.Uint64(s[atOrder:]), order.Uint64(s[atLength:])
		if at%2 != i || n > slot-header || b != nil && order.Uint64(b[atOrder:]) > at {
			continue
		}
		s = append(s, make([]byte, n)...)
		if _, err := f.ReadAt(s[header:], int64(i)*slot+header); err == nil && order.Uint32(s[atSum:]) == sum(s) {
			b = s
		}
	}
	if b == nil {
		return nil, ErrSpoilt
	}
	return b, nil
}

// sum is the checksum of a slot but for the place that it has there.
func sum(s []byte) uint32 {
	return crc32.Update(crc32.Checksum(s[:atSum], table), table, s[atSum+4:])
}

// read takes a slot. Guards against a clock that was set meanwhile: its age is by the machine's uptime, and
// what moved the clock moves the times.
func read(s []byte, mark []byte, up, now float64) (*Left, error) {
	then := math.Float64frombits(order.Uint64(s[atUp:]))
	if !bytes.Equal(bytes.TrimRight(s[atBoot:header], "\x00"), mark) || !(then <= up) {
		return nil, ErrMachine
	}
	l := &Left{Of: [32]byte(s[atDigest:])}
	e, d := &l.Estate, decoder{b: s[header:]}
	if d.left(l); d.bad || len(d.b) > 0 {
		return nil, ErrSpoilt
	}
	moved := now - (up - then) - e.AtMillis
	if math.IsNaN(moved) || math.IsInf(moved, 0) {
		return nil, ErrSpoilt
	}
	if math.Abs(moved) >= step {
		shift(e, moved)
	}
	return l, nil
}

// shift moves all times but those that were never.
func shift(e *policy.HandoffState, by float64) {
	move := func(all ...*float64) {
		for _, t := range all {
			if *t != 0 {
				*t += by
			}
		}
	}
	move(&e.AtMillis, &e.StartedAtMillis, &e.NextReportAtMillis)
	for i := range e.Peers {
		p := &e.Peers[i]
		move(&p.HeardAtMillis, &p.ReportedAtMillis, &p.ReportDueSinceMillis, &p.ReportsHeardAtMillis)
	}
	for i := range e.Customers {
		c := &e.Customers[i]
		move(&c.FilledAtMillis, &c.PeerDemandAtMillis, &c.LastRequestAtMillis, &c.CoolSinceMillis,
			&c.ReportedAtMillis, &c.CreditAtMillis)
	}
}

// Write puts a copy over the older of the two. An error tells that it is not whole; the other one is.
func (b *Book) Write(l *Left) error {
	up, err := uptime()
	if err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	return b.write(l, up)
}

func (b *Book) write(l *Left, up float64) error {
	if cap(b.b) < header {
		b.b = make([]byte, header, header<<7)
	}
	s := b.b[:header]
	clear(s)
	s = encode(s, l)
	if b.b = s; len(s) > slot {
		return errors.New("inventory: a copy without end")
	}
	order.PutUint64(s, magic)
	order.PutUint64(s[atOrder:], b.next)
	order.PutUint64(s[atLength:], uint64(len(s)-header))
	order.PutUint64(s[atUp:], math.Float64bits(up))
	copy(s[atDigest:], l.Of[:])
	copy(s[atBoot:header], b.mark)
	order.PutUint32(s[atSum:], sum(s))
	if _, err := b.f.WriteAt(s, int64(b.next%2)*slot); err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	b.next++
	return nil
}

// Close lets the file go. What is in it stays.
func (b *Book) Close() { _ = b.f.Close() }
