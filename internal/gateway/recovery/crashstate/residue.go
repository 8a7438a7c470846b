// Package crashstate keeps what a gatekeeper leaves behind if it is killed: the spent parts of ceilings, and
// how
// pressed it was. It is a file that is mapped into memory. What a process has stored there outlives it,
// however it ends, and costs a few stores; it does not outlive the machine, and is not taken for news then.
package crashstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"willowdeck/internal/policy"
)

const (
	version  = 1
	places   = 1 << 16 // customers with a ceiling that are not full at once; 1 MB
	header   = 256     // bytes
	place    = 16      // bytes of one
	size     = header + places*place
	step     = 50.0                   // ms by which the system's clock may leave the machine's own
	pressAge = 10000.0                // ms; older news of how pressed it was tells nothing
	dying    = 100 * time.Millisecond // in which one that was killed lets its files go; seen: some ms
	looks    = 16                     // places looked at for one that is of no more use
)

// The header's fields, by their place; eight bytes each, but for the digest and the machine's mark.
const (
	atMagic   = 0
	atDigest  = 8  // of all that the figures depend on; 32 bytes
	atBoot    = 40 // of the machine's start; 64 bytes
	atOffset  = 104
	atBase    = 112
	atWindow  = 120
	atPress   = 128
	atPace    = 136
	atPressed = 144
	atRules   = 152 // version of the agreed rules by which was spent; 0 where none were agreed on
)

var magic = binary.LittleEndian.Uint64([]byte("willowd" + string(rune('0'+version))))

// File is a residue as it is written. It is not safe for concurrent use.
type File struct {
	b     []byte
	held  *os.File // under a lock
	by    map[uint32]int
	next  int
	Short int64 // customers that found no place
}

// Digest stands for all that the figures in a residue depend on: who it is, of how many, and the ceilings.
func Digest(c policy.Settings) [32]byte {
	var b bytes.Buffer
	fmt.Fprint(&b, c.GatewayIndex, c.GatewayCount, len(c.Plans))
	for _, p := range c.Plans {
		fmt.Fprint(&b, " ", p.RateLimitPerSecond, p.RateLimitBurst)
	}
	return sha256.Sum256(b.Bytes())
}

var machine = boot // another in tests

// boot gives what tells one start of the machine from another, and how many ms ago that was.
func boot() (mark []byte, up float64, err error) {
	mark, err = os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return nil, 0, err
	}
	raw, err := os.ReadFile("/proc/uptime")
	if err != nil {
		return nil, 0, err
	}
	s, _, _ := strings.Cut(string(raw), " ")
	up, err = strconv.ParseFloat(s, 64)
	return bytes.TrimSpace(mark), up * 1000, err
}

// Boot gives what tells one start of the machine from another, and how long ago that was, ms.
func Boot() (mark []byte, up float64, err error) { return machine() }

// Uptime gives how long the machine has been up, in hundredths of a second: it grows over the lives of
// processes, however the system's clock is set.
func Uptime() uint32 {
	_, up, _ := machine()
	return uint32(up / 10)
}

// Open opens a gatekeeper's residue, and gives what its former life has left; nil is nothing that can be gone
// by. Times are Unix ms, as now is. A file that another process has is let alone, and one begun in its place:
// what that one spends from here on would be missing in what this one leaves. An error tells that none can be
// kept.
func Open(path string, digest [32]byte, now float64) (*File, *policy.CrashState, error) {
	mark, up, err := machine()
	if err != nil {
		return nil, nil, fmt.Errorf("residue: %w", err)
	}
	f, b, was, err := Map(path, size)
	if err != nil {
		return nil, nil, fmt.Errorf("residue: %w", err)
	}
	r := &File{b: b, held: f, by: map[uint32]int{}}
	offset := now - up
	var left *policy.CrashState
	if was && r.load(atMagic) == magic && bytes.Equal(b[atDigest:atDigest+32], digest[:]) &&
		bytes.Equal(bytes.TrimRight(b[atBoot:atOffset], "\x00"), mark) {
		left = r.read(offset-r.figure(atOffset), now)
	}
	if left == nil {
		r.fresh(digest, mark, now)
	}
	r.put(atOffset, offset)
	return r, left, nil
}

// Map maps a file of so many bytes into memory, under a lock that ends with it, and tells whether there was
// one of that size. A file that another process has is let alone, and one begun in its place.
func Map(path string, size int) (f *os.File, b []byte, was bool, err error) {
	if f, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, nil, false, err
	}
	for end := time.Now().Add(dying); ; time.Sleep(dying / 20) {
		if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil || time.Now().After(end) {
			break
		}
	}
	if err != nil {
		_ = f.Close()
		if err = os.Remove(path); err == nil {
			f, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
		}
		if err == nil {
			err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		}
		if err != nil {
			return nil, nil, false, fmt.Errorf("another process has it: %w", err)
		}
	}
	info, err := f.Stat()
	was = err == nil && info.Size() == int64(size)
	if err == nil && !was {
		if err = f.Truncate(0); err == nil {
			err = f.Truncate(int64(size))
		}
	}
	if err == nil { // written out now, so that the disk being full is met here and not as a fault later
		err = reserve(f, int64(size))
	}
	if err == nil {
		b, err = syscall.Mmap(int(f.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	}
	if err != nil {
		_ = f.Close()
		return nil, nil, false, err
	}
	return f, b, was, nil
}

func reserve(f *os.File, size int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, size)
	if errors.Is(err, syscall.EOPNOTSUPP) || errors.Is(err, syscall.ENOSYS) {
		return nil
	}
	return err
}

