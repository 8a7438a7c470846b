package supervisor

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// adopt takes over the running processes of an earlier daemon, which it finds by their record files. The
// caller holds the lock. It terminates a second process of an instance, and processes of instances that are
// no longer desired.
func (d *Daemon) adopt() {
	files, _ := filepath.Glob(filepath.Join(d.settings.RunDir, "*.run"))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		process := &processRecord{}
		if err != nil || json.Unmarshal(raw, process) != nil || process.PID <= 1 || !process.alive() ||
			process.StartTime == "" {
			_ = os.Remove(file)
			continue
		}
		slot, duplicate := d.slots[process.Instance], false
		for _, other := range d.processes {
			duplicate = duplicate || other.Instance == process.Instance
		}
		if slot == nil || duplicate {
			_ = syscall.Kill(process.PID, syscall.SIGTERM)
			d.trackOrphan(process)
			continue
		}
		process.number = d.reconciler.Adopt(process.Instance)
		d.processes[process.number] = process
		d.recordStart(process, true)
		if process.AdminAddress == slot.instance.AdminAddresses[1] {
			slot.adminIndex = 1
		}
		if !bytes.Equal(process.Config, slot.instance.Config) { // the settings have changed since the start
			d.reconciler.SetDesired(d.instanceNames(), map[string]ConfigChange{process.Instance: RestartNeeded})
		}
		d.log.Info().Str("instance", process.Instance).Int("pid", process.PID).Msg("instance process adopted")
	}
}

// trackOrphan records a process of an earlier daemon that has been sent SIGTERM: until it exits, it may
// still apply the rules that it has received. The caller holds the lock.
func (d *Daemon) trackOrphan(process *processRecord) {
	if d.rules != nil {
		d.recordStart(process, true)
		d.orphans = append(d.orphans, process)
	}
}

// reapOrphans removes the orphans that have exited and records their exits. The caller holds the lock.
func (d *Daemon) reapOrphans() {
	d.orphans = slices.DeleteFunc(d.orphans, func(process *processRecord) bool {
		if process.alive() {
			return false
		}
		d.instanceByPID.Delete(process.PID)
		d.rules.ProcessExited(process.PID)
		return true
	})
}
