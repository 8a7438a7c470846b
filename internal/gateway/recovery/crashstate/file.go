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
	slotCount     = 1 << 16 // most customers with a partly used rate limit at the same time; 1 MB
	headerSize    = 256     // bytes
	slotSize      = 16      // bytes
	fileSize      = headerSize + slotCount*slotSize
	maxClockDrift = 50.0    // ms by which clock minus uptime may change; more: the clock was set
	loadMaxAge    = 10000.0 // ms; an older recorded load is ignored
	slotProbes    = 16      // slots examined in the search for a free one
)

// Offsets of the header's fields. A field has eight bytes, except the digest and the boot ID.
const (
	offsetMagic          = 0
	offsetDigest         = 8   // 32 bytes, see Digest
	offsetBootID         = 40  // 64 bytes, see ReadBoot
	offsetClock          = 104 // system clock minus uptime, ms
	offsetBase           = 112 // Unix ms at which rate limits of customers without a slot count as fully used
	offsetWindow         = 120
	offsetPressure       = 128
	offsetResponseMillis = 136
	offsetLoadTime       = 144
	offsetRulesVersion   = 152 // version of the ruleset in force; 0 if there was none
)

var magic = binary.LittleEndian.Uint64([]byte("willowd" + string(rune('0'+version))))

// File is an open crash-state file. Its methods are not safe for concurrent use; the dispatcher calls them
// under its lock.
type File struct {
	data       []byte
	file       *os.File // open as long as the lock is needed
	slotOf     map[uint32]int
	nextSlot   int
	Unrecorded int64 // calls of RecordSpent that found no free slot, since the file was opened
}

// Digest returns a hash of everything that the stored values depend on: the gateway's index, the number
// of gateways and the plans' rate limits. A file with another digest is ignored.
func Digest(settings policy.Settings) [32]byte {
	var input bytes.Buffer
	fmt.Fprint(&input, settings.GatewayIndex, settings.GatewayCount, len(settings.Plans))
	for _, plan := range settings.Plans {
		fmt.Fprint(&input, " ", plan.RateLimitPerSecond, plan.RateLimitBurst)
	}
	return sha256.Sum256(input.Bytes())
}

var readBoot = readMachineBoot // replaced in tests

// readMachineBoot returns the kernel's boot ID and the uptime in ms.
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

// UptimeCentiseconds returns the machine's uptime in hundredths of a second, or 0 if the uptime cannot
// be read. It grows from one process to the next even if the system clock is set back.
func UptimeCentiseconds() uint32 {
	_, uptimeMillis, _ := readBoot()
	return uint32(uptimeMillis / 10)
}

// Open opens the crash-state file at path, or creates it, and returns the state that an earlier process
// recorded in it, or nil if there is none or it is invalid. All times are Unix ms. If another process has
// locked the file, a new file replaces it at path and nothing is restored, because the other process may
// still change what it has recorded. An error means that no crash state can be kept.
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
	var restored *policy.CrashState
	if existed && crash.loadUint(offsetMagic) == magic &&
		bytes.Equal(data[offsetDigest:offsetDigest+32], digest[:]) &&
		bytes.Equal(bytes.TrimRight(data[offsetBootID:offsetClock], "\x00"), bootID) {
		restored = crash.restore(clockOffset-crash.loadFloat(offsetClock), now)
	}
	if restored == nil {
		crash.initialize(digest, bootID, now)
	}
	crash.storeFloat(offsetClock, clockOffset)
	return crash, restored, nil
}

// MapLocked maps a file of size bytes into memory under an exclusive lock, which closing the returned
// file releases, and reports whether a file of that size existed. A file that another process has locked
// is unlinked and replaced by a new one.
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
	if err == nil { // reports a full disk here; a later store would raise SIGBUS
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

// allocate reserves the file's disk space if the file system supports it.
func allocate(f *os.File, size int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, size)
	if errors.Is(err, syscall.EOPNOTSUPP) || errors.Is(err, syscall.ENOSYS) {
		return nil
	}
	return err
}

// initialize clears the file and writes a new header. The magic number, which makes the file valid, is
// written last.
func (r *File) initialize(digest [32]byte, bootID []byte, now float64) {
	r.storeUint(offsetMagic, 0)
	clear(r.data)
	copy(r.data[offsetDigest:], digest[:])
	copy(r.data[offsetBootID:offsetClock], bootID)
	r.storeFloat(offsetBase, now)
	r.storeUint(offsetMagic, magic)
}

