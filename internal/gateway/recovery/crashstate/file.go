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
	"unsafe"

	"willowdeck/internal/policy"
)

const (
	version       = 1
	slotCount     = 1 << 16 // customers whose rate limit is partly spent at the same time; 1 MB
	headerSize    = 256     // bytes
	slotSize      = 16      // bytes
	fileSize      = headerSize + slotCount*slotSize
	maxClockDrift = 50.0    // ms between system clock and uptime; more is a clock that was set
	loadMaxAge    = 10000.0 // ms; an older recorded load is ignored
	slotProbes    = 16      // slots examined in the search for a free one
)

// Offsets of the header's fields; eight bytes each, except the digest and the boot ID.
const (
	offsetMagic        = 0
	offsetDigest       = 8  // 32 bytes, see Digest
	offsetBootID       = 40 // of the machine; 64 bytes
	offsetClock        = 104
	offsetBase         = 112
	offsetWindow       = 120
	offsetPressure     = 128
	offsetPace         = 136
	offsetLoadTime     = 144
	offsetRulesVersion = 152 // of the ruleset in force; 0 where there was none
)

var magic = binary.LittleEndian.Uint64([]byte("willowd" + string(rune('0'+version))))

// File is an open crash-state file. Its methods are not safe for concurrent use; the dispatcher calls them
// under its lock.
type File struct {
	data       []byte
	file       *os.File // holds the lock
	slotOf     map[uint32]int
	nextSlot   int
	Unrecorded int64 // customers that found no free slot, since the file was opened
}

// Digest identifies everything that the stored values depend on: the instance's index, the number of
// instances and the plans' rate limits. A file with another digest is ignored.
func Digest(charter policy.Settings) [32]byte {
	var input bytes.Buffer
	fmt.Fprint(&input, charter.GatewayIndex, charter.GatewayCount, len(charter.Plans))
	for _, plan := range charter.Plans {
		fmt.Fprint(&input, " ", plan.RateLimitPerSecond, plan.RateLimitBurst)
	}
	return sha256.Sum256(input.Bytes())
}

var readBoot = readMachineBoot // replaced in tests

// readMachineBoot returns the kernel's boot ID and the uptime.
func readMachineBoot() (bootID []byte, uptimeMillis float64, err error) {
	bootID, err = os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return nil, 0, err
	}
	raw, err := os.ReadFile("/proc/uptime")
	if err != nil {
		return nil, 0, err
	}
	seconds, _, _ := strings.Cut(string(raw), " ")
	uptimeMillis, err = strconv.ParseFloat(seconds, 64)
	return bytes.TrimSpace(bootID), uptimeMillis * 1000, err
}

// ReadBoot returns the kernel's boot ID, which differs between two boots of the machine, and the uptime in
// ms.
func ReadBoot() (bootID []byte, uptimeMillis float64, err error) { return readBoot() }

// UptimeCentiseconds returns the machine's uptime in hundredths of a second. It grows from one process to
// the next, however the system clock is set; 0 where the uptime cannot be read.
func UptimeCentiseconds() uint32 {
	_, uptimeMillis, _ := readBoot()
	return uint32(uptimeMillis / 10)
}

// Open opens the crash-state file at path, or creates it, and returns what an earlier process left in it;
// nil where there is nothing usable. Times are Unix ms, as is now. A file that is locked by another
// process is left to that process and a new one is created in its place, since what the other spends from
// here on would be missing in this one. An error means that no crash state can be kept.
func Open(path string, digest [32]byte, now float64) (*File, *policy.CrashState, error) {
	bootID, uptime, err := readBoot()
	if err != nil {
		return nil, nil, fmt.Errorf("crash state: %w", err)
	}
	file, data, existed, err := MapLocked(path, fileSize)
	if err != nil {
		return nil, nil, fmt.Errorf("crash state: %w", err)
	}
	crash := &File{data: data, file: file, slotOf: map[uint32]int{}}
	clockOffset := now - uptime
	var residue *policy.CrashState
	if existed && crash.loadUint(offsetMagic) == magic &&
		bytes.Equal(data[offsetDigest:offsetDigest+32], digest[:]) &&
		bytes.Equal(bytes.TrimRight(data[offsetBootID:offsetClock], "\x00"), bootID) {
		residue = crash.restore(clockOffset-crash.loadFloat(offsetClock), now)
	}
	if residue == nil {
		crash.initialize(digest, bootID, now)
	}
	crash.storeFloat(offsetClock, clockOffset)
	return crash, residue, nil
}

// MapLocked maps a file of size bytes into memory under an exclusive lock that ends with the returned
// file, and reports whether a file of that size existed. A file that a running process has locked is
// unlinked and a new one is created in its place.
func MapLocked(path string, size int) (file *os.File, data []byte, existed bool, err error) {
	if file, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, nil, false, err
	}
	if err = lockExclusively(file); err != nil {
		_ = file.Close()
		if err = os.Remove(path); err == nil {
			file, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
		}
		if err == nil {
			err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		}
		if err != nil {
			return nil, nil, false, fmt.Errorf("another process has locked it: %w", err)
		}
	}
	info, err := file.Stat()
	existed = err == nil && info.Size() == int64(size)
	if err == nil && !existed {
		if err = file.Truncate(0); err == nil {
			err = file.Truncate(int64(size))
		}
	}
	if err == nil { // a full disk is an error here, and not a SIGBUS later
		err = allocate(file, int64(size))
	}
	if err == nil {
		data, err = syscall.Mmap(int(file.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	}
	if err != nil {
		_ = file.Close()
		return nil, nil, false, err
	}
	return file, data, existed, nil
}

// allocate reserves the file's disk space, where the file system can do so.
func allocate(f *os.File, size int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, size)
	if errors.Is(err, syscall.EOPNOTSUPP) || errors.Is(err, syscall.ENOSYS) {
		return nil
	}
	return err
}

