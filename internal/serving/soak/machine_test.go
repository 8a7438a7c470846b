package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"willowdeck/internal/testkit/faultinject"
)

const (
	gracePeriod = 8 * time.Second
	// stopTimeout is after how long a process that was asked to stop is a failure: the grace period and a
	// margin for a busy machine.
	stopTimeout       = gracePeriod + 12*time.Second
	startMessage      = "core starting"
	startPollInterval = 2 * time.Millisecond
	tailLines         = 15 // of a log that are shown with a failure
	dirMode           = 0o755
	fileMode          = 0o600
)

// zones are those of the machines by their place in the cluster, and regions the zones' regions.
var (
	zones   = []string{"a1", "a2", "a3", "b1", "b2"}
	regions = []string{"a", "a", "a", "b", "b"}
)

// machine is one core with an address and a data directory of its own.
type machine struct {
	t            *testing.T
	number       int // unique in the cluster
	name, ip     string
	place        int // the index of its zone
	internalPort int
	controlPort  int
	dir          string

	operation sync.Mutex // held while the process is stopped, started, frozen or replaced
	replaced  bool       // guarded by operation: the machine is gone for good
	process   *faultinject.Process
	killedAt  atomic.Int64 // Unix time of the last SIGKILL, in nanoseconds

	settingsFile sync.Mutex // held while it is written
}

func (m *machine) settingsPath() string { return filepath.Join(m.dir, "boot.conf") }

func (m *machine) dataDir() string { return filepath.Join(m.dir, "data") }

// controlAddress returns where callers and the operator reach the machine.
func (m *machine) controlAddress() string { return net.JoinHostPort(m.ip, strconv.Itoa(m.controlPort)) }

// life names the incarnation of the process that is running, or was last.
func (m *machine) life() string { return strconv.Itoa(m.process.Incarnations()) }

// killedSince reports whether the process was killed at or after a time.
func (m *machine) killedSince(since time.Time) bool { return m.killedAt.Load() >= since.UnixNano() }

// writeSettings replaces the settings file atomically.
func (m *machine) writeSettings(seeds []string, bootstrap bool) {
	m.settingsFile.Lock()
	defer m.settingsFile.Unlock()
	lines := []string{
		"node_name=" + m.name, "role=core", "machine_class=core", "serves=control_plane,registry", "ip=" + m.ip,
		"zone=" + zones[m.place], "region=" + regions[m.place],
		"listen.control_plane=" + m.controlAddress(),
		fmt.Sprintf("listen.directory=%s:%d", m.ip, m.controlPort+1),
		fmt.Sprintf("internal_port_range=%d,%d", m.internalPort, m.internalPort+1),
		"seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%t", bootstrap), "data_dir=" + m.dataDir(),
		"counts_for_quorum=true", "limits.memory_mb=280", "heartbeat_ms=1200", "fault_tolerance.machines=2",
		"fault_tolerance.zones=1", "bounds.catch_up_s=6",
		fmt.Sprintf("bounds.grace_s=%d", gracePeriod/time.Second),
	}
	for i, zone := range zones {
		lines = append(lines, "zones."+zone+"="+regions[i])
	}
	temporary := m.settingsPath() + ".new"
	err := os.WriteFile(temporary, []byte(strings.Join(lines, "\n")+"\n"), fileMode)
	if err == nil {
		err = os.Rename(temporary, m.settingsPath())
	}
	if err != nil {
		m.t.Error(err)
	}
}

// makeDataDir makes an empty data directory.
func (m *machine) makeDataDir() {
	if err := os.MkdirAll(m.dataDir(), dirMode); err != nil {
		m.t.Error(err)
	}
}

// wipe removes all that the data directory holds. The process must not be running.
func (m *machine) wipe() {
	if err := os.RemoveAll(m.dataDir()); err != nil {
		m.t.Error(err)
	}
	m.makeDataDir()
}

// start starts the process. It is called once: later incarnations are started by restart.
func (m *machine) start(program string) {
	m.t.Helper()
	m.process = faultinject.Start(m.t, faultinject.Spec{
		Name: m.name, Program: program, Args: []string{"-settings", m.settingsPath()}, Dir: m.dir,
	})
	m.awaitHandlers(0)
}

// restart starts the process again.
func (m *machine) restart() {
	before := len(m.process.Output())
	if err := m.process.Restart(nil); err != nil {
		m.t.Error(err)
		return
	}
	m.awaitHandlers(before)
}

// awaitHandlers waits until the process handles signals, which it logs behind some bytes of earlier output.
// No program does so from its first instruction on, so that a signal before that ends it.
func (m *machine) awaitHandlers(earlierBytes int) {
	for began := time.Now(); !strings.Contains(m.process.Output()[earlierBytes:], startMessage); {
		if time.Since(began) > startTimeout {
			m.t.Errorf("%s does not handle signals %v after its start", m.name, startTimeout)
			return
		}
		time.Sleep(startPollInterval)
	}
}

// kill ends the process at once.
func (m *machine) kill() {
	m.killedAt.Store(time.Now().UnixNano())
	if err := m.process.Kill(); err != nil {
		m.t.Errorf("%s cannot be killed: %v, %v\n%s", m.name, err, m.process.Exit(), m.logTail())
	}
}

// terminate asks the process to stop, and waits until it has.
func (m *machine) terminate() {
	began := time.Now()
	if err := m.process.Term(); err != nil {
		m.t.Errorf("%s cannot be asked to stop: %v\n%s", m.name, err, m.logTail())
		return
	}
	if !m.process.Wait(stopTimeout) {
		m.t.Errorf("%s has not stopped %v after SIGTERM\n%s", m.name, stopTimeout, m.logTail())
		m.kill()
		return
	}
	m.t.Logf("%s ended %v after SIGTERM", m.name, time.Since(began).Round(time.Millisecond))
	if exit := m.process.Exit(); !exit.Success() {
		m.t.Errorf("%s ended with %v after SIGTERM\n%s", m.name, exit, m.logTail())
	}
}

// checkRunning reports a process that has ended by itself, and starts it again.
func (m *machine) checkRunning() {
	if !m.operation.TryLock() {
		return
	}
	defer m.operation.Unlock()
	if m.replaced || m.process.Running() {
		return
	}
	m.t.Errorf("%s has ended by itself: %v\n%s", m.name, m.process.Exit(), m.logTail())
	m.restart()
}

// logTail returns the last lines of the process's log.
func (m *machine) logTail() string {
	lines := strings.Split(strings.TrimSpace(m.process.Output()), "\n")
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}

// descriptors returns the number of open descriptors of the process.
func (m *machine) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.process.Pid()))
	if err != nil {
		m.t.Error(err)
	}
	return len(entries)
}
