package faultinject

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"willowdeck/internal/testkit/ports"
)

var (
	building sync.Mutex
	built    = map[string]string{}
)

// Program gives the path of a program of this repository, cmd/NAME, built once for a test binary. It stands
// in the user's cache, by the checkout that it is of. It is built without the tag debug: a claim that does
// not hold ends such a program, and one that is made to stand still answers late.
func Program(t T, name string) string {
	t.Helper()
	building.Lock()
	defer building.Unlock()
	if path := built[name]; path != "" {
		return path
	}
	path, err := build(name)
	if err != nil {
		t.Fatalf("building %s: %v", name, err)
	}
	built[name] = path
	return path
}

func build(name string) (string, error) {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", err
	}
	cache, err := os.UserCacheDir()
	if err != nil {
		return "", err
	}
	h := fnv.New64a()
	h.Write(root)
	dir := filepath.Join(cache, "willowdeck-rig", fmt.Sprintf("%x", h.Sum64()))
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return "", err
	}
	defer func() { _ = lock.Close() }() // and other packages' tests may build
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return "", err
	}
	path := filepath.Join(dir, name)
	cmd := exec.Command("go", "build", "-o", path, "willowdeck/cmd/"+name)
	cmd.Dir = strings.TrimSpace(string(root))
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
}

// Ports gives the first of n ports of 127.0.0.1 that are the test's: see ports.Span.
func Ports(t T, n int) int {
	t.Helper()
	return ports.Span(t, n)
}

// Spec is how a process is started.
type Spec struct {
	Name           string
	Program        string // a path; where empty, willowdeck
	Args           []string
	Env            []string // KEY=VALUE, beside the test's own environment
	Dir            string   // where it starts and its output is kept; where empty, one of the test's
	FileLimitBytes int64    // bytes that a file of it may have; none where nought
}

// Process is a process of a real program, over several lives. When the test ends, it and all that descend
// from it are ended.
type Process struct {
	Name           string
	t              T
	environmentTag string // in the environment of it and all its descendants

	mu           sync.Mutex
	spec         Spec
	cmd          *exec.Cmd
	done         chan struct{}  // closed once this life's process has been reaped, and before the first
	says         *outputCounter // of this life
	incarnations int
}

// Errors of a Process.
var (
	ErrEnded = errors.New("the process has ended")
	ErrRuns  = errors.New("the process runs on")
)

// Start starts a process, in a process group of its own.
func Start(t T, spec Spec) *Process {
	t.Helper()
	if spec.Program == "" {
		spec.Program = Program(t, "willowdeck")
	}
	if spec.Dir == "" {
		spec.Dir = t.TempDir()
	}
	p := &Process{Name: spec.Name, t: t, spec: spec, done: make(chan struct{}),
		environmentTag: fmt.Sprintf("WILLOWDECK_RIG=%d.%s.%d", os.Getpid(), spec.Name, rand.Int63())}
	close(p.done)
	t.Cleanup(p.end)
	if err := p.Restart(nil); err != nil {
		t.Fatalf("%s: %v", spec.Name, err)
	}
	return p
}

// processStarter returns the channel to the goroutine that starts all processes, on one thread that never
// ends: the kernel kills a child when the thread that started it ends, which must be when the test binary
// does.
var processStarter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// Restart starts the process anew, with what change makes of its Spec; nil changes nothing. One that still
// runs is killed first.
func (p *Process) Restart(change func(*Spec)) error {
	if p.Running() {
		if err := p.Kill(); err != nil {
			return err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if change != nil {
		change(&p.spec)
	}
	out, copied, err := p.keep()
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := p.command(out)
	started := make(chan error)
	processStarter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	p.incarnations++
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		select {
		case <-copied:
		case <-time.After(outputTimeout): // what it has started holds its output open
		}
		close(done)
	}()
	if p.spec.FileLimitBytes > 0 {
		if err := stopped(cmd.Process.Pid); err != nil {
			return err
		}
		if err := limit(cmd.Process.Pid, p.spec.FileLimitBytes); err != nil {
			return err
		}
		return syscall.Kill(cmd.Process.Pid, syscall.SIGCONT)
	}
	return nil
}

// command returns the command of the next incarnation, whose output goes to out. One with a limit of its
// files stops before it begins, so that the limit is there before its first write.
func (p *Process) command(out *os.File) *exec.Cmd {
	cmd := exec.Command(p.spec.Program, p.spec.Args...)
	if p.spec.FileLimitBytes > 0 {
		cmd = exec.Command("/bin/sh", append([]string{"-c", "kill -STOP $$; exec \"$@\"", "sh",
			p.spec.Program}, p.spec.Args...)...)
	}
	cmd.Env = append(append(os.Environ(), p.spec.Env...), p.environmentTag)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.spec.Dir, out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd
}

// keep has a life's output written to the log by the rig: a bound on the process's files does not cut it.
func (p *Process) keep() (to *os.File, copied <-chan struct{}, err error) {
	log, err := os.OpenFile(p.Log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	from, to, err := os.Pipe()
	if err != nil {
		_ = log.Close()
		return nil, nil, err
	}
	raw, err := from.SyscallConn()
	if err != nil {
		_, _, _ = log.Close(), from.Close(), to.Close()
		return nil, nil, err
	}
	w := &outputCounter{from: raw, log: log}
	p.says = w
	over := make(chan struct{})
	go func() {
		_ = raw.Read(w.take)
		_, _ = log.Close(), from.Close()
		close(over)
	}()
	return to, over, nil
}

// outputCounter is what a life writes, on its way to the log.
type outputCounter struct {
	from syscall.RawConn
	mu   sync.Mutex
	log  *os.File
}

// take takes what there is, and tells whether that was the last.
func (w *outputCounter) take(fd uintptr) (over bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for b := make([]byte, 4096); ; {
		switch n, err := syscall.Read(int(fd), b); {
		case n > 0:
			_, _ = w.log.Write(b[:n])
		case err == syscall.EINTR:
		default:
			return err != syscall.EAGAIN
		}
	}
}

// Limit bounds how long files of the running process may get, in bytes; nought takes the bound away. A write
// past it is cut short, and the next one fails (EFBIG), as on a disk that is full.
func (p *Process) Limit(room int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spec.FileLimitBytes = room
	return p.signalled(func(pid int) error { return limit(pid, room) })
}

func limit(pid int, room int64) error {
	var l unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &l); err != nil {
		return fmt.Errorf("room: %w", err)
	}
	if l.Cur = l.Max; room > 0 {
		l.Cur = min(uint64(room), l.Max)
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &l, nil); err != nil {
		return fmt.Errorf("room: %w", err)
	}
	return nil
}

// signalled does something to the process while it is not yet reaped, under the lock: a pid alone may be
// another's.
func (p *Process) signalled(do func(pid int) error) error {
	if p.cmd == nil || p.cmd.Process == nil {
		return fmt.Errorf("%s: %w", p.Name, ErrEnded)
	}
	select {
	case <-p.done:
		return fmt.Errorf("%s: %w", p.Name, ErrEnded)
	default:
	}
	if err := do(p.cmd.Process.Pid); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return nil
}

func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.signalled(func(int) error {
		if p.cmd.Process.Signal(s) != nil { // it has been reaped meanwhile
			return ErrEnded
		}
		return nil
	})
}

