package lifecycle

import (
	"os"
	"strconv"
	"strings"
	"syscall"

	"willowdeck/internal/gateway/config"
	"willowdeck/internal/policy"
)

// Descriptors that a gateway holds beside policy.ReservedDescriptors, if the part in question is configured.
// ReservedDescriptors covers the twelve of any gateway (docs/incidents/mass.md has the count), two for a hot
// restart and two for outgoing calls.
const (
	journalDescriptors    = 4 // a segment, its folder for a moment, and the lock
	adminDescriptors      = 2 // the listener, and a call that waits for its turn
	crashStateDescriptors = 3 // crash state, checkpoints, and the ledger of borrowing
	historyDescriptors    = 1
)

// SocketLimit is how many descriptors a gateway may use of those that are configured: no more than the
// system's limit, less those that the process was started with. It is to be called before any is opened.
// Guards against clients that use up the system's limit where that is lower than the configured one: none
// would be left for the discovery watch and for connections to workers.
func SocketLimit(configured int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return configured
	}
	inherited := uint64(inheritedDescriptors())
	return int(min(uint64(configured), max(limit.Cur, inherited+1)-inherited))
}

// inheritedDescriptors counts the open descriptors without the standard ones and the runtime's own.
func inheritedDescriptors() (count int) {
	const dir = "/proc/self/fd/"
	entries, _ := os.ReadDir(dir)
	for _, entry := range entries {
		target, err := os.Readlink(dir + entry.Name()) // fails for the descriptor of the folder itself
		fd, _ := strconv.Atoi(entry.Name())
		if err == nil && fd > 2 && !strings.HasPrefix(target, "anon_inode:[event") &&
			!strings.HasPrefix(target, "/sys/fs/cgroup/") {
			count++
		}
	}
	return count
}

// connectionLimits gives how many connections clients may have, and how many there may be to workers: parts
// of the descriptors that are left beside all others. So the watch, the peers and files never wait for a
// client to close one.
func connectionLimits(c config.Gateway) (clients, workers int) {
	own := policy.ReservedDescriptors + c.ForwardAuth.Connections()
	for _, part := range []struct {
		configured  bool
		descriptors int
	}{
		{c.AdminAddress != "", policy.MaxAdminConnections + adminDescriptors},
		{c.Journal != nil, journalDescriptors},
		{c.CrashStatePath != "", crashStateDescriptors},
		{c.HistoryDir != "", historyDescriptors},
	} {
		if part.configured {
			own += part.descriptors
		}
	}
	spare := float64(max(c.MaxSockets-own, 2))
	if c.SharedDir != "" { // a successor that is starting has descriptors of its own
		spare -= min(policy.ReservedDescriptors+policy.MaxAdminConnections, spare/4)
	}
	return int(spare * policy.ClientConnectionFraction), max(int(spare*policy.WorkerConnectionFraction), 1)
}