// fresh begins a file of which nothing is known. The mark that makes it valid is written last.
func (r *File) fresh(digest [32]byte, mark []byte, now float64) {
	r.store(atMagic, 0)
	clear(r.b)
	copy(r.b[atDigest:], digest[:])
	copy(r.b[atBoot:atOffset], mark)
	r.put(atBase, now)
	r.store(atMagic, magic)
}

// read takes what is there. Guards against a clock that was set meanwhile: what moved it moves the figures.
func (r *File) read(moved, now float64) *policy.CrashState {
	if math.Abs(moved) < step {
		moved = 0
	}
	if math.IsNaN(moved) || math.IsInf(moved, 0) {
		return nil
	}
	left := &policy.CrashState{RateLimitBaseMillis: r.figure(atBase) + moved}
	r.put(atBase, left.RateLimitBaseMillis)
	for i := range places {
		at := header + i*place
		full := r.figure(at)
		if full == 0 {
			continue
		}
		if full += moved; math.IsNaN(full) || math.IsInf(full, 0) {
			return nil
		}
		r.put(at, full)
		if full <= now {
			continue
		}
		key := r.load(at + 8)
		left.RateLimits = append(left.RateLimits, policy.SpentRateLimit{Customer: uint64(uint32(key)),
			Plan:         int(key >> 32),
			FullAtMillis: full})
		r.by[uint32(key)] = at
	}
	if pressed := r.figure(atPressed) + moved; now-pressed < pressAge {
		left.Window, left.Pressure, left.ResponseMillis = r.figure(atWindow), r.figure(atPress), r.figure(atPace)
	}
	if !(left.RateLimitBaseMillis > 0) || left.RateLimitBaseMillis > now+step {
		return nil
	}
	return left
}

// Spend stores when a customer's slice of its ceiling is full again. It has to return before what was spent
// goes out.
func (r *File) Spend(customer uint64, plan int, full, now float64) {
	key := uint32(customer)
	at, known := r.by[key]
	if !known {
		if at = r.vacant(now); at < 0 { // nothing is known of it then: at the next start it counts as spent
			r.Short++
			r.put(atBase, math.Max(r.figure(atBase), full))
			return
		}
		r.put(at, 0) // a place without a time says nothing, whoever ends between these
		r.store(at+8, uint64(plan)<<32|uint64(key))
		r.by[key] = at
	}
	r.put(at, full)
}

// By stores the version of the rules by which is spent from here on.
func (r *File) By(rules uint64) { r.store(atRules, rules) }

// Rules gives the version of the rules by which was spent last; 0 where none were agreed on.
func (r *File) Rules() uint64 { return r.load(atRules) }

// vacant finds a place that is of no use any more.
func (r *File) vacant(now float64) int {
	for range looks {
		at := header + r.next*place
		r.next = (r.next + 1) % places
		if full := r.figure(at); full <= now {
			if key := uint32(r.load(at + 8)); r.by[key] == at {
				delete(r.by, key)
			}
			return at
		}
	}
	return -1
}

// Pressed stores how pressed the gatekeeper is.
func (r *File) Pressed(window, press, pace, now float64) {
	r.put(atPressed, 0)
	r.put(atWindow, window)
	r.put(atPress, press)
	r.put(atPace, pace)
	r.put(atPressed, now)
}

// Inherit stores what another process has handed on: from here on it is this one's to spend.
func (r *File) Inherit(base float64, all []policy.SpentRateLimit, now float64) {
	r.put(atBase, base)
	for _, s := range all {
		r.Spend(s.Customer, s.Plan, s.FullAtMillis, now)
	}
}

// Void has the file say nothing to whoever opens it next, and lets it go: another process spends from here
// on.
func (r *File) Void() {
	r.store(atMagic, 0)
	r.Close()
}

// Close lets the file go. What is in it stays.
func (r *File) Close() {
	_ = syscall.Munmap(r.b)
	_ = r.held.Close()
}

func (r *File) word(at int) *uint64    { return (*uint64)(unsafe.Pointer(&r.b[at])) }
func (r *File) load(at int) uint64     { return atomic.LoadUint64(r.word(at)) }
func (r *File) store(at int, v uint64) { atomic.StoreUint64(r.word(at), v) }
func (r *File) figure(at int) float64  { return math.Float64frombits(r.load(at)) }
func (r *File) put(at int, v float64)  { r.store(at, math.Float64bits(v)) }