// restore returns the state that an earlier process recorded, or nil if it is invalid. clockShift is the
// number of ms by which the system clock was set since then. All recorded times are shifted by it, unless
// it is within maxClockDrift.
func (r *File) restore(clockShift, now float64) *policy.CrashState {
	if math.Abs(clockShift) < maxClockDrift {
		clockShift = 0
	}
	if math.IsNaN(clockShift) || math.IsInf(clockShift, 0) {
		return nil
	}
	restored := &policy.CrashState{RateLimitBaseMillis: r.loadFloat(offsetBase) + clockShift}
	r.storeFloat(offsetBase, restored.RateLimitBaseMillis)
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
		restored.RateLimits = append(restored.RateLimits, policy.SpentRateLimit{Customer: uint64(uint32(key)),
			Plan:         int(key >> 32),
			FullAtMillis: fullAt})
		r.slotOf[uint32(key)] = offset
	}
	if loadTime := r.loadFloat(offsetLoadTime) + clockShift; now-loadTime < loadMaxAge {
		restored.Window, restored.Pressure = r.loadFloat(offsetWindow), r.loadFloat(offsetPressure)
		restored.ResponseMillis = r.loadFloat(offsetResponseMillis)
	}
	if !(restored.RateLimitBaseMillis > 0) || restored.RateLimitBaseMillis > now+maxClockDrift {
		return nil
	}
	return restored
}

// RecordSpent records the time, fullAt, at which this gateway's share of the customer's rate limit is
// fully available again. It has to return before the counted request is sent.
func (r *File) RecordSpent(customer uint64, plan int, fullAt, now float64) {
	key := uint32(customer)
	offset, known := r.slotOf[key]
	if !known {
		if offset = r.findFreeSlot(now); offset < 0 { // count as fully used at fullAt, see offsetBase
			r.Unrecorded++
			r.storeFloat(offsetBase, math.Max(r.loadFloat(offsetBase), fullAt))
			return
		}
		r.storeFloat(offset, 0) // a kill before the last store leaves the slot free
		r.storeUint(offset+8, uint64(plan)<<32|uint64(key))
		r.slotOf[key] = offset
	}
	r.storeFloat(offset, fullAt)
}

// SetRulesVersion records the version of the ruleset in force, or 0 if there is none.
func (r *File) SetRulesVersion(rules uint64) { r.storeUint(offsetRulesVersion, rules) }

// RulesVersion returns the recorded version of the ruleset, or 0 if there was none.
func (r *File) RulesVersion() uint64 { return r.loadUint(offsetRulesVersion) }

// findFreeSlot returns the offset of a slot that is unused or whose time has passed, or -1 if none of the
// next slotProbes slots is free.
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

// RecordLoad records how loaded the gateway is. The time is cleared first and written last, so that after
// a kill in between the values are ignored.
func (r *File) RecordLoad(window, pressure, responseMillis, now float64) {
	r.storeFloat(offsetLoadTime, 0)
	r.storeFloat(offsetWindow, window)
	r.storeFloat(offsetPressure, pressure)
	r.storeFloat(offsetResponseMillis, responseMillis)
	r.storeFloat(offsetLoadTime, now)
}

// Import records the rate limit state that the predecessor process handed over in a hot restart.
func (r *File) Import(base float64, spent []policy.SpentRateLimit, now float64) {
	r.storeFloat(offsetBase, base)
	for _, s := range spent {
		r.RecordSpent(s.Customer, s.Plan, s.FullAtMillis, now)
	}
}

// Invalidate marks the file's content as invalid, so that the next Open restores nothing from it, and closes
// the file. It is called when another process takes over.
func (r *File) Invalidate() {
	r.storeUint(offsetMagic, 0)
	r.Close()
}

// Close unmaps and unlocks the file. The content is kept.
func (r *File) Close() {
	_ = syscall.Munmap(r.data)
	_ = r.file.Close()
}

func (r *File) uint64At(offset int) *uint64          { return (*uint64)(unsafe.Pointer(&r.data[offset])) }
func (r *File) loadUint(offset int) uint64           { return atomic.LoadUint64(r.uint64At(offset)) }
func (r *File) storeUint(offset int, value uint64)   { atomic.StoreUint64(r.uint64At(offset), value) }
func (r *File) loadFloat(offset int) float64         { return math.Float64frombits(r.loadUint(offset)) }
func (r *File) storeFloat(offset int, value float64) { r.storeUint(offset, math.Float64bits(value)) }
