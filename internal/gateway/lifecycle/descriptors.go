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
	journalDescriptors    = 4 // a segment, its folder for a moment, and the lock
	adminDescriptors      = 2 // operators' address, and a call that waits for a place
	crashStateDescriptors = 3 // what outlives a sudden end, its copies, and the book of credit
	historyDescriptors    = 1
)

// Room is how many descriptors a gatekeeper may hold of those that are configured: no more than the system
// allows, beside those that the process was started with and has no use for. To be called as it begins.
// Guards against clients that fill what the system allows, where that is less than is configured: the watch
// and connections to workers would find none.
func SocketLimit(configured int) int {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil {
		return configured
	}
	return int(min(uint64(configured), max(l.Cur, uint64(inheritedDescriptors())+1)-uint64(inheritedDescriptors())))
}

// inherited counts the descriptors there are, but for the standard ones and the runtime's own.
func inheritedDescriptors() (n int) {
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
func connectionLimits(c config.Gatekeeper) (clients, workers int) {
	own := policy.SpareFiles + c.Forward.Connections()
	for _, part := range []struct {
		on    bool
		files int
	}{{c.Control != "", policy.OperatorCalls + adminDescriptors}, {c.Journal != nil, journalDescriptors},
		{c.Residue != "", crashStateDescriptors}, {c.History != "", historyDescriptors}} {
		if part.on {
			own += part.files
		}
	}
	spare := float64(max(c.Sockets-own, 2))
	if c.Scratch != "" { // a process that gets ready to take this one's place is counted with it
		spare -= min(policy.SpareFiles+policy.OperatorCalls, spare/4)
	}
	return int(spare * policy.ClientPart), max(int(spare*policy.WorkerPart), 1)
}