// Stall stops the process (SIGSTOP), and returns once it stands still.
func (p *Process) Stall() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return stopped(p.Pid())
}

// stopped waits until a process stands still.
func stopped(pid int) error {
	for end := time.Now().Add(stopTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f := stat(pid); len(f) == 0 {
			return ErrEnded
		} else if f[statState] == "T" {
			return nil
		}
	}
	return fmt.Errorf("%d does not stand still", pid)
}

// Resume lets a stalled process go on (SIGCONT).
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Renew has the process read its files anew (SIGHUP).
func (p *Process) Renew() error { return p.signal(syscall.SIGHUP) }

// Term asks the process to stop (SIGTERM). It does not wait for it.
func (p *Process) Term() error { return p.signal(syscall.SIGTERM) }

// Kill ends the process at once (SIGKILL), and returns when it has been reaped. What it has started lives on.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	if !p.Wait(exitTimeout) {
		return fmt.Errorf("%s: %w", p.Name, ErrRuns)
	}
	return nil
}

// Wait waits for the process's end, and tells whether it has come.
func (p *Process) Wait(within time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done: // also where there is no time to wait
		return true
	default:
	}
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

// Exit gives how the last life has ended, or nil where it has not.
func (p *Process) Exit() *os.ProcessState {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return p.cmd.ProcessState
	default:
		return nil
	}
}

// Running tells whether there is a process, stalled ones included.
func (p *Process) Running() bool { return !p.Wait(0) }

// Pid gives the process's id, or that of its last life.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Incarnations tells how often it has been started.
func (p *Process) Incarnations() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations
}

// Dir gives where it starts, and where its output is kept.
func (p *Process) Dir() string { return p.spec.Dir }

// Log gives the file that has the output of all lives.
func (p *Process) Log() string { return filepath.Join(p.spec.Dir, p.Name+".log") }

// Output gives what it has written so far, in all lives: all that went before whatever else it is seen to do.
func (p *Process) Output() string {
	p.mu.Lock()
	says := p.says
	p.mu.Unlock()
	if says != nil { // at its end all is in the log
		_ = says.from.Control(func(fd uintptr) { says.take(fd) })
	}
	b, _ := os.ReadFile(p.Log())
	return string(b)
}

// end ends the process and all that descend from it. Descendants are known by the mark in their environment:
// those of a daemon are in groups of their own, and outlive it.
func (p *Process) end() {
	if p.Running() {
		if err := p.Kill(); err != nil {
			p.t.Errorf("%v", err)
		}
	}
	for end := time.Now().Add(exitTimeout); ; time.Sleep(pollInterval) {
		all := marked(p.environmentTag)
		if len(all) == 0 {
			return
		}
		if time.Now().After(end) {
			p.t.Errorf("%s: processes %v do not end", p.Name, all)
			return
		}
		for _, pid := range all {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}

// marked gives the processes of this user that bear a mark in their environment, but zombies.
func marked(mark string) (all []int) {
	dirs, _ := os.ReadDir("/proc")
	for _, d := range dirs {
		pid, err := strconv.Atoi(d.Name())
		if err != nil {
			continue
		}
		b, err := os.ReadFile(filepath.Join("/proc", d.Name(), "environ"))
		if err == nil && strings.Contains("\x00"+string(b), "\x00"+mark+"\x00") {
			all = append(all, pid)
		}
	}
	return all
}

// Places in what the kernel tells of a process, behind its name.
const statState, statBorn = 0, 19

// stat gives what the kernel tells of a process, or nothing where there is none or a zombie.
func stat(pid int) []string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	if len(f) <= statBorn || f[statState] == "Z" || f[statState] == "X" {
		return nil
	}
	return f
}
