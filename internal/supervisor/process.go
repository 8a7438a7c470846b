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

// listenerFD is the file descriptor of the inherited listener in an instance's process: the first one after
// the standard ones.
const listenerFD = 3

// processRecord is a running process. Its exported fields are stored as its record file in the run directory,
// from which the next daemon adopts the process. The daemon's lock guards it.
type processRecord struct {
	Instance     string `json:"instance"`
	PID          int    `json:"pid"`
	StartTime    string `json:"born"` // from processStartTime; detects a reused PID
	AdminAddress string `json:"control"`
	Config       []byte `json:"config"` // the configuration that it runs, or is reloading
	number       int    // the reconciler's process number
	ready        bool
	child        bool // started by this daemon, not adopted
	reloading    bool // it was sent SIGHUP and has not reloaded its configuration yet
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
	defer logFile.Close() //nolint:errcheck // the daemon writes nothing to it; the process has a descriptor
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
	} // so that signals to the daemon's process group do not reach it
	if err := cmd.Start(); err != nil {
		return err
	}
	process.PID = cmd.Process.Pid
	process.StartTime = processStartTime(process.PID)
	d.processes[number] = process
	d.recordStart(process, false)
	if err := d.writeProcessRecord(process); err != nil {
		d.log.Warn().Err(err).Msg("process record not written: the next daemon will not adopt the process")
		if d.rules != nil { // the next daemon would report steps as seen that this process does not have
			_ = cmd.Process.Kill()
		}
	}
	d.log.Info().Str("instance", name).Int("pid", process.PID).Str("control", process.AdminAddress).
		Msg("instance process started")
	go d.awaitExit(cmd, process)
	return nil
}

// openListener opens the listener for clients unless it is already open.
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

// environment returns the environment variables that the daemon sets for a process. The caller holds the
// lock.
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
	// On a host that subscribes to relays, an instance may know other addresses of the members than its peers
	// do, so the group is named explicitly.
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

// readyAdminAddresses returns the admin addresses of up to bootstrap.MaxPeers ready processes of other
// instances, from which a new process bootstraps. The caller holds the lock.
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

// reloadProcess makes a process reload its configuration. The caller holds the lock.
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
			Msg("process record not updated: the next daemon will adopt the process with its old configuration")
	}
	d.signal(number, syscall.SIGHUP)
	return nil
}

// recordStart records that a process runs; adopted is true if an earlier daemon started it. The caller holds
// the lock.
func (d *Daemon) recordStart(process *processRecord, adopted bool) {
	if d.rules != nil {
		d.rules.ProcessStarted(process.PID, adopted)
	}
	d.instanceByPID.Store(process.PID, process.Instance)
}

// recordExit records the exit of a process unless it is already recorded. The caller holds the lock.
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

// signal sends a signal to a process if it still runs. The caller holds the lock.
func (d *Daemon) signal(number int, signal syscall.Signal) {
	if process := d.processes[number]; process != nil && process.alive() {
		_ = syscall.Kill(process.PID, signal)
	}
}

// alive reports whether the process still runs, that is, whether a process with its PID and its start time
// exists.
func (p *processRecord) alive() bool { return processStartTime(p.PID) == p.StartTime }

// processStartTime returns the start time of a process in clock ticks since boot, as the kernel reports it,
// or "" if no such process runs. It identifies a process together with the PID, which may be reused.
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
