package crashstate

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// liveOwnerTimeout limits the wait for a lock whose owner is running, such as the predecessor process
	// of a hot restart.
	liveOwnerTimeout = 100 * time.Millisecond
	// endedOwnerTimeout limits the wait for a lock whose owner has ended: on a busy machine the kernel
	// releases the lock hundreds of milliseconds after the process was reaped.
	endedOwnerTimeout = 2 * time.Second
	lockRetryInterval = 5 * time.Millisecond
)

// Indexes of the fields of a line of /proc/locks, from 0.
const (
	lockKindField  = 1 // FLOCK for the locks of this package
	lockPIDField   = 4
	lockInodeField = 5 // MAJOR:MINOR:INODE, the first two in hex
	lockFieldCount = 8
)

// lockExclusively acquires the exclusive lock of a file. It retries until liveOwnerTimeout while the lock's
// owner is running, and until endedOwnerTimeout otherwise, and then returns EWOULDBLOCK.
func lockExclusively(file *os.File) error {
	began := time.Now()
	for {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return nil
		}
		waited := time.Since(began)
		if waited > endedOwnerTimeout || waited > liveOwnerTimeout && lockOwnerRuns(file) {
			return err
		}
		time.Sleep(lockRetryInterval)
	}
}

// lockOwnerRuns reports whether the process that holds the lock of a file is running. If the owner cannot
// be determined because of an error other than errNoOwner, it returns true.
func lockOwnerRuns(file *os.File) bool {
	pid, err := lockOwner(file)
	if errors.Is(err, errNoOwner) {
		return false
	}
	return err != nil || !errors.Is(syscall.Kill(pid, 0), syscall.ESRCH)
}

// errNoOwner means that no running process of this PID namespace is known to hold the lock. For an owner
// that has ended or is in another PID namespace, Linux lists no lock, or a lock without a PID.
var errNoOwner = errors.New("no process is known to hold the lock")

// lockOwner returns the PID of the process that holds the lock of a file, according to /proc/locks.
func lockOwner(file *os.File) (pid int, err error) {
	var status syscall.Stat_t
	if err := syscall.Fstat(int(file.Fd()), &status); err != nil {
		return 0, err
	}
	locks, err := os.Open("/proc/locks")
	if err != nil {
		return 0, err
	}
	defer func() { _ = locks.Close() }() // the file was only read
	inode := fmt.Sprintf("%02x:%02x:%d", deviceMajor(status.Dev), deviceMinor(status.Dev), status.Ino)
	for lines := bufio.NewScanner(locks); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < lockFieldCount || fields[lockKindField] != "FLOCK" || fields[lockInodeField] != inode {
			continue
		}
		if pid, err := strconv.Atoi(fields[lockPIDField]); err == nil && pid > 0 {
			return pid, nil
		}
		return 0, errNoOwner
	}
	return 0, errNoOwner
}

// deviceMajor and deviceMinor split a device number as Linux encodes it (makedev(3)).
func deviceMajor(device uint64) uint64 { return device>>8&0xfff | device>>32&^0xfff }
func deviceMinor(device uint64) uint64 { return device&0xff | device>>12&^0xff }