// initialize empties the file. The magic number, which makes it valid, is written last.
func (r *File) initialize(digest [32]byte, bootID []byte, now float64) {
	r.storeUint(offsetMagic, 0)
	clear(r.data)
	copy(r.data[offsetDigest:], digest[:])
	copy(r.data[offsetBootID:offsetClock], bootID)
	r.storeFloat(offsetBase, now)
	r.storeUint(offsetMagic, magic)
}

// restore reads what an earlier process left. If the system clock was set in between, all times are
// shifted by as much.
func (r *File) restore(clockShift, now float64) *policy.CrashState {
	if math.Abs(clockShift) < maxClockDrift {
		clockShift = 0
	}
	if math.IsNaN(clockShift) || math.IsInf(clockShift, 0) {
		return nil
	}
	residue := &policy.CrashState{RateLimitBaseMillis: r.loadFloat(offsetBase) + clockShift}
	r.storeFloat(offsetBase, residue.RateLimitBaseMillis)
	for i := range slotCount {
		offset := headerSize + i*slotSize
		fullAt := r.loadFloat(offset)
		if fullAt == 0 {
			continue
		}
		if fullAt += clockShift; math.IsNaN(fullAt) || math.IsInf(fullAt, 0) {
			return nil
		}
		r.storeFloat(offset, fullAt)
		if fullAt <= now {
			continue
		}
		key := r.loadUint(offset + 8)
		residue.RateLimits = append(residue.RateLimits, policy.SpentRateLimit{Customer: uint64(uint32(key)),
			Plan:         int(key >> 32),
			FullAtMillis: fullAt})
		r.slotOf[uint32(key)] = offset
	}
	if loadTime := r.loadFloat(offsetLoadTime) + clockShift; now-loadTime < loadMaxAge {
		residue.Window, residue.Pressure = r.loadFloat(offsetWindow), r.loadFloat(offsetPressure)
		residue.ResponseMillis = r.loadFloat(offsetPace)
	}
	if !(residue.RateLimitBaseMillis > 0) || residue.RateLimitBaseMillis > now+maxClockDrift {
		return nil
	}
	return residue
}

// RecordSpent records when the customer's slice of its rate limit is full again. It has to return before
// the request that was counted is sent.
func (r *File) RecordSpent(customer uint64, plan int, fullAt, now float64) {
	key := uint32(customer)
	offset, known := r.slotOf[key]
	if !known {
		if offset = r.findFreeSlot(now); offset < 0 { // unrecorded: after a kill it counts as spent until then
			r.Unrecorded++
			r.storeFloat(offsetBase, math.Max(r.loadFloat(offsetBase), fullAt))
			return
		}
		r.storeFloat(offset, 0) // a slot without a time is free, wherever a kill comes
		r.storeUint(offset+8, uint64(plan)<<32|uint64(key))
		r.slotOf[key] = offset
	}
	r.storeFloat(offset, fullAt)
}

// SetRulesVersion records the version of the ruleset in force; 0 where there is none.
func (r *File) SetRulesVersion(rules uint64) { r.storeUint(offsetRulesVersion, rules) }

// RulesVersion returns the recorded version of the ruleset; 0 where there was none.
func (r *File) RulesVersion() uint64 { return r.loadUint(offsetRulesVersion) }

// findFreeSlot returns the offset of a slot that holds nothing of use; -1 where none of the next
// slotProbes is free.
func (r *File) findFreeSlot(now float64) int {
	for range slotProbes {
		offset := headerSize + r.nextSlot*slotSize
		r.nextSlot = (r.nextSlot + 1) % slotCount
		if fullAt := r.loadFloat(offset); fullAt <= now {
			if key := uint32(r.loadUint(offset + 8)); r.slotOf[key] == offset {
				delete(r.slotOf, key)
			}
			return offset
		}
	}
	return -1
}

// RecordLoad records how loaded the gateway is. The time is cleared first and written last, so that a kill
// in between leaves no mixed values.
func (r *File) RecordLoad(window, press, pace, now float64) {
	r.storeFloat(offsetLoadTime, 0)
	r.storeFloat(offsetWindow, window)
	r.storeFloat(offsetPressure, press)
	r.storeFloat(offsetPace, pace)
	r.storeFloat(offsetLoadTime, now)
}

// Import records the state that a predecessor handed over in a hot restart: this process spends from here
// on.
func (r *File) Import(base float64, spent []policy.SpentRateLimit, now float64) {
	r.storeFloat(offsetBase, base)
	for _, s := range spent {
		r.RecordSpent(s.Customer, s.Plan, s.FullAtMillis, now)
	}
}

// Invalidate makes the file unusable for whoever opens it next and closes it: another process spends from
// here on.
func (r *File) Invalidate() {
	r.storeUint(offsetMagic, 0)
	r.Close()
}

// Close unmaps and unlocks the file. Its content stays.
func (r *File) Close() {
	_ = syscall.Munmap(r.data)
	_ = r.file.Close()
}

func (r *File) uint64At(offset int) *uint64          { return (*uint64)(unsafe.Pointer(&r.data[offset])) }
func (r *File) loadUint(offset int) uint64           { return atomic.LoadUint64(r.uint64At(offset)) }
func (r *File) storeUint(offset int, value uint64)   { atomic.StoreUint64(r.uint64At(offset), value) }
func (r *File) loadFloat(offset int) float64         { return math.Float64frombits(r.loadUint(offset)) }
func (r *File) storeFloat(offset int, value float64) { r.storeUint(offset, math.Float64bits(value)) }
