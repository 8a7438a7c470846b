package lifecycle

import (
	"os"
	"strconv"
	"strings"
	"syscall"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// Descriptors that are held beside those of SpareFiles, where that is on. These are twelve in any gatekeeper
// (docs/incidents/mass.md has the count); two more are for the talk with an heir, two for calls to others.
const (
	journalFiles = 4 // a segment, its folder for a moment, and the lock
	controlFiles = 2 // operators' address, and a call that waits for a place
	residueFiles = 3 // what outlives a sudden end, its copies, and the book of credit
	historyFiles = 1
)

// Room is how many descriptors a gatekeeper may hold of those that are configured: no more than the system
// allows, beside those that the process was started with and has no use for. To be called as it begins.
// Guards against clients that fill what the system allows, where that is less than is configured: the watch
// and connections to workers would find none.
func Room(configured int) int {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil {
		return configured
	}
	return int(min(uint64(configured), max(l.Cur, uint64(inherited())+1)-uint64(inherited())))
}

// inherited counts the descriptors there are, but for the standard ones and the runtime's own.
func inherited() (n int) {
	const dir = "/proc/self/fd/"
	all, _ := os.ReadDir(dir)
	for _, f := range all {
		to, err := os.Readlink(dir + f.Name()) // an error is that of the folder itself
		if fd, _ := strconv.Atoi(f.Name()); err == nil && fd > 2 && !strings.HasPrefix(to, "anon_inode:[event") &&
			!strings.HasPrefix(to, "/sys/fs/cgroup/") {
			n++
		}
	}
	return n
}

// places gives how many connections clients may have, and workers: of the descriptors that are left beside
// all that the gatekeeper holds otherwise. So the watch, the peers and files never wait for a client's.
func places(c config.Gateway) (clients, workers int) {
	own := policy.ReservedDescriptors + c.ForwardAuth.Connections()
	for _, part := range []struct {
		on    bool
		files int
	}{{c.AdminAddress != "", policy.MaxAdminConnections + controlFiles}, {c.Journal != nil, journalFiles},
		{c.CrashStatePath != "", residueFiles}, {c.HistoryDir != "", historyFiles}} {
		if part.on {
			own += part.files
		}
	}
	spare := float64(max(c.MaxSockets-own, 2))
	if c.SharedDir != "" { // a process that gets ready to take this one's place is counted with it
		spare -= min(policy.ReservedDescriptors+policy.MaxAdminConnections, spare/4)
	}
	return int(spare * policy.ClientConnectionFraction), max(int(spare*policy.WorkerConnectionFraction), 1)
}
