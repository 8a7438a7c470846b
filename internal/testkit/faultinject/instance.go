package faultinject

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Instance is a process that a daemon (willowdeck fleet) has started.
type Instance struct {
	Name    string `json:"instance"`
	Pid     int    `json:"pid"`
	Born    string `json:"born"` // the kernel's start time of it: a pid may be another's by now
	Control string `json:"control"`
}

// Instances gives the instances that run by the notes in a daemon's run_dir, in their order. While one is
// replaced there are two of a name.
func Instances(runDir string) (all []Instance) {
	files, _ := filepath.Glob(filepath.Join(runDir, "*.run"))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		var i Instance
		if err == nil && json.Unmarshal(raw, &i) == nil && i.Runs() {
			all = append(all, i)
		}
	}
	return all
}

// Runs tells whether the process is still there.
func (i Instance) Runs() bool {
	f := stat(i.Pid)
	return i.Pid > 1 && len(f) > 0 && f[statBorn] == i.Born
}

// Stall stops the process, and returns once it stands still.
func (i Instance) Stall() error {
	if err := i.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return stopped(i.Pid)
}

// Resume lets a stalled process go on.
func (i Instance) Resume() error { return i.signal(syscall.SIGCONT) }

// Kill ends the process at once.
func (i Instance) Kill() error { return i.signal(syscall.SIGKILL) }

func (i Instance) signal(s syscall.Signal) error {
	if !i.Runs() {
		return fmt.Errorf("%s: %w", i.Name, ErrEnded)
	}
	return syscall.Kill(i.Pid, s)
}
