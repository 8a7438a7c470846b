package lifecycle

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"willowdeck/internal/testkit/faultinject"
)

const (
	idleSampleTime = 300 * time.Millisecond // over which the idle times of the processors are compared
	maxProcessors  = 1024                   // of a unix.CPUSet
)

// processGroup starts processes that all run on one processor, and ends them with the test.
type processGroup struct {
	t     *testing.T
	spawn chan func()
}

// newProcessGroup makes a group on the processor that is the least busy one now.
func newProcessGroup(t *testing.T) *processGroup {
	t.Helper()
	n := &processGroup{t, make(chan func())}
	processor, found := idlestProcessor()
	go func() { // the thread does not return to the pool, and its child processes end with it at the latest
		runtime.LockOSThread()
		if found {
			var one unix.CPUSet
			one.Set(processor)
			_ = unix.SchedSetaffinity(0, &one)
		}
		for f := range n.spawn {
			f()
		}
	}()
	t.Cleanup(func() { close(n.spawn) })
	return n
}

// idlestProcessor returns the processor, of those that this process may use, that is idle for the longest
// over idleSampleTime, and the last one of several. Work that others have bound to another processor doesn't
// slow what runs there.
func idlestProcessor() (processor int, found bool) {
	var allowed unix.CPUSet
	if unix.SchedGetaffinity(0, &allowed) != nil {
		return 0, false
	}
	before := idleTicks()
	time.Sleep(idleSampleTime)
	after := idleTicks()
	longest := -1
	for i := range maxProcessors {
		if idle := after[i] - before[i]; allowed.IsSet(i) && idle >= longest {
			processor, found, longest = i, true, idle
		}
	}
	return processor, found
}

// idleTicks returns for how many clock ticks each processor has been idle since the machine's start, by its
// number. It is empty where the system does not say.
func idleTicks() map[int]int {
	ticks := map[int]int{}
	raw, _ := os.ReadFile("/proc/stat")
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "cpu ") { // of all together
			continue
		}
		var processor, user, nice, system, idle int
		_, err := fmt.Sscanf(line, "cpu%d %d %d %d %d", &processor, &user, &nice, &system, &idle)
		if err == nil {
			ticks[processor] = idle
		}
	}
	return ticks
}

// start starts a gateway's process by its configuration file.
func (n *processGroup) start(file string) *exec.Cmd {
	cmd := exec.Command(faultinject.Program(n.t, "willowdeck"), "serve", "--config", file)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	out, err := os.OpenFile(file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.t.Fatal(err)
	}
	defer out.Close()
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	failed := make(chan error)
	n.spawn <- func() { failed <- cmd.Start() }
	if err := <-failed; err != nil {
		n.t.Fatal(err)
	}
	return cmd
}
