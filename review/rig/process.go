package main

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"

	"golang.org/x/sys/unix"
)

// process is a program of the project that this run has started.
type process struct {
	program string
	command *exec.Cmd
	ended   chan struct{} // closed once it has ended
}

// startProcess starts a program at the root of the repository with a settings file, named by the variable of
// the pages, on one processor.
func startProcess(root, program, settings, log string, core int) (*process, error) {
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command(root + "/target/" + program)
	command.Dir = root
	command.Env = append(os.Environ(), "WILLOWDECK_BOOT="+settings)
	command.Stdout, command.Stderr = output, output
	if err := startOnOneCore(command, core); err != nil {
		return nil, err
	}
	p := &process{program: program, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait() // a process that was killed ends with an error
		_ = output.Close()
		close(p.ended)
	}()
	return p, nil
}

// startOnOneCore starts a program on one processor, as limits.cores says: a program inherits it from the
// thread that starts it. Programs of the same core share a processor.
func startOnOneCore(command *exec.Cmd, core int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	left := core % max(all.Count(), 1)
	for cpu := range len(all) * 64 {
		if !all.IsSet(cpu) {
			continue
		}
		if left == 0 {
			one.Set(cpu)
			break
		}
		left--
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	startErr := command.Start()
	if err := unix.SchedSetaffinity(0, &all); err != nil {
		return err
	}
	return startErr
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill ends the process by SIGKILL and waits for its end.
func (p *process) kill() {
	if p.running() {
		_ = p.command.Process.Kill() // it may have ended meanwhile
		<-p.ended
	}
}

// residentMB returns the memory that the process has resident, in MB of 2^20 bytes.
func (p *process) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}
