package supervisor

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"willowdeck/internal/gateway/recovery/bootstrap"
)

// listenerFD is the file descriptor under which a process finds its listener: the first after the standard
// ones.
const listenerFD = 3

// processRecord is a process that runs. Its exported fields are its note in the run directory, by which the
// next daemon adopts it. The lock of the daemon guards it.
type processRecord struct {
	Instance     string `json:"instance"`
	PID          int    `json:"pid"`
	StartTime    string `json:"born"` // as processStartTime returns it: the PID may be another process's by now
	AdminAddress string `json:"control"`
	Config       []byte `json:"config"` // the configuration that it runs, or reloads
	number       int    // the reconciler's process number
	ready        bool
	child        bool // started by this daemon, not adopted
	reloading    bool // it has been signalled to reload its configuration and has not done so yet
}

// spawn starts a process of an instance. The caller holds the lock.
func (d *Daemon) spawn(name string, number int) error {
	slot := d.slots[name]
	if err := slot.openListener(); err != nil {
		return err
	}
	dir := d.instanceDir(name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if err := d.writeGatewayConfig(name, slot.instance.Config); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close() //nolint:errcheck // nothing is written to it here; the process has its own descriptor
	slot.adminIndex = 1 - slot.adminIndex
	process := &processRecord{
		Instance:     name,
		AdminAddress: slot.instance.AdminAddresses[slot.adminIndex],
		Config:       slot.instance.Config,
		number:       number,
		child:        true,
	}
	cmd := exec.Command(d.program, "serve")
	cmd.Env = append(os.Environ(), d.environment(process)...)
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = logFile, logFile, []*os.File{slot.listener}
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Setpgid: true,
	} // signals to the daemon's process group do not reach it
	if err := cmd.Start(); err != nil {
		return err
	}
	process.PID = cmd.Process.Pid
	process.StartTime = processStartTime(process.PID)
	d.processes[number] = process
	d.recordStart(process, false)
	if err := d.writeProcessRecord(process); err != nil {
		d.log.Warn().Err(err).Msg("note of the instance process not written: the next daemon will not adopt it")
		if d.rules != nil { // and the next daemon would report steps as seen that this process does not hold
			_ = cmd.Process.Kill()
		}
	}
	d.log.Info().Str("instance", name).Int("pid", process.PID).Str("control", process.AdminAddress).
		Msg("instance process started")
	go d.awaitExit(cmd, process)
	return nil
}

// openListener opens the listener for clients, unless it is open.
func (s *instanceSlot) openListener() error {
	if s.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.instance.ListenAddress)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.listener, err = listener.(*net.TCPListener).File()
	_ = listener.Close()
	return err
}

// environment returns the variables that a process gets besides its configuration. The caller holds the lock.
func (d *Daemon) environment(process *processRecord) []string {
	name, dir := process.Instance, d.instanceDir(process.Instance)
	env := []string{"NODE_CONFIG=" + d.gatewayConfigPath(name), "NODE_NAME=" + name,
		"NODE_CONTROL=" + process.AdminAddress, fmt.Sprintf("NODE_FD=%d", listenerFD), "TMPDIR=" + dir}
	if d.settings.PeerBootstrap {
		env = append(env, "WILLOWDECK_TELL=true")
		if peers := d.readyAdminAddresses(name); len(peers) > 0 {
			env = append(env, "WILLOWDECK_ASK="+strings.Join(peers, ","))
		}
	}
	if d.settings.Region != "" {
		env = append(env, "WILLOWDECK_HALL="+d.settings.Region, "WILLOWDECK_HOST="+d.settings.Name)
	}
	// Below relays an instance knows other addresses than its peers do, so the group has to be named.
	if d.settings.Region != "" && d.rules != nil && d.rules.subscription != nil {
		env = append(env, "WILLOWDECK_GROUP="+d.settings.Name)
	}
	if d.settings.CrashState {
		env = append(env, "WILLOWDECK_RESIDUE="+filepath.Join(dir, "residue"),
			fmt.Sprintf("WILLOWDECK_RECALL=%t", d.settings.RestoreCheckpoint))
	}
	if d.rules != nil {
		env = append(env, "WILLOWDECK_AGREE="+d.settings.ControlAddress)
	}
	return env
}

// readyAdminAddresses returns the admin addresses of a few ready processes of other instances, from which a
// new one bootstraps. The caller holds the lock.
func (d *Daemon) readyAdminAddresses(except string) (addresses []string) {
	for _, process := range d.processes {
		if process.ready && process.Instance != except && len(addresses) < bootstrap.MaxPeers {
			addresses = append(addresses, process.AdminAddress)
		}
	}
	return addresses
}

// awaitExit waits for the exit of a child process and records it.
func (d *Daemon) awaitExit(cmd *exec.Cmd, process *processRecord) {
	err := cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log.Info().Str("instance", process.Instance).Int("pid", process.PID).AnErr("as", err).
		Msg("instance process exited")
	d.recordExit(process)
	d.reconcile()
}

// reloadProcess has a process reload its configuration. The caller holds the lock.
func (d *Daemon) reloadProcess(name string, number int) error {
	process, slot := d.processes[number], d.slots[name]
	if process == nil {
		return nil
	}
	if err := d.writeGatewayConfig(name, slot.instance.Config); err != nil {
		return err
	}
	process.Config, process.reloading = slot.instance.Config, true
	if err := d.writeProcessRecord(process); err != nil {
		d.log.Warn().Err(err).
			Msg("note of the instance process not updated: the next daemon will adopt it with its old configuration")
	}
	d.signal(number, syscall.SIGHUP)
	return nil
}

// recordStart records that a process runs; adopted says that it was started by an earlier daemon. The caller
// holds the lock.
func (d *Daemon) recordStart(process *processRecord, adopted bool) {
	if d.rules != nil {
		d.rules.ProcessStarted(process.PID, adopted)
	}
	d.instanceByPID.Store(process.PID, process.Instance)
}

// recordExit records the exit of a process, unless that has been done. The caller holds the lock.
func (d *Daemon) recordExit(process *processRecord) {
	if _, known := d.processes[process.number]; !known {
		return
	}
	delete(d.processes, process.number)
	d.instanceByPID.Delete(process.PID)
	if d.rules != nil {
		d.rules.ProcessExited(process.PID)
	}
	_ = os.Remove(d.processRecordPath(process))
	d.reconciler.ProcessEnded(process.Instance, process.number)
}

// signal sends a signal to a process, if it still runs. The caller holds the lock.
func (d *Daemon) signal(number int, signal syscall.Signal) {
	if process := d.processes[number]; process != nil && process.alive() {
		_ = syscall.Kill(process.PID, signal)
	}
}

// alive reports whether the process still runs: a process with its PID that has its start time.
func (p *processRecord) alive() bool { return processStartTime(p.PID) == p.StartTime }

// processStartTime returns the start time of a process as the kernel counts it (clock ticks since boot), or
// "" if no such process runs. A PID alone may have been reused.
func processStartTime(pid int) string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	_, rest, _ := strings.Cut(string(raw), ") ") // the fields that follow the program's name
	fields := strings.Fields(rest)
	const state, startTime = 0, 19
	if len(fields) <= startTime || fields[state] == "Z" {
		return ""
	}
	return fields[startTime]
}
