package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	endsWithin  = 8 * time.Second // from the word to stop until a process is ended by force: a drain has 4 s
	orderWithin = 60 * time.Second
	lookEach    = 10 * time.Millisecond
	netTries    = 200
)

// loopback is a run's own part of 127.0.0.0/8, held by a listener, so that no other run has its ports and
// no call of anybody's is made from one of them.
type loopback struct {
	part int
	hold net.Listener
	next int
}

const (
	firstPart, nParts = 128, 100 // of the second byte: 127.87 is where ports are claimed
	holdPort          = 20007
	inRow             = 250 // addresses of one third byte
)

func newLoopback() (*loopback, error) {
	var err error
	for range netTries {
		l := &loopback{part: firstPart + rand.Intn(nParts)}
		if l.hold, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", l.part, holdPort)); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("no part of loopback is free: %w", err)
}

// ip gives another address, with all of its ports.
func (l *loopback) ip() string {
	l.next++
	return fmt.Sprintf("127.%d.%d.%d", l.part, l.next/inRow, 1+l.next%inRow)
}

func (l *loopback) close() { _ = l.hold.Close() }

// child is a process that the run has started.
type child struct {
	name  string
	cmd   *exec.Cmd
	log   string // its file
	ended chan struct{}
	err   error

	in  io.WriteCloser // hollow ones
	out *bufio.Reader
	one sync.Mutex // order at a time
}

// site is where a run's processes work, with the one that tidies up if the run can't.
type site struct {
	dir  string
	net  *loopback
	rear *child
}

const rearRole = "rear"

func newSite(lab string) (*site, error) {
	dir, err := os.MkdirTemp("", "wdscale")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir}
	if s.net, err = newLoopback(); err == nil {
		s.rear, err = spawn("rear", dir, true, lab, "hollow")
	}
	if err == nil {
		err = s.rear.tell(Hollow{Role: rearRole, Dir: dir})
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// hollow starts a hollow process.
func (s *site) hollow(name, lab string) (*child, error) {
	return spawn(name, s.dir, true, lab, "hollow")
}

// real starts a real one.
func (s *site) real(name, dir, program string, args ...string) (*child, error) {
	c, err := spawn(name, dir, false, program, args...)
	if err != nil {
		return nil, err
	}
	if _, err := s.rear.order(Order{Do: "again", From: c.pid()}); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// close is for when all processes have ended.
func (s *site) close() {
	if s.rear != nil {
		_, _ = s.rear.order(Order{Do: "end"})
		s.rear.stop()
	}
	if s.net != nil {
		s.net.close()
	}
	_ = os.RemoveAll(s.dir)
}

// spawn starts a process whose output goes to a file in dir.
func spawn(name, dir string, hollow bool, program string, args ...string) (*child, error) {
	c := &child{name: name, log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	log, err := os.Create(c.log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c.cmd = exec.Command(program, args...)
	c.cmd.Dir, c.cmd.Stdout, c.cmd.Stderr = dir, log, log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if hollow {
		c.cmd.Stdout = nil
		out, err := c.cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if c.in, err = c.cmd.StdinPipe(); err != nil {
			return nil, err
		}
		c.out = bufio.NewReaderSize(out, 1<<20)
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		if hollow { // what it says is read before it is waited for
			<-c.ended
			return
		}
		c.err = c.cmd.Wait()
		close(c.ended)
	}()
	return c, nil
}

func (c *child) pid() int { return c.cmd.Process.Pid }

// over tells whether it has ended by itself.
func (c *child) over() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// says gives the end of what it has written.
func (c *child) says() string {
	raw, _ := os.ReadFile(c.log)
	return strings.TrimSpace(string(raw[max(len(raw)-2000, 0):]))
}

// stop ends it, by force if it takes too long.
func (c *child) stop() {
	if c.in != nil {
		_ = c.in.Close()
		done := make(chan struct{})
		go func() {
			_, _ = io.Copy(io.Discard, c.out)
			c.err = c.cmd.Wait()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(endsWithin):
			_ = c.cmd.Process.Kill()
			<-done
		}
		if !c.over() {
			close(c.ended)
		}
		return
	}
	if c.over() {
		return
	}
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.ended:
	case <-time.After(endsWithin):
		_ = c.cmd.Process.Kill()
		<-c.ended
	}
}

// order has a hollow process do something, and gives its answer.
func (c *child) order(o Order) (r Report, err error) {
	c.one.Lock()
	defer c.one.Unlock()
	if err = c.tell(o); err == nil {
		r, err = c.answer()
	}
	return r, err
}

func (c *child) tell(v any) error {
	b, err := json.Marshal(v)
	if err == nil {
		_, err = c.in.Write(append(b, '\n'))
	}
	if err != nil {
		return fmt.Errorf("%s: %w: %s", c.name, err, c.says())
	}
	return nil
}

func (c *child) answer() (r Report, err error) {
	late := time.AfterFunc(orderWithin, func() { _ = c.cmd.Process.Kill() })
	defer late.Stop()
	line, err := c.out.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &r)
	}
	if err != nil {
		return r, fmt.Errorf("%s: %w: %s", c.name, err, c.says())
	}
	if r.Err != "" {
		return r, fmt.Errorf("%s: %s", c.name, r.Err)
	}
	return r, nil
}

// strays ends what a daemon's gatekeepers have left, by the notes that it keeps on them.
func strays(runDir string) {
	files, _ := filepath.Glob(filepath.Join(runDir, "*.run"))
	for _, file := range files {
		var r struct {
			Pid  int
			Born string
		}
		raw, err := os.ReadFile(file)
		if err != nil || json.Unmarshal(raw, &r) != nil || r.Pid <= 1 {
			continue
		}
		if r.Born != "" && bornAt(r.Pid) == r.Born {
			_ = syscall.Kill(r.Pid, syscall.SIGKILL)
		}
	}
}

var caller = http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ask gives a page of an operators' port.
func ask(at, path string) (string, error) {
	res, err := caller.Get("http://" + at + path)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 16<<20))
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", res.StatusCode)
	}
	return string(b), err
}

// line gives the value of a page's line, "key=value".
func line(page, key string) (string, bool) {
	_, after, found := strings.Cut("\n"+page, "\n"+key+"=")
	v, _, _ := strings.Cut(after, "\n")
	return v, found
}

func number(page, key string) float64 {
	v, _ := line(page, key)
	n, _ := strconv.ParseFloat(v, 64)
	return n
}

var errTime = errors.New("its time is up")

// wait looks until something holds.
func wait(ctx context.Context, within time.Duration, what string, holds func() (bool, error)) error {
	end := time.Now().Add(within)
	for {
		ok, err := holds()
		if err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
		if ok {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s: %w after %v", what, errTime, within)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, ctx.Err())
		case <-time.After(lookEach):
		}
	}
}

func (c *child) signal(s syscall.Signal) error { return c.cmd.Process.Signal(s) }

// renew has it read its files anew.
func (c *child) renew() error { return c.cmd.Process.Signal(syscall.SIGHUP) }
